"""Rates by themselves: shares by demand, and how far over they can be when words are lost."""

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


class FairTest(unittest.TestCase):
    """Water-filling."""

    def test_small_demands_are_met_and_large_ones_share_what_is_left(self):
        self.assertEqual({"a": 10, "b": 45, "c": 45}, max_min_shares({"a": 10, "b": 300, "c": 90}, 100))

    def test_what_nobody_wants_is_left_to_all_alike(self):
        self.assertEqual({"a": 50.0, "b": 50.0}, max_min_shares({"a": 20, "b": 20}, 100))


class GranterTest(unittest.TestCase):
    """A granter."""

    def ask(self, granter, now, holder, number, demand, has=0.0, rate=100.0):
        return granter.handle_report(now, -10 * S, holder, RateReport("t", number, rate, demand, has))

    def test_what_a_holder_may_still_have_is_given_to_nobody_else(self):
        granter = RateGranter(0.01)
        self.assertEqual(100.0, self.ask(granter, 0, "a", 1, 100.0))
        self.assertEqual(0.0, self.ask(granter, 1, "b", 1, 100.0, 0.0))
        self.assertEqual(50.0, self.ask(granter, 2, "a", 2, 100.0, 100.0))
        self.assertEqual(0.0, self.ask(granter, 3, "b", 2, 100.0, 0.0))  # a may not have heard of it
        self.assertEqual(50.0, self.ask(granter, 4, "a", 3, 100.0, 50.0))
        self.assertEqual(50.0, self.ask(granter, 5, "b", 3, 100.0, 0.0))

    def test_a_silent_holders_share_is_free_after_its_lease_by_any_clock(self):
        granter = RateGranter(0.01)
        self.ask(granter, 0, "a", 1, 100.0)
        self.assertEqual(0.0, self.ask(granter, int(LEASE_US * 1.01), "b", 1, 100.0))
        self.assertEqual(100.0, self.ask(granter, int(LEASE_US * 1.01) + 2, "b", 2, 100.0))

    def test_a_new_granter_gives_what_holders_have_until_all_of_it_is_known(self):
        granter = RateGranter(0.01)
        first = granter.handle_report(0, 0, "a", RateReport("t", 7, 100.0, 100.0, 60.0))
        self.assertEqual((60.0, 0.0), (first, granter.handle_report(1, 0, "b", RateReport("t", 3, 100.0, 100.0, 0.0))))
        self.assertIsNone(granter.handle_report(2, 0, "a", RateReport("t", 7, 100.0, 100.0, 60.0)))

    def test_tenants_that_nobody_asks_for_cost_nothing(self):
        granter, holder = RateGranter(0.01), RateHolder()
        for at in range(1_000):
            holder.take(0, f"t{at}", 5.0, 3)
            granter.handle_report(0, -10 * S, "a", RateReport(f"t{at}", 1, 5.0, 1.0, 0.0))
        granter.tick(10 * S)
        holder.tick(10 * S)
        self.assertEqual((0, 0), (len(granter.accounts), len(holder.buckets)))


class Fleet:
    """Holders, a granter that may be another one, and words that take their time or are lost."""

    def __init__(self, seed, members=5, rate=200.0):
        self.rng, self.rate, self.now = random.Random(seed), rate, 0
        self.holders = {f"m{at}@1": RateHolder() for at in range(members)}
        self.granter, self.began, self.cut, self.loss = RateGranter(0.01), -10 * S, set(), 0.0
        self.mail, self.count, self.passed_at = [], 0, []

    def post(self, act, *what):
        self.count += 1
        wait = self.rng.choice((500, 1_000, 2_000, self.rng.randint(1_000, 400_000)))
        heapq.heappush(self.mail, (self.now + wait, self.count, act, what))

    def lost(self, name):
        return name in self.cut or self.rng.random() < self.loss

    def asked(self, name, ask):
        share = None if self.lost(name) else self.granter.handle_report(self.now, self.began, name, ask)
        if share is not None:
            self.post(self.apply_share, name, ask.number, share)
            for other in self.granter.take_report_requests("t"):
                self.post(self.nudged, other)

    def nudged(self, name):
        if not self.lost(name):
            for ask in self.holders[name].report_now(self.now, "t"):
                self.post(self.asked, name, ask)

    def apply_share(self, name, number, share):
        if not self.lost(name):
            self.holders[name].apply_share(self.now, "t", number, share)

    def run(self, seconds, demands):
        """Ask at each holder so often a second; each request that passes is noted."""
        end, gap = self.now + int(seconds * S), 5_000
        while self.now < end:
            self.now += gap
            while self.mail and self.mail[0][0] <= self.now:
                _, _, act, what = heapq.heappop(self.mail)
                act(*what)
            for name, one in self.holders.items():
                wanted = demands(name, self.now) * gap / S
                for _ in range(int(wanted) + (self.rng.random() < wanted % 1)):
                    if one.take(self.now, "t", self.rate, len(self.holders)) == 0:
                        self.passed_at.append(self.now)
                for ask in one.tick(self.now):
                    self.post(self.asked, name, ask)

    def most(self, window_us):
        """Return the most that passed in any window, over the rate."""
        first, most = 0, 0
        for last, at in enumerate(self.passed_at):
            while self.passed_at[first] <= at - window_us:
                first += 1
            most = max(most, last - first + 1)
        return most / (self.rate * window_us / S)


