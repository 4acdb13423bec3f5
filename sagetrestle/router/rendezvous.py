"""Rendezvous hashing with weights (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005).

A member's score for a key is a hash of both, scaled by the member's weight; the highest score wins. When a member
leaves, only its own keys move; when one joins, it takes its share from all others. No table has to be agreed on: two
routers with the same members make the same choice.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash

from sagetrestle.membership.values import Member

TWO_TO_53 = float(1 << 53)


def score(key: str, name: str, weight: float) -> float:
    """Return a member's score for a key; a weight of 0 always loses to a positive weight."""
    if weight <= 0.0:
        return -1.0
    draw = xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode()) >> 11
    return -weight / math.log((draw + 0.5) / TWO_TO_53)


def fraction(key: str) -> float:
    """Return a number in [0, 1) that depends on the key alone."""
    return (xxhash.xxh3_64_intdigest(f"\0{key}".encode()) >> 11) / TWO_TO_53


def ranked(key: str, members: Iterable[Member]) -> list[Member]:
    """Return members by descending score for a key."""
    return sorted(
        members,
        reverse=True,
        key=lambda member: (score(key, member.instance.name, max(1, member.instance.weight)), member.instance.name),
    )


def highest(key: str, members: Iterable[Member]) -> Member | None:
    """Return the member with the highest score for a key, None without members."""
    return max(
        members,
        default=None,
        key=lambda member: (score(key, member.instance.name, max(1, member.instance.weight)), member.instance.name),
    )
