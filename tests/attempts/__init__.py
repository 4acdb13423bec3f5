"""Tests of attempts."""
