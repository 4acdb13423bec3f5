"""A short soak of a scorer process in CI; ``python -m benchmarks.soak`` plays the long one."""

import tempfile
from pathlib import Path
from unittest import IsolatedAsyncioTestCase

from sagetrestle.lab.soak import Soak


class SoakTest(IsolatedAsyncioTestCase):
    """Two lives of a scorer for each seed: breaks in series, spoilt replies, signals, some with a crowd."""

    async def play(self, seed):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        report = await Soak(folder, seed).play()
        self.assertEqual([], report.violations)
        self.assertGreater(report.outcomes["served"], 0)

    # Guards against rules that break where troubles meet: overload, lost answers, second runs, late starts.
    async def test_seed_3(self):
        await self.play(3)

    # Guards against rules that break where troubles meet: overload, lost answers, second runs, late starts.
    async def test_seed_5(self):
        await self.play(5)

    # Guards against rules that break where troubles meet: overload, lost answers, second runs, late starts.
    async def test_seed_8(self):
        await self.play(8)

    # Guards against rules that break where troubles meet: overload, lost answers, second runs, late starts.
    async def test_seed_11(self):
        await self.play(11)
