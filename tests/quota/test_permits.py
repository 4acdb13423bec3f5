"""Tests of permits: the limit holds for the whole fleet, shares follow demand, and partitioned holders use a floor."""

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


class FixedLimit:
    """An estimator with a fixed limit."""

    def __init__(self, value, base_us=0.0):
        self.value, self.base_us = value, base_us

    def record(self, done, took_us, failed):
        pass

    def step(self, now, full):
        pass


class Fleet:
    """Holders and one granter, with messages that are late, lost or repeated."""

    def __init__(self, size, limit, seed=1, loss=0.0, late_us=2 * MS):
        self.rng, self.now, self.loss, self.late_us, self.limit = random.Random(seed), 0, loss, late_us, limit
        self.holders = {f"m{at}": PermitHolder() for at in range(size)}
        for holder in self.holders.values():
            holder.update_servers(0, [("s", 1)])
        self.granter, self.epoch, self.began_us = PermitGranter(0.01, lambda value, base: FixedLimit(limit)), 1, -10 * S
        self.messages, self.partitioned, self.demand = [], set(), dict.fromkeys(self.holders, 0)
        self.max_in_flight, self.reported_epoch = 0, {}

    def post(self, deliver):
        for _ in range(1 + (self.rng.random() < self.loss)):
            if self.rng.random() >= self.loss:
                self.messages.append((self.now + self.rng.randint(200, self.late_us), deliver))

    def send_grants(self, grants):
        for name, grant in grants:
            if name not in self.partitioned:
                self.post(
                    lambda name=name, grant=grant: (
                        self.reported_epoch.get(name, 0) <= grant.epoch
                        and self.holders[name].apply_grant(self.now, grant)
                    )
                )

    def advance(self, us, step=2 * MS):
        end = self.now + us
        while self.now < end:
            self.now += step
            due = [deliver for at, deliver in self.messages if at <= self.now]
            self.messages = [holder for holder in self.messages if holder[0] > self.now]
            for deliver in due:
                deliver()
            for name, holder in self.holders.items():
                holder.set_demand("s", self.demand[name])
                while holder.servers["s"].in_use < self.demand[name] and holder.has_free_permit(self.now, "s"):
                    holder.acquire("s")
                for report in holder.tick(self.now):
                    self.reported_epoch[name] = (
                        self.epoch
                    )  # from now on this holder applies no grant of an earlier epoch
                    if name not in self.partitioned:
                        self.post(partial(self.handle_report, self.granter, self.began_us, self.epoch, name, report))
            self.send_grants(self.granter.tick(self.now))
            self.max_in_flight = max(self.max_in_flight, self.in_flight())

    def handle_report(self, granter, began_us, epoch, name, report):
        self.send_grants(granter.handle_report(self.now, began_us, epoch, name, report, self.holders))

    def in_flight(self):
        return sum(holder.servers["s"].in_use for holder in self.holders.values())

    def finish_some(self, share):
        for holder in self.holders.values():
            for _ in range(holder.servers["s"].in_use):
                if self.rng.random() < share:
                    holder.release(self.now, "s", 50 * MS, True)


