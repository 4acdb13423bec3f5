"""How an attempt ended, and what that proves.

Only what proves that nothing ran may go to another server (RFC 9110, 9.2.2; RFC 9113, 8.7). All else may have run:
a safe request may be sent again all the same, a charge has to be asked after where it was sent.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sagetrestle.membership.values import Member
from sagetrestle.router import End


class AttemptEnd(Enum):
    """Every way in which an attempt can end."""

    ANSWERED = "answered"
    REFUSED = "refused: the server says that it did not run"
    NOT_CONNECTED = "no connection"
    NOT_SENT = "the connection ended before it was sent"
    UNPROCESSED = "the server left it unprocessed"  # GOAWAY below its stream, REFUSED_STREAM
    FAILED = "the server failed"
    TIMED_OUT = "no answer in time"
    RESET = "the stream or its connection was reset"
    HALF_ANSWER = "the answer broke off"
    UNREADABLE = "an answer that can not be read"
    WITHDRAWN = "given up here"
    NO_ROOM = "not sent: no server had room for it in time, or nobody waited any more"


PROVES: dict[AttemptEnd, End] = {
    AttemptEnd.ANSWERED: End.SERVED,
    AttemptEnd.REFUSED: End.NEVER_RAN,
    AttemptEnd.NOT_CONNECTED: End.NEVER_RAN,
    AttemptEnd.NOT_SENT: End.NEVER_RAN,
    AttemptEnd.UNPROCESSED: End.NEVER_RAN,
    AttemptEnd.FAILED: End.MAY_HAVE_RUN,
    AttemptEnd.TIMED_OUT: End.MAY_HAVE_RUN,
    AttemptEnd.RESET: End.MAY_HAVE_RUN,
    AttemptEnd.HALF_ANSWER: End.MAY_HAVE_RUN,
    AttemptEnd.UNREADABLE: End.MAY_HAVE_RUN,
    AttemptEnd.WITHDRAWN: End.MAY_HAVE_RUN,
    AttemptEnd.NO_ROOM: End.NEVER_RAN,
}
# What no server ever looked at: to send it once more adds no load and is not paid for (gRFC A6, transparent retries).
UNSEEN = frozenset({AttemptEnd.NOT_SENT, AttemptEnd.UNPROCESSED})
# What speaks against a member: it could not be reached, or did not do its work. A refusal is a server at work.
FAULTS = frozenset(
    {
        AttemptEnd.NOT_CONNECTED,
        AttemptEnd.FAILED,
        AttemptEnd.TIMED_OUT,
        AttemptEnd.RESET,
        AttemptEnd.HALF_ANSWER,
        AttemptEnd.UNREADABLE,
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
    ask_only: bool = False  # only ask after it: whatever the word, nothing is sent
    member: Member | None = None  # the one server that it may be sent to, as the fleet's record of it says


class Result(NamedTuple):
    """What came of a request: its end, the answer where there is one, and when to come back."""

    end: AttemptEnd
    answer: object = None
    retry_after_us: int = 0
    ran: bool = True  # False: it is proven that nothing ran
    settled: bool = False  # the server said that it ran and failed: there is nothing more to ask
