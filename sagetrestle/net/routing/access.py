"""Who may: the guard's verdicts carried out on requests, and what a new ring means for those in hand.

Nothing is decided about identity here; that is the guard's. A verdict is asked for once, for the moment at
which a request came in, and stays with its entry: keys that are retired and tokens that run out later change
nothing. Only a revocation does, and only for what has not run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

from sagetrestle.identity.values import Asked, Cause, Credential, Presented, Verdict
from sagetrestle.interface import Effect, RequestWithdrawn
from sagetrestle.net.routing import inputs
from sagetrestle.net.routing.effects import Doubt
from sagetrestle.net.routing.state import Entry, Phase
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Denied, FailCause, Failed, Request, Ticket

if TYPE_CHECKING:
    from sagetrestle.identity.guard import Guard, Settled

VERIFY_EVERY_US = 2_000  # while tokens wait: the turn loop's own gap
TICK_EVERY_US = 500_000  # for keys whose time comes
BUSY_US = 1_000_000  # how long to stay away where too much waits to be verified


def asked_of(turn: Turn, request: Request) -> Asked:
    """Return what a request asks for, in the guard's words."""
    cls = turn.state.plan.settings.classes[request.cls]
    return Asked(cls.name, cls.effect is not Effect.SAFE, request.body)


def present(turn: Turn, request: Request) -> list[tuple[Request, Verdict]]:
    """Have a request judged; return what that settles, which may be another request or nothing yet."""
    guard = _guard(turn)
    shown = request.presented or Presented(str(request.ticket.connection))  # nothing, which is not enough
    turn.state.unverified[request.ticket] = request
    connection = turn.state.connections[request.ticket.connection]
    connection.open.add(request.ticket.seqid)
    settled = guard.offer(request.ticket, shown, asked_of(turn, request), turn.unix(request.arrived))
    if len(guard):
        turn.state.chores.setdefault("verify", turn.now)
    return _settled(turn, settled)


def verify_some(turn: Turn) -> list[tuple[Request, Verdict]]:
    """Verify as many of the waiting tokens as one turn may."""
    guard = _guard(turn)
    settled = guard.verify_some()
    if len(guard):
        turn.state.chores["verify"] = turn.now + VERIFY_EVERY_US
    else:
        turn.state.chores.pop("verify", None)
    return _settled(turn, settled)


def _settled(turn: Turn, settled: list[Settled]) -> list[tuple[Request, Verdict]]:
    found = []
    for ref, verdict in settled:
        request = turn.state.unverified.pop(ref, None)  # type: ignore[call-overload]
        if request is not None:
            close(turn, request.ticket)
            found.append((request, verdict))
    return found


def close(turn: Turn, ticket: Ticket) -> None:
    """Free a request's number on its connection."""
    connection = turn.state.connections.get(ticket.connection)
    if connection:
        connection.open.discard(ticket.seqid)
        connection.used_at = turn.now


def withdraw(turn: Turn, ticket: Ticket) -> bool:
    """Forget a request that waits for its verdict, as nobody waits for it; tell whether there was one."""
    if turn.state.unverified.pop(ticket, None) is None:
        return False
    _guard(turn).withdraw(ticket)
    close(turn, ticket)
    return True


def refuse(turn: Turn, request: Request, verdict: Verdict, retry_after_us: int = 0) -> None:
    """Turn a request away for its verdict, with a line that says why and holds nothing of the credential."""
    who = f" of tenant {verdict.tenant}" if verdict.tenant else ""
    by = f" by {verdict.credential.kind} {verdict.credential.name}" if verdict.credential else ""
    turn.log(
        f"request {request.id}{who}{by} denied: {verdict.cause.value}",
        request=request.id,
        tenant=verdict.tenant or "",
        cause=verdict.cause.name.lower(),
    )
    if verdict.cause is Cause.BUSY:
        retry_after_us = retry_after_us or BUSY_US
    elif verdict.tenant is None:
        turn.effects.append(Doubt(request.ticket.connection))
    turn.final(request, Denied(verdict.cause, retry_after_us))


def admit(turn: Turn, request: Request, verdict: Verdict) -> tuple[bool, bool]:
    """Tell whether a request with this verdict may go on, and whether it holds a reservation.

    What repeats a charge that ran goes on by a lapsed verdict as well, and claims and reserves nothing: it
    is given the result and can not run, as the key's window binds the program.
    """
    if turn.state.keys.ran_before(request) and (verdict.entitled or verdict.lapsed):
        return True, False
    if not verdict.entitled:
        refuse(turn, request, verdict)
        return False, False
    fleet = turn.state.fleet
    if fleet is not None and fleet.caps is not None and (wait := fleet.caps.wait_for_rate(turn, request.tenant)):
        refuse(turn, request, verdict._replace(cause=Cause.RATE), wait)
        return False, False
    if turn.state.plan.settings.classes[request.cls].effect is not Effect.KEYED or not request.key:
        return True, False
    cause, retry_after = _guard(turn).admit_charge(verdict, request.cls, request.key, turn.unix())
    if cause is not None:
        refuse(turn, request, verdict._replace(cause=cause), retry_after)
        return False, False
    return True, _capped(turn, request.tenant)


