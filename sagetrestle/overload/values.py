"""Constants and types of overload control."""

from __future__ import annotations

from typing import NamedTuple

WORTH_TIERS = 3
PRIORITY_BANDS = WORTH_TIERS * 2 * 2 * 2
PRIORITY_STEPS = PRIORITY_BANDS * 8  # priority steps by which demand is counted
PRIORITY_EXEMPT = 0.0  # a request that ran before, or whose outcome is queried: no level rejects it
PRIORITY_REFUSED = 2.0  # a request not covered by the retry budget: every level rejects it
ADMIT_ALL = 1.5  # the level that admits all requests covered by the retry budget


class AdmissionReport(NamedTuple):
    """A member's load since its last report: arrivals by priority step, and the state of its work.

    ``clients`` are the clients with the most requests, and their counts.
    """

    region: str
    number: int
    demand: tuple[tuple[int, int], ...]
    done: int
    waiting: int
    slots: float
    in_use: int
    clients: tuple[tuple[str, int], ...] = ()


class AdmissionLevel(NamedTuple):
    """Admits requests with a priority below ``level``.

    ``heavy``: clients above their share, with the part of their requests that keeps its band; the rest is demoted.
    """

    level: float = ADMIT_ALL
    heavy: tuple[tuple[str, float], ...] = ()
