"""What a server of the laboratory bears, and when it is well: the same figures for real processes and the model."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True)
class Capacity:
    """So many lanes, each with one request at a time; the rest wait in the order they came, wanted or not.

    ``crowd`` makes each that is there beyond the lanes slow all others by that share; one that began less than
    ``cold_s`` ago takes ``cold`` times as long, falling to once.
    """

    lanes: int = 2
    work_s: float = 0.06
    crowd: float = 0.0
    cold_s: float = 0.0
    cold: float = 3.0

    @property
    def per_s(self) -> float:
        """Return the requests a second that it can do when warm and not crowded."""
        return self.lanes / self.work_s

    def work_for(self, at_once: int, age_s: float) -> float:
        """Return how long a request takes, begun with so many there, so long after the start."""
        slower = 1.0 + self.crowd * max(0, at_once - self.lanes)
        if self.cold_s and age_s < self.cold_s:
            slower *= 1.0 + (self.cold - 1.0) * (1.0 - age_s / self.cold_s)
        return self.work_s * slower


class Flaps(NamedTuple):
    """A timetable of health: from ``since`` on bad for ``bad_s`` and then well for ``good_s``, again and again."""

    bad_s: float = 0.0
    good_s: float = 1.0
    since: float = 0.0
    until: float = float("inf")

    def bad(self, now: float) -> bool:
        """Tell whether it is bad now (the clock that ``since`` is of)."""
        if not self.bad_s or not self.since <= now < self.until:
            return False
        return (now - self.since) % (self.bad_s + self.good_s) < self.bad_s
