"""Bounds the requests that a member sends to servers: by permits, by the retry budget, and by their deadlines."""

from __future__ import annotations

from collections import Counter

from sagetrestle.overload.retry_budget import RetryBudget
from sagetrestle.quota.permits import PermitReport, PermitHolder, PermitGrant

MIN_TIME_SHARE = 0.5  # an attempt needs at least this part of a server's delay without a queue


class Dispatcher:
    """The permits and the retry budget of one member."""

    def __init__(self, retry_budget: RetryBudget) -> None:
        self.retry_budget, self.permits = retry_budget, PermitHolder()
        self.done: Counter[str] = Counter()  # answers since the last report, by server

    def full_servers(self, now: int) -> tuple[str, ...]:
        """Return the servers for which this member has no free permit."""
        return tuple(name for name in self.permits.servers if not self.permits.has_free_permit(now, name))

    def removed_servers(self) -> tuple[str, ...]:
        """Return the servers removed for the whole fleet; they get only trials and requests bound to them."""
        return self.permits.removed()

    def has_free_permit(self, now: int, name: str) -> bool:
        """Tell whether a request may be sent to a server."""
        return self.permits.has_free_permit(now, name)

    def can_answer_in_time(self, name: str, left_us: int) -> bool:
        """Tell whether a server may still answer within the time left."""
        server = self.permits.servers.get(name)
        return server is None or left_us >= server.base_us * MIN_TIME_SHARE

    def allows_retry(self, now: int) -> bool:
        """Tell whether the retry budget allows one more attempt."""
        return self.retry_budget.allows(now)

    def attempt_sent(self, now: int, name: str) -> None:
        """Count an attempt that is sent, and take a permit for it."""
        self.retry_budget.add_sent(now)
        self.permits.acquire(name)

    def attempt_finished(
        self, now: int, name: str, took_us: int, good: bool | None, reached: bool = True, lingers: bool = False
    ) -> None:
        """Count a finished attempt and release its permit.

        ``good`` is None if the result says nothing about the server. An attempt that did not reach the server caused no
        load, so it is taken off the retry budget. ``lingers``: the server may still work on it.
        """
        if not reached:
            self.retry_budget.remove_sent(now)
        if good:
            self.done[name] += 1
        (self.permits.abandon if lingers else self.permits.release)(now, name, took_us, good)

    def tick(self, now: int, waiting: int) -> list[PermitReport]:
        """Set the demand, with ``waiting`` requests for any server, and return the reports that are due."""
        servers = self.permits.servers
        each = -(-waiting // max(1, len(servers)))
        for name, server in servers.items():
            self.permits.set_demand(name, server.in_use + each)
        return self.permits.tick(now)

    def apply_grant(self, now: int, grant: PermitGrant) -> bool:
        """Apply a grant; return whether the share changed."""
        return self.permits.apply_grant(now, grant)

    def in_use(self) -> dict[str, int]:
        """Return the number of requests in flight, by server."""
        return {name: server.in_use for name, server in self.permits.servers.items()}
