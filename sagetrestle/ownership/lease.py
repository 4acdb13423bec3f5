"""Leases. The holder counts from its request, the grantor from its reply plus the maximum clock drift.

The holder's lease therefore always expires before the grantor considers it expired, whatever the network delay, as long
as the clocks stay within the drift. Only durations are compared, never clock readings of two machines.
"""

from __future__ import annotations

from dataclasses import dataclass, field

REQUEST_INTERVAL_SHARE = 0.25  # fraction of the lease between two requests
MAX_PENDING_REQUESTS = 64


@dataclass(slots=True)
class LeaseHolder:
    """The lease as its holder sees it; ``until_us`` is its expiry by the holder's own clock."""

    lease_us: int
    until_us: int = 0
    number: int = 0
    due_us: int = 0
    _requested_us: dict[int, int] = field(default_factory=dict)

    def start_request(self, now: int) -> int:
        """Start a lease request and return its number."""
        self.number += 1
        self.due_us = now + int(self.lease_us * REQUEST_INTERVAL_SHARE)
        self._requested_us[self.number] = now
        self._requested_us.pop(self.number - MAX_PENDING_REQUESTS, None)
        return self.number

    def accept_grant(self, number: int) -> None:
        """Accept the grant of a request; the lease runs from the time of the request."""
        asked = self._requested_us.pop(number, None)
        if asked is not None:
            self.until_us = max(self.until_us, asked + self.lease_us)

    def is_held(self, now: int) -> bool:
        """Return whether the lease is still valid."""
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
        """Start a term as leader, with no grants known."""
        self.leading_since_us, self.expires_us = now, {}

    def record_grant(self, id: str, now: int) -> None:
        """Record a grant that is sent now."""
        self.expires_us[id] = now + self.max_grant_us

    def may_hold(self, id: str, now: int) -> bool:
        """Tell whether a member may still believe that it holds a lease."""
        return now < self.expires_us.get(id, self.leading_since_us + self.max_grant_us)

    def retain_members(self, known: set[str]) -> None:
        """Keep only members that are known."""
        self.expires_us = {id: at for id, at in self.expires_us.items() if id in known}
