"""Replay protection: the token id of a charge (``jti``, RFC 7519, 4.1.7) is valid for one request and its attempts.

A token binds its body but not the idempotency key: a stolen token could be sent under another key and charge again.
Each id is therefore bound to the first key that it arrives with, for as long as its token is valid.
"""

from __future__ import annotations

import heapq
from enum import Enum


class ClaimResult(Enum):
    """The result of claiming a token id."""

    CLAIMED = "taken"
    SAME_REQUEST = "the same request's"
    REPLAYED = "another request's"
    FULL = "no room to remember it"


class ReplayTable:
    """The token ids that can still be replayed, by tenant; at most ``max_entries`` of them.

    A charge is refused when the table is full: dropping an id early would allow a replay, whereas a refused charge
    has not run and can be retried.
    """

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._keys: dict[tuple[str, str], str] = {}
        self._expiries: list[tuple[int, tuple[str, str]]] = []

    def __len__(self) -> int:
        return len(self._keys)

    def claim(self, tenant: str, jti: str, key: str, until_us: int, now_us: int) -> ClaimResult:
        """Claim a tenant's token id for a request's idempotency key until ``until_us`` (Unix time)."""
        self._sweep(now_us)
        token_id = (tenant, jti)
        holder = self._keys.get(token_id)
        if holder is not None:
            return ClaimResult.SAME_REQUEST if holder == key else ClaimResult.REPLAYED
        if len(self._keys) >= self._max_entries:
            return ClaimResult.FULL
        self._keys[token_id] = key
        heapq.heappush(self._expiries, (until_us, token_id))
        return ClaimResult.CLAIMED

    def _sweep(self, now_us: int) -> None:
        """Remove ids of expired tokens; such a token is refused as expired."""
        while self._expiries and self._expiries[0][0] <= now_us:
            _, token_id = heapq.heappop(self._expiries)
            self._keys.pop(token_id, None)
