"""The words of overload."""

from __future__ import annotations

from typing import NamedTuple

WORTH_TIERS = 3
PRIORITY_BANDS = WORTH_TIERS * 2 * 2 * 2
PRIORITY_STEPS = PRIORITY_BANDS * 8  # of the order of requests, in which demand is counted
PRIORITY_EXEMPT = 0.0  # the place of what ran before, or is asked after: never turned away by a level
PRIORITY_REFUSED = 2.0  # past every level: no budget pays for it
ADMIT_ALL = 1.5  # the level at which all is taken, but for what no budget pays for


class AdmissionReport(NamedTuple):
    """What one member saw since its last report: what came by steps of the order, and how its work stands.

    ``clients`` are those that asked most, and how often.
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
    """What is taken: places in the order under ``level``; of ``heavy`` clients the share that counts as inside."""

    level: float = ADMIT_ALL
    heavy: tuple[tuple[str, float], ...] = ()
