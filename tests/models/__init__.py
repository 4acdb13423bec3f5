"""Tests of models that Hypothesis drives."""
