"""Stand-ins for the cases of this review: kernel, ledger, roster, Thrift front ends, SCGI clients, and the platform.

They follow the operators' pages and use the standard library alone. Nothing here is imported from the program under
review: the rules are judged by what clients, kernels and the platform see.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HERE = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STEP_S = 0.004


class CanNotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, by time; written to ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.path, self.began, self.lines = folder / "record.txt", time.time(), []

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{time.time() - self.began:8.3f} {text}")

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def free_port() -> int:
    """Return a port at which nobody listens now."""
    with socket.socket() as one:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind((HERE, 0))
        return one.getsockname()[1]


# The kernel


class _Run:
    def __init__(self, left_s: float, result: bytes) -> None:
        self.left_s, self.result, self.paused = left_s, result, False


class Kernel:
    """A kernel of ``cores`` cores: its runs share them. It makes a result of its own for each run.

    ``work_s`` gives the work of a class, or of a request by class and body. No run makes a call.
    """

    def __init__(self, name: str, cores: float, work_s, record: Record) -> None:
        self.name, self.cores, self._work_s, self._record = name, cores, work_s, record
        self.runs: dict[str, _Run] = {}
        self.started: list[tuple[str, str, bytes, float]] = []  # id, class, body, Unix time
        self.results: dict[bytes, set[bytes]] = {}  # by body: what runs of it made
        self.speed = 1.0
        self.verbose = True
        self._notices: list[tuple[int, bytes]] = []
        self._serial = 0
        self._writer: asyncio.StreamWriter | None = None
        self._began = time.time() - 3600

    async def start(self) -> "Kernel":
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HERE, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._task = asyncio.create_task(self._work())
        return self

    async def close(self) -> None:
        """End it."""
        self._task.cancel()
        self._server.close()
        if self._writer is not None:
            self._writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                self._take(json.loads(line), writer)
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        writer.close()

    def _take(self, got: dict, writer: asyncio.StreamWriter) -> None:
        call, run = got.get("call", ""), self.runs.get(got.get("call", ""))
        if got["msg"] == "OPEN":
            old, self._writer = self._writer, writer
            if old is not None:
                old.close()
            self._tell(msg="BOOTED", how="seasoned", duration=int((time.time() - self._began) * 1000))
            for serial, line in self._notices:
                if serial > got["serial"]:
                    writer.write(line)
        elif got["msg"] == "SYSINFO":
            running = sum(not one.paused for one in self.runs.values())
            use = min(1.0, running / self.cores)
            self._tell(msg="INFO", cookie=got["cookie"], stats=[use, running, 0.1, 5])
        elif got["msg"] == "SCHED" and run is None:
            self._start(call, got["service"], base64.b64decode(got["blob"]))
        elif got["msg"] == "PREEMPT" and run is not None and not run.paused:
            run.paused = True
            self._notice(msg="REAP", call=call, how="aborted", duration=1, blob="")
        elif got["msg"] == "RESCHED" and run is not None:
            run.paused = False

    def _start(self, call: str, cls: str, body: bytes) -> None:
        work = self._work_s(cls, body) if callable(self._work_s) else self._work_s[cls]
        self.started.append((call, cls, body, time.time()))
        if self.verbose:
            self._record.note(f"{self.name} runs {call} {cls} {body.decode(errors='replace')!r}")
        result = b"%s run %d for %s" % (self.name.encode(), len(self.started), body)
        self.runs[call] = _Run(work, result)
        self.results.setdefault(body, set()).add(result)

    async def _work(self) -> None:
        before = time.monotonic()
        while True:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            running = [call for call, run in self.runs.items() if not run.paused]
            share = (now - before) * self.speed * min(1.0, self.cores / max(1, len(running)))
            before = now
            for call in running:
                run = self.runs[call]
                run.left_s -= share
                if run.left_s <= 0:
                    del self.runs[call]
                    blob = base64.b64encode(run.result).decode()
                    self._notice(msg="REAP", call=call, how="done", duration=1, blob=blob)

    def _notice(self, **notice) -> None:
        self._serial += 1
        line = json.dumps({"serial": self._serial, **notice}).encode() + b"\n"
        self._notices = [*self._notices[-3999:], (self._serial, line)]
        if self._writer is not None and not self._writer.is_closing():
            self._writer.write(line)

    def _tell(self, **notice) -> None:
        if self._writer is not None and not self._writer.is_closing():
            self._writer.write(json.dumps(notice).encode() + b"\n")


# SCGI


async def ask_scgi(
    port: int,
    cls: str,
    body: bytes,
    key: str | None = None,
    retry: bool = False,
    caller: str = "portal",
    patience_s: float = 20.0,
) -> tuple[int, bytes]:
    """Send one SCGI request; return the status and the body of the answer, status 0 if there was none."""
    headers = {
        "CONTENT_LENGTH": str(len(body)),
        "SCGI": "1",
        "REQUEST_METHOD": "POST",
        "PATH_INFO": f"/{cls}",
        "HTTP_X_WORK_HINT_MS": "30",
        "HTTP_X_RETRY": str(int(retry)),
        "HTTP_X_CALLER": caller,
    }
    if key is not None:
        headers["HTTP_IDEMPOTENCY_KEY"] = key
    block = b"".join(f"{name}\0{value}\0".encode() for name, value in headers.items())
    try:
        reader, writer = await asyncio.open_connection(HERE, port)
        writer.write(b"%d:%s,%s" % (len(block), block, body))
        data = await asyncio.wait_for(reader.read(), patience_s)
        writer.close()
    except (ConnectionError, asyncio.TimeoutError):
        return 0, b""
    head, _, rest = data.partition(b"\r\n\r\n")
    return (int(head[8:11]), rest) if head.startswith(b"Status: ") else (0, b"")


# Thrift


def _text(value: str | bytes) -> bytes:
    raw = value if isinstance(value, bytes) else value.encode()
    return struct.pack(">i", len(raw)) + raw


def _message(name: str, kind: int, seqid: int, fields: bytes) -> bytes:
    body = struct.pack(">I", 0x80010000 | kind) + _text(name) + struct.pack(">i", seqid) + fields + b"\0"
    return struct.pack(">I", len(body)) + body


def _value(data: bytes, at: int, kind: int):
    """Read a value of a type that answers have; return it and where it ends."""
    if kind == 2:
        return data[at] != 0, at + 1
    if kind == 8:
        return struct.unpack_from(">i", data, at)[0], at + 4
    if kind == 11:
        (size,) = struct.unpack_from(">i", data, at)
        return data[at + 4 : at + 4 + size], at + 4 + size
    if kind == 12:
        return _struct(data, at)
    if kind == 13:
        (count,) = struct.unpack_from(">i", data, at + 2)
        pairs, kinds, at = {}, data[at : at + 2], at + 6
        for _ in range(count):
            key, at = _value(data, at, kinds[0])
            pairs[key], at = _value(data, at, kinds[1])
        return pairs, at
    raise ValueError(f"a value of type {kind} in an answer")


def _struct(data: bytes, at: int):
    """Read a struct; return its values by field number, and where it ends."""
    values = {}
    while data[at] != 0:
        kind, (number,) = data[at], struct.unpack_from(">h", data, at + 1)
        values[number], at = _value(data, at + 3, kind)
    return values, at + 1


class FrontEnd:
    """A front end with one Thrift connection. ``answers`` has (what, result, Unix time) by request number."""

    def __init__(self, port: int, number: int) -> None:
        self.port, self.number, self.count, self.leaving, self.closed = port, number, 0, False, False
        self.answers: dict[int, list[tuple[str, bytes, float]]] = {}
        self.level = self.level_until = self.away_until = 0.0  # the free value, and advice to stay away, as heard here
        self._waiting: dict[int, asyncio.Future] = {}

    async def connect(self) -> "FrontEnd":
        """Open the connection."""
        reader, self.writer = await asyncio.open_connection(HERE, self.port)
        self._task = asyncio.create_task(self._read(reader))
        return self

    def send(self, fields: dict[str, str], body: bytes) -> int:
        """Write a request now; return its number on the connection."""
        self.count += 1
        pairs = b"".join(_text(key) + _text(value) for key, value in fields.items())
        arguments = struct.pack(">Bh", 13, 1) + struct.pack(">BBi", 11, 11, len(fields)) + pairs
        arguments += struct.pack(">Bh", 11, 2) + _text(body)
        self._waiting[self.count] = asyncio.get_running_loop().create_future()
        self.writer.write(_message("handle", 1, self.count, arguments))
        return self.count

    def withdraw(self, number: int) -> None:
        """Tell that nobody waits for a request any more."""
        self.count += 1
        self.writer.write(_message("withdraw", 4, self.count, struct.pack(">Bhi", 8, 1, number)))

    async def answer(self, number: int, patience_s: float) -> str:
        """Wait for an answer; return ``served``, ``refused``, ``failed``, or ``none``."""
        try:
            return await asyncio.wait_for(asyncio.shield(self._waiting[number]), patience_s)
        except (asyncio.TimeoutError, ConnectionError):
            return "none"

    async def close(self) -> None:
        """End the connection."""
        self.writer.close()
        self._task.cancel()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                (size,) = struct.unpack(">I", await reader.readexactly(4))
                self._take(await reader.readexactly(size))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.closed, self.closed_at = True, time.time()
        for one in self._waiting.values():
            if not one.done():
                one.set_exception(ConnectionResetError())
                one.exception()

    def _take(self, frame: bytes) -> None:
        kind = frame[3]
        (length,) = struct.unpack_from(">i", frame, 4)
        name, at = frame[8 : 8 + length], 8 + length
        (seqid,) = struct.unpack_from(">i", frame, at)
        at += 4
        if name == b"leaving":
            self.leaving = True
            return
        what, result = "failed", b""
        if kind == 2:
            values = _struct(frame, at)[0]
            field, value = next(iter(values.items()))  # 0: Answer, 1: Shed, 2: Fault
            what = ("served", "refused", "failed")[field]
            result = value[1] if field == 0 else b""
            told = value.get(2 if field == 0 else 1, {})
            if b"v" in told:
                self.level, self.level_until = float(told[b"v"]), time.time() + 1.0
            if b"w" in told:
                self.away_until = time.time() + float(told[b"w"]) / 1000
        self.answers.setdefault(seqid, []).append((what, result, time.time()))
        if seqid in self._waiting and not self._waiting[seqid].done():
            self._waiting[seqid].set_result(what)


def request_fields(cls: str, number: int, **more: str) -> dict[str, str]:
    """Return the fields of a request that comes to the machine now."""
    return {
        "c": cls,
        "i": secrets.token_hex(8),
        "s": str(time.time_ns() // 1_000_000),
        "f": str(number),
        "m": "24.5",
        "p": "0.5",
        **more,
    }


# The platform


class Platform:
    """Starts scorers by the deploy file's ``run`` in a temporary root that links to the built project.

    The root has links to ``.venv`` and ``sagetrestle`` and a ``deploy`` folder of its own, so that optional parts can
    be turned on without a change to the project.
    """

    def __init__(self, record: Record, deploy: dict[str, str] | None = None) -> None:
        self.record, self.folder = record, Path(tempfile.mkdtemp(prefix="rev"))
        self.root = self.folder / "root"
        (self.root / "deploy").mkdir(parents=True)
        for name in (".venv", "sagetrestle"):
            if not (ROOT / name).exists():
                raise CanNotRun(f"{name} is not there: run the deploy file's build first")
            (self.root / name).symlink_to(ROOT / name)
        for name, text in (deploy or {}).items():
            (self.root / "deploy" / name).write_text(text)
        self.command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.tmp = self.folder / "tmp"
        self.tmp.mkdir()
        self.processes: list[asyncio.subprocess.Process] = []
        self._udp: list = []

    async def roster(self) -> int:
        """Listen for reports; return the port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(HERE, 0))
        self._udp.append(transport)
        return transport.get_extra_info("sockname")[1]

    async def run(self, config: dict, command: str | None = None) -> asyncio.subprocess.Process:
        """Write the configuration and start one process; its log goes to ``log-N`` in the temporary folder."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "ROUTER_CONFIG": str(path),
            "TMPDIR": str(self.tmp),
            "ROUTER_NAME": config["name"],
            "ROUTER_LISTEN": config["listen"],
        }
        if "management" in config:
            env["ROUTER_MANAGEMENT"] = config["management"]
        log = (self.folder / f"log-{len(self.processes)}").open("wb")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command or self.command,
            cwd=self.root,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes.append(process)
        self.record.note(f"platform: process {len(self.processes)} started")
        return process

    async def management(self, address: str, method: str, path: str) -> int:
        """Make a call at a second address; return the status, 0 if there was no answer."""
        host, _, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: scorer\r\n\r\n".encode())
            data = await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
            return int(data.split()[1])
        except (ConnectionError, asyncio.TimeoutError, IndexError, ValueError):
            return 0

    async def ready(self, address: str, seconds: float) -> None:
        """Wait until a process says that it is ready."""
        until = time.monotonic() + seconds
        while await self.management(address, "GET", "/api/ready") != 200:
            if time.monotonic() > until:
                raise CanNotRun(f"{address}: not ready within {seconds:g} s: {self.logs()}")
            await asyncio.sleep(0.05)

    async def health(self, port: int, seconds: float) -> None:
        """Wait until a health check is answered as good."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(HERE, port)
                writer.write(_message("status", 1, 1, struct.pack(">BhB", 2, 1, 1)))
                (size,) = struct.unpack(">I", await asyncio.wait_for(reader.readexactly(4), 1.0))
                frame = await reader.readexactly(size)
                writer.close()
                if frame.endswith(b"\x02\x00\x03\x01\x00\x00"):  # field 3, a bool, true, and two ends of structs
                    return
            except (ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CanNotRun(f"no good health check within {seconds:g} s: {self.logs()}")

    def logs(self) -> str:
        """Return the ends of all logs."""
        return " | ".join(path.read_text()[-600:] for path in sorted(self.folder.glob("log-*")))

    async def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        for transport in self._udp:
            transport.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def settings(classes: list[dict], cores: int, **more) -> dict:
    """Return the settings of a small deployment, as the first message of the wire has them."""
    extra = {
        "cores": cores,
        "memory_kb": 22458.0,
        "below": "silent",
        "class_calls": [False] * len(classes),
        "halt": "suspend",
        "key_kb": 49.0,
        "keepalive_max": 30_000_000,
        "run_factor": 4.0,
        "senders": 4,
        "say": "silent",
        "tells_gone": True,
        "fresh_for": 0,
        "cold": False,
        "passes_deadline": False,
        "gauges": ["core_use", "on_cores", "heap_share", "links"],
    }
    extra |= more.pop("extra", {})
    told = {
        "callers": {"marks_retry": True},
        "classes": classes,
        "counted_by": "work",
        "extra": extra,
        "family": "server",
        "limits": {"max_retry_after": 1_000_000, "retry_after": True},
        "projects": [],
        "rules": {
            "answer_slack": 60_000,
            "cold_share": 0.24,
            "stop_sending_within": 2_000_000,
            "tip_after": 2_000_000,
            "tip_multiple": 5.0,
            "warm_within": 18_000_000,
        },
        "servers": 3,
        "tick": 5000,
        "tier": 0,
        "tiers": ["scoring"],
        "zone": 0,
        "zones": ["nasr-city"],
    }
    return told | more


CAIRO_CLASSES = [
    {
        "name": "report-view",
        "aim": 1_900_000,
        "hard_limit": 5_600_000,
        "effect": "safe",
        "late_share": 0.0,
        "worth": 1.0,
        "window": 5_000_000,
    },
    {
        "name": "quick-check",
        "aim": 930_000,
        "hard_limit": 2_800_000,
        "effect": "safe",
        "late_share": 0.0,
        "worth": 1.0,
        "window": 5_000_000,
    },
    {
        "name": "full-report",
        "aim": 3_500_000,
        "hard_limit": 12_000_000,
        "effect": "safe",
        "late_share": 0.0,
        "worth": 2.0,
        "window": 5_000_000,
    },
    {
        "name": "paid-check",
        "aim": 3_500_000,
        "hard_limit": 9_300_000,
        "effect": "keyed",
        "late_share": 0.2,
        "worth": 4.0,
        "window": 27_783_000,
    },
]


def main(folder: Path, play) -> None:
    """Play a case: ``play(record)`` returns whether the rule held. The exit code is 0 if so, 1 if not, 2 if the case
    could not run.
    """
    record = Record(folder)
    record.note(f"the disruption is {'on' if TROUBLE else 'off'}")
    try:
        held = asyncio.run(asyncio.wait_for(play(record), 115))
        record.note("the rule held" if held else "THE RULE WAS BROKEN")
        code = 0 if held else 1
    except (CanNotRun, OSError, asyncio.TimeoutError) as error:
        record.note(f"the case could not run: {type(error).__name__}: {error}")
        code = 2
    record.write()
    print(record.lines[-1])
    sys.exit(code)
