"""The new side's statuses and problem details (RFC 9457), and what each proves of the request."""

from __future__ import annotations

from typing import Any, NamedTuple

from sagetrestle.attempts.values import AttemptOutcome

NEVER_RAN = "urn:sagetrestle:problem:never-ran"  # the one type by which a server proves that it did not run
# Statuses that come before any work, by their definition; all others may have run unless the problem says not.
NEVER_RAN_STATUSES = frozenset(
    {400, 401, 403, 404, 405, 406, 408, 409, 411, 413, 414, 415, 421, 422, 425, 429, 431, 503}
)
FINAL_STATUSES = frozenset(
    {400, 401, 403, 404, 405, 406, 409, 411, 413, 414, 415, 422, 431}
)  # another try changes nothing


class ResponseOutcome(NamedTuple):
    """How an attempt with this response ended; ``final`` tells that no further try is worth it."""

    end: AttemptOutcome
    final: bool = False
    retry_after_us: int = 0


def classify_response(status: int, problem: Any, retry_after: str | None) -> ResponseOutcome:
    """Return what a status, its problem details and its ``Retry-After`` (delay in seconds) say."""
    if 200 <= status < 300:
        return ResponseOutcome(AttemptOutcome.ANSWERED)
    wait = (
        int(retry_after) * 1_000_000
        if retry_after is not None and retry_after.isdecimal() and len(retry_after) < 8
        else 0
    )
    never = isinstance(problem, dict) and problem.get("type") == NEVER_RAN
    if never or status in NEVER_RAN_STATUSES:
        return ResponseOutcome(AttemptOutcome.REFUSED, status in FINAL_STATUSES and not never, wait)
    return ResponseOutcome(AttemptOutcome.FAILED, False, wait)
