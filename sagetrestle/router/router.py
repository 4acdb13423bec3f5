"""The router: sends each request to a live member, and retries of a charge to the member that may have run it.

Two rules take precedence over all others. A draining or gone member gets no new requests. And once a charge may have
run at a member, no other member gets its key until the key's window has expired: it goes to the same member or nowhere.
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

UNOWNED_RETRY_AFTER_US = 100_000  # for a key without an owner


class ExecutionProof(Enum):
    """What the end of an attempt proves about the request's execution."""

    SERVED = "served"
    NEVER_RAN = "never ran"  # the request or its connection was refused
    MAY_HAVE_RUN = "may have run"


class NoRouteReason(Enum):
    """The reason why there is no route."""

    NO_MEMBER = "no member takes work"
    ALL_TRIED = "all members that take work were tried"
    BOUND_MEMBER_UNREACHABLE = "the member that may have run it can not be reached"
    TOO_MANY_BOUND_KEYS = "no room to remember where it runs"
    NO_OWNER = "the fleet names no owner that is in view"


@dataclass(frozen=True)
class RouterConfig:
    """Limits of bindings and warm-up; times in microseconds.

    A key stays bound for ``window_us`` after its last attempt; at most ``max_keys`` keys are bound. The share of a
    member that was away grows over ``warmup_us`` from ``min_warmup_share`` to its full share.
    """

    window_us: int = 30_000_000
    max_keys: int = 262_144
    warmup_us: int = 10_000_000
    min_warmup_share: float = 0.15
    sample_size: int = 2  # members compared for a safe request; two do nearly as well as all (Mitzenmacher 2001)


class RouteRequest(NamedTuple):
    """A request to be routed; ``key`` is set for a charge, ``tried`` names members to be excluded.

    With ``fixed`` a charge goes to the member that its key hashes to among all that are not draining, so that every
    router chooses the same one: routers differ in what they have observed of the members' health.
    """

    key: str | None = None
    tried: tuple[str, ...] = ()
    fixed: bool = False


class Route(NamedTuple):
    """The member to send to; with ``bound`` no other member may get the request."""

    member: Member
    bound: bool = False


class NoRoute(NamedTuple):
    """No member may get the request now."""

    reason: NoRouteReason
    retry_after_us: int = 0


class Attempt(NamedTuple):
    """An attempt that was started."""

    member: str
    key: str | None = None


@dataclass(slots=True)
class _Binding:
    """The member that may have run a key; attempts that are still open may prove that they never ran."""

    member: str
    boot: int
    open_attempts: int = 0
    may_have_run: bool = False
    expires_us: int = 0


