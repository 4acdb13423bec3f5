"""The words of membership."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Endpoint(NamedTuple):
    """Where an instance is reached."""

    host: str
    port: int


class Instance(NamedTuple):
    """What a source says of one instance.

    ``boot`` tells one start under a name from the next: higher is later, 0 is not told. ``priority`` and
    ``weight`` are the SRV record's (RFC 2782); ``text`` holds the TXT record's other pairs (RFC 6763, 6).
    """

    name: str
    endpoint: Endpoint
    priority: int = 0
    weight: int = 1
    boot: int = 0
    draining: bool = False
    text: tuple[tuple[str, str], ...] = ()


class Life(Enum):
    """Where an instance is in its life, as seen from here."""

    ANNOUNCED = "announced"  # a source names it; nothing was heard of it yet
    LIVE = "live"
    SUSPECTED = "suspected"  # silent for longer than its habit
    RESTING = "resting"  # it says that it takes no work for now
    DRAINING = "draining"  # it said that it leaves, or its record does
    GONE = "gone"


# Every move; what is not here is a defect. GONE is the end of one start: a later boot is a new life.
MOVES: dict[Life, frozenset[Life]] = {
    Life.ANNOUNCED: frozenset({Life.LIVE, Life.SUSPECTED, Life.RESTING, Life.DRAINING, Life.GONE}),
    Life.LIVE: frozenset({Life.SUSPECTED, Life.RESTING, Life.DRAINING, Life.GONE}),
    Life.SUSPECTED: frozenset({Life.LIVE, Life.RESTING, Life.DRAINING, Life.GONE}),
    Life.RESTING: frozenset({Life.LIVE, Life.SUSPECTED, Life.DRAINING, Life.GONE}),
    Life.DRAINING: frozenset({Life.GONE}),
    Life.GONE: frozenset(),
}


class Member(NamedTuple):
    """One instance in the view: its life, since when, and from when it warms up (0: it is warm).

    ``changed`` is the view's version at which it became so.
    """

    instance: Instance
    life: Life
    since_us: int
    warms_from_us: int = 0
    changed: int = 0

    @property
    def takes_work(self) -> bool:
        """Tell whether new work may be sent to it."""
        return self.life in (Life.ANNOUNCED, Life.LIVE)


class Source(Enum):
    """Who names instances; those above go before those below."""

    RECORDS = "records"
    STATIC = "static file"
    SAVED = "last view saved"
