"""What a member sends to servers: within its slots, paid for by its tries, and only what can still be in time."""

from __future__ import annotations

from collections import Counter

from sagetrestle.overload.retry_budget import RetryBudget
from sagetrestle.quota.permits import PermitReport, PermitHolder, PermitGrant

MIN_TIME_SHARE = 0.5  # of a server's delay without a queue: with less time left a try can not be in time


class Dispatcher:
    """The slots and tries of one member."""

    def __init__(self, retry_budget: RetryBudget) -> None:
        self.retry_budget, self.permits = retry_budget, PermitHolder()
        self.done: Counter[str] = Counter()  # answers since this was asked, by server

    def full(self, now: int) -> tuple[str, ...]:
        """Return the servers that take no further request of this member now."""
        return tuple(name for name in self.permits.servers if not self.permits.free(now, name))

    def out(self) -> tuple[str, ...]:
        """Return the servers that are removed for the whole fleet: only what is bound to them, or a trial, goes."""
        return self.permits.removed()

    def free(self, now: int, name: str) -> bool:
        """Tell whether a request may be sent to a server."""
        return self.permits.free(now, name)

    def in_time(self, name: str, left_us: int) -> bool:
        """Tell whether a server may still answer within the time left."""
        one = self.permits.servers.get(name)
        return one is None or left_us >= one.base_us * MIN_TIME_SHARE

    def may_again(self, now: int) -> bool:
        """Tell whether a try beyond the first ones is paid for."""
        return self.retry_budget.allows(now)

    def began(self, now: int, name: str) -> None:
        """Count a request that is sent."""
        self.retry_budget.add_sent(now)
        self.permits.acquire(name)

    def ended(
        self, now: int, name: str, took_us: int, good: bool | None, reached: bool = True, lingers: bool = False
    ) -> None:
        """Count one that is over; one that reached no server was no load, and its retry is one try with it."""
        if not reached:
            self.retry_budget.remove_sent(now)
        if good:
            self.done[name] += 1
        (self.permits.abandon if lingers else self.permits.release)(now, name, took_us, good)

    def tick(self, now: int, waiting: int) -> list[PermitReport]:
        """Say what is wanted, for so many that wait for any server; return the reports that are due."""
        servers = self.permits.servers
        each = -(-waiting // max(1, len(servers)))
        for name, one in servers.items():
            self.permits.set_demand(name, one.in_use + each)
        return self.permits.tick(now)

    def apply_grant(self, now: int, what: PermitGrant) -> bool:
        """Take a granter's word; tell whether it changes what may be sent."""
        return self.permits.apply_grant(now, what)

    def in_use(self) -> dict[str, int]:
        """Return how many requests are on the way, by server."""
        return {name: one.in_use for name, one in self.permits.servers.items()}
