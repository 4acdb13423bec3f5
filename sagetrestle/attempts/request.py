"""The state machine of one request over all its tries.

    NEW -> OUT -> (WAITING -> OUT)* -> DONE          safe, or proven never to have run
           OUT -> ASKING -> (WAITING -> ASKING)*     a charge in doubt: asked after at the same server

A charge is never sent anew while it may have run. It is asked after where it was sent, by its key: *done* brings the
answer, *still running* is asked again, *never came here* proves that it may go on.
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
    """Where a request stands."""

    NEW = "new"
    OUT = "out"
    WAITING = "waiting for its next try"
    ASKING = "asked after"
    DONE = "done"


@dataclass(frozen=True)
class RequestConfig:
    """Times in microseconds. ``reply_margin_us`` is kept of the time left for the answer's way back."""

    max_attempts: int = 4
    attempt_timeout_us: int = 2_000_000  # for one attempt at a safe request; a charge's may take all the time left
    reply_margin_us: int = 20_000
    min_attempt_time_us: int = 30_000  # with less time left a further try is hopeless
    query_timeout_us: int = 400_000
    max_queries: int = 8


class Start(NamedTuple):
    """Send it."""


class AttemptEnded(NamedTuple):
    """An attempt ended; ``answer`` where there is one, ``retry_after_us`` where the server advises."""

    number: int
    end: AttemptOutcome
    answer: object = None
    retry_after_us: int = 0
    final: bool = False  # no further try can end otherwise


class FateReported(NamedTuple):
    """The server's word on the key; ``fate`` is None where it could not be asked."""

    number: int
    fate: Fate | None
    answer: object = None


class AttemptQueued(NamedTuple):
    """An attempt waits for room at a server; until it is sent nothing of it can have run."""

    number: int


class AttemptSent(NamedTuple):
    """An attempt that was parked is sent."""

    number: int


class Tick(NamedTuple):
    """Only time passes."""


class CallerGone(NamedTuple):
    """Nobody waits for the answer."""


class StartAttempt(NamedTuple):
    """Send an attempt; ``paid`` tells that it took from the retry budget."""

    number: int
    timeout_us: int
    is_hedge: bool = False


class QueryFate(NamedTuple):
    """Ask the member of the last attempt what became of the key."""

    number: int
    timeout_us: int


class CancelAttempt(NamedTuple):
    """Give an open attempt up."""

    number: int


class Complete(NamedTuple):
    """The request is over."""

    result: Result


RequestEvent = Union[Start, AttemptEnded, FateReported, AttemptQueued, AttemptSent, Tick, CallerGone]
RequestDecision = Union[StartAttempt, QueryFate, CancelAttempt, Complete]


def _always() -> bool:
    return True


class Allowance(NamedTuple):
    """What the owner allows: each call takes a retry, or a second copy, from its budget if it is paid for.

    ``hedge_after_us`` is when a second copy is worth it, 0 for never.
    """

    retry: Callable[[], bool] = _always
    copy: Callable[[], bool] = _always
    hedge_after_us: int = 0


UNLIMITED = Allowance()


