"""A stand-in new server: HTTP/2, idempotency keys, a record of what ran, and faults as settings."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions

from sagetrestle.lab.capacity import Capacity, Flaps

NEVER_RAN = "urn:sagetrestle:problem:never-ran"


@dataclass
class ServerFaults:
    """What goes wrong; counts are of requests, and go down as they strike."""

    silent: bool = False  # it reads and says nothing
    refuse: int = 0  # 503 with Retry-After, before any work
    fail: int = 0  # 500 after the work
    drop_after: int = 0  # the connection ends after the work, before the answer
    half: int = 0  # the answer breaks off in its middle
    reset: int = 0  # the stream is reset after the work
    goaway: int = 0  # GOAWAY that names no stream, before the work
    fail_share: float = 0.0  # of requests that fail after their work
    slower: float = 1.0
    answer: Callable[[dict[str, Any]], Any] | None = None  # changes the answer


class KeyedRun(NamedTuple):
    """An effect: whose it was, when it began (monotonic, s), its answer, and the fencing token that came with it."""

    applicant: str
    at: float
    answer: dict[str, Any]
    token: tuple[int, int, str] | None


@dataclass
class NewServer:
    """One server on a loopback port. ``ran`` counts effects and reads by their key or applicant.

    One that ``checks_tokens`` refuses what comes under an epoch older than the newest it was told of, and says so.
    """

    work_s: float = 0.005
    checks_tokens: bool = True
    runs: list[KeyedRun] = field(default_factory=list)
    refused_epochs: int = 0
    faults: ServerFaults = field(default_factory=ServerFaults)
    capacity: Capacity | None = None  # None: it bears whatever comes
    flaps: Flaps = field(default_factory=Flaps)
    ran: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    questions: int = 0
    last_headers: dict[str, str] = field(default_factory=dict)
    at_once: int = 0  # requests that are here now, waiting ones included
    most_at_once: int = 0
    times: list[float] = field(default_factory=list)  # when requests came (monotonic, s)
    bad_requests: int = 0  # that came while it was bad by its timetable
    began: float = 0.0
    _lanes: asyncio.Semaphore | None = None
    _rng: random.Random = field(default_factory=lambda: random.Random(1))
    _done: dict[str, Any] = field(default_factory=dict)
    _running: dict[str, asyncio.Future[Any]] = field(default_factory=dict)
    _epochs: dict[str, int] = field(default_factory=dict)  # the newest known, by fleet and partition
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, port: int = 0) -> NewServer:
        """Listen; the port is then ``self.port``."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.began = time.monotonic()
        self._lanes = asyncio.Semaphore(self.capacity.lanes) if self.capacity is not None else None
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def close(self) -> None:
        """Stop, and end all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def die(self, down_s: float) -> None:
        """End as a killed process does, work under way included, and come back with what was done."""
        for task in list(self._tasks):
            task.cancel()
        self.close()
        await asyncio.sleep(down_s)
        await self.start(self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        conn = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False, header_encoding="utf-8"))
        conn.initiate_connection()
        writer.write(conn.data_to_send())
        asked: dict[int, tuple[dict[str, str], bytearray]] = {}
        try:
            while data := await reader.read(65_536):
                for event in conn.receive_data(data):
                    if isinstance(event, h2.events.RequestReceived):
                        asked[event.stream_id] = (dict(event.headers), bytearray())
                    elif isinstance(event, h2.events.DataReceived):
                        conn.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                        asked[event.stream_id][1].extend(event.data)
                    elif isinstance(event, h2.events.StreamEnded) and event.stream_id in asked:
                        headers, body = asked.pop(event.stream_id)
                        task = asyncio.create_task(self._request(conn, writer, event.stream_id, headers, bytes(body)))
                        self._tasks.add(task)
                        task.add_done_callback(self._tasks.discard)
                writer.write(conn.data_to_send())
        except (ConnectionError, h2.exceptions.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _request(
        self, conn: Any, writer: asyncio.StreamWriter, id: int, headers: dict[str, str], body: bytes
    ) -> None:
        if self.faults.silent:
            return
        if headers[":path"].startswith("/v2/effects/"):
            self._answer(conn, writer, id, *self._effect(headers[":path"].rpartition("/")[2], headers))
            return
        self.requests += 1
        self.times.append(time.monotonic())
        self.last_headers = headers
        if self._strikes("goaway"):
            conn.close_connection(last_stream_id=0)
            self._flush(conn, writer)
            return
        if self._strikes("refuse"):
            self._answer(conn, writer, id, 503, {"type": NEVER_RAN, "title": "busy"}, ("retry-after", "0"))
            return
        if self._too_old(headers):
            self.refused_epochs += 1
            self._answer(conn, writer, id, 409, {"type": NEVER_RAN, "title": "of an epoch that is over"})
            return
        if self.flaps.bad(time.monotonic()):
            self.bad_requests += 1
            self._answer(conn, writer, id, 500, {"type": "about:blank", "title": "not well"})
            return
        value = await self._work(headers, body)
        if self._strikes("fail") or self._rng.random() < self.faults.fail_share:
            self._answer(conn, writer, id, 500, {"type": "about:blank", "title": "failed"})
        elif self._strikes("drop_after"):
            writer.transport.abort()
        elif self._strikes("reset"):
            self._quietly(lambda: conn.reset_stream(id, h2.errors.ErrorCodes.INTERNAL_ERROR))
            self._flush(conn, writer)
        elif self._strikes("half"):
            self._quietly(lambda: conn.send_headers(id, [(":status", "200"), ("content-type", "application/json")]))
            self._quietly(lambda: conn.send_data(id, b'{"schema": 2, "ans'))
            self._flush(conn, writer)
            writer.transport.abort()
        else:
            self._answer(conn, writer, id, 200, {"schema": 2, "answer": value})

    def _strikes(self, name: str) -> bool:
        left = getattr(self.faults, name)
        if left > 0:
            setattr(self.faults, name, left - 1)
        return left > 0

    def _too_old(self, headers: dict[str, str]) -> bool:
        """Tell whether a key that is not known here comes under an epoch that is over; a newer one is noted."""
        token, key = headers.get("fencing-token"), headers.get("idempotency-key", "").strip('"')
        if not token or not self.checks_tokens:
            return False
        whose, _, epoch = token.rpartition("/")
        self._epochs[whose] = max(int(epoch), self._epochs.get(whose, 0))
        return int(epoch) < self._epochs[whose] and key not in self._done and key not in self._running

    async def _work(self, headers: dict[str, str], body: bytes) -> Any:
        """Run a request, or wait for the run of its key, or return what that came to."""
        request, began = json.loads(body)["request"], time.monotonic()
        key = headers.get("idempotency-key", "").strip('"')
        if key in self._done:
            return self._done[key]
        if key in self._running:
            return await asyncio.shield(self._running[key])
        done = asyncio.get_running_loop().create_future()
        if key:
            self._running[key] = done
        try:
            await self._labour()
        except asyncio.CancelledError:  # killed: its work is all or nothing
            self._running.pop(key, None)
            done.cancel()
            raise
        value = report(request)
        value = self.faults.answer(value) if self.faults.answer is not None else value
        self.ran[key or f"read {request.get('applicant', {}).get('id', '')}"] += 1
        if key:
            token = headers.get("fencing-token", "").split("/")
            told = (int(token[1]), int(token[2]), token[0]) if len(token) == 3 else None
            self.runs.append(KeyedRun(str(request.get("applicant", {}).get("id", "")), began, value, told))
            self._done[key] = value
            del self._running[key]
            done.set_result(value)
        return value

    async def _labour(self) -> None:
        """Take the time that the work takes; where there are lanes, one after another in the order they came."""
        if self.capacity is None or self._lanes is None:
            await asyncio.sleep(self.work_s * self.faults.slower)
            return
        self.at_once += 1
        self.most_at_once = max(self.most_at_once, self.at_once)
        try:
            async with self._lanes:
                age = time.monotonic() - self.began
                await asyncio.sleep(self.capacity.work_for(self.at_once, age) * self.faults.slower)
        finally:
            self.at_once -= 1

    def _effect(self, key: str, headers: dict[str, str]) -> tuple[int, dict[str, Any]]:
        self.questions += 1
        self._too_old(headers)
        if key in self._done:
            return 200, {"state": "done", "answer": self._done[key]}
        if key in self._running:
            return 200, {"state": "running"}
        told: dict[str, Any] = {"type": NEVER_RAN, "title": "no such effect"}
        whose = headers.get("fencing-token", "").rpartition("/")[0]
        return 404, told | ({"fenced": self._epochs[whose]} if whose in self._epochs else {})

    def _answer(
        self, conn: Any, writer: asyncio.StreamWriter, id: int, status: int, value: Any, *more: tuple[str, str]
    ) -> None:
        kind = "application/json" if status < 400 else "application/problem+json"
        self._quietly(lambda: conn.send_headers(id, [(":status", str(status)), ("content-type", kind), *more]))
        self._quietly(lambda: conn.send_data(id, json.dumps(value).encode(), end_stream=True))
        self._flush(conn, writer)

    @staticmethod
    def _quietly(act: Callable[[], None]) -> None:
        with contextlib.suppress(h2.exceptions.ProtocolError, KeyError):  # the caller has left
            act()

    @staticmethod
    def _flush(conn: Any, writer: asyncio.StreamWriter) -> None:
        if not writer.is_closing():
            writer.write(conn.data_to_send())


def report(request: dict[str, Any]) -> dict[str, Any]:
    """Return a report on an applicant: the same for the same request."""
    applicant = request.get("applicant", {}).get("id", "")
    score = sum(applicant.encode()) * 7 % 1_000
    return {
        "applicant": {"id": applicant},
        "score": score,
        "band": "high" if score >= 500 else "low",
        "notes": ["rent paid", "no claims"],
        "fee": "12.50",
        "model": {"name": "s2", "version": 4},
    }


def old_report(body: bytes) -> bytes:
    """Return what the old server gave for an old body: the other side of the comparison, written on its own."""
    lines = dict(line.split("=", 1) for line in body.decode().splitlines())
    score = sum(lines["applicant"].encode()) * 7 % 1_000
    grade = "A" if score >= 500 else "C"
    return (
        f"applicant={lines['applicant']}\nscore={score}\ngrade={grade}\nnotes=rent paid; no claims\nfee=12.50\n"
    ).encode()
