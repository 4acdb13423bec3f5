"""A queue of record changes, merged by name: the newest state wins, withdrawals go first.

In a flood of changes a name may change many times before it is processed; only its last state counts, so memory is
bounded by the number of names, and work by the number taken per step. A withdrawal never waits behind announcements.
"""

from __future__ import annotations

from collections import OrderedDict

from sagetrestle.membership.values import Instance


class RecordChangeQueue:
    """Pending changes of at most ``max_names`` names; ``overflowed`` asks for a full listing instead."""

    def __init__(self, max_names: int) -> None:
        self._max_names = max_names
        self._withdrawals: OrderedDict[str, Instance | None] = OrderedDict()
        self._announcements: OrderedDict[str, Instance] = OrderedDict()
        self.overflowed = False
        self.merged = 0

    def __len__(self) -> int:
        return len(self._withdrawals) + len(self._announcements)

    def put(self, name: str, instance: Instance | None) -> None:
        """Add a change: the instance as it is now, or None where its record is gone."""
        was_queued = self._withdrawals.pop(name, self) is not self
        was_queued = self._announcements.pop(name, None) is not None or was_queued
        self.merged += was_queued
        if instance is None or instance.draining:
            self._withdrawals[name] = instance
        elif len(self) >= self._max_names:
            # Dropping the change would lose a live instance: the owner requests a full listing instead.
            self.overflowed = True
        else:
            self._announcements[name] = instance

    def take(self, max_changes: int) -> list[tuple[str, Instance | None]]:
        """Remove and return up to ``max_changes`` changes, withdrawals first."""
        taken: list[tuple[str, Instance | None]] = []
        for queue in (self._withdrawals, self._announcements):
            while queue and len(taken) < max_changes:
                taken.append(queue.popitem(last=False))  # type: ignore[arg-type]
        return taken

    def clear(self) -> None:
        """Drop all pending changes, as a full listing supersedes them."""
        self._withdrawals.clear()
        self._announcements.clear()
        self.overflowed = False
