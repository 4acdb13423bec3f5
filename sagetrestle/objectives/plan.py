"""One tenant's plan for one class: shares by region, moved in bounded steps with hysteresis. No I/O, no clock.

Load first leaves regions that are bad for the tenant; if there are none, it moves back to cheaper regions.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from sagetrestle.objectives.values import Objective

MAX_MOVE_SHARE = 0.25  # maximum part of the tenant's load in one move
MAX_CAPACITY_SHARE = 0.5  # maximum part of a region's free capacity that one move may take
BAD_BURN_RATE = 2.0  # burn rate above which a region is bad for the tenant
MIN_OWN_ANSWERS = 10.0  # minimum number of recent answers with which a tenant's own counts decide
MIN_REGION_ANSWERS = 20  # minimum number of answers with which a region's histogram decides
CALM_EVALUATIONS = 3  # evaluations in a row with a low burn rate, after which load moves to cheaper regions
MAX_CALM_BURN_RATE = 0.5  # burn rate below which an evaluation is calm
MIN_REGION_SHARE = 0.02  # a move that would leave a smaller share moves all of it
BACKOFF_EVALUATIONS = 8  # evaluations for which no load is moved back to a region that turned out bad


class RegionStatus(NamedTuple):
    """The state of a region for one class at a decider."""

    up: bool = True  # at least one of its servers takes work
    sheds: bool = False  # its admission level rejects requests
    point_us: float = 0.0  # response time at the percentile of the objective's share
    count: int = 0  # number of answers in the histogram
    free_per_s: float = 0.0  # requests per second that it could take in addition
    cost: float = 1.0


class RecentCounts(NamedTuple):
    """The tenant's own recent answers from a region, with exponential decay."""

    good: float = 0.0
    late: float = 0.0


@dataclass
class Plan:
    """The plan, and its state between evaluations."""

    objective: Objective
    shares: dict[str, float] = field(default_factory=dict)
    calm_evaluations: int = 0
    moves: int = 0
    avoided: dict[str, int] = field(default_factory=dict)  # evaluations left, by region that turned out bad

    def __post_init__(self) -> None:
        if not self.shares:
            self.shares = {self.objective.regions[0]: 1.0}

    def is_bad(self, region: str, statuses: Mapping[str, RegionStatus], recent: Mapping[str, RecentCounts]) -> bool:
        """Tell whether a region is bad for this tenant, by its own counts if there are enough, else by those of all."""
        status, own = statuses.get(region, RegionStatus()), recent.get(region, RecentCounts())
        if not status.up:
            return True
        total = own.good + own.late
        if total >= MIN_OWN_ANSWERS:
            return own.late / total > BAD_BURN_RATE * (1.0 - self.objective.share)
        return status.count >= MIN_REGION_ANSWERS and status.point_us > self.objective.target_us

    def update(
        self, statuses: Mapping[str, RegionStatus], recent: Mapping[str, RecentCounts], per_s: float, burn: float
    ) -> dict[str, float]:
        """Update the plan and return the moved requests per second, by region.

        ``per_s`` is the tenant's load, ``burn`` the burn rate in the objective's window.
        """
        objective = self.objective
        self.avoided = {region: remaining - 1 for region, remaining in self.avoided.items() if remaining > 1}
        bad = {region for region in objective.regions if self.is_bad(region, statuses, recent)}
        for region in bad & {name for name, share in self.shares.items() if share > 0.0}:
            self.avoided[region] = BACKOFF_EVALUATIONS
        bad_in_use = [region for region, share in self.shares.items() if share > 0.0 and region in bad]
        self.calm_evaluations = 0 if bad_in_use or burn >= MAX_CALM_BURN_RATE else self.calm_evaluations + 1
        good = [region for region in objective.regions if region not in bad and region not in self.avoided]
        if bad_in_use:
            worst = max(bad_in_use, key=lambda name: (not statuses.get(name, RegionStatus()).up, self.shares[name]))
            targets = [name for name in good if name != worst] or [
                name for name in objective.regions if name not in bad and name != worst
            ]
            return self._move(worst, targets, statuses, per_s)
        if self.calm_evaluations >= CALM_EVALUATIONS:
            # Ordered by cost, then by preference: load moves only to regions that rank before the present ones.
            most_expensive = max(
                (region for region, share in self.shares.items() if share > 0.0),
                key=lambda name: self._cost_rank(name, statuses),
            )
            cheaper = [
                name for name in good if self._cost_rank(name, statuses) < self._cost_rank(most_expensive, statuses)
            ]
            moved = self._move(
                most_expensive, sorted(cheaper, key=lambda name: self._cost_rank(name, statuses)), statuses, per_s
            )
            if moved:
                self.calm_evaluations = 0
            return moved
        return {}

    def _cost_rank(self, region: str, statuses: Mapping[str, RegionStatus]) -> tuple[float, int]:
        return statuses.get(region, RegionStatus()).cost, self.objective.regions.index(region)

    def _move(
        self, source: str, targets: list[str], statuses: Mapping[str, RegionStatus], per_s: float
    ) -> dict[str, float]:
        down = not statuses.get(source, RegionStatus()).up
        for target in targets:
            status = statuses.get(target, RegionStatus())
            if status.sheds and not down:
                continue
            part = min(self.shares[source], 1.0 if down else MAX_MOVE_SHARE)
            if per_s > 0.0 and not down:
                part = min(part, MAX_CAPACITY_SHARE * status.free_per_s / per_s)
            if self.shares[source] - part < MIN_REGION_SHARE and part > 0.0:
                part = self.shares[source]
            if part <= 0.0:
                continue
            self.shares[source] -= part
            self.shares[target] = self.shares.get(target, 0.0) + part
            self.shares = {region: share for region, share in self.shares.items() if share > 0.0}
            self.moves += 1
            return {target: part * per_s}
        return {}

    def can_be_met(self, statuses: Mapping[str, RegionStatus], recent: Mapping[str, RecentCounts]) -> bool:
        """Tell whether any allowed region is not bad for the tenant."""
        return any(not self.is_bad(region, statuses, recent) for region in self.objective.regions)
