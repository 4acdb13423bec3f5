"""The terms of the standing test without the bench: the way out, the list, a cold start, other customers' settings."""

import copy
import math
import random
import unittest

from sagetrestle import Policy
from sagetrestle.interface import (
    ClassSettings,
    Effect,
    FailRequest,
    FreeValueKind,
    Gauges,
    PreemptionMode,
    RefuseRequest,
    RequestArrived,
    RunEnded,
    SetFreeValue,
    Settings,
    StartRun,
    TenantSettings,
    TimerFired,
)
from sagetrestle.interface import Outcome as End
from tests.net.scenario import EXTRA, PARAMS, ScenarioCase, World

S = 1_000_000


class LeavingTest(ScenarioCase):
    """After the notice: what is read on connections that stay open, and the end in time."""

    stop_ms = 6_000

    def test_within_the_grace_an_old_connection_and_a_new_one_are_served_and_past_it_refused(self):
        self.play("""
            thrift send status
            platform send TERM
            wait 1900
            thrift send a quick-check
            kernel expect SCHED a
            thrift2 send b quick-check
            kernel expect SCHED b
            wait 140
            thrift send c quick-check
            thrift expect c refused
            thrift2 send d paid-check key=D
            thrift2 expect d refused
            kernel expect nothing
            kernel send done a result
            thrift expect a served result
            kernel send done b result
            thrift2 expect b served result""")

    def test_a_request_half_read_at_the_notice_is_taken_if_its_rest_comes_within_the_grace(self):
        self.play("""
            thrift send half a quick-check
            platform send TERM
            wait 500
            thrift send rest
            kernel expect SCHED a
            kernel send done a result
            thrift expect a served result""")

    def test_a_half_whose_rest_comes_past_the_grace_is_refused_and_never_run(self):
        self.play("""
            platform send TERM
            wait 1800
            thrift send half a quick-check
            wait 400
            thrift send rest
            thrift expect a refused
            kernel expect nothing""")

    def test_one_pipelined_behind_a_half_is_answered_as_well_and_each_once(self):
        self.play("""
            platform send TERM
            wait 1800
            thrift send half a quick-check
            wait 400
            thrift send rest b paid-check key=B
            thrift expect a refused
            thrift expect b refused
            thrift send c quick-check
            thrift expect c refused
            kernel expect nothing
            thrift expect leaving""")

    def test_a_half_that_never_ends_and_connections_left_open_hold_up_no_exit(self):
        self.play("""
            thrift send a paid-check key=A
            kernel expect SCHED a
            thrift2 send half b quick-check
            platform send TERM
            wait 5600
            thrift expect a failed
            wait 300
            platform expect exit""")

    def test_a_keyed_try_that_ran_is_not_refused_past_the_grace_and_does_not_run_again(self):
        self.play("""
            thrift send a paid-check key=K
            kernel expect SCHED a
            platform send TERM
            wait 2100
            thrift send b paid-check key=K retry=1 body=a
            thrift expect b failed
            kernel expect nothing
            kernel send done a result
            thrift expect a served result""")


class ListTest(ScenarioCase):
    """What the list may be told late, twice or not at all."""

    stop_ms = 6_000

    def test_leaving_is_told_again_and_again_as_a_datagram_may_be_lost(self):
        self.play("platform send TERM")
        before = len(self.world.reports)
        self.play("wait 1500")
        told = self.world.reports[before:]
        self.assertGreaterEqual(len(told), 4)
        self.assertFalse(any(told))

    def test_a_second_notice_changes_nothing(self):
        self.play("""
            thrift send a paid-check key=A
            kernel expect SCHED a
            platform send TERM
            wait 1000
            platform send TERM
            wait 1050
            thrift2 send b quick-check
            thrift2 expect b refused
            kernel expect nothing
            kernel send done a result
            thrift expect a served result
            thrift close
            thrift2 close
            wait 100
            platform expect exit""")

    def test_callers_that_were_never_told_of_the_leave_get_an_answer_each(self):
        self.play("thrift send status\n platform send TERM\n wait 2100")
        for at in range(20):
            self.play(f"thrift send a{at} quick-check\n thrift expect a{at} refused")
        self.play("kernel expect nothing\n wait 3700\n platform expect exit")


