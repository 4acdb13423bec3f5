"""The health of one start of a server at its granter: well, removed, on trial, or held at a part of its limit.

An episode of bad health counts once, however many holders saw it. The penalty follows RFC 2439: it grows with each
episode and decays exponentially. The higher it is, the more failures a removal takes and the more successes a return.
Times are microseconds, ``now`` is monotonic.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

EPISODE_PENALTY = 1_000.0  # added to the penalty by each episode
PENALTY_HALF_LIFE_US = 20_000_000
SUPPRESS_THRESHOLD = 4_000.0  # penalty from which a returning server is held
REUSE_THRESHOLD = 1_500.0  # penalty below which a hold ends
MAX_HOLD_US = 60_000_000
HELD_LIMIT_SHARE = 0.5  # part of the limit; a held server also pauses, as failures release permits at once
MIN_FAILURES_IN_ROW = 4  # failures in a row that remove a server without past episodes
FAILURES_PER_PAST_EPISODE = 2  # additional failures in a row for each past episode
MAX_FAILURES_IN_ROW = 12  # maximum number of failures in a row that a removal takes
DEAD_FAILURES_IN_ROW = 20  # failures in a row that are an outage rather than a flap
MIN_RECENT_FAILURES = 10.0  # recent failures that remove a server if they outnumber successes
COUNT_HALF_LIFE_US = 500_000  # half-life of the counts of recent failures and successes
INITIAL_PAUSE_US = 250_000  # time between a removal and the first trial, and pause after a failure while held
PAUSE_GROWTH = 1.5  # factor on the pause after each failed trial
MAX_PAUSE_US = 5_000_000
MAX_SUCCESSES_IN_ROW = 5  # maximum number of successes in a row that a return takes
INHERITED_PENALTY_SHARE = 0.5  # part of the penalty that a restart keeps, so that restarting does not clear it
HOLDER_WINDOW_US = 2_000_000  # a holder that reported within this time counts as a witness


class Stage(IntEnum):
    """The state of a server. The names go to status replies and logs."""

    WELL = 0
    HELD = 1
    TRIED = 2
    REMOVED = 3


class DampingState(NamedTuple):
    """The part of a server's health that holders are sent, and that they return to a new granter."""

    penalty: float = 0.0
    stage: int = Stage.WELL


