"""One member's part in promises: its counts to their deciders, regions' words to the picture, plans to its steering.

Loaded only where ``deploy/promises.toml`` is there.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from sagetrestle.picture import Picture
from sagetrestle.promises.decider import PromiseDecider
from sagetrestle.promises.values import Contracts, Planned, RegionSaid, Served
from sagetrestle.takeover import messages

Said = tuple[str, messages.FleetMessage]
ROWS_A_MESSAGE = 200


class PromiseParticipant:
    """``owner_of`` names a key's partition, epoch and owner."""

    def __init__(self, contracts: Contracts, picture: Picture, owner_of: Callable[[str], tuple[int, int, str]]) -> None:
        self.decider = PromiseDecider(contracts, picture)
        self._picture, self._owner_of = picture, owner_of
        self._heard: dict[tuple[str, str], int] = {}  # the epoch of the plan that holds

    def report(self, rows: Iterable[Served]) -> list[Said]:
        """Say to each promise's decider what was counted here."""
        parts: dict[tuple[int, int, str], list[Served]] = {}
        for row in rows:
            parts.setdefault(self._owner_of(f"promise {row.tenant}"), []).append(row)
        return [
            (owner, messages.ServedReport(at, epoch, tuple(part[first : first + ROWS_A_MESSAGE])))
            for (at, epoch, owner), part in parts.items()
            for first in range(0, len(part), ROWS_A_MESSAGE)
        ]

    def seen(self, now: int, unix: int, lines: Iterable[tuple[str, str, RegionSaid]]) -> None:
        """Tell all what was seen of regions here."""
        for region, cls, said in lines:
            self._picture.put(now, unix, "region", f"{region}\0{cls}", said)

    def asked(self, now: int, unix: int, since_us: int, sender: str, what: messages.ServedReport) -> None:
        """Take a member's counts, as their decider."""
        self.decider.report(now, unix, since_us, sender, what.rows)

    def told(self, what: messages.PlanUpdate) -> tuple[Planned, ...]:
        """Take plans, and return those that count: of the latest epoch that was heard."""
        found = []
        for one in what.plans:
            key = (one.tenant, one.cls)
            if what.epoch >= self._heard.get(key, 0):
                self._heard[key] = what.epoch
                found.append(one)
        return tuple(found)

    def passed(self, now: int, unix: int, owns: Callable[[str], bool]) -> list[Said]:
        """Let time pass for what this member decides."""
        found: list[Said] = []
        for id, plans in self.decider.passed(now, unix, lambda key: self._owner_of(key)[1], owns):
            by_epoch: dict[int, list[Planned]] = {}
            for one in plans:
                by_epoch.setdefault(self._owner_of(f"promise {one.tenant}")[1], []).append(one)
            found += [
                (id, messages.PlanUpdate(epoch, tuple(part[first : first + ROWS_A_MESSAGE])))
                for epoch, part in by_epoch.items()
                for first in range(0, len(part), ROWS_A_MESSAGE)
            ]
        return found
