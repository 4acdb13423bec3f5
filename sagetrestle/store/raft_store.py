"""Raft state of a consensus group member in one SQLite file: its term and vote, its log and its snapshot.

The file gets a random identity when it is created: a member that starts with another file counts as another voter.
Each row has a checksum. A file with a checksum mismatch is not used at all, because the entries and votes that the
member acknowledged can no longer be known.
"""

from __future__ import annotations

import secrets
import sqlite3
from pathlib import Path
from typing import NamedTuple

import msgspec

from sagetrestle.consensus.messages import LogEntry, Snapshot
from sagetrestle.consensus.raft import PersistState
from sagetrestle.store.database import StoreError, open_database, signed_checksum, to_store_error

FORMAT = 1


class StoredRaftState(NamedTuple):
    """The content of the file."""

    identity: str
    term: int
    vote: str
    log: tuple[LogEntry, ...]
    snapshot: Snapshot


class CorruptStoreError(StoreError):
    """The content is not what was written, so the file must not be used."""


class RaftStore:
    """The Raft state in one file. Not thread-safe."""

    def __init__(self, path: Path, max_bytes: int = 64 << 20) -> None:
        self._db, version = open_database(path, max_bytes, (FORMAT,))
        try:
            self._db.execute("BEGIN IMMEDIATE")
            if not version:
                self._db.execute("CREATE TABLE words(name TEXT PRIMARY KEY, data BLOB NOT NULL, sum INTEGER NOT NULL)")
                self._db.execute("CREATE TABLE log(at INTEGER PRIMARY KEY, data BLOB NOT NULL, sum INTEGER NOT NULL)")
                self._put("identity", secrets.token_hex(8).encode())
                self._db.execute(f"PRAGMA user_version={FORMAT}")
            self._db.execute("COMMIT")
        except sqlite3.Error as error:
            raise to_store_error(error) from None

    def read(self) -> StoredRaftState:
        """Return the content of the file. Raises CorruptStoreError."""
        try:
            metadata = {
                name: self._check_row(name, data, total)
                for name, data, total in self._db.execute(
                    "SELECT CAST(name AS TEXT), CAST(data AS BLOB), sum FROM words"
                )
            }
            rows = [
                (at, self._check_row(str(at), data, total))
                for at, data, total in self._db.execute("SELECT at, CAST(data AS BLOB), sum FROM log ORDER BY at")
            ]
            term, vote = (
                msgspec.msgpack.decode(metadata["state"], type=tuple[int, str]) if "state" in metadata else (0, "")
            )
            snapshot = (
                msgspec.msgpack.decode(metadata["snapshot"], type=Snapshot) if "snapshot" in metadata else Snapshot()
            )
            log = tuple(msgspec.msgpack.decode(data, type=LogEntry) for _, data in rows)
            identity = metadata["identity"].decode()
        except (sqlite3.Error, msgspec.MsgspecError, KeyError, ValueError) as error:
            raise CorruptStoreError(f"the consensus store is unreadable: {error}") from None
        if [entry.index for entry in log] != list(range(snapshot.index + 1, snapshot.index + 1 + len(log))):
            raise CorruptStoreError("the consensus store is corrupt: log entries are missing")
        return StoredRaftState(identity, term, vote, log, snapshot)

    @staticmethod
    def _check_row(name: str, data: bytes, total: int) -> bytes:
        if total != signed_checksum(name.encode() + b"\0" + data):
            raise CorruptStoreError(f"the consensus store is corrupt: checksum mismatch at {name}")
        return data

    def write(self, state: PersistState) -> None:
        """Write a member's Raft state in one durable transaction. Raises StoreError."""
        try:
            self._db.execute("BEGIN IMMEDIATE")
            self._put("state", msgspec.msgpack.encode((state.term, state.voted_for)))
            if state.snapshot is not None:
                self._put("snapshot", msgspec.msgpack.encode(state.snapshot))
                self._db.execute("DELETE FROM log WHERE at <= ?", (state.snapshot.index,))
            self._db.execute("DELETE FROM log WHERE at > ?", (state.last_kept_index,))
            self._db.executemany(
                "INSERT INTO log(at, data, sum) VALUES(?, ?, ?)",
                (
                    (entry.index, data, signed_checksum(b"%d\0%s" % (entry.index, data)))
                    for entry in state.entries
                    for data in (msgspec.msgpack.encode(entry),)
                ),
            )
            self._db.execute("COMMIT")
        except sqlite3.Error as error:
            if self._db.in_transaction:
                self._db.execute("ROLLBACK")
            raise to_store_error(error) from None

    def _put(self, name: str, data: bytes) -> None:
        self._db.execute(
            "INSERT OR REPLACE INTO words(name, data, sum) VALUES(?, ?, ?)",
            (name, data, signed_checksum(name.encode() + b"\0" + data)),
        )

    def close(self) -> None:
        """Close the file."""
        self._db.close()


def set_aside(path: Path) -> Path:
    """Rename an unusable store, with its write-ahead log, and return its new path for inspection."""
    aside = path.with_name(f"{path.name}.spoilt")
    for suffix in ("", "-wal", "-shm"):
        file = Path(f"{path}{suffix}")
        if file.exists():
            file.replace(Path(f"{aside}{suffix}"))
    return aside
