"""What comes in at the fronts: connections, requests, withdrawals, health checks."""

from __future__ import annotations

from sagetrestle.identity.values import Verdict
from sagetrestle.interface import RequestArrived, RequestWithdrawn
from sagetrestle.net.routing import access, health, inputs
from sagetrestle.net.routing.effects import AskToLeave, CloseConnection, Doubt, SendHealth
from sagetrestle.net.routing.state import Connection, Entry, State
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import (
    Answer,
    ConnectionEnd,
    ConnectionId,
    FailCause,
    Failed,
    Refused,
    Request,
    Ticket,
)

MAX_OPEN = 32  # requests open on one connection
AHEAD_US = 1_000_000  # a stamp may be ahead of the clock, as both are rounded; none is by this much
FULL_SHARE = 0.75  # of a front's room, from which connections with nothing open make room
NO_ROOM_US = 1_000_000  # how long to stay away when too many requests are held
NOT_UP_US = 1_000_000  # how long to stay away while the kernel is not up
NOTED = (ConnectionEnd.MALFORMED, ConnectionEnd.TOO_LARGE, ConnectionEnd.TIMED_OUT)


def opened(turn: Turn, item: inputs.ConnectionOpened) -> None:
    """Take a connection in; in a full front one on which nothing is open makes room for it."""
    connections, front = turn.state.connections, item.connection.front
    count = sum(name.front == front for name in connections)
    if count >= FULL_SHARE * room(turn.state, front):
        _make_room(turn, front)
    connections[item.connection] = Connection(used_at=turn.now)


def room(state: State, front: str) -> int:
    """Return how many connections a front may hold now."""
    most = state.plan.bounds.connections[front]
    return most if state.pair is None else state.pair.room(most)


def _make_room(turn: Turn, front: str) -> None:
    """Have what never sent a valid request go, the oldest first, or else what was used longest ago.

    Callers that ask once and keep their connection for good fill a front as surely as silent ones do, and
    then newcomers are turned away with their requests. It is closed as an idle one is, when the inputs of
    this turn were all taken: closed here, a request read in this very turn would lose its connection.
    """
    idle = [
        (one.proven, one.used_at, name)
        for name, one in turn.state.connections.items()
        if name.front == front and not one.open and one.leaving_at is None
    ]
    if idle:
        proven, _, name = min(idle)
        turn.state.connections[name].leaving_at = turn.now
        turn.state.chores["idle"] = turn.now
        if proven:  # a request may be on its way on it
            turn.effects.append(AskToLeave(name))


def ended(turn: Turn, item: inputs.ConnectionEnded) -> None:
    """Let a connection go; nobody waits for what is open on it."""
    connection = turn.state.connections.pop(item.connection, None)
    for seqid in sorted(connection.open if connection else ()):
        _desert(turn, Ticket(item.connection, seqid))
    if item.end in NOTED:
        turn.log(f"connection {_name(item.connection)} ended: {item.end.value}: {item.detail}")


def rejected(turn: Turn, item: inputs.RequestRejected) -> None:
    """Note what a front turned down by itself."""
    turn.log(f"connection {_name(item.connection)}: request rejected: {item.why}")


def withdrawn(turn: Turn, item: inputs.Withdrawn) -> None:
    """Give up a request that nobody waits for."""
    _desert(turn, item.ticket)


def health_asked(turn: Turn, item: inputs.HealthAsked) -> None:
    """Answer a health check."""
    connection = turn.state.connections.get(item.ticket.connection)
    if connection:
        connection.used_at, connection.proven = turn.now, True
        turn.effects.append(SendHealth(item.ticket, health.good(turn.state), turn.state.value))


