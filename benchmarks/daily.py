"""Upgrades under load, handing over, the second address: python -m benchmarks.daily [--seconds N] [--seeds N]."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from benchmarks.machine import ROOT, heading, spread
from sagetrestle.lab.clients import FrontEnd
from sagetrestle.lab.operator import call
from sagetrestle.lab.place import HERE, Place
from sagetrestle.lab.scorer import ScorerProcess
from sagetrestle.lab.upgrades import LIMITS, Caller, Report, Upgrades


PLATFORM = ROOT / ".venv" / "bin" / "python"  # made by `make build`


async def upgrades(seconds: float, seed: int, load: float) -> Report:
    """Upgrade every 4 s under this part of what one machine can do."""
    with tempfile.TemporaryDirectory() as folder:
        place = Place()
        rig = await Upgrades(Path(folder), place, seed).start()
        loading = asyncio.create_task(rig.load(load * place.capacity, seconds))
        while not loading.done():
            await asyncio.sleep(4)
            if not loading.done():
                await rig.upgrade()
        await loading
        await rig.stop()
        return rig.report


async def hand_over(keys: int) -> tuple[float, float]:
    """Return how long the keys took from the question to serving, and until all results were there, in ms."""
    with tempfile.TemporaryDirectory() as folder:
        place = Place(cores=64, memory_kb=1e7)
        rig = Upgrades(Path(folder), place, 1, 1)
        rig.scorer = old = await ScorerProcess(
            rig.folder,
            rig._kernel(),
            place.settings(),
            {},
            over={"management": f"{HERE}:0"},
            limits=LIMITS | {"sockets": 1024},
        ).start(2)
        ends = [await FrontEnd(old.ports["thrift"], at).connect() for at in range(8)]
        for at in range(0, keys, 64):
            await asyncio.gather(
                *(
                    ends[one % 8].ask(f"{at + one:016x}", "paid-check", b"x" * 200, f"k{at + one}")
                    for one in range(min(64, keys - at))
                )
            )
        for end in ends:
            end.writer.close()
        await rig.upgrade()
        asked, served = (_at(one, text) for one, text in ((old, "handing over"), (rig.scorer, "taken over")))
        gone = _at(rig.scorer, "the older process is gone")
        await rig.stop()
        return (served - asked) * 1000, (gone - asked) * 1000


def _at(scorer: ScorerProcess, text: str) -> float:
    """Return the time of day of a log line, in seconds."""
    line = next(one for one in scorer.log if text in one)
    hours, minutes, seconds = line.split()[0].split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


async def second_address(seconds: float, load: float, managed: bool, asks: bool = True) -> tuple[HdrHistogram, float]:
    """Return the answer times of the second address in us, and the processor time a request, in ms.

    Where it ``asks``, the figures are fetched 20 times a second.
    """
    with tempfile.TemporaryDirectory() as folder:
        place, taken = Place(), HdrHistogram(1, 60_000_000, 3)
        rig = Upgrades(Path(folder), place, 3)
        over = {"management": f"{HERE}:0"} if managed else {}
        rig.scorer = await ScorerProcess(
            rig.folder, rig._kernel(), place.settings(), {}, over=over, limits=LIMITS
        ).start(2 if managed else 1)
        rig.callers = [Caller(rig.scorer.ports["thrift"], number) for number in range(4)]
        before, until = rig.scorer.cpu_s(), time.monotonic() + seconds
        loading = asyncio.create_task(rig.load(load * place.capacity, seconds)) if load else None
        while time.monotonic() < until:
            if managed and asks:
                answered = await call(rig.scorer.ports["management"], "GET", "/api/telemetry")
                assert answered.status == 200
                taken.record_value(int(answered.took_s * 1e6))
            await asyncio.sleep(0.05)
        if loading:
            await loading
        spent = (rig.scorer.cpu_s() - before) * 1000 / max(1, rig.report.asked)
        await rig.stop()
        return taken, spent


def _all_but_cpu(seconds: float, seeds: int) -> None:
    for seed in range(1, seeds + 1):
        for load in (0.7, 1.3):
            got = asyncio.run(upgrades(seconds, seed, load))
            print(
                f"  upgrades every 4 s, {load:.0%} of capacity, seed {seed}: {len(got.ready_s)} upgrades, "
                f"{got.asked} requests, {dict(sorted(got.outcomes.items()))}, {got.doubled} answered twice, "
                f"{sum(got.key_runs.values())} charges run, {got.ran_twice()} twice; ready after "
                f"{spread(got.ready_s)} s, older gone {spread(got.exit_s)} s after SIGTERM; at most "
                f"{got.memory_kb / 1024:.0f} MB and {got.descriptors} descriptors together"
            )
    for keys in (0, 1_000, 5_000):
        serving, whole = asyncio.run(hand_over(keys))
        print(f"  {keys} keys: serving {serving:.0f} ms after the question, older one gone after {whole:.0f} ms")
    for load in (0.0, 1.3):
        taken, _ = asyncio.run(second_address(seconds / 2, load, True))
        print(
            f"  second address at {load:.0%}: p50 {taken.get_value_at_percentile(50) / 1000:.1f} p99 "
            f"{taken.get_value_at_percentile(99) / 1000:.1f} most {taken.get_max_value() / 1000:.1f} ms"
        )


@click.command()
@click.option("--seconds", default=24.0, show_default=True)
@click.option("--seeds", default=3, show_default=True)
@click.option("--only-cpu", is_flag=True)
def main(seconds: float, seeds: int, only_cpu: bool) -> None:
    """Print all measurements."""
    sys.stdout.reconfigure(line_buffering=True)  # type: ignore[union-attr]
    if PLATFORM.exists():
        ScorerProcess.python = str(PLATFORM)
    print(f"scorers run by {'the platform' if PLATFORM.exists() else 'this'} environment")
    print(heading("one scorer with 2 emulated cores; limits 80 MB and 384 descriptors"))
    if not only_cpu:
        _all_but_cpu(seconds, seeds)
    for turn in range(3):
        off = asyncio.run(second_address(seconds / 2, 0.7, False))[1]
        on = asyncio.run(second_address(seconds / 2, 0.7, True, False))[1]
        asked = asyncio.run(second_address(seconds / 2, 0.7, True))[1]
        print(
            f"  processor time a request, turn {turn + 1}: off {off:.2f}, on {on:.2f} (ratio {on / off:.2f}), "
            f"asked 20 times a second {asked:.2f} ms (ratio {asked / off:.2f})"
        )


if __name__ == "__main__":
    main()
