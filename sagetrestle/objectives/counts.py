"""A member's counters for objectives: good and late answers by tenant, and response times by region."""

from __future__ import annotations

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

from sagetrestle.objectives.values import Objective, RegionReport, ServedCounts

MIN_TRACKED_MS = 1  # minimum response time in a histogram
MAX_TRACKED_MS = 120_000  # maximum response time in a histogram
SIGNIFICANT_DIGITS = 2  # precision of a histogram
HISTOGRAM_WINDOW_US = 5_000_000  # a reported histogram covers between one and two windows
MAX_COUNTERS = 50_000  # maximum number of counters, each for a tenant, class and region


def histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return HdrHistogram(MIN_TRACKED_MS, MAX_TRACKED_MS, SIGNIFICANT_DIGITS)


class _RegionHistograms:
    """The histograms of one class in one region."""

    def __init__(self, now: int) -> None:
        self.old, self.new, self.since_us, self.began_us = histogram(), histogram(), now, now
        self.old_us = 0  # time that the older histogram covers

    def rotate(self, now: int) -> None:
        """Start a new histogram if the present one's window is over."""
        if now - self.since_us >= HISTOGRAM_WINDOW_US:
            self.old, self.new = self.new, histogram()
            self.old_us, self.since_us = now - self.since_us, now


class ObjectiveCounters:
    """One member's counters; an answer counts once, at the member that gave it."""

    def __init__(self) -> None:
        self._served: dict[tuple[str, str, str], list[int]] = {}
        self._histograms: dict[tuple[str, str], _RegionHistograms] = {}
        self._changed: set[tuple[str, str]] = set()  # tenants and classes with changed counters

    def record(
        self, now: int, objective: Objective | None, class_name: str, region: str, took_us: int, good: bool
    ) -> None:
        """Count an answer; ``good``: it was served. Other answers count as late and are left out of the histograms."""
        if good:
            histograms = self._histograms.get((region, class_name))
            if histograms is None:
                histograms = self._histograms[(region, class_name)] = _RegionHistograms(now)
            histograms.rotate(now)
            histograms.new.record_value(min(MAX_TRACKED_MS, max(MIN_TRACKED_MS, took_us // 1000)))
        if objective is None:
            return
        key = (objective.tenant, objective.class_name, region)
        count = self._served.get(key)
        if count is None:
            if len(self._served) >= MAX_COUNTERS:
                return
            count = self._served[key] = [0, 0]
        count[not (good and took_us <= objective.target_us)] += 1
        self._changed.add(key[:2])

    def take_changed(self) -> list[ServedCounts]:
        """Return the counters of tenants and classes that changed, counted since the start of this member."""
        changed, self._changed = self._changed, set()
        return [ServedCounts(*key, *count) for key, count in self._served.items() if key[:2] in changed]

    def region_reports(self, now: int) -> Iterator[tuple[str, str, RegionReport]]:
        """Return the recent measurements of each class in each region."""
        for (region, class_name), histograms in self._histograms.items():
            histograms.rotate(now)
            total = histogram()
            total.add(histograms.old)
            total.add(histograms.new)
            count = total.get_total_count()
            if count:
                seconds = max(1.0, (histograms.old_us + now - histograms.since_us) / 1e6)
                yield region, class_name, RegionReport(count / seconds, total.encode())


def merge_histograms(encoded_histograms: Iterator[bytes]) -> HdrHistogram:
    """Return the sum of members' histograms; those that can not be decoded are left out."""
    total = histogram()
    for encoded in encoded_histograms:
        try:
            total.decode_and_add(encoded)
        except Exception:  # noqa: BLE001, S112 - the codec may raise anything on another member's bytes
            continue
    return total
