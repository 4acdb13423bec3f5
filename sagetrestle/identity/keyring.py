r"""The key ring: public keys by their id, and the life of each as a state machine.

A key is pending until ``not_before``, active until it is retired, retiring while tokens that it signed before
still count, then retired. It can be revoked at any time, for good. A ring is an immutable value with a
version; events make a new one. Times are Unix microseconds, given by the caller.

    add -> PENDING -> ACTIVE -> RETIRING -> RETIRED
              \---------\----------\----------\--> REVOKED
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any, NamedTuple, Union

from immutables import Map

KID_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")
MAX_KEYS = 4096
NO_END_US = 1 << 62  # for what has no end


class KeyState(Enum):
    """Where a key is in its life."""

    PENDING = "pending"
    ACTIVE = "active"
    RETIRING = "retiring"
    RETIRED = "retired"
    REVOKED = "revoked"


# Every move that a key may make; time makes all but the last of each line, people make REVOKED. A long
# standstill may pass states over, so those further on are named as well.
ALLOWED_TRANSITIONS: dict[KeyState, frozenset[KeyState]] = {
    KeyState.PENDING: frozenset({KeyState.ACTIVE, KeyState.RETIRING, KeyState.RETIRED, KeyState.REVOKED}),
    KeyState.ACTIVE: frozenset({KeyState.RETIRING, KeyState.RETIRED, KeyState.REVOKED}),
    KeyState.RETIRING: frozenset({KeyState.RETIRED, KeyState.REVOKED}),
    KeyState.RETIRED: frozenset({KeyState.REVOKED}),
    KeyState.REVOKED: frozenset(),
}


class KeyringError(ValueError):
    """An event that the ring can not take; the text names the key."""


@dataclass(frozen=True, slots=True)
class KeyringKey:
    """One public key and the times of its life.

    ``signs_until_us`` ends its signing, ``not_after_us`` its verifying; ``thumbprint`` is RFC 7638's.
    """

    kid: str
    algorithm: str
    public: Any = field(repr=False)
    thumbprint: str
    not_before_us: int
    signs_until_us: int = NO_END_US
    not_after_us: int = NO_END_US
    revoked_us: int | None = None
    why: str = ""

    def __post_init__(self) -> None:
        """Refuse a key whose id or times make no life."""
        if not KID_PATTERN.fullmatch(self.kid):
            raise KeyringError(f"key {self.kid[:64]!r}: kid must be 1 to 64 of A-Z a-z 0-9 _ -")
        if not self.not_before_us <= self.signs_until_us <= self.not_after_us:
            raise KeyringError(f"key {self.kid}: not_before, signs_until and not_after must not go back")

    def state(self, now_us: int) -> KeyState:
        """Return the state at a time."""
        if self.revoked_us is not None:
            return KeyState.REVOKED
        if now_us < self.not_before_us:
            return KeyState.PENDING
        if now_us < self.signs_until_us:
            return KeyState.ACTIVE
        return KeyState.RETIRING if now_us < self.not_after_us else KeyState.RETIRED


@dataclass(frozen=True, slots=True)
class Keyring:
    """All keys at one version; ``seen_us`` is the time up to which moves were told."""

    version: int = 0
    keys: Map = field(default_factory=Map)  # kid -> KeyringKey
    seen_us: int = 0

    def states(self, now_us: int) -> dict[str, KeyState]:
        """Return the state of every key."""
        return {kid: key.state(now_us) for kid, key in self.keys.items()}

    def signer(self, now_us: int) -> KeyringKey | None:
        """Return the active key to sign with: the one that became active last."""
        active = [key for key in self.keys.values() if key.state(now_us) is KeyState.ACTIVE]
        return max(active, key=lambda key: (key.not_before_us, key.kid), default=None)

    def revoked(self) -> frozenset[str]:
        """Return the ids of revoked keys."""
        return frozenset(kid for kid, key in self.keys.items() if key.revoked_us is not None)


class Add(NamedTuple):
    """Take a new key in; it verifies from its ``not_before_us`` on."""

    key: KeyringKey


class Rotate(NamedTuple):
    """Take a successor in; what is active or pending signs until it counts, and verifies ``overlap_us`` on.

    ``overlap_us`` should hold the longest life of a token and the clocks' difference.
    """

    successor: KeyringKey
    overlap_us: int


class Retire(NamedTuple):
    """End a key's signing now, and its verifying after the overlap."""

    kid: str
    overlap_us: int


class Revoke(NamedTuple):
    """Trust a key no more, at once and for good."""

    kid: str
    why: str


