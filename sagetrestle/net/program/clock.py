"""Monotonic time in whole microseconds, and its relation to Unix time."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """The monotonic clock, read once a turn, with conversion from Unix time."""

    def __init__(
        self, monotonic_ns: Callable[[], int] = time.monotonic_ns, unix_ns: Callable[[], int] = time.time_ns
    ) -> None:
        self._monotonic_ns, self._unix_ns = monotonic_ns, unix_ns
        self.unix_offset_us = 0  # Unix time minus monotonic time, at the last reading
        self.read()

    def read(self) -> int:
        """Return the monotonic time in microseconds, and update the offset of the Unix clock."""
        now = self._monotonic_ns() // 1000
        self.unix_offset_us = self._unix_ns() // 1000 - now
        return now

    def unix_us(self) -> int:
        """Return the Unix time in microseconds."""
        return self._unix_ns() // 1000

    def from_unix_ms(self, unix_ms: int) -> int:
        """Convert a Unix time in milliseconds to monotonic microseconds."""
        return unix_ms * 1000 - self.unix_offset_us