class PermitsTest(unittest.TestCase):
    """Permits of one server."""

    def test_one_holder_may_use_all_permits_but_no_more(self):
        fleet = Fleet(4, 12)
        fleet.demand["m1"] = 50
        fleet.advance(S)
        self.assertEqual(12, fleet.in_flight())
        self.assertEqual(12, fleet.holders["m1"].servers["s"].in_use)

    def test_permits_follow_demand_to_another_holder_as_requests_end(self):
        fleet = Fleet(4, 12)
        fleet.demand["m1"] = 50
        fleet.advance(S)
        fleet.demand.update(m1=0, m2=50)
        fleet.advance(20 * MS)
        self.assertEqual(12, fleet.in_flight())
        fleet.finish_some(1.0)
        fleet.advance(40 * MS)
        self.assertEqual(12, fleet.holders["m2"].servers["s"].in_use)
        self.assertEqual(12, fleet.max_in_flight)

    def test_twenty_members_take_turns_with_four_permits(self):
        fleet = Fleet(20, 4)
        fleet.demand = dict.fromkeys(fleet.holders, 3)
        ran = dict.fromkeys(fleet.holders, 0)
        for _ in range(400):
            fleet.advance(20 * MS)
            for name, holder in fleet.holders.items():
                if holder.servers["s"].in_use and fleet.rng.random() < 0.5:
                    ran[name] += 1
                    holder.release(fleet.now, "s", 40 * MS, True)
        self.assertLessEqual(fleet.max_in_flight, 4 + 20)  # the floors, before the first leases
        fleet.max_in_flight = 0
        fleet.advance(S)
        self.assertLessEqual(fleet.max_in_flight, 4)
        self.assertGreater(min(ran.values()), max(ran.values()) / 4, ran)

    def test_the_limit_holds_with_lost_late_and_repeated_messages(self):
        for seed in range(20):
            fleet = Fleet(5, 7, seed, loss=0.3, late_us=60 * MS)
            fleet.advance(3 * S)
            fleet.max_in_flight = 0
            for _ in range(60):
                fleet.demand = {name: fleet.rng.choice((0, 0, 1, 9)) for name in fleet.holders}
                fleet.advance(50 * MS)
                fleet.finish_some(0.4)
            without_lease = sum(fleet.now >= holder.servers["s"].until_us for holder in fleet.holders.values())
            self.assertLessEqual(fleet.max_in_flight, 7 + 5 * (without_lease > 0), seed)

    def test_a_new_granter_grants_no_permit_that_another_holder_may_have(self):
        for seed in range(20):
            fleet = Fleet(4, 6, seed, late_us=30 * MS)
            fleet.demand = dict.fromkeys(fleet.holders, 6)
            fleet.advance(S)
            fleet.finish_some(1.0)  # requests sent under the floors, before the first leases
            fleet.advance(S)
            fleet.max_in_flight = 0
            fleet.granter, fleet.epoch, fleet.began_us = (
                PermitGranter(0.01, lambda value, base: FixedLimit(6)),
                2,
                fleet.now,
            )
            for _ in range(30):
                fleet.advance(20 * MS)
                fleet.finish_some(0.3)
            self.assertLessEqual(fleet.max_in_flight, 6)
            fleet.advance(LEASE_US)
            self.assertEqual(6, fleet.in_flight())

    def test_a_partitioned_holder_sends_one_request_at_a_time_with_pauses(self):
        fleet = Fleet(4, 8)
        fleet.demand = dict.fromkeys(fleet.holders, 8)
        fleet.advance(S)
        fleet.partitioned.add("m3")
        fleet.advance(LEASE_US + 100 * MS)
        holder = fleet.holders["m3"]
        while holder.servers["s"].in_use:
            holder.release(fleet.now, "s", 60 * MS, True)
        self.assertFalse(holder.has_free_permit(fleet.now, "s"))  # it pauses
        fleet.advance(60 * MS)
        self.assertEqual(0, holder.servers["s"].in_use)
        fleet.advance(400 * MS)
        self.assertEqual(1, holder.servers["s"].in_use)
        fleet.advance(LEASE_US)
        others = fleet.in_flight() - 1
        self.assertEqual(8, others)  # its share is granted to others once its lease has ended by any clock

    def test_a_restarted_server_has_no_requests_in_flight(self):
        fleet = Fleet(2, 4)
        fleet.demand["m0"] = 4
        fleet.advance(S)
        fleet.holders["m0"].update_servers(fleet.now, [("s", 2)])
        self.assertEqual(0, fleet.holders["m0"].servers["s"].in_use)
        fleet.advance(S)
        self.assertEqual(4, fleet.holders["m0"].servers["s"].in_use)

    def test_a_lease_counts_from_the_report_and_grows_with_the_fleet(self):
        holder = PermitHolder()
        holder.update_servers(0, [("s", 1)])
        granter = PermitGranter(0.01, lambda value, base: FixedLimit(3))
        [report] = holder.tick(1_000)
        [(_, grant)] = granter.handle_report(900_000, -10 * S, 1, "m", report)
        self.assertTrue(holder.apply_grant(1_500_000, grant))
        self.assertEqual(1_000 + LEASE_US, holder.servers["s"].until_us)
        self.assertGreater(lease_duration_us(1_000), LEASE_US)
        self.assertFalse(holder.apply_grant(1_500_000, grant._replace(share=9)))  # the same grant repeated


class FakeRemovalHistory:
    """A fake history of removals."""

    def __init__(self, known=None, budget_exhausted=False, zones=None):
        self.known, self.exhausted, self.zones, self.recorded = known, budget_exhausted, zones or {}, []

    def last_known(self, now, server):
        return self.known

    def budget_exhausted(self, now):
        return self.exhausted

    def record_removal(self, now, server, boot, episode):
        self.recorded.append((server, boot, episode))

    def failure_domain(self, holder):
        return self.zones.get(holder, holder)


