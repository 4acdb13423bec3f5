"""Open-loop load: arrivals are drawn ahead and wait for no answer; latency counts from the intended time.

A generator that falls behind its own schedule says so in its report, and past a bound the run is not valid.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from sagetrestle.lab.place import LabClass

LAG_BOUND_S = 0.25  # at the 99th percentile; beyond it what was measured is not what was asked for
LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3


class Planned(NamedTuple):
    """One request of the plan: when it is to be sent (seconds from the start), and what it is.

    ``number`` tells requests apart; tries of one have the same, and one key.
    """

    at_s: float
    number: int
    cls: str
    tenant: str
    front: str
    body: bytes
    key: str | None
    retry: bool = False


class Outcome(NamedTuple):
    """What became of a planned request: served, refused or failed, and the status where the wire has one."""

    how: str
    status: int = 0


Send = Callable[[Planned], Awaitable[Outcome]]


@dataclass
class LoadReport:
    """What a run of load came to."""

    outcomes: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    statuses: Counter[int] = field(default_factory=Counter)
    latency: dict[str, HdrHistogram] = field(default_factory=dict)
    lag: HdrHistogram = field(default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS))
    in_time: Counter[str] = field(default_factory=Counter)
    results: list[tuple[Planned, Outcome]] = field(default_factory=list)

    @property
    def valid(self) -> bool:
        """Tell whether the generator kept to its schedule."""
        return self.lag.get_value_at_percentile(99) <= LAG_BOUND_S * 1e6

    def note(self, one: Planned, outcome: Outcome, lag_s: float, took_s: float, aim_s: float) -> None:
        """Count one request; ``took_s`` is from its intended time."""
        self.results.append((one, outcome))
        self.outcomes[one.cls][outcome.how] += 1
        self.statuses[outcome.status] += 1
        self.lag.record_value(max(LOWEST_US, int(lag_s * 1e6)))
        if outcome.how == "served":
            histogram = self.latency.setdefault(one.cls, HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS))
            histogram.record_value(min(HIGHEST_US, max(LOWEST_US, int(took_s * 1e6))))
            self.in_time[one.cls] += took_s <= aim_s


def plan(
    classes: tuple[LabClass, ...],
    rate: float,
    seconds: float,
    tenants: list[str],
    fronts: list[str],
    seed: int,
    retries: float = 0.0,
    retry_after_s: float = 0.4,
) -> list[Planned]:
    """Draw a Poisson plan of ``rate`` first tries a second; a share of the charges comes again, marked."""
    rng = random.Random(seed)
    found: list[Planned] = []
    shares = [cls.share for cls in classes]
    at, number = rng.expovariate(rate), 0
    while at < seconds:
        number += 1
        cls = rng.choices(classes, shares)[0]
        tenant = rng.choice(tenants)
        body = f"{'charge' if cls.charge else 'read'} {number} of {tenant}".encode()
        key = f"{seed:x}-{number:x}" if cls.charge else None
        first = Planned(at, number, cls.name, tenant, rng.choice(fronts), body, key)
        found.append(first)
        if cls.charge and rng.random() < retries:
            later = at + retry_after_s * rng.uniform(0.1, 1.0)
            found.append(first._replace(at_s=later, front=rng.choice(fronts), retry=True))
        at += rng.expovariate(rate)
    return sorted(found)


async def run(
    planned: list[Planned], send: Send, aims: dict[str, float], each: Callable[[LoadReport], None] | None = None
) -> LoadReport:
    """Send a plan on time, whatever comes back, and report once all was answered."""
    report, start = LoadReport(), time.monotonic()
    tasks = []
    for one in planned:
        wait = start + one.at_s - time.monotonic()
        if wait > 0:
            await asyncio.sleep(wait)
        tasks.append(asyncio.create_task(_one(one, start + one.at_s, send, report, aims)))
        if each is not None:
            each(report)
    await asyncio.gather(*tasks)
    return report


async def _one(one: Planned, intended: float, send: Send, report: LoadReport, aims: dict[str, float]) -> None:
    lag = time.monotonic() - intended
    try:
        outcome = await send(one)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        outcome = Outcome("lost")
    report.note(one, outcome, lag, time.monotonic() - intended, aims[one.cls])


def rows(report: LoadReport) -> Iterator[tuple[str, ...]]:
    """Return a row a class: asked, served, in time, refused, failed, lost, and percentiles in ms."""
    for cls, counts in sorted(report.outcomes.items()):
        histogram = report.latency.get(cls)
        points = [f"{histogram.get_value_at_percentile(at) / 1000:.0f}" if histogram else "-" for at in (50, 95, 99)]
        ends = [str(counts[how]) for how in ("refused", "denied", "failed", "lost")]
        asked, served, timely = sum(counts.values()), counts["served"], report.in_time[cls]
        yield (cls, str(asked), str(served), str(timely), *ends, *points)
