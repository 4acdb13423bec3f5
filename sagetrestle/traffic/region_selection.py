"""Selects the regions of a request, in order: by its tenant's plan with some exploration, else by local counts.

The choice is a hash of the request, so admission, retries and counters agree on it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from sagetrestle.overload.priority import hash_fraction
from sagetrestle.objectives.counts import ObjectiveCounters
from sagetrestle.objectives.values import ObjectiveConfig, RegionPlan, Objective

EXPLORATION_SHARE = 0.02  # part of safe requests sent to an allowed region that has no share in the plan
PLAN_TTL_US = 20_000_000  # after this a plan's "not attainable" is ignored; its shares still apply
MAX_CHOICES = 20_000  # maximum number of requests in progress with a stored choice
MAX_LATE_SHARE = 0.5  # share of late answers above which a region is avoided while there is no plan
MIN_LOCAL_SAMPLES = 8.0  # minimum number of recent answers for that
LOCAL_HALF_LIFE_US = 4_000_000  # half-life of this member's counts by region


class RegionChoice(NamedTuple):
    """The choice for a request: its objective, and regions in order."""

    objective: Objective | None
    class_name: str
    regions: tuple[str, ...]
    began_us: int


class RegionSelector:
    """One member's selection of regions."""

    def __init__(self, config: ObjectiveConfig) -> None:
        self.config, self.counters = config, ObjectiveCounters()
        self.names = tuple(region.name for region in config.regions)
        self._servers = {region.name: region.servers for region in config.regions}
        self._plans: dict[tuple[str, str], tuple[int, RegionPlan]] = {}
        self._chosen: OrderedDict[str, RegionChoice] = OrderedDict()
        self._sent_to: dict[str, str] = {}  # by request: the server to which it was sent last
        # By region: good and late answers at this member, with decay, and the time of the counts.
        self._local_counts: dict[str, list[float]] = {}

    def apply_plans(self, now: int, plans: tuple[RegionPlan, ...]) -> None:
        """Store plans of known objectives."""
        for plan in plans:
            if (plan.tenant, plan.class_name) in self.config.objectives:
                self._plans[(plan.tenant, plan.class_name)] = (now, plan)

    def choose(
        self,
        now: int,
        id: str,
        tenant: str,
        class_name: str,
        safe: bool,
        unavailable: tuple[str, ...],
        level: Callable[[str], float] = lambda region: 1.0,
    ) -> RegionChoice:
        """Choose the regions of a request, in order; ``unavailable`` are servers that accept no requests.

        Requests without an objective go to any region, weighted by its servers and, while it sheds, by its ``level``.
        """
        objective = self.config.objective_for(tenant, class_name)
        regions = (
            self._order_by_capacity(id, unavailable, level)
            if objective is None
            else self._order_by_plan(now, id, objective, safe, unavailable)
        )
        chosen = self._chosen[id] = RegionChoice(objective, class_name, regions, now)
        while len(self._chosen) > MAX_CHOICES:
            oldest, _ = self._chosen.popitem(last=False)
            self._sent_to.pop(oldest, None)
        return chosen

    def can_meet(self, now: int, objective: Objective) -> bool:
        """Tell whether an objective can be met now, according to its decider's last plan."""
        stored_plan = self._plans.get((objective.tenant, objective.class_name))
        return stored_plan is None or stored_plan[1].attainable or now - stored_plan[0] > PLAN_TTL_US

    def groups(self, id: str) -> tuple[tuple[str, ...], ...]:
        """Return the servers of a request, by region in order; empty if it may go to any server."""
        chosen = self._chosen.get(id)
        return tuple(self._servers.get(region, ()) for region in chosen.regions) if chosen is not None else ()

    def region_of(self, id: str) -> str:
        """Return the region that a request went to, or the first one chosen for it."""
        server = self._sent_to.get(id)
        if server is not None:
            return self.config.region(server)
        chosen = self._chosen.get(id)
        return chosen.regions[0] if chosen is not None and chosen.regions else ""

    def servers(
        self, tenant: str, class_name: str, id: str, now: int, unavailable: tuple[str, ...]
    ) -> tuple[tuple[str, ...], ...]:
        """Return the servers for a new charge, by region in order; charges do not explore."""
        objective = self.config.objective_for(tenant, class_name)
        regions = (
            self._order_by_capacity(id, unavailable)
            if objective is None
            else self._order_by_plan(now, id, objective, False, unavailable)
        )
        return tuple(self._servers.get(region, ()) for region in regions)

    def record_server(self, id: str, server: str) -> None:
        """Record the server that a request is sent to."""
        if id in self._chosen:
            self._sent_to[id] = server

    def request_finished(self, now: int, id: str, good: bool) -> None:
        """Count a finished request; called at the member that answers the caller."""
        chosen = self._chosen.pop(id, None)
        if chosen is None:
            return
        server = self._sent_to.pop(id, None)
        region = self.config.region(server) if server is not None else (chosen.regions or ("",))[0]
        took_us = now - chosen.began_us
        self.counters.record(now, chosen.objective, chosen.class_name, region, took_us, good)
        if chosen.objective is not None:
            counts = self._local_counts.setdefault(region, [0.0, 0.0, float(now)])
            decay = 0.5 ** (max(0.0, now - counts[2]) / LOCAL_HALF_LIFE_US)
            late = not (good and took_us <= chosen.objective.target_us)
            counts[:] = [counts[0] * decay + (not late), counts[1] * decay + late, float(now)]

    def caller_left(self, now: int, id: str) -> None:
        """Count a request whose caller left as late if it had waited for longer than the target."""
        chosen = self._chosen.get(id)
        if chosen is not None and chosen.objective is not None and now - chosen.began_us > chosen.objective.target_us:
            self.request_finished(now, id, False)
        else:
            self._chosen.pop(id, None)
            self._sent_to.pop(id, None)

    # Internal

    def _order_by_capacity(
        self, id: str, unavailable: tuple[str, ...], level: Callable[[str], float] = lambda region: 1.0
    ) -> tuple[str, ...]:
        weights = {
            name: sum(server not in unavailable for server in self._servers[name]) * min(1.0, level(name)) + 1e-9
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

    def _order_by_plan(
        self, now: int, id: str, objective: Objective, safe: bool, unavailable: tuple[str, ...]
    ) -> tuple[str, ...]:
        stored_plan = self._plans.get((objective.tenant, objective.class_name))
        if stored_plan is not None:
            shares = [entry for entry in stored_plan[1].shares if entry[0] in objective.regions]
        else:
            first = next(
                (candidate for candidate in objective.regions if not self._is_bad_locally(now, candidate)),
                objective.regions[0],
            )
            shares = [(first, 1.0)]
        draw, first = hash_fraction(f"region {id}"), shares[0][0] if shares else objective.regions[0]
        for region, share in shares:
            if draw < share:
                first = region
                break
            draw -= share
        unused = [candidate for candidate in objective.regions if candidate not in dict(shares)]
        explores = safe and bool(unused) and hash_fraction(f"explore {id}") < EXPLORATION_SHARE
        if explores:
            first = unused[int(hash_fraction(f"which {id}") * len(unused))]
        rest = sorted(
            (candidate for candidate in objective.regions if candidate != first),
            key=lambda candidate: (candidate not in dict(shares), objective.regions.index(candidate)),
        )
        order = [first, *rest]
        # An exploring request may be the trial of a removed server, whose recovery would otherwise go unnoticed.
        up = [
            candidate
            for candidate in order
            if explores
            and candidate == first
            or any(name not in unavailable for name in self._servers.get(candidate, ()))
        ]
        return (*up, *(candidate for candidate in order if candidate not in up))

    def _is_bad_locally(self, now: int, region: str) -> bool:
        counts = self._local_counts.get(region)
        if counts is None:
            return False
        decay = 0.5 ** (max(0.0, now - counts[2]) / LOCAL_HALF_LIFE_US)
        return (counts[0] + counts[1]) * decay >= MIN_LOCAL_SAMPLES and counts[1] > MAX_LATE_SHARE * (
            counts[0] + counts[1]
        )
