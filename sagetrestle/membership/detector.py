"""Suspicion as a number: phi accrual (Hayashibara, Défago, Yared, Katayama, SRDS 2004).

Each member's answers have a habit, the mean and spread of the gaps between them; phi says how unlikely the
present silence is by that habit, as minus its decimal logarithm. A member that always answers late is not
suspected for it, one that is quick is missed soon. Gaps are averaged with exponential weights, so a member
costs five numbers.
"""

from __future__ import annotations

import math

EWMA_WEIGHT = 0.1  # of the newest gap, in mean and spread
MIN_DEVIATION_SHARE = 0.5  # of the mean: a habit that is too regular would suspect at the first hiccup
MAX_PHI = 300.0
TIMEOUT_PHI = 1.5  # what each probe that had no answer in its time adds
REFUSED_PHI = 4.0  # a refused connection says more than silence: nobody listens there


class PhiAccrualDetector:
    """The habit of one member and its present suspicion."""

    __slots__ = ("_mean_gap_us", "_gap_deviation_us", "_last_answer_us", "_failure_phi")

    def __init__(self, now_us: int, expected_us: int) -> None:
        self._mean_gap_us, self._gap_deviation_us = float(expected_us), expected_us * 0.5
        self._last_answer_us, self._failure_phi = now_us, 0.0

    @property
    def last_answer_us(self) -> int:
        """Return when it last answered."""
        return self._last_answer_us

    def record_answer(self, now_us: int) -> None:
        """Take an answer of any kind: to a probe, or to a call."""
        gap = max(0, now_us - self._last_answer_us)
        if self._failure_phi == 0.0 and gap < 10 * self._mean_gap_us:  # an outage is not part of the habit
            error = gap - self._mean_gap_us
            self._mean_gap_us += EWMA_WEIGHT * error
            self._gap_deviation_us += EWMA_WEIGHT * (abs(error) - self._gap_deviation_us)
        self._last_answer_us, self._failure_phi = max(now_us, self._last_answer_us), 0.0

    def record_timeout(self) -> None:
        """Take a probe or call that had no answer in its time."""
        self._failure_phi = min(MAX_PHI, self._failure_phi + TIMEOUT_PHI)

    def record_refusal(self) -> None:
        """Take a refused connection."""
        self._failure_phi = min(MAX_PHI, self._failure_phi + REFUSED_PHI)

    def phi(self, now_us: int) -> float:
        """Return the suspicion: 1 is wrong one time in ten, 8 one in a hundred million, by the habit alone."""
        silence = now_us - self._last_answer_us
        # The mean absolute deviation of a normal habit is 0.8 of its standard deviation.
        spread = max(self._gap_deviation_us / 0.8, MIN_DEVIATION_SHARE * self._mean_gap_us, 1.0)
        y = (silence - self._mean_gap_us) / spread
        if y <= -8:
            return self._failure_phi
        # The logistic approximation to the normal tail, as Akka and Cassandra use it.
        power = -y * (1.5976 + 0.070566 * y * y)
        if power < -600:
            return MAX_PHI
        e = math.exp(min(600.0, power))
        later = e / (1.0 + e) if silence > self._mean_gap_us else 1.0 - 1.0 / (1.0 + e)
        return min(MAX_PHI, -math.log10(max(later, 1e-300)) + self._failure_phi)
