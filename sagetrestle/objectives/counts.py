"""A member's counters for objectives: good and late answers by tenant, and response times by region."""

from __future__ import annotations

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

from sagetrestle.objectives.values import Objective, RegionReport, ServedCounts

MIN_TRACKED_MS, MAX_TRACKED_MS, SIGNIFICANT_DIGITS = 1, 120_000, 2
HISTOGRAM_WINDOW_US = 5_000_000  # a reported histogram covers between one and two windows
MAX_COUNTERS = 50_000  # maximum number of counters, each for a tenant, class and region


def histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return HdrHistogram(MIN_TRACKED_MS, MAX_TRACKED_MS, SIGNIFICANT_DIGITS)


class _Line:
    """The histograms of one class in one region."""

    def __init__(self, now: int) -> None:
        self.old, self.new, self.since_us, self.began_us = histogram(), histogram(), now, now
        self.old_us = 0  # time that the older histogram covers

    def turn(self, now: int) -> None:
        """Start a new histogram if the present one's window is over."""
        if now - self.since_us >= HISTOGRAM_WINDOW_US:
            self.old, self.new = self.new, histogram()
            self.old_us, self.since_us = now - self.since_us, now


class ObjectiveCounters:
    """One member's counters; an answer counts once, at the member that gave it."""

    def __init__(self) -> None:
        self._served: dict[tuple[str, str, str], list[int]] = {}
        self._lines: dict[tuple[str, str], _Line] = {}
        self._fresh: set[tuple[str, str]] = set()  # tenants and classes with changed counters

    def record(self, now: int, promise: Objective | None, cls: str, region: str, took_us: int, good: bool) -> None:
        """Count an answer; ``good``: it was served. Rejected and failed ones are late and not in the histograms."""
        if good:
            line = self._lines.get((region, cls))
            if line is None:
                line = self._lines[(region, cls)] = _Line(now)
            line.turn(now)
            line.new.record_value(min(MAX_TRACKED_MS, max(MIN_TRACKED_MS, took_us // 1000)))
        if promise is None:
            return
        key = (promise.tenant, promise.class_name, region)
        count = self._served.get(key)
        if count is None:
            if len(self._served) >= MAX_COUNTERS:
                return
            count = self._served[key] = [0, 0]
        count[not (good and took_us <= promise.target_us)] += 1
        self._fresh.add(key[:2])

    def take_changed(self) -> list[ServedCounts]:
        """Return the counters of tenants and classes that changed, counted since the start of this member."""
        fresh, self._fresh = self._fresh, set()
        return [ServedCounts(*key, *count) for key, count in self._served.items() if key[:2] in fresh]

    def region_reports(self, now: int) -> Iterator[tuple[str, str, RegionReport]]:
        """Return the recent measurements of each class in each region."""
        for (region, cls), line in self._lines.items():
            line.turn(now)
            whole = histogram()
            whole.add(line.old)
            whole.add(line.new)
            count = whole.get_total_count()
            if count:
                seconds = max(1.0, (line.old_us + now - line.since_us) / 1e6)
                yield region, cls, RegionReport(count / seconds, whole.encode())


def merge_histograms(times: Iterator[bytes]) -> HdrHistogram:
    """Return the sum of members' histograms; those that can not be decoded are left out."""
    whole = histogram()
    for one in times:
        try:
            whole.decode_and_add(one)
        except Exception:  # noqa: BLE001, S112 - the codec may raise anything on another member's bytes
            continue
    return whole
