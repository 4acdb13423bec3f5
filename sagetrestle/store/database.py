"""Shared code of the SQLite stores: opening a file durably, error conversion and checksums."""

from __future__ import annotations

import sqlite3
from pathlib import Path

import xxhash

PAGE_BYTES = 4096


class StoreError(Exception):
    """A disk or file error; no write of the transaction that raised it is durable."""


class StoreFull(StoreError):
    """The size limit of the file is reached, or the disk is full."""


def to_store_error(error: sqlite3.Error) -> StoreError:
    """Convert an SQLite error to a StoreError, or to StoreFull if there was no space left."""
    full = getattr(error, "sqlite_errorcode", 0) == sqlite3.SQLITE_FULL
    return StoreFull("the store is full") if full else StoreError(str(error))


def open_database(path: Path, max_bytes: int, formats: tuple[int, ...]) -> tuple[sqlite3.Connection, int]:
    """Open an SQLite file with durable commits; return the connection and the file's format (0 for a new file).

    Raises StoreError if the file is not a database or has a format that is not in ``formats``; such a file is not
    modified.
    """
    try:
        db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        version = db.execute("PRAGMA user_version").fetchone()[0]
        if version not in (0, *formats):
            db.close()
            raise StoreError(f"{path}: format {version} is not supported; expected {formats[-1]}")
        db.execute(f"PRAGMA page_size={PAGE_BYTES}")
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.execute(f"PRAGMA max_page_count={max(16, max_bytes // PAGE_BYTES)}")
    except sqlite3.Error as error:
        raise to_store_error(error) from None
    return db, version


def signed_checksum(data: bytes) -> int:
    """Return a checksum as a signed 64-bit integer, the integer type of SQLite."""
    value = xxhash.xxh3_64_intdigest(data)
    return value - (1 << 64) if value >= 1 << 63 else value
