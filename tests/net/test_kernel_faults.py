"""Tests of a scorer process whose kernel link breaks, with the platform's rule on overload checked at the kernel."""

import asyncio
import random
import tempfile
import time
import unittest
from collections import Counter
from pathlib import Path

from sagetrestle.lab.kernel_faults import FaultyKernel
from sagetrestle.lab.scorer import ScorerProcess
from sagetrestle.lab.upgrades import Caller
from tests.net.scenario import PARAMS, call_id

CORES = 6
WORK_S = {"paid-check": 2.0}
CALLS = {"paid-check": 10.0}
BREAK_INTERVAL_S = (0.3, 0.6)
RATE_PER_S = 15.0
LOAD_S = 10.0
LOSS_S = 0.05  # commands of this time before a break may be lost
HEAVY_LOSS_S = 0.25
SETTLE_S = 1.5  # from the last answer until the kernel has said of each run in doubt what became of it


class KernelLinkBreaksTest(unittest.IsolatedAsyncioTestCase):
    """Runs of a second each under overload, while the kernel link breaks twice a second."""

    async def asyncSetUp(self):
        self.rng = random.Random(2)
        self.kernel = FaultyKernel(CORES, WORK_S, CALLS, seed=2)
        settings = {**PARAMS, "extra": {**PARAMS["extra"], "cores": CORES, "memory_kb": 2_500.0}}
        settings["rules"] = {**PARAMS["rules"], "tip_multiple": 3.0}
        settings["classes"] = [{**each, "effect": "keyed", "window": 20_000_000} for each in PARAMS["classes"]]
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.scorer = ScorerProcess(folder, self.kernel, settings, {})
        await self.scorer.start(1)

    async def load(self):
        """Send requests from four front ends at a fixed mean rate, and wait for their answers."""
        callers = [Caller(self.scorer.ports["thrift"], number, self.kernel) for number in range(1, 5)]
        tasks, end, number = [], time.monotonic() + LOAD_S, 0
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.expovariate(RATE_PER_S))
            number += 1
            asking = self.rng.choice(callers).ask(call_id(f"q{number}"), "paid-check", b"x", f"k{number}", False)
            tasks.append(asyncio.create_task(asking))
        outcomes = Counter(await asyncio.gather(*tasks))
        self.assertEqual(0, outcomes["lost"])

    async def ask_on_all_cores(self):
        """Return the outcomes of as many requests at once as there are cores."""
        caller = Caller(self.scorer.ports["thrift"], 9, self.kernel)
        asking = [caller.ask(call_id(f"z{n}"), "paid-check", b"x", f"z{n}", False) for n in range(CORES)]
        return Counter(await asyncio.gather(*asking))

    async def break_links(self, lose_s):
        while True:
            await asyncio.sleep(self.rng.uniform(*BREAK_INTERVAL_S))
            await self.kernel.break_link(lose_s, cut_notice=self.rng.random() < 0.3)

    async def play(self, lose_s):
        breaking = asyncio.create_task(self.break_links(lose_s))
        await self.load()
        breaking.cancel()
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(Counter(served=CORES), await self.ask_on_all_cores())
        self.assertEqual([], self.scorer.watch.violations)
        self.assertEqual([], self.kernel.changed_replies)
        self.assertEqual(1, max(Counter(started.call for started in self.kernel.starts).values()))
        self.assertEqual(0, await self.scorer.stop())

    # Guards against a kernel that falls over as runs that go on are taken for lost with its link.
    async def test_runs_in_doubt_that_go_on_do_not_overload_the_kernel(self):
        await self.play(lose_s=0.0)

    # Guards against the same where commands are lost with the link.
    async def test_runs_in_doubt_do_not_overload_the_kernel_if_commands_are_lost(self):
        await self.play(lose_s=LOSS_S)

    # Guards against cores that starts lost with the link hold for good: far more is lost than the platform loses.
    async def test_the_cores_come_back_after_most_commands_were_lost_for_a_time(self):
        await self.play(lose_s=HEAVY_LOSS_S)
