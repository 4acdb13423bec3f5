"""Limits found from delay, the order of requests, the level of it that is taken, and the budget of tries."""

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
    """Lanes behind a queue, asked for as much as the limit allows; ``offered`` a second, None for all it takes."""

    def __init__(self, lanes, work_s=0.06, offered=None, spread=0.1, seed=1, start=0.0):
        self.lanes, self.work_s, self.offered, self.spread = lanes, work_s, offered, spread
        self.rng, self.estimator = random.Random(seed), ConcurrencyLimitEstimator(start)
        self.now, self.busy, self.line, self.out, self.ends, self.pending = 0.0, 0, [], 0, [], 0.0
        self.done, self.fails = 0, False

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.005
            while self.ends and self.ends[0][0] <= self.now:
                at, sent = heapq.heappop(self.ends)
                self.busy, self.out, self.done = self.busy - 1, self.out - 1, self.done + 1
                self.estimator.record(0 if self.fails else 1, int((at - sent) * 1e6), int(self.fails))
                if self.line and self.busy < self.lanes:
                    self.begin(self.line.pop(0), at)
            self.pending += (self.offered or 1e9) * 0.005
            self.pending = min(self.pending, 300)
            while self.pending >= 1 and self.out < max(1, int(self.estimator.value)):
                self.pending, self.out = self.pending - 1, self.out + 1
                self.begin(self.now, self.now) if self.busy < self.lanes else self.line.append(self.now)
            self.estimator.step(int(self.now * 1e6), self.pending >= 1 or self.out >= int(self.estimator.value))
        return self

    def begin(self, sent, now):
        self.busy += 1
        heapq.heappush(self.ends, (now + self.work_s * self.rng.uniform(1 - self.spread, 1 + self.spread), sent))

    def use(self, seconds):
        before = self.done
        self.run(seconds)
        return (self.done - before) * self.work_s / seconds / self.lanes


class LimitTest(unittest.TestCase):
    """A server's limit."""

    def test_it_keeps_all_lanes_busy_and_few_waiting(self):
        for lanes in (1, 2, 4, 16, 64):
            for spread in (0.1, 0.9):
                with self.subTest(lanes=lanes, spread=spread):
                    server = Server(lanes, spread=spread).run(20)
                    self.assertGreater(server.use(40), 0.93)
                    self.assertLess(server.estimator.value, lanes * 1.5 + 10)

    def test_without_load_it_does_not_grow(self):
        self.assertLess(Server(2, offered=10).run(60).estimator.value, 9)

    def test_all_slower_at_once_is_no_queue(self):
        server = Server(16).run(20)
        server.work_s *= 2.9
        server.run(15)
        self.assertGreater(server.use(30), 0.9)

    def test_lanes_that_are_lost_shrink_it(self):
        server = Server(16).run(20)
        before = server.estimator.value
        server.lanes = 4
        server.run(30)
        self.assertLess(server.estimator.value, before / 1.5)
        self.assertGreater(server.use(20), 0.9)

    def test_failures_shrink_it(self):
        server = Server(8).run(20)
        before, server.fails = server.estimator.value, True
        server.run(5)
        self.assertLess(server.estimator.value, before / 1.5)


