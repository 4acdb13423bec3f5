"""Tests of the store of a member's partition replicas."""

import sqlite3
import tempfile
import unittest
from pathlib import Path

from sagetrestle.recovery.effects import EffectRecord, RecordKind
from sagetrestle.store.database import StoreError
from sagetrestle.store.records import RecordStore
from sagetrestle.takeover.replica_changes import ReplicaDropped, RecordsAppended, EpochChanged, SnapshotReplaced

A, B = (EffectRecord(RecordKind.INTENT, key, 5, "n1@1", 0, b"d\0\xff", b"r") for key in "AB")


class RecordStoreTest(unittest.TestCase):
    """One file that several processes open in turn."""

    def setUp(self):
        self.path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "records.db"
        self.store = RecordStore(self.path, "n1@1")
        self.addCleanup(lambda: self.store.close())

    def reopen(self, process_id="n1@2"):
        self.store.close()
        self.store = RecordStore(self.path, process_id)
        return self.store.read()

    def test_entries_are_read_back_by_partition_with_label_and_writer(self):
        self.store.write(
            (
                SnapshotReplaced(0, 7, (A,)),
                RecordsAppended(0, (B,)),
                EpochChanged(0, 8),
                SnapshotReplaced(1, 3, ()),
                SnapshotReplaced(2, 3, (A, B)),
            )
        )
        self.store.write((ReplicaDropped(2), SnapshotReplaced(1, 4, (B,))))
        self.assertEqual({0: (8, "n1@1", (A, B)), 1: (4, "n1@1", (B,))}, self.reopen())

    def test_an_earlier_process_can_no_longer_write(self):
        later = RecordStore(self.path, "n1@2")
        self.addCleanup(later.close)
        with self.assertRaisesRegex(StoreError, "taken over by a later process"):
            self.store.write((EpochChanged(0, 9),))
        later.write((EpochChanged(0, 9),))

    def test_a_modified_row_makes_the_file_unusable(self):
        for change in (
            "UPDATE copies SET label = 9",
            "UPDATE copies SET id = 'n1@7'",
            "UPDATE entries SET data = x'00' WHERE seq = 1",
        ):
            with self.subTest(change):
                self.store.write((SnapshotReplaced(0, 7, (A,)),))
                with sqlite3.connect(self.path) as db:
                    db.execute(change)
                with self.assertRaisesRegex(StoreError, "records are corrupt"):
                    self.reopen()
                self.store.close()
                self.path.unlink()
                self.store = RecordStore(self.path, "n1@1")

    def test_a_file_of_another_format_is_rejected(self):
        self.store.close()
        with sqlite3.connect(self.path) as db:
            db.execute("PRAGMA user_version=9")
        with self.assertRaisesRegex(StoreError, "format 9"):
            RecordStore(self.path, "n1@1")
