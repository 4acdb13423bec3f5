"""One scorer's identity at work: the snapshot in force, what waits to be verified, and what is remembered.

The reducer owns one guard and calls it within its turns; nothing here reads a clock or a socket. Signatures
are verified a few a turn, in turn by source, so a flood of bad ones costs a stated part of the time; a token
that was verified before costs a look-up. Times are Unix microseconds.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import NamedTuple

from sagetrestle.identity.authorizer import Snapshot, authorize, find_revoked_credentials
from sagetrestle.identity.cache import VerifiedCache
from sagetrestle.identity.keyring import KeyState, KeyTransition, Tick, step
from sagetrestle.identity.replay import ClaimResult, ReplayTable
from sagetrestle.identity.tokens import Header, TokenError, VerifiedToken, read_header, verify
from sagetrestle.identity.values import AccessRequest, Cause, Credential, PresentedCredentials, Verdict
from sagetrestle.limits import FairQueue, SpendingCaps

BUSY_RETRY_AFTER_US = 1_000_000  # how long to stay away when too much waits to be verified


@dataclass(frozen=True, slots=True)
class AuthenticatorLimits:
    """How much there may be of everything: all of it is memory, but for the verifications a turn."""

    verifications: int = 2  # a turn; 0.2 to 0.35 ms each (measured), with 2 ms between turns
    waiting: int = 256
    waiting_each: int = 32  # of one source
    cached: int = 8_192
    replays: int = 65_536


class PendingVerification(NamedTuple):
    """A request whose token is yet to be verified."""

    credentials: PresentedCredentials
    access_request: AccessRequest
    arrived_us: int
    header: Header


class ResolvedRequest(NamedTuple):
    """The verdict on a request that waited."""

    ref: Hashable
    verdict: Verdict


class Authenticator:
    """Verdicts for one scorer."""

    def __init__(self, snapshot: Snapshot, bounds: AuthenticatorLimits | None = None) -> None:
        self.snapshot, self.bounds = snapshot, bounds or AuthenticatorLimits()
        self.cache = VerifiedCache(self.bounds.cached)
        self.replays = ReplayTable(self.bounds.replays)
        self.spending = SpendingCaps()
        self._backlog: FairQueue[Hashable] = FairQueue(self.bounds.waiting, self.bounds.waiting_each)
        self._pending: dict[Hashable, PendingVerification] = {}
        self._staged_snapshot: Snapshot | None = None

    def __len__(self) -> int:
        return len(self._pending)

    def submit(
        self, ref: Hashable, credentials: PresentedCredentials, access_request: AccessRequest, now_us: int
    ) -> list[ResolvedRequest]:
        """Judge a request at once where that costs no signature; else let it wait under ``ref``.

        Returns what that settles: its own verdict, that of another which had to make room, or nothing.
        """
        if credentials.token is None or credentials.problem is not None or credentials.certificate is not None:
            return [ResolvedRequest(ref, authorize(self.snapshot, credentials, access_request, now_us))]
        known = self._look_up_token(credentials.token)
        if isinstance(known, Cause):
            self._backlog.record_outcome(credentials.source, useful=False)
            return [ResolvedRequest(ref, Verdict(known))]
        if isinstance(known, VerifiedToken):
            return [ResolvedRequest(ref, authorize(self.snapshot, credentials, access_request, now_us, known))]
        self._pending[ref] = PendingVerification(credentials, access_request, now_us, known)
        victim = self._backlog.put(credentials.source, ref)
        if victim is None:
            return []
        del self._pending[victim]
        return [ResolvedRequest(victim, Verdict(Cause.BUSY))]

    def _look_up_token(self, token: str) -> VerifiedToken | Cause | Header:
        """Return what is known without a signature, or the header by which one is to be verified."""
        found = self.cache.get(token, self.snapshot.keyring)
        if found is not None:
            return found
        try:
            header = read_header(token)
        except TokenError as fault:
            return fault.cause
        return self._check_header_key(header) or header

    def _check_header_key(self, header: Header) -> Cause | None:
        """Return why a key is not worth a signature, if it is not."""
        key = self.snapshot.keyring.keys.get(header.kid)
        if key is None:
            return Cause.UNKNOWN_KEY
        if key.revoked_us is not None:
            return Cause.KEY_REVOKED
        return None if key.algorithm == header.alg else Cause.ALGORITHM

    def verify_batch(self) -> list[ResolvedRequest]:
        """Verify as many as one turn may, and return their verdicts for the moments at which they came."""
        resolved: list[ResolvedRequest] = []
        for _ in range(self.bounds.verifications):
            taken = self._backlog.take()
            if taken is None:
                break
            source, ref = taken
            pending = self._pending.pop(ref)
            resolved.append(ResolvedRequest(ref, self._verdict(source, pending)))
        return resolved

    def _verdict(self, source: str, pending: PendingVerification) -> Verdict:
        """Verify one token, unless another brought the same meanwhile or its key has gone."""
        assert pending.credentials.token is not None
        known = self.cache.get(pending.credentials.token, self.snapshot.keyring) or self._check_header_key(
            pending.header
        )
        if known is None:
            known = self._verify(pending.credentials.token, pending.header)
            self._backlog.record_outcome(source, useful=isinstance(known, VerifiedToken))
        if isinstance(known, Cause):
            return Verdict(known)
        return authorize(self.snapshot, pending.credentials, pending.access_request, pending.arrived_us, known)

    def _verify(self, token: str, header: Header) -> VerifiedToken | Cause:
        try:
            outcome: VerifiedToken | Cause = verify(token, self.snapshot.keyring.keys[header.kid], header)
        except TokenError as fault:
            outcome = fault.cause
        self.cache.put(token, outcome)
        return outcome

    def withdraw(self, ref: Hashable) -> None:
        """Forget a request that nobody waits for."""
        if self._pending.pop(ref, None) is not None:
            self._backlog.remove(ref)

    def admit_charge(self, verdict: Verdict, class_index: int, key: str, now_us: int) -> tuple[Cause | None, int]:
        """ClaimResult a charge's token and reserve its cost: (None, 0), or why not and when to come back (µs)."""
        assert verdict.tenant is not None
        if verdict.jti is not None:
            claim = self.replays.claim(verdict.tenant, verdict.jti, f"{class_index}/{key}", verdict.until_us, now_us)
            if claim is ClaimResult.REPLAYED:
                return Cause.REPLAYED, 0
            if claim is ClaimResult.FULL:
                return Cause.BUSY, BUSY_RETRY_AFTER_US
        tenant = self.snapshot.directory.tenants.get(verdict.tenant)
        if tenant is None or tenant.cap is None:
            return None, 0
        reservation = self.spending.reserve(
            tenant.name, (class_index, key), tenant.cap.charges, tenant.cap.window_us, now_us
        )
        return (None, 0) if reservation.granted else (Cause.SPENT, reservation.retry_after_us)

    def stage_snapshot(self, snapshot: Snapshot) -> None:
        """Keep a new snapshot for the end of the turn: a turn sees one."""
        self._staged_snapshot = snapshot

    def apply_staged_snapshot(self) -> frozenset[Credential]:
        """Put the new snapshot in force, if there is one, and return the credentials that it revokes."""
        if self._staged_snapshot is None:
            return frozenset()
        old, self.snapshot, self._staged_snapshot = self.snapshot, self._staged_snapshot, None
        self.cache.clear_invalid()
        return find_revoked_credentials(old, self.snapshot)

    def tick(self, now_us: int) -> list[KeyTransition]:
        """Let time move the keys, and return the moves that people should know of."""
        keyring, transitions = step(self.snapshot.keyring, now_us, Tick())
        if transitions:
            self.snapshot = Snapshot(self.snapshot.policy, keyring, self.snapshot.directory)
        self.spending.sweep(now_us, self._cap_windows())
        return transitions

    def _cap_windows(self) -> dict[str, int]:
        tenants = self.snapshot.directory.tenants
        capped_tenants = {name: tenants.get(name) for name in self.spending.tenants()}
        return {
            name: tenant.cap.window_us for name, tenant in capped_tenants.items() if tenant is not None and tenant.cap
        }

    def count_active_keys(self, now_us: int) -> int:
        """Return how many keys are active."""
        return sum(state is KeyState.ACTIVE for state in self.snapshot.keyring.states(now_us).values())
