"""Tokens that were verified already, bounded: one that is sent again costs no second signature."""

from __future__ import annotations

import hashlib

from cachetools import LRUCache

from sagetrestle.identity.ring import Ring
from sagetrestle.identity.tokens import Verified
from sagetrestle.identity.values import Cause

BAD_SHARE = 8  # one place for what was bad, for so many of what was good


class VerifiedCache:
    """What became of signatures, by the digest of the token; only a digest is kept, never the token.

    Good and bad have places of their own, so a flood of bad ones can not push the good ones out. An entry
    counts only while the ring still has the very key that it was verified with.
    """

    def __init__(self, most: int) -> None:
        self._good: LRUCache[bytes, Verified] = LRUCache(max(1, most))
        self._bad: LRUCache[bytes, Cause] = LRUCache(max(1, most // BAD_SHARE))
        self.hits = self.misses = 0

    def __len__(self) -> int:
        return len(self._good) + len(self._bad)

    def get(self, token: str, ring: Ring) -> Verified | Cause | None:
        """Return what is known of a token, if anything."""
        digest = _digest(token)
        found = self._good.get(digest)
        if found is not None:
            key = ring.keys.get(found.kid)
            if key is None or key.thumbprint != found.thumbprint:
                del self._good[digest]
                found = None
        got = found if found is not None else self._bad.get(digest)
        if got is None:
            self.misses += 1
        else:
            self.hits += 1
        return got

    def put(self, token: str, outcome: Verified | Cause) -> None:
        """Remember what became of a token's signature."""
        if isinstance(outcome, Verified):
            self._good[_digest(token)] = outcome
        else:
            self._bad[_digest(token)] = outcome

    def forget_bad(self) -> None:
        """Forget what was bad: with another ring it may be good."""
        self._bad.clear()


def _digest(token: str) -> bytes:
    return hashlib.blake2b(token.encode(), digest_size=16).digest()
