"""What the files of this package share: SQLite opened to last, its errors told, checksums."""

from __future__ import annotations

import sqlite3
from pathlib import Path

import xxhash

PAGE_BYTES = 4096


class StoreError(Exception):
    """The disk or the file; nothing of the group that it was raised for is durable."""


class StoreFull(StoreError):
    """No room: the bound on the file, or the disk."""


def to_store_error(error: sqlite3.Error) -> StoreError:
    """Return a database's error as one of these."""
    full = getattr(error, "sqlite_errorcode", 0) == sqlite3.SQLITE_FULL
    return StoreFull("the store is full") if full else StoreError(str(error))


def open_database(path: Path, max_bytes: int, formats: tuple[int, ...]) -> tuple[sqlite3.Connection, int]:
    """Open a file whose commits last, and return it with its format, 0 for a new one. Raises StoreError.

    A file of another format, or one that is no database, is left as it is.
    """
    try:
        db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        version = db.execute("PRAGMA user_version").fetchone()[0]
        if version not in (0, *formats):
            db.close()
            raise StoreError(f"{path}: format {version} is not {formats[-1]}")
        db.execute(f"PRAGMA page_size={PAGE_BYTES}")
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.execute(f"PRAGMA max_page_count={max(16, max_bytes // PAGE_BYTES)}")
    except sqlite3.Error as error:
        raise to_store_error(error) from None
    return db, version


def signed_checksum(data: bytes) -> int:
    """Return a checksum as SQLite holds it: 64 bits, signed."""
    value = xxhash.xxh3_64_intdigest(data)
    return value - (1 << 64) if value >= 1 << 63 else value
