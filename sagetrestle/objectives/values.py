"""The words of promises. Times are microseconds; shares are parts of 1; rates are a second."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from typing import NamedTuple

import msgspec

ANY = "*"


class Region(NamedTuple):
    """Where servers are: what a request costs there, in any unit, and where its data are kept."""

    name: str
    servers: tuple[str, ...]
    cost: float = 1.0
    residency: str = ""


class Objective(NamedTuple):
    """``share`` of a tenant's requests of a class are answered well within ``target_us``, over each window.

    ``regions`` are those allowed, the one preferred first; ``refuses``: where it can not be kept requests are turned
    away at once instead of being served late. ``worth`` weighs it against others where not all can be kept.
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
    """All regions and promises, as the operators' file has them; the same at all members."""

    regions: tuple[Region, ...]
    objectives: dict[tuple[str, str], Objective] = field(default_factory=dict)

    def objective_for(self, tenant: str, cls: str) -> Objective | None:
        """Return the promise that holds for a request: of its class, or of all of the tenant's."""
        return self.objectives.get((tenant, cls)) or self.objectives.get((tenant, ANY))

    def region(self, server: str) -> str:
        """Return the region of a server; one in no region is in the one without a name."""
        return self._where.get(server, "")

    @cached_property
    def _where(self) -> dict[str, str]:
        return {name: one.name for one in self.regions for name in one.servers}

    def costs(self) -> dict[str, float]:
        """Return what a request costs by region."""
        return {one.name: one.cost for one in self.regions}


class ServedCounts(msgspec.Struct, frozen=True, array_like=True):
    """What became of a tenant's requests of a class in a region, counted from the start of a member's life."""

    tenant: str
    class_name: str
    region: str
    good: int
    late: int


class RegionPlan(msgspec.Struct, frozen=True, array_like=True):
    """A tenant's plan for a class: shares by region, summing to 1, and whether the promise can be kept now."""

    tenant: str
    class_name: str
    shares: tuple[tuple[str, float], ...]
    attainable: bool = True


class RegionReport(msgspec.Struct, frozen=True, array_like=True):
    """What a member saw of a class in a region lately: requests a second, and how long they took (an HdrHistogram)."""

    per_s: float
    times: bytes


class CapacityReport(msgspec.Struct, frozen=True, array_like=True):
    """What a server's granter found: how many requests at once it bears, and its delay without a queue."""

    limit: float
    base_us: float
    out: bool  # removed, or tried


class ReservationReport(msgspec.Struct, frozen=True, array_like=True):
    """What a decider is about to move into a region, requests a second, counted for ``RESERVE_US``."""

    per_s: float


class BudgetReport(msgspec.Struct, frozen=True, array_like=True):
    """What counted against a promise in one of its windows, as its decider in an epoch has it."""

    epoch: int
    window: int  # its number since 1970
    good: int
    late: int
    breached: bool
    shares: tuple[tuple[str, float], ...]
