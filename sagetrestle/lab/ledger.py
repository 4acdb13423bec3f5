"""An emulated ledger, which takes a call for a time and replies, and the roster's ear."""

from __future__ import annotations

import asyncio
import random
import time

LINGER_S = 0.2  # the longest that a call which was given up stays


class EmulatedLedger:
    """Answers calls after ``takes_s``, at most ``slots`` at once; what comes above waits in line."""

    def __init__(self, takes_s: float = 0.01, slots: int = 64) -> None:
        self.takes_s, self.calls = takes_s, 0
        self._slots = asyncio.Semaphore(slots)
        self._open_count = 0
        self._lingering_until: list[float] = []

    @property
    def calls_in_hand(self) -> int:
        """Return how many calls it holds, with those that were given up and linger."""
        now = time.monotonic()
        self._lingering_until = [until for until in self._lingering_until if until > now]
        return self._open_count + len(self._lingering_until)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        open_calls: set[asyncio.Task[None]] = set()
        try:
            while line := await reader.readline():
                words = line.split()
                if words[0] == b"post":
                    body = await reader.readexactly(int(words[3]) + 2)
                    task = asyncio.create_task(self._answer(words[1], body[:-2], writer))
                    open_calls.add(task)
                    task.add_done_callback(open_calls.discard)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            for task in open_calls:
                task.cancel()
            writer.close()

    async def _answer(self, id: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        self._open_count += 1
        try:
            async with self._slots:
                await asyncio.sleep(self.takes_s)
        except asyncio.CancelledError:
            self._lingering_until.append(time.monotonic() + LINGER_S)
            raise
        finally:
            self._open_count -= 1
        self.calls += 1
        self._reply(id, body, writer)

    def _reply(self, id: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"%s posted %d\r\n%s\r\n" % (id, len(body), body))


class SpoilingLedger(EmulatedLedger):
    """Spoils some replies: noise, a line without end, a huge length, a missing end, or half a reply and silence."""

    def __init__(self, seed: int, spoilt_share: float = 0.08, takes_s: float = 0.05) -> None:
        super().__init__(takes_s)
        self._rng, self._spoilt_share = random.Random(seed), spoilt_share

    def _reply(self, id: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        if self._rng.random() >= self._spoilt_share:
            super()._reply(id, body, writer)
            return
        spoilt = (
            b"\x00\xff\x13noise noise\r\n",
            b"x" * 400,
            b"%s posted 3000000000\r\n" % id,
            b"%s posted %d\r\n%sXY" % (id, len(body), body),
            b"%s posted %d\r\n%s" % (id, len(body), body[:3]),
        )
        writer.write(self._rng.choice(spoilt))


class Datagrams(asyncio.DatagramProtocol):
    """Keeps what came, as the roster keeps reports."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[bytes] = asyncio.Queue()

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Keep a datagram."""
        self.queue.put_nowait(data)

    def taken(self) -> list[bytes]:
        """Return all that came."""
        return [self.queue.get_nowait() for _ in range(self.queue.qsize())]
