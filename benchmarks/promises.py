"""Promises in memory, beside simpler ways: python -m benchmarks.promises [--seeds 5]. Prints tables and seeds.

A tenant has two regions; at some second the one it prefers turns slow, later it is well again. *Planned*: the fleet's
plan. *Nearest*: the preferred region always. *Alone*: each member goes by what it sees itself. *All-knowing*: from the
model's own timetable, without delay: what is possible.
"""

from __future__ import annotations

import os
import pickle
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import median

import click

from benchmarks.machine import heading
from sagetrestle.lab import memory
from sagetrestle.lab.capacity import Capacity
from sagetrestle.lab.picture import PictureWorld
from sagetrestle.lab.story import CallerTerms, Fault, Findings, Phase, Story
from sagetrestle.gossip import GossipStore
from sagetrestle.objectives.decider import EVALUATION_INTERVAL_US, ObjectiveDecider
from sagetrestle.objectives.values import ObjectiveConfig, Objective, Region, ServedCounts
from sagetrestle.traffic.region_selection import RegionSelector
from sagetrestle.takeover.gossip_kinds import KINDS, LevelRow
from sagetrestle.takeover.promises import PromiseParticipant

BASE = {"partitions": 8, "new": True, "verdicts": True, "overload": {}, "damping": {}}
SLOW_S, WELL_S, END_S, TARGET_MS, SHARE = 5, 25, 45, 150, 0.9
WAYS = ("planned", "nearest", "alone")


def story(way: str, seed: int, members: int = 4) -> Story:
    """Return a story of a region that turns four times slower for 20 s."""
    found = Story(
        members=members,
        servers=4,
        capacity=Capacity(4, 0.06),
        fleet=BASE,
        seed=seed,
        terms=CallerTerms(retries=0, clients=2, greedy=1, greed=0.98),
    )
    found.regions = {"near": ("s0", "s1"), "far": ("s2", "s3")}
    found.costs = {"near": 1.0, "far": 3.0}
    found.promises = [
        {
            "tenant": "front-1",
            "class": "quick-check",
            "share": SHARE,
            "target_ms": TARGET_MS,
            "window_s": 600,
            "regions": ["near"] if way == "nearest" else ["near", "far"],
        }
    ]
    found.phases = [Phase(END_S, 0.12 * found.bears)]
    found.faults = [Fault(SLOW_S, "slower", ("s0", "s1"), 4.0), Fault(WELL_S, "slower", ("s0", "s1"), 1.0)]
    return found


def play(way: str, seed: int) -> Findings:
    """Play one in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        done = subprocess.run(
            [sys.executable, "-B", "-m", "benchmarks.promises", "--one", way, folder],
            input=pickle.dumps(story(way, seed)),
            stdout=subprocess.PIPE,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": "0"},
        )
    return pickle.loads(done.stdout)


def table(seeds: int) -> list[str]:
    """Return how each way does, as medians over seeds."""
    jobs = [(way, seed) for way in WAYS for seed in range(1, seeds + 1)]
    with ThreadPoolExecutor(3) as pool:
        found = dict(zip(jobs, pool.map(lambda job: play(*job), jobs), strict=True))
    lines = [
        f"  {seeds} seeds; slow from {SLOW_S} to {WELL_S} s of {END_S}; {SHARE:.0%} within {TARGET_MS} ms",
        "  way          in time, all   while slow   s to 90% again     far before   far at the end",
    ]
    for way in WAYS:
        rows = [found[(way, seed)] for seed in range(1, seeds + 1)]
        lines.append(
            f"  {way:<12} {mid(rows, lambda one: kept(one, 0, END_S)):12.2f}"
            f" {mid(rows, lambda one: kept(one, SLOW_S, WELL_S)):12.2f} {mid(rows, steered_s):16.0f}"
            f" {mid(rows, lambda one: far(one, 0, SLOW_S)):23.2f}"
            f" {mid(rows, lambda one: far(one, END_S - 5, END_S)):22.2f}"
        )
    lines.append(f"  all-knowing  {1.0:12.2f} {1.0:12.2f} {0:16.0f} {0.0:23.2f} {0.0:22.2f}")
    return lines


def kept(one: Findings, start: int, end: int) -> float:
    """Return the tenant's share in time."""
    return one.seen.kept(0, TARGET_MS / 1000, start, end)[0]


