"""Joins the door of the fleet to requests: each has a place in the order, and the module is told levels and room.

Loaded only where ``deploy/fleet.toml`` has a table ``overload``; the core reaches it as ``state.fleet.strain``. With
promises each request's regions are chosen here, once, and its answer is counted where it is given.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import xxhash

from sagetrestle.net.routing import access
from sagetrestle.net.routing.values import Answer, Served
from sagetrestle.overload.order import Standing
from sagetrestle.overload.values import Level, LevelReport
from sagetrestle.steering.door import Door

if TYPE_CHECKING:
    from sagetrestle.net.routing.fleet_events import RoomFound
    from sagetrestle.net.routing.turn import Turn
    from sagetrestle.net.routing.values import Request
    from sagetrestle.promises.values import RegionSaid
    from sagetrestle.promises.values import Served as Counted
    from sagetrestle.steering.regions import Regions

REPORT_US = 1_000_000  # between two reports of what was promised


class Strain:
    """A member's door, as the core has it. ``out`` names the servers that take no work, ``parked`` what waits there."""

    def __init__(
        self,
        door: Door,
        regions: Regions | None = None,
        out: Callable[[], tuple[str, ...]] = lambda: (),
        parked: Callable[[], tuple[str, ...]] = lambda: (),
    ) -> None:
        self.door, self.regions, self._out, self._parked = door, regions, out, parked
        self._in_use: Mapping[str, int] = {}
        self._report_us = 0

    def placed(self, turn: Turn, request: Request) -> tuple[float, int, int]:
        """Return a request's place in the order of all, when it is to come back if it is turned away, and its region.

        What is promised goes before what is not of the same worth; one that can not be kept, and is to be refused
        then, is past all levels.
        """
        classes = turn.state.plan.settings.classes
        most = max(cls.worth for cls in classes) or 1.0
        client = request.tenant or str(access.caller_of(request))
        said = request.key or f"{xxhash.xxh3_64_intdigest(request.body):x}"
        ran = turn.state.keys.ran_before(request)
        one = Standing(classes[request.cls].worth / most, client, said, request.retry)
        region = ""
        if self.regions is not None:
            cls = classes[request.cls].name
            chosen = self.regions.choose(
                turn.now,
                request.id,
                access.promised_to(request),
                cls,
                request.key is None,
                self._out(),
                lambda name: self.door.level(name).level,
            )
            region = chosen.regions[0]
            if (promise := chosen.promise) is not None:
                one = one._replace(promised=True)
                if promise.refuses and not ran and not self.regions.kept(turn.now, promise):
                    return *self.door.refused(turn.unix(), one), self.door.regions.index(region)
        place, back = self.door.placed(turn.now, turn.unix(), one, ran, region)
        return place, back, self.door.regions.index(region)

    def answered(self, turn: Turn, request: Request, answer: Answer) -> None:
        """Count an answer against what was promised."""
        if self.regions is not None:
            self.regions.ended(turn.now, request.id, isinstance(answer, Served))

    def left(self, turn: Turn, request: Request) -> None:
        """Count a request whose caller left."""
        if self.regions is not None:
            self.regions.left(turn.now, request.id)

    def tick(self, turn: Turn) -> list[LevelReport]:
        """Return the reports that are due."""
        policy = turn.state.policy
        waiting = policy.waiting_count if policy is not None else 0
        before = self.door.room()
        parked = Counter(self.regions.region_of(id) for id in self._parked()) if self.regions is not None else None
        reports = self.door.passed(turn.now, waiting, self._by_region(self._in_use), parked)
        if self.door.room() != before:
            turn.events.append(self.door.room())
        return reports

    def served(self, turn: Turn) -> tuple[list[Counted], list[tuple[str, str, RegionSaid]]] | None:
        """Return what was counted of promises, and seen of regions, where that is due."""
        if self.regions is None or turn.now < self._report_us:
            return None
        self._report_us = turn.now + REPORT_US
        return self.regions.counts.report(), list(self.regions.counts.lines(turn.now))

    def found(self, turn: Turn, what: RoomFound) -> None:
        """Take what room there is, for the module."""
        self._in_use = what.in_use
        self.door.did(self._by_region(what.done))
        self.door.has(what.slots, what.cores)
        turn.events.append(self.door.room())

    def told(self, turn: Turn, level: Level, age_us: int = 0, region: str = "") -> None:
        """Take a region's level, which is so old, for the module."""
        self.door.told(turn.now - age_us, level, region)
        turn.events.append(self.door.room())

    def _by_region(self, counts: Mapping[str, int]) -> Counter[str]:
        found: Counter[str] = Counter()
        for server, count in counts.items():
            found[self.regions.contracts.region(server) if self.regions is not None else ""] += count
        return found
