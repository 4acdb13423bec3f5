"""The links of one member to all others.

Each member dials every other one and sends its messages on that connection; the far side only acknowledges there. A
connection is between two starts of processes, whose ids are exchanged in the handshake: messages from a start older
than the newest one seen are ignored. Messages are numbered, so that a duplicate is delivered once. A lost message is
not sent again by the link; protocols above it retry. At most ``MAX_UNACKED_BYTES`` bytes are unacknowledged on a link;
beyond that new messages are dropped.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from sagetrestle.membership.detector import PhiAccrualDetector
from sagetrestle.ownership.values import member_name
from sagetrestle.peers.frames import VERSION, Ack, Hello, ObserverQuery, ObserverReply, Refused, Welcome

MAX_UNACKED_BYTES = 1 << 20
MIN_REDIAL_DELAY_US = 50_000
MAX_REDIAL_DELAY_US = 1_000_000
HANDSHAKE_TIMEOUT_US = 1_000_000
ACK_TIMEOUT_US = 2_000_000  # without an acknowledgement the link is closed and dialled again
MAX_OBSERVERS = 64
# Acknowledging each message by a frame of its own would double the number of frames.
ACK_AFTER_MESSAGES = 64
ACK_DELAY_US = 250_000


class NumberedMessage(NamedTuple):
    """A member's message with its sequence number on the link."""

    number: int
    message: Any


class LinkState(Enum):
    """The state of an outbound link."""

    DOWN = "down"
    DIALLING = "dialling"
    HANDSHAKE = "greeting"
    UP = "up"


@dataclass(slots=True)
class OutboundLink:
    """The link on which this member sends to a peer."""

    state: LinkState = LinkState.DOWN
    connection: int = 0
    peer_id: str = ""
    due_us: int = 0
    redial_delay_us: int = MIN_REDIAL_DELAY_US
    last_sent: int = 0
    unacked: deque[tuple[int, int, int]] = field(default_factory=deque)  # number, bytes, send time
    unacked_bytes: int = 0
    dropped: int = 0
    sent: int = 0


@dataclass(slots=True)
class InboundLink:
    """A link on which a peer or an observer sends to this member."""

    peer_id: str
    observer: bool
    last_received: int = 0
    last_acked: int = 0
    last_ack_us: int = 0


class DialFinished(NamedTuple):
    """A dial has ended; ``connection`` is None where the member could not be reached."""

    name: str
    connection: int | None


class FramesReceived(NamedTuple):
    """Frames have arrived on a connection."""

    connection: int
    frames: tuple[Any, ...]


class ConnectionLost(NamedTuple):
    """A connection has ended."""

    connection: int


class Dial(NamedTuple):
    """Open a connection to a member."""

    name: str


class WriteFrame(NamedTuple):
    """Write a frame to a connection."""

    connection: int
    frame: Any


class Close(NamedTuple):
    """Close a connection."""

    connection: int


class MessageReceived(NamedTuple):
    """A member's message has arrived."""

    sender: str
    message: Any


class ObserverRequest(NamedTuple):
    """An observer's query has arrived; ``query`` is None where the observer has just connected."""

    connection: int
    query: ObserverQuery | None


class LogLine(NamedTuple):
    """Log a line."""

    text: str


Event = DialFinished | FramesReceived | ConnectionLost
Decision = Dial | WriteFrame | Close | MessageReceived | ObserverRequest | LogLine


