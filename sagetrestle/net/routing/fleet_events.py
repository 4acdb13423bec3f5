"""Fleet events that the program passes to the core: messages, completed writes, server outcomes, capacity."""

from __future__ import annotations

from typing import NamedTuple

from sagetrestle.consensus.raft import RaftState
from sagetrestle.peers import links
from sagetrestle.quota.permits import PermitReport
from sagetrestle.recovery.effects import RecordKind


class StoreWriteDone(NamedTuple):
    """A write to the consensus store completed; ``done`` is False if it failed."""

    done: bool


class RecordsPersisted(NamedTuple):
    """Changes of this member's effect log copies are durable; ``done`` is False if the write failed."""

    done: bool


class RunOutcomeReported(NamedTuple):
    """A kernel or server reported the outcome of a run; with ``fenced`` it rejects all earlier epochs from now on."""

    partition: int
    epoch: int
    run: str
    kind: RecordKind
    result: bytes
    fenced: bool = True


class ServerOutcomes(NamedTuple):
    """Recent request outcomes by server: name, boot id, successes and failures."""

    servers: tuple[tuple[str, int, int, int], ...]


class SlotsReported(NamedTuple):
    """Reports of this member's demand for and use of servers' permits, for their granters."""

    reports: tuple[PermitReport, ...]


class CapacityMeasured(NamedTuple):
    """Current and mean capacity in concurrent requests; by server the answered requests and those in flight."""

    slots: int
    cores: float
    done: dict[str, int]
    in_use: dict[str, int]


class ConsensusStoreReset(NamedTuple):
    """The consensus store was reopened; ``seat`` is its recovered state."""

    seat: RaftState


FleetEvent = (
    links.Event
    | StoreWriteDone
    | RecordsPersisted
    | RunOutcomeReported
    | ServerOutcomes
    | SlotsReported
    | CapacityMeasured
    | ConsensusStoreReset
)
