"""Fleet-wide health decisions, from reports of independent members or by operators. Free of I/O and clock."""

from sagetrestle.health_decisions.evaluation import unhealthy_subjects
from sagetrestle.health_decisions.reports import ORDER_POLICY, REPORT_POLICY, HealthDecisions
from sagetrestle.health_decisions.values import REPORT_TTL_US, OperatorOrder, HealthObservation, Subject, HealthReport

__all__ = [
    "REPORT_TTL_US",
    "ORDER_POLICY",
    "REPORT_POLICY",
    "OperatorOrder",
    "HealthObservation",
    "HealthDecisions",
    "Subject",
    "HealthReport",
    "unhealthy_subjects",
]
