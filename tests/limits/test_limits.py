"""Work shared out by source, and spending caps."""

import unittest

from hypothesis import given
from hypothesis import strategies as some

from sagetrestle.limits import FairQueue, SpendingCaps

S = 1_000_000


class BacklogTest(unittest.TestCase):
    """Who waits for whom."""

    def take(self, backlog, count):
        return [backlog.take()[1] for _ in range(count)]

    def test_sources_take_turns_so_a_flood_waits_for_itself(self):
        backlog = FairQueue(100, 50)
        for number in range(40):
            backlog.put("flood", f"f{number}")
        backlog.put("a", "a0")
        backlog.put("b", "b0")
        self.assertEqual(["f0", "a0", "b0", "f1"], self.take(backlog, 4))

    def test_one_source_and_all_together_are_bounded(self):
        backlog = FairQueue(3, 2)
        self.assertEqual([None, None, "f2"], [backlog.put("f", f"f{number}") for number in range(3)])
        self.assertEqual([None, "b0"], [backlog.put("a", "a0"), backlog.put("b", "b0")])
        self.assertEqual(3, len(backlog))

    def test_where_there_is_no_room_a_strangers_latest_goes_for_one_in_good_standing(self):
        backlog = FairQueue(3, 3)
        backlog.record_outcome("good", useful=True)
        for number in range(3):
            backlog.put("f", f"f{number}")
        self.assertEqual("f2", backlog.put("good", "g0"))
        self.assertNotIn("f2", backlog)
        self.assertEqual("g0", backlog.take()[1])

    def test_a_thousand_strangers_get_a_share_and_no_more(self):
        backlog = FairQueue(3_000, 50)
        backlog.record_outcome("good", useful=True)
        for number in range(1_000):
            backlog.put(f"s{number}", f"s{number}")
        for number in range(50):
            backlog.put("good", f"g{number}")
        taken = self.take(backlog, 40)
        self.assertEqual(30, sum(one.startswith("g") for one in taken))

    def test_standing_moves_what_waits(self):
        backlog = FairQueue(10, 10)
        backlog.put("a", 1)
        backlog.put("b", 2)
        backlog.record_outcome("b", useful=True)
        self.assertEqual([2, 1], self.take(backlog, 2))
        backlog.record_outcome("b", useful=False)
        backlog.put("a", 3)
        backlog.put("b", 4)
        self.assertEqual([3, 4], self.take(backlog, 2))
        self.assertIsNone(backlog.take())

    @given(some.lists(some.tuples(some.sampled_from("ptrn"), some.integers(0, 3), some.integers(0, 9))))
    def test_nothing_is_lost_or_taken_twice(self, steps):
        """Against a plain set of what waits."""
        backlog, waiting = FairQueue(6, 3), set()
        for what, source, item in steps:
            if what == "p" and item not in waiting:
                waiting.add(item)
                waiting.discard(backlog.put(str(source), item))
            elif what == "t":
                taken = backlog.take()
                self.assertEqual(bool(waiting), taken is not None)
                waiting.discard(taken and taken[1])
            elif what == "r":
                backlog.remove(item)
                waiting.discard(item)
            elif what == "n":
                backlog.record_outcome(str(source), bool(item % 2))
            self.assertEqual(len(waiting), len(backlog))
            self.assertTrue(all(one in backlog for one in waiting))


class SpendingTest(unittest.TestCase):
    """Reserved, spent, given back."""

    def setUp(self):
        self.caps = SpendingCaps()

    def reserve(self, key, now=0, max_charges=2):
        return self.caps.reserve("t", (3, key), max_charges, 60 * S, now)

    def test_held_charges_count_before_they_run(self):
        self.assertEqual([True, True], [self.reserve(key).granted for key in "ab"])
        self.assertEqual((False, 50 * S), self.reserve("c", now=10 * S))

    def test_tries_of_one_key_share_a_reservation_and_are_spent_once(self):
        for _ in range(3):
            self.assertTrue(self.reserve("a").granted)
        self.caps.spend("t", (3, "a"))
        for _ in range(2):
            self.caps.release("t", (3, "a"))
        self.assertEqual(1, self.caps.spent("t"))
        self.assertEqual([True, False], [self.reserve(key).granted for key in "bc"])

    def test_what_never_ran_is_given_back(self):
        self.reserve("a", max_charges=1)
        self.assertFalse(self.reserve("b", max_charges=1).granted)
        self.caps.release("t", (3, "a"))
        self.assertTrue(self.reserve("b", max_charges=1).granted)

    def test_a_new_window_starts_from_nothing_but_what_is_open(self):
        self.reserve("a")
        self.caps.spend("t", (3, "a"))
        self.reserve("b")
        self.assertTrue(self.reserve("c", now=60 * S).granted)
        self.assertFalse(self.reserve("d", now=60 * S).granted)

    def test_a_cap_of_nothing_is_never_a_matter_of_time(self):
        self.assertEqual((False, 0), self.reserve("a", max_charges=0))

    def test_accounts_that_hold_nothing_are_forgotten(self):
        self.reserve("a")
        self.caps.release("t", (3, "a"))
        self.assertEqual(0, len(self.caps))
        self.reserve("a")
        self.caps.spend("t", (3, "a"))
        self.caps.sweep(0, {"t": 60 * S})
        self.assertEqual(1, len(self.caps))
        self.caps.sweep(61 * S, {"t": 60 * S})
        self.assertEqual(0, len(self.caps))

    @given(some.lists(some.tuples(some.sampled_from("rsg"), some.sampled_from("abcd"))))
    def test_no_order_of_events_goes_over_the_cap(self, steps):
        caps = SpendingCaps()
        spent: set[str] = set()
        for what, key in steps:
            if what == "r" and key not in spent:  # the key's window keeps one that ran from coming here
                caps.reserve("t", (1, key), 2, 60 * S, 0)
            elif what == "s":
                before = caps.spent("t")
                caps.spend("t", (1, key))
                spent |= {key} if caps.spent("t") > before else set()
            elif what == "g":
                caps.release("t", (1, key))
            self.assertLessEqual(caps.spent("t"), 2)
