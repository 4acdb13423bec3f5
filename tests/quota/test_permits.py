"""Slots of a server for the whole fleet: never over the limit, handed on by demand, floors for who is cut off."""

import random
import unittest
from functools import partial

from sagetrestle.damping.health import DampingState, Stage
from sagetrestle.quota.permits import (
    LEASE_US,
    PermitReport,
    PermitGranter,
    PermitHolder,
    lease_duration_us,
    whole_shares,
)

MS, S = 1_000, 1_000_000


class Fixed:
    """A limit that is given."""

    def __init__(self, value, base_us=0.0):
        self.value, self.base_us = value, base_us

    def record(self, done, took_us, failed):
        pass

    def step(self, now, full):
        pass


class Fleet:
    """Holders and one granter, with words that are late, lost and come twice."""

    def __init__(self, size, limit, seed=1, loss=0.0, late_us=2 * MS):
        self.rng, self.now, self.loss, self.late_us, self.limit = random.Random(seed), 0, loss, late_us, limit
        self.holders = {f"m{at}": PermitHolder() for at in range(size)}
        for one in self.holders.values():
            one.update_servers(0, [("s", 1)])
        self.granter, self.epoch, self.began = PermitGranter(0.01, lambda value, base: Fixed(limit)), 1, -10 * S
        self.mail, self.cut, self.wants = [], set(), dict.fromkeys(self.holders, 0)
        self.worst, self.asked = 0, {}

    def post(self, act):
        for _ in range(1 + (self.rng.random() < self.loss)):
            if self.rng.random() >= self.loss:
                self.mail.append((self.now + self.rng.randint(200, self.late_us), act))

    def say(self, told):
        for name, word in told:
            if name not in self.cut:
                self.post(
                    lambda name=name, word=word: (
                        self.asked.get(name, 0) <= word.epoch and self.holders[name].apply_grant(self.now, word)
                    )
                )

    def move(self, us, step=2 * MS):
        end = self.now + us
        while self.now < end:
            self.now += step
            due = [act for at, act in self.mail if at <= self.now]
            self.mail = [one for one in self.mail if one[0] > self.now]
            for act in due:
                act()
            for name, one in self.holders.items():
                one.set_demand("s", self.wants[name])
                while one.servers["s"].in_use < self.wants[name] and one.has_free_permit(self.now, "s"):
                    one.acquire("s")
                for report in one.tick(self.now):
                    self.asked[name] = self.epoch  # no word of an earlier one is taken from now on
                    if name not in self.cut:
                        self.post(partial(self.ask, self.granter, self.began, self.epoch, name, report))
            self.say(self.granter.tick(self.now))
            self.worst = max(self.worst, self.on_the_way())

    def ask(self, granter, began, epoch, name, report):
        self.say(granter.handle_report(self.now, began, epoch, name, report, self.holders))

    def on_the_way(self):
        return sum(one.servers["s"].in_use for one in self.holders.values())

    def end_some(self, share):
        for one in self.holders.values():
            for _ in range(one.servers["s"].in_use):
                if self.rng.random() < share:
                    one.release(self.now, "s", 50 * MS, True)


