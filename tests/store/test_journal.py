"""Tests of the journal: durable groups, size limit, checksums, and recovery from a crash at any write point."""

import sqlite3
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from sagetrestle.lab.scorer import ROOT
from sagetrestle.recovery.effects import EffectRecord, RecordKind, EffectState, replay
from sagetrestle.store.journal import _ENCODER, WRITE_POINTS, Journal, JournalError, JournalFull

S = 1_000_000


def intent(number: int, **more: object) -> EffectRecord:
    return EffectRecord(RecordKind.INTENT, f"K{number}", number, "n1", 7, b"digest")._replace(**more)


def outcome(number: int) -> EffectRecord:
    return EffectRecord(RecordKind.OUTCOME, f"K{number}", number + 1, result=b"result %d" % number)


class JournalTest(unittest.TestCase):
    """One journal file."""

    def setUp(self):
        self.path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "journal"

    def open(self, **more):
        journal = Journal(self.path, **more)
        self.addCleanup(journal.close)
        return journal

    def test_entries_are_read_in_order_after_reopening(self):
        journal = self.open()
        journal.append([intent(1), intent(2)])
        journal.append([outcome(1)])
        journal.close()
        again = self.open()
        self.assertEqual(([intent(1), intent(2), outcome(1)], []), again.read(0))
        self.assertEqual([], again.check())

    def test_a_full_journal_raises_and_keeps_its_content(self):
        journal = self.open(max_bytes=64 * 4096)
        kept = 0
        with self.assertRaises(JournalFull):
            for number in range(10_000):
                journal.append([intent(number, result=b"x" * 500)])
                kept += 1
        self.assertEqual(kept, len(journal.read(0).entries))
        journal.compact([intent(1)])
        journal.append([intent(2)])
        self.assertEqual(2, journal.count())

    def test_a_corrupt_entry_is_detected_and_its_key_reported(self):
        journal = self.open()
        journal.append([intent(1), intent(2), intent(3)])
        journal.close()
        with sqlite3.connect(self.path) as db:
            db.execute("UPDATE entries SET data = zeroblob(length(data)) WHERE seq = 2")
        read = self.open().read(5)
        self.assertEqual(
            (["K2"], [intent(1), EffectRecord(RecordKind.LOST, "K2", 5), intent(3)]), (read.corrupt_keys, read.entries)
        )

    def corrupt(self, statement):
        """Modify the closed file directly; return the replayed effects and the content read."""
        with sqlite3.connect(self.path) as db:
            db.execute(statement)
        read = self.open().read(5)
        return replay(read.entries, 100)[0], read

    def test_a_corrupt_intent_leaves_its_key_in_doubt_without_a_server_to_ask(self):
        journal = self.open()
        journal.append([intent(1), intent(2), intent(3), intent(3, kind=RecordKind.NEVER), intent(3, server="n2")])
        journal.close()
        table, read = self.corrupt("UPDATE entries SET data = zeroblob(length(data)) WHERE seq IN (2, 4, 5)")
        self.assertEqual(["K2", "K3", "K3"], read.corrupt_keys)
        for key in ("K2", "K3"):  # asking n1 about K3 would be wrong: n1 never ran it, and n2 did
            effect = table.get(key, 6)
            self.assertEqual((EffectState.IN_DOUBT, "", 5), (effect.state, effect.server, effect.at_us))
        self.assertEqual("n1", table.get("K1", 6).server)
        self.assertIs(EffectState.FREE, table.state_of("K9", 6))

    def test_entries_after_an_undecodable_one_are_kept(self):
        journal = self.open()
        journal.append([intent(1)])
        for key, data in (("K2", b"\xc1"), ("K3", _ENCODER.encode(["later", "K3", 0, "", 0, b"", b""]))):
            journal._db.execute("BEGIN")
            journal._insert([(key, data)])
            journal._db.execute("COMMIT")
        journal.append([intent(4), outcome(1)])
        read = journal.read(5)
        table, _ = replay(read.entries, 100)
        self.assertEqual(["K2", "K3"], read.corrupt_keys)
        self.assertEqual(
            [EffectState.DONE, EffectState.IN_DOUBT, EffectState.IN_DOUBT, EffectState.IN_DOUBT],
            [table.state_of(f"K{number}", 6) for number in (1, 2, 3, 4)],
        )
        self.assertEqual(["", "", "n1"], [table.get(f"K{number}", 6).server for number in (2, 3, 4)])

    def test_an_unknown_corrupt_key_puts_every_key_in_doubt_for_a_window(self):
        corruptions = (
            "UPDATE entries SET key = 'K7', data = zeroblob(9) WHERE seq = 3",
            "UPDATE entries SET key = CAST(x'ff00' AS TEXT) WHERE seq = 3",
            "UPDATE entries SET key = 7, data = 123456789012 WHERE seq = 3",
            "UPDATE entries SET key_sum = 1, sum = 1 WHERE seq = 3",
            "DELETE FROM entries WHERE seq = 3",
        )
        for number, statement in enumerate(corruptions):
            with self.subTest(statement):
                self.path = self.path.with_name(f"j{number}")
                journal = self.open()
                journal.append([intent(1), intent(2), intent(3)])
                journal.append([outcome(1), intent(4)])
                journal.close()
                table, read = self.corrupt(statement)
                self.assertEqual([""], read.corrupt_keys)
                # K1's outcome follows the loss; K2 may have continued elsewhere; nothing is known of K3 and K9.
                self.assertEqual(
                    [EffectState.DONE] + 4 * [EffectState.IN_DOUBT],
                    [table.state_of(f"K{one}", 50) for one in (1, 2, 3, 4, 9)],
                )
                self.assertIs(EffectState.IN_DOUBT, table.state_of("K9", 105))
                self.assertEqual(["", "", "n1"], [table.get(f"K{one}", 6).server for one in (2, 9, 4)])
                self.assertIs(EffectState.FREE, table.state_of("K9", 106))

    def test_losses_stay_recorded_through_a_snapshot_and_a_reopening(self):
        journal = self.open()
        journal.append([intent(1), intent(2), outcome(1)])
        journal.close()
        table, _ = self.corrupt("UPDATE entries SET key = 'K7', data = zeroblob(9) WHERE seq = 2")
        journal = self.open()
        journal.compact(table.snapshot_records(6))
        again, read = replay(journal.read(50).entries, 100)[0], journal.read(50)
        self.assertEqual([], read.corrupt_keys)
        for now in (50, 105, 106):
            for key in ("K1", "K2", "K9"):
                self.assertEqual(table.get(key, now), again.get(key, now))

    def test_a_journal_of_format_1_is_upgraded_and_its_corrupt_keys_count_as_unknown(self):
        journal = self.open()
        journal.append([intent(1), intent(2)])
        journal._db.executescript("ALTER TABLE entries DROP COLUMN key_sum; PRAGMA user_version=1")
        journal.close()
        table, read = self.corrupt("UPDATE entries SET data = zeroblob(9) WHERE seq = 2")
        self.assertEqual(([""], EffectState.IN_DOUBT), (read.corrupt_keys, table.state_of("K9", 6)))
        journal = self.open()
        journal.append([outcome(1)])
        self.assertEqual(outcome(1), journal.read(5).entries[-1])

    def test_the_marker_distinguishes_a_new_journal_from_a_missing_replaced_or_older_one(self):
        journal = self.open(member="t1")
        self.assertEqual("", journal.describe_loss())
        journal.append([intent(1)])
        journal.close()
        copy = self.path.read_bytes()
        journal = self.open(member="t1")
        self.assertEqual("", journal.describe_loss())
        journal.append([intent(2)])
        journal.write_marker()
        journal.close()
        journal = self.open(member="t1")
        self.assertEqual("", journal.describe_loss())
        journal.write_marker()
        journal.close()
        with self.assertRaisesRegex(JournalError, "belongs to member 't1', not to 't2'"):
            self.open(member="t2")
        self.path.write_bytes(copy)
        journal = self.open(member="t1")
        self.assertEqual("the file is an older copy", journal.describe_loss())
        journal.close()
        self.path.unlink()
        self.assertEqual("the file is missing and another one is in its place", self.open(member="t1").describe_loss())

    def test_a_torn_tail_loses_no_group_committed_earlier(self):
        journal = self.open()
        journal.append([intent(1)])
        wal = Path(f"{self.path}-wal")
        whole = wal.read_bytes()
        journal.append([intent(2), intent(3)])
        torn = wal.read_bytes()
        copy = self.path.with_name("copy")
        for size in range(len(whole), len(torn), 997):
            copy.write_bytes(self.path.read_bytes())
            Path(f"{copy}-wal").write_bytes(torn[:size])
            Path(f"{copy}-shm").unlink(missing_ok=True)
            again = Journal(copy)
            self.assertIn(len(again.read(0).entries), (1, 3))
            again.close()
            copy.unlink()

    def test_a_file_that_is_not_a_journal_is_rejected_and_not_modified(self):
        self.path.write_bytes(b"something else, and long enough to be looked at" * 100)
        before = self.path.read_bytes()
        with self.assertRaises(JournalError):
            self.open()
        self.assertEqual(before, self.path.read_bytes())
        self.path.unlink()
        with sqlite3.connect(self.path) as db:
            db.execute("PRAGMA user_version=9")
        with self.assertRaisesRegex(JournalError, "format 9"):
            self.open()


