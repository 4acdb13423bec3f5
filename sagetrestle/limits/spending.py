"""Spending caps: how many charges of each tenant may run in a window of time.

A charge is reserved when it is admitted, spent when it runs, and released if it ends without running. All attempts with
one idempotency key share one reservation. Neither many held charges nor their retries can therefore exceed a cap, and a
refused charge costs nothing. The windows are fixed and counted from the Unix epoch, so that they are the same on all
scorers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

SWEEP_INTERVAL_US = 60_000_000

ChargeKey = tuple[int, str]  # class index and idempotency key


class Reservation(NamedTuple):
    """Whether a charge was reserved, and if not, when to retry (0: never, because the cap is 0)."""

    granted: bool
    retry_after_us: int = 0


@dataclass(slots=True)
class _TenantAccount:
    window_index: int = -1
    spent: int = 0
    reservations: dict[ChargeKey, int] = field(default_factory=dict)  # the number of attempts that hold each


class SpendingCaps:
    """The accounts of all tenants with charges reserved or spent in the present window."""

    def __init__(self) -> None:
        self._accounts: dict[str, _TenantAccount] = {}
        self._next_sweep_us = 0

    def __len__(self) -> int:
        return len(self._accounts)

    def spent(self, tenant: str) -> int:
        """Return the number of charges that a tenant spent in its latest window."""
        account = self._accounts.get(tenant)
        return account.spent if account else 0

    def tenants(self) -> list[str]:
        """Return the tenants that have an account."""
        return list(self._accounts)

    def reserve(self, tenant: str, key: ChargeKey, max_charges: int, window_us: int, now_us: int) -> Reservation:
        """Reserve a charge under a cap of ``max_charges`` for each window of ``window_us``."""
        account = self._accounts.setdefault(tenant, _TenantAccount())
        window_index = now_us // window_us
        if window_index != account.window_index:
            account.window_index, account.spent = window_index, 0
        if key in account.reservations:
            account.reservations[key] += 1
            return Reservation(True)
        if account.spent + len(account.reservations) >= max_charges:
            self._forget_empty(tenant, account)
            return Reservation(False, (window_index + 1) * window_us - now_us if max_charges else 0)
        account.reservations[key] = 1
        return Reservation(True)

    def spend(self, tenant: str, key: ChargeKey) -> None:
        """Turn a reservation into a spent charge, counted once however many attempts hold the reservation."""
        account = self._accounts.get(tenant)
        if account is not None and account.reservations.pop(key, None) is not None:
            account.spent += 1

    def refund(self, tenant: str) -> None:
        """Undo a spent charge that turned out never to have run."""
        account = self._accounts.get(tenant)
        if account is not None and account.spent:
            account.spent -= 1

    def release(self, tenant: str, key: ChargeKey) -> None:
        """Release one attempt's hold on a reservation; a spent charge is not released."""
        account = self._accounts.get(tenant)
        if account is None or key not in account.reservations:
            return
        account.reservations[key] -= 1
        if not account.reservations[key]:
            del account.reservations[key]
        self._forget_empty(tenant, account)

    def sweep(self, now_us: int, window_us_by_tenant: dict[str, int] | None = None) -> None:
        """Remove accounts with no reservation whose window is over; runs at most once a minute."""
        if now_us < self._next_sweep_us:
            return
        self._next_sweep_us = now_us + SWEEP_INTERVAL_US
        windows = window_us_by_tenant or {}
        for tenant, account in list(self._accounts.items()):
            window_us = windows.get(tenant)
            if not account.reservations and (window_us is None or now_us // window_us != account.window_index):
                del self._accounts[tenant]

    def _forget_empty(self, tenant: str, account: _TenantAccount) -> None:
        if not account.reservations and not account.spent:
            self._accounts.pop(tenant, None)
