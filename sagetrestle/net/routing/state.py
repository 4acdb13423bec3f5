"""All that the core holds. Only the reducer changes it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from sagetrestle.identity.values import Verdict
from sagetrestle.interface import Gauges
from sagetrestle.logic import Policy
from sagetrestle.net.routing.effects import CommandRun
from sagetrestle.net.routing.figures import Figures
from sagetrestle.net.routing.gate import Gate
from sagetrestle.net.routing.keys import KeyTable
from sagetrestle.net.routing.parts import FleetPart, PairPart
from sagetrestle.net.routing.values import CommandKind, ConnectionId, Peers, Plan, Request, Ticket

if TYPE_CHECKING:  # what is off is not loaded
    from sagetrestle.identity.guard import Guard
    from sagetrestle.quota import Limit


class Phase(Enum):
    """Where a request stands."""

    HELD = "held"
    WAITING = "waiting for a word from another process"
    RUNNING = "running"
    PAUSED = "paused"
    AT_CALL = "at a call not made"
    CALLING = "at a call in hand"
    JOINED = "waiting for the try it repeats"


@dataclass(slots=True)
class Command:
    """A command that no notice has confirmed yet; ``sent_at`` is None while there was no link."""

    what: CommandRun
    sent_at: int | None


@dataclass(slots=True)
class Entry:
    """One request from its reading until its answer is given and its run is over."""

    request: Request
    repeats: str | None = None
    phase: Phase = Phase.HELD
    owed: bool = True  # an answer
    ran: bool = False
    claimed: bool = False  # granted by another process
    recorded: bool = False  # at the backups, where the fleet is on
    token: tuple[int, int, str] | None = None  # partition, epoch, owner
    place: str = ""  # the server that its record names, where runs are sent on
    unit: Limit | None = None  # that a unit was taken of, for the whole fleet
    in_doubt: bool = False  # its run is over, and nobody knows how
    pausing: bool = False
    resent: list[CommandKind] = field(default_factory=list)  # written twice, so that one may be rejected
    unconfirmed: list[Command] = field(default_factory=list)
    joined: list[str] = field(default_factory=list)
    call_body: bytes = b""
    call_from: int = 0
    verdict: Verdict | None = None  # by which it was let in, where identity is on
    reserved: bool = False  # within its tenant's spending cap, and not spent yet
    spent: bool = False


@dataclass(slots=True)
class Connection:
    """A front's connection: the numbers of its open requests, and its idle time."""

    open: set[int] = field(default_factory=set)
    used_at: int = 0
    leaving_at: int | None = None
    proven: bool = False  # by a request or health check that could be taken


class Link(Enum):
    """How far the link to the kernel is."""

    DOWN = "down"
    CONNECTING = "connecting"
    OPENED = "opened, the kernel not known to be up"
    SYNCING = "reading what was missed"
    UP = "up"


@dataclass(slots=True)
class Kernel:
    """The link to the kernel."""

    link: Link = Link.DOWN
    number: int = 0  # of the link that is set up or stands
    serial: int = 0
    lost_at: int = 0
    backoff_us: int = 0
    syncs: int = 0
    asked: bool = False  # for the gauges, and not answered yet


@dataclass(slots=True)
class Drain:
    """The notice to leave: when it came, when the listening ends, when the process must be gone."""

    at: int
    close_at: int
    exit_at: int
    closed: bool = False  # the listening has ended
    last_look: bool = False  # what had come on the connections by ``exit_at`` was taken in


@dataclass(slots=True)
class State:
    """One server."""

    plan: Plan
    keys: KeyTable
    peers: Peers | None = None
    policy: Policy | None = None
    entries: dict[str, Entry] = field(default_factory=dict)
    tickets: dict[Ticket, str] = field(default_factory=dict)
    connections: dict[ConnectionId, Connection] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)  # calls in hand, and when each is given up
    wakes: list[tuple[int, int]] = field(default_factory=list)  # a heap of due time and token
    chores: dict[str, int] = field(default_factory=dict)  # regular work, and when each is due
    gauges: Gauges = field(default_factory=Gauges)
    kernel: Kernel = field(default_factory=Kernel)
    drain: Drain | None = None
    guard: Guard | None = None  # None: identity is off
    unverified: dict[Ticket, Request] = field(default_factory=dict)
    groups: dict[str, int] = field(default_factory=dict)  # tenants that the module weighs one by one
    healthy: bool = True  # as the module says
    evacuated: bool = False  # by the operators, until they say otherwise
    figures: Figures = field(default_factory=Figures)
    value: float | None = None
    idle_us: int = 0
    listening: bool = False
    gate: Gate = field(default_factory=Gate)
    pair: PairPart | None = None  # with another process of this server, where there may be one
    fleet: FleetPart | None = None  # with other servers
    exited: bool = False


def join_pair(state: State, pair: PairPart) -> None:
    """Have an upgrade's pair reached by the core, and heard before a keyed run."""
    state.pair = pair
    state.gate.judges.append(pair)


def new_state(plan: Plan, guard: Guard | None = None) -> State:
    """Return the state of a server that starts."""
    keys = KeyTable(plan.settings, most_bytes=plan.bounds.results)
    groups = {one.name: at for at, one in enumerate(plan.settings.tenants)}
    figures = Figures([[0, 0, 0] for _ in plan.settings.classes])
    return State(plan, keys, figures=figures, idle_us=plan.settings.idle_max_us, guard=guard, groups=groups)
