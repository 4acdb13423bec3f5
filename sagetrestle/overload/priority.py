"""Request priorities, the same at all members: from 0, rejected last, to 1, rejected first (DAGOR, SoCC 2018).

Bands are by worth, objective, the tenant's share, and first attempt before retry. Within a band the priority is a hash
of the client and of the rotation, a period of ``ROTATION_US``, so that not always the same clients are rejected. In one
rotation of each cycle a retry counts as a first attempt; rejected callers are told to come back then. There is no
state: all members compute the same priority.
"""

from __future__ import annotations

from typing import NamedTuple

import xxhash

from sagetrestle.overload.values import PRIORITY_BANDS

ROTATION_US = 1_000_000
RETRY_CYCLE_ROTATIONS = 4  # rotations in a cycle; in one of them a retry counts as a first attempt
# Rejected callers come back between these parts of a rotation; the margins allow for clock differences.
EARLIEST_RETURN_SHARE = 0.3
LATEST_RETURN_SHARE = 0.7
TOP_WORTH_SHARE = 0.5  # worth from which a request is in the first tier
MIDDLE_WORTH_SHARE = 0.125  # worth from which a request is in the second tier


class PriorityInputs(NamedTuple):
    """The inputs of a request's priority.

    ``worth`` is the worth of its class, divided by the highest worth of all classes. ``within_share``: the request is
    within the share that the admission level gives to its client.
    """

    worth: float
    client: str
    request: str
    retry: bool = False
    has_objective: bool = False
    within_share: bool = True


def hash_fraction(text: str) -> float:
    """Return a hash of a text as a number from 0 to 1, the same at all members."""
    return xxhash.xxh64_intdigest(text.encode()) / 2.0**64


def rotation_of(unix: int) -> int:
    """Return the number of the rotation that contains a time."""
    return unix // ROTATION_US


def is_retry_rotation(inputs: PriorityInputs, rotation: int) -> bool:
    """Tell whether a retry of this request counts as a first attempt in a rotation."""
    return (
        rotation + int(hash_fraction(f"back {inputs.client} {inputs.request}") * RETRY_CYCLE_ROTATIONS)
    ) % RETRY_CYCLE_ROTATIONS == 0


def priority_of(inputs: PriorityInputs, unix: int) -> float:
    """Return the priority of a request at a time; 0 is rejected last."""
    rotation = rotation_of(unix)
    counts_as_first = inputs.retry and is_retry_rotation(inputs, rotation)
    worth = 0 if inputs.worth >= TOP_WORTH_SHARE else 1 if inputs.worth >= MIDDLE_WORTH_SHARE else 2
    band = ((worth * 2 + (not inputs.has_objective)) * 2 + (not inputs.within_share)) * 2 + (
        inputs.retry and not counts_as_first
    )
    within = hash_fraction(f"{inputs.client} {rotation}")
    return (band + (within / 2 if counts_as_first else within)) / PRIORITY_BANDS


def retry_after_us(inputs: PriorityInputs, unix: int, max_us: int) -> int:
    """Return how long a client should wait, in microseconds, at most ``max_us``.

    The wait ends in the middle of a rotation in which its retry counts as a first attempt.
    """
    rotation = rotation_of(unix)
    spread = EARLIEST_RETURN_SHARE + (LATEST_RETURN_SHARE - EARLIEST_RETURN_SHARE) * hash_fraction(
        f"when {inputs.client} {inputs.request}"
    )
    number = next(
        candidate
        for candidate in range(rotation + 1, rotation + 1 + RETRY_CYCLE_ROTATIONS)
        if is_retry_rotation(inputs, candidate)
    )
    return min(max_us, int((number + spread) * ROTATION_US) - unix)
