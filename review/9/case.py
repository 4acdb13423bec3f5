"""A translator is killed and started again; charges that ran come again within their window.

Two translators, each with a server of its own, play it beside each other: at one the charges come again shortly before
their window ends, while all slots are taken; at the other there is 130% load, and a kill now and then.
"""

import asyncio
import os
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (
    FULL_PYTHON,
    MAPPING,
    ROOT,
    TROUBLE,
    CannotRun,
    NewServer,
    Program,
    Record,
    ask_scgi,
    free_port,
    main,
    scgi_body,
    scgi_status,
)

WINDOW_S = 27.783
OPEN = 4
# Shortly before the end of the window
KEYS = [f"edge-{number}" for number in range(1, 4)]
SLOW_S = 0.9  # a report: 500 ms, and 1.8 times that as the server is slow
AGAIN_S = 0.4  # before the end of the window of the first try
# Under load
REPORT_S, CHARGE_S = 0.5, 0.4
LOAD = 1.3  # of what the slots can do
CHARGES = 0.2  # of the requests
LOAD_S = 80.0
KILL_S = 6.0  # between two kills
LATER_S = (0.5, 3.0)  # after its first try a charge comes again


class Place:
    """A translator with its server and its callers."""

    def __init__(self, record: Record, home: Path, name: str, aim_ms: int, work_s) -> None:
        self.record, self.home, self.name, self.aim_ms = record, home / name, name, aim_ms
        self.server, self.port, self.starts = NewServer(record, f"server of {name}", WINDOW_S, work_s), free_port(), 0

    async def start(self) -> None:
        """Start the translator, the first time with its server."""
        if not self.starts:
            await self.server.start()
            (self.home / "deploy").mkdir(parents=True)
            (self.home / "deploy/mapping.toml").write_text(MAPPING)
            (self.home / "deploy/translate.toml").write_text(
                f'name = "{self.name}"\nmapping = "deploy/mapping.toml"\njournal = "journal.db"\n'
                f'scgi = "127.0.0.1:{self.port}"\nopen = {OPEN}\n'
                f'[[classes]]\nname = "full-report"\naim_ms = {self.aim_ms}\nlimit_ms = 12000\nworth = 2.0\n'
                f'[[classes]]\nname = "paid-check"\naim_ms = {self.aim_ms}\nlimit_ms = 9300\neffect = "keyed"\n'
                'worth = 4.0\nwindow_ms = 27783\n'
                f'[[servers]]\nname = "s0"\naddress = "127.0.0.1:{self.server.port}"\nboot = 1\n'
            )
        self.starts += 1
        command = f"exec {FULL_PYTHON} -B -m sagetrestle translate --file {self.home}/deploy/translate.toml"
        self.program = Program(self.record, f"{self.name}, start {self.starts}")
        await self.program.start(command, {"TMPDIR": str(self.home)}, ROOT)
        await self.program.logged("scgi front listens")
        await self.program.logged("kernel up")

    async def kill(self) -> None:
        """Kill the translator and start it again."""
        await self.program.end(signal.SIGKILL)
        self.record.line(f"{self.name}: killed")
        await self.start()

    async def end(self) -> None:
        """End all."""
        await self.program.end(signal.SIGTERM)
        self.server.close()

    async def ask(self, cls: str, applicant: str, key: str = "", retry: bool = False) -> int:
        """Ask over SCGI; return the status, 0 where the connection failed."""
        headers = {"HTTP_X_CALLER": f"portal-{hash(applicant) % 6}"} | ({"HTTP_IDEMPOTENCY_KEY": key} if key else {})
        headers |= {"HTTP_X_RETRY": "1"} if retry else {}
        what = f"{cls} {key or applicant}{' again' if retry else ''}"
        self.record.line(f"{self.name}: {what} is sent")
        try:
            data = await ask_scgi(self.port, cls, f"applicant={applicant}\n".encode(), headers)
        except (ConnectionError, TimeoutError):
            data = b""  # the translator was killed, or is not there
        self.record.line(f"{self.name}: {what}: {scgi_status(data)} {scgi_body(data)!r}")
        return scgi_status(data)

    def twice(self) -> list[str]:
        """Return what ran more than once; the whole case takes less than two windows, so the second try counts."""
        runs = Counter(who for _, who, _ in self.server.ran)
        return [f"the charge of {who} ran {count} times within its window" for who, count in runs.items() if count > 1]


