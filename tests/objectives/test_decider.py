"""Tests of objectives: counters, deciders, selection of regions, and the operators' file."""

import tempfile
import unittest
from pathlib import Path

from sagetrestle.lab.picture import PictureWorld, row
from sagetrestle.net.program.promises import PromisesFileError, load_promises
from sagetrestle.gossip import GossipStore, RowBatch
from sagetrestle.objectives.counts import ObjectiveCounters, merge_histograms
from sagetrestle.objectives.decider import EVALUATION_INTERVAL_US, ObjectiveDecider
from sagetrestle.objectives.values import (
    ObjectiveConfig,
    RegionPlan,
    Objective,
    Region,
    RegionReport,
    ReservationReport,
    CapacityReport,
    ServedCounts,
)
from sagetrestle.traffic.region_selection import PLAN_TTL_US, RegionSelector
from sagetrestle.takeover import messages
from sagetrestle.takeover.gossip_kinds import KINDS, LevelRow
from sagetrestle.takeover.promises import PromiseParticipant

MS, S = 1_000, 1_000_000
OBJECTIVE = Objective("acme", "quick", 0.9, 100 * MS, 600 * S, ("near", "far"))
CONFIG = ObjectiveConfig(
    (Region("near", ("s0", "s1"), 1.0, "eg"), Region("far", ("s2", "s3"), 2.0, "de")), {("acme", "quick"): OBJECTIVE}
)


def encoded_histogram(ms, count=100):
    counts = ObjectiveCounters()
    for _ in range(count):
        counts.record(0, None, "quick", "near", ms * MS, True)
    return next(counts.region_reports(S))[2].histogram


class ObjectiveCountersTest(unittest.TestCase):
    """One member's counters."""

    def test_answers_within_the_target_are_good_and_failed_ones_are_late_without_a_time(self):
        counts = ObjectiveCounters()
        for took, good in ((99 * MS, True), (100 * MS, True), (101 * MS, True), (1 * MS, False)):
            counts.record(0, OBJECTIVE, "quick", "near", took, good)
        self.assertEqual([ServedCounts("acme", "quick", "near", 2, 2)], counts.take_changed())
        self.assertEqual([], counts.take_changed())  # nothing new
        [(region, class_name, report)] = counts.region_reports(S)
        self.assertEqual(("near", "quick", 3.0), (region, class_name, report.per_s))
        self.assertAlmostEqual(100, merge_histograms(iter([report.histogram])).get_value_at_percentile(99), delta=2)

    def test_histograms_add_up_and_undecodable_ones_are_left_out(self):
        whole = merge_histograms(iter([encoded_histogram(10), encoded_histogram(200), b"nonsense", b""]))
        self.assertEqual(200, whole.get_total_count())
        self.assertAlmostEqual(200, whole.get_value_at_percentile(99), delta=2)

    def test_old_response_times_are_dropped(self):
        counts = ObjectiveCounters()
        counts.record(0, None, "quick", "near", 500 * MS, True)
        counts.record(6 * S, None, "quick", "near", 10 * MS, True)
        counts.record(12 * S, None, "quick", "near", 10 * MS, True)
        [(_, _, report)] = counts.region_reports(12 * S)
        self.assertAlmostEqual(10, merge_histograms(iter([report.histogram])).get_max_value(), delta=1)


