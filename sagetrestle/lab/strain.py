"""Callers that put a fleet of translators under strain: an open loop, short waits, retries down the list.

What is counted is what a caller has of it: a request is served in time where one of its tries is, within the wait.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path

from sagetrestle.lab.clients import FrontEnd
from sagetrestle.lab.pace import watched
from sagetrestle.lab.story import CLASSES, LIMIT_S, CallerTerms, Fault, Findings, Phase, Seen, ServerFound, Story
from sagetrestle.lab.translators import TranslatorRig

MOST_OPEN = 24  # requests on one connection


class Crowd:
    """Callers over all translators, by their ports at this moment."""

    def __init__(self, ports: Callable[[], Sequence[int]], terms: CallerTerms, seed: int = 1) -> None:
        self._ports, self.terms, self.rng = ports, terms, random.Random(seed)
        self._lines: dict[int, list[FrontEnd]] = {}
        self.seen, self.keys = Seen(), {}
        self.port_of: Callable[[str], int] | None = None  # of a charge's owner, where callers are told

    async def run(self, phases: Sequence[Phase]) -> Seen:
        """Send by the phases, open loop, and wait for the last answers."""
        loop = asyncio.get_running_loop()
        began, at, tasks, number = loop.time(), 0.0, [], 0
        for phase in phases:
            end = at + phase.seconds
            while at < end:
                at += self.rng.expovariate(phase.per_s)
                await asyncio.sleep(max(0.0, began + at - loop.time()))
                number += 1
                tasks.append(asyncio.create_task(self._one(number, int(at))))
        await asyncio.gather(*tasks)
        for lines in self._lines.values():
            for one in lines:
                one.writer.transport.abort()
        return self.seen

    async def _one(self, number: int, second: int) -> None:
        terms, seen, rng = self.terms, self.seen, random.Random(self.rng.random())
        key = f"K{self.rng.getrandbits(40):010x}" if rng.random() < terms.charges else None
        client = terms.client(rng.random(), number)
        start = rng.randrange(1 << 16)
        seen.first[second] += 1
        began = asyncio.get_running_loop().time()
        how, told = "", False
        for again in range(terms.retries + 1):
            ports = self._ports()
            seen.tries += 1
            if key and self.port_of is not None and (port := self.port_of(key)):
                ports = [port]
            how, wait_s = await self._try(ports[(start + again) % len(ports)], number, key, again > 0, client, rng)
            seen.ends[how] += 1
            if how == "served":
                seen.in_time[second] += 1
                break
            seen.early += told and how == "refused"
            told = how == "refused" and terms.heeds
            if told:
                seen.heeded += 1
                await asyncio.sleep(wait_s)
        seen.by_greed[client < terms.greedy][how] += 1
        if client < terms.greedy:
            seen.answers.append((second, client, asyncio.get_running_loop().time() - began, how))
        if key:
            seen.charges[how] += 1
            self.keys[key] = how

    async def _try(
        self, port: int, number: int, key: str | None, retry: bool, client: int, rng: random.Random
    ) -> tuple[str, float]:
        try:
            front = await self._front(port)
            front.number = 1 + client
            count = await front.ask(
                f"{rng.getrandbits(64):016x}",
                "paid-check" if key else "quick-check",
                f"applicant={key or f'R{number}'}\n".encode(),
                key,
                hint_ms=60,
                patience_s=self.terms.wait_s,
                retry=retry,
            )
        except TimeoutError:
            return "silent", 0.0
        except OSError:
            return "broken", 0.0
        how = front.outcome(count)
        return how, _told_s(front, count) if how == "refused" else 0.0

    async def _front(self, port: int) -> FrontEnd:
        lines = self._lines.setdefault(port, [])
        lines[:] = [one for one in lines if not one.closed and not one.leaving]
        for one in lines:
            if len(one.waiting) - len(one.answers) < MOST_OPEN:
                return one
        found = await asyncio.wait_for(FrontEnd(port).connect(), 0.8)
        lines.append(found)
        return found


def _told_s(front: FrontEnd, count: int) -> float:
    """Return the time to stay away that a refusal told, in seconds."""
    pairs = front.answers[count][0].fields[1][1][1][1]
    return float(pairs.get(b"w", b"0")) / 1000


async def play(story: Story, folder: Path) -> Findings:
    """Play a story on processes of the program."""
    rig = TranslatorRig(
        folder,
        story.members,
        servers=story.servers,
        capacity=story.capacity,
        classes=CLASSES,
        limit_s=LIMIT_S,
        seed=story.seed,
        fleet=story.fleet,
        zones=story.zones,
        promises=story.promises_toml() if story.regions else "",
        private=sorted({name for one in story.faults if one.kind == "blind" for name in one.names}),
    )
    try:
        await asyncio.wait_for(rig.start(), 60)
        for region, names in story.regions.items():
            for one in (link for (_, server), link in rig.wires.all.items() if server in names):
                one.there.delay_s = one.back.delay_s = story.away_s.get(region, 0.0) / 2
        await asyncio.sleep(story.settle_s)
        began = time.monotonic()
        for name, flaps in story.flaps.items():
            rig.servers[name].flaps = flaps._replace(since=flaps.since + began, until=flaps.until + began)
        crowd = Crowd(lambda: [rig.scorers[name].ports["thrift"] for name in rig.names], story.terms, story.seed)
        crowd.port_of = lambda key: (one := rig.scorers.get(rig.callers[0].router.owner(key))) and one.ports["thrift"]
        faults = [asyncio.create_task(_fault(rig, one)) for one in story.faults]
        async with watched() as pace:
            await crowd.run(story.phases)
        await asyncio.gather(*faults)
        found = {
            name: ServerFound(
                one.requests,
                one.most_at_once,
                one.bad_requests,
                sum(one.ran.values()),
                one.questions,
                [at - began for at in one.times],
            )
            for name, one in rig.servers.items()
        }
        ran = Counter(run.applicant for one in rig.servers.values() for run in one.runs)
        return Findings(
            crowd.seen,
            found,
            sorted(key for key, count in ran.items() if count > 1),
            sorted(key for key, how in crowd.keys.items() if how == "served" and not ran[key]),
            sum("is removed for the fleet" in line for name in rig.names for line in rig.log_of(name)),
            paced=pace.kept,
        )
    finally:
        await rig.close()


async def _fault(rig: TranslatorRig, fault: Fault) -> None:
    await asyncio.sleep(fault.at_s)
    others = [name for name in rig.names if name not in fault.names]
    for name in fault.names:
        match fault.kind:
            case "kill":
                await rig.kill(name)
            case "begin":
                await rig.begin(name)
            case "stop":
                rig.stop(name)
            case "go on":
                rig.go_on(name)
            case "slower":
                rig.servers[name].faults.slower = fault.value
            case "kill server":
                rig.servers[name].close()
            case "blind":
                for server in rig.servers:
                    rig.wires.all[(name, server)].close()
            case "cut decider":
                if (other := rig.callers[0].router.owner("region ")) != name:
                    rig.links.cut([name], [other])
    if fault.kind == "cut":
        rig.links.cut(fault.names, others)
    elif fault.kind == "heal":
        rig.links.heal()
    elif fault.kind == "stop decider":
        rig.stop(rig.callers[0].router.owner("region "))
    elif fault.kind == "kill decider":
        await rig.kill(rig.callers[0].router.owner("region "))
    elif fault.kind == "all go on":
        for name in rig.names:
            rig.go_on(name)
