"""Limits that hold for the whole fleet, as allowances: parts that one member may spend alone. Free of I/O and clock."""

from sagetrestle.quota.cap_granter import CapGrant, decide_cap_grant
from sagetrestle.quota.cap_holder import CapRequest, CapHolder, WaitersReady, CapResult
from sagetrestle.quota.values import Limit

__all__ = ["CapRequest", "CapHolder", "Limit", "WaitersReady", "CapGrant", "CapResult", "decide_cap_grant"]
