"""The router: choice of members for safe requests, and binding of charges."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as strategies

from sagetrestle.membership.values import Member, MemberState
from sagetrestle.membership.view import View
from sagetrestle.router import ExecutionProof, NoRoute, NoRouteReason, Route, Router, RouterConfig, RouteRequest
from sagetrestle.router.rendezvous import highest, ranked
from tests.membership.helpers import S, instance


def view(*members: Member) -> View:
    return View().with_changes(members)


def member(number, life=MemberState.LIVE, warmup_start_us=0, **fields) -> Member:
    return Member(instance(number, **fields), life, 0, warmup_start_us)


class RendezvousTest(unittest.TestCase):
    """Rendezvous hashing."""

    def test_only_the_keys_of_a_removed_member_move(self):
        members = [member(index) for index in range(10)]
        before = {key: highest(key, members).instance.name for key in map(str, range(2_000))}
        after = {key: highest(key, members[:9]).instance.name for key in before}
        moved = [key for key in before if before[key] != after[key]]
        self.assertEqual({"n9"}, {before[key] for key in moved})
        self.assertAlmostEqual(200, len(moved), delta=60)

    def test_shares_follow_weights_and_the_ranking_starts_with_the_highest(self):
        members = [member(0, weight=1), member(1, weight=3)]
        chosen = Counter(highest(str(key), members).instance.name for key in range(4_000))
        self.assertAlmostEqual(3.0, chosen["n1"] / chosen["n0"], delta=0.4)
        self.assertEqual(highest("k", members), ranked("k", members)[0])


class SafeTest(unittest.TestCase):
    """Safe requests go to the least loaded of a few members."""

    def setUp(self):
        self.router = Router(seed=1)

    def test_requests_are_spread_by_open_attempts(self):
        self.router.set_view(view(*(member(index) for index in range(5))))
        for _ in range(100):
            route = self.router.choose(RouteRequest(), 0)
            self.router.attempt_started(route, None, 0)
        counts = [self.router.outstanding(f"n{index}") for index in range(5)]
        self.assertLessEqual(max(counts) - min(counts), 6)

    def test_only_live_members_that_were_not_tried_are_chosen(self):
        self.router.set_view(
            view(
                member(0, MemberState.DRAINING),
                member(1, MemberState.SUSPECTED),
                member(2, MemberState.RESTING),
                member(3),
            )
        )
        self.assertEqual("n3", self.router.choose(RouteRequest(), 0).member.instance.name)
        self.assertEqual(NoRoute(NoRouteReason.ALL_TRIED), self.router.choose(RouteRequest(tried=("n3",)), 0))
        self.router.set_view(view(member(0, MemberState.DRAINING)))
        self.assertEqual(NoRoute(NoRouteReason.NO_MEMBER), self.router.choose(RouteRequest(), 0))

    def test_the_lowest_priority_number_is_preferred(self):
        self.router.set_view(view(member(0, priority=2), member(1, priority=1)))
        self.assertEqual({"n1"}, {self.router.choose(RouteRequest(), 0).member.instance.name for _ in range(20)})

    def test_a_member_that_returns_is_warmed_up(self):
        """Its share starts at a seventh and is full after the warm-up."""
        self.router.set_view(view(member(0), member(1, warmup_start_us=S)))
        for now, least, most in ((S, 0.05, 0.25), (20 * S, 0.4, 0.6)):
            chosen = Counter()
            for _ in range(400):
                route = self.router.choose(RouteRequest(), now)
                self.router.attempt_started(route, None, now)
                chosen[route.member.instance.name] += 1
            self.assertTrue(least <= chosen["n1"] / 400 <= most, chosen)
            self.router._outstanding.clear()


class ChargeTest(unittest.TestCase):
    """Attempts of a charge go to the member that may have run it, or nowhere."""

    def setUp(self):
        self.router = Router(RouterConfig(window_us=10 * S, max_keys=50), seed=1)
        self.members = [member(index) for index in range(5)]
        self.router.set_view(view(*self.members))

    def send(self, key="K", now=0, tried=()):
        route = self.router.choose(RouteRequest(key, tried), now)
        return route, (self.router.attempt_started(route, key, now) if isinstance(route, Route) else None)

    def test_two_routers_choose_the_same_member_for_a_key(self):
        other = Router(seed=99)
        other.set_view(view(*reversed(self.members)))
        for key in map(str, range(50)):
            self.assertEqual(self.router.choose(RouteRequest(key), 0).member, other.choose(RouteRequest(key), 0).member)

    def test_a_retry_goes_to_the_member_that_may_have_run_it_whatever_its_state(self):
        route, attempt = self.send()
        self.router.attempt_ended(attempt, ExecutionProof.MAY_HAVE_RUN, 0)
        name = route.member.instance.name
        for life in (MemberState.SUSPECTED, MemberState.DRAINING, MemberState.RESTING):
            self.router.set_view(
                view(*(first._replace(state=life) if first.instance.name == name else first for first in self.members))
            )
            chosen, _ = self.send(tried=(name,))
            self.assertEqual((name, True), (chosen.member.instance.name, chosen.bound))

    def test_a_bound_charge_goes_nowhere_once_its_member_is_gone_or_restarted(self):
        route, attempt = self.send()
        self.router.attempt_ended(attempt, ExecutionProof.MAY_HAVE_RUN, 0)
        left = [first for first in self.members if first.instance.name != route.member.instance.name]
        again = route.member._replace(instance=route.member.instance._replace(boot=2))
        for members in (left, [*left, again]):
            self.router.set_view(view(*members))
            chosen, _ = self.send(now=4 * S)
            self.assertEqual(NoRoute(NoRouteReason.BOUND_MEMBER_UNREACHABLE, 6 * S), chosen)
        chosen, _ = self.send(now=10 * S)  # its window has expired
        self.assertIsInstance(chosen, Route)

    def test_only_a_charge_that_never_ran_may_go_to_another_member(self):
        route, attempt = self.send()
        self.router.attempt_ended(attempt, ExecutionProof.NEVER_RAN, 0)
        chosen, _ = self.send(tried=(route.member.instance.name,))
        self.assertNotEqual(route.member, chosen.member)

    def test_concurrent_attempts_share_a_binding_until_all_are_proven_never_to_have_run(self):
        route, first = self.send()
        _, second = self.send()
        self.router.attempt_ended(first, ExecutionProof.NEVER_RAN, 0)
        chosen, _ = self.send(tried=(route.member.instance.name,))
        self.assertEqual((route.member, True), (chosen.member, chosen.bound))
        self.router.attempt_ended(second, ExecutionProof.MAY_HAVE_RUN, 0)
        self.assertEqual(1, self.router.bound_key_count())

    def test_an_open_attempt_keeps_its_key_bound_beyond_the_window(self):
        _, attempt = self.send()
        self.router.choose(RouteRequest(), 30 * S)
        self.assertEqual(1, self.router.bound_key_count())
        self.router.attempt_ended(attempt, ExecutionProof.SERVED, 30 * S)
        self.router.choose(RouteRequest(), 41 * S)
        self.assertEqual(0, self.router.bound_key_count())

    def test_the_number_of_bound_keys_is_limited_and_none_is_released_early(self):
        for number in range(50):
            _, attempt = self.send(str(number))
            self.router.attempt_ended(attempt, ExecutionProof.SERVED, 0)
        self.assertEqual(NoRoute(NoRouteReason.TOO_MANY_BOUND_KEYS), self.send("one more")[0])
        self.assertIsInstance(self.send("7")[0], Route)
        self.assertIsInstance(self.send("one more", now=11 * S)[0], Route)

    STEPS = ["send", "served", "never", "may", "drain", "gone", "anew", "back"]

    @given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from(STEPS), strategies.integers(0, 3), strategies.integers(0, 4)),
            max_size=60,
        )
    )
    def test_no_order_of_events_sends_a_charge_to_a_second_member_that_may_run_it_twice(self, steps):
        """Compare with a record of the member, by name and boot, that may have run each key."""
        router = Router(RouterConfig(window_us=1_000 * S), seed=1)
        members = {index: member(index) for index in range(5)}
        router.set_view(view(*members.values()))
        open_attempts, ran = [], {}
        for step, key, index in steps:
            if step == "send":
                route = router.choose(RouteRequest(str(key)), 0)
                if isinstance(route, Route):
                    process = (route.member.instance.name, route.member.instance.boot)
                    self.assertIn(ran.get(key, process), (process,))
                    for _, other, other_process in open_attempts:
                        self.assertTrue(other != key or other_process == process)
                    open_attempts.append((router.attempt_started(route, str(key), 0), key, process))
            elif step in ("served", "never", "may") and open_attempts:
                attempt, attempt_key, process = open_attempts.pop(index % len(open_attempts))
                end = {
                    "served": ExecutionProof.SERVED,
                    "never": ExecutionProof.NEVER_RAN,
                    "may": ExecutionProof.MAY_HAVE_RUN,
                }[step]
                router.attempt_ended(attempt, end, 0)
                if end is not ExecutionProof.NEVER_RAN:
                    ran[attempt_key] = process
            elif step == "drain":
                members[index] = members.get(index, member(index))._replace(state=MemberState.DRAINING)
            elif step == "gone":
                members.pop(index, None)
            elif step == "anew":
                members[index] = member(index, boot=members[index].instance.boot + 1 if index in members else 9)
            elif step == "back":
                members[index] = members.get(index, member(index))._replace(state=MemberState.LIVE)
            router.set_view(view(*members.values()))
