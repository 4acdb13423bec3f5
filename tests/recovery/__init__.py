"""Tests of recovery."""
