"""Tests of ownership."""
