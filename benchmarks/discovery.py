"""Drains, silence, and the core at large size: python -m benchmarks.discovery [--drains N] [--members N]."""

from __future__ import annotations

import asyncio
import gc
import random
import sys
import time
import tracemalloc

import click

from benchmarks.machine import heading
from sagetrestle.lab.discovery import drains, silence
from sagetrestle.membership.state_machine import (
    MemberAnswered,
    Membership,
    MembershipConfig,
    Probe,
    SourceChanged,
    SourceListed,
    Tick,
)
from sagetrestle.membership.values import Endpoint, Instance, Source


def instance(number: int, boot: int = 1) -> Instance:
    return Instance(f"n{number}", Endpoint("10.0.0.1", 1 + number % 65_000 + 65_536 * (number // 65_000)), boot=boot)


def large(members: int, changes: int, seconds: int) -> None:
    """Drive the core alone: so many changes a second of fake time, in steps of 10 ms, with all probes answered."""
    gc.collect()
    tracemalloc.start()
    core = Membership(MembershipConfig(probe_interval_us=1_000_000))
    before = tracemalloc.get_traced_memory()[0]
    core.step(0, SourceListed(Source.RECORDS, tuple(instance(at) for at in range(members))))
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    rng, now, spent, boots = random.Random(1), 0, 0.0, [1] * members
    for _ in range(seconds * 100):
        now += 10_000
        picked = rng.sample(range(members), changes // 100)
        for at in picked:
            boots[at] += 1
        event = SourceChanged(Source.RECORDS, tuple(instance(at, boots[at]) for at in picked))
        start = time.perf_counter()
        core.step(now, event)
        spent += time.perf_counter() - start
        for one in core.step(now, Tick()):
            if isinstance(one, Probe):
                core.step(now, MemberAnswered(one.name))
    start, steps = now, 0
    while len(core.queue):
        now, steps = now + 10_000, steps + 1
        core.step(now, Tick())
    wrong = sum(core.view.members[f"n{at}"].instance.boot != boots[at] for at in range(members))
    print(
        f"  {members} members, {changes} changes a second for {seconds} s: "
        f"{spent / (seconds * changes) * 1e6:.1f} us a change, {size / members:.0f} bytes a member, "
        f"agreed {(now - start) / 1000:.0f} ms after the flood ({steps} steps), {wrong} wrong"
    )


async def fleets(count: int, scorers: int, rate: float) -> None:
    for push, loss in ((True, 0.0), (True, 0.05), (False, 0.05)):
        got = await drains(scorers, count, rate, every_s=0.5, loss=loss, push=push)
        assert got.load is not None
        late = sorted(got.after_notice_s)
        print(
            f"  {scorers} scorers, {len(late)} drains, {'push' if push else 'poll'}, {loss:.0%} datagrams lost: "
            f"last new request {got.point(0.5):.3f} s (p50), {got.point(0.99):.3f} s (p99), {late[-1]:.3f} s "
            f"(most) after the notice; {got.lost} lost, {got.doubled} charges doubled; valid {got.load.valid}"
        )


async def silences(scorers: int, silent: int, rate: float, out_s: float) -> None:
    for kind in ("router", "ttl", "static"):
        got = await silence(kind, scorers, silent, rate, out_s)
        print(
            f"  {scorers} scorers, {silent} silent, records out for {out_s:g} s: {kind}: {got.in_time:.1%} in time, "
            f"{got.to_down} attempts sent to the silent, {got.doubled} charges doubled; valid {got.load.valid}"
        )


@click.command()
@click.option("--drains", "count", default=100, show_default=True)
@click.option("--scorers", default=14, show_default=True)
@click.option("--rate", default=80.0, show_default=True)
@click.option("--members", default=10_000, show_default=True)
@click.option("--part", type=click.Choice(["all", "core", "drains", "silence"]), default="all")
def main(count: int, scorers: int, rate: float, members: int, part: str) -> None:
    """Print all measurements."""
    sys.stdout.reconfigure(line_buffering=True)  # type: ignore[union-attr]
    print(heading(f"{rate:g} requests a second over the fleet"))
    if part in ("all", "core"):
        large(members, 10_000, 10)
    if part in ("all", "drains"):
        asyncio.run(fleets(count, scorers, rate))
    if part in ("all", "silence"):
        asyncio.run(silences(scorers, round(0.18 * scorers), rate, 24.0))


if __name__ == "__main__":
    main()