class CrashTest(unittest.TestCase):
    """The process ends at each write point in turn; each group must be stored completely or not at all."""

    CODE = """
import os, sys
from pathlib import Path
from sagetrestle.store.journal import Journal
from tests.store.test_journal import intent, outcome
seen = 0
def on_write_point(point):
    global seen
    seen += 1
    if seen == int(sys.argv[2]):
        os._exit(9)
journal = Journal(Path(sys.argv[1]), on_write_point=on_write_point)
for number in range(2):
    journal.append([intent(number), intent(10 + number)])
    print("intent", number, flush=True)
    journal.append([outcome(number)])
    print("outcome", number, flush=True)
from sagetrestle.recovery.effects import replay
journal.compact(replay(journal.read(0).entries, 10**9)[0].snapshot_records(5))
print("compacted", flush=True)
journal.append([outcome(10)])
print("outcome", 10, flush=True)
"""

    def test_acknowledged_groups_survive_a_crash_at_every_write_point(self):
        points = 4 * 3 + 4 + 3
        self.assertEqual(7, len(WRITE_POINTS))
        for crash_point in range(1, points + 2):
            with self.subTest(crash_point), tempfile.TemporaryDirectory() as name:
                path = Path(name) / "journal"
                process = subprocess.run(
                    [sys.executable, "-B", "-c", self.CODE, str(path), str(crash_point)],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                )
                self.assertEqual(9 if crash_point <= points else 0, process.returncode, process.stderr)
                journal = Journal(path)
                read = journal.read(0)
                journal.close()
                table, faults = replay(read.entries, 10**9)
                self.assertEqual(([], []), (faults, read.corrupt_keys))
                for number in range(2):
                    pair = [table.effects.get(f"K{one}") is not None for one in (number, 10 + number)]
                    self.assertIn(sum(pair), (0, 2))  # a group is stored completely or not at all
                    if f"intent {number}" in process.stdout:
                        self.assertEqual(2, sum(pair))
                    if f"outcome {number}" in process.stdout:
                        self.assertIs(EffectState.DONE, table.effects[f"K{number}"].state)