class OrderTest(unittest.TestCase):
    """Places."""

    def test_bands_come_in_their_order(self):
        one = PriorityInputs(1.0, "c", "r")
        unix = next(at * ROTATION_US for at in range(1, 99) if not is_retry_rotation(one, at))
        line = [
            one._replace(has_objective=True),
            one,
            one._replace(within_share=False),
            one._replace(within_share=False, retry=True),
            one._replace(worth=0.3),
            one._replace(worth=0.3, retry=True),
            one._replace(worth=0.01),
        ]
        places = [priority_of(each, unix) for each in line]
        self.assertEqual(sorted(set(places)), places)
        self.assertTrue(all(0 <= at < 1 for at in places))

    def test_who_goes_turns_with_time(self):
        clients = [PriorityInputs(1.0, f"c{at}", "r") for at in range(400)]
        half = [
            {
                one.client
                for one in clients
                if priority_of(one, at * ROTATION_US)
                < priority_of(clients[0]._replace(has_objective=False), at * ROTATION_US)
            }
            for at in (1, 2)
        ]
        self.assertNotEqual(half[0], half[1])

    def test_those_who_come_when_told_stand_as_first_tries_and_come_spread(self):
        unix, turns, waits = 10**15, [], []
        for number in range(500):
            one = PriorityInputs(1.0, f"c{number % 50}", f"r{number}", retry=True)
            wait = retry_after_us(one, unix, 60 * S)
            at = unix + wait
            self.assertTrue(is_retry_rotation(one, rotation_of(at)))
            self.assertTrue(
                is_retry_rotation(one, rotation_of(at - 300 * MS))
                and is_retry_rotation(one, rotation_of(at + 299 * MS))
            )
            self.assertLess(priority_of(one, at), priority_of(one._replace(within_share=False, retry=False), at))
            turns.append(rotation_of(at) - rotation_of(unix))
            waits.append(wait)
        self.assertLess(turns.count(1) / 500, 1 / RETRY_CYCLE_ROTATIONS + 0.1)
        self.assertGreater(len({wait // 100_000 for wait in waits}), 12)

    def test_the_longest_time_is_kept(self):
        self.assertTrue(
            all(retry_after_us(PriorityInputs(1.0, f"c{at}", "r"), 10**15, 5 * S) <= 5 * S for at in range(200))
        )


def report(number, demand, done, waiting, in_use=10, slots=10.0, **more):
    return AdmissionReport("", number, tuple(sorted(demand.items())), done, waiting, slots, in_use, **more)


class LevelTest(unittest.TestCase):
    """A region's level."""

    def play(self, seconds, came, bears, members=4, decider=None, begin=0):
        """Play requests (a second) at steps of the order against what is borne; return shares served by step."""
        decider = decider or AdmissionLevelDecider()
        waiting, served, asked = 0.0, {}, {}
        for look in range(int(seconds * S / EVALUATION_INTERVAL_US)):
            now = begin + look * EVALUATION_INTERVAL_US
            let = {}
            for step, rate in came.items():
                count = rate * EVALUATION_INTERVAL_US / S
                inside = min(1.0, max(0.0, decider.level * 192 - step))
                let[step] = count * inside
                asked[step] = asked.get(step, 0) + count
                served[step] = served.get(step, 0) + count * inside
            bearable = bears * EVALUATION_INTERVAL_US / S
            done = min(bearable, waiting + sum(let.values()))
            waiting = max(0.0, min(bears * 0.3, waiting + sum(let.values()) - done))  # the module sheds what is late
            for member in range(members):
                part = {step: round(rate * EVALUATION_INTERVAL_US / S / members) for step, rate in came.items()}
                decider.record(
                    now,
                    f"m{member}",
                    report(
                        look + 1 + begin,
                        part,
                        round(done / members),
                        int(waiting / members),
                        round(10 * min(1.0, done / bearable)),
                    ),
                )
            decider.step(now)
        return decider, {step: served[step] / asked[step] for step in came}

    def test_under_overload_the_first_of_the_order_are_served_and_the_last_are_not(self):
        decider, served = self.play(20, {8: 80, 70: 80, 150: 80}, 120)
        self.assertGreater(served[8], 0.95)
        self.assertLess(served[150], 0.15)
        self.assertTrue(0.3 < served[70] < 0.8, served)

    def test_it_is_over_within_two_seconds_after_the_cause(self):
        decider, _ = self.play(10, {8: 200, 150: 200}, 120)
        self.assertLess(decider.level, 0.5)
        decider, served = self.play(2, {8: 40, 150: 40}, 120, decider=decider, begin=10 * S)
        self.assertEqual(ADMIT_ALL, decider.level)

    def test_without_overload_nobody_is_turned_away(self):
        decider, served = self.play(10, {8: 40, 150: 60}, 120)
        self.assertEqual({8: 1.0, 150: 1.0}, served)

    def test_a_client_that_asks_for_more_than_an_even_part_is_past_it_and_others_are_not(self):
        decider = AdmissionLevelDecider()
        for look in range(40):
            clients = (("big", 40), ("a", 5), ("b", 5))
            decider.record(look * EVALUATION_INTERVAL_US, "m", report(look + 1, {20: 50}, 25, 30, clients=clients))
            decider.step(look * EVALUATION_INTERVAL_US)
        self.assertEqual(["big"], [name for name, _ in decider.heavy])
        self.assertTrue(0.1 < decider.heavy[0][1] < 0.6, decider.heavy)

    def test_a_report_that_comes_again_or_late_counts_once(self):
        decider = AdmissionLevelDecider()
        for number in (1, 2, 2, 1):
            decider.record(0, "m", report(number, {3: 10}, 10, 0))
        decider.step(0)
        decider.step(EVALUATION_INTERVAL_US)
        once = AdmissionLevelDecider()
        for number in (1, 2):
            once.record(0, "m", report(number, {3: 10}, 10, 0))
        once.step(0)
        once.step(EVALUATION_INTERVAL_US)
        self.assertEqual(once.admitted_rate(), decider.admitted_rate())

    def test_a_count_begins_anew_with_each_report(self):
        counted = ArrivalCounter()
        for _ in range(3):
            counted.record(0.5, "c")
        first, second = counted.report("", 1, 2.0, 1), counted.report("", 1, 2.0, 1)
        self.assertEqual((((96, 3),), (("c", 3),)), (first.demand, first.clients))
        self.assertEqual(((), 2), (second.demand, second.number))


class TriesTest(unittest.TestCase):
    """A member's budget."""

    def test_all_tries_stay_under_the_share_of_first_ones(self):
        rng, tries, sent, came = random.Random(1), RetryBudget(0.5), 0, 0
        for at in range(5_000):
            now = at * 2 * MS
            tries.add_first_attempt(now)
            came += 1
            tries.add_sent(now)
            sent += 1
            while rng.random() < 0.8 and tries.allows(now):
                tries.add_sent(now)
                sent += 1
        self.assertLessEqual(sent, 1.5 * came + MIN_RETRIES + 1)
        self.assertGreater(sent, 1.4 * came)

    def test_under_overload_nothing_is_paid_for_but_what_was_never_sent(self):
        tries = RetryBudget(0.5)
        tries.apply_level(0.3)
        for _ in range(100):
            tries.add_first_attempt(0)
            tries.add_sent(0)
        for _ in range(3):
            self.assertTrue(tries.allows(0))
            tries.add_sent(0)
        self.assertFalse(tries.allows(0))
        tries.add_first_attempt(0)  # one that was turned away: its next try may be sent
        self.assertTrue(tries.allows(0))
        tries.apply_level(ADMIT_ALL)
        self.assertEqual(0.5, tries.effective_share)

    def test_the_window_passes(self):
        tries = RetryBudget(0.0)
        for _ in range(10):
            tries.add_sent(0)
        self.assertFalse(tries.allows(9 * S))
        self.assertTrue(tries.allows(11 * S))
