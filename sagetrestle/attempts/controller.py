"""The state machines of all requests, and what they share: router, circuit breaker, budgets and latency estimates.

Decisions name the member that was chosen; the owner sends, cancels and queries, and reports the results.
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
NO_MEMBER_RETRY_AFTER_US = 1_000_000  # where no member accepts requests


@dataclass(frozen=True)
class AttemptControllerConfig:
    """Shares of first attempts that retries and hedges may add, and the configuration of their parts.

    A hedge is sent once an attempt is older than the ``hedge_quantile`` of its route's latencies. ``charges_move`` lets
    a charge that is proven never to have run go to another member. That is safe only with a single controller: another
    one, which the caller's next attempt may reach, would not know of it and would run the charge where its key hashes.
    """

    retry_share: float = 0.08
    retry_reserve_per_s: float = 1.0
    hedge_share: float = 0.02
    hedge_quantile: float = 0.95
    charges_move: bool = True
    request: RequestConfig = field(default_factory=RequestConfig)
    breaker: BreakerConfig = field(default_factory=BreakerConfig)


class Send(NamedTuple):
    """Send an attempt of a job to a member."""

    job: Job
    number: int
    member: Member
    timeout_us: int


class QueryMember(NamedTuple):
    """Query a member for the fate of a job's key."""

    job: Job
    number: int
    member: Member
    timeout_us: int


class CancelSend(NamedTuple):
    """Cancel an attempt."""

    job: Job
    number: int


class JobFinished(NamedTuple):
    """A job is finished."""

    job: Job
    result: Result


AttemptDecision = Union[Send, QueryMember, CancelSend, JobFinished]


class CapacityLimits(Protocol):
    """Fleet-wide limits of requests in flight by server (``steering``), where they are enabled."""

    def full_servers(self, now: int) -> tuple[str, ...]:
        """Return the servers that have no free slot now."""

    def removed_servers(self) -> tuple[str, ...]:
        """Return the servers that are withdrawn from service for the whole fleet."""

    def has_free_permit(self, now: int, name: str) -> bool:
        """Return whether a request may be sent to a server now."""

    def can_answer_in_time(self, name: str, left_us: int) -> bool:
        """Return whether a server is likely to answer within the time left."""

    def allows_retry(self, now: int) -> bool:
        """Take a retry from the fleet-wide budget; return whether one was available."""

    def attempt_sent(self, now: int, name: str) -> None:
        """Count a request that is sent."""

    def attempt_finished(
        self, now: int, name: str, took_us: int, good: bool | None, reached: bool = True, lingers: bool = False
    ) -> None:
        """Count a request that has ended; ``good`` is None where its end says nothing about the server.

        ``reached``: it may have reached the server; ``lingers``: it was cancelled, and may still run on the server.
        """


class RegionRouting(Protocol):
    """The regions that a job may be sent to (``steering``), where tenants are promised regions."""

    def groups(self, id: str) -> tuple[tuple[str, ...], ...]:
        """Return the allowed servers by region, in order of preference; empty where all are allowed."""

    def record_server(self, id: str, server: str) -> None:
        """Record the server that a job is sent to."""


class LatencyQuantile:
    """An estimate of a quantile of a route's latencies (frugal streaming, Ma 2013)."""

    __slots__ = ("value_us", "_quantile", "samples")

    def __init__(self, quantile: float) -> None:
        self.value_us, self._quantile, self.samples = 0.0, quantile, 0

    def observe(self, took_us: int) -> None:
        """Add a latency: move the estimate towards the quantile by a step in proportion to its value."""
        self.samples += 1
        if self.samples <= 5:
            self.value_us = max(self.value_us, float(took_us))
            return
        step = max(500.0, 0.05 * self.value_us)
        self.value_us += step * self._quantile if took_us > self.value_us else -step * (1 - self._quantile)


@dataclass(slots=True)
class _JobState:
    machine: RequestMachine
    attempts: dict[int, tuple[Attempt, int]] = field(default_factory=dict)  # number: attempt, start time
    tried: tuple[str, ...] = ()
    member: Member | None = None  # of the last attempt
    open_queries: set[int] = field(default_factory=set)
    queued_attempt: request_machine.StartAttempt | None = None  # waits for capacity