class DeciderTest(unittest.TestCase):
    """One decider with reports of members and gossiped rows."""

    def setUp(self):
        self.store = GossipStore("d", 1, KINDS, 1)
        self.decider, self.now, self.owned = ObjectiveDecider(CONFIG, self.store), 0, True
        self.version = 0

    def gossip_row(self, kind, subject, value, origin="m"):
        self.version += 1
        self.store.receive(
            self.now, self.now, origin, RowBatch((row(origin, kind, subject, self.version, value, unix=self.now),))
        )

    def report(self, good, late, member="a@1", region="near", since=0):
        self.decider.handle_counts(
            self.now, self.now, since, member, [ServedCounts("acme", "quick", region, good, late)]
        )

    def evaluate(self, seconds=1):
        plans = []
        for _ in range(seconds):
            self.now += EVALUATION_INTERVAL_US
            plans = self.decider.tick(self.now, self.now, lambda key: 7, lambda key: self.owned)
        return plans

    def account(self):
        return self.decider.accounts[("acme", "quick")]

    def test_repeated_and_reordered_reports_count_once(self):
        self.report(10, 0)  # the baseline: the previous decider counted these
        for good, late in ((20, 1), (20, 1), (15, 0), (30, 2)):
            self.report(good, late)
        self.assertEqual((20, 2), (self.account().good, self.account().late))
        self.report(5, 0, "b@1")
        self.report(9, 1, "b@1")
        self.assertEqual((24, 3), (self.account().good, self.account().late))

    def test_a_new_decider_continues_with_the_counts_and_the_plan_of_the_window(self):
        self.report(0, 0)
        self.report(90, 30)
        self.evaluate()
        self.account().plan.shares = {"far": 1.0}
        self.evaluate(2)
        successor = ObjectiveDecider(CONFIG, self.store)
        successor.handle_counts(self.now, self.now, self.now, "a@1", [ServedCounts("acme", "quick", "near", 90, 30)])
        account = successor.accounts[("acme", "quick")]
        self.assertEqual(
            (90, 30, {"far": 1.0}, True), (account.good, account.late, account.plan.shares, account.breached)
        )

    def test_counts_are_reset_with_each_window_and_a_breach_is_logged_once(self):
        self.report(0, 0)
        self.report(50, 50)
        self.evaluate(5)
        self.assertEqual(1, len(self.decider.notes()))
        self.assertEqual([], self.decider.notes())
        self.now = 600 * S
        self.report(60, 50)
        self.assertEqual((10, 0, False), (self.account().good, self.account().late, self.account().breached))

    def test_load_leaves_a_slow_region_and_all_reporting_members_get_the_plan(self):
        self.gossip_row("region", "near\0quick", RegionReport(50.0, encoded_histogram(400)))
        self.gossip_row("region", "far\0quick", RegionReport(5.0, encoded_histogram(40)))
        self.report(0, 0)
        self.report(0, 0, "b@1")
        plans = self.evaluate()
        self.assertEqual({"a@1", "b@1"}, {id for id, _ in plans})
        self.assertEqual(RegionPlan("acme", "quick", (("far", 0.25), ("near", 0.75))), plans[0][1][0])

    def test_moves_are_bounded_by_capacity_and_by_reservations_of_others(self):
        self.gossip_row("region", "near\0quick", RegionReport(50.0, encoded_histogram(400)))
        for server in ("s2", "s3"):
            self.gossip_row("room", server, CapacityReport(2.0, 100_000.0, False))  # 40 requests per second in all
        self.gossip_row("region", "far\0quick", RegionReport(16.0, encoded_histogram(40)))
        self.gossip_row("reserve", "far", ReservationReport(10.0), origin="other")
        self.report(0, 0)
        self.report(0, 100)
        self.account().per_s = 100.0
        self.evaluate()
        self.assertAlmostEqual(
            0.5 * (0.9 * 40 - 16 - 10) / self.account().per_s, self.account().plan.shares["far"], delta=0.002
        )
        self.assertIsNotNone(self.store.get("d", "reserve", "far"))

    def test_free_capacity_is_given_once_and_first_to_the_tenant_within_its_budget(self):
        other = Objective("basel", "quick", 0.9, 100 * MS, 600 * S, ("near", "far"))
        self.decider = ObjectiveDecider(
            ObjectiveConfig(CONFIG.regions, {("acme", "quick"): OBJECTIVE, ("basel", "quick"): other}), self.store
        )
        self.gossip_row("region", "near\0quick", RegionReport(50.0, encoded_histogram(400)))
        self.gossip_row("room", "s2", CapacityReport(2.0, 100_000.0, False))
        for tenant, good, late in (("acme", 0, 60), ("basel", 6, 0)):
            for part in (0, 1):
                self.decider.handle_counts(
                    0, 0, 0, "a@1", [ServedCounts(tenant, "quick", "near", good * part, late * part)]
                )
            self.decider.accounts[(tenant, "quick")].per_s = 40.0
        self.evaluate()
        shares = {tenant: account.plan.shares.get("far", 0.0) for (tenant, _), account in self.decider.accounts.items()}
        self.assertGreater(shares["basel"], 1.5 * shares["acme"])
        moved = sum(account.plan.shares.get("far", 0.0) * account.per_s for account in self.decider.accounts.values())
        self.assertLessEqual(moved, 0.9 * 20 * 0.76)

    def test_a_region_without_servers_is_down_and_load_leaves_it_even_for_a_shedding_one(self):
        for server in ("s0", "s1"):
            self.gossip_row("room", server, CapacityReport(2.0, 100_000.0, True))
        self.gossip_row("level", "far", LevelRow(1, 0.4, ()))
        self.report(0, 0)
        self.evaluate()
        self.assertEqual(
            {"far": 1.0}, self.account().plan.shares
        )  # that a region is down matters more than that the other sheds
        found = self.decider._region_statuses(self.now, OBJECTIVE)
        self.assertEqual((False, True), (found["near"].up, found["far"].sheds))

    def test_accounts_that_are_no_longer_owned_are_deleted(self):
        self.report(0, 0)
        self.owned = False
        self.assertEqual([], self.evaluate())
        self.assertEqual({}, self.decider.accounts)

    def test_one_tick_evaluates_ten_thousand_tenants(self):
        many = ObjectiveConfig(
            CONFIG.regions, {(f"t{at}", "quick"): OBJECTIVE._replace(tenant=f"t{at}") for at in range(10_000)}
        )
        decider = ObjectiveDecider(many, self.store)
        rows = [ServedCounts(f"t{at}", "quick", "near", 5, 0) for at in range(10_000)]
        decider.handle_counts(0, 0, 0, "a@1", rows)
        self.assertEqual(10_000, len(decider.accounts))
        plans = decider.tick(EVALUATION_INTERVAL_US, EVALUATION_INTERVAL_US, lambda key: 1, lambda key: True)
        self.assertEqual(10_000, sum(len(member_plans) for _, member_plans in plans))


