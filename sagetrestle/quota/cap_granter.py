"""The granter's side of a spending cap (escrow, O'Neil 1986): granted units count as spent until they are returned.

A limit has one granter, the owner of its partition, and one grant for each holder: the units that the holder was given
and has not returned, whether spent or not. The sum of all grants is never more than the cap, so neither is the sum of
the spent units, whichever holders are partitioned or have failed. A grant changes only on a request of its holder that
names the version that the granter has.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

EVEN_SHARE_DIVISOR = 4  # a grant is at least the even share of the remaining units, divided by this


class CapGrant(NamedTuple):
    """The grant of one holder: the ``total`` of units that it may have spent, and the version of that total."""

    version: int = 0
    total: int = 0


def decide_cap_grant(
    grants: Mapping[str, CapGrant], holder: str, version: int, total: int, wanted: int, cap: int, members: int
) -> tuple[CapGrant, int]:
    """Return the holder's grant after its request, and the units of the cap that remain.

    ``total`` is the number of units that the holder keeps; it is below the granted total if the holder returns some.
    The holder is given the units that it wants, or a quarter of the even share of the remaining units if that is more.
    The amounts are large while many units remain, which needs few messages, and single units near the end, so that few
    units are locked up at a member that fails. A request for another version than the grant's changes nothing.
    """
    current = grants.get(holder, CapGrant())
    granted_total = sum(grant.total for grant in grants.values())
    if version != current.version or wanted < 0:
        return current, cap - granted_total
    kept = min(current.total, max(0, total))
    remaining = cap - (granted_total - current.total + kept)
    granted = max(0, min(remaining, max(wanted, remaining // (EVEN_SHARE_DIVISOR * max(1, members))))) if wanted else 0
    if kept + granted == current.total:
        return current, remaining - granted
    return CapGrant(current.version + 1, kept + granted), remaining - granted