class Links:
    """All links of a member; ``own_id`` is its id, ``names`` are the members' names."""

    def __init__(
        self, fleet: str, own_id: str, names: tuple[str, ...], seed: int, now: int, observer: bool = False
    ) -> None:
        self._fleet, self.own_id, self._observer = fleet, own_id, observer
        self._rng = random.Random(seed)
        self.outbound = {name: OutboundLink() for name in names if name != member_name(own_id)}
        self.inbound: dict[int, InboundLink] = {}
        self.latest_boot: dict[str, int] = {}  # name: boot of the newest start that greeted
        self.detectors = {name: PhiAccrualDetector(now, 500_000) for name in self.outbound}
        self._by_connection: dict[int, str] = {}

    def step(self, now: int, event: Event) -> list[Decision]:
        """Process an event from the network."""
        match event:
            case DialFinished(name, connection):
                return self._on_dial_finished(now, name, connection)
            case FramesReceived(connection, frames):
                return self._on_frames(now, connection, frames)
            case ConnectionLost(connection):
                return self._on_connection_lost(now, connection)

    def send(self, now: int, to: str, message: Any, size: int) -> list[Decision]:
        """Send a message to a member by name or id; it is dropped where the link is down or its buffer is full."""
        link = self.outbound.get(member_name(to) or to)
        if link is None or link.state is not LinkState.UP or "@" in to and link.peer_id != to:
            return []
        if link.unacked_bytes + size > MAX_UNACKED_BYTES:
            link.dropped += 1
            return []
        link.last_sent += 1
        link.sent += 1
        link.unacked_bytes += size
        link.unacked.append((link.last_sent, size, now))
        return [WriteFrame(link.connection, NumberedMessage(link.last_sent, message))]

    def send_to_observer(self, connection: int, frame: Any) -> list[Decision]:
        """Write a frame to an observer that is still connected."""
        return [WriteFrame(connection, frame)] if connection in self.inbound else []

    def observer_connections(self) -> list[int]:
        """Return the connections of all observers."""
        return [connection for connection, link in self.inbound.items() if link.observer]

    def connected_id(self, name: str) -> str:
        """Return the id of the member that is connected under a name; empty where none is."""
        link = self.outbound.get(name)
        return link.peer_id if link is not None and link.state is LinkState.UP else ""

    def tick(self, now: int) -> list[Decision]:
        """Send acknowledgements that are due, dial, and close links that time out."""
        decisions: list[Decision] = []
        for connection, inbound in self.inbound.items():
            if inbound.last_received > inbound.last_acked and now - inbound.last_ack_us >= ACK_DELAY_US:
                decisions += self._acknowledge(now, connection, inbound)
        for name, link in self.outbound.items():
            if link.state is LinkState.DOWN and now >= link.due_us:
                link.state, link.due_us = LinkState.DIALLING, now + HANDSHAKE_TIMEOUT_US
                decisions.append(Dial(name))
            elif (
                link.state is LinkState.HANDSHAKE
                and now >= link.due_us
                or (link.state is LinkState.UP and link.unacked and now - link.unacked[0][2] >= ACK_TIMEOUT_US)
            ):
                decisions += [Close(link.connection), *self._mark_down(now, name)]
        return decisions

    # Internals

    def _on_dial_finished(self, now: int, name: str, connection: int | None) -> list[Decision]:
        link = self.outbound[name]
        if connection is None:
            if link.state is LinkState.DIALLING:
                self.detectors[name].record_refusal()
                self._mark_down(now, name)
            return []
        if link.state is not LinkState.DIALLING:
            return [Close(connection)]
        link.state, link.connection, link.due_us = LinkState.HANDSHAKE, connection, now + HANDSHAKE_TIMEOUT_US
        self._by_connection[connection] = name
        return [WriteFrame(connection, Hello(VERSION, self._fleet, self.own_id, name, self._observer))]

    def _mark_down(self, now: int, name: str) -> list[Decision]:
        link = self.outbound[name]
        self._by_connection.pop(link.connection, None)
        link.state, link.peer_id, link.connection = LinkState.DOWN, "", 0
        link.unacked.clear()
        link.unacked_bytes = 0
        link.due_us = now + int(link.redial_delay_us * self._rng.uniform(0.5, 1.5))
        link.redial_delay_us = min(MAX_REDIAL_DELAY_US, link.redial_delay_us * 2)
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

    def _acknowledge(self, now: int, connection: int, link: InboundLink) -> list[Decision]:
        link.last_acked, link.last_ack_us = link.last_received, now
        return [WriteFrame(connection, Ack(link.last_received))]

    def _on_hello(self, now: int, connection: int, hello: Hello) -> list[Decision]:
        name = member_name(hello.sender)
        reason = ""
        if (hello.version, hello.fleet, hello.to) != (VERSION, self._fleet, member_name(self.own_id)):
            reason = (
                f"version {hello.version} of fleet {hello.fleet!r} for {hello.to!r}; this is version {VERSION} of "
                f"{self._fleet!r}, {member_name(self.own_id)!r}"
            )
        elif not hello.observer and (
            name not in self.outbound or _boot_of(hello.sender) < self.latest_boot.get(name, 0)
        ):
            reason = f"{hello.sender!r} is no member, or one of an earlier start"
        elif hello.observer and len(self.observer_connections()) >= MAX_OBSERVERS:
            reason = "too many observers"
        if reason:
            return [
                WriteFrame(connection, Refused(reason)),
                Close(connection),
                LogLine(f"fleet: refused an inbound link: {reason}"),
            ]
        replaced = []
        if not hello.observer:
            replaced = [
                old_connection
                for old_connection, inbound in self.inbound.items()
                if member_name(inbound.peer_id) == name and not inbound.observer
            ]
            self.latest_boot[name] = _boot_of(hello.sender)
            link = self.outbound[name]
            if link.state is LinkState.DOWN:
                link.due_us, link.redial_delay_us = now, MIN_REDIAL_DELAY_US  # the peer is up: dial it at once
        self.inbound[connection] = InboundLink(hello.sender, hello.observer)
        for old_connection in replaced:
            self.inbound.pop(old_connection, None)
        return [
            *(Close(old_connection) for old_connection in replaced),
            WriteFrame(connection, Welcome(VERSION, self.own_id)),
            *([ObserverRequest(connection, None)] if hello.observer else []),
        ]

    def _on_greeting_reply(self, now: int, connection: int, frame: Welcome | Refused) -> list[Decision]:
        name = self._by_connection.get(connection)
        if name is None or self.outbound[name].state is not LinkState.HANDSHAKE:
            return []
        link = self.outbound[name]
        if isinstance(frame, Refused) or member_name(frame.sender) != name or frame.version != VERSION:
            reason = (
                frame.reason
                if isinstance(frame, Refused)
                else f"reached {frame.sender} of version {frame.version} instead"
            )
            return [Close(connection), LogLine(f"fleet: no link to {name}: {reason}"), *self._mark_down(now, name)]
        link.state, link.peer_id, link.redial_delay_us, link.last_sent = (
            LinkState.UP,
            frame.sender,
            MIN_REDIAL_DELAY_US,
            0,
        )
        self.detectors[name].record_answer(now)
        return []

    def _on_ack(self, now: int, connection: int, number: int) -> None:
        name = self._by_connection.get(connection)
        if name is None:
            return
        link = self.outbound[name]
        while link.unacked and link.unacked[0][0] <= number:
            link.unacked_bytes -= link.unacked.popleft()[1]
        self.detectors[name].record_answer(now)

    def _on_message(self, now: int, connection: int, number: int, message: Any) -> list[Decision]:
        """Deliver a message of a member that has greeted, unless it is a duplicate."""
        link = self.inbound.get(connection)
        if link is None or link.observer:
            name = self._by_connection.get(connection)  # an observer: members send on the link that it dialled
            return (
                [MessageReceived(self.outbound[name].peer_id, message)] if name is not None and self._observer else []
            )
        if number <= link.last_received:  # a duplicate
            return []
        link.last_received = number
        self.detectors[member_name(link.peer_id)].record_answer(now)
        acks = self._acknowledge(now, connection, link) if number - link.last_acked >= ACK_AFTER_MESSAGES else []
        return [*acks, MessageReceived(link.peer_id, message)]


def _boot_of(id: str) -> int:
    text = id.rpartition("@")[2]
    return int(text) if text.isdecimal() else 0
