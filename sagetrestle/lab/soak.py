"""A soak of one scorer: its kernel link breaks, ledger replies are spoilt and signals come in series, drawn by a seed.

Clients use their connections until the scorer takes them away or is killed, which comes at the earliest time that the
platform allows. Some seeds have a crowd of further clients, some long runs. Each life of the scorer ends with a drain;
the first is on a warm machine, those after it on a cold one, as after a restart.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from sagetrestle.lab.clients import FrontEnd
from sagetrestle.lab.kernel import BOOKING_DELAY_S, ColdStart
from sagetrestle.lab.kernel_faults import FaultyKernel
from sagetrestle.lab.ledger import SpoilingLedger
from sagetrestle.lab.place import LabClass, Place
from sagetrestle.lab.scorer import FellOver, ScorerProcess

SHORT_CLASSES = (
    LabClass("report-view", 0.15, 1, 0.3, 0.9, 2.0),
    LabClass("quick-check", 0.08, 0, 0.3, 0.5, 1.5),
    LabClass("paid-check", 0.25, 1, 0.4, 1.8, 3.0, worth=4.0, charge=True),
)
LONG_CLASSES = (
    LabClass("report-view", 0.7, 1, 0.3, 2.0, 3.0),
    LabClass("quick-check", 0.5, 0, 0.3, 1.5, 3.0),
    LabClass("paid-check", 0.9, 1, 0.4, 2.5, 3.0, worth=4.0, charge=True),
)
CLASSES = (SHORT_CLASSES, LONG_CLASSES)
CORES = 4
MEMORIES_KB = (1_300.0, 4_000.0)
OVERLOAD_MULTIPLES = (2.0, 3.0, 5.0)
LIVES = 2
LOAD_S = 5.0  # before the notice to leave
KILL_AFTER_S = 3.0 + 0.7  # after the notice: the longest deadline and what the platform adds
STOP_SENDING_S = 2.0 + 0.1  # after the notice, from when nothing that arrives may run; with the platform's slack
LEAVING_CROSSING_S = 0.05  # a request this close to ``leaving`` is sent once more
LATE_S = 1.0  # after its deadline an answer counts as missing; far more than the slack, as machines differ
LINK_LOSS_S = 0.05
CROWD = 80  # connections
MAX_OPEN = 30  # requests without an answer on one connection
CROWD_SHARE = 0.3  # of the seeds
REPEAT_SHARE = 0.2  # of the charges that come again
LOADS = (0.7, 1.0, 1.4)  # times what the cores do
EFFECTS = ("safe", "safe", "unsafe")  # of the classes without keys
HALT_S = (0.05, 0.4)  # between SIGSTOP and SIGCONT
BREAK_INTERVALS_S = ((0.3, 0.6), (0.1, 0.9), (2.0, 4.0))


class Sent(NamedTuple):
    """One request as it was written; times are the monotonic clock's, in seconds."""

    id: str
    cls: LabClass
    key: str | None
    at_s: float


@dataclass
class SoakReport:
    """What became of one seed; ``violations`` names each broken rule."""

    seed: int
    outcomes: Counter[str] = field(default_factory=Counter)
    breaks: int = 0
    runs: int = 0
    worst_runs: tuple[float, float] = (0.0, 1.0)  # as the watch has it
    highest_memory_kb: float = 0.0
    memory_limit_kb: float = 0.0
    violations: list[str] = field(default_factory=list)


