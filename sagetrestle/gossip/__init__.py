"""What members share: rows by origin, life and version, with ages, told by rumours and digests. Free of I/O and clock.

There is one way to spread: verdicts, levels, health of servers, removals and service by region are all rows of it.
"""

from sagetrestle.gossip.store import BEAT_US, Known, Picture, Say
from sagetrestle.gossip.values import BUCKETS, Key, Marks, Order, Row, Rows, Terms

__all__ = ["BEAT_US", "BUCKETS", "Key", "Known", "Marks", "Order", "Picture", "Row", "Rows", "Say", "Terms"]
