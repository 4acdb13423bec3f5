"""The words of verdicts. An order's times are Unix microseconds; a voice's is on the clock of whoever holds it."""

from __future__ import annotations

import msgspec

REPORT_TTL_US = 5_000_000  # past which a voice counts no more: one's own evidence counts again
RETENTION_US = 60_000_000  # past which a voice, or an order that ended, is forgotten
MIN_FAILURES = 3  # failures before a witness speaks against a server


class Subject(msgspec.Struct, frozen=True, array_like=True):
    """Whom a verdict is on: a kind (``server``, ``class``), a name, and which start of it."""

    kind: str
    name: str
    boot: int = 0


class HealthObservation(msgspec.Struct, frozen=True, array_like=True):
    """What a witness says of a subject, as the picture carries it: its zone, and what it saw lately, good and bad."""

    zone: str
    good: int
    bad: int

    @property
    def is_negative(self) -> bool:
        """Tell whether it speaks against its subject."""
        return self.bad >= MIN_FAILURES and self.bad >= self.good


class HealthReport(msgspec.Struct, frozen=True, array_like=True):
    """What one witness saw of a subject lately; of one witness's voices on it the latest counts."""

    subject: Subject
    reporter: str  # a member's id
    zone: str
    number: int
    at_us: int
    good: int
    bad: int

    @property
    def is_negative(self) -> bool:
        """Tell whether it speaks against its subject."""
        return self.bad >= MIN_FAILURES and self.bad >= self.good


class OperatorOrder(msgspec.Struct, frozen=True, array_like=True):
    """What an operator decided on a subject; the highest version counts, and of equal ones the later name.

    It stays in force until it is lifted or ``until_us`` comes, however long its holder was cut off.
    """

    subject: Subject
    version: int
    on: bool
    at_us: int
    until_us: int
    operator: str
    reason: str
