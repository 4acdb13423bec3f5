"""A real scorer as a process of its own, among emulated peers on loopback."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from sagetrestle.lab.clients import PATIENCE_S
from sagetrestle.lab.kernel import EmulatedKernel, listen
from sagetrestle.lab.ledger import Datagrams, EmulatedLedger
from sagetrestle.lab.place import HERE, write_files

ROOT = Path(__file__).parent.parent.parent


class ScorerProcess:
    """One scorer with its kernel, ledger and roster. ``ports`` has what it listens on, by front."""

    def __init__(self, folder: Path, kernel: EmulatedKernel, settings: Mapping[str, Any],
                 deploy: Mapping[str, str], name: str = "n1", root: Path = ROOT) -> None:
        self.folder, self.kernel, self.name, self._root = folder, kernel, name, root
        self._settings, self._deploy = settings, deploy
        self.ledger = EmulatedLedger()
        self.log: list[str] = []
        self.ports: dict[str, int] = {}
        self.told: dict[str, Any] = {}
        self._servers: list[Any] = []

    async def start(self, fronts: int) -> ScorerProcess:
        """Start it, and wait until it listens on so many fronts and its kernel is up."""
        ports = {}
        for peer, serve in (("kernel", self.kernel.serve), ("ledger", self.ledger.serve)):
            server, ports[peer] = await listen(serve)
            self._servers.append(server)
        loop = asyncio.get_running_loop()
        udp, self.roster = await loop.create_datagram_endpoint(Datagrams, local_addr=(HERE, 0))
        self._servers.append(udp)
        ports["roster"] = udp.get_extra_info("sockname")[1]
        self.told = write_files(self.folder, self.name, self._settings, ports, self._deploy)
        env = {**os.environ, "PYTHONPATH": str(self._root), "ROUTER_CONFIG": f"{self.folder}/config.json"}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "sagetrestle", cwd=self.folder, env=env,
            stderr=asyncio.subprocess.PIPE)
        while len(self.ports) < fronts or not self.log_has("kernel up"):
            if not await self._read_line():
                raise RuntimeError(f"the scorer ended: {self.log}")
        self._reading = asyncio.create_task(self._read_on())
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

    def memory_kb(self) -> int:
        """Return the resident memory of the process, in KiB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1])  # type: ignore[index]

    async def stop(self, notice: signal.Signals = signal.SIGTERM) -> int:
        """Give the notice to leave, or kill it outright, and return the exit code."""
        if self.process.returncode is None:
            self.process.send_signal(notice)
        code = await asyncio.wait_for(self.process.wait(), PATIENCE_S)
        await self._reading
        for server in self._servers:
            server.close()
        return code
