"""Health reports of members and orders of operators, spread as gossiped rows, and the decisions that follow from them.

A member reports on a subject only if its own report or another member's is negative, so a healthy fleet sends nothing.
"""

from __future__ import annotations

from sagetrestle.gossip import GossipStore, RowPolicy
from sagetrestle.health_decisions.evaluation import unhealthy_subjects
from sagetrestle.health_decisions.values import (
    REPORT_TTL_US,
    RETENTION_US,
    OperatorOrder,
    HealthObservation,
    Subject,
    HealthReport,
)

REPORT_INTERVAL_US = 1_000_000  # interval between reports on a subject that has a negative report
OBSERVATION_HALF_LIFE_US = 2_500_000  # half-life of observed results
MAX_REPORTS, MAX_ORDERS = 20_000, 1_000
ORDER_TTL_US = 10 * 366 * 86_400_000_000  # an order applies until it is lifted, however long a member was partitioned
REPORT_POLICY = RowPolicy(REPORT_INTERVAL_US, RETENTION_US, max_rows=MAX_REPORTS)
ORDER_POLICY = RowPolicy(0, ORDER_TTL_US, reconciled=True, persistent=True, max_rows=MAX_ORDERS)


def subject_key(subject: Subject) -> str:
    """Return the name of a subject in rows."""
    return f"{subject.kind}\0{subject.name}\0{subject.boot}"


class HealthDecisions:
    """The reports and orders known to one member. ``now`` is monotonic, ``unix`` the time of day, in microseconds."""

    def __init__(self, zone: str, picture: GossipStore) -> None:
        self.zone, self.picture = zone, picture
        self.multi_zone = False  # whether the fleet has several zones
        self.unhealthy: frozenset[Subject] = frozenset()
        self._seen: dict[Subject, tuple[float, float, int]] = {}  # successes, failures, and the time of the counts
        self._number = 0
        self._sweep_us = 0
        self._voices: tuple[int, dict[tuple[Subject, str], HealthReport]] = (-1, {})
        self._orders: tuple[int, dict[Subject, OperatorOrder]] = (-1, {})

    @property
    def reports(self) -> dict[tuple[Subject, str], HealthReport]:
        """Return the known reports; their ``at_us`` is on this member's monotonic clock."""
        if self._voices[0] != (number := self.picture.change_count("voice")):
            found = {}
            for key, known in self.picture.rows_of("voice", 0, ORDER_TTL_US):
                kind, name, boot = key.subject.split("\0")
                one = HealthReport(
                    Subject(kind, name, int(boot)),
                    f"{key.origin}@{known.row.life}",
                    known.value.zone,
                    known.row.version,
                    known.born_us,
                    known.value.good,
                    known.value.bad,
                )
                found[(one.subject, one.reporter)] = one
            self._voices = (number, found)
        return self._voices[1]

    @property
    def orders(self) -> dict[Subject, OperatorOrder]:
        """Return the operators' orders, for each subject the one that applies."""
        if self._orders[0] != (number := self.picture.change_count("order")):
            self._orders = (
                number,
                {known.value.subject: known.value for _, known in self.picture.rows_of("order", 0, ORDER_TTL_US)},
            )
        return self._orders[1]

    # Results observed here, and operators' orders

    def record_outcomes(self, now: int, unix: int, subject: Subject, good: int, bad: int) -> None:
        """Add the results of requests to a subject since the last call."""
        was_good, was_bad, at = self._seen.get(subject, (0.0, 0.0, now))
        kept = 0.5 ** (max(0, now - at) / OBSERVATION_HALF_LIFE_US)
        self._seen[subject] = (was_good * kept + good, was_bad * kept + bad, now)
        self._speak(now, unix, subject)

    def issue_order(
        self, now: int, unix: int, subject: Subject, on: bool, until_us: int, who: str, why: str
    ) -> OperatorOrder:
        """Publish an operator's order, which replaces all earlier ones on the subject."""
        version = self.orders[subject].version + 1 if subject in self.orders else max(1, unix)
        one = OperatorOrder(subject, version, on, unix, until_us, who, why)
        self.picture.write_register(now, unix, "order", subject_key(subject), one, version, who)
        return one

    def active_order(self, unix: int, subject: Subject) -> OperatorOrder | None:
        """Return the order on a subject if it is on and has not expired."""
        one = self.orders.get(subject)
        return one if one is not None and one.on and (not one.until_us or unix < one.until_us) else None

    def tick(self, now: int, unix: int) -> None:
        """Refresh this member's reports on subjects with negative reports, and delete what has expired."""
        for subject in {
            one.subject for one in self.reports.values() if one.is_negative and now - one.at_us <= REPORT_TTL_US
        }:
            mine = self._mine(subject)
            if subject in self._seen and (mine is None or now - mine.at_us >= REPORT_INTERVAL_US):
                self._speak(now, unix, subject)
        if now >= self._sweep_us:
            self._sweep_us = now + REPORT_INTERVAL_US
            for subject in [subject for subject, one in self._seen.items() if now - one[2] > RETENTION_US]:
                del self._seen[subject]
            # Kept for a while after its end, as an older copy may still arrive.
            self.picture.forget(
                "order",
                lambda one: (
                    bool(one.until_us or not one.on) and unix - max(one.at_us, one.until_us) > 60 * RETENTION_US
                ),
            )

    def newly_unhealthy(self, now: int) -> tuple[Subject, ...]:
        """Return the subjects that are unhealthy now and were not at the last call."""
        before, self.unhealthy = self.unhealthy, frozenset()
        if self.reports:
            self.unhealthy = unhealthy_subjects(self.reports.values(), now, REPORT_TTL_US, self.multi_zone)
        return tuple(sorted(self.unhealthy - before, key=lambda one: (one.kind, one.name, one.boot)))

    # Inside

    def _mine(self, subject: Subject) -> HealthReport | None:
        return self.reports.get((subject, f"{self.picture.name}@{self.picture.life}"))

    def _speak(self, now: int, unix: int, subject: Subject) -> None:
        """Publish the recent results if they, or another member's report, are against the subject."""
        was_good, was_bad, at = self._seen[subject]
        kept = 0.5 ** (max(0, now - at) / OBSERVATION_HALF_LIFE_US)
        good, bad = round(was_good * kept), round(was_bad * kept)
        if not good and not bad:
            return
        mine, said = self._mine(subject), HealthObservation(self.zone, good, bad)
        if mine is not None and mine.is_negative == said.is_negative and now - mine.at_us < REPORT_INTERVAL_US:
            return
        if (
            not said.is_negative
            and (mine is None or not mine.is_negative)
            and not any(
                one.is_negative and one.subject == subject and now - one.at_us <= REPORT_TTL_US
                for one in self.reports.values()
            )
        ):
            return
        self.picture.publish(now, unix, "voice", subject_key(subject), said, at_once=True)
