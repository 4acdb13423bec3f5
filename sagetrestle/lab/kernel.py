"""An emulated kernel: a few shared cores of known speed, and a record of all that ran on them."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

STEP_S = 0.004
WARM_AGE_MS = 3_600_000  # of a kernel that has long been warm
BOOKING_DELAY_S = 0.1  # from the writing of a request until its memory counts, unless it runs sooner
DEFAULT_REQUEST_KB = 24.5  # of a request that no front end told of


class ColdStart(NamedTuple):
    """How a cold kernel becomes warm: its share of full speed at the start, and the time until it has all of it."""

    share: float
    warm_within_s: float

    @classmethod
    def from_settings(cls, settings: Mapping[str, Any]) -> ColdStart:
        """Read it from the settings that a scorer is told."""
        return cls(settings["rules"]["cold_share"], settings["rules"]["warm_within"] / 1e6)


class Started(NamedTuple):
    """One run as the kernel was told of it; ``at`` is the monotonic clock's, in seconds."""

    call: str
    cls: str
    body: bytes
    at: float
    token: tuple[int, int, str] | None = None  # partition, epoch, owner


class Ended(NamedTuple):
    """The end of one run."""

    call: str
    how: str
    at: float


@dataclass
class _Run:
    left_s: float
    calls_at_s: list[float]  # of the work left, the next one last
    paused: bool = False
    calling: bool = False
    fenced: bool = False  # it has a token: what becomes of it is kept


