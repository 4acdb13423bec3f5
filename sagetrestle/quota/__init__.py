"""Limits for the whole fleet, divided into allowances that each member may use by itself. Free of I/O and clock."""

from sagetrestle.quota.cap_granter import CapGrant, decide_cap_grant
from sagetrestle.quota.cap_holder import CapRequest, CapHolder, WaitersReady, CapResult
from sagetrestle.quota.values import Limit

__all__ = ["CapRequest", "CapHolder", "Limit", "WaitersReady", "CapGrant", "CapResult", "decide_cap_grant"]
