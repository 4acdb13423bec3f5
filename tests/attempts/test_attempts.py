"""A request over its tries: what goes elsewhere, what is asked after, and what it may cost."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as some

from sagetrestle.attempts.backoff import backoff_us
from sagetrestle.attempts.breaker import BreakerConfig, CircuitBreaker
from sagetrestle.attempts.budget import RetryBudget, RetryBudgets
from sagetrestle.attempts.dispatcher import CancelSend, Dispatcher, DispatcherConfig, JobFinished, QueryMember, Send
from sagetrestle.attempts.values import EXECUTION_PROOFS, AttemptOutcome, Fate, Job
from sagetrestle.membership.values import Member, MemberState
from sagetrestle.membership.view import View
from sagetrestle.router import ExecutionProof, Router
from tests.membership.helpers import MS, S, instance

NEVER = [end for end, proof in EXECUTION_PROOFS.items() if proof is ExecutionProof.NEVER_RAN]
MAYBE = [
    end
    for end, proof in EXECUTION_PROOFS.items()
    if proof is ExecutionProof.MAY_HAVE_RUN and end is not AttemptOutcome.WITHDRAWN
]


class Harness:
    """A dispatcher with a few members, in fake time."""

    def __init__(self, members: int = 4, **terms: object) -> None:
        self.router = Router(seed=1)
        self.members = {f"n{at}": Member(instance(at), MemberState.LIVE, 0) for at in range(members)}
        self.see()
        self.dispatcher, self.now = Dispatcher(self.router, DispatcherConfig(**terms), 1), S
        for _ in range(200):  # first tries that pay for retries
            for budgets in (
                self.dispatcher._route_budgets,
                self.dispatcher._tenant_budgets,
                self.dispatcher._hedge_budgets,
            ):
                budgets.budget_for("r").count_first_attempt(self.now)
                budgets.budget_for("t").count_first_attempt(self.now)

    def see(self) -> None:
        self.router.set_view(View().with_changes(self.members.values()))

    def begin(self, key=None, due=5 * S, id="j", **more):
        return self.dispatcher.submit(self.now, Job(id, "r", "t", self.now + due, key, **more))

    def end(self, send, end, answer=None, advice=0):
        return self.dispatcher.attempt_ended(self.now, send.job.id, send.number, end, answer, advice)

    def wait(self, span=10 * S):
        """Go on until something is decided."""
        until, decided = self.now + span, []
        while not decided and self.now < until and self.dispatcher.next_due() is not None:
            self.now = max(self.now, min(self.dispatcher.next_due(), until))
            decided = self.dispatcher.tick(self.now)
        return decided


class SafeTest(unittest.TestCase):
    """Requests that may be sent again."""

    def test_what_never_ran_and_what_may_have_both_go_to_another_member(self):
        for end in [*NEVER, *MAYBE]:
            world = Harness()
            (one,) = world.begin()
            (two,) = world.end(one, end) or world.wait()
            self.assertNotEqual(one.member, two.member, end)
            (done,) = world.end(two, AttemptOutcome.ANSWERED, "x")
            self.assertEqual(("x", 0), (done.result.answer, len(world.dispatcher)))

    def test_an_attempt_that_takes_too_long_is_given_up_and_another_sent(self):
        world = Harness()
        (one,) = world.begin()
        (drop,) = world.wait()
        self.assertEqual(CancelSend(one.job, one.number), drop)
        (two,) = world.wait()
        self.assertIsInstance(two, Send)
        self.assertEqual([], world.end(one, AttemptOutcome.ANSWERED, "late"))

    def test_it_ends_by_its_due_time_whatever_comes(self):
        world = Harness()
        decided = world.begin(due=150 * MS)
        while not isinstance(decided[-1], JobFinished):
            decided = world.wait()
        self.assertLessEqual(world.now, S + 150 * MS)
        self.assertIs(AttemptOutcome.TIMED_OUT, decided[-1].result.end)

    def test_advice_is_heeded_and_one_that_could_not_be_in_time_ends_at_once(self):
        world = Harness()
        (one,) = world.begin(due=3 * S)
        self.assertEqual([], world.end(one, AttemptOutcome.REFUSED, advice=S))
        before = world.now
        (two,) = world.wait()
        self.assertGreaterEqual(world.now - before, S)
        (done,) = world.end(two, AttemptOutcome.REFUSED, advice=9 * S)
        self.assertEqual((False, 9 * S), (done.result.ran, done.result.retry_after_us))

    def test_a_slow_one_gets_a_second_copy_and_the_first_answer_counts(self):
        world = Harness()
        for number in range(30):
            (one,) = world.begin(id=f"w{number}")
            world.now += 10 * MS
            world.end(one, AttemptOutcome.ANSWERED)
        (one,) = world.begin()
        (two,) = world.wait()
        self.assertNotEqual(one.member, two.member)
        drop, done = world.end(two, AttemptOutcome.ANSWERED, "second")
        self.assertEqual((one.number, "second"), (drop.number, done.result.answer))
        self.assertEqual(0, self.router_open(world))

    @staticmethod
    def router_open(world):
        return sum(world.router.outstanding(name) for name in world.members)

    def test_nobody_to_send_to_is_proven_never_to_have_run(self):
        world = Harness(0)
        (done,) = world.begin()
        self.assertFalse(done.result.ran)
        self.assertGreater(done.result.retry_after_us, 0)


class ChargeTest(unittest.TestCase):
    """Requests that must not run twice."""

    def test_in_doubt_it_is_asked_after_at_the_same_member_and_its_answer_counts(self):
        for end in MAYBE:
            world = Harness()
            (one,) = world.begin("K")
            (ask,) = world.end(one, end)
            self.assertIsInstance(ask, QueryMember)
            self.assertEqual(one.member, ask.member)
            (done,) = world.dispatcher.fate_reported(world.now, "j", ask.number, Fate.DONE, "charged")
            self.assertEqual(("charged", AttemptOutcome.ANSWERED), (done.result.answer, done.result.end))

    def test_one_that_still_runs_is_asked_again_and_never_sent(self):
        world = Harness()
        (one,) = world.begin("K")
        (ask,) = world.end(one, AttemptOutcome.RESET)
        for _ in range(3):
            self.assertEqual([], world.dispatcher.fate_reported(world.now, "j", ask.number, Fate.RUNNING))
            (ask,) = world.wait()
            self.assertIsInstance(ask, QueryMember)

    def test_only_a_servers_own_word_that_it_never_came_lets_it_go_on_and_to_that_server(self):
        world = Harness()
        (one,) = world.begin("K")
        (ask,) = world.end(one, AttemptOutcome.RESET)
        self.assertEqual([], world.dispatcher.fate_reported(world.now, "j", ask.number, Fate.UNKNOWN))
        (two,) = world.wait()
        self.assertEqual((Send, one.member), (type(two), two.member))

    def test_where_the_member_is_gone_it_ends_in_doubt_and_goes_nowhere(self):
        for anew in (False, True):
            world = Harness()
            (one,) = world.begin("K", due=2 * S)
            name = one.member.instance.name
            del world.members[name]
            if anew:
                world.members[name] = Member(one.member.instance._replace(boot=9), MemberState.LIVE, 0)
            world.see()
            decided = world.end(one, AttemptOutcome.RESET) or world.wait()
            while not isinstance(decided[-1], JobFinished):
                self.assertFalse([one for one in decided if isinstance(one, (Send, QueryMember))])
                decided = world.wait()
            self.assertTrue(decided[-1].result.ran)

    def test_what_never_ran_may_go_elsewhere(self):
        for end in NEVER:
            world = Harness()
            (one,) = world.begin("K")
            (two,) = world.end(one, end) or world.wait()
            self.assertNotEqual(one.member, two.member)

    def test_what_no_server_saw_is_sent_once_more_unpaid_and_no_further(self):
        world = Harness()
        world.dispatcher._route_budgets = RetryBudgets(0.0, 0.0)
        (one,) = world.begin()
        (two,) = world.end(one, AttemptOutcome.UNPROCESSED)
        (done,) = world.end(two, AttemptOutcome.UNPROCESSED)
        self.assertEqual((False, 1), (done.result.ran, len({one.job, two.job})))

    def test_a_caller_that_leaves_does_not_stop_a_charge_but_a_safe_one(self):
        world = Harness()
        (one,) = world.begin("K")
        self.assertEqual([], world.dispatcher.caller_gone(world.now, "j"))
        self.assertTrue(world.end(one, AttemptOutcome.ANSWERED))
        (two,) = world.begin(id="safe")
        self.assertEqual([CancelSend(two.job, two.number)], world.dispatcher.caller_gone(world.now, "safe"))
        self.assertEqual(0, len(world.dispatcher))


class SharedTest(unittest.TestCase):
    """RetryBudgets and the breaker."""

    def test_a_storm_adds_no_more_than_its_share(self):
        """Every attempt fails: the load stays under 1.1 times the first tries."""
        world = Harness()
        world.dispatcher._route_budgets, world.dispatcher._tenant_budgets = (
            RetryBudgets(0.08, 1.0),
            RetryBudgets(0.08, 1.0),
        )
        sends = firsts = 0
        for number in range(1_000):
            world.now += 10 * MS
            todo = world.begin(id=f"j{number}")
            firsts += 1
            todo += world.dispatcher.tick(world.now)
            while todo:
                one = todo.pop()
                if isinstance(one, Send):
                    sends += 1
                    todo += world.end(one, AttemptOutcome.FAILED)
        self.assertLess(sends, 1.1 * firsts + 12)
        self.assertGreater(sends, firsts)

    def test_a_tenant_can_not_spend_what_others_paid_for(self):
        budgets = RetryBudgets(0.1, 0.0)
        for _ in range(100):
            budgets.budget_for("many").count_first_attempt(S)
        self.assertFalse(budgets.budget_for("one").try_spend(S))
        self.assertEqual([True] * 10 + [False], [budgets.budget_for("many").try_spend(S) for _ in range(11)])

    @given(some.lists(some.tuples(some.booleans(), some.integers(0, 3 * S)), max_size=200))
    def test_a_budget_is_never_overdrawn(self, steps):
        budget, now = RetryBudget(0.2, 0.5), 0
        for first, passed in steps:
            now += passed
            if first:
                budget.count_first_attempt(now)
            else:
                budget.try_spend(now)
            self.assertGreaterEqual(
                budget._reserve + 0.2 * budget._sum(budget._first_attempts, now) + 1e-9 + 0.2 * len(steps),
                budget._sum(budget._retries, now),
            )

    def test_pauses_keep_their_bounds_and_spread_advice(self):
        rng, pause, drawn = random.Random(1), 0, set()
        for _ in range(200):
            pause = backoff_us(pause, 0, rng)
            self.assertTrue(10_000 <= pause <= 1_000_000)
            drawn.add(backoff_us(0, S, rng))
        self.assertTrue(min(drawn) >= S and max(drawn) <= 1.25 * S and len(drawn) > 100)

    def test_failures_in_a_row_eject_and_one_request_goes_first_on_return(self):
        breaker = CircuitBreaker(BreakerConfig(consecutive_failures=3, base_ejection_us=S))
        self.assertEqual([False, False, True], [breaker.attempt_ended("a", False, 0, 4) for _ in range(3)])
        self.assertFalse(breaker.allows("a", S - 1))
        self.assertTrue(breaker.allows("a", S))
        breaker.attempt_started("a", S)
        self.assertFalse(breaker.allows("a", S))
        self.assertTrue(breaker.attempt_ended("a", False, S, 4))  # half-open: one failure is enough, and lasts longer
        self.assertFalse(breaker.allows("a", 2 * S))
        breaker.attempt_started("a", 3 * S)
        breaker.attempt_ended("a", True, 3 * S, 4)
        self.assertTrue(breaker.allows("a", 3 * S))

    def test_never_more_than_a_share_is_ejected(self):
        breaker = CircuitBreaker(BreakerConfig(consecutive_failures=1))
        ejected = [breaker.attempt_ended(f"n{at}", False, 0, 10) for at in range(10)]
        self.assertEqual(5, sum(ejected))

    def test_one_far_under_the_others_is_ejected_though_it_never_fails_in_a_row(self):
        breaker = CircuitBreaker(BreakerConfig(window_us=S))
        for number in range(100):
            for at in range(8):
                breaker.attempt_ended(f"n{at}", at != 3 or number % 2 == 0, 0, 8)
        self.assertEqual(["n3"], breaker.eject_outliers(S, 8))

    def test_a_failing_member_is_passed_over_and_tried_when_all_are_out(self):
        world = Harness(2)
        for number in range(12):
            for one in world.begin(id=f"j{number}"):
                end = AttemptOutcome.FAILED if one.member.instance.name == "n1" else AttemptOutcome.ANSWERED
                world.end(one, end)
        (one,) = world.begin(id="x")
        self.assertEqual("n0", one.member.instance.name)
        del world.members["n0"]
        world.see()
        (one,) = world.begin(id="y")
        self.assertEqual("n1", one.member.instance.name)


class ModelTest(unittest.TestCase):
    """Any order of ends, words and time: a charge runs at one server start at most, and every job ends in time."""

    ACTS = ["served", "lost", "never", "asked", "time", "gone", "anew"]

    @given(
        some.lists(some.tuples(some.sampled_from(ACTS), some.integers(0, 4)), max_size=60),
        some.lists(some.booleans(), min_size=3, max_size=3),
    )
    def test_no_charge_at_two_servers_and_no_job_without_an_end(self, acts, charges):
        world = Harness(3)
        out, asks, ran, ends = [], [], {}, {}

        def take(decided):
            for one in decided:
                if isinstance(one, Send):
                    here = (one.member.instance.name, one.member.instance.boot)
                    if one.job.key is not None:
                        self.assertIn(ran.get(one.job.key, here), (here,))
                    out.append(one)
                elif isinstance(one, QueryMember):
                    asks.append(one)
                elif isinstance(one, JobFinished):
                    self.assertNotIn(one.job.id, ends)
                    ends[one.job.id] = world.now

        for number, charge in enumerate(charges):
            take(world.begin(f"K{number}" if charge else None, due=3 * S, id=f"j{number}"))
        for act, at in acts:
            if act == "time":
                world.now += (at + 1) * 100 * MS
                take(world.dispatcher.tick(world.now))
            elif act == "gone":
                world.members.pop(f"n{at % 3}", None)
                world.see()
            elif act == "anew":
                old = world.members.get(f"n{at % 3}")
                world.members[f"n{at % 3}"] = Member(
                    instance(at % 3, boot=old.instance.boot + 1 if old else 50), MemberState.LIVE, 0
                )
                world.see()
            elif act == "asked" and asks:
                one = asks.pop(at % len(asks))
                here = (one.member.instance.name, one.member.instance.boot)
                fate = Fate.DONE if ran.get(one.job.key) == here else Fate.UNKNOWN
                take(world.dispatcher.fate_reported(world.now, one.job.id, one.number, fate))
            elif out and act in ("served", "lost", "never"):
                one = out.pop(at % len(out))
                here = (one.member.instance.name, one.member.instance.boot)
                if act != "never" and one.job.key is not None:
                    ran[one.job.key] = here
                end = {
                    "served": AttemptOutcome.ANSWERED,
                    "lost": AttemptOutcome.RESET,
                    "never": AttemptOutcome.REFUSED,
                }[act]
                take(world.end(one, end))
        while len(world.dispatcher) and world.now < 60 * S:
            take(world.wait())
        self.assertEqual({f"j{at}" for at in range(3)}, set(ends))