class LongLimitTest(ScenarioCase):
    """A class of another customer's, with a limit far longer than its window."""

    params = {
        **PARAMS,
        "classes": [
            *PARAMS["classes"][:2],
            {"name": "paid-check", "aim": 12_000_000, "hard_limit": 40_000_000, "effect": "keyed", "window": 5_000_000},
        ],
    }

    def test_a_repeat_that_came_within_the_window_and_is_read_long_after_does_not_run(self):
        self.play("""
            thrift send a paid-check key=K
            kernel expect SCHED a
            kernel send done a result
            thrift expect a served result
            thrift close
            wait 24900
            thrift2 send b paid-check key=K body=a retry=1 age=20100
            kernel expect nothing
            thrift2 expect b served result""")


class StartTest(ScenarioCase):
    """A scorer whose kernel comes up cold."""

    fresh = True
    params = {**PARAMS, "extra": {**EXTRA, "cold": True}}

    def test_callers_that_hear_of_the_start_at_once_have_no_more_run_than_the_settings_let_it_survive(self):
        share, multiple, cores = 0.3, 5.0, 2
        for at in range(60):
            self.play(f"thrift{'2' * (at % 2)} send a{at} report-view caller=f{at}")
        started = [one for one in self.world.kernel.commands if one["msg"] == "SCHED"]
        self.assertGreaterEqual(len(started), cores)
        self.assertLessEqual(len(started), (1 + (multiple - 1) * share) * cores)
        self.play("wait 2200")
        answered = set()
        for name in ("thrift", "thrift2"):
            peer = self.world.actors[name]
            peer._read()
            answered |= {(name, number) for number in peer.answers}
        self.assertEqual(60, len(answered))  # each by its limit, whatever became of it

    def test_a_health_check_of_a_cold_scorer_is_good_and_its_value_is_told(self):
        self.play("thrift send status\n thrift expect status good")


def settings(**over):
    """Return one server's settings: two cores, cold, nothing else that sheds."""
    classes = (ClassSettings("view", S, 3 * S), ClassSettings("pay", S, 3 * S, effect=Effect.KEYED, window_us=5 * S))
    base = {
        "cores": 2,
        "memory_kb": 1e6,
        "classes": classes,
        "cold": True,
        "cold_share": 0.25,
        "crowd_multiple": 5.0,
        "warm_within_us": 10 * S,
        "run_factor": 1.0,
        "callers": 100,
        "preemption": PreemptionMode.PAUSE,
    }
    return Settings(**(base | over))


class Machine:
    """A server of the model under a module: cores shared by what runs; one request's work is 40 ms."""

    WORK = 40_000

    def __init__(self, over=None, pace=None, core_use=None):
        self._core_use = core_use  # what the gauge says, where it is not what the model has
        self.set = settings(**(over or {}))
        self.policy, self.now, self.work, self.ends = Policy(self.set, 1), 0, {}, {}
        self.most, self.said, self._pace = 0, [], pace or (lambda now: 1.0)
        self._did(self.policy.handle(0, []))

    def _did(self, actions):
        for one in actions:
            if isinstance(one, StartRun):
                self.work.setdefault(one.id, self.WORK)
            elif isinstance(one, RefuseRequest | FailRequest):
                self.ends[one.id] = type(one).__name__
                self.work.pop(one.id, None)
            elif isinstance(one, SetFreeValue):
                self.said.append((self.now, one.value))
        self.most = max(self.most, len(self.policy.on_cores))

    def step(self, arrivals):
        """Let 5 ms pass, in which these arrive: (name, class, caller, tenant)."""
        self.now += 5_000
        running = [id for id in self.work if id in self.policy.on_cores]
        events = [
            RequestArrived(name, cls, caller, 1.0, self.now + 3 * S, tenant, hint_us=self.WORK)
            for name, cls, caller, tenant in arrivals
        ]
        for id in running:
            self.work[id] -= 5_000 * min(1.0, self.set.cores / len(running)) * self._pace(self.now)
            if self.work[id] <= 0:
                del self.work[id]
                self.ends.setdefault(id, "served")
                events.append(RunEnded(id, End.OK, self.WORK))
        busy = min(1.0, len(running) / self.set.cores) if self._core_use is None else self._core_use
        self._did(self.policy.handle(self.now, [*events, TimerFired(self.policy.timer_token, Gauges(core_use=busy))]))

    def count(self, how="served", start=""):
        return sum(end == how for id, end in self.ends.items() if id.startswith(start))