def request_read(turn: Turn, item: inputs.RequestRead) -> None:
    """Take a request in where its form and time allow; where identity is on, its sender is judged first."""
    state = turn.state
    stamp = item.request.arrived or turn.now
    # A stamp ahead of the clock would stretch deadlines and windows.
    request = item.request._replace(arrived=min(stamp, turn.now))
    connection = state.connections.get(request.ticket.connection)
    if connection is None:
        return
    if request.ticket.seqid in connection.open or len(connection.open) >= MAX_OPEN:
        turn.log(
            f"connection {_name(request.ticket.connection)}: request number {request.ticket.seqid} "
            "is open already, or too many are"
        )
        turn.effects.append(CloseConnection(request.ticket.connection))
        return
    connection.used_at = turn.now
    if state.policy is None:
        connection.proven = True
        turn.final(request, Refused(NOT_UP_US))
    elif stamp > turn.now + AHEAD_US:
        _doubtful(turn, request, "its stamp is ahead of the clock", Failed())
    elif turn.now > stamp + state.plan.settings.classes[request.cls].deadline_us:
        # Told of these, the module would take a stamp from long ago for a long wait unread.
        connection.proven = True
        turn.final(request, Failed(FailCause.OVERDUE))
    elif request.id in state.entries:
        _doubtful(turn, request, "it came before under this id", Failed())
    elif len(state.entries) + len(state.unverified) >= state.plan.bounds.requests:
        connection.proven = True
        turn.final(request, Refused(NO_ROOM_US))
    elif state.guard is None:
        _known(turn, connection, request)
    else:
        for judged, verdict in access.present(turn, request):
            judge(turn, judged, verdict)


def judge(turn: Turn, request: Request, verdict: Verdict) -> None:
    """Go on with a request whose sender was judged."""
    connection = turn.state.connections.get(request.ticket.connection)
    if connection is None:
        return
    if request.id in turn.state.entries:  # another came under its id while it waited for the verdict
        _doubtful(turn, request, "it came before under this id", Failed())
    elif verdict.tenant is None:
        access.refuse(turn, request, verdict)
    else:
        _known(turn, connection, request._replace(tenant=verdict.tenant), verdict)


def verify(turn: Turn) -> None:
    """Judge some of the requests whose tokens wait to be verified."""
    for request, verdict in access.verify_some(turn):
        judge(turn, request, verdict)


def _known(turn: Turn, connection: Connection, request: Request, verdict: Verdict | None = None) -> None:
    """Take a request whose sender is known, or need not be, unless its key speaks against it."""
    if turn.state.keys.conflicts(request, turn.now):
        _doubtful(turn, request, "its key came before with another body", Failed(FailCause.CONFLICT))
        return
    connection.proven = True
    answer = turn.state.gate.door(turn, request)
    if answer is not None:
        turn.final(request, answer)
        return
    fleet = turn.state.fleet
    if fleet is not None and not turn.state.keys.ran_before(request) and (wait := fleet.paused(turn, request.cls)):
        turn.final(request, Refused(wait, last=True))
        return
    reserved = False
    if verdict is not None:
        may, reserved = access.admit(turn, request, verdict)
        if not may:
            return
    _take(turn, connection, request, verdict, reserved)


def _take(turn: Turn, connection: Connection, request: Request, verdict: Verdict | None, reserved: bool) -> None:
    """Tie a request to the try it repeats, and tell the module."""
    fleet = turn.state.fleet
    place, back, region = (0.0, 0, 0) if fleet is None or fleet.strain is None else fleet.strain.placed(turn, request)
    repeats = turn.state.keys.arrive(request, turn.now)
    connection.open.add(request.ticket.seqid)
    entry = Entry(request, repeats, verdict=verdict, reserved=reserved)
    turn.state.entries[request.id] = entry
    turn.state.tickets[request.ticket] = request.id
    turn.events.append(
        RequestArrived(
            request.id,
            request.cls,
            access.caller_of(request),
            request.held_kb,
            0,
            turn.state.groups.get(request.tenant, 0),
            access.subject_of(request),
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


def _doubtful(turn: Turn, request: Request, why: str, answer: Answer) -> None:
    """Answer a request that no honest client sends."""
    turn.log(f"request {request.id} not taken: {why}")
    turn.effects.append(Doubt(request.ticket.connection))
    turn.final(request, answer)


def _desert(turn: Turn, ticket: Ticket) -> None:
    """Tell the module that a caller left, and give up what the request holds."""
    if turn.state.guard is not None and access.withdraw(turn, ticket):
        return
    entry = turn.state.entries.get(turn.state.tickets.get(ticket, ""))
    if entry and entry.owed:
        fleet = turn.state.fleet
        if fleet is not None and fleet.strain is not None:
            fleet.strain.left(turn, entry.request)
        turn.release(entry)
        turn.events.append(RequestWithdrawn(entry.request.id))
        turn.give_up(entry)


def _name(connection: ConnectionId) -> str:
    return f"{connection.front}/{connection.number}"
