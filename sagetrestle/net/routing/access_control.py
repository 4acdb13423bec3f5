"""Applies the authenticator's verdicts to requests, and new identity files to requests in progress.

The authenticator alone decides about identity. It gives one verdict per request, as of the request's arrival; keys
that are retired and tokens that expire later do not change it. Only a revocation does, for requests that have not run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

from sagetrestle.identity.values import AccessRequest, Cause, Credential, PresentedCredentials, Verdict
from sagetrestle.interface import Effect, RequestWithdrawn
from sagetrestle.net.routing import inputs
from sagetrestle.net.routing.effects import DeprioritizeConnection
from sagetrestle.net.routing.state import Phase, RequestEntry
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Denied, FailCause, Failed, Request, RequestRef

if TYPE_CHECKING:
    from sagetrestle.identity.authenticator import Authenticator, ResolvedRequest

TOKEN_VERIFY_INTERVAL_US = 2_000  # while tokens are pending; equals the turn loop's minimum gap
KEY_STATE_CHECK_INTERVAL_US = 500_000
VERIFY_QUEUE_RETRY_AFTER_US = 1_000_000  # sent when too many tokens wait to be verified


def identity_query(turn: Turn, request: Request) -> AccessRequest:
    """Return a request in the form that the authenticator takes."""
    request_class = turn.state.plan.settings.classes[request.class_index]
    return AccessRequest(request_class.name, request_class.effect is not Effect.SAFE, request.body)


def authenticate(turn: Turn, request: Request) -> list[tuple[Request, Verdict]]:
    """Submit a request to the authenticator; return the verdicts reached, possibly none or those of other requests."""
    authenticator = _authenticator(turn)
    presented = request.presented or PresentedCredentials(str(request.request_ref.connection))  # no credentials
    turn.state.unverified[request.request_ref] = request
    connection = turn.state.connections[request.request_ref.connection]
    connection.open_requests.add(request.request_ref.seqid)
    settled = authenticator.submit(
        request.request_ref, presented, identity_query(turn, request), turn.unix(request.arrived)
    )
    if len(authenticator):
        turn.state.task_due_times.setdefault("verify", turn.now)
    return _settled(turn, settled)


def verify_batch(turn: Turn) -> list[tuple[Request, Verdict]]:
    """Verify as many of the pending tokens as one turn allows."""
    authenticator = _authenticator(turn)
    settled = authenticator.verify_batch()
    if len(authenticator):
        turn.state.task_due_times["verify"] = turn.now + TOKEN_VERIFY_INTERVAL_US
    else:
        turn.state.task_due_times.pop("verify", None)
    return _settled(turn, settled)


def _settled(turn: Turn, settled: list[ResolvedRequest]) -> list[tuple[Request, Verdict]]:
    verdicts = []
    for request_ref, verdict in settled:
        request = turn.state.unverified.pop(request_ref, None)  # type: ignore[call-overload]
        if request is not None:
            free_request_number(turn, request.request_ref)
            verdicts.append((request, verdict))
    return verdicts


def free_request_number(turn: Turn, request_ref: RequestRef) -> None:
    """Free a request's number on its connection."""
    connection = turn.state.connections.get(request_ref.connection)
    if connection:
        connection.open_requests.discard(request_ref.seqid)
        connection.last_used_at = turn.now


def withdraw(turn: Turn, request_ref: RequestRef) -> bool:
    """Remove a withdrawn request that waits for its verdict; return whether there was one."""
    if turn.state.unverified.pop(request_ref, None) is None:
        return False
    _authenticator(turn).withdraw(request_ref)
    free_request_number(turn, request_ref)
    return True


