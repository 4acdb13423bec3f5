"""Retry budgets (Finagle's ``RetryBudget``; gRFC A6): each first attempt pays for a part of a retry.

With a share of 0.1, retries never add more than a tenth to the load over the window, whatever fails. A small reserve
per second allows retries of occasional failures on a route with little traffic.
"""

from __future__ import annotations

from collections import OrderedDict, deque


class RetryBudget:
    """A budget of ``share`` times the first attempts in the window, plus ``reserve_per_s`` retries per second."""

    __slots__ = ("_share", "_reserve", "_window_us", "_first_attempts", "_retries", "_bucket_us")

    BUCKETS = 10

    def __init__(self, share: float = 0.1, reserve_per_s: float = 1.0, window_us: int = 10_000_000) -> None:
        if not 0 <= share <= 1:
            raise ValueError(f"share: {share} is not between 0 and 1")
        self._share, self._window_us = share, window_us
        self._reserve = reserve_per_s * window_us / 1e6
        self._bucket_us = window_us // self.BUCKETS
        self._first_attempts: deque[list[int]] = deque()  # [bucket, count]
        self._retries: deque[list[int]] = deque()

    def count_first_attempt(self, now_us: int) -> None:
        """Count a first attempt."""
        self._count(self._first_attempts, now_us)

    def balance(self, now_us: int) -> float:
        """Return the number of retries available now."""
        return self._reserve + self._share * self._sum(self._first_attempts, now_us) - self._sum(self._retries, now_us)

    def try_spend(self, now_us: int) -> bool:
        """Take one retry from the budget; return False where none is available."""
        if self.balance(now_us) < 1.0:
            return False
        self._count(self._retries, now_us)
        return True

    def _count(self, buckets: deque[list[int]], now_us: int) -> None:
        bucket = now_us // self._bucket_us
        if buckets and buckets[-1][0] == bucket:
            buckets[-1][1] += 1
        else:
            buckets.append([bucket, 1])
        self._drop(buckets, bucket)

    def _sum(self, buckets: deque[list[int]], now_us: int) -> int:
        self._drop(buckets, now_us // self._bucket_us)
        return sum(count for _, count in buckets)

    def _drop(self, buckets: deque[list[int]], bucket: int) -> None:
        while buckets and buckets[0][0] <= bucket - self.BUCKETS:
            buckets.popleft()


class RetryBudgets:
    """Budgets by name, at most ``max_budgets``.

    The least recently used one is evicted; it starts again with its reserve.
    """

    def __init__(self, share: float, reserve_per_s: float, max_budgets: int = 10_000) -> None:
        self._share, self._reserve, self._max_budgets = share, reserve_per_s, max_budgets
        self._budgets: OrderedDict[str, RetryBudget] = OrderedDict()

    def __len__(self) -> int:
        return len(self._budgets)

    def budget_for(self, name: str) -> RetryBudget:
        """Return the budget of a name, a new one where it has none."""
        found = self._budgets.get(name)
        if found is None:
            found = self._budgets[name] = RetryBudget(self._share, self._reserve)
            if len(self._budgets) > self._max_budgets:
                self._budgets.popitem(last=False)
        else:
            self._budgets.move_to_end(name)
        return found
