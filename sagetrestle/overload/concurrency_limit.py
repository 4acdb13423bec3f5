"""Estimates a server's concurrency limit from its delay and throughput (TCP Vegas; Netflix concurrency-limits).

By Little's law ``limit * (1 - base / delay)`` of ``limit`` requests at a server are queued, where ``base`` is the delay
without a queue. A few queued requests keep the server busy; more only add delay.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_SAMPLES = 16  # minimum number of answers for a look, so that chance does not decide
LOOK_US, MAX_LOOK_US = 250_000, 1_000_000  # minimum and maximum time between looks
SMOOTHING = 0.5  # weight of the last look in the smoothed delay; half of it in the smoothed rate
INITIAL_LIMIT = 4.0
MIN_QUEUED, MAX_QUEUED = 1.0, 2.0  # queued requests below which the limit grows, and above which it shrinks
QUEUE_SHARE = 0.1  # part of the limit that replaces one request in both bounds if it is more
STARTUP_GROWTH = 0.25  # growth per look as part of the limit, at least 1, until the limit was too high once
FAILURE_SAMPLES = 4  # a failure counts as this many answers
FAILURE_BACKOFF = 0.5  # factor on the limit after a look with mostly failures
TRIAL_INTERVAL_US, TRIAL_REPEAT_US = (
    20_000_000,
    1_500_000,
)  # time to the next trial of a smaller limit while permits are exhausted, and after a successful trial
MAX_RATE_RATIO = 1.3  # a smoothed rate above this multiple of the last look's rate is outdated
TRIAL_SHARE = 0.7  # factor on the limit in a trial
TRIAL_LOOKS = 5  # looks of a trial; the first is ignored, as it still sees requests sent before


@dataclass(slots=True)
class _Tried:
    """A trial of a lower limit: the limit and rate before it, and the results during it."""

    limit: float
    rate: float
    looks: int = 0
    done: int = 0
    took_us: int = 0
    span_us: int = 0


class ConcurrencyLimitEstimator:
    """Estimates the concurrency limit of one server."""

    def __init__(self, value: float = 0.0, base_us: float = 0.0, most: float = 256.0) -> None:
        self.value = value or INITIAL_LIMIT
        self.base_us = base_us
        self._most = most
        self._done = self._took = self._failed = 0
        self._at = self._tried_us = -1
        self._rate = self._last = self._delay = 0.0
        self._quick = not value
        self._tried: _Tried | None = None

    @property
    def rate(self) -> float:
        """Return the recent answers per second."""
        return self._rate

    def record(self, done: int, took_us: int, failed: int) -> None:
        """Add the results of requests since the last call."""
        self._done, self._took, self._failed = self._done + done, self._took + took_us, self._failed + failed

    def step(self, now: int, full: bool) -> None:
        """Update the limit once there are enough results; ``full``: holders want more than the limit allows."""
        if self._at < 0:
            self._at = self._tried_us = now
        passed = now - self._at
        enough = max(MIN_SAMPLES, self.value)  # each request in flight has ended once
        if passed < LOOK_US or self._done + FAILURE_SAMPLES * self._failed < enough and passed < MAX_LOOK_US:
            return
        done, took, failed = self._done, self._took, self._failed
        self._done = self._took = self._failed = 0
        self._at = now
        if failed > done:
            self.value, self._tried, self._quick = max(1.0, self.value * FAILURE_BACKOFF), None, False
            return
        if not done:
            return
        delay, rate = took / done, done * 1e6 / passed
        self._delay = delay if not self._delay else self._delay + SMOOTHING * (delay - self._delay)
        if self._quick:  # requests in flight will take longer than those that have ended
            self._delay = max(self._delay, delay)
        self._rate = rate if not self._rate or not full else self._rate + SMOOTHING / 2 * (rate - self._rate)
        self._last = rate
        self.base_us = min(self.base_us, self._delay) if self.base_us else self._delay
        if not full:
            self._tried = None
            self.value = max(
                self.value, min(INITIAL_LIMIT, self.value + 1.0)
            )  # recovers the limit that failures lowered
        elif self._tried is not None:
            self._judge(now, self._tried, done, took, passed)
        else:
            self._move(now)

    def _move(self, now: int) -> None:
        waiting = self.value * (1.0 - self.base_us / self._delay) / max(1.0, QUEUE_SHARE * self.value)
        if waiting > MAX_QUEUED:
            self._quick = False
            needs = self.value * self.base_us / self._delay
            self._lower(max(needs + (MIN_QUEUED + MAX_QUEUED) / 2 * max(1.0, QUEUE_SHARE * needs), self.value / 2), now)
        elif now - self._tried_us >= TRIAL_INTERVAL_US and self.value >= 2.0:
            self._quick = False
            self._lower(min(self.value - 1.0, self.value * TRIAL_SHARE), now)
        elif waiting < MIN_QUEUED:
            step = max(1.0, STARTUP_GROWTH * self.value) if self._quick else 1.0
            self.value = min(self._most, self.value + step)

    def _lower(self, value: float, now: int) -> None:
        self._tried = _Tried(self.value, min(self._rate, self._last * MAX_RATE_RATIO))
        self.value, self._tried_us = max(1.0, value), now

    def _judge(self, now: int, tried: _Tried, done: int, took_us: int, span_us: int) -> None:
        """Evaluate a trial: if the smaller limit cost throughput, the remaining delay is not caused by a queue."""
        tried.looks += 1
        if tried.looks > 1:
            tried.done += done
            tried.took_us += took_us
            tried.span_us += span_us
        if tried.looks < TRIAL_LOOKS:
            return
        self._tried = None
        rate, delay = tried.done * 1e6 / tried.span_us, tried.took_us / tried.done
        if rate < tried.rate * (1.0 + self.value / tried.limit) / 2:
            self.base_us, self.value = delay, tried.limit
        else:
            self.base_us = min(self.base_us, delay)
            self._tried_us = now - TRIAL_INTERVAL_US + TRIAL_REPEAT_US
        self._rate, self._delay = rate, delay
