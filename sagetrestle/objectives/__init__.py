"""What tenants are promised, what is left of it, and which region serves whom. Free of I/O and clock."""

from sagetrestle.objectives.values import (
    ANY,
    BudgetSaid,
    Contracts,
    Planned,
    Promise,
    Region,
    RegionSaid,
    ReservedSaid,
    RoomSaid,
    Served,
)

__all__ = [
    "ANY",
    "BudgetSaid",
    "Contracts",
    "Planned",
    "Promise",
    "Region",
    "RegionSaid",
    "ReservedSaid",
    "RoomSaid",
    "Served",
]
