"""Selects the regions of a request, in order: by its tenant's plan with a little exploration, else by local counts.

The choice is a hash of the request, so admission, retries and counters agree on it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from sagetrestle.overload.priority import hash_fraction
from sagetrestle.objectives.counts import ObjectiveCounters
from sagetrestle.objectives.values import ObjectiveConfig, RegionPlan, Objective

EXPLORATION_SHARE = 0.02  # part of safe requests that go to an allowed region without a share
PLAN_TTL_US = 20_000_000  # after this a plan's "not attainable" is ignored; its shares still apply
MAX_CHOICES = 20_000  # maximum number of requests in progress with a stored choice
MAX_LATE_SHARE, MIN_LOCAL_SAMPLES = (
    0.5,
    8.0,
)  # without a plan a region is avoided above this share of late answers, from this many answers on
LOCAL_HALF_LIFE_US = 4_000_000


class RegionChoice(NamedTuple):
    """The choice for a request: its objective, and regions in order."""

    objective: Objective | None
    class_name: str
    regions: tuple[str, ...]
    began_us: int


class RegionSelector:
    """One member's selection of regions."""

    def __init__(self, contracts: ObjectiveConfig) -> None:
        self.config, self.counters = contracts, ObjectiveCounters()
        self.names = tuple(one.name for one in contracts.regions)
        self._servers = {one.name: one.servers for one in contracts.regions}
        self._plans: dict[tuple[str, str], tuple[int, RegionPlan]] = {}
        self._chosen: OrderedDict[str, RegionChoice] = OrderedDict()
        self._went: dict[str, str] = {}  # by request: the server that it was sent to last
        self._own: dict[
            str, list[float]
        ] = {}  # by region: good and late answers here with decay, and the time of the counts

    def apply_plans(self, now: int, plans: tuple[RegionPlan, ...]) -> None:
        """Store plans of known objectives."""
        for one in plans:
            if (one.tenant, one.class_name) in self.config.objectives:
                self._plans[(one.tenant, one.class_name)] = (now, one)

    def choose(
        self,
        now: int,
        id: str,
        tenant: str,
        cls: str,
        safe: bool,
        out: tuple[str, ...],
        level: Callable[[str], float] = lambda region: 1.0,
    ) -> RegionChoice:
        """Choose the regions of a request, in order; ``out`` are servers that take no work.

        Requests without an objective go to any region, weighted by its servers and, while it sheds, by its ``level``.
        """
        promise = self.config.objective_for(tenant, cls)
        regions = self._spread(id, out, level) if promise is None else self._order(now, id, promise, safe, out)
        chosen = self._chosen[id] = RegionChoice(promise, cls, regions, now)
        while len(self._chosen) > MAX_CHOICES:
            old, _ = self._chosen.popitem(last=False)
            self._went.pop(old, None)
        return chosen

    def can_meet(self, now: int, promise: Objective) -> bool:
        """Tell whether an objective can be met now, according to its decider's last plan."""
        known = self._plans.get((promise.tenant, promise.class_name))
        return known is None or known[1].attainable or now - known[0] > PLAN_TTL_US

    def groups(self, id: str) -> tuple[tuple[str, ...], ...]:
        """Return the servers of a request, by region in order; empty if it may go to any server."""
        chosen = self._chosen.get(id)
        return tuple(self._servers.get(region, ()) for region in chosen.regions) if chosen is not None else ()

    def region_of(self, id: str) -> str:
        """Return the region that a request went to, or the first one chosen for it."""
        server = self._went.get(id)
        if server is not None:
            return self.config.region(server)
        chosen = self._chosen.get(id)
        return chosen.regions[0] if chosen is not None and chosen.regions else ""

    def servers(self, tenant: str, cls: str, id: str, now: int, out: tuple[str, ...]) -> tuple[tuple[str, ...], ...]:
        """Return the servers for a new charge, by region in order; charges do not explore."""
        promise = self.config.objective_for(tenant, cls)
        regions = self._spread(id, out) if promise is None else self._order(now, id, promise, False, out)
        return tuple(self._servers.get(region, ()) for region in regions)

    def went(self, id: str, server: str) -> None:
        """Record the server that a request is sent to."""
        if id in self._chosen:
            self._went[id] = server

    def ended(self, now: int, id: str, good: bool) -> None:
        """Count a finished request, at the member that answers its caller."""
        chosen = self._chosen.pop(id, None)
        if chosen is None:
            return
        server = self._went.pop(id, None)
        region = self.config.region(server) if server is not None else (chosen.regions or ("",))[0]
        took = now - chosen.began_us
        self.counters.record(now, chosen.objective, chosen.class_name, region, took, good)
        if chosen.objective is not None:
            own = self._own.setdefault(region, [0.0, 0.0, float(now)])
            kept = 0.5 ** (max(0.0, now - own[2]) / LOCAL_HALF_LIFE_US)
            late = not (good and took <= chosen.objective.target_us)
            own[:] = [own[0] * kept + (not late), own[1] * kept + late, float(now)]

    def caller_left(self, now: int, id: str) -> None:
        """Count a request whose caller left as late if it had waited for longer than the target."""
        chosen = self._chosen.get(id)
        if chosen is not None and chosen.objective is not None and now - chosen.began_us > chosen.objective.target_us:
            self.ended(now, id, False)
        else:
            self._chosen.pop(id, None)
            self._went.pop(id, None)

    # Inside

    def _spread(
        self, id: str, out: tuple[str, ...], level: Callable[[str], float] = lambda region: 1.0
    ) -> tuple[str, ...]:
        weights = {
            name: sum(one not in out for one in self._servers[name]) * min(1.0, level(name)) + 1e-9
            for name in self.names
        }
        draw = hash_fraction(f"region {id}") * sum(weights.values())
        first = self.names[-1]
        for name, weight in weights.items():
            if draw < weight:
                first = name
                break
            draw -= weight
        return (first, *(name for name in self.names if name != first))

    def _order(self, now: int, id: str, promise: Objective, safe: bool, out: tuple[str, ...]) -> tuple[str, ...]:
        known = self._plans.get((promise.tenant, promise.class_name))
        if known is not None:
            shares = [one for one in known[1].shares if one[0] in promise.regions]
        else:
            first = next((one for one in promise.regions if not self._bad_here(now, one)), promise.regions[0])
            shares = [(first, 1.0)]
        draw, first = hash_fraction(f"region {id}"), shares[0][0] if shares else promise.regions[0]
        for region, share in shares:
            if draw < share:
                first = region
                break
            draw -= share
        unused = [one for one in promise.regions if one not in dict(shares)]
        explores = safe and bool(unused) and hash_fraction(f"explore {id}") < EXPLORATION_SHARE
        if explores:
            first = unused[int(hash_fraction(f"which {id}") * len(unused))]
        rest = sorted(
            (one for one in promise.regions if one != first),
            key=lambda one: (one not in dict(shares), promise.regions.index(one)),
        )
        line = [first, *rest]
        # An exploring request may be the trial of a removed server; otherwise its recovery would go unnoticed.
        up = [
            one
            for one in line
            if explores and one == first or any(name not in out for name in self._servers.get(one, ()))
        ]
        return (*up, *(one for one in line if one not in up))

    def _bad_here(self, now: int, region: str) -> bool:
        own = self._own.get(region)
        if own is None:
            return False
        kept = 0.5 ** (max(0.0, now - own[2]) / LOCAL_HALF_LIFE_US)
        return (own[0] + own[1]) * kept >= MIN_LOCAL_SAMPLES and own[1] > MAX_LATE_SHARE * (own[0] + own[1])
