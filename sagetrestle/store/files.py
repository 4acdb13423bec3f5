"""Atomic file replacement."""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(path: Path, data: bytes, mode: int) -> None:
    """Replace a file atomically: readers see the old or the new content, also after a crash. Raises OSError."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    handle = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except BaseException:
        temporary.unlink(missing_ok=True)
        raise
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
