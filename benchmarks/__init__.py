"""Measurements made by hand, outside CI; each says the machine, the size and the revision."""
