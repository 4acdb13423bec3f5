"""Tests of ``sagetrestle/damping``."""