class PromiseSeatTest(unittest.TestCase):
    """Messages between members and deciders."""

    def setUp(self):
        self.epoch = 3
        self.seat = PromiseParticipant(
            CONFIG, GossipStore("m", 1, KINDS, 1), lambda key: (1, self.epoch, f"owner of {key}")
        )

    def test_counts_go_to_the_owner_of_each_tenants_objective_in_parts(self):
        rows = [ServedCounts(tenant, "quick", "near", at, 0) for tenant in ("acme", "basel") for at in range(300)]
        messages = self.seat.report(rows)
        self.assertEqual({"owner of promise acme", "owner of promise basel"}, {to for to, _ in messages})
        self.assertTrue(all(len(message.rows) <= 200 for _, message in messages))
        self.assertEqual(600, sum(len(message.rows) for _, message in messages))

    def test_a_plan_of_an_earlier_epoch_is_ignored(self):
        plan = RegionPlan("acme", "quick", (("far", 1.0),))
        self.assertEqual((plan,), self.seat.told(messages.PlanUpdate(4, (plan,))))
        self.assertEqual((), self.seat.told(messages.PlanUpdate(3, (plan,))))

    def test_of_two_deciders_in_a_partition_the_later_epoch_prevails_in_the_store(self):
        world = PictureWorld(3)
        for name, epoch, share in (("m0", 3, "near"), ("m1", 4, "far")):
            seat = PromiseParticipant(CONFIG, world.all[name], lambda key, epoch=epoch: (1, epoch, ""))
            seat.decider.handle_counts(0, 0, 0, "a@1", [ServedCounts("acme", "quick", "near", 0, 0)])
            seat.decider.accounts[("acme", "quick")].plan.shares = {share: 1.0}
            seat.passed(EVALUATION_INTERVAL_US, EVALUATION_INTERVAL_US, lambda key: True)
        for _ in range(10):
            world.beat()
        successor = ObjectiveDecider(CONFIG, world.all["m2"])
        successor.handle_counts(world.now, world.now, 0, "a@1", [ServedCounts("acme", "quick", "near", 0, 0)])
        self.assertEqual({"far": 1.0}, successor.accounts[("acme", "quick")].plan.shares)


