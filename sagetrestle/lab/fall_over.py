"""The platform's rule on overload, checked by the stand-ins: runs on the cores, memory, and calls below.

Runs and calls count by their means over the spans of the settings, memory at each look.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

SAMPLE_INTERVAL_S = 0.005


class NodeLoad(NamedTuple):
    """What a node holds at one moment; ``calls`` includes those given up that linger at the dependency.

    ``speed_share`` is the present share of a cold node's speed.
    """

    runs_on_cores: int
    memory_kb: float
    calls: int
    speed_share: float = 1.0


class FallOverLimits(NamedTuple):
    """What a node and its part of the shared dependency bear."""

    cores: int
    overload_multiple: float  # runs on a core of a warm node, at most
    runs_span_s: float
    memory_kb: float
    calls: float
    calls_span_s: float

    @classmethod
    def from_settings(cls, settings: Mapping[str, Any]) -> FallOverLimits:
        """Read the limits from the settings that a scorer is told."""
        extra, rules = settings["extra"], settings["rules"]
        return cls(
            extra["cores"],
            rules["tip_multiple"],
            rules["tip_after"] / 1e6,
            extra["memory_kb"],
            extra.get("calls_out", float("inf")),
            extra.get("share_span", 5_000_000) / 1e6,
        )

    def runs(self, speed_share: float) -> float:
        """Return how many runs the cores bear at a share of their speed."""
        return self.cores * (1.0 + (self.overload_multiple - 1.0) * speed_share)


class RollingMean:
    """The mean over a span of a value that changes in steps, and the highest such mean so far."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._steps: deque[tuple[float, float, float]] = deque()  # when it ended, how long it was, the value
        self._sum = 0.0
        self._last: tuple[float, float] | None = None
        self.highest = 0.0

    @property
    def mean(self) -> float:
        """Return the mean over the span up to the last value; time before the first value counts as none."""
        return self._sum / self._span_s

    def add(self, now_s: float, value: float) -> None:
        """Note the value from now on."""
        if self._last is not None:
            length_s, held = now_s - self._last[0], self._last[1]
            self._steps.append((now_s, length_s, held))
            self._sum += length_s * held
        self._last = (now_s, value)
        while self._steps and self._steps[0][0] < now_s - self._span_s:
            _, length_s, held = self._steps.popleft()
            self._sum -= length_s * held
        self.highest = max(self.highest, self.mean)


@dataclass
class FallOverWatch:
    """Watches the load of one node; ``violations`` names each limit that it passed."""

    limits: FallOverLimits
    read_load: Callable[[], NodeLoad]
    highest_memory_kb: float = 0.0
    worst_runs: tuple[float, float] = (0.0, 1.0)  # the mean nearest to its limit or furthest beyond, and that limit
    _task: asyncio.Task[None] | None = field(default=None, repr=False)

    def __post_init__(self) -> None:
        """Begin without load."""
        self.runs, self.calls = RollingMean(self.limits.runs_span_s), RollingMean(self.limits.calls_span_s)

    def start(self) -> None:
        """Look at the load from now on."""
        self._task = asyncio.create_task(self._look_on())

    def stop(self) -> None:
        """Look no more."""
        if self._task is not None:
            self._task.cancel()

    async def _look_on(self) -> None:
        while True:
            self.look(time.monotonic())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def look(self, now_s: float) -> None:
        """Note the load at a moment."""
        load = self.read_load()
        self.runs.add(now_s, load.runs_on_cores)
        runs_limit = self.limits.runs(load.speed_share)
        if self.runs.mean / runs_limit > self.worst_runs[0] / self.worst_runs[1]:
            self.worst_runs = (self.runs.mean, runs_limit)
        self.calls.add(now_s, load.calls)
        self.highest_memory_kb = max(self.highest_memory_kb, load.memory_kb)

    @property
    def violations(self) -> list[str]:
        """Return what was more than the node bears."""
        rows = (
            ("runs on the cores", *self.worst_runs),
            ("KB of memory", self.highest_memory_kb, self.limits.memory_kb),
            ("calls", self.calls.highest, self.limits.calls),
        )
        return [f"{highest:.1f} {name}, {limit:.1f} at most" for name, highest, limit in rows if highest > limit]
