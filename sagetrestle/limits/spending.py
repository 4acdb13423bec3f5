"""Spending caps: how many charges each tenant may have run in a window of time.

A charge is reserved as it is taken in, spent as it runs, and given back if it ends without having run; tries
of one key share one reservation. So neither a crowd of held charges nor their retries can go over a cap, and
what was refused costs nothing. The windows are fixed, counted from the Unix epoch, so that all scorers have
the same ones.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

ChargeKey = tuple[int, str]  # class and idempotency key


class Reservation(NamedTuple):
    """A reservation, or when to come back for one (0: never, the cap is 0)."""

    granted: bool
    retry_after_us: int = 0


@dataclass(slots=True)
class _TenantAccount:
    window_index: int = -1
    spent: int = 0
    reservations: dict[ChargeKey, int] = field(default_factory=dict)  # reservations, and their tries


class SpendingCaps:
    """The accounts of all tenants that have something reserved or spent in their window."""

    def __init__(self) -> None:
        self._accounts: dict[str, _TenantAccount] = {}
        self._next_sweep_us = 0

    def __len__(self) -> int:
        return len(self._accounts)

    def spent(self, tenant: str) -> int:
        """Return what was spent in the window last used."""
        account = self._accounts.get(tenant)
        return account.spent if account else 0

    def tenants(self) -> list[str]:
        """Return the tenants that have an account."""
        return list(self._accounts)

    def reserve(self, tenant: str, key: ChargeKey, max_charges: int, window_us: int, now_us: int) -> Reservation:
        """Reserve a charge within a cap of ``max_charges`` in each ``window_us``."""
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
        """Count a charge that runs: once, however many tries hold its reservation."""
        account = self._accounts.get(tenant)
        if account is not None and account.reservations.pop(key, None) is not None:
            account.spent += 1

    def refund(self, tenant: str) -> None:
        """Count a charge no more that turned out never to have run."""
        account = self._accounts.get(tenant)
        if account is not None and account.spent:
            account.spent -= 1

    def release(self, tenant: str, key: ChargeKey) -> None:
        """Let go of one try's part in a reservation; a spent one is not given back."""
        account = self._accounts.get(tenant)
        if account is None or key not in account.reservations:
            return
        account.reservations[key] -= 1
        if not account.reservations[key]:
            del account.reservations[key]
        self._forget_empty(tenant, account)

    def sweep(self, now_us: int, window_us_by_tenant: dict[str, int] | None = None) -> None:
        """Forget accounts whose window is over and that hold nothing; at most once a minute."""
        if now_us < self._next_sweep_us:
            return
        self._next_sweep_us = now_us + 60_000_000
        windows = window_us_by_tenant or {}
        for tenant, account in list(self._accounts.items()):
            window_us = windows.get(tenant)
            if not account.reservations and (window_us is None or now_us // window_us != account.window_index):
                del self._accounts[tenant]

    def _forget_empty(self, tenant: str, account: _TenantAccount) -> None:
        if not account.reservations and not account.spent:
            self._accounts.pop(tenant, None)
