"""The life of keys."""

import unittest

from sagetrestle.identity.keyring import (
    Add,
    Drop,
    Keyring,
    KeyringError,
    KeyState,
    Retire,
    Revoke,
    Rotate,
    Tick,
    step,
)
from tests.identity.helpers import NOW, OTHER, PRIVATE, S, key, ring


class KeyringTest(unittest.TestCase):
    """One event at a time."""

    def test_a_rotation_from_before_to_the_end(self):
        new = key("new", "ES256", not_before_us=NOW + 10 * S)
        now, moved = step(ring(key("old")), NOW, Rotate(new, 100 * S))
        self.assertEqual([("new", None, KeyState.PENDING)], moved)
        self.assertEqual("old", now.signer(NOW).kid)
        now, moved = step(now, NOW + 10 * S, Tick())
        self.assertEqual(
            [("new", KeyState.PENDING, KeyState.ACTIVE), ("old", KeyState.ACTIVE, KeyState.RETIRING)], moved
        )
        self.assertEqual("new", now.signer(NOW + 10 * S).kid)
        _, moved = step(now, NOW + 110 * S, Tick())
        self.assertEqual([("old", KeyState.RETIRING, KeyState.RETIRED)], moved)

    def test_a_second_rotation_before_the_first_counts_leaves_one_signer(self):
        now, _ = step(ring(key("old")), NOW, Rotate(key("b", "ES256", not_before_us=NOW + 10 * S), S))
        now, _ = step(now, NOW + S, Rotate(key("c", private=OTHER, not_before_us=NOW + 5 * S), S))
        self.assertEqual("old", now.signer(NOW + 4 * S).kid)
        self.assertEqual("c", now.signer(NOW + 20 * S).kid)

    def test_a_revoked_key_stays_revoked_whatever_the_time(self):
        now, moved = step(ring(key("a"), key("b", "ES256")), NOW, Revoke("a", "lost"))
        self.assertEqual([("a", KeyState.ACTIVE, KeyState.REVOKED)], moved)
        for event in (Retire("a", S), Revoke("a", "again")):
            with self.assertRaisesRegex(KeyringError, "a: is revoked already"):
                step(now, NOW + S, event)
        now, _ = step(now, NOW + 10**15, Drop(0))
        self.assertIn("a", now.keys)

    def test_a_clock_that_goes_back_moves_nothing_back(self):
        now, _ = step(ring(key("a", signs_until_us=NOW + S, not_after_us=NOW + 2 * S)), NOW + 3 * S, Tick())
        self.assertEqual((now, []), step(now, NOW, Tick()))

    def test_what_a_ring_does_not_take(self):
        for event, why in (
            (Add(key("a", private=OTHER)), "two keys with one id"),
            (Add(key("b")), "the same key under two ids"),
            (Retire("x", S), "x: not in the ring"),
            (Revoke("x", ""), "x: not in the ring"),
        ):
            with self.assertRaisesRegex(KeyringError, why):
                step(ring(key("a")), NOW, event)
        for bad in ({"kid": "../a"}, {"kid": "a", "signs_until_us": 1}):
            with self.assertRaises(KeyringError):
                key(**bad)

    def test_versions_count_changes_alone_and_old_rings_stay_as_they_were(self):
        first = Keyring()
        second, _ = step(first, NOW, Add(key("a")))
        third, _ = step(second, NOW, Tick())
        self.assertEqual([0, 1, 1], [first.version, second.version, third.version])
        self.assertEqual(0, len(first.keys))

    def test_retired_keys_are_dropped_after_their_time(self):
        old = key("old", "ES256", PRIVATE["ES256"], signs_until_us=NOW - 2 * S, not_after_us=NOW - S)
        now, _ = step(ring(key("a"), old), NOW, Drop(2 * S))
        self.assertIn("old", now.keys)
        now, _ = step(now, NOW + S, Drop(2 * S))
        self.assertEqual({"a"}, set(now.keys))
