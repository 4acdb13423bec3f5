"""Ejection of failing members (Envoy's outlier detection; Nygard's circuit breaker, half-open on return).

A member is ejected after consecutive failures, or for a success rate far below the others'. Each ejection lasts longer
than the one before. After it a single request probes the member; others follow only once that has succeeded. No more
than a share of the members is ejected at a time: beyond it, the cause is not in the single members.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class BreakerConfig:
    """Thresholds of ejection; times in microseconds, shares between 0 and 1."""

    consecutive_failures: int = 5
    base_ejection_us: int = 3_000_000
    max_ejection_us: int = 60_000_000
    max_ejected_share: float = 0.5
    window_us: int = 10_000_000
    min_requests: int = 20  # in the window, for its success rate to be compared
    max_deviations: float = 1.9  # standard deviations below the mean success rate (Envoy's factor)


@dataclass(slots=True)
class _Record:
    failures_in_a_row: int = 0
    ejected_until_us: int = 0
    ejections: int = 0
    probing: bool = False  # half-open: one request is in flight
    window_start_us: int = 0
    successes: int = 0
    window_failures: int = 0
    last_rate: float | None = None
    names: set[str] = field(default_factory=set)


class CircuitBreaker:
    """The success records of all members, and which of them are ejected."""

    def __init__(self, config: BreakerConfig | None = None) -> None:
        self.config = config or BreakerConfig()
        self._records: dict[str, _Record] = {}

    def allows(self, name: str, now_us: int) -> bool:
        """Return whether a request may be sent to a member; after an ejection only one at a time may, as a probe."""
        record = self._records.get(name)
        if record is None or not record.ejected_until_us:
            return True
        return now_us >= record.ejected_until_us and not record.probing

    def attempt_started(self, name: str, now_us: int) -> None:
        """Record that a request is sent to a member."""
        record = self._records.get(name)
        if record is not None and record.ejected_until_us and now_us >= record.ejected_until_us:
            record.probing = True

    def attempt_ended(self, name: str, succeeded: bool, now_us: int, members: int) -> bool:
        """Record the end of a request and return whether the member was ejected; ``members`` counts all members."""
        record = self._records.setdefault(name, _Record(window_start_us=now_us))
        self._roll_window(record, now_us)
        if succeeded:
            record.successes += 1
            record.failures_in_a_row, record.probing = 0, False
            if record.ejected_until_us and now_us >= record.ejected_until_us:
                record.ejected_until_us = 0
                record.ejections = max(0, record.ejections - 1)
            return False
        record.window_failures += 1
        record.failures_in_a_row += 1
        half_open, record.probing = record.probing, False
        if half_open or record.failures_in_a_row >= self.config.consecutive_failures:
            return self._try_eject(name, record, now_us, members)
        return False

    def eject(self, name: str, now_us: int, members: int) -> bool:
        """Eject a member for failures that others reported; return whether it was ejected."""
        record = self._records.setdefault(name, _Record(window_start_us=now_us))
        return False if record.probing else self._try_eject(name, record, now_us, members)

    def forget(self, names: Iterable[str]) -> None:
        """Drop the records of members that are gone."""
        for name in names:
            self._records.pop(name, None)

    def ejected_count(self, now_us: int) -> int:
        """Return the number of members that are ejected now."""
        return sum(record.ejected_until_us > now_us for record in self._records.values())

    def eject_outliers(self, now_us: int, members: int) -> list[str]:
        """Eject members whose success rate in the last window is far below the others'; return their names."""
        for record in self._records.values():
            self._roll_window(record, now_us)
        rates = {
            name: member_record.last_rate
            for name, member_record in self._records.items()
            if member_record.last_rate is not None
        }
        if len(rates) < 5:
            return []
        mean, deviation = statistics.fmean(rates.values()), statistics.pstdev(rates.values())
        outliers = [name for name, rate in rates.items() if rate < mean - self.config.max_deviations * deviation - 0.05]
        return [name for name in outliers if self._try_eject(name, self._records[name], now_us, members)]

    def _try_eject(self, name: str, record: _Record, now_us: int, members: int) -> bool:
        if record.ejected_until_us > now_us or self.ejected_count(now_us) + 1 > self.config.max_ejected_share * members:
            return False
        record.ejections += 1
        record.failures_in_a_row, record.last_rate = 0, None
        duration_us = min(self.config.max_ejection_us, self.config.base_ejection_us << min(record.ejections - 1, 6))
        record.ejected_until_us = now_us + duration_us
        return True

    def _roll_window(self, record: _Record, now_us: int) -> None:
        if now_us - record.window_start_us < self.config.window_us:
            return
        count = record.successes + record.window_failures
        record.last_rate = record.successes / count if count >= self.config.min_requests else None
        record.window_start_us, record.successes, record.window_failures = now_us, 0, 0
