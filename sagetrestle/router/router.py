"""The router: each request to a live member, a charge's tries to the one member that may have run it.

Two rules stand above all others. A draining or gone member gets no new work. And once a charge may have run at a
member, no other member is tried with its key until that key's window is over: the same member or none.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Union

from sagetrestle.membership.srv import group_by_priority
from sagetrestle.membership.values import Member, MemberState
from sagetrestle.membership.view import View
from sagetrestle.router import rendezvous

UNOWNED_RETRY_AFTER_US = 100_000  # how long to stay away from a key without an owner


class ExecutionProof(Enum):
    """How an attempt ended, as far as it says whether anything ran."""

    SERVED = "served"
    NEVER_RAN = "never ran"  # refused, or the connection was
    MAY_HAVE_RUN = "may have run"


class NoRouteReason(Enum):
    """Why there is no route."""

    NOBODY = "no member takes work"
    TRIED = "all members that take work were tried"
    BOUND = "the member that may have run it can not be reached"
    FULL = "no room to remember where it runs"
    UNOWNED = "the fleet names no owner that is in view"


@dataclass(frozen=True)
class RouterConfig:
    """``window_us`` is how long a key binds after its last try; ``max_keys`` how many are remembered.

    ``warmup_us`` is over which a member that was away gets its share by degrees, from ``min_warmup_share`` of it on.
    """

    window_us: int = 30_000_000
    max_keys: int = 262_144
    warmup_us: int = 10_000_000
    min_warmup_share: float = 0.15
    sample_size: int = 2  # members looked at for a safe request (Mitzenmacher 2001: two do nearly as well as all)


class RouteRequest(NamedTuple):
    """A request to be routed; ``key`` is set for a charge, ``tried`` names members that it was sent to.

    ``fixed`` sends a charge where its key says and nowhere else, by the list of members alone: what this router
    has seen of them, others have not.
    """

    key: str | None = None
    tried: tuple[str, ...] = ()
    fixed: bool = False


class Route(NamedTuple):
    """Send it there; ``bound`` tells that no other member may be tried instead."""

    member: Member
    bound: bool = False


class NoRoute(NamedTuple):
    """Send it nowhere."""

    reason: NoRouteReason
    retry_after_us: int = 0


class Attempt(NamedTuple):
    """An attempt that is under way or over."""

    member: str
    key: str | None = None


@dataclass(slots=True)
class _Binding:
    """Where a key may have run; ``open_attempts`` attempts may yet turn out never to have."""

    member: str
    boot: int
    open_attempts: int = 0
    may_have_run: bool = False
    expires_us: int = 0


class Router:
    """Routes by one view, which the owner puts in place of the one before."""

    def __init__(self, config: RouterConfig | None = None, seed: int = 0) -> None:
        self.config = config or RouterConfig()
        self._rng = random.Random(seed)
        self._view = View()
        self._eligible: list[Member] = []
        self._outstanding: dict[str, int] = {}
        self._owner_of: Callable[[str], str] | None = None
        self._bindings: dict[str, _Binding] = {}
        self._expirations: deque[tuple[int, str]] = deque()

    @property
    def view(self) -> View:
        """Return the view in force."""
        return self._view

    def set_view(self, view: View) -> None:
        """Route by a newer view."""
        self._view = view
        groups = group_by_priority(view.eligible())
        self._eligible = groups[0] if groups else []

    def set_owner_lookup(self, owner_of: Callable[[str], str] | None) -> None:
        """Send charges where the fleet says that their keys are owned, by name, and nowhere else."""
        self._owner_of = owner_of

    def owner(self, key: str) -> str:
        """Return the name of a key's owner in the fleet, or nothing."""
        return self._owner_of(key) if self._owner_of is not None else ""

    def outstanding(self, name: str) -> int:
        """Return how many attempts are open at a member."""
        return self._outstanding.get(name, 0)

    def bound_key_count(self) -> int:
        """Return how many keys are bound."""
        return len(self._bindings)

    # Choosing

    def choose(self, request: RouteRequest, now_us: int) -> Union[Route, NoRoute]:
        """Return where a request goes now; the caller then says ``attempt_started``."""
        self._expire_bindings(now_us)
        if request.key is not None:
            return self._route_charge(request.key, request.tried, now_us, request.fixed)
        free = (
            [one for one in self._eligible if one.instance.name not in request.tried]
            if request.tried
            else self._eligible
        )
        if not free:
            return NoRoute(NoRouteReason.TRIED if self._eligible else NoRouteReason.NOBODY)
        return Route(self._least_loaded(free, now_us))

    def _route_to_owner(self, key: str, owner_of: Callable[[str], str]) -> Union[Route, NoRoute]:
        """Return the owner, whatever this router thinks of it: it alone may run the key."""
        member = self._view.members.get(owner_of(key))
        return (
            Route(member, bound=True) if member is not None else NoRoute(NoRouteReason.UNOWNED, UNOWNED_RETRY_AFTER_US)
        )

    def _route_charge(self, key: str, tried: tuple[str, ...], now_us: int, fixed: bool) -> Union[Route, NoRoute]:
        if self._owner_of is not None:
            return self._route_to_owner(key, self._owner_of)
        binding = self._bindings.get(key)
        if binding is not None:
            member = self._view.members.get(binding.member)
            if member is None or member.instance.boot != binding.boot:
                # Another start under the name knows nothing of the key, and would run it again.
                return NoRoute(NoRouteReason.BOUND, max(0, binding.expires_us - now_us))
            return Route(member, bound=True)
        if len(self._bindings) >= self.config.max_keys:
            return NoRoute(NoRouteReason.FULL)
        if fixed:
            groups = group_by_priority(
                one for one in self._view.members.values() if one.state is not MemberState.DRAINING
            )
            member = rendezvous.highest(key, groups[0]) if groups else None
            return Route(member, bound=True) if member is not None else NoRoute(NoRouteReason.NOBODY)
        free = [one for one in self._eligible if one.instance.name not in tried]
        if not free:
            return NoRoute(NoRouteReason.TRIED if self._eligible else NoRouteReason.NOBODY)
        for member in rendezvous.ranked(key, free):
            # A cold member's share is drawn by the key, so that the next try finds the same member.
            if rendezvous.fraction(key) < self._warmth(member, now_us):
                return Route(member)
        return Route(rendezvous.ranked(key, free)[0])

    def _least_loaded(self, members: list[Member], now_us: int) -> Member:
        """Return the least loaded of a few drawn by weight and warmth."""
        count = min(self.config.sample_size, len(members))
        if count == len(members):
            drawn: Iterable[Member] = members
        else:
            picked = self._rng.sample(range(len(members)), count)
            drawn = [members[at] for at in picked]
        return min(drawn, key=lambda one: (self._load(one, now_us), self._rng.random()))

    def _load(self, member: Member, now_us: int) -> float:
        share = max(1, member.instance.weight) * self._warmth(member, now_us)
        return (self._outstanding.get(member.instance.name, 0) + 1) / share

    def _warmth(self, member: Member, now_us: int) -> float:
        """Return the part of its share that a member gets: one that came back grows into it."""
        if not member.warmup_start_us:
            return 1.0
        grown = (now_us - member.warmup_start_us) / self.config.warmup_us
        return min(1.0, self.config.min_warmup_share + (1.0 - self.config.min_warmup_share) * max(0.0, grown))

    def bind(self, key: str, name: str, boot: int, now_us: int) -> None:
        """Bind a key that may have run before this process began, as its journal says."""
        binding = self._bindings[key] = _Binding(name, boot, may_have_run=True)
        self._extend_binding(key, binding, now_us)

    # What becomes of attempts

    def attempt_started(self, route: Route, key: str | None, now_us: int) -> Attempt:
        """Count an attempt that is being sent; a charge binds its key from now on."""
        name = route.member.instance.name
        self._outstanding[name] = self._outstanding.get(name, 0) + 1
        if self._owner_of is not None:
            key = None  # the fleet knows where it may have run
        if key is not None:
            binding = self._bindings.get(key)
            if binding is None:
                binding = self._bindings[key] = _Binding(name, route.member.instance.boot)
            binding.open_attempts += 1
            self._extend_binding(key, binding, now_us)
        return Attempt(name, key)

    def attempt_ended(self, attempt: Attempt, end: ExecutionProof, now_us: int) -> None:
        """Count an attempt that is over; only one that proves that nothing ran frees its key."""
        left = self._outstanding.get(attempt.member, 0) - 1
        if left > 0:
            self._outstanding[attempt.member] = left
        else:
            self._outstanding.pop(attempt.member, None)
        binding = self._bindings.get(attempt.key or "")
        if binding is None or binding.member != attempt.member:
            return
        binding.open_attempts -= 1
        binding.may_have_run = binding.may_have_run or end is not ExecutionProof.NEVER_RAN
        if binding.open_attempts <= 0 and not binding.may_have_run:
            del self._bindings[attempt.key or ""]
        else:
            self._extend_binding(attempt.key or "", binding, now_us)

    def _extend_binding(self, key: str, binding: _Binding, now_us: int) -> None:
        binding.expires_us = now_us + self.config.window_us
        self._expirations.append((binding.expires_us, key))

    def _expire_bindings(self, now_us: int) -> None:
        """Forget keys whose window is over; one with an attempt open stays."""
        while self._expirations and self._expirations[0][0] <= now_us:
            until, key = self._expirations.popleft()
            binding = self._bindings.get(key)
            if binding is None or binding.expires_us != until:
                continue
            if binding.open_attempts > 0:
                self._extend_binding(key, binding, now_us)
            else:
                del self._bindings[key]