async def edge(record: Record, home: Path) -> list[str]:
    """Charges come again shortly before the end of their window, as all slots are taken."""
    place = Place(record, home, "edge", 9000, lambda request: SLOW_S if "report" in request["applicant"]["id"] else 0.3)
    await place.start()
    try:
        began, usual = time.monotonic(), []
        first = await asyncio.gather(*(place.ask("paid-check", f"mona-{key}", key) for key in KEYS))
        if set(first) != {200}:
            raise CannotRun(f"a first charge was not served: {first}")
        if TROUBLE:
            await place.kill()
        number = 0
        while time.monotonic() < began + WINDOW_S - AGAIN_S - 3.0:
            await asyncio.sleep(0.25)
            number += 1
            cls, key = ("paid-check", f"usual-{number}") if number % 4 == 0 else ("full-report", "")
            usual.append(asyncio.create_task(place.ask(cls, f"usual-{number}", key)))
        await asyncio.gather(*usual)
        await asyncio.sleep(max(0.0, began + WINDOW_S - AGAIN_S - 0.2 - time.monotonic()))
        reports = [asyncio.create_task(place.ask("full-report", f"report-{at}")) for at in range(OPEN)]
        await asyncio.sleep(max(0.0, began + WINDOW_S - AGAIN_S - time.monotonic()))
        again = await asyncio.gather(*(place.ask("paid-check", f"mona-{key}", key, retry=True) for key in KEYS))
        await asyncio.gather(*reports)
    finally:
        await place.end()
    text = f"edge: {len(KEYS)} charges come again {AGAIN_S} s before their window ends: {again}, "
    text += f"{len(place.twice())} ran twice"
    record.line(text)
    print(text)
    return place.twice()


async def load(record: Record, home: Path) -> list[str]:
    """Charges come again some seconds after their first try, under load."""
    rng = random.Random(os.urandom(8))
    place = Place(
        record, home, "load", 3500, lambda request: REPORT_S if "report" in request["applicant"]["id"] else CHARGE_S
    )
    refused: list[str] = []
    statuses: Counter[int] = Counter()  # of charges that had run when they came again

    async def charge(number: int) -> None:
        who, key = f"mona-{number}", f"order-{number}"
        await place.ask("paid-check", who, key)
        await asyncio.sleep(rng.uniform(*LATER_S))
        for _ in range(3):  # a portal that did not get its answer, or asks again for it
            done, sent = place.server.ended.get(who), time.monotonic()
            status = await place.ask("paid-check", who, key, retry=True)
            statuses[status] += bool(done and status)
            if done and status == 503:
                refused.append(f"{key} was done at the server {sent - done:.1f} s before; it got 503, 'never ran'")
            if status:
                break
            await asyncio.sleep(1.0)

    async def report(number: int) -> None:
        for again in range(3):  # clients try up to two times more where the connection failed
            if await place.ask("full-report", f"report-{number}", retry=again > 0):
                break
            await asyncio.sleep(rng.uniform(0.3, 0.9))

    await place.start()
    number, tasks = 0, []
    try:
        per_s = LOAD * OPEN / (CHARGES * CHARGE_S + (1 - CHARGES) * REPORT_S)
        began = killed = time.monotonic()
        while time.monotonic() < began + LOAD_S:
            await asyncio.sleep(rng.expovariate(per_s))
            number += 1
            tasks.append(asyncio.create_task(charge(number) if rng.random() < CHARGES else report(number)))
            if TROUBLE and time.monotonic() > killed + KILL_S:
                await place.kill()
                killed = time.monotonic()
        await asyncio.gather(*tasks)
    finally:
        await place.end()
    text = f"load: {number} requests, {place.starts - 1} kills, {len(place.server.ended)} charges ran, "
    text += f"{len(place.twice())} twice; come again after they had run: {dict(+statuses)}"
    record.line(text)
    print(text)
    return [*refused, *place.twice()]


async def case(record: Record, home: Path) -> list[str]:
    """Play both and return what broke the rules."""
    at_edge, at_load = await asyncio.gather(edge(record, home), load(record, home))
    return at_edge + at_load


main(case, Path(__file__).resolve().parent)
