"""Tests of the Raft store: state is read back as written, and a modified file is rejected."""

import sqlite3
import tempfile
import unittest
from pathlib import Path

from sagetrestle.consensus.messages import Config, LogEntry, LogEntryKind, Snapshot
from sagetrestle.consensus.raft import PersistState
from sagetrestle.store.database import StoreError, StoreFull
from sagetrestle.store.raft_store import CorruptStoreError, RaftStore, set_aside


def entries(first, last, term=1):
    return tuple(LogEntry(index, term, LogEntryKind.COMMAND, b"%d" % index) for index in range(first, last + 1))


class RaftStoreTest(unittest.TestCase):
    """One file."""

    def setUp(self):
        self.path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "votes"
        self.store = RaftStore(self.path)
        self.identity = self.store.read().identity
        self.store.write(PersistState(3, "b#1", 0, entries(1, 5), None, 5))

    def reopen(self):
        self.store.close()
        self.store = RaftStore(self.path)
        self.addCleanup(self.store.close)
        return self.store.read()

    def test_written_state_is_read_back_without_truncated_entries(self):
        self.assertEqual((self.identity, 3, "b#1", entries(1, 5), Snapshot()), self.reopen())
        self.store.write(PersistState(4, "", 3, entries(4, 4, 4), None, 4))
        self.assertEqual((4, "", entries(1, 3) + entries(4, 4, 4)), self.reopen()[1:4])

    def test_a_snapshot_replaces_the_log_entries_that_it_covers(self):
        snapshot = Snapshot(4, 1, Config(("b#1",), ("c#1",)), b"all")
        self.store.write(PersistState(3, "b#1", 5, (), snapshot, 5))
        self.assertEqual((entries(5, 5), snapshot), self.reopen()[3:])
        later = Snapshot(9, 2, Config(("b#1",)), b"more")
        self.store.write(PersistState(3, "b#1", 9, (), later, 9))
        self.assertEqual(((), later), self.reopen()[3:])

    def test_corrupt_rows_and_missing_entries_are_detected_everywhere(self):
        for number, statement in enumerate(
            (
                "UPDATE log SET data = zeroblob(5) WHERE at = 5",
                "UPDATE log SET data = zeroblob(5) WHERE at = 2",
                "DELETE FROM log WHERE at = 3",
                "UPDATE words SET data = x'00' WHERE name = 'state'",
                "DELETE FROM words WHERE name = 'identity'",
                "UPDATE log SET at = 9 WHERE at = 5",
            )
        ):
            with self.subTest(statement):
                path = self.path.with_name(f"copy{number}")
                store = RaftStore(path)
                store.write(PersistState(3, "b#1", 0, entries(1, 5), None, 5))
                store.close()
                with sqlite3.connect(path) as db:
                    db.execute(statement)
                store = RaftStore(path)
                with self.assertRaises(CorruptStoreError):
                    store.read()
                store.close()
                self.assertTrue(set_aside(path).exists())
                self.assertFalse(path.exists())

    def test_a_full_store_raises_and_keeps_its_content(self):
        path = self.path.with_name("small")
        store = RaftStore(path, 16 * 4096)
        self.addCleanup(store.close)
        store.write(PersistState(1, "a#1", 0, entries(1, 2), None, 2))
        with self.assertRaises(StoreFull):
            store.write(PersistState(2, "b#1", 2, (LogEntry(3, 2, LogEntryKind.COMMAND, b"x" * 100_000),), None, 3))
        self.assertEqual((1, "a#1", entries(1, 2)), store.read()[1:4])

    def test_a_file_of_another_format_is_rejected(self):
        self.store.close()
        with sqlite3.connect(self.path) as db:
            db.execute("PRAGMA user_version=9")
        with self.assertRaisesRegex(StoreError, "format 9"):
            RaftStore(self.path)
