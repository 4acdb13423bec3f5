"""Signals that the stand-ins send to child processes."""

import asyncio
import signal
import unittest

from sagetrestle.lab.child_signals import ChildSignals

CHILDREN = 40
EXIT_CODE = 7


class ExitCodeTest(unittest.IsolatedAsyncioTestCase):
    """A child that ends while signals go to it."""

    # Guards against an exit code that is lost because sending a signal reaped the child before the event loop did.
    async def test_the_exit_code_survives_signals_sent_while_the_child_ends(self):
        codes = [await self._signal_until_the_end() for _ in range(CHILDREN)]
        self.assertEqual({EXIT_CODE}, set(codes))

    async def _signal_until_the_end(self) -> int:
        child = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", f"trap '' HUP; echo up; sleep 0.02; exit {EXIT_CODE}", stdout=asyncio.subprocess.PIPE
        )
        await child.stdout.readline()
        signals = ChildSignals(child)
        while child.returncode is None:
            for _ in range(20):
                signals.send(signal.SIGHUP)
            await asyncio.sleep(0)
        return child.returncode
