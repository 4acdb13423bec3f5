"""Upgrades one after another under open-loop load, on loopback: every answer and every run of a key is counted."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from sagetrestle.lab.clients import FrontEnd
from sagetrestle.lab.kernel import EmulatedKernel
from sagetrestle.lab.operator import call
from sagetrestle.lab.place import HERE, Place
from sagetrestle.lab.scorer import ScorerProcess

LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 384}
REPEAT_SHARE = 0.3  # of the charges that come again with the key of an earlier one
POLL_INTERVAL_S = 0.02


@dataclass
class Report:
    """Results of a run. Memory is in KiB of both processes together, with shared pages counted once."""

    asked: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    lost: int = 0  # requests whose connection ended without an answer
    doubled: int = 0  # answers beyond the first
    key_runs: Counter[bytes] = field(default_factory=Counter)
    ready_s: list[float] = field(default_factory=list)
    exit_s: list[float] = field(default_factory=list)  # from the notice until the older process ended
    codes: list[int] = field(default_factory=list)
    memory_kb: int = 0
    descriptors: int = 0

    def ran_twice(self) -> int:
        """Return how many charges ran more than once."""
        return sum(count > 1 for count in self.key_runs.values())


class Caller:
    """A front end that opens a new connection when the server leaves its current one."""

    def __init__(self, port: int, number: int, kernel: EmulatedKernel | None = None) -> None:
        self.port, self.number, self._kernel = port, number, kernel
        self.connections: list[FrontEnd] = []
        self._connecting = asyncio.Lock()

    async def ask(self, id: str, cls: str, body: bytes, key: str | None, retry: bool) -> str:
        """Send a request and return how it ended; ``lost`` where its connection ended without an answer."""
        async with self._connecting:
            if not self.connections or self.connections[-1].leaving or self.connections[-1].closed:
                self.connections.append(await FrontEnd(self.port, self.number, self._kernel).connect())
            connection = self.connections[-1]
        try:
            number = await connection.ask(id, cls, body, key, retry=retry)
        except ConnectionError:
            return "lost"
        finally:
            if connection.leaving and len(connection.answers) == connection.count:
                connection.writer.close()
        return connection.outcome(number)


class Upgrades:
    """One scorer, upgraded again and again."""

    def __init__(self, folder: Path, place: Place, seed: int, callers: int = 4) -> None:
        self.folder, self.place, self.rng, self.report = folder, place, random.Random(seed), Report()
        self.kernels: list[EmulatedKernel] = []
        self._callers = callers
        self._seed = seed

    async def start(self) -> Upgrades:
        """Start the first process."""
        self.scorer = ScorerProcess(
            self.folder, self._kernel(), self.place.settings(), {}, over={"management": f"{HERE}:0"}, limits=LIMITS
        )
        await self.scorer.start(2)
        self.callers = [Caller(self.scorer.ports["thrift"], number) for number in range(self._callers)]
        return self

    def _kernel(self) -> EmulatedKernel:
        work_s = {cls.name: cls.work_s for cls in self.place.classes}
        kernel = EmulatedKernel(self.place.cores, work_s, seed=len(self.kernels), spread=0.3)
        self.kernels.append(kernel)
        return kernel

    async def load(self, rate: float, seconds: float) -> None:
        """Send Poisson arrivals at this rate, whatever becomes of them, and wait for all answers."""
        started_s, elapsed_s, requests = time.monotonic(), 0.0, []
        while (elapsed_s := elapsed_s + self.rng.expovariate(rate)) < seconds:
            await asyncio.sleep(max(0.0, started_s + elapsed_s - time.monotonic()))
            requests.append(asyncio.create_task(self._ask()))
        for outcome in await asyncio.gather(*requests):
            self.report.outcomes[outcome] += 1
        self.report.lost = self.report.outcomes["lost"]
        connections = [connection for caller in self.callers for connection in caller.connections]
        self.report.doubled = sum(
            len(answers) - 1 for connection in connections for answers in connection.answers.values()
        )
        self.report.key_runs = Counter(
            start.body for kernel in self.kernels for start in kernel.starts if start.cls == "paid-check"
        )

    async def _ask(self) -> str:
        self.report.asked += 1
        number = self.report.asked
        cls = self.rng.choices(self.place.classes, [each.share for each in self.place.classes])[0]
        key = None
        if cls.charge:
            is_repeat = self.rng.random() < REPEAT_SHARE and number > 20
            key = f"{self._seed}-{number - self.rng.randrange(20) if is_repeat else number}"
        body = f"charge {key}".encode() if key else b"read"
        return await self.rng.choice(self.callers).ask(f"{self._seed:08x}{number:08x}", cls.name, body, key, False)

    async def upgrade(self, notice: signal.Signals = signal.SIGTERM) -> None:
        """Start a newer process, wait until it says that it is ready, and end the older one."""
        older, started_s = self.scorer, time.monotonic()
        watching = asyncio.create_task(self._watch([older]))
        newer = await older.upgrade(self._kernel(), len(self.kernels), "management front listens", 2)
        watching.cancel()
        watching = asyncio.create_task(self._watch([older, newer]))
        while (await call(newer.ports["management"], "GET", "/api/ready")).status != 200:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.report.ready_s.append(time.monotonic() - started_s)
        notice_s = time.monotonic()
        older.send_signal(notice)
        self.report.codes.append(await older.ended())
        self.report.exit_s.append(time.monotonic() - notice_s)
        watching.cancel()
        self.scorer = newer

    async def _watch(self, scorers: list[ScorerProcess]) -> None:
        while True:
            alive = [scorer for scorer in scorers if scorer.process.returncode is None]
            try:
                self.report.memory_kb = max(self.report.memory_kb, sum(scorer.share_kb() for scorer in alive))
                self.report.descriptors = max(self.report.descriptors, sum(scorer.descriptors() for scorer in alive))
            except (OSError, TypeError):
                pass  # it ended in between
            await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self) -> None:
        """End the last process."""
        await self.scorer.stop()
