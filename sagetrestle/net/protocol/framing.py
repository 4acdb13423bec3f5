"""Splits a byte stream into lines of bounded length."""

from __future__ import annotations

from sagetrestle.net.protocol.errors import Fault, ProtocolError


class LineSplitter:
    """Returns the lines of a stream as they are completed; a line over the maximum length is an error."""

    def __init__(self, delimiter: bytes, max_length: int) -> None:
        self._delimiter, self._max_length = delimiter, max_length
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the complete lines without their delimiters. Raises ProtocolError."""
        self._buffer += data
        *lines, rest = bytes(self._buffer).split(self._delimiter)
        self._buffer = bytearray(rest)
        if len(rest) > self._max_length or any(len(line) > self._max_length for line in lines):
            raise ProtocolError(f"a line of over {self._max_length} bytes", Fault.TOO_LARGE)
        return lines