class Drop(NamedTuple):
    """Forget keys that have been retired for this long; revoked ones stay."""

    after_us: int


class Tick(NamedTuple):
    """Only time passes."""


class KeyTransition(NamedTuple):
    """A key went from one state to another; ``old`` is None for one that is new."""

    kid: str
    old: KeyState | None
    new: KeyState


KeyringEvent = Union[Add, Rotate, Retire, Revoke, Drop, Tick]


def step(keyring: Keyring, now_us: int, event: KeyringEvent) -> tuple[Keyring, list[KeyTransition]]:
    """Return the ring after an event and the moves since it was last stepped.

    A clock that went back moves nothing back: states are told for the latest time seen. Raises KeyringError for
    an event that names no key, a second key of one id, or a key whose life is over.
    """
    now_us = max(now_us, keyring.seen_us)
    keys = _apply_event(keyring, now_us, event)
    transitions = [
        KeyTransition(kid, old, new)
        for kid, key in sorted(keys.items())
        if (old := _state_before(keyring, kid)) is not (new := key.state(now_us))
    ]
    for transition in transitions:
        if transition.old is not None and transition.new not in ALLOWED_TRANSITIONS[transition.old]:
            raise KeyringError(
                f"key {transition.kid}: can not go from {transition.old.value} to {transition.new.value}"
            )
    version = keyring.version + (keys is not keyring.keys)
    return Keyring(version, keys, now_us), transitions


def _state_before(keyring: Keyring, kid: str) -> KeyState | None:
    key = keyring.keys.get(kid)
    return None if key is None else key.state(keyring.seen_us)


def _apply_event(keyring: Keyring, now_us: int, event: KeyringEvent) -> Map:
    match event:
        case Add(key):
            return _add_key(keyring.keys, key)
        case Rotate(successor, overlap_us):
            return _rotate_keys(keyring.keys, now_us, successor, overlap_us)
        case Retire(kid, overlap_us):
            return keyring.keys.set(kid, _retire_key(_get_live_key(keyring, kid, now_us), now_us, overlap_us))
        case Revoke(kid, why):
            key = keyring.keys.get(kid)
            if key is None:
                raise KeyringError(f"key {kid}: not in the ring")
            if key.revoked_us is not None:
                raise KeyringError(f"key {kid}: is revoked already")
            return keyring.keys.set(kid, replace(key, revoked_us=now_us, why=why))
        case Drop(after_us):
            return _drop_retired_keys(keyring.keys, now_us, after_us)
        case _:
            return keyring.keys


def _add_key(keys: Map, key: KeyringKey) -> Map:
    if key.kid in keys:
        raise KeyringError(f"key {key.kid}: two keys with one id")
    if len(keys) >= MAX_KEYS:
        raise KeyringError(f"key {key.kid}: the ring holds {MAX_KEYS} keys already")
    if any(other.thumbprint == key.thumbprint for other in keys.values()):
        raise KeyringError(f"key {key.kid}: the same key under two ids")
    return keys.set(key.kid, key)


def _rotate_keys(keys: Map, now_us: int, successor: KeyringKey, overlap_us: int) -> Map:
    """Add the successor; those before it stop signing as it begins, whichever are still to come included."""
    updated = _add_key(keys, successor)
    retire_at_us = max(now_us, successor.not_before_us)
    for kid, key in keys.items():
        if key.state(now_us) in (KeyState.ACTIVE, KeyState.PENDING):
            updated = updated.set(kid, _retire_key(key, retire_at_us, overlap_us))
    return updated


def _retire_key(key: KeyringKey, retire_at_us: int, overlap_us: int) -> KeyringKey:
    """Return the key signing until then at the latest; its life is never made longer."""
    signs_until_us = max(key.not_before_us, min(key.signs_until_us, retire_at_us))
    not_after_us = max(signs_until_us, min(key.not_after_us, signs_until_us + overlap_us))
    return replace(key, signs_until_us=signs_until_us, not_after_us=not_after_us)


def _get_live_key(keyring: Keyring, kid: str, now_us: int) -> KeyringKey:
    key = keyring.keys.get(kid)
    if key is None:
        raise KeyringError(f"key {kid}: not in the ring")
    if key.state(now_us) in (KeyState.RETIRED, KeyState.REVOKED):
        raise KeyringError(f"key {kid}: is {key.state(now_us).value} already")
    return key


def _drop_retired_keys(keys: Map, now_us: int, after_us: int) -> Map:
    expired_kids = [
        kid for kid, key in keys.items() if key.revoked_us is None and now_us - key.not_after_us >= after_us
    ]
    for kid in expired_kids:
        keys = keys.delete(kid)
    return keys