class ColdTest(unittest.TestCase):
    """A cold server under a burst of all callers at once, as the module alone decides it."""

    def test_what_runs_at_once_stays_under_what_a_cold_server_survives(self):
        for name, over in {
            "as it is": {},
            "no time named in which it warms": {"warm_within_us": 0},
            "nothing named of cold": {"cold_share": 1.0},
            "no pauses": {"preemption": PreemptionMode.NONE},
            "one core": {"cores": 1},
            "eight": {"cores": 8},
        }.items():
            with self.subTest(name):
                server = Machine(over)
                for at in range(100):
                    server.step([(f"a{at}-{n}", n % 2, n, 0) for n in range(10 if at < 20 else 1)])
                cores, share = server.set.cores, server.set.cold_share
                warm = share if server.set.warm_within_us else 1.0
                if server.set.warm_within_us:
                    warm += (1 - share) * server.now / server.set.warm_within_us
                self.assertLessEqual(server.most, (1 + 4.0 * min(1.0, warm)) * cores)
                self.assertGreater(server.count(), 0)
                for _ in range(700):
                    server.step([])
                self.assertEqual(200 + 80, len(server.ends))  # one answer each

    def test_the_free_value_invites_no_more_as_long_as_much_is_turned_away(self):
        for kind in (FreeValueKind.LEVEL, FreeValueKind.CREDIT, FreeValueKind.WEIGHT):
            with self.subTest(kind.name):
                # What a cold server lends is small from the start (below): this is what a warm one takes back.
                over = {"free_value": kind, "cold": kind is not FreeValueKind.CREDIT}
                server = Machine(over, lambda now: 0.25)
                for at in range(400):
                    server.step([(f"a{at}-{n}", 0, n, 0) for n in range(4 if at > 200 else at % 40 == 0)])
                first, last = server.said[0][1], server.said[-1][1]
                if kind is FreeValueKind.LEVEL:
                    self.assertGreater(last, first + 0.2)
                else:
                    self.assertLess(last, first / 3)


class ColdInvitationTest(unittest.TestCase):
    """What a cold server invites over all callers together.

    The settings let it survive N requests on its cores. Each of C callers is told N / C, of which it takes the
    fraction by chance: the sum has the mean N and a variance of at most N, so that it is over N + 2 x root of N + 2
    in fewer than 2.5 of 100 draws, whatever C is.
    """

    @staticmethod
    def survived(server):
        warm = server.set.cold_share + (1 - server.set.cold_share) * server.now / server.set.warm_within_us
        return (1 + (server.set.crowd_multiple - 1) * min(1.0, warm)) * server.set.cores

    def test_it_is_told_from_the_first_answer_on_and_its_sum_is_what_is_survived(self):
        for callers in (1, 3, 30, 100, 1_000):
            for burst in (0, 4, 20):
                with self.subTest(callers=callers, burst=burst):
                    server = Machine({"free_value": FreeValueKind.CREDIT, "callers": callers}, lambda now: 0.25)
                    self.assertEqual(1, len(server.said))
                    told = 0
                    while server.now < server.set.warm_within_us - S:
                        count = burst if server.now < S else 0
                        server.step([(f"a{server.now}-{n}", 0, n % callers, 0) for n in range(count)])
                        for _, value in server.said[told:]:
                            self.assertLessEqual(value * callers, self.survived(server) + 1e-6)
                            self.assertGreater(value, 0.0)
                        told = len(server.said)
                    self.assertGreater(server.said[-1][1], server.said[0][1])  # it grows as the cores warm

    def test_more_callers_than_the_settings_name_are_invited_no_further(self):
        server = Machine({"free_value": FreeValueKind.CREDIT, "callers": 3}, lambda now: 0.25)
        while server.now < 2 * S:
            server.step([(f"a{server.now}-{n}", 0, n, 0) for n in range(40)])
        self.assertLessEqual(server.said[-1][1] * 40, self.survived(server))
        self.assertLess(server.said[-1][1], server.said[0][1])

    def test_servers_that_start_together_are_over_it_by_chance_alone(self):
        for count in (20, 30):
            for callers in (5, 30, 100):
                with self.subTest(count=count, callers=callers):
                    self.assert_by_chance_alone(count, callers)

    def assert_by_chance_alone(self, count, callers):
        """Have all callers come back at once, each of which takes up what each server told it, over 200 seeds."""
        server = Machine({"free_value": FreeValueKind.CREDIT, "callers": callers})
        value, survived = server.said[0][1], self.survived(server)
        most = survived + 2 * math.sqrt(survived) + 2
        sums = []
        for seed in range(200):
            draws = random.Random(seed)
            for _ in range(count):
                sums.append(sum(int(value) + (draws.random() < value % 1) for _ in range(callers)))
        self.assertLessEqual(sum(sums) / len(sums), survived + 0.2)
        self.assertLess(sum(one > most for one in sums), 0.025 * len(sums))


