"""What a member decides of overload for all, as the owner of servers' and regions' keys."""

import unittest

from sagetrestle.overload.admission_level import EVALUATION_INTERVAL_US
from sagetrestle.overload.values import AdmissionReport
from sagetrestle.quota.permits import PermitReport
from sagetrestle.damping.health import PENALTY_HALF_LIFE_US, Stage
from sagetrestle.lab.picture import row
from sagetrestle.overload.values import AdmissionLevel
from sagetrestle.gossip import GossipStore, RowBatch
from sagetrestle.takeover import messages
from sagetrestle.takeover.gossip_kinds import KINDS, HealthRow, LevelRow, RemovalRow
from sagetrestle.takeover.overload import OverloadParticipant

MS, S = 1_000, 1_000_000


class StrainSeatTest(unittest.TestCase):
    """One member that owns all keys, until it does not."""

    def setUp(self):
        self.epoch, self.owned = 3, True
        self.picture = GossipStore("me", 1, KINDS, 1)
        self.participant = OverloadParticipant(0.01, 64, 30, lambda key: (0, self.epoch, "me@1"), self.picture)

    def report(self, number, now, failed=0, holder="a@1"):
        [(owner, what)] = self.participant.report_slots(
            [PermitReport("s0", 1, number, 3, 99, 1, 0, 0, 0, failed, servers_known=4)]
        )
        self.assertEqual("me@1", owner)
        return self.participant.asked_slots(now, -10 * S, holder, what, ("a@1", "b@1"))

    def levels(self, waiting, looks=8, level=1.5, since=0):
        told = []
        for look in range(looks):
            now = since + look * EVALUATION_INTERVAL_US
            for member in ("a@1", "b@1"):
                self.participant.asked_level(
                    now,
                    since,
                    member,
                    messages.RegionLevelReport(
                        0, AdmissionReport("", look + 1, ((20, 50),), 10, waiting, 4.0, 4), level
                    ),
                )
            told += self.participant.passed(now, now, lambda key: self.owned)
        return [(to, what.level.level) for to, what in told if isinstance(what, messages.RegionLevel)]

    def test_a_removal_is_told_once_for_people_and_to_each_holder(self):
        for number in range(1, 5):
            for holder in ("a@1", "b@1"):
                told = self.report(number, number * MS, failed=2, holder=holder)
        self.assertEqual({0}, {what.grant.share for _, what in told})
        [line] = self.participant.notes()
        self.assertTrue(line.startswith("server s0 is removed for the fleet: episode 1, penalty "), line)
        self.assertEqual([], self.participant.notes())
        self.assertEqual("removed", self.participant.status()["servers"][0]["stage"])

    def test_a_level_is_told_to_all_that_report_and_to_people_when_it_begins_and_ends(self):
        told = self.levels(waiting=40)
        self.assertEqual({"a@1", "b@1"}, {to for to, _ in told})
        self.assertLess(told[-1][1], 0.3)
        [line] = self.participant.notes()
        self.assertIn("region '' sheds overload", line)
        told = self.levels(waiting=0, looks=40, level=told[-1][1], since=10 * S)
        self.assertGreater(told[-1][1], 1.0)
        self.assertIn("takes all requests again", self.participant.notes()[0])

    def test_a_new_decider_begins_with_the_level_that_members_were_told(self):
        self.levels(waiting=10, looks=1, level=0.4)
        self.assertEqual(0.4, self.participant.regions[""].decider.level)

    def test_what_it_owns_no_more_is_forgotten(self):
        self.report(1, MS)
        self.levels(waiting=0, looks=2)
        self.owned = False
        self.assertEqual([], self.participant.passed(2 * S, 2 * S, lambda key: self.owned))
        self.assertEqual(({}, {}), (self.participant.slots.accounts, self.participant.regions))

    def test_a_word_of_an_earlier_granter_does_not_count_once_a_later_one_was_asked(self):
        [(_, told)] = self.report(1, MS)
        self.assertTrue(self.participant.counts(told.grant))
        self.epoch = 4
        self.report(2, 2 * MS)
        self.assertFalse(self.participant.counts(told.grant))

    # What the picture adds

    def others_say(self, now, *rows):
        self.picture.receive(now, now, "x", RowBatch(rows))

    def test_a_level_that_others_heard_counts_while_the_decider_is_silent_here_and_is_as_old_as_it_is(self):
        self.assertTrue(self.participant.told_level(0, "", AdmissionLevel(0.9), 3))
        said = row("d", "level", "", 1, LevelRow(3, 0.3, ()), age=200 * MS, unix=S)
        self.others_say(S, said)
        self.assertEqual([("", AdmissionLevel(0.3), 200 * MS)], self.participant.heard_by_others(S))
        self.assertEqual([], self.participant.heard_by_others(S))  # once
        self.assertTrue(self.participant.told_level(S, "", AdmissionLevel(0.5), 3))
        self.others_say(S, row("d", "level", "", 2, LevelRow(3, 0.2, ()), unix=S))
        self.assertEqual([], self.participant.heard_by_others(S + 100 * MS))  # the decider itself is heard

    def test_a_deposed_deciders_word_counts_neither_by_itself_nor_by_others(self):
        self.participant.told_level(0, "", AdmissionLevel(0.9), 4)
        self.assertFalse(self.participant.told_level(S, "", AdmissionLevel(0.1), 3))
        self.others_say(2 * S, row("d", "level", "", 1, LevelRow(3, 0.1, ()), unix=2 * S))
        self.assertEqual([], self.participant.heard_by_others(2 * S))

    def test_past_its_age_a_level_of_others_is_not_gone_by(self):
        self.others_say(S, row("d", "level", "", 1, LevelRow(3, 0.1, ()), age=2_100 * MS, unix=S))
        self.assertEqual([], self.participant.heard_by_others(S))

    def test_stages_are_said_at_once_and_remembered_as_they_would_be_by_now(self):
        for number in range(1, 5):
            for holder in ("a@1", "b@1"):
                self.report(number, number * MS, failed=2, holder=holder)
        self.participant.passed(5 * MS, 5 * MS, lambda key: True)
        said = self.picture.get("me", "health", "s0").value
        self.assertEqual((1, Stage.REMOVED, 1), (said.boot, said.stage, said.episodes))
        boot, damped = self.participant.history.last_known(5 * MS + PENALTY_HALF_LIFE_US, "s0")
        self.assertEqual((1, Stage.REMOVED), (boot, damped.stage))
        self.assertAlmostEqual(said.penalty / 2, damped.penalty, delta=1)

    def test_of_two_words_on_a_server_the_newer_life_and_the_later_epoch_count(self):
        self.others_say(
            S,
            row("a", "health", "s0", 1, HealthRow(1, 9, 9_000.0, 3, 1), unix=S),
            row("b", "health", "s0", 1, HealthRow(2, 4, 500.0, 0, 1), unix=S),
            row("c", "health", "s0", 1, HealthRow(2, 5, 800.0, 1, 1), unix=S),
        )
        boot, damped = self.participant.history.last_known(S, "s0")
        self.assertEqual((2, Stage.HELD, 800), (boot, damped.stage, round(damped.penalty)))

    def test_removals_by_all_members_use_up_one_budget_for_a_minute(self):
        self.others_say(S, *(row("a", "removal", f"s{at} 1 1", at + 1, RemovalRow(""), unix=S) for at in range(29)))
        self.assertFalse(self.participant.history.budget_exhausted(S))
        self.participant.history.record_removal(S, "s99", 1, 1)
        self.assertTrue(self.participant.history.budget_exhausted(S))
        self.assertFalse(self.participant.history.budget_exhausted(62 * S))
