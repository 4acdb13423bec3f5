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
MAX_REPORTS = 20_000
MAX_ORDERS = 1_000
ORDER_TTL_US = 10 * 366 * 86_400_000_000  # an order applies until it is lifted, however long a member was partitioned
REPORT_POLICY = RowPolicy(REPORT_INTERVAL_US, RETENTION_US, max_rows=MAX_REPORTS)
ORDER_POLICY = RowPolicy(0, ORDER_TTL_US, reconciled=True, persistent=True, max_rows=MAX_ORDERS)


def subject_key(subject: Subject) -> str:
    """Return the name of a subject in rows."""
    return f"{subject.kind}\0{subject.name}\0{subject.boot}"


class HealthDecisions:
    """The reports and orders known to one member. ``now`` is monotonic, ``unix`` the time of day, in microseconds."""

    def __init__(self, zone: str, store: GossipStore) -> None:
        self.zone, self.store = zone, store
        self.multi_zone = False  # whether the fleet has several zones
        self.unhealthy: frozenset[Subject] = frozenset()
        self._observed: dict[Subject, tuple[float, float, int]] = {}  # successes, failures, and the time of the counts
        self._number = 0
        self._sweep_us = 0
        self._report_cache: tuple[int, dict[tuple[Subject, str], HealthReport]] = (-1, {})
        self._order_cache: tuple[int, dict[Subject, OperatorOrder]] = (-1, {})

    @property
    def reports(self) -> dict[tuple[Subject, str], HealthReport]:
        """Return the known reports; their ``at_us`` is on this member's monotonic clock."""
        if self._report_cache[0] != (number := self.store.change_count("voice")):
            found = {}
            for key, stored in self.store.rows_of("voice", 0, ORDER_TTL_US):
                kind, name, boot = key.subject.split("\0")
                report = HealthReport(
                    Subject(kind, name, int(boot)),
                    f"{key.origin}@{stored.row.life}",
                    stored.value.zone,
                    stored.row.version,
                    stored.born_us,
                    stored.value.good,
                    stored.value.bad,
                )
                found[(report.subject, report.reporter)] = report
            self._report_cache = (number, found)
        return self._report_cache[1]

    @property
    def orders(self) -> dict[Subject, OperatorOrder]:
        """Return the operators' orders, for each subject the one that applies."""
        if self._order_cache[0] != (number := self.store.change_count("order")):
            self._order_cache = (
                number,
                {stored.value.subject: stored.value for _, stored in self.store.rows_of("order", 0, ORDER_TTL_US)},
            )
        return self._order_cache[1]

    # Results observed here, and operators' orders

    def record_outcomes(self, now: int, unix: int, subject: Subject, good: int, bad: int) -> None:
        """Add the results of requests to a subject since the last call."""
        previous_good, previous_bad, counted_us = self._observed.get(subject, (0.0, 0.0, now))
        decay = 0.5 ** (max(0, now - counted_us) / OBSERVATION_HALF_LIFE_US)
        self._observed[subject] = (previous_good * decay + good, previous_bad * decay + bad, now)
        self._publish_report(now, unix, subject)

    def issue_order(
        self, now: int, unix: int, subject: Subject, on: bool, until_us: int, operator: str, reason: str
    ) -> OperatorOrder:
        """Publish an operator's order, which replaces all earlier ones on the subject."""
        version = self.orders[subject].version + 1 if subject in self.orders else max(1, unix)
        order = OperatorOrder(subject, version, on, unix, until_us, operator, reason)
        self.store.write_register(now, unix, "order", subject_key(subject), order, version, operator)
        return order

    def active_order(self, unix: int, subject: Subject) -> OperatorOrder | None:
        """Return the order on a subject if it is on and has not expired."""
        order = self.orders.get(subject)
        return order if order is not None and order.on and (not order.until_us or unix < order.until_us) else None

    def tick(self, now: int, unix: int) -> None:
        """Refresh this member's reports on subjects with negative reports, and delete what has expired."""
        for subject in {
            report.subject
            for report in self.reports.values()
            if report.is_negative and now - report.at_us <= REPORT_TTL_US
        }:
            own = self._own_report(subject)
            if subject in self._observed and (own is None or now - own.at_us >= REPORT_INTERVAL_US):
                self._publish_report(now, unix, subject)
        if now >= self._sweep_us:
            self._sweep_us = now + REPORT_INTERVAL_US
            for subject in [subject for subject, counts in self._observed.items() if now - counts[2] > RETENTION_US]:
                del self._observed[subject]
            # An order is kept for a while after its end, as an older copy may still arrive.
            self.store.forget(
                "order",
                lambda order: (
                    bool(order.until_us or not order.on) and unix - max(order.at_us, order.until_us) > 60 * RETENTION_US
                ),
            )

    def newly_unhealthy(self, now: int) -> tuple[Subject, ...]:
        """Return the subjects that are unhealthy now and were not at the last call."""
        before, self.unhealthy = self.unhealthy, frozenset()
        if self.reports:
            self.unhealthy = unhealthy_subjects(self.reports.values(), now, REPORT_TTL_US, self.multi_zone)
        return tuple(sorted(self.unhealthy - before, key=lambda subject: (subject.kind, subject.name, subject.boot)))

    # Internal

    def _own_report(self, subject: Subject) -> HealthReport | None:
        return self.reports.get((subject, f"{self.store.name}@{self.store.life}"))

    def _publish_report(self, now: int, unix: int, subject: Subject) -> None:
        """Publish the recent results if they or another report, own or of another member, are against the subject."""
        previous_good, previous_bad, counted_us = self._observed[subject]
        decay = 0.5 ** (max(0, now - counted_us) / OBSERVATION_HALF_LIFE_US)
        good, bad = round(previous_good * decay), round(previous_bad * decay)
        if not good and not bad:
            return
        own, observation = self._own_report(subject), HealthObservation(self.zone, good, bad)
        if own is not None and own.is_negative == observation.is_negative and now - own.at_us < REPORT_INTERVAL_US:
            return
        if (
            not observation.is_negative
            and (own is None or not own.is_negative)
            and not any(
                report.is_negative and report.subject == subject and now - report.at_us <= REPORT_TTL_US
                for report in self.reports.values()
            )
        ):
            return
        self.store.publish(now, unix, "voice", subject_key(subject), observation, at_once=True)