class Router:
    """Chooses members by the membership view that its owner sets."""

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
        """Return the current view."""
        return self._view

    def set_view(self, view: View) -> None:
        """Set the view to route by."""
        self._view = view
        groups = group_by_priority(view.eligible())
        self._eligible = groups[0] if groups else []

    def set_owner_lookup(self, owner_of: Callable[[str], str] | None) -> None:
        """Set the lookup of a key's owner in the fleet; charges then go to the owner and nowhere else."""
        self._owner_of = owner_of

    def owner(self, key: str) -> str:
        """Return the name of a key's owner in the fleet; empty where there is none."""
        return self._owner_of(key) if self._owner_of is not None else ""

    def outstanding(self, name: str) -> int:
        """Return the number of open attempts at a member."""
        return self._outstanding.get(name, 0)

    def bound_key_count(self) -> int:
        """Return the number of bound keys."""
        return len(self._bindings)

    # Choosing

    def choose(self, request: RouteRequest, now_us: int) -> Union[Route, NoRoute]:
        """Return the member that a request goes to now; the caller reports the send by ``attempt_started``."""
        self._expire_bindings(now_us)
        if request.key is not None:
            return self._route_charge(request.key, request.tried, now_us, request.fixed)
        candidates = (
            [member for member in self._eligible if member.instance.name not in request.tried]
            if request.tried
            else self._eligible
        )
        if not candidates:
            return NoRoute(NoRouteReason.ALL_TRIED if self._eligible else NoRouteReason.NO_MEMBER)
        return Route(self._least_loaded(candidates, now_us))

    def _route_to_owner(self, key: str, owner_of: Callable[[str], str]) -> Union[Route, NoRoute]:
        """Return the key's owner whatever its state: no other member may run the key."""
        member = self._view.members.get(owner_of(key))
        return (
            Route(member, bound=True) if member is not None else NoRoute(NoRouteReason.NO_OWNER, UNOWNED_RETRY_AFTER_US)
        )

    def _route_charge(self, key: str, tried: tuple[str, ...], now_us: int, fixed: bool) -> Union[Route, NoRoute]:
        if self._owner_of is not None:
            return self._route_to_owner(key, self._owner_of)
        binding = self._bindings.get(key)
        if binding is not None:
            member = self._view.members.get(binding.member)
            if member is None or member.instance.boot != binding.boot:
                # A new process under the same name has no record of the key and would run the charge again.
                return NoRoute(NoRouteReason.BOUND_MEMBER_UNREACHABLE, max(0, binding.expires_us - now_us))
            return Route(member, bound=True)
        if len(self._bindings) >= self.config.max_keys:
            return NoRoute(NoRouteReason.TOO_MANY_BOUND_KEYS)
        if fixed:
            groups = group_by_priority(
                one for one in self._view.members.values() if one.state is not MemberState.DRAINING
            )
            member = rendezvous.highest(key, groups[0]) if groups else None
            return Route(member, bound=True) if member is not None else NoRoute(NoRouteReason.NO_MEMBER)
        candidates = [one for one in self._eligible if one.instance.name not in tried]
        if not candidates:
            return NoRoute(NoRouteReason.ALL_TRIED if self._eligible else NoRouteReason.NO_MEMBER)
        for member in rendezvous.ranked(key, candidates):
            # The share of a member that warms up is drawn by the key: the next attempt finds the same member.
            if rendezvous.fraction(key) < self._warmup_share(member, now_us):
                return Route(member)
        return Route(rendezvous.ranked(key, candidates)[0])

    def _least_loaded(self, members: list[Member], now_us: int) -> Member:
        """Return the least loaded of a few random members; load is relative to weight and warm-up share."""
        count = min(self.config.sample_size, len(members))
        if count == len(members):
            sampled: Iterable[Member] = members
        else:
            indexes = self._rng.sample(range(len(members)), count)
            sampled = [members[index] for index in indexes]
        return min(sampled, key=lambda member: (self._load(member, now_us), self._rng.random()))

    def _load(self, member: Member, now_us: int) -> float:
        capacity_share = max(1, member.instance.weight) * self._warmup_share(member, now_us)
        return (self._outstanding.get(member.instance.name, 0) + 1) / capacity_share

    def _warmup_share(self, member: Member, now_us: int) -> float:
        """Return the part of its full share that a member gets now, below 1 while it warms up."""
        if not member.warmup_start_us:
            return 1.0
        elapsed_share = (now_us - member.warmup_start_us) / self.config.warmup_us
        return min(1.0, self.config.min_warmup_share + (1.0 - self.config.min_warmup_share) * max(0.0, elapsed_share))

    def bind(self, key: str, name: str, boot: int, now_us: int) -> None:
        """Bind a key that may have run before this process started, by its journal."""
        binding = self._bindings[key] = _Binding(name, boot, may_have_run=True)
        self._extend_binding(key, binding, now_us)

    # Attempts

    def attempt_started(self, route: Route, key: str | None, now_us: int) -> Attempt:
        """Count an attempt that is being sent; a charge's key is bound from now on."""
        name = route.member.instance.name
        self._outstanding[name] = self._outstanding.get(name, 0) + 1
        if self._owner_of is not None:
            key = None  # the fleet's records bind it
        if key is not None:
            binding = self._bindings.get(key)
            if binding is None:
                binding = self._bindings[key] = _Binding(name, route.member.instance.boot)
            binding.open_attempts += 1
            self._extend_binding(key, binding, now_us)
        return Attempt(name, key)

    def attempt_ended(self, attempt: Attempt, proof: ExecutionProof, now_us: int) -> None:
        """Count an attempt that has ended; its key is released only where no attempt can have run."""
        remaining = self._outstanding.get(attempt.member, 0) - 1
        if remaining > 0:
            self._outstanding[attempt.member] = remaining
        else:
            self._outstanding.pop(attempt.member, None)
        binding = self._bindings.get(attempt.key or "")
        if binding is None or binding.member != attempt.member:
            return
        binding.open_attempts -= 1
        binding.may_have_run = binding.may_have_run or proof is not ExecutionProof.NEVER_RAN
        if binding.open_attempts <= 0 and not binding.may_have_run:
            del self._bindings[attempt.key or ""]
        else:
            self._extend_binding(attempt.key or "", binding, now_us)

    def _extend_binding(self, key: str, binding: _Binding, now_us: int) -> None:
        binding.expires_us = now_us + self.config.window_us
        self._expirations.append((binding.expires_us, key))

    def _expire_bindings(self, now_us: int) -> None:
        """Release keys whose window has expired; a key with an open attempt stays bound."""
        while self._expirations and self._expirations[0][0] <= now_us:
            expires_us, key = self._expirations.popleft()
            binding = self._bindings.get(key)
            if binding is None or binding.expires_us != expires_us:
                continue
            if binding.open_attempts > 0:
                self._extend_binding(key, binding, now_us)
            else:
                del self._bindings[key]
