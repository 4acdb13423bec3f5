"""What goes over a link besides what members say: greetings and acknowledgements."""

from __future__ import annotations

import msgspec

VERSION = 2


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Who dials, and whom it means to reach; an observer only listens and asks."""

    version: int
    fleet: str
    sender: str
    to: str
    observer: bool = False


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """Who was reached."""

    version: int
    sender: str


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The link can not be: another fleet, name or version."""

    reason: str


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """All up to this number came."""

    number: int


class ObserverQuery(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """An observer asks: ``status``, or ``explain`` with a key."""

    query: str
    key: str = ""


class ObserverReply(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """The answer, as JSON."""

    data: bytes
