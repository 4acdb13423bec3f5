"""Members left out for their failures (Envoy's outlier detection; Nygard's circuit breaker, half-open on return).

A member is ejected for failures in a row, or for a success rate far under the others'. Each ejection lasts longer
than the one before. On its return one request goes first; only its success lets the others follow. Never more than a
share of the members is ejected: past that, the failure is not the member's.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class BreakerConfig:
    """Times in microseconds; shares of one."""

    consecutive_failures: int = 5
    base_ejection_us: int = 3_000_000
    max_ejection_us: int = 60_000_000
    max_ejected_share: float = 0.5
    window_us: int = 10_000_000
    min_requests: int = 20  # in the window, for the comparison of success rates
    max_deviations: float = 1.9  # standard deviations under the mean (Envoy's factor)


@dataclass(slots=True)
class _Record:
    failures: int = 0  # in a row
    ejected_until_us: int = 0
    ejections: int = 0
    probing: bool = False  # half-open: one request is out
    window_start_us: int = 0
    good: int = 0
    bad: int = 0
    last_rate: float | None = None
    names: set[str] = field(default_factory=set)


class CircuitBreaker:
    """The records of all members that requests were sent to."""

    def __init__(self, config: BreakerConfig | None = None) -> None:
        self.config = config or BreakerConfig()
        self._records: dict[str, _Record] = {}

    def allows(self, name: str, now_us: int) -> bool:
        """Tell whether a request may go to a member; after an ejection one may, until it has ended."""
        record = self._records.get(name)
        if record is None or not record.ejected_until_us:
            return True
        return now_us >= record.ejected_until_us and not record.probing

    def attempt_started(self, name: str, now_us: int) -> None:
        """Note that a request goes to a member."""
        record = self._records.get(name)
        if record is not None and record.ejected_until_us and now_us >= record.ejected_until_us:
            record.probing = True

    def attempt_ended(self, name: str, good: bool, now_us: int, members: int) -> bool:
        """Note how it ended, and return whether the member was ejected for it; ``members`` is the fleet's size."""
        record = self._records.setdefault(name, _Record(window_start_us=now_us))
        self._roll_window(record, now_us)
        if good:
            record.good += 1
            record.failures, record.probing = 0, False
            if record.ejected_until_us and now_us >= record.ejected_until_us:
                record.ejected_until_us = 0
                record.ejections = max(0, record.ejections - 1)
            return False
        record.bad += 1
        record.failures += 1
        half_open, record.probing = record.probing, False
        if half_open or record.failures >= self.config.consecutive_failures:
            return self._try_eject(name, record, now_us, members)
        return False

    def eject(self, name: str, now_us: int, members: int) -> bool:
        """Eject a member for what others saw of it, and return whether it was; it comes back as after its own."""
        record = self._records.setdefault(name, _Record(window_start_us=now_us))
        return False if record.probing else self._try_eject(name, record, now_us, members)

    def forget(self, names: Iterable[str]) -> None:
        """Forget members that are gone."""
        for name in names:
            self._records.pop(name, None)

    def ejected_count(self, now_us: int) -> int:
        """Return how many members are ejected now."""
        return sum(one.ejected_until_us > now_us for one in self._records.values())

    def eject_outliers(self, now_us: int, members: int) -> list[str]:
        """Eject those whose success rate of the last window is far under the others'; return their names."""
        for record in self._records.values():
            self._roll_window(record, now_us)
        rates = {name: one.last_rate for name, one in self._records.items() if one.last_rate is not None}
        if len(rates) < 5:
            return []
        mean, spread = statistics.fmean(rates.values()), statistics.pstdev(rates.values())
        found = [name for name, rate in rates.items() if rate < mean - self.config.max_deviations * spread - 0.05]
        return [name for name in found if self._try_eject(name, self._records[name], now_us, members)]

    def _try_eject(self, name: str, record: _Record, now_us: int, members: int) -> bool:
        if record.ejected_until_us > now_us or self.ejected_count(now_us) + 1 > self.config.max_ejected_share * members:
            return False
        record.ejections += 1
        record.failures, record.last_rate = 0, None
        span = min(self.config.max_ejection_us, self.config.base_ejection_us << min(record.ejections - 1, 6))
        record.ejected_until_us = now_us + span
        return True

    def _roll_window(self, record: _Record, now_us: int) -> None:
        if now_us - record.window_start_us < self.config.window_us:
            return
        count = record.good + record.bad
        record.last_rate = record.good / count if count >= self.config.min_requests else None
        record.window_start_us, record.good, record.bad = now_us, 0, 0
