"""Latency objectives of tenants (SLOs), their error budgets and the plans of regions. Free of I/O and clock."""

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
