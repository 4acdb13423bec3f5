"""DNS Push Notifications (RFC 8765) over DNS Stateful Operations (RFC 8490): framing and the messages in use.

dnspython does not support stateful operations, so their messages are decoded here; it decodes the names and record data
in them.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple, Union

import dns.exception
import dns.name
import dns.rdata
import dns.rdataclass
import dns.rdatatype

from sagetrestle.net.protocol.dns_wire import RECORD_TYPES, WireRecord, record_data, name_text
from sagetrestle.net.protocol.errors import Fault, ProtocolError

OPCODE = 6
KEEPALIVE = 0x0001
RETRY_DELAY = 0x0002
SUBSCRIBE = 0x0040
PUSH = 0x0041
UNSUBSCRIBE = 0x0042
REMOVE = 0xFFFFFFFF  # in place of a TTL: remove this record
REMOVE_ALL = 0xFFFFFFFE  # in place of a TTL: remove all records with this name and type
MAX_FRAME = 65_535


class Acknowledged(NamedTuple):
    """The server's response to the message with this id."""

    id: int
    rcode: int


class Changes(NamedTuple):
    """Pushed changes: added records, removed records, and the (name, type) pairs whose records are all removed."""

    added: tuple[WireRecord, ...]
    removed: tuple[WireRecord, ...]
    emptied: tuple[tuple[str, str], ...]


class Subscribe(NamedTuple):
    """A client's subscription to changes of the records with one name and type."""

    id: int
    name: str
    kind: str


class RetryDelay(NamedTuple):
    """The server ends the session and requests a delay before the next one."""

    delay_ms: int


class Other(NamedTuple):
    """A message of a type that is ignored."""

    type: int


Message = Union[Acknowledged, Changes, Subscribe, RetryDelay, Other]


class FrameDecoder:
    """Splits a stream into messages, each preceded by two octets of length (RFC 1035, 4.2.2)."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add bytes and yield the messages that are complete."""
        self._buffer += data
        while len(self._buffer) >= 2:
            size = int.from_bytes(self._buffer[:2], "big")
            if len(self._buffer) < 2 + size:
                return
            message = bytes(self._buffer[2 : 2 + size])
            del self._buffer[: 2 + size]
            yield message


def frame(message: bytes) -> bytes:
    """Return a message preceded by its length."""
    return struct.pack("!H", len(message)) + message


def encode_subscribe(id: int, name: str, kind: str) -> bytes:
    """Encode a subscription (RFC 8765, 6.2.1)."""
    question = dns.name.from_text(name).to_wire() + struct.pack("!HH", dns.rdatatype.from_text(kind), dns.rdataclass.IN)
    return _message(id, False, 0, SUBSCRIBE, question)


def encode_keepalive(id: int, inactivity_ms: int, interval_ms: int) -> bytes:
    """Encode a keep-alive (RFC 8490, 7.1)."""
    return _message(id, False, 0, KEEPALIVE, struct.pack("!II", inactivity_ms, interval_ms))


def encode_acknowledged(id: int, rcode: int) -> bytes:
    """Encode a server's response to a subscription or keep-alive."""
    return struct.pack("!HHHHHH", id, 0x8000 | OPCODE << 11 | rcode, 0, 0, 0, 0)


def encode_changes(added: list[tuple[str, int, dns.rdata.Rdata]], removed: list[tuple[str, dns.rdata.Rdata]]) -> bytes:
    """Encode pushed changes (RFC 8765, 6.3.1): added (name, TTL, data) and removed (name, data)."""
    body = b"".join(_record(name, ttl, data) for name, ttl, data in added)
    body += b"".join(_record(name, REMOVE, data) for name, data in removed)
    return _message(0, False, 0, PUSH, body)


def _record(name: str, ttl: int, data: dns.rdata.Rdata) -> bytes:
    encoded = data.to_wire()
    assert encoded is not None
    head = dns.name.from_text(name).to_wire()
    assert head is not None
    return head + struct.pack("!HHIH", data.rdtype, dns.rdataclass.IN, ttl, len(encoded)) + encoded


def _message(id: int, answer: bool, rcode: int, type: int, data: bytes) -> bytes:
    if len(data) > MAX_FRAME - 16:
        raise ProtocolError("a message over 64 KiB", Fault.TOO_LARGE)
    flags = (0x8000 if answer else 0) | OPCODE << 11 | rcode
    return struct.pack("!HHHHHHHH", id, flags, 0, 0, 0, 0, type, len(data)) + data


def decode(data: bytes) -> Message:
    """Decode one message. Raises ProtocolError."""
    if len(data) < 12:
        raise ProtocolError("no stateful operation: too short")
    id, flags, *counts = struct.unpack("!HHHHHH", data[:12])
    if flags >> 11 & 0xF != OPCODE or any(counts):
        raise ProtocolError("no stateful operation")
    if flags & 0x8000:
        return Acknowledged(id, flags & 0xF)
    if len(data) < 16:
        raise ProtocolError("a request without its operation")
    type, size = struct.unpack("!HH", data[12:16])
    body = data[16 : 16 + size]
    if len(body) != size:
        raise ProtocolError("an operation that is cut off")
    try:
        return _read(id, type, body)
    except (dns.exception.DNSException, struct.error, ValueError, IndexError) as error:
        raise ProtocolError(f"an operation that can not be read: {type_name(error)}") from None


def type_name(error: Exception) -> str:
    """Return the name of an error's type."""
    return error.__class__.__name__


def _read(id: int, type: int, body: bytes) -> Message:
    if type == PUSH:
        return _changes(body)
    if type == SUBSCRIBE:
        name, used = dns.name.from_wire(body, 0)
        kind, _ = struct.unpack("!HH", body[used : used + 4])
        return Subscribe(id, name_text(name), dns.rdatatype.to_text(kind))
    if type == RETRY_DELAY:
        return RetryDelay(struct.unpack("!I", body[:4])[0])
    return Other(type)


def _changes(body: bytes) -> Changes:
    added, removed, emptied, offset = [], [], [], 0
    while offset < len(body):
        name, used = dns.name.from_wire(body, offset)
        offset += used
        kind, rdclass, ttl, size = struct.unpack("!HHIH", body[offset : offset + 10])
        offset += 10
        if offset + size > len(body):
            raise ValueError("a record that is cut off")
        record_type = dns.rdatatype.to_text(kind)
        if ttl == REMOVE_ALL:
            emptied.append((name_text(name), record_type))
        elif record_type in RECORD_TYPES:
            data = dns.rdata.from_wire(rdclass, kind, body, offset, size)
            record = WireRecord(
                name_text(name), record_type, record_data(record_type, data), 0 if ttl == REMOVE else ttl
            )
            (removed if ttl == REMOVE else added).append(record)
        offset += size
    return Changes(tuple(added), tuple(removed), tuple(emptied))
