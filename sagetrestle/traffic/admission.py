"""Admission control of one member: the priority of each request, and the levels and capacity given to the module.

There is an admission level for each region whose servers do the work; without regions there is one. After
``REPORT_TTL_US`` without a message of a region's decider the member applies the same rule to its own counts.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from sagetrestle.interface import AdmissionLimits
from sagetrestle.overload.admission_level import REPORT_TTL_US, LOOK_US, ArrivalCounter, AdmissionLevelDecider
from sagetrestle.overload.priority import (
    PriorityInputs,
    retry_after_us,
    is_retry_rotation,
    hash_fraction,
    place,
    rotation_of,
)
from sagetrestle.overload.retry_budget import RetryBudget
from sagetrestle.overload.values import ADMIT_ALL, PRIORITY_EXEMPT, PRIORITY_REFUSED, AdmissionLevel, AdmissionReport


class _Line:
    """The admission state of one region at one member."""

    def __init__(self) -> None:
        self.counted, self.level, self.own = ArrivalCounter(), AdmissionLevel(), AdmissionLevelDecider()
        self.heavy: dict[str, float] = {}
        self.heard_us = self.came = 0

    def use(self, level: AdmissionLevel) -> None:
        """Apply a level."""
        self.level, self.heavy = level, dict(level.heavy)


class AdmissionController:
    """Admission control of one member. ``most_back_us`` is the maximum retry-after time that callers are told."""

    def __init__(self, regions: Sequence[str], retry_budget: RetryBudget, most_back_us: int) -> None:
        self.regions, self.retry_budget, self._most_back_us = tuple(regions), retry_budget, most_back_us
        self._lines = {name: _Line() for name in self.regions}
        self._report_us = 0
        self._slots, self._cores = 0, 0.0
        self.solo_decisions = 0  # number of looks in which this member decided without the region's decider

    def prioritize(self, now: int, unix: int, one: PriorityInputs, ran: bool, region: str = "") -> tuple[float, int]:
        """Return a request's priority, and the retry-after time in microseconds in case it is rejected.

        A request that ran before is exempt. A retry without retry budget is above all levels, except in its rotation.
        """
        if ran:
            return PRIORITY_EXEMPT, 0
        line = self._lines[region]
        share = line.heavy.get(one.client, 1.0)
        one = one._replace(inside=share >= 1.0 or hash_fraction(f"share {one.request} {rotation_of(unix)}") < share)
        if not one.retry:
            self.retry_budget.add_first_attempt(now)
        where = place(one, unix)
        line.came += 1
        line.counted.record(where, one.client)
        if one.retry and not is_retry_rotation(one, rotation_of(unix)) and not self.retry_budget.allows(now):
            where = PRIORITY_REFUSED
        return where, retry_after_us(one, unix, self._most_back_us)

    def refusal(self, unix: int, one: PriorityInputs) -> tuple[float, int]:
        """Return the priority above all levels and the retry-after time, for a request to be rejected."""
        return PRIORITY_REFUSED, retry_after_us(one, unix, self._most_back_us)

    def tick(
        self, now: int, waiting: int, in_use: Mapping[str, int], parked: Mapping[str, int] | None = None
    ) -> list[AdmissionReport]:
        """Return the reports that are due, and decide alone for regions whose decider is silent.

        ``waiting`` requests are queued here for all regions; ``parked`` requests wait for a server of their region.
        """
        if now < self._report_us:
            return []
        self._report_us = now + LOOK_US
        came = sum(line.came for line in self._lines.values())
        found = []
        for name, line in self._lines.items():
            part = waiting if len(self._lines) == 1 else round(waiting * line.came / came) if came else 0
            line.came = 0
            report = line.counted.report(name, part + (parked or {}).get(name, 0), self._cores, in_use.get(name, 0))
            line.own.record(now, "", report)
            if line.own.step(now) and now - line.heard_us > REPORT_TTL_US:
                self.solo_decisions += 1
                line.use(line.own.current_level())
                self._press()
            found.append(report)
        return found

    def count_answered(self, done: Mapping[str, int]) -> None:
        """Count answers by region."""
        for name, count in done.items():
            if name in self._lines:
                self._lines[name].counted.done += count

    def apply_level(self, now: int, level: AdmissionLevel, region: str = "") -> None:
        """Apply the decider's level, sent at ``now``; this member's own decisions start from it."""
        line = self._lines.get(region)
        if line is None:
            return
        line.heard_us = max(line.heard_us, now)
        line.own.level = level.level
        line.use(level)
        self._press()

    def _press(self) -> None:
        """Scale the retry budget with the lowest level of all regions."""
        self.retry_budget.apply_level(min(line.level.level for line in self._lines.values()))

    def set_capacity(self, slots: int, cores: float) -> None:
        """Set how many requests may be in flight, now and on average."""
        self._slots, self._cores = slots, cores

    def level(self, region: str = "") -> AdmissionLevel:
        """Return the level that applies to a region at this member."""
        return self._lines[region].level

    def room(self) -> AdmissionLimits:
        """Return the capacity and levels for the module."""
        return AdmissionLimits(
            self._slots, self._cores, tuple(min(ADMIT_ALL, self._lines[name].level.level) for name in self.regions)
        )
