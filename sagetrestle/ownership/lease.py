"""Leases: counted at the holder from its asking, at the grantor from its answer, with the drift between clocks.

So a holder's lease is over by every clock within the drift before the grantor counts it as over, whatever the wire
does. Clocks are never compared, only their lengths of time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

REQUEST_INTERVAL_SHARE = 0.25  # of the lease, between two askings
MAX_PENDING_REQUESTS = 64


@dataclass(slots=True)
class LeaseHolder:
    """A member's side: ``expires_us`` by its own clock."""

    lease_us: int
    until_us: int = 0
    number: int = 0
    due_us: int = 0
    _requested_us: dict[int, int] = field(default_factory=dict)

    def start_request(self, now: int) -> int:
        """Return the number of a new asking."""
        self.number += 1
        self.due_us = now + int(self.lease_us * REQUEST_INTERVAL_SHARE)
        self._requested_us[self.number] = now
        self._requested_us.pop(self.number - MAX_PENDING_REQUESTS, None)
        return self.number

    def accept_grant(self, number: int) -> None:
        """Take the grant of an asking: the lease counts from when it was asked."""
        asked = self._requested_us.pop(number, None)
        if asked is not None:
            self.until_us = max(self.until_us, asked + self.lease_us)

    def is_held(self, now: int) -> bool:
        """Tell whether the lease lasts."""
        return now < self.until_us


@dataclass(slots=True)
class LeaseGrantor:
    """The council's leader: until when each member may hold a lease, by the leader's clock."""

    lease_us: int
    drift: float
    leading_since_us: int = 0  # when it began to lead: what another granted before may last from then
    expires_us: dict[str, int] = field(default_factory=dict)

    @property
    def max_grant_us(self) -> int:
        """Return how long a grant lasts at most by the grantor's clock."""
        return int(self.lease_us * (1 + self.drift)) + 1

    def start_term(self, now: int) -> None:
        """Begin to lead."""
        self.leading_since_us, self.expires_us = now, {}

    def record_grant(self, id: str, now: int) -> None:
        """Note a grant that is answered now."""
        self.expires_us[id] = now + self.max_grant_us

    def may_hold(self, id: str, now: int) -> bool:
        """Tell whether a member may still believe that it holds a lease."""
        return now < self.expires_us.get(id, self.leading_since_us + self.max_grant_us)

    def retain_members(self, known: set[str]) -> None:
        """Keep only members that are known."""
        self.expires_us = {id: at for id, at in self.expires_us.items() if id in known}
