"""Limits that hold for the whole fleet, as allowances: parts that one member may spend alone. Free of I/O and clock."""

from sagetrestle.quota.cap_granter import Row, decide
from sagetrestle.quota.cap_holder import Ask, Holder, Ready, Word
from sagetrestle.quota.values import Limit

__all__ = ["Ask", "Holder", "Limit", "Ready", "Row", "Word", "decide"]
