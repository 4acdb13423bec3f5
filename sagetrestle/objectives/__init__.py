"""What tenants are promised, what is left of it, and which region serves whom. Free of I/O and clock."""

from sagetrestle.objectives.values import (
    ANY,
    BudgetReport,
    ObjectiveConfig,
    RegionPlan,
    Objective,
    Region,
    RegionReport,
    ReservationReport,
    CapacityReport,
    ServedCounts,
)

__all__ = [
    "ANY",
    "BudgetReport",
    "ObjectiveConfig",
    "RegionPlan",
    "Objective",
    "Region",
    "RegionReport",
    "ReservationReport",
    "CapacityReport",
    "ServedCounts",
]
