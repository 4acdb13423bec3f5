"""The choice among SRV targets by priority and weight (RFC 2782, "Usage rules")."""

from __future__ import annotations

import random
from collections.abc import Iterable

from sagetrestle.membership.values import Member


def group_by_priority(members: Iterable[Member]) -> list[list[Member]]:
    """Return members in groups of one priority, the lowest number first; names in order within."""
    groups: dict[int, list[Member]] = {}
    for one in members:
        groups.setdefault(one.instance.priority, []).append(one)
    return [sorted(groups[at], key=lambda one: one.instance.name) for at in sorted(groups)]


def weighted_order(members: Iterable[Member], rng: random.Random) -> list[Member]:
    """Return members in the order in which they are to be tried: by priority, then drawn by weight.

    Weights of 0 stand first in each draw, so that they have a small chance beside others (RFC 2782).
    """
    order: list[Member] = []
    for group in group_by_priority(members):
        left = sorted(group, key=lambda one: one.instance.weight > 0)
        while left:
            mark = rng.randint(0, sum(one.instance.weight for one in left))
            for at, one in enumerate(left):
                mark -= one.instance.weight
                if mark <= 0:
                    order.append(left.pop(at))
                    break
    return order
