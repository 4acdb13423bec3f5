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

KID = re.compile(r"[A-Za-z0-9_-]{1,64}")
MAX_KEYS = 4096
FAR_US = 1 << 62  # for what has no end


class KeyState(Enum):
    """Where a key is in its life."""

    PENDING = "pending"
    ACTIVE = "active"
    RETIRING = "retiring"
    RETIRED = "retired"
    REVOKED = "revoked"


# Every move that a key may make; time makes all but the last of each line, people make REVOKED. A long
# standstill may pass states over, so those further on are named as well.
MOVES: dict[KeyState, frozenset[KeyState]] = {
    KeyState.PENDING: frozenset({KeyState.ACTIVE, KeyState.RETIRING, KeyState.RETIRED, KeyState.REVOKED}),
    KeyState.ACTIVE: frozenset({KeyState.RETIRING, KeyState.RETIRED, KeyState.REVOKED}),
    KeyState.RETIRING: frozenset({KeyState.RETIRED, KeyState.REVOKED}),
    KeyState.RETIRED: frozenset({KeyState.REVOKED}),
    KeyState.REVOKED: frozenset(),
}


class RingError(ValueError):
    """An event that the ring can not take; the text names the key."""


@dataclass(frozen=True, slots=True)
class RingKey:
    """One public key and the times of its life.

    ``signs_until_us`` ends its signing, ``not_after_us`` its verifying; ``thumbprint`` is RFC 7638's.
    """

    kid: str
    algorithm: str
    public: Any = field(repr=False)
    thumbprint: str
    not_before_us: int
    signs_until_us: int = FAR_US
    not_after_us: int = FAR_US
    revoked_us: int | None = None
    why: str = ""

    def __post_init__(self) -> None:
        """Refuse a key whose id or times make no life."""
        if not KID.fullmatch(self.kid):
            raise RingError(f"key {self.kid[:64]!r}: kid must be 1 to 64 of A-Z a-z 0-9 _ -")
        if not self.not_before_us <= self.signs_until_us <= self.not_after_us:
            raise RingError(f"key {self.kid}: not_before, signs_until and not_after must not go back")

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
class Ring:
    """All keys at one version; ``seen_us`` is the time up to which moves were told."""

    version: int = 0
    keys: Map = field(default_factory=Map)  # kid -> RingKey
    seen_us: int = 0

    def states(self, now_us: int) -> dict[str, KeyState]:
        """Return the state of every key."""
        return {kid: key.state(now_us) for kid, key in self.keys.items()}

    def signer(self, now_us: int) -> RingKey | None:
        """Return the active key to sign with: the one that became active last."""
        active = [key for key in self.keys.values() if key.state(now_us) is KeyState.ACTIVE]
        return max(active, key=lambda key: (key.not_before_us, key.kid), default=None)

    def revoked(self) -> frozenset[str]:
        """Return the ids of revoked keys."""
        return frozenset(kid for kid, key in self.keys.items() if key.revoked_us is not None)


class Add(NamedTuple):
    """Take a new key in; it verifies from its ``not_before_us`` on."""

    key: RingKey


class Rotate(NamedTuple):
    """Take a successor in; what is active or pending signs until it counts, and verifies ``overlap_us`` on.

    ``overlap_us`` should hold the longest life of a token and the clocks' difference.
    """

    successor: RingKey
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


class Moved(NamedTuple):
    """A key went from one state to another; ``old`` is None for one that is new."""

    kid: str
    old: KeyState | None
    new: KeyState


RingEvent = Union[Add, Rotate, Retire, Revoke, Drop, Tick]


def step(ring: Ring, now_us: int, event: RingEvent) -> tuple[Ring, list[Moved]]:
    """Return the ring after an event and the moves since it was last stepped.

    A clock that went back moves nothing back: states are told for the latest time seen. Raises RingError for
    an event that names no key, a second key of one id, or a key whose life is over.
    """
    now_us = max(now_us, ring.seen_us)
    keys = _apply(ring, now_us, event)
    moved = [
        Moved(kid, old, new)
        for kid, key in sorted(keys.items())
        if (old := _was(ring, kid)) is not (new := key.state(now_us))
    ]
    for one in moved:
        if one.old is not None and one.new not in MOVES[one.old]:
            raise RingError(f"key {one.kid}: can not go from {one.old.value} to {one.new.value}")
    version = ring.version + (keys is not ring.keys)
    return Ring(version, keys, now_us), moved


def _was(ring: Ring, kid: str) -> KeyState | None:
    key = ring.keys.get(kid)
    return None if key is None else key.state(ring.seen_us)


def _apply(ring: Ring, now_us: int, event: RingEvent) -> Map:
    match event:
        case Add(key):
            return _added(ring.keys, key)
        case Rotate(successor, overlap_us):
            return _rotated(ring.keys, now_us, successor, overlap_us)
        case Retire(kid, overlap_us):
            return ring.keys.set(kid, _retired(_living(ring, kid, now_us), now_us, overlap_us))
        case Revoke(kid, why):
            key = ring.keys.get(kid)
            if key is None:
                raise RingError(f"key {kid}: not in the ring")
            if key.revoked_us is not None:
                raise RingError(f"key {kid}: is revoked already")
            return ring.keys.set(kid, replace(key, revoked_us=now_us, why=why))
        case Drop(after_us):
            return _dropped(ring.keys, now_us, after_us)
        case _:
            return ring.keys


def _added(keys: Map, key: RingKey) -> Map:
    if key.kid in keys:
        raise RingError(f"key {key.kid}: two keys with one id")
    if len(keys) >= MAX_KEYS:
        raise RingError(f"key {key.kid}: the ring holds {MAX_KEYS} keys already")
    if any(one.thumbprint == key.thumbprint for one in keys.values()):
        raise RingError(f"key {key.kid}: the same key under two ids")
    return keys.set(key.kid, key)


def _rotated(keys: Map, now_us: int, successor: RingKey, overlap_us: int) -> Map:
    """Add the successor; those before it stop signing as it begins, whichever are still to come included."""
    grown = _added(keys, successor)
    at = max(now_us, successor.not_before_us)
    for kid, key in keys.items():
        if key.state(now_us) in (KeyState.ACTIVE, KeyState.PENDING):
            grown = grown.set(kid, _retired(key, at, overlap_us))
    return grown


def _retired(key: RingKey, at_us: int, overlap_us: int) -> RingKey:
    """Return the key signing until then at the latest; its life is never made longer."""
    signs = max(key.not_before_us, min(key.signs_until_us, at_us))
    ends = max(signs, min(key.not_after_us, signs + overlap_us))
    return replace(key, signs_until_us=signs, not_after_us=ends)


def _living(ring: Ring, kid: str, now_us: int) -> RingKey:
    key = ring.keys.get(kid)
    if key is None:
        raise RingError(f"key {kid}: not in the ring")
    if key.state(now_us) in (KeyState.RETIRED, KeyState.REVOKED):
        raise RingError(f"key {kid}: is {key.state(now_us).value} already")
    return key


def _dropped(keys: Map, now_us: int, after_us: int) -> Map:
    gone = [kid for kid, key in keys.items() if key.revoked_us is None and now_us - key.not_after_us >= after_us]
    for kid in gone:
        keys = keys.delete(kid)
    return keys
