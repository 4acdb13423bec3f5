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
from sagetrestle.net.routing.effects import DeprioritizeConnection
from sagetrestle.net.routing.state import RequestEntry, Phase
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Denied, FailCause, Failed, Request, RequestRef

if TYPE_CHECKING:
    from sagetrestle.identity.guard import Guard, Settled

TOKEN_VERIFY_INTERVAL_US = 2_000  # while tokens wait: the turn loop's own gap
KEY_STATE_CHECK_INTERVAL_US = 500_000  # for keys whose time comes
VERIFY_QUEUE_RETRY_AFTER_US = 1_000_000  # how long to stay away where too much waits to be verified


def identity_query(turn: Turn, request: Request) -> Asked:
    """Return what a request asks for, in the guard's words."""
    cls = turn.state.plan.settings.classes[request.class_index]
    return Asked(cls.name, cls.effect is not Effect.SAFE, request.body)


def authenticate(turn: Turn, request: Request) -> list[tuple[Request, Verdict]]:
    """Have a request judged; return what that settles, which may be another request or nothing yet."""
    guard = _guard(turn)
    shown = request.presented or Presented(str(request.request_ref.connection))  # nothing, which is not enough
    turn.state.unverified[request.request_ref] = request
    connection = turn.state.connections[request.request_ref.connection]
    connection.open_requests.add(request.request_ref.seqid)
    settled = guard.offer(request.request_ref, shown, identity_query(turn, request), turn.unix(request.arrived))
    if len(guard):
        turn.state.task_due_times.setdefault("verify", turn.now)
    return _settled(turn, settled)


def verify_some(turn: Turn) -> list[tuple[Request, Verdict]]:
    """Verify as many of the waiting tokens as one turn may."""
    guard = _guard(turn)
    settled = guard.verify_some()
    if len(guard):
        turn.state.task_due_times["verify"] = turn.now + TOKEN_VERIFY_INTERVAL_US
    else:
        turn.state.task_due_times.pop("verify", None)
    return _settled(turn, settled)


def _settled(turn: Turn, settled: list[Settled]) -> list[tuple[Request, Verdict]]:
    found = []
    for ref, verdict in settled:
        request = turn.state.unverified.pop(ref, None)  # type: ignore[call-overload]
        if request is not None:
            free_request_number(turn, request.request_ref)
            found.append((request, verdict))
    return found


def free_request_number(turn: Turn, request_ref: RequestRef) -> None:
    """Free a request's number on its connection."""
    connection = turn.state.connections.get(request_ref.connection)
    if connection:
        connection.open_requests.discard(request_ref.seqid)
        connection.last_used_at = turn.now


def withdraw(turn: Turn, request_ref: RequestRef) -> bool:
    """Forget a request that waits for its verdict, as nobody waits for it; tell whether there was one."""
    if turn.state.unverified.pop(request_ref, None) is None:
        return False
    _guard(turn).withdraw(request_ref)
    free_request_number(turn, request_ref)
    return True


def deny(turn: Turn, request: Request, verdict: Verdict, retry_after_us: int = 0) -> None:
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
        retry_after_us = retry_after_us or VERIFY_QUEUE_RETRY_AFTER_US
    elif verdict.tenant is None:
        turn.effects.append(DeprioritizeConnection(request.request_ref.connection))
    turn.send_final_answer(request, Denied(verdict.cause, retry_after_us))


def authorize(turn: Turn, request: Request, verdict: Verdict) -> tuple[bool, bool]:
    """Tell whether a request with this verdict may go on, and whether it holds a reservation.

    What repeats a charge that ran goes on by a lapsed verdict as well, and claims and reserves nothing: it
    is given the result and can not run, as the key's window binds the program.
    """
    if turn.state.keys.ran_in_window(request) and (verdict.entitled or verdict.lapsed):
        return True, False
    if not verdict.entitled:
        deny(turn, request, verdict)
        return False, False
    fleet = turn.state.fleet
    if (
        fleet is not None
        and fleet.cap_check is not None
        and (wait := fleet.cap_check.wait_for_rate(turn, request.tenant))
    ):
        deny(turn, request, verdict._replace(cause=Cause.RATE), wait)
        return False, False
    if turn.state.plan.settings.classes[request.class_index].effect is not Effect.KEYED or not request.key:
        return True, False
    cause, retry_after = _guard(turn).admit_charge(verdict, request.class_index, request.key, turn.unix())
    if cause is not None:
        deny(turn, request, verdict._replace(cause=cause), retry_after)
        return False, False
    return True, _has_cap(turn, request.tenant)


