"""Time: whole microseconds on the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """The monotonic clock, read once a turn, and the way to it from Unix time."""

    def __init__(
        self, monotonic_ns: Callable[[], int] = time.monotonic_ns, unix_ns: Callable[[], int] = time.time_ns
    ) -> None:
        self._monotonic_ns, self._unix_ns = monotonic_ns, unix_ns
        self.unix_offset_us = 0  # of the Unix clock, at the last reading
        self.read()

    def read(self) -> int:
        """Return the time of this turn, and note how far ahead the Unix clock is."""
        now = self._monotonic_ns() // 1000
        self.unix_offset_us = self._unix_ns() // 1000 - now
        return now

    def unix_us(self) -> int:
        """Return the time of day in Unix microseconds."""
        return self._unix_ns() // 1000

    def from_unix_ms(self, unix_ms: int) -> int:
        """Return a Unix time in milliseconds on the monotonic clock."""
        return unix_ms * 1000 - self.unix_offset_us