class RatesTest(unittest.TestCase):
    """The bound: (1 + u / (10 n)) of the rate with u members without a lease, and what may be saved up."""

    def bound(self, fleet, window_us, without):
        n = len(fleet.holders)
        burst = fleet.rate * BURST_WINDOW_US / S + n
        return 1 + without * floor_rate(fleet.rate, n) / fleet.rate + burst / (fleet.rate * window_us / S)

    def test_shares_follow_demand_that_jumps_and_use_nearly_all_of_the_rate(self):
        fleet = Fleet(1)
        names = list(fleet.holders)
        fleet.run(3, lambda name, now: 100)
        before = len(fleet.passed_at)
        fleet.run(20, lambda name, now: 600 if names[now // (2 * S) % 5] == name else 20)
        self.assertGreater((len(fleet.passed_at) - before) / (20 * fleet.rate), 0.8)
        self.assertLess(fleet.most(S), self.bound(fleet, S, 5))

    def test_steady_demand_over_the_rate_uses_95_percent_and_all_alike(self):
        fleet = Fleet(2)
        fleet.run(4, lambda name, now: 100)
        fleet.passed_at.clear()
        fleet.run(10, lambda name, now: 100)
        self.assertGreater(len(fleet.passed_at) / (10 * fleet.rate), 0.95)
        shares = [one.buckets["t"].share for one in fleet.holders.values()]
        self.assertGreater(sum(shares) ** 2 / (5 * sum(one**2 for one in shares)), 0.95)  # Jain's index

    def test_seeds_of_cuts_losses_and_new_granters_never_pass_the_bound(self):
        worst = 0.0
        for seed in range(25):
            fleet = Fleet(seed)
            for _ in range(14):
                fleet.loss = fleet.rng.choice((0.0, 0.0, 0.3))
                fleet.cut = set(fleet.rng.sample(sorted(fleet.holders), fleet.rng.randint(0, 3)))
                if fleet.rng.random() < 0.3:
                    fleet.granter, fleet.began = RateGranter(0.01), fleet.now
                hot = fleet.rng.choice(list(fleet.holders))
                fleet.run(fleet.rng.uniform(0.2, 2.5), lambda name, now, hot=hot: 800 if name == hot else 60)
            worst = max(worst, fleet.most(S) / self.bound(fleet, S, 5))
            self.assertLessEqual(fleet.most(5 * S), self.bound(fleet, 5 * S, 5))
        self.assertLessEqual(worst, 1.0)

    def test_one_cut_off_goes_on_with_its_share_and_then_at_the_floor(self):
        fleet = Fleet(3)
        fleet.run(4, lambda name, now: 100)
        fleet.cut = {"m0@1"}
        one = fleet.holders["m0@1"]
        share = one.buckets["t"].pace(fleet.now)
        fleet.run(1, lambda name, now: 100)
        self.assertEqual(share, one.buckets["t"].pace(fleet.now))
        fleet.run(3 * LEASE_US / S, lambda name, now: 100)
        self.assertEqual(floor_rate(fleet.rate, 5), one.buckets["t"].pace(fleet.now))
        self.assertGreater(REPORT_INTERVAL_US, 0)
