"""The kinds of rows that members share by the picture, and how each is kept."""

from __future__ import annotations

import msgspec

from sagetrestle.picture import Terms
from sagetrestle.promises.values import BudgetSaid, RegionSaid, ReservedSaid, RoomSaid
from sagetrestle.verdicts import ORDERS, VOICES, Order, Said

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
    "voice": (Said, VOICES),
    "order": (Order, ORDERS),
    "level": (LevelRow, Terms(500_000, 10_000_000, most=256)),
    "health": (HealthRow, Terms(1_000_000, HEALTH_US, stands=True, lasting=True, most=10_000)),
    "region": (RegionSaid, Terms(1_000_000, 20_000_000, by_all=True)),
    "room": (RoomSaid, Terms(1_000_000, 20_000_000, most=4_000)),
    "reserve": (ReservedSaid, Terms(0, 10_000_000, most=4_000)),
    "budget": (BudgetSaid, Terms(1_000_000, BUDGET_US, stands=True, lasting=True, most=20_000)),
    "removal": (RemovalRow, Terms(0, REMOVED_US, stands=True, most=2_000)),
}
