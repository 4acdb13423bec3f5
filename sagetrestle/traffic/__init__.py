"""Applies the fleet's decisions to requests: admission, choice of region and dispatch. Free of I/O."""
