"""Limits and verdicts of the fleet measured: python -m benchmarks.limits [--processes].

The model: how soon a verdict is known to all, how many messages that takes, wrongful convictions under bad links.
Memory and time a decision of limits. With ``--processes``: a pause heeded by all of 6, 12 and 20 translators, and
requests to a bad server with verdicts and without.
"""

from __future__ import annotations

import asyncio
import json
import random
import statistics
import tempfile
import time
import tracemalloc
from pathlib import Path

import click

from benchmarks.machine import heading
from sagetrestle.cli.fleet import _ask
from sagetrestle.lab.picture import PictureWorld
from sagetrestle.lab.load import Planned
from sagetrestle.lab.place import HERE
from sagetrestle.lab.translators import TranslatorRig
from sagetrestle.quota import CapHolder, Limit, CapGrant, decide_cap_grant
from sagetrestle.quota.rates import RateReport, RateGranter, RateHolder
from sagetrestle.health_decisions import REPORT_TTL_US, HealthDecisions, Subject, unhealthy_subjects
from tests.takeover.world import World

BAD = Subject("server", "s0", 1)


class Members:
    """Members that tell each other, beat by beat; zones dealt out."""

    def __init__(self, count: int, loss: float, seed: int, zones: int = 1) -> None:
        self.world = PictureWorld(count, seed * count, loss)
        self.names, self.beat = self.world.names, self.world.beat
        self.zoned = zones > 1
        self.all = {
            name: HealthDecisions(f"z{at % zones}" if zones > 1 else "", self.world.all[name])
            for at, name in enumerate(self.names)
        }
        self.world.also = [
            lambda now, one=one: one.tick(now, now)  # type: ignore[misc]
            for one in self.all.values()
        ]

    @property
    def now(self) -> int:
        """Return the time in the model."""
        return self.world.now

    @property
    def messages(self) -> int:
        """Return how many were sent."""
        return self.world.messages


def spread(count: int, loss: float, seeds: int) -> str:
    """Return how soon a conviction and an order are known, over all members and seeds."""
    times: list[float] = []
    messages = 0
    for seed in range(seeds):
        world = Members(count, loss, seed)
        for name in world.names[:2]:
            world.all[name].record_outcomes(0, 0, BAD, 0, 9)
        known: dict[str, float] = {}
        while len(known) < count and world.now < 30_000_000:
            for name, one in world.all.items():
                if name not in known and BAD in unhealthy_subjects(one.reports.values(), world.now, REPORT_TTL_US):
                    known[name] = world.now / 1e6
            world.beat()
        times += known.values()
        messages += world.messages
    times.sort()
    return (
        f"  {count} members, {loss:.0%} lost: convicted by all p50 {times[len(times) // 2]:.1f} s, "
        f"p99 {times[int(0.99 * (len(times) - 1))]:.1f} s, most {times[-1]:.1f} s; "
        f"{messages / seeds / count:.0f} messages a member"
    )


def wrongful(runs: int) -> str:
    """Return convictions of good servers in runs in which one member's, or one zone's, links are bad."""
    found = bad = bad_found = 0
    for seed in range(runs):
        rng = random.Random(seed)
        world = Members(9, 0.1, seed, zones=3)
        zone = seed % 2 == 1
        blind = {name for at, name in enumerate(world.names) if at % 3 == 0} if zone else {"m0"}
        servers = [Subject("server", f"s{at}", 1) for at in range(6)]
        really = servers[5] if rng.random() < 0.5 else None
        wrong: set[Subject] = set()
        right = False
        for _ in range(80):
            for name, one in world.all.items():
                for server in rng.sample(servers, 3):
                    fails = server == really or name in blind and server != servers[4]
                    one.record_outcomes(world.now, world.now, server, 0 if fails else 2, 2 if fails else 0)
            world.beat()
            for one in world.all.values():
                judged = unhealthy_subjects(one.reports.values(), world.now, REPORT_TTL_US, world.zoned)
                wrong |= judged - {really}
                right = right or really in judged
        found += bool(wrong)
        bad += really is not None
        bad_found += really is not None and right
    return (
        f"  {runs} runs with a bad link of a member or a zone: a good server convicted in {found}, "
        f"the one that was bad in {bad_found} of {bad}"
    )


def memory(tenants: int) -> str:
    """Return what one limit and one rate of each of so many tenants take, and how long a decision."""
    tracemalloc.start()
    holder, rates, granter = CapHolder(), RateHolder(), RateGranter(0.01)
    began = time.perf_counter()
    for at in range(tenants):
        limit = Limit(f"tenant-{at}", 86_400_000_000, 20_000)
        holder.take(0, limit, 500, "x")
        holder.apply_grant(0, limit.name, 1, 5, 495)
        holder.take(0, limit, 500, "x")
    capped = tracemalloc.get_traced_memory()[0]
    for at in range(tenants):
        rates.take(0, f"tenant-{at}", 20.0, 6)
        granter.handle_report(0, -10_000_000, "m1@1", RateReport(f"tenant-{at}", 1, 20.0, 1.0, 0.0))
    rated = tracemalloc.get_traced_memory()[0] - capped
    tracemalloc.stop()
    took = time.perf_counter() - began
    return (
        f"  {tenants} tenants: {capped / tenants:.0f} bytes a cap, {rated / tenants:.0f} a rate with its granter "
        f"({took * 1e6 / tenants / 4:.1f} µs a step, traced)"
    )


