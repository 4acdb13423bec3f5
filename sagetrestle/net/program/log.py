"""The log: lines on standard error, bounded in number and length."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable

LONGEST = 400
LINES_A_SECOND = 50  # a peer that sends rubbish must not turn the log into the load


def set_up() -> logging.Logger:
    """Return the program's logger."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s.%(msecs)03d %(message)s", "%H:%M:%S"))
    logger = logging.getLogger("sagetrestle")
    logger.handlers[:] = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return logger


class BoundedLog:
    """Writes lines, and counts those over the bound of their second in place of writing them."""

    def __init__(self, write: Callable[[str], None], now_us: Callable[[], int]) -> None:
        self._write, self._now_us = write, now_us
        self._second, self._lines, self._left_out = -1, 0, 0

    def line(self, text: str) -> None:
        """Write a line, on one line whatever is in it."""
        second = self._now_us() // 1_000_000
        if second != self._second:
            if self._left_out:
                self._write(f"log: {self._left_out} lines left out")
            self._second, self._lines, self._left_out = second, 0, 0
        self._lines += 1
        if self._lines > LINES_A_SECOND:
            self._left_out += 1
            return
        self._write(text[:LONGEST].replace("\n", " "))
