"""Tests of ``sagetrestle/objectives``."""
