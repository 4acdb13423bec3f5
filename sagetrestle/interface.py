"""The types shared by the decision module and its host: settings, events, actions and outcomes.

Times are integer microseconds on the host's clock and memory is in kilobytes. Request classes and tenants are given
as indexes into the lists of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Union


class Effect(Enum):
    """Whether a request may run twice: freely (safe), once for each idempotency key (keyed), or never (unsafe)."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class PreemptionMode(Enum):
    """How the host can take running work off the cores: not at all, by discarding it, or by pausing it."""

    NONE = "none"
    ABORT = "abort"
    PAUSE = "pause"


class DownstreamKind(Enum):
    """What requests call while they run: nothing, a dependency shared by all servers, or a tier of their own."""

    NONE = "none"
    SHARED = "shared"
    TIER = "tier"


class FreeValueKind(Enum):
    """How callers interpret the free value that a server sends with its answers."""

    NONE = "none"
    LEVEL = "level"
    CREDIT = "credit"
    WEIGHT = "weight"


class Outcome(Enum):
    """How a run or a call ended; the outcomes in ``NEVER_RAN`` prove that nothing was done."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"


NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


@dataclass(frozen=True)
class ClassSettings:
    """The settings of one request class."""

    name: str
    aim_us: int  # latency target, within which an answer has its full worth
    deadline_us: int
    worth: float = 1.0
    effect: Effect = Effect.SAFE
    late_share: float = 0.0  # worth of an answer after the aim, as a share
    window_us: int = 0  # time for which an idempotency key protects against a second run
    aim_stretch: float = 0.0  # extends the aim by this multiple of the work hint
    calls: bool = False  # whether requests make calls while they run
    skip_worth: float = 0.0  # worth without the call, as a share; 0: the call must not be skipped


@dataclass(frozen=True)
class TenantSettings:
    """The settings of one tenant; ``allowance_per_s`` is counted over the whole fleet."""

    name: str
    allowance_per_s: float = 0.0


@dataclass(frozen=True)
class Settings:
    """The settings of a server, fixed when it starts."""

    cores: int
    memory_kb: float
    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...] = ()
    servers: int = 1
    callers: int = 1
    cold: bool = False
    run_factor: float = 1.0  # memory of a request while it runs, over that while it is held
    key_kb: float = 0.0  # memory of one record in the table of keys
    preemption: PreemptionMode = PreemptionMode.NONE
    downstream: DownstreamKind = DownstreamKind.NONE
    calls_share: float = 0.0  # this server's part of the calls that a shared dependency can take
    calls_span_us: int = 5_000_000  # time over which the dependency averages its calls
    linger_us: int = 0  # time for which an abandoned call still occupies the dependency
    fresh_us: int = 0  # time past its deadline for which the result of a read is kept for repeats
    free_value: FreeValueKind = FreeValueKind.NONE
    idle_max_us: int = 0
    marks_retry: bool = False  # whether callers mark their retries
    retry_after: bool = False
    max_retry_after_us: int = 0
    over_share_worth: float = 1.0  # factor on the worth of requests beyond a tenant's allowance
    counted_by_work: bool = False  # whether worth counts for each unit of work, not for each request
    cold_share: float = 1.0  # of the survivable runs beyond the cores, right after a cold start
    warm_within_us: int = 0
    drain_grace_us: int = 0  # time after the drain notice in which new requests are still accepted
    crowd_multiple: float = 2.0  # concurrent runs that the server survives, over its cores
    crowd_span_us: int = 1_000_000
    tick_us: int = 1_000  # resolution of the host's timers

    def __post_init__(self) -> None:
        """Raise ValueError, with the name of the field, for settings that no server can run under."""
        if self.cores < 1:
            raise ValueError("cores: must be at least 1")
        if not self.memory_kb > 0:
            raise ValueError("memory_kb: must be above 0")
        if not self.classes:
            raise ValueError("classes: must not be empty")
        for index, request_class in enumerate(self.classes):
            if request_class.aim_us <= 0 or request_class.deadline_us <= 0:
                raise ValueError(f"classes[{index}]: aim_us and deadline_us must be above 0")
            if request_class.window_us < 0 or request_class.worth < 0:
                raise ValueError(f"classes[{index}]: window_us and worth must not be negative")
        for name in ("servers", "run_factor", "crowd_multiple", "crowd_span_us", "calls_span_us", "tick_us"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name}: must be above 0")
        for name in (
            "key_kb",
            "calls_share",
            "linger_us",
            "fresh_us",
            "idle_max_us",
            "callers",
            "max_retry_after_us",
            "cold_share",
            "warm_within_us",
            "drain_grace_us",
        ):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")


class RequestArrived(NamedTuple):
    """A request was read and is held; it needs exactly one final answer by ``due_us`` (0: no deadline given)."""

    id: str
    class_index: int
    caller: int
    held_kb: float = 0.0
    due_us: int = 0
    tenant: int = 0
    subject: str | None = None
    hint_us: int = 0
    rank: float = 0.0
    retry: bool = False
    waited_us: int = 0
    repeat_of: str | None = None
    position: float = 0.0  # in the order of all requests, which the fleet shares
    retry_after_us: int = 0  # advice to the caller if the request is turned away
    arrived_in_parts: bool = False  # its last bytes were read just now, although its time stamp is older
    region: int = 0  # index, in ``AdmissionLimits.levels``, of the region chosen for its work


class RequestWithdrawn(NamedTuple):
    """The caller no longer waits, so no answer is needed."""

    id: str


class RunEnded(NamedTuple):
    """A run ended; after a pause this is the confirmation, with the outcome ``CANCELLED``."""

    id: str
    outcome: Outcome
    took_us: int = 0


class RunInDoubt(NamedTuple):
    """A run may not exist, as its command may be lost; it is not on a core now, but may come back from its disk.

    It keeps its memory until it is reported: by ``RunEnded`` (``CANCELLED`` if it is paused) or ``CallRequested``.
    """

    id: str


class CallRequested(NamedTuple):
    """A running request has left the cores and waits to make a call."""

    id: str


class CallEnded(NamedTuple):
    """A call ended; after ``OK`` the request continues to run by itself."""

    id: str
    outcome: Outcome
    took_us: int = 0


class DrainNotice(NamedTuple):
    """The server must drain; its process stops at ``stop_at_us``."""

    stop_at_us: int


class ProcessUsage(NamedTuple):
    """What another process of the same server uses of their shared memory and cores, during a hot restart."""

    memory_kb: float = 0.0
    running: int = 0  # runs on the cores


class AdmissionLimits(NamedTuple):
    """Limits on admission set outside the module: ``slots`` requests may run now, on ``cores`` cores on average.

    ``levels`` holds one cutoff for each region. A request whose position in the order of all requests is at or past the
    level of its region is turned away.
    """

    slots: int
    cores: float
    levels: tuple[float, ...]


@dataclass(frozen=True)
class Gauges:
    """Measurements of the server itself; None where one is not available."""

    core_use: float | None = None
    on_cores: float | None = None
    memory: float | None = None
    connections: float | None = None


class TimerFired(NamedTuple):
    """A timer set by ``SetTimer`` expired."""

    token: int
    gauges: Gauges = Gauges()


class StartRun(NamedTuple):
    """Start a held request or resume a paused one."""

    id: str


class StopRun(NamedTuple):
    """Pause (or abort) a run; if the request was already answered, the run ends."""

    id: str


class RefuseRequest(NamedTuple):
    """Refuse a request: the caller avoids this server for ``retry_after_us``; ``final`` means not to try others."""

    id: str
    retry_after_us: int = 0
    final: bool = False


class FailRequest(NamedTuple):
    """Answer with an error, which does not say whether the request ran."""

    id: str


class MakeCall(NamedTuple):
    """Make the call that a request waits for."""

    id: str
    timeout_us: int = 0


class SkipCall(NamedTuple):
    """Continue a request without its call, for part of its worth."""

    id: str


class RememberRequest(NamedTuple):
    """Keep a request in the table of keys for ``retention_us``, so that repeats of it are recognised."""

    id: str
    retention_us: int


class ForgetRequest(NamedTuple):
    """Drop a remembered request before its retention ends."""

    id: str


class ReuseResult(NamedTuple):
    """Answer a repeat with the result of the request that it repeats."""

    id: str


class SetHealth(NamedTuple):
    """Set the answer to health checks; ``cached`` means that they are answered without any work."""

    healthy: bool
    cached: bool = True


class SetFreeValue(NamedTuple):
    """Set the free value that is sent with every answer."""

    value: float


class SetIdleLimit(NamedTuple):
    """Close connections that are idle for longer than ``max_idle_us``."""

    max_idle_us: int


class SetTimer(NamedTuple):
    """Request a ``TimerFired`` event after ``delay_us``."""

    delay_us: int
    token: int


class WriteLogLine(NamedTuple):
    """Write a log line for the operators."""

    text: str


Event = Union[
    RequestArrived,
    RequestWithdrawn,
    RunEnded,
    RunInDoubt,
    CallRequested,
    CallEnded,
    DrainNotice,
    ProcessUsage,
    AdmissionLimits,
    TimerFired,
]
Action = Union[
    StartRun,
    StopRun,
    RefuseRequest,
    FailRequest,
    MakeCall,
    SkipCall,
    RememberRequest,
    ForgetRequest,
    ReuseResult,
    SetHealth,
    SetFreeValue,
    SetIdleLimit,
    SetTimer,
    WriteLogLine,
]
