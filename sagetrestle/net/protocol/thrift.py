"""Thrift: framed transport, strict binary protocol, and the service ``Front`` on top of it.

The encoder covers only what the front ends use. The decoder covers the whole binary protocol, so that unknown fields
and methods of newer front ends are skipped instead of being treated as malformed.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import Any, NamedTuple

from sagetrestle.net.protocol.errors import Fault, ProtocolError

MAX_BODY = 2 * 1024
MAX_FRAME = 16 * 1024  # a body, ten short fields, and space for fields of newer front ends
MAX_DEPTH = 8
# Ranges of request fields, each excluding its upper end; values outside cannot be meant by a front end.
RANK_RANGE = (0.0, 1.0)
BOOKED_KB_RANGE = (0.0, 2000.0)
HINT_MS_RANGE = (0.0, 1e6)
TIMEOUT_MS_RANGE = (0.0, 1e15)  # as long as it can be written: the core limits it by the class's deadline
CALLER_LIMIT = 2**31  # caller numbers are below
VERSION = 0x80010000


class Kind(IntEnum):
    """Message types."""

    CALL = 1
    REPLY = 2
    EXCEPTION = 3
    ONEWAY = 4


class Type(IntEnum):
    """Wire types of values."""

    STOP = 0
    BOOL = 2
    BYTE = 3
    DOUBLE = 4
    I16 = 6
    I32 = 8
    I64 = 10
    STRING = 11
    STRUCT = 12
    MAP = 13
    SET = 14
    LIST = 15


UNKNOWN_METHOD = 1  # code of an application exception
PROTOCOL_ERROR = 7  # code of an application exception
KIND = struct.Struct(">B")
FIELD = struct.Struct(">h")
SIZE = struct.Struct(">i")
HEAD = struct.Struct(">I")
NUMBERS = {
    int(Type.BYTE): struct.Struct(">b"),
    int(Type.DOUBLE): struct.Struct(">d"),
    int(Type.I16): FIELD,
    int(Type.I32): SIZE,
    int(Type.I64): struct.Struct(">q"),
}
STOP, BOOL, STRING, STRUCT, MAP = (
    int(wire_type) for wire_type in (Type.STOP, Type.BOOL, Type.STRING, Type.STRUCT, Type.MAP)
)  # plain integers are much faster to look up than enum members
CONTAINERS = (STRUCT, MAP, int(Type.SET), int(Type.LIST))


class FrameDecoder:
    """Splits a stream into frames, buffering at most one frame and the bytes received after it."""

    def __init__(self, max_frame: int = MAX_FRAME) -> None:
        self._max_frame = max_frame
        self._buffer = bytearray()

    @property
    def partial(self) -> bool:
        """Return whether there are buffered bytes that were not returned in a frame."""
        return bool(self._buffer)

    @property
    def buffered(self) -> int:
        """Return the number of buffered bytes that were not returned in a frame."""
        return len(self._buffer)

    @property
    def frame_begun(self) -> bool:
        """Return whether the next frame is buffered in part."""
        buffered = len(self._buffer)
        return 0 < buffered < 4 or buffered >= 4 and buffered - 4 < HEAD.unpack_from(self._buffer)[0]

    def push(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def next(self) -> bytes | None:
        """Return the next frame if it is complete, else None. Raises ProtocolError."""
        if len(self._buffer) < 4:
            return None
        (size,) = HEAD.unpack_from(self._buffer)
        if size > self._max_frame:
            raise ProtocolError(f"a frame of {size} bytes", Fault.TOO_LARGE)
        if len(self._buffer) - 4 < size:
            return None
        frame = bytes(self._buffer[4 : 4 + size])
        del self._buffer[: 4 + size]
        return frame

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add bytes and yield the complete frames. Raises ProtocolError."""
        self.push(data)
        while (frame := self.next()) is not None:
            yield frame


