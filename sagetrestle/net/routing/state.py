"""All that the core holds. Only the reducer changes it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from sagetrestle.identity.values import Verdict
from sagetrestle.interface import Gauges
from sagetrestle.logic import Policy
from sagetrestle.net.routing.effects import RunCommand
from sagetrestle.net.routing.metrics import Metrics
from sagetrestle.net.routing.run_admission import RunAdmission
from sagetrestle.net.routing.idempotency import KeyTable
from sagetrestle.net.routing.extensions import FleetExtension, HandoverExtension
from sagetrestle.net.routing.values import CommandKind, ConnectionId, BackendAddresses, Plan, Request, RequestRef

if TYPE_CHECKING:  # what is off is not loaded
    from sagetrestle.identity.guard import Guard
    from sagetrestle.quota import Limit


class Phase(Enum):
    """Where a request stands."""

    QUEUED = "held"
    AWAITING_GRANT = "waiting for a word from another process"
    RUNNING = "running"
    PAUSED = "paused"
    AWAITING_CALL = "at a call not made"
    CALL_IN_PROGRESS = "at a call in hand"
    JOINED = "waiting for the try it repeats"


@dataclass(slots=True)
class PendingCommand:
    """A command that no notice has confirmed yet; ``sent_at`` is None while there was no link."""

    command: RunCommand
    sent_at: int | None


@dataclass(slots=True)
class RequestEntry:
    """One request from its reading until its answer is given and its run is over."""

    request: Request
    repeat_of: str | None = None
    phase: Phase = Phase.QUEUED
    unanswered: bool = True  # an answer
    ran: bool = False
    granted: bool = False  # granted by another process
    recorded: bool = False  # at the backups, where the fleet is on
    token: tuple[int, int, str] | None = None  # partition, epoch, owner
    place: str = ""  # the server that its record names, where runs are sent on
    cap_unit: Limit | None = None  # that a unit was taken of, for the whole fleet
    in_doubt: bool = False  # its run is over, and nobody knows how
    pause_requested: bool = False
    resent_commands: list[CommandKind] = field(default_factory=list)  # written twice, so that one may be rejected
    unconfirmed_commands: list[PendingCommand] = field(default_factory=list)
    joined_ids: list[str] = field(default_factory=list)
    call_body: bytes = b""
    call_started_at: int = 0
    verdict: Verdict | None = None  # by which it was let in, where identity is on
    reserved: bool = False  # within its tenant's spending cap, and not spent yet
    spent: bool = False


@dataclass(slots=True)
class Connection:
    """A front's connection: the numbers of its open requests, and its idle time."""

    open_requests: set[int] = field(default_factory=set)
    last_used_at: int = 0
    close_requested_at: int | None = None
    validated: bool = False  # by a request or health check that could be taken


class LinkPhase(Enum):
    """How far the link to the kernel is."""

    DOWN = "down"
    CONNECTING = "connecting"
    OPENED = "opened, the kernel not known to be up"
    SYNCING = "reading what was missed"
    UP = "up"


@dataclass(slots=True)
class KernelLinkState:
    """The link to the kernel."""

    link: LinkPhase = LinkPhase.DOWN
    link_number: int = 0  # of the link that is set up or stands
    last_serial: int = 0
    lost_at: int = 0
    backoff_us: int = 0
    sync_count: int = 0
    gauges_requested: bool = False  # for the gauges, and not answered yet


@dataclass(slots=True)
class DrainState:
    """The notice to leave: when it came, when the listening ends, when the process must be gone."""

    started_at: int
    close_at: int
    exit_at: int
    listeners_closed: bool = False  # the listening has ended
    final_read_done: bool = False  # what had come on the connections by ``exit_at`` was taken in


@dataclass(slots=True)
class State:
    """One server."""

    plan: Plan
    keys: KeyTable
    peers: BackendAddresses | None = None
    policy: Policy | None = None
    entries: dict[str, RequestEntry] = field(default_factory=dict)
    ids_by_ref: dict[RequestRef, str] = field(default_factory=dict)
    connections: dict[ConnectionId, Connection] = field(default_factory=dict)
    call_deadlines: dict[str, int] = field(default_factory=dict)  # calls in hand, and when each is given up
    timers: list[tuple[int, int]] = field(default_factory=list)  # a heap of due time and token
    task_due_times: dict[str, int] = field(default_factory=dict)  # regular work, and when each is due
    gauges: Gauges = field(default_factory=Gauges)
    kernel: KernelLinkState = field(default_factory=KernelLinkState)
    drain: DrainState | None = None
    guard: Guard | None = None  # None: identity is off
    unverified: dict[RequestRef, Request] = field(default_factory=dict)
    tenant_indexes: dict[str, int] = field(default_factory=dict)  # tenants that the module weighs one by one
    healthy: bool = True  # as the module says
    evacuated: bool = False  # by the operators, until they say otherwise
    metrics: Metrics = field(default_factory=Metrics)
    free_value: float | None = None
    idle_us: int = 0
    listening: bool = False
    run_admission: RunAdmission = field(default_factory=RunAdmission)
    handover: HandoverExtension | None = None  # with another process of this server, where there may be one
    fleet: FleetExtension | None = None  # with other servers
    exited: bool = False


def attach_handover(state: State, pair: HandoverExtension) -> None:
    """Have an upgrade's pair reached by the core, and heard before a keyed run."""
    state.handover = pair
    state.run_admission.checks.append(pair)


def new_state(plan: Plan, guard: Guard | None = None) -> State:
    """Return the state of a server that starts."""
    keys = KeyTable(plan.settings, max_result_bytes=plan.bounds.results)
    groups = {one.name: at for at, one in enumerate(plan.settings.tenants)}
    figures = Metrics([[0, 0, 0] for _ in plan.settings.classes])
    return State(plan, keys, metrics=figures, idle_us=plan.settings.idle_max_us, guard=guard, tenant_indexes=groups)
