"""A member's retry budget: it sends to servers at most ``1 + b`` times the first attempts that it received.

Retries by callers, retries by the translator and hedged copies all count once, when they are sent. The bound holds for
each member and therefore for the fleet, without any message. ``b`` falls with the admission level, to 0 under overload.
"""

from __future__ import annotations

from collections import deque

WINDOW_US = 10_000_000  # window in which attempts are counted
BUCKETS = 10
BUCKET_US = WINDOW_US // BUCKETS
MIN_RETRIES = 3.0  # attempts beyond the share, for a member that has received few requests


class RetryBudget:
    """The first attempts received and all attempts sent within ``WINDOW_US``."""

    def __init__(self, share: float) -> None:
        self.share = share
        self.effective_share = share  # ``share`` as reduced by the admission level
        self._buckets: deque[list[int]] = deque()  # per bucket: its number, first attempts received, attempts sent
        self.first_attempts = self.sent = 0  # within the window

    def apply_level(self, level: float) -> None:
        """Scale the share with the admission level: all of it from level 1, none at level 0.5 and below."""
        self.effective_share = self.share * max(0.0, min(1.0, 2.0 * level - 1.0))

    def add_first_attempt(self, now: int) -> None:
        """Count a first attempt received."""
        self._bucket(now)[1] += 1
        self.first_attempts += 1

    def add_sent(self, now: int) -> None:
        """Count an attempt that is sent."""
        self._bucket(now)[2] += 1
        self.sent += 1

    def remove_sent(self, now: int) -> None:
        """Uncount an attempt that did not reach a server."""
        self._bucket(now)[2] -= 1
        self.sent -= 1

    def allows(self, now: int) -> bool:
        """Tell whether the budget allows one more attempt."""
        self._bucket(now)
        return self.sent + 1 <= (1.0 + self.effective_share) * self.first_attempts + MIN_RETRIES

    def _bucket(self, now: int) -> list[int]:
        number = now // BUCKET_US
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        while self._buckets[0][0] <= number - BUCKETS:
            _, first_attempts, sent = self._buckets.popleft()
            self.first_attempts, self.sent = self.first_attempts - first_attempts, self.sent - sent
        return self._buckets[-1]
