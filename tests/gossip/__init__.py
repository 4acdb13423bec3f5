"""Tests of ``sagetrestle/gossip``."""
