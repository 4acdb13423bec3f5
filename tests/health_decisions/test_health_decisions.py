"""Tests of health decisions: which subjects are unhealthy, and how reports and orders spread."""

import unittest

from sagetrestle.gossip import RowBatch
from sagetrestle.health_decisions import REPORT_TTL_US, HealthDecisions, Subject, HealthReport, unhealthy_subjects
from sagetrestle.health_decisions.reports import MAX_REPORTS, REPORT_INTERVAL_US, subject_key
from sagetrestle.health_decisions.values import OperatorOrder, HealthObservation
from sagetrestle.lab.picture import PictureWorld, row

S = 1_000_000
A, B, C = (Subject("server", name, 1) for name in ("s0", "s1", "s2"))


def report(subject, reporter, good, bad, zone="", at=0, number=1):
    return HealthReport(subject, reporter, zone, number, at, good, bad)


class UnhealthySubjectsTest(unittest.TestCase):
    """Decisions from a set of reports."""

    def unhealthy(self, *reports, at=0, by_zone=False):
        return unhealthy_subjects(reports, at, REPORT_TTL_US, by_zone)

    def test_one_negative_reporter_is_not_enough(self):
        self.assertEqual(frozenset(), self.unhealthy(report(A, "m0", 0, 50)))
        self.assertEqual(frozenset(), self.unhealthy(report(A, "m0", 0, 50), report(A, "m1", 9, 0)))

    def test_two_negative_reporters_decide_unless_as_many_disagree(self):
        two = (report(A, "m0", 0, 5), report(A, "m1", 1, 5))
        self.assertEqual({A}, self.unhealthy(*two))
        self.assertEqual({A}, self.unhealthy(*two, report(A, "m2", 5, 0)))
        self.assertEqual(frozenset(), self.unhealthy(*two, report(A, "m2", 5, 0), report(A, "m3", 5, 2)))

    def test_a_zone_counts_once(self):
        zone = [report(A, f"m{at}", 0, 9, "z0") for at in range(4)]
        self.assertEqual(frozenset(), self.unhealthy(*zone, by_zone=True))  # no report of another zone is known yet
        self.assertEqual(frozenset(), self.unhealthy(*zone, report(A, "m9", 9, 0, "z1"), by_zone=True))
        self.assertEqual({A}, self.unhealthy(*zone, report(A, "m9", 0, 9, "z1"), by_zone=True))

    def test_a_reporter_that_most_others_contradict_is_ignored(self):
        unreliable = [report(subject, "m0", 0, 9) for subject in (A, B, C)]
        positive = [report(subject, name, 9, 0) for subject in (B, C) for name in ("m1", "m2")]
        self.assertEqual(frozenset(), self.unhealthy(*unreliable, *positive, report(A, "m1", 1, 4)))
        self.assertEqual({A}, self.unhealthy(*unreliable, *positive, report(A, "m1", 1, 4), report(A, "m2", 0, 3)))

    def test_old_reports_do_not_count_and_another_start_is_another_subject(self):
        two = (report(A, "m0", 0, 5), report(A, "m1", 1, 5))
        self.assertEqual({A}, self.unhealthy(*two, at=REPORT_TTL_US))
        self.assertEqual(frozenset(), self.unhealthy(*two, at=REPORT_TTL_US + 1))
        self.assertNotIn(Subject("server", "s0", 2), self.unhealthy(*two))


