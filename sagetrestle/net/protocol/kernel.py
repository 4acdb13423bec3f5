"""The kernel's link: JSON objects, one a line, bodies in base64."""

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
    """The kernel is up: ``fresh`` or ``seasoned`` at its start, which was so long ago."""

    how: str
    duration_ms: float


class Reap(NamedTuple):
    """A run is over."""

    serial: int
    call: str
    how: str
    duration_ms: float
    blob: bytes


class IoReq(NamedTuple):
    """A run waits for a call."""

    serial: int
    call: str
    blob: bytes


class Info(NamedTuple):
    """The gauges, in the order of the settings."""

    cookie: str
    stats: tuple[float | None, ...]


class Einval(NamedTuple):
    """A command was not carried out."""

    how: str
    call: str


class Dmesg(NamedTuple):
    """A remark with no meaning."""

    serial: int
    how: str


class Unknown(NamedTuple):
    """A notice of a kind that this program does not know."""

    msg: str
    serial: int


Notice = Union[Booted, Reap, IoReq, Info, Einval, Dmesg, Unknown]
RUN_ENDS = ("done", "crashed", "aborted", "stale")


class NoticeDecoder:
    """Read the kernel's notices from a stream."""

    def __init__(self) -> None:
        self._lines = LineSplitter(b"\n", MAX_LINE)

    def feed(self, data: bytes) -> list[Notice]:
        """Take more bytes and return the notices now complete."""
        return [decode_notice(line) for line in self._lines.feed(data) if line.strip()]


def decode_notice(line: bytes) -> Notice:
    """Read one line."""
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
    """Write the first message on a link."""
    return _line("OPEN", serial=serial)


def encode_sched(call: str, service: str, body: bytes, token: tuple[int, int, str] | None = None) -> bytes:
    """Write the command to run a request; its fencing token only where the fleet is on."""
    more = {"fence": token} if token is not None else {}
    return _line("SCHED", call=call, service=service, blob=base64.b64encode(body).decode(), **more)


def encode_preempt(call: str) -> bytes:
    """Write the command to stop a run."""
    return _line("PREEMPT", call=call)


def encode_resched(call: str) -> bytes:
    """Write the command to go on with a paused run."""
    return _line("RESCHED", call=call)


def encode_iodone(call: str, reply: bytes) -> bytes:
    """Write the reply to the call that a run waits for."""
    return _line("IODONE", call=call, blob=base64.b64encode(reply).decode())


def encode_sysinfo(cookie: str) -> bytes:
    """Write the question for the gauges."""
    return _line("SYSINFO", cookie=cookie)
