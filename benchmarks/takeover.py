"""What the fleet costs and how soon a lost owner's work is answered: python -m benchmarks.takeover.

The same machine, load and seed with the fleet off and on, in turn; medians over the rounds.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from benchmarks.machine import heading
from sagetrestle.lab.campaign import FLEET, WINDOW_US
from sagetrestle.lab.load import plan, run
from sagetrestle.lab.place import LabClass, Place
from sagetrestle.lab.processes import Rig, charge

CLASSES = (LabClass("quick-check", 0.002, 0, 0.5, 0.5, 2.0),
           LabClass("paid-check", 0.002, 0, 0.5, 4.0, 5.0, worth=4.0, charge=True))


async def rig_of(folder: Path, size: int, seed: int, fleet: bool, work_s: float = 0.002) -> Rig:
    classes = tuple(LabClass(one.name, work_s, 0, one.share, one.aim_s, one.limit_s, one.worth, one.charge)
                    for one in CLASSES)
    place = Place(cores=4, classes=classes, servers=size, window_us=WINDOW_US)
    return await Rig(folder, size, place, seed=seed, fleet=dict(FLEET) if fleet else None,
                     relays=False).start()


async def cost(size: int, rate: float, seconds: float, seed: int, fleet: bool) -> dict[str, float]:
    """Return latencies in ms by class, and CPU in ms a request."""
    with tempfile.TemporaryDirectory() as name:
        rig = await rig_of(Path(name), size, seed, fleet)
        try:
            sender = rig.callers[0].sender
            before = sum(one.cpu_s() for one in rig.scorers.values())
            planned = plan(CLASSES, rate, seconds, ["t"], ["f"], seed)
            report = await run(planned, sender.send, {one.name: one.aim_s for one in CLASSES})
            used = sum(one.cpu_s() for one in rig.scorers.values()) - before
            found = {"cpu ms": 1000 * used / len(planned), "served": sum(
                one["served"] for one in report.outcomes.values()) / len(planned)}
            for cls in CLASSES:
                histogram = report.latency.get(cls.name) or HdrHistogram(1, 60_000_000, 3)
                for point in (50, 99):
                    found[f"{cls.name} p{point} ms"] = histogram.get_value_at_percentile(point) / 1000
            return found
        finally:
            await rig.close()


async def kills(size: int, count: int, seed: int) -> list[float]:
    """Return the seconds from each kill of an owner to the answer of a charge that it held."""
    took = []
    for number in range(count):
        with tempfile.TemporaryDirectory() as name:
            rig = await rig_of(Path(name), size, seed + number, True, work_s=0.4)
            try:
                owner = rig.callers[0].router.router.owner("K")
                asked = asyncio.create_task(rig.charge(charge("K")))
                while not any(one.kernel.starts for one in rig.machines.values()):
                    await asyncio.sleep(0.005)
                killed = time.monotonic()
                await rig.kill(owner)
                if (await asked).how == "served":
                    took.append(time.monotonic() - killed)
                assert not rig.finished().check().broken
            finally:
                await rig.close()
    return sorted(took)


@click.command()
@click.option("--size", default=3, show_default=True)
@click.option("--rate", default=60.0, show_default=True)
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--rounds", default=3, show_default=True)
@click.option("--kills", "count", default=10, show_default=True)
def main(size: int, rate: float, seconds: float, rounds: int, count: int) -> None:
    """Print both."""
    print(heading(f"{size} members, {rate:g} requests a second, half of them charges"))
    found: dict[bool, list[dict[str, float]]] = {False: [], True: []}
    for number in range(rounds):
        for fleet in (False, True):
            found[fleet].append(asyncio.run(cost(size, rate, seconds, 1 + number, fleet)))
    for name in found[True][0]:
        off, on = (statistics.median(one[name] for one in found[fleet]) for fleet in (False, True))
        print(f"  {name}: off {off:.2f}, on {on:.2f}, difference {on - off:+.2f}, ratio {on / max(off, 1e-9):.2f}")
    if count:
        took = asyncio.run(kills(size, count, 100))
        print(f"  kill of an owner to the answer of its charge, {len(took)} of {count} served: "
              f"p50 {took[len(took) // 2]:.2f} s, most {took[-1]:.2f} s")


if __name__ == "__main__":
    main()
