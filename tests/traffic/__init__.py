"""Tests of ``sagetrestle/traffic``."""
