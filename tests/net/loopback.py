"""A real scorer process for a test, among the laboratory's emulated peers."""

from __future__ import annotations

import signal
import tempfile
import unittest
from pathlib import Path

from sagetrestle.lab.clients import PATIENCE_S, FrontEnd, ask_scgi
from sagetrestle.lab.kernel import EmulatedKernel
from sagetrestle.lab.scorer import ScorerProcess
from tests.net.scenario import PARAMS

__all__ = ["PATIENCE_S", "FrontEnd", "LoopbackCase", "ask_scgi"]


class LoopbackCase(unittest.IsolatedAsyncioTestCase):
    """A test with a real scorer process, and stand-ins round it."""

    work_s = 0.03
    fronts = 3  # thrift, scgi and dns
    over: dict[str, str] = {}  # what the configuration says besides
    end = signal.SIGTERM  # SIGKILL where the way out is not what is tested

    async def asyncSetUp(self) -> None:
        self.kernel = EmulatedKernel(work_s=self.work_s)
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.scorer = ScorerProcess(Path(self.folder), self.kernel, PARAMS, self.deploy(), over=self.over)
        await self.scorer.start(self.fronts)
        self.ports, self.roster, self.process = self.scorer.ports, self.scorer.roster, self.scorer.process
        self.told, self.log, self.log_has, self.stop = (
            self.scorer.told,
            self.scorer.log,
            self.scorer.log_has,
            self.scorer.stop,
        )

    def deploy(self) -> dict[str, str]:
        """Return the operators' files; a test may add its own."""
        return {"scgi.toml": 'listen = "127.0.0.1:0"\ndns_listen = "127.0.0.1:0"\n'}

    async def asyncTearDown(self) -> None:
        await self.scorer.stop(self.end)
        self.assertFalse(self.log_has("failed:"), self.log)
