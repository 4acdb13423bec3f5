"""The notices to leave and to read the configuration again."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any


def on_stop(reactor: Any, stop: Callable[[], None]) -> None:
    """Call ``stop`` in the loop when the process is told to leave."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(stop))


def on_reload(reactor: Any, reload: Callable[[], None]) -> None:
    """Call ``reload`` in the loop at SIGHUP, which would end the process if nothing took it."""
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))


def ignore_reload() -> None:
    """Let a reload that comes before the first reading of the configuration pass."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
