"""Tests of translation."""
