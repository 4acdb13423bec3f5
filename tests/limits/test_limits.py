"""The fair queue by source, and spending caps."""

import unittest

from hypothesis import given
from hypothesis import strategies

from sagetrestle.limits import FairQueue, SpendingCaps

S = 1_000_000


class FairQueueTest(unittest.TestCase):
    """Order, bounds and standing of sources."""

    def take(self, queue, count):
        return [queue.take()[1] for _ in range(count)]

    def test_sources_take_turns_so_a_flood_delays_only_itself(self):
        queue = FairQueue(100, 50)
        for number in range(40):
            queue.put("flood", f"f{number}")
        queue.put("a", "a0")
        queue.put("b", "b0")
        self.assertEqual(["f0", "a0", "b0", "f1"], self.take(queue, 4))

    def test_items_are_bounded_by_source_and_in_total(self):
        queue = FairQueue(3, 2)
        self.assertEqual([None, None, "f2"], [queue.put("f", f"f{number}") for number in range(3)])
        self.assertEqual([None, "b0"], [queue.put("a", "a0"), queue.put("b", "b0")])
        self.assertEqual(3, len(queue))

    def test_a_full_queue_evicts_another_sources_latest_item_for_a_source_in_good_standing(self):
        queue = FairQueue(3, 3)
        queue.record_outcome("good", useful=True)
        for number in range(3):
            queue.put("f", f"f{number}")
        self.assertEqual("f2", queue.put("good", "g0"))
        self.assertNotIn("f2", queue)
        self.assertEqual("g0", queue.take()[1])

    def test_a_thousand_unknown_sources_get_their_fixed_share_of_turns(self):
        queue = FairQueue(3_000, 50)
        queue.record_outcome("good", useful=True)
        for number in range(1_000):
            queue.put(f"s{number}", f"s{number}")
        for number in range(50):
            queue.put("good", f"g{number}")
        taken = self.take(queue, 40)
        self.assertEqual(30, sum(item.startswith("g") for item in taken))

    def test_queued_items_move_with_their_sources_standing(self):
        queue = FairQueue(10, 10)
        queue.put("a", 1)
        queue.put("b", 2)
        queue.record_outcome("b", useful=True)
        self.assertEqual([2, 1], self.take(queue, 2))
        queue.record_outcome("b", useful=False)
        queue.put("a", 3)
        queue.put("b", 4)
        self.assertEqual([3, 4], self.take(queue, 2))
        self.assertIsNone(queue.take())

    @given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from("ptrn"), strategies.integers(0, 3), strategies.integers(0, 9))
        )
    )
    def test_nothing_is_lost_or_taken_twice(self, steps):
        """The queue holds the same items as a plain set after any sequence of operations."""
        queue, waiting = FairQueue(6, 3), set()
        for operation, source, item in steps:
            if operation == "p" and item not in waiting:
                waiting.add(item)
                waiting.discard(queue.put(str(source), item))
            elif operation == "t":
                taken = queue.take()
                self.assertEqual(bool(waiting), taken is not None)
                waiting.discard(taken and taken[1])
            elif operation == "r":
                queue.remove(item)
                waiting.discard(item)
            elif operation == "n":
                queue.record_outcome(str(source), bool(item % 2))
            self.assertEqual(len(waiting), len(queue))
            self.assertTrue(all(waiting_item in queue for waiting_item in waiting))


class SpendingTest(unittest.TestCase):
    """Charges that are reserved, spent, released and refunded."""

    def setUp(self):
        self.caps = SpendingCaps()

    def reserve(self, key, now=0, max_charges=2):
        return self.caps.reserve("t", (3, key), max_charges, 60 * S, now)

    def test_held_charges_count_against_the_cap_before_they_run(self):
        self.assertEqual([True, True], [self.reserve(key).granted for key in "ab"])
        self.assertEqual((False, 50 * S), self.reserve("c", now=10 * S))

    def test_attempts_with_one_key_share_a_reservation_and_are_spent_once(self):
        for _ in range(3):
            self.assertTrue(self.reserve("a").granted)
        self.caps.spend("t", (3, "a"))
        for _ in range(2):
            self.caps.release("t", (3, "a"))
        self.assertEqual(1, self.caps.spent("t"))
        self.assertEqual([True, False], [self.reserve(key).granted for key in "bc"])

    def test_a_charge_that_never_ran_is_released(self):
        self.reserve("a", max_charges=1)
        self.assertFalse(self.reserve("b", max_charges=1).granted)
        self.caps.release("t", (3, "a"))
        self.assertTrue(self.reserve("b", max_charges=1).granted)

    def test_a_new_window_counts_only_open_reservations(self):
        self.reserve("a")
        self.caps.spend("t", (3, "a"))
        self.reserve("b")
        self.assertTrue(self.reserve("c", now=60 * S).granted)
        self.assertFalse(self.reserve("d", now=60 * S).granted)

    def test_a_cap_of_zero_gives_no_time_to_retry(self):
        self.assertEqual((False, 0), self.reserve("a", max_charges=0))

    def test_accounts_without_reservations_or_charges_are_removed(self):
        self.reserve("a")
        self.caps.release("t", (3, "a"))
        self.assertEqual(0, len(self.caps))
        self.reserve("a")
        self.caps.spend("t", (3, "a"))
        self.caps.sweep(0, {"t": 60 * S})
        self.assertEqual(1, len(self.caps))
        self.caps.sweep(61 * S, {"t": 60 * S})
        self.assertEqual(0, len(self.caps))

    @given(strategies.lists(strategies.tuples(strategies.sampled_from("rsg"), strategies.sampled_from("abcd"))))
    def test_no_order_of_operations_exceeds_the_cap(self, steps):
        caps = SpendingCaps()
        spent: set[str] = set()
        for operation, key in steps:
            if operation == "r" and key not in spent:  # a key that ran is not reserved again within its window
                caps.reserve("t", (1, key), 2, 60 * S, 0)
            elif operation == "s":
                before = caps.spent("t")
                caps.spend("t", (1, key))
                spent |= {key} if caps.spent("t") > before else set()
            elif operation == "g":
                caps.release("t", (1, key))
            self.assertLessEqual(caps.spent("t"), 2)
