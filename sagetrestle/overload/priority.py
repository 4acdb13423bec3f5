"""One order of all requests, the same at all members: from 0, what goes last, to 1 (DAGOR, SoCC 2018).

Bands by worth, promise, the tenant's share, and first try before retry; within a band a hash of the client that turns
with time, so that not always the same ones go. A retry has turns of its own in which it stands as a first try:
that is when those who were turned away are told to come back. Nothing is remembered; every member computes the same.
"""

from __future__ import annotations

from typing import NamedTuple

import xxhash

from sagetrestle.overload.values import PRIORITY_BANDS

ROTATION_US = 1_000_000
RETRY_CYCLE_ROTATIONS = 4  # turns, in one of which a retry stands as a first try
RETURN_EARLIEST, RETURN_LATEST = (
    0.3,
    0.7,
)  # of a turn: where those who are told to come in it come, clocks being apart a little
TOP_WORTH_SHARE, MIDDLE_WORTH_SHARE = 0.5, 0.125


class PriorityInputs(NamedTuple):
    """What places a request: its class's worth over the highest of all, whom it is of, and whether it is a retry."""

    worth: float
    client: str
    request: str
    retry: bool = False
    promised: bool = False
    inside: bool = True


def hash_fraction(text: str) -> float:
    """Return a number from 0 to 1 for a text, the same everywhere."""
    return xxhash.xxh64_intdigest(text.encode()) / 2.0**64


def rotation_of(unix: int) -> int:
    """Return the number of the turn of a time."""
    return unix // ROTATION_US


def is_retry_rotation(one: PriorityInputs, turn: int) -> bool:
    """Tell whether a retry of this request stands as a first try in a turn."""
    return (
        turn + int(hash_fraction(f"back {one.client} {one.request}") * RETRY_CYCLE_ROTATIONS)
    ) % RETRY_CYCLE_ROTATIONS == 0


def place(one: PriorityInputs, unix: int) -> float:
    """Return the place of a request in the order at a time: 0 goes last."""
    turn = rotation_of(unix)
    returns = one.retry and is_retry_rotation(one, turn)
    worth = 0 if one.worth >= TOP_WORTH_SHARE else 1 if one.worth >= MIDDLE_WORTH_SHARE else 2
    band = ((worth * 2 + (not one.promised)) * 2 + (not one.inside)) * 2 + (one.retry and not returns)
    within = hash_fraction(f"{one.client} {turn}")
    return (band + (within / 2 if returns else within)) / PRIORITY_BANDS


def retry_after_us(one: PriorityInputs, unix: int, most_us: int) -> int:
    """Return how long a client is to stay away: until a turn of its own, somewhere in the middle of it."""
    turn = rotation_of(unix)
    spread = RETURN_EARLIEST + (RETURN_LATEST - RETURN_EARLIEST) * hash_fraction(f"when {one.client} {one.request}")
    number = next(at for at in range(turn + 1, turn + 1 + RETRY_CYCLE_ROTATIONS) if is_retry_rotation(one, at))
    return min(most_us, int((number + spread) * ROTATION_US) - unix)
