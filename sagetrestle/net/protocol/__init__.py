"""The wires, as pure functions from bytes to values and back: no Twisted, no clock."""
