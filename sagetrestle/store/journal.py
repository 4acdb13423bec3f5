"""A durable journal of effects on SQLite: one transaction per group of entries, with checksums and a size limit.

SQLite's write-ahead log with ``synchronous=FULL`` makes each commit durable and discards a torn tail as a whole. Each
entry also has a checksum over its sequence number and content, and its key has a checksum of its own. A block that went
bad on disk is thus detected on reading: the entry is replaced by one of kind ``LOST``, with its key if the key's
checksum still matches. Sequence numbers have no gaps, so a missing entry is detected as well. Compaction replaces all
entries by a snapshot of the live keys in one transaction. The size limit is a number of pages: a full journal raises an
error, and its content stays readable.

Raises JournalFull if there is no space left, and JournalError for any other disk error.
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

FORMAT = 3  # format 1 has no checksum of the key alone, format 2 no member name
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
    """The entries of a journal in order, and the keys of the unreadable ones ("" if the key is unknown)."""

    entries: list[EffectRecord]
    corrupt_keys: list[str]


class JournalPosition(NamedTuple):
    """State of a journal: its identity, how often it was opened and compacted, and its last sequence number."""

    identity: str
    starts: int
    snapshots: int
    last: int


class PositionMarker:
    """A small file beside a journal that records the journal's position.

    It distinguishes a journal that is missing, was replaced or is an older copy from one that never existed. The loss
    of entries written after the marker is not detected.
    """

    def __init__(self, path: Path) -> None:
        self._path = path.with_name(f"{path.name}.mark")
        self._written: JournalPosition | None = None

    def read(self) -> JournalPosition | None:
        """Return the recorded position, or None if the file is missing or unreadable."""
        try:
            return msgspec.json.decode(self._path.read_bytes(), type=JournalPosition)
        except (OSError, msgspec.MsgspecError):
            return None

    def write(self, position: JournalPosition) -> None:
        """Replace the file atomically if the position has changed. Raises JournalError."""
        if position == self._written:
            return
        try:
            replace_file(self._path, msgspec.json.encode(position), 0o600)
        except OSError as error:
            raise JournalError(f"{self._path.name}: {error}") from None
        self._written = position


class Journal:
    """One journal file. Not thread-safe.

    ``on_write_point`` is called with the name of each write point (``WRITE_POINTS``), so that a test can end the
    process there.
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
                owner = self._get_metadata("member")
                self._db.execute("ROLLBACK")
                self._db.close()
                raise JournalError(f"{path}: the journal belongs to member {owner!r}, not to {member!r}")
            self._position_at_open = self.position()
            self._put_metadata(starts=str(self._position_at_open.starts + 1))
            self._db.execute(f"PRAGMA user_version={FORMAT}")
            self._db.execute("COMMIT")
        except sqlite3.Error as error:
            raise to_store_error(error) from None

    def _get_metadata(self, name: str) -> str:
        row = self._db.execute("SELECT data FROM words WHERE name = ?", (name,)).fetchone()
        return row[0] if row is not None else ""

    def _put_metadata(self, **values: str) -> None:
        self._db.executemany("INSERT OR REPLACE INTO words(name, data) VALUES(?, ?)", values.items())

    def position(self) -> JournalPosition:
        """Return the current position of the journal."""
        last = self._db.execute("SELECT COALESCE(MAX(seq), 0) FROM entries").fetchone()[0]
        return JournalPosition(
            self._get_metadata("identity"),
            int(self._get_metadata("starts") or 0),
            int(self._get_metadata("snapshots") or 0),
            last,
        )

    def write_marker(self) -> None:
        """Record the current position in the marker file. Raises JournalError."""
        self.marker.write(self.position())

    def describe_loss(self) -> str:
        """Return why entries may be missing, judged by the marker file, or "" if there is no sign of a loss.

        After a loss, an effect that the journal does not name may have run all the same.
        """
        marked, opened = self.marker.read(), self._position_at_open
        if marked is None or marked == opened:
            return ""
        if marked.identity != opened.identity:
            return "the file is missing and another one is in its place"
        older = (opened.starts, opened.snapshots, opened.last) < (marked.starts, marked.snapshots, marked.last)
        return "the file is an older copy" if older else ""

    def append(self, entries: Iterable[EffectRecord]) -> None:
        """Append a group of entries in one durable transaction. Raises JournalFull or JournalError."""
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
        """Return the content in order; ``now_us`` (Unix time) becomes the time of entries that are found lost."""
        entries: list[EffectRecord] = []
        corrupt_keys: list[str] = []

        def add_lost_entry(key: str) -> None:
            corrupt_keys.append(key)
            entries.append(EffectRecord(RecordKind.LOST, key, now_us))

        try:
            previous_seq = 0
            for seq, key, data, checksum, key_checksum in self._db.execute(
                "SELECT seq, COALESCE(CAST(key AS BLOB), x''), COALESCE(CAST(data AS BLOB), x''), sum, key_sum "
                "FROM entries ORDER BY seq"
            ):
                if seq != previous_seq + 1:
                    add_lost_entry("")
                previous_seq = seq
                if checksum != _entry_checksum(seq, key, data):
                    add_lost_entry(key.decode(errors="replace") if key_checksum == signed_checksum(key) else "")
                    continue
                try:
                    entries.append(_decode(data))
                except (msgspec.MsgspecError, ValueError):
                    add_lost_entry(key.decode(errors="replace"))
        except sqlite3.Error as error:
            raise to_store_error(error) from None
        return JournalContents(entries, corrupt_keys)

    def compact(self, live_entries: Iterable[EffectRecord]) -> None:
        """Replace all entries by a snapshot and truncate the write-ahead log. Raises JournalFull or JournalError."""
        rows = [(entry.key, _encode(entry)) for entry in live_entries]
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
        """Return the bytes in use, without free pages."""
        pages = self._db.execute("PRAGMA page_count").fetchone()[0]
        free = self._db.execute("PRAGMA freelist_count").fetchone()[0]
        return (pages - free) * PAGE_BYTES

    def count(self) -> int:
        """Return the number of entries."""
        return self._db.execute("SELECT COUNT(*) FROM entries").fetchone()[0]

    def check(self) -> list[str]:
        """Return the errors that SQLite's integrity check finds; empty if there are none."""
        try:
            messages = [row[0] for row in self._db.execute("PRAGMA integrity_check")]
        except sqlite3.Error as error:
            return [str(error)]
        return [] if messages == ["ok"] else messages

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
    """Return the checksum over an entry's sequence number, key and content."""
    return signed_checksum(b"%d\0%s\0%s" % (seq, key, data))
