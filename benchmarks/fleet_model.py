"""The parts between processes by seeds, in one process each: python -m benchmarks.fleet_model --seeds 1000 --size 50.

The members are the product's; network, clocks, disks, kernels, servers and callers are the model's. Each seed checks at
every step that no charge ran twice and no partition has two owners, and that full service returns after the last fault.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import click

from benchmarks.machine import heading
from sagetrestle.ownership.values import FleetSettings
from tests.takeover.test_fleet_model import FleetModelTest
from tests.takeover.world import World


class SeedReport(NamedTuple):
    """What came of one seed; times in seconds, of the model and of this machine."""

    seed: int
    asked: int
    served: int
    ran: int
    faults: int
    hours: float
    took_s: float
    broken: str = ""


def one_seed(seed: int, size: int, council: int, servers: int, steps: int, records: bool) -> SeedReport:
    """Run one seed; translators where there are servers, every third of which check no tokens.

    With ``records`` members keep them, and most or all are killed at once, three times.
    """
    began = time.perf_counter()
    terms = FleetSettings(partitions=8, new=True, records=records)
    world = World(seed, size, council, terms, servers=servers, checks=seed % 3 > 0)
    asked, broken = 0, ""
    try:
        if world.run(30, world.ready):
            asked = FleetModelTest().campaign(world, steps)
            if records:
                FleetModelTest().returns(world)
        else:
            broken = "never ready"
    except AssertionError as error:
        broken = str(error)
    return SeedReport(
        seed,
        asked,
        len(world.served),
        sum(map(len, world.ran.values())),
        getattr(world, "faults", 0),
        world.now / 3.6e9,
        time.perf_counter() - began,
        broken,
    )


@click.command()
@click.option("--seeds", default=200, show_default=True)
@click.option("--first", default=1_000, show_default=True)
@click.option("--size", default=5, show_default=True)
@click.option("--council", default=3, show_default=True)
@click.option("--servers", default=0, show_default=True, help="New servers: the members are translators then.")
@click.option("--steps", default=40, show_default=True, help="Faults a seed.")
@click.option("--records", is_flag=True, help="Members keep records; most or all are killed at once.")
@click.option("--jobs", default=2, show_default=True)
def main(seeds: int, first: int, size: int, council: int, servers: int, steps: int, records: bool, jobs: int) -> None:
    """Run seeds, and print the sums; exit code 1 if anything was broken."""
    print(heading(f"{seeds} seeds of the model, {size} members, {servers} servers"), flush=True)
    total, broken, hours, took = Counter(), [], 0.0, 0.0
    with ProcessPoolExecutor(jobs) as pool:
        works = [
            pool.submit(one_seed, seed, size, council, servers, steps, records) for seed in range(first, first + seeds)
        ]
        for number, work in enumerate(works, 1):
            one = work.result()
            total += Counter(asked=one.asked, served=one.served, ran=one.ran, faults=one.faults)
            hours, took = hours + one.hours, took + one.took_s
            if one.broken:
                broken.append(one)
                print(f"  BROKEN seed {one.seed}: {one.broken}", flush=True)
            if number % max(1, seeds // 10) == 0:
                print(f"  {number} seeds, {dict(total)}, {hours:.1f} h of the model in {took:.0f} s", flush=True)
    print(
        f"  in all: {seeds} seeds, {dict(total)}, {hours:.1f} h of the model, {took:.0f} s of a core, "
        f"{len(broken)} broken"
    )
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
