"""One tenant's plan for one class: shares by region, moved by bounded steps with hysteresis. Pure.

The order of what is looked at: regions that are bad for the tenant are left; where none is, cost brings it back.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from sagetrestle.objectives.values import Promise

STEP = 0.25  # of the tenant's load that moves at a time
ROOM_PART = 0.5  # of the free room of a region that one move may take
BURNS = 2.0  # times what is allowed, from which a region is bad for the tenant
SURE = 10.0  # answers lately from which a tenant's own counts say something
KNOWN = 20  # answers of all, from which a region's histogram does
CALM, CALM_BURN = 3, 0.5  # looks in a row, and burn, from which cost moves load
LEAST_SHARE = 0.02  # what is less is moved whole
BACK_OFF = 8  # looks for which a region that was left for cost's sake and came out bad is not moved to again


class RegionFacts(NamedTuple):
    """A region as its decider sees it for one class."""

    up: bool = True  # any of its servers takes work
    sheds: bool = False
    point_us: float = 0.0  # how long the promised share of answers takes there
    count: int = 0  # answers that this is of
    room_per_s: float = 0.0  # that it could take on
    cost: float = 1.0


class Lately(NamedTuple):
    """What the tenant itself had of a region lately."""

    good: float = 0.0
    late: float = 0.0


@dataclass
class Plan:
    """The plan and what it remembers between looks."""

    promise: Promise
    shares: dict[str, float] = field(default_factory=dict)
    calm: int = 0
    moves: int = 0
    shy: dict[str, int] = field(default_factory=dict)  # regions that came out bad, and looks until they are tried

    def __post_init__(self) -> None:
        if not self.shares:
            self.shares = {self.promise.regions[0]: 1.0}

    def bad(self, region: str, facts: Mapping[str, RegionFacts], lately: Mapping[str, Lately]) -> bool:
        """Tell whether a region is bad for this tenant: by its own counts where there are some, else by all's."""
        fact, own = facts.get(region, RegionFacts()), lately.get(region, Lately())
        if not fact.up:
            return True
        seen = own.good + own.late
        if seen >= SURE:
            return own.late / seen > BURNS * (1.0 - self.promise.share)
        return fact.count >= KNOWN and fact.point_us > self.promise.target_us

    def look(
        self, facts: Mapping[str, RegionFacts], lately: Mapping[str, Lately], per_s: float, burn: float
    ) -> dict[str, float]:
        """Look once; return what is moved into which region, requests a second. ``burn`` is of the long window."""
        promise = self.promise
        self.shy = {region: left - 1 for region, left in self.shy.items() if left > 1}
        bad = {region for region in promise.regions if self.bad(region, facts, lately)}
        for region in bad & {one for one, share in self.shares.items() if share > 0.0}:
            self.shy[region] = BACK_OFF
        held = [region for region, share in self.shares.items() if share > 0.0 and region in bad]
        self.calm = 0 if held or burn >= CALM_BURN else self.calm + 1
        good = [region for region in promise.regions if region not in bad and region not in self.shy]
        if held:
            worst = max(held, key=lambda one: (not facts.get(one, RegionFacts()).up, self.shares[one]))
            goals = [one for one in good if one != worst] or [
                one for one in promise.regions if one not in bad and one != worst
            ]
            return self._move(worst, goals, facts, per_s)
        if self.calm >= CALM:
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

    def _price(self, region: str, facts: Mapping[str, RegionFacts]) -> tuple[float, int]:
        return facts.get(region, RegionFacts()).cost, self.promise.regions.index(region)

    def _move(self, start: str, goals: list[str], facts: Mapping[str, RegionFacts], per_s: float) -> dict[str, float]:
        down = not facts.get(start, RegionFacts()).up
        for goal in goals:
            fact = facts.get(goal, RegionFacts())
            if fact.sheds and not down:
                continue
            part = min(self.shares[start], 1.0 if down else STEP)
            if per_s > 0.0 and not down:
                part = min(part, ROOM_PART * fact.room_per_s / per_s)
            if self.shares[start] - part < LEAST_SHARE and part > 0.0:
                part = self.shares[start]
            if part <= 0.0:
                continue
            self.shares[start] -= part
            self.shares[goal] = self.shares.get(goal, 0.0) + part
            self.shares = {region: share for region, share in self.shares.items() if share > 0.0}
            self.moves += 1
            return {goal: part * per_s}
        return {}

    def can_be_kept(self, facts: Mapping[str, RegionFacts], lately: Mapping[str, Lately]) -> bool:
        """Tell whether any allowed region is not bad for it."""
        return any(not self.bad(region, facts, lately) for region in self.promise.regions)
