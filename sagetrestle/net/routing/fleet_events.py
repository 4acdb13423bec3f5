"""What the program tells the core of the fleet: other members' words, stores, servers' answers, room."""

from __future__ import annotations

from typing import NamedTuple

from sagetrestle.consensus.core import Raft
from sagetrestle.peers import links
from sagetrestle.quota.slots import AskSlots
from sagetrestle.recovery.effects import RecordKind


class StoreDone(NamedTuple):
    """The council's store has what it was given; False: it can not be written."""

    done: bool


class RecordsKept(NamedTuple):
    """Changes of this member's copies are durable; False: they can not be."""

    done: bool


class FateTold(NamedTuple):
    """A kernel or a server told what became of a run; ``fenced``: it takes nothing of an earlier epoch any more."""

    partition: int
    epoch: int
    run: str
    kind: RecordKind
    result: bytes
    fenced: bool = True


class Seen(NamedTuple):
    """What became of requests to servers lately: name, start, good and bad of each."""

    servers: tuple[tuple[str, int, int, int], ...]


class SlotsReported(NamedTuple):
    """What this member wants and has of servers' slots, as reports to their granters."""

    reports: tuple[AskSlots, ...]


class RoomFound(NamedTuple):
    """How many requests may be on the way now, and on the mean; by server what was answered, and is on the way."""

    slots: int
    cores: float
    done: dict[str, int]
    in_use: dict[str, int]


class SeatTaken(NamedTuple):
    """The council's store was begun anew."""

    seat: Raft


FleetEvent = links.Event | StoreDone | RecordsKept | FateTold | Seen | SlotsReported | RoomFound | SeatTaken
