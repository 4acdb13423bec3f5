"""Stand-ins of the second review: front end, kernel, ledger, roster, new server, and how the programs are started.

They follow the operators' pages and nothing of the project is imported. All sockets are on loopback.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HERE = "127.0.0.1"
FULL_PYTHON = ROOT / "review" / ".venv" / "bin" / "python"  # made by build-2.sh: the optional parts' packages
HELD, BROKEN, CANNOT = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be run: nothing can be said of the rule."""


class Record:
    """The lines of record.txt, each with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:9.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


_given: set[int] = set()


def free_port() -> int:
    """Return a port that nobody listens at now, below those that the system gives to connections by itself."""
    while True:
        port = random.SystemRandom().randrange(15_000, 32_000)
        with socket.socket() as one:
            try:
                one.bind((HERE, port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return port


# Thrift, as far as a front end needs it


def _text(data: bytes) -> bytes:
    return struct.pack(">i", len(data)) + data


def encode_handle(number: int, fields: Mapping[str, str], body: bytes) -> bytes:
    """Return the frame of a call of ``handle``."""
    rows = b"".join(_text(k.encode()) + _text(v.encode()) for k, v in fields.items())
    frame = struct.pack(">I", 0x80010001) + _text(b"handle") + struct.pack(">i", number)
    frame += struct.pack(">Bh", 13, 1) + struct.pack(">BBi", 11, 11, len(fields)) + rows
    frame += struct.pack(">Bh", 11, 2) + _text(body) + b"\0"
    return _text(frame)


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, form: str) -> Any:
        (value,) = struct.unpack_from(">" + form, self.data, self.at)
        self.at += struct.calcsize(">" + form)
        return value

    def text(self) -> bytes:
        size = self.take("i")
        self.at += size
        return self.data[self.at - size : self.at]

    def value(self, kind: int) -> Any:
        match kind:
            case 2 | 3:
                return self.take("b")
            case 4:
                return self.take("d")
            case 6:
                return self.take("h")
            case 8:
                return self.take("i")
            case 10:
                return self.take("q")
            case 11:
                return self.text()
            case 12:
                return self.struct()
            case 13:
                keys, values, count = self.take("b"), self.take("b"), self.take("i")
                return {self.value(keys): self.value(values) for _ in range(count)}
            case 14 | 15:
                kind, count = self.take("b"), self.take("i")
                return [self.value(kind) for _ in range(count)]
        raise ValueError(f"type {kind}")

    def struct(self) -> dict[int, Any]:
        found: dict[int, Any] = {}
        while kind := self.take("b"):
            number = self.take("h")
            found[number] = self.value(kind)
        return found


class FrontEnd:
    """One Thrift connection of a front end; ``leaving`` is set once the scorer said so."""

    def __init__(self, port: int, number: int = 1) -> None:
        self.port, self.number, self.count = port, number, 0
        self.leaving = self.closed = False
        self.waiting: dict[int, asyncio.Future[tuple[str, bytes]]] = {}

    async def connect(self) -> FrontEnd:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(HERE, self.port)
        self._task = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        try:
            while True:
                (size,) = struct.unpack(">i", await self.reader.readexactly(4))
                self._take(_Reader(await self.reader.readexactly(size)))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.closed = True
        for one in self.waiting.values():
            if not one.done():
                one.set_result(("lost", b""))

    def _take(self, frame: _Reader) -> None:
        kind = frame.take("I") & 0xFF
        name, number = frame.text(), frame.take("i")
        if kind == 4:
            self.leaving = self.leaving or name == b"leaving"
            return
        found = frame.struct()
        answer = ("failed", b"")
        if kind == 2 and 0 in found:
            answer = ("served", found[0].get(1, b""))
        elif kind == 2 and 1 in found:
            answer = ("refused", found[1].get(1, {}).get(b"w", b"0"))
        if number in self.waiting and not self.waiting[number].done():
            self.waiting[number].set_result(answer)

    def send(self, cls: str, id: str, body: bytes, **more: str) -> asyncio.Future[tuple[str, bytes]]:
        """Write a request; the answer comes as (how, result)."""
        self.count += 1
        fields = {"c": cls, "i": id, "s": str(time.time_ns() // 1_000_000), "f": str(self.number), "m": "24.5"}
        fields |= {"p": "0.5", **more}
        self.waiting[self.count] = asyncio.get_running_loop().create_future()
        self.writer.write(encode_handle(self.count, fields, body))
        return self.waiting[self.count]

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self.writer.close()


async def ask_scgi(port: int, cls: str, body: bytes, headers: Mapping[str, str], patience_s: float = 15.0) -> bytes:
    """Send one SCGI request and return the whole response."""
    rows = {"CONTENT_LENGTH": str(len(body)), "SCGI": "1", "REQUEST_METHOD": "POST", "PATH_INFO": f"/{cls}", **headers}
    text = b"".join(k.encode() + b"\0" + v.encode() + b"\0" for k, v in rows.items())
    reader, writer = await asyncio.open_connection(HERE, port)
    try:
        writer.write(b"%d:%s,%s" % (len(text), text, body))
        return await asyncio.wait_for(reader.read(), patience_s)
    finally:
        writer.close()


def scgi_status(data: bytes) -> int:
    """Return the status of a CGI response, 0 where there is none."""
    return int(data[8:11]) if data.startswith(b"Status: ") and data[8:11].isdigit() else 0


def scgi_body(data: bytes) -> bytes:
    """Return the body of a CGI response."""
    return data.partition(b"\r\n\r\n")[2]


# The platform: kernel, ledger, roster


class Run:
    """One run at the kernel: ``calls`` are the points, in seconds of work left, at which it makes a call."""

    def __init__(self, left_s: float, calls: list[float]) -> None:
        self.left_s, self.calls = left_s, calls
        self.state = "running"  # paused, calling
        self.asked = b""  # the body of the call that it waits for
        self.made = 0
        self.began = time.monotonic()


class Kernel:
    """The kernel of one scorer, by PROTOCOL: shared cores, numbered notices, one link at a time.

    ``draw(cls)`` gives a run's work in seconds and how many calls it makes. A request is over once ``over`` has its id.
    A SCHED for a request that runs does nothing; for one that is over nothing is started (``stale``); for any other
    request that came to the scorer, by ``came``, a run is started.
    """

    STEP_S = 0.002

    def __init__(self, record: Record, cores: int, draw: Callable[[str], tuple[float, int]], seed: int = 1) -> None:
        self.record, self.cores, self.draw = record, cores, draw
        self.came: dict[str, str] = {}  # id: class
        self.over: set[str] = set()
        self.runs: dict[str, Run] = {}
        self.starts: list[tuple[str, str, float]] = []  # id, class, when
        self.served: dict[str, set[bytes]] = {}  # results that runs made, by id
        self.wrong_replies: list[str] = []
        self.commands = self.breaks = self.twice_commands = 0
        self._rng = random.Random(seed)
        self._notices: list[tuple[int, bytes]] = []
        self._serial = 0
        self._writer: asyncio.StreamWriter | None = None
        self._up = False
        self._began = time.monotonic()

    async def start(self) -> Kernel:
        """Listen and begin to work."""
        self._server = await asyncio.start_server(self._serve, HERE, 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]
        self._work = asyncio.create_task(self._go_on())
        return self

    def close(self) -> None:
        """Stop."""
        self._work.cancel()
        self._server.close()
        if self._writer is not None:
            self._writer.transport.abort()

    def break_link(self) -> None:
        """End the link with a reset; runs go on, notices are kept."""
        if self._writer is not None and self._up:
            self.breaks += 1
            self._up = False
            self._writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                got = json.loads(line)
                if got["msg"] == "OPEN":
                    if self._writer is not None and self._writer is not writer:
                        self._writer.transport.abort()
                    self._writer = writer
                    age = int((time.monotonic() - self._began) * 1000) + 3_600_000
                    self._write({"msg": "BOOTED", "how": "seasoned", "duration": age})
                    for serial, data in self._notices:
                        if serial > got["serial"]:
                            writer.write(data)
                    self._up = True
                elif self._writer is writer:
                    self._take(got)
        except (ConnectionError, json.JSONDecodeError, asyncio.CancelledError):
            pass
        writer.close()

    def _write(self, what: dict[str, Any]) -> None:
        if self._writer is not None:
            self._writer.write(json.dumps(what).encode() + b"\n")

    def _notice(self, **what: Any) -> None:
        self._serial += 1
        data = json.dumps({"serial": self._serial, **what}).encode() + b"\n"
        self._notices.append((self._serial, data))
        del self._notices[:-4000]
        if self._writer is not None and self._up:
            self._writer.write(data)

    def _take(self, got: dict[str, Any]) -> None:
        self.commands += 1
        id, run = got.get("call", ""), self.runs.get(got.get("call", ""))
        match got["msg"]:
            case "SYSINFO":
                busy = sum(one.state == "running" for one in self.runs.values())
                stats = [min(1.0, busy / self.cores), busy, 0.2, 8]
                self._write({"msg": "INFO", "cookie": got["cookie"], "stats": stats})
            case "SCHED" if run is not None:
                pass
            case "SCHED" if id in self.over:
                self._notice(msg="REAP", call=id, how="stale", duration=0, blob="")
            case "SCHED" if id in self.came and self.came[id] == got["service"]:
                work, calls = self.draw(got["service"])
                points = sorted(self._rng.uniform(0.05, 0.95) * work for _ in range(calls))
                self.runs[id] = Run(work, points)
                self.starts.append((id, got["service"], time.monotonic()))
                self.record.line(f"kernel: run of {id} ({got['service']}) starts")
            case "PREEMPT" if run is not None and run.state == "running":
                run.state = "paused"
                self._notice(msg="REAP", call=id, how="aborted", duration=1, blob="")
            case "RESCHED" if run is not None and run.state == "paused":
                run.state = "running"
            case "IODONE" if run is not None and run.state == "calling":
                reply = base64.b64decode(got["blob"])
                if reply != b"reply to " + run.asked:
                    text = f"{id}: waits for the reply to {run.asked.decode()!r} and is given {reply.decode()!r}"
                    self.wrong_replies.append(text)
                    self.record.line(f"kernel: WRONG REPLY {text}")
                run.state = "running"
            case _:
                self._write({"msg": "EINVAL", "how": got["msg"], "call": id})

    async def _go_on(self) -> None:
        before = time.monotonic()
        while True:
            await asyncio.sleep(self.STEP_S)
            now = time.monotonic()
            running = [id for id, one in self.runs.items() if one.state == "running"]
            share = (now - before) * min(1.0, self.cores / max(1, len(running)))
            before = now
            for id in running:
                self._advance(id, share)

    def _advance(self, id: str, share: float) -> None:
        run = self.runs[id]
        run.left_s -= share
        if id in self.over and run.left_s > 0 and run.calls and run.left_s <= run.calls[-1]:
            del self.runs[id]  # ended at a call, as its request is over
            self._notice(msg="REAP", call=id, how="aborted", duration=1, blob="")
        elif run.calls and run.left_s <= run.calls[-1]:
            run.calls.pop()
            run.made += 1
            run.state, run.asked = "calling", f"call {run.made} of {id}".encode()
            self._notice(msg="IOREQ", call=id, blob=base64.b64encode(run.asked).decode())
        elif run.left_s <= 0:
            del self.runs[id]
            took = int((time.monotonic() - run.began) * 1000)
            result = f"result of {id}, run {sum(one[0] == id for one in self.starts)}".encode()
            self.served.setdefault(id, set()).add(result)
            self.record.line(f"kernel: run of {id} is done")
            self._notice(msg="REAP", call=id, how="done", duration=took, blob=base64.b64encode(result).decode())


class Ledger:
    """The ledger: each call is answered after a while with a reply that names its body."""

    def __init__(self, seed: int = 1, least_s: float = 0.02, most_s: float = 0.06) -> None:
        self.calls = 0
        self._rng, self._least_s, self._most_s = random.Random(seed), least_s, most_s

    async def start(self) -> Ledger:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HERE, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def close(self) -> None:
        """Stop."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await asyncio.wait_for(reader.readline(), 10):
                words = line.split()
                if words[0] == b"abandon":
                    if (task := tasks.pop(words[1].decode(), None)) is not None:
                        task.cancel()
                    continue
                body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                self.calls += 1
                tasks[words[1].decode()] = asyncio.create_task(self._answer(writer, words[1], body))
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            pass
        for task in tasks.values():
            task.cancel()
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, id: bytes, body: bytes) -> None:
        await asyncio.sleep(self._rng.uniform(self._least_s, self._most_s))
        reply = b"reply to " + body
        writer.write(b"%s posted %d\r\n%s\r\n" % (id, len(reply), reply))


