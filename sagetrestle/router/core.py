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

from sagetrestle.membership.srv import by_priority
from sagetrestle.membership.values import Life, Member
from sagetrestle.membership.view import View
from sagetrestle.router import rendezvous


UNOWNED_US = 100_000  # how long to stay away from a key without an owner


class End(Enum):
    """How an attempt ended, as far as it says whether anything ran."""

    SERVED = "served"
    NEVER_RAN = "never ran"  # refused, or the connection was
    MAY_HAVE_RUN = "may have run"


class Why(Enum):
    """Why there is no route."""

    NOBODY = "no member takes work"
    TRIED = "all members that take work were tried"
    BOUND = "the member that may have run it can not be reached"
    FULL = "no room to remember where it runs"
    UNOWNED = "the fleet names no owner that is in view"


@dataclass(frozen=True)
class RouterTerms:
    """``window_us`` is how long a key binds after its last try; ``keys`` how many are remembered.

    ``warm_us`` is over which a member that was away gets its share by degrees, from ``cold_share`` of it on.
    """

    window_us: int = 30_000_000
    keys: int = 262_144
    warm_us: int = 10_000_000
    cold_share: float = 0.15
    sample: int = 2  # members looked at for a safe request (Mitzenmacher 2001: two do nearly as well as all)


class Wanted(NamedTuple):
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

    why: Why
    retry_after_us: int = 0


class Attempt(NamedTuple):
    """An attempt that is under way or over."""

    member: str
    key: str | None = None


@dataclass(slots=True)
class _Binding:
    """Where a key may have run; ``open`` attempts may yet turn out never to have."""

    member: str
    boot: int
    open: int = 0
    ran: bool = False
    until: int = 0


