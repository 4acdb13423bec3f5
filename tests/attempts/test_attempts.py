"""Attempts of requests: retries on other members, queries for charges in doubt, budgets and the circuit breaker."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as strategies

from sagetrestle.attempts.backoff import backoff_us
from sagetrestle.attempts.breaker import BreakerConfig, CircuitBreaker
from sagetrestle.attempts.budget import RetryBudget, RetryBudgets
from sagetrestle.attempts.controller import (
    CancelSend,
    AttemptController,
    AttemptControllerConfig,
    JobFinished,
    QueryMember,
    Send,
)
from sagetrestle.attempts.values import EXECUTION_PROOFS, AttemptOutcome, Fate, Job
from sagetrestle.membership.values import Member, MemberState
from sagetrestle.membership.view import View
from sagetrestle.router import ExecutionProof, Router
from tests.membership.helpers import MS, S, instance

NEVER_RAN_OUTCOMES = [end for end, proof in EXECUTION_PROOFS.items() if proof is ExecutionProof.NEVER_RAN]
MAY_HAVE_RUN_OUTCOMES = [
    end
    for end, proof in EXECUTION_PROOFS.items()
    if proof is ExecutionProof.MAY_HAVE_RUN and end is not AttemptOutcome.WITHDRAWN
]


class Harness:
    """An attempt controller with a few members, in simulated time."""

    def __init__(self, members: int = 4, **terms: object) -> None:
        self.router = Router(seed=1)
        self.members = {f"n{index}": Member(instance(index), MemberState.LIVE, 0) for index in range(members)}
        self.update_view()
        self.attempt_controller, self.now = AttemptController(self.router, AttemptControllerConfig(**terms), 1), S
        for _ in range(200):  # first attempts that fill the retry budgets
            for budgets in (
                self.attempt_controller._route_budgets,
                self.attempt_controller._tenant_budgets,
                self.attempt_controller._hedge_budgets,
            ):
                budgets.budget_for("r").count_first_attempt(self.now)
                budgets.budget_for("t").count_first_attempt(self.now)

    def update_view(self) -> None:
        self.router.set_view(View().with_changes(self.members.values()))

    def begin(self, key=None, due=5 * S, id="j", **more):
        return self.attempt_controller.submit(self.now, Job(id, "r", "t", self.now + due, key, **more))

    def end(self, send, end, answer=None, retry_after_us=0):
        return self.attempt_controller.attempt_ended(self.now, send.job.id, send.number, end, answer, retry_after_us)

    def wait(self, span=10 * S):
        """Advance time until a decision is made."""
        until, decisions = self.now + span, []
        while not decisions and self.now < until and self.attempt_controller.next_due() is not None:
            self.now = max(self.now, min(self.attempt_controller.next_due(), until))
            decisions = self.attempt_controller.tick(self.now)
        return decisions


class SafeTest(unittest.TestCase):
    """Safe requests, which may be sent again."""

    def test_a_safe_request_is_retried_on_another_member_after_any_failure(self):
        for end in [*NEVER_RAN_OUTCOMES, *MAY_HAVE_RUN_OUTCOMES]:
            harness = Harness()
            (first,) = harness.begin()
            (second,) = harness.end(first, end) or harness.wait()
            self.assertNotEqual(first.member, second.member, end)
            (done,) = harness.end(second, AttemptOutcome.ANSWERED, "x")
            self.assertEqual(("x", 0), (done.result.answer, len(harness.attempt_controller)))

    def test_an_attempt_that_times_out_is_cancelled_and_another_sent(self):
        harness = Harness()
        (first,) = harness.begin()
        (cancel,) = harness.wait()
        self.assertEqual(CancelSend(first.job, first.number), cancel)
        (second,) = harness.wait()
        self.assertIsInstance(second, Send)
        self.assertEqual([], harness.end(first, AttemptOutcome.ANSWERED, "late"))

    def test_a_request_ends_by_its_deadline(self):
        harness = Harness()
        decisions = harness.begin(due=150 * MS)
        while not isinstance(decisions[-1], JobFinished):
            decisions = harness.wait()
        self.assertLessEqual(harness.now, S + 150 * MS)
        self.assertIs(AttemptOutcome.TIMED_OUT, decisions[-1].result.end)

    def test_retry_after_is_respected_and_ends_a_request_that_it_would_make_late(self):
        harness = Harness()
        (first,) = harness.begin(due=3 * S)
        self.assertEqual([], harness.end(first, AttemptOutcome.REFUSED, retry_after_us=S))
        before = harness.now
        (second,) = harness.wait()
        self.assertGreaterEqual(harness.now - before, S)
        (done,) = harness.end(second, AttemptOutcome.REFUSED, retry_after_us=9 * S)
        self.assertEqual((False, 9 * S), (done.result.ran, done.result.retry_after_us))

    def test_a_slow_attempt_is_hedged_and_the_first_answer_counts(self):
        harness = Harness()
        for number in range(30):
            (first,) = harness.begin(id=f"w{number}")
            harness.now += 10 * MS
            harness.end(first, AttemptOutcome.ANSWERED)
        (first,) = harness.begin()
        (second,) = harness.wait()
        self.assertNotEqual(first.member, second.member)
        cancel, done = harness.end(second, AttemptOutcome.ANSWERED, "second")
        self.assertEqual((first.number, "second"), (cancel.number, done.result.answer))
        self.assertEqual(0, self.open_attempts(harness))

    @staticmethod
    def open_attempts(harness):
        return sum(harness.router.outstanding(name) for name in harness.members)

    def test_a_request_without_any_member_is_proven_never_to_have_run(self):
        harness = Harness(0)
        (done,) = harness.begin()
        self.assertFalse(done.result.ran)
        self.assertGreater(done.result.retry_after_us, 0)


class ChargeTest(unittest.TestCase):
    """Charges, which must not run twice."""

    def test_a_charge_in_doubt_is_queried_at_the_same_member_and_its_answer_counts(self):
        for end in MAY_HAVE_RUN_OUTCOMES:
            harness = Harness()
            (first,) = harness.begin("K")
            (ask,) = harness.end(first, end)
            self.assertIsInstance(ask, QueryMember)
            self.assertEqual(first.member, ask.member)
            (done,) = harness.attempt_controller.fate_reported(harness.now, "j", ask.number, Fate.DONE, "charged")
            self.assertEqual(("charged", AttemptOutcome.ANSWERED), (done.result.answer, done.result.end))

    def test_a_charge_that_still_runs_is_queried_again_and_not_sent(self):
        harness = Harness()
        (first,) = harness.begin("K")
        (ask,) = harness.end(first, AttemptOutcome.RESET)
        for _ in range(3):
            self.assertEqual([], harness.attempt_controller.fate_reported(harness.now, "j", ask.number, Fate.RUNNING))
            (ask,) = harness.wait()
            self.assertIsInstance(ask, QueryMember)

    def test_a_charge_unknown_to_its_server_is_sent_again_to_that_server(self):
        harness = Harness()
        (first,) = harness.begin("K")
        (ask,) = harness.end(first, AttemptOutcome.RESET)
        self.assertEqual([], harness.attempt_controller.fate_reported(harness.now, "j", ask.number, Fate.UNKNOWN))
        (second,) = harness.wait()
        self.assertEqual((Send, first.member), (type(second), second.member))

    # Guards against the answer "never ran" for a charge whose request is still on its way to the server.
    def test_a_charge_unknown_to_its_server_stays_in_doubt_where_no_retry_is_left(self):
        for end in MAY_HAVE_RUN_OUTCOMES:
            harness = Harness()
            harness.attempt_controller._route_budgets = RetryBudgets(0.0, 0.0)
            (first,) = harness.begin("K")
            (ask,) = harness.end(first, end)
            (done,) = harness.attempt_controller.fate_reported(harness.now, "j", ask.number, Fate.UNKNOWN)
            self.assertTrue(done.result.ran, end)

    def test_a_refused_retry_proves_nothing_of_the_attempt_before_it(self):
        harness = Harness()
        (first,) = harness.begin("K")
        decisions = harness.end(first, AttemptOutcome.RESET)
        while not isinstance(decisions[-1], JobFinished):
            (decision,) = decisions
            self.assertEqual(first.member, decision.member)
            if isinstance(decision, QueryMember):
                decisions = harness.attempt_controller.fate_reported(harness.now, "j", decision.number, Fate.UNKNOWN)
            else:
                decisions = harness.end(decision, AttemptOutcome.REFUSED)
            decisions = decisions or harness.wait()
        self.assertTrue(decisions[-1].result.ran)

    def test_a_charge_in_doubt_since_a_crash_is_sent_to_its_server_without_a_retry_budget(self):
        harness = Harness()
        harness.attempt_controller._route_budgets = RetryBudgets(0.0, 0.0)
        member = harness.members["n2"].instance
        harness.router.bind("K", member.name, member.boot, harness.now)
        (ask,) = harness.begin("K", in_doubt=(member.name, member.boot))
        (send,) = harness.attempt_controller.fate_reported(harness.now, "j", ask.number, Fate.UNKNOWN)
        self.assertEqual((Send, member), (type(send), send.member.instance))

    def test_a_charge_whose_member_is_gone_ends_in_doubt_and_is_not_sent(self):
        for anew in (False, True):
            harness = Harness()
            (first,) = harness.begin("K", due=2 * S)
            name = first.member.instance.name
            del harness.members[name]
            if anew:
                harness.members[name] = Member(first.member.instance._replace(boot=9), MemberState.LIVE, 0)
            harness.update_view()
            decisions = harness.end(first, AttemptOutcome.RESET) or harness.wait()
            while not isinstance(decisions[-1], JobFinished):
                self.assertFalse([first for first in decisions if isinstance(first, (Send, QueryMember))])
                decisions = harness.wait()
            self.assertTrue(decisions[-1].result.ran)

    def test_a_charge_that_never_ran_may_go_to_another_member(self):
        for end in NEVER_RAN_OUTCOMES:
            harness = Harness()
            (first,) = harness.begin("K")
            (second,) = harness.end(first, end) or harness.wait()
            self.assertNotEqual(first.member, second.member)

    def test_a_request_that_no_server_received_is_resent_once_outside_the_budget(self):
        harness = Harness()
        harness.attempt_controller._route_budgets = RetryBudgets(0.0, 0.0)
        (first,) = harness.begin()
        (second,) = harness.end(first, AttemptOutcome.UNPROCESSED)
        (done,) = harness.end(second, AttemptOutcome.UNPROCESSED)
        self.assertEqual((False, 1), (done.result.ran, len({first.job, second.job})))

    def test_a_caller_that_leaves_cancels_a_safe_request_but_not_a_charge(self):
        harness = Harness()
        (first,) = harness.begin("K")
        self.assertEqual([], harness.attempt_controller.caller_gone(harness.now, "j"))
        self.assertTrue(harness.end(first, AttemptOutcome.ANSWERED))
        (second,) = harness.begin(id="safe")
        self.assertEqual(
            [CancelSend(second.job, second.number)], harness.attempt_controller.caller_gone(harness.now, "safe")
        )
        self.assertEqual(0, len(harness.attempt_controller))


class SharedTest(unittest.TestCase):
    """Retry budgets and the circuit breaker."""

    def test_retries_add_no_more_load_than_their_share(self):
        """When every attempt fails, the load stays below 1.1 times the first attempts."""
        harness = Harness()
        harness.attempt_controller._route_budgets, harness.attempt_controller._tenant_budgets = (
            RetryBudgets(0.08, 1.0),
            RetryBudgets(0.08, 1.0),
        )
        sends = firsts = 0
        for number in range(1_000):
            harness.now += 10 * MS
            todo = harness.begin(id=f"j{number}")
            firsts += 1
            todo += harness.attempt_controller.tick(harness.now)
            while todo:
                send = todo.pop()
                if isinstance(send, Send):
                    sends += 1
                    todo += harness.end(send, AttemptOutcome.FAILED)
        self.assertLess(sends, 1.1 * firsts + 12)
        self.assertGreater(sends, firsts)

    def test_a_tenant_cannot_spend_the_budget_of_others(self):
        budgets = RetryBudgets(0.1, 0.0)
        for _ in range(100):
            budgets.budget_for("many").count_first_attempt(S)
        self.assertFalse(budgets.budget_for("one").try_spend(S))
        self.assertEqual([True] * 10 + [False], [budgets.budget_for("many").try_spend(S) for _ in range(11)])

    @given(strategies.lists(strategies.tuples(strategies.booleans(), strategies.integers(0, 3 * S)), max_size=200))
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

    def test_backoff_keeps_its_bounds_and_adds_jitter_to_retry_after(self):
        rng, pause, drawn = random.Random(1), 0, set()
        for _ in range(200):
            pause = backoff_us(pause, 0, rng)
            self.assertTrue(10_000 <= pause <= 1_000_000)
            drawn.add(backoff_us(0, S, rng))
        self.assertTrue(min(drawn) >= S and max(drawn) <= 1.25 * S and len(drawn) > 100)

    def test_consecutive_failures_eject_and_a_single_probe_follows(self):
        breaker = CircuitBreaker(BreakerConfig(consecutive_failures=3, base_ejection_us=S))
        self.assertEqual([False, False, True], [breaker.attempt_ended("a", False, 0, 4) for _ in range(3)])
        self.assertFalse(breaker.allows("a", S - 1))
        self.assertTrue(breaker.allows("a", S))
        breaker.attempt_started("a", S)
        self.assertFalse(breaker.allows("a", S))
        self.assertTrue(breaker.attempt_ended("a", False, S, 4))  # half-open: a single failure ejects again, for longer
        self.assertFalse(breaker.allows("a", 2 * S))
        breaker.attempt_started("a", 3 * S)
        breaker.attempt_ended("a", True, 3 * S, 4)
        self.assertTrue(breaker.allows("a", 3 * S))

    def test_never_more_than_a_share_is_ejected(self):
        breaker = CircuitBreaker(BreakerConfig(consecutive_failures=1))
        ejected = [breaker.attempt_ended(f"n{index}", False, 0, 10) for index in range(10)]
        self.assertEqual(5, sum(ejected))

    def test_a_member_with_a_far_lower_success_rate_is_ejected_without_consecutive_failures(self):
        breaker = CircuitBreaker(BreakerConfig(window_us=S))
        for number in range(100):
            for index in range(8):
                breaker.attempt_ended(f"n{index}", index != 3 or number % 2 == 0, 0, 8)
        self.assertEqual(["n3"], breaker.eject_outliers(S, 8))

    def test_an_ejected_member_is_used_only_when_all_are_ejected(self):
        harness = Harness(2)
        for number in range(12):
            for send in harness.begin(id=f"j{number}"):
                end = AttemptOutcome.FAILED if send.member.instance.name == "n1" else AttemptOutcome.ANSWERED
                harness.end(send, end)
        (send,) = harness.begin(id="x")
        self.assertEqual("n0", send.member.instance.name)
        del harness.members["n0"]
        harness.update_view()
        (send,) = harness.begin(id="y")
        self.assertEqual("n1", send.member.instance.name)


class ModelTest(unittest.TestCase):
    """For any order of events a charge runs at one boot of one server at most, and every job ends in time."""

    EVENTS = ["served", "lost", "held", "arrives", "never", "asked", "time", "gone", "anew"]

    @given(
        strategies.lists(strategies.tuples(strategies.sampled_from(EVENTS), strategies.integers(0, 4)), max_size=60),
        strategies.lists(strategies.booleans(), min_size=3, max_size=3),
    )
    def test_no_charge_runs_at_two_servers_and_every_job_ends(self, events, charges):
        harness = Harness(3)
        open_sends, open_queries, on_the_way, ran, ends = [], [], [], {}, {}
        never_ran = set()  # keys whose callers were told so

        def collect(decisions):
            for decision in decisions:
                if isinstance(decision, Send):
                    process = (decision.member.instance.name, decision.member.instance.boot)
                    if decision.job.key is not None:
                        self.assertIn(ran.get(decision.job.key, process), (process,))
                    open_sends.append(decision)
                elif isinstance(decision, QueryMember):
                    open_queries.append(decision)
                elif isinstance(decision, JobFinished):
                    self.assertNotIn(decision.job.id, ends)
                    ends[decision.job.id] = harness.now
                    if not decision.result.ran:
                        never_ran.add(decision.job.key)
                        self.assertNotIn(decision.job.key, ran)

        def run(send):
            if send.job.key is not None:
                process = (send.member.instance.name, send.member.instance.boot)
                self.assertEqual(process, ran.setdefault(send.job.key, process))
                self.assertNotIn(send.job.key, never_ran)

        for number, charge in enumerate(charges):
            collect(harness.begin(f"K{number}" if charge else None, due=3 * S, id=f"j{number}"))
        for event, index in events:
            if event == "time":
                harness.now += (index + 1) * 100 * MS
                collect(harness.attempt_controller.tick(harness.now))
            elif event == "gone":
                harness.members.pop(f"n{index % 3}", None)
                harness.update_view()
            elif event == "anew":
                old = harness.members.get(f"n{index % 3}")
                harness.members[f"n{index % 3}"] = Member(
                    instance(index % 3, boot=old.instance.boot + 1 if old else 50), MemberState.LIVE, 0
                )
                harness.update_view()
            elif event == "asked" and open_queries:
                decision = open_queries.pop(index % len(open_queries))
                process = (decision.member.instance.name, decision.member.instance.boot)
                fate = Fate.DONE if ran.get(decision.job.key) == process else Fate.UNKNOWN
                collect(harness.attempt_controller.fate_reported(harness.now, decision.job.id, decision.number, fate))
            elif event == "arrives" and on_the_way:
                run(on_the_way.pop(index % len(on_the_way)))
            elif open_sends and event in ("served", "lost", "held", "never"):
                decision = open_sends.pop(index % len(open_sends))
                if event == "held":  # the connection is given up, what was sent on it comes later
                    on_the_way.append(decision)
                elif event != "never":
                    run(decision)
                end = {
                    "served": AttemptOutcome.ANSWERED,
                    "lost": AttemptOutcome.RESET,
                    "held": AttemptOutcome.RESET,
                    "never": AttemptOutcome.REFUSED,
                }[event]
                collect(harness.end(decision, end))
        while len(harness.attempt_controller) and harness.now < 60 * S:
            collect(harness.wait())
        self.assertEqual({f"j{index}" for index in range(3)}, set(ends))
