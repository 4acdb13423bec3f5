"""What comes in at the fronts: connections, requests, withdrawals, health checks."""

from __future__ import annotations

from sagetrestle.identity.values import Verdict
from sagetrestle.interface import RequestArrived, RequestWithdrawn
from sagetrestle.net.routing import access_control, health, inputs
from sagetrestle.net.routing.effects import (
    RequestConnectionClose,
    CloseConnection,
    DeprioritizeConnection,
    SendHealthReply,
)
from sagetrestle.net.routing.state import Connection, RequestEntry, State
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import (
    Answer,
    ConnectionEnd,
    ConnectionId,
    FailCause,
    Failed,
    Refused,
    Request,
    RequestRef,
)

MAX_OPEN_REQUESTS = 32  # requests open on one connection
MAX_CLOCK_SKEW_US = 1_000_000  # a stamp may be ahead of the clock, as both are rounded; none is by this much
RECLAIM_CONNECTION_SHARE = 0.75  # of a front's room, from which connections with nothing open make room
REQUEST_LIMIT_RETRY_AFTER_US = 1_000_000  # how long to stay away when too many requests are held
KERNEL_DOWN_RETRY_AFTER_US = 1_000_000  # how long to stay away while the kernel is not up
LOGGED_CONNECTION_ENDS = (ConnectionEnd.MALFORMED, ConnectionEnd.TOO_LARGE, ConnectionEnd.TIMED_OUT)


def connection_opened(turn: Turn, item: inputs.ConnectionOpened) -> None:
    """Take a connection in; in a full front one on which nothing is open makes room for it."""
    connections, front = turn.state.connections, item.connection.front
    count = sum(name.front == front for name in connections)
    if count >= RECLAIM_CONNECTION_SHARE * connection_limit(turn.state, front):
        _reclaim_connection(turn, front)
    connections[item.connection] = Connection(last_used_at=turn.now)


def connection_limit(state: State, front: str) -> int:
    """Return how many connections a front may hold now."""
    most = state.plan.bounds.connections[front]
    return most if state.handover is None else state.handover.connection_limit(most)


def _reclaim_connection(turn: Turn, front: str) -> None:
    """Have what never sent a valid request go, the oldest first, or else what was used longest ago.

    Callers that ask once and keep their connection for good fill a front as surely as silent ones do, and
    then newcomers are turned away with their requests. It is closed as an idle one is, when the inputs of
    this turn were all taken: closed here, a request read in this very turn would lose its connection.
    """
    idle = [
        (one.validated, one.last_used_at, name)
        for name, one in turn.state.connections.items()
        if name.front == front and not one.open_requests and one.close_requested_at is None
    ]
    if idle:
        proven, _, name = min(idle)
        turn.state.connections[name].close_requested_at = turn.now
        turn.state.task_due_times["idle"] = turn.now
        if proven:  # a request may be on its way on it
            turn.effects.append(RequestConnectionClose(name))


def connection_ended(turn: Turn, item: inputs.ConnectionEnded) -> None:
    """Let a connection go; nobody waits for what is open on it."""
    connection = turn.state.connections.pop(item.connection, None)
    for seqid in sorted(connection.open_requests if connection else ()):
        _caller_left(turn, RequestRef(item.connection, seqid))
    if item.end in LOGGED_CONNECTION_ENDS:
        turn.log(f"connection {_connection_name(item.connection)} ended: {item.end.value}: {item.detail}")


def request_rejected(turn: Turn, item: inputs.RequestRejected) -> None:
    """Note what a front turned down by itself."""
    turn.log(f"connection {_connection_name(item.connection)}: request rejected: {item.reason}")


def request_withdrawn(turn: Turn, item: inputs.RequestWithdrawn) -> None:
    """Give up a request that nobody waits for."""
    _caller_left(turn, item.request_ref)


def health_check_read(turn: Turn, item: inputs.HealthCheckRead) -> None:
    """Answer a health check."""
    connection = turn.state.connections.get(item.request_ref.connection)
    if connection:
        connection.last_used_at, connection.validated = turn.now, True
        turn.effects.append(SendHealthReply(item.request_ref, health.is_ready(turn.state), turn.state.free_value))


