"""What a member counts for promises: good and late answers of promised tenants, and how long regions take."""

from __future__ import annotations

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

from sagetrestle.objectives.values import Objective, RegionReport, ServedCounts

MIN_TRACKED_MS, MAX_TRACKED_MS, SIGNIFICANT_DIGITS = 1, 120_000, 2
HISTOGRAM_WINDOW_US = 5_000_000  # a histogram covers between one and two of these
MAX_COUNTERS = 50_000  # tenant, class and region


def histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return HdrHistogram(MIN_TRACKED_MS, MAX_TRACKED_MS, SIGNIFICANT_DIGITS)


class _Line:
    """One class in one region."""

    def __init__(self, now: int) -> None:
        self.old, self.new, self.since_us, self.began_us = histogram(), histogram(), now, now
        self.old_us = 0  # how long the older one covers

    def turn(self, now: int) -> None:
        """Begin another histogram where it is time."""
        if now - self.since_us >= HISTOGRAM_WINDOW_US:
            self.old, self.new = self.new, histogram()
            self.old_us, self.since_us = now - self.since_us, now


class ObjectiveCounters:
    """A member's own; what counts against a promise counts once, where the answer was given."""

    def __init__(self) -> None:
        self._served: dict[tuple[str, str, str], list[int]] = {}
        self._lines: dict[tuple[str, str], _Line] = {}
        self._fresh: set[tuple[str, str]] = set()  # tenants and classes with something to report

    def record(self, now: int, promise: Objective | None, cls: str, region: str, took_us: int, good: bool) -> None:
        """Count an answer; ``good``: it was served. Refused and failed ones are late, and say nothing of a delay."""
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
        """Return the counts of those that have new ones, from the start of this member on."""
        fresh, self._fresh = self._fresh, set()
        return [ServedCounts(*key, *count) for key, count in self._served.items() if key[:2] in fresh]

    def region_reports(self, now: int) -> Iterator[tuple[str, str, RegionReport]]:
        """Return what was seen lately of each class in each region."""
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
    """Return the sum of what members saw; one that can not be read is left out."""
    whole = histogram()
    for one in times:
        try:
            whole.decode_and_add(one)
        except Exception:  # noqa: BLE001, S112 - whatever its codec raises on bytes of another member
            continue
    return whole
