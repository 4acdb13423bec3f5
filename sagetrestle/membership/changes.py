"""Record changes merged by name: the newest state wins, withdrawals go first, and a step takes a bounded number.

In a flood a name may change a hundred times before it is looked at; only the last counts, so memory is bounded
by the names and work by the steps. A withdrawal never waits behind an announcement.
"""

from __future__ import annotations

from collections import OrderedDict

from sagetrestle.membership.values import Instance


class RecordChangeQueue:
    """Changes that wait, at most ``max_names`` names; what does not fit asks for a whole reading instead."""

    def __init__(self, max_names: int) -> None:
        self._max_names = max_names
        self._withdrawals: OrderedDict[str, Instance | None] = OrderedDict()
        self._announcements: OrderedDict[str, Instance] = OrderedDict()
        self.overflowed = False
        self.merged = 0

    def __len__(self) -> int:
        return len(self._withdrawals) + len(self._announcements)

    def put(self, name: str, instance: Instance | None) -> None:
        """Take a change in: an instance as it is now, or None where its record is gone."""
        known = self._withdrawals.pop(name, self) is not self
        known = self._announcements.pop(name, None) is not None or known
        self.merged += known
        if instance is None or instance.draining:
            self._withdrawals[name] = instance
        elif len(self) >= self._max_names:
            # To drop it would leave a live instance out; the owner reads everything again instead.
            self.overflowed = True
        else:
            self._announcements[name] = instance

    def take(self, max_changes: int) -> list[tuple[str, Instance | None]]:
        """Return up to ``max_changes`` changes, all that leave before those that come."""
        taken: list[tuple[str, Instance | None]] = []
        for line in (self._withdrawals, self._announcements):
            while line and len(taken) < max_changes:
                taken.append(line.popitem(last=False))  # type: ignore[arg-type]
        return taken

    def clear(self) -> None:
        """Forget what waits: a whole reading has come."""
        self._withdrawals.clear()
        self._announcements.clear()
        self.overflowed = False
