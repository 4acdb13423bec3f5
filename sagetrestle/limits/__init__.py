"""Limits that subsystems share: work shared out fairly by source, and spending caps.

    FairQueue   bounded work that waits, taken in turn by source, those in good standing first
    SpendingCaps  charges counted by tenant in fixed windows: reserved, then spent or given back

Free of I/O and clock; times are whole microseconds that the caller gives.
"""

from sagetrestle.limits.fair_queue import FairQueue
from sagetrestle.limits.spending import SpendingCaps

__all__ = ["FairQueue", "SpendingCaps"]