def request_read(turn: Turn, item: inputs.RequestRead) -> None:
    """Take a request in where its form and time allow; where identity is on, its sender is judged first."""
    state = turn.state
    stamp = item.request.arrived or turn.now
    # A stamp ahead of the clock would stretch deadlines and windows.
    request = item.request._replace(arrived=min(stamp, turn.now))
    connection = state.connections.get(request.request_ref.connection)
    if connection is None:
        return
    if request.request_ref.seqid in connection.open_requests or len(connection.open_requests) >= MAX_OPEN_REQUESTS:
        turn.log(
            f"connection {_connection_name(request.request_ref.connection)}: "
            f"request number {request.request_ref.seqid} is open already, or too many are"
        )
        turn.effects.append(CloseConnection(request.request_ref.connection))
        return
    connection.last_used_at = turn.now
    if state.policy is None:
        connection.validated = True
        turn.send_final_answer(request, Refused(KERNEL_DOWN_RETRY_AFTER_US))
    elif stamp > turn.now + MAX_CLOCK_SKEW_US:
        _reject_suspicious(turn, request, "its stamp is ahead of the clock", Failed())
    elif turn.now > stamp + state.plan.settings.classes[request.class_index].deadline_us:
        # Told of these, the module would take a stamp from long ago for a long wait unread.
        connection.validated = True
        turn.send_final_answer(request, Failed(FailCause.OVERDUE))
    elif request.id in state.entries:
        _reject_suspicious(turn, request, "it came before under this id", Failed())
    elif len(state.entries) + len(state.unverified) >= state.plan.bounds.requests:
        connection.validated = True
        turn.send_final_answer(request, Refused(REQUEST_LIMIT_RETRY_AFTER_US))
    elif state.guard is None:
        _admit(turn, connection, request)
    else:
        for judged, verdict in access_control.authenticate(turn, request):
            handle_verdict(turn, judged, verdict)


def handle_verdict(turn: Turn, request: Request, verdict: Verdict) -> None:
    """Go on with a request whose sender was judged."""
    connection = turn.state.connections.get(request.request_ref.connection)
    if connection is None:
        return
    if request.id in turn.state.entries:  # another came under its id while it waited for the verdict
        _reject_suspicious(turn, request, "it came before under this id", Failed())
    elif verdict.tenant is None:
        access_control.deny(turn, request, verdict)
    else:
        _admit(turn, connection, request._replace(tenant=verdict.tenant), verdict)


def verify_pending(turn: Turn) -> None:
    """Judge some of the requests whose tokens wait to be verified."""
    for request, verdict in access_control.verify_some(turn):
        handle_verdict(turn, request, verdict)


def _admit(turn: Turn, connection: Connection, request: Request, verdict: Verdict | None = None) -> None:
    """Take a request whose sender is known, or need not be, unless its key speaks against it."""
    if turn.state.keys.conflicts(request, turn.now):
        _reject_suspicious(turn, request, "its key came before with another body", Failed(FailCause.CONFLICT))
        return
    connection.validated = True
    answer = turn.state.run_admission.early_answer(turn, request)
    if answer is not None:
        turn.send_final_answer(request, answer)
        return
    fleet = turn.state.fleet
    if (
        fleet is not None
        and not turn.state.keys.ran_in_window(request)
        and (wait := fleet.class_pause_us(turn, request.class_index))
    ):
        turn.send_final_answer(request, Refused(wait, last=True))
        return
    reserved = False
    if verdict is not None:
        may, reserved = access_control.authorize(turn, request, verdict)
        if not may:
            return
    _register(turn, connection, request, verdict, reserved)


def _register(turn: Turn, connection: Connection, request: Request, verdict: Verdict | None, reserved: bool) -> None:
    """Tie a request to the try it repeats, and tell the module."""
    fleet = turn.state.fleet
    place, back, region = (
        (0.0, 0, 0) if fleet is None or fleet.overload is None else fleet.overload.prioritize(turn, request)
    )
    repeats = turn.state.keys.register(request, turn.now)
    connection.open_requests.add(request.request_ref.seqid)
    entry = RequestEntry(request, repeats, verdict=verdict, reserved=reserved)
    turn.state.entries[request.id] = entry
    turn.state.ids_by_ref[request.request_ref] = request.id
    turn.events.append(
        RequestArrived(
            request.id,
            request.class_index,
            access_control.fairness_caller(request),
            request.held_kb,
            0,
            turn.state.tenant_indexes.get(request.tenant, 0),
            access_control.subject_of(request),
            request.hint_us,
            request.rank,
            request.retry,
            max(0, turn.now - request.arrived),
            repeats,
            place,
            back,
            request.split,
            region,
        )
    )


def _reject_suspicious(turn: Turn, request: Request, why: str, answer: Answer) -> None:
    """Answer a request that no honest client sends."""
    turn.log(f"request {request.id} not taken: {why}")
    turn.effects.append(DeprioritizeConnection(request.request_ref.connection))
    turn.send_final_answer(request, answer)


def _caller_left(turn: Turn, request_ref: RequestRef) -> None:
    """Tell the module that a caller left, and give up what the request holds."""
    if turn.state.guard is not None and access_control.withdraw(turn, request_ref):
        return
    entry = turn.state.entries.get(turn.state.ids_by_ref.get(request_ref, ""))
    if entry and entry.unanswered:
        fleet = turn.state.fleet
        if fleet is not None and fleet.overload is not None:
            fleet.overload.request_withdrawn(turn, entry.request)
        turn.mark_answered(entry)
        turn.events.append(RequestWithdrawn(entry.request.id))
        turn.abandon(entry)


def _connection_name(connection: ConnectionId) -> str:
    return f"{connection.front}/{connection.number}"
