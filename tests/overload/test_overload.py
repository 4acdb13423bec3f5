"""Tests of concurrency limits, request priorities, admission levels and retry budgets."""

import heapq
import random
import unittest

from sagetrestle.overload.admission_level import EVALUATION_INTERVAL_US, ArrivalCounter, AdmissionLevelDecider
from sagetrestle.overload.concurrency_limit import ConcurrencyLimitEstimator
from sagetrestle.overload.priority import (
    RETRY_CYCLE_ROTATIONS,
    ROTATION_US,
    PriorityInputs,
    retry_after_us,
    is_retry_rotation,
    priority_of,
    rotation_of,
)
from sagetrestle.overload.retry_budget import MIN_RETRIES, RetryBudget
from sagetrestle.overload.values import ADMIT_ALL, AdmissionReport

MS, S = 1_000, 1_000_000


class Server:
    """A simulated server: lanes behind a queue, loaded up to the limit.

    ``offered`` is the load in requests per second; None offers as much as the limit allows.
    """

    def __init__(self, lanes, work_s=0.06, offered=None, spread=0.1, seed=1, start=0.0):
        self.lanes, self.work_s, self.offered, self.spread = lanes, work_s, offered, spread
        self.rng, self.estimator = random.Random(seed), ConcurrencyLimitEstimator(start)
        self.now, self.busy, self.queue, self.in_flight, self.ends, self.pending = 0.0, 0, [], 0, [], 0.0
        self.done, self.fails = 0, False

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.005
            while self.ends and self.ends[0][0] <= self.now:
                ended, sent = heapq.heappop(self.ends)
                self.busy, self.in_flight, self.done = self.busy - 1, self.in_flight - 1, self.done + 1
                self.estimator.record(0 if self.fails else 1, int((ended - sent) * 1e6), int(self.fails))
                if self.queue and self.busy < self.lanes:
                    self.begin(self.queue.pop(0), ended)
            self.pending += (self.offered or 1e9) * 0.005
            self.pending = min(self.pending, 300)
            while self.pending >= 1 and self.in_flight < max(1, int(self.estimator.value)):
                self.pending, self.in_flight = self.pending - 1, self.in_flight + 1
                self.begin(self.now, self.now) if self.busy < self.lanes else self.queue.append(self.now)
            self.estimator.step(int(self.now * 1e6), self.pending >= 1 or self.in_flight >= int(self.estimator.value))
        return self

    def begin(self, sent, now):
        self.busy += 1
        heapq.heappush(self.ends, (now + self.work_s * self.rng.uniform(1 - self.spread, 1 + self.spread), sent))

    def utilization(self, seconds):
        before = self.done
        self.run(seconds)
        return (self.done - before) * self.work_s / seconds / self.lanes


class ConcurrencyLimitTest(unittest.TestCase):
    """The estimated limit of a simulated server."""

    def test_all_lanes_are_busy_and_few_requests_queue(self):
        for lanes in (1, 2, 4, 16, 64):
            for spread in (0.1, 0.9):
                with self.subTest(lanes=lanes, spread=spread):
                    server = Server(lanes, spread=spread).run(20)
                    self.assertGreater(server.utilization(40), 0.93)
                    self.assertLess(server.estimator.value, lanes * 1.5 + 10)

    def test_the_limit_does_not_grow_without_load(self):
        self.assertLess(Server(2, offered=10).run(60).estimator.value, 9)

    def test_a_longer_delay_without_a_queue_does_not_lower_the_limit_for_long(self):
        server = Server(16).run(20)
        server.work_s *= 2.9
        server.run(15)
        self.assertGreater(server.utilization(30), 0.9)

    def test_the_limit_shrinks_with_the_number_of_lanes(self):
        server = Server(16).run(20)
        before = server.estimator.value
        server.lanes = 4
        server.run(30)
        self.assertLess(server.estimator.value, before / 1.5)
        self.assertGreater(server.utilization(20), 0.9)

    def test_failures_lower_the_limit(self):
        server = Server(8).run(20)
        before, server.fails = server.estimator.value, True
        server.run(5)
        self.assertLess(server.estimator.value, before / 1.5)


