"""Tests of the real scorer."""
