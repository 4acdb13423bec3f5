"""What members share: rows by origin, life and version, with ages, told by rumours and digests. Free of I/O and clock.

There is one way to spread: verdicts, levels, health of servers, removals and service by region are all rows of it.
"""

from sagetrestle.gossip.store import ROUND_US, StoredRow, GossipStore, OutgoingMessage
from sagetrestle.gossip.values import DIGEST_BUCKETS, Key, RowDigests, RowVersion, Row, RowBatch, RowPolicy

__all__ = [
    "ROUND_US",
    "DIGEST_BUCKETS",
    "Key",
    "StoredRow",
    "RowDigests",
    "RowVersion",
    "GossipStore",
    "Row",
    "RowBatch",
    "OutgoingMessage",
    "RowPolicy",
]
