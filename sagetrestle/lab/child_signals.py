"""Signals to child processes that leave their exit codes to the event loop."""

from __future__ import annotations

import contextlib
import os
import signal
import weakref
from asyncio.subprocess import Process


class ChildSignals:
    """Sends signals to one child process.

    ``Process.send_signal`` polls the child first. If the child has just ended, the poll reaps it before the event loop
    does, and the loop reports exit code 255 in place of the real one. A file descriptor of the process needs no poll,
    and never refers to another process that has been given the same id.
    """

    def __init__(self, process: Process) -> None:
        self._descriptor = os.pidfd_open(process.pid)
        weakref.finalize(self, os.close, self._descriptor)

    def send(self, number: signal.Signals) -> None:
        """Send a signal; a child that has ended gets none."""
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self._descriptor, number)
