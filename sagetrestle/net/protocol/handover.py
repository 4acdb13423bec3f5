"""The stream between the old and the new process: each line is a JSON array that starts with the message's name."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable, Sequence
from typing import Any

import orjson

from sagetrestle.handover import messages
from sagetrestle.handover.messages import KeyName, Message, KeyRecord
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.protocol.framing import LineSplitter

MAX_LINE = 512 * 1024  # a batch of results in base64, which may exceed its own limit by one result


class MessageDecoder:
    """Decodes the peer's messages from a stream."""

    def __init__(self) -> None:
        self._lines = LineSplitter(b"\n", MAX_LINE)

    def feed(self, data: bytes) -> list[Message]:
        """Add bytes and return the complete messages. Raises ProtocolError."""
        return [decode(line) for line in self._lines.feed(data)]


def encode(message: Message) -> bytes:
    """Encode one message as a line."""
    return orjson.dumps([type(message).__name__, *_plain(message)]) + b"\n"


def decode(line: bytes) -> Message:
    """Decode one line. Raises ProtocolError if it is not a message of this version."""
    try:
        name, *rest = orjson.loads(line)
        return READERS[name](*rest)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError, binascii.Error) as error:
        raise ProtocolError(f"a message that can not be read: {type(error).__name__}") from None


def _plain(value: Any) -> Any:
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    return value


def _blob(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _texts(*texts: str) -> tuple[str, ...]:
    if not all(isinstance(text, str) for text in texts):
        raise ValueError("not text")
    return texts


def _record(values: Sequence[Any]) -> KeyRecord:
    key, digest, id, arrived, until = values
    return KeyRecord(KeyName(*_texts(*key)), _blob(digest), *_texts(id), int(arrived), int(until))


def _result(values: Sequence[Any]) -> tuple[str, bytes | None, int]:
    id, result, until = values
    return _texts(id)[0], None if result is None else _blob(result), int(until)


READERS: dict[str, Callable[..., Message]] = {
    "Hello": lambda version, name, listen: messages.Hello(int(version), *_texts(name, listen)),
    "Welcome": messages.Welcome,
    "Ask": messages.Ask,
    "Serving": messages.Serving,
    "More": messages.More,
    "Busy": lambda why: messages.Busy(*_texts(why)),
    "Records": lambda values: messages.Records(tuple(map(_record, values))),
    "Yours": lambda fronts, doubt: messages.Yours(_texts(*fronts), int(doubt)),
    "Claim": lambda values: messages.Claim(_record(values)),
    "Granted": lambda id: messages.Granted(*_texts(id)),
    "Denied": lambda id, by, digest: messages.Denied(*_texts(id, by), _blob(digest)),
    "Results": lambda values: messages.Results(tuple(map(_result, values))),
    "Load": lambda memory, running, held: messages.Load(float(memory), int(running), int(held)),
}
