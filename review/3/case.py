"""A jump in traffic at a site whose requests say how long their front end waits (field ``d``)."""

from __future__ import annotations

import asyncio
import random
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s  # noqa: E402

CORES, WORK_S = 6, {"call-read": 0.30, "call-change": 0.30}  # mean work: 220 to 380 ms
USUAL = 0.6 * CORES / 0.30  # requests a second: 0.6 of what the cores can do
JUMP, CALM_S, JUMP_S = 2.5, 6.0, 9.9  # "1.7 to 2.5 times the usual for 2.9 to 10 s"; 150% of what the cores can do
WAITS_S = {"call-read": (9.8, 0.8), "call-change": (5.9, 0.8)}  # of front ends that wait long, and that wait briefly
FRONT_ENDS = 20
HEED = 0.35  # the share of front ends that heed the level and advice to stay away: 35 to 98%
BRIEF = 0.8  # the share of front ends that wait briefly
TOLD_LATE_S = (
    1.0  # a withdrawal comes this long after its front end stopped waiting: "hears, late or at times not at all"
)
LATE_S = 0.100 + 0.050  # the site's slack, and that of sockets
MOST = 3 / 1000  # of requests without an answer in time, before the rule is broken
BRANDS = ["daugava", "balttalk", "zvanu-tilts", "kurzeme-conf", "vidzeme-audio"]
SHARES = [0.43, 0.14, 0.14, 0.14, 0.14]
CLASSES = [
    {
        "name": "call-read",
        "aim": 2_900_000,
        "hard_limit": 9_800_000,
        "effect": "safe",
        "late_share": 0.2,
        "worth": 1.0,
        "window": 5_000_000,
    },
    {
        "name": "call-change",
        "aim": 2_400_000,
        "hard_limit": 5_900_000,
        "effect": "keyed",
        "late_share": 0.0,
        "worth": 1.0,
        "window": 17_562_000,
    },
]


async def play(record: s.Record) -> bool:
    """Return whether all but 3 in 1,000 requests were answered within the time that they brought."""
    rng = random.Random(11)
    platform = s.Platform(record)
    kernel = await s.Kernel("kernel", CORES, lambda cls, body: WORK_S[cls] * (0.5 + body[0] / 255), record).start()
    kernel.verbose = False
    try:
        port = s.free_port()
        config = {
            "name": "n1",
            "listen": f"{s.HERE}:{port}",
            "kernel": f"{s.HERE}:{kernel.port}",
            "roster": f"{s.HERE}:{await platform.roster()}",
            "seed": secrets.token_hex(8),
            "stop_ms": 4000,
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 512},
            "settings": s.settings(
                CLASSES,
                CORES,
                counted_by="request",
                callers={"marks_retry": False},
                extra={"passes_deadline": True, "say": "threshold", "said_for": 1_000_000},
            ),
        }
        config["settings"]["projects"] = [
            {"name": name, "share": share, "allowance_per_s": share * 0.5 * CORES / 0.30}
            for name, share in zip(BRANDS, SHARES, strict=True)
        ]
        config["settings"]["over_share_worth"] = 0.05
        config["settings"]["rules"] |= {"answer_slack": 100_000, "tip_multiple": 8.0, "tip_after": 1_500_000}
        await platform.run(config)
        await platform.health(port, 20)
        ends: dict[int, s.FrontEnd] = {}  # the present connection of each front end, opened as it is needed
        sent = []
        loop = asyncio.get_running_loop()

        def give_up(end: s.FrontEnd, seqid: int) -> None:
            if seqid not in end.answers and not end.closed:
                end.withdraw(seqid)

        for phase, seconds, rate in (
            ("usual", CALM_S, USUAL),
            ("jump", JUMP_S, USUAL * (JUMP if s.TROUBLE else 1.0)),
            ("usual", CALM_S, USUAL),
        ):
            until = time.monotonic() + seconds
            record.note(f"traffic: {phase}, {rate:.1f} requests a second for {seconds:g} s")
            while time.monotonic() < until:
                await asyncio.sleep(rng.expovariate(rate))
                number = rng.randrange(FRONT_ENDS)
                if number not in ends or ends[number].leaving or ends[number].closed:
                    ends[number] = await s.FrontEnd(port, number).connect()
                rank = rng.random()
                heeds = number % 20 < HEED * 20
                if heeds and (
                    time.time() < ends[number].away_until
                    or time.time() < ends[number].level_until
                    and rank < ends[number].level
                ):
                    continue
                cls = "call-read" if rng.random() < 0.52 else "call-change"
                wait_s = WAITS_S[cls][number % 5 < BRIEF * 5]
                fields = s.request_fields(
                    cls, number, d=str(int(wait_s * 1000)), p=f"{rank:.4f}", t=rng.choices(BRANDS, SHARES)[0]
                )
                fields |= {"k": secrets.token_hex(16)} if cls == "call-change" else {"o": f"call{rng.randrange(1000)}"}
                body = bytes([rng.randrange(256)]) + fields["i"].encode()
                end, seqid = ends[number], ends[number].send(fields, body)
                sent.append((end, seqid, cls, wait_s, int(fields["s"]) / 1000))
                loop.call_later(wait_s + TOLD_LATE_S, give_up, end, seqid)
        await asyncio.sleep(10.0)
        lost = 0
        for end, seqid, cls, wait_s, came in sent:
            answers = end.answers.get(seqid, [])
            took = answers[0][2] - came if answers else None
            late = took is None or took > wait_s + LATE_S
            lost += late
            record.note(
                f"front end {end.number} request {seqid} {cls} d={int(wait_s * 1000)}: "
                + (f"{answers[0][0]} after {took * 1000:.0f} ms" if answers else "no answer")
                + (" LATE" if late else "")
            )
        record.note(f"{len(sent)} requests, {len(kernel.started)} runs, {lost} with no answer in their time")
        for end in {one[0] for one in sent}:
            await end.close()
        if len(sent) < 100:
            raise s.CanNotRun(f"only {len(sent)} requests were sent")
        return lost <= MOST * len(sent)
    finally:
        await platform.close()
        await kernel.close()


s.main(Path(__file__).resolve().parent, play)
