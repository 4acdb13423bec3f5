"""An operator's caller at a scorer's second address: one HTTP call a connection."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from sagetrestle.lab.clients import PATIENCE_S


class Answered(NamedTuple):
    """An answer: status (0: the connection ended without one), text, and the time it took in seconds."""

    status: int
    text: str
    took_s: float


async def call(port: int, method: str, path: str) -> Answered:
    """Make one call on loopback."""
    begun = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: scorer\r\n\r\n".encode())
        data = await asyncio.wait_for(reader.read(), PATIENCE_S)
        writer.close()
    except ConnectionError:
        data = b""
    head, _, text = data.decode().partition("\r\n\r\n")
    return Answered(int(head.split()[1]) if head else 0, text, time.monotonic() - begun)


def figures(text: str) -> dict[str, int]:
    """Read the figures."""
    return {line.partition(":")[0]: int(line.partition(":")[2].partition("|")[0]) for line in text.splitlines()}
