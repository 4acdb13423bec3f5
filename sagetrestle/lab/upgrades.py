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
REPEATS = 0.3  # of the charges, that come again with the key of an earlier one
LOOK_S = 0.02


@dataclass
class Report:
    """What came of it. Times are seconds, memory is KiB of both processes together, what they share counted once."""

    asked: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    lost: int = 0  # requests whose connection ended without an answer
    doubled: int = 0  # answers beyond the first
    key_runs: Counter[bytes] = field(default_factory=Counter)
    ready_s: list[float] = field(default_factory=list)
    gone_s: list[float] = field(default_factory=list)  # from the notice until the older one ended
    codes: list[int] = field(default_factory=list)
    memory_kb: int = 0
    descriptors: int = 0

    def ran_twice(self) -> int:
        """Return how many charges ran more than once."""
        return sum(count > 1 for count in self.key_runs.values())


class Caller:
    """A front end that goes on to a new connection when its own is being left."""

    def __init__(self, port: int, number: int, kernel: EmulatedKernel | None = None) -> None:
        self.port, self.number, self._kernel = port, number, kernel
        self.ends: list[FrontEnd] = []
        self._connecting = asyncio.Lock()

    async def ask(self, id: str, cls: str, body: bytes, key: str | None, retry: bool) -> str:
        """Send a request and return how it ended; ``lost`` where its connection ended without an answer."""
        async with self._connecting:
            if not self.ends or self.ends[-1].leaving or self.ends[-1].closed:
                self.ends.append(await FrontEnd(self.port, self.number, self._kernel).connect())
            end = self.ends[-1]
        try:
            number = await end.ask(id, cls, body, key, retry=retry)
        except ConnectionError:
            return "lost"
        finally:
            if end.leaving and len(end.answers) == end.count:
                end.writer.close()
        return end.outcome(number)


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
        kernel = EmulatedKernel(
            self.place.cores, {one.name: one.work_s for one in self.place.classes}, seed=len(self.kernels), spread=0.3
        )
        self.kernels.append(kernel)
        return kernel

    async def load(self, rate: float, seconds: float) -> None:
        """Send Poisson arrivals at this rate, whatever becomes of them, and wait for all answers."""
        begun, at, asked = time.monotonic(), 0.0, []
        while (at := at + self.rng.expovariate(rate)) < seconds:
            await asyncio.sleep(max(0.0, begun + at - time.monotonic()))
            asked.append(asyncio.create_task(self._ask()))
        for outcome in await asyncio.gather(*asked):
            self.report.outcomes[outcome] += 1
        self.report.lost = self.report.outcomes["lost"]
        ends = [end for caller in self.callers for end in caller.ends]
        self.report.doubled = sum(len(one) - 1 for end in ends for one in end.answers.values())
        self.report.key_runs = Counter(
            start.body for kernel in self.kernels for start in kernel.starts if start.cls == "paid-check"
        )

    async def _ask(self) -> str:
        self.report.asked += 1
        number = self.report.asked
        cls = self.rng.choices(self.place.classes, [one.share for one in self.place.classes])[0]
        key = None
        if cls.charge:
            again = self.rng.random() < REPEATS and number > 20
            key = f"{self._seed}-{number - self.rng.randrange(20) if again else number}"
        body = f"charge {key}".encode() if key else b"read"
        return await self.rng.choice(self.callers).ask(f"{self._seed:08x}{number:08x}", cls.name, body, key, False)

    async def upgrade(self, notice: signal.Signals = signal.SIGTERM) -> None:
        """Start a newer process, wait until it says that it is ready, and end the older one."""
        older, begun = self.scorer, time.monotonic()
        watching = asyncio.create_task(self._watch([older]))
        newer = await older.upgrade(self._kernel(), len(self.kernels), "management front listens", 2)
        watching.cancel()
        watching = asyncio.create_task(self._watch([older, newer]))
        while (await call(newer.ports["management"], "GET", "/api/ready")).status != 200:
            await asyncio.sleep(LOOK_S)
        self.report.ready_s.append(time.monotonic() - begun)
        noticed = time.monotonic()
        older.send_signal(notice)
        self.report.codes.append(await older.ended())
        self.report.gone_s.append(time.monotonic() - noticed)
        watching.cancel()
        self.scorer = newer

    async def _watch(self, scorers: list[ScorerProcess]) -> None:
        while True:
            living = [one for one in scorers if one.process.returncode is None]
            try:
                self.report.memory_kb = max(self.report.memory_kb, sum(one.share_kb() for one in living))
                self.report.descriptors = max(self.report.descriptors, sum(one.descriptors() for one in living))
            except (OSError, TypeError):
                pass  # it ended between two looks
            await asyncio.sleep(LOOK_S)

    async def stop(self) -> None:
        """End the last process."""
        await self.scorer.stop()
