"""The link to the kernel breaks now and then under load, and what was sent shortly before goes to the kernel again."""

import asyncio
import json
import os
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import HERE, ROOT, TROUBLE, FrontEnd, Kernel, Ledger, Program, Roster, free_port, main, run_command

LOAD_S = 100.0  # of requests
PER_S = 92.0
BREAK_S = (0.6, 1.2)  # between two breaks
CORES = 6
WORK_S = {"call-read": 0.060, "call-change": 0.060}
READ, CHANGE = "call-read", "call-change"


def settings() -> dict:
    """Return the settings: the second deployment's two classes, its times scaled as the pages say."""
    return {
        "classes": [
            {"name": READ, "aim": 700_000, "hard_limit": 2_400_000, "effect": "safe", "worth": 1.0, "late_share": 0.2},
            {"name": CHANGE, "aim": 600_000, "hard_limit": 1_500_000, "effect": "keyed", "worth": 1.0,
             "window": 17_562_000},
        ],
        "extra": {
            "cores": CORES, "memory_kb": 60_000.0, "below": "shared", "calls_out": 30.0, "class_calls": [True, True],
            "class_skip_worth": [0.0, 0.0], "halt": "suspend", "key_kb": 20.0, "fresh_for": 0,
            "gauges": ["core_use", "on_cores", "heap_share", "links"], "keepalive_max": 30_000_000,
            "lingers": 200_000, "run_factor": 4.0, "senders": 3, "say": "silent", "passes_deadline": False,
            "share_span": 5_000_000,
        },
        "servers": 12, "tick": 4_000, "counted_by": "request",
        "limits": {"retry_after": True, "max_retry_after": 1_000_000}, "callers": {"marks_retry": False},
        "rules": {"cold_share": 0.22, "stop_sending_within": 2_000_000, "tip_after": 1_500_000, "tip_multiple": 8.0,
                  "warm_within": 18_000_000, "answer_slack": 100_000},
    }  # fmt: skip


async def case(record, home: Path) -> list[str]:
    """Play it and return what broke the rules."""
    rng = random.Random(os.urandom(8))

    def draw(cls: str) -> tuple[float, int]:
        calls = rng.choice((1, 2)) if cls == READ else rng.choice((0, 1, 2))  # 1 to 2; 0.6 to 1.4 on average
        return rng.uniform(0.5, 1.5) * WORK_S[cls], calls

    kernel, ledger, roster = await Kernel(record, CORES, draw).start(), await Ledger().start(), await Roster().start()
    port = free_port()
    (home / "config.json").write_text(json.dumps({
        "name": "n1", "listen": f"{HERE}:{port}", "kernel": f"{HERE}:{kernel.port}", "roster": f"{HERE}:{roster.port}",
        "ledger": f"{HERE}:{ledger.port}", "seed": "8c1f30d27a5be964", "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512}, "settings": settings(),
    }))  # fmt: skip
    (home / "tmp").mkdir()
    env = {"ROUTER_CONFIG": str(home / "config.json"), "TMPDIR": str(home / "tmp")}
    scorer = await Program(record, "scorer").start(run_command(), env, ROOT)
    outcomes: Counter[str] = Counter()
    wrong: list[str] = []
    keys: dict[str, str] = {}  # id: key

    async def ask(front: FrontEnd, cls: str) -> None:
        id, body = f"{rng.getrandbits(64):016x}", rng.randbytes(40)
        more = {"k": f"{rng.getrandbits(128):032x}"} if cls == CHANGE else {}
        if more:
            keys[id] = more["k"]
        kernel.came[id] = cls
        record.line(f"front {front.number}: {cls} {id} {more.get('k', '')}")
        how, result = await asyncio.wait_for(front.send(cls, id, body, **more), 5)
        kernel.over.add(id)
        outcomes[how] += 1
        record.line(f"front {front.number}: {id} {how} {result.decode(errors='replace')}")
        if how == "served" and result not in kernel.served.get(id, ()):
            wrong.append(f"{id} was served {result!r}, which no run of it made")

    async def breaks() -> None:
        while True:
            await asyncio.sleep(rng.uniform(*BREAK_S))
            record.line("kernel: the link breaks")
            kernel.break_link()

    try:
        await scorer.logged("kernel up")
        fronts = [await FrontEnd(port, number).connect() for number in range(1, 9)]
        trouble = asyncio.create_task(breaks()) if TROUBLE else None
        until, tasks = time.monotonic() + LOAD_S, []
        while time.monotonic() < until:
            await asyncio.sleep(rng.expovariate(PER_S))
            open_now = [one for one in fronts if sum(not w.done() for w in one.waiting.values()) < 30]
            if open_now:
                tasks.append(asyncio.create_task(ask(rng.choice(open_now), READ if rng.random() < 0.52 else CHANGE)))
        if trouble is not None:
            trouble.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        unanswered = sum(isinstance(one, Exception) for one in ended)
        for front in fronts:
            front.close()
        await scorer.end(signal.SIGTERM)
    finally:
        if scorer.process.returncode is None:
            await scorer.end()
        kernel.close(), ledger.close(), roster.close()
    runs = Counter(id for id, cls, _ in kernel.starts if cls == CHANGE)
    twice = [f"keyed request {id} (key {keys[id]}) ran {n} times" for id, n in runs.items() if n > 1]
    reads = sum(n > 1 for n in Counter(id for id, cls, _ in kernel.starts if cls == READ).values())
    text = f"{len(tasks)} requests, {dict(outcomes)}, {unanswered} without an answer, {len(kernel.starts)} runs, "
    text += f"{kernel.breaks} breaks, {ledger.calls} calls, {len(twice)} keyed requests and {reads} reads run twice, "
    text += f"{len(kernel.wrong_replies)} runs given the reply to another call"
    record.line(text)
    print(text)
    return [*twice, *kernel.wrong_replies, *wrong]


main(case, Path(__file__).resolve().parent)
