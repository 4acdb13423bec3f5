"""What the core asks for. Reading and writing happen only as these are carried out."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Union

from sagetrestle.net.routing.values import Address, Answer, CommandKind, ConnectionId, Reply, Ticket

if TYPE_CHECKING:  # what is off is not loaded
    from sagetrestle.handover import old_process, new_process
    from sagetrestle.takeover import node


class Listen(NamedTuple):
    """Open the fronts; those named, at the sockets that the older process passed."""

    passed: tuple[str, ...] = ()


class ListenToOperators(NamedTuple):
    """Open the second address."""


class TakeInWaiting(NamedTuple):
    """Take in what has come on the fronts' connections and was not looked at yet."""


class StopListening(NamedTuple):
    """Take no new connections; what waits at sockets that are shared is left to the other process."""

    shared: bool = False


class Room(NamedTuple):
    """Hold no more connections of a front than this."""

    front: str
    most: int


class ToOther(NamedTuple):
    """Deal with another process of this server, as its state machine decided."""

    what: old_process.Decision | new_process.Decision


class ToFleet(NamedTuple):
    """Deal with other members, the council's store, or their kernels, as this member decided."""

    what: node.Decision


class SendAnswer(NamedTuple):
    """Give a request its final answer, with the free value where one is set."""

    ticket: Ticket
    answer: Answer
    value: float | None


class SendHealth(NamedTuple):
    """Answer a health check."""

    ticket: Ticket
    good: bool
    value: float | None


class AnswerOperator(NamedTuple):
    """Answer a call at the second address."""

    caller: int
    reply: Reply


class AskToLeave(NamedTuple):
    """Tell the other side that no new request may come on this connection."""

    connection: ConnectionId


class CloseConnection(NamedTuple):
    """Close a connection once what was written to it is sent; ``unless_heard``: not if something has come on it."""

    connection: ConnectionId
    unless_heard: bool = False


class Doubt(NamedTuple):
    """What came on a connection was of no use: look at it seldom from now on."""

    connection: ConnectionId


class ConnectKernel(NamedTuple):
    """Set up the link to the kernel with this number; it takes the place of the one before."""

    link: int
    address: Address


class UseLedger(NamedTuple):
    """Make new calls at this address, or none; calls in hand may finish where they are."""

    address: Address | None


class UseRoster(NamedTuple):
    """Send reports to this address."""

    address: Address


class OpenKernel(NamedTuple):
    """Say which notice was read last."""

    serial: int


class CommandRun(NamedTuple):
    """Tell the kernel what to do with a run; ``body`` is the request's or the reply's.

    ``token`` is its fencing token where the fleet is on: partition, epoch, owner; ``place`` is the server that its
    record names, where runs are sent on.
    """

    kind: CommandKind
    id: str
    cls: str = ""
    body: bytes = b""
    token: tuple[int, int, str] | None = None
    place: str = ""


class AskGauges(NamedTuple):
    """Ask the kernel for the gauges."""

    cookie: str


class PostCall(NamedTuple):
    """Make a call; ``once`` tells that it can not be made again when nothing is known of it."""

    id: str
    timeout_ms: int
    body: bytes
    once: bool


class AbandonCall(NamedTuple):
    """Give a call up."""

    id: str


class Report(NamedTuple):
    """Tell the roster whether this server takes work."""

    on: bool


class Announce(NamedTuple):
    """Publish the service records of the fronts that have them, or withdraw them."""

    on: bool


class WriteLog(NamedTuple):
    """A line for the people on call; ``fields`` are what it says, for logs that machines read."""

    text: str
    fields: tuple[tuple[str, str], ...] = ()


class Exit(NamedTuple):
    """End the process; all that had to be said was said."""


Effect = Union[
    Listen,
    ListenToOperators,
    StopListening,
    TakeInWaiting,
    Room,
    ToOther,
    SendAnswer,
    SendHealth,
    AnswerOperator,
    AskToLeave,
    CloseConnection,
    Doubt,
    ConnectKernel,
    OpenKernel,
    UseLedger,
    UseRoster,
    CommandRun,
    AskGauges,
    PostCall,
    AbandonCall,
    Report,
    Announce,
    WriteLog,
    Exit,
]
