"""Decides what one server admits, runs and sheds; its types, events and actions are in ``sagetrestle/interface.py``.

Running requests get short time slices and are paused between them. The next slice goes to the user with the least
run time charged. A run limit, found by hill climbing on the throughput of finished work, bounds how many requests
run at once. The rest is load shedding and protection against overload; ``docs/design.md`` says which parts come
from the design's source and which were added.
"""

from __future__ import annotations

import heapq
from collections import deque

from sagetrestle.interface import (
    NEVER_RAN,
    Action,
    AdmissionLimits,
    CallEnded,
    CallRequested,
    DownstreamKind,
    DrainNotice,
    Effect,
    Event,
    FailRequest,
    ForgetRequest,
    FreeValueKind,
    Gauges,
    MakeCall,
    Outcome,
    PreemptionMode,
    ProcessUsage,
    RefuseRequest,
    RememberRequest,
    RequestArrived,
    RequestWithdrawn,
    ReuseResult,
    RunEnded,
    RunInDoubt,
    SetFreeValue,
    SetHealth,
    SetIdleLimit,
    SetTimer,
    Settings,
    SkipCall,
    StartRun,
    StopRun,
    TimerFired,
    WriteLogLine,
)

# A constant named SHARE is a fraction of what its comment names; RUNS and CALLS are multiples of the mean run or of the
# typical call, which are observed while the server runs.

# Length of a time slice. With a quarter or half of a mean run much half-done work came late.
SLICE_LENGTH_RUNS = 1.5
# Interval at which waiting work is checked, since it misses its aim by time alone; a few runs long.
WAITING_CHECK_INTERVAL_US = 25_000

# Interval of hill climbing and of updates to the free value; several runs long.
CLIMB_INTERVAL_US = 500_000
CLIMB_STEP_RUNS = 0.5  # for each climb, scaled by the run limit over the cores
CLIMB_NOISE_SHARE = 0.1  # changes of the throughput below this are ignored
THROUGHPUT_AVERAGING_WEIGHT = 0.2
# Waiting work while the cores are used less than this means that the run limit is too low.
IDLE_CORE_USE_SHARE = 0.9

# Bounds on runs, as shares of the number that the server survives. The second one also counts requests that return
# from calls.
RUN_LIMIT_CROWD_SHARE = 0.6
MAX_CROWD_SHARE = 0.85

# Bounds on memory in use, as shares of all memory. What is left above the second is for requests being read.
MAX_MEMORY_SHARE_TO_START = 0.85
MAX_MEMORY_SHARE_TO_HOLD = 0.95

# The typical run of a class before any was observed, as a share of its aim, and the weight of that guess in runs.
INITIAL_RUN_AIM_SHARE = 0.1
INITIAL_RUN_WEIGHT_RUNS = 3
RUN_AVERAGING_WEIGHT = 0.02  # for each run that ends
CALL_AVERAGING_WEIGHT = 0.06  # for each call that ends
# Window over which run time is compared with the typical run time of the work that finished; many runs long.
PACE_WINDOW_US = 4_000_000
# Least work assumed to remain of a typical run, because run times have long tails.
MIN_REMAINING_RUN_SHARE = 0.3
# Real wait over the computed wait: new users go first, and reading requests uses the cores as well.
RUN_WAIT_ESTIMATE_FACTOR = 3.5
RESPONSE_DELIVERY_AIM_SHARE = 0.02  # of the aim, kept for delivering the answer

# Calls in flight, as a share of this server's part of a shared dependency, which slows down when crowded.
CALLS_IN_FLIGHT_SHARE = 0.4
CALLS_AVERAGING_SPAN_SHARE = 0.33  # of the dependency's span, for averaging the calls in flight
MIN_SHARED_CALL_TIMEOUT_CALLS = 3.0  # lower bound of the time-out that protects a shared dependency
# Real wait for a call over the computed wait: queues form, and calls differ in length.
CALL_WAIT_ESTIMATE_FACTOR = 1.2
LOST_CALL_TIMEOUT_CALLS = 9.0  # after which a call that is safe to repeat counts as lost
TIMED_OUT_CALL_LENGTH_FACTOR = 1.5  # assumed length of a timed-out call, over the time waited for it
CALL_RETRY_PAUSE_AIM_SHARE = 0.02  # of the aim, before a failed call is repeated
MAX_CALL_ATTEMPTS = 4
# Least time left for a call, as a share of a typical call. With less it would only crowd out calls that can finish.
MIN_TIME_FOR_CALL_SHARE = 0.7
MIN_TIME_FOR_OPTIONAL_CALL_SHARE = 0.35  # below this a call is skipped where the class allows it

# Window over which the requests of tenants are counted, and the count that all start with together.
TENANT_COUNT_WINDOW_US = 20_000_000
TENANT_COUNT_PRIOR_REQUESTS = 20.0

# Free value read as a level, changed once each climb interval.
LEVEL_RISE_SHARE = 0.5  # of the share of requests shed
LEVEL_DECAY_SHARE = 0.15
LEVEL_DECAY_STEP = 0.01
MAX_LEVEL = 0.8
# Free value read as a credit: limited only while more than this share is shed.
CREDIT_MIN_SHED_SHARE = 0.02
UNLIMITED_CREDIT_REQUESTS = 1000.0  # sent while nothing is shed
MAX_COUNTED_CALLERS = 2000  # distinct callers counted while cold

# Limit on idle connections, as shares of the longest limit allowed.
MIN_IDLE_LIMIT_SHARE = 0.05
CONNECTION_TURNOVER_FACTOR = 1.6  # arrivals that a full connection table admits, over what can be served
MIN_IDLE_LIMIT_CHANGE_SHARE = 0.1  # smaller changes are not sent
# All connections are kept where callers return within this share of the longest limit.
RETURN_INTERVAL_IDLE_SHARE = 0.5

# Load requested, retries included, over the capacity of the cores, above which a refusal is final. Where callers mark
# their retries the second refusal is final anyway.
FINAL_REFUSAL_LOAD = 1.0
FINAL_REFUSAL_LOAD_MARKED_RETRIES = 1.5
LOAD_AVERAGING_WEIGHT = 0.25  # for each climb interval

