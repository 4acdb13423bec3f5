"""The new side's statuses and problem details (RFC 9457), and what each proves of the request."""

from __future__ import annotations

from typing import Any, NamedTuple

from sagetrestle.attempts.values import AttemptEnd

NEVER_RAN = "urn:sagetrestle:problem:never-ran"  # the one type by which a server proves that it did not run
# Statuses that come before any work, by their definition; all others may have run unless the problem says not.
BEFORE_WORK = frozenset({400, 401, 403, 404, 405, 406, 408, 409, 411, 413, 414, 415, 421, 422, 425, 429, 431, 503})
FINAL = frozenset({400, 401, 403, 404, 405, 406, 409, 411, 413, 414, 415, 422, 431})  # another try changes nothing


class Verdict(NamedTuple):
    """How an attempt with this response ended; ``final`` tells that no further try is worth it."""

    end: AttemptEnd
    final: bool = False
    retry_after_us: int = 0


def verdict(status: int, problem: Any, retry_after: str | None) -> Verdict:
    """Return what a status, its problem details and its ``Retry-After`` (delay in seconds) say."""
    if 200 <= status < 300:
        return Verdict(AttemptEnd.ANSWERED)
    wait = (
        int(retry_after) * 1_000_000
        if retry_after is not None and retry_after.isdecimal() and len(retry_after) < 8
        else 0
    )
    never = isinstance(problem, dict) and problem.get("type") == NEVER_RAN
    if never or status in BEFORE_WORK:
        return Verdict(AttemptEnd.REFUSED, status in FINAL and not never, wait)
    return Verdict(AttemptEnd.FAILED, False, wait)
