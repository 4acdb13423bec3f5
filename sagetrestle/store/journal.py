"""A durable journal of effects on SQLite: groups of entries in one transaction each, checksummed, bounded.

SQLite's write-ahead log with ``synchronous=FULL`` makes a commit durable and a torn tail vanish whole. Each entry has
a checksum of its own as well, over its number and content, and its key has another: a block that went bad on disk is
found as it is read, and an entry that says so stands in its place, with its key where that one is sound. Numbers run
on without a gap, so an entry that is missing within is found too. Compaction puts a snapshot of the living keys in
place of all entries, in one transaction. The file is bounded by pages: a full journal says so, and what it holds stays
readable.

Errors: JournalFull where there is no room, JournalError for all else that the disk does.
"""

from __future__ import annotations

import secrets
import sqlite3
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

import msgspec

from sagetrestle.recovery.effects import EffectRecord, RecordKind
from sagetrestle.store.database import PAGE_BYTES, StoreError, StoreFull, open_database, signed_checksum, to_store_error
from sagetrestle.store.files import replace_file

FORMAT = 3  # 1 had no checksum of the key alone, 2 no word of whose it is
WRITE_POINTS = (
    "begin",
    "written",
    "committed",
    "compact-begin",
    "compact-deleted",
    "compact-written",
    "compact-committed",
)


JournalError, JournalFull = StoreError, StoreFull


class JournalContents(NamedTuple):
    """What a journal held: its entries in order, and the keys of those that can not be read ("" where unknown)."""

    entries: list[EffectRecord]
    corrupt_keys: list[str]


class JournalPosition(NamedTuple):
    """How far a journal is: its identity, how often it was opened and compacted, and its last entry."""

    identity: str
    starts: int
    snapshots: int
    last: int


class PositionMarker:
    """A small file beside a journal that says how far it was.

    By it a journal that is missing, another one or an older copy is told apart from one that was never there. What was
    written since the mark and is lost is not told.
    """

    def __init__(self, path: Path) -> None:
        self._path = path.with_name(f"{path.name}.mark")
        self._written: JournalPosition | None = None

    def read(self) -> JournalPosition | None:
        """Return what it says; None without one, or where it can not be read."""
        try:
            return msgspec.json.decode(self._path.read_bytes(), type=JournalPosition)
        except (OSError, msgspec.MsgspecError):
            return None

    def write(self, position: JournalPosition) -> None:
        """Put it in place whole, if it says something new. Raises JournalError."""
        if position == self._written:
            return
        try:
            replace_file(self._path, msgspec.json.encode(position), 0o600)
        except OSError as error:
            raise JournalError(f"{self._path.name}: {error}") from None
        self._written = position


