"""What a member keeps of the picture for the member that starts after it under its name: one small file, whole.

It is a memory and no proof: nothing is owed on it, so one that is spoilt, older or gone costs what it remembered.
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
    """Put rows in place of those that the file has. Raises StoreError."""
    data = msgspec.msgpack.encode(rows)
    try:
        replace_file(path, msgspec.msgpack.encode(_File(FORMAT, signed_checksum(data), data)), 0o600)
    except OSError as error:
        raise StoreError(f"{path.name}: {error}") from None


def read_gossip_rows(path: Path) -> tuple[Row, ...]:
    """Return the rows of a file, none where there is none. Raises StoreError where it can not be used."""
    try:
        file = msgspec.msgpack.decode(path.read_bytes(), type=_File)
        if file.format != FORMAT:
            raise StoreError(f"{path.name}: format {file.format} is not {FORMAT}")
        if file.total != signed_checksum(file.rows):
            raise StoreError(f"{path.name}: it is spoilt")
        return msgspec.msgpack.decode(file.rows, type=tuple[Row, ...])
    except FileNotFoundError:
        return ()
    except (OSError, msgspec.MsgspecError) as error:
        raise StoreError(f"{path.name}: {error}") from None
