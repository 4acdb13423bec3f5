"""The holder's side of spending caps: the units that a member may spend by itself, requests and returns.

A unit is taken before its charge starts and refunded if the charge never ran. The member's total has a version: the
member lowers the total before it reports the lower value, and raises it only for a newer version. A lost, late or
repeated message of the granter can therefore never let it spend units that were granted to another member in the
meantime. Times are microseconds, ``now`` is monotonic.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from sagetrestle.quota.values import Limit

REQUEST_INTERVAL_US = 100_000  # minimum time between two requests for the same limit
IDLE_RETURN_US = 2_000_000  # unspent units are returned after this time without a charge
RECALL_WAIT_US = 400_000  # time for other holders to return units before the cap counts as exhausted
EXHAUSTED_HOLD_US = 1_000_000  # how long charges are then denied without another request
GRANTER_TIMEOUT_US = 1_000_000  # waiting charges are refused after this time without a message of the granter
ACCOUNT_RETENTION_US = 60_000_000  # how long a limit's account is kept after the end of its window


class CapResult(Enum):
    """Whether a charge may run."""

    TAKEN = "a unit was taken for the charge"
    WAITING = "a unit has been requested"
    EXHAUSTED = "the cap is exhausted"
    GRANTER_SILENT = "the granter does not answer, so the remaining units are unknown"


class CapRequest(NamedTuple):
    """A request to the granter: the units of a limit that are kept, and the number that is wanted in addition."""

    limit: Limit
    cap: int
    version: int
    total: int
    wanted: int


class WaitersReady(NamedTuple):
    """Charges that wait for this limit should call ``CapHolder.take`` again."""

    limit: Limit


@dataclass(slots=True)
class CapAccount:
    """The account of one limit at this member."""

    limit: Limit
    cap: int
    version: int = 0
    total: int = 0
    used: int = 0
    waiting: dict[str, None] = field(default_factory=dict)
    requested_us: int | None = None  # time of the last request or return
    exhausted_since_us: int | None = None  # when the granter first reported no remaining units
    exhausted_until_us: int | None = None  # until this time charges are denied without a request
    granter_heard_us: int = 0  # time of the granter's last message, or start of the first wait
    last_used_us: int = 0


class CapHolder:
    """The accounts of all limits that this member spends from."""

    def __init__(self) -> None:
        self.accounts: dict[str, CapAccount] = {}

    def take(self, now: int, limit: Limit, cap: int, id: str) -> CapResult:
        """Take a unit for the charge ``id``; if there is none here, it waits, unless the cap is exhausted."""
        account = self.accounts.setdefault(limit.name, CapAccount(limit, cap))
        account.cap = cap
        if account.used < min(account.total, cap):
            account.used, account.last_used_us = account.used + 1, now
            account.waiting.pop(id, None)
            return CapResult.TAKEN
        if account.used >= cap or account.exhausted_until_us is not None and now < account.exhausted_until_us:
            account.waiting.pop(id, None)
            return CapResult.EXHAUSTED
        if not account.waiting:
            account.granter_heard_us = now
        elif now - account.granter_heard_us >= GRANTER_TIMEOUT_US:
            account.waiting.pop(id, None)
            return CapResult.GRANTER_SILENT
        account.waiting[id] = None
        return CapResult.WAITING

    def refund(self, limit: Limit) -> None:
        """Return the unit of a charge that never ran to the account."""
        account = self.accounts.get(limit.name)
        if account is not None and account.used:
            account.used -= 1

    def cancel_wait(self, limit: Limit, id: str) -> None:
        """Remove a charge from those that wait."""
        account = self.accounts.get(limit.name)
        if account is not None:
            account.waiting.pop(id, None)

    def apply_grant(self, now: int, name: str, version: int, total: int, remaining: int) -> list[WaitersReady]:
        """Apply a message of the granter; ``remaining`` is the number of units of the cap that nobody holds."""
        account = self.accounts.get(name)
        if account is None:
            return []
        account.granter_heard_us = now
        if version > account.version:
            account.version, account.total = version, total
        if account.used < account.total:
            account.exhausted_since_us = account.exhausted_until_us = None
            return [WaitersReady(account.limit)] if account.waiting else []
        if remaining > 0 or not account.waiting:
            return []
        if account.exhausted_since_us is None:
            account.exhausted_since_us = now
        if now - account.exhausted_since_us < RECALL_WAIT_US:
            return []
        account.exhausted_since_us, account.exhausted_until_us = None, now + EXHAUSTED_HOLD_US
        return [WaitersReady(account.limit)]

    def recall(self, now: int, name: str) -> list[CapRequest]:
        """Return unspent units that another holder needs."""
        account = self.accounts.get(name)
        return (
            [self._make_request(now, account)]
            if account is not None and account.total > account.used and not account.waiting
            else []
        )

    def tick(self, now: int, unix: int) -> list[CapRequest | WaitersReady]:
        """Repeat requests, return idle units and delete the accounts of windows that ended long ago."""
        found: list[CapRequest | WaitersReady] = []
        for name, account in list(self.accounts.items()):
            due = account.requested_us is None or now - account.requested_us >= REQUEST_INTERVAL_US
            if (
                account.waiting
                and due
                or account.total > account.used
                and now - account.last_used_us >= IDLE_RETURN_US
                and due
            ):
                found.append(self._make_request(now, account))
                found += (
                    [WaitersReady(account.limit)]
                    if account.waiting and now - account.granter_heard_us >= GRANTER_TIMEOUT_US
                    else []
                )
            elif not account.waiting and unix > account.limit.until_us + ACCOUNT_RETENTION_US:
                del self.accounts[name]
        return found

    def request_units(self, now: int, limit: Limit) -> list[CapRequest]:
        """Request units for the waiting charges, unless a request was sent within ``REQUEST_INTERVAL_US``."""
        account = self.accounts[limit.name]
        return (
            []
            if account.requested_us is not None and now - account.requested_us < REQUEST_INTERVAL_US
            else [self._make_request(now, account)]
        )

    def _make_request(self, now: int, account: CapAccount) -> CapRequest:
        """Lower the total to the spent units before reporting it: no more are spent until a newer version arrives."""
        account.requested_us, account.total = now, min(account.total, account.used)
        return CapRequest(account.limit, account.cap, account.version, account.total, len(account.waiting))
