"""Cutting a byte stream into lines of bounded length."""

from __future__ import annotations

from sagetrestle.net.protocol.errors import Fault, ProtocolError


class LineSplitter:
    """Give the lines of a stream as they are completed; a line over the bound is an error."""

    def __init__(self, end: bytes, longest: int) -> None:
        self._end, self._longest = end, longest
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Take more bytes and return the lines now complete, without their ends."""
        self._buffer += data
        *lines, rest = bytes(self._buffer).split(self._end)
        self._buffer = bytearray(rest)
        if len(rest) > self._longest or any(len(line) > self._longest for line in lines):
            raise ProtocolError(f"a line of over {self._longest} bytes", Fault.TOO_LARGE)
        return lines
