"""Protocol-independent types of the core: requests, answers, and how connections, runs and calls end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Union

from sagetrestle.identity.values import Cause, PresentedCredentials
from sagetrestle.interface import Settings

Address = tuple[str, int]


class BackendAddresses(NamedTuple):
    """The addresses of the services behind the server; a reloaded configuration may change them."""

    kernel: Address
    ledger: Address | None  # None where no class makes calls
    roster: Address


class ConnectionId(NamedTuple):
    """Identifies a connection of a front."""

    front: str
    number: int


class RequestRef(NamedTuple):
    """Identifies an open request: its connection, and its sequence number there."""

    connection: ConnectionId
    seqid: int


class Request(NamedTuple):
    """A request as any front passes it to the core; times are microseconds on the program's clock.

    ``arrived`` is 0 where the protocol does not carry it; the core then uses the time of the turn in which the
    request was read. ``presented`` holds the sender's credentials, on fronts that accept them. ``tenant`` is the
    authenticated tenant, and empty where identity is off.
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
    presented: PresentedCredentials | None = None
    tenant: str = ""
    split: bool = False  # read in several parts; ``arrived`` may be earlier than its first byte
    timeout_us: int | None = None  # how long the caller waits, counted from ``arrived``; None if it does not tell
    share_holder: int | None = None  # whose share of the cores it takes; None: its caller's

    def deadline_us(self, settings: Settings) -> int:
        """Return by when the request needs its final answer: when its caller or its class's deadline gives it up."""
        limit_us = settings.classes[self.class_index].deadline_us
        return self.arrived + (limit_us if self.timeout_us is None else min(self.timeout_us, limit_us))


class Served(NamedTuple):
    """The result of a run, unchanged."""

    result: bytes


class Refused(NamedTuple):
    """The attempt was refused and never ran. ``last`` asks the caller not to try another server."""

    retry_after_us: int = 0
    last: bool = False


class Denied(NamedTuple):
    """The attempt was refused because of its sender and never ran.

    ``retry_after_us`` is 0 where a later attempt would be refused too.
    """

    cause: Cause
    retry_after_us: int = 0


class FailCause(Enum):
    """Why a request failed, for fronts whose protocol can express it."""

    RUN = "the run or a call failed, or the request was abandoned"
    OVERDUE = "its deadline has passed"
    CONFLICT = "its idempotency key was used before with another body"
    REJECTED = "it cannot be translated"


class Failed(NamedTuple):
    """An error, which does not say whether the attempt ran."""

    cause: FailCause = FailCause.RUN


Answer = Union[Served, Refused, Denied, Failed]


class ConnectionEnd(Enum):
    """How a connection can end, from either side and with any protocol."""

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
    """The outcome of a run as reported by the kernel."""

    DONE = "done"
    CRASHED = "crashed"
    ABORTED = "aborted"
    STALE = "stale"
    NEVER_RAN = "never ran"  # it was forwarded, and is known never to have run
    IN_DOUBT = "in doubt"  # it may have run; its server can tell by the next attempt
    REJECTED = "rejected"  # it cannot be forwarded in its present form


class CallStatus(Enum):
    """The ledger's reply status of a call."""

    POSTED = "posted"
    QUEUE_FULL = "queue_full"
    ERROR = "error"
    EXPIRED = "expired"
    MOOT = "moot"


class ManagementCall(Enum):
    """The operations that the management address offers."""

    READY = "report readiness"
    TELEMETRY = "report metrics"
    EVACUATE = "drain"
    REJOIN = "undo an evacuation"


class ManagementReply(NamedTuple):
    """The reply to a management call: an HTTP status and a text."""

    status: int
    text: str


class CommandKind(Enum):
    """The commands that the core sends the kernel about a run."""

    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    REPLY = "reply"


class Bounds(NamedTuple):
    """Maximum numbers of concurrent resources, derived from the limits that the platform sets."""

    connections: dict[str, int]  # by front
    turned_down: int  # refused SCGI connections that still get an answer
    dns: int
    calls: int
    requests: int
    results: int  # bytes of stored results
    management: int = 0  # connections to the management address
    own: int = 0  # file descriptors besides connections and calls
    input_bytes: int = 4 << 20  # of requests that were received in part, over all fronts


@dataclass(frozen=True)
class Plan:
    """The part of the configuration that the core uses."""

    settings: Settings
    stop_us: int
    bounds: Bounds
    gauges: tuple[str, ...] = ()
    seed: int = 0
    managed: bool = False  # the server has a management address