class Roster(asyncio.DatagramProtocol):
    """The roster: it takes reports and says nothing."""

    async def start(self) -> Roster:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(HERE, 0))
        self.port = self.transport.get_extra_info("sockname")[1]
        return self

    def close(self) -> None:
        """Stop."""
        self.transport.close()


# The new servers of a translator


class NewServer:
    """A new server by docs/interface-v2.md: HTTP/2, idempotency keys, and the question what became of a key.

    It keeps a key for ``keep_s`` from when it came, which is the class's window. ``work_s`` is the time that a request
    takes, by its body. It checks no fencing tokens.
    """

    def __init__(self, record: Record, name: str, keep_s: float, work_s: Callable[[dict[str, Any]], float]) -> None:
        self.record, self.name, self.keep_s, self.work_s = record, name, keep_s, work_s
        self.ran: list[tuple[str, str, float]] = []  # key, applicant, when
        self.ended: dict[str, float] = {}  # when the charge of an applicant was done first
        self._keys: dict[str, tuple[float, asyncio.Future[Any]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> NewServer:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HERE, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def close(self) -> None:
        """Stop."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        import h2.config
        import h2.connection
        import h2.events
        import h2.exceptions

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
        writer.close()

    async def _request(self, conn: Any, writer: Any, id: int, headers: dict[str, str], body: bytes) -> None:
        for key in [key for key, (at, _) in self._keys.items() if time.monotonic() > at + self.keep_s]:
            del self._keys[key]
        if headers[":path"].startswith("/v2/effects/"):
            known = self._keys.get(headers[":path"].rpartition("/")[2])
            if known is None:
                problem = {"type": "urn:sagetrestle:problem:never-ran", "title": "it never came here"}
                self._answer(conn, writer, id, 404, problem)
            elif known[1].done():
                self._answer(conn, writer, id, 200, {"state": "done", "answer": known[1].result()})
            else:
                self._answer(conn, writer, id, 200, {"state": "running"})
            return
        key, request = headers.get("idempotency-key", "").strip('"'), json.loads(body)["request"]
        if key and key in self._keys:
            self.record.line(f"{self.name}: key {key[:8]} again, it is known")
            value = await asyncio.shield(self._keys[key][1])
        else:
            value = await self._run(key, request)
        self._answer(conn, writer, id, 200, {"schema": 2, "answer": value})

    async def _run(self, key: str, request: dict[str, Any]) -> Any:
        applicant, done = request["applicant"]["id"], asyncio.get_running_loop().create_future()
        if key:
            self._keys[key] = (time.monotonic(), done)
            self.ran.append((key, applicant, time.monotonic()))
            self.record.line(f"{self.name}: the charge of {applicant} runs under key {key[:8]}")
        await asyncio.sleep(self.work_s(request))
        value = {"applicant": {"id": applicant}, "band": "high", "run": len(self.ran)}
        done.set_result(value)
        if key:
            self.ended.setdefault(applicant, time.monotonic())
        return value

    @staticmethod
    def _answer(conn: Any, writer: Any, id: int, status: int, value: Any) -> None:
        kind = "application/json" if status == 200 else "application/problem+json"
        data = json.dumps(value).encode()
        if writer.transport.is_closing():
            return
        try:
            conn.send_headers(id, [(":status", str(status)), ("content-type", kind)])
            conn.send_data(id, data, end_stream=True)
            writer.write(conn.data_to_send())
        except Exception:  # noqa: BLE001  # the stream or the connection has ended
            pass


MAPPING = "version = 1\nschema = 2\n" + "".join(
    f"""[classes.{name}]
new = "{new}"
[[classes.{name}.request]]
old = "applicant"
new = "applicant.id"
[[classes.{name}.answer]]
old = "applicant"
new = "applicant.id"
[[classes.{name}.answer]]
old = "grade"
new = "band"
values = {{ high = "A", low = "C" }}
[[classes.{name}.answer]]
old = "run"
new = "run"
type = "integer"
"""
    for name, new in (("full-report", "reports"), ("paid-check", "charges"))
)


class Relay:
    """A path between two processes.

    Once it is ``cut`` nothing that is sent arrives, and neither end is told: connections stay open and are silent, and
    so are new ones. After ``heal`` new connections work; those of before stay dead, as their ends gave them up.
    ``hold`` has the connections that are open now fall quiet, both ways, until ``release``: what was sent meanwhile
    then arrives, and after it the end, if one side has ended it. New connections are not held.
    """

    def __init__(self, to: int) -> None:
        self.to, self.down = to, False
        self._gates: list[asyncio.Event] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Relay:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HERE, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def hold(self) -> int:
        """Have the connections that are open now fall quiet; return how many there are."""
        for gate in self._gates:
            gate.clear()
        return len(self._gates)

    def release(self) -> None:
        """Let what is held go on."""
        for gate in self._gates:
            gate.set()

    def cut(self) -> None:
        """Have nothing arrive any more."""
        self.down = True
        self.hold()

    def heal(self) -> None:
        """Have new connections work again."""
        self.down = False

    def close(self) -> None:
        """Stop."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.down:
            self._writers.add(writer)
            while await reader.read(65_536):  # until its end gives it up
                pass
            self._writers.discard(writer)
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(HERE, self.to)
        except OSError:
            writer.transport.abort()
            return
        both, gate = {writer, far_writer}, asyncio.Event()
        gate.set()
        self._gates.append(gate)
        self._writers |= both
        await asyncio.wait(
            [
                asyncio.create_task(self._pass(reader, far_writer, gate)),
                asyncio.create_task(self._pass(far_reader, writer, gate)),
            ],
            return_when=asyncio.FIRST_COMPLETED,
        )
        for one in both:
            one.close()
        self._gates.remove(gate)
        self._writers -= both

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, gate: asyncio.Event) -> None:
        held = bytearray()
        try:
            while data := await reader.read(65_536):
                held += data
                if gate.is_set():
                    self._send(writer, held)
                    await writer.drain()
                elif len(held) == len(data):
                    asyncio.create_task(self._later(writer, gate, held))
        except ConnectionError:
            pass
        await gate.wait()  # the end comes after what was sent before it
        self._send(writer, held)

    async def _later(self, writer: asyncio.StreamWriter, gate: asyncio.Event, held: bytearray) -> None:
        await gate.wait()
        self._send(writer, held)

    @staticmethod
    def _send(writer: asyncio.StreamWriter, held: bytearray) -> None:
        if held and not writer.transport.is_closing():
            writer.write(bytes(held))
        held.clear()


# The programs


class Program:
    """One process of the project, started by a command from the project's root as the platform does."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.log: list[str] = []

    async def start(self, command: str, env: Mapping[str, str], cwd: Path = ROOT) -> Program:
        """Start it, with its log read on."""
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=cwd, env={**os.environ, **env},
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        self._task = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            self.log.append(line.decode().rstrip())
            self.record.line(f"{self.name}: {self.log[-1]}")

    async def logged(self, text: str, seconds: float = 20.0, first: int = 0) -> str:
        """Wait for a line of the log that has this text, and return it."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for line in self.log[first:]:
                if text in line:
                    return line
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.01)
        raise CannotRun(f"{self.name}: no line with {text!r}: {self.log[-5:]}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to it."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> int:
        """Send a signal and wait for the end."""
        self.send_signal(number)
        code = await asyncio.wait_for(self.process.wait(), 15)
        await self._task
        return code


def run_command() -> str:
    """Return the command that starts one scorer, from the deploy file."""
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


def folder_for(case: str) -> Path:
    """Return a new temporary folder."""
    return Path(tempfile.mkdtemp(prefix=f"review-{case}-"))


def main(case: Callable[[Record, Path], Any], folder: Path) -> None:
    """Run a case: an asynchronous function that returns what broke the rule, one line each; then exit."""
    record, home, code = Record(folder), folder_for(folder.name), CANNOT
    record.line(f"TROUBLE={int(TROUBLE)}")

    async def play() -> list[str]:
        try:
            return await asyncio.wait_for(case(record, home), 116)
        finally:
            while rest := asyncio.all_tasks() - {asyncio.current_task()}:
                for task in rest:
                    task.cancel()
                await asyncio.gather(*rest, return_exceptions=True)

    try:
        broken = asyncio.run(play())
        code = BROKEN if broken else HELD
        for text in broken:
            record.line(f"BROKEN: {text}")
            print(f"BROKEN: {text}")
        if not broken:
            record.line("HELD")
            print("HELD")
    except Exception as error:  # whatever it was, it says nothing of the rule
        record.line(f"CANNOT RUN: {error!r}\n{traceback.format_exc()}")
        print(f"CANNOT RUN: {error!r}")
    finally:
        record.close()
        shutil.rmtree(home, ignore_errors=True)
    sys.exit(code)
