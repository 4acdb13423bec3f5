"""Small stand-ins on loopback for the parties round a scorer that runs as a process of its own."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import re
import signal
import sys
import tempfile
import time
import unittest
from pathlib import Path

from sagetrestle.net.protocol import scgi, thrift
from sagetrestle.net.protocol.thrift import Kind, Type
from tests.net.scenario import PARAMS

ROOT = Path(__file__).parent.parent.parent
PATIENCE_S = 20  # for what must come at all; nothing asserts how soon


class StandInKernel:
    """Runs requests on a few shared cores, and counts what it was told to start."""

    def __init__(self, cores: int = 2, work_s: float = 0.03) -> None:
        self.cores, self.work_s = cores, work_s
        self.left: dict[str, float] = {}
        self.paused: set[str] = set()
        self.starts: list[tuple[str, bytes]] = []
        self.preempted = asyncio.Event()
        self.serial = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one link."""
        work = asyncio.create_task(self._work(writer))
        while line := await reader.readline():
            self._take(json.loads(line), writer)
        work.cancel()
        writer.close()

    def _take(self, got: dict, writer: asyncio.StreamWriter) -> None:
        call = got.get("call", "")
        if got["msg"] == "OPEN":
            self._tell(writer, msg="BOOTED", how="seasoned", duration=3_600_000)
        elif got["msg"] == "SYSINFO":
            stats = [min(1.0, len(self.left) / self.cores), len(self.left), 0.1, 5]
            self._tell(writer, msg="INFO", cookie=got["cookie"], stats=stats)
        elif got["msg"] == "SCHED":
            self.starts.append((call, base64.b64decode(got["blob"])))
            self.left[call] = self.work_s
        elif got["msg"] == "RESCHED":
            self.paused.discard(call)
        elif got["msg"] == "PREEMPT" and call in self.left and call not in self.paused:
            self.paused.add(call)
            self.preempted.set()
            self._end(writer, call, "aborted", b"")

    async def _work(self, writer: asyncio.StreamWriter) -> None:
        before = time.monotonic()
        while True:
            await asyncio.sleep(0.004)
            now = time.monotonic()
            running = [call for call in self.left if call not in self.paused]
            share = (now - before) * min(1.0, self.cores / max(1, len(running)))
            before = now
            for call in running:
                self.left[call] -= share
                if self.left[call] <= 0:
                    del self.left[call]
                    self._end(writer, call, "done", b"result of " + call.encode())

    def _end(self, writer: asyncio.StreamWriter, call: str, how: str, blob: bytes) -> None:
        self.serial += 1
        self._tell(writer, msg="REAP", serial=self.serial, call=call, how=how, duration=1,
                   blob=base64.b64encode(blob).decode())

    @staticmethod
    def _tell(writer: asyncio.StreamWriter, **notice: object) -> None:
        writer.write(json.dumps(notice).encode() + b"\n")


