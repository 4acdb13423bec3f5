"""Handlers for the signals to stop and to reload, including those that arrive before the reactor runs."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any


def install_stop_handler(reactor: Any, stop: Callable[[], None]) -> None:
    """Call ``stop`` in the reactor thread on SIGTERM or SIGINT."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(stop))


def install_reload_handler(reactor: Any, reload: Callable[[], None]) -> None:
    """Call ``reload`` in the reactor thread on SIGHUP, whose default action would end the process."""
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))


def ignore_signals() -> None:
    """Ignore all signals handled here once the reactor has ended.

    The interpreter resets handlers to their defaults as it shuts down, and a signal would then end the process.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


class EarlySignals:
    """Records signals that arrive before the reactor runs; their default action would end the process."""

    def __init__(self) -> None:
        self.stop_requested = self.reload_requested = False
        signal.signal(signal.SIGTERM, self._note_stop)
        signal.signal(signal.SIGINT, self._note_stop)
        signal.signal(signal.SIGHUP, self._note_reload)

    def _note_stop(self, *_: Any) -> None:
        self.stop_requested = True

    def _note_reload(self, *_: Any) -> None:
        self.reload_requested = True
