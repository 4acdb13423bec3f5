"""Twisted factories, protocols and clients: they move bytes and post inputs, and take no decisions."""
