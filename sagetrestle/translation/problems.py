"""The new side's statuses and problem details (RFC 9457), and what each proves about the request's execution."""

from __future__ import annotations

from typing import Any, NamedTuple

from sagetrestle.attempts.values import AttemptOutcome

NEVER_RAN = "urn:sagetrestle:problem:never-ran"  # the only type that proves that the request did not run
# Statuses that by definition precede any work; after any other the request may have run, unless the problem type says
# that it did not.
NEVER_RAN_STATUSES = frozenset(
    {400, 401, 403, 404, 405, 406, 408, 409, 411, 413, 414, 415, 421, 422, 425, 429, 431, 503}
)
FINAL_STATUSES = frozenset({400, 401, 403, 404, 405, 406, 409, 411, 413, 414, 415, 422, 431})  # a retry gets the same


class ResponseOutcome(NamedTuple):
    """The outcome of an attempt by its response; ``final`` where a retry would get the same response."""

    end: AttemptOutcome
    final: bool = False
    retry_after_us: int = 0


def classify_response(status: int, problem: Any, retry_after: str | None) -> ResponseOutcome:
    """Return the outcome by status, problem details and ``Retry-After`` (a delay in seconds)."""
    if 200 <= status < 300:
        return ResponseOutcome(AttemptOutcome.ANSWERED)
    retry_after_us = (
        int(retry_after) * 1_000_000
        if retry_after is not None and retry_after.isdecimal() and len(retry_after) < 8
        else 0
    )
    never_ran = isinstance(problem, dict) and problem.get("type") == NEVER_RAN
    if never_ran or status in NEVER_RAN_STATUSES:
        return ResponseOutcome(AttemptOutcome.REFUSED, status in FINAL_STATUSES and not never_ran, retry_after_us)
    return ResponseOutcome(AttemptOutcome.FAILED, False, retry_after_us)
