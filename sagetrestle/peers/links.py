"""One member's links to all others.

Each member dials each other one and speaks on that connection; the far side only acknowledges there. A connection is
between two starts of processes, named in the greeting: what comes from an earlier start than the newest that greeted
is not heard. Messages are numbered, so one that the network repeats counts once; one that is lost is lost: whoever
needs it said again says it again. At most ``MOST_OUT`` bytes are unacknowledged; past that new ones are dropped.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from sagetrestle.membership.detector import Detector
from sagetrestle.ownership.values import member_name
from sagetrestle.peers.frames import VERSION, Ack, Answer, Ask, Hello, Refused, Welcome

MOST_OUT = 1 << 20
LEAST_WAIT_US, MOST_WAIT_US = 50_000, 1_000_000  # between two dials
GREET_US = 1_000_000  # for a welcome
STALLED_US = 2_000_000  # for an acknowledgement, after which the link is set up anew
MOST_OBSERVERS = 64
ACK_AFTER, ACK_WITHIN_US = 64, 250_000  # messages, and how long one may wait: a frame each would double their number


class Carry(NamedTuple):
    """A message with its number."""

    number: int
    message: Any


class Stage(Enum):
    """How far a link to a member is."""

    DOWN = "down"
    DIALLING = "dialling"
    GREETING = "greeting"
    UP = "up"


@dataclass(slots=True)
class Out:
    """The link on which one speaks."""

    stage: Stage = Stage.DOWN
    connection: int = 0
    peer: str = ""
    due_us: int = 0
    wait_us: int = LEAST_WAIT_US
    number: int = 0
    under_way: deque[tuple[int, int, int]] = field(default_factory=deque)  # number, bytes, when
    bytes_out: int = 0
    dropped: int = 0
    sent: int = 0


@dataclass(slots=True)
class In:
    """A link on which another speaks, or an observer's."""

    peer: str
    observer: bool
    number: int = 0
    acked: int = 0
    ack_us: int = 0


class Dialled(NamedTuple):
    """A connection to a member stands; None: it could not be had."""

    name: str
    connection: int | None


class Came(NamedTuple):
    """Frames came on a connection."""

    connection: int
    frames: tuple[Any, ...]


class Lost(NamedTuple):
    """A connection ended."""

    connection: int


class Dial(NamedTuple):
    """Connect to a member."""

    name: str


class Write(NamedTuple):
    """Write a frame."""

    connection: int
    frame: Any


class Close(NamedTuple):
    """End a connection."""

    connection: int


class Heard(NamedTuple):
    """A member said something."""

    sender: str
    message: Any


class Asked(NamedTuple):
    """An observer asked something, or has just come (None)."""

    connection: int
    ask: Ask | None


class Note(NamedTuple):
    """A line for the log."""

    text: str


Event = Dialled | Came | Lost
Decision = Dial | Write | Close | Heard | Asked | Note


