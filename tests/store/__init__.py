"""Tests of what lasts on disk."""
