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


class MemberState(Enum):
    """Where an instance is in its life, as seen from here."""

    ANNOUNCED = "announced"  # a source names it; nothing was heard of it yet
    LIVE = "live"
    SUSPECTED = "suspected"  # silent for longer than its habit
    RESTING = "resting"  # it says that it takes no work for now
    DRAINING = "draining"  # it said that it leaves, or its record does
    GONE = "gone"


# Every move; what is not here is a defect. GONE is the end of one start: a later boot is a new life.
STATE_TRANSITIONS: dict[MemberState, frozenset[MemberState]] = {
    MemberState.ANNOUNCED: frozenset(
        {MemberState.LIVE, MemberState.SUSPECTED, MemberState.RESTING, MemberState.DRAINING, MemberState.GONE}
    ),
    MemberState.LIVE: frozenset({MemberState.SUSPECTED, MemberState.RESTING, MemberState.DRAINING, MemberState.GONE}),
    MemberState.SUSPECTED: frozenset({MemberState.LIVE, MemberState.RESTING, MemberState.DRAINING, MemberState.GONE}),
    MemberState.RESTING: frozenset({MemberState.LIVE, MemberState.SUSPECTED, MemberState.DRAINING, MemberState.GONE}),
    MemberState.DRAINING: frozenset({MemberState.GONE}),
    MemberState.GONE: frozenset(),
}


class Member(NamedTuple):
    """One instance in the view: its life, since when, and from when it warms up (0: it is warm).

    ``changed_version`` is the view's version at which it became so.
    """

    instance: Instance
    state: MemberState
    since_us: int
    warmup_start_us: int = 0
    changed_version: int = 0

    @property
    def accepts_requests(self) -> bool:
        """Tell whether new work may be sent to it."""
        return self.state in (MemberState.ANNOUNCED, MemberState.LIVE)


class Source(Enum):
    """Who names instances; those above go before those below."""

    RECORDS = "records"
    STATIC = "static file"
    SAVED = "last view saved"
