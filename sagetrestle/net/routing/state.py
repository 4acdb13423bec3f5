"""The state of the core. Only the reducer changes it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from sagetrestle.identity.values import Verdict
from sagetrestle.interface import Gauges
from sagetrestle.logic import Policy
from sagetrestle.net.routing.effects import RunCommand
from sagetrestle.net.routing.extensions import FleetExtension, HandoverExtension
from sagetrestle.net.routing.idempotency import KeyTable
from sagetrestle.net.routing.metrics import Metrics
from sagetrestle.net.routing.run_admission import RunAdmission
from sagetrestle.net.routing.values import BackendAddresses, CommandKind, ConnectionId, Plan, Request, RequestRef

if TYPE_CHECKING:  # optional modules are not loaded unless they are enabled
    from sagetrestle.identity.authenticator import Authenticator
    from sagetrestle.quota import Limit


class Phase(Enum):
    """The phase of a request."""

    QUEUED = "held"
    AWAITING_GRANT = "waiting for a grant from another process"
    RUNNING = "running"
    PAUSED = "paused"
    AWAITING_CALL = "waiting for its call to be made"
    CALL_IN_PROGRESS = "call in progress"
    JOINED = "waiting for the attempt that it repeats"


@dataclass(slots=True)
class PendingCommand:
    """A command that the kernel has not confirmed yet; ``number`` is its place among all sent, None if not sent."""

    command: RunCommand
    number: int | None = None


@dataclass(slots=True)
class RequestEntry:
    """A request, from the time it is read until it is answered and its run has ended."""

    request: Request
    repeat_of: str | None = None
    phase: Phase = Phase.QUEUED
    unanswered: bool = True
    answered_at: int = 0  # when it was answered or its caller left
    ran: bool = False
    granted: bool = False  # another process allowed the run
    recorded: bool = False  # its intent is stored at the backups (fleet only)
    token: tuple[int, int, str] | None = None  # fencing token: partition, epoch, owner
    place: str = ""  # the server named in its record, where runs are forwarded
    cap_unit: Limit | None = None  # the fleet-wide limit of which it holds a unit
    in_doubt: bool = False  # its run ended with an unknown outcome
    pause_requested: bool = False
    doubtful_command: RunCommand | None = None  # may be lost with a link, and must not be carried out twice
    off_cores: bool = False  # the policy knows that its run, which is in doubt, is not on a core
    settlement_requested: bool = False  # a start was sent after its answer, to learn whether its run goes on
    is_second_run: bool = False  # stands for a run that a repeated start may have begun after the first had ended
    resent_commands: list[CommandKind] = field(default_factory=list)  # sent twice, so the kernel may reject one
    unconfirmed_commands: list[PendingCommand] = field(default_factory=list)
    joined_ids: list[str] = field(default_factory=list)
    call_body: bytes = b""
    call_started_at: int = 0
    verdict: Verdict | None = None  # None where identity is off
    reserved: bool = False  # holds a reservation under its tenant's spending cap
    spent: bool = False


@dataclass(slots=True)
class Connection:
    """A connection of a front: the sequence numbers of its open requests, and its idle time."""

    open_requests: set[int] = field(default_factory=set)
    last_used_at: int = 0
    close_requested_at: int | None = None
    validated: bool = False  # a valid request or health check was read


class LinkPhase(Enum):
    """The phase of the link to the kernel."""

    DOWN = "down"
    CONNECTING = "connecting"
    OPENED = "opened, waiting for the kernel to report that it is up"
    SYNCING = "reading missed notices"
    UP = "up"


class GaugeRequest(NamedTuple):
    """A request for the gauges; the kernel has read the commands sent before it once it answers."""

    cookie: str
    commands_sent: int


@dataclass(slots=True)
class KernelLinkState:
    """The state of the link to the kernel."""

    link: LinkPhase = LinkPhase.DOWN
    link_number: int = 0  # of the current link
    last_serial: int = 0
    backoff_us: int = 0
    commands_sent: int = 0  # over all links
    gauge_requests_sent: int = 0
    gauge_request: GaugeRequest | None = None  # the one without an answer yet


@dataclass(slots=True)
class DrainState:
    """A drain in progress: when it started, when the listeners close, and when the process must exit."""

    started_at: int
    close_at: int
    exit_at: int
    listeners_closed: bool = False
    final_read_done: bool = False  # input received by ``exit_at`` was read


@dataclass(slots=True)
class State:
    """The state of one server process."""

    plan: Plan
    keys: KeyTable
    peers: BackendAddresses | None = None
    policy: Policy | None = None
    entries: dict[str, RequestEntry] = field(default_factory=dict)
    ids_by_ref: dict[RequestRef, str] = field(default_factory=dict)
    connections: dict[ConnectionId, Connection] = field(default_factory=dict)
    call_deadlines: dict[str, int] = field(default_factory=dict)  # by request id, for calls in progress
    timers: list[tuple[int, int]] = field(default_factory=list)  # a heap of (due time, token)
    task_due_times: dict[str, int] = field(default_factory=dict)  # by periodic task
    gauges: Gauges = field(default_factory=Gauges)
    kernel: KernelLinkState = field(default_factory=KernelLinkState)
    drain: DrainState | None = None
    authenticator: Authenticator | None = None  # None where identity is off
    unverified: dict[RequestRef, Request] = field(default_factory=dict)
    tenant_indexes: dict[str, int] = field(default_factory=dict)  # by name, of the tenants in the settings
    healthy: bool = True  # according to the policy
    evacuated: bool = False  # set and cleared by operators
    metrics: Metrics = field(default_factory=Metrics)
    free_value: float | None = None
    idle_us: int = 0
    listening: bool = False
    run_admission: RunAdmission = field(default_factory=RunAdmission)
    handover: HandoverExtension | None = None  # None where the server has no management address
    fleet: FleetExtension | None = None  # None where the server is in no fleet
    exited: bool = False


def attach_handover(state: State, handover: HandoverExtension) -> None:
    """Make the handover extension reachable from the core and add it to the checks before a keyed run."""
    state.handover = handover
    state.run_admission.checks.append(handover)


def new_state(plan: Plan, authenticator: Authenticator | None = None) -> State:
    """Return the initial state of a server."""
    keys = KeyTable(plan.settings, max_result_bytes=plan.bounds.results)
    groups = {tenant.name: index for index, tenant in enumerate(plan.settings.tenants)}
    figures = Metrics([[0, 0, 0] for _ in plan.settings.classes])
    return State(
        plan,
        keys,
        metrics=figures,
        idle_us=plan.settings.idle_max_us,
        authenticator=authenticator,
        tenant_indexes=groups,
    )