# The cores count as slow when requests wait unread for longer than this while the load stays below the maximum.
SLOW_UNREAD_WAIT_RUNS = 4.0
SLOW_MAX_LOAD = 0.8
UNREAD_WAIT_AVERAGING_WEIGHT = 0.2  # for each request
# Unread wait from which work that cannot make its aim is shed although there is room to run it.
LONG_UNREAD_WAIT_RUNS = 2.0
# Time off the roster because of slow cores, doubled after each return that failed.
MIN_ROSTER_ABSENCE_US = 4_000_000
MAX_ROSTER_ABSENCE_US = 16_000_000

# Advice to stay away, as a share of the longest advice, for each share of requests shed. Both none and more lost work.
RETRY_AFTER_SHARE = 0.5
DRAIN_MARGIN_SHARE = 0.12  # of the time between drain notice and stop, kept for late answers
# Time for which a released key may still be named by a repeat that waits unread.
RELEASED_KEY_RETENTION_US = 5_000_000
# A table is cleared of entries of finished requests when it has this many more than twice the live ones.
COMPACTION_MIN_ENTRIES = 4000

MIN_CORES = 0.1  # assumed where the admission limits grant none

# States of a request.
HELD, RUNNING, STOPPING, PAUSED, AWAITING_CALL, IN_CALL, JOINED, IN_DOUBT = range(8)


class User:
    """One queue of fair queuing: the run time charged to a user, and its waiting requests."""

    __slots__ = ("key", "charged_us", "request_count", "paused", "held")

    def __init__(self, key: str | int, charged_us: float) -> None:
        self.key, self.charged_us, self.request_count = key, charged_us, 0
        self.paused: list[Work] = []
        self.held: list[Work] = []

    def next_work(self) -> Work:
        """Return the user's next request: paused before held, the oldest first."""
        return min(self.paused or self.held, key=lambda work: work.sequence)


class KeyRecord:
    """The state of an idempotency key, shared by all attempts at its request."""

    __slots__ = ("ran", "remembered", "holder", "last_id")

    def __init__(self) -> None:
        self.ran = self.remembered = False
        self.holder: Work | None = None
        self.last_id = ""


class Work:
    """A request that was read by this server and is not finished."""

    __slots__ = (
        "id",
        "sequence",
        "class_index",
        "tenant",
        "user",
        "due_us",
        "target_us",
        "held_kb",
        "hint_us",
        "retry",
        "state",
        "answered",
        "ran",
        "over",
        "used_us",
        "slice_us",
        "clock_mark_us",
        "record",
        "call_since_us",
        "call_not_before_us",
        "call_total_us",
        "call_count",
        "call_attempts",
        "memory_kb",
        "retry_after_us",
    )

    def __init__(self, event: RequestArrived, sequence: int) -> None:
        self.id, self.sequence, self.retry = event.id, sequence, event.retry
        self.class_index, self.tenant, self.hint_us = event.class_index, event.tenant, event.hint_us
        self.state = HELD
        self.answered = self.ran = self.over = False
        self.used_us = self.slice_us = self.clock_mark_us = 0.0
        self.record: KeyRecord | None = None
        self.call_since_us = self.call_not_before_us = self.call_total_us = self.call_count = self.call_attempts = 0
        self.held_kb = self.memory_kb = event.held_kb
        self.retry_after_us = event.retry_after_us


