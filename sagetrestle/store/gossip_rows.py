"""Gossip rows that a member saves for the next process that starts under its name, in one small file.

The file is only a cache: no decision that must be correct relies on it, so a corrupt, outdated or missing file costs
no more than the rows in it.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from sagetrestle.gossip import Row
from sagetrestle.store.database import StoreError, signed_checksum
from sagetrestle.store.files import replace_file

FORMAT = 1


class _File(msgspec.Struct, array_like=True):
    format: int
    total: int
    rows: bytes


def write_gossip_rows(path: Path, rows: tuple[Row, ...]) -> None:
    """Replace the rows in the file. Raises StoreError."""
    data = msgspec.msgpack.encode(rows)
    try:
        replace_file(path, msgspec.msgpack.encode(_File(FORMAT, signed_checksum(data), data)), 0o600)
    except OSError as error:
        raise StoreError(f"{path.name}: {error}") from None


def read_gossip_rows(path: Path) -> tuple[Row, ...]:
    """Return the rows in the file, or an empty tuple if there is no file. Raises StoreError if it is unusable."""
    try:
        file = msgspec.msgpack.decode(path.read_bytes(), type=_File)
        if file.format != FORMAT:
            raise StoreError(f"{path.name}: format {file.format} is not supported; expected {FORMAT}")
        if file.total != signed_checksum(file.rows):
            raise StoreError(f"{path.name}: corrupt: checksum mismatch")
        return msgspec.msgpack.decode(file.rows, type=tuple[Row, ...])
    except FileNotFoundError:
        return ()
    except (OSError, msgspec.MsgspecError) as error:
        raise StoreError(f"{path.name}: {error}") from None
