"""Tests of identity."""
