"""The journal: durable by groups, bounded, checksummed, and well after a death at any write point."""

import sqlite3
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from sagetrestle.lab.scorer import ROOT
from sagetrestle.recovery.effects import Entry, Kind, Standing, replay
from sagetrestle.store.journal import POINTS, Journal, JournalError, JournalFull

S = 1_000_000


def intent(number: int, **more: object) -> Entry:
    return Entry(Kind.INTENT, f"K{number}", number, "n1", 7, b"digest")._replace(**more)


def outcome(number: int) -> Entry:
    return Entry(Kind.OUTCOME, f"K{number}", number + 1, result=b"result %d" % number)


class JournalTest(unittest.TestCase):
    """One file."""

    def setUp(self):
        self.path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "journal"

    def open(self, **more):
        journal = Journal(self.path, **more)
        self.addCleanup(journal.close)
        return journal

    def test_what_was_appended_is_read_in_order_after_a_reopening(self):
        journal = self.open()
        journal.append([intent(1), intent(2)])
        journal.append([outcome(1)])
        journal.close()
        again = self.open()
        self.assertEqual(([intent(1), intent(2), outcome(1)], []), again.read())
        self.assertEqual([], again.check())

    def test_a_full_journal_says_so_and_keeps_what_it_has(self):
        journal = self.open(most_bytes=64 * 4096)
        kept = 0
        with self.assertRaises(JournalFull):
            for number in range(10_000):
                journal.append([intent(number, result=b"x" * 500)])
                kept += 1
        self.assertEqual(kept, len(journal.read().entries))
        journal.compact([intent(1)])
        journal.append([intent(2)])
        self.assertEqual(2, journal.count())

    def test_a_spoilt_entry_is_found_and_its_key_told(self):
        journal = self.open()
        journal.append([intent(1), intent(2), intent(3)])
        journal.close()
        with sqlite3.connect(self.path) as db:
            db.execute("UPDATE entries SET data = zeroblob(length(data)) WHERE seq = 2")
        got = self.open().read()
        self.assertEqual((["K2"], [intent(1), intent(3)]), (got.spoilt, got.entries))

    def test_a_torn_tail_loses_no_group_that_was_committed_before(self):
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
            self.assertIn(len(again.read().entries), (1, 3))
            again.close()
            copy.unlink()

    def test_a_file_that_is_no_journal_is_refused_and_left_as_it_is(self):
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


class DeathTest(unittest.TestCase):
    """The process ends at each write point, one after another: groups are there whole or not at all."""

    CODE = """
import os, sys
from pathlib import Path
from sagetrestle.store.journal import Journal
from tests.store.test_journal import intent, outcome
seen = 0
def at(point):
    global seen
    seen += 1
    if seen == int(sys.argv[2]):
        os._exit(9)
journal = Journal(Path(sys.argv[1]), at=at)
for number in range(2):
    journal.append([intent(number), intent(10 + number)])
    print("intent", number, flush=True)
    journal.append([outcome(number)])
    print("outcome", number, flush=True)
from sagetrestle.recovery.effects import replay
journal.compact(replay(journal.read().entries, 10**9)[0].living(5))
print("compacted", flush=True)
journal.append([outcome(10)])
print("outcome", 10, flush=True)
"""

    def test_at_every_point_what_was_said_is_there_and_groups_are_whole(self):
        points = 4 * 3 + 4 + 3
        self.assertEqual(7, len(POINTS))
        for at in range(1, points + 2):
            with self.subTest(at), tempfile.TemporaryDirectory() as name:
                path = Path(name) / "journal"
                got = subprocess.run([sys.executable, "-B", "-c", self.CODE, str(path), str(at)], cwd=ROOT,
                                     capture_output=True, text=True)
                self.assertEqual(9 if at <= points else 0, got.returncode, got.stderr)
                journal = Journal(path)
                read = journal.read()
                journal.close()
                table, faults = replay(read.entries, 10**9)
                self.assertEqual(([], []), (faults, read.spoilt))
                for number in range(2):
                    pair = [table.effects.get(f"K{one}") is not None for one in (number, 10 + number)]
                    self.assertIn(sum(pair), (0, 2))  # a group is there whole or not at all
                    if f"intent {number}" in got.stdout:
                        self.assertEqual(2, sum(pair))
                    if f"outcome {number}" in got.stdout:
                        self.assertIs(Standing.DONE, table.effects[f"K{number}"].standing)