class RequestMachine:
    """One request. The owner chooses members, and reports how what it was told to do ended."""

    def __init__(self, job: Job, terms: RequestConfig, rng: random.Random) -> None:
        self.job, self.config, self.state = job, terms, RequestState.NEW
        self.open: dict[int, int] = {}  # attempts that are out, and when each is given up
        self._queued_attempts: set[int] = set()
        self.tries = self.asks = 0
        self.due: int | None = None
        self._rng, self._number, self._pause = rng, 0, 0
        self._ran = False  # an attempt of it may have run, or runs
        self._copied = self._resent = False
        self._copy_at = 0
        self._asked = 0  # the number of the question that is out, 0: none
        self._last = Result(AttemptOutcome.NOT_SENT, ran=False)

    def step(self, now_us: int, event: RequestEvent, allowed: Allowance = UNLIMITED) -> list[RequestDecision]:
        """Take an event and return what follows."""
        if self.state is RequestState.DONE:
            return []
        match event:
            case Start():
                self._ran = self.job.in_doubt is not None
                return self._ask(now_us) if self._ran else self._try(now_us, allowed)
            case AttemptEnded() if event.number in self.open:
                del self.open[event.number]
                return self._ended(now_us, event, allowed)
            case FateReported() if event.number == self._asked:
                return self._told(now_us, event, allowed)
            case AttemptQueued(number):
                self._queued_attempts.add(number)
            case AttemptSent(number):
                self._queued_attempts.discard(number)
            case CallerGone():
                return self._gone()
            case Tick():
                return self._passed(now_us, allowed)
        return []

    def left(self, now_us: int) -> int:
        """Return the time left for tries."""
        return self.job.due_us - self.config.reply_margin_us - now_us

    # Tries

    def _try(self, now_us: int, allowed: Allowance, copy: bool = False) -> list[RequestDecision]:
        left = self.left(now_us)
        if left < self.config.min_attempt_time_us and (self.tries or left <= 0):
            return self._over()
        self.state = RequestState.OUT
        self.tries += 1
        self._number += 1
        timeout = max(
            1_000, left if self.job.key is not None else min(self._half(left), self.config.attempt_timeout_us)
        )
        self.open[self._number] = now_us + timeout
        if not copy and self.job.key is None and allowed.hedge_after_us:
            self._copy_at = now_us + allowed.hedge_after_us
        self._arm()
        return [StartAttempt(self._number, timeout, copy)]

    def _half(self, left: int) -> int:
        """Return half of the time left, so that a silent member leaves time for another; the last try has it all."""
        last = self.tries >= self.config.max_attempts or left < 4 * self.config.min_attempt_time_us
        return left if last else left // 2

    def _arm(self) -> None:
        times = list(self.open.values())
        if self._copy_at and not self._copied:
            times.append(self._copy_at)
        self.due = min(times, default=None)

    def _ended(self, now_us: int, event: AttemptEnded, allowed: Allowance) -> list[RequestDecision]:
        proof = EXECUTION_PROOFS[event.end]
        if proof is ExecutionProof.SERVED:
            return self._done(Result(event.end, event.answer))
        self._ran = self._ran or proof is ExecutionProof.MAY_HAVE_RUN
        self._last = Result(event.end, event.answer, event.retry_after_us, self._ran)
        if self.open:  # a second copy is still out
            self._arm()
            return []
        if self._ran and self.job.key is not None:
            return self._ask(now_us)
        if event.final:
            return self._over()
        if event.end in NEVER_RECEIVED and not self._resent and self.left(now_us) >= self.config.min_attempt_time_us:
            self._resent = True
            return self._try(now_us, allowed)
        return self._again(now_us, event.retry_after_us, allowed)

    def _again(self, now_us: int, advised_us: int, allowed: Allowance) -> list[RequestDecision]:
        """Try again after a pause, if the budget, the tries and the time allow it."""
        self._pause = backoff_us(self._pause, advised_us, self._rng)
        hopeless = (
            self.tries >= self.config.max_attempts or self.left(now_us) - self._pause < self.config.min_attempt_time_us
        )
        if hopeless or not allowed.retry():
            return self._over()
        self.state, self.due = RequestState.WAITING, now_us + self._pause
        return []

    # Charges in doubt

    def _ask(self, now_us: int) -> list[RequestDecision]:
        left = self.left(now_us)
        if self.asks >= self.config.max_queries or left < self.config.min_attempt_time_us:
            return self._over()
        self.state = RequestState.ASKING
        self.asks += 1
        self._number += 1
        self._asked = self._number
        timeout = min(left, self.config.query_timeout_us)
        self.due = now_us + timeout
        return [QueryFate(self._number, timeout)]

    def _told(self, now_us: int, event: FateReported, allowed: Allowance) -> list[RequestDecision]:
        self._asked = 0
        match event.fate:
            case Fate.DONE:
                return self._done(Result(AttemptOutcome.ANSWERED, event.answer))
            case Fate.FAILED:
                return self._done(Result(AttemptOutcome.FAILED, event.answer, settled=True))
            case Fate.UNKNOWN:
                # The server has no trace of it: its own record proves that it never ran.
                self._ran = False
                self._last = self._last._replace(ran=False)
                if self.job.query_only:
                    return self._over()
                return self._again(now_us, 0, allowed)
        self._pause = backoff_us(self._pause, 0, self._rng)
        self.state, self.due = RequestState.ASKING, now_us + self._pause
        return []

    # Time, and the end

    def _passed(self, now_us: int, allowed: Allowance) -> list[RequestDecision]:
        if self.due is None or now_us < self.due:
            return []
        if self.state is RequestState.WAITING:
            return self._try(now_us, allowed)
        if self.state is RequestState.ASKING:
            self._asked = 0  # an answer to the question given up means nothing
            return self._ask(now_us)
        late = [number for number, at in self.open.items() if at <= now_us]
        decided: list[RequestDecision] = []
        for number in late:
            decided.append(CancelAttempt(number))
            del self.open[number]
            late_end = (
                AttemptEnded(number, AttemptOutcome.NO_CAPACITY, final=True)
                if number in self._queued_attempts
                else AttemptEnded(number, AttemptOutcome.TIMED_OUT)
            )
            decided += self._ended(now_us, late_end, allowed)
        if not late and self._copy_at and not self._copied and now_us >= self._copy_at:
            self._copied = True
            return self._try(now_us, allowed, copy=True) if allowed.copy() else self._rearmed()
        return decided

    def _rearmed(self) -> list[RequestDecision]:
        self._arm()
        return []

    def _gone(self) -> list[RequestDecision]:
        """Give up what is safe to give up; a charge that is out goes on, for the try that may come."""
        if self.job.key is not None and (self.open or self._ran):
            return []
        cancels: list[RequestDecision] = [CancelAttempt(number) for number in self.open]
        self.open.clear()
        self.state, self.due = RequestState.DONE, None
        return cancels

    def _over(self) -> list[RequestDecision]:
        return self._done(self._last._replace(ran=self._ran))

    def _done(self, result: Result) -> list[RequestDecision]:
        cancels: list[RequestDecision] = [CancelAttempt(number) for number in self.open]
        self.open.clear()
        self.state, self.due = RequestState.DONE, None
        return [*cancels, Complete(result)]
