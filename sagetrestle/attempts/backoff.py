"""Delays between attempts: decorrelated jitter (Brooker, "Exponential Backoff and Jitter") above ``Retry-After``."""

from __future__ import annotations

import random


def backoff_us(
    previous_us: int, retry_after_us: int, rng: random.Random, min_us: int = 10_000, max_us: int = 1_000_000
) -> int:
    """Return the next delay in microseconds, drawn between the minimum and three times the previous delay.

    The server's ``Retry-After`` is a lower bound with jitter above it: callers that were given the same value must not
    all come back at the same time.
    """
    backoff = min(max_us, rng.uniform(min_us, max(min_us, 3 * previous_us)))
    if retry_after_us <= 0:
        return int(backoff)
    return int(max(backoff, retry_after_us * rng.uniform(1.0, 1.25)))
