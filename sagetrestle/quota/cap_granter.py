"""The granter's side of a hard limit (escrow, O'Neil 1986): what is out is counted as spent until it is back.

There is one granter of a limit, the owner of its partition, and a row for each holder: how much it was ever granted and
has not given back, whether spent or not. The sum of all rows is at most the cap at each step, so what is spent is too,
whoever is cut off or dead. A row changes by its holder's word on the version that the granter has, and by nothing else.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

EVEN_SHARE_DIVISOR = 4  # of an even share among the members, granted beyond what is wanted now


class CapGrant(NamedTuple):
    """A holder's part: ``total`` units that it may have spent in all, and the version of that."""

    version: int = 0
    total: int = 0


def decide_cap_grant(
    rows: Mapping[str, CapGrant], holder: str, version: int, total: int, wanted: int, cap: int, members: int
) -> tuple[CapGrant, int]:
    """Return the holder's row after its word, and what of the cap is left then.

    ``total`` is what it keeps: less than its row says where it gives some back. The amount granted is what is wanted,
    or a quarter of an even share of what is left: large while there is much, single units near the end, so that few
    messages are needed at first and little is locked up at a member that is lost. What was said of another version than
    the row's changes nothing.
    """
    row = rows.get(holder, CapGrant())
    out = sum(one.total for one in rows.values())
    if version != row.version or wanted < 0:
        return row, cap - out
    kept = min(row.total, max(0, total))
    left = cap - (out - row.total + kept)
    granted = max(0, min(left, max(wanted, left // (EVEN_SHARE_DIVISOR * max(1, members))))) if wanted else 0
    if kept + granted == row.total:
        return row, left - granted
    return CapGrant(row.version + 1, kept + granted), left - granted
