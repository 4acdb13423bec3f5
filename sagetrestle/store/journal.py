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
from sagetrestle.store.database import PAGE, StoreError, StoreFull, open_lasting, signed_sum, told
from sagetrestle.store.files import replace_file

FORMAT = 3  # 1 had no checksum of the key alone, 2 no word of whose it is
POINTS = ("begin", "written", "committed", "compact-begin", "compact-deleted", "compact-written", "compact-committed")


JournalError, JournalFull = StoreError, StoreFull


class Read(NamedTuple):
    """What a journal held: its entries in order, and the keys of those that can not be read ("" where unknown)."""

    entries: list[EffectRecord]
    spoilt: list[str]


class Position(NamedTuple):
    """How far a journal is: its identity, how often it was opened and compacted, and its last entry."""

    identity: str
    starts: int
    snapshots: int
    last: int


class Mark:
    """A small file beside a journal that says how far it was.

    By it a journal that is missing, another one or an older copy is told apart from one that was never there. What was
    written since the mark and is lost is not told.
    """

    def __init__(self, path: Path) -> None:
        self._path = path.with_name(f"{path.name}.mark")
        self._written: Position | None = None

    def read(self) -> Position | None:
        """Return what it says; None without one, or where it can not be read."""
        try:
            return msgspec.json.decode(self._path.read_bytes(), type=Position)
        except (OSError, msgspec.MsgspecError):
            return None

    def write(self, at: Position) -> None:
        """Put it in place whole, if it says something new. Raises JournalError."""
        if at == self._written:
            return
        try:
            replace_file(self._path, msgspec.json.encode(at), 0o600)
        except OSError as error:
            raise JournalError(f"{self._path.name}: {error}") from None
        self._written = at


class Journal:
    """One journal file. Not for two threads at once.

    ``at`` is called at each write point by its name (``POINTS``), so that a test can end the process there.
    """

    def __init__(
        self, path: Path, most_bytes: int = 256 << 20, at: Callable[[str], None] | None = None, member: str = ""
    ) -> None:
        self._at = at or (lambda point: None)
        self._db, version = open_lasting(path, most_bytes, (1, 2, FORMAT))
        self.mark = Mark(path)
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
                self._put(identity=secrets.token_hex(8), member=member, starts="0", snapshots="0")
            if member and self._word("member") != member:
                other = self._word("member")
                self._db.execute("ROLLBACK")
                self._db.close()
                raise JournalError(f"{path}: is the journal of {other!r}, not of {member!r}")
            self._before = self.position()
            self._put(starts=str(self._before.starts + 1))
            self._db.execute(f"PRAGMA user_version={FORMAT}")
            self._db.execute("COMMIT")
        except sqlite3.Error as error:
            raise told(error) from None

    def _word(self, name: str) -> str:
        row = self._db.execute("SELECT data FROM words WHERE name = ?", (name,)).fetchone()
        return row[0] if row is not None else ""

    def _put(self, **words: str) -> None:
        self._db.executemany("INSERT OR REPLACE INTO words(name, data) VALUES(?, ?)", words.items())

    def position(self) -> Position:
        """Return how far the journal is."""
        last = self._db.execute("SELECT COALESCE(MAX(seq), 0) FROM entries").fetchone()[0]
        return Position(self._word("identity"), int(self._word("starts") or 0), int(self._word("snapshots") or 0), last)

    def remember(self) -> None:
        """Have the mark say how far the journal is. Raises JournalError."""
        self.mark.write(self.position())

    def doubtful(self) -> str:
        """Say why what this journal does not name may have run all the same, by the mark; "" where nothing says so."""
        mark, here = self.mark.read(), self._before
        if mark is None or mark == here:
            return ""
        if mark.identity != here.identity:
            return "it is missing, and another is in its place"
        older = (here.starts, here.snapshots, here.last) < (mark.starts, mark.snapshots, mark.last)
        return "it is an older copy" if older else ""

    def append(self, entries: Iterable[EffectRecord]) -> None:
        """Make a group of entries durable, all or none."""
        rows = [(one.key, _encode(one)) for one in entries]
        self._at("begin")
        try:
            self._db.execute("BEGIN IMMEDIATE")
            self._insert(rows)
            self._at("written")
            self._db.execute("COMMIT")
        except sqlite3.Error as error:
            self._roll_back()
            raise told(error) from None
        self._at("committed")

    def _insert(self, rows: list[tuple[str, bytes]]) -> None:
        first = self._db.execute("SELECT COALESCE(MAX(seq), 0) FROM entries").fetchone()[0] + 1
        self._db.executemany(
            "INSERT INTO entries(seq, key, data, sum, key_sum) VALUES(?, ?, ?, ?, ?)",
            (
                (seq, key, data, _sum(seq, key.encode(), data), signed_sum(key.encode()))
                for seq, (key, data) in enumerate(rows, start=first)
            ),
        )

    def read(self, now_us: int) -> Read:
        """Return all that is there, in order; ``now_us`` (Unix) is when what is lost counts as found."""
        entries: list[EffectRecord] = []
        spoilt: list[str] = []

        def lose(key: str) -> None:
            spoilt.append(key)
            entries.append(EffectRecord(RecordKind.LOST, key, now_us))

        try:
            last = 0
            for seq, key, data, total, key_sum in self._db.execute(
                "SELECT seq, COALESCE(CAST(key AS BLOB), x''), COALESCE(CAST(data AS BLOB), x''), sum, key_sum "
                "FROM entries ORDER BY seq"
            ):
                if seq != last + 1:
                    lose("")
                last = seq
                if total != _sum(seq, key, data):
                    lose(key.decode(errors="replace") if key_sum == signed_sum(key) else "")
                    continue
                try:
                    entries.append(_decode(data))
                except (msgspec.MsgspecError, ValueError):
                    lose(key.decode(errors="replace"))
        except sqlite3.Error as error:
            raise told(error) from None
        return Read(entries, spoilt)

    def compact(self, living: Iterable[EffectRecord]) -> None:
        """Put a snapshot in place of all entries, and give the room back."""
        rows = [(one.key, _encode(one)) for one in living]
        self._at("compact-begin")
        try:
            self._db.execute("BEGIN IMMEDIATE")
            self._db.execute("DELETE FROM entries")
            self._put(snapshots=str(int(self._word("snapshots")) + 1))
            self._at("compact-deleted")
            self._insert(rows)
            self._at("compact-written")
            self._db.execute("COMMIT")
            self._at("compact-committed")
            self._db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        except sqlite3.Error as error:
            self._roll_back()
            raise told(error) from None

    def size(self) -> int:
        """Return the bytes that are in use, free pages left out."""
        pages = self._db.execute("PRAGMA page_count").fetchone()[0]
        free = self._db.execute("PRAGMA freelist_count").fetchone()[0]
        return (pages - free) * PAGE

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


def _encode(one: EffectRecord) -> bytes:
    return _ENCODER.encode(_Row(one.kind.value, *one[1:]))


def _decode(data: bytes) -> EffectRecord:
    row = _DECODER.decode(data)
    return EffectRecord(RecordKind(row.kind), row.key, row.at_us, row.server, row.boot, row.digest, row.result)


def _sum(seq: int, key: bytes, data: bytes) -> int:
    """Return an entry's checksum."""
    return signed_sum(b"%d\0%s\0%s" % (seq, key, data))
