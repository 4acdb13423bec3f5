"""The ids of charges' tokens (``jti``, RFC 7519, 4.1.7): each counts for one request over all its tries.

A token binds its body, but not the idempotency key: stolen, it could be sent under another key and charge
again. So an id belongs to the first key that it comes with, for as long as its token counts.
"""

from __future__ import annotations

import heapq
from enum import Enum


class Claim(Enum):
    """What became of a claim to an id."""

    TAKEN = "taken"
    OURS = "the same request's"
    REPLAYED = "another request's"
    FULL = "no room to remember it"


class ReplayGuard:
    """The ids that may still come again, by tenant; at most ``most`` of them.

    Where there is no room a charge is refused: to forget an id early would let it be replayed, and what is
    refused never ran and may come again.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._keys: dict[tuple[str, str], str] = {}
        self._ends: list[tuple[int, tuple[str, str]]] = []

    def __len__(self) -> int:
        return len(self._keys)

    def claim(self, tenant: str, jti: str, key: str, until_us: int, now_us: int) -> Claim:
        """Claim a tenant's id for a request's key; remembered up to ``until_us`` (Unix)."""
        self._sweep(now_us)
        name = (tenant, jti)
        holder = self._keys.get(name)
        if holder is not None:
            return Claim.OURS if holder == key else Claim.REPLAYED
        if len(self._keys) >= self._most:
            return Claim.FULL
        self._keys[name] = key
        heapq.heappush(self._ends, (until_us, name))
        return Claim.TAKEN

    def _sweep(self, now_us: int) -> None:
        """Forget ids whose token counts no more; a token that is over is refused for that."""
        while self._ends and self._ends[0][0] <= now_us:
            _, name = heapq.heappop(self._ends)
            self._keys.pop(name, None)