class SharesTest(unittest.TestCase):
    """Under overload each class and each tenant inside its share gets its part."""

    def test_each_class_with_a_twentieth_of_the_requests_gets_half_of_what_an_even_hand_gives(self):
        for worth in (1.0, 4.0):
            with self.subTest(worth=worth):
                classes = (
                    ClassSettings("view", S, 3 * S),
                    ClassSettings("few", S, 3 * S, worth=worth),
                    ClassSettings("pay", S, 3 * S, effect=Effect.KEYED, window_us=5 * S),
                )
                server = Machine({"classes": classes, "cold": False})
                for at in range(1200):  # 50 a second are done, 80 come
                    if at % 5 != 4:
                        server.step(
                            [
                                (
                                    f"{'fp'[at % 2] if at % 10 < 2 else 'v'}{at}",
                                    (1 + at % 2) if at % 10 < 2 else 0,
                                    at % 40,
                                    0,
                                )
                            ]
                            if at % 2 == 0 or at % 10 < 2
                            else []
                        )
                    else:
                        server.step([])
                even = server.count() / max(1, len(server.ends))
                for start in "vfp":
                    got = server.count(start=start) / max(1, sum(id.startswith(start) for id in server.ends))
                    self.assertGreaterEqual(got, even / 2, (start, got, even))

    def test_a_tenant_inside_its_share_gets_a_third_at_the_least_beside_one_far_over_its_own(self):
        tenants = (TenantSettings("small", 20.0), TenantSettings("large", 30.0))
        server = Machine({"tenants": tenants, "over_share_worth": 0.1, "cold": False})
        for at in range(1200):  # 20 a second of one, 160 of the other
            server.step([(f"s{at}", 0, 0, 0)] * (at % 10 == 0) + [(f"l{at}", 0, 50 + at % 40, 1)] * (at % 5 != 4))
        small = server.count(start="s") / sum(id.startswith("s") for id in server.ends)
        self.assertGreaterEqual(small, 1 / 3)
        self.assertGreater(small, server.count(start="l") / sum(id.startswith("l") for id in server.ends))


def made_up(name, classes, extra=None, **more):
    """Return settings of another customer."""
    return name, {
        "classes": classes,
        "extra": {**{"cores": 1, "memory_kb": 9_000.0}, **(extra or {})},
        "servers": 2,
        "tick": 1_000,
        **more,
    }


def cls(name, aim_ms, limit_ms, effect="safe", **more):
    return {"name": name, "aim": aim_ms * 1000, "hard_limit": limit_ms * 1000, "effect": effect, **more}


