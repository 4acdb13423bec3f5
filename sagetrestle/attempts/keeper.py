"""The machines of all requests, and what they share: router, breaker, budgets, and the pace of the members.

``step`` returns decisions with the member chosen; the owner sends, cancels and asks, and reports how it ended.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol, Union

from sagetrestle.attempts import request as one_request
from sagetrestle.attempts.breaker import Breaker, BreakerTerms
from sagetrestle.attempts.budget import Budgets
from sagetrestle.attempts.request import Allowance, Request, RequestTerms
from sagetrestle.attempts.values import FAULTS, PROVES, UNSEEN, AttemptEnd, Fate, Job, Result
from sagetrestle.membership.values import Member
from sagetrestle.router import Attempt, End, NoRoute, Route, Router, Wanted, Why

COMPARE_EVERY_US = 1_000_000
LINGERS = frozenset({AttemptEnd.TIMED_OUT, AttemptEnd.WITHDRAWN})
NOBODY_US = 1_000_000  # how long to stay away where no member takes work


@dataclass(frozen=True)
class KeeperTerms:
    """Shares of first tries that retries and second copies may add; ``copy_point`` of a route's times starts one.

    ``charges_move`` lets a charge that is proven never to have run go on to another member. Only a lone keeper
    may: another one, that the charge's next try comes to, would know nothing of it, and run it where its key says.
    """

    retry_share: float = 0.08
    retry_reserve_per_s: float = 1.0
    copy_share: float = 0.02
    copy_point: float = 0.95
    charges_move: bool = True
    request: RequestTerms = field(default_factory=RequestTerms)
    breaker: BreakerTerms = field(default_factory=BreakerTerms)


class Send(NamedTuple):
    """Send a job's attempt to a member."""

    job: Job
    number: int
    member: Member
    timeout_us: int


class Ask(NamedTuple):
    """Ask a member what became of a job's key."""

    job: Job
    number: int
    member: Member
    timeout_us: int


class Drop(NamedTuple):
    """Give an attempt up."""

    job: Job
    number: int


class Finished(NamedTuple):
    """A job is over."""

    job: Job
    result: Result


KeeperDecision = Union[Send, Ask, Drop, Finished]


class Room(Protocol):
    """What bounds sends for the whole fleet (``steering``), where that is on."""

    def full(self, now: int) -> tuple[str, ...]:
        """Return the servers that take no further request now."""

    def out(self) -> tuple[str, ...]:
        """Return the servers that are removed for the whole fleet."""

    def free(self, now: int, name: str) -> bool:
        """Tell whether a request may be sent to a server."""

    def in_time(self, name: str, left_us: int) -> bool:
        """Tell whether a server may still answer within the time left."""

    def may_again(self, now: int) -> bool:
        """Tell whether a try beyond the first ones is paid for."""

    def began(self, now: int, name: str) -> None:
        """Count a request that is sent."""

    def ended(
        self, now: int, name: str, took_us: int, good: bool | None, reached: bool = True, lingers: bool = False
    ) -> None:
        """Count one that is over; None: its end says nothing of the server.

        ``reached``: it may have reached the server; ``lingers``: it was given up, and the server may go on with it.
        """


class Steer(Protocol):
    """What names the servers that a job may go to (``steering``), where tenants are promised regions."""

    def groups(self, id: str) -> tuple[tuple[str, ...], ...]:
        """Return them by region, in order; nothing where it may go anywhere."""

    def went(self, id: str, server: str) -> None:
        """Note the server that a job is sent to."""


class Pace:
    """How long answers of a route usually take, as a quantile followed by steps (frugal streaming, Ma 2013)."""

    __slots__ = ("value", "_point", "seen")

    def __init__(self, point: float) -> None:
        self.value, self._point, self.seen = 0.0, point, 0

    def note(self, took_us: int) -> None:
        """Move towards the quantile by a part of the present value."""
        self.seen += 1
        if self.seen <= 5:
            self.value = max(self.value, float(took_us))
            return
        step = max(500.0, 0.05 * self.value)
        self.value += step * self._point if took_us > self.value else -step * (1 - self._point)


@dataclass(slots=True)
class _Held:
    machine: Request
    attempts: dict[int, tuple[Attempt, int]] = field(default_factory=dict)  # number: the router's, and its start
    tried: tuple[str, ...] = ()
    member: Member | None = None  # of the last attempt
    questions: set[int] = field(default_factory=set)
    parked: one_request.Try | None = None  # waits for room