def _capped(turn: Turn, tenant: str) -> bool:
    found = _guard(turn).snapshot.directory.tenants.get(tenant)
    return found is not None and found.cap is not None


def started(turn: Turn, entry: Entry) -> None:
    """Count a charge that runs against its tenant's cap."""
    if entry.reserved:
        entry.reserved, entry.spent = False, True
        _guard(turn).spending.spend(entry.request.tenant, (entry.request.cls, entry.request.key or ""))


def never_ran(turn: Turn, entry: Entry) -> None:
    """Count a charge no more that the kernel did not start."""
    if entry.spent:
        entry.spent = False
        _guard(turn).spending.refund(entry.request.tenant)


def caller_of(request: Request) -> int:
    """Return the caller that fairness goes by: the tenant's number, below those of all fronts' callers.

    By connection or front end a tenant spread over many of them would take many shares.
    """
    return -(1 << 33) - crc32(request.tenant.encode()) if request.tenant else request.caller


def promised_to(request: Request) -> str:
    """Return whom a request is of, as promises name them: its tenant, or its front end where there are none."""
    return request.tenant or f"front-{request.caller}"


def subject_of(request: Request) -> str | None:
    """Return the subject that the module may share by, which is the tenant's own."""
    return f"{request.tenant}/{request.subject}" if request.tenant and request.subject else request.subject


def read(turn: Turn, item: inputs.IdentityRead) -> None:
    """Take new files, for the end of the turn: a turn sees one ring."""
    if turn.state.guard is None:
        return
    turn.state.guard.take(item.snapshot)
    ring, directory = item.snapshot.ring, item.snapshot.directory
    turn.log(
        f"identity read again: {item.what}: ring version {ring.version} with {len(ring.keys)} keys, "
        f"tenants version {directory.version} with {len(directory.tenants)}"
    )


def failed(turn: Turn, item: inputs.IdentityFailed) -> None:
    """Note that what was in force stays."""
    turn.log(f"identity not taken, what was in force holds: {item.why}")


def swap(turn: Turn) -> None:
    """Put new files in force, and refuse what a revoked credential let in and has not run."""
    if turn.state.guard is None:
        return
    revoked = turn.state.guard.swap()
    if not revoked:
        return
    for entry in list(turn.state.entries.values()):
        if entry.verdict and entry.verdict.credential in revoked and not entry.ran and entry.owed:
            _revoke(turn, entry)


def _revoke(turn: Turn, entry: Entry) -> None:
    """Turn an entry away, unless it waits for the result of a try that ran."""
    assert entry.verdict is not None and entry.verdict.credential is not None
    earlier = turn.state.entries.get(entry.repeats or "")
    if entry.phase is Phase.JOINED and earlier is not None and earlier.ran:
        return
    cause = _revoked_cause(entry.verdict.credential)
    turn.log(f"request {entry.request.id} of tenant {entry.request.tenant} denied: {cause.value}")
    turn.answer(entry, Denied(cause))
    turn.events.append(RequestWithdrawn(entry.request.id))
    turn.give_up(entry)


def _revoked_cause(credential: Credential) -> Cause:
    return Cause.KEY_REVOKED if credential.kind == "key" else Cause.CERT_REVOKED


def tick(turn: Turn) -> None:
    """Let time move the keys, and say what moved."""
    guard = _guard(turn)
    for kid, old, new in guard.tick(turn.unix()):
        turn.log(f"key {kid}: {'new' if old is None else old.value} -> {new.value}", kid=kid, state=new.value)
        if not guard.signers(turn.unix()):
            turn.log("no key of the ring is active: new tokens can not count")
    turn.state.chores["keys"] = turn.now + TICK_EVERY_US


def answer_overdue(turn: Turn) -> None:
    """Fail what waited for its verdict past its due time, and on the way out whatever still waits."""
    classes = turn.state.plan.settings.classes
    for ticket, request in list(turn.state.unverified.items()):
        if turn.state.exited or turn.now > request.arrived + classes[request.cls].deadline_us:
            withdraw(turn, ticket)
            turn.final(request, Failed(FailCause.OVERDUE))


def _guard(turn: Turn) -> Guard:
    assert turn.state.guard is not None
    return turn.state.guard
