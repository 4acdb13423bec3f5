"""Rendezvous hashing with weights (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005).

Each member's score for a key is drawn from both and stretched by its weight; the highest wins. When a member goes,
only its own keys move; when one comes, it takes its share from all. No table has to be agreed on: two routers with
the same members choose alike.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash

from sagetrestle.membership.values import Member

TWO_TO_53 = float(1 << 53)


def score(key: str, name: str, weight: float) -> float:
    """Return a member's score for a key; a weight of 0 never wins against one above it."""
    if weight <= 0.0:
        return -1.0
    fraction = xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode()) >> 11
    return -weight / math.log((fraction + 0.5) / TWO_TO_53)


def fraction(key: str) -> float:
    """Return a number from 0 to under 1 that belongs to a key alone."""
    return (xxhash.xxh3_64_intdigest(f"\0{key}".encode()) >> 11) / TWO_TO_53


def ranked(key: str, members: Iterable[Member]) -> list[Member]:
    """Return members in the order of their scores for a key, the highest first."""
    return sorted(
        members,
        reverse=True,
        key=lambda one: (score(key, one.instance.name, max(1, one.instance.weight)), one.instance.name),
    )


def highest(key: str, members: Iterable[Member]) -> Member | None:
    """Return the member with the highest score, in one pass."""
    return max(
        members,
        default=None,
        key=lambda one: (score(key, one.instance.name, max(1, one.instance.weight)), one.instance.name),
    )