class Router:
    """Routes by one view, which the owner puts in place of the one before."""

    def __init__(self, terms: RouterTerms | None = None, seed: int = 0) -> None:
        self.terms = terms or RouterTerms()
        self._rng = random.Random(seed)
        self._view = View()
        self._eligible: list[Member] = []
        self._outstanding: dict[str, int] = {}
        self._owner_of: Callable[[str], str] | None = None
        self._bindings: dict[str, _Binding] = {}
        self._ends: deque[tuple[int, str]] = deque()

    @property
    def view(self) -> View:
        """Return the view in force."""
        return self._view

    def see(self, view: View) -> None:
        """Route by a newer view."""
        self._view = view
        groups = by_priority(view.eligible())
        self._eligible = groups[0] if groups else []

    def own(self, owner_of: Callable[[str], str] | None) -> None:
        """Send charges where the fleet says that their keys are owned, by name, and nowhere else."""
        self._owner_of = owner_of

    def owner(self, key: str) -> str:
        """Return the name of a key's owner in the fleet, or nothing."""
        return self._owner_of(key) if self._owner_of is not None else ""

    def outstanding(self, name: str) -> int:
        """Return how many attempts are open at a member."""
        return self._outstanding.get(name, 0)

    def bound(self) -> int:
        """Return how many keys are bound."""
        return len(self._bindings)

    # Choosing

    def choose(self, wanted: Wanted, now_us: int) -> Union[Route, NoRoute]:
        """Return where a request goes now; the caller then says ``began``."""
        self._sweep(now_us)
        if wanted.key is not None:
            return self._charge(wanted.key, wanted.tried, now_us, wanted.fixed)
        free = (
            [one for one in self._eligible if one.instance.name not in wanted.tried] if wanted.tried else self._eligible
        )
        if not free:
            return NoRoute(Why.TRIED if self._eligible else Why.NOBODY)
        return Route(self._least_loaded(free, now_us))

    def _owned(self, key: str, owner_of: Callable[[str], str]) -> Union[Route, NoRoute]:
        """Return the owner, whatever this router thinks of it: it alone may run the key."""
        member = self._view.members.get(owner_of(key))
        return Route(member, bound=True) if member is not None else NoRoute(Why.UNOWNED, UNOWNED_US)

    def _charge(self, key: str, tried: tuple[str, ...], now_us: int, fixed: bool) -> Union[Route, NoRoute]:
        if self._owner_of is not None:
            return self._owned(key, self._owner_of)
        binding = self._bindings.get(key)
        if binding is not None:
            member = self._view.members.get(binding.member)
            if member is None or member.instance.boot != binding.boot:
                # Another start under the name knows nothing of the key, and would run it again.
                return NoRoute(Why.BOUND, max(0, binding.until - now_us))
            return Route(member, bound=True)
        if len(self._bindings) >= self.terms.keys:
            return NoRoute(Why.FULL)
        if fixed:
            groups = by_priority(one for one in self._view.members.values() if one.life is not Life.DRAINING)
            member = rendezvous.first(key, groups[0]) if groups else None
            return Route(member, bound=True) if member is not None else NoRoute(Why.NOBODY)
        free = [one for one in self._eligible if one.instance.name not in tried]
        if not free:
            return NoRoute(Why.TRIED if self._eligible else Why.NOBODY)
        for member in rendezvous.ranked(key, free):
            # A cold member's share is drawn by the key, so that the next try finds the same member.
            if rendezvous.drawn(key) < self._warmth(member, now_us):
                return Route(member)
        return Route(rendezvous.ranked(key, free)[0])

    def _least_loaded(self, members: list[Member], now_us: int) -> Member:
        """Return the least loaded of a few drawn by weight and warmth."""
        count = min(self.terms.sample, len(members))
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
        if not member.warms_from_us:
            return 1.0
        grown = (now_us - member.warms_from_us) / self.terms.warm_us
        return min(1.0, self.terms.cold_share + (1.0 - self.terms.cold_share) * max(0.0, grown))

    def bind(self, key: str, name: str, boot: int, now_us: int) -> None:
        """Bind a key that may have run before this process began, as its journal says."""
        binding = self._bindings[key] = _Binding(name, boot, ran=True)
        self._keep(key, binding, now_us)

    # What becomes of attempts

    def began(self, route: Route, key: str | None, now_us: int) -> Attempt:
        """Count an attempt that is being sent; a charge binds its key from now on."""
        name = route.member.instance.name
        self._outstanding[name] = self._outstanding.get(name, 0) + 1
        if self._owner_of is not None:
            key = None  # the fleet knows where it may have run
        if key is not None:
            binding = self._bindings.get(key)
            if binding is None:
                binding = self._bindings[key] = _Binding(name, route.member.instance.boot)
            binding.open += 1
            self._keep(key, binding, now_us)
        return Attempt(name, key)

    def ended(self, attempt: Attempt, end: End, now_us: int) -> None:
        """Count an attempt that is over; only one that proves that nothing ran frees its key."""
        left = self._outstanding.get(attempt.member, 0) - 1
        if left > 0:
            self._outstanding[attempt.member] = left
        else:
            self._outstanding.pop(attempt.member, None)
        binding = self._bindings.get(attempt.key or "")
        if binding is None or binding.member != attempt.member:
            return
        binding.open -= 1
        binding.ran = binding.ran or end is not End.NEVER_RAN
        if binding.open <= 0 and not binding.ran:
            del self._bindings[attempt.key or ""]
        else:
            self._keep(attempt.key or "", binding, now_us)

    def _keep(self, key: str, binding: _Binding, now_us: int) -> None:
        binding.until = now_us + self.terms.window_us
        self._ends.append((binding.until, key))

    def _sweep(self, now_us: int) -> None:
        """Forget keys whose window is over; one with an attempt open stays."""
        while self._ends and self._ends[0][0] <= now_us:
            until, key = self._ends.popleft()
            binding = self._bindings.get(key)
            if binding is None or binding.until != until:
                continue
            if binding.open > 0:
                self._keep(key, binding, now_us)
            else:
                del self._bindings[key]
