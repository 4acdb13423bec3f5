"""One budget of tries a member: what it sends to servers is at most ``1 + b`` times the first tries that came to it.

Retries of callers, of the translator itself, and second copies all count where they are sent, once. Adding up over
members, the bound holds for the fleet without a message; ``b`` falls with the level, to nothing under overload.
"""

from __future__ import annotations

from collections import deque

WINDOW_US, BUCKETS = 10_000_000, 10
SPAN_US = WINDOW_US // BUCKETS
MIN_RETRIES = 3.0  # tries of a member that has seen little


class RetryBudget:
    """First tries that came and all tries that were sent, over the last ten seconds."""

    def __init__(self, share: float) -> None:
        self.share = share
        self.effective_share = share  # what of it holds now
        self._line: deque[list[int]] = deque()  # bucket, came, sent
        self.came = self.sent = 0  # in the window

    def apply_level(self, level: float) -> None:
        """Let the level say how much of the share holds: all of it at the top, nothing where much is turned away."""
        self.effective_share = self.share * max(0.0, min(1.0, 2.0 * level - 1.0))

    def add_first_attempt(self, now: int) -> None:
        """Count a first try that came."""
        self._bucket(now)[1] += 1
        self.came += 1

    def add_sent(self, now: int) -> None:
        """Count a try that is sent."""
        self._bucket(now)[2] += 1
        self.sent += 1

    def remove_sent(self, now: int) -> None:
        """Take back a try that reached nobody."""
        self._bucket(now)[2] -= 1
        self.sent -= 1

    def allows(self, now: int) -> bool:
        """Tell whether a try beyond the first ones is paid for."""
        self._bucket(now)
        return self.sent + 1 <= (1.0 + self.effective_share) * self.came + MIN_RETRIES

    def _bucket(self, now: int) -> list[int]:
        number = now // SPAN_US
        if not self._line or self._line[-1][0] != number:
            self._line.append([number, 0, 0])
        while self._line[0][0] <= number - BUCKETS:
            _, came, sent = self._line.popleft()
            self.came, self.sent = self.came - came, self.sent - sent
        return self._line[-1]
