"""The inputs of the core."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Union

from sagetrestle.net.routing.values import (
    BackendAddresses,
    CallStatus,
    CommandKind,
    ConnectionEnd,
    ConnectionId,
    ManagementCall,
    Request,
    RequestRef,
    RunEnd,
)

if TYPE_CHECKING:
    from sagetrestle.handover import old_process, new_process
    from sagetrestle.identity.authorizer import Snapshot
    from sagetrestle.net.routing.fleet_events import FleetEvent


class Started(NamedTuple):
    """The program has started; ``peers`` are the addresses of the services behind it.

    ``old_process_sockets`` is the number of sockets found that may belong to an old process of this server.
    """

    peers: BackendAddresses
    old_process_sockets: int = 0


class Reconfigured(NamedTuple):
    """A new configuration is in force; ``restart_required`` names the changed fields that need a restart."""

    peers: BackendAddresses
    restart_required: tuple[str, ...] = ()


class ReloadFailed(NamedTuple):
    """A new configuration is invalid; the previous one stays in force."""

    reason: str


class IdentityRead(NamedTuple):
    """Changed identity files were read and are valid; ``files`` names them."""

    snapshot: Snapshot
    files: str


class IdentityFailed(NamedTuple):
    """A changed identity file is invalid; the previous version stays in force."""

    reason: str


class StopRequested(NamedTuple):
    """The process was asked to stop (SIGTERM)."""


class ConnectionOpened(NamedTuple):
    """A front accepted a connection."""

    connection: ConnectionId


class ConnectionEnded(NamedTuple):
    """A connection of a front ended."""

    connection: ConnectionId
    end: ConnectionEnd
    detail: str = ""


class RequestRead(NamedTuple):
    """A front read a request."""

    request: Request


class RequestRejected(NamedTuple):
    """A front answered an invalid request without passing it to the core."""

    connection: ConnectionId
    reason: str


class WithdrawalRead(NamedTuple):
    """The caller no longer waits for this request."""

    request_ref: RequestRef


class HealthCheckRead(NamedTuple):
    """A health check was read."""

    request_ref: RequestRef


class ManagementCallRead(NamedTuple):
    """A management call was read."""

    caller: int
    call: ManagementCall


class OldProcessEvent(NamedTuple):
    """An event on the stream to the old process of this server."""

    event: new_process.Event


class NewProcessEvent(NamedTuple):
    """An event on a stream from a new process of this server."""

    event: old_process.Event


class FleetEventReceived(NamedTuple):
    """An event from other fleet members, from the consensus store, or from another server's kernel."""

    event: FleetEvent


class KernelConnected(NamedTuple):
    """The kernel link with this number is connected; nothing has been sent on it yet."""

    link: int


class KernelDisconnected(NamedTuple):
    """The kernel link with this number ended or could not be set up."""

    link: int
    end: ConnectionEnd
    detail: str = ""


class KernelBooted(NamedTuple):
    """The kernel is up, and has been for ``age_us``."""

    cold: bool
    age_us: int


class RunFinished(NamedTuple):
    """A run ended."""

    serial: int
    id: str
    end: RunEnd
    took_us: int
    result: bytes
    retry_after_us: int = 0


class RunRequestedCall(NamedTuple):
    """A run waits for a call to the ledger with this body."""

    serial: int
    id: str
    body: bytes


class GaugesRead(NamedTuple):
    """Gauge values, in the order of the settings."""

    cookie: str
    stats: tuple[float | None, ...]


class CommandRejected(NamedTuple):
    """The kernel rejected a command; ``kind`` is None for a command unknown to the core."""

    kind: CommandKind | None
    id: str
    command_name: str


class KernelNotice(NamedTuple):
    """A notice that only advances the serial number."""

    serial: int
    text: str


class CallAnswered(NamedTuple):
    """The ledger answered a call."""

    id: str
    verdict: CallStatus
    reply: bytes


class CallConnectionLost(NamedTuple):
    """The connection of a call ended; ``written`` tells whether any part of the call had been sent."""

    id: str
    end: ConnectionEnd
    written: bool


class LedgerConnectionLost(NamedTuple):
    """A connection to the ledger ended in a way that is logged."""

    end: ConnectionEnd
    detail: str


Input = Union[
    Started,
    Reconfigured,
    ReloadFailed,
    IdentityRead,
    IdentityFailed,
    StopRequested,
    ConnectionOpened,
    ConnectionEnded,
    RequestRead,
    RequestRejected,
    WithdrawalRead,
    HealthCheckRead,
    ManagementCallRead,
    OldProcessEvent,
    NewProcessEvent,
    FleetEventReceived,
    KernelConnected,
    KernelDisconnected,
    KernelBooted,
    RunFinished,
    RunRequestedCall,
    GaugesRead,
    CommandRejected,
    KernelNotice,
    CallAnswered,
    CallConnectionLost,
    LedgerConnectionLost,
]
