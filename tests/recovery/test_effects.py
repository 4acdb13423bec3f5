"""What entries make of keys, against a plain record of what ran."""

import unittest

from hypothesis import given
from hypothesis import strategies as some

from sagetrestle.recovery.effects import EffectError, EffectTable, EffectRecord, RecordKind, EffectState, replay

S = 1_000_000
INTENT = EffectRecord(RecordKind.INTENT, "K", 0, "n1", 7, b"d")


class EffectTest(unittest.TestCase):
    """One key at a time."""

    def setUp(self):
        self.table = EffectTable(10 * S)

    def test_an_intent_alone_is_in_doubt_and_an_outcome_settles_it(self):
        self.table.apply(INTENT)
        self.assertEqual(["K"], [one.key for one in self.table.in_doubt(S)])
        effect = self.table.apply(EffectRecord(RecordKind.OUTCOME, "K", S, result=b"r"))
        self.assertEqual(
            (EffectState.DONE, "n1", 7, b"d", b"r", 0),
            (effect.state, effect.server, effect.boot, effect.digest, effect.result, effect.at_us),
        )
        self.assertEqual([], self.table.in_doubt(S))

    def test_what_never_ran_frees_the_key_for_any_server(self):
        self.table.apply(INTENT)
        self.table.apply(EffectRecord(RecordKind.NEVER, "K", S))
        self.assertIs(EffectState.FREE, self.table.state_of("K", S))
        self.table.apply(INTENT._replace(server="n2"))

    def test_in_doubt_it_is_meant_for_no_other_server_and_no_other_start(self):
        self.table.apply(INTENT)
        for other in (INTENT._replace(server="n2"), INTENT._replace(boot=8)):
            with self.assertRaisesRegex(EffectError, "may have run at n1"):
                self.table.apply(other)

    def test_what_ran_takes_no_new_intent_within_its_window_and_is_forgotten_after(self):
        self.table.apply(INTENT)
        self.table.apply(EffectRecord(RecordKind.OUTCOME, "K", S, result=b"r"))
        for kind in (RecordKind.INTENT, RecordKind.NEVER, RecordKind.FAILED):
            with self.assertRaises(EffectError):
                self.table.apply(INTENT._replace(kind=kind, at_us=10 * S))
        self.table.apply(INTENT._replace(at_us=10 * S + 1, server="n2"))
        self.assertEqual("n2", self.table.get("K", 11 * S).server)

    def test_entries_that_can_not_follow_leave_a_key_in_doubt_never_free(self):
        table, faults = replay([EffectRecord(RecordKind.OUTCOME, "K", 0, result=b"r")], 10 * S)
        self.assertEqual((EffectState.IN_DOUBT, 1), (table.state_of("K", S), len(faults)))

    @given(
        some.lists(
            some.tuples(
                some.sampled_from(list(RecordKind)),
                some.sampled_from(["A", "B", ""]),
                some.sampled_from(["n1", "n2"]),
                some.integers(0, 2 * S),
            ),
            max_size=40,
        )
    )
    def test_a_snapshot_says_the_same_as_all_entries(self, steps):
        table, now = EffectTable(10 * S), 0
        for kind, key, server, passed in steps:
            now += passed
            try:
                table.apply(EffectRecord(kind, key, now, server, 1, b"d", b"r" if kind is RecordKind.OUTCOME else b""))
            except EffectError:
                continue
        again, faults = replay(table.snapshot_records(now), 10 * S)
        self.assertEqual([], faults)
        for key in "AB":
            self.assertEqual(table.get(key, now), again.get(key, now))
        table.sweep(now + 11 * S)
        self.assertEqual({}, table.effects)
