"""What can happen to the core."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Union

from sagetrestle.net.routing.values import (
    CallVerdict,
    CommandKind,
    ConnectionEnd,
    ConnectionId,
    OperatorCall,
    Peers,
    Request,
    RunEnd,
    Ticket,
)

if TYPE_CHECKING:
    from sagetrestle.handover import old_process, new_process
    from sagetrestle.identity.judge import Snapshot
    from sagetrestle.net.routing.fleet_events import FleetEvent


class Started(NamedTuple):
    """The program is up, and reaches the others at these addresses.

    ``elders`` sockets were found that may belong to an older process of this server.
    """

    peers: Peers
    elders: int = 0


class Reconfigured(NamedTuple):
    """A new configuration was read and holds; ``fixed`` names what in it takes a restart to change."""

    peers: Peers
    fixed: tuple[str, ...] = ()


class ReloadFailed(NamedTuple):
    """A new configuration can not be used; the old one holds."""

    why: str


class IdentityRead(NamedTuple):
    """The operators' files of identity changed and hold."""

    snapshot: Snapshot
    what: str


class IdentityFailed(NamedTuple):
    """A file of identity changed and can not be used; what was in force stays."""

    why: str


class StopAsked(NamedTuple):
    """The notice to leave came."""


class ConnectionOpened(NamedTuple):
    """A front took a connection."""

    connection: ConnectionId


class ConnectionEnded(NamedTuple):
    """A front's connection is over."""

    connection: ConnectionId
    end: ConnectionEnd
    detail: str = ""


class RequestRead(NamedTuple):
    """A front read a request."""

    request: Request


class RequestRejected(NamedTuple):
    """A front answered by itself what is no request that the core could take."""

    connection: ConnectionId
    why: str


class Withdrawn(NamedTuple):
    """Nobody waits for this request any longer."""

    ticket: Ticket


class HealthAsked(NamedTuple):
    """A health check was read."""

    ticket: Ticket


class ManagementAsked(NamedTuple):
    """The operators ask something at the second address."""

    caller: int
    call: OperatorCall


class FromElder(NamedTuple):
    """Something happened on the stream to the older process of this server."""

    event: new_process.Event


class FromHeir(NamedTuple):
    """Something happened on a stream from a newer process of this server."""

    event: old_process.Event


class FromFleet(NamedTuple):
    """Something came from other members, from the council's store, or from a kernel of another's."""

    event: FleetEvent


class KernelConnected(NamedTuple):
    """The link to the kernel with this number stands, with nothing said on it yet."""

    link: int


class KernelLost(NamedTuple):
    """The link to the kernel with this number is over, or could not be set up."""

    link: int
    end: ConnectionEnd
    detail: str = ""


class KernelBooted(NamedTuple):
    """The kernel is up, and has been for so long."""

    cold: bool
    age_us: int


class RunOver(NamedTuple):
    """A run is over."""

    serial: int
    id: str
    end: RunEnd
    took_us: int
    result: bytes
    retry_after_us: int = 0


class RunCalls(NamedTuple):
    """A run waits for a call with this body."""

    serial: int
    id: str
    body: bytes


class GaugesRead(NamedTuple):
    """The gauges, in the order of the settings."""

    cookie: str
    stats: tuple[float | None, ...]


class CommandRejected(NamedTuple):
    """The kernel did not carry out a command; ``kind`` is None where it is not known here."""

    kind: CommandKind | None
    id: str
    word: str


class KernelRemark(NamedTuple):
    """A notice with no meaning, but with a number."""

    serial: int
    text: str


class CallAnswered(NamedTuple):
    """The ledger answered a call."""

    id: str
    verdict: CallVerdict
    reply: bytes


class CallBroken(NamedTuple):
    """The connection of a call ended; ``written`` tells whether any of the call had been sent."""

    id: str
    end: ConnectionEnd
    written: bool


class LedgerLost(NamedTuple):
    """A connection to the ledger ended in a way worth a line in the log."""

    end: ConnectionEnd
    detail: str


Input = Union[
    Started,
    Reconfigured,
    ReloadFailed,
    IdentityRead,
    IdentityFailed,
    StopAsked,
    ConnectionOpened,
    ConnectionEnded,
    RequestRead,
    RequestRejected,
    Withdrawn,
    HealthAsked,
    ManagementAsked,
    FromElder,
    FromHeir,
    FromFleet,
    KernelConnected,
    KernelLost,
    KernelBooted,
    RunOver,
    RunCalls,
    GaugesRead,
    CommandRejected,
    KernelRemark,
    CallAnswered,
    CallBroken,
    LedgerLost,
]
