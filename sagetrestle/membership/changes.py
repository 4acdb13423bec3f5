"""Record changes merged by name: the newest state wins, withdrawals go first, and a step takes a bounded number.

In a flood a name may change a hundred times before it is looked at; only the last counts, so memory is bounded
by the names and work by the steps. A withdrawal never waits behind an announcement.
"""

from __future__ import annotations

from collections import OrderedDict

from sagetrestle.membership.values import Instance


class ChangeQueue:
    """Changes that wait, at most ``most`` names; what does not fit asks for a whole reading instead."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._leaving: OrderedDict[str, Instance | None] = OrderedDict()
        self._coming: OrderedDict[str, Instance] = OrderedDict()
        self.overflowed = False
        self.merged = 0

    def __len__(self) -> int:
        return len(self._leaving) + len(self._coming)

    def put(self, name: str, instance: Instance | None) -> None:
        """Take a change in: an instance as it is now, or None where its record is gone."""
        known = self._leaving.pop(name, self) is not self
        known = self._coming.pop(name, None) is not None or known
        self.merged += known
        if instance is None or instance.draining:
            self._leaving[name] = instance
        elif len(self) >= self._most:
            # To drop it would leave a live instance out; the owner reads everything again instead.
            self.overflowed = True
        else:
            self._coming[name] = instance

    def take(self, most: int) -> list[tuple[str, Instance | None]]:
        """Return up to ``most`` changes, all that leave before those that come."""
        taken: list[tuple[str, Instance | None]] = []
        for line in (self._leaving, self._coming):
            while line and len(taken) < most:
                taken.append(line.popitem(last=False))  # type: ignore[arg-type]
        return taken

    def clear(self) -> None:
        """Forget what waits: a whole reading has come."""
        self._leaving.clear()
        self._coming.clear()
        self.overflowed = False
