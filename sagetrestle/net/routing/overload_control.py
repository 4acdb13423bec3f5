"""Connects the fleet's admission control to requests: ranks each one, and passes levels and capacity to the policy.

Loaded only if ``deploy/fleet.toml`` has a table ``overload``; the core reaches it as ``state.fleet.overload``. With
service level objectives, the region of each request is chosen here, once, and its answer is counted when it is sent.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import xxhash

from sagetrestle.net.routing import access_control
from sagetrestle.net.routing.values import Answer, Served
from sagetrestle.overload.priority import PriorityInputs
from sagetrestle.overload.values import AdmissionLevel, AdmissionReport
from sagetrestle.traffic.admission import AdmissionController

if TYPE_CHECKING:
    from sagetrestle.net.routing.fleet_events import CapacityMeasured
    from sagetrestle.net.routing.turn import Turn
    from sagetrestle.net.routing.values import Request
    from sagetrestle.objectives.values import RegionReport
    from sagetrestle.objectives.values import ServedCounts as Counted
    from sagetrestle.traffic.region_selection import RegionSelector

SLO_REPORT_INTERVAL_US = 1_000_000


class OverloadControl:
    """Overload control of a member. ``out`` returns servers that accept no work, ``parked`` the requests that wait."""

    def __init__(
        self,
        admission: AdmissionController,
        regions: RegionSelector | None = None,
        out: Callable[[], tuple[str, ...]] = lambda: (),
        parked: Callable[[], tuple[str, ...]] = lambda: (),
    ) -> None:
        self.admission, self.regions, self._out, self._parked = admission, regions, out, parked
        self._in_use: Mapping[str, int] = {}
        self._report_us = 0

    def prioritize(self, turn: Turn, request: Request) -> tuple[float, int, int]:
        """Return a request's place in the admission order, its retry time if refused, and its region's index.

        Requests under an objective rank before others of the same worth. A request whose objective cannot be kept,
        and is then to be refused, ranks beyond all levels.
        """
        classes = turn.state.plan.settings.classes
        max_worth = max(request_class.worth for request_class in classes) or 1.0
        client = request.tenant or str(access_control.fairness_caller(request))
        identity = request.key or f"{xxhash.xxh3_64_intdigest(request.body):x}"
        ran = turn.state.keys.ran_in_window(request)
        standing = PriorityInputs(classes[request.class_index].worth / max_worth, client, identity, request.retry)
        region = ""
        if self.regions is not None:
            class_name = classes[request.class_index].name
            chosen = self.regions.choose(
                turn.now,
                request.id,
                access_control.slo_subject(request),
                class_name,
                request.key is None,
                self._out(),
                lambda name: self.admission.level(name).level,
            )
            region = chosen.regions[0]
            if (promise := chosen.objective) is not None:
                standing = standing._replace(has_objective=True)
                if promise.refuses and not ran and not self.regions.can_meet(turn.now, promise):
                    return *self.admission.refusal(turn.unix(), standing), self.admission.regions.index(region)
        place, retry_after = self.admission.prioritize(turn.now, turn.unix(), standing, ran, region)
        return place, retry_after, self.admission.regions.index(region)

    def answer_sent(self, turn: Turn, request: Request, answer: Answer) -> None:
        """Count an answer towards the service level objectives."""
        if self.regions is not None:
            self.regions.request_finished(turn.now, request.id, isinstance(answer, Served))

    def request_withdrawn(self, turn: Turn, request: Request) -> None:
        """Count a request whose caller left."""
        if self.regions is not None:
            self.regions.caller_left(turn.now, request.id)

    def tick(self, turn: Turn) -> list[AdmissionReport]:
        """Return the admission level reports that are due."""
        policy = turn.state.policy
        waiting = policy.waiting_count if policy is not None else 0
        before = self.admission.limits()
        parked = Counter(self.regions.region_of(id) for id in self._parked()) if self.regions is not None else None
        reports = self.admission.tick(turn.now, waiting, self._by_region(self._in_use), parked)
        if self.admission.limits() != before:
            turn.events.append(self.admission.limits())
        return reports

    def slo_report(self, turn: Turn) -> tuple[list[Counted], list[tuple[str, str, RegionReport]]] | None:
        """Return the counts of objectives and the observed state of regions, or None if no report is due."""
        if self.regions is None or turn.now < self._report_us:
            return None
        self._report_us = turn.now + SLO_REPORT_INTERVAL_US
        return self.regions.counters.take_changed(), list(self.regions.counters.region_reports(turn.now))

    def capacity_measured(self, turn: Turn, measured: CapacityMeasured) -> None:
        """Update the capacity and pass it to the policy."""
        self._in_use = measured.in_use
        self.admission.count_answered(self._by_region(measured.done))
        self.admission.set_capacity(measured.slots, measured.cores)
        turn.events.append(self.admission.limits())

    def level_received(self, turn: Turn, level: AdmissionLevel, age_us: int = 0, region: str = "") -> None:
        """Update a region's admission level, which is ``age_us`` old, and pass the capacity to the policy."""
        self.admission.apply_level(turn.now - age_us, level, region)
        turn.events.append(self.admission.limits())

    def _by_region(self, counts: Mapping[str, int]) -> Counter[str]:
        by_region: Counter[str] = Counter()
        for server, count in counts.items():
            by_region[self.regions.config.region(server) if self.regions is not None else ""] += count
        return by_region
