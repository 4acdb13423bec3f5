"""One member's part in promises: its counts to their deciders, regions' words to the picture, plans to its steering.

Loaded only where ``deploy/promises.toml`` is there.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from sagetrestle.gossip import GossipStore
from sagetrestle.objectives.decider import ObjectiveDecider
from sagetrestle.objectives.values import ObjectiveConfig, RegionPlan, RegionReport, ServedCounts
from sagetrestle.takeover import messages

Said = tuple[str, messages.FleetMessage]
ROWS_A_MESSAGE = 200


class PromiseParticipant:
    """``owner_of`` names a key's partition, epoch and owner."""

    def __init__(
        self, contracts: ObjectiveConfig, picture: GossipStore, owner_of: Callable[[str], tuple[int, int, str]]
    ) -> None:
        self.decider = ObjectiveDecider(contracts, picture)
        self._picture, self._owner_of = picture, owner_of
        self._heard: dict[tuple[str, str], int] = {}  # the epoch of the plan that holds

    def report(self, rows: Iterable[ServedCounts]) -> list[Said]:
        """Say to each promise's decider what was counted here."""
        parts: dict[tuple[int, int, str], list[ServedCounts]] = {}
        for row in rows:
            parts.setdefault(self._owner_of(f"promise {row.tenant}"), []).append(row)
        return [
            (owner, messages.ServedReport(at, epoch, tuple(part[first : first + ROWS_A_MESSAGE])))
            for (at, epoch, owner), part in parts.items()
            for first in range(0, len(part), ROWS_A_MESSAGE)
        ]

    def seen(self, now: int, unix: int, lines: Iterable[tuple[str, str, RegionReport]]) -> None:
        """Tell all what was seen of regions here."""
        for region, cls, said in lines:
            self._picture.publish(now, unix, "region", f"{region}\0{cls}", said)

    def asked(self, now: int, unix: int, since_us: int, sender: str, what: messages.ServedReport) -> None:
        """Take a member's counts, as their decider."""
        self.decider.handle_counts(now, unix, since_us, sender, what.rows)

    def told(self, what: messages.PlanUpdate) -> tuple[RegionPlan, ...]:
        """Take plans, and return those that count: of the latest epoch that was heard."""
        found = []
        for one in what.plans:
            key = (one.tenant, one.class_name)
            if what.epoch >= self._heard.get(key, 0):
                self._heard[key] = what.epoch
                found.append(one)
        return tuple(found)

    def passed(self, now: int, unix: int, owns: Callable[[str], bool]) -> list[Said]:
        """Let time pass for what this member decides."""
        found: list[Said] = []
        for id, plans in self.decider.tick(now, unix, lambda key: self._owner_of(key)[1], owns):
            by_epoch: dict[int, list[RegionPlan]] = {}
            for one in plans:
                by_epoch.setdefault(self._owner_of(f"promise {one.tenant}")[1], []).append(one)
            found += [
                (id, messages.PlanUpdate(epoch, tuple(part[first : first + ROWS_A_MESSAGE])))
                for epoch, part in by_epoch.items()
                for first in range(0, len(part), ROWS_A_MESSAGE)
            ]
        return found
