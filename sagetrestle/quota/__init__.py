"""Limits that hold for the whole fleet, as allowances: parts that one member may spend alone. Free of I/O and clock."""

from sagetrestle.quota.granter import Row, decide
from sagetrestle.quota.holder import Ask, Holder, Ready, Word
from sagetrestle.quota.values import Limit

__all__ = ["Ask", "Holder", "Limit", "Ready", "Row", "Word", "decide"]