class Reader:
    """Decodes the values in one frame; all methods raise ProtocolError for malformed input."""

    def __init__(self, data: bytes) -> None:
        self._data, self._offset = data, 0

    def take(self, size: int) -> bytes:
        """Return the next ``size`` bytes."""
        if size < 0 or self._offset + size > len(self._data):
            raise ProtocolError("a value runs past the end of its frame")
        self._offset += size
        return self._data[self._offset - size : self._offset]

    def number(self, form: struct.Struct) -> Any:
        """Return the next number, in the given format."""
        start = self._offset
        self._offset += form.size
        if self._offset > len(self._data):
            raise ProtocolError("a value runs past the end of its frame")
        return form.unpack_from(self._data, start)[0]

    def string(self) -> bytes:
        """Return the next string or binary value."""
        return self.take(self.number(SIZE))

    def value(self, kind: int, depth: int = 0) -> Any:
        """Return the next value of the given type; structs are dicts by field number, maps are dicts."""
        if depth > MAX_DEPTH:
            raise ProtocolError(f"values nested over {MAX_DEPTH} deep")
        if kind == STRING:
            return self.string()
        if kind in NUMBERS:
            return self.number(NUMBERS[kind])
        if kind == BOOL:
            return self.take(1) != b"\0"
        if kind == STRUCT:
            return self.fields(depth)
        if kind == MAP:
            return self._map(depth)
        if kind in CONTAINERS:
            element_type, count = self.number(KIND), self._count()
            return [self.value(element_type, depth + 1) for _ in range(count)]
        raise ProtocolError(f"unknown type {kind}")

    def fields(self, depth: int = 0) -> dict[int, tuple[int, Any]]:
        """Return the fields of the next struct: (type, value) by field number."""
        values: dict[int, tuple[int, Any]] = {}
        while (kind := self.number(KIND)) != STOP:
            number = self.number(FIELD)
            values[number] = (kind, self.value(kind, depth + 1))
        return values

    def _map(self, depth: int) -> dict[Any, Any]:
        key, value, count = self.number(KIND), self.number(KIND), self._count()
        if key == value == STRING:
            string = self.string
            return {string(): string() for _ in range(count)}
        if key in CONTAINERS:
            raise ProtocolError("a map whose keys are containers")
        return {self.value(key, depth + 1): self.value(value, depth + 1) for _ in range(count)}

    def _count(self) -> int:
        """Return a container's size. As an element takes at least one byte, it is limited by the rest of the frame."""
        count = self.number(SIZE)
        if not 0 <= count <= len(self._data) - self._offset:
            raise ProtocolError(f"a container of {count} elements")
        return count

    def is_at_end(self) -> bool:
        """Return whether all data was read."""
        return self._offset == len(self._data)


class Message(NamedTuple):
    """One message of any method and kind."""

    name: str
    kind: int
    seqid: int
    fields: dict[int, tuple[int, Any]]

    def field(self, number: int, kind: Type) -> Any:
        """Return the value of a field if it is present with the expected type, else None."""
        actual_kind, value = self.fields.get(number, (None, None))
        return value if actual_kind == kind else None


def decode_message(frame: bytes) -> Message:
    """Decode a frame as a message of the strict binary protocol. Raises ProtocolError."""
    reader = Reader(frame)
    head = reader.number(HEAD)
    if head & 0xFFFF0000 != VERSION:
        raise ProtocolError("not a message of the strict binary protocol")
    name = _text(reader.string())
    message = Message(name, head & 0xFF, reader.number(SIZE), reader.fields())
    if not reader.is_at_end():
        raise ProtocolError("bytes after the end of a message")
    return message


def _text(raw: Any) -> str:
    """Return a string as text. Raises ProtocolError."""
    try:
        return raw.decode()
    except (UnicodeDecodeError, AttributeError):
        raise ProtocolError("a string that is not UTF-8") from None


# The service ``Front``


class Handle(NamedTuple):
    """A request with validated fields; its class is not yet looked up in the settings."""

    seqid: int
    class_name: str
    id: str
    stamp_ms: int
    caller: int
    retry: bool
    hint_ms: float
    held_kb: float
    rank: float
    key: str | None
    subject: str | None
    timeout_ms: float | None  # how long the caller waits, counted from the stamp; None if it does not tell
    body: bytes


class BadFields(NamedTuple):
    """A well-formed call of ``handle`` with invalid fields."""

    seqid: int
    detail: str


class Withdraw(NamedTuple):
    """The front end withdraws the request with this number."""

    target: int


class Status(NamedTuple):
    """A health check."""

    seqid: int


class UnknownMethod(NamedTuple):
    """A call of a method that the service does not have."""

    seqid: int
    name: str
    oneway: bool


def read_call(message: Message) -> Handle | BadFields | Withdraw | Status | UnknownMethod:
    """Decode the call of a service method from a message. Raises ProtocolError."""
    if message.kind not in (Kind.CALL, Kind.ONEWAY):
        raise ProtocolError(f"a message of type {message.kind} from a front end")
    if message.name == "handle":
        return _handle(message)
    if message.name == "withdraw":
        target = message.field(1, Type.I32)
        if target is None:
            raise ProtocolError("withdraw without a number")
        return Withdraw(target)
    if message.name == "status":
        return Status(message.seqid)
    return UnknownMethod(message.seqid, message.name[:40], message.kind == Kind.ONEWAY)


def _handle(message: Message) -> Handle | BadFields:
    """Decode a request's fields.

    An invalid field returns BadFields, which is answered; a body over its limit raises ProtocolError.
    """
    body = message.field(2, Type.STRING)
    if body is None:
        return BadFields(message.seqid, "no body")
    if len(body) > MAX_BODY:
        raise ProtocolError(f"a body of {len(body)} bytes", Fault.TOO_LARGE)
    fields = {_text(key): _text(value) for key, value in (message.field(1, Type.MAP) or {}).items()}
    try:
        return Handle(
            message.seqid,
            fields["c"],
            _field_matching(fields, "i", ID_PATTERN),
            _whole_number(fields, "s"),
            _caller(fields),
            _flag(fields, "r"),
            _number(fields, "h", HINT_MS_RANGE) if "h" in fields else 0.0,
            _booked(fields),
            _number(fields, "p", RANK_RANGE),
            _optional_name(fields, "k"),
            _optional_name(fields, "o"),
            _number(fields, "d", TIMEOUT_MS_RANGE) if "d" in fields else None,
            body,
        )
    except KeyError as error:
        return BadFields(message.seqid, f"field {error} is missing")
    except ValueError as error:
        return BadFields(message.seqid, str(error))


