"""The protocol of the management front: HTTP/1.1 (RFC 9112), one call per connection, decoded incrementally.

Only what the operators' calls need is implemented: a body is never used, and is skipped if it is within its limit.
"""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import urlsplit

MAX_LINE = 2 * 1024  # bytes of the request line
MAX_HEADERS = 8 * 1024  # bytes of all header lines together
MAX_BODY = 4 * 1024  # bytes of a body, which is skipped
TOKEN_PATTERN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VERSION_PATTERN = re.compile(rb"HTTP/(\d)\.(\d)")
TARGET_PATTERN = re.compile(rb"[!-~]+")
VALUE_PATTERN = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
LENGTH_PATTERN = re.compile(rb"[0-9]{1,18}")
METHODS = {
    "/api/ready": ("GET", "HEAD"),
    "/api/telemetry": ("GET", "HEAD"),
    "/api/evacuate": ("POST",),
    "/api/rejoin": ("POST",),
}


class CallError(Exception):
    """A rejected call; ``status`` is the response status, and ``allow`` lists the methods for a 405."""

    def __init__(self, status: HTTPStatus, detail: str, allow: tuple[str, ...] = ()) -> None:
        super().__init__(detail)
        self.status, self.allow = status, allow


class Call(NamedTuple):
    """One call: the path is one of ``METHODS``; ``head`` requests the answer without its body."""

    path: str
    head: bool


class CallDecoder:
    """Decodes the one call of a connection; buffers at most the limits above."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned = 0  # bytes of the buffer that are known to contain no line end
        self._request_line: tuple[bytes, bytes, int] | None = None  # method, target, minor version
        self._headers: dict[bytes, bytes] = {}
        self._header_bytes = 0
        self._body_left: int | None = None  # missing bytes of the body; None until the headers are read

    def feed(self, data: bytes) -> Call | None:
        """Add bytes and return the call once it is complete. Raises CallError, after which the decoder is unusable."""
        self._buffer += data
        while self._body_left is None:
            line = self._next_line()
            if line is None:
                return None
            if self._request_line is None:
                if line:  # leading empty lines are skipped (RFC 9112, 2.2), and counted as headers
                    self._request_line = _parse_request_line(line)
            elif line:
                self._header(line)
            else:
                self._body_left = self._body_length()
        taken = min(self._body_left, len(self._buffer))
        del self._buffer[:taken]
        self._body_left -= taken
        return self._call() if self._body_left == 0 else None

    def _next_line(self) -> bytes | None:
        """Remove and return the next line, or None. A line may end in a bare LF (RFC 9112, 2.2)."""
        line_end = self._buffer.find(b"\n", self._scanned)
        length = len(self._buffer) if line_end < 0 else line_end
        if self._request_line is None and length > MAX_LINE:
            raise CallError(HTTPStatus.REQUEST_URI_TOO_LONG, f"a request line of over {MAX_LINE} bytes")
        if self._header_bytes + (length if self._request_line else 0) > MAX_HEADERS:
            raise CallError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, f"headers of over {MAX_HEADERS} bytes")
        if line_end < 0:
            self._scanned = len(self._buffer)
            return None
        line = bytes(self._buffer[:line_end]).removesuffix(b"\r")
        del self._buffer[: line_end + 1]
        self._scanned = 0
        if self._request_line is not None or not line:
            self._header_bytes += line_end + 1
        return line

    def _header(self, line: bytes) -> None:
        name, colon, value = line.partition(b":")
        value = value.strip(b" \t")
        if not colon or not TOKEN_PATTERN.fullmatch(name) or not VALUE_PATTERN.fullmatch(value):
            raise CallError(HTTPStatus.BAD_REQUEST, "a header line that can not be read")
        name = name.lower()
        if name in self._headers and name in (b"host", b"content-length") and self._headers[name] != value:
            raise CallError(HTTPStatus.BAD_REQUEST, f"{name.decode()} comes twice")
        if name in self._headers and name == b"host":
            raise CallError(HTTPStatus.BAD_REQUEST, "host comes twice")
        self._headers[name] = value

    def _body_length(self) -> int:
        assert self._request_line is not None
        if self._request_line[2] >= 1 and b"host" not in self._headers:  # RFC 9112, 3.2
            raise CallError(HTTPStatus.BAD_REQUEST, "no Host")
        if b"transfer-encoding" in self._headers:  # transfer codings are not supported (RFC 9112, 6.1)
            raise CallError(HTTPStatus.NOT_IMPLEMENTED, "bodies come with their length here")
        content_length = self._headers.get(b"content-length", b"0")
        if not LENGTH_PATTERN.fullmatch(content_length):
            raise CallError(HTTPStatus.BAD_REQUEST, "a Content-Length that is no number")
        if int(content_length) > MAX_BODY:
            raise CallError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"a body of over {MAX_BODY} bytes")
        return int(content_length)

    def _call(self) -> Call:
        assert self._request_line is not None
        method, target, _ = self._request_line
        try:
            path = (
                urlsplit(target.decode("ascii")).path
                if target[:1] != b"/"
                else (target.decode("ascii").partition("?")[0])
            )
        except ValueError:
            raise CallError(HTTPStatus.BAD_REQUEST, "a target that can not be read") from None
        if path not in METHODS:
            raise CallError(HTTPStatus.NOT_FOUND, f"no such path; there are {', '.join(METHODS)}")
        method_name = method.decode("ascii")
        if method_name not in METHODS[path]:
            allow = METHODS[path]
            raise CallError(HTTPStatus.METHOD_NOT_ALLOWED, f"{path} takes {', '.join(allow)}", allow)
        return Call(path, method_name == "HEAD")


def _parse_request_line(line: bytes) -> tuple[bytes, bytes, int]:
    words = line.split(b" ")
    if len(words) != 3 or not TOKEN_PATTERN.fullmatch(words[0]) or not TARGET_PATTERN.fullmatch(words[1]):
        raise CallError(HTTPStatus.BAD_REQUEST, "a request line that can not be read")
    version = VERSION_PATTERN.fullmatch(words[2])
    if version is None:
        raise CallError(HTTPStatus.BAD_REQUEST, "a version that can not be read")
    if version[1] != b"1":
        raise CallError(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here")
    return words[0], words[1], int(version[2])


def encode_answer(status: HTTPStatus, text: str, head: bool = False, allow: tuple[str, ...] = ()) -> bytes:
    """Encode the answer to a call, after which the connection closes; the answer to HEAD has no body."""
    body = text.encode()
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Type: text/plain; charset=utf-8",
        f"Content-Length: {len(body)}",
        "Cache-Control: no-store",
        "Connection: close",
    ]
    if allow:
        lines.append(f"Allow: {', '.join(allow)}")
    return "\r\n".join([*lines, "", ""]).encode() + (b"" if head else body)
