"""The newer interface, JSON over HTTP/2 (docs/interface-v2.md): headers and bodies, without connections."""

from __future__ import annotations

import hashlib
from typing import Any, NamedTuple

import msgspec

from sagetrestle.net.protocol.errors import Fault, ProtocolError

JSON = "application/json"
PROBLEM = "application/problem+json"
MAX_RESPONSE_BYTES = 256 * 1024
Headers = list[tuple[str, str]]


class Call(NamedTuple):
    """A request of the newer interface; ``value`` is the JSON object defined by its class."""

    class_name: str
    value: Any
    schema: int
    deadline_ms: int
    key: str | None = None
    retry: bool = False
    hint_ms: float = 0.0
    tenant: str = ""
    token: str = ""


class Response(NamedTuple):
    """A response: its status, the JSON value of its body or None, and ``Retry-After``."""

    status: int
    value: Any
    retry_after: str | None = None


def fencing_token(fleet: str, partition: int, epoch: int) -> str:
    """Return the fencing token of a partition.

    With it a server can reject requests of an epoch before the newest one that it has seen for the partition.
    """
    return f"{fleet}/{partition}/{epoch}"


def effect_key(tenant: str, class_name: str, key: str) -> str:
    """Return the idempotency key of an effect; it is the same from every translator, and separate for each tenant."""
    return hashlib.sha256(f"{tenant}\0{class_name}\0{key}".encode()).hexdigest()


def encode_call(call: Call, authority: str) -> tuple[Headers, bytes]:
    """Encode the headers and the body of a request."""
    headers = [
        (":method", "POST"),
        (":path", f"/v2/{call.class_name}"),
        (":scheme", "http"),
        (":authority", authority),
        ("content-type", JSON),
        ("accept", f"{JSON}, {PROBLEM}"),
        ("deadline-ms", str(call.deadline_ms)),
    ]
    headers += [("idempotency-key", f'"{call.key}"')] if call.key else []
    headers += [("retry-attempt", "1")] if call.retry else []
    headers += [("work-hint-ms", f"{call.hint_ms:g}")] if call.hint_ms else []
    headers += [("tenant", call.tenant)] if call.tenant else []
    headers += [("fencing-token", call.token)] if call.token else []
    return headers, msgspec.json.encode({"schema": call.schema, "request": call.value})


def encode_question(key: str, authority: str, token: str = "") -> tuple[Headers, bytes]:
    """Encode the headers and the empty body of the query for the outcome of an idempotency key."""
    headers = [
        (":method", "GET"),
        (":path", f"/v2/effects/{key}"),
        (":scheme", "http"),
        (":authority", authority),
        ("accept", JSON),
    ]
    return headers + ([("fencing-token", token)] if token else []), b""


def decode_response(headers: Headers, data: bytes) -> Response:
    """Decode a response. Raises ProtocolError."""
    fields = {name: value for name, value in headers}
    status = fields.get(":status", "")
    if not status.isdecimal() or len(status) != 3:
        raise ProtocolError("a response without its status")
    if len(data) > MAX_RESPONSE_BYTES:
        raise ProtocolError(f"an answer of {len(data)} octets", Fault.TOO_LARGE)
    kind = fields.get("content-type", "").partition(";")[0].strip().lower()
    value = None
    if kind in (JSON, PROBLEM) and data:
        try:
            value = msgspec.json.decode(data)
        except (msgspec.DecodeError, ValueError):
            raise ProtocolError("a body that is no JSON") from None
    elif 200 <= int(status) < 300:
        raise ProtocolError("an answer that is no JSON")
    return Response(int(status), value, fields.get("retry-after"))


def answer_of(value: Any, schema: int) -> Any:
    """Return the answer in the object of a successful response. Raises ProtocolError if it or its schema is wrong."""
    if not isinstance(value, dict) or "answer" not in value:
        raise ProtocolError("an object without its answer")
    actual_schema = value.get("schema")
    if not isinstance(actual_schema, int) or isinstance(actual_schema, bool) or actual_schema < schema:
        raise ProtocolError(f"schema {actual_schema!r}, not {schema} or later")
    return value["answer"]
