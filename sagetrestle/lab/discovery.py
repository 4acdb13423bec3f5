"""Two experiments on discovery: drains under load, and silence while the records are out."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from sagetrestle.lab.fleet import Fleet, reactor_here
from sagetrestle.lab.load import LoadReport, plan, run
from sagetrestle.lab.place import LabClass, Place
from sagetrestle.lab.routed import Chooser, ListChooser, RoutedSender, RouterChooser
from sagetrestle.membership.files import read_discovery
from sagetrestle.membership.values import Endpoint
from sagetrestle.net.program.discovery import DiscoveryConfig, MembershipHost
from sagetrestle.router import Router

# Light work: the machine has few cores, and routing is the subject.
CLASSES = (
    LabClass("quick-check", 0.010, 0, 0.8, 0.5, 2.0),
    LabClass("paid-check", 0.015, 0, 0.2, 1.0, 5.0, worth=4.0, charge=True),
)


@dataclass
class DrainReport:
    """Times in seconds from a notice to the last new request sent to that scorer; below 0: none came after."""

    after_notice_s: list[float] = field(default_factory=list)
    load: LoadReport | None = None
    lost: int = 0
    doubled: int = 0

    def point(self, share: float) -> float:
        """Return a quantile of the times."""
        ordered = sorted(max(0.0, one) for one in self.after_notice_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def drains(
    size: int, count: int, rate: float, every_s: float, loss: float = 0.0, push: bool = True, seed: int = 1
) -> DrainReport:
    """Drain and restart one scorer after another under load."""
    with tempfile.TemporaryDirectory() as name:
        fleet = await Fleet(Path(name), size, Place(cores=2, classes=CLASSES, servers=size), seed=seed).start()
        host = None
        try:
            fleet.dns.faults.loss = loss
            host, chooser = await product(fleet, push, seed)
            sender = RoutedSender(chooser, fleet, seed)
            report = DrainReport()
            planned = plan(CLASSES, rate, count * every_s + 4.0, ["t"], ["f"], seed, retries=0.2)
            rolling = asyncio.create_task(_roll(fleet, sender, report, count, every_s))
            report.load = await run(planned, sender.send, {one.name: one.aim_s for one in CLASSES})
            await rolling
            report.lost = sum(counts["lost"] for counts in report.load.outcomes.values())
            report.doubled = _doubled(fleet)
            return report
        finally:
            if host is not None:
                host.stop()
            await fleet.close()


async def _roll(fleet: Fleet, sender: RoutedSender, report: DrainReport, count: int, every_s: float) -> None:
    async def one(name: str) -> None:
        at = time.monotonic()
        await fleet.drain(name)
        report.after_notice_s.append(sender.sent.last_new.get(name, at) - at)
        await fleet.begin(name)

    await asyncio.sleep(1.5)
    tasks = []
    for number in range(count):
        while len(fleet.down) >= max(1, fleet.size // 2):
            await asyncio.sleep(0.05)
            for task in tasks:
                if task.done() and task.exception() is not None:
                    raise task.exception()  # type: ignore[misc]
        names = [f"n{(number + at) % fleet.size}" for at in range(fleet.size)]
        tasks.append(asyncio.create_task(one(next(name for name in names if name not in fleet.down))))
        await asyncio.sleep(every_s)
    await asyncio.gather(*tasks)


def _doubled(fleet: Fleet) -> int:
    """Count charges that ran more than once, anywhere in the fleet."""
    ran = [one.body for kernel in fleet.kernels for one in kernel.starts if one.body.startswith(b"charge")]
    return len(ran) - len(set(ran))


async def product(fleet: Fleet, push: bool, seed: int) -> tuple[MembershipHost, RouterChooser]:
    """Return the product's view and router on a fleet, once it knows all members."""
    file = read_discovery(fleet.toml("browse", push=push).encode())
    assert file is not None
    router = Router(seed=seed)
    host = MembershipHost(reactor_here(), DiscoveryConfig(file, fleet.folder), lambda text: None, seed, router.set_view)
    host.start()
    async with asyncio.timeout(10):
        while sum(one.state.value == "live" for one in router.view.members.values()) < fleet.size:
            await asyncio.sleep(0.05)
    return host, RouterChooser(host, router)


@dataclass
class SilenceReport:
    """What a caller got while some scorers were silent and the records out."""

    kind: str
    load: LoadReport
    to_down: int
    doubled: int

    @property
    def in_time(self) -> float:
        """Return the share of requests that were served within their class's aim."""
        asked = sum(sum(counts.values()) for counts in self.load.outcomes.values())
        return sum(self.load.in_time.values()) / max(1, asked)


async def silence(kind: str, size: int, silent: int, rate: float, out_s: float, seed: int = 1) -> SilenceReport:
    """Silence some scorers and take the records out; ``kind`` is ``router``, ``ttl`` or ``static``.

    The silent ones come back cold a second before the records do.
    """
    with tempfile.TemporaryDirectory() as name:
        fleet = await Fleet(Path(name), size, Place(cores=2, classes=CLASSES, servers=size), seed=seed).start()
        host = None
        try:
            chooser: Chooser
            if kind == "router":
                host, chooser = await product(fleet, True, seed)
            else:
                chooser = ListChooser(lambda: _listed(fleet), 10.0 if kind == "ttl" else None, seed)
            sender = RoutedSender(chooser, fleet, seed)
            planned = plan(CLASSES, rate, out_s + 4.0, ["t"], ["f"], seed, retries=0.2)
            trouble = asyncio.create_task(_trouble(fleet, silent, out_s))
            load = await run(planned, sender.send, {one.name: one.aim_s for one in CLASSES})
            await trouble
            return SilenceReport(kind, load, sender.sent.to_down, _doubled(fleet))
        finally:
            if host is not None:
                host.stop()
            await fleet.close()


def _listed(fleet: Fleet) -> dict[str, Endpoint]:
    """Return what the records say, as a plain caller would read them; nothing while they are out."""
    if fleet.dns.faults.outage:
        return {}
    return {name: Endpoint("127.0.0.1", one.ports["thrift"]) for name, one in fleet.scorers.items()}


async def _trouble(fleet: Fleet, silent: int, out_s: float) -> None:
    await asyncio.sleep(1.0)
    fleet.dns.faults.outage = True
    await asyncio.sleep(1.0)
    names = [f"n{at}" for at in range(silent)]
    for name in names:
        fleet.silence(name)
    await asyncio.sleep(out_s - 2.0)
    for name in names:
        fleet.scorers[name].send_signal(signal.SIGCONT)
        await fleet.kill(name)
        await fleet.begin(name)
    fleet.dns.faults.outage = False