class SpreadTest(unittest.TestCase):
    """Decisions of members that gossip."""

    def members(self, count, loss=0.0, seed=1):
        self.world = PictureWorld(count, seed, loss)
        self.names, self.beat = self.world.names, self.world.beat
        self.all = {name: HealthDecisions("", self.world.all[name]) for name in self.names}
        self.world.also = [lambda now, decisions=decisions: decisions.tick(now, now) for decisions in self.all.values()]

    @property
    def now(self):
        return self.world.now

    def until(self, test, most=200):
        return self.world.until(self, test, most)

    def test_a_decision_reaches_all_members_within_the_stated_time(self):
        for count, seconds in ((6, 1.0), (20, 1.0), (200, 3.0)):
            with self.subTest(count):
                self.members(count)
                for name in self.names[:3]:
                    self.all[name].record_outcomes(self.now, self.now, A, 0, 5)
                rounds = self.until(
                    lambda: all(
                        A in unhealthy_subjects(decisions.reports.values(), self.now, REPORT_TTL_US)
                        for decisions in self.all.values()
                    )
                )
                self.assertLessEqual(rounds * 0.1, seconds)

    def test_digests_repair_lost_orders(self):
        self.members(20, loss=0.4)
        self.all["m0"].issue_order(0, 0, Subject("class", "paid-check"), True, 0, "Mona", "ledger")
        self.until(
            lambda: all(
                decisions.active_order(self.now, Subject("class", "paid-check")) for decisions in self.all.values()
            )
        )

    def test_after_a_partition_the_later_order_applies_everywhere(self):
        self.members(6)
        subject, cut = Subject("class", "paid-check"), {"m4", "m5"}
        self.all["m0"].issue_order(self.now, self.now, subject, True, 0, "Mona", "ledger")
        for _ in range(15):
            self.beat()
        self.all["m5"].issue_order(self.now, self.now, subject, False, 0, "Adel", "mended")
        for _ in range(40):
            self.beat(cut)
        self.assertEqual(
            [True] * 4 + [False] * 2,
            [decisions.active_order(self.now, subject) is not None for decisions in self.all.values()],
        )
        self.until(lambda: not any(decisions.active_order(self.now, subject) for decisions in self.all.values()))
        old = OperatorOrder(subject, 1, True, 0, 0, "Mona", "ledger")
        late = row("", "order", subject_key(subject), 1, old, by="Mona")
        self.world.all["m1"].receive(self.now, self.now, "m0", RowBatch((late,)))
        self.assertIsNone(self.all["m1"].active_order(self.now, subject))

    def test_a_healthy_fleet_sends_nothing(self):
        self.members(6)
        for _ in range(50):
            for decisions in self.all.values():
                decisions.record_outcomes(self.now, self.now, A, 20, 0)
            self.beat()
        self.assertEqual(0, self.world.messages)

    def test_a_recovered_subject_is_healthy_again_and_reports_end(self):
        self.members(6)
        for decisions in self.all.values():
            decisions.record_outcomes(self.now, self.now, A, 0, 9)
        self.until(lambda: all(decisions.newly_unhealthy(self.now) for decisions in self.all.values()))
        for _ in range(60):
            for decisions in self.all.values():
                decisions.record_outcomes(self.now, self.now, A, 10, 0)
            self.beat()
        for decisions in self.all.values():
            decisions.newly_unhealthy(self.now)
            self.assertEqual(frozenset(), decisions.unhealthy)
        self.world.now += 2 * REPORT_INTERVAL_US + REPORT_TTL_US
        before = self.world.messages
        for _ in range(20):
            self.beat()
        self.assertLess(self.world.messages - before, 30)

    def test_reports_are_bounded(self):
        self.members(2)
        for origin in range(6):
            many = tuple(
                row(
                    f"m{origin + 9}",
                    "voice",
                    subject_key(Subject("server", f"s{at}")),
                    at + 1,
                    HealthObservation("", 0, 9),
                )
                for at in range(MAX_REPORTS // 5 + 100)
            )
            self.world.all["m0"].receive(0, 0, "m1", RowBatch(many))
        self.assertEqual(MAX_REPORTS, len(self.all["m0"].reports))

    def test_an_old_report_is_rejected_and_one_stamped_ahead_keeps_its_counted_age(self):
        self.members(1)
        for unix in (-100 * S, 100 * S):
            received = row("m1", "voice", subject_key(A), 1, HealthObservation("", 0, 9), unix=unix, age=1 * S)
            self.world.all["m0"].receive(0, 0, "m1", RowBatch((received,)))
            self.assertEqual([-1 * S] if unix > 0 else [], [report.at_us for report in self.all["m0"].reports.values()])
