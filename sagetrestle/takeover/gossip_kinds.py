"""The kinds of rows that members share by the picture, and how each is kept."""

from __future__ import annotations

import msgspec

from sagetrestle.gossip import RowPolicy
from sagetrestle.objectives.values import BudgetReport, RegionReport, ReservationReport, CapacityReport
from sagetrestle.health_decisions import ORDER_POLICY, REPORT_POLICY, OperatorOrder, HealthObservation

LEVEL_AGE_US = 2_000_000  # past which a level that was heard counts no more
REMOVED_US = 60_000_000  # over which removals are counted against their budget
BUDGET_US = 40 * 86_400_000_000  # a promise's window is shorter than this
HEALTH_US = 900_000_000  # past which a server's penalty is nothing (it halves each 20 s)


class LevelRow(msgspec.Struct, frozen=True, array_like=True):
    """A region's level as its decider in an epoch says it."""

    epoch: int
    level: float
    heavy: tuple[tuple[str, float], ...]


class HealthRow(msgspec.Struct, frozen=True, array_like=True):
    """How a start of a server stands, as its granter in an epoch says it."""

    boot: int
    epoch: int
    penalty: float
    stage: int
    episodes: int


class RemovalRow(msgspec.Struct, frozen=True, array_like=True):
    """A server was removed for the fleet, when the row began."""

    region: str


KINDS = {
    "voice": (HealthObservation, REPORT_POLICY),
    "order": (OperatorOrder, ORDER_POLICY),
    "level": (LevelRow, RowPolicy(500_000, 10_000_000, max_rows=256)),
    "health": (HealthRow, RowPolicy(1_000_000, HEALTH_US, reconciled=True, persistent=True, max_rows=10_000)),
    "region": (RegionReport, RowPolicy(1_000_000, 20_000_000, from_all_members=True)),
    "room": (CapacityReport, RowPolicy(1_000_000, 20_000_000, max_rows=4_000)),
    "reserve": (ReservationReport, RowPolicy(0, 10_000_000, max_rows=4_000)),
    "budget": (BudgetReport, RowPolicy(1_000_000, BUDGET_US, reconciled=True, persistent=True, max_rows=20_000)),
    "removal": (RemovalRow, RowPolicy(0, REMOVED_US, reconciled=True, max_rows=2_000)),
}