def deny(turn: Turn, request: Request, verdict: Verdict, retry_after_us: int = 0) -> None:
    """Deny a request and log the reason, without any part of the credential."""
    tenant = f" of tenant {verdict.tenant}" if verdict.tenant else ""
    credential = f" by {verdict.credential.kind} {verdict.credential.name}" if verdict.credential else ""
    turn.log(
        f"request {request.id}{tenant}{credential} denied: {verdict.cause.value}",
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
    """Return whether a request with this verdict may proceed, and whether it holds a reservation.

    A repeat of a charge that ran may proceed on a lapsed verdict too, and reserves nothing: it gets the result and
    cannot run again within the key's window.
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
        and (wait_us := fleet.cap_check.wait_for_rate(turn, request.tenant))
    ):
        deny(turn, request, verdict._replace(cause=Cause.RATE), wait_us)
        return False, False
    if turn.state.plan.settings.classes[request.class_index].effect is not Effect.KEYED or not request.key:
        return True, False
    cause, retry_after = _authenticator(turn).admit_charge(verdict, request.class_index, request.key, turn.unix())
    if cause is not None:
        deny(turn, request, verdict._replace(cause=cause), retry_after)
        return False, False
    return True, _has_cap(turn, request.tenant)


def _has_cap(turn: Turn, tenant: str) -> bool:
    settings = _authenticator(turn).snapshot.directory.tenants.get(tenant)
    return settings is not None and settings.cap is not None


def charge_started(turn: Turn, entry: RequestEntry) -> None:
    """Turn the reservation of a started charge into spending."""
    if entry.reserved:
        entry.reserved, entry.spent = False, True
        _authenticator(turn).spending.spend(entry.request.tenant, (entry.request.class_index, entry.request.key or ""))


def charge_not_run(turn: Turn, entry: RequestEntry) -> None:
    """Undo the spending of a charge that the kernel did not start."""
    if entry.spent:
        entry.spent = False
        _authenticator(turn).spending.refund(entry.request.tenant)


def fairness_caller(request: Request) -> int:
    """Return the caller number used for fairness: one per tenant, below those of all fronts' callers.

    Fairness by connection or front end would give a tenant that uses many of them many shares. Without tenants a
    connection has one share, whatever callers its requests name.
    """
    if request.tenant:
        return -(1 << 33) - crc32(request.tenant.encode())
    return request.caller if request.share_holder is None else request.share_holder


def slo_subject(request: Request) -> str:
    """Return the subject of the service level objectives: the tenant, or the front end if there is none."""
    return request.tenant or f"front-{request.caller}"


def subject_of(request: Request) -> str | None:
    """Return the subject by which reads may be shared, qualified by the tenant."""
    return f"{request.tenant}/{request.subject}" if request.tenant and request.subject else request.subject


def identity_read(turn: Turn, item: inputs.IdentityRead) -> None:
    """Stage new identity files; they take effect at the end of the turn, so that a turn uses one key ring."""
    if turn.state.authenticator is None:
        return
    turn.state.authenticator.stage_snapshot(item.snapshot)
    ring, directory = item.snapshot.keyring, item.snapshot.directory
    turn.log(
        f"identity read again: {item.files}: ring version {ring.version} with {len(ring.keys)} keys, tenants version "
        f"{directory.version} with {len(directory.tenants)}"
    )


def identity_failed(turn: Turn, item: inputs.IdentityFailed) -> None:
    """Log that the previous identity files stay in force."""
    turn.log(f"identity not taken, what was in force holds: {item.reason}")


def apply_identity(turn: Turn) -> None:
    """Apply new identity files, and deny requests of revoked credentials that have not run."""
    if turn.state.authenticator is None:
        return
    revoked = turn.state.authenticator.apply_staged_snapshot()
    if not revoked:
        return
    for entry in list(turn.state.entries.values()):
        if entry.verdict and entry.verdict.credential in revoked and not entry.ran and entry.unanswered:
            _revoke(turn, entry)


def _revoke(turn: Turn, entry: RequestEntry) -> None:
    """Deny a request, unless it waits for the result of an attempt that ran."""
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
    """Update the signing keys' states for the current time, and log each change."""
    authenticator = _authenticator(turn)
    for kid, old, new in authenticator.tick(turn.unix()):
        turn.log(f"key {kid}: {'new' if old is None else old.value} -> {new.value}", kid=kid, state=new.value)
        if not authenticator.count_active_keys(turn.unix()):
            turn.log("no key of the ring is active: new tokens can not count")
    turn.state.task_due_times["keys"] = turn.now + KEY_STATE_CHECK_INTERVAL_US


def answer_overdue(turn: Turn) -> None:
    """Fail requests that wait for their verdict past the deadline, and all of them on exit."""
    settings = turn.state.plan.settings
    for request_ref, request in list(turn.state.unverified.items()):
        if turn.state.exited or turn.now > request.deadline_us(settings):
            withdraw(turn, request_ref)
            turn.send_final_answer(request, Failed(FailCause.OVERDUE))


def _authenticator(turn: Turn) -> Authenticator:
    assert turn.state.authenticator is not None
    return turn.state.authenticator