class FrontEnd:
    """A front end with one Thrift connection; it counts the answers to each number."""

    def __init__(self, port: int) -> None:
        self.port, self.count = port, 0
        self.answers: dict[int, list[thrift.Message]] = {}
        self.waiting: dict[int, asyncio.Future] = {}

    async def connect(self) -> FrontEnd:
        """Open the connection."""
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.reading = asyncio.create_task(self._read(reader))
        return self

    async def _read(self, reader: asyncio.StreamReader) -> None:
        frames = thrift.FrameDecoder(1 << 20)
        while data := await reader.read(65536):
            for message in map(thrift.decode_message, frames.feed(data)):
                self.answers.setdefault(message.seqid, []).append(message)
                if message.seqid in self.waiting and not self.waiting[message.seqid].done():
                    self.waiting[message.seqid].set_result(message)

    async def ask(self, id: str, cls: str, body: bytes, key: str | None = None) -> int:
        """Send a request and wait for its answer; return its number."""
        self.count += 1
        number, self.waiting[self.count] = self.count, asyncio.get_running_loop().create_future()
        pairs = {"c": cls, "i": id, "s": str(time.time_ns() // 1_000_000), "f": "1", "m": "24.5", "h": "30",
                 "p": "0.5"}
        pairs |= {"k": key} if key else {}
        fields = thrift.field(Type.MAP, 1, thrift.text_map(pairs))
        fields += thrift.field(Type.STRING, 2, thrift.string(body))
        self.writer.write(thrift.encode_message("handle", Kind.CALL, number, fields))
        await asyncio.wait_for(self.waiting[number], PATIENCE_S)
        return number


async def ask_scgi(port: int, cls: str, body: bytes, half_close: bool = False, **headers: str) -> bytes:
    """Send a request over SCGI and return all that came until the end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    given = {"REQUEST_METHOD": "POST", "PATH_INFO": f"/{cls}", "HTTP_X_WORK_HINT_MS": "30", **headers}
    writer.write(scgi.encode_request(given, body))
    if half_close:
        writer.write_eof()
    try:
        return await asyncio.wait_for(reader.read(), PATIENCE_S)
    finally:
        writer.close()


class Datagrams(asyncio.DatagramProtocol):
    """Keeps what came, as the roster keeps reports."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[bytes] = asyncio.Queue()

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.queue.put_nowait(data)

    def taken(self) -> list[bytes]:
        """Return all that came."""
        return [self.queue.get_nowait() for _ in range(self.queue.qsize())]


class LoopbackCase(unittest.IsolatedAsyncioTestCase):
    """A test with a real scorer process, and stand-ins round it."""

    work_s = 0.03

    async def asyncSetUp(self) -> None:
        self.kernel = StandInKernel(work_s=self.work_s)
        self.server = await asyncio.start_server(self.kernel.serve, "127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        udp, self.roster = await loop.create_datagram_endpoint(Datagrams, local_addr=("127.0.0.1", 0))
        self.addCleanup(udp.close)
        self.addCleanup(self.server.close)
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self._write_files(self.server.sockets[0].getsockname()[1], udp.get_extra_info("sockname")[1])
        env = {**os.environ, "PYTHONPATH": str(ROOT), "ROUTER_CONFIG": f"{self.folder}/config.json"}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "sagetrestle", cwd=self.folder, env=env,
            stderr=asyncio.subprocess.PIPE)
        self.ports = {}
        while len(self.ports) < 3 or not self.log_has("kernel up"):
            await self._read_log()
        self.logging = asyncio.create_task(self._read_on())

    def _write_files(self, kernel: int, roster: int) -> None:
        here = "127.0.0.1"
        told = {"name": "n1", "listen": f"{here}:0", "kernel": f"{here}:{kernel}", "seed": "7",
                "stop_ms": 3000, "roster": f"{here}:{roster}", "ledger": f"{here}:1", "settings": PARAMS,
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 384}}
        self.log: list[str] = []
        folder, self.told = Path(self.folder), told
        (folder / "config.json").write_text(json.dumps(told))
        (folder / "deploy").mkdir()
        (folder / "deploy" / "scgi.toml").write_text(f'listen = "{here}:0"\ndns_listen = "{here}:0"\n')

    async def _read_log(self) -> bool:
        line = (await asyncio.wait_for(self.process.stderr.readline(), PATIENCE_S)).decode()
        self.log.append(line)
        if match := re.search(r"(\w+) front listens on 127\.0\.0\.1:(\d+)", line):
            self.ports[match[1]] = int(match[2])
        return bool(line)

    async def _read_on(self) -> None:
        while line := await self.process.stderr.readline():
            self.log.append(line.decode())

    def log_has(self, text: str) -> bool:
        """Tell whether a line has been logged."""
        return any(text in line for line in self.log)

    async def stop(self) -> int:
        """Give the notice to leave and return the exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), PATIENCE_S)

    async def asyncTearDown(self) -> None:
        await self.stop()
        await self.logging
        self.assertFalse(self.log_has("failed:"), self.log)
