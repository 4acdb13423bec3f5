"""The stream between two processes of one scorer: one JSON array a line, its first word names the message."""

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

MAX_LINE = 512 * 1024  # a batch of results in base64, with room for one result over its bound


class MessageDecoder:
    """Read the other side's messages from a stream."""

    def __init__(self) -> None:
        self._lines = LineSplitter(b"\n", MAX_LINE)

    def feed(self, data: bytes) -> list[Message]:
        """Take more bytes and return the messages now complete. Raises ProtocolError."""
        return [decode(line) for line in self._lines.feed(data)]


def encode(message: Message) -> bytes:
    """Write one message as a line."""
    return orjson.dumps([type(message).__name__, *_plain(message)]) + b"\n"


def decode(line: bytes) -> Message:
    """Read one line. Raises ProtocolError where it is no message of this version."""
    try:
        word, *rest = orjson.loads(line)
        return READERS[word](*rest)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError, binascii.Error) as error:
        raise ProtocolError(f"a message that can not be read: {type(error).__name__}") from None


def _plain(value: Any) -> Any:
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    if isinstance(value, tuple):
        return [_plain(one) for one in value]
    return value


def _blob(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _words(*words: str) -> tuple[str, ...]:
    if not all(isinstance(word, str) for word in words):
        raise ValueError("not text")
    return words


def _record(told: Sequence[Any]) -> KeyRecord:
    key, digest, id, arrived, until = told
    return KeyRecord(KeyName(*_words(*key)), _blob(digest), *_words(id), int(arrived), int(until))


def _result(told: Sequence[Any]) -> tuple[str, bytes | None, int]:
    id, result, until = told
    return _words(id)[0], None if result is None else _blob(result), int(until)


READERS: dict[str, Callable[..., Message]] = {
    "Hello": lambda version, name, listen: messages.Hello(int(version), *_words(name, listen)),
    "Welcome": messages.Welcome,
    "Ask": messages.Ask,
    "Serving": messages.Serving,
    "More": messages.More,
    "Busy": lambda why: messages.Busy(*_words(why)),
    "Records": lambda told: messages.Records(tuple(map(_record, told))),
    "Yours": lambda fronts, doubt: messages.Yours(_words(*fronts), int(doubt)),
    "Claim": lambda told: messages.Claim(_record(told)),
    "Granted": lambda id: messages.Granted(*_words(id)),
    "Denied": lambda id, by, digest: messages.Denied(*_words(id, by), _blob(digest)),
    "Results": lambda told: messages.Results(tuple(map(_result, told))),
    "Load": lambda memory, running, held: messages.Load(float(memory), int(running), int(held)),
}
