"""A bounded cache of token verifications, so that a repeated token costs no second signature verification."""

from __future__ import annotations

import hashlib

from cachetools import LRUCache

from sagetrestle.identity.keyring import Keyring
from sagetrestle.identity.tokens import VerifiedToken
from sagetrestle.identity.values import Cause

VALID_ENTRIES_PER_INVALID = 8  # ratio of the capacities for valid and invalid tokens


class VerifiedCache:
    """Outcomes of signature verifications by the digest of the token; the token itself is not stored.

    Valid and invalid tokens have separate capacities, so a flood of invalid ones can not evict valid ones. An entry
    is used only while the key ring still holds the same key that verified it.
    """

    def __init__(self, max_valid_entries: int) -> None:
        self._valid: LRUCache[bytes, VerifiedToken] = LRUCache(max(1, max_valid_entries))
        self._invalid: LRUCache[bytes, Cause] = LRUCache(max(1, max_valid_entries // VALID_ENTRIES_PER_INVALID))
        self.hits = self.misses = 0

    def __len__(self) -> int:
        return len(self._valid) + len(self._invalid)

    def get(self, token: str, keyring: Keyring) -> VerifiedToken | Cause | None:
        """Return the cached outcome for a token, or None."""
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
        """Store the outcome of a token's signature verification."""
        if isinstance(outcome, VerifiedToken):
            self._valid[_digest(token)] = outcome
        else:
            self._invalid[_digest(token)] = outcome

    def clear_invalid(self) -> None:
        """Remove the invalid tokens, which may be valid under a new key ring."""
        self._invalid.clear()


def _digest(token: str) -> bytes:
    return hashlib.blake2b(token.encode(), digest_size=16).digest()
