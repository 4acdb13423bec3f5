"""The one place where ends of connections, runs and calls become the module's ``Outcome``."""

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
# How a connection's end reads for a call of which something was written: only a refusal proves anything.
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
    """Return how a run ended."""
    return RUNS[end]


def call_outcome(verdict: CallStatus) -> Outcome:
    """Return how an answered call ended."""
    return CALLS[verdict]


def connection_outcome(end: ConnectionEnd, written: bool) -> Outcome:
    """Return how a call ended whose connection did: a call never written can not have run."""
    return CONNECTIONS[end] if written else Outcome.CONNECT_FAILED
