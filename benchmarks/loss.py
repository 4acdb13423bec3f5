"""Service by second around the loss of members, and how soon their charges are answered: python -m benchmarks.loss.

Six members in three zones on slow emulated machines; each request is counted in the second in which it was meant to be
sent, a charge as callers ask for it: again until it is served or given up.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import defaultdict
from pathlib import Path

import click

from benchmarks.machine import heading
from sagetrestle.lab.campaign import FLEET, WINDOW_US
from sagetrestle.lab.load import Outcome, Planned, plan, run
from sagetrestle.lab.place import LabClass, Place
from sagetrestle.lab.processes import Rig

CLASSES = (
    LabClass("quick-check", 0.06, 0, 0.7, 0.6, 2.0),
    LabClass("paid-check", 0.06, 0, 0.3, 2.0, 5.0, worth=4.0, charge=True),
)
SIZE, ZONES, AT_S, GIVE_UP_S = 6, 3, 5.0, 12.0


class Seconds:
    """What became of requests, by the second of their plan."""

    def __init__(self) -> None:
        self.asked: defaultdict[tuple[int, str], int] = defaultdict(int)
        self.timely: defaultdict[tuple[int, str], int] = defaultdict(int)

    def note(self, one: Planned, good: bool) -> None:
        """Count a request."""
        for cls in (one.cls, ""):
            self.asked[(int(one.at_s), cls)] += 1
            self.timely[(int(one.at_s), cls)] += good

    def share(self, second: int, cls: str = "") -> float:
        """Return the share of a second's requests that were served in time."""
        return self.timely[(second, cls)] / max(1, self.asked[(second, cls)])


async def loss(
    lost: list[str],
    load: float,
    seconds: float,
    seed: int,
    restart: bool = False,
    fleet: bool = True,
    records: bool = False,
) -> tuple[Seconds, list[float], str]:
    """Lose members with their machines under load; return the seconds, times of charges asked then, and findings.

    With ``restart`` their processes are started again at once, on machines that went on.
    """
    place = Place(cores=2, classes=CLASSES, servers=SIZE, window_us=WINDOW_US)
    with tempfile.TemporaryDirectory() as name:
        rows = {**FLEET, "store": "council.db"} if fleet else None
        rows = {**rows, "records": "records.db"} if rows is not None and records else rows
        rig = Rig(Path(name), SIZE, place, seed=seed, fleet=rows, zones=ZONES, relays=False)
        try:
            await rig.start()
            found, took = Seconds(), []
            aims = {one.name: one.aim_s for one in CLASSES}
            began = time.monotonic()

            async def send(one: Planned) -> Outcome:
                due = began + one.at_s
                outcome = await (
                    rig.charge(one, one.number, GIVE_UP_S) if one.key else rig.callers[one.number % 2].sender.send(one)
                )
                late = time.monotonic() - due
                found.note(one, outcome.how == "served" and late <= aims[one.cls])
                if one.key and abs(one.at_s - AT_S) < 0.5 and outcome.how == "served":
                    took.append(late)
                return outcome

            async def trouble() -> None:
                await asyncio.sleep(AT_S)
                await asyncio.gather(*(rig.kill(one) for one in lost))
                if restart:
                    await asyncio.gather(*(rig.begin(one) for one in lost))
                    return
                for one in lost:
                    rig.lose(one)

            task = asyncio.create_task(trouble())
            planned = plan(CLASSES, load * SIZE * place.capacity, seconds, ["t"], ["f"], seed)
            began = time.monotonic()
            report = await run(planned, send, aims)
            await task
            lag = report.lag.get_value_at_percentile(99) / 1e6
            return (
                found,
                sorted(took),
                f"{rig.finished().check().line()}; generator's lag p99 {lag:.2f} s"
                + ("" if report.valid else ", NOT VALID"),
            )
        finally:
            await rig.close()


@click.command()
@click.option("--seconds", default=14.0, show_default=True)
@click.option("--load", "loads", multiple=True, type=float, default=(0.7, 1.3), show_default=True)
@click.option("--restart", is_flag=True, help="All are killed at once and started again, without a fleet and with.")
def main(seconds: float, loads: tuple[float, ...], restart: bool) -> None:
    """Print service by second for each loss at each load."""
    if restart:
        print(heading(f"{SIZE} members killed at second {AT_S:g} and started again at once"), flush=True)
        for load in loads:
            for fleet, records in ((False, False), (True, False), (True, True)):
                found, _, line = asyncio.run(
                    loss([f"n{at}" for at in range(SIZE)], load, seconds, 7, True, fleet, records)
                )
                print(
                    f"  load {load:g}, fleet {'on' if fleet else 'off'}{', records kept' if records else ''}: {line}",
                    flush=True,
                )
                for what, cls in (("safe", "quick-check"), ("charges", "paid-check")):
                    shares = [found.share(at, cls) for at in range(int(seconds))]
                    before = min(shares[1 : int(AT_S)])
                    back = next(
                        (
                            at
                            for at in range(int(AT_S) + 1, int(seconds) - 2)
                            if min(shares[at : at + 3]) >= 0.99 * before
                        ),
                        None,
                    )
                    print(
                        f"    {what}: "
                        + " ".join(f"{share:.2f}" for share in shares)
                        + (f"; as before after {back - AT_S:.0f} s" if back is not None else "; not as before in time"),
                        flush=True,
                    )
        return
    print(heading(f"{SIZE} members in {ZONES} zones, lost at second {AT_S:g} with their machines"), flush=True)
    third = ["n1", "n5"]  # of different zones
    for load in loads:
        for what, lost in (("one", ["n4"]), ("a third", third), ("a zone", ["n2", "n5"])):
            found, took, line = asyncio.run(loss(lost, load, seconds, 7))
            served = " ".join(f"{found.share(at):.2f}" for at in range(int(seconds)))
            charges = " ".join(f"{found.share(at, 'paid-check'):.2f}" for at in range(int(seconds)))
            points = [f"p{point * 100:g} {took[int(point * (len(took) - 1))]:.2f} s" for point in (0.5, 0.99) if took]
            print(
                f"  load {load:g}, {what} lost: in time by second {served}\n    charges alone {charges}\n"
                f"    charges asked within half a second of it: {', '.join(points)}; {line}",
                flush=True,
            )


if __name__ == "__main__":
    main()
