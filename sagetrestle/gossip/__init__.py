"""State shared by gossip: rows by origin, life and version, with ages. Free of I/O and clock.

Health reports, operators' orders, admission levels, server health, removals and reports by region are rows.
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
