"""Tests of the laboratory."""