class RegionSelectorTest(unittest.TestCase):
    """Selection of regions at one member."""

    def setUp(self):
        self.regions = RegionSelector(CONFIG)

    def first_choice_shares(
        self, count=2000, now=0, tenant="acme", unavailable=(), safe=True, level=lambda region: 1.0
    ):
        found = [
            self.regions.choose(now, f"id{index}", tenant, "quick", safe, unavailable, level).regions[0]
            for index in range(count)
        ]
        return {name: found.count(name) / count for name in ("near", "far")}

    def test_without_a_plan_the_preferred_region_is_chosen_and_only_safe_requests_explore(self):
        self.assertAlmostEqual(0.02, self.first_choice_shares()["far"], delta=0.01)
        self.assertEqual(0.0, self.first_choice_shares(safe=False)["far"])

    def test_requests_follow_the_shares_of_the_last_plan_whatever_its_age(self):
        self.regions.apply_plans(0, (RegionPlan("acme", "quick", (("far", 0.25), ("near", 0.75))),))
        for now in (0, 100 * PLAN_TTL_US):
            self.assertAlmostEqual(0.25, self.first_choice_shares(now=now)["far"], delta=0.03)

    def test_all_members_choose_the_same_regions_for_a_request(self):
        self.regions.apply_plans(0, (RegionPlan("acme", "quick", (("far", 0.5), ("near", 0.5))),))
        other = RegionSelector(CONFIG)
        other.apply_plans(0, (RegionPlan("acme", "quick", (("far", 0.5), ("near", 0.5))),))
        for index in range(100):
            self.assertEqual(
                self.regions.choose(0, f"id{index}", "acme", "quick", True, ()).regions,
                other.choose(0, f"id{index}", "acme", "quick", True, ()).regions,
            )

    def test_a_region_without_available_servers_comes_last_and_a_disallowed_one_never(self):
        self.assertEqual({"near": 0.0, "far": 1.0}, self.first_choice_shares(unavailable=("s0", "s1")))
        self.regions.apply_plans(0, (RegionPlan("acme", "quick", (("far", 1.0),)),))
        # Exploring requests still go to the region, as trials.
        self.assertAlmostEqual(0.02, self.first_choice_shares(unavailable=("s0", "s1"))["near"], delta=0.01)
        selector = RegionSelector(
            ObjectiveConfig(CONFIG.regions, {("acme", "quick"): OBJECTIVE._replace(regions=("near",))})
        )
        chosen = selector.choose(0, "x", "acme", "quick", True, ("s0", "s1"))
        self.assertEqual((("s0", "s1"),), selector.groups("x"))
        self.assertEqual(("near",), chosen.regions)

    def test_without_an_objective_regions_are_weighted_by_servers_and_admission_level(self):
        self.assertAlmostEqual(0.5, self.first_choice_shares(tenant="other")["near"], delta=0.04)
        low = self.first_choice_shares(tenant="other", level=lambda region: 0.2 if region == "near" else 1.5)
        self.assertAlmostEqual(0.2 / 1.2, low["near"], delta=0.04)

    def test_a_member_without_a_plan_avoids_a_region_with_late_answers(self):
        for index in range(30):
            self.regions.choose(0, f"x{index}", "acme", "quick", True, ())
            self.regions.record_server(f"x{index}", "s0")
            self.regions.request_finished(500 * MS, f"x{index}", True)
        self.assertGreater(self.first_choice_shares(now=S)["far"], 0.9)
        self.assertLess(self.first_choice_shares(now=60 * S)["far"], 0.1)

    def test_an_answer_counts_for_the_region_of_its_server(self):
        self.regions.choose(0, "x", "acme", "quick", True, ())
        self.regions.record_server("x", "s3")
        self.assertEqual("far", self.regions.region_of("x"))
        self.regions.request_finished(50 * MS, "x", True)
        self.regions.request_finished(50 * MS, "x", True)  # a repetition does not count
        self.assertEqual([ServedCounts("acme", "quick", "far", 1, 0)], self.regions.counters.take_changed())

    def test_a_caller_that_left_counts_as_late_only_after_the_target(self):
        for id, took in (("a", 50 * MS), ("b", 150 * MS)):
            self.regions.choose(0, id, "acme", "quick", True, ())
            self.regions.caller_left(took, id)
        self.assertEqual(1, sum(counts.late for counts in self.regions.counters.take_changed()))

    def test_plans_for_unknown_tenants_are_ignored(self):
        self.regions.apply_plans(
            0, (RegionPlan("gone", "quick", (("far", 1.0),)), RegionPlan("acme", "quick", (("far", 1.0),)))
        )
        self.assertGreater(self.first_choice_shares()["far"], 0.9)
        self.assertAlmostEqual(0.5, self.first_choice_shares(tenant="gone")["far"], delta=0.05)