class RemovalTest(unittest.TestCase):
    """Permits of a server that fails."""

    def report_failures(self, removed=0, known=4, history=None, reports=8, boot=1, holders=("m0", "m1"), healthy=()):
        """Have all holders but ``healthy`` report failures; return the last grant of each."""
        self.granter, grants = (
            PermitGranter(0.01, lambda value, base: FixedLimit(4), history or FakeRemovalHistory()),
            {},
        )
        for number in range(1, reports):
            for holder in holders:
                fails = number > 1 and holder not in healthy
                report = PermitReport(
                    "s",
                    boot,
                    number,
                    1,
                    99,
                    2,
                    0,
                    done=not fails and number > 1,
                    failed=fails,
                    servers_removed=removed,
                    servers_known=known,
                )
                grants |= dict(self.granter.handle_report(number * MS, -10 * S, 1, holder, report))
        return grants

    def stage(self):
        return self.granter.accounts["s"].health.stage

    def test_a_removal_is_recorded_once_and_beyond_the_budget_only_dead_servers_are_removed(self):
        history = FakeRemovalHistory()
        self.report_failures(history=history)
        self.assertEqual([("s", 1, 1)], history.recorded)
        self.report_failures(history=FakeRemovalHistory(budget_exhausted=True))
        self.assertIs(Stage.WELL, self.stage())
        self.report_failures(history=FakeRemovalHistory(budget_exhausted=True), reports=13)
        self.assertIs(Stage.REMOVED, self.stage())

    def test_a_new_granter_continues_from_the_removal_history(self):
        self.report_failures(history=FakeRemovalHistory((1, DampingState(4_500.0, Stage.HELD))), reports=2)
        self.assertEqual((Stage.HELD, 4_500.0), (self.stage(), self.granter.accounts["s"].health.penalty))

    def test_a_restarted_server_inherits_half_of_the_penalty_of_an_earlier_start_only(self):
        self.report_failures(history=FakeRemovalHistory((1, DampingState(4_000.0, Stage.REMOVED))), reports=2, boot=2)
        self.assertEqual((Stage.WELL, 2_000.0), (self.stage(), self.granter.accounts["s"].health.penalty))
        self.report_failures(history=FakeRemovalHistory((9, DampingState(4_000.0, Stage.REMOVED))), reports=2, boot=2)
        self.assertEqual(0.0, self.granter.accounts["s"].health.penalty)

    def test_a_zone_that_can_not_reach_a_server_counts_as_one_witness(self):
        zones, members = {"m0": "a", "m1": "a", "m2": "b"}, ("m0", "m1", "m2")
        self.report_failures(history=FakeRemovalHistory(zones=zones), holders=members, healthy=("m2",))
        self.assertIs(Stage.WELL, self.stage())
        self.report_failures(history=FakeRemovalHistory(zones=zones), holders=members)
        self.assertIs(Stage.REMOVED, self.stage())

    def test_all_holders_of_a_removed_server_are_sent_a_share_of_zero(self):
        grants = self.report_failures()
        self.assertEqual([0, 0], [grant.share for grant in grants.values()])
        self.assertEqual({Stage.REMOVED}, {grant.damping.stage for grant in grants.values()})

    def test_no_server_is_removed_if_half_would_be_or_if_it_is_the_last(self):
        for removed, known in ((0, 1), (2, 4), (1, 3)):
            self.assertEqual(
                4, sum(grant.share for grant in self.report_failures(removed, known).values()), (removed, known)
            )


class WholeSharesTest(unittest.TestCase):
    """Division of whole permits."""

    def test_max_min_fair_with_odd_permits_by_turn_and_the_rest_evenly(self):
        self.assertEqual({"a": 1, "b": 2, "c": 2}, whole_shares({"a": 1, "b": 9, "c": 9}, 5, ["b", "c", "a"]))
        self.assertEqual({"a": 0, "b": 1, "c": 0}, whole_shares({"a": 2, "b": 2, "c": 2}, 1, ["b", "c", "a"]))
        self.assertEqual({"a": 4, "b": 2}, whole_shares({"a": 2, "b": 0}, 6, ["a", "b"]))
        for seed in range(200):
            rng = random.Random(seed)
            demand = {f"m{at}": rng.randint(0, 5) for at in range(rng.randint(1, 8))}
            limit = rng.randint(0, 20)
            parts = whole_shares(demand, limit, sorted(demand))
            self.assertEqual(limit, sum(parts.values()))
            if sum(demand.values()) <= limit:
                self.assertTrue(all(parts[name] >= wanted for name, wanted in demand.items()))
