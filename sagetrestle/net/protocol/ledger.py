"""The protocol of the ledger: lines that end in CR LF, followed by a body if the line gives its size."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

from sagetrestle.net.protocol.errors import Fault, ProtocolError

MAX_LINE = 256
MAX_BODY = 64 * 1024
VERDICTS = ("posted", "queue_full", "error", "expired", "moot")
HEAD_PATTERN = re.compile(rb"([0-9a-f]{16}) ([a-z_]{1,20})(?: ([0-9]{1,12}))?")


class Reply(NamedTuple):
    """The outcome of a call."""

    call: str
    verdict: str
    body: bytes


class ReplyDecoder:
    """Decodes the ledger's replies from a stream, buffering at most one reply and the bytes received after it.

    Replies are yielded as they are decoded, so that those before malformed input still count.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def partial(self) -> bool:
        """Return whether part of a reply has been received."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[Reply]:
        """Add bytes and yield the complete replies. Raises ProtocolError."""
        self._buffer += data
        while (reply := self._next()) is not None:
            yield reply

    def _next(self) -> Reply | None:
        line_end = self._buffer.find(b"\r\n")
        if line_end > MAX_LINE or (line_end < 0 and len(self._buffer) > MAX_LINE):
            raise ProtocolError(f"a line of over {MAX_LINE} bytes", Fault.TOO_LARGE)
        if line_end < 0:
            return None
        match = HEAD_PATTERN.fullmatch(bytes(self._buffer[:line_end]))
        verdict = match[2].decode() if match else ""
        if not match or verdict not in VERDICTS or (match[3] is None) == (verdict == "posted"):
            raise ProtocolError(f"not a reply: {bytes(self._buffer[: min(line_end, 60)])!r}")
        end, body = line_end + 2, b""
        if match[3] is not None:
            size = int(match[3])
            if size > MAX_BODY:
                raise ProtocolError(f"a reply of {size} bytes", Fault.TOO_LARGE)
            end += size + 2
            if len(self._buffer) < end:
                return None
            body = bytes(self._buffer[line_end + 2 : end - 2])
            if self._buffer[end - 2 : end] != b"\r\n":
                raise ProtocolError("a reply without its end")
        del self._buffer[:end]
        return Reply(match[1].decode(), verdict, body)


def encode_post(call: str, timeout_ms: int, body: bytes) -> bytes:
    """Encode a call."""
    return b"post %s %d %d\r\n%s\r\n" % (call.encode(), timeout_ms, len(body), body)


def encode_abandon(call: str) -> bytes:
    """Encode the message that abandons a call."""
    return b"abandon %s\r\n" % call.encode()
