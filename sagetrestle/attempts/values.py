"""How an attempt ended, and what that proves.

Only what proves that nothing ran may go to another server (RFC 9110, 9.2.2; RFC 9113, 8.7). All else may have run:
a safe request may be sent again all the same, a charge has to be asked after where it was sent.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sagetrestle.membership.values import Member
from sagetrestle.router import ExecutionProof


class AttemptOutcome(Enum):
    """Every way in which an attempt can end."""

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
# What no server ever looked at: to send it once more adds no load and is not paid for (gRFC A6, transparent retries).
NEVER_RECEIVED = frozenset({AttemptOutcome.NOT_SENT, AttemptOutcome.UNPROCESSED})
# What speaks against a member: it could not be reached, or did not do its work. A refusal is a server at work.
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
    """What a server says became of a key (the question after a charge in doubt)."""

    DONE = "done"
    RUNNING = "still running"
    UNKNOWN = "never came here"
    FAILED = "ran, and failed"


class Job(NamedTuple):
    """One request to be sent on; times in microseconds, ``due_us`` on the caller's clock."""

    id: str
    route: str
    tenant: str
    due_us: int
    key: str | None = None
    retry: bool = False  # the caller itself marked it as a further try
    in_doubt: tuple[str, int] | None = None  # the server and boot that may have run it before this process began
    query_only: bool = False  # only ask after it: whatever the word, nothing is sent
    member: Member | None = None  # the one server that it may be sent to, as the fleet's record of it says


class Result(NamedTuple):
    """What came of a request: its end, the answer where there is one, and when to come back."""

    end: AttemptOutcome
    answer: object = None
    retry_after_us: int = 0
    ran: bool = True  # False: it is proven that nothing ran
    settled: bool = False  # the server said that it ran and failed: there is nothing more to ask
