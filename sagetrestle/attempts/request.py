"""The state machine of one request over all its attempts.

    NEW -> IN_FLIGHT -> (WAITING -> IN_FLIGHT)* -> DONE   safe, or proven never to have run
           IN_FLIGHT -> QUERYING* -> ...                  a charge in doubt: the same server is queried

A charge that may have run goes to no other server. Its server is queried by the idempotency key: *done* carries the
answer, after *running* the query is repeated, and after *unknown* the charge may be sent to the same server again. None
of these proves that it never runs: what was sent on a connection that ended may still arrive.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Union

from sagetrestle.attempts.backoff import backoff_us
from sagetrestle.attempts.values import EXECUTION_PROOFS, NEVER_RECEIVED, AttemptOutcome, Fate, Job, Result
from sagetrestle.router import ExecutionProof


class RequestState(Enum):
    """The state of a request."""

    NEW = "new"
    IN_FLIGHT = "out"
    WAITING = "waiting for its next try"
    QUERYING = "asked after"
    DONE = "done"


@dataclass(frozen=True)
class RequestConfig:
    """Limits of a request's attempts; times in microseconds.

    ``reply_margin_us`` of the time left is reserved for returning the answer.
    """

    max_attempts: int = 4
    attempt_timeout_us: int = 2_000_000  # of a safe request; a charge's attempt may take all the time left
    reply_margin_us: int = 20_000
    min_attempt_time_us: int = 30_000  # with less time left no further attempt is started
    query_timeout_us: int = 400_000
    max_queries: int = 8


class Start(NamedTuple):
    """Start the first attempt, or the first query of a charge in doubt."""


class AttemptEnded(NamedTuple):
    """An attempt has ended; ``retry_after_us`` is the server's ``Retry-After``, 0 for none."""

    number: int
    end: AttemptOutcome
    answer: object = None
    retry_after_us: int = 0
    final: bool = False  # no further attempt can succeed


class FateReported(NamedTuple):
    """The reply to a query; ``fate`` is None where the server could not be queried."""

    number: int
    fate: Fate | None
    answer: object = None


class AttemptQueued(NamedTuple):
    """An attempt is queued for capacity; until it is sent it cannot have run."""

    number: int


class AttemptSent(NamedTuple):
    """A queued attempt is sent."""

    number: int


class Tick(NamedTuple):
    """Time has passed."""


class CallerGone(NamedTuple):
    """The caller no longer waits for the answer."""


class StartAttempt(NamedTuple):
    """Send an attempt; ``is_hedge`` marks a second copy beside one that is still open."""

    number: int
    timeout_us: int
    is_hedge: bool = False


class QueryFate(NamedTuple):
    """Query the member of the last attempt for the fate of the key."""

    number: int
    timeout_us: int


class CancelAttempt(NamedTuple):
    """Cancel an open attempt."""

    number: int


class Complete(NamedTuple):
    """The request is finished."""

    result: Result


RequestEvent = Union[Start, AttemptEnded, FateReported, AttemptQueued, AttemptSent, Tick, CallerGone]
RequestDecision = Union[StartAttempt, QueryFate, CancelAttempt, Complete]


def _always_allowed() -> bool:
    return True


class Allowance(NamedTuple):
    """What the budgets allow: each call takes one retry, or one hedge, and returns whether it was available.

    ``hedge_after_us`` is the age of an attempt at which a hedge is sent, 0 for never.
    """

    retry: Callable[[], bool] = _always_allowed
    hedge: Callable[[], bool] = _always_allowed
    hedge_after_us: int = 0


UNLIMITED = Allowance()


