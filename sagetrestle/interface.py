"""The words the decision module and its host share: settings, events, actions, outcomes.

Nothing is decided here. Times are integer microseconds on the host's clock, memory is in kilobytes,
and classes and tenants are indexes into the settings' lists.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Union


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class PreemptionMode(Enum):
    """What the host can do with running work: nothing, discard it, or pause it."""

    NONE = "none"
    ABORT = "abort"
    PAUSE = "pause"


class DownstreamKind(Enum):
    """What requests call while they run."""

    NONE = "none"
    SHARED = "shared"
    TIER = "tier"


class FreeValueKind(Enum):
    """How callers read the number that a server sends back."""

    NONE = "none"
    LEVEL = "level"
    CREDIT = "credit"
    WEIGHT = "weight"


class Outcome(Enum):
    """How a run or a call ended. ``NEVER_RAN`` below lists those that prove nothing was done."""

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
    """One class of requests."""

    name: str
    aim_us: int
    deadline_us: int
    worth: float = 1.0
    effect: Effect = Effect.SAFE
    late_share: float = 0.0
    window_us: int = 0
    aim_stretch: float = 0.0
    calls: bool = False
    skip_worth: float = 0.0


@dataclass(frozen=True)
class TenantSettings:
    """One tenant; ``allowance_per_s`` is counted over the whole fleet."""

    name: str
    allowance_per_s: float = 0.0


@dataclass(frozen=True)
class Settings:
    """All that a server is told when it starts."""

    cores: int
    memory_kb: float
    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...] = ()
    servers: int = 1
    callers: int = 1
    cold: bool = False
    run_factor: float = 1.0
    key_kb: float = 0.0
    preemption: PreemptionMode = PreemptionMode.NONE
    downstream: DownstreamKind = DownstreamKind.NONE
    calls_share: float = 0.0
    calls_span_us: int = 5_000_000
    linger_us: int = 0
    fresh_us: int = 0
    free_value: FreeValueKind = FreeValueKind.NONE
    idle_max_us: int = 0
    marks_retry: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    over_share_worth: float = 1.0
    counted_by_work: bool = False
    cold_share: float = 1.0
    warm_within_us: int = 0
    drain_grace_us: int = 0
    crowd_multiple: float = 2.0
    crowd_span_us: int = 1_000_000
    tick_us: int = 1_000

    def __post_init__(self) -> None:
        """Refuse settings no server can run under, naming the field."""
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
    """A request was read and is held from now on; it is owed one final answer by ``due_us`` (0: not told)."""

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
    position: float = 0.0  # in the order of all requests that others share
    retry_after_us: int = 0  # when to come back, if it is turned away
    arrived_in_parts: bool = False  # its last bytes came now, whatever its stamp says
    region: int = 0  # where its work is to be done, as others found; its number in ``AdmissionLimits``


class RequestWithdrawn(NamedTuple):
    """The caller no longer waits: no answer is owed."""

    id: str


class RunEnded(NamedTuple):
    """A run ended; after a pause this confirms it (``CANCELLED``)."""

    id: str
    outcome: Outcome
    took_us: int = 0


class CallRequested(NamedTuple):
    """A running request has left the cores and waits for a call below."""

    id: str


class CallEnded(NamedTuple):
    """A call came back; on ``OK`` the request runs on by itself."""

    id: str
    outcome: Outcome
    took_us: int = 0


class DrainNotice(NamedTuple):
    """The notice to leave; the process stops at ``stop_at_us``."""

    stop_at_us: int


class ProcessUsage(NamedTuple):
    """Another process of this server, which finishes its work, holds this much of what both share."""

    memory_kb: float = 0.0
    running: int = 0  # on the cores


class AdmissionLimits(NamedTuple):
    """What may run at once from now on, found elsewhere: ``slots`` now, ``cores`` on the mean.

    What stands at the level of its region in the order of all requests, or past it, is turned away; ``levels`` are by
    the regions' numbers.
    """

    slots: int
    cores: float
    levels: tuple[float, ...]


@dataclass(frozen=True)
class Gauges:
    """What the server measures of itself; None where it does not."""

    core_use: float | None = None
    on_cores: float | None = None
    memory: float | None = None
    connections: float | None = None


class TimerFired(NamedTuple):
    """A timer set by ``SetTimer`` went off."""

    token: int
    gauges: Gauges = Gauges()


class StartRun(NamedTuple):
    """Start a held request or resume a paused one."""

    id: str


class StopRun(NamedTuple):
    """Pause (or abort) running work; ends it where it was already answered."""

    id: str


class RefuseRequest(NamedTuple):
    """Turn away: ``retry_after_us`` asks the caller to avoid this server, ``final`` not to try others."""

    id: str
    retry_after_us: int = 0
    final: bool = False


class FailRequest(NamedTuple):
    """Answer with an error, which promises nothing about what ran."""

    id: str


class MakeCall(NamedTuple):
    """Make the call a request waits for."""

    id: str
    timeout_us: int = 0


class SkipCall(NamedTuple):
    """Go on without the call, for part of the worth."""

    id: str


class RememberRequest(NamedTuple):
    """Remember a request, so that repeats of it are known."""

    id: str
    retention_us: int


class ForgetRequest(NamedTuple):
    """Give a remembered request up early."""

    id: str


class ReuseResult(NamedTuple):
    """Serve a repeat with the result of the request it repeats."""

    id: str


class SetHealth(NamedTuple):
    """What health checks are told; ``cached`` answers them without work."""

    healthy: bool
    cached: bool = True


class SetFreeValue(NamedTuple):
    """The free value sent with every answer."""

    value: float


class SetIdleLimit(NamedTuple):
    """Close connections idle for longer."""

    max_idle_us: int


class SetTimer(NamedTuple):
    """Ask for a ``TimerFired`` event."""

    delay_us: int
    token: int


class WriteLogLine(NamedTuple):
    """A line for the people on call."""

    text: str


Event = Union[
    RequestArrived,
    RequestWithdrawn,
    RunEnded,
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
