"""A member's replicas of partitions, kept in one SQLite file for the next process that starts under its name.

A change is durable before any message that relies on it is sent. Each row has a checksum; a file with a checksum
mismatch is not used at all. The file belongs to one process at a time: once a later process has opened it, an earlier
one that is still running can no longer write.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

import msgspec

from sagetrestle.recovery.effects import EffectRecord, RecordKind
from sagetrestle.store.database import StoreError, open_database, signed_checksum, to_store_error
from sagetrestle.takeover.replica_changes import Change, ReplicaDropped, RecordsAppended, EpochChanged, SnapshotReplaced

FORMAT = 1


class _Row(msgspec.Struct, array_like=True):
    kind: str
    key: str
    at_us: int
    server: str
    boot: int
    digest: bytes
    result: bytes


class RecordStore:
    """One file of replicas, which ``process_id`` takes over on opening it. Not thread-safe."""

    def __init__(self, path: Path, process_id: str, max_bytes: int = 1 << 30) -> None:
        self._process_id = process_id
        self._db, version = open_database(path, max_bytes, (FORMAT,))
        try:
            self._db.execute("BEGIN IMMEDIATE")
            if not version:
                self._db.execute("CREATE TABLE words(name TEXT PRIMARY KEY, data TEXT NOT NULL)")
                self._db.execute(
                    "CREATE TABLE copies(part INTEGER PRIMARY KEY, label INTEGER NOT NULL, "
                    "id TEXT NOT NULL, sum INTEGER NOT NULL)"
                )
                self._db.execute(
                    "CREATE TABLE entries(seq INTEGER PRIMARY KEY, part INTEGER NOT NULL, "
                    "data BLOB NOT NULL, sum INTEGER NOT NULL)"
                )
                self._db.execute("CREATE INDEX entries_part ON entries(part)")
                self._db.execute(f"PRAGMA user_version={FORMAT}")
            self._db.execute("INSERT OR REPLACE INTO words(name, data) VALUES('me', ?)", (process_id,))
            self._db.execute("COMMIT")
        except sqlite3.Error as error:
            raise to_store_error(error) from None

    def read(self) -> dict[int, tuple[int, str, tuple[EffectRecord, ...]]]:
        """Return the label, the process that wrote it, and the entries by partition. Raises StoreError."""
        try:
            replicas: dict[int, tuple[int, str, list[EffectRecord]]] = {}
            for part, label, id, total in self._db.execute("SELECT part, label, CAST(id AS TEXT), sum FROM copies"):
                if total != signed_checksum(f"{part}\0{label}\0{id}".encode()):
                    raise StoreError(f"the records are corrupt: checksum mismatch at partition {part}")
                replicas[part] = (label, id, [])
            for seq, part, data, total in self._db.execute(
                "SELECT seq, part, CAST(data AS BLOB), sum FROM entries ORDER BY seq"
            ):
                if total != signed_checksum(b"%d\0%s" % (part, data)):
                    raise StoreError(f"the records are corrupt: checksum mismatch at entry {seq}")
                if part in replicas:
                    row = msgspec.msgpack.decode(data, type=_Row)
                    replicas[part][2].append(
                        EffectRecord(
                            RecordKind(row.kind), row.key, row.at_us, row.server, row.boot, row.digest, row.result
                        )
                    )
            return {part: (label, id, tuple(entries)) for part, (label, id, entries) in replicas.items()}
        except (sqlite3.Error, msgspec.MsgspecError, ValueError) as error:
            raise StoreError(f"the records can not be read: {error}") from None

    def write(self, changes: tuple[Change, ...]) -> None:
        """Write changes in one durable transaction. Raises StoreError."""
        try:
            self._db.execute("BEGIN IMMEDIATE")
            if self._db.execute("SELECT data FROM words WHERE name='me'").fetchone() != (self._process_id,):
                self._db.execute("ROLLBACK")
                raise StoreError("the records were taken over by a later process of this member")
            for change in changes:
                self._apply(change)
            self._db.execute("COMMIT")
        except sqlite3.Error as error:
            if self._db.in_transaction:
                self._db.execute("ROLLBACK")
            raise to_store_error(error) from None

    def _apply(self, change: Change) -> None:
        partition = change.partition
        if isinstance(change, ReplicaDropped | SnapshotReplaced):
            self._db.execute("DELETE FROM entries WHERE part = ?", (partition,))
            self._db.execute("DELETE FROM copies WHERE part = ?", (partition,))
        if isinstance(change, EpochChanged | SnapshotReplaced):
            self._db.execute(
                "INSERT OR REPLACE INTO copies(part, label, id, sum) VALUES(?, ?, ?, ?)",
                (
                    partition,
                    change.content_epoch,
                    self._process_id,
                    signed_checksum(f"{partition}\0{change.content_epoch}\0{self._process_id}".encode()),
                ),
            )
        if isinstance(change, RecordsAppended | SnapshotReplaced):
            self._db.executemany(
                "INSERT INTO entries(part, data, sum) VALUES(?, ?, ?)",
                (
                    (partition, data, signed_checksum(b"%d\0%s" % (partition, data)))
                    for entry in change.entries
                    for data in (msgspec.msgpack.encode(_Row(entry.kind.value, *entry[1:])),)
                ),
            )

    def close(self) -> None:
        """Close the file."""
        self._db.close()