def locked(seeds: int, share: float, cap: int = 600, size: int = 6) -> str:
    """Return what of a cap can not be used while a share of the members is cut off, and once they are back."""
    during, after = [], []
    for seed in range(seeds):
        world = World(seed, size, cap=cap)
        assert world.run(30, world.ready)
        number = 0

        def ask(count: int, names: list[str], world: World = world) -> None:
            nonlocal number
            for _ in range(count):
                number += 1
                world.members[world.rng.choice(names)].unit(f"x{number}")

        for _ in range(60):
            ask(4, list(world.names))
            world.run(0.05)
        out = set(world.names[size - round(share * size) :])
        world.part((a, b) for a in world.names for b in world.names if (a in out) != (b in out))
        before = sum(world.spent.values())
        for _ in range(200):
            ask(12, [name for name in world.names if name not in out])
            world.run(0.05)
        during.append((cap - sum(world.spent.values())) / cap)
        world.heal()
        for _ in range(200):
            ask(12, list(world.names))
            world.run(0.05)
        after.append((cap - sum(world.spent.values())) / cap)
        assert before < cap
    return (
        f"  {share:.0%} of {size} members cut off: of a cap of {cap}, {statistics.median(during):.1%} can not be "
        f"used by the others at the median and {max(during):.1%} at most; once they are back {max(after):.1%}"
    )


def pace(count: int = 100_000) -> str:
    """Return the time of one decision of each kind, without tracing."""
    holder, rates, limit = CapHolder(), RateHolder(), Limit("t", 86_400_000_000, 20_000)
    holder.take(0, limit, count + 1, "x")
    holder.apply_grant(0, limit.name, 1, count + 1, 0)
    rows = {f"m{at}@1": CapGrant(3, 10) for at in range(6)}
    found = []
    for name, act in (
        ("unit taken", lambda: holder.take(0, limit, count + 1, "x")),
        ("rate asked", lambda: rates.take(0, "t", 1e9, 6)),
        ("grant decided", lambda: decide_cap_grant(rows, "m0@1", 3, 10, 1, 1_000, 6)),
    ):
        began = time.perf_counter()
        for _ in range(count // 10):
            act()
        found.append(f"{name} {(time.perf_counter() - began) * 1e7 / count:.2f} µs")
    return "  " + ", ".join(found)


async def paused(size: int, rounds: int) -> str:
    """Return how soon an operator's order is heeded by all of so many processes."""
    with tempfile.TemporaryDirectory() as name:
        rig = TranslatorRig(Path(name), size, servers=1, fleet={"partitions": 16, "new": True})
        try:
            await rig.start()
            times = []
            for number in range(rounds):
                word, text = (("is on again", "off"), ("is paused", "on"))[(number + 1) % 2]
                order = {
                    "kind": "class",
                    "name": "quick-check",
                    "on": text == "on",
                    "seconds": 0,
                    "who": f"w{number}",
                    "why": "drill",
                }
                at = rig.names[number % size]
                began = time.monotonic()
                await _ask("lab", at, (HERE, rig.scorers[at].ports["fleet"]), "order", json.dumps(order))
                left = set(rig.names)
                while left and time.monotonic() - began < 20:
                    for one in list(left):
                        if rig.scorers[one].log_has(f"{word} by w{number}: drill"):
                            times.append(time.monotonic() - began)
                            left.discard(one)
                    await asyncio.sleep(0.005)
            times.sort()
            return (
                f"  {size} processes, {rounds} orders: heeded p50 {times[len(times) // 2]:.2f} s, "
                f"p99 {times[int(0.99 * (len(times) - 1))]:.2f} s, most {times[-1]:.2f} s"
            )
        finally:
            await rig.close()


async def bad_server(verdicts: bool, seed: int, size: int = 6, seconds: float = 4.0, rate: float = 60.0) -> int:
    """Return the requests that a server got that fails all of them."""
    with tempfile.TemporaryDirectory() as name:
        fleet = {"partitions": 16, "new": True, "verdicts": verdicts}
        rig = TranslatorRig(Path(name), size, servers=4, fleet=fleet, seed=seed)
        try:
            await rig.start()
            rig.servers["s0"].faults.fail_share = 1.0
            tasks, until, number = [], time.monotonic() + seconds, 0
            while time.monotonic() < until:
                number += 1
                one = Planned(0.0, number, "quick-check", "t", "f", f"applicant=R{number}\n".encode(), None)
                tasks.append(asyncio.create_task(rig.callers[number % 2].sender.send(one)))
                await asyncio.sleep(1 / rate)
            await asyncio.gather(*tasks)
            return rig.servers["s0"].requests
        finally:
            await rig.close()


@click.command()
@click.option("--processes", is_flag=True, help="Real processes as well.")
def main(processes: bool) -> None:
    """Print all of it."""
    print(heading("limits and verdicts"), flush=True)
    for count in (6, 20, 200, 1_000):
        for loss in (0.0, 0.2):
            print(spread(count, loss, 10 if count < 1_000 else 2), flush=True)
    print(wrongful(100), flush=True)
    for share in (1 / 6, 1 / 3, 1 / 2):
        print(locked(10, share), flush=True)
    print(pace(), flush=True)
    for tenants in (100, 10_000, 100_000):
        print(memory(tenants), flush=True)
    if processes:
        for size in (6, 12, 20):
            print(asyncio.run(paused(size, 20)), flush=True)
        for verdicts in (False, True):
            got = [asyncio.run(bad_server(verdicts, seed)) for seed in (1, 2, 3)]
            print(
                f"  a bad server of 4 behind 6 translators, verdicts {'on' if verdicts else 'off'}: "
                f"{got} requests to it in 4 s",
                flush=True,
            )


if __name__ == "__main__":
    main()
