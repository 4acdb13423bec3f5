"""Translators that share keys: what today's do without a fleet, and what a fleet of them does."""

import asyncio
import tempfile
from pathlib import Path

from sagetrestle.lab.translators import TranslatorRig, translated_charge
from tests.fleet.helpers import RigCase

DIFFER = {"t0": ["s0"], "t1": ["s1"]}


class TranslatorCase(RigCase):
    """Translators, servers and callers."""

    async def translators(self, size=2, **more):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        rig = TranslatorRig(folder, size, window_us=8_000_000, **more)
        self.addAsyncCleanup(rig.close)
        await asyncio.wait_for(rig.start(), 30)
        return rig

    def check(self, rig):
        found = rig.finished().check()
        self.assertEqual([], found.broken, found.line())
        return found


class BaselineTest(TranslatorCase):
    """Without a fleet."""

    async def test_lists_that_differ_run_a_charge_at_two_servers(self):
        rig = await self.translators(lists=DIFFER)
        one = translated_charge("K")
        for number in range(2):
            self.assertEqual("served", (await rig.callers[number].sender.send(one)).how)
        self.assertEqual(1, len(rig.finished().check().doubled), rig.history)
