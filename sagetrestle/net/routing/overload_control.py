"""Joins the door of the fleet to requests: each has a place in the order, and the module is told levels and room.

Loaded only where ``deploy/fleet.toml`` has a table ``overload``; the core reaches it as ``state.fleet.overload``. With
promises each request's regions are chosen here, once, and its answer is counted where it is given.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import xxhash

from sagetrestle.net.routing import access_control
from sagetrestle.net.routing.values import Answer, Served
from sagetrestle.overload.order import Standing
from sagetrestle.overload.values import Level, LevelReport
from sagetrestle.steering.door import Door

if TYPE_CHECKING:
    from sagetrestle.net.routing.fleet_events import CapacityMeasured
    from sagetrestle.net.routing.turn import Turn
    from sagetrestle.net.routing.values import Request
    from sagetrestle.promises.values import RegionSaid
    from sagetrestle.promises.values import Served as Counted
    from sagetrestle.steering.regions import Regions

SLO_REPORT_INTERVAL_US = 1_000_000  # between two reports of what was promised


class OverloadControl:
    """A member's door, as the core has it. ``out`` names the servers that take no work, ``parked`` what waits there."""

    def __init__(
        self,
        admission: Door,
        regions: Regions | None = None,
        out: Callable[[], tuple[str, ...]] = lambda: (),
        parked: Callable[[], tuple[str, ...]] = lambda: (),
    ) -> None:
        self.admission, self.regions, self._out, self._parked = admission, regions, out, parked
        self._in_use: Mapping[str, int] = {}
        self._report_us = 0

    def prioritize(self, turn: Turn, request: Request) -> tuple[float, int, int]:
        """Return a request's place in the order of all, when it is to come back if it is turned away, and its region.

        What is promised goes before what is not of the same worth; one that can not be kept, and is to be refused
        then, is past all levels.
        """
        classes = turn.state.plan.settings.classes
        most = max(cls.worth for cls in classes) or 1.0
        client = request.tenant or str(access_control.fairness_caller(request))
        said = request.key or f"{xxhash.xxh3_64_intdigest(request.body):x}"
        ran = turn.state.keys.ran_in_window(request)
        one = Standing(classes[request.class_index].worth / most, client, said, request.retry)
        region = ""
        if self.regions is not None:
            cls = classes[request.class_index].name
            chosen = self.regions.choose(
                turn.now,
                request.id,
                access_control.slo_subject(request),
                cls,
                request.key is None,
                self._out(),
                lambda name: self.admission.level(name).level,
            )
            region = chosen.regions[0]
            if (promise := chosen.promise) is not None:
                one = one._replace(promised=True)
                if promise.refuses and not ran and not self.regions.kept(turn.now, promise):
                    return *self.admission.refused(turn.unix(), one), self.admission.regions.index(region)
        place, back = self.admission.placed(turn.now, turn.unix(), one, ran, region)
        return place, back, self.admission.regions.index(region)

    def answer_sent(self, turn: Turn, request: Request, answer: Answer) -> None:
        """Count an answer against what was promised."""
        if self.regions is not None:
            self.regions.ended(turn.now, request.id, isinstance(answer, Served))

    def request_withdrawn(self, turn: Turn, request: Request) -> None:
        """Count a request whose caller left."""
        if self.regions is not None:
            self.regions.left(turn.now, request.id)

    def tick(self, turn: Turn) -> list[LevelReport]:
        """Return the reports that are due."""
        policy = turn.state.policy
        waiting = policy.waiting_count if policy is not None else 0
        before = self.admission.room()
        parked = Counter(self.regions.region_of(id) for id in self._parked()) if self.regions is not None else None
        reports = self.admission.passed(turn.now, waiting, self._by_region(self._in_use), parked)
        if self.admission.room() != before:
            turn.events.append(self.admission.room())
        return reports

    def slo_report(self, turn: Turn) -> tuple[list[Counted], list[tuple[str, str, RegionSaid]]] | None:
        """Return what was counted of promises, and seen of regions, where that is due."""
        if self.regions is None or turn.now < self._report_us:
            return None
        self._report_us = turn.now + SLO_REPORT_INTERVAL_US
        return self.regions.counts.report(), list(self.regions.counts.lines(turn.now))

    def capacity_measured(self, turn: Turn, what: CapacityMeasured) -> None:
        """Take what room there is, for the module."""
        self._in_use = what.in_use
        self.admission.did(self._by_region(what.done))
        self.admission.has(what.slots, what.cores)
        turn.events.append(self.admission.room())

    def level_received(self, turn: Turn, level: Level, age_us: int = 0, region: str = "") -> None:
        """Take a region's level, which is so old, for the module."""
        self.admission.told(turn.now - age_us, level, region)
        turn.events.append(self.admission.room())

    def _by_region(self, counts: Mapping[str, int]) -> Counter[str]:
        found: Counter[str] = Counter()
        for server, count in counts.items():
            found[self.regions.contracts.region(server) if self.regions is not None else ""] += count
        return found
