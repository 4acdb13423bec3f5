"""Types of health decisions. Times of orders are Unix microseconds; times of reports are by the holder's clock."""

from __future__ import annotations

import msgspec

REPORT_TTL_US = 5_000_000  # a report does not count after this time; then a member's own evidence counts again
RETENTION_US = 60_000_000  # reports and orders that ended are deleted after this time
MIN_FAILURES = 3  # minimum number of failures for a negative report


class Subject(msgspec.Struct, frozen=True, array_like=True):
    """The subject of a decision: its kind (``server``, ``class``), its name, and the start of it that is meant."""

    kind: str
    name: str
    boot: int = 0


class HealthObservation(msgspec.Struct, frozen=True, array_like=True):
    """A report as a gossiped row: the reporter's zone, and its recent successes and failures with the subject."""

    zone: str
    good: int
    bad: int

    @property
    def is_negative(self) -> bool:
        """Tell whether the report is against its subject."""
        return self.bad >= MIN_FAILURES and self.bad >= self.good


class HealthReport(msgspec.Struct, frozen=True, array_like=True):
    """A member's report on a subject; of several reports by one member the latest counts."""

    subject: Subject
    reporter: str  # id of a member
    zone: str
    number: int
    at_us: int
    good: int
    bad: int

    @property
    def is_negative(self) -> bool:
        """Tell whether the report is against its subject."""
        return self.bad >= MIN_FAILURES and self.bad >= self.good


class OperatorOrder(msgspec.Struct, frozen=True, array_like=True):
    """An operator's order on a subject; the highest version applies, and of equal ones the greatest operator name.

    It applies until it is lifted or ``until_us`` is reached, however long a member was partitioned.
    """

    subject: Subject
    version: int
    on: bool
    at_us: int
    until_us: int
    operator: str
    reason: str
