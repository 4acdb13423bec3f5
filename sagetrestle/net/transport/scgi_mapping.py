"""Maps SCGI headers to fields of requests, and answers to CGI responses.

docs/scgi.md has the same mapping as a table for authors of clients.
"""

from __future__ import annotations

import math
import re
import zlib
from typing import NamedTuple

from sagetrestle.interface import Effect, Settings
from sagetrestle.net.protocol.errors import Fault, ProtocolError
from sagetrestle.net.protocol.scgi import ScgiRequest
from sagetrestle.net.routing.values import Answer, Denied, FailCause, Refused, Served
from sagetrestle.net.transport.denials import scgi_denial

DEFAULT_CALLER = "anonymous"
DEFAULT_RANK = 0.5
KEY_PATTERN = r"[!-~]{1,128}"
HINT_PATTERN = r"[0-9]{1,7}(\.[0-9]{1,6})?"
CALLER_PATTERN = r"[!-~]{1,128}"


class Response(NamedTuple):
    """A CGI response."""

    status: str
    headers: dict[str, str]
    body: bytes = b""


class RequestError(Exception):
    """A request that is rejected before it reaches the core, with the response to send."""

    def __init__(self, status: str, detail: str, **headers: str) -> None:
        super().__init__(detail)
        self.response = text_response(status, detail, headers)


class Call(NamedTuple):
    """The request fields given by the headers."""

    class_index: int
    key: str | None
    retry: bool
    hint_us: int
    caller: int


def read_call(request: ScgiRequest, settings: Settings) -> Call:
    """Read the request fields from the headers, with defaults for absent ones. Raises RequestError."""
    headers = request.headers
    class_index = _class(headers, settings)
    if headers.get("REQUEST_METHOD") != "POST":
        raise RequestError("405 Method Not Allowed", "only POST is taken", Allow="POST")
    key = _header_matching(headers, "HTTP_IDEMPOTENCY_KEY", KEY_PATTERN)
    if settings.classes[class_index].effect is Effect.KEYED and key is None:
        raise RequestError("400 Bad Request", "Idempotency-Key is missing")
    retry = _header_matching(headers, "HTTP_X_RETRY", "[01]") == "1"
    hint = float(_header_matching(headers, "HTTP_X_WORK_HINT_MS", HINT_PATTERN) or 0)
    caller = _header_matching(headers, "HTTP_X_CALLER", CALLER_PATTERN) or headers.get("REMOTE_ADDR") or DEFAULT_CALLER
    return Call(class_index, key, retry, int(hint * 1000), caller_id(caller))


def _class(headers: dict[str, str], settings: Settings) -> int:
    """Return the index of the class named by the path, from REQUEST_URI if the server sets no PATH_INFO."""
    if not headers.get("REQUEST_METHOD"):
        raise RequestError("400 Bad Request", "REQUEST_METHOD is missing")
    path = headers.get("PATH_INFO") or headers.get("REQUEST_URI", "").partition("?")[0]
    if not path:
        raise RequestError("400 Bad Request", "PATH_INFO is missing")
    for index, request_class in enumerate(settings.classes):
        if path == f"/{request_class.name}":
            return index
    raise RequestError("404 Not Found", "no such class")


def _header_matching(headers: dict[str, str], name: str, pattern: str) -> str | None:
    value = headers.get(name)
    if value is not None and not re.fullmatch(pattern, value):
        raise RequestError("400 Bad Request", f"{name} is not of its form")
    return value


def caller_id(name: str) -> int:
    """Return a caller's number. It is negative, as the numbers of front ends are 0 or more."""
    return -1 - zlib.crc32(name.encode())


def to_response(answer: Answer, value: float | None) -> Response:
    """Return the CGI response for a final answer."""
    headers = {} if value is None else {"X-Free-Value": f"{value:g}"}
    if isinstance(answer, Served):
        return Response("200 OK", headers, answer.result)
    if isinstance(answer, Refused):
        headers["Retry-After"] = str(max(1, math.ceil(answer.retry_after_us / 1e6)))
        if answer.last:
            headers["X-Retry-Elsewhere"] = "no"
        return text_response("503 Service Unavailable", "turned away; this try never ran", headers)
    if isinstance(answer, Denied):
        status, denial_headers = scgi_denial(answer)
        return text_response(status, f"{answer.cause.value}; this try never ran", headers | denial_headers)
    return text_response(*FAILURE_RESPONSES[answer.cause], headers)


FAILURE_RESPONSES = {
    FailCause.RUN: ("502 Bad Gateway", "failed; it may have run"),
    FailCause.OVERDUE: ("504 Gateway Timeout", "not finished in time; it may have run"),
    FailCause.REJECTED: ("422 Unprocessable Content", "it can not be translated; it never ran"),
    FailCause.CONFLICT: ("409 Conflict", "this key came before with another body"),
}
FAULT_STATUS = {Fault.MALFORMED: "400 Bad Request", Fault.TOO_LARGE: "413 Content Too Large"}


def fault_response(fault: ProtocolError) -> Response:
    """Return the response to input that violates the protocol."""
    return text_response(FAULT_STATUS[fault.fault], str(fault), {})


def text_response(status: str, text: str, headers: dict[str, str]) -> Response:
    """Return a response with one line of plain text."""
    return Response(status, {"Content-Type": "text/plain; charset=utf-8", **headers}, f"{text}\n".encode())
