"""Admission control of one member: the priority of each request, and the levels and capacity given to the module.

There is one admission level for each region of servers, or a single one without regions. After ``REPORT_TTL_US``
without a message of a region's decider the member applies the same rule to its own counts.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from sagetrestle.interface import AdmissionLimits
from sagetrestle.overload.admission_level import (
    REPORT_TTL_US,
    EVALUATION_INTERVAL_US,
    ArrivalCounter,
    AdmissionLevelDecider,
)
from sagetrestle.overload.priority import (
    PriorityInputs,
    retry_after_us,
    is_retry_rotation,
    hash_fraction,
    priority_of,
    rotation_of,
)
from sagetrestle.overload.retry_budget import RetryBudget
from sagetrestle.overload.values import ADMIT_ALL, PRIORITY_EXEMPT, PRIORITY_REFUSED, AdmissionLevel, AdmissionReport


class _RegionState:
    """The admission state of one region at one member."""

    def __init__(self) -> None:
        self.counter, self.level, self.own_decider = ArrivalCounter(), AdmissionLevel(), AdmissionLevelDecider()
        self.heavy_shares: dict[str, float] = {}
        self.heard_us = self.arrivals = 0

    def apply(self, level: AdmissionLevel) -> None:
        """Apply a level to the requests that follow."""
        self.level, self.heavy_shares = level, dict(level.heavy)


class AdmissionController:
    """Admission control of one member. ``max_retry_after_us`` is the maximum retry-after time that callers are told."""

    def __init__(self, regions: Sequence[str], retry_budget: RetryBudget, max_retry_after_us: int) -> None:
        self.regions, self.retry_budget, self._max_retry_after_us = tuple(regions), retry_budget, max_retry_after_us
        self._states = {name: _RegionState() for name in self.regions}
        self._report_us = 0
        self._slots, self._cores = 0, 0.0
        self.solo_decisions = 0  # number of evaluations without the region's decider

    def prioritize(self, now: int, unix: int, inputs: PriorityInputs, ran: bool, region: str = "") -> tuple[float, int]:
        """Return a request's priority, and the retry-after time in microseconds in case it is rejected.

        A request that ran before is exempt. A retry not covered by the retry budget is above all levels, except in its
        retry rotation.
        """
        if ran:
            return PRIORITY_EXEMPT, 0
        state = self._states[region]
        share = state.heavy_shares.get(inputs.client, 1.0)
        inputs = inputs._replace(
            within_share=share >= 1.0 or hash_fraction(f"share {inputs.request} {rotation_of(unix)}") < share
        )
        if not inputs.retry:
            self.retry_budget.add_first_attempt(now)
        priority = priority_of(inputs, unix)
        state.arrivals += 1
        state.counter.record(priority, inputs.client)
        if inputs.retry and not is_retry_rotation(inputs, rotation_of(unix)) and not self.retry_budget.allows(now):
            priority = PRIORITY_REFUSED
        return priority, retry_after_us(inputs, unix, self._max_retry_after_us)

    def refusal(self, unix: int, inputs: PriorityInputs) -> tuple[float, int]:
        """Return the priority that all levels reject, and the retry-after time in microseconds."""
        return PRIORITY_REFUSED, retry_after_us(inputs, unix, self._max_retry_after_us)

    def tick(
        self, now: int, waiting: int, in_use: Mapping[str, int], parked: Mapping[str, int] | None = None
    ) -> list[AdmissionReport]:
        """Return the reports that are due, and decide alone for regions whose decider is silent.

        ``waiting`` requests are queued here for all regions; ``parked`` requests wait for a server of their region.
        """
        if now < self._report_us:
            return []
        self._report_us = now + EVALUATION_INTERVAL_US
        arrivals = sum(state.arrivals for state in self._states.values())
        reports = []
        for name, state in self._states.items():
            queued = (
                waiting if len(self._states) == 1 else round(waiting * state.arrivals / arrivals) if arrivals else 0
            )
            state.arrivals = 0
            report = state.counter.report(name, queued + (parked or {}).get(name, 0), self._cores, in_use.get(name, 0))
            state.own_decider.record(now, "", report)
            if state.own_decider.step(now) and now - state.heard_us > REPORT_TTL_US:
                self.solo_decisions += 1
                state.apply(state.own_decider.current_level())
                self._scale_retry_budget()
            reports.append(report)
        return reports

    def count_answered(self, done: Mapping[str, int]) -> None:
        """Count answers by region."""
        for name, count in done.items():
            if name in self._states:
                self._states[name].counter.done += count

    def apply_level(self, now: int, level: AdmissionLevel, region: str = "") -> None:
        """Apply the decider's level, sent at ``now``; this member's own decisions start from it."""
        state = self._states.get(region)
        if state is None:
            return
        state.heard_us = max(state.heard_us, now)
        state.own_decider.level = level.level
        state.apply(level)
        self._scale_retry_budget()

    def _scale_retry_budget(self) -> None:
        """Scale the retry budget with the lowest level of all regions."""
        self.retry_budget.apply_level(min(state.level.level for state in self._states.values()))

    def set_capacity(self, slots: int, cores: float) -> None:
        """Set how many requests may be in flight, now and on average."""
        self._slots, self._cores = slots, cores

    def level(self, region: str = "") -> AdmissionLevel:
        """Return the level that applies to a region at this member."""
        return self._states[region].level

    def limits(self) -> AdmissionLimits:
        """Return the capacity and levels for the module."""
        return AdmissionLimits(
            self._slots, self._cores, tuple(min(ADMIT_ALL, self._states[name].level.level) for name in self.regions)
        )