class RequestMachine:
    """One request. Its owner carries out the decisions, chooses members, and reports the ends of attempts."""

    def __init__(self, job: Job, terms: RequestConfig, rng: random.Random) -> None:
        self.job, self.config, self.state = job, terms, RequestState.NEW
        self.open_attempts: dict[int, int] = {}  # number: when the attempt times out
        self._queued_attempts: set[int] = set()
        self.attempts = self.queries = 0
        self.due: int | None = None
        self._rng, self._last_number, self._backoff_us = rng, 0, 0
        self._may_have_run = False  # an attempt may have run, or may be running
        self._hedged = self._resent_unpaid = False
        self._hedge_at_us = 0
        self._open_query = 0  # the number of the open query, 0: none
        self._last_result = Result(AttemptOutcome.NOT_SENT, ran=False)

    def step(self, now_us: int, event: RequestEvent, allowance: Allowance = UNLIMITED) -> list[RequestDecision]:
        """Process an event and return the decisions that follow."""
        if self.state is RequestState.DONE:
            return []
        match event:
            case Start():
                self._may_have_run = self.job.in_doubt is not None
                return self._query_fate(now_us) if self._may_have_run else self._start_attempt(now_us, allowance)
            case AttemptEnded() if event.number in self.open_attempts:
                del self.open_attempts[event.number]
                return self._on_attempt_ended(now_us, event, allowance)
            case FateReported() if event.number == self._open_query:
                return self._on_fate(now_us, event, allowance)
            case AttemptQueued(number):
                self._queued_attempts.add(number)
            case AttemptSent(number):
                self._queued_attempts.discard(number)
            case CallerGone():
                return self._on_caller_gone()
            case Tick():
                return self._on_tick(now_us, allowance)
        return []

    def time_left_us(self, now_us: int) -> int:
        """Return the time left for attempts and queries."""
        return self.job.due_us - self.config.reply_margin_us - now_us

    # Attempts

    def _start_attempt(self, now_us: int, allowance: Allowance, is_hedge: bool = False) -> list[RequestDecision]:
        time_left_us = self.time_left_us(now_us)
        if time_left_us < self.config.min_attempt_time_us and (self.attempts or time_left_us <= 0):
            return self._finish_unanswered()
        self.state = RequestState.IN_FLIGHT
        self.attempts += 1
        self._last_number += 1
        timeout = max(
            1_000,
            time_left_us
            if self.job.key is not None
            else min(self._timeout_share(time_left_us), self.config.attempt_timeout_us),
        )
        self.open_attempts[self._last_number] = now_us + timeout
        if not is_hedge and self.job.key is None and allowance.hedge_after_us:
            self._hedge_at_us = now_us + allowance.hedge_after_us
        self._set_due()
        return [StartAttempt(self._last_number, timeout, is_hedge)]

    def _timeout_share(self, time_left_us: int) -> int:
        """Return half of the time left, so that a silent member leaves time for another; all of it for the last."""
        last = self.attempts >= self.config.max_attempts or time_left_us < 4 * self.config.min_attempt_time_us
        return time_left_us if last else time_left_us // 2

    def _set_due(self) -> None:
        times = list(self.open_attempts.values())
        if self._hedge_at_us and not self._hedged:
            times.append(self._hedge_at_us)
        self.due = min(times, default=None)

    def _on_attempt_ended(self, now_us: int, event: AttemptEnded, allowance: Allowance) -> list[RequestDecision]:
        proof = EXECUTION_PROOFS[event.end]
        if proof is ExecutionProof.SERVED:
            return self._finish(Result(event.end, event.answer))
        self._may_have_run = self._may_have_run or proof is ExecutionProof.MAY_HAVE_RUN
        self._last_result = Result(event.end, event.answer, event.retry_after_us, self._may_have_run)
        if self.open_attempts:  # another copy is still open
            self._set_due()
            return []
        if self._may_have_run and self.job.key is not None:
            return self._query_fate(now_us)
        if event.final:
            return self._finish_unanswered()
        if (
            event.end in NEVER_RECEIVED
            and not self._resent_unpaid
            and self.time_left_us(now_us) >= self.config.min_attempt_time_us
        ):
            self._resent_unpaid = True
            return self._start_attempt(now_us, allowance)
        return self._retry_later(now_us, event.retry_after_us, allowance)

    def _retry_later(self, now_us: int, retry_after_us: int, allowance: Allowance) -> list[RequestDecision]:
        """Retry after a delay, if the budget, the number of attempts and the time left allow it."""
        self._backoff_us = backoff_us(self._backoff_us, retry_after_us, self._rng)
        hopeless = (
            self.attempts >= self.config.max_attempts
            or self.time_left_us(now_us) - self._backoff_us < self.config.min_attempt_time_us
        )
        if hopeless or not allowance.retry():
            return self._finish_unanswered()
        self.state, self.due = RequestState.WAITING, now_us + self._backoff_us
        return []

    # Charges in doubt

    def _query_fate(self, now_us: int) -> list[RequestDecision]:
        time_left_us = self.time_left_us(now_us)
        if self.queries >= self.config.max_queries or time_left_us < self.config.min_attempt_time_us:
            return self._finish_unanswered()
        self.state = RequestState.QUERYING
        self.queries += 1
        self._last_number += 1
        self._open_query = self._last_number
        timeout = min(time_left_us, self.config.query_timeout_us)
        self.due = now_us + timeout
        return [QueryFate(self._last_number, timeout)]

    def _on_fate(self, now_us: int, event: FateReported, allowance: Allowance) -> list[RequestDecision]:
        self._open_query = 0
        match event.fate:
            case Fate.DONE:
                return self._finish(Result(AttemptOutcome.ANSWERED, event.answer))
            case Fate.FAILED:
                return self._finish(Result(AttemptOutcome.FAILED, event.answer, settled=True))
            case Fate.UNKNOWN:
                # An earlier attempt may still be on its way, so the charge stays in doubt; the same server runs one
                # of its attempts and answers the others with that run's result.
                if self.job.query_only:
                    return self._finish_unanswered()
                if not self.attempts:  # the caller's own attempt, not a retry of it
                    return self._start_attempt(now_us, allowance)
                return self._retry_later(now_us, 0, allowance)
        self._backoff_us = backoff_us(self._backoff_us, 0, self._rng)
        self.state, self.due = RequestState.QUERYING, now_us + self._backoff_us
        return []

    # Timers and the end of the request

    def _on_tick(self, now_us: int, allowance: Allowance) -> list[RequestDecision]:
        if self.due is None or now_us < self.due:
            return []
        if self.state is RequestState.WAITING:
            return self._start_attempt(now_us, allowance)
        if self.state is RequestState.QUERYING:
            self._open_query = 0  # a late reply to the query that timed out is ignored
            return self._query_fate(now_us)
        overdue = [number for number, deadline_us in self.open_attempts.items() if deadline_us <= now_us]
        decisions: list[RequestDecision] = []
        for number in overdue:
            decisions.append(CancelAttempt(number))
            del self.open_attempts[number]
            timeout_event = (
                AttemptEnded(number, AttemptOutcome.NO_CAPACITY, final=True)
                if number in self._queued_attempts
                else AttemptEnded(number, AttemptOutcome.TIMED_OUT)
            )
            decisions += self._on_attempt_ended(now_us, timeout_event, allowance)
        if not overdue and self._hedge_at_us and not self._hedged and now_us >= self._hedge_at_us:
            self._hedged = True
            return self._start_attempt(now_us, allowance, is_hedge=True) if allowance.hedge() else self._reset_due()
        return decisions

    def _reset_due(self) -> list[RequestDecision]:
        self._set_due()
        return []

    def _on_caller_gone(self) -> list[RequestDecision]:
        """Cancel the request; a charge that may have run goes on, as the caller may retry it."""
        if self.job.key is not None and (self.open_attempts or self._may_have_run):
            return []
        cancels: list[RequestDecision] = [CancelAttempt(number) for number in self.open_attempts]
        self.open_attempts.clear()
        self.state, self.due = RequestState.DONE, None
        return cancels

    def _finish_unanswered(self) -> list[RequestDecision]:
        return self._finish(self._last_result._replace(ran=self._may_have_run))

    def _finish(self, result: Result) -> list[RequestDecision]:
        cancels: list[RequestDecision] = [CancelAttempt(number) for number in self.open_attempts]
        self.open_attempts.clear()
        self.state, self.due = RequestState.DONE, None
        return [*cancels, Complete(result)]
