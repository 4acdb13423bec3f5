"""Types of the gossiped state. Times are microseconds; ages are counted by each holder's own clock."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class Key(NamedTuple):
    """The key of a row: its origin (empty for a register that any member may write), its kind and its subject."""

    origin: str
    kind: str
    subject: str


class RowVersion(NamedTuple):
    """The order of rows on one key; ``by``, the name of the writer, decides between concurrent writes to a register."""

    life: int
    version: int
    by: str


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row as it is sent.

    ``life`` numbers the starts of the origin and ``version`` its rows; ``age_us`` is the age of the row when it was
    sent, ``unix_us`` the time of day at its origin when it was published. ``data`` is the encoded value of its kind;
    members that do not know the kind forward it unchanged.
    """

    origin: str
    life: int
    kind: str
    subject: str
    version: int
    by: str
    age_us: int
    unix_us: int
    data: bytes

    @property
    def key(self) -> Key:
        """Return the key of the row."""
        return Key(self.origin, self.kind, self.subject)

    @property
    def order(self) -> RowVersion:
        """Return the version by which rows on one key are ordered."""
        return RowVersion(self.life, self.version, self.by)


class RowBatch(msgspec.Struct, frozen=True, array_like=True, tag="picture-rows"):
    """Rows that are new to the sender, or that the receiver lacks."""

    rows: tuple[Row, ...]


class RowDigests(msgspec.Struct, frozen=True, array_like=True, tag="picture-marks"):
    """Digests of the rows of reconciled kinds, one for each of ``DIGEST_BUCKETS`` parts of the key space.

    ``is_reply``: this is the reply to digests, so the receiver does not reply with its own.
    """

    digests: tuple[int, ...]
    is_reply: bool = False


class RowPolicy(NamedTuple):
    """How rows of one kind are published and retained.

    ``min_interval_us`` is the minimum time between two rows on one key, ``ttl_us`` the maximum age of a row and
    ``max_rows`` the maximum number of rows of the kind. ``reconciled``: a row is published once, so members that the
    rumours missed get it by comparing digests. ``persistent``: rows are also written to the member's file.
    ``from_all_members``: every member publishes the kind, so the minimum interval grows with the number of members.
    """

    min_interval_us: int
    ttl_us: int
    reconciled: bool = False
    persistent: bool = False
    from_all_members: bool = False
    max_rows: int = 20_000


DIGEST_BUCKETS = 64
