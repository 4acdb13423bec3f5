"""SCGI: a request is a netstring of headers followed by the body, and the answer is a CGI response.

The decoder is strict: CONTENT_LENGTH must be the first header, SCGI must be 1, headers must be unique, and lengths must
not have leading zeros.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import NamedTuple

from sagetrestle.net.protocol.errors import Fault, ProtocolError

MAX_HEADERS = 8 * 1024
MAX_BODY = 2 * 1024
LENGTH_PATTERN = re.compile(rb"0|[1-9][0-9]{0,8}")
MAX_LENGTH_DIGITS = len(str(MAX_HEADERS)) + 4  # more digits cannot be a length within the limit


class ScgiRequest(NamedTuple):
    """One request."""

    headers: dict[str, str]
    body: bytes


class RequestDecoder:
    """Decodes the one request of a connection, buffering at most its headers and body."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._headers: bytes | None = None  # as received: decoded, short fields take many times their bytes
        self._body_size = 0
        self.complete, self.is_untouched = False, True

    @property
    def buffered(self) -> int:
        """Return the number of bytes that are held of an incomplete request."""
        return len(self._buffer) + len(self._headers or b"")

    def discard(self) -> None:
        """Drop what is held, as the request is answered before it is complete."""
        self._headers, self._buffer = None, bytearray()

    def feed(self, data: bytes) -> ScgiRequest | None:
        """Add bytes and return the request once it is complete. Bytes after the request are a ProtocolError."""
        self.is_untouched = False
        self._buffer += data
        if self.complete:
            raise ProtocolError("bytes after the request")
        if self._headers is None:
            self._read_headers()
        if self._headers is None or len(self._buffer) < self._body_size:
            return None
        if len(self._buffer) > self._body_size:
            raise ProtocolError("bytes after the request")
        self.complete = True
        request = ScgiRequest(_headers(self._headers), bytes(self._buffer))
        self._headers, self._buffer = None, bytearray()
        return request

    def _read_headers(self) -> None:
        """Decode the netstring once it is complete, and the length of the body."""
        colon = self._buffer.find(b":", 0, MAX_LENGTH_DIGITS + 1)
        if colon < 0:
            if len(self._buffer) > MAX_LENGTH_DIGITS or not re.fullmatch(rb"[0-9]*", self._buffer):
                raise ProtocolError("not a netstring")
            return
        if not LENGTH_PATTERN.fullmatch(self._buffer, 0, colon):
            raise ProtocolError("not a netstring")
        size = int(self._buffer[:colon])
        if size > MAX_HEADERS:
            raise ProtocolError(f"headers of {size} bytes", Fault.TOO_LARGE)
        end = colon + 1 + size
        if len(self._buffer) <= end:
            return
        if self._buffer[end : end + 1] != b",":
            raise ProtocolError("a netstring without its comma")
        block = bytes(self._buffer[colon + 1 : end])
        self._body_size = int(_headers(block)["CONTENT_LENGTH"])
        if self._body_size > MAX_BODY:
            raise ProtocolError(f"a body of {self._body_size} bytes", Fault.TOO_LARGE)
        self._headers = block
        del self._buffer[: end + 1]


def _headers(block: bytes) -> dict[str, str]:
    """Decode the names and values in the netstring. Raises ProtocolError."""
    parts = block.split(b"\0")
    if parts[-1] or len(parts) % 2 == 0:
        raise ProtocolError("headers that are not pairs ended by zero bytes")
    names, values = parts[0:-1:2], parts[1::2]
    if not all(names) or len(set(names)) != len(names):
        raise ProtocolError("a header without a name, or one that comes twice")
    if not names or names[0] != b"CONTENT_LENGTH" or not LENGTH_PATTERN.fullmatch(values[0]):
        raise ProtocolError("CONTENT_LENGTH does not come first or is no length")
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in zip(names, values, strict=True)}
    if headers.get("SCGI") != "1":
        raise ProtocolError("the header SCGI is not 1")
    return headers


def encode_request(headers: Mapping[str, str], body: bytes) -> bytes:
    """Encode a request."""
    pairs = {"CONTENT_LENGTH": str(len(body)), "SCGI": "1", **headers}
    block = b"".join(f"{name}\0{value}\0".encode("latin-1") for name, value in pairs.items())
    return b"%d:%s,%s" % (len(block), block, body)


RESPONSE_START = b"Status:"


def encode_response(status: str, headers: Mapping[str, str], body: bytes) -> bytes:
    """Encode a CGI response; its first bytes are always ``RESPONSE_START``."""
    pairs = {"Content-Type": "application/octet-stream", "Content-Length": str(len(body)), **headers}
    lines = "".join(f"{name}: {value}\r\n" for name, value in pairs.items())
    return RESPONSE_START + f" {status}\r\n{lines}\r\n".encode("latin-1") + body