class Keeper:
    """All requests that are under way."""

    def __init__(self, router: Router, terms: KeeperTerms | None = None, seed: int = 0) -> None:
        self.router, self.terms = router, terms or KeeperTerms()
        self.room: Room | None = None
        self.steer: Steer | None = None
        self.owed: Callable[[str], bool] = lambda id: True  # whether anybody waits for a job's answer
        self._parked: dict[str, None] = {}  # jobs whose attempt waits for room, in their order
        self.breaker = Breaker(self.terms.breaker)
        self._rng = random.Random(seed)
        self._jobs: dict[str, _Held] = {}
        self._due: list[tuple[int, str]] = []
        self._routes = Budgets(self.terms.retry_share, self.terms.retry_reserve_per_s)
        self._tenants = Budgets(self.terms.retry_share, self.terms.retry_reserve_per_s)
        self._copies = Budgets(self.terms.copy_share, 0.2)
        self._paces: dict[str, Pace] = {}
        self._compare_at = 0
        self._counts: dict[str, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def next_due(self) -> int | None:
        """Return when ``passed`` is due."""
        return self._due[0][0] if self._due else None

    def left_out(self, now_us: int) -> tuple[str, ...]:
        """Return the members that the breaker leaves out now."""
        return tuple(
            one.instance.name
            for one in self.router.view.members.values()
            if not self.breaker.allows(one.instance.name, now_us)
        )

    def counted(self) -> dict[str, tuple[int, int]]:
        """Return the good and bad ends of attempts by member since this was asked."""
        counts, self._counts = self._counts, {}
        return counts

    def convict(self, name: str, now_us: int) -> None:
        """Leave a member out for failures that others saw."""
        self.breaker.convict(name, now_us, len(self.router.view.members))

    def begin(self, now_us: int, job: Job) -> list[KeeperDecision]:
        """Take a job in. Raises ValueError for one whose id is under way."""
        if job.id in self._jobs:
            raise ValueError(f"job {job.id}: is under way")
        self._jobs[job.id] = _Held(Request(job, self.terms.request, self._rng))
        if not job.retry:  # a caller's own retries pay for none of ours
            for budgets, name in ((self._routes, job.route), (self._tenants, job.tenant), (self._copies, job.route)):
                budgets.of(name).first(now_us)
        return self._step(now_us, job.id, one_request.Begin())

    def ended(
        self,
        now_us: int,
        id: str,
        number: int,
        end: AttemptEnd,
        answer: object = None,
        retry_after_us: int = 0,
        final: bool = False,
    ) -> list[KeeperDecision]:
        """Take how an attempt ended."""
        held = self._jobs.get(id)
        if held is None or number not in held.attempts:
            return []
        self._close(now_us, held, number, end)
        return self._step(now_us, id, one_request.Ended(number, end, answer, retry_after_us, final))

    def told(self, now_us: int, id: str, number: int, fate: Fate | None, answer: object = None) -> list[KeeperDecision]:
        """Take a member's word on a key."""
        held = self._jobs.get(id)
        if held is None or number not in held.questions:
            return []
        held.questions.discard(number)
        return self._step(now_us, id, one_request.Told(number, fate, answer))

    def gone(self, now_us: int, id: str) -> list[KeeperDecision]:
        """Take that nobody waits for a job any more."""
        return self._step(now_us, id, one_request.CallerGone()) if id in self._jobs else []

    def passed(self, now_us: int) -> list[KeeperDecision]:
        """Do what is due by time alone."""
        decided: list[KeeperDecision] = []
        decided += self.pump(now_us)
        while self._due and self._due[0][0] <= now_us:
            _, id = heapq.heappop(self._due)
            held = self._jobs.get(id)
            if held is not None and held.machine.due is not None and held.machine.due <= now_us:
                decided += self._step(now_us, id, one_request.Passed())
        if now_us >= self._compare_at:
            self._compare_at = now_us + COMPARE_EVERY_US
            self.breaker.compare(now_us, len(self.router.view.members))
        return decided

    def pump(self, now_us: int) -> list[KeeperDecision]:
        """Send what waited for room, as far as there is some now: charges first, as they have one server each."""
        decided: list[KeeperDecision] = []
        for id in sorted(self._parked, key=lambda one: self._jobs[one].machine.job.key is None):
            held = self._jobs[id]
            parked = held.parked
            if parked is None or not self._fits(now_us, held):
                continue
            del self._parked[id]
            held.parked = None
            left = held.machine.open.get(parked.number, now_us) - now_us
            decided += self._carry(
                now_us,
                id,
                [
                    *held.machine.step(now_us, one_request.Sent(parked.number)),
                    parked._replace(timeout_us=max(1_000, left)),
                ],
            )
        return decided

    def waiting(self) -> int:
        """Return how many wait for room."""
        return len(self._parked)

    def parked(self) -> tuple[str, ...]:
        """Return the jobs that wait for room."""
        return tuple(self._parked)

    def outside(self, servers: tuple[str, ...]) -> tuple[str, ...]:
        """Return the members that are not among some."""
        return tuple(name for name in self.router.view.members if name not in servers)

    # Inside

    def _fits(self, now_us: int, held: _Held) -> bool:
        """Tell whether the next attempt of a job finds room, where that is bounded."""
        if self.room is None:
            return True
        job = held.machine.job
        if job.member is not None:
            return self.room.free(now_us, job.member.instance.name)
        route = self._choose(now_us, job, held.tried)
        return isinstance(route, NoRoute) or self.room.free(now_us, route.member.instance.name)

    def _step(self, now_us: int, id: str, event: one_request.RequestEvent) -> list[KeeperDecision]:
        held = self._jobs[id]
        return self._carry(now_us, id, held.machine.step(now_us, event, self._allowed(now_us, held)))

    def _carry(self, now_us: int, id: str, decisions: list[one_request.RequestDecision]) -> list[KeeperDecision]:
        held = self._jobs[id]
        decided: list[KeeperDecision] = []
        todo = list(decisions)
        while todo:
            decision = todo.pop(0)
            match decision:
                case one_request.Try():
                    todo += self._send(now_us, held, decision, decided)
                case one_request.AskAfter(number, timeout_us):
                    todo += self._ask(now_us, held, number, timeout_us, decided)
                case one_request.Cancel(number):
                    won = held.machine.state is one_request.State.DONE  # the other copy answered
                    self._close(now_us, held, number, AttemptEnd.WITHDRAWN if won else AttemptEnd.TIMED_OUT)
                    decided.append(Drop(held.machine.job, number))
                case one_request.Answer(result):
                    decided.append(Finished(held.machine.job, result))
        if held.machine.state is one_request.State.DONE:
            for number in list(held.attempts):
                self._close(now_us, held, number, AttemptEnd.WITHDRAWN)
            del self._jobs[id]
            self._parked.pop(id, None)
        elif held.machine.due is not None:
            heapq.heappush(self._due, (held.machine.due, id))
        return decided

    def _allowed(self, now_us: int, held: _Held) -> Allowance:
        """Return what the budgets allow: retries by route and by tenant, second copies by route."""
        job = held.machine.job
        pace = self._paces.get(job.route)
        copy = int(pace.value) if pace is not None and pace.seen > 20 and job.key is None else 0
        return Allowance(lambda: self._spend(now_us, job), lambda: self._may_copy(now_us, job), copy)

    def _may_copy(self, now_us: int, job: Job) -> bool:
        """Take a second copy from its budget; none waits for room."""
        if self.room is not None and not (self.room.may_again(now_us) and self._fits(now_us, self._jobs[job.id])):
            return False
        return self._copies.of(job.route).spend(now_us)

    def _spend(self, now_us: int, job: Job) -> bool:
        if self.room is not None:
            return self.room.may_again(now_us)
        route, tenant = self._routes.of(job.route), self._tenants.of(job.tenant)
        if tenant.balance(now_us) < 1.0 or not route.spend(now_us):
            return False
        return tenant.spend(now_us)

    def _send(
        self, now_us: int, held: _Held, decision: one_request.Try, decided: list[KeeperDecision]
    ) -> list[one_request.RequestDecision]:
        """Choose a member; without one the attempt ends at once, proven never to have run."""
        job = held.machine.job
        if self.room is not None and not self.owed(job.id) and job.in_doubt is None:
            return held.machine.step(now_us, one_request.Ended(decision.number, AttemptEnd.NO_ROOM, final=True))
        route = self._choose(now_us, job, held.tried)
        if self.room is not None and isinstance(route, Route):
            name = route.member.instance.name
            if not self.room.in_time(name, job.due_us - now_us):
                return held.machine.step(now_us, one_request.Ended(decision.number, AttemptEnd.NO_ROOM, final=True))
            if not self.room.free(now_us, name):
                held.parked, self._parked[job.id] = decision, None
                return held.machine.step(now_us, one_request.Parked(decision.number))
        if isinstance(route, NoRoute):
            bound = route.why is Why.BOUND
            end = AttemptEnd.RESET if bound else AttemptEnd.NOT_CONNECTED
            # With nobody there the caller hears so at once: to hold it would only hide that from it.
            wait, none = route.retry_after_us or NOBODY_US, Allowance(lambda: False, lambda: False)
            return held.machine.step(now_us, one_request.Ended(decision.number, end, None, wait), none)
        name = route.member.instance.name
        held.tried += (name,)
        held.member = route.member
        key = job.key if job.member is None else None  # else the fleet's record binds it, not this router
        held.attempts[decision.number] = (self.router.began(route, key, now_us), now_us)
        self.breaker.began(name, now_us)
        if self.steer is not None:
            self.steer.went(job.id, name)
        if self.room is not None:
            self.room.began(now_us, name)
        decided.append(Send(job, decision.number, route.member, decision.timeout_us))
        return []

    def _choose(self, now_us: int, job: Job, tried: tuple[str, ...]) -> Union[Route, NoRoute]:
        """Ask the router, passing over members that the breaker leaves out, unless it leaves out all."""
        if job.member is not None:
            return Route(job.member, bound=True)
        if job.key is not None and not self.terms.charges_move:
            return self.router.choose(Wanted(job.key, fixed=True), now_us)
        out = self.left_out(now_us)
        full = self.room.full(now_us) if self.room is not None and job.key is None else ()
        groups = self.steer.groups(job.id) if self.steer is not None and job.key is None else ()
        if groups:
            return self._steered(now_us, groups, tried, out, full)
        if full:
            route = self.router.choose(Wanted(None, tried + out + full), now_us)
            if not isinstance(route, NoRoute):
                return route
        route = self.router.choose(Wanted(job.key, tried + out), now_us)
        if isinstance(route, NoRoute) and route.why is not Why.BOUND:
            route = self.router.choose(Wanted(job.key, out), now_us)  # a second time at one that was tried
        if isinstance(route, NoRoute) and route.why is not Why.BOUND and out:
            route = self.router.choose(Wanted(job.key), now_us)
        return route

    def _steered(
        self,
        now_us: int,
        groups: tuple[tuple[str, ...], ...],
        tried: tuple[str, ...],
        out: tuple[str, ...],
        full: tuple[str, ...],
    ) -> Union[Route, NoRoute]:
        """Ask the router for a member of the first region that has one: with room, or else one to wait for.

        One that is removed for all is passed over, unless its trial is this member's; outside of the regions that are
        allowed nothing goes.
        """
        room = self.room
        gone = (*out, *(name for name in room.out() if not room.free(now_us, name))) if room is not None else out
        route: Union[Route, NoRoute] = NoRoute(Why.NOBODY)
        for servers in groups:
            but = self.outside(servers)
            for away in (tried + gone + full, tried + gone, gone):
                route = self.router.choose(Wanted(None, but + away), now_us)
                if not isinstance(route, NoRoute):
                    return route
        return route

    def _ask(
        self, now_us: int, held: _Held, number: int, timeout_us: int, decided: list[KeeperDecision]
    ) -> list[one_request.RequestDecision]:
        sent_to = (
            (held.member.instance.name, held.member.instance.boot)
            if held.member is not None
            else held.machine.job.in_doubt
        )
        member = held.machine.job.member  # it may be in no list here
        if sent_to is not None and (member is None or member.instance.name != sent_to[0]):
            member = self.router.view.members.get(sent_to[0])
        if sent_to is None or member is None or member.instance.boot != sent_to[1]:
            # Nobody else can tell: it stays in doubt, and is asked again while there is time.
            return held.machine.step(now_us, one_request.Told(number, None))
        held.questions.add(number)
        decided.append(Ask(held.machine.job, number, member, timeout_us))
        return []

    def _close(self, now_us: int, held: _Held, number: int, end: AttemptEnd) -> None:
        if number not in held.attempts:
            return
        attempt, began_us = held.attempts.pop(number)
        proof = End.MAY_HAVE_RUN if end is AttemptEnd.WITHDRAWN else PROVES[end]
        self.router.ended(attempt, proof, now_us)
        if self.room is not None:
            good = None if end in (AttemptEnd.WITHDRAWN, AttemptEnd.REFUSED) else end is AttemptEnd.ANSWERED
            self.room.ended(
                now_us,
                attempt.member,
                now_us - began_us,
                good,
                end not in UNSEEN and end is not AttemptEnd.NOT_CONNECTED,
                end in LINGERS,
            )
        if end is not AttemptEnd.WITHDRAWN:
            members = len(self.router.view.members)
            self.breaker.ended(attempt.member, end not in FAULTS, now_us, members)
            good, bad = self._counts.get(attempt.member, (0, 0))
            self._counts[attempt.member] = (good + (end not in FAULTS), bad + (end in FAULTS))
        if end is AttemptEnd.ANSWERED:
            job = held.machine.job
            self._paces.setdefault(job.route, Pace(self.terms.copy_point)).note(now_us - began_us)
