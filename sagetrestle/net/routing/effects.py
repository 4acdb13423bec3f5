"""What the core asks for. Reading and writing happen only as these are carried out."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Union

from sagetrestle.net.routing.values import Address, Answer, CommandKind, ConnectionId, ManagementReply, RequestRef

if TYPE_CHECKING:  # what is off is not loaded
    from sagetrestle.handover import elder, successor
    from sagetrestle.takeover import node


class Listen(NamedTuple):
    """Open the fronts; those named, at the sockets that the older process passed."""

    passed: tuple[str, ...] = ()


class ListenForManagement(NamedTuple):
    """Open the second address."""


class ReadPendingInput(NamedTuple):
    """Take in what has come on the fronts' connections and was not looked at yet."""


class StopListening(NamedTuple):
    """Take no new connections; what waits at sockets that are shared is left to the other process."""

    shared: bool = False


class SetConnectionLimit(NamedTuple):
    """Hold no more connections of a front than this."""

    front: str
    most: int


class ExecuteHandoverDecision(NamedTuple):
    """Deal with another process of this server, as its state machine decided."""

    what: elder.Decision | successor.Decision


class ExecuteFleetDecision(NamedTuple):
    """Deal with other members, the council's store, or their kernels, as this member decided."""

    what: node.Decision


class SendAnswer(NamedTuple):
    """Give a request its final answer, with the free value where one is set."""

    request_ref: RequestRef
    answer: Answer
    value: float | None


class SendHealthReply(NamedTuple):
    """Answer a health check."""

    request_ref: RequestRef
    good: bool
    value: float | None


class SendManagementReply(NamedTuple):
    """Answer a call at the second address."""

    caller: int
    reply: ManagementReply


class RequestConnectionClose(NamedTuple):
    """Tell the other side that no new request may come on this connection."""

    connection: ConnectionId


class CloseConnection(NamedTuple):
    """Close a connection once what was written to it is sent; ``unless_input_pending``: not if input is unread."""

    connection: ConnectionId
    unless_input_pending: bool = False


class DeprioritizeConnection(NamedTuple):
    """What came on a connection was of no use: look at it seldom from now on."""

    connection: ConnectionId


class ConnectKernel(NamedTuple):
    """Set up the link to the kernel with this number; it takes the place of the one before."""

    link: int
    address: Address


class SetLedgerAddress(NamedTuple):
    """Make new calls at this address, or none; calls in hand may finish where they are."""

    address: Address | None


class SetRosterAddress(NamedTuple):
    """Send reports to this address."""

    address: Address


class OpenKernelSession(NamedTuple):
    """Say which notice was read last."""

    serial: int


class RunCommand(NamedTuple):
    """Tell the kernel what to do with a run; ``body`` is the request's or the reply's.

    ``token`` is its fencing token where the fleet is on: partition, epoch, owner; ``place`` is the server that its
    record names, where runs are sent on.
    """

    kind: CommandKind
    id: str
    class_name: str = ""
    body: bytes = b""
    token: tuple[int, int, str] | None = None
    place: str = ""


class RequestGauges(NamedTuple):
    """Ask the kernel for the gauges."""

    cookie: str


class PostCall(NamedTuple):
    """Make a call; ``once`` tells that it can not be made again when nothing is known of it."""

    id: str
    timeout_ms: int
    body: bytes
    at_most_once: bool


class AbandonCall(NamedTuple):
    """Give a call up."""

    id: str


class ReportReadiness(NamedTuple):
    """Tell the roster whether this server takes work."""

    on: bool


class UpdateServiceRecords(NamedTuple):
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
    ListenForManagement,
    StopListening,
    ReadPendingInput,
    SetConnectionLimit,
    ExecuteHandoverDecision,
    SendAnswer,
    SendHealthReply,
    SendManagementReply,
    RequestConnectionClose,
    CloseConnection,
    DeprioritizeConnection,
    ConnectKernel,
    OpenKernelSession,
    SetLedgerAddress,
    SetRosterAddress,
    RunCommand,
    RequestGauges,
    PostCall,
    AbandonCall,
    ReportReadiness,
    UpdateServiceRecords,
    WriteLog,
    Exit,
]
