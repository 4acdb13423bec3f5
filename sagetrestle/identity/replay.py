"""The ids of charges' tokens (``jti``, RFC 7519, 4.1.7): each counts for one request over all its tries.

A token binds its body, but not the idempotency key: stolen, it could be sent under another key and charge
again. So an id belongs to the first key that it comes with, for as long as its token counts.
"""

from __future__ import annotations

import heapq
from enum import Enum


class ClaimResult(Enum):
    """What became of a claim to an id."""

    CLAIMED = "taken"
    SAME_REQUEST = "the same request's"
    REPLAYED = "another request's"
    FULL = "no room to remember it"


class ReplayTable:
    """The ids that may still come again, by tenant; at most ``max_entries`` of them.

    Where there is no room a charge is refused: to forget an id early would let it be replayed, and what is
    refused never ran and may come again.
    """

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._keys: dict[tuple[str, str], str] = {}
        self._expiries: list[tuple[int, tuple[str, str]]] = []

    def __len__(self) -> int:
        return len(self._keys)

    def claim(self, tenant: str, jti: str, key: str, until_us: int, now_us: int) -> ClaimResult:
        """Claim a tenant's id for a request's key; remembered up to ``until_us`` (Unix)."""
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
        """Forget ids whose token counts no more; a token that is over is refused for that."""
        while self._expiries and self._expiries[0][0] <= now_us:
            _, token_id = heapq.heappop(self._expiries)
            self._keys.pop(token_id, None)
