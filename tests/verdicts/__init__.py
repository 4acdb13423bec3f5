"""Tests of verdicts."""
