"""Values of membership: instances, members, and their states."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Endpoint(NamedTuple):
    """The address of an instance."""

    host: str
    port: int


class Instance(NamedTuple):
    """An instance as a source describes it.

    ``boot`` distinguishes starts under one name: higher is later, 0 is unknown. ``priority`` and ``weight`` are those
    of the SRV record (RFC 2782); ``text`` holds the other pairs of the TXT record (RFC 6763, 6).
    """

    name: str
    endpoint: Endpoint
    priority: int = 0
    weight: int = 1
    boot: int = 0
    draining: bool = False
    text: tuple[tuple[str, str], ...] = ()


class MemberState(Enum):
    """The state of a member, as observed by this process."""

    ANNOUNCED = "announced"  # listed by a source, no answer yet
    LIVE = "live"
    SUSPECTED = "suspected"  # silent for longer than its answers make likely
    RESTING = "resting"  # it answers that it accepts no requests for now
    DRAINING = "draining"  # by its own answer or by its record
    GONE = "gone"


# All transitions; any other is a defect. GONE ends one start of an instance: a later boot is a new member.
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
    """One instance in the view, and its state since ``since_us``.

    ``warmup_start_us`` is when its warm-up started, 0 for none; ``changed_version`` is the version of the view
    that last changed it.
    """

    instance: Instance
    state: MemberState
    since_us: int
    warmup_start_us: int = 0
    changed_version: int = 0

    @property
    def accepts_requests(self) -> bool:
        """Return whether new requests may be sent to it."""
        return self.state in (MemberState.ANNOUNCED, MemberState.LIVE)


class Source(Enum):
    """A source of instances, in order of precedence."""

    RECORDS = "records"
    STATIC = "static file"
    SAVED = "last view saved"
