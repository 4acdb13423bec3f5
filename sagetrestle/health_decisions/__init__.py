"""Judgments that all members heed: from evidence by independent witnesses, or by an operator. Free of I/O and clock."""

from sagetrestle.health_decisions.evaluation import convicted
from sagetrestle.health_decisions.reports import ORDERS, VOICES, Spread
from sagetrestle.health_decisions.values import AGE_US, Order, Said, Subject, Voice

__all__ = ["AGE_US", "ORDERS", "VOICES", "Order", "Said", "Spread", "Subject", "Voice", "convicted"]
