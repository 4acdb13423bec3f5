"""Request priorities, the same at all members: from 0, rejected last, to 1, rejected first (DAGOR, SoCC 2018).

Bands are by worth, objective, the tenant's share, and first attempt before retry. Within a band the priority is a hash
of the client that rotates with time, so that not always the same clients are rejected. In one rotation of each cycle a
retry counts as a first attempt; rejected callers are told to come back then. There is no state: each member computes
the same.
"""

from __future__ import annotations

from typing import NamedTuple

import xxhash

from sagetrestle.overload.values import PRIORITY_BANDS

ROTATION_US = 1_000_000
RETRY_CYCLE_ROTATIONS = 4  # rotations in a cycle; in one of them a retry counts as a first attempt
RETURN_EARLIEST, RETURN_LATEST = (
    0.3,
    0.7,
)  # part of a rotation in which callers come back; the margins allow for clock differences
TOP_WORTH_SHARE, MIDDLE_WORTH_SHARE = 0.5, 0.125


class PriorityInputs(NamedTuple):
    """The inputs of a request's priority; ``worth`` is its class's worth over the highest worth of all classes."""

    worth: float
    client: str
    request: str
    retry: bool = False
    promised: bool = False
    inside: bool = True


def hash_fraction(text: str) -> float:
    """Return a hash of a text as a number from 0 to 1, the same at all members."""
    return xxhash.xxh64_intdigest(text.encode()) / 2.0**64


def rotation_of(unix: int) -> int:
    """Return the number of the rotation that contains a time."""
    return unix // ROTATION_US


def is_retry_rotation(one: PriorityInputs, turn: int) -> bool:
    """Tell whether a retry of this request counts as a first attempt in a rotation."""
    return (
        turn + int(hash_fraction(f"back {one.client} {one.request}") * RETRY_CYCLE_ROTATIONS)
    ) % RETRY_CYCLE_ROTATIONS == 0


def place(one: PriorityInputs, unix: int) -> float:
    """Return the priority of a request at a time; 0 is rejected last."""
    turn = rotation_of(unix)
    returns = one.retry and is_retry_rotation(one, turn)
    worth = 0 if one.worth >= TOP_WORTH_SHARE else 1 if one.worth >= MIDDLE_WORTH_SHARE else 2
    band = ((worth * 2 + (not one.promised)) * 2 + (not one.inside)) * 2 + (one.retry and not returns)
    within = hash_fraction(f"{one.client} {turn}")
    return (band + (within / 2 if returns else within)) / PRIORITY_BANDS


def retry_after_us(one: PriorityInputs, unix: int, most_us: int) -> int:
    """Return how long a client should wait: until the middle of a rotation in which its retry is a first attempt."""
    turn = rotation_of(unix)
    spread = RETURN_EARLIEST + (RETURN_LATEST - RETURN_EARLIEST) * hash_fraction(f"when {one.client} {one.request}")
    number = next(at for at in range(turn + 1, turn + 1 + RETRY_CYCLE_ROTATIONS) if is_retry_rotation(one, at))
    return min(most_us, int((number + spread) * ROTATION_US) - unix)
