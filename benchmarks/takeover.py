"""What the fleet costs and how soon a lost owner's work is answered: python -m benchmarks.takeover.

The same machine, load and seed with the fleet off and on, in turn; medians over the rounds.
"""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import tempfile
import time
import tracemalloc
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from benchmarks.machine import heading
from sagetrestle.lab.campaign import FLEET, WINDOW_US
from sagetrestle.lab.load import plan, run
from sagetrestle.lab.place import LabClass
from sagetrestle.lab.place import Place as LabPlace
from sagetrestle.lab.processes import Rig, charge
from sagetrestle.lab.scorer import ROOT
from sagetrestle.ownership.values import FleetMap, FleetSettings, Origin, MemberInfo, PartitionAssignment
from sagetrestle.recovery.effects import EffectRecord, RecordKind
from sagetrestle.takeover.effect_log import EffectLog, FenceKernel, AttemptInfo, pack_attempt
from sagetrestle.takeover.messages import EpochBase, SnapshotChunk, RecordsAck, AppendRecords

CLASSES = (
    LabClass("quick-check", 0.002, 0, 0.5, 0.5, 2.0),
    LabClass("paid-check", 0.002, 0, 0.5, 4.0, 5.0, worth=4.0, charge=True),
)


async def rig_of(folder: Path, size: int, seed: int, fleet: bool, work_s: float = 0.002) -> Rig:
    classes = tuple(
        LabClass(one.name, work_s, 0, one.share, one.aim_s, one.limit_s, one.worth, one.charge) for one in CLASSES
    )
    place = LabPlace(cores=4, classes=classes, servers=size, window_us=WINDOW_US)
    return await Rig(folder, size, place, seed=seed, fleet=dict(FLEET) if fleet else None, relays=False).start()


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
            found = {
                "cpu ms": 1000 * used / len(planned),
                "served": sum(one["served"] for one in report.outcomes.values()) / len(planned),
            }
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


async def alone(root: Path, rate: float, seconds: float, seed: int) -> dict[str, float]:
    """Return what one scorer without a fleet takes: start-up in ms, CPU in ms a request, resident memory in KiB."""
    with tempfile.TemporaryDirectory() as name:
        place = LabPlace(cores=4, classes=CLASSES, window_us=WINDOW_US)
        rig = Rig(Path(name), 1, place, fronts=1, seed=seed, root=root)
        began = time.monotonic()
        await rig.start()
        found = {"start-up ms": 1000 * (time.monotonic() - began)}
        try:
            scorer = rig.scorers["n0"]
            found["start-up cpu ms"] = 1000 * scorer.cpu_s()
            before = scorer.cpu_s()
            planned = plan(CLASSES, rate, seconds, ["t"], ["f"], seed)
            await run(planned, rig.callers[0].sender.send, {one.name: one.aim_s for one in CLASSES})
            return found | {
                "cpu ms a request": 1000 * (scorer.cpu_s() - before) / len(planned),
                "resident KiB": scorer.memory_kb(),
            }
        finally:
            await rig.close()


def against(revision: str, rounds: int, rate: float, seconds: float) -> None:
    """Compare this tree, off, with an earlier revision, in turn."""
    with tempfile.TemporaryDirectory() as name:
        root = Path(name) / "tree"
        subprocess.run(["git", "worktree", "add", "-q", "--detach", str(root), revision], cwd=ROOT, check=True)
        try:
            found: dict[Path, list[dict[str, float]]] = {root: [], ROOT: []}
            for number in range(rounds):
                for tree in (root, ROOT):
                    found[tree].append(asyncio.run(alone(tree, rate, seconds, 1 + number)))
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(root)], cwd=ROOT, check=True)
    for what in found[ROOT][0]:
        old, new = (statistics.median(one[what] for one in found[tree]) for tree in (root, ROOT))
        print(f"  off, {what}: {revision} {old:.2f}, now {new:.2f}, ratio {new / old:.3f}")


def held(keys: int) -> None:
    """Print what it takes to go on with a member's keys, all of them in hand, in the next owner's process."""
    me, other, third = "n1@1", "n0@1", "n2@1"
    places = tuple(MemberInfo(id, kernel="127.0.0.1:1") for id in (me, other, third))
    terms = FleetSettings(partitions=64)
    one = EffectLog(me, terms, WINDOW_US)
    one.apply_map(
        0, 0, FleetMap(1, tuple(PartitionAssignment(5, other, (me, third), (), Origin.NEW) for _ in range(64)), places)
    )
    tracemalloc.start()
    for at in range(64):
        one.handle_base(0, 0, other, EpochBase(at, one.replicas[at].assignment, -1, 0))
        one.handle_chunk(other, SnapshotChunk(at, 5, 0, 0, 1, ()))
        for first in range(0, keys // 64, 256):
            entries = tuple(
                EffectRecord(
                    RecordKind.INTENT,
                    f"paid-check\0t\0key-{at}-{number:012d}",
                    0,
                    other,
                    0,
                    pack_attempt(
                        AttemptInfo(f"{at:04x}{number:012x}", "paid-check", "t", f"key-{at}-{number:012d}", b"d" * 16)
                    ),
                )
                for number in range(first, min(first + 256, keys // 64))
            )
            one.handle_records(other, AppendRecords(at, 5, first, entries))
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    count = sum(len(replica.table.effects) for replica in one.replicas.values())
    began, longest = time.perf_counter(), 0.0
    decisions = one.apply_map(
        1, 1, FleetMap(2, tuple(PartitionAssignment(6, me, (third,), (), Origin.KEPT) for _ in range(64)), places)
    )
    took = time.perf_counter() - began
    runs = sum(len(what.runs) for what in decisions if isinstance(what, FenceKernel))
    for at in range(64):
        before = time.perf_counter()
        one.handle_ack(2, third, RecordsAck(at, 6, -1))
        longest = max(longest, time.perf_counter() - before)
    print(
        f"  {count} keys in hand: {size / count:.0f} bytes a key, taken over in {took:.2f} s with {runs} asked "
        f"after; a copy of a partition's {count // 64} begun in {longest * 1000:.0f} ms at most"
    )


@click.command()
@click.option("--size", default=3, show_default=True)
@click.option("--rate", default=60.0, show_default=True)
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--rounds", default=3, show_default=True)
@click.option("--kills", "count", default=10, show_default=True)
@click.option("--against", "revision", help="Compare the scorer without a fleet with an earlier revision, no more.")
def main(size: int, rate: float, seconds: float, rounds: int, count: int, revision: str | None) -> None:
    """Print both."""
    if revision:
        print(heading(f"one scorer, off, {rate:g} requests a second, {rounds} rounds in turn"))
        against(revision, rounds, rate, seconds)
        return
    print(heading(f"{size} members, {rate:g} requests a second, half of them charges"))
    held(100_000)
    found: dict[bool, list[dict[str, float]]] = {False: [], True: []}
    for number in range(rounds):
        for fleet in (False, True):
            found[fleet].append(asyncio.run(cost(size, rate, seconds, 1 + number, fleet)))
    for name in found[True][0]:
        off, on = (statistics.median(one[name] for one in found[fleet]) for fleet in (False, True))
        print(f"  {name}: off {off:.2f}, on {on:.2f}, difference {on - off:+.2f}, ratio {on / max(off, 1e-9):.2f}")
    if count:
        took = asyncio.run(kills(size, count, 100))
        print(
            f"  kill of an owner to the answer of its charge, {len(took)} of {count} served: "
            f"p50 {took[len(took) // 2]:.2f} s, most {took[-1]:.2f} s"
        )


if __name__ == "__main__":
    main()
