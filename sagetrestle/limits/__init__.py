"""Limits that subsystems share: work shared out fairly by source, and spending caps.

    FairBacklog   bounded work that waits, taken in turn by source, those in good standing first
    SpendingCaps  charges counted by tenant in fixed windows: reserved, then spent or given back

Free of I/O and clock; times are whole microseconds that the caller gives.
"""

from sagetrestle.limits.backlog import FairBacklog
from sagetrestle.limits.spending import SpendingCaps

__all__ = ["FairBacklog", "SpendingCaps"]