class PriorityTest(unittest.TestCase):
    """Priorities and retry-after times."""

    def test_bands_are_ordered(self):
        inputs = PriorityInputs(1.0, "c", "r")
        unix = next(at * ROTATION_US for at in range(1, 99) if not is_retry_rotation(inputs, at))
        in_order = [
            inputs._replace(has_objective=True),
            inputs,
            inputs._replace(within_share=False),
            inputs._replace(within_share=False, retry=True),
            inputs._replace(worth=0.3),
            inputs._replace(worth=0.3, retry=True),
            inputs._replace(worth=0.01),
        ]
        priorities = [priority_of(each, unix) for each in in_order]
        self.assertEqual(sorted(set(priorities)), priorities)
        self.assertTrue(all(0 <= at < 1 for at in priorities))

    def test_the_order_of_clients_rotates_with_time(self):
        clients = [PriorityInputs(1.0, f"c{at}", "r") for at in range(400)]
        half = [
            {
                inputs.client
                for inputs in clients
                if priority_of(inputs, at * ROTATION_US)
                < priority_of(clients[0]._replace(has_objective=False), at * ROTATION_US)
            }
            for at in (1, 2)
        ]
        self.assertNotEqual(half[0], half[1])

    def test_retries_at_the_given_time_count_as_first_attempts_and_are_spread(self):
        unix, rotations, waits = 10**15, [], []
        for number in range(500):
            inputs = PriorityInputs(1.0, f"c{number % 50}", f"r{number}", retry=True)
            wait = retry_after_us(inputs, unix, 60 * S)
            at = unix + wait
            self.assertTrue(is_retry_rotation(inputs, rotation_of(at)))
            self.assertTrue(
                is_retry_rotation(inputs, rotation_of(at - 300 * MS))
                and is_retry_rotation(inputs, rotation_of(at + 299 * MS))
            )
            self.assertLess(priority_of(inputs, at), priority_of(inputs._replace(within_share=False, retry=False), at))
            rotations.append(rotation_of(at) - rotation_of(unix))
            waits.append(wait)
        self.assertLess(rotations.count(1) / 500, 1 / RETRY_CYCLE_ROTATIONS + 0.1)
        self.assertGreater(len({wait // 100_000 for wait in waits}), 12)

    def test_the_retry_after_time_is_bounded(self):
        self.assertTrue(
            all(retry_after_us(PriorityInputs(1.0, f"c{at}", "r"), 10**15, 5 * S) <= 5 * S for at in range(200))
        )


def report(number, demand, done, waiting, in_use=10, slots=10.0, **more):
    return AdmissionReport("", number, tuple(sorted(demand.items())), done, waiting, slots, in_use, **more)


class AdmissionLevelTest(unittest.TestCase):
    """The admission level of one region."""

    def simulate(self, seconds, arrivals, capacity, members=4, decider=None, begin_us=0):
        """Simulate arrivals per second by priority step against a capacity; return the served shares by step."""
        decider = decider or AdmissionLevelDecider()
        waiting, served, requested = 0.0, {}, {}
        for evaluation in range(int(seconds * S / EVALUATION_INTERVAL_US)):
            now = begin_us + evaluation * EVALUATION_INTERVAL_US
            admitted = {}
            for step, rate in arrivals.items():
                count = rate * EVALUATION_INTERVAL_US / S
                admitted_share = min(1.0, max(0.0, decider.level * 192 - step))
                admitted[step] = count * admitted_share
                requested[step] = requested.get(step, 0) + count
                served[step] = served.get(step, 0) + count * admitted_share
            capacity_per_evaluation = capacity * EVALUATION_INTERVAL_US / S
            done = min(capacity_per_evaluation, waiting + sum(admitted.values()))
            waiting = max(
                0.0, min(capacity * 0.3, waiting + sum(admitted.values()) - done)
            )  # the module sheds late requests
            for member in range(members):
                part = {step: round(rate * EVALUATION_INTERVAL_US / S / members) for step, rate in arrivals.items()}
                decider.record(
                    now,
                    f"m{member}",
                    report(
                        evaluation + 1 + begin_us,
                        part,
                        round(done / members),
                        int(waiting / members),
                        round(10 * min(1.0, done / capacity_per_evaluation)),
                    ),
                )
            decider.step(now)
        return decider, {step: served[step] / requested[step] for step in arrivals}

    def test_overload_rejects_the_requests_with_the_last_priorities(self):
        decider, served = self.simulate(20, {8: 80, 70: 80, 150: 80}, 120)
        self.assertGreater(served[8], 0.95)
        self.assertLess(served[150], 0.15)
        self.assertTrue(0.3 < served[70] < 0.8, served)

    def test_shedding_ends_within_two_seconds_after_the_overload(self):
        decider, _ = self.simulate(10, {8: 200, 150: 200}, 120)
        self.assertLess(decider.level, 0.5)
        decider, served = self.simulate(2, {8: 40, 150: 40}, 120, decider=decider, begin_us=10 * S)
        self.assertEqual(ADMIT_ALL, decider.level)

    def test_without_overload_nothing_is_rejected(self):
        decider, served = self.simulate(10, {8: 40, 150: 60}, 120)
        self.assertEqual({8: 1.0, 150: 1.0}, served)

    def test_only_the_client_above_an_even_share_is_heavy(self):
        decider = AdmissionLevelDecider()
        for evaluation in range(40):
            clients = (("big", 40), ("a", 5), ("b", 5))
            decider.record(
                evaluation * EVALUATION_INTERVAL_US, "m", report(evaluation + 1, {20: 50}, 25, 30, clients=clients)
            )
            decider.step(evaluation * EVALUATION_INTERVAL_US)
        self.assertEqual(["big"], [name for name, _ in decider.heavy])
        self.assertTrue(0.1 < decider.heavy[0][1] < 0.6, decider.heavy)

    def test_repeated_and_reordered_reports_count_once(self):
        decider = AdmissionLevelDecider()
        for number in (1, 2, 2, 1):
            decider.record(0, "m", report(number, {3: 10}, 10, 0))
        decider.step(0)
        decider.step(EVALUATION_INTERVAL_US)
        expected = AdmissionLevelDecider()
        for number in (1, 2):
            expected.record(0, "m", report(number, {3: 10}, 10, 0))
        expected.step(0)
        expected.step(EVALUATION_INTERVAL_US)
        self.assertEqual(expected.admitted_rate(), decider.admitted_rate())

    def test_counts_are_reset_with_each_report(self):
        counter = ArrivalCounter()
        for _ in range(3):
            counter.record(0.5, "c")
        first, second = counter.report("", 1, 2.0, 1), counter.report("", 1, 2.0, 1)
        self.assertEqual((((96, 3),), (("c", 3),)), (first.demand, first.clients))
        self.assertEqual(((), 2), (second.demand, second.number))


class RetryBudgetTest(unittest.TestCase):
    """The retry budget of one member."""

    def test_all_attempts_stay_within_the_share_of_first_attempts(self):
        rng, budget, sent, first_attempts = random.Random(1), RetryBudget(0.5), 0, 0
        for at in range(5_000):
            now = at * 2 * MS
            budget.add_first_attempt(now)
            first_attempts += 1
            budget.add_sent(now)
            sent += 1
            while rng.random() < 0.8 and budget.allows(now):
                budget.add_sent(now)
                sent += 1
        self.assertLessEqual(sent, 1.5 * first_attempts + MIN_RETRIES + 1)
        self.assertGreater(sent, 1.4 * first_attempts)

    def test_under_overload_only_attempts_never_sent_are_allowed(self):
        budget = RetryBudget(0.5)
        budget.apply_level(0.3)
        for _ in range(100):
            budget.add_first_attempt(0)
            budget.add_sent(0)
        for _ in range(3):
            self.assertTrue(budget.allows(0))
            budget.add_sent(0)
        self.assertFalse(budget.allows(0))
        budget.add_first_attempt(0)  # a rejected first attempt, whose retry may be sent
        self.assertTrue(budget.allows(0))
        budget.apply_level(ADMIT_ALL)
        self.assertEqual(0.5, budget.effective_share)

    def test_attempts_leave_the_window(self):
        budget = RetryBudget(0.0)
        for _ in range(10):
            budget.add_sent(0)
        self.assertFalse(budget.allows(9 * S))
        self.assertTrue(budget.allows(11 * S))
