"""Pauses between tries: decorrelated jitter (Brooker, "Exponential Backoff and Jitter"), heeding advice."""

from __future__ import annotations

import random


def backoff_us(
    previous_us: int, retry_after_us: int, rng: random.Random, min_us: int = 10_000, max_us: int = 1_000_000
) -> int:
    """Return the next pause, drawn between the least and three times the one before.

    A server's advice is a floor, not a value: all who were told the same would come back together.
    """
    drawn = min(max_us, rng.uniform(min_us, max(min_us, 3 * previous_us)))
    if retry_after_us <= 0:
        return int(drawn)
    return int(max(drawn, retry_after_us * rng.uniform(1.0, 1.25)))