FILE = """
[[regions]]
name = "near"
servers = ["s0"]
residency = "eg"
[[regions]]
name = "far"
servers = ["s1"]
residency = "de"
[[promises]]
tenant = "acme"
class = "quick"
share = 0.9
target_ms = 100
window_s = 600
regions = ["near", "far"]
"""


class PromisesFileTest(unittest.TestCase):
    """``deploy/promises.toml``."""

    def load(self, text, servers=("s0", "s1")):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "promises.toml"
            path.write_text(text)
            return load_promises(path, servers, ("quick", "paid"))

    def test_regions_and_objectives_are_loaded(self):
        found = self.load(FILE)
        self.assertEqual(OBJECTIVE, found.objective_for("acme", "quick"))
        self.assertIsNone(found.objective_for("acme", "paid"))
        self.assertEqual(("near", "far"), (found.region("s0"), found.region("s1")))
        only = self.load(FILE + 'residency = ["de"]\notherwise = "refuse"\n').objective_for("acme", "quick")
        self.assertEqual((("far",), True), (only.regions, only.refuses))
        self.assertEqual("acme", self.load(FILE.replace('"quick"', '"*"')).objective_for("acme", "paid").tenant)

    def test_the_example_file_can_be_loaded(self):
        example = Path(__file__).parent.parent.parent / "deploy" / "promises.toml.example"
        found = load_promises(example, ("s0", "s1", "s2", "s3"), ("quick-check",))
        self.assertEqual(("near", "far"), found.objective_for("acme", "quick-check").regions)

    def test_errors_name_the_file_and_the_field(self):
        for old, new, expected in (
            ('"s1"', '"s0"', "regions: far: server 's0' is in near as well"),
            ('servers = ["s1"]', 'servers = ["s9"]', "regions: far: server 's9' is not in translate.toml"),
            ('["near", "far"]', '["near", "mars"]', "promises[0].regions: 'mars' is not a region"),
            ('class = "quick"', 'class = "slow"', "promises[0].class: 'slow' is not a class of translate.toml"),
            ("share = 0.9", "share = 1.5", "promises[0].share"),
            ("window_s = 600", 'window_s = 600\nresidency = ["fr"]', "promises[0].residency: excludes all"),
            ('name = "far"', 'name = "near"', "regions: a name occurs twice"),
            ("target_ms", "aim_ms", "promises[0]"),
        ):
            with self.subTest(expected), self.assertRaises(PromisesFileError) as caught:
                self.load(FILE.replace(old, new, 1))
            self.assertIn("promises.toml: ", str(caught.exception))
            self.assertIn(expected, str(caught.exception))
        with self.assertRaises(PromisesFileError) as caught:
            self.load(FILE, ("s0", "s1", "s2"))
        self.assertIn("server 's2' is in no region", str(caught.exception))
