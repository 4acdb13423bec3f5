"""Maps the ends of connections, runs and calls to the policy's ``Outcome``."""

from __future__ import annotations

from sagetrestle.interface import Outcome
from sagetrestle.net.routing.values import CallStatus, ConnectionEnd, RunEnd

RUNS = {
    RunEnd.DONE: Outcome.OK,
    RunEnd.CRASHED: Outcome.ERROR,
    RunEnd.ABORTED: Outcome.CANCELLED,
    RunEnd.STALE: Outcome.NOT_STARTED,
    RunEnd.NEVER_RAN: Outcome.FULL,
    RunEnd.IN_DOUBT: Outcome.ERROR,
    RunEnd.REJECTED: Outcome.NOT_STARTED,
}
CALLS = {
    CallStatus.POSTED: Outcome.OK,
    CallStatus.QUEUE_FULL: Outcome.FULL,
    CallStatus.ERROR: Outcome.ERROR,
    CallStatus.EXPIRED: Outcome.TIMEOUT,
    CallStatus.MOOT: Outcome.NOT_STARTED,
}
# For a call of which some part was written: only a failed connection set-up proves that it did not run.
CONNECTIONS = {
    ConnectionEnd.REFUSED: Outcome.CONNECT_FAILED,
    ConnectionEnd.UNREACHABLE: Outcome.CONNECT_FAILED,
    ConnectionEnd.CONNECT_TIMED_OUT: Outcome.CONNECT_FAILED,
    ConnectionEnd.CLOSED: Outcome.RESET,
    ConnectionEnd.RESET: Outcome.RESET,
    ConnectionEnd.TIMED_OUT: Outcome.TIMEOUT,
    ConnectionEnd.MALFORMED: Outcome.RESET,
    ConnectionEnd.TOO_LARGE: Outcome.RESET,
    ConnectionEnd.CLOSED_LOCALLY: Outcome.RESET,
    ConnectionEnd.ABORTED: Outcome.RESET,
}


def run_outcome(end: RunEnd) -> Outcome:
    """Return the outcome of a run."""
    return RUNS[end]


def call_outcome(status: CallStatus) -> Outcome:
    """Return the outcome of an answered call."""
    return CALLS[status]


def connection_outcome(end: ConnectionEnd, written: bool) -> Outcome:
    """Return the outcome of a call whose connection ended; a call that was not written cannot have run."""
    return CONNECTIONS[end] if written else Outcome.CONNECT_FAILED
