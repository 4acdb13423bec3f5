"""Tests of rates: shares follow demand, and lost messages exceed the rate at most by the floors."""

import heapq
import random
import unittest

from sagetrestle.quota.rates import (
    BURST_WINDOW_US,
    LEASE_US,
    REPORT_INTERVAL_US,
    RateReport,
    RateGranter,
    RateHolder,
    max_min_shares,
    floor_rate,
)

S = 1_000_000


class MaxMinSharesTest(unittest.TestCase):
    """Max-min fair division."""

    def test_small_demands_are_met_and_large_ones_share_the_rest(self):
        self.assertEqual({"a": 10, "b": 45, "c": 45}, max_min_shares({"a": 10, "b": 300, "c": 90}, 100))

    def test_an_unused_rate_is_divided_evenly(self):
        self.assertEqual({"a": 50.0, "b": 50.0}, max_min_shares({"a": 20, "b": 20}, 100))


class RateGranterTest(unittest.TestCase):
    """The granter's answers to reports."""

    def report(self, granter, now, holder, number, demand, held=0.0, rate=100.0):
        return granter.handle_report(now, -10 * S, holder, RateReport("t", number, rate, demand, held))

    def test_a_share_that_a_holder_may_still_have_is_not_granted_again(self):
        granter = RateGranter(0.01)
        self.assertEqual(100.0, self.report(granter, 0, "a", 1, 100.0))
        self.assertEqual(0.0, self.report(granter, 1, "b", 1, 100.0, 0.0))
        self.assertEqual(50.0, self.report(granter, 2, "a", 2, 100.0, 100.0))
        self.assertEqual(0.0, self.report(granter, 3, "b", 2, 100.0, 0.0))  # a may not have received its lower share
        self.assertEqual(50.0, self.report(granter, 4, "a", 3, 100.0, 50.0))
        self.assertEqual(50.0, self.report(granter, 5, "b", 3, 100.0, 0.0))

    def test_the_share_of_a_silent_holder_is_free_after_its_lease_by_any_clock(self):
        granter = RateGranter(0.01)
        self.report(granter, 0, "a", 1, 100.0)
        self.assertEqual(0.0, self.report(granter, int(LEASE_US * 1.01), "b", 1, 100.0))
        self.assertEqual(100.0, self.report(granter, int(LEASE_US * 1.01) + 2, "b", 2, 100.0))

    def test_a_new_granter_confirms_held_shares_until_all_are_known(self):
        granter = RateGranter(0.01)
        first = granter.handle_report(0, 0, "a", RateReport("t", 7, 100.0, 100.0, 60.0))
        self.assertEqual((60.0, 0.0), (first, granter.handle_report(1, 0, "b", RateReport("t", 3, 100.0, 100.0, 0.0))))
        self.assertIsNone(granter.handle_report(2, 0, "a", RateReport("t", 7, 100.0, 100.0, 60.0)))

    def test_accounts_of_idle_tenants_are_deleted(self):
        granter, holder = RateGranter(0.01), RateHolder()
        for index in range(1_000):
            holder.take(0, f"t{index}", 5.0, 3)
            granter.handle_report(0, -10 * S, "a", RateReport(f"t{index}", 1, 5.0, 1.0, 0.0))
        granter.tick(10 * S)
        holder.tick(10 * S)
        self.assertEqual((0, 0), (len(granter.accounts), len(holder.buckets)))


