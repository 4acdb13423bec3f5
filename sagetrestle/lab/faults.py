"""Links of the laboratory: TCP relays between two named ends, with faults that may change while they run.

What is cut or stalled is held, as a network that loses packets holds a stream, and comes late once it heals, unless the
link is reset. Loss and repetition are of whole frames with a length of four bytes before them.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

CHUNK = 65_536


@dataclass
class Way:
    """What goes wrong in one direction."""

    cut: bool = False  # nothing passes; neither end is told
    delay_s: float = 0.0
    jitter_s: float = 0.0
    lose: float = 0.0  # share of frames
    repeat: float = 0.0
    bytes_a_second: float = 0.0  # 0: without bound
    reset_after: int | None = None  # so many bytes, then the connection is reset


@dataclass
class Link:
    """A relay from one end to the other's ``target`` port; ``there`` and ``back`` are its two directions."""

    name: tuple[str, str]
    framed: bool
    rng: random.Random
    target: int = 0
    port: int = 0
    there: Way = field(default_factory=Way)
    back: Way = field(default_factory=Way)
    passed: int = 0  # bytes, both ways
    held: int = 0  # pieces that came while their way was cut
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _stuck: list[list[bool]] = field(default_factory=list)  # a flag for each connection

    async def start(self) -> Link:
        """Listen; the port is the kernel's choice."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def heal(self) -> None:
        """Have nothing go wrong any more."""
        self.there, self.back = Way(), Way()
        for one in self._stuck:
            one[0] = False

    def stick(self) -> None:
        """Hold what comes there on connections that stand; those that are made from now on are sound."""
        for one in self._stuck:
            one[0] = True

    def cut(self) -> None:
        """Let nothing pass there."""
        self.there.cut = True

    def silence(self) -> None:
        """Let nothing pass back."""
        self.back.cut = True

    def reset(self) -> None:
        """Cut off all connections, as a broken path does."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """End the relay."""
        self._server.close()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            other_reader, other = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, other}
        stuck = [False]
        self._stuck.append(stuck)
        ways = [
            asyncio.ensure_future(self._relay(reader, other, "there", stuck)),
            asyncio.ensure_future(self._relay(other_reader, writer, "back", [False])),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for one in ways:
                one.cancel()
            self._stuck = [one for one in self._stuck if one is not stuck]
            for one in (writer, other):
                self._writers.discard(one)
                one.close()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str, stuck: list[bool]
    ) -> None:
        """Read, and pass on each piece when its time has come, in order."""
        line: asyncio.Queue[tuple[float, bytes] | None] = asyncio.Queue(1_000)
        loop = asyncio.get_running_loop()
        passing = asyncio.ensure_future(self._pass(line, writer, way, stuck))
        held = b""
        try:
            with contextlib.suppress(OSError):
                while data := await reader.read(CHUNK):
                    pieces, held = _frames(held + data) if self.framed else ([data], b"")
                    for piece in pieces:
                        now = getattr(self, way)
                        if self.rng.random() < now.lose:
                            continue
                        due = loop.time() + now.delay_s + self.rng.random() * now.jitter_s
                        for _ in range(1 + (self.rng.random() < now.repeat)):
                            await line.put((due, piece))
            await line.put(None)
            await passing
        finally:
            passing.cancel()

    async def _pass(
        self, line: asyncio.Queue[tuple[float, bytes] | None], writer: asyncio.StreamWriter, way: str, stuck: list[bool]
    ) -> None:
        loop = asyncio.get_running_loop()
        sent = 0
        with contextlib.suppress(OSError):
            while (item := await line.get()) is not None:
                due, piece = item
                await asyncio.sleep(max(0.0, due - loop.time()))
                self.held += getattr(self, way).cut or stuck[0]
                while (now := getattr(self, way)).cut or stuck[0]:
                    await asyncio.sleep(0.005)
                if now.reset_after is not None and sent + len(piece) > now.reset_after:
                    writer.write(piece[: now.reset_after - sent])
                    await asyncio.sleep(0.01)
                    writer.transport.abort()
                    return
                writer.write(piece)
                sent += len(piece)
                self.passed += len(piece)
                if now.bytes_a_second:
                    await asyncio.sleep(len(piece) / now.bytes_a_second)
                await writer.drain()


def _frames(data: bytes) -> tuple[list[bytes], bytes]:
    found, at = [], 0
    while len(data) - at >= 4:
        end = at + 4 + struct.unpack_from("!I", data, at)[0]
        if end > len(data):
            break
        found.append(data[at:end])
        at = end
    return found, data[at:]


class Links:
    """All links by their two ends; a cut may name one end, a group, or both sides of a parting."""

    def __init__(self, seed: int, framed: bool = True) -> None:
        self.all: dict[tuple[str, str], Link] = {}
        self._rng, self._framed = random.Random(seed), framed

    async def between(self, start: str, end: str) -> Link:
        """Return the link from one to the other, made where there is none."""
        if (start, end) not in self.all:
            self.all[(start, end)] = await Link((start, end), self._framed, random.Random(self._rng.random())).start()
        return self.all[(start, end)]

    def to(self, end: str, port: int) -> None:
        """Have all links to an end lead to its present port."""
        for (_, other), link in self.all.items():
            if other == end:
                link.target = port

    def cut(self, some: Iterable[str], others: Iterable[str], hear: bool = False, said: bool = False) -> None:
        """Part two groups. With ``hear`` the first still hears the others, with ``said`` it is still heard."""
        first, second = set(some), set(others)
        for (start, end), link in self.all.items():
            if start in first and end in second:  # the link on which the first speaks
                link.there.cut, link.back.cut = link.there.cut or not said, link.back.cut or not hear
            elif start in second and end in first:
                link.there.cut, link.back.cut = link.there.cut or not hear, link.back.cut or not said

    def heal(self) -> None:
        """Have nothing go wrong on any link."""
        for link in self.all.values():
            link.heal()

    def close(self) -> None:
        """End all."""
        for link in self.all.values():
            link.close()