def steered_s(one: Findings) -> float:
    """Return the seconds from the region's turning slow to the first two seconds in time at the promised share."""
    return next(
        (at - SLOW_S for at in range(SLOW_S + 1, WELL_S - 1) if kept(one, at, at + 2) >= SHARE), float(WELL_S - SLOW_S)
    )


def far(one: Findings, start: float, end: float) -> float:
    """Return the share of requests that the far region got."""
    counts = {name: sum(start <= at < end for at in each.at) for name, each in one.servers.items()}
    return (counts["s2"] + counts["s3"]) / max(1, sum(counts.values()))


def mid(rows: list[Findings], value) -> float:  # type: ignore[no-untyped-def]
    """Return the median."""
    return median(value(one) for one in rows)


def costs() -> list[str]:
    """Return what decisions and words cost."""
    regions = (Region("near", ("s0",)), Region("far", ("s1",)))
    many = ObjectiveConfig(
        regions,
        {
            (f"t{at}", "quick"): Objective(f"t{at}", "quick", 0.9, 100_000, 600_000_000, ("near", "far"))
            for at in range(10_000)
        },
    )
    steer, began = RegionSelector(many), time.perf_counter()
    for at in range(20_000):
        steer.choose(at, f"id{at}", f"t{at % 10_000}", "quick", True, ())
        steer.record_server(f"id{at}", "s0")
        steer.request_finished(at + 50_000, f"id{at}", True)
    each = (time.perf_counter() - began) / 20_000 * 1e6
    decider = ObjectiveDecider(many, GossipStore("d", 1, KINDS, 1))
    rows = [ServedCounts(f"t{at}", "quick", "near", 5, 0) for at in range(10_000)]
    began = time.perf_counter()
    decider.handle_counts(0, 0, 0, "a@1", rows)
    reported = time.perf_counter() - began
    began = time.perf_counter()
    decider.tick(EVALUATION_INTERVAL_US, EVALUATION_INTERVAL_US, lambda key: 1, lambda key: True)
    looked = time.perf_counter() - began
    found = [
        f"  {each:.1f} us a request to choose, note and count; 10,000 tenants at one decider: "
        f"{reported * 1e3:.0f} ms a report of all, {looked * 1e3:.0f} ms a look at all"
    ]
    for count in (4, 20, 1000):
        world = PictureWorld(count)
        for at in range(20):
            for name in world.names[:4]:  # deciders of regions
                world.all[name].publish(world.now, world.now, "level", name, LevelRow(1, at / 20, ()))
            world.beat()
        found.append(
            f"  {count} members, four regions' levels twice a second: {world.rows / count / 2:.0f} rows and "
            f"{world.messages / count / 2:.0f} messages a second a member"
        )
    return found


@click.command()
@click.option("--seeds", default=5, show_default=True)
@click.option("--one", nargs=2, default=None, hidden=True)
def main(seeds: int, one: tuple[str, str] | None) -> None:
    """Print the tables."""
    if one is not None:
        if one[0] == "alone":
            PromiseParticipant.passed = lambda self, now, unix, owns: []  # type: ignore[method-assign]
        found = memory.play(pickle.load(sys.stdin.buffer), Path(one[1]))
        sys.stdout.buffer.write(pickle.dumps(found))
        return
    print(heading("promises"), flush=True)
    for line in [*table(seeds), *costs()]:
        print(line, flush=True)


if __name__ == "__main__":
    main()
