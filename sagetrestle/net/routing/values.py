"""The neutral words of the core: requests, answers, and the ways in which connections, runs and calls end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Union

from sagetrestle.identity.values import Cause, Presented
from sagetrestle.interface import Settings

Address = tuple[str, int]


class BackendAddresses(NamedTuple):
    """Where the parties behind the server are reached; a new configuration may move them."""

    kernel: Address
    ledger: Address | None  # None: the site has none, and no class of it calls
    roster: Address


class ConnectionId(NamedTuple):
    """One connection of one front."""

    front: str
    number: int


class RequestRef(NamedTuple):
    """Where an answer belongs: a connection, and the request's number on it."""

    connection: ConnectionId
    seqid: int


class Request(NamedTuple):
    """What any front makes of a request; times are microseconds on the program's clock.

    ``arrived`` is 0 where the wire does not tell it: then it is the turn in which the request was read.
    ``presented`` is what it brings to prove who sent it, on fronts that take it; ``tenant`` is whom the core
    found it to be from, and empty where nobody asks that.
    """

    request_ref: RequestRef
    id: str
    class_index: int
    arrived: int
    caller: int
    body: bytes
    held_kb: float = 0.0
    hint_us: int = 0
    rank: float = 0.0
    retry: bool = False
    key: str | None = None
    subject: str | None = None
    presented: Presented | None = None
    tenant: str = ""
    split: bool = False  # its last bytes came later than its first ones, and ``arrived`` may be before either


class Served(NamedTuple):
    """The result that a run made, unchanged."""

    result: bytes


class Refused(NamedTuple):
    """Turned away: this try never ran. ``last`` asks that no other server be tried."""

    retry_after_us: int = 0
    last: bool = False


class Denied(NamedTuple):
    """Turned away for who sent it: this try never ran. ``retry_after_us`` is 0 where time mends nothing."""

    cause: Cause
    retry_after_us: int = 0


class FailCause(Enum):
    """Why a request failed, for fronts that can say so."""

    RUN = "the run or a call failed, or the request was given up"
    OVERDUE = "its due time is over"
    CONFLICT = "its key came before with another body"
    REJECTED = "it can not be translated"


class Failed(NamedTuple):
    """An error, which promises nothing about what ran."""

    cause: FailCause = FailCause.RUN


Answer = Union[Served, Refused, Denied, Failed]


class ConnectionEnd(Enum):
    """Every way in which a connection can end, from whichever side and on whichever wire."""

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    CONNECT_TIMED_OUT = "not set up in time"
    CLOSED = "closed by the other side"
    RESET = "reset"
    TIMED_OUT = "timed out"
    MALFORMED = "malformed input"
    TOO_LARGE = "input over its bound"
    CLOSED_LOCALLY = "closed here"
    ABORTED = "cut off here"


class RunEnd(Enum):
    """How the kernel says that a run ended."""

    DONE = "done"
    CRASHED = "crashed"
    ABORTED = "aborted"
    STALE = "stale"
    NEVER_RAN = "never ran"  # it was sent on, and is proven never to have run
    IN_DOUBT = "in doubt"  # it may have run, and whoever runs it will know by the next try
    REJECTED = "rejected"  # it can not be sent on as it is


class CallStatus(Enum):
    """What the ledger says of a call."""

    POSTED = "posted"
    QUEUE_FULL = "queue_full"
    ERROR = "error"
    EXPIRED = "expired"
    MOOT = "moot"


class ManagementCall(Enum):
    """What the operators may ask of a process at its second address."""

    READY = "whether it is ready to serve"
    TELEMETRY = "the figures"
    EVACUATE = "drain"
    REJOIN = "back to work"


class ManagementReply(NamedTuple):
    """The answer to an operators' call: an HTTP status and a text."""

    status: int
    text: str


class CommandKind(Enum):
    """What the core asks the kernel to do with a run."""

    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    REPLY = "reply"


class Bounds(NamedTuple):
    """How much there may be of everything at once, from the limits that the platform sets."""

    connections: dict[str, int]  # of each front
    turned_down: int  # SCGI connections that are still told so
    dns: int
    calls: int
    requests: int
    results: int  # bytes
    management: int = 0  # callers of the second address
    own: int = 0  # descriptors beside connections and calls


@dataclass(frozen=True)
class Plan:
    """What the core is told of its place, from the configuration."""

    settings: Settings
    stop_us: int
    bounds: Bounds
    gauges: tuple[str, ...] = ()
    seed: int = 0
    managed: bool = False  # there is a second address
