"""Tests of persistent storage."""
