"""Tests of takeover."""
