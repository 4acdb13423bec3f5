"""Tests of ``sagetrestle/health_decisions``."""
