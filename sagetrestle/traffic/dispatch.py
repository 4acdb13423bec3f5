"""What a member sends to servers: within its slots, paid for by its tries, and only what can still be in time."""

from __future__ import annotations

from collections import Counter

from sagetrestle.overload.retry_budget import Tries
from sagetrestle.quota.permits import AskSlots, SlotHolder, ToldSlots

IN_TIME = 0.5  # of a server's delay without a queue: with less time left a try can not be in time


class Sends:
    """The slots and tries of one member."""

    def __init__(self, tries: Tries) -> None:
        self.tries, self.slots = tries, SlotHolder()
        self.done: Counter[str] = Counter()  # answers since this was asked, by server

    def full(self, now: int) -> tuple[str, ...]:
        """Return the servers that take no further request of this member now."""
        return tuple(name for name in self.slots.servers if not self.slots.free(now, name))

    def out(self) -> tuple[str, ...]:
        """Return the servers that are removed for the whole fleet: only what is bound to them, or a trial, goes."""
        return self.slots.removed()

    def free(self, now: int, name: str) -> bool:
        """Tell whether a request may be sent to a server."""
        return self.slots.free(now, name)

    def in_time(self, name: str, left_us: int) -> bool:
        """Tell whether a server may still answer within the time left."""
        one = self.slots.servers.get(name)
        return one is None or left_us >= one.base_us * IN_TIME

    def may_again(self, now: int) -> bool:
        """Tell whether a try beyond the first ones is paid for."""
        return self.tries.may(now)

    def began(self, now: int, name: str) -> None:
        """Count a request that is sent."""
        self.tries.send(now)
        self.slots.take(name)

    def ended(
        self, now: int, name: str, took_us: int, good: bool | None, reached: bool = True, lingers: bool = False
    ) -> None:
        """Count one that is over; one that reached no server was no load, and its retry is one try with it."""
        if not reached:
            self.tries.unsent(now)
        if good:
            self.done[name] += 1
        (self.slots.leave if lingers else self.slots.give)(now, name, took_us, good)

    def passed(self, now: int, waiting: int) -> list[AskSlots]:
        """Say what is wanted, for so many that wait for any server; return the reports that are due."""
        servers = self.slots.servers
        each = -(-waiting // max(1, len(servers)))
        for name, one in servers.items():
            self.slots.want(name, one.in_use + each)
        return self.slots.passed(now)

    def told(self, now: int, what: ToldSlots) -> bool:
        """Take a granter's word; tell whether it changes what may be sent."""
        return self.slots.told(now, what)

    def in_use(self) -> dict[str, int]:
        """Return how many requests are on the way, by server."""
        return {name: one.in_use for name, one in self.slots.servers.items()}
