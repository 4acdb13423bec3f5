"""Tests of ``sagetrestle/quota``."""
