"""One tenant's plan for one class: shares by region, moved by bounded steps with hysteresis. Pure.

The order of what is looked at: regions that are bad for the tenant are left; where none is, cost brings it back.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from sagetrestle.objectives.values import Objective

MAX_MOVE_SHARE = 0.25  # of the tenant's load that moves at a time
MAX_CAPACITY_SHARE = 0.5  # of the free room of a region that one move may take
BAD_BURN_RATE = 2.0  # times what is allowed, from which a region is bad for the tenant
MIN_OWN_ANSWERS = 10.0  # answers lately from which a tenant's own counts say something
MIN_REGION_ANSWERS = 20  # answers of all, from which a region's histogram does
CALM_LOOKS, MAX_CALM_BURN_RATE = 3, 0.5  # looks in a row, and burn, from which cost moves load
MIN_REGION_SHARE = 0.02  # what is less is moved whole
BACKOFF_LOOKS = 8  # looks for which a region that was left for cost's sake and came out bad is not moved to again


class RegionStatus(NamedTuple):
    """A region as its decider sees it for one class."""

    up: bool = True  # any of its servers takes work
    sheds: bool = False
    point_us: float = 0.0  # how long the promised share of answers takes there
    count: int = 0  # answers that this is of
    room_per_s: float = 0.0  # that it could take on
    cost: float = 1.0


class RecentCounts(NamedTuple):
    """What the tenant itself had of a region lately."""

    good: float = 0.0
    late: float = 0.0


@dataclass
class Plan:
    """The plan and what it remembers between looks."""

    promise: Objective
    shares: dict[str, float] = field(default_factory=dict)
    calm: int = 0
    moves: int = 0
    avoided: dict[str, int] = field(default_factory=dict)  # regions that came out bad, and looks until they are tried

    def __post_init__(self) -> None:
        if not self.shares:
            self.shares = {self.promise.regions[0]: 1.0}

    def bad(self, region: str, facts: Mapping[str, RegionStatus], lately: Mapping[str, RecentCounts]) -> bool:
        """Tell whether a region is bad for this tenant: by its own counts where there are some, else by all's."""
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
        """Look once; return what is moved into which region, requests a second. ``burn`` is of the long window."""
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
            # What is preferred is named first; cost decides among those at least as preferred as what is used.
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
        """Tell whether any allowed region is not bad for it."""
        return any(not self.bad(region, facts, lately) for region in self.promise.regions)
