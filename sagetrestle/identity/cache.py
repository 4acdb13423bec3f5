"""Tokens that were verified already, bounded: one that is sent again costs no second signature."""

from __future__ import annotations

import hashlib

from cachetools import LRUCache

from sagetrestle.identity.keyring import Keyring
from sagetrestle.identity.tokens import VerifiedToken
from sagetrestle.identity.values import Cause

VALID_ENTRIES_PER_INVALID = 8  # one place for what was bad, for so many of what was good


class VerifiedCache:
    """What became of signatures, by the digest of the token; only a digest is kept, never the token.

    Good and bad have places of their own, so a flood of bad ones can not push the good ones out. An entry
    counts only while the ring still has the very key that it was verified with.
    """

    def __init__(self, max_valid_entries: int) -> None:
        self._valid: LRUCache[bytes, VerifiedToken] = LRUCache(max(1, max_valid_entries))
        self._invalid: LRUCache[bytes, Cause] = LRUCache(max(1, max_valid_entries // VALID_ENTRIES_PER_INVALID))
        self.hits = self.misses = 0

    def __len__(self) -> int:
        return len(self._valid) + len(self._invalid)

    def get(self, token: str, keyring: Keyring) -> VerifiedToken | Cause | None:
        """Return what is known of a token, if anything."""
        digest = _digest(token)
        verified = self._valid.get(digest)
        if verified is not None:
            key = keyring.keys.get(verified.kid)
            if key is None or key.thumbprint != verified.thumbprint:
                del self._valid[digest]
                verified = None
        outcome = verified if verified is not None else self._invalid.get(digest)
        if outcome is None:
            self.misses += 1
        else:
            self.hits += 1
        return outcome

    def put(self, token: str, outcome: VerifiedToken | Cause) -> None:
        """Remember what became of a token's signature."""
        if isinstance(outcome, VerifiedToken):
            self._valid[_digest(token)] = outcome
        else:
            self._invalid[_digest(token)] = outcome

    def clear_invalid(self) -> None:
        """Forget what was bad: with another ring it may be good."""
        self._invalid.clear()


def _digest(token: str) -> bytes:
    return hashlib.blake2b(token.encode(), digest_size=16).digest()