class SlotsTest(unittest.TestCase):
    """One server."""

    def test_all_slots_are_used_by_who_wants_them_and_never_more(self):
        fleet = Fleet(4, 12)
        fleet.wants["m1"] = 50
        fleet.move(S)
        self.assertEqual(12, fleet.on_the_way())
        self.assertEqual(12, fleet.holders["m1"].servers["s"].in_use)

    def test_demand_that_jumps_to_another_is_followed_as_requests_end(self):
        fleet = Fleet(4, 12)
        fleet.wants["m1"] = 50
        fleet.move(S)
        fleet.wants.update(m1=0, m2=50)
        fleet.move(20 * MS)
        self.assertEqual(12, fleet.on_the_way())
        fleet.end_some(1.0)
        fleet.move(40 * MS)
        self.assertEqual(12, fleet.holders["m2"].servers["s"].in_use)
        self.assertEqual(12, fleet.worst)

    def test_twenty_members_share_four_slots_in_turns(self):
        fleet = Fleet(20, 4)
        fleet.wants = dict.fromkeys(fleet.holders, 3)
        ran = dict.fromkeys(fleet.holders, 0)
        for _ in range(400):
            fleet.move(20 * MS)
            for name, one in fleet.holders.items():
                if one.servers["s"].in_use and fleet.rng.random() < 0.5:
                    ran[name] += 1
                    one.release(fleet.now, "s", 40 * MS, True)
        self.assertLessEqual(fleet.worst, 4 + 20)  # while no lease was held yet, floors
        fleet.worst = 0
        fleet.move(S)
        self.assertLessEqual(fleet.worst, 4)
        self.assertGreater(min(ran.values()), max(ran.values()) / 4, ran)

    def test_never_over_the_limit_with_words_lost_late_and_twice(self):
        for seed in range(20):
            fleet = Fleet(5, 7, seed, loss=0.3, late_us=60 * MS)
            fleet.move(3 * S)
            fleet.worst = 0
            for _ in range(60):
                fleet.wants = {name: fleet.rng.choice((0, 0, 1, 9)) for name in fleet.holders}
                fleet.move(50 * MS)
                fleet.end_some(0.4)
            without = sum(fleet.now >= one.servers["s"].until_us for one in fleet.holders.values())
            self.assertLessEqual(fleet.worst, 7 + 5 * (without > 0), seed)

    def test_a_new_granter_gives_nothing_that_others_may_have(self):
        for seed in range(20):
            fleet = Fleet(4, 6, seed, late_us=30 * MS)
            fleet.wants = dict.fromkeys(fleet.holders, 6)
            fleet.move(S)
            fleet.end_some(1.0)  # what went out by floors, before there were leases
            fleet.move(S)
            fleet.worst = 0
            fleet.granter, fleet.epoch, fleet.began = PermitGranter(0.01, lambda value, base: Fixed(6)), 2, fleet.now
            for _ in range(30):
                fleet.move(20 * MS)
                fleet.end_some(0.3)
            self.assertLessEqual(fleet.worst, 6)
            fleet.move(LEASE_US)
            self.assertEqual(6, fleet.on_the_way())

    def test_a_holder_that_is_cut_off_goes_on_one_at_a_time_with_pauses(self):
        fleet = Fleet(4, 8)
        fleet.wants = dict.fromkeys(fleet.holders, 8)
        fleet.move(S)
        fleet.cut.add("m3")
        fleet.move(LEASE_US + 100 * MS)
        one = fleet.holders["m3"]
        while one.servers["s"].in_use:
            one.release(fleet.now, "s", 60 * MS, True)
        self.assertFalse(one.has_free_permit(fleet.now, "s"))  # it rests
        fleet.move(60 * MS)
        self.assertEqual(0, one.servers["s"].in_use)
        fleet.move(400 * MS)
        self.assertEqual(1, one.servers["s"].in_use)
        fleet.move(LEASE_US)
        others = fleet.on_the_way() - 1
        self.assertEqual(8, others)  # what it had is given to others once its lease is over by any clock

    def test_a_server_that_started_anew_owes_nothing(self):
        fleet = Fleet(2, 4)
        fleet.wants["m0"] = 4
        fleet.move(S)
        fleet.holders["m0"].update_servers(fleet.now, [("s", 2)])
        self.assertEqual(0, fleet.holders["m0"].servers["s"].in_use)
        fleet.move(S)
        self.assertEqual(4, fleet.holders["m0"].servers["s"].in_use)

    def test_a_lease_counts_from_the_report_and_grows_with_the_fleet(self):
        one = PermitHolder()
        one.update_servers(0, [("s", 1)])
        granter = PermitGranter(0.01, lambda value, base: Fixed(3))
        [report] = one.tick(1_000)
        [(_, word)] = granter.handle_report(900_000, -10 * S, 1, "m", report)
        self.assertTrue(one.apply_grant(1_500_000, word))
        self.assertEqual(1_000 + LEASE_US, one.servers["s"].until_us)
        self.assertGreater(lease_duration_us(1_000), LEASE_US)
        self.assertFalse(one.apply_grant(1_500_000, word._replace(share=9)))  # a word that comes again


class RemovalHistory:
    """Removals as the fleet knows them."""

    def __init__(self, known=None, frozen=False, zones=None):
        self.known, self.is_frozen, self.zones, self.counted = known, frozen, zones or {}, []

    def last_known(self, now, server):
        return self.known

    def budget_exhausted(self, now):
        return self.is_frozen

    def record_removal(self, now, server, boot, episode):
        self.counted.append((server, boot, episode))

    def failure_domain(self, holder):
        return self.zones.get(holder, holder)


