"""The machines of all requests, and what they share: router, breaker, budgets, and the pace of the members.

``step`` returns decisions with the member chosen; the owner sends, cancels and asks, and reports how it ended.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol, Union

from sagetrestle.attempts import request as request_machine
from sagetrestle.attempts.breaker import BreakerConfig, CircuitBreaker
from sagetrestle.attempts.budget import RetryBudgets
from sagetrestle.attempts.request import Allowance, RequestConfig, RequestMachine
from sagetrestle.attempts.values import (
    EXECUTION_PROOFS,
    MEMBER_FAULTS,
    NEVER_RECEIVED,
    AttemptOutcome,
    Fate,
    Job,
    Result,
)
from sagetrestle.membership.values import Member
from sagetrestle.router import Attempt, ExecutionProof, NoRoute, NoRouteReason, Route, Router, RouteRequest

OUTLIER_CHECK_INTERVAL_US = 1_000_000
MAY_KEEP_RUNNING = frozenset({AttemptOutcome.TIMED_OUT, AttemptOutcome.WITHDRAWN})
NO_MEMBER_RETRY_AFTER_US = 1_000_000  # how long to stay away where no member takes work


@dataclass(frozen=True)
class DispatcherConfig:
    """Shares of first tries that retries and second copies may add; ``hedge_quantile`` of a route's times starts one.

    ``charges_move`` lets a charge that is proven never to have run go on to another member. Only a lone keeper
    may: another one, that the charge's next try comes to, would know nothing of it, and run it where its key says.
    """

    retry_share: float = 0.08
    retry_reserve_per_s: float = 1.0
    hedge_share: float = 0.02
    hedge_quantile: float = 0.95
    charges_move: bool = True
    request: RequestConfig = field(default_factory=RequestConfig)
    breaker: BreakerConfig = field(default_factory=BreakerConfig)


class Send(NamedTuple):
    """Send a job's attempt to a member."""

    job: Job
    number: int
    member: Member
    timeout_us: int


class QueryMember(NamedTuple):
    """Ask a member what became of a job's key."""

    job: Job
    number: int
    member: Member
    timeout_us: int


class CancelSend(NamedTuple):
    """Give an attempt up."""

    job: Job
    number: int


class JobFinished(NamedTuple):
    """A job is over."""

    job: Job
    result: Result


DispatcherDecision = Union[Send, QueryMember, CancelSend, JobFinished]


class CapacityLimits(Protocol):
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


class RegionRouting(Protocol):
    """What names the servers that a job may go to (``steering``), where tenants are promised regions."""

    def groups(self, id: str) -> tuple[tuple[str, ...], ...]:
        """Return them by region, in order; nothing where it may go anywhere."""

    def went(self, id: str, server: str) -> None:
        """Note the server that a job is sent to."""


class LatencyQuantile:
    """How long answers of a route usually take, as a quantile followed by steps (frugal streaming, Ma 2013)."""

    __slots__ = ("value_us", "_quantile", "samples")

    def __init__(self, quantile: float) -> None:
        self.value_us, self._quantile, self.samples = 0.0, quantile, 0

    def observe(self, took_us: int) -> None:
        """Move towards the quantile by a part of the present value."""
        self.samples += 1
        if self.samples <= 5:
            self.value_us = max(self.value_us, float(took_us))
            return
        step = max(500.0, 0.05 * self.value_us)
        self.value_us += step * self._quantile if took_us > self.value_us else -step * (1 - self._quantile)


@dataclass(slots=True)
class _JobState:
    machine: RequestMachine
    attempts: dict[int, tuple[Attempt, int]] = field(default_factory=dict)  # number: the router's, and its start
    tried: tuple[str, ...] = ()
    member: Member | None = None  # of the last attempt
    questions: set[int] = field(default_factory=set)
    queued_attempt: request_machine.StartAttempt | None = None  # waits for room