def _has_cap(turn: Turn, tenant: str) -> bool:
    found = _guard(turn).snapshot.directory.tenants.get(tenant)
    return found is not None and found.cap is not None


def charge_started(turn: Turn, entry: RequestEntry) -> None:
    """Count a charge that runs against its tenant's cap."""
    if entry.reserved:
        entry.reserved, entry.spent = False, True
        _guard(turn).spending.spend(entry.request.tenant, (entry.request.class_index, entry.request.key or ""))


def charge_not_run(turn: Turn, entry: RequestEntry) -> None:
    """Count a charge no more that the kernel did not start."""
    if entry.spent:
        entry.spent = False
        _guard(turn).spending.refund(entry.request.tenant)


def fairness_caller(request: Request) -> int:
    """Return the caller that fairness goes by: the tenant's number, below those of all fronts' callers.

    By connection or front end a tenant spread over many of them would take many shares.
    """
    return -(1 << 33) - crc32(request.tenant.encode()) if request.tenant else request.caller


def slo_subject(request: Request) -> str:
    """Return whom a request is of, as promises name them: its tenant, or its front end where there are none."""
    return request.tenant or f"front-{request.caller}"


def subject_of(request: Request) -> str | None:
    """Return the subject that the module may share by, which is the tenant's own."""
    return f"{request.tenant}/{request.subject}" if request.tenant and request.subject else request.subject


def identity_read(turn: Turn, item: inputs.IdentityRead) -> None:
    """Take new files, for the end of the turn: a turn sees one ring."""
    if turn.state.guard is None:
        return
    turn.state.guard.take(item.snapshot)
    ring, directory = item.snapshot.ring, item.snapshot.directory
    turn.log(
        f"identity read again: {item.what}: ring version {ring.version} with {len(ring.keys)} keys, tenants version "
        f"{directory.version} with {len(directory.tenants)}"
    )


def identity_failed(turn: Turn, item: inputs.IdentityFailed) -> None:
    """Note that what was in force stays."""
    turn.log(f"identity not taken, what was in force holds: {item.reason}")


def apply_identity(turn: Turn) -> None:
    """Put new files in force, and refuse what a revoked credential let in and has not run."""
    if turn.state.guard is None:
        return
    revoked = turn.state.guard.swap()
    if not revoked:
        return
    for entry in list(turn.state.entries.values()):
        if entry.verdict and entry.verdict.credential in revoked and not entry.ran and entry.unanswered:
            _revoke(turn, entry)


def _revoke(turn: Turn, entry: RequestEntry) -> None:
    """Turn an entry away, unless it waits for the result of a try that ran."""
    assert entry.verdict is not None and entry.verdict.credential is not None
    earlier = turn.state.entries.get(entry.repeat_of or "")
    if entry.phase is Phase.JOINED and earlier is not None and earlier.ran:
        return
    cause = _revoked_cause(entry.verdict.credential)
    turn.log(f"request {entry.request.id} of tenant {entry.request.tenant} denied: {cause.value}")
    turn.answer(entry, Denied(cause))
    turn.events.append(RequestWithdrawn(entry.request.id))
    turn.abandon(entry)


def _revoked_cause(credential: Credential) -> Cause:
    return Cause.KEY_REVOKED if credential.kind == "key" else Cause.CERT_REVOKED


def advance_key_states(turn: Turn) -> None:
    """Let time move the keys, and say what moved."""
    guard = _guard(turn)
    for kid, old, new in guard.tick(turn.unix()):
        turn.log(f"key {kid}: {'new' if old is None else old.value} -> {new.value}", kid=kid, state=new.value)
        if not guard.signers(turn.unix()):
            turn.log("no key of the ring is active: new tokens can not count")
    turn.state.task_due_times["keys"] = turn.now + KEY_STATE_CHECK_INTERVAL_US


def answer_overdue(turn: Turn) -> None:
    """Fail what waited for its verdict past its due time, and on the way out whatever still waits."""
    classes = turn.state.plan.settings.classes
    for request_ref, request in list(turn.state.unverified.items()):
        if turn.state.exited or turn.now > request.arrived + classes[request.class_index].deadline_us:
            withdraw(turn, request_ref)
            turn.send_final_answer(request, Failed(FailCause.OVERDUE))


def _guard(turn: Turn) -> Guard:
    assert turn.state.guard is not None
    return turn.state.guard
