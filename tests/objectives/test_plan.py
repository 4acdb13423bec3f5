"""Tests of plans: when load moves between regions, and how much of it."""

import random
import unittest

from sagetrestle.objectives.plan import CALM_EVALUATIONS, MAX_MOVE_SHARE, RecentCounts, Plan, RegionStatus
from sagetrestle.objectives.values import Objective

MS, S = 1_000, 1_000_000
OBJECTIVE = Objective("acme", "quick", 0.9, 100 * MS, 600 * S, ("near", "far", "dear"))
GOOD, SLOW = (
    RegionStatus(point_us=50 * MS, count=100, free_per_s=1e9),
    RegionStatus(point_us=500 * MS, count=100, free_per_s=1e9),
)


def statuses(**more):
    return {"near": GOOD, "far": GOOD._replace(cost=2.0), "dear": GOOD._replace(cost=9.0), **more}


class PlanTest(unittest.TestCase):
    """A plan over successive evaluations."""

    def setUp(self):
        self.plan = Plan(OBJECTIVE)

    def update_plan(self, region_statuses, recent=None, per_s=10.0, burn=0.0, times=1):
        moved = {}
        for _ in range(times):
            moved = self.plan.update(region_statuses, recent or {}, per_s, burn)
        self.assertAlmostEqual(1.0, sum(self.plan.shares.values()))
        return moved

    def test_a_plan_begins_in_the_preferred_region_and_nothing_moves_without_cause(self):
        for _ in range(50):
            self.assertEqual({}, self.update_plan(statuses()))
        self.assertEqual(({"near": 1.0}, 0), (self.plan.shares, self.plan.moves))

    def test_load_leaves_a_bad_region_in_steps_for_the_next_allowed_one(self):
        self.assertEqual({"far": 10.0 * MAX_MOVE_SHARE}, self.update_plan(statuses(near=SLOW)))
        self.update_plan(statuses(near=SLOW), times=3)
        self.assertEqual({"far": 1.0}, self.plan.shares)

    def test_load_leaves_a_down_region_at_once_and_moves_to_a_shedding_one_only_then(self):
        full = statuses(near=SLOW, far=GOOD._replace(sheds=True), dear=GOOD._replace(sheds=True))
        self.assertEqual({}, self.update_plan(full))
        down = {**full, "near": RegionStatus(up=False)}
        self.assertEqual({"far": 10.0}, self.update_plan(down))
        self.assertEqual({"far": 1.0}, self.plan.shares)

    def test_no_move_takes_more_than_half_of_the_free_capacity(self):
        moved = self.update_plan(statuses(near=SLOW, far=GOOD._replace(free_per_s=2.0)), per_s=100.0)
        self.assertEqual({"far": 1.0}, moved)
        moved = self.update_plan(statuses(near=SLOW, far=GOOD._replace(free_per_s=0.0)), per_s=100.0)
        self.assertEqual(["dear"], list(moved))

    def test_the_tenants_own_counts_take_precedence_over_those_of_all_tenants(self):
        self.update_plan(statuses(near=SLOW), {"near": RecentCounts(95.0, 5.0)}, times=5)
        self.assertEqual({"near": 1.0}, self.plan.shares)  # slow for others only
        self.update_plan(statuses(), {"near": RecentCounts(50.0, 50.0)}, times=4)
        self.assertEqual({"far": 1.0}, self.plan.shares)  # slow for this tenant only

    def test_a_few_late_answers_do_not_make_a_region_bad(self):
        few = SLOW._replace(count=5)
        self.update_plan(statuses(near=few), {"near": RecentCounts(0.0, 3.0)}, times=5)
        self.assertEqual({"near": 1.0}, self.plan.shares)

    def test_load_moves_for_cost_only_after_calm_evaluations_and_not_at_a_high_burn_rate(self):
        self.plan.shares = {"dear": 1.0}
        self.update_plan(statuses(), burn=0.9, times=20)
        self.assertEqual({"dear": 1.0}, self.plan.shares)
        self.update_plan(statuses(), times=CALM_EVALUATIONS - 1)
        self.assertEqual({"dear": 1.0}, self.plan.shares)
        self.update_plan(statuses())
        self.assertEqual({"dear": 1.0 - MAX_MOVE_SHARE, "near": MAX_MOVE_SHARE}, self.plan.shares)
        self.update_plan(statuses(), times=CALM_EVALUATIONS * 4)
        self.assertEqual({"near": 1.0}, self.plan.shares)

    def test_a_region_that_turned_out_bad_is_avoided_for_some_evaluations(self):
        self.update_plan(statuses(near=SLOW), times=4)
        self.update_plan(statuses(), times=CALM_EVALUATIONS + 1)
        self.assertEqual({"far": 1.0}, self.plan.shares)
        self.update_plan(statuses(), times=40)
        self.assertEqual({"near": 1.0}, self.plan.shares)

    def test_nothing_moves_while_all_regions_are_bad_and_the_objective_can_not_be_met(self):
        all_slow = statuses(near=SLOW, far=SLOW, dear=SLOW)
        self.update_plan(all_slow, times=50)
        self.assertEqual(0, self.plan.moves)
        self.assertFalse(self.plan.can_be_met(all_slow, {}))
        self.assertTrue(self.plan.can_be_met(statuses(near=SLOW), {}))

    def test_shares_always_sum_to_one_over_allowed_regions(self):
        rng = random.Random(3)
        for _ in range(400):
            region_statuses = {
                name: RegionStatus(
                    rng.random() < 0.9,
                    rng.random() < 0.2,
                    rng.random() * 200 * MS,
                    rng.randint(0, 50),
                    rng.random() * 20,
                    rng.random(),
                )
                for name in OBJECTIVE.regions
            }
            recent = {name: RecentCounts(rng.random() * 30, rng.random() * 10) for name in OBJECTIVE.regions}
            self.update_plan(region_statuses, recent, rng.random() * 50, rng.random() * 2)
            self.assertLessEqual(set(self.plan.shares), set(OBJECTIVE.regions))
            self.assertTrue(all(share > 0 for share in self.plan.shares.values()))