class Links:
    """All links; ``me`` is this member's id, ``names`` are the others'."""

    def __init__(
        self, fleet: str, me: str, names: tuple[str, ...], seed: int, now: int, observer: bool = False
    ) -> None:
        self._fleet, self.me, self._observer = fleet, me, observer
        self._rng = random.Random(seed)
        self.out = {name: Out() for name in names if name != member_name(me)}
        self.ins: dict[int, In] = {}
        self.newest: dict[str, int] = {}  # the start that greeted last, by name
        self.detectors = {name: Detector(now, 500_000) for name in self.out}
        self._by_connection: dict[int, str] = {}

    def step(self, now: int, event: Event) -> list[Decision]:
        """Take what came from the network."""
        match event:
            case Dialled(name, connection):
                return self._dialled(now, name, connection)
            case Came(connection, frames):
                return self._came(now, connection, frames)
            case Lost(connection):
                return self._lost(now, connection)

    def say(self, now: int, to: str, message: Any, size: int) -> list[Decision]:
        """Say something to a member, by its name or by its id; one that is not there does not hear it."""
        out = self.out.get(member_name(to) or to)
        if out is None or out.stage is not Stage.UP or "@" in to and out.peer != to:
            return []
        if out.bytes_out + size > MOST_OUT:
            out.dropped += 1
            return []
        out.number += 1
        out.sent += 1
        out.bytes_out += size
        out.under_way.append((out.number, size, now))
        return [Write(out.connection, Carry(out.number, message))]

    def reply(self, connection: int, frame: Any) -> list[Decision]:
        """Say something to an observer."""
        return [Write(connection, frame)] if connection in self.ins else []

    def observers(self) -> list[int]:
        """Return the connections of observers."""
        return [number for number, one in self.ins.items() if one.observer]

    def up(self, name: str) -> str:
        """Return the id of the member that is reached under a name, or nothing."""
        out = self.out.get(name)
        return out.peer if out is not None and out.stage is Stage.UP else ""

    def passed(self, now: int) -> list[Decision]:
        """Dial what is due; set up anew what stalls; acknowledge what came."""
        decisions: list[Decision] = []
        for connection, one in self.ins.items():
            if one.number > one.acked and now - one.ack_us >= ACK_WITHIN_US:
                decisions += self._ack(now, connection, one)
        for name, out in self.out.items():
            if out.stage is Stage.DOWN and now >= out.due_us:
                out.stage, out.due_us = Stage.DIALLING, now + GREET_US
                decisions.append(Dial(name))
            elif (
                out.stage is Stage.GREETING
                and now >= out.due_us
                or (out.stage is Stage.UP and out.under_way and now - out.under_way[0][2] >= STALLED_US)
            ):
                decisions += [Close(out.connection), *self._down(now, name)]
        return decisions

    # Inside

    def _dialled(self, now: int, name: str, connection: int | None) -> list[Decision]:
        out = self.out[name]
        if connection is None:
            if out.stage is Stage.DIALLING:
                self.detectors[name].refused()
                self._down(now, name)
            return []
        if out.stage is not Stage.DIALLING:
            return [Close(connection)]
        out.stage, out.connection, out.due_us = Stage.GREETING, connection, now + GREET_US
        self._by_connection[connection] = name
        return [Write(connection, Hello(VERSION, self._fleet, self.me, name, self._observer))]

    def _down(self, now: int, name: str) -> list[Decision]:
        out = self.out[name]
        self._by_connection.pop(out.connection, None)
        out.stage, out.peer, out.connection = Stage.DOWN, "", 0
        out.under_way.clear()
        out.bytes_out = 0
        out.due_us = now + int(out.wait_us * self._rng.uniform(0.5, 1.5))
        out.wait_us = min(MOST_WAIT_US, out.wait_us * 2)
        return []

    def _lost(self, now: int, connection: int) -> list[Decision]:
        self.ins.pop(connection, None)
        name = self._by_connection.get(connection)
        return self._down(now, name) if name is not None else []

    def _came(self, now: int, connection: int, frames: tuple[Any, ...]) -> list[Decision]:
        decisions: list[Decision] = []
        for frame in frames:
            match frame:
                case Hello():
                    decisions += self._hello(now, connection, frame)
                case Welcome() | Refused():
                    decisions += self._greeted(now, connection, frame)
                case Ack(number):
                    self._acked(now, connection, number)
                case Carry(number, message):
                    decisions += self._carried(now, connection, number, message)
                case Ask():
                    if connection in self.ins:
                        decisions.append(Asked(connection, frame))
                case Answer():
                    decisions.append(Heard(self._by_connection.get(connection, ""), frame))
        return decisions

    def _ack(self, now: int, connection: int, one: In) -> list[Decision]:
        one.acked, one.ack_us = one.number, now
        return [Write(connection, Ack(one.number))]

    def _hello(self, now: int, connection: int, hello: Hello) -> list[Decision]:
        name = member_name(hello.sender)
        why = ""
        if (hello.version, hello.fleet, hello.to) != (VERSION, self._fleet, member_name(self.me)):
            why = (
                f"version {hello.version} of fleet {hello.fleet!r} for {hello.to!r}; this is version {VERSION} of "
                f"{self._fleet!r}, {member_name(self.me)!r}"
            )
        elif not hello.observer and (name not in self.out or _boot(hello.sender) < self.newest.get(name, 0)):
            why = f"{hello.sender!r} is no member, or one of an earlier start"
        elif hello.observer and len(self.observers()) >= MOST_OBSERVERS:
            why = "too many observers"
        if why:
            return [Write(connection, Refused(why)), Close(connection), Note(f"fleet: a link was refused: {why}")]
        before = []
        if not hello.observer:
            before = [number for number, one in self.ins.items() if member_name(one.peer) == name and not one.observer]
            self.newest[name] = _boot(hello.sender)
            out = self.out[name]
            if out.stage is Stage.DOWN:
                out.due_us, out.wait_us = now, LEAST_WAIT_US  # it is there: dial it too
        self.ins[connection] = In(hello.sender, hello.observer)
        for number in before:
            self.ins.pop(number, None)
        return [
            *(Close(number) for number in before),
            Write(connection, Welcome(VERSION, self.me)),
            *([Asked(connection, None)] if hello.observer else []),
        ]

    def _greeted(self, now: int, connection: int, frame: Welcome | Refused) -> list[Decision]:
        name = self._by_connection.get(connection)
        if name is None or self.out[name].stage is not Stage.GREETING:
            return []
        out = self.out[name]
        if isinstance(frame, Refused) or member_name(frame.sender) != name or frame.version != VERSION:
            why = frame.why if isinstance(frame, Refused) else f"it is {frame.sender} of version {frame.version}"
            return [Close(connection), Note(f"fleet: no link to {name}: {why}"), *self._down(now, name)]
        out.stage, out.peer, out.wait_us, out.number = Stage.UP, frame.sender, LEAST_WAIT_US, 0
        self.detectors[name].heard(now)
        return []

    def _acked(self, now: int, connection: int, number: int) -> None:
        name = self._by_connection.get(connection)
        if name is None:
            return
        out = self.out[name]
        while out.under_way and out.under_way[0][0] <= number:
            out.bytes_out -= out.under_way.popleft()[1]
        self.detectors[name].heard(now)

    def _carried(self, now: int, connection: int, number: int, message: Any) -> list[Decision]:
        """Take a message of a member that greeted, once."""
        one = self.ins.get(connection)
        if one is None or one.observer:
            name = self._by_connection.get(connection)  # an observer's own link: a member tells it something
            return [Heard(self.out[name].peer, message)] if name is not None and self._observer else []
        if number <= one.number:  # the network repeated it
            return []
        one.number = number
        self.detectors[member_name(one.peer)].heard(now)
        acks = self._ack(now, connection, one) if number - one.acked >= ACK_AFTER else []
        return [*acks, Heard(one.peer, message)]


def _boot(id: str) -> int:
    text = id.rpartition("@")[2]
    return int(text) if text.isdecimal() else 0
