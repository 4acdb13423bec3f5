"""Tests of the module, the adapter and the real scorer."""
