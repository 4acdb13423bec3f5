"""Verdicts by themselves: who is convicted, and how words spread."""

import unittest

from sagetrestle.gossip import RowBatch
from sagetrestle.health_decisions import REPORT_TTL_US, HealthDecisions, Subject, HealthReport, unhealthy_subjects
from sagetrestle.health_decisions.reports import MAX_REPORTS, REPORT_INTERVAL_US, subject_key
from sagetrestle.health_decisions.values import OperatorOrder, HealthObservation
from sagetrestle.lab.picture import PictureWorld, row

S = 1_000_000
A, B, C = (Subject("server", name, 1) for name in ("s0", "s1", "s2"))


def voice(subject, witness, good, bad, zone="", at=0, number=1):
    return HealthReport(subject, witness, zone, number, at, good, bad)


class JudgeTest(unittest.TestCase):
    """Voices."""

    def judge(self, *voices, at=0, by_zone=False):
        return unhealthy_subjects(voices, at, REPORT_TTL_US, by_zone)

    def test_one_member_with_a_bad_link_convicts_nobody(self):
        self.assertEqual(frozenset(), self.judge(voice(A, "m0", 0, 50)))
        self.assertEqual(frozenset(), self.judge(voice(A, "m0", 0, 50), voice(A, "m1", 9, 0)))

    def test_two_convict_and_more_that_say_otherwise_acquit(self):
        two = (voice(A, "m0", 0, 5), voice(A, "m1", 1, 5))
        self.assertEqual({A}, self.judge(*two))
        self.assertEqual({A}, self.judge(*two, voice(A, "m2", 5, 0)))
        self.assertEqual(frozenset(), self.judge(*two, voice(A, "m2", 5, 0), voice(A, "m3", 5, 2)))

    def test_a_zone_counts_once(self):
        zone = [voice(A, f"m{at}", 0, 9, "z0") for at in range(4)]
        self.assertEqual(frozenset(), self.judge(*zone, by_zone=True))  # the others have not spoken yet
        self.assertEqual(frozenset(), self.judge(*zone, voice(A, "m9", 9, 0, "z1"), by_zone=True))
        self.assertEqual({A}, self.judge(*zone, voice(A, "m9", 0, 9, "z1"), by_zone=True))

    def test_a_member_that_speaks_against_all_that_others_praise_is_not_heard(self):
        liar = [voice(one, "m0", 0, 9) for one in (A, B, C)]
        praise = [voice(one, name, 9, 0) for one in (B, C) for name in ("m1", "m2")]
        self.assertEqual(frozenset(), self.judge(*liar, *praise, voice(A, "m1", 1, 4)))
        self.assertEqual({A}, self.judge(*liar, *praise, voice(A, "m1", 1, 4), voice(A, "m2", 0, 3)))

    def test_old_voices_count_no_more_and_another_start_is_another_subject(self):
        two = (voice(A, "m0", 0, 5), voice(A, "m1", 1, 5))
        self.assertEqual({A}, self.judge(*two, at=REPORT_TTL_US))
        self.assertEqual(frozenset(), self.judge(*two, at=REPORT_TTL_US + 1))
        self.assertNotIn(Subject("server", "s0", 2), self.judge(*two))


class SpreadTest(unittest.TestCase):
    """Members that tell each other."""

    def members(self, count, loss=0.0, seed=1):
        self.world = PictureWorld(count, seed, loss)
        self.names, self.beat = self.world.names, self.world.beat
        self.all = {name: HealthDecisions("", self.world.all[name]) for name in self.names}
        self.world.also = [lambda now, one=one: one.tick(now, now) for one in self.all.values()]

    @property
    def now(self):
        return self.world.now

    def until(self, test, most=200):
        return self.world.until(self, test, most)

    def test_a_verdict_is_known_to_all_within_the_stated_time(self):
        for count, seconds in ((6, 1.0), (20, 1.0), (200, 3.0)):
            with self.subTest(count):
                self.members(count)
                for name in self.names[:3]:
                    self.all[name].record_outcomes(self.now, self.now, A, 0, 5)
                beats = self.until(
                    lambda: all(
                        A in unhealthy_subjects(one.reports.values(), self.now, REPORT_TTL_US)
                        for one in self.all.values()
                    )
                )
                self.assertLessEqual(beats * 0.1, seconds)

    def test_what_chance_and_loss_left_out_comes_by_digests(self):
        self.members(20, loss=0.4)
        self.all["m0"].issue_order(0, 0, Subject("class", "paid-check"), True, 0, "Mona", "ledger")
        self.until(lambda: all(one.active_order(self.now, Subject("class", "paid-check")) for one in self.all.values()))

    def test_an_order_of_a_cut_stays_at_both_sides_and_the_later_one_holds_when_it_heals(self):
        self.members(6)
        subject, cut = Subject("class", "paid-check"), {"m4", "m5"}
        self.all["m0"].issue_order(self.now, self.now, subject, True, 0, "Mona", "ledger")
        for _ in range(15):
            self.beat()
        self.all["m5"].issue_order(self.now, self.now, subject, False, 0, "Adel", "mended")
        for _ in range(40):
            self.beat(cut)
        self.assertEqual(
            [True] * 4 + [False] * 2, [one.active_order(self.now, subject) is not None for one in self.all.values()]
        )
        self.until(lambda: not any(one.active_order(self.now, subject) for one in self.all.values()))
        old = OperatorOrder(subject, 1, True, 0, 0, "Mona", "ledger")
        late = row("", "order", subject_key(subject), 1, old, by="Mona")
        self.world.all["m1"].receive(self.now, self.now, "m0", RowBatch((late,)))
        self.assertIsNone(self.all["m1"].active_order(self.now, subject))

    def test_nothing_is_said_while_there_is_nothing_to_say(self):
        self.members(6)
        for _ in range(50):
            for one in self.all.values():
                one.record_outcomes(self.now, self.now, A, 20, 0)
            self.beat()
        self.assertEqual(0, self.world.messages)

    def test_a_subject_that_is_well_again_is_acquitted_and_voices_end(self):
        self.members(6)
        for one in self.all.values():
            one.record_outcomes(self.now, self.now, A, 0, 9)
        self.until(lambda: all(one.newly_unhealthy(self.now) for one in self.all.values()))
        for _ in range(60):
            for one in self.all.values():
                one.record_outcomes(self.now, self.now, A, 10, 0)
            self.beat()
        for one in self.all.values():
            one.newly_unhealthy(self.now)
            self.assertEqual(frozenset(), one.unhealthy)
        self.world.now += 2 * REPORT_INTERVAL_US + REPORT_TTL_US
        before = self.world.messages
        for _ in range(20):
            self.beat()
        self.assertLess(self.world.messages - before, 30)

    def test_a_flood_is_bounded(self):
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

    def test_a_voice_of_long_ago_is_not_taken_and_one_from_far_ahead_is_as_old_as_it_was_told(self):
        self.members(1)
        for unix in (-100 * S, 100 * S):
            said = row("m1", "voice", subject_key(A), 1, HealthObservation("", 0, 9), unix=unix, age=1 * S)
            self.world.all["m0"].receive(0, 0, "m1", RowBatch((said,)))
            self.assertEqual([-1 * S] if unix > 0 else [], [one.at_us for one in self.all["m0"].reports.values()])