CUSTOMERS = dict(
    [
        made_up(
            "hasty: limits of 300 ms",
            [cls("ping", 100, 300), cls("book", 150, 300, "keyed", window=900_000)],
            {"halt": "abort"},
            limits={"retry_after": True, "max_retry_after": 200_000},
        ),
        made_up(
            "slow: limits of a minute", [cls("study", 20_000, 60_000, late_share=0.5)], {"cores": 16, "halt": "suspend"}
        ),
        made_up("no keyed class", [cls("a", 900, 2_000), cls("b", 900, 2_000, worth=9.0)], {"say": "threshold"}),
        made_up(
            "only keyed classes",
            [
                cls("debit", 800, 4_000, "keyed", window=20_000_000),
                cls("credit", 800, 4_000, "keyed", window=4_000_000, worth=0.5),
            ],
            {"say": "window"},
        ),
        made_up(
            "writes that may not be repeated",
            [cls("put", 700, 2_500, "unsafe"), cls("get", 700, 2_500)],
            {"halt": "suspend", "say": "share_of"},
        ),
        made_up(
            "many tenants",
            [cls("x", 600, 1_800)],
            projects=[{"name": f"team-{at}", "allowance_per_s": 0.5 * at} for at in range(50)],
            over_share_worth=0.2,
        ),
        made_up("costs and most else absent", [{"aim": 500_000, "hard_limit": 1_500_000}], {"memory_kb": 2_000.0}),
        made_up(
            "names in other letters",
            [cls("درجة-ائتمان", 500, 1_500), cls("оценка_2", 500, 1_500, "keyed", window=2_000_000)],
        ),
    ]
)


class CustomersTest(ScenarioCase):
    """Nothing is fitted to one deployment: settings that no one here has are served by the same rules."""

    def serve(self, params, fresh):
        world = World(self, 4_000, params=copy.deepcopy(params), fresh=fresh)
        world.actors["thrift"].call = None
        for at, one in enumerate(params["classes"]):
            name, keyed = one.get("name", "0"), one.get("effect") == "keyed"
            world.play(f"""
                thrift send a{at} {name} {f"key=K{at}" if keyed else ""} hint=5
                kernel expect SCHED a{at}
                kernel send done a{at} result{at}
                thrift expect a{at} served result{at}""")
            if keyed:
                world.play(f"""
                    thrift send b{at} {name} key=K{at} body=a{at} retry=1
                    thrift expect b{at} served result{at}
                    kernel expect nothing""")
        limits = [one["hard_limit"] // 1000 for one in params["classes"]]
        for at in range(40):
            which = at % len(limits)
            keyed = params["classes"][which].get("effect") == "keyed"
            world.play(
                f"thrift{'2' * (at % 2)} send c{at} {params['classes'][which].get('name', '0')} "
                + (f"key=C{at}" if keyed else "")
            )
        world.wait(max(limits) + 60)
        answers = []
        for name in ("thrift", "thrift2"):
            peer = world.actors[name]
            peer._read()
            answers += [number for number in peer.answers if isinstance(number, int)]
        self.assertEqual(40, len(answers))  # each once: a second one fails in ``_read``
        world.play("platform send TERM\n wait 4000\n platform expect exit")

    def test_every_customers_settings_are_taken_and_served(self):
        for name, params in CUSTOMERS.items():
            for fresh in (False, True):
                with self.subTest(name, cold=fresh):
                    self.serve(params, fresh)


class BoundTest(unittest.TestCase):
    """The bound on a cold start, as the page has it: N + 3 root of N + 3 requests of mean work in the time named."""

    def test_a_server_alone_never_lets_in_more_at_once_than_the_bound(self):
        for cores in (1, 2, 4, 16):
            for share in (0.1, 0.3, 1.0):  # cores that wait for something, so that the run limit climbs
                server = Machine({"cores": cores, "cold_share": share, "warm_within_us": 40 * S}, core_use=0.5)
                for at in range(600):
                    server.step([(f"a{at}-{n}", 0, n, 0) for n in range(cores if at % 4 else 2 * cores)])
                survives = (1 + 4.0 * (share + (1 - share) * server.now / (40 * S))) * cores
                self.assertLessEqual(server.most, survives + 3 * math.sqrt(survives) + 3)
                self.assertLessEqual(server.most, survives)
