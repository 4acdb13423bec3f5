"""Estimates a server's concurrency limit from its delay and throughput (TCP Vegas; Netflix concurrency-limits).

By Little's law ``limit * (1 - base / delay)`` of ``limit`` requests at a server are queued, where ``base`` is the delay
without a queue. A few queued requests keep the server busy; more only add delay.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_SAMPLES = 16  # minimum number of answers for an evaluation, so that chance does not decide
EVALUATION_INTERVAL_US = 250_000  # minimum time between evaluations
MAX_EVALUATION_INTERVAL_US = 1_000_000  # after this time an evaluation takes place with few answers too
SMOOTHING = 0.5  # weight of the last evaluation in the smoothed delay; half of it in the smoothed rate
INITIAL_LIMIT = 4.0
MIN_QUEUED = 1.0  # queued requests below which the limit grows
MAX_QUEUED = 2.0  # queued requests above which the limit shrinks
QUEUE_SHARE = 0.1  # both bounds count in units of this part of the limit, if it is more than one request
STARTUP_GROWTH = 0.25  # growth per evaluation as part of the limit, at least 1, until the limit was too high once
FAILURE_SAMPLES = 4  # a failure counts as this many answers
FAILURE_BACKOFF = 0.5  # factor on the limit after an evaluation with mostly failures
TRIAL_INTERVAL_US = 20_000_000  # time between trials of a smaller limit while permits are exhausted
TRIAL_REPEAT_US = 1_500_000  # time to the next trial after a successful one
MAX_RATE_RATIO = 1.3  # a smoothed rate above this multiple of the last evaluation's rate is outdated
TRIAL_SHARE = 0.7  # factor on the limit in a trial
TRIAL_EVALUATIONS = 5  # evaluations in a trial; the first is ignored, as it includes requests sent before the trial


@dataclass(slots=True)
class _Trial:
    """A trial of a lower limit: the limit and rate before it, and the results during it."""

    limit: float
    rate: float
    evaluations: int = 0
    done: int = 0
    took_us: int = 0
    span_us: int = 0


class ConcurrencyLimitEstimator:
    """Estimates the concurrency limit of one server."""

    def __init__(self, value: float = 0.0, base_us: float = 0.0, max_limit: float = 256.0) -> None:
        self.value = value or INITIAL_LIMIT
        self.base_us = base_us
        self._max_limit = max_limit
        self._done = self._took_us = self._failed = 0
        self._evaluated_us = self._trial_us = -1
        self._rate = self._last_rate = self._delay = 0.0
        self._starting_up = not value
        self._trial: _Trial | None = None

    @property
    def rate(self) -> float:
        """Return the recent answers per second."""
        return self._rate

    def record(self, done: int, took_us: int, failed: int) -> None:
        """Add the results of requests since the last call."""
        self._done, self._took_us, self._failed = self._done + done, self._took_us + took_us, self._failed + failed

    def step(self, now: int, full: bool) -> None:
        """Update the limit once there are enough results; ``full``: holders want more than the limit allows."""
        if self._evaluated_us < 0:
            self._evaluated_us = self._trial_us = now
        elapsed_us = now - self._evaluated_us
        needed_samples = max(MIN_SAMPLES, self.value)  # so that each request in flight has ended once
        if (
            elapsed_us < EVALUATION_INTERVAL_US
            or self._done + FAILURE_SAMPLES * self._failed < needed_samples
            and elapsed_us < MAX_EVALUATION_INTERVAL_US
        ):
            return
        done, took, failed = self._done, self._took_us, self._failed
        self._done = self._took_us = self._failed = 0
        self._evaluated_us = now
        if failed > done:
            self.value, self._trial, self._starting_up = max(1.0, self.value * FAILURE_BACKOFF), None, False
            return
        if not done:
            return
        delay, rate = took / done, done * 1e6 / elapsed_us
        self._delay = delay if not self._delay else self._delay + SMOOTHING * (delay - self._delay)
        if self._starting_up:  # requests in flight will take longer than those that have ended
            self._delay = max(self._delay, delay)
        self._rate = rate if not self._rate or not full else self._rate + SMOOTHING / 2 * (rate - self._rate)
        self._last_rate = rate
        self.base_us = min(self.base_us, self._delay) if self.base_us else self._delay
        if not full:
            self._trial = None
            # Recovers a limit that failures lowered.
            self.value = max(self.value, min(INITIAL_LIMIT, self.value + 1.0))
        elif self._trial is not None:
            self._evaluate_trial(now, self._trial, done, took, elapsed_us)
        else:
            self._adjust(now)

    def _adjust(self, now: int) -> None:
        queued = self.value * (1.0 - self.base_us / self._delay) / max(1.0, QUEUE_SHARE * self.value)
        if queued > MAX_QUEUED:
            self._starting_up = False
            needed = self.value * self.base_us / self._delay
            self._begin_trial(
                max(needed + (MIN_QUEUED + MAX_QUEUED) / 2 * max(1.0, QUEUE_SHARE * needed), self.value / 2), now
            )
        elif now - self._trial_us >= TRIAL_INTERVAL_US and self.value >= 2.0:
            self._starting_up = False
            self._begin_trial(min(self.value - 1.0, self.value * TRIAL_SHARE), now)
        elif queued < MIN_QUEUED:
            step = max(1.0, STARTUP_GROWTH * self.value) if self._starting_up else 1.0
            self.value = min(self._max_limit, self.value + step)

    def _begin_trial(self, value: float, now: int) -> None:
        self._trial = _Trial(self.value, min(self._rate, self._last_rate * MAX_RATE_RATIO))
        self.value, self._trial_us = max(1.0, value), now

    def _evaluate_trial(self, now: int, trial: _Trial, done: int, took_us: int, span_us: int) -> None:
        """Evaluate a trial: if the smaller limit cost throughput, the remaining delay is not caused by a queue."""
        trial.evaluations += 1
        if trial.evaluations > 1:
            trial.done += done
            trial.took_us += took_us
            trial.span_us += span_us
        if trial.evaluations < TRIAL_EVALUATIONS:
            return
        self._trial = None
        rate, delay = trial.done * 1e6 / trial.span_us, trial.took_us / trial.done
        if rate < trial.rate * (1.0 + self.value / trial.limit) / 2:
            self.base_us, self.value = delay, trial.limit
        else:
            self.base_us = min(self.base_us, delay)
            self._trial_us = now - TRIAL_INTERVAL_US + TRIAL_REPEAT_US
        self._rate, self._delay = rate, delay
