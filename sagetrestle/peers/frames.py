"""Frames of a link besides the members' messages: handshake, acknowledgements, observers' queries."""

from __future__ import annotations

import msgspec

VERSION = 2


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The first frame of the dialling side: its id and the member that it means to reach.

    An observer is not a member; it only receives maps and sends queries.
    """

    version: int
    fleet: str
    sender: str
    to: str
    observer: bool = False


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """The reply to ``Hello``: the id of the member that was reached."""

    version: int
    sender: str


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The reply to a ``Hello`` that is not accepted: another fleet, name, version or an outdated start."""

    reason: str


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """All messages up to this number have arrived."""

    number: int


class ObserverQuery(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """An observer's query: ``status``, or ``order`` or ``explain`` with a key."""

    query: str
    key: str = ""


class ObserverReply(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """The reply to an observer's query, as JSON."""

    data: bytes
