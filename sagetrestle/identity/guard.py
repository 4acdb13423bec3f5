"""One scorer's identity at work: the snapshot in force, what waits to be verified, and what is remembered.

The reducer owns one guard and calls it within its turns; nothing here reads a clock or a socket. Signatures
are verified a few a turn, in turn by source, so a flood of bad ones costs a stated part of the time; a token
that was verified before costs a look-up. Times are Unix microseconds.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import NamedTuple

from sagetrestle.identity.cache import VerifiedCache
from sagetrestle.identity.judge import Snapshot, judge, revoked_between
from sagetrestle.identity.replay import Claim, ReplayGuard
from sagetrestle.identity.ring import KeyState, Moved, Tick, step
from sagetrestle.identity.tokens import Header, TokenFault, Verified, read_header, verify
from sagetrestle.identity.values import Asked, Cause, Credential, Presented, Verdict
from sagetrestle.limits import FairQueue, SpendingCaps

BUSY_US = 1_000_000  # how long to stay away when too much waits to be verified


@dataclass(frozen=True, slots=True)
class GuardBounds:
    """How much there may be of everything: all of it is memory, but for the verifications a turn."""

    verifications: int = 2  # a turn; 0.2 to 0.35 ms each (measured), with 2 ms between turns
    waiting: int = 256
    waiting_each: int = 32  # of one source
    cached: int = 8_192
    replays: int = 65_536


class Waiting(NamedTuple):
    """A request whose token is yet to be verified."""

    presented: Presented
    asked: Asked
    came_us: int
    header: Header


class Settled(NamedTuple):
    """The verdict on a request that waited."""

    ref: Hashable
    verdict: Verdict


class Guard:
    """Verdicts for one scorer."""

    def __init__(self, snapshot: Snapshot, bounds: GuardBounds | None = None) -> None:
        self.snapshot, self.bounds = snapshot, bounds or GuardBounds()
        self.cache = VerifiedCache(self.bounds.cached)
        self.replays = ReplayGuard(self.bounds.replays)
        self.spending = SpendingCaps()
        self._backlog: FairQueue[Hashable] = FairQueue(self.bounds.waiting, self.bounds.waiting_each)
        self._waiting: dict[Hashable, Waiting] = {}
        self._next: Snapshot | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def offer(self, ref: Hashable, presented: Presented, asked: Asked, now_us: int) -> list[Settled]:
        """Judge a request at once where that costs no signature; else let it wait under ``ref``.

        Returns what that settles: its own verdict, that of another which had to make room, or nothing.
        """
        if presented.token is None or presented.problem is not None or presented.certificate is not None:
            return [Settled(ref, judge(self.snapshot, presented, asked, now_us))]
        known = self._known(presented.token)
        if isinstance(known, Cause):
            self._backlog.record_outcome(presented.source, useful=False)
            return [Settled(ref, Verdict(known))]
        if isinstance(known, Verified):
            return [Settled(ref, judge(self.snapshot, presented, asked, now_us, known))]
        self._waiting[ref] = Waiting(presented, asked, now_us, known)
        victim = self._backlog.put(presented.source, ref)
        if victim is None:
            return []
        del self._waiting[victim]
        return [Settled(victim, Verdict(Cause.BUSY))]

    def _known(self, token: str) -> Verified | Cause | Header:
        """Return what is known without a signature, or the header by which one is to be verified."""
        found = self.cache.get(token, self.snapshot.ring)
        if found is not None:
            return found
        try:
            header = read_header(token)
        except TokenFault as fault:
            return fault.cause
        return self._key_cause(header) or header

    def _key_cause(self, header: Header) -> Cause | None:
        """Return why a key is not worth a signature, if it is not."""
        key = self.snapshot.ring.keys.get(header.kid)
        if key is None:
            return Cause.UNKNOWN_KEY
        if key.revoked_us is not None:
            return Cause.KEY_REVOKED
        return None if key.algorithm == header.alg else Cause.ALGORITHM

    def verify_some(self) -> list[Settled]:
        """Verify as many as one turn may, and return their verdicts for the moments at which they came."""
        done: list[Settled] = []
        for _ in range(self.bounds.verifications):
            taken = self._backlog.take()
            if taken is None:
                break
            source, ref = taken
            one = self._waiting.pop(ref)
            done.append(Settled(ref, self._verdict(source, one)))
        return done

    def _verdict(self, source: str, one: Waiting) -> Verdict:
        """Verify one token, unless another brought the same meanwhile or its key has gone."""
        assert one.presented.token is not None
        known = self.cache.get(one.presented.token, self.snapshot.ring) or self._key_cause(one.header)
        if known is None:
            known = self._verify(one.presented.token, one.header)
            self._backlog.record_outcome(source, useful=isinstance(known, Verified))
        if isinstance(known, Cause):
            return Verdict(known)
        return judge(self.snapshot, one.presented, one.asked, one.came_us, known)

    def _verify(self, token: str, header: Header) -> Verified | Cause:
        try:
            outcome: Verified | Cause = verify(token, self.snapshot.ring.keys[header.kid], header)
        except TokenFault as fault:
            outcome = fault.cause
        self.cache.put(token, outcome)
        return outcome

    def withdraw(self, ref: Hashable) -> None:
        """Forget a request that nobody waits for."""
        if self._waiting.pop(ref, None) is not None:
            self._backlog.remove(ref)

    def admit_charge(self, verdict: Verdict, cls: int, key: str, now_us: int) -> tuple[Cause | None, int]:
        """Claim a charge's token and reserve its cost: (None, 0), or why not and when to come back (µs)."""
        assert verdict.tenant is not None
        if verdict.jti is not None:
            claim = self.replays.claim(verdict.tenant, verdict.jti, f"{cls}/{key}", verdict.until_us, now_us)
            if claim is Claim.REPLAYED:
                return Cause.REPLAYED, 0
            if claim is Claim.FULL:
                return Cause.BUSY, BUSY_US
        tenant = self.snapshot.directory.tenants.get(verdict.tenant)
        if tenant is None or tenant.cap is None:
            return None, 0
        got = self.spending.reserve(tenant.name, (cls, key), tenant.cap.charges, tenant.cap.window_us, now_us)
        return (None, 0) if got.granted else (Cause.SPENT, got.retry_after_us)

    def take(self, snapshot: Snapshot) -> None:
        """Keep a new snapshot for the end of the turn: a turn sees one."""
        self._next = snapshot

    def swap(self) -> frozenset[Credential]:
        """Put the new snapshot in force, if there is one, and return the credentials that it revokes."""
        if self._next is None:
            return frozenset()
        old, self.snapshot, self._next = self.snapshot, self._next, None
        self.cache.forget_bad()
        return revoked_between(old, self.snapshot)

    def tick(self, now_us: int) -> list[Moved]:
        """Let time move the keys, and return the moves that people should know of."""
        ring, moved = step(self.snapshot.ring, now_us, Tick())
        if moved:
            self.snapshot = Snapshot(self.snapshot.terms, ring, self.snapshot.directory)
        self.spending.sweep(now_us, self._windows())
        return moved

    def _windows(self) -> dict[str, int]:
        tenants = self.snapshot.directory.tenants
        found = {name: tenants.get(name) for name in self.spending.tenants()}
        return {name: one.cap.window_us for name, one in found.items() if one is not None and one.cap}

    def signers(self, now_us: int) -> int:
        """Return how many keys are active."""
        return sum(state is KeyState.ACTIVE for state in self.snapshot.ring.states(now_us).values())
