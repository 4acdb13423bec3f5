"""Limits used by several subsystems: a fair queue by source, and spending caps by tenant.

    FairQueue     a bounded queue that serves its sources in turn, those in good standing more often
    SpendingCaps  counts charges by tenant in fixed windows: they are reserved, then spent or released

Neither does I/O or reads a clock; times are whole microseconds passed in by the caller.
"""

from sagetrestle.limits.fair_queue import FairQueue
from sagetrestle.limits.spending import SpendingCaps

__all__ = ["FairQueue", "SpendingCaps"]
