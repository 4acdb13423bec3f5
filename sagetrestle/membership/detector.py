"""A phi accrual failure detector (Hayashibara, Défago, Yared, Katayama, SRDS 2004).

It keeps mean and deviation of the gaps between a member's answers. Phi is the negative decimal logarithm of the
probability of a silence as long as the present one. So a member that always answers slowly is not suspected for it,
and one that answers quickly is suspected soon. Gaps are averaged with exponential weights, so the state of a member is
a few numbers.
"""

from __future__ import annotations

import math

EWMA_WEIGHT = 0.1  # of the newest gap, in mean and deviation
MIN_DEVIATION_SHARE = 0.5  # of the mean gap: very regular answers would cause suspicion at the first small delay
MAX_PHI = 300.0
TIMEOUT_PHI = 1.5  # added by each probe that times out
REFUSED_PHI = 4.0  # a refused connection is stronger evidence than silence: no process listens


class PhiAccrualDetector:
    """The failure detector of one member."""

    __slots__ = ("_mean_gap_us", "_gap_deviation_us", "_last_answer_us", "_failure_phi")

    def __init__(self, now_us: int, expected_us: int) -> None:
        self._mean_gap_us, self._gap_deviation_us = float(expected_us), expected_us * 0.5
        self._last_answer_us, self._failure_phi = now_us, 0.0

    @property
    def last_answer_us(self) -> int:
        """Return when the member last answered."""
        return self._last_answer_us

    def record_answer(self, now_us: int) -> None:
        """Record an answer to a probe or a call."""
        gap_us = max(0, now_us - self._last_answer_us)
        if self._failure_phi == 0.0 and gap_us < 10 * self._mean_gap_us:  # outages do not count as gaps
            error = gap_us - self._mean_gap_us
            self._mean_gap_us += EWMA_WEIGHT * error
            self._gap_deviation_us += EWMA_WEIGHT * (abs(error) - self._gap_deviation_us)
        self._last_answer_us, self._failure_phi = max(now_us, self._last_answer_us), 0.0

    def record_timeout(self) -> None:
        """Record a probe or call that timed out."""
        self._failure_phi = min(MAX_PHI, self._failure_phi + TIMEOUT_PHI)

    def record_refusal(self) -> None:
        """Record a refused connection."""
        self._failure_phi = min(MAX_PHI, self._failure_phi + REFUSED_PHI)

    def phi(self, now_us: int) -> float:
        """Return the suspicion level.

        By silence alone, suspecting at 1 is wrong once in 10 times, at 8 once in 100 million.
        """
        silence_us = now_us - self._last_answer_us
        # The mean absolute deviation of a normal distribution is 0.8 of its standard deviation.
        standard_deviation = max(self._gap_deviation_us / 0.8, MIN_DEVIATION_SHARE * self._mean_gap_us, 1.0)
        deviations = (silence_us - self._mean_gap_us) / standard_deviation
        if deviations <= -8:
            return self._failure_phi
        # Logistic approximation of the normal distribution's tail, as in Akka and Cassandra.
        exponent = -deviations * (1.5976 + 0.070566 * deviations * deviations)
        if exponent < -600:
            return MAX_PHI
        odds = math.exp(min(600.0, exponent))
        tail_probability = odds / (1.0 + odds) if silence_us > self._mean_gap_us else 1.0 - 1.0 / (1.0 + odds)
        return min(MAX_PHI, -math.log10(max(tail_probability, 1e-300)) + self._failure_phi)
