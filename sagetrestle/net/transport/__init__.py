"""Twisted factories and clients: they carry bytes and post inputs, and decide nothing."""