class AttemptController:
    """All requests in flight."""

    def __init__(self, router: Router, config: AttemptControllerConfig | None = None, seed: int = 0) -> None:
        self.router, self.config = router, config or AttemptControllerConfig()
        self.capacity: CapacityLimits | None = None
        self.region_routing: RegionRouting | None = None
        self.is_awaited: Callable[[str], bool] = lambda id: True  # whether a caller still waits for a job's answer
        self._queued_jobs: dict[str, None] = {}  # jobs whose attempt waits for capacity, in order of arrival
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
        """Return when ``tick`` is due next, None where nothing is scheduled."""
        return self._due[0][0] if self._due else None

    def ejected_members(self, now_us: int) -> tuple[str, ...]:
        """Return the members that the circuit breaker does not allow now."""
        return tuple(
            member.instance.name
            for member in self.router.view.members.values()
            if not self.breaker.allows(member.instance.name, now_us)
        )

    def take_counts(self) -> dict[str, tuple[int, int]]:
        """Return successes and failures by member since the last call."""
        counts, self._counts = self._counts, {}
        return counts

    def eject(self, name: str, now_us: int) -> None:
        """Eject a member for failures that others reported."""
        self.breaker.eject(name, now_us, len(self.router.view.members))

    def submit(self, now_us: int, job: Job) -> list[AttemptDecision]:
        """Accept a job and start it. Raises ValueError where a job of the same id is in flight."""
        if job.id in self._jobs:
            raise ValueError(f"job {job.id}: already in flight")
        self._jobs[job.id] = _JobState(RequestMachine(job, self.config.request, self._rng))
        if not job.retry:  # a caller's own retries earn no budget for ours
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
    ) -> list[AttemptDecision]:
        """Process the end of an attempt."""
        job_state = self._jobs.get(id)
        if job_state is None or number not in job_state.attempts:
            return []
        self._close_attempt(now_us, job_state, number, end)
        return self._step(now_us, id, request_machine.AttemptEnded(number, end, answer, retry_after_us, final))

    def fate_reported(
        self, now_us: int, id: str, number: int, fate: Fate | None, answer: object = None
    ) -> list[AttemptDecision]:
        """Process a member's reply to a query; ``fate`` is None where it could not be queried."""
        job_state = self._jobs.get(id)
        if job_state is None or number not in job_state.open_queries:
            return []
        job_state.open_queries.discard(number)
        return self._step(now_us, id, request_machine.FateReported(number, fate, answer))

    def caller_gone(self, now_us: int, id: str) -> list[AttemptDecision]:
        """Process that the caller of a job no longer waits."""
        return self._step(now_us, id, request_machine.CallerGone()) if id in self._jobs else []

    def tick(self, now_us: int) -> list[AttemptDecision]:
        """Do the work that is due: timers, queued attempts, and the check for outliers."""
        decisions: list[AttemptDecision] = []
        decisions += self.send_queued(now_us)
        while self._due and self._due[0][0] <= now_us:
            _, id = heapq.heappop(self._due)
            job_state = self._jobs.get(id)
            if job_state is not None and job_state.machine.due is not None and job_state.machine.due <= now_us:
                decisions += self._step(now_us, id, request_machine.Tick())
        if now_us >= self._next_outlier_check_us:
            self._next_outlier_check_us = now_us + OUTLIER_CHECK_INTERVAL_US
            self.breaker.eject_outliers(now_us, len(self.router.view.members))
        return decisions

    def send_queued(self, now_us: int) -> list[AttemptDecision]:
        """Send queued attempts as capacity allows: charges first, since each of them has only one server."""
        decisions: list[AttemptDecision] = []
        for id in sorted(self._queued_jobs, key=lambda job_id: self._jobs[job_id].machine.job.key is None):
            job_state = self._jobs[id]
            attempt = job_state.queued_attempt
            if attempt is None or not self._has_capacity(now_us, job_state):
                continue
            del self._queued_jobs[id]
            job_state.queued_attempt = None
            time_left_us = job_state.machine.open_attempts.get(attempt.number, now_us) - now_us
            decisions += self._carry_out(
                now_us,
                id,
                [
                    *job_state.machine.step(now_us, request_machine.AttemptSent(attempt.number)),
                    attempt._replace(timeout_us=max(1_000, time_left_us)),
                ],
            )
        return decisions

    def queued_count(self) -> int:
        """Return the number of jobs that wait for capacity."""
        return len(self._queued_jobs)

    def queued_jobs(self) -> tuple[str, ...]:
        """Return the ids of the jobs that wait for capacity."""
        return tuple(self._queued_jobs)

    def members_not_in(self, servers: tuple[str, ...]) -> tuple[str, ...]:
        """Return the members other than ``servers``."""
        return tuple(name for name in self.router.view.members if name not in servers)

    # Internals

    def _has_capacity(self, now_us: int, job_state: _JobState) -> bool:
        """Return whether there is capacity for the next attempt of a job."""
        if self.capacity is None:
            return True
        job = job_state.machine.job
        if job.member is not None:
            return self.capacity.has_free_permit(now_us, job.member.instance.name)
        route = self._choose(now_us, job, job_state.tried)
        return isinstance(route, NoRoute) or self.capacity.has_free_permit(now_us, route.member.instance.name)

    def _step(self, now_us: int, id: str, event: request_machine.RequestEvent) -> list[AttemptDecision]:
        job_state = self._jobs[id]
        return self._carry_out(now_us, id, job_state.machine.step(now_us, event, self._allowance(now_us, job_state)))

    def _carry_out(
        self, now_us: int, id: str, decisions: list[request_machine.RequestDecision]
    ) -> list[AttemptDecision]:
        job_state = self._jobs[id]
        decisions_out: list[AttemptDecision] = []
        todo = list(decisions)
        while todo:
            decision = todo.pop(0)
            match decision:
                case request_machine.StartAttempt():
                    todo += self._send(now_us, job_state, decision, decisions_out)
                case request_machine.QueryFate(number, timeout_us):
                    todo += self._query_member(now_us, job_state, number, timeout_us, decisions_out)
                case request_machine.CancelAttempt(number):
                    won = job_state.machine.state is request_machine.RequestState.DONE  # another copy has answered
                    self._close_attempt(
                        now_us, job_state, number, AttemptOutcome.WITHDRAWN if won else AttemptOutcome.TIMED_OUT
                    )
                    decisions_out.append(CancelSend(job_state.machine.job, number))
                case request_machine.Complete(result):
                    decisions_out.append(JobFinished(job_state.machine.job, result))
        if job_state.machine.state is request_machine.RequestState.DONE:
            for number in list(job_state.attempts):
                self._close_attempt(now_us, job_state, number, AttemptOutcome.WITHDRAWN)
            del self._jobs[id]
            self._queued_jobs.pop(id, None)
        elif job_state.machine.due is not None:
            heapq.heappush(self._due, (job_state.machine.due, id))
        return decisions_out

    def _allowance(self, now_us: int, job_state: _JobState) -> Allowance:
        """Return what the budgets allow: retries by route and by tenant, hedges by route."""
        job = job_state.machine.job
        latency = self._latencies.get(job.route)
        hedge_after_us = (
            int(latency.value_us) if latency is not None and latency.samples > 20 and job.key is None else 0
        )
        return Allowance(lambda: self._may_retry(now_us, job), lambda: self._may_hedge(now_us, job), hedge_after_us)

    def _may_hedge(self, now_us: int, job: Job) -> bool:
        """Take a hedge from its budget; hedges are not queued for capacity."""
        if self.capacity is not None and not (
            self.capacity.allows_retry(now_us) and self._has_capacity(now_us, self._jobs[job.id])
        ):
            return False
        return self._hedge_budgets.budget_for(job.route).try_spend(now_us)

    def _may_retry(self, now_us: int, job: Job) -> bool:
        if self.capacity is not None:
            return self.capacity.allows_retry(now_us)
        route, tenant = self._route_budgets.budget_for(job.route), self._tenant_budgets.budget_for(job.tenant)
        if tenant.balance(now_us) < 1.0 or not route.try_spend(now_us):
            return False
        return tenant.try_spend(now_us)

    def _send(
        self,
        now_us: int,
        job_state: _JobState,
        decision: request_machine.StartAttempt,
        decisions_out: list[AttemptDecision],
    ) -> list[request_machine.RequestDecision]:
        """Choose a member and send; without a member the attempt ends at once, proven never to have run."""
        job = job_state.machine.job
        if self.capacity is not None and not self.is_awaited(job.id) and job.in_doubt is None:
            return job_state.machine.step(
                now_us, request_machine.AttemptEnded(decision.number, AttemptOutcome.NO_CAPACITY, final=True)
            )
        route = self._choose(now_us, job, job_state.tried)
        if self.capacity is not None and isinstance(route, Route):
            name = route.member.instance.name
            if not self.capacity.can_answer_in_time(name, job.due_us - now_us):
                return job_state.machine.step(
                    now_us, request_machine.AttemptEnded(decision.number, AttemptOutcome.NO_CAPACITY, final=True)
                )
            if not self.capacity.has_free_permit(now_us, name):
                job_state.queued_attempt, self._queued_jobs[job.id] = decision, None
                return job_state.machine.step(now_us, request_machine.AttemptQueued(decision.number))
        if isinstance(route, NoRoute):
            bound = route.reason is NoRouteReason.BOUND_MEMBER_UNREACHABLE
            end = AttemptOutcome.RESET if bound else AttemptOutcome.NOT_CONNECTED
            # Without any member no retry is allowed: the caller is told at once instead of waiting.
            retry_after_us, no_allowance = (
                route.retry_after_us or NO_MEMBER_RETRY_AFTER_US,
                Allowance(lambda: False, lambda: False),
            )
            return job_state.machine.step(
                now_us, request_machine.AttemptEnded(decision.number, end, None, retry_after_us), no_allowance
            )
        name = route.member.instance.name
        job_state.tried += (name,)
        job_state.member = route.member
        key = job.key if job.member is None else None  # otherwise the fleet's record binds the key
        job_state.attempts[decision.number] = (self.router.attempt_started(route, key, now_us), now_us)
        self.breaker.attempt_started(name, now_us)
        if self.region_routing is not None:
            self.region_routing.record_server(job.id, name)
        if self.capacity is not None:
            self.capacity.attempt_sent(now_us, name)
        decisions_out.append(Send(job, decision.number, route.member, decision.timeout_us))
        return []

    def _choose(self, now_us: int, job: Job, tried: tuple[str, ...]) -> Union[Route, NoRoute]:
        """Choose a member, without those that the breaker has ejected unless it has ejected all."""
        if job.member is not None:
            return Route(job.member, bound=True)
        if job.key is not None and not self.config.charges_move:
            return self.router.choose(RouteRequest(job.key, fixed=True), now_us)
        ejected = self.ejected_members(now_us)
        full = self.capacity.full_servers(now_us) if self.capacity is not None and job.key is None else ()
        groups = self.region_routing.groups(job.id) if self.region_routing is not None and job.key is None else ()
        if groups:
            return self._choose_in_regions(now_us, groups, tried, ejected, full)
        if full:
            route = self.router.choose(RouteRequest(None, tried + ejected + full), now_us)
            if not isinstance(route, NoRoute):
                return route
        route = self.router.choose(RouteRequest(job.key, tried + ejected), now_us)
        if isinstance(route, NoRoute) and route.reason is not NoRouteReason.BOUND_MEMBER_UNREACHABLE:
            route = self.router.choose(RouteRequest(job.key, ejected), now_us)  # again to a member that was tried
        if isinstance(route, NoRoute) and route.reason is not NoRouteReason.BOUND_MEMBER_UNREACHABLE and ejected:
            route = self.router.choose(RouteRequest(job.key), now_us)
        return route

    def _choose_in_regions(
        self,
        now_us: int,
        groups: tuple[tuple[str, ...], ...],
        tried: tuple[str, ...],
        ejected: tuple[str, ...],
        full: tuple[str, ...],
    ) -> Union[Route, NoRoute]:
        """Choose a member in the first region that has one: with free capacity, or else one to queue for.

        A server that is withdrawn for the whole fleet is excluded, unless this member may probe it. No server outside
        the allowed regions is chosen.
        """
        capacity = self.capacity
        unavailable = (
            (*ejected, *(name for name in capacity.removed_servers() if not capacity.has_free_permit(now_us, name)))
            if capacity is not None
            else ejected
        )
        route: Union[Route, NoRoute] = NoRoute(NoRouteReason.NO_MEMBER)
        for servers in groups:
            outside_region = self.members_not_in(servers)
            for excluded in (tried + unavailable + full, tried + unavailable, unavailable):
                route = self.router.choose(RouteRequest(None, outside_region + excluded), now_us)
                if not isinstance(route, NoRoute):
                    return route
        return route

    def _query_member(
        self, now_us: int, job_state: _JobState, number: int, timeout_us: int, decisions_out: list[AttemptDecision]
    ) -> list[request_machine.RequestDecision]:
        sent_to = (
            (job_state.member.instance.name, job_state.member.instance.boot)
            if job_state.member is not None
            else job_state.machine.job.in_doubt
        )
        member = job_state.machine.job.member  # it may not be in this router's view
        if sent_to is not None and (member is None or member.instance.name != sent_to[0]):
            member = self.router.view.members.get(sent_to[0])
        if sent_to is None or member is None or member.instance.boot != sent_to[1]:
            # No other server can tell: the charge stays in doubt and the query is repeated while there is time.
            return job_state.machine.step(now_us, request_machine.FateReported(number, None))
        job_state.open_queries.add(number)
        decisions_out.append(QueryMember(job_state.machine.job, number, member, timeout_us))
        return []

    def _close_attempt(self, now_us: int, job_state: _JobState, number: int, end: AttemptOutcome) -> None:
        if number not in job_state.attempts:
            return
        attempt, began_us = job_state.attempts.pop(number)
        proof = ExecutionProof.MAY_HAVE_RUN if end is AttemptOutcome.WITHDRAWN else EXECUTION_PROOFS[end]
        self.router.attempt_ended(attempt, proof, now_us)
        if self.capacity is not None:
            good = None if end in (AttemptOutcome.WITHDRAWN, AttemptOutcome.REFUSED) else end is AttemptOutcome.ANSWERED
            self.capacity.attempt_finished(
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
