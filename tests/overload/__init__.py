"""Tests of ``sagetrestle/overload``."""