class Journal:
    """One journal file. Not for two threads at once.

    ``at`` is called at each write point by its name (``WRITE_POINTS``), so that a test can end the process there.
    """

    def __init__(
        self,
        path: Path,
        max_bytes: int = 256 << 20,
        on_write_point: Callable[[str], None] | None = None,
        member: str = "",
    ) -> None:
        self._on_write_point = on_write_point or (lambda point: None)
        self._db, version = open_database(path, max_bytes, (1, 2, FORMAT))
        self.marker = PositionMarker(path)
        try:
            self._db.execute("BEGIN IMMEDIATE")
            self._db.execute(
                "CREATE TABLE IF NOT EXISTS entries(seq INTEGER PRIMARY KEY, key TEXT NOT NULL, "
                "data BLOB NOT NULL, sum INTEGER NOT NULL, key_sum INTEGER)"
            )
            if version == 1:
                self._db.execute("ALTER TABLE entries ADD COLUMN key_sum INTEGER")
            self._db.execute("CREATE TABLE IF NOT EXISTS words(name TEXT PRIMARY KEY, data TEXT NOT NULL)")
            if version < FORMAT:
                self._put_metadata(identity=secrets.token_hex(8), member=member, starts="0", snapshots="0")
            if member and self._get_metadata("member") != member:
                other = self._get_metadata("member")
                self._db.execute("ROLLBACK")
                self._db.close()
                raise JournalError(f"{path}: is the journal of {other!r}, not of {member!r}")
            self._before = self.position()
            self._put_metadata(starts=str(self._before.starts + 1))
            self._db.execute(f"PRAGMA user_version={FORMAT}")
            self._db.execute("COMMIT")
        except sqlite3.Error as error:
            raise to_store_error(error) from None

    def _get_metadata(self, name: str) -> str:
        row = self._db.execute("SELECT data FROM words WHERE name = ?", (name,)).fetchone()
        return row[0] if row is not None else ""

    def _put_metadata(self, **words: str) -> None:
        self._db.executemany("INSERT OR REPLACE INTO words(name, data) VALUES(?, ?)", words.items())

    def position(self) -> JournalPosition:
        """Return how far the journal is."""
        last = self._db.execute("SELECT COALESCE(MAX(seq), 0) FROM entries").fetchone()[0]
        return JournalPosition(
            self._get_metadata("identity"),
            int(self._get_metadata("starts") or 0),
            int(self._get_metadata("snapshots") or 0),
            last,
        )

    def write_marker(self) -> None:
        """Have the mark say how far the journal is. Raises JournalError."""
        self.marker.write(self.position())

    def describe_loss(self) -> str:
        """Say why what this journal does not name may have run all the same, by the mark; "" where nothing says so."""
        marked, here = self.marker.read(), self._before
        if marked is None or marked == here:
            return ""
        if marked.identity != here.identity:
            return "it is missing, and another is in its place"
        older = (here.starts, here.snapshots, here.last) < (marked.starts, marked.snapshots, marked.last)
        return "it is an older copy" if older else ""

    def append(self, entries: Iterable[EffectRecord]) -> None:
        """Make a group of entries durable, all or none."""
        rows = [(entry.key, _encode(entry)) for entry in entries]
        self._on_write_point("begin")
        try:
            self._db.execute("BEGIN IMMEDIATE")
            self._insert(rows)
            self._on_write_point("written")
            self._db.execute("COMMIT")
        except sqlite3.Error as error:
            self._roll_back()
            raise to_store_error(error) from None
        self._on_write_point("committed")

    def _insert(self, rows: list[tuple[str, bytes]]) -> None:
        first = self._db.execute("SELECT COALESCE(MAX(seq), 0) FROM entries").fetchone()[0] + 1
        self._db.executemany(
            "INSERT INTO entries(seq, key, data, sum, key_sum) VALUES(?, ?, ?, ?, ?)",
            (
                (seq, key, data, _entry_checksum(seq, key.encode(), data), signed_checksum(key.encode()))
                for seq, (key, data) in enumerate(rows, start=first)
            ),
        )

    def read(self, now_us: int) -> JournalContents:
        """Return all that is there, in order; ``now_us`` (Unix) is when what is lost counts as found."""
        entries: list[EffectRecord] = []
        corrupt_keys: list[str] = []

        def add_lost_entry(key: str) -> None:
            corrupt_keys.append(key)
            entries.append(EffectRecord(RecordKind.LOST, key, now_us))

        try:
            last = 0
            for seq, key, data, total, key_sum in self._db.execute(
                "SELECT seq, COALESCE(CAST(key AS BLOB), x''), COALESCE(CAST(data AS BLOB), x''), sum, key_sum "
                "FROM entries ORDER BY seq"
            ):
                if seq != last + 1:
                    add_lost_entry("")
                last = seq
                if total != _entry_checksum(seq, key, data):
                    add_lost_entry(key.decode(errors="replace") if key_sum == signed_checksum(key) else "")
                    continue
                try:
                    entries.append(_decode(data))
                except (msgspec.MsgspecError, ValueError):
                    add_lost_entry(key.decode(errors="replace"))
        except sqlite3.Error as error:
            raise to_store_error(error) from None
        return JournalContents(entries, corrupt_keys)

    def compact(self, living: Iterable[EffectRecord]) -> None:
        """Put a snapshot in place of all entries, and give the room back."""
        rows = [(one.key, _encode(one)) for one in living]
        self._on_write_point("compact-begin")
        try:
            self._db.execute("BEGIN IMMEDIATE")
            self._db.execute("DELETE FROM entries")
            self._put_metadata(snapshots=str(int(self._get_metadata("snapshots")) + 1))
            self._on_write_point("compact-deleted")
            self._insert(rows)
            self._on_write_point("compact-written")
            self._db.execute("COMMIT")
            self._on_write_point("compact-committed")
            self._db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        except sqlite3.Error as error:
            self._roll_back()
            raise to_store_error(error) from None

    def size(self) -> int:
        """Return the bytes that are in use, free pages left out."""
        pages = self._db.execute("PRAGMA page_count").fetchone()[0]
        free = self._db.execute("PRAGMA freelist_count").fetchone()[0]
        return (pages - free) * PAGE_BYTES

    def count(self) -> int:
        """Return how many entries there are."""
        return self._db.execute("SELECT COUNT(*) FROM entries").fetchone()[0]

    def check(self) -> list[str]:
        """Return what SQLite finds wrong with the file; nothing where it is well."""
        try:
            found = [row[0] for row in self._db.execute("PRAGMA integrity_check")]
        except sqlite3.Error as error:
            return [str(error)]
        return [] if found == ["ok"] else found

    def close(self) -> None:
        """Close the file."""
        self._db.close()

    def _roll_back(self) -> None:
        if self._db.in_transaction:
            self._db.execute("ROLLBACK")


class _Row(msgspec.Struct, array_like=True):
    kind: str
    key: str
    at_us: int
    server: str
    boot: int
    digest: bytes
    result: bytes


_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(_Row)


def _encode(entry: EffectRecord) -> bytes:
    return _ENCODER.encode(_Row(entry.kind.value, *entry[1:]))


def _decode(data: bytes) -> EffectRecord:
    row = _DECODER.decode(data)
    return EffectRecord(RecordKind(row.kind), row.key, row.at_us, row.server, row.boot, row.digest, row.result)


def _entry_checksum(seq: int, key: bytes, data: bytes) -> int:
    """Return an entry's checksum."""
    return signed_checksum(b"%d\0%s\0%s" % (seq, key, data))
