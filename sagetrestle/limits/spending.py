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


class Reserved(NamedTuple):
    """A reservation, or when to come back for one (0: never, the cap is 0)."""

    granted: bool
    retry_after_us: int = 0


@dataclass(slots=True)
class _Account:
    window: int = -1
    spent: int = 0
    open: dict[ChargeKey, int] = field(default_factory=dict)  # reservations, and their tries


class SpendingCaps:
    """The accounts of all tenants that have something reserved or spent in their window."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._sweep_at = 0

    def __len__(self) -> int:
        return len(self._accounts)

    def spent(self, tenant: str) -> int:
        """Return what was spent in the window last used."""
        account = self._accounts.get(tenant)
        return account.spent if account else 0

    def tenants(self) -> list[str]:
        """Return the tenants that have an account."""
        return list(self._accounts)

    def reserve(self, tenant: str, key: ChargeKey, charges: int, window_us: int, now_us: int) -> Reserved:
        """Reserve a charge within a cap of ``charges`` in each ``window_us``."""
        account = self._accounts.setdefault(tenant, _Account())
        window = now_us // window_us
        if window != account.window:
            account.window, account.spent = window, 0
        if key in account.open:
            account.open[key] += 1
            return Reserved(True)
        if account.spent + len(account.open) >= charges:
            self._forget_empty(tenant, account)
            return Reserved(False, (window + 1) * window_us - now_us if charges else 0)
        account.open[key] = 1
        return Reserved(True)

    def spend(self, tenant: str, key: ChargeKey) -> None:
        """Count a charge that runs: once, however many tries hold its reservation."""
        account = self._accounts.get(tenant)
        if account is not None and account.open.pop(key, None) is not None:
            account.spent += 1

    def take_back(self, tenant: str) -> None:
        """Count a charge no more that turned out never to have run."""
        account = self._accounts.get(tenant)
        if account is not None and account.spent:
            account.spent -= 1

    def give_back(self, tenant: str, key: ChargeKey) -> None:
        """Let go of one try's part in a reservation; a spent one is not given back."""
        account = self._accounts.get(tenant)
        if account is None or key not in account.open:
            return
        account.open[key] -= 1
        if not account.open[key]:
            del account.open[key]
        self._forget_empty(tenant, account)

    def sweep(self, now_us: int, window_of: dict[str, int] | None = None) -> None:
        """Forget accounts whose window is over and that hold nothing; at most once a minute."""
        if now_us < self._sweep_at:
            return
        self._sweep_at = now_us + 60_000_000
        windows = window_of or {}
        for tenant, account in list(self._accounts.items()):
            length = windows.get(tenant)
            if not account.open and (length is None or now_us // length != account.window):
                del self._accounts[tenant]

    def _forget_empty(self, tenant: str, account: _Account) -> None:
        if not account.open and not account.spent:
            self._accounts.pop(tenant, None)
