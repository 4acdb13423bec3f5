"""Suspicion as a number: phi accrual (Hayashibara, Défago, Yared, Katayama, SRDS 2004).

Each member's answers have a habit, the mean and spread of the gaps between them; phi says how unlikely the
present silence is by that habit, as minus its decimal logarithm. A member that always answers late is not
suspected for it, one that is quick is missed soon. Gaps are averaged with exponential weights, so a member
costs five numbers.
"""

from __future__ import annotations

import math

GAIN = 0.1  # of the newest gap, in mean and spread
LEAST_SPREAD = 0.5  # of the mean: a habit that is too regular would suspect at the first hiccup
PHI_MOST = 300.0
MISSED_PHI = 1.5  # what each probe that had no answer in its time adds
REFUSED_PHI = 4.0  # a refused connection says more than silence: nobody listens there


class Detector:
    """The habit of one member and its present suspicion."""

    __slots__ = ("_mean", "_spread", "_heard", "_extra")

    def __init__(self, now_us: int, expected_us: int) -> None:
        self._mean, self._spread = float(expected_us), expected_us * 0.5
        self._heard, self._extra = now_us, 0.0

    @property
    def heard_us(self) -> int:
        """Return when it last answered."""
        return self._heard

    def heard(self, now_us: int) -> None:
        """Take an answer of any kind: to a probe, or to a call."""
        gap = max(0, now_us - self._heard)
        if self._extra == 0.0 and gap < 10 * self._mean:  # an outage is not part of the habit
            error = gap - self._mean
            self._mean += GAIN * error
            self._spread += GAIN * (abs(error) - self._spread)
        self._heard, self._extra = max(now_us, self._heard), 0.0

    def missed(self) -> None:
        """Take a probe or call that had no answer in its time."""
        self._extra = min(PHI_MOST, self._extra + MISSED_PHI)

    def refused(self) -> None:
        """Take a refused connection."""
        self._extra = min(PHI_MOST, self._extra + REFUSED_PHI)

    def phi(self, now_us: int) -> float:
        """Return the suspicion: 1 is wrong one time in ten, 8 one in a hundred million, by the habit alone."""
        silence = now_us - self._heard
        # The mean absolute deviation of a normal habit is 0.8 of its standard deviation.
        spread = max(self._spread / 0.8, LEAST_SPREAD * self._mean, 1.0)
        y = (silence - self._mean) / spread
        if y <= -8:
            return self._extra
        # The logistic approximation to the normal tail, as Akka and Cassandra use it.
        power = -y * (1.5976 + 0.070566 * y * y)
        if power < -600:
            return PHI_MOST
        e = math.exp(min(600.0, power))
        later = e / (1.0 + e) if silence > self._mean else 1.0 - 1.0 / (1.0 + e)
        return min(PHI_MOST, -math.log10(max(later, 1e-300)) + self._extra)
