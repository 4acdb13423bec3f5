"""One member's links to all others.

Each member dials each other one and speaks on that connection; the far side only acknowledges there. A connection is
between two starts of processes, named in the greeting: what comes from an earlier start than the newest that greeted
is not heard. Messages are numbered, so one that the network repeats counts once; one that is lost is lost: whoever
needs it said again says it again. At most ``MAX_UNACKED_BYTES`` bytes are unacknowledged; new ones are
dropped past that.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from sagetrestle.membership.detector import PhiAccrualDetector
from sagetrestle.ownership.values import name_of
from sagetrestle.peers.frames import VERSION, Ack, Hello, ObserverQuery, ObserverReply, Refused, Welcome

MAX_UNACKED_BYTES = 1 << 20
MIN_REDIAL_DELAY_US, MAX_REDIAL_DELAY_US = 50_000, 1_000_000  # between two dials
HANDSHAKE_TIMEOUT_US = 1_000_000  # for a welcome
ACK_TIMEOUT_US = 2_000_000  # for an acknowledgement, after which the link is set up anew
MAX_OBSERVERS = 64
ACK_AFTER_MESSAGES, ACK_DELAY_US = (
    64,
    250_000,
)  # messages, and how long one may wait: a frame each would double their number


class NumberedMessage(NamedTuple):
    """A message with its number."""

    number: int
    message: Any


class LinkState(Enum):
    """How far a link to a member is."""

    DOWN = "down"
    DIALLING = "dialling"
    HANDSHAKE = "greeting"
    UP = "up"


@dataclass(slots=True)
class OutboundLink:
    """The link on which one speaks."""

    state: LinkState = LinkState.DOWN
    connection: int = 0
    peer_id: str = ""
    due_us: int = 0
    redial_delay_us: int = MIN_REDIAL_DELAY_US
    last_sent: int = 0
    unacked: deque[tuple[int, int, int]] = field(default_factory=deque)  # number, bytes, when
    unacked_bytes: int = 0
    dropped: int = 0
    sent: int = 0


@dataclass(slots=True)
class InboundLink:
    """A link on which another speaks, or an observer's."""

    peer_id: str
    observer: bool
    last_received: int = 0
    last_acked: int = 0
    last_ack_us: int = 0


class DialFinished(NamedTuple):
    """A connection to a member stands; None: it could not be had."""

    name: str
    connection: int | None


class FramesReceived(NamedTuple):
    """Frames came on a connection."""

    connection: int
    frames: tuple[Any, ...]


class ConnectionLost(NamedTuple):
    """A connection ended."""

    connection: int


class Dial(NamedTuple):
    """Connect to a member."""

    name: str


class WriteFrame(NamedTuple):
    """Write a frame."""

    connection: int
    frame: Any


class Close(NamedTuple):
    """End a connection."""

    connection: int


class MessageReceived(NamedTuple):
    """A member said something."""

    sender: str
    message: Any


class ObserverRequest(NamedTuple):
    """An observer asked something, or has just come (None)."""

    connection: int
    ask: ObserverQuery | None


class LogLine(NamedTuple):
    """A line for the log."""

    text: str


Event = DialFinished | FramesReceived | ConnectionLost
Decision = Dial | WriteFrame | Close | MessageReceived | ObserverRequest | LogLine


