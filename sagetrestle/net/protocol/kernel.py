"""The protocol of the kernel link: one JSON object per line, with bodies in base64."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from typing import Any, NamedTuple, Union

import orjson

from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.protocol.framing import LineSplitter

MAX_LINE = 64 * 1024  # a result of 4 KiB in base64 takes under 6 KiB


class Booted(NamedTuple):
    """The kernel is up: it started ``fresh`` or ``seasoned``, ``duration_ms`` ago."""

    how: str
    duration_ms: float


class Reap(NamedTuple):
    """A run has ended."""

    serial: int
    call: str
    how: str
    duration_ms: float
    blob: bytes


class IoReq(NamedTuple):
    """A run requests a call and waits for its reply."""

    serial: int
    call: str
    blob: bytes


class Info(NamedTuple):
    """The values of the gauges, in the order of the settings."""

    cookie: str
    stats: tuple[float | None, ...]


class Einval(NamedTuple):
    """A command was rejected."""

    how: str
    call: str


class Dmesg(NamedTuple):
    """A log message of the kernel, without effect."""

    serial: int
    how: str


class Unknown(NamedTuple):
    """A notice of an unknown kind."""

    msg: str
    serial: int


Notice = Union[Booted, Reap, IoReq, Info, Einval, Dmesg, Unknown]
RUN_ENDS = ("done", "crashed", "aborted", "stale")


class NoticeDecoder:
    """Decodes the kernel's notices from a stream."""

    def __init__(self) -> None:
        self._lines = LineSplitter(b"\n", MAX_LINE)

    def feed(self, data: bytes) -> list[Notice]:
        """Add bytes and return the complete notices. Raises ProtocolError."""
        return [decode_notice(line) for line in self._lines.feed(data) if line.strip()]


def decode_notice(line: bytes) -> Notice:
    """Decode one line. Raises ProtocolError."""
    try:
        message = orjson.loads(line)
        read: Callable[[dict[str, Any]], Notice] = READERS.get(message["msg"], _unknown)
        return read(message)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise ProtocolError(f"a notice that can not be read: {error}") from None


def _reap(message: dict[str, Any]) -> Reap:
    if message["how"] not in RUN_ENDS:
        raise ValueError(f"unknown end {message['how']!r}")
    return Reap(
        int(message["serial"]),
        str(message["call"]),
        message["how"],
        float(message.get("duration") or 0),
        _blob(message.get("blob")),
    )


def _info(message: dict[str, Any]) -> Info:
    stats = tuple(None if value is None else float(value) for value in message["stats"])
    return Info(str(message.get("cookie")), stats)


def _unknown(message: dict[str, Any]) -> Unknown:
    return Unknown(str(message["msg"])[:40], int(message.get("serial") or 0))


READERS: dict[str, Callable[[dict[str, Any]], Notice]] = {
    "BOOTED": lambda message: Booted(str(message["how"]), float(message.get("duration") or 0)),
    "REAP": _reap,
    "IOREQ": lambda message: IoReq(int(message["serial"]), str(message["call"]), _blob(message.get("blob"))),
    "INFO": _info,
    "EINVAL": lambda message: Einval(str(message.get("how")), str(message.get("call"))),
    "DMESG": lambda message: Dmesg(int(message["serial"]), str(message.get("how"))[:200]),
}


def _blob(text: str | None) -> bytes:
    try:
        return base64.b64decode(text or "", validate=True)
    except binascii.Error as error:
        raise ValueError(f"not base64: {error}") from None


def _line(msg: str, **rest: Any) -> bytes:
    return orjson.dumps({"msg": msg, **rest}) + b"\n"


def encode_open(serial: int) -> bytes:
    """Encode the first message on a link: the serial number of the last notice that was read."""
    return _line("OPEN", serial=serial)


def encode_sched(call: str, service: str, body: bytes, token: tuple[int, int, str] | None = None) -> bytes:
    """Encode the command to run a request; there is a fencing token only if the fleet is enabled."""
    more = {"fence": token} if token is not None else {}
    return _line("SCHED", call=call, service=service, blob=base64.b64encode(body).decode(), **more)


def encode_preempt(call: str) -> bytes:
    """Encode the command to pause a run."""
    return _line("PREEMPT", call=call)


def encode_resched(call: str) -> bytes:
    """Encode the command to resume a paused run."""
    return _line("RESCHED", call=call)


def encode_iodone(call: str, reply: bytes) -> bytes:
    """Encode the reply to the call that a run waits for."""
    return _line("IODONE", call=call, blob=base64.b64encode(reply).decode())


def encode_sysinfo(cookie: str) -> bytes:
    """Encode the request for the gauges."""
    return _line("SYSINFO", cookie=cookie)
