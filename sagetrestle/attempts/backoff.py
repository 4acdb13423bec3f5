"""Pauses between tries: decorrelated jitter (Brooker, "Exponential Backoff and Jitter"), heeding advice."""

from __future__ import annotations

import random


def pause_us(
    before_us: int, advised_us: int, rng: random.Random, least_us: int = 10_000, most_us: int = 1_000_000
) -> int:
    """Return the next pause, drawn between the least and three times the one before.

    A server's advice is a floor, not a value: all who were told the same would come back together.
    """
    drawn = min(most_us, rng.uniform(least_us, max(least_us, 3 * before_us)))
    if advised_us <= 0:
        return int(drawn)
    return int(max(drawn, advised_us * rng.uniform(1.0, 1.25)))
