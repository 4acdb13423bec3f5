"""The words of the picture that members share. Times are microseconds; ages are counted by each holder's own clock."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class Key(NamedTuple):
    """What a row is on: whose word it is (empty: a register that anybody may write), its kind, and its subject."""

    origin: str
    kind: str
    about: str


class Order(NamedTuple):
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
    about: str
    version: int
    by: str
    age_us: int
    unix_us: int
    data: bytes

    @property
    def key(self) -> Key:
        """Return what it is on."""
        return Key(self.origin, self.kind, self.about)

    @property
    def order(self) -> Order:
        """Return what tells it from an older one."""
        return Order(self.life, self.version, self.by)


class Rows(msgspec.Struct, frozen=True, array_like=True, tag="picture-rows"):
    """A member tells rows that are new to it, or that another lacks."""

    rows: tuple[Row, ...]


class Marks(msgspec.Struct, frozen=True, array_like=True, tag="picture-marks"):
    """Digests of rows that stand, one for each of ``BUCKETS`` parts of all keys; ``answers`` ends the comparison."""

    marks: tuple[int, ...]
    answers: bool = False


class Terms(NamedTuple):
    """How a kind of rows is kept: the least time between two words on one key, and how old one may get here.

    ``most`` of its rows are kept. ``stands``: it is said once and not again, so that what chance left out has to come
    by digests. ``lasting``: it is for a member's file as well. ``by_all``: every member says it, so that the time
    between two words grows with the fleet.
    """

    every_us: int
    keep_us: int
    stands: bool = False
    lasting: bool = False
    by_all: bool = False
    most: int = 20_000


BUCKETS = 64