ID_PATTERN = re.compile(r"[0-9a-f]{16}")
NAME_PATTERN = re.compile(r"[!-~]{1,128}")
FLAG_PATTERN = re.compile(r"[01]")
WHOLE_PATTERN = re.compile(r"[0-9]{1,18}")
NUMBER_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?([eE][-+]?[0-9]{1,2})?")


def _field_matching(fields: dict[str, str], name: str, pattern: re.Pattern[str]) -> str:
    if not pattern.fullmatch(fields[name]):
        raise ValueError(f"field {name!r} is not of its form")
    return fields[name]


def _optional_name(fields: dict[str, str], name: str) -> str | None:
    """Return a name, or None if it is absent; its length is limited as it is stored for long."""
    return _field_matching(fields, name, NAME_PATTERN) if name in fields else None


def _flag(fields: dict[str, str], name: str) -> bool:
    return name in fields and _field_matching(fields, name, FLAG_PATTERN) == "1"


def _caller(fields: dict[str, str]) -> int:
    caller = _whole_number(fields, "f")
    if caller >= CALLER_LIMIT:
        raise ValueError("field 'f' is out of range")
    return caller


def _booked(fields: dict[str, str]) -> float:
    """Return the booked memory in KB, which must be above 0."""
    booked = _number(fields, "m", BOOKED_KB_RANGE)
    if booked == 0.0:
        raise ValueError("field 'm' is out of range")
    return booked


def _whole_number(fields: dict[str, str], name: str) -> int:
    return int(_field_matching(fields, name, WHOLE_PATTERN))


def _number(fields: dict[str, str], name: str, bounds: tuple[float, float]) -> float:
    """Return a number within its bounds; the pattern excludes 'nan' and 'inf', which ``float`` accepts."""
    value = float(_field_matching(fields, name, NUMBER_PATTERN))
    if not bounds[0] <= value < bounds[1]:
        raise ValueError(f"field {name!r} is out of range")
    return value


# Encoding


def string(value: bytes) -> bytes:
    """Encode a string or binary value."""
    return struct.pack(">i", len(value)) + value


def field(kind: Type, number: int, value: bytes) -> bytes:
    """Encode one field of a struct; ``value`` is already encoded."""
    return struct.pack(">Bh", kind, number) + value


def text_map(pairs: dict[str, str]) -> bytes:
    """Encode a map of strings."""
    head = struct.pack(">BBi", Type.STRING, Type.STRING, len(pairs))
    return head + b"".join(string(key.encode()) + string(value.encode()) for key, value in pairs.items())


def encode_message(name: str, kind: Kind, seqid: int, fields: bytes = b"") -> bytes:
    """Encode a framed message with these already encoded fields."""
    body = struct.pack(">I", VERSION | kind) + string(name.encode()) + struct.pack(">i", seqid)
    body += fields + b"\0"
    return struct.pack(">I", len(body)) + body


def encode_answer(name: str, seqid: int, body: bytes, pairs: dict[str, str], good: bool) -> bytes:
    """Encode the ``Answer`` of ``handle`` or ``status``."""
    inner = field(Type.STRING, 1, string(body)) + field(Type.MAP, 2, text_map(pairs))
    inner += field(Type.BOOL, 3, b"\1" if good else b"\0") + b"\0"
    return encode_message(name, Kind.REPLY, seqid, field(Type.STRUCT, 0, inner))


def _encode_declared_exception(number: int, seqid: int, pairs: dict[str, str]) -> bytes:
    inner = field(Type.MAP, 1, text_map(pairs)) + b"\0"
    return encode_message("handle", Kind.REPLY, seqid, field(Type.STRUCT, number, inner))


def encode_shed(seqid: int, pairs: dict[str, str]) -> bytes:
    """Encode the exception ``Shed`` of ``handle``."""
    return _encode_declared_exception(1, seqid, pairs)


def encode_fault(seqid: int, pairs: dict[str, str]) -> bytes:
    """Encode the exception ``Fault`` of ``handle``."""
    return _encode_declared_exception(2, seqid, pairs)


def encode_exception(name: str, seqid: int, code: int, text: str) -> bytes:
    """Encode an application exception."""
    inner = field(Type.STRING, 1, string(text.encode())) + field(Type.I32, 2, struct.pack(">i", code))
    return encode_message(name, Kind.EXCEPTION, seqid, inner)


def encode_leaving() -> bytes:
    """Encode the oneway message ``leaving``, with an empty struct."""
    return encode_message("leaving", Kind.ONEWAY, 0)