class Soak:
    """The lives of one scorer under one seed."""

    def __init__(self, folder: Path, seed: int) -> None:
        self._folder, self._rng, self.report = folder, random.Random(seed), SoakReport(seed)
        place_rng = random.Random(f"place {seed}")
        self._place = Place(
            CORES,
            place_rng.choice(MEMORIES_KB),
            place_rng.choice(CLASSES),
            overload_multiple=place_rng.choice(OVERLOAD_MULTIPLES),
        )
        self.report.memory_limit_kb = self._place.memory_kb
        self._has_crowd = self._rng.random() < CROWD_SHARE
        self._rate = self._place.capacity * self._rng.choice(LOADS)
        self._break_interval_s = self._rng.choice(BREAK_INTERVALS_S)
        self._loses_commands = self._rng.random() < 0.5
        self._has_halts = self._rng.random() < 0.3
        effects = {each.name: self._rng.choice(EFFECTS) for each in self._place.classes if not each.charge}
        self._settings = self._place.settings()
        for each in self._settings["classes"]:
            each["effect"] = effects.get(each["name"], each["effect"])
        self._count = 0
        self._keys: list[str] = []

    async def play(self) -> SoakReport:
        """Play all lives and return the report."""
        for life in range(LIVES):
            folder = self._folder / f"life{life}"
            folder.mkdir()
            await self._play_life(folder, is_cold=life > 0)
        return self.report

    async def _play_life(self, folder: Path, is_cold: bool) -> None:
        work_s = {each.name: each.work_s for each in self._place.classes}
        calls = {each.name: each.calls for each in self._place.classes}
        cold_start = ColdStart.from_settings(self._settings) if is_cold else None
        self._kernel = FaultyKernel(self._place.cores, work_s, calls, self._rng.getrandbits(32), cold_start=cold_start)
        over = {"stop_ms": int(KILL_AFTER_S * 1000)}
        self._scorer = ScorerProcess(folder, self._kernel, self._settings, {}, over=over)
        self._scorer.ledger = SpoilingLedger(self._rng.getrandbits(32))
        self._requests: list[Sent] = []
        self._refused: set[str] = set()
        self._notice_s = float("inf")
        self._is_going = asyncio.Event()
        self._is_going.set()
        self._load_end_s = time.monotonic() + LOAD_S
        self._fronts: list[FrontEnd] = []
        self._crowd_fronts: list[FrontEnd] = []
        await self._scorer.start(1)
        tasks = [asyncio.create_task(each) for each in (self._load(), self._break_links(), self._signal())]
        if self._has_crowd:
            tasks.append(asyncio.create_task(self._crowd()))
        await self._end(tasks)
        self._check()

    async def _load(self) -> None:
        """Write requests at the drawn rate to open connections, and open new ones while the scorer takes them."""
        answers = []
        try:
            while self._scorer.process.returncode is None:
                await asyncio.sleep(self._rng.expovariate(self._rate))
                front = await self._open_front(4)
                if front is not None:
                    answers.append(asyncio.create_task(self._ask(front)))
        finally:
            await asyncio.gather(*answers, return_exceptions=True)

    async def _open_front(self, count: int) -> FrontEnd | None:
        usable = [
            front for front in self._fronts if not front.closed and not front.leaving and front.open_count < MAX_OPEN
        ]
        if len(usable) < count and time.monotonic() < self._notice_s:
            try:
                front = await FrontEnd(self._scorer.ports["thrift"], len(self._fronts) + 1, self._kernel).connect()
            except OSError:
                return None
            self._fronts.append(front)
            return front
        return self._rng.choice(usable) if usable else None

    async def _ask(self, front: FrontEnd) -> None:
        cls = self._rng.choices(self._place.classes, [each.share for each in self._place.classes])[0]
        self._count += 1
        key = None
        if cls.charge:
            key = f"{self._count:032x}"
            if self._keys and self._rng.random() < REPEAT_SHARE:
                key = self._rng.choice(self._keys[-20:])
            self._keys.append(key)
        number = self._count
        await self._is_going.wait()
        if front.closed or front.leaving:
            return
        request = Sent(f"{number:016x}", cls, key, time.monotonic())
        self._requests.append(request)
        body = f"charge {key}".encode() if key else b"read"
        try:
            number = await front.ask(request.id, cls.name, body, key, cls.work_s * 1000, cls.limit_s + LATE_S)
        except (ConnectionError, TimeoutError) as error:
            crossed = front.leaving and request.at_s > front.leaving_at_s - LEAVING_CROSSING_S
            self.report.outcomes["crossed" if crossed else "lost"] += 1
            if not crossed:
                since_s = request.at_s - self._notice_s
                self._violate(f"request {request.id}, written {since_s:.2f} s after the notice: {error!r}")
            return
        outcome = front.outcome(number)
        self.report.outcomes[outcome] += 1
        if outcome == "refused":
            self._refused.add(request.id)
        if len(front.answers[number]) > 1:
            self._violate(f"request {request.id} was answered twice")

    async def _break_links(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*self._break_interval_s))
            lose_s = LINK_LOSS_S if self._loses_commands else 0.0
            await self._kernel.break_link(lose_s, self._rng.random() < 0.3)

    async def _signal(self) -> None:
        """Send SIGHUP in series, though the configuration stays as it is; before the notice also halt the process."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))
            for _ in range(self._rng.randint(1, 5)):
                self._scorer.send_signal(signal.SIGHUP)
            if self._has_halts and time.monotonic() + HALT_S[1] < self._load_end_s:
                await self._halt()

    async def _halt(self) -> None:
        """Have the machine stand still: nothing is written meanwhile, and what is unread does not count."""
        self._is_going.clear()
        self._scorer.watch.stop()
        self._scorer.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(*HALT_S))
        self._scorer.send_signal(signal.SIGCONT)
        self._is_going.set()
        await asyncio.sleep(BOOKING_DELAY_S)
        self._scorer.watch.start()

    async def _crowd(self) -> None:
        """Connect further clients that write a few requests each and keep their connections."""
        await asyncio.sleep(self._rng.uniform(0.5, LOAD_S))
        try:
            port, first = self._scorer.ports["thrift"], 100
            for at in range(CROWD):
                self._crowd_fronts.append(await FrontEnd(port, first + at, self._kernel).connect())
        except OSError:
            pass  # it closed its listening socket
        await asyncio.gather(*(self._ask(front) for front in self._crowd_fronts for _ in range(2)))

    async def _end(self, tasks: list[asyncio.Task[None]]) -> None:
        """Give the notice to leave, more than once, and kill what is left at the earliest time allowed."""
        await asyncio.sleep(LOAD_S)
        self._notice_s = time.monotonic()
        for _ in range(self._rng.randint(1, 3)):
            self._scorer.send_signal(signal.SIGTERM)
        killed = False
        try:
            await asyncio.wait_for(asyncio.shield(self._scorer.process.wait()), KILL_AFTER_S)
        except TimeoutError:
            killed = True
        for task in tasks[1:3]:
            task.cancel()
        try:
            code = await self._scorer.stop(signal.SIGKILL)
        except FellOver as error:
            code = self._scorer.process.returncode
            self._violate(f"fell over: {error}")
        if not killed and code != 0:
            self._violate(f"exit code {code}")
        await asyncio.gather(*tasks, return_exceptions=True)
        for front in (*self._fronts, *self._crowd_fronts):
            front.close()
        self._kernel.end()

    def _check(self) -> None:
        """Compare what ran at the kernel with what was written and answered."""
        by_id = {request.id: request for request in self._requests}
        started = [by_id[start.call] for start in self._kernel.starts]
        effects = {each["name"]: each["effect"] for each in self._settings["classes"]}
        keys = Counter(request.key or request.id for request in started if effects[request.cls.name] != "safe")
        for key, count in keys.items():
            if count > 1:
                self._violate(f"key or id {key} ran {count} times")
        for request in started:
            if request.id in self._refused:
                self._violate(f"request {request.id} was refused and ran")
        for start in self._kernel.starts:
            if by_id[start.call].at_s > self._notice_s + STOP_SENDING_S:
                self._violate(f"request {start.call} ran though it came late in the drain")
        for id in self._kernel.changed_replies:
            self._violate(f"run {id} got the reply to another call")
        if self._scorer.log_has("failed:"):
            self._violate(f"log: {[line for line in self._scorer.log if 'failed:' in line][0]}")
        watch = self._scorer.watch
        self.report.breaks += self._kernel.breaks
        self.report.runs += len(started)
        self.report.worst_runs = max(self.report.worst_runs, watch.worst_runs, key=lambda worst: worst[0] / worst[1])
        self.report.highest_memory_kb = max(self.report.highest_memory_kb, watch.highest_memory_kb)

    def _violate(self, text: str) -> None:
        self.report.violations.append(text)
