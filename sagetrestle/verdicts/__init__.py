"""Judgments that all members heed: from evidence by independent witnesses, or by an operator. Free of I/O and clock."""

from sagetrestle.verdicts.judge import convicted
from sagetrestle.verdicts.spread import Say, Spread
from sagetrestle.verdicts.values import AGE_US, Digest, Order, Subject, Told, Voice

__all__ = ["AGE_US", "Digest", "Order", "Say", "Spread", "Subject", "Told", "Voice", "convicted"]
