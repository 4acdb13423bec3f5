"""Handlers of inputs from the fronts: connections, requests, withdrawals, health checks."""

from __future__ import annotations

from sagetrestle.identity.values import Verdict
from sagetrestle.interface import RequestArrived, RequestWithdrawn
from sagetrestle.net.routing import access_control, health, inputs
from sagetrestle.net.routing.effects import (
    CloseConnection,
    DeprioritizeConnection,
    RequestConnectionClose,
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

MAX_OPEN_REQUESTS = 32  # on one connection
MAX_CLOCK_SKEW_US = 1_000_000  # by which a stamp may be ahead of the clock; rounding alone explains far less
RECLAIM_CONNECTION_SHARE = 0.75  # of a front's maximum, from which connections without open requests are closed
REQUEST_LIMIT_RETRY_AFTER_US = 1_000_000
KERNEL_DOWN_RETRY_AFTER_US = 1_000_000
LOGGED_CONNECTION_ENDS = (ConnectionEnd.MALFORMED, ConnectionEnd.TOO_LARGE, ConnectionEnd.TIMED_OUT)


def connection_opened(turn: Turn, item: inputs.ConnectionOpened) -> None:
    """Register a connection; on a crowded front, close one without open requests."""
    connections, front = turn.state.connections, item.connection.front
    count = sum(name.front == front for name in connections)
    if count >= RECLAIM_CONNECTION_SHARE * connection_limit(turn.state, front):
        _reclaim_connection(turn, front)
    connections[item.connection] = Connection(last_used_at=turn.now)


def connection_limit(state: State, front: str) -> int:
    """Return the current maximum number of connections of a front."""
    maximum = state.plan.bounds.connections[front]
    return maximum if state.handover is None else state.handover.connection_limit(maximum)


def _reclaim_connection(turn: Turn, front: str) -> None:
    """Mark for closing the least recently used connection, first among those that never sent a valid request.

    Clients that send one request and keep their connection fill a front just as silent ones do, and new clients are
    then refused. The idle check closes the connection after all inputs of this turn were processed; if it were
    closed here, a request read in the same turn would lose its connection.
    """
    idle = [
        (connection.validated, connection.last_used_at, name)
        for name, connection in turn.state.connections.items()
        if name.front == front and not connection.open_requests and connection.close_requested_at is None
    ]
    if idle:
        validated, _, name = min(idle)
        turn.state.connections[name].close_requested_at = turn.now
        turn.state.task_due_times["idle"] = turn.now
        if validated:  # a request may be in transit on it
            turn.effects.append(RequestConnectionClose(name))


def connection_ended(turn: Turn, item: inputs.ConnectionEnded) -> None:
    """Remove a connection; the callers of its open requests have left."""
    connection = turn.state.connections.pop(item.connection, None)
    for seqid in sorted(connection.open_requests if connection else ()):
        _caller_left(turn, RequestRef(item.connection, seqid))
    if item.end in LOGGED_CONNECTION_ENDS:
        turn.log(f"connection {_connection_name(item.connection)} ended: {item.end.value}: {item.detail}")


def request_rejected(turn: Turn, item: inputs.RequestRejected) -> None:
    """Log a request that a front rejected by itself."""
    turn.log(f"connection {_connection_name(item.connection)}: request rejected: {item.reason}")


def request_withdrawn(turn: Turn, item: inputs.WithdrawalRead) -> None:
    """Abandon a request whose caller no longer waits."""
    _caller_left(turn, item.request_ref)


def health_check_read(turn: Turn, item: inputs.HealthCheckRead) -> None:
    """Answer a health check."""
    connection = turn.state.connections.get(item.request_ref.connection)
    if connection:
        connection.last_used_at, connection.validated = turn.now, True
        turn.effects.append(SendHealthReply(item.request_ref, health.is_ready(turn.state), turn.state.free_value))


def request_read(turn: Turn, item: inputs.RequestRead) -> None:
    """Validate a request and admit it; where identity is on, its sender is authenticated first."""
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
    elif turn.now > request.deadline_us(state.plan.settings):
        # The policy would take an old stamp for a long wait of unread input.
        connection.validated = True
        turn.send_final_answer(request, Failed(FailCause.OVERDUE))
    elif request.id in state.entries:
        _reject_suspicious(turn, request, "it came before under this id", Failed())
    elif len(state.entries) + len(state.unverified) >= state.plan.bounds.requests:
        connection.validated = True
        turn.send_final_answer(request, Refused(REQUEST_LIMIT_RETRY_AFTER_US))
    elif state.authenticator is None:
        _admit(turn, connection, request)
    else:
        for judged_request, verdict in access_control.authenticate(turn, request):
            handle_verdict(turn, judged_request, verdict)


def handle_verdict(turn: Turn, request: Request, verdict: Verdict) -> None:
    """Continue with a request whose sender was authenticated."""
    connection = turn.state.connections.get(request.request_ref.connection)
    if connection is None:
        return
    if request.id in turn.state.entries:  # another request with its id came during the verification
        _reject_suspicious(turn, request, "it came before under this id", Failed())
    elif verdict.tenant is None:
        access_control.deny(turn, request, verdict)
    else:
        _admit(turn, connection, request._replace(tenant=verdict.tenant), verdict)


def verify_pending(turn: Turn) -> None:
    """Verify some of the pending tokens and continue with their requests."""
    for request, verdict in access_control.verify_batch(turn):
        handle_verdict(turn, request, verdict)


def _admit(turn: Turn, connection: Connection, request: Request, verdict: Verdict | None = None) -> None:
    """Admit an authenticated request unless its key, an operator's pause or a quota forbids it."""
    if turn.state.keys.is_id_of_another_key(request):
        _reject_suspicious(turn, request, "its id came before with another key", Failed())
        return
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
        and (pause_us := fleet.class_pause_us(turn, request.class_index))
    ):
        turn.send_final_answer(request, Refused(pause_us, last=True))
        return
    reserved = False
    if verdict is not None:
        authorized, reserved = access_control.authorize(turn, request, verdict)
        if not authorized:
            return
    _register(turn, connection, request, verdict, reserved)


def _register(turn: Turn, connection: Connection, request: Request, verdict: Verdict | None, reserved: bool) -> None:
    """Register a request, tie it to the attempt that it repeats, and pass it to the policy."""
    fleet = turn.state.fleet
    rank, retry_after_us, region = (
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
            request.deadline_us(turn.state.plan.settings),
            turn.state.tenant_indexes.get(request.tenant, 0),
            access_control.subject_of(request),
            request.hint_us,
            request.rank,
            request.retry,
            max(0, turn.now - request.arrived),
            repeats,
            rank,
            retry_after_us,
            request.split,
            region,
        )
    )


def _reject_suspicious(turn: Turn, request: Request, reason: str, answer: Answer) -> None:
    """Answer a request that no correct client sends, and read less often from its connection."""
    turn.log(f"request {request.id} not taken: {reason}")
    turn.effects.append(DeprioritizeConnection(request.request_ref.connection))
    turn.send_final_answer(request, answer)


def _caller_left(turn: Turn, request_ref: RequestRef) -> None:
    """Tell the policy that a caller left, and abandon its request."""
    if turn.state.authenticator is not None and access_control.withdraw(turn, request_ref):
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
