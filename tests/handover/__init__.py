"""Tests of sagetrestle.handover."""
