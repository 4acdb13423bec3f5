"""Histories: what callers asked and were told, what ran where effects are made; and what is wrong in one.

Both sides write down what they saw; nothing comes from the code under test. Times are the monotonic clock's, in
seconds; all processes of a rig share the machine and so the clock.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple


class Asked(NamedTuple):
    """A caller's try of a charge, and what it was told: ``served``, ``refused``, ``failed``, ``silent``, ``broken``.

    ``result`` is what a served try got.
    """

    key: str
    at: float
    told_at: float
    front: str
    how: str
    result: bytes = b""


class Ran(NamedTuple):
    """An effect: a run of a charge begun at a stand-in, named by its key and the run's own id."""

    key: str
    run: str
    at: float
    where: str
    token: tuple[int, int, str] | None = None  # partition, epoch, owner
    result: bytes = b""  # what it made; empty: a kernel's, which names the run


class Held(NamedTuple):
    """A member believed that it owned a partition in an epoch, from then to then, as it told itself."""

    partition: int
    epoch: int
    member: str
    since: float
    until: float


@dataclass
class Findings:
    """What is wrong, by kind; every list is empty where all is well."""

    charges: int = 0
    served: int = 0
    never_served: list[str] = field(default_factory=list)  # no try was; not wrong by itself
    doubled: list[str] = field(default_factory=list)  # ran more than once
    invented: list[str] = field(default_factory=list)  # served, and no run made it
    differing: list[str] = field(default_factory=list)  # two answers to one key
    overlaps: list[str] = field(default_factory=list)  # two owners at a moment
    backwards: list[str] = field(default_factory=list)  # an effect of an epoch older than one before

    @property
    def broken(self) -> list[str]:
        """Return all that no history may have."""
        return [
            f"{kind}: {one}"
            for kind in ("doubled", "invented", "differing", "overlaps", "backwards")
            for one in getattr(self, kind)
        ]

    def line(self) -> str:
        """Return the counts."""
        return (
            f"{self.charges} charges, {self.served} served, {len(self.never_served)} never served, "
            f"{len(self.doubled)} ran twice, {len(self.invented)} invented, {len(self.differing)} differing, "
            f"{len(self.overlaps)} overlapping owners, {len(self.backwards)} backwards"
        )


@dataclass
class History:
    """What was seen."""

    asked: list[Asked] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    held: list[Held] = field(default_factory=list)

    def check(self) -> Findings:
        """Return what is wrong."""
        found = Findings()
        runs: dict[str, list[Ran]] = defaultdict(list)
        for one in self.ran:
            runs[one.key].append(one)
        found.doubled = [
            f"{key} at {', '.join(one.where for one in many)}" for key, many in sorted(runs.items()) if len(many) > 1
        ]
        tries: dict[str, list[Asked]] = defaultdict(list)
        for asked in self.asked:
            tries[asked.key].append(asked)
        found.charges = len(tries)
        for key, many in sorted(tries.items()):
            results = {one.result for one in many if one.how == "served"}
            found.served += bool(results)
            if not results:
                found.never_served.append(key)
            if len(results) > 1:
                found.differing.append(key)
            made = {one.result or f"result of {one.run}".encode() for one in runs[key]}
            first = min((one.at for one in runs[key]), default=float("inf"))
            if results - made or any(one.told_at < first for one in many if one.how == "served"):
                found.invented.append(key)
        found.overlaps, found.backwards = _overlaps(self.held), _backwards(self.ran)
        return found


def _overlaps(held: Iterable[Held]) -> list[str]:
    by: dict[int, list[Held]] = defaultdict(list)
    for one in held:
        by[one.partition].append(one)
    found = []
    for partition, many in by.items():
        many.sort(key=lambda one: one.since)
        latest = many[0]
        for one in many[1:]:
            if one.member != latest.member and one.since < latest.until:
                found.append(
                    f"partition {partition}: {latest.member} until {latest.until:.3f}, "
                    f"{one.member} since {one.since:.3f}"
                )
            latest = max(latest, one, key=lambda each: each.until)
    return found


def _backwards(ran: Iterable[Ran]) -> list[str]:
    """Effects that a stand-in took with an epoch older than one that it had taken for the partition."""
    newest: Counter[tuple[str, int]] = Counter()
    found = []
    for one in sorted(ran, key=lambda one: one.at):
        if one.token is not None:
            partition, epoch, _ = one.token
            if epoch < newest[(one.where, partition)]:
                found.append(f"{one.key}: partition {partition}, epoch {epoch} at {one.where}")
            newest[(one.where, partition)] = max(epoch, newest[(one.where, partition)])
    return found
