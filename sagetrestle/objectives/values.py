"""Types of latency objectives. Times are microseconds, shares are parts of 1, rates are per second."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from typing import NamedTuple

import msgspec

ANY = "*"  # in place of a class: all classes of the tenant


class Region(NamedTuple):
    """A region: its servers, the relative cost of a request, and the jurisdiction in which its data are stored."""

    name: str
    servers: tuple[str, ...]
    cost: float = 1.0
    residency: str = ""


class Objective(NamedTuple):
    """A latency objective: in each window ``share`` of a tenant's requests of a class are served within ``target_us``.

    ``regions`` are the allowed regions, the preferred one first. ``refuses``: while the objective can not be met,
    requests are rejected at once instead of being served late. ``worth`` is its weight while not all objectives can be
    met.
    """

    tenant: str
    class_name: str
    share: float
    target_us: int
    window_us: int
    regions: tuple[str, ...]
    refuses: bool = False
    worth: float = 1.0


@dataclass(frozen=True)
class ObjectiveConfig:
    """All regions and objectives of the operators' file; the same at all members."""

    regions: tuple[Region, ...]
    objectives: dict[tuple[str, str], Objective] = field(default_factory=dict)

    def objective_for(self, tenant: str, class_name: str) -> Objective | None:
        """Return the objective for a request: that of its class, or that of all classes of the tenant."""
        return self.objectives.get((tenant, class_name)) or self.objectives.get((tenant, ANY))

    def region(self, server: str) -> str:
        """Return the region of a server, or an empty name if it is in none."""
        return self._region_by_server.get(server, "")

    @cached_property
    def _region_by_server(self) -> dict[str, str]:
        return {name: region.name for region in self.regions for name in region.servers}

    def costs(self) -> dict[str, float]:
        """Return the cost of a request by region."""
        return {region.name: region.cost for region in self.regions}


class ServedCounts(msgspec.Struct, frozen=True, array_like=True):
    """A tenant's good and late requests of a class in a region, counted since the start of the member."""

    tenant: str
    class_name: str
    region: str
    good: int
    late: int


class RegionPlan(msgspec.Struct, frozen=True, array_like=True):
    """A tenant's plan for a class: shares by region, summing to 1, and whether the objective can be met now."""

    tenant: str
    class_name: str
    shares: tuple[tuple[str, float], ...]
    attainable: bool = True


class RegionReport(msgspec.Struct, frozen=True, array_like=True):
    """A member's recent measurements of a class in a region: requests per second, and response times (HdrHistogram)."""

    per_s: float
    histogram: bytes


class CapacityReport(msgspec.Struct, frozen=True, array_like=True):
    """A server's capacity as its granter estimates it: concurrency limit, and delay without a queue."""

    limit: float
    base_us: float
    unavailable: bool  # the server is removed or on trial


class ReservationReport(msgspec.Struct, frozen=True, array_like=True):
    """The load that a decider is moving into a region, in requests per second; counts for ``RESERVATION_TTL_US``."""

    per_s: float


class BudgetReport(msgspec.Struct, frozen=True, array_like=True):
    """The state of an objective's error budget in one window, from its decider in an epoch."""

    epoch: int
    window: int  # number of the window since 1970
    good: int
    late: int
    breached: bool
    shares: tuple[tuple[str, float], ...]
