"""The effects that the core returns. All input and output happens when the program carries them out."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Union

from sagetrestle.net.routing.values import Address, Answer, CommandKind, ConnectionId, ManagementReply, RequestRef

if TYPE_CHECKING:  # optional modules are not loaded unless they are enabled
    from sagetrestle.handover import old_process, new_process
    from sagetrestle.takeover import node


class Listen(NamedTuple):
    """Open the fronts; those in ``passed`` on the sockets that the old process passed."""

    passed: tuple[str, ...] = ()


class ListenForManagement(NamedTuple):
    """Open the management address."""


class ReadPendingInput(NamedTuple):
    """Read the input that waits on the fronts' connections."""


class StopListening(NamedTuple):
    """Accept no new connections; pending ones on shared sockets are left to the other process."""

    shared: bool = False


class SetConnectionLimit(NamedTuple):
    """Limit the number of connections of a front."""

    front: str
    maximum: int


class ExecuteHandoverDecision(NamedTuple):
    """Carry out a decision of the handover state machines."""

    decision: old_process.Decision | new_process.Decision


class ExecuteFleetDecision(NamedTuple):
    """Carry out a decision about other fleet members, their kernels, or the consensus store."""

    decision: node.Decision


class SendAnswer(NamedTuple):
    """Send the final answer of a request, with the free value where one is set."""

    request_ref: RequestRef
    answer: Answer
    value: float | None


class SendHealthReply(NamedTuple):
    """Answer a health check."""

    request_ref: RequestRef
    good: bool
    value: float | None


class SendManagementReply(NamedTuple):
    """Reply to a management call."""

    caller: int
    reply: ManagementReply


class RequestConnectionClose(NamedTuple):
    """Ask the client to send no further requests on this connection and to close it."""

    connection: ConnectionId


class CloseConnection(NamedTuple):
    """Close a connection once its output is sent; with ``unless_input_pending`` only if no input is unread."""

    connection: ConnectionId
    unless_input_pending: bool = False


class DeprioritizeConnection(NamedTuple):
    """Read less often from a connection that sent an invalid request."""

    connection: ConnectionId


class ConnectKernel(NamedTuple):
    """Set up the kernel link with this number, which replaces the previous one."""

    link: int
    address: Address


class SetLedgerAddress(NamedTuple):
    """Use this address for new calls, or make none; calls in progress may finish where they are."""

    address: Address | None


class SetRosterAddress(NamedTuple):
    """Send reports to this address."""

    address: Address


class OpenKernelSession(NamedTuple):
    """Open the session on the kernel link, with the serial of the last notice that was read."""

    serial: int


class RunCommand(NamedTuple):
    """Send the kernel a command about a run; ``body`` is that of the request or of the call's reply.

    ``token`` is the fencing token in a fleet: partition, epoch, owner. ``place`` is the server named in the run's
    record, where runs are forwarded.
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
    """Make a call to the ledger; ``at_most_once`` forbids repeating it when its outcome is unknown."""

    id: str
    timeout_ms: int
    body: bytes
    at_most_once: bool


class AbandonCall(NamedTuple):
    """Abandon a call."""

    id: str


class ReportReadiness(NamedTuple):
    """Tell the roster whether this server accepts work."""

    ready: bool


class UpdateServiceRecords(NamedTuple):
    """Publish or withdraw the service records of the fronts that have them."""

    published: bool


class WriteLog(NamedTuple):
    """Write a log line; ``fields`` are its values for structured logs."""

    text: str
    fields: tuple[tuple[str, str], ...] = ()


class Exit(NamedTuple):
    """End the process; all answers have been sent."""


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
