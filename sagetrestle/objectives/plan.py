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
MIN_OWN_ANSWERS = 10.0  # minimum number of recent answers for a tenant's own counts to decide
MIN_REGION_ANSWERS = 20  # minimum number of answers in a region's histogram for it to decide
CALM_LOOKS, MAX_CALM_BURN_RATE = 3, 0.5  # looks in a row below this burn rate, after which load moves for cost
MIN_REGION_SHARE = 0.02  # a smaller remaining share is moved whole
BACKOFF_LOOKS = 8  # looks for which a region that turned out bad is not moved to again


class RegionStatus(NamedTuple):
    """The state of a region for one class at a decider."""

    up: bool = True  # at least one of its servers takes work
    sheds: bool = False
    point_us: float = 0.0  # response time at the percentile of the objective's share
    count: int = 0  # number of answers in the histogram
    room_per_s: float = 0.0  # requests per second that it could take in addition
    cost: float = 1.0


class RecentCounts(NamedTuple):
    """The tenant's own recent answers from a region, with exponential decay."""

    good: float = 0.0
    late: float = 0.0


@dataclass
class Plan:
    """The plan and its state between looks."""

    promise: Objective
    shares: dict[str, float] = field(default_factory=dict)
    calm: int = 0
    moves: int = 0
    avoided: dict[str, int] = field(
        default_factory=dict
    )  # regions that turned out bad, and looks until they are used again

    def __post_init__(self) -> None:
        if not self.shares:
            self.shares = {self.promise.regions[0]: 1.0}

    def bad(self, region: str, facts: Mapping[str, RegionStatus], lately: Mapping[str, RecentCounts]) -> bool:
        """Tell whether a region is bad for this tenant: by its own counts if there are enough, else by all tenants'."""
        fact, own = facts.get(region, RegionStatus()), lately.get(region, RecentCounts())
        if not fact.up:
            return True
        seen = own.good + own.late
        if seen >= MIN_OWN_ANSWERS:
            return own.late / seen > BAD_BURN_RATE * (1.0 - self.promise.share)
        return fact.count >= MIN_REGION_ANSWERS and fact.point_us > self.promise.target_us

    def update(
        self, facts: Mapping[str, RegionStatus], lately: Mapping[str, RecentCounts], per_s: float, burn: float
    ) -> dict[str, float]:
        """Update the plan; return moved requests per second, by region. ``burn`` is that of the objective's window."""
        promise = self.promise
        self.avoided = {region: left - 1 for region, left in self.avoided.items() if left > 1}
        bad = {region for region in promise.regions if self.bad(region, facts, lately)}
        for region in bad & {one for one, share in self.shares.items() if share > 0.0}:
            self.avoided[region] = BACKOFF_LOOKS
        held = [region for region, share in self.shares.items() if share > 0.0 and region in bad]
        self.calm = 0 if held or burn >= MAX_CALM_BURN_RATE else self.calm + 1
        good = [region for region in promise.regions if region not in bad and region not in self.avoided]
        if held:
            worst = max(held, key=lambda one: (not facts.get(one, RegionStatus()).up, self.shares[one]))
            goals = [one for one in good if one != worst] or [
                one for one in promise.regions if one not in bad and one != worst
            ]
            return self._move(worst, goals, facts, per_s)
        if self.calm >= CALM_LOOKS:
            # By cost, then by the order of preference: load moves only to regions that rank before the present ones.
            dear = max(
                (region for region, share in self.shares.items() if share > 0.0),
                key=lambda one: self._price(one, facts),
            )
            cheaper = [one for one in good if self._price(one, facts) < self._price(dear, facts)]
            moved = self._move(dear, sorted(cheaper, key=lambda one: self._price(one, facts)), facts, per_s)
            if moved:
                self.calm = 0
            return moved
        return {}

    def _price(self, region: str, facts: Mapping[str, RegionStatus]) -> tuple[float, int]:
        return facts.get(region, RegionStatus()).cost, self.promise.regions.index(region)

    def _move(self, start: str, goals: list[str], facts: Mapping[str, RegionStatus], per_s: float) -> dict[str, float]:
        down = not facts.get(start, RegionStatus()).up
        for goal in goals:
            fact = facts.get(goal, RegionStatus())
            if fact.sheds and not down:
                continue
            part = min(self.shares[start], 1.0 if down else MAX_MOVE_SHARE)
            if per_s > 0.0 and not down:
                part = min(part, MAX_CAPACITY_SHARE * fact.room_per_s / per_s)
            if self.shares[start] - part < MIN_REGION_SHARE and part > 0.0:
                part = self.shares[start]
            if part <= 0.0:
                continue
            self.shares[start] -= part
            self.shares[goal] = self.shares.get(goal, 0.0) + part
            self.shares = {region: share for region, share in self.shares.items() if share > 0.0}
            self.moves += 1
            return {goal: part * per_s}
        return {}

    def can_be_met(self, facts: Mapping[str, RegionStatus], lately: Mapping[str, RecentCounts]) -> bool:
        """Tell whether any allowed region is not bad for the tenant."""
        return any(not self.bad(region, facts, lately) for region in self.promise.regions)
