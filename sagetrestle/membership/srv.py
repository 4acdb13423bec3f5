"""Selection among SRV targets by priority and weight (RFC 2782, "Usage rules")."""

from __future__ import annotations

import random
from collections.abc import Iterable

from sagetrestle.membership.values import Member


def group_by_priority(members: Iterable[Member]) -> list[list[Member]]:
    """Return groups of members of one priority, the lowest number first; each group is sorted by name."""
    groups: dict[int, list[Member]] = {}
    for member in members:
        groups.setdefault(member.instance.priority, []).append(member)
    return [sorted(groups[priority], key=lambda member: member.instance.name) for priority in sorted(groups)]


def weighted_order(members: Iterable[Member], rng: random.Random) -> list[Member]:
    """Return members in the order in which to contact them: by priority, then in random order by weight.

    In each draw members of weight 0 come first, so that they have a small chance (RFC 2782).
    """
    order: list[Member] = []
    for group in group_by_priority(members):
        remaining = sorted(group, key=lambda member: member.instance.weight > 0)
        while remaining:
            draw = rng.randint(0, sum(member.instance.weight for member in remaining))
            for index, member in enumerate(remaining):
                draw -= member.instance.weight
                if draw <= 0:
                    order.append(remaining.pop(index))
                    break
    return order
