"""Outcomes of attempts, and what each proves about the request's execution.

Only an outcome that proves that nothing ran lets a request go to another server (RFC 9110, 9.2.2; RFC 9113, 8.7). After
any other outcome it may have run: a safe request may be sent again all the same, but for a charge the server that it
was sent to has to be queried.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sagetrestle.membership.values import Member
from sagetrestle.router import ExecutionProof


class AttemptOutcome(Enum):
    """The outcome of an attempt."""

    ANSWERED = "answered"
    REFUSED = "refused: the server says that it did not run"
    NOT_CONNECTED = "no connection"
    NOT_SENT = "the connection ended before it was sent"
    UNPROCESSED = "the server left it unprocessed"  # GOAWAY below its stream, REFUSED_STREAM
    FAILED = "the server failed"
    TIMED_OUT = "no answer in time"
    RESET = "the stream or its connection was reset"
    TRUNCATED_ANSWER = "the answer broke off"
    MALFORMED_ANSWER = "an answer that can not be read"
    WITHDRAWN = "given up here"
    NO_CAPACITY = "not sent: no server had room for it in time, or nobody waited any more"


EXECUTION_PROOFS: dict[AttemptOutcome, ExecutionProof] = {
    AttemptOutcome.ANSWERED: ExecutionProof.SERVED,
    AttemptOutcome.REFUSED: ExecutionProof.NEVER_RAN,
    AttemptOutcome.NOT_CONNECTED: ExecutionProof.NEVER_RAN,
    AttemptOutcome.NOT_SENT: ExecutionProof.NEVER_RAN,
    AttemptOutcome.UNPROCESSED: ExecutionProof.NEVER_RAN,
    AttemptOutcome.FAILED: ExecutionProof.MAY_HAVE_RUN,
    AttemptOutcome.TIMED_OUT: ExecutionProof.MAY_HAVE_RUN,
    AttemptOutcome.RESET: ExecutionProof.MAY_HAVE_RUN,
    AttemptOutcome.TRUNCATED_ANSWER: ExecutionProof.MAY_HAVE_RUN,
    AttemptOutcome.MALFORMED_ANSWER: ExecutionProof.MAY_HAVE_RUN,
    AttemptOutcome.WITHDRAWN: ExecutionProof.MAY_HAVE_RUN,
    AttemptOutcome.NO_CAPACITY: ExecutionProof.NEVER_RAN,
}
# No server processed it: one resend adds no load and takes nothing from the budget (gRFC A6, transparent retries).
NEVER_RECEIVED = frozenset({AttemptOutcome.NOT_SENT, AttemptOutcome.UNPROCESSED})
# Outcomes that count as failures of a member. A refusal does not: the server is working.
MEMBER_FAULTS = frozenset(
    {
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.FAILED,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.RESET,
        AttemptOutcome.TRUNCATED_ANSWER,
        AttemptOutcome.MALFORMED_ANSWER,
    }
)


class Fate(Enum):
    """What a server reports about an idempotency key when it is queried for a charge in doubt."""

    DONE = "done"
    RUNNING = "still running"
    UNKNOWN = "never came here"
    FAILED = "ran, and failed"


class Job(NamedTuple):
    """A request to be forwarded; ``due_us`` is its deadline in microseconds on the caller's clock."""

    id: str
    route: str
    tenant: str
    due_us: int
    key: str | None = None
    retry: bool = False  # the caller marked it as a retry of its own
    in_doubt: tuple[str, int] | None = None  # the server and boot that may have run it before this process started
    query_only: bool = False  # only query its fate; never send it
    member: Member | None = None  # the one server that it may be sent to, by the fleet's record


class Result(NamedTuple):
    """The result of a request: the last outcome, the answer where there is one, and the server's ``Retry-After``."""

    end: AttemptOutcome
    answer: object = None
    retry_after_us: int = 0
    ran: bool = True  # False: it is proven that nothing ran
    settled: bool = False  # the server reported that it ran and failed: no further query