class Links:
    """All links; ``own_id`` is this member's id, ``names`` are the others'."""

    def __init__(
        self, fleet: str, own_id: str, names: tuple[str, ...], seed: int, now: int, observer: bool = False
    ) -> None:
        self._fleet, self.own_id, self._observer = fleet, own_id, observer
        self._rng = random.Random(seed)
        self.outbound = {name: OutboundLink() for name in names if name != name_of(own_id)}
        self.inbound: dict[int, InboundLink] = {}
        self.latest_boot: dict[str, int] = {}  # the start that greeted last, by name
        self.detectors = {name: PhiAccrualDetector(now, 500_000) for name in self.outbound}
        self._by_connection: dict[int, str] = {}

    def step(self, now: int, event: Event) -> list[Decision]:
        """Take what came from the network."""
        match event:
            case DialFinished(name, connection):
                return self._on_dial_finished(now, name, connection)
            case FramesReceived(connection, frames):
                return self._on_frames(now, connection, frames)
            case ConnectionLost(connection):
                return self._on_connection_lost(now, connection)

    def send(self, now: int, to: str, message: Any, size: int) -> list[Decision]:
        """Say something to a member, by its name or by its id; one that is not there does not hear it."""
        out = self.outbound.get(name_of(to) or to)
        if out is None or out.state is not LinkState.UP or "@" in to and out.peer_id != to:
            return []
        if out.unacked_bytes + size > MAX_UNACKED_BYTES:
            out.dropped += 1
            return []
        out.last_sent += 1
        out.sent += 1
        out.unacked_bytes += size
        out.unacked.append((out.last_sent, size, now))
        return [WriteFrame(out.connection, NumberedMessage(out.last_sent, message))]

    def send_to_observer(self, connection: int, frame: Any) -> list[Decision]:
        """Say something to an observer."""
        return [WriteFrame(connection, frame)] if connection in self.inbound else []

    def observer_connections(self) -> list[int]:
        """Return the connections of observers."""
        return [number for number, one in self.inbound.items() if one.observer]

    def connected_id(self, name: str) -> str:
        """Return the id of the member that is reached under a name, or nothing."""
        out = self.outbound.get(name)
        return out.peer_id if out is not None and out.state is LinkState.UP else ""

    def tick(self, now: int) -> list[Decision]:
        """Dial what is due; set up anew what stalls; acknowledge what came."""
        decisions: list[Decision] = []
        for connection, one in self.inbound.items():
            if one.last_received > one.last_acked and now - one.last_ack_us >= ACK_DELAY_US:
                decisions += self._acknowledge(now, connection, one)
        for name, out in self.outbound.items():
            if out.state is LinkState.DOWN and now >= out.due_us:
                out.state, out.due_us = LinkState.DIALLING, now + HANDSHAKE_TIMEOUT_US
                decisions.append(Dial(name))
            elif (
                out.state is LinkState.HANDSHAKE
                and now >= out.due_us
                or (out.state is LinkState.UP and out.unacked and now - out.unacked[0][2] >= ACK_TIMEOUT_US)
            ):
                decisions += [Close(out.connection), *self._mark_down(now, name)]
        return decisions

    # Inside

    def _on_dial_finished(self, now: int, name: str, connection: int | None) -> list[Decision]:
        out = self.outbound[name]
        if connection is None:
            if out.state is LinkState.DIALLING:
                self.detectors[name].record_refusal()
                self._mark_down(now, name)
            return []
        if out.state is not LinkState.DIALLING:
            return [Close(connection)]
        out.state, out.connection, out.due_us = LinkState.HANDSHAKE, connection, now + HANDSHAKE_TIMEOUT_US
        self._by_connection[connection] = name
        return [WriteFrame(connection, Hello(VERSION, self._fleet, self.own_id, name, self._observer))]

    def _mark_down(self, now: int, name: str) -> list[Decision]:
        out = self.outbound[name]
        self._by_connection.pop(out.connection, None)
        out.state, out.peer_id, out.connection = LinkState.DOWN, "", 0
        out.unacked.clear()
        out.unacked_bytes = 0
        out.due_us = now + int(out.redial_delay_us * self._rng.uniform(0.5, 1.5))
        out.redial_delay_us = min(MAX_REDIAL_DELAY_US, out.redial_delay_us * 2)
        return []

    def _on_connection_lost(self, now: int, connection: int) -> list[Decision]:
        self.inbound.pop(connection, None)
        name = self._by_connection.get(connection)
        return self._mark_down(now, name) if name is not None else []

    def _on_frames(self, now: int, connection: int, frames: tuple[Any, ...]) -> list[Decision]:
        decisions: list[Decision] = []
        for frame in frames:
            match frame:
                case Hello():
                    decisions += self._on_hello(now, connection, frame)
                case Welcome() | Refused():
                    decisions += self._on_greeting_reply(now, connection, frame)
                case Ack(number):
                    self._on_ack(now, connection, number)
                case NumberedMessage(number, message):
                    decisions += self._on_message(now, connection, number, message)
                case ObserverQuery():
                    if connection in self.inbound:
                        decisions.append(ObserverRequest(connection, frame))
                case ObserverReply():
                    decisions.append(MessageReceived(self._by_connection.get(connection, ""), frame))
        return decisions

    def _acknowledge(self, now: int, connection: int, one: InboundLink) -> list[Decision]:
        one.last_acked, one.last_ack_us = one.last_received, now
        return [WriteFrame(connection, Ack(one.last_received))]

    def _on_hello(self, now: int, connection: int, hello: Hello) -> list[Decision]:
        name = name_of(hello.sender)
        why = ""
        if (hello.version, hello.fleet, hello.to) != (VERSION, self._fleet, name_of(self.own_id)):
            why = (
                f"version {hello.version} of fleet {hello.fleet!r} for {hello.to!r}; this is version {VERSION} of "
                f"{self._fleet!r}, {name_of(self.own_id)!r}"
            )
        elif not hello.observer and (
            name not in self.outbound or _boot_of(hello.sender) < self.latest_boot.get(name, 0)
        ):
            why = f"{hello.sender!r} is no member, or one of an earlier start"
        elif hello.observer and len(self.observer_connections()) >= MAX_OBSERVERS:
            why = "too many observers"
        if why:
            return [
                WriteFrame(connection, Refused(why)),
                Close(connection),
                LogLine(f"fleet: a link was refused: {why}"),
            ]
        before = []
        if not hello.observer:
            before = [
                number for number, one in self.inbound.items() if name_of(one.peer_id) == name and not one.observer
            ]
            self.latest_boot[name] = _boot_of(hello.sender)
            out = self.outbound[name]
            if out.state is LinkState.DOWN:
                out.due_us, out.redial_delay_us = now, MIN_REDIAL_DELAY_US  # it is there: dial it too
        self.inbound[connection] = InboundLink(hello.sender, hello.observer)
        for number in before:
            self.inbound.pop(number, None)
        return [
            *(Close(number) for number in before),
            WriteFrame(connection, Welcome(VERSION, self.own_id)),
            *([ObserverRequest(connection, None)] if hello.observer else []),
        ]

    def _on_greeting_reply(self, now: int, connection: int, frame: Welcome | Refused) -> list[Decision]:
        name = self._by_connection.get(connection)
        if name is None or self.outbound[name].state is not LinkState.HANDSHAKE:
            return []
        out = self.outbound[name]
        if isinstance(frame, Refused) or name_of(frame.sender) != name or frame.version != VERSION:
            why = frame.reason if isinstance(frame, Refused) else f"it is {frame.sender} of version {frame.version}"
            return [Close(connection), LogLine(f"fleet: no link to {name}: {why}"), *self._mark_down(now, name)]
        out.state, out.peer_id, out.redial_delay_us, out.last_sent = LinkState.UP, frame.sender, MIN_REDIAL_DELAY_US, 0
        self.detectors[name].record_answer(now)
        return []

    def _on_ack(self, now: int, connection: int, number: int) -> None:
        name = self._by_connection.get(connection)
        if name is None:
            return
        out = self.outbound[name]
        while out.unacked and out.unacked[0][0] <= number:
            out.unacked_bytes -= out.unacked.popleft()[1]
        self.detectors[name].record_answer(now)

    def _on_message(self, now: int, connection: int, number: int, message: Any) -> list[Decision]:
        """Take a message of a member that greeted, once."""
        one = self.inbound.get(connection)
        if one is None or one.observer:
            name = self._by_connection.get(connection)  # an observer's own link: a member tells it something
            return (
                [MessageReceived(self.outbound[name].peer_id, message)] if name is not None and self._observer else []
            )
        if number <= one.last_received:  # the network repeated it
            return []
        one.last_received = number
        self.detectors[name_of(one.peer_id)].record_answer(now)
        acks = self._acknowledge(now, connection, one) if number - one.last_acked >= ACK_AFTER_MESSAGES else []
        return [*acks, MessageReceived(one.peer_id, message)]


def _boot_of(id: str) -> int:
    text = id.rpartition("@")[2]
    return int(text) if text.isdecimal() else 0
