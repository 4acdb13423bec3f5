"""The notices to leave and to read the configuration again, also those that come before there is a loop."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any


def install_stop_handler(reactor: Any, stop: Callable[[], None]) -> None:
    """Call ``stop`` in the loop when the process is told to leave."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(stop))


def install_reload_handler(reactor: Any, reload: Callable[[], None]) -> None:
    """Call ``reload`` in the loop at SIGHUP, which would end the process if nothing took it."""
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))


class EarlySignals:
    """Notes the notices that come before there is a loop to take them; either would end the process otherwise."""

    def __init__(self) -> None:
        self.stop_requested = self.reload_requested = False
        signal.signal(signal.SIGTERM, self._note_stop)
        signal.signal(signal.SIGINT, self._note_stop)
        signal.signal(signal.SIGHUP, self._note_reload)

    def _note_stop(self, *_: Any) -> None:
        self.stop_requested = True

    def _note_reload(self, *_: Any) -> None:
        self.reload_requested = True
