"""A real scorer as a process of its own, among emulated peers on loopback."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from sagetrestle.lab.child_signals import ChildSignals
from sagetrestle.lab.clients import PATIENCE_S
from sagetrestle.lab.fall_over import FallOverLimits, FallOverWatch, NodeLoad
from sagetrestle.lab.kernel import EmulatedKernel, listen
from sagetrestle.lab.ledger import Datagrams, EmulatedLedger
from sagetrestle.lab.place import HERE, write_files

ROOT = Path(__file__).parent.parent.parent


class FellOver(Exception):
    """The scorer put more on its kernel or its part of the ledger than these bear."""


class ScorerProcess:
    """One scorer with its kernel, ledger and roster. ``ports`` has what it listens on, by front.

    ``python`` runs it: a measurement of memory takes the platform's environment, which has fewer libraries.
    """

    python = sys.executable
    module: tuple[str, ...] = ("sagetrestle",)

    def __init__(
        self,
        folder: Path,
        kernel: EmulatedKernel,
        settings: Mapping[str, Any],
        deploy: Mapping[str, str],
        name: str = "n1",
        root: Path = ROOT,
        over: Mapping[str, Any] | None = None,
        limits: Mapping[str, float] | None = None,
    ) -> None:
        self.folder, self.kernel, self.name, self._root = folder, kernel, name, root
        self._over, self._limits = dict(over or {}), limits
        self._settings, self._deploy = settings, deploy
        self.ledger = EmulatedLedger()
        self.log: list[str] = []
        self.ports: dict[str, int] = {}
        self.told: dict[str, Any] = {}
        self._servers: list[Any] = []
        self._older: ScorerProcess | None = None  # in an upgrade: the process that this one takes over from
        self.watch: FallOverWatch | None = None  # a translator has no kernel of its own
        if "extra" in settings:
            self.watch = FallOverWatch(FallOverLimits.from_settings(settings), self._load)

    async def start(self, fronts: int, ready: str = "kernel up") -> ScorerProcess:
        """Start it, and wait until it listens on so many fronts and has logged that it is ready."""
        ports = {}
        for peer, serve in (("kernel", self.kernel.serve), ("ledger", self.ledger.serve)):
            server, ports[peer] = await listen(serve)
            self._servers.append(server)
        loop = asyncio.get_running_loop()
        udp, self.roster = await loop.create_datagram_endpoint(Datagrams, local_addr=(HERE, 0))
        self._servers.append(udp)
        ports["roster"] = udp.get_extra_info("sockname")[1]
        if "management" in self._over:  # one that may be upgraded listens where its successor can as well
            with socket.socket() as free:
                free.bind((HERE, 0))
                self._over.setdefault("listen", f"{HERE}:{free.getsockname()[1]}")
        return await self._spawn(ports, "config.json", fronts, ready)

    async def upgrade(self, kernel: EmulatedKernel, number: int, ready: str, fronts: int = 1) -> ScorerProcess:
        """Start a newer process of this scorer beside this one, on a kernel address of its own."""
        host, port = self.told["listen"].rpartition(":")[0], self.ports["thrift"]
        newer = ScorerProcess(
            self.folder,
            kernel,
            self._settings,
            self._deploy,
            self.name,
            self._root,
            {**self._over, "listen": f"{host}:{port}"},
            self._limits,
        )
        newer._older = self
        newer.ledger, newer.roster, newer.ports = self.ledger, self.roster, {"thrift": port}
        server, kernel_port = await listen(kernel.serve)
        newer._servers.append(server)
        ports = {peer: int(self.told[peer].rpartition(":")[2]) for peer in ("ledger", "roster")}
        return await newer._spawn({**ports, "kernel": kernel_port}, f"config{number}.json", fronts, ready)

    def _load(self) -> NodeLoad:
        """Return what the node bears: in an upgrade the load of both processes, whose ledger is the same."""
        run_factor = self._settings["extra"].get("run_factor", 1.0)
        runs, memory_kb = self.kernel.runs_on_cores, self.kernel.memory_kb(run_factor)
        if self._older is not None and self._older.process.returncode is None:
            older = self._older._load()
            runs, memory_kb = runs + older.runs_on_cores, memory_kb + older.memory_kb
        return NodeLoad(runs, memory_kb, self.ledger.calls_in_hand, self.kernel.speed_share)

    async def _spawn(self, ports: Mapping[str, int], file: str, fronts: int, ready: str) -> ScorerProcess:
        self.told = write_files(
            self.folder, self.name, self._settings, ports, self._deploy, self._limits, file, self._over
        )
        env = {
            **os.environ,
            "PYTHONPATH": str(self._root),
            "ROUTER_CONFIG": f"{self.folder}/{file}",
            "TMPDIR": str(self.folder),
        }
        self.process = await asyncio.create_subprocess_exec(
            self.python, "-B", "-m", *self.module, cwd=self.folder, env=env, stderr=asyncio.subprocess.PIPE
        )
        self._signals = ChildSignals(self.process)
        while len(self.ports) < fronts or not self.log_has(ready):
            if not await self._read_line():
                raise RuntimeError(f"the scorer ended: {self.log}")
        self._reading = asyncio.create_task(self._read_on())
        if self.watch is not None:
            self.watch.start()
        return self

    async def _read_line(self) -> bool:
        assert self.process.stderr is not None
        line = (await asyncio.wait_for(self.process.stderr.readline(), PATIENCE_S)).decode()
        self.log.append(line)
        if match := re.search(r"(\w+) front listens on 127\.0\.0\.1:(\d+)", line):
            self.ports[match[1]] = int(match[2])
        return bool(line)

    async def _read_on(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log.append(line.decode())

    def log_has(self, text: str) -> bool:
        """Tell whether a line has been logged."""
        return any(text in line for line in self.log)

    async def logged(self, text: str) -> None:
        """Wait for a line in the log."""
        async with asyncio.timeout(PATIENCE_S):
            while not self.log_has(text):
                await asyncio.sleep(0.01)

    def cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def descriptors(self) -> int:
        """Return how many descriptors the process holds."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def memory_kb(self) -> int:
        """Return the resident memory of the process, in KiB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1])  # type: ignore[index]

    def share_kb(self) -> int:
        """Return the process's share of resident memory, in KiB: what several share counts once over all."""
        text = Path(f"/proc/{self.process.pid}/smaps_rollup").read_text()
        return int(re.search(r"Pss:\s+(\d+)", text)[1])  # type: ignore[index]

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        self._signals.send(number)

    async def stop(self, notice: signal.Signals = signal.SIGTERM) -> int:
        """Give the notice to leave, or kill it outright, and return the exit code; raise ``FellOver`` if it did."""
        self.send_signal(notice)
        try:
            return await self.ended()
        finally:
            for server in self._servers:
                server.close()

    async def ended(self) -> int:
        """Wait for the end of the process and return the exit code; raise ``FellOver`` if it did.

        The emulated peers go on: those of an older process serve the newer one of an upgrade as well.
        """
        code = await asyncio.wait_for(self.process.wait(), PATIENCE_S)
        await self._reading
        if self.watch is not None:
            self.watch.stop()
            if self.watch.violations:
                raise FellOver("; ".join(self.watch.violations))
        return code
