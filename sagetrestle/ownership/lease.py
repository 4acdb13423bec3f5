"""Leases: counted at the holder from its asking, at the grantor from its answer, with the drift between clocks.

So a holder's lease is over by every clock within the drift before the grantor counts it as over, whatever the wire
does. Clocks are never compared, only their lengths of time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

ASK_SHARE = 0.25  # of the lease, between two askings
MOST_ASKED = 64


@dataclass(slots=True)
class Holder:
    """A member's side: ``until`` by its own clock."""

    lease_us: int
    until_us: int = 0
    number: int = 0
    due_us: int = 0
    _asked: dict[int, int] = field(default_factory=dict)

    def ask(self, now: int) -> int:
        """Return the number of a new asking."""
        self.number += 1
        self.due_us = now + int(self.lease_us * ASK_SHARE)
        self._asked[self.number] = now
        self._asked.pop(self.number - MOST_ASKED, None)
        return self.number

    def granted(self, number: int) -> None:
        """Take the grant of an asking: the lease counts from when it was asked."""
        asked = self._asked.pop(number, None)
        if asked is not None:
            self.until_us = max(self.until_us, asked + self.lease_us)

    def holds(self, now: int) -> bool:
        """Tell whether the lease lasts."""
        return now < self.until_us


@dataclass(slots=True)
class Grantor:
    """The council's leader: until when each member may hold a lease, by the leader's clock."""

    lease_us: int
    drift: float
    since_us: int = 0  # when it began to lead: what another granted before may last from then
    until: dict[str, int] = field(default_factory=dict)

    @property
    def span_us(self) -> int:
        """Return how long a grant lasts at most by the grantor's clock."""
        return int(self.lease_us * (1 + self.drift)) + 1

    def begin(self, now: int) -> None:
        """Begin to lead."""
        self.since_us, self.until = now, {}

    def grant(self, id: str, now: int) -> None:
        """Note a grant that is answered now."""
        self.until[id] = now + self.span_us

    def may_hold(self, id: str, now: int) -> bool:
        """Tell whether a member may still believe that it holds a lease."""
        return now < self.until.get(id, self.since_us + self.span_us)

    def forget(self, known: set[str]) -> None:
        """Keep only members that are known."""
        self.until = {id: at for id, at in self.until.items() if id in known}