class Fleet:
    """Holders and a replaceable granter, with messages that are delayed or lost."""

    def __init__(self, seed, members=5, rate=200.0):
        self.rng, self.rate, self.now = random.Random(seed), rate, 0
        self.holders = {f"m{at}@1": RateHolder() for at in range(members)}
        self.granter, self.began_us, self.partitioned, self.loss = RateGranter(0.01), -10 * S, set(), 0.0
        self.messages, self.count, self.admitted_at_us = [], 0, []

    def post(self, deliver, *arguments):
        self.count += 1
        delay_us = self.rng.choice((500, 1_000, 2_000, self.rng.randint(1_000, 400_000)))
        heapq.heappush(self.messages, (self.now + delay_us, self.count, deliver, arguments))

    def is_lost(self, name):
        return name in self.partitioned or self.rng.random() < self.loss

    def handle_report(self, name, report):
        share = None if self.is_lost(name) else self.granter.handle_report(self.now, self.began_us, name, report)
        if share is not None:
            self.post(self.apply_share, name, report.number, share)
            for other in self.granter.take_report_requests("t"):
                self.post(self.report_early, other)

    def report_early(self, name):
        if not self.is_lost(name):
            for report in self.holders[name].report_now(self.now, "t"):
                self.post(self.handle_report, name, report)

    def apply_share(self, name, number, share):
        if not self.is_lost(name):
            self.holders[name].apply_share(self.now, "t", number, share)

    def run(self, seconds, demands):
        """Send ``demands(name, now)`` requests per second to each holder and record the admitted ones."""
        end, step_us = self.now + int(seconds * S), 5_000
        while self.now < end:
            self.now += step_us
            while self.messages and self.messages[0][0] <= self.now:
                _, _, deliver, arguments = heapq.heappop(self.messages)
                deliver(*arguments)
            for name, holder in self.holders.items():
                wanted = demands(name, self.now) * step_us / S
                for _ in range(int(wanted) + (self.rng.random() < wanted % 1)):
                    if holder.take(self.now, "t", self.rate, len(self.holders)) == 0:
                        self.admitted_at_us.append(self.now)
                for report in holder.tick(self.now):
                    self.post(self.handle_report, name, report)

    def max_rate_ratio(self, window_us):
        """Return the maximum of admitted requests in any window, divided by the rate."""
        first, highest = 0, 0
        for last, at in enumerate(self.admitted_at_us):
            while self.admitted_at_us[first] <= at - window_us:
                first += 1
            highest = max(highest, last - first + 1)
        return highest / (self.rate * window_us / S)


class RatesTest(unittest.TestCase):
    """The bound is (1 + u / (10 n)) times the rate, with u of n members without a lease, plus the saved bursts."""

    def bound(self, fleet, window_us, without_lease):
        n = len(fleet.holders)
        burst = fleet.rate * BURST_WINDOW_US / S + n
        return 1 + without_lease * floor_rate(fleet.rate, n) / fleet.rate + burst / (fleet.rate * window_us / S)

    def test_shares_follow_changing_demand_and_use_nearly_all_of_the_rate(self):
        fleet = Fleet(1)
        names = list(fleet.holders)
        fleet.run(3, lambda name, now: 100)
        before = len(fleet.admitted_at_us)
        fleet.run(20, lambda name, now: 600 if names[now // (2 * S) % 5] == name else 20)
        self.assertGreater((len(fleet.admitted_at_us) - before) / (20 * fleet.rate), 0.8)
        self.assertLess(fleet.max_rate_ratio(S), self.bound(fleet, S, 5))

    def test_steady_demand_above_the_rate_uses_95_percent_with_even_shares(self):
        fleet = Fleet(2)
        fleet.run(4, lambda name, now: 100)
        fleet.admitted_at_us.clear()
        fleet.run(10, lambda name, now: 100)
        self.assertGreater(len(fleet.admitted_at_us) / (10 * fleet.rate), 0.95)
        shares = [holder.buckets["t"].share for holder in fleet.holders.values()]
        self.assertGreater(sum(shares) ** 2 / (5 * sum(holder**2 for holder in shares)), 0.95)  # Jain's index

    def test_the_bound_holds_with_partitions_losses_and_new_granters(self):
        worst_ratio = 0.0
        for seed in range(25):
            fleet = Fleet(seed)
            for _ in range(14):
                fleet.loss = fleet.rng.choice((0.0, 0.0, 0.3))
                fleet.partitioned = set(fleet.rng.sample(sorted(fleet.holders), fleet.rng.randint(0, 3)))
                if fleet.rng.random() < 0.3:
                    fleet.granter, fleet.began_us = RateGranter(0.01), fleet.now
                hot = fleet.rng.choice(list(fleet.holders))
                fleet.run(fleet.rng.uniform(0.2, 2.5), lambda name, now, hot=hot: 800 if name == hot else 60)
            worst_ratio = max(worst_ratio, fleet.max_rate_ratio(S) / self.bound(fleet, S, 5))
            self.assertLessEqual(fleet.max_rate_ratio(5 * S), self.bound(fleet, 5 * S, 5))
        self.assertLessEqual(worst_ratio, 1.0)

    def test_a_partitioned_holder_uses_its_share_and_then_the_floor(self):
        fleet = Fleet(3)
        fleet.run(4, lambda name, now: 100)
        fleet.partitioned = {"m0@1"}
        holder = fleet.holders["m0@1"]
        share = holder.buckets["t"].pace(fleet.now)
        fleet.run(1, lambda name, now: 100)
        self.assertEqual(share, holder.buckets["t"].pace(fleet.now))
        fleet.run(3 * LEASE_US / S, lambda name, now: 100)
        self.assertEqual(floor_rate(fleet.rate, 5), holder.buckets["t"].pace(fleet.now))
        self.assertGreater(REPORT_INTERVAL_US, 0)