@dataclass
class ServerHealth:
    """The state machine of a server's health; the method ``cap`` bounds its concurrency limit."""

    penalty: float = 0.0
    stage: Stage = Stage.WELL
    episodes: int = 0
    since_us: int = 0
    pause_us: int = INITIAL_PAUSE_US
    paused: bool = False  # the server is held and gets no requests for a while after a failure
    _paused_until_us: int = 0
    successes_in_row: int = 0  # counted while on trial
    failures_in_row: int = 0
    _recent_failures: float = 0.0
    _recent_successes: float = 0.0
    _settled_us: int = -1  # when the penalty and the counts were last decayed
    # By holder: the times of its last failure in the present row, of its last failure, and of its last report.
    _witnesses: dict[str, int] = field(default_factory=dict)
    _failing: dict[str, int] = field(default_factory=dict)
    _heard: dict[str, int] = field(default_factory=dict)

    def inherit(self, penalty: float) -> None:
        """Take over a part of the penalty of an earlier start of the server."""
        self.penalty = max(self.penalty, penalty * INHERITED_PENALTY_SHARE)

    def adopt(self, now: int, reported: DampingState) -> None:
        """Take over the worst state that holders have from the previous granter."""
        self.penalty = max(self.penalty, reported.penalty)
        if reported.stage > self.stage:
            self.stage, self.since_us = Stage(reported.stage), now

    def record(
        self, now: int, holder: str, done: int, failed: int, spared: bool, budget_exhausted: bool = False
    ) -> None:
        """Apply a holder's results; ``holder`` is its name, or its zone if the fleet has several.

        ``spared``: too many servers are removed already, so this one is not. ``budget_exhausted``: the budget of
        removals is used up, so only a server that fails for all holders is removed.
        """
        self._decay(now)
        if not done and not failed:
            return
        self._recent_successes, self._recent_failures = self._recent_successes + done, self._recent_failures + failed
        self._heard[holder] = now
        if done:  # the order within one report is unknown: successes are applied first
            self.failures_in_row = 0
            self._witnesses.clear()
            self.successes_in_row += done
        if failed:
            self.failures_in_row, self.successes_in_row = self.failures_in_row + failed, 0
            self._witnesses[holder] = self._failing[holder] = now
        match self.stage:
            case Stage.TRIED if failed:
                self._remove(now, int(min(MAX_PAUSE_US, self.pause_us * PAUSE_GROWTH)))
            case Stage.TRIED if self.successes_in_row >= min(MAX_SUCCESSES_IN_ROW, 1 + self._past_episodes):
                self._enter(now, Stage.HELD if self.penalty >= SUPPRESS_THRESHOLD else Stage.WELL)
                self.pause_us = INITIAL_PAUSE_US
            case Stage.WELL if (
                not spared
                and (not budget_exhausted or self.failures_in_row >= DEAD_FAILURES_IN_ROW)
                and self._is_bad(now)
            ):
                self._begin_episode(now)
            case Stage.HELD if not spared and self.failures_in_row >= DEAD_FAILURES_IN_ROW:
                self._begin_episode(now)
            case Stage.HELD if failed:
                self._paused_until_us, self.paused = now + INITIAL_PAUSE_US, True

    def tick(self, now: int, spared: bool) -> None:
        """Advance the pauses, holds and trials to ``now``; ``spared`` revokes a removal."""
        self._decay(now)
        self.paused = self.stage is Stage.HELD and now < self._paused_until_us and not spared
        if self.stage is Stage.REMOVED and (spared or now - self.since_us >= self.pause_us):
            self._enter(now, Stage.WELL if spared else Stage.TRIED)
            return
        held = self.stage is Stage.HELD
        over = held and (self.penalty < REUSE_THRESHOLD or now - self.since_us >= MAX_HOLD_US)
        if over or spared and self.stage is Stage.TRIED:
            self._enter(now, Stage.WELL)

    def cap(self, limit: int) -> int:
        """Return how many concurrent requests the server may have, given its estimated limit."""
        match self.stage:
            case Stage.REMOVED:
                return 0
            case Stage.TRIED:
                return min(1, limit)
            case Stage.HELD if self.paused:
                return 0
            case Stage.HELD:
                return max(1, int(limit * HELD_LIMIT_SHARE))
        return limit

    def damping_state(self) -> DampingState:
        """Return the state that holders are sent."""
        return DampingState(self.penalty, self.stage)

    @property
    def _past_episodes(self) -> int:
        """Return the approximate number of past episodes that the penalty represents."""
        return int(self.penalty / EPISODE_PENALTY + 0.5)

    def _is_bad(self, now: int) -> bool:
        """Tell whether failures remove the server; one holder's failing link must not be enough."""
        failures_needed = min(
            MAX_FAILURES_IN_ROW, MIN_FAILURES_IN_ROW + FAILURES_PER_PAST_EPISODE * self._past_episodes
        )
        self._heard = {holder: seen_us for holder, seen_us in self._heard.items() if now - seen_us < HOLDER_WINDOW_US}
        self._failing = {
            holder: seen_us for holder, seen_us in self._failing.items() if now - seen_us < HOLDER_WINDOW_US
        }
        several = len(self._failing) >= min(2, len(self._heard))
        independent = len(self._witnesses) >= min(2, len(self._heard))
        return (
            (self.failures_in_row >= failures_needed and independent)
            or self.failures_in_row >= DEAD_FAILURES_IN_ROW
            and len(self._heard) == len(self._witnesses)
            or self._recent_failures >= MIN_RECENT_FAILURES
            and self._recent_failures > self._recent_successes
            and several
        )

    def _begin_episode(self, now: int) -> None:
        self.episodes += 1
        self.penalty += EPISODE_PENALTY
        self._remove(now, INITIAL_PAUSE_US)

    def _remove(self, now: int, pause_us: int) -> None:
        self.pause_us = pause_us
        self._enter(now, Stage.REMOVED)

    def _enter(self, now: int, stage: Stage) -> None:
        self.stage, self.since_us, self.successes_in_row, self.failures_in_row = stage, now, 0, 0
        self._recent_failures = self._recent_successes = 0.0
        self._witnesses.clear()

    def _decay(self, now: int) -> None:
        if self._settled_us >= 0:
            elapsed_us = max(0, now - self._settled_us)
            self.penalty *= 0.5 ** (elapsed_us / PENALTY_HALF_LIFE_US)
            decay = 0.5 ** (elapsed_us / COUNT_HALF_LIFE_US)
            self._recent_failures, self._recent_successes = (
                self._recent_failures * decay,
                self._recent_successes * decay,
            )
        self._settled_us = now