class Policy:
    """The decisions of one server, from its start to its exit."""

    def __init__(self, settings: Settings, seed: int = 0) -> None:
        self.settings = settings
        self.cores = float(settings.cores)
        self.admission_limits: AdmissionLimits | None = None
        self.seed = seed
        self.sequence = 0
        self.now_us = -1
        self.started_us = 0
        self.waiting_count = 0
        self.actions: list[Action] = []
        self.requests: dict[str, Work] = {}
        self.held = {}
        self.on_cores = {}
        self.awaiting_call = {}
        self.in_call = {}
        self.in_doubt = {}  # off the cores when last seen, but may come back on them
        self.users: dict[str | int, User] = {}
        self.callers_seen: set[str | int] = set()  # counted while cold
        self.charge_clock_us = self.memory_kb = self.unread_wait_us = 0.0
        self.requested_load = 1.0
        self.absence_us = MIN_ROSTER_ABSENCE_US
        self.return_at_us = 0
        self.on_roster = True
        self.key_records: dict[str, KeyRecord] = {}
        self.key_expiries: deque[tuple[int, KeyRecord, str]] = deque()
        self.released_keys: deque[tuple[int, str]] = deque()
        self.lingering_calls: deque[int] = deque()
        self.answer_queue: list[tuple[int, int, Work]] = []
        self.mean_calls = 0.0
        self.call_limit = settings.calls_share * CALLS_IN_FLIGHT_SHARE
        self.linger_us = settings.linger_us if settings.downstream is DownstreamKind.SHARED else 0
        self.climbed_limit = float(settings.cores)
        self.climb_direction = 1
        self.throughput = self.previous_throughput = self.finished_work_us = 0.0
        self.backlogged_turns = self.turns = self.next_climb_us = 0
        self.gauges = Gauges()
        self.typical_run_us = [request_class.aim_us * INITIAL_RUN_AIM_SHARE for request_class in settings.classes]
        self.run_counts = [INITIAL_RUN_WEIGHT_RUNS] * len(settings.classes)
        self.recent_run_us = self.recent_finished_us = self.shed_share = self.level = 0.0
        self.mean_run_us = sum(self.typical_run_us) / len(self.typical_run_us)
        self.hint_factor = self.pace = self.mean_hint_us = self.mean_hinted_run_us = 1.0
        self.typical_call_total_us = [0.0] * len(self.typical_run_us)
        self.typical_call_us = [0.0] * len(self.typical_run_us)
        self.typical_call_count = [1.0] * len(self.typical_run_us)
        self.arrived_count = 0
        self.shed_count = 0
        self.tenant_counts = [0.0] * len(settings.tenants)
        self.tenant_weights = [1.0] * len(settings.tenants)
        self.free_value: float | None = None
        self.idle_limit_us = float(settings.idle_max_us)
        self.peak_connections = 0.0
        self.drain_started_us = self.last_answer_us = self.timer_at_us = self.timer_token = 0
        self.other_process = ProcessUsage()
        self.can_pause = settings.preemption is PreemptionMode.PAUSE
        self.handlers = {
            RequestArrived: self._request_arrived,
            RequestWithdrawn: self._request_withdrawn,
            RunEnded: self._run_ended,
            RunInDoubt: self._run_in_doubt,
            CallRequested: self._call_requested,
            CallEnded: self._call_ended,
            DrainNotice: self._drain,
            ProcessUsage: self._process_usage,
            AdmissionLimits: self._admission_limits,
            TimerFired: self._timer_fired,
        }

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Process the events that happened at ``now_us`` and return the actions to take, in order."""
        self.actions = []
        if self.now_us < 0:
            self.now_us = self.started_us = now_us
            self.next_climb_us = now_us + CLIMB_INTERVAL_US
            self.actions += [SetHealth(True), SetIdleLimit(self.settings.idle_max_us)]
            if self.settings.free_value is FreeValueKind.CREDIT and self._is_cold():
                self.free_value = self._credit()
                self.actions.append(SetFreeValue(self.free_value))
        self._advance(now_us)
        for event in events:
            self.handlers[type(event)](event)
        self._expire()
        self._make_calls()
        self._shed_calls()
        self._shed_waiting()
        self._end_slices()
        self._start_runs()
        self._climb_run_limit()
        self._set_timer()
        return self.actions

    # Time accounting and queues

    def _advance(self, now_us: int) -> None:
        """Advance the charge clock by wall time x min(1, cores / running), the run time of each running request."""
        elapsed_us = now_us - self.now_us
        if elapsed_us > 0:
            running = len(self.on_cores)
            if running:
                charged_us = elapsed_us * min(1.0, self.cores / running)
                self.charge_clock_us += charged_us
                self.recent_run_us += charged_us * running
            retained_share = max(0.0, 1.0 - elapsed_us / PACE_WINDOW_US)
            self.recent_run_us *= retained_share
            self.recent_finished_us *= retained_share
            prior_us = self.cores * self.mean_run_us
            self.pace = (self.recent_run_us + prior_us) / (self.recent_finished_us + prior_us)
            if self.settings.downstream is DownstreamKind.SHARED:
                averaging_weight = min(1.0, elapsed_us / (CALLS_AVERAGING_SPAN_SHARE * self.settings.calls_span_us))
                self.mean_calls += averaging_weight * (len(self.in_call) + len(self.lingering_calls) - self.mean_calls)
            self.now_us = now_us

    def _charge(self, work: Work) -> None:
        """Charge a running request and its user for the run time since the last charge."""
        run_us, work.clock_mark_us = self.charge_clock_us - work.clock_mark_us, self.charge_clock_us
        work.used_us += run_us
        work.slice_us += run_us
        work.user.charged_us += run_us

    def _enqueue(self, work: Work, state: int) -> None:
        """Add a held or paused request to its user's queue."""
        work.state = state
        (work.user.held if state == HELD else work.user.paused).append(work)
        if state == HELD:
            self.held[work.id] = work
        self.waiting_count += 1

    def _dequeue(self, work: Work) -> None:
        """Remove a waiting request from its user's queue."""
        (work.user.held if work.state == HELD else work.user.paused).remove(work)
        self.held.pop(work.id, None)
        self.waiting_count -= 1

    def _end(self, work: Work, served: bool = False) -> None:
        """Remove a finished request from all tables, and its user with the user's last request."""
        if work.over:
            return
        work.over = True
        if work.state in (RUNNING, STOPPING):
            self._charge(work)
            self.on_cores.pop(work.id, None)
        if work.ran:
            self.recent_finished_us += (
                self._expected_run_us(work) if served else min(work.used_us, self._expected_run_us(work))
            )
        if work.state in (HELD, PAUSED):
            self._dequeue(work)
        elif work.state == IN_CALL:
            del self.in_call[work.id]
            self.lingering_calls.append(self.now_us + self.linger_us)
        self.awaiting_call.pop(work.id, None)
        self.in_doubt.pop(work.id, None)
        self.requests.pop(work.id, None)
        self.memory_kb -= work.memory_kb
        if work.record and work.record.holder is work:
            work.record.holder = None
        work.user.request_count -= 1
        if not work.user.request_count:
            self.users.pop(work.user.key, None)

    # Estimates

    def _expected_run_us(self, work: Work) -> float:
        """Return the run time that a request typically needs at the server's usual pace."""
        return work.hint_us * self.hint_factor if work.hint_us else self.typical_run_us[work.class_index]

    def _remaining_run_us(self, work: Work) -> float:
        """Return the run time that a request is still expected to need."""
        expected_us = self._expected_run_us(work) * self.pace
        return max(expected_us - work.used_us, expected_us * MIN_REMAINING_RUN_SHARE)

    def _worth_per_work(self, work: Work) -> float:
        """Return the worth of a request for each unit of work; the lowest is shed first."""
        request_class = self.settings.classes[work.class_index]
        worth = (
            request_class.worth
            if self.settings.counted_by_work
            else request_class.worth / max(1.0, self._expected_run_us(work))
        )
        return worth * self.tenant_weights[work.tenant] if work.tenant < len(self.tenant_weights) else worth

    def _is_cold(self) -> bool:
        """Return whether the cores may still be slow after a start."""
        return self.settings.cold and self.now_us - self.started_us < self.settings.warm_within_us

    def _survivable_runs(self) -> float:
        """Return how many requests on the cores the server survives at present; fewer while cold."""
        warm_share = 1.0
        if self._is_cold():
            warm_share = min(
                1.0,
                self.settings.cold_share
                + (1.0 - self.settings.cold_share) * (self.now_us - self.started_us) / self.settings.warm_within_us,
            )
        return (1.0 + (self.settings.crowd_multiple - 1.0) * warm_share) * self.cores - self.other_process.running

    def _possible_runs(self) -> int:
        """Return how many runs may be on the cores: those that are, and those in doubt."""
        return len(self.on_cores) + len(self.in_doubt)

    def _run_limit(self) -> float:
        """Return the run limit: the climbed limit, at least the cores and below the number of runs survived."""
        if self.admission_limits is not None:
            return float(self.admission_limits.slots)
        return max(self.cores, min(self.climbed_limit, self._survivable_runs() * RUN_LIMIT_CROWD_SHARE))

    # Events

    def _request_arrived(self, event: RequestArrived) -> None:
        """Hold a request, join it to the attempt that it repeats, or turn it away."""
        request_class = self.settings.classes[event.class_index]
        self.sequence += 1
        self.arrived_count += 1
        if event.tenant < len(self.tenant_counts):
            self.tenant_counts[event.tenant] += not event.retry
        work = Work(event, self.sequence)
        arrived_us = self.now_us - event.waited_us
        self.unread_wait_us += (event.waited_us - self.unread_wait_us) * UNREAD_WAIT_AVERAGING_WEIGHT
        if self._is_cold() and len(self.callers_seen) < MAX_COUNTED_CALLERS:
            self.callers_seen.add(event.caller)
        user_key = event.subject or event.caller
        if user_key not in self.users:
            lowest_charged_us = min((user.charged_us for user in self.users.values()), default=0.0)
            self.users[user_key] = User(user_key, lowest_charged_us)
        work.user = self.users[user_key]
        work.user.request_count += 1
        self.requests[work.id] = work
        self.memory_kb += work.memory_kb
        work.due_us = max(event.due_us or arrived_us + request_class.deadline_us, self.now_us)
        aim_us = request_class.aim_us * (1.0 - RESPONSE_DELIVERY_AIM_SHARE) + request_class.aim_stretch * event.hint_us
        work.target_us = min(work.due_us, arrived_us + int(aim_us))
        self._enqueue(work, HELD)
        past_grace = False
        if self.drain_started_us:
            self._bound_by_drain(work)
            past_grace = (
                self.now_us if event.arrived_in_parts else arrived_us
            ) > self.drain_started_us + self.settings.drain_grace_us
        if request_class.effect is Effect.KEYED:
            self._attach_key(work, event.repeat_of, arrived_us + request_class.window_us, past_grace)
        elif event.repeat_of and not past_grace:
            self._join(work)
        elif past_grace:
            self._turn_away(work)
        elif (
            self.settings.fresh_us
            and event.subject
            and self.memory_kb < self.settings.memory_kb * MAX_MEMORY_SHARE_TO_START / 2
        ):
            self._remember(work, KeyRecord(), work.due_us + self.settings.fresh_us)
        past_cutoff = (
            self.admission_limits is not None
            and event.position >= self.admission_limits.levels[event.region]
            and work.state == HELD
        )
        if self.memory_kb > self.settings.memory_kb * MAX_MEMORY_SHARE_TO_HOLD or past_cutoff:
            self._turn_away(work)
        if not work.over:
            heapq.heappush(self.answer_queue, (self._answer_by_us(work), work.sequence, work))

    def _attach_key(self, work: Work, repeat_of: str | None, until_us: int, past_grace: bool) -> None:
        """Link a keyed request to earlier attempts with its key, so that at most one of them runs.

        This guards against a second effect, whatever became of the earlier attempt. If it is held, the new attempt
        replaces it, because the caller has given the old one up; if it runs, the new one joins it; if it has
        finished, its result is reused. The record of an attempt that is turned away stays.
        """
        record = work.record = self.key_records.get(repeat_of or "") or KeyRecord()
        record.ran = record.ran or (bool(repeat_of) and repeat_of not in self.key_records)
        if record.ran:
            self.key_records[work.id] = record
            self.key_expiries.append((until_us, record, work.id))
            self._turn_away(work) if past_grace else self._join(work)
            return
        earlier_attempt, record.holder = record.holder, None
        if earlier_attempt:
            earlier_attempt.record = None
            self._turn_away(earlier_attempt)
        if past_grace or (
            not record.remembered
            and self.memory_kb + self.settings.key_kb > self.settings.memory_kb * MAX_MEMORY_SHARE_TO_HOLD
        ):
            self._turn_away(work)
            return
        record.holder = work
        self._remember(work, record, until_us)

    def _remember(self, work: Work, record: KeyRecord, until_us: int) -> None:
        """Keep a request in the table of keys until ``until_us``."""
        if not record.remembered:
            self.memory_kb += self.settings.key_kb
            record.remembered = True
        record.last_id, work.record = work.id, record
        self.key_records[work.id] = record
        until_us = max(until_us + self.settings.tick_us, self.now_us + self.settings.tick_us)
        self.key_expiries.append((until_us, record, work.id))
        self.actions.append(RememberRequest(work.id, until_us - self.now_us))

    def _join(self, work: Work) -> None:
        """Answer a repeat with the result of the attempt that it repeats."""
        self._dequeue(work)
        work.state = JOINED
        self.actions.append(ReuseResult(work.id))

    def _request_withdrawn(self, event: RequestWithdrawn) -> None:
        """Drop a request whose caller left; a run with a key continues, because a repeat may come for its result."""
        work = self.requests.get(event.id)
        if work is None or work.answered:
            return
        work.answered = True
        if work.state in (HELD, PAUSED, JOINED):
            self._release_key(work)
            self._end(work)
        elif work.state == RUNNING and work.record is None:
            self._stop_run(work)

    def _run_ended(self, event: RunEnded) -> None:
        """Account for a run that ended, or queue the request again after a pause."""
        work = self.requests.get(event.id)
        if work is None:
            return
        if event.outcome is Outcome.CANCELLED and not work.answered:
            if work.state in (RUNNING, STOPPING, IN_DOUBT):
                self._leave_cores(work)
                if not self.can_pause:
                    self.memory_kb -= work.memory_kb - work.held_kb
                    work.memory_kb = work.held_kb
                self._enqueue(work, PAUSED if self.can_pause else HELD)
                if not self.can_pause and self.settings.classes[work.class_index].effect is not Effect.SAFE:
                    self._turn_away(work)
            return
        if event.outcome is Outcome.OK and work.ran:
            if work.id in self.on_cores:
                self._charge(work)
            self._update_estimates(work)
        self._end(work, event.outcome is Outcome.OK)

    def _run_in_doubt(self, event: RunInDoubt) -> None:
        """Give the core of a run that may not exist to other work; its memory stays in use until it is reported."""
        work = self.requests.get(event.id)
        if work is not None and work.state in (RUNNING, STOPPING):
            self._leave_cores(work)
            work.state = IN_DOUBT
            self.in_doubt[work.id] = work

    def _leave_cores(self, work: Work) -> None:
        """Remove a request from the cores, or from the runs in doubt."""
        if self.on_cores.pop(work.id, None) is not None:
            self._charge(work)
        self.in_doubt.pop(work.id, None)

    def _update_estimates(self, work: Work) -> None:
        """Include a finished run in the typical run of its class, the pace and the throughput."""
        self.finished_work_us += self._expected_run_us(work)
        self.run_counts[work.class_index] += 1
        weight = max(RUN_AVERAGING_WEIGHT, 1.0 / self.run_counts[work.class_index])
        self.typical_run_us[work.class_index] += weight * (work.used_us - self.typical_run_us[work.class_index])
        if work.hint_us:
            self.mean_hint_us += weight * (work.hint_us - self.mean_hint_us)
            self.mean_hinted_run_us += weight * (work.used_us - self.mean_hinted_run_us)
            self.hint_factor = self.mean_hinted_run_us / max(1.0, self.mean_hint_us)
        self.mean_run_us += RUN_AVERAGING_WEIGHT * (work.used_us - self.mean_run_us)
        if self.settings.classes[work.class_index].calls:
            self.typical_call_count[work.class_index] += max(weight, CALL_AVERAGING_WEIGHT) * (
                work.call_count - self.typical_call_count[work.class_index]
            )
        if work.call_total_us:
            self.typical_call_total_us[work.class_index] += max(weight, CALL_AVERAGING_WEIGHT) * (
                work.call_total_us - self.typical_call_total_us[work.class_index]
            )

    def _drain(self, event: DrainNotice) -> None:
        """Prepare to stop: fail health checks at once, and answer all requests before the stop."""
        self.drain_started_us = self.drain_started_us or max(1, self.now_us)
        self.last_answer_us = event.stop_at_us - int((event.stop_at_us - self.drain_started_us) * DRAIN_MARGIN_SHARE)
        self.actions += [SetHealth(False), WriteLogLine(f"drain: {len(self.requests)} requests in hand")]
        for work in self.requests.values():
            self._bound_by_drain(work)
        self.answer_queue = sorted((self._answer_by_us(work), work.sequence, work) for work in self.requests.values())

    def _bound_by_drain(self, work: Work) -> None:
        """Move a request's deadlines before the last time for answers."""
        work.due_us = min(work.due_us, self.last_answer_us)
        work.target_us = min(work.target_us, work.due_us)

    def _process_usage(self, event: ProcessUsage) -> None:
        """Count the memory and runs of the server's other process: both together must stay within its capacity."""
        self.memory_kb += event.memory_kb - self.other_process.memory_kb
        self.other_process = event

    def _admission_limits(self, event: AdmissionLimits) -> None:
        """Apply limits set outside: the slots, the cores, and the cutoff level of each region."""
        self.admission_limits, self.cores = event, max(MIN_CORES, event.cores)

    def usage(self) -> ProcessUsage:
        """Return the memory and runs of this process, for the server's other process."""
        return ProcessUsage(self.memory_kb - self.other_process.memory_kb, self._possible_runs())

    def _timer_fired(self, event: TimerFired) -> None:
        """Store the gauges; the timer's other purpose, a call of ``handle``, is already met."""
        self.gauges = event.gauges

    # Refusing and shedding

    def _release_key(self, work: Work) -> None:
        """Drop the table entry of a keyed request that never ran."""
        record = work.record
        if record and not record.ran and record.remembered and record.holder is work:
            record.remembered = False
            self.memory_kb -= self.settings.key_kb
            self.released_keys.append((self.now_us + RELEASED_KEY_RETENTION_US, work.id))
            self.actions.append(ForgetRequest(work.id))

    def _turn_away(self, work: Work) -> None:
        """Answer a request without serving it: refuse it if it never ran, otherwise fail it."""
        if work.answered or work.over:
            return
        work.answered = True
        if work.state == HELD and not work.ran and not (work.record and work.record.ran):
            self.shed_count += 1
            # A refusal is final for retries, and while the requested load is far above the cores' capacity. This limits
            # retry storms, in which each attempt costs a read. It loses work where other servers still have room.
            overloaded = self.requested_load > (
                FINAL_REFUSAL_LOAD_MARKED_RETRIES if self.settings.marks_retry else FINAL_REFUSAL_LOAD
            )
            retry_after_us = 1.0 if self.drain_started_us else min(1.0, self.shed_share) * RETRY_AFTER_SHARE
            retry_after_us *= self.settings.max_retry_after_us if self.settings.retry_after else 0
            retry_after_us = (
                work.retry_after_us
                if self.admission_limits is not None and not self.drain_started_us
                else retry_after_us
            )
            self.actions.append(
                RefuseRequest(work.id, int(retry_after_us), (work.retry or overloaded) and not self.drain_started_us)
            )
            self._release_key(work)
            self._end(work)
            return
        self.actions.append(FailRequest(work.id))
        if work.state in (HELD, PAUSED, JOINED):
            self._end(work)
        elif work.state == RUNNING:
            self._stop_run(work)

    def _answer_by_us(self, work: Work) -> int:
        """Return the latest time for an answer: after the aim only where a late answer still has worth."""
        late_answer_counts = self.settings.classes[work.class_index].late_share or work.state == JOINED
        return work.due_us if late_answer_counts else work.target_us

    def _expire(self) -> None:
        """Answer requests whose time is up, and remove expired keys, released keys and lingering calls."""
        while self.answer_queue and self.answer_queue[0][0] <= self.now_us + self.settings.tick_us:
            self._turn_away(heapq.heappop(self.answer_queue)[2])
        while self.key_expiries and self.key_expiries[0][0] < self.now_us:
            _, record, request_id = self.key_expiries.popleft()
            self.key_records.pop(request_id, None)
            if record.last_id == request_id and record.remembered:
                record.remembered = False
                self.memory_kb -= self.settings.key_kb
        while self.released_keys and self.released_keys[0][0] <= self.now_us:
            self.key_records.pop(self.released_keys.popleft()[1], None)
        while self.lingering_calls and self.lingering_calls[0] <= self.now_us:
            self.lingering_calls.popleft()
        if len(self.answer_queue) > 2 * len(self.requests) + COMPACTION_MIN_ENTRIES:
            self.answer_queue = [entry for entry in self.answer_queue if not entry[2].over]
            heapq.heapify(self.answer_queue)
        if len(self.key_expiries) > 2 * len(self.key_records) + COMPACTION_MIN_ENTRIES:
            self.key_expiries = deque(expiry for expiry in self.key_expiries if expiry[2] in self.key_records)

    def _shed_waiting(self) -> None:
        """Turn away held requests that would miss their aim, those of the least worth for their work first.

        Goes through the held requests in order of their aims. Where one would be late behind all before it, the one
        of least worth for its work among these is turned away. Guards against overload, slow cores and slow calls;
        a misjudged pace makes it shed too much or too little. While requests wait long unread it also acts with
        room to run, so that the unread queue drains.
        """
        all_fit = len(self.on_cores) + self.waiting_count <= self._run_limit()
        if all_fit and self.unread_wait_us < LONG_UNREAD_WAIT_RUNS * self.mean_run_us:
            return
        cores, ahead_us = self.cores, 0.0
        candidates: list[tuple[float, int, Work, float]] = []
        started = [
            work
            for work in self.requests.values()
            if work.ran and work.target_us > self.now_us and work.state not in (JOINED, IN_CALL, IN_DOUBT)
        ]
        for work in sorted([*started, *self.held.values()], key=lambda queued: (queued.target_us, queued.sequence)):
            remaining_us = self._remaining_run_us(work)
            ahead_us += remaining_us / cores
            if work.ran:
                continue
            heapq.heappush(candidates, (self._worth_per_work(work), -work.sequence, work, remaining_us))
            unshared_us = remaining_us * (1.0 - 1.0 / cores) + self.typical_call_total_us[work.class_index]
            while candidates and self.now_us + ahead_us * RUN_WAIT_ESTIMATE_FACTOR + unshared_us > work.target_us:
                _, _, victim, freed_us = heapq.heappop(candidates)
                ahead_us -= freed_us / cores
                self._turn_away(victim)
                if victim is work:
                    break

    def _shed_calls(self) -> None:
        """Turn away requests that would wait too long for their calls, those of the least worth for their calls first.

        Guards against a slow dependency: the cores are then free, so all requests would start, and most would fail
        later, waiting for calls. When calls become fast again it sheds too much until the calls in flight show it.
        It therefore acts only once as many requests wait as may be in flight; with fewer, busy days lost work.
        """
        if len(self.awaiting_call) < self.call_limit:
            return
        call_slots, ahead_us = max(1.0, self.call_limit - len(self.lingering_calls)), 0.0
        callers = [
            work
            for work in self.requests.values()
            if self.settings.classes[work.class_index].calls
            and not work.answered
            and work.state not in (IN_CALL, JOINED, IN_DOUBT)
        ]
        candidates: list[tuple[float, int, Work, float]] = []
        for work in sorted(callers, key=lambda caller: (caller.target_us, caller.sequence)):
            remaining_calls = max(
                float(work.state == AWAITING_CALL), self.typical_call_count[work.class_index] - work.call_count
            )
            calls_us = self.typical_call_us[work.class_index] * remaining_calls
            ahead_us += calls_us / call_slots
            if calls_us <= 0.0 or work.state not in (HELD, AWAITING_CALL):
                continue
            worth = self._worth_per_work(work) * (self._expected_run_us(work) if self.settings.counted_by_work else 1.0)
            heapq.heappush(candidates, (worth / calls_us, -work.sequence, work, calls_us))
            unshared_us = calls_us + (self._remaining_run_us(work) if work.state == HELD else 0.0)
            while candidates and self.now_us + ahead_us * CALL_WAIT_ESTIMATE_FACTOR + unshared_us > work.target_us:
                _, _, victim, freed_us = heapq.heappop(candidates)
                ahead_us -= freed_us / call_slots
                self._turn_away(victim)
                if victim is work:
                    break

    # Running

    def _stop_run(self, work: Work) -> None:
        """Ask the host to pause a run, or to end it if it was answered; it holds its core until this is confirmed."""
        if self.settings.preemption is not PreemptionMode.NONE and work.state == RUNNING:
            work.state = STOPPING
            self.actions.append(StopRun(work.id))

    def _next_user(self) -> User | None:
        """Return the user with the least run time whose next request fits the memory; ties are broken by aim.

        Requests past their aim come last: they have little worth and would crowd out those still in time.
        """
        free_kb = self.settings.memory_kb * MAX_MEMORY_SHARE_TO_START - self.memory_kb
        best, best_key = None, (True, 0.0, 0)
        for user in self.users.values():
            if user.paused or (user.held and user.held[0].held_kb * (self.settings.run_factor - 1.0) <= free_kb):
                first = user.next_work()
                key = (first.target_us <= self.now_us, user.charged_us, first.target_us)
                if best is None or key < best_key:
                    best, best_key = user, key
        return best

    def _end_slices(self) -> None:
        """Pause runs whose slice is over when the run limit is reached and a user with less run time waits."""
        excess = len(self.on_cores) - self._run_limit()
        user = self._next_user() if excess >= 0 and self.waiting_count and self.can_pause else None
        if user is None:
            return
        slice_limit_us = SLICE_LENGTH_RUNS * self.mean_run_us
        running = [work for work in self.on_cores.values() if work.state == RUNNING and not work.answered]
        for work in running:
            self._charge(work)
        waiting_key, stop_count = (user.next_work().target_us <= self.now_us, user.charged_us), 0
        for work in sorted(
            running, key=lambda candidate: (candidate.target_us > self.now_us, -candidate.user.charged_us)
        ):
            served_more = (work.target_us <= self.now_us, work.user.charged_us) > waiting_key
            if stop_count < self.waiting_count and (
                excess > stop_count or (work.slice_us >= slice_limit_us and served_more)
            ):
                self._stop_run(work)
                stop_count += 1

    def _start_runs(self) -> None:
        """Start or resume requests of the users with the least run time, up to the run limit."""
        limit = self._run_limit()
        self.turns += 1
        while self.waiting_count and len(self.on_cores) + 1 <= limit:
            user = self._next_user()
            possible_runs = self._possible_runs() + (0 if self.can_pause else len(self.in_call))
            if user is None or (
                self.admission_limits is None and possible_runs + 1 > self._survivable_runs() * MAX_CROWD_SHARE
            ):
                break
            work = user.next_work()
            self._dequeue(work)
            if work.state == HELD:
                self.memory_kb += work.held_kb * self.settings.run_factor - work.memory_kb
                work.memory_kb = work.held_kb * self.settings.run_factor
            work.state, work.ran = RUNNING, True
            if work.record:
                work.record.ran = True
            work.clock_mark_us, work.slice_us = self.charge_clock_us, 0.0
            self.on_cores[work.id] = work
            self.actions.append(StartRun(work.id))
        self.backlogged_turns += self.waiting_count > 0

    def _climb_run_limit(self) -> None:
        """Adjust the run limit: raise it fast while cores idle and work waits, otherwise climb on the throughput."""
        if self.now_us < self.next_climb_us:
            return
        finished_per_us = self.finished_work_us / (self.now_us - self.next_climb_us + CLIMB_INTERVAL_US)
        self.next_climb_us = self.now_us + CLIMB_INTERVAL_US
        core_use = self.gauges.core_use
        if core_use is not None and core_use < IDLE_CORE_USE_SHARE:
            if self.backlogged_turns * 2 > self.turns:
                self.climbed_limit += max(1.0, self.climbed_limit / 4.0)
        elif len(self.on_cores) >= self.cores:
            self.throughput += (finished_per_us - self.throughput) * THROUGHPUT_AVERAGING_WEIGHT
            if self.throughput < self.previous_throughput * (1.0 - CLIMB_NOISE_SHARE):
                self.climb_direction = -self.climb_direction
            elif core_use is not None and self.throughput < self.previous_throughput * (1.0 + CLIMB_NOISE_SHARE):
                self.climb_direction = -1
            self.climbed_limit += self.climb_direction * CLIMB_STEP_RUNS * self.climbed_limit / self.cores
            self.previous_throughput = self.throughput
        self.climbed_limit = self._run_limit()
        self.finished_work_us = self.backlogged_turns = self.turns = 0
        self._update_free_value()
        self._adjust_idle_limit()
        self._weigh_tenants()
        self._check_health()

    def _check_health(self) -> None:
        """Leave the roster while requests wait long unread at a low load, and return later to try again.

        Guards against slow or stuck cores, which spend their time reading requests only to refuse them; a server that
        is merely full reads many. Where all servers slow down at once this would remove them all, so each returns.
        """
        slow = (
            not self._is_cold()
            and self.requested_load < SLOW_MAX_LOAD
            and self.unread_wait_us > SLOW_UNREAD_WAIT_RUNS * self.mean_run_us
        )
        if not self.on_roster and self.now_us >= self.return_at_us and not self.drain_started_us:
            self.on_roster, self.unread_wait_us = True, 0.0
            self.actions.append(SetHealth(True))
        elif self.on_roster and slow and not self.drain_started_us:
            return_failed = self.now_us - self.return_at_us < 2 * self.absence_us
            self.absence_us = (
                min(MAX_ROSTER_ABSENCE_US, 2 * self.absence_us)
                if self.return_at_us and return_failed
                else MIN_ROSTER_ABSENCE_US
            )
            self.on_roster, self.return_at_us = False, self.now_us + self.absence_us
            self.actions += [SetHealth(False), WriteLogLine("slow cores: off the roster for a time")]

    def _adjust_idle_limit(self) -> None:
        """Close idle connections so that a full connection table turns over as fast as the server can serve.

        Where each caller returns rarely, each request needs a new connection. A slow turnover keeps callers out of a
        server with room; a fast one admits a storm of attempts, each at the cost of a handshake and a read. A
        limit counts from a connection's last use, so it takes effect late and lags where the load changes fast.
        """
        self.peak_connections = max(self.peak_connections, self.gauges.connections or 0.0)
        service_us = self.mean_run_us * self.pace / self.cores
        max_idle_us = float(self.settings.idle_max_us)
        new_limit_us = self.peak_connections * service_us / CONNECTION_TURNOVER_FACTOR
        callers_return_late = (
            self.settings.callers * self.mean_run_us / self.cores > max_idle_us * RETURN_INTERVAL_IDLE_SHARE
        )
        new_limit_us = (
            min(max_idle_us, max(max_idle_us * MIN_IDLE_LIMIT_SHARE, new_limit_us))
            if callers_return_late
            else max_idle_us
        )
        if abs(new_limit_us - self.idle_limit_us) > MIN_IDLE_LIMIT_CHANGE_SHARE * self.idle_limit_us:
            self.idle_limit_us = new_limit_us
            self.actions.append(SetIdleLimit(int(new_limit_us)))

    def _weigh_tenants(self) -> None:
        """Reduce the worth of a tenant's requests by the share that its allowance does not cover.

        This keeps one tenant from crowding out the others. Counts are relative, because unmarked retries raise all
        of them alike, and start as if some requests had been seen in proportion to each allowance.
        """
        total_allowance_per_s = sum(tenant.allowance_per_s for tenant in self.settings.tenants)
        total_count = sum(self.tenant_counts)
        for index, tenant in enumerate(self.settings.tenants):
            covered = (
                (total_count + TENANT_COUNT_PRIOR_REQUESTS) * tenant.allowance_per_s / max(total_allowance_per_s, 1e-9)
            )
            counted = self.tenant_counts[index] + TENANT_COUNT_PRIOR_REQUESTS * covered / (
                total_count + TENANT_COUNT_PRIOR_REQUESTS
            )
            excess_share = 1.0 - covered / counted if 0.0 < covered < counted else 0.0
            self.tenant_weights[index] = 1.0 - excess_share * (1.0 - self.settings.over_share_worth)
            self.tenant_counts[index] *= 1.0 - CLIMB_INTERVAL_US / TENANT_COUNT_WINDOW_US

    def _update_free_value(self) -> None:
        """Update the load and the shed share, and send the free value that follows from them."""
        newly_shed_share = self.shed_count / self.arrived_count if self.arrived_count else 0.0
        new_load = self.arrived_count * self.mean_run_us / (self.cores * CLIMB_INTERVAL_US)
        self.requested_load += (new_load - self.requested_load) * LOAD_AVERAGING_WEIGHT
        self.shed_share += (newly_shed_share - self.shed_share) / 2.0
        self.arrived_count = self.shed_count = 0
        kind, value = self.settings.free_value, self.free_value
        if kind is FreeValueKind.LEVEL:
            level = self.level * (1.0 - LEVEL_DECAY_SHARE) + LEVEL_RISE_SHARE * newly_shed_share - LEVEL_DECAY_STEP
            self.level = value = round(min(MAX_LEVEL, max(0.0, level)), 3)
        elif kind is FreeValueKind.CREDIT:
            value = self._credit()
        elif kind is FreeValueKind.WEIGHT:
            value = round(max(0.05, 1.0 - self.shed_share), 2)
        if value != self.free_value:
            self.actions.append(SetFreeValue(value))
        self.free_value = value

    def _credit(self) -> float:
        """Return how many requests each caller may have open here at once.

        Callers do not know of each other. While cold, the credits of all callers together stay within the runs that
        the server survives. Callers use a fractional credit with that probability; at least one request for each
        caller would add up to more with each caller.
        """
        caller_count = max(1, self.settings.callers, len(self.callers_seen))
        per_caller = max(1.0, 2.0 * len(self.requests) / caller_count)
        value = round(per_caller, 1) if self.shed_share > CREDIT_MIN_SHED_SHARE else UNLIMITED_CREDIT_REQUESTS
        return min(value, int(self._survivable_runs() / caller_count * 1000.0) / 1000.0) if self._is_cold() else value

    # Calls

    def _call_requested(self, event: CallRequested) -> None:
        """Take a request off the cores, and out of the run limit, while it makes a call."""
        work = self.requests.get(event.id)
        if work is None or work.state not in (RUNNING, STOPPING, IN_DOUBT):
            return
        self._leave_cores(work)
        work.state, work.call_attempts = AWAITING_CALL, 0
        work.call_count += 1
        work.call_since_us = work.call_not_before_us = self.now_us
        if work.answered:
            self.actions.append(FailRequest(work.id))
        else:
            self.awaiting_call[work.id] = work

    def _call_ended(self, event: CallEnded) -> None:
        """Resume after a successful call; after a failed one repeat the call, skip it, or fail the request."""
        work = self.requests.get(event.id)
        if work is None or work.state != IN_CALL:
            return
        del self.in_call[work.id]
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET):
            self.lingering_calls.append(self.now_us + self.linger_us)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            # Timed-out calls count too: without them calls would seem fast just when most are too slow.
            length_us = event.took_us * (1.0 if event.outcome is Outcome.OK else TIMED_OUT_CALL_LENGTH_FACTOR)
            typical_us = self.typical_call_us[work.class_index] or length_us
            self.typical_call_us[work.class_index] = typical_us + CALL_AVERAGING_WEIGHT * (length_us - typical_us)
        if event.outcome is Outcome.OK:
            self._resume_after_call(work)
            return
        work.state = AWAITING_CALL
        work.call_attempts += 1
        request_class = self.settings.classes[work.class_index]
        if (
            request_class.effect is Effect.SAFE or event.outcome in NEVER_RAN
        ) and work.call_attempts < MAX_CALL_ATTEMPTS:
            work.call_not_before_us = (
                self.now_us + int(request_class.aim_us * CALL_RETRY_PAUSE_AIM_SHARE) * work.call_attempts
            )
            self.awaiting_call[work.id] = work
        elif request_class.skip_worth:
            self.actions.append(SkipCall(work.id))
            self._resume_after_call(work)
        else:
            self._turn_away(work)

    def _resume_after_call(self, work: Work) -> None:
        """Return a request to the cores when it continues after its call."""
        self.awaiting_call.pop(work.id, None)
        work.call_total_us += self.now_us - work.call_since_us
        work.state = RUNNING
        work.clock_mark_us = self.charge_clock_us
        self.on_cores[work.id] = work

    def _may_call(self) -> bool:
        """Return whether one more call fits within the shared dependency's limit, or within the runs survived."""
        in_flight = len(self.in_call) + len(self.lingering_calls)
        if self.settings.downstream is DownstreamKind.SHARED:
            return in_flight + 1 <= max(1.0, self.call_limit) and self.mean_calls < self.call_limit
        free_runs = self._survivable_runs() * MAX_CROWD_SHARE - self._possible_runs()
        return in_flight + 1 <= max(self.cores / 2.0, free_runs)

    def _make_calls(self) -> None:
        """Make the calls that fit, in order of aim; skip or turn away those that would end too late."""
        for work in sorted(self.awaiting_call.values(), key=lambda caller: (caller.target_us, caller.sequence)):
            if work.answered:  # the host ends its run at this call
                continue
            request_class = self.settings.classes[work.class_index]
            time_left_us = (work.target_us if self.now_us < work.target_us else work.due_us) - self.now_us
            time_left_us -= (
                int(self._expected_run_us(work) * self.pace * MIN_REMAINING_RUN_SHARE)
                if request_class.skip_worth
                else 0
            )
            if (
                request_class.skip_worth
                and time_left_us < self.typical_call_us[work.class_index] * MIN_TIME_FOR_OPTIONAL_CALL_SHARE
            ):
                self.actions.append(SkipCall(work.id))
                self._resume_after_call(work)
            elif (
                not request_class.skip_worth
                and time_left_us < self.typical_call_us[work.class_index] * MIN_TIME_FOR_CALL_SHARE
            ):
                self._turn_away(work)
            elif work.call_not_before_us <= self.now_us and self._may_call():
                del self.awaiting_call[work.id]
                self.in_call[work.id] = work
                work.state = IN_CALL
                if self.settings.downstream is DownstreamKind.SHARED:
                    # A hung call occupies the dependency for as long as it is waited for. Where a server's part is
                    # under one call, one hung call on each server would overload the dependency. The short time-out
                    # also fails good calls while the dependency is becoming slower.
                    free_span_us = (
                        (self.call_limit - self.mean_calls) * self.settings.calls_span_us * CALLS_AVERAGING_SPAN_SHARE
                    )
                    time_left_us = min(
                        time_left_us,
                        int(max(free_span_us, self.typical_call_us[work.class_index] * MIN_SHARED_CALL_TIMEOUT_CALLS)),
                    )
                if request_class.effect is Effect.SAFE and self.typical_call_us[work.class_index]:
                    # A lost reply is detected early, so that there is time to repeat the call, which only reads may do.
                    time_left_us = min(
                        time_left_us, int(self.typical_call_us[work.class_index] * LOST_CALL_TIMEOUT_CALLS)
                    )
                self.actions.append(MakeCall(work.id, max(self.settings.tick_us, time_left_us)))

    def _set_timer(self) -> None:
        """Set one timer for the next deadline: an answer, the end of a slice, a repeated call or the next climb."""
        due_times = [self.next_climb_us, *(work.call_not_before_us for work in self.awaiting_call.values())]
        if self.answer_queue:
            due_times.append(self.answer_queue[0][0] - self.settings.tick_us)
        if self.waiting_count or self.awaiting_call:
            due_times.append(self.now_us + WAITING_CHECK_INTERVAL_US)
            if self.can_pause:
                slice_end_clock_us = SLICE_LENGTH_RUNS * self.mean_run_us - self.charge_clock_us
                slowdown = max(1.0, len(self.on_cores) / self.cores)
                due_times += [
                    self.now_us + int((slice_end_clock_us - work.slice_us + work.clock_mark_us) * slowdown) + 1
                    for work in self.on_cores.values()
                    if work.state == RUNNING
                ]
        timer_at_us = max(
            self.now_us + self.settings.tick_us, min(due_us for due_us in due_times if due_us > self.now_us)
        )
        if self.timer_at_us <= self.now_us or self.timer_at_us > timer_at_us:
            self.timer_token += 1
            self.timer_at_us = timer_at_us
            self.actions.append(SetTimer(timer_at_us - self.now_us, self.timer_token))
