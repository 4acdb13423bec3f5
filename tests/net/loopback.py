"""The base class of tests with a real scorer process and emulated peers."""

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
    """A test with a real scorer process and an emulated kernel, ledger and roster."""

    work_s = 0.03
    front_count = 3  # thrift, scgi and dns
    config_overrides: dict[str, str] = {}  # overrides of the configuration
    stop_signal = signal.SIGTERM  # SIGKILL in tests that do not check the drain

    async def asyncSetUp(self) -> None:
        self.kernel = EmulatedKernel(work_s=self.work_s)
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.scorer = ScorerProcess(Path(self.folder), self.kernel, PARAMS, self.deploy(), over=self.config_overrides)
        await self.scorer.start(self.front_count)
        self.ports, self.roster, self.process = self.scorer.ports, self.scorer.roster, self.scorer.process
        self.told, self.log, self.log_has, self.stop = (
            self.scorer.told,
            self.scorer.log,
            self.scorer.log_has,
            self.scorer.stop,
        )

    def deploy(self) -> dict[str, str]:
        """Return the operators' configuration files by name; a test may add its own."""
        return {"scgi.toml": 'listen = "127.0.0.1:0"\ndns_listen = "127.0.0.1:0"\n'}

    async def asyncTearDown(self) -> None:
        await self.scorer.stop(self.stop_signal)
        self.assertFalse(self.log_has("failed:"), self.log)