class DampedTest(unittest.TestCase):
    """Slots of a server that fails."""

    def granted(self, out=0, of=4, past=None, rows=8, boot=1, holders=("m0", "m1"), well=()):
        """Have holders report failures, but those that are well; return what each was told last."""
        self.granter, told = PermitGranter(0.01, lambda value, base: Fixed(4), past or RemovalHistory()), {}
        for number in range(1, rows):
            for holder in holders:
                fails = number > 1 and holder not in well
                ask = PermitReport(
                    "s",
                    boot,
                    number,
                    1,
                    99,
                    2,
                    0,
                    done=not fails and number > 1,
                    failed=fails,
                    servers_removed=out,
                    servers_known=of,
                )
                told |= dict(self.granter.handle_report(number * MS, -10 * S, 1, holder, ask))
        return told

    def stage(self):
        return self.granter.accounts["s"].health.stage

    def test_a_removal_is_counted_once_and_past_the_budget_only_one_that_is_dead_for_all_is_removed(self):
        past = RemovalHistory()
        self.granted(past=past)
        self.assertEqual([("s", 1, 1)], past.counted)
        self.granted(past=RemovalHistory(frozen=True))
        self.assertIs(Stage.WELL, self.stage())
        self.granted(past=RemovalHistory(frozen=True), rows=13)
        self.assertIs(Stage.REMOVED, self.stage())

    def test_a_new_granter_goes_on_with_what_the_fleet_remembers(self):
        self.granted(past=RemovalHistory((1, DampingState(4_500.0, Stage.HELD))), rows=2)
        self.assertEqual((Stage.HELD, 4_500.0), (self.stage(), self.granter.accounts["s"].health.penalty))

    def test_a_new_life_inherits_half_of_the_penalty_and_an_older_word_nothing(self):
        self.granted(past=RemovalHistory((1, DampingState(4_000.0, Stage.REMOVED))), rows=2, boot=2)
        self.assertEqual((Stage.WELL, 2_000.0), (self.stage(), self.granter.accounts["s"].health.penalty))
        self.granted(past=RemovalHistory((9, DampingState(4_000.0, Stage.REMOVED))), rows=2, boot=2)
        self.assertEqual(0.0, self.granter.accounts["s"].health.penalty)

    def test_a_zone_that_can_not_see_a_server_is_one_witness(self):
        zones, members = {"m0": "a", "m1": "a", "m2": "b"}, ("m0", "m1", "m2")
        self.granted(past=RemovalHistory(zones=zones), holders=members, well=("m2",))
        self.assertIs(Stage.WELL, self.stage())
        self.granted(past=RemovalHistory(zones=zones), holders=members)
        self.assertIs(Stage.REMOVED, self.stage())

    def test_a_removal_is_told_to_all_as_no_slots(self):
        told = self.granted()
        self.assertEqual([0, 0], [one.share for one in told.values()])
        self.assertEqual({Stage.REMOVED}, {one.damping.stage for one in told.values()})

    def test_where_half_would_be_gone_or_it_is_the_last_none_is_removed(self):
        for out, of in ((0, 1), (2, 4), (1, 3)):
            self.assertEqual(4, sum(one.share for one in self.granted(out, of).values()), (out, of))


class PartsTest(unittest.TestCase):
    """Whole parts."""

    def test_max_min_fair_with_odd_ones_by_turn_and_the_rest_evenly(self):
        self.assertEqual({"a": 1, "b": 2, "c": 2}, whole_shares({"a": 1, "b": 9, "c": 9}, 5, ["b", "c", "a"]))
        self.assertEqual({"a": 0, "b": 1, "c": 0}, whole_shares({"a": 2, "b": 2, "c": 2}, 1, ["b", "c", "a"]))
        self.assertEqual({"a": 4, "b": 2}, whole_shares({"a": 2, "b": 0}, 6, ["a", "b"]))
        for seed in range(200):
            rng = random.Random(seed)
            wants = {f"m{at}": rng.randint(0, 5) for at in range(rng.randint(1, 8))}
            limit = rng.randint(0, 20)
            parts = whole_shares(wants, limit, sorted(wants))
            self.assertEqual(limit, sum(parts.values()))
            if sum(wants.values()) <= limit:
                self.assertTrue(all(parts[name] >= wanted for name, wanted in wants.items()))
