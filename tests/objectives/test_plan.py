"""One tenant's plan: what moves, how much, and what does not."""

import random
import unittest

from sagetrestle.objectives.plan import CALM_EVALUATIONS, MAX_MOVE_SHARE, RecentCounts, Plan, RegionStatus
from sagetrestle.objectives.values import Objective

MS, S = 1_000, 1_000_000
PROMISE = Objective("acme", "quick", 0.9, 100 * MS, 600 * S, ("near", "far", "dear"))
GOOD, SLOW = (
    RegionStatus(point_us=50 * MS, count=100, free_per_s=1e9),
    RegionStatus(point_us=500 * MS, count=100, free_per_s=1e9),
)


def facts(**more):
    return {"near": GOOD, "far": GOOD._replace(cost=2.0), "dear": GOOD._replace(cost=9.0), **more}


class StepTest(unittest.TestCase):
    """Looks, one after another."""

    def setUp(self):
        self.plan = Plan(PROMISE)

    def look(self, known, lately=None, per_s=10.0, burn=0.0, times=1):
        moved = {}
        for _ in range(times):
            moved = self.plan.update(known, lately or {}, per_s, burn)
        self.assertAlmostEqual(1.0, sum(self.plan.shares.values()))
        return moved

    def test_it_begins_in_the_region_preferred_and_nothing_moves_at_rest(self):
        for _ in range(50):
            self.assertEqual({}, self.look(facts()))
        self.assertEqual(({"near": 1.0}, 0), (self.plan.shares, self.plan.moves))

    def test_a_bad_region_is_left_by_steps_for_the_next_one_that_is_allowed(self):
        self.assertEqual({"far": 10.0 * MAX_MOVE_SHARE}, self.look(facts(near=SLOW)))
        self.look(facts(near=SLOW), times=3)
        self.assertEqual({"far": 1.0}, self.plan.shares)

    def test_a_region_that_is_down_is_left_at_once_and_a_full_one_is_no_goal_but_for_that(self):
        full = facts(near=SLOW, far=GOOD._replace(sheds=True), dear=GOOD._replace(sheds=True))
        self.assertEqual({}, self.look(full))
        down = {**full, "near": RegionStatus(up=False)}
        self.assertEqual({"far": 10.0}, self.look(down))
        self.assertEqual({"far": 1.0}, self.plan.shares)

    def test_no_move_takes_more_than_half_of_the_room_that_is_free(self):
        moved = self.look(facts(near=SLOW, far=GOOD._replace(free_per_s=2.0)), per_s=100.0)
        self.assertEqual({"far": 1.0}, moved)
        moved = self.look(facts(near=SLOW, far=GOOD._replace(free_per_s=0.0)), per_s=100.0)
        self.assertEqual(["dear"], list(moved))

    def test_what_the_tenant_has_itself_goes_over_what_all_have(self):
        self.look(facts(near=SLOW), {"near": RecentCounts(95.0, 5.0)}, times=5)
        self.assertEqual({"near": 1.0}, self.plan.shares)  # slow for others only
        self.look(facts(), {"near": RecentCounts(50.0, 50.0)}, times=4)
        self.assertEqual({"far": 1.0}, self.plan.shares)  # slow for this tenant only

    def test_the_latency_of_the_few_that_were_explored_says_nothing_by_itself(self):
        few = SLOW._replace(count=5)
        self.look(facts(near=few), {"near": RecentCounts(0.0, 3.0)}, times=5)
        self.assertEqual({"near": 1.0}, self.plan.shares)

    def test_cost_brings_it_back_only_after_some_calm_looks_and_not_while_budget_burns(self):
        self.plan.shares = {"dear": 1.0}
        self.look(facts(), burn=0.9, times=20)
        self.assertEqual({"dear": 1.0}, self.plan.shares)
        self.look(facts(), times=CALM_EVALUATIONS - 1)
        self.assertEqual({"dear": 1.0}, self.plan.shares)
        self.look(facts())
        self.assertEqual({"dear": 1.0 - MAX_MOVE_SHARE, "near": MAX_MOVE_SHARE}, self.plan.shares)
        self.look(facts(), times=CALM_EVALUATIONS * 4)
        self.assertEqual({"near": 1.0}, self.plan.shares)

    def test_a_region_that_came_out_bad_is_not_gone_back_to_for_a_while(self):
        self.look(facts(near=SLOW), times=4)
        self.look(facts(), times=CALM_EVALUATIONS + 1)
        self.assertEqual({"far": 1.0}, self.plan.shares)
        self.look(facts(), times=40)
        self.assertEqual({"near": 1.0}, self.plan.shares)

    def test_where_all_are_bad_nothing_goes_round_in_circles_and_that_is_said(self):
        all_slow = facts(near=SLOW, far=SLOW, dear=SLOW)
        self.look(all_slow, times=50)
        self.assertEqual(0, self.plan.moves)
        self.assertFalse(self.plan.can_be_met(all_slow, {}))
        self.assertTrue(self.plan.can_be_met(facts(near=SLOW), {}))

    def test_whatever_is_seen_shares_sum_to_one_within_what_is_allowed(self):
        rng = random.Random(3)
        for _ in range(400):
            known = {
                name: RegionStatus(
                    rng.random() < 0.9,
                    rng.random() < 0.2,
                    rng.random() * 200 * MS,
                    rng.randint(0, 50),
                    rng.random() * 20,
                    rng.random(),
                )
                for name in PROMISE.regions
            }
            lately = {name: RecentCounts(rng.random() * 30, rng.random() * 10) for name in PROMISE.regions}
            self.look(known, lately, rng.random() * 50, rng.random() * 2)
            self.assertLessEqual(set(self.plan.shares), set(PROMISE.regions))
            self.assertTrue(all(share > 0 for share in self.plan.shares.values()))