class EmulatedKernel:
    """Runs requests on shared cores; with more of them running than cores, each gets its part.

    ``work_s`` is the work of every class, or that of each by its name; ``calls`` how many calls a run of a
    class makes. Work is spread evenly from half to one and a half times the mean, by the seed.
    """

    def __init__(
        self,
        cores: int = 2,
        work_s: float | Mapping[str, float] = 0.03,
        calls: Mapping[str, float] | None = None,
        seed: int = 1,
        spread: float = 0.0,
        cold_start: ColdStart | None = None,
    ) -> None:
        self._cold_start, self._started_at_s = cold_start, time.monotonic()
        self.cores, self._work_s, self._calls = cores, work_s, calls or {}
        self._rng, self._spread = random.Random(seed), spread
        self._runs: dict[str, _Run] = {}
        self.starts: list[Started] = []
        self.ends: list[Ended] = []
        self.preempted = asyncio.Event()
        self.serial, self.busy_s = 0, 0.0
        self.refused: list[Started] = []  # commands of an epoch that was over
        self._epochs: dict[int, int] = {}
        self._fates: dict[str, tuple[str, bytes]] = {}
        self._request_kb: dict[str, float] = {}
        self._written_at_s: dict[str, float] = {}  # of requests that are not over
        self._adopted: dict[str, list[tuple[asyncio.StreamWriter, int, int]]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._working: asyncio.Task[None] | None = None

    def request_written(self, id: str, held_kb: float) -> None:
        """Book the memory of a request that a front end writes."""
        self._request_kb[id] = held_kb
        self._written_at_s[id] = time.monotonic()

    def request_over(self, id: str) -> None:
        """Book no more memory for a request that was answered or given up, unless it runs."""
        self._written_at_s.pop(id, None)

    @property
    def runs_on_cores(self) -> int:
        """Return how many runs are on the cores."""
        return len(self._on_cores())

    @property
    def speed_share(self) -> float:
        """Return the present share of the full speed."""
        if self._cold_start is None:
            return 1.0
        warmth = (time.monotonic() - self._started_at_s) / self._cold_start.warm_within_s
        return min(1.0, self._cold_start.share + (1.0 - self._cold_start.share) * warmth)

    def memory_kb(self, run_factor: float) -> float:
        """Return the memory of the requests that are held, run, are paused or call."""
        latest_s = time.monotonic() - BOOKING_DELAY_S
        held_ids = [id for id, at_s in self._written_at_s.items() if at_s <= latest_s and id not in self._runs]
        held_kb = sum(self._request_kb[id] for id in held_ids)
        return held_kb + run_factor * sum(self._request_kb.get(id, DEFAULT_REQUEST_KB) for id in self._runs)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one link, in the place of the one before, or one that asks after runs. Runs go on without a link."""
        if self._working is None:
            self._working = asyncio.create_task(self._work())
        try:
            while line := await reader.readline():
                got = json.loads(line)
                if got["msg"] == "FENCE":
                    self._fence(writer, got["part"], got["epoch"], got["calls"])
                    continue
                if got["msg"] == "OPEN":
                    self._writer = writer
                self._take(got)
        except ConnectionError:
            pass  # a scorer that was killed
        writer.close()

    def end(self) -> None:
        """Lose all that runs, and do nothing more."""
        self._runs.clear()
        if self._working is not None:
            self._working.cancel()
        if self._writer is not None:
            self._writer.transport.abort()

    def _fence(self, asker: asyncio.StreamWriter, partition: int, epoch: int, calls: list[str]) -> None:
        """Refuse this partition's commands of an epoch before from now on, and tell what became of its runs."""
        if epoch < self._epochs.get(partition, 0):
            return
        self._epochs[partition] = epoch
        told = []
        for call in calls:
            if call in self._runs:
                self._runs[call].paused = False  # whoever paused it can not resume it any more
                self._adopted.setdefault(call, []).append((asker, partition, epoch))
            else:
                told.append((call, *self._fates.get(call, ("never", b""))))
        self._tell_fates(asker, partition, epoch, told)

    @staticmethod
    def _tell_fates(
        asker: asyncio.StreamWriter, partition: int, epoch: int, fates: list[tuple[str, str, bytes]]
    ) -> None:
        rows = [(call, how, base64.b64encode(blob).decode()) for call, how, blob in fates]
        asker.write(json.dumps({"msg": "FATES", "part": partition, "epoch": epoch, "fates": rows}).encode() + b"\n")

    def _take(self, got: dict[str, Any]) -> None:
        call = got.get("call", "")
        run = self._runs.get(call)
        match got["msg"]:
            case "OPEN":
                self._tell_start()
            case "SYSINFO":
                use = min(1.0, len(self._on_cores()) / self.cores)
                self._tell(msg="INFO", cookie=got["cookie"], stats=[use, len(self._on_cores()), 0.1, 5])
            case "SCHED" if run is None:
                token = got.get("fence")
                self._start(call, got["service"], base64.b64decode(got["blob"]), tuple(token) if token else None)
            case "RESCHED" if run is not None:
                run.paused = False
            case "PREEMPT" if run is not None and not run.paused and not run.calling:
                run.paused = True
                self.preempted.set()
                self._end(call, "aborted", b"")
            case "IODONE" if run is not None:
                run.calling = False

    def _tell_start(self) -> None:
        if self._cold_start is None:
            self._tell(msg="BOOTED", how="seasoned", duration=WARM_AGE_MS)
            return
        age_ms = int((time.monotonic() - self._started_at_s) * 1000)
        self._tell(msg="BOOTED", how="fresh", duration=age_ms)

    def _start(self, call: str, cls: str, body: bytes, token: tuple[int, int, str] | None) -> None:
        started = Started(call, cls, body, time.monotonic(), token)
        if token is not None:
            if token[1] < self._epochs.get(token[0], 0) or call in self._fates:
                self.refused.append(started)
                self._tell(msg="EINVAL", how="SCHED", call=call)
                return
            self._epochs[token[0]] = token[1]
        self.starts.append(started)
        mean = self._work_s[cls] if isinstance(self._work_s, Mapping) else self._work_s
        work = mean * self._rng.uniform(1 - self._spread, 1 + self._spread)
        often = self._calls.get(cls, 0.0)
        count = int(often) + (self._rng.random() < often % 1)
        calls = sorted(self._rng.uniform(0.1, 0.9) * work for _ in range(count))
        self._runs[call] = _Run(work, calls, fenced=token is not None)

    def _on_cores(self) -> list[str]:
        return [call for call, run in self._runs.items() if not run.paused and not run.calling]

    async def _work(self) -> None:
        before = time.monotonic()
        while True:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            running = self._on_cores()
            share = (now - before) * self.speed_share * min(1.0, self.cores / max(1, len(running)))
            before = now
            self.busy_s += share * len(running)
            for call in running:
                self._go_on(call, share)

    def _go_on(self, call: str, share: float) -> None:
        run = self._runs[call]
        run.left_s -= share
        if run.calls_at_s and run.left_s <= run.calls_at_s[-1]:
            run.calls_at_s.pop()
            run.calling = True
            self.serial += 1
            blob = base64.b64encode(self._call_body(call)).decode()
            self._tell(msg="IOREQ", serial=self.serial, call=call, blob=blob)
        elif run.left_s <= 0:
            del self._runs[call]
            if run.fenced:
                self._fates[call] = ("done", b"result of " + call.encode())
                for asker, partition, epoch in self._adopted.pop(call, ()):
                    self._tell_fates(asker, partition, epoch, [(call, *self._fates[call])])
            self._end(call, "done", b"result of " + call.encode())

    def _call_body(self, call: str) -> bytes:
        return b"call"

    def _end(self, call: str, how: str, blob: bytes) -> None:
        if how == "done":
            self.ends.append(Ended(call, how, time.monotonic()))
        self.serial += 1
        self._tell(msg="REAP", serial=self.serial, call=call, how=how, duration=1, blob=base64.b64encode(blob).decode())

    def _tell(self, **notice: object) -> None:
        if self._writer is not None:
            self._writer.write(json.dumps(notice).encode() + b"\n")


async def listen(serve: Callable[..., object]) -> tuple[asyncio.Server, int]:
    """Serve connections on a free port of loopback, and return the port."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)  # type: ignore[arg-type]
    return server, server.sockets[0].getsockname()[1]
