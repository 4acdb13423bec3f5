"""Tests of the fleet's limits."""
