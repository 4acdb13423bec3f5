"""A campaign: charges through several front ends while members are killed, stopped and cut off, from one seed."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sagetrestle.lab.faults import Link
from sagetrestle.lab.history import Findings
from sagetrestle.lab.load import Planned
from sagetrestle.lab.place import LabClass, Place
from sagetrestle.lab.processes import Rig
from sagetrestle.lab.scorer import ROOT
from sagetrestle.lab.translators import TranslatorRig

# Light work and long limits: the machine has few cores, and what may run when is the subject.
CLASSES = (
    LabClass("quick-check", 0.004, 0, 0.5, 0.5, 2.0),
    LabClass("paid-check", 0.008, 0, 0.5, 4.0, 5.0, worth=4.0, charge=True),
)
WINDOW_US = 30_000_000
GIVE_UP_S = 20.0  # of a window of 30 s, from the first try
CAPPED_GIVE_UP_S = 6.0  # where many are not to be served
TENANTS = """version = 1
[tenants.t]
rights = ["*"]
front_ends = [1]
cap = {{ charges = {}, window_s = 604800 }}
"""
FLEET = {"partitions": 16, "new": True}


@dataclass
class CampaignReport:
    """What came of one seed; times are seconds from a charge's first try to its result."""

    seed: int
    findings: Findings
    faults: Counter[str] = field(default_factory=Counter)
    took_s: list[float] = field(default_factory=list)
    cap: int = 0  # of all charges together; 0: none
    refused_epochs: int = 0  # commands that a kernel refused as their epoch was over
    runs: int = 0

    @property
    def over(self) -> int:
        """Return the charges that ran past the cap."""
        return max(0, self.runs - self.cap) if self.cap else 0

    def point(self, share: float) -> float:
        """Return a quantile of the times."""
        ordered = sorted(self.took_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


async def campaign(
    seed: int,
    size: int = 6,
    seconds: float = 12.0,
    rate: float = 15.0,
    fleet: bool = True,
    root: Path = ROOT,
    council: int = 3,
    zones: int = 1,
    stores: bool = True,
    kinds: tuple[str, ...] = (),
    servers: int = 0,
    cap: int = 0,
) -> CampaignReport:
    """Run one seed; ``kinds`` of faults, or all. With ``servers`` the members are translators, whose lists differ.

    With a ``cap`` all charges are one tenant's, who may spend so many; without a fleet each process counts its own.
    """
    rng = random.Random(seed)
    rows: dict[str, Any] = {**FLEET, **({"store": "council.db"} if stores else {})}
    with tempfile.TemporaryDirectory() as name:
        rows |= {"caps": True} if cap else {}
        more: dict[str, Any] = {
            "seed": seed,
            "root": root,
            "fleet": rows if fleet else None,
            "council": council,
            "zones": zones,
            "tenants": TENANTS.format(cap) if cap else "",
        }
        rig = (
            _translators(Path(name), size, servers, rng, more)
            if servers
            else Rig(Path(name), size, Place(cores=2, classes=CLASSES, servers=size, window_us=WINDOW_US), **more)
        )
        try:
            await rig.start()
            report = CampaignReport(seed, Findings(), cap=cap)
            trouble = asyncio.create_task(_trouble(rig, rng, report, seconds, kinds))
            await _load(rig, rng, report, seconds, rate)
            await trouble
            report.findings = rig.finished().check()
            kernels = [*(one.kernel for one in rig.machines.values()), *(kernel for _, kernel in rig.lost)]
            report.refused_epochs = sum(len(one.refused) for one in kernels)
            if isinstance(rig, TranslatorRig):
                report.refused_epochs = sum(one.refused_epochs for one in rig.servers.values())
            report.runs = len(rig.history.ran)
            return report
        finally:
            await rig.close()


def _translators(folder: Path, size: int, servers: int, rng: random.Random, more: dict[str, Any]) -> TranslatorRig:
    """Return translators of which each knows a part of the servers; those check tokens in two of three seeds."""
    names = [f"s{at}" for at in range(servers)]
    lists = {f"t{at}": rng.sample(names, rng.randint(1, servers)) for at in range(size)}
    return TranslatorRig(folder, size, servers, lists, WINDOW_US, checks_tokens=rng.random() < 0.67, **more)


async def _load(rig: Rig, rng: random.Random, report: CampaignReport, seconds: float, rate: float) -> None:
    start, at, tasks, number = time.monotonic(), 0.0, [], 0

    async def one(planned: Planned, first: int) -> None:
        began = time.monotonic()
        if (await rig.charge(planned, first, CAPPED_GIVE_UP_S if report.cap else GIVE_UP_S)).how == "served":
            report.took_s.append(time.monotonic() - began)

    while (at := at + rng.expovariate(rate)) < seconds:
        await asyncio.sleep(max(0.0, start + at - time.monotonic()))
        number += 1
        key = f"{report.seed}-{number}"
        body = f"applicant={key}\n" if isinstance(rig, TranslatorRig) else f"charge {key}"
        planned = Planned(at, number, "paid-check", "t", "f", body.encode(), key)
        tasks.append(asyncio.create_task(one(planned, rng.randrange(len(rig.callers)))))
        if rng.random() < 0.15:  # a second caller with the key at nearly the same moment
            tasks.append(asyncio.create_task(one(planned._replace(retry=True), rng.randrange(len(rig.callers)))))
    await asyncio.gather(*tasks)


async def _trouble(
    rig: Rig, rng: random.Random, report: CampaignReport, seconds: float, kinds: tuple[str, ...]
) -> None:
    """Make trouble for two thirds of the time, with a majority of members and of the council up; then mend it all."""
    start = time.monotonic()
    allowed = kinds or ("kill", "lose", "stop", "cut", "one-way", "loss", "heal", "restart")
    if isinstance(rig, TranslatorRig) and not kinds:
        allowed += ("server", "wire", "wire")
    tasks: list[asyncio.Task[Any]] = []
    while time.monotonic() - start < seconds * 0.66:
        await asyncio.sleep(rng.uniform(0.3, 1.0))
        kind = rng.choice(allowed)
        up = [name for name in rig.names if name not in rig.down]
        council = [name for name in rig.council if name in up]
        can = [name for name in up if name not in rig.council or len(council) - 1 > len(rig.council) // 2]
        if kind in ("kill", "lose", "stop") and (len(up) - 1 <= rig.size // 2 or not can):
            kind = "restart"
        if kind in ("kill", "lose"):
            name = rng.choice(can)
            await rig.kill(name)
            if kind == "lose":
                rig.lose(name)
        elif kind == "stop":
            name = rng.choice(can)
            rig.stop(name)
            tasks.append(asyncio.create_task(_later(rig, name, rng.uniform(0.4, 3.0))))
        elif kind == "restart":
            dead = [name for name in rig.names if rig.scorers[name].process.returncode is not None]
            if not dead:
                continue
            await rig.begin(rng.choice(dead))
        elif kind in ("server", "wire") and isinstance(rig, TranslatorRig):
            name = rng.choice(list(rig.servers))
            if kind == "server":
                tasks.append(asyncio.create_task(rig.servers[name].die(rng.uniform(0.1, 0.5))))
            else:
                wire = rig.wires.all[("all", name)]
                rng.choice((wire.stick, wire.reset, wire.cut, wire.silence))()
                tasks.append(asyncio.create_task(_mend(wire, rng.uniform(0.5, 3.0))))
        elif kind in ("cut", "one-way"):
            some = rng.sample(rig.names, rng.randint(1, max(1, rig.size // 3)))
            others = [name for name in (*rig.names, *(one.name for one in rig.callers)) if name not in some]
            hear = kind == "one-way" and rng.random() < 0.5
            rig.links.cut(some, others, hear=hear, said=kind == "one-way" and not hear)
            tasks.append(asyncio.create_task(_heal(rig, rng.uniform(0.5, 2.5))))
        elif kind == "loss":
            for link in rig.links.all.values():
                link.there.lose, link.there.repeat, link.there.jitter_s = 0.03, 0.03, 0.02
        else:
            rig.links.heal()
        report.faults[kind] += 1
    await asyncio.gather(*tasks)
    rig.links.heal()
    if isinstance(rig, TranslatorRig):
        rig.wires.heal()
    for name in rig.names:
        if rig.scorers[name].process.returncode is not None:
            await rig.begin(name)


async def _mend(wire: Link, wait_s: float) -> None:
    await asyncio.sleep(wait_s)
    wire.heal()


async def _later(rig: Rig, name: str, wait_s: float) -> None:
    await asyncio.sleep(wait_s)
    rig.go_on(name)


async def _heal(rig: Rig, wait_s: float) -> None:
    await asyncio.sleep(wait_s)
    rig.links.heal()
