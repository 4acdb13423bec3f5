"""The notice to leave."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any


def on_stop(reactor: Any, stop: Callable[[], None]) -> None:
    """Call ``stop`` in the loop when the process is told to leave."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(stop))
