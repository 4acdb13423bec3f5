"""A member's side of hard limits: what it may spend alone, what it asks for, what it gives back.

A unit is taken before its charge starts and given back if that never ran. What a member holds is known by a version;
it lowers its own total before it says so, and raises it only by a newer version, so a lost, late or repeated word of
the granter can never let it spend what somebody else was granted meanwhile. Times are microseconds, ``now`` monotonic.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from sagetrestle.quota.values import Limit

REQUEST_INTERVAL_US = 100_000  # between askings
IDLE_RETURN_US = 2_000_000  # without a charge, after which what is not spent goes back
RECALL_WAIT_US = 400_000  # for which others are asked to give back, before nothing left is believed
EXHAUSTED_HOLD_US = 1_000_000  # for which it is believed then
GRANTER_TIMEOUT_US = 1_000_000  # without a word of the granter, after which what waits is refused
ACCOUNT_RETENTION_US = 60_000_000  # after its window's end


class CapResult(Enum):
    """Whether a charge may be spent."""

    TAKEN = "one unit is taken for it"
    WAITING = "a unit is asked for"
    EXHAUSTED = "nothing is left"
    GRANTER_SILENT = "the granter can not be heard: nobody can tell"


class CapRequest(NamedTuple):
    """Tell the granter what is kept of a limit, and how much more is wanted."""

    limit: Limit
    cap: int
    version: int
    total: int
    wanted: int


class WaitersReady(NamedTuple):
    """What waited for this limit may ask again."""

    limit: Limit


@dataclass(slots=True)
class CapAccount:
    """One limit here."""

    limit: Limit
    cap: int
    version: int = 0
    total: int = 0
    used: int = 0
    waiting: dict[str, None] = field(default_factory=dict)
    requested_us: int | None = None
    exhausted_since_us: int | None = None  # since when nothing is left
    exhausted_until_us: int | None = None  # until when that is believed
    granter_heard_us: int = 0  # the granter, or when the first began to wait for it
    last_used_us: int = 0


class CapHolder:
    """All limits that this member spends of."""

    def __init__(self) -> None:
        self.accounts: dict[str, CapAccount] = {}

    def take(self, now: int, limit: Limit, cap: int, id: str) -> CapResult:
        """Take a unit for a charge, if one is here; else it waits under its id."""
        one = self.accounts.setdefault(limit.name, CapAccount(limit, cap))
        one.cap = cap
        if one.used < min(one.total, cap):
            one.used, one.last_used_us = one.used + 1, now
            one.waiting.pop(id, None)
            return CapResult.TAKEN
        if one.used >= cap or one.exhausted_until_us is not None and now < one.exhausted_until_us:
            one.waiting.pop(id, None)
            return CapResult.EXHAUSTED
        if not one.waiting:
            one.granter_heard_us = now
        elif now - one.granter_heard_us >= GRANTER_TIMEOUT_US:
            one.waiting.pop(id, None)
            return CapResult.GRANTER_SILENT
        one.waiting[id] = None
        return CapResult.WAITING

    def refund(self, limit: Limit) -> None:
        """Take back that a unit was spent: its charge never ran."""
        one = self.accounts.get(limit.name)
        if one is not None and one.used:
            one.used -= 1

    def cancel_wait(self, limit: Limit, id: str) -> None:
        """Let a charge wait no more."""
        one = self.accounts.get(limit.name)
        if one is not None:
            one.waiting.pop(id, None)

    def apply_grant(self, now: int, name: str, version: int, total: int, left: int) -> list[WaitersReady]:
        """Take the granter's word."""
        one = self.accounts.get(name)
        if one is None:
            return []
        one.granter_heard_us = now
        if version > one.version:
            one.version, one.total = version, total
        if one.used < one.total:
            one.exhausted_since_us = one.exhausted_until_us = None
            return [WaitersReady(one.limit)] if one.waiting else []
        if left > 0 or not one.waiting:
            return []
        if one.exhausted_since_us is None:
            one.exhausted_since_us = now
        if now - one.exhausted_since_us < RECALL_WAIT_US:
            return []
        one.exhausted_since_us, one.exhausted_until_us = None, now + EXHAUSTED_HOLD_US
        return [WaitersReady(one.limit)]

    def recall(self, now: int, name: str) -> list[CapRequest]:
        """Give back what is not spent, as somebody else needs it."""
        one = self.accounts.get(name)
        return [self._ask(now, one)] if one is not None and one.total > one.used and not one.waiting else []

    def tick(self, now: int, unix: int) -> list[CapRequest | WaitersReady]:
        """CapRequest again, give back what lies idle, forget windows that are long over."""
        found: list[CapRequest | WaitersReady] = []
        for name, one in list(self.accounts.items()):
            due = one.requested_us is None or now - one.requested_us >= REQUEST_INTERVAL_US
            if one.waiting and due or one.total > one.used and now - one.last_used_us >= IDLE_RETURN_US and due:
                found.append(self._ask(now, one))
                found += (
                    [WaitersReady(one.limit)]
                    if one.waiting and now - one.granter_heard_us >= GRANTER_TIMEOUT_US
                    else []
                )
            elif not one.waiting and unix > one.limit.until_us + ACCOUNT_RETENTION_US:
                del self.accounts[name]
        return found

    def request_units(self, now: int, limit: Limit) -> list[CapRequest]:
        """CapRequest for what waits, unless that was asked for just now."""
        one = self.accounts[limit.name]
        return (
            []
            if one.requested_us is not None and now - one.requested_us < REQUEST_INTERVAL_US
            else [self._ask(now, one)]
        )

    def _ask(self, now: int, one: CapAccount) -> CapRequest:
        """Lower the total to what is spent, then say so: until a newer version comes nothing more can be."""
        one.requested_us, one.total = now, min(one.total, one.used)
        return CapRequest(one.limit, one.cap, one.version, one.total, len(one.waiting))
