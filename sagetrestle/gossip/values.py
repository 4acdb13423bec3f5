"""The words of the picture that members share. Times are microseconds; ages are counted by each holder's own clock."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class Key(NamedTuple):
    """What a row is on: whose word it is (empty: a register that anybody may write), its kind, and its subject."""

    origin: str
    kind: str
    subject: str


class RowVersion(NamedTuple):
    """Which of two rows on one key is the newer one; ``by`` settles what two wrote into a register at once."""

    life: int
    version: int
    by: str


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One word of one member, as it is sent.

    ``life`` is the origin's incarnation and ``version`` counts its words; ``age_us`` is how old it was when this was
    sent, ``unix_us`` the time of day at its origin when it was said. ``data`` is a message of its kind, carried on
    as it is by members that do not know the kind.
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
        """Return what it is on."""
        return Key(self.origin, self.kind, self.subject)

    @property
    def order(self) -> RowVersion:
        """Return what tells it from an older one."""
        return RowVersion(self.life, self.version, self.by)


class RowBatch(msgspec.Struct, frozen=True, array_like=True, tag="picture-rows"):
    """A member tells rows that are new to it, or that another lacks."""

    rows: tuple[Row, ...]


class RowDigests(msgspec.Struct, frozen=True, array_like=True, tag="picture-marks"):
    """Digests of the rows of reconciled kinds, one for each of ``DIGEST_BUCKETS`` parts of the key space.

    ``answers``: this is the reply to digests, so the receiver does not reply with its own.
    """

    marks: tuple[int, ...]
    answers: bool = False


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