class Dispatcher:
    """All requests that are under way."""

    def __init__(self, router: Router, config: DispatcherConfig | None = None, seed: int = 0) -> None:
        self.router, self.config = router, config or DispatcherConfig()
        self.capacity: CapacityLimits | None = None
        self.region_routing: RegionRouting | None = None
        self.is_awaited: Callable[[str], bool] = lambda id: True  # whether anybody waits for a job's answer
        self._queued_jobs: dict[str, None] = {}  # jobs whose attempt waits for room, in their order
        self.breaker = CircuitBreaker(self.config.breaker)
        self._rng = random.Random(seed)
        self._jobs: dict[str, _JobState] = {}
        self._due: list[tuple[int, str]] = []
        self._route_budgets = RetryBudgets(self.config.retry_share, self.config.retry_reserve_per_s)
        self._tenant_budgets = RetryBudgets(self.config.retry_share, self.config.retry_reserve_per_s)
        self._hedge_budgets = RetryBudgets(self.config.hedge_share, 0.2)
        self._latencies: dict[str, LatencyQuantile] = {}
        self._next_outlier_check_us = 0
        self._counts: dict[str, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def next_due(self) -> int | None:
        """Return when ``tick`` is due."""
        return self._due[0][0] if self._due else None

    def ejected_members(self, now_us: int) -> tuple[str, ...]:
        """Return the members that the breaker leaves out now."""
        return tuple(
            one.instance.name
            for one in self.router.view.members.values()
            if not self.breaker.allows(one.instance.name, now_us)
        )

    def take_counts(self) -> dict[str, tuple[int, int]]:
        """Return the good and bad ends of attempts by member since this was asked."""
        counts, self._counts = self._counts, {}
        return counts

    def eject(self, name: str, now_us: int) -> None:
        """Leave a member out for failures that others saw."""
        self.breaker.eject(name, now_us, len(self.router.view.members))

    def submit(self, now_us: int, job: Job) -> list[DispatcherDecision]:
        """Take a job in. Raises ValueError for one whose id is under way."""
        if job.id in self._jobs:
            raise ValueError(f"job {job.id}: is under way")
        self._jobs[job.id] = _JobState(RequestMachine(job, self.config.request, self._rng))
        if not job.retry:  # a caller's own retries pay for none of ours
            for budgets, name in (
                (self._route_budgets, job.route),
                (self._tenant_budgets, job.tenant),
                (self._hedge_budgets, job.route),
            ):
                budgets.budget_for(name).count_first_attempt(now_us)
        return self._step(now_us, job.id, request_machine.Start())

    def attempt_ended(
        self,
        now_us: int,
        id: str,
        number: int,
        end: AttemptOutcome,
        answer: object = None,
        retry_after_us: int = 0,
        final: bool = False,
    ) -> list[DispatcherDecision]:
        """Take how an attempt ended."""
        job_state = self._jobs.get(id)
        if job_state is None or number not in job_state.attempts:
            return []
        self._close_attempt(now_us, job_state, number, end)
        return self._step(now_us, id, request_machine.AttemptEnded(number, end, answer, retry_after_us, final))

    def fate_reported(
        self, now_us: int, id: str, number: int, fate: Fate | None, answer: object = None
    ) -> list[DispatcherDecision]:
        """Take a member's word on a key."""
        job_state = self._jobs.get(id)
        if job_state is None or number not in job_state.questions:
            return []
        job_state.questions.discard(number)
        return self._step(now_us, id, request_machine.FateReported(number, fate, answer))

    def caller_gone(self, now_us: int, id: str) -> list[DispatcherDecision]:
        """Take that nobody waits for a job any more."""
        return self._step(now_us, id, request_machine.CallerGone()) if id in self._jobs else []

    def tick(self, now_us: int) -> list[DispatcherDecision]:
        """Do what is due by time alone."""
        decided: list[DispatcherDecision] = []
        decided += self.send_queued(now_us)
        while self._due and self._due[0][0] <= now_us:
            _, id = heapq.heappop(self._due)
            job_state = self._jobs.get(id)
            if job_state is not None and job_state.machine.due is not None and job_state.machine.due <= now_us:
                decided += self._step(now_us, id, request_machine.Tick())
        if now_us >= self._next_outlier_check_us:
            self._next_outlier_check_us = now_us + OUTLIER_CHECK_INTERVAL_US
            self.breaker.eject_outliers(now_us, len(self.router.view.members))
        return decided

    def send_queued(self, now_us: int) -> list[DispatcherDecision]:
        """Send what waited for room, as far as there is some now: charges first, as they have one server each."""
        decided: list[DispatcherDecision] = []
        for id in sorted(self._queued_jobs, key=lambda one: self._jobs[one].machine.job.key is None):
            job_state = self._jobs[id]
            parked = job_state.queued_attempt
            if parked is None or not self._has_capacity(now_us, job_state):
                continue
            del self._queued_jobs[id]
            job_state.queued_attempt = None
            left = job_state.machine.open.get(parked.number, now_us) - now_us
            decided += self._carry_out(
                now_us,
                id,
                [
                    *job_state.machine.step(now_us, request_machine.AttemptSent(parked.number)),
                    parked._replace(timeout_us=max(1_000, left)),
                ],
            )
        return decided

    def queued_count(self) -> int:
        """Return how many wait for room."""
        return len(self._queued_jobs)

    def queued_jobs(self) -> tuple[str, ...]:
        """Return the jobs that wait for room."""
        return tuple(self._queued_jobs)

    def members_not_in(self, servers: tuple[str, ...]) -> tuple[str, ...]:
        """Return the members that are not among some."""
        return tuple(name for name in self.router.view.members if name not in servers)

    # Inside

    def _has_capacity(self, now_us: int, job_state: _JobState) -> bool:
        """Tell whether the next attempt of a job finds room, where that is bounded."""
        if self.capacity is None:
            return True
        job = job_state.machine.job
        if job.member is not None:
            return self.capacity.free(now_us, job.member.instance.name)
        route = self._choose(now_us, job, job_state.tried)
        return isinstance(route, NoRoute) or self.capacity.free(now_us, route.member.instance.name)

    def _step(self, now_us: int, id: str, event: request_machine.RequestEvent) -> list[DispatcherDecision]:
        job_state = self._jobs[id]
        return self._carry_out(now_us, id, job_state.machine.step(now_us, event, self._allowed(now_us, job_state)))

    def _carry_out(
        self, now_us: int, id: str, decisions: list[request_machine.RequestDecision]
    ) -> list[DispatcherDecision]:
        job_state = self._jobs[id]
        decided: list[DispatcherDecision] = []
        todo = list(decisions)
        while todo:
            decision = todo.pop(0)
            match decision:
                case request_machine.StartAttempt():
                    todo += self._send(now_us, job_state, decision, decided)
                case request_machine.QueryFate(number, timeout_us):
                    todo += self._query_member(now_us, job_state, number, timeout_us, decided)
                case request_machine.CancelAttempt(number):
                    won = job_state.machine.state is request_machine.RequestState.DONE  # the other copy answered
                    self._close_attempt(
                        now_us, job_state, number, AttemptOutcome.WITHDRAWN if won else AttemptOutcome.TIMED_OUT
                    )
                    decided.append(CancelSend(job_state.machine.job, number))
                case request_machine.Complete(result):
                    decided.append(JobFinished(job_state.machine.job, result))
        if job_state.machine.state is request_machine.RequestState.DONE:
            for number in list(job_state.attempts):
                self._close_attempt(now_us, job_state, number, AttemptOutcome.WITHDRAWN)
            del self._jobs[id]
            self._queued_jobs.pop(id, None)
        elif job_state.machine.due is not None:
            heapq.heappush(self._due, (job_state.machine.due, id))
        return decided

    def _allowed(self, now_us: int, job_state: _JobState) -> Allowance:
        """Return what the budgets allow: retries by route and by tenant, second copies by route."""
        job = job_state.machine.job
        pace = self._latencies.get(job.route)
        copy = int(pace.value_us) if pace is not None and pace.samples > 20 and job.key is None else 0
        return Allowance(lambda: self._may_retry(now_us, job), lambda: self._may_hedge(now_us, job), copy)

    def _may_hedge(self, now_us: int, job: Job) -> bool:
        """Take a second copy from its budget; none waits for room."""
        if self.capacity is not None and not (
            self.capacity.may_again(now_us) and self._has_capacity(now_us, self._jobs[job.id])
        ):
            return False
        return self._hedge_budgets.budget_for(job.route).try_spend(now_us)

    def _may_retry(self, now_us: int, job: Job) -> bool:
        if self.capacity is not None:
            return self.capacity.may_again(now_us)
        route, tenant = self._route_budgets.budget_for(job.route), self._tenant_budgets.budget_for(job.tenant)
        if tenant.balance(now_us) < 1.0 or not route.try_spend(now_us):
            return False
        return tenant.try_spend(now_us)

    def _send(
        self,
        now_us: int,
        job_state: _JobState,
        decision: request_machine.StartAttempt,
        decided: list[DispatcherDecision],
    ) -> list[request_machine.RequestDecision]:
        """Choose a member; without one the attempt ends at once, proven never to have run."""
        job = job_state.machine.job
        if self.capacity is not None and not self.is_awaited(job.id) and job.in_doubt is None:
            return job_state.machine.step(
                now_us, request_machine.AttemptEnded(decision.number, AttemptOutcome.NO_CAPACITY, final=True)
            )
        route = self._choose(now_us, job, job_state.tried)
        if self.capacity is not None and isinstance(route, Route):
            name = route.member.instance.name
            if not self.capacity.in_time(name, job.due_us - now_us):
                return job_state.machine.step(
                    now_us, request_machine.AttemptEnded(decision.number, AttemptOutcome.NO_CAPACITY, final=True)
                )
            if not self.capacity.free(now_us, name):
                job_state.queued_attempt, self._queued_jobs[job.id] = decision, None
                return job_state.machine.step(now_us, request_machine.AttemptQueued(decision.number))
        if isinstance(route, NoRoute):
            bound = route.reason is NoRouteReason.BOUND
            end = AttemptOutcome.RESET if bound else AttemptOutcome.NOT_CONNECTED
            # With nobody there the caller hears so at once: to hold it would only hide that from it.
            wait, none = route.retry_after_us or NO_MEMBER_RETRY_AFTER_US, Allowance(lambda: False, lambda: False)
            return job_state.machine.step(now_us, request_machine.AttemptEnded(decision.number, end, None, wait), none)
        name = route.member.instance.name
        job_state.tried += (name,)
        job_state.member = route.member
        key = job.key if job.member is None else None  # else the fleet's record binds it, not this router
        job_state.attempts[decision.number] = (self.router.attempt_started(route, key, now_us), now_us)
        self.breaker.attempt_started(name, now_us)
        if self.region_routing is not None:
            self.region_routing.went(job.id, name)
        if self.capacity is not None:
            self.capacity.began(now_us, name)
        decided.append(Send(job, decision.number, route.member, decision.timeout_us))
        return []

    def _choose(self, now_us: int, job: Job, tried: tuple[str, ...]) -> Union[Route, NoRoute]:
        """Ask the router, passing over members that the breaker leaves out, unless it leaves out all."""
        if job.member is not None:
            return Route(job.member, bound=True)
        if job.key is not None and not self.config.charges_move:
            return self.router.choose(RouteRequest(job.key, fixed=True), now_us)
        out = self.ejected_members(now_us)
        full = self.capacity.full(now_us) if self.capacity is not None and job.key is None else ()
        groups = self.region_routing.groups(job.id) if self.region_routing is not None and job.key is None else ()
        if groups:
            return self._choose_in_regions(now_us, groups, tried, out, full)
        if full:
            route = self.router.choose(RouteRequest(None, tried + out + full), now_us)
            if not isinstance(route, NoRoute):
                return route
        route = self.router.choose(RouteRequest(job.key, tried + out), now_us)
        if isinstance(route, NoRoute) and route.reason is not NoRouteReason.BOUND:
            route = self.router.choose(RouteRequest(job.key, out), now_us)  # a second time at one that was tried
        if isinstance(route, NoRoute) and route.reason is not NoRouteReason.BOUND and out:
            route = self.router.choose(RouteRequest(job.key), now_us)
        return route

    def _choose_in_regions(
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
        room = self.capacity
        caller_gone = (*out, *(name for name in room.out() if not room.free(now_us, name))) if room is not None else out
        route: Union[Route, NoRoute] = NoRoute(NoRouteReason.NOBODY)
        for servers in groups:
            but = self.members_not_in(servers)
            for away in (tried + caller_gone + full, tried + caller_gone, caller_gone):
                route = self.router.choose(RouteRequest(None, but + away), now_us)
                if not isinstance(route, NoRoute):
                    return route
        return route

    def _query_member(
        self, now_us: int, job_state: _JobState, number: int, timeout_us: int, decided: list[DispatcherDecision]
    ) -> list[request_machine.RequestDecision]:
        sent_to = (
            (job_state.member.instance.name, job_state.member.instance.boot)
            if job_state.member is not None
            else job_state.machine.job.in_doubt
        )
        member = job_state.machine.job.member  # it may be in no list here
        if sent_to is not None and (member is None or member.instance.name != sent_to[0]):
            member = self.router.view.members.get(sent_to[0])
        if sent_to is None or member is None or member.instance.boot != sent_to[1]:
            # Nobody else can tell: it stays in doubt, and is asked again while there is time.
            return job_state.machine.step(now_us, request_machine.FateReported(number, None))
        job_state.questions.add(number)
        decided.append(QueryMember(job_state.machine.job, number, member, timeout_us))
        return []

    def _close_attempt(self, now_us: int, job_state: _JobState, number: int, end: AttemptOutcome) -> None:
        if number not in job_state.attempts:
            return
        attempt, began_us = job_state.attempts.pop(number)
        proof = ExecutionProof.MAY_HAVE_RUN if end is AttemptOutcome.WITHDRAWN else EXECUTION_PROOFS[end]
        self.router.attempt_ended(attempt, proof, now_us)
        if self.capacity is not None:
            good = None if end in (AttemptOutcome.WITHDRAWN, AttemptOutcome.REFUSED) else end is AttemptOutcome.ANSWERED
            self.capacity.ended(
                now_us,
                attempt.member,
                now_us - began_us,
                good,
                end not in NEVER_RECEIVED and end is not AttemptOutcome.NOT_CONNECTED,
                end in MAY_KEEP_RUNNING,
            )
        if end is not AttemptOutcome.WITHDRAWN:
            members = len(self.router.view.members)
            self.breaker.attempt_ended(attempt.member, end not in MEMBER_FAULTS, now_us, members)
            good, bad = self._counts.get(attempt.member, (0, 0))
            self._counts[attempt.member] = (good + (end not in MEMBER_FAULTS), bad + (end in MEMBER_FAULTS))
        if end is AttemptOutcome.ANSWERED:
            job = job_state.machine.job
            self._latencies.setdefault(job.route, LatencyQuantile(self.config.hedge_quantile)).observe(
                now_us - began_us
            )
