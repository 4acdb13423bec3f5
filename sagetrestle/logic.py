"""What one server takes, runs and turns away. Its types, events and actions: ``sagetrestle/interface.py``.

Running requests get short time slices and are paused between them; the next start goes to the user with the
least run time used; a run limit found by hill climbing on finished work says how many run at once. The rest
are guards and load shedding: ``docs/design.md`` says what comes from the source and what was added.
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

# Tuned numbers: shares and multiples unless a unit is named; what they are scaled by is observed or set.
SLICE_LENGTH_RUNS = 1.5  # slice, in mean runs; at a quarter or half, much half-done work came late (measured)
WAITING_CHECK_INTERVAL_US = (
    25_000  # µs between looks at waiting work, which grows late by time alone; a few runs a look
)
CLIMB_INTERVAL_US = 500_000  # µs an epoch of hill climbing and of what callers are told: some runs long
CLIMB_STEP_RUNS, CLIMB_NOISE_SHARE, THROUGHPUT_AVERAGING_WEIGHT = (
    0.5,
    0.1,
    0.2,
)  # part of a run a step; change that counts; averaging
IDLE_CORE_USE_SHARE = 0.9  # busy share of the cores under which waiting work means that the limit is too low
RUN_LIMIT_CROWD_SHARE, MAX_CROWD_SHARE = (
    0.6,
    0.85,
)  # of the crowd survived: for the run limit; for runs and returning calls
MAX_MEMORY_SHARE_TO_START, MAX_MEMORY_SHARE_TO_HOLD = (
    0.85,
    0.95,
)  # of the memory: for starts; for what is held, the rest being read
INITIAL_RUN_AIM_SHARE, INITIAL_RUN_WEIGHT_RUNS = 0.1, 3  # mean run before any was seen, of the aim; its weight in runs
RUN_AVERAGING_WEIGHT, CALL_AVERAGING_WEIGHT = 0.02, 0.06  # averaging of usual runs and calls, for each that ends
PACE_WINDOW_US = 4_000_000  # µs over which run time is set against the usual run time of what finished: many runs
MIN_REMAINING_RUN_SHARE = 0.3  # least work left of a usual run: long runs have long tails
RUN_WAIT_ESTIMATE_FACTOR = 3.5  # waits over those computed: newcomers go first and reading takes cores too (measured)
RESPONSE_DELIVERY_AIM_SHARE = 0.02  # of the aim, for the answer's way back
CALLS_IN_FLIGHT_SHARE = 0.4  # of the part in a shared dependency, for calls in hand: it slows when crowded
CALLS_AVERAGING_SPAN_SHARE, MIN_SHARED_CALL_TIMEOUT_CALLS = (
    0.33,
    3.0,
)  # averaging of calls in hand, of the span; usual calls waited for
CALL_WAIT_ESTIMATE_FACTOR = 1.2  # waits for calls over those computed: lines form and calls differ
LOST_CALL_TIMEOUT_CALLS = 9.0  # usual calls after which one that is safe to repeat is given up for lost
TIMED_OUT_CALL_LENGTH_FACTOR = 1.5  # length of a call given up, over the time waited for it
CALL_RETRY_PAUSE_AIM_SHARE, MAX_CALL_ATTEMPTS = 0.02, 4  # pause before a failed call is repeated, of the aim; tries
MIN_TIME_FOR_CALL_SHARE = 0.7  # of a usual call: with less time left it would only crowd out calls that can be in time
MIN_TIME_FOR_OPTIONAL_CALL_SHARE = 0.35  # of a usual call: with less time left it is left out where it may be
TENANT_COUNT_WINDOW_US, TENANT_COUNT_PRIOR_REQUESTS = (
    20_000_000,
    20.0,
)  # µs of counting tenants' requests; those taken as seen at first
# Level: rise by shedding, share and part lost an epoch, the highest; shedding from which credit is given.
LEVEL_RISE_SHARE, LEVEL_DECAY_SHARE, LEVEL_DECAY_STEP, MAX_LEVEL, CREDIT_MIN_SHED_SHARE = 0.5, 0.15, 0.01, 0.8, 0.02
UNLIMITED_CREDIT_REQUESTS, MAX_COUNTED_CALLERS = (
    1000.0,
    2000,
)  # said where nothing is shed: no limit; callers told apart
# Idle connections: least part of the longest time; arrivals a full table lets in, over what can be served;
# change worth telling; part of the longest time within which callers come again, so that all are kept.
MIN_IDLE_LIMIT_SHARE, CONNECTION_TURNOVER_FACTOR, MIN_IDLE_LIMIT_CHANGE_SHARE, RETURN_INTERVAL_IDLE_SHARE = (
    0.05,
    1.6,
    0.1,
    0.5,
)
# Work asked, tries included, over the cores, from which a refusal is for good; where retries are marked the
# second refusal is final anyway. Averaging an epoch.
FINAL_REFUSAL_LOAD, FINAL_REFUSAL_LOAD_MARKED_RETRIES, LOAD_AVERAGING_WEIGHT = 1.0, 1.5, 0.25
# Health: wait unread, in mean runs, and work asked, from and under which cores are slow; averaging a request;
# time off the roster in µs, doubled after a return that failed; the most.
SLOW_UNREAD_WAIT_RUNS, SLOW_MAX_LOAD, UNREAD_WAIT_AVERAGING_WEIGHT = 4.0, 0.8, 0.2
LONG_UNREAD_WAIT_RUNS = 2.0  # wait unread, in mean runs, from which what can not make its aim is shed with room
MIN_ROSTER_ABSENCE_US, MAX_ROSTER_ABSENCE_US = 4_000_000, 16_000_000
RETRY_AFTER_SHARE = 0.5  # of the longest advice to stay away, for each part refused; none or more cost (measured)
DRAIN_MARGIN_SHARE = 0.12  # of the notice to leave, kept for late answers
RELEASED_KEY_RETENTION_US = 5_000_000  # µs for which what was given up may still be named by a repeat that waits unread
COMPACTION_MIN_ENTRIES = 4000  # entries for what is over, from which and twice the living on a table is cleared of them

MIN_CORES = 0.1  # cores that are counted with where there are none for now

HELD, RUNNING, STOPPING, PAUSED, AWAITING_CALL, IN_CALL, JOINED = range(7)


class User:
    """One line of fair queuing: the run time used, and what waits."""

    __slots__ = ("key", "charged_us", "request_count", "paused", "held")

    def __init__(self, key: str | int, charged_us: float) -> None:
        self.key, self.charged_us, self.request_count = key, charged_us, 0
        self.paused: list[Work] = []
        self.held: list[Work] = []

    def next_work(self) -> Work:
        """Return what this user runs next: paused before held, oldest first."""
        return min(self.paused or self.held, key=lambda work: work.sequence)


class KeyRecord:
    """What became of a keyed request over all its tries."""

    __slots__ = ("ran", "remembered", "holder", "last_id")

    def __init__(self) -> None:
        self.ran = self.remembered = False
        self.holder: Work | None = None
        self.last_id = ""


class Work:
    """One request that was read here and is not over."""

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
    """The decisions of one server, from its start to its end."""

    def __init__(self, settings: Settings, seed: int = 0) -> None:
        self.settings, self.cores = settings, float(settings.cores)
        self.admission_limits: AdmissionLimits | None = None
        self.seed, self.sequence, self.now_us, self.started_us, self.waiting_count = seed, 0, -1, 0, 0
        self.actions: list[Action] = []
        self.requests: dict[str, Work] = {}
        self.held, self.on_cores, self.awaiting_call, self.in_call = {}, {}, {}, {}
        self.users: dict[str | int, User] = {}
        self.callers_seen: set[str | int] = set()  # while cold
        self.charge_clock_us = self.memory_kb = self.unread_wait_us = 0.0
        self.requested_load, self.absence_us, self.return_at_us, self.on_roster = 1.0, MIN_ROSTER_ABSENCE_US, 0, True
        self.key_records: dict[str, KeyRecord] = {}
        self.key_expiries: deque[tuple[int, KeyRecord, str]] = deque()
        self.released_keys: deque[tuple[int, str]] = deque()
        self.lingering_calls: deque[int] = deque()
        self.answer_queue: list[tuple[int, int, Work]] = []
        self.mean_calls, self.call_limit = 0.0, settings.calls_share * CALLS_IN_FLIGHT_SHARE
        self.linger_us = settings.linger_us if settings.downstream is DownstreamKind.SHARED else 0
        self.climbed_limit, self.climb_direction = float(settings.cores), 1
        self.throughput = self.previous_throughput = self.finished_work_us = 0.0
        self.backlogged_turns = self.turns = self.next_climb_us = 0
        self.gauges = Gauges()
        self.typical_run_us = [cls.aim_us * INITIAL_RUN_AIM_SHARE for cls in settings.classes]
        self.run_counts = [INITIAL_RUN_WEIGHT_RUNS] * len(settings.classes)
        self.recent_run_us = self.recent_finished_us = self.shed_share = self.level = 0.0
        self.mean_run_us = sum(self.typical_run_us) / len(self.typical_run_us)
        self.hint_factor = self.pace = self.mean_hint_us = self.mean_hinted_run_us = 1.0
        self.typical_call_total_us, self.typical_call_us = (
            [0.0] * len(self.typical_run_us),
            [0.0] * len(self.typical_run_us),
        )
        self.typical_call_count = [1.0] * len(self.typical_run_us)
        self.arrived_count, self.shed_count, self.tenant_counts = 0, 0, [0.0] * len(settings.tenants)
        self.tenant_weights = [1.0] * len(settings.tenants)
        self.free_value: float | None = None
        self.idle_limit_us, self.peak_connections = float(settings.idle_max_us), 0.0
        self.drain_started_us = self.last_answer_us = self.timer_at_us = self.timer_token = 0
        self.other_process = ProcessUsage()
        self.can_pause = settings.preemption is PreemptionMode.PAUSE
        self.handlers = {
            RequestArrived: self._request_arrived,
            RequestWithdrawn: self._request_withdrawn,
            RunEnded: self._run_ended,
            CallRequested: self._call_requested,
            CallEnded: self._call_ended,
            DrainNotice: self._drain,
            ProcessUsage: self._process_usage,
            AdmissionLimits: self._admission_limits,
            TimerFired: self._timer_fired,
        }

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take what happened at ``now`` and return what to do, in order."""
        self.actions = []
        if self.now_us < 0:
            self.now_us = self.started_us = now
            self.next_climb_us = now + CLIMB_INTERVAL_US
            self.actions += [SetHealth(True), SetIdleLimit(self.settings.idle_max_us)]
            if self.settings.free_value is FreeValueKind.CREDIT and self._is_cold():
                self.free_value = self._credit()
                self.actions.append(SetFreeValue(self.free_value))
        self._advance(now)
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

    # Time, users and charges

    def _advance(self, now: int) -> None:
        """Move the clock of charged time on: wall time x min(1, cores/running) for each that runs."""
        passed = now - self.now_us
        if passed > 0:
            running = len(self.on_cores)
            if running:
                charged = passed * min(1.0, self.cores / running)
                self.charge_clock_us += charged
                self.recent_run_us += charged * running
            kept = max(0.0, 1.0 - passed / PACE_WINDOW_US)
            self.recent_run_us *= kept
            self.recent_finished_us *= kept
            prior = self.cores * self.mean_run_us
            self.pace = (self.recent_run_us + prior) / (self.recent_finished_us + prior)
            if self.settings.downstream is DownstreamKind.SHARED:
                share = min(1.0, passed / (CALLS_AVERAGING_SPAN_SHARE * self.settings.calls_span_us))
                self.mean_calls += share * (len(self.in_call) + len(self.lingering_calls) - self.mean_calls)
            self.now_us = now

    def _charge(self, work: Work) -> None:
        """Charge a running request and its user up to now."""
        spent, work.clock_mark_us = self.charge_clock_us - work.clock_mark_us, self.charge_clock_us
        work.used_us += spent
        work.slice_us += spent
        work.user.charged_us += spent

    def _enqueue(self, work: Work, state: int) -> None:
        """Put work among what waits for its user's turn."""
        work.state = state
        (work.user.held if state == HELD else work.user.paused).append(work)
        if state == HELD:
            self.held[work.id] = work
        self.waiting_count += 1

    def _dequeue(self, work: Work) -> None:
        """Take waiting work out of its user's line."""
        (work.user.held if work.state == HELD else work.user.paused).remove(work)
        self.held.pop(work.id, None)
        self.waiting_count -= 1

    def _end(self, work: Work, served: bool = False) -> None:
        """Forget a request that is over; its user's count goes with the last."""
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
        self.requests.pop(work.id, None)
        self.memory_kb -= work.memory_kb
        if work.record and work.record.holder is work:
            work.record.holder = None
        work.user.request_count -= 1
        if not work.user.request_count:
            self.users.pop(work.user.key, None)

    # Estimates

    def _expected_run_us(self, work: Work) -> float:
        """Return the run time a request usually needs, at the server's usual pace."""
        return work.hint_us * self.hint_factor if work.hint_us else self.typical_run_us[work.class_index]

    def _remaining_run_us(self, work: Work) -> float:
        """Return the run time still expected."""
        size = self._expected_run_us(work) * self.pace
        return max(size - work.used_us, size * MIN_REMAINING_RUN_SHARE)

    def _worth_per_work(self, work: Work) -> float:
        """Return the worth for each unit of work: what is shed last has the most."""
        cls = self.settings.classes[work.class_index]
        worth = cls.worth if self.settings.counted_by_work else cls.worth / max(1.0, self._expected_run_us(work))
        return worth * self.tenant_weights[work.tenant] if work.tenant < len(self.tenant_weights) else worth

    def _is_cold(self) -> bool:
        """Tell whether the cores may still be slow after the start."""
        return self.settings.cold and self.now_us - self.started_us < self.settings.warm_within_us

    def _survivable_runs(self) -> float:
        """Return how many runs on the cores the server survives now; fewer while cold."""
        warm = 1.0
        if self._is_cold():
            warm = min(
                1.0,
                self.settings.cold_share
                + (1.0 - self.settings.cold_share) * (self.now_us - self.started_us) / self.settings.warm_within_us,
            )
        return (1.0 + (self.settings.crowd_multiple - 1.0) * warm) * self.cores - self.other_process.running

    def _run_limit(self) -> float:
        """Return the run limit: climbed, at least the cores, under the crowd survived."""
        if self.admission_limits is not None:
            return float(self.admission_limits.slots)
        return max(self.cores, min(self.climbed_limit, self._survivable_runs() * RUN_LIMIT_CROWD_SHARE))

    # Events

    def _request_arrived(self, event: RequestArrived) -> None:
        """Hold a request, join it to the try it repeats, or turn it away."""
        cls = self.settings.classes[event.class_index]
        self.sequence += 1
        self.arrived_count += 1
        if event.tenant < len(self.tenant_counts):
            self.tenant_counts[event.tenant] += not event.retry
        work = Work(event, self.sequence)
        came = self.now_us - event.waited_us
        self.unread_wait_us += (event.waited_us - self.unread_wait_us) * UNREAD_WAIT_AVERAGING_WEIGHT
        if self._is_cold() and len(self.callers_seen) < MAX_COUNTED_CALLERS:
            self.callers_seen.add(event.caller)
        key = event.subject or event.caller
        if key not in self.users:
            least = min((one.charged_us for one in self.users.values()), default=0.0)
            self.users[key] = User(key, least)
        work.user = self.users[key]
        work.user.request_count += 1
        self.requests[work.id] = work
        self.memory_kb += work.memory_kb
        work.due_us = max(event.due_us or came + cls.deadline_us, self.now_us)
        aim = cls.aim_us * (1.0 - RESPONSE_DELIVERY_AIM_SHARE) + cls.aim_stretch * event.hint_us
        work.target_us = min(work.due_us, came + int(aim))
        self._enqueue(work, HELD)
        late = False
        if self.drain_started_us:
            self._bound_by_drain(work)
            late = (
                self.now_us if event.arrived_in_parts else came
            ) > self.drain_started_us + self.settings.drain_grace_us
        if cls.effect is Effect.KEYED:
            self._attach_key(work, event.repeat_of, came + cls.window_us, late)
        elif event.repeat_of and not late:
            self._join(work)
        elif late:
            self._turn_away(work)
        elif (
            self.settings.fresh_us
            and event.subject
            and self.memory_kb < self.settings.memory_kb * MAX_MEMORY_SHARE_TO_START / 2
        ):
            self._remember(work, KeyRecord(), work.due_us + self.settings.fresh_us)
        past = (
            self.admission_limits is not None
            and event.position >= self.admission_limits.levels[event.region]
            and work.state == HELD
        )
        if self.memory_kb > self.settings.memory_kb * MAX_MEMORY_SHARE_TO_HOLD or past:
            self._turn_away(work)
        if not work.over:
            heapq.heappush(self.answer_queue, (self._answer_by_us(work), work.sequence, work))

    def _attach_key(self, work: Work, repeats: str | None, until: int, late: bool) -> None:
        """Tie a keyed request to its earlier tries, so that one of them runs at the most.

        Guards against a second effect, whatever became of the first try: held (the newer takes its place, its
        caller has left the older), begun (join it), over (reuse its result). Turned away, its record stays.
        """
        record = work.record = self.key_records.get(repeats or "") or KeyRecord()
        record.ran = record.ran or (bool(repeats) and repeats not in self.key_records)
        if record.ran:
            self.key_records[work.id] = record
            self.key_expiries.append((until, record, work.id))
            self._turn_away(work) if late else self._join(work)
            return
        older, record.holder = record.holder, None
        if older:
            older.record = None
            self._turn_away(older)
        if late or (
            not record.remembered
            and self.memory_kb + self.settings.key_kb > self.settings.memory_kb * MAX_MEMORY_SHARE_TO_HOLD
        ):
            self._turn_away(work)
            return
        record.holder = work
        self._remember(work, record, until)

    def _remember(self, work: Work, record: KeyRecord, until: int) -> None:
        """Keep a request in the table of repeats until then."""
        if not record.remembered:
            self.memory_kb += self.settings.key_kb
            record.remembered = True
        record.last_id, work.record = work.id, record
        self.key_records[work.id] = record
        until = max(until + self.settings.tick_us, self.now_us + self.settings.tick_us)
        self.key_expiries.append((until, record, work.id))
        self.actions.append(RememberRequest(work.id, until - self.now_us))

    def _join(self, work: Work) -> None:
        """Serve a repeat from the try it repeats."""
        self._dequeue(work)
        work.state = JOINED
        self.actions.append(ReuseResult(work.id))

    def _request_withdrawn(self, event: RequestWithdrawn) -> None:
        """Give up on a request whose caller left; a keyed run goes on, for the repeat that may come."""
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
        """Account for a run that ended, or queue it again after a pause."""
        work = self.requests.get(event.id)
        if work is None:
            return
        if event.outcome is Outcome.CANCELLED and not work.answered:
            if work.state in (RUNNING, STOPPING):
                self._charge(work)
                self.on_cores.pop(work.id, None)
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

    def _update_estimates(self, work: Work) -> None:
        """Take a finished run into the usual run of its class, the pace and the throughput."""
        self.finished_work_us += self._expected_run_us(work)
        self.run_counts[work.class_index] += 1
        gain = max(RUN_AVERAGING_WEIGHT, 1.0 / self.run_counts[work.class_index])
        self.typical_run_us[work.class_index] += gain * (work.used_us - self.typical_run_us[work.class_index])
        if work.hint_us:
            self.mean_hint_us += gain * (work.hint_us - self.mean_hint_us)
            self.mean_hinted_run_us += gain * (work.used_us - self.mean_hinted_run_us)
            self.hint_factor = self.mean_hinted_run_us / max(1.0, self.mean_hint_us)
        self.mean_run_us += RUN_AVERAGING_WEIGHT * (work.used_us - self.mean_run_us)
        if self.settings.classes[work.class_index].calls:
            self.typical_call_count[work.class_index] += max(gain, CALL_AVERAGING_WEIGHT) * (
                work.call_count - self.typical_call_count[work.class_index]
            )
        if work.call_total_us:
            self.typical_call_total_us[work.class_index] += max(gain, CALL_AVERAGING_WEIGHT) * (
                work.call_total_us - self.typical_call_total_us[work.class_index]
            )

    def _drain(self, event: DrainNotice) -> None:
        """Prepare to leave: out of the health checks at once, all answered before the stop."""
        self.drain_started_us = self.drain_started_us or max(1, self.now_us)
        self.last_answer_us = event.stop_at_us - int((event.stop_at_us - self.drain_started_us) * DRAIN_MARGIN_SHARE)
        self.actions += [SetHealth(False), WriteLogLine(f"drain: {len(self.requests)} requests in hand")]
        for work in self.requests.values():
            self._bound_by_drain(work)
        self.answer_queue = sorted((self._answer_by_us(work), work.sequence, work) for work in self.requests.values())

    def _bound_by_drain(self, work: Work) -> None:
        """Have a request answered before the stop."""
        work.due_us = min(work.due_us, self.last_answer_us)
        work.target_us = min(work.target_us, work.due_us)

    def _process_usage(self, event: ProcessUsage) -> None:
        """Leave room for another process of this server: together both must stay under what it bears."""
        self.memory_kb += event.memory_kb - self.other_process.memory_kb
        self.other_process = event

    def _admission_limits(self, event: AdmissionLimits) -> None:
        """Go by what others found: how many may run, and how far down the order of all requests is taken."""
        self.admission_limits, self.cores = event, max(MIN_CORES, event.cores)

    def usage(self) -> ProcessUsage:
        """Return what this process holds of what it may share with another."""
        return ProcessUsage(self.memory_kb - self.other_process.memory_kb, len(self.on_cores))

    def _timer_fired(self, event: TimerFired) -> None:
        """Take the gauges; the timer has done its part by waking the server."""
        self.gauges = event.gauges

    # Turning away

    def _release_key(self, work: Work) -> None:
        """Give up the table entry of a keyed request that never ran."""
        record = work.record
        if record and not record.ran and record.remembered and record.holder is work:
            record.remembered = False
            self.memory_kb -= self.settings.key_kb
            self.released_keys.append((self.now_us + RELEASED_KEY_RETENTION_US, work.id))
            self.actions.append(ForgetRequest(work.id))

    def _turn_away(self, work: Work) -> None:
        """Answer a request without serving it, in the way its state and effect allow."""
        if work.answered or work.over:
            return
        work.answered = True
        if work.state == HELD and not work.ran and not (work.record and work.record.ran):
            self.shed_count += 1
            # Against storms of tries, each a reading: what was refused before, or finds the work asked far
            # above the cores, is not to try elsewhere. Hurts where this server is full and others are not.
            far = self.requested_load > (
                FINAL_REFUSAL_LOAD_MARKED_RETRIES if self.settings.marks_retry else FINAL_REFUSAL_LOAD
            )
            away = 1.0 if self.drain_started_us else min(1.0, self.shed_share) * RETRY_AFTER_SHARE
            away *= self.settings.max_retry_after_us if self.settings.retry_after else 0
            away = work.retry_after_us if self.admission_limits is not None and not self.drain_started_us else away
            self.actions.append(RefuseRequest(work.id, int(away), (work.retry or far) and not self.drain_started_us))
            self._release_key(work)
            self._end(work)
            return
        self.actions.append(FailRequest(work.id))
        if work.state in (HELD, PAUSED, JOINED):
            self._end(work)
        elif work.state == RUNNING:
            self._stop_run(work)

    def _answer_by_us(self, work: Work) -> int:
        """Return when a request is answered at the latest: past its aim only if that earns something."""
        late = self.settings.classes[work.class_index].late_share or work.state == JOINED
        return work.due_us if late else work.target_us

    def _expire(self) -> None:
        """Answer what is due and give up what can earn nothing more."""
        while self.answer_queue and self.answer_queue[0][0] <= self.now_us + self.settings.tick_us:
            self._turn_away(heapq.heappop(self.answer_queue)[2])
        while self.key_expiries and self.key_expiries[0][0] < self.now_us:
            _, record, name = self.key_expiries.popleft()
            self.key_records.pop(name, None)
            if record.last_id == name and record.remembered:
                record.remembered = False
                self.memory_kb -= self.settings.key_kb
        while self.released_keys and self.released_keys[0][0] <= self.now_us:
            self.key_records.pop(self.released_keys.popleft()[1], None)
        while self.lingering_calls and self.lingering_calls[0] <= self.now_us:
            self.lingering_calls.popleft()
        if len(self.answer_queue) > 2 * len(self.requests) + COMPACTION_MIN_ENTRIES:
            self.answer_queue = [end for end in self.answer_queue if not end[2].over]
            heapq.heapify(self.answer_queue)
        if len(self.key_expiries) > 2 * len(self.key_records) + COMPACTION_MIN_ENTRIES:
            self.key_expiries = deque(one for one in self.key_expiries if one[2] in self.key_records)

    def _shed_waiting(self) -> None:
        """Turn away from the hold what cannot make its aim, the least worth for its work first.

        The hold is gone through by aim; where one would come too late behind all before it, the one of least
        density among these goes. Guards against overload, slow cores and calls; hurts if pace is misjudged.
        While requests wait long unread this acts with room to run too, so that the line unread drains.
        """
        fits = len(self.on_cores) + self.waiting_count <= self._run_limit()
        if fits and self.unread_wait_us < LONG_UNREAD_WAIT_RUNS * self.mean_run_us:
            return
        cores, ahead = self.cores, 0.0
        kept: list[tuple[float, int, Work, float]] = []
        begun = [
            work
            for work in self.requests.values()
            if work.ran and work.target_us > self.now_us and work.state not in (JOINED, IN_CALL)
        ]
        for work in sorted([*begun, *self.held.values()], key=lambda one: (one.target_us, one.sequence)):
            need = self._remaining_run_us(work)
            ahead += need / cores
            if work.ran:
                continue
            heapq.heappush(kept, (self._worth_per_work(work), -work.sequence, work, need))
            alone = need * (1.0 - 1.0 / cores) + self.typical_call_total_us[work.class_index]
            while kept and self.now_us + ahead * RUN_WAIT_ESTIMATE_FACTOR + alone > work.target_us:
                _, _, victim, freed = heapq.heappop(kept)
                ahead -= freed / cores
                self._turn_away(victim)
                if victim is work:
                    break

    def _shed_calls(self) -> None:
        """Turn away what would wait too long for its call, the least worth for its calls first.

        Guards against a slow dependency: the cores are free then, so all would start, and most of it fail
        later, waiting for calls. Hurts where calls turn quick again, until those in hand have shown it; so
        it acts only once as many wait as may be in hand (with fewer, big days lost by it, measured).
        """
        if len(self.awaiting_call) < self.call_limit:
            return
        part, ahead = max(1.0, self.call_limit - len(self.lingering_calls)), 0.0
        calling = [
            work
            for work in self.requests.values()
            if self.settings.classes[work.class_index].calls
            and not work.answered
            and work.state not in (IN_CALL, JOINED)
        ]
        kept: list[tuple[float, int, Work, float]] = []
        for work in sorted(calling, key=lambda one: (one.target_us, one.sequence)):
            calls = max(float(work.state == AWAITING_CALL), self.typical_call_count[work.class_index] - work.call_count)
            length = self.typical_call_us[work.class_index] * calls
            ahead += length / part
            if length <= 0.0 or work.state not in (HELD, AWAITING_CALL):
                continue
            worth = self._worth_per_work(work) * (self._expected_run_us(work) if self.settings.counted_by_work else 1.0)
            heapq.heappush(kept, (worth / length, -work.sequence, work, length))
            alone = length + (self._remaining_run_us(work) if work.state == HELD else 0.0)
            while kept and self.now_us + ahead * CALL_WAIT_ESTIMATE_FACTOR + alone > work.target_us:
                _, _, victim, freed = heapq.heappop(kept)
                ahead -= freed / part
                self._turn_away(victim)
                if victim is work:
                    break

    # Running

    def _stop_run(self, work: Work) -> None:
        """Pause running work, or end it where it was answered; effective only once confirmed."""
        if self.settings.preemption is not PreemptionMode.NONE and work.state == RUNNING:
            work.state = STOPPING
            self.actions.append(StopRun(work.id))

    def _next_user(self) -> User | None:
        """Return the least-served user whose next work fits the memory; equal counts go by aim.

        Work past its aim comes last: it earns little and would crowd out what is still in time.
        """
        room = self.settings.memory_kb * MAX_MEMORY_SHARE_TO_START - self.memory_kb
        best, best_key = None, (True, 0.0, 0)
        for user in self.users.values():
            if user.paused or (user.held and user.held[0].held_kb * (self.settings.run_factor - 1.0) <= room):
                head = user.next_work()
                key = (head.target_us <= self.now_us, user.charged_us, head.target_us)
                if best is None or key < best_key:
                    best, best_key = user, key
        return best

    def _end_slices(self) -> None:
        """End slices by pausing, if a user served less waits and the limit is full."""
        over = len(self.on_cores) - self._run_limit()
        user = self._next_user() if over >= 0 and self.waiting_count and self.can_pause else None
        if user is None:
            return
        length = SLICE_LENGTH_RUNS * self.mean_run_us
        running = [work for work in self.on_cores.values() if work.state == RUNNING and not work.answered]
        for work in running:
            self._charge(work)
        best, stops = (user.next_work().target_us <= self.now_us, user.charged_us), 0
        for work in sorted(running, key=lambda one: (one.target_us > self.now_us, -one.user.charged_us)):
            worse = (work.target_us <= self.now_us, work.user.charged_us) > best
            if stops < self.waiting_count and (over > stops or (work.slice_us >= length and worse)):
                self._stop_run(work)
                stops += 1

    def _start_runs(self) -> None:
        """Start or resume the least-served users' work up to the run limit."""
        limit = self._run_limit()
        self.turns += 1
        while self.waiting_count and len(self.on_cores) + 1 <= limit:
            user = self._next_user()
            back = len(self.on_cores) + (0 if self.can_pause else len(self.in_call))
            if user is None or (self.admission_limits is None and back + 1 > self._survivable_runs() * MAX_CROWD_SHARE):
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
        """Climb the run limit on finished work: fast while cores idle and work waits, by steps else."""
        if self.now_us < self.next_climb_us:
            return
        rate = self.finished_work_us / (self.now_us - self.next_climb_us + CLIMB_INTERVAL_US)
        self.next_climb_us = self.now_us + CLIMB_INTERVAL_US
        use = self.gauges.core_use
        if use is not None and use < IDLE_CORE_USE_SHARE:
            if self.backlogged_turns * 2 > self.turns:
                self.climbed_limit += max(1.0, self.climbed_limit / 4.0)
        elif len(self.on_cores) >= self.cores:
            self.throughput += (rate - self.throughput) * THROUGHPUT_AVERAGING_WEIGHT
            if self.throughput < self.previous_throughput * (1.0 - CLIMB_NOISE_SHARE):
                self.climb_direction = -self.climb_direction
            elif use is not None and self.throughput < self.previous_throughput * (1.0 + CLIMB_NOISE_SHARE):
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
        """Leave the roster while requests wait long unread though little is asked, and return to try again.

        Guards against slow or stuck cores, which drown in reading whatever is refused; a full one reads much.
        Hurts where all turn slow at once, hence the returns.
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
            failed = self.now_us - self.return_at_us < 2 * self.absence_us
            self.absence_us = (
                min(MAX_ROSTER_ABSENCE_US, 2 * self.absence_us)
                if self.return_at_us and failed
                else MIN_ROSTER_ABSENCE_US
            )
            self.on_roster, self.return_at_us = False, self.now_us + self.absence_us
            self.actions += [SetHealth(False), WriteLogLine("slow cores: off the roster for a time")]

    def _adjust_idle_limit(self) -> None:
        """Have a full table of connections turn over as fast as the server can serve.

        Where each caller comes seldom, each request needs a connection: a slow turnover keeps callers out
        of a server with room, a faster one lets in a storm of tries, each at the cost of a handshake and a
        reading. A limit counts from a connection's last use, so it is set ahead; hurts where load turns fast.
        """
        self.peak_connections = max(self.peak_connections, self.gauges.connections or 0.0)
        serve = self.mean_run_us * self.pace / self.cores
        longest = float(self.settings.idle_max_us)
        idle = self.peak_connections * serve / CONNECTION_TURNOVER_FACTOR
        seldom = self.settings.callers * self.mean_run_us / self.cores > longest * RETURN_INTERVAL_IDLE_SHARE
        idle = min(longest, max(longest * MIN_IDLE_LIMIT_SHARE, idle)) if seldom else longest
        if abs(idle - self.idle_limit_us) > MIN_IDLE_LIMIT_CHANGE_SHARE * self.idle_limit_us:
            self.idle_limit_us = idle
            self.actions.append(SetIdleLimit(int(idle)))

    def _weigh_tenants(self) -> None:
        """Weigh each tenant by the part of its requests that its share covers, lest it crowd out others.

        Counts are relative, as unmarked tries swell all alike, and start as if some were seen in each share.
        """
        allowed = sum(tenant.allowance_per_s for tenant in self.settings.tenants)
        seen = sum(self.tenant_counts)
        for at, tenant in enumerate(self.settings.tenants):
            part = (seen + TENANT_COUNT_PRIOR_REQUESTS) * tenant.allowance_per_s / max(allowed, 1e-9)
            had = self.tenant_counts[at] + TENANT_COUNT_PRIOR_REQUESTS * part / (seen + TENANT_COUNT_PRIOR_REQUESTS)
            over = 1.0 - part / had if 0.0 < part < had else 0.0
            self.tenant_weights[at] = 1.0 - over * (1.0 - self.settings.over_share_worth)
            self.tenant_counts[at] *= 1.0 - CLIMB_INTERVAL_US / TENANT_COUNT_WINDOW_US

    def _update_free_value(self) -> None:
        """Set the free value from how much is being shed."""
        share = self.shed_count / self.arrived_count if self.arrived_count else 0.0
        asked = self.arrived_count * self.mean_run_us / (self.cores * CLIMB_INTERVAL_US)
        self.requested_load += (asked - self.requested_load) * LOAD_AVERAGING_WEIGHT
        self.shed_share += (share - self.shed_share) / 2.0
        self.arrived_count = self.shed_count = 0
        kind, value = self.settings.free_value, self.free_value
        if kind is FreeValueKind.LEVEL:
            level = self.level * (1.0 - LEVEL_DECAY_SHARE) + LEVEL_RISE_SHARE * share - LEVEL_DECAY_STEP
            self.level = value = round(min(MAX_LEVEL, max(0.0, level)), 3)
        elif kind is FreeValueKind.CREDIT:
            value = self._credit()
        elif kind is FreeValueKind.WEIGHT:
            value = round(max(0.05, 1.0 - self.shed_share), 2)
        if value != self.free_value:
            self.actions.append(SetFreeValue(value))
        self.free_value = value

    def _credit(self) -> float:
        """Return how many requests each caller is invited to have here at once.

        Callers know nothing of each other. While cold, all their invitations stay within what it survives, in
        fractions that callers take by chance: one for each would add up to more with each caller.
        """
        callers = max(1, self.settings.callers, len(self.callers_seen))
        some = max(1.0, 2.0 * len(self.requests) / callers)
        value = round(some, 1) if self.shed_share > CREDIT_MIN_SHED_SHARE else UNLIMITED_CREDIT_REQUESTS
        return min(value, int(self._survivable_runs() / callers * 1000.0) / 1000.0) if self._is_cold() else value

    # Calls

    def _call_requested(self, event: CallRequested) -> None:
        """Take a request that wants to call off the run limit."""
        work = self.requests.get(event.id)
        if work is None or work.state not in (RUNNING, STOPPING):
            return
        self._charge(work)
        self.on_cores.pop(work.id, None)
        work.state, work.call_attempts = AWAITING_CALL, 0
        work.call_count += 1
        work.call_since_us = work.call_not_before_us = self.now_us
        if work.answered:
            self.actions.append(FailRequest(work.id))
        else:
            self.awaiting_call[work.id] = work

    def _call_ended(self, event: CallEnded) -> None:
        """Run on after a good call; after a failed one repeat it, go without, or fail."""
        work = self.requests.get(event.id)
        if work is None or work.state != IN_CALL:
            return
        del self.in_call[work.id]
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET):
            self.lingering_calls.append(self.now_us + self.linger_us)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            # Learnt from the good ones alone, calls would seem quick just when most come too late.
            took = event.took_us * (1.0 if event.outcome is Outcome.OK else TIMED_OUT_CALL_LENGTH_FACTOR)
            usual = self.typical_call_us[work.class_index] or took
            self.typical_call_us[work.class_index] = usual + CALL_AVERAGING_WEIGHT * (took - usual)
        if event.outcome is Outcome.OK:
            self._resume_after_call(work)
            return
        work.state = AWAITING_CALL
        work.call_attempts += 1
        cls = self.settings.classes[work.class_index]
        if (cls.effect is Effect.SAFE or event.outcome in NEVER_RAN) and work.call_attempts < MAX_CALL_ATTEMPTS:
            work.call_not_before_us = self.now_us + int(cls.aim_us * CALL_RETRY_PAUSE_AIM_SHARE) * work.call_attempts
            self.awaiting_call[work.id] = work
        elif cls.skip_worth:
            self.actions.append(SkipCall(work.id))
            self._resume_after_call(work)
        else:
            self._turn_away(work)

    def _resume_after_call(self, work: Work) -> None:
        """Take a request that runs on after its call among those on the cores."""
        self.awaiting_call.pop(work.id, None)
        work.call_total_us += self.now_us - work.call_since_us
        work.state = RUNNING
        work.clock_mark_us = self.charge_clock_us
        self.on_cores[work.id] = work

    def _may_call(self) -> bool:
        """Return whether one more call fits: the share of a shared dependency, or the crowd on return."""
        hand = len(self.in_call) + len(self.lingering_calls)
        if self.settings.downstream is DownstreamKind.SHARED:
            return hand + 1 <= max(1.0, self.call_limit) and self.mean_calls < self.call_limit
        return hand + 1 <= max(self.cores / 2.0, self._survivable_runs() * MAX_CROWD_SHARE - len(self.on_cores))

    def _make_calls(self) -> None:
        """Make the calls that fit, by aim; go without one that would come too late."""
        for work in sorted(self.awaiting_call.values(), key=lambda one: (one.target_us, one.sequence)):
            if work.answered:  # its run ends at this call
                continue
            cls = self.settings.classes[work.class_index]
            left = (work.target_us if self.now_us < work.target_us else work.due_us) - self.now_us
            left -= int(self._expected_run_us(work) * self.pace * MIN_REMAINING_RUN_SHARE) if cls.skip_worth else 0
            if cls.skip_worth and left < self.typical_call_us[work.class_index] * MIN_TIME_FOR_OPTIONAL_CALL_SHARE:
                self.actions.append(SkipCall(work.id))
                self._resume_after_call(work)
            elif not cls.skip_worth and left < self.typical_call_us[work.class_index] * MIN_TIME_FOR_CALL_SHARE:
                self._turn_away(work)
            elif work.call_not_before_us <= self.now_us and self._may_call():
                del self.awaiting_call[work.id]
                self.in_call[work.id] = work
                work.state = IN_CALL
                if self.settings.downstream is DownstreamKind.SHARED:
                    # A hung call counts below while it is waited for: where the part is under one, one in
                    # hand on each server would bring down what all share. Hurts where calls turn slower.
                    room = (
                        (self.call_limit - self.mean_calls) * self.settings.calls_span_us * CALLS_AVERAGING_SPAN_SHARE
                    )
                    left = min(
                        left, int(max(room, self.typical_call_us[work.class_index] * MIN_SHARED_CALL_TIMEOUT_CALLS))
                    )
                if cls.effect is Effect.SAFE and self.typical_call_us[work.class_index]:
                    # A reply may never come: with time left the call is made again, which a write's is not.
                    left = min(left, int(self.typical_call_us[work.class_index] * LOST_CALL_TIMEOUT_CALLS))
                self.actions.append(MakeCall(work.id, max(self.settings.tick_us, left)))

    def _set_timer(self) -> None:
        """Keep one timer, for the next thing due: an answer, a slice, a call to repeat, the next climb."""
        times = [self.next_climb_us, *(work.call_not_before_us for work in self.awaiting_call.values())]
        if self.answer_queue:
            times.append(self.answer_queue[0][0] - self.settings.tick_us)
        if self.waiting_count or self.awaiting_call:
            times.append(self.now_us + WAITING_CHECK_INTERVAL_US)
            if self.can_pause:
                length = SLICE_LENGTH_RUNS * self.mean_run_us - self.charge_clock_us
                slower = max(1.0, len(self.on_cores) / self.cores)
                times += [
                    self.now_us + int((length - work.slice_us + work.clock_mark_us) * slower) + 1
                    for work in self.on_cores.values()
                    if work.state == RUNNING
                ]
        at = max(self.now_us + self.settings.tick_us, min(time for time in times if time > self.now_us))
        if self.timer_at_us <= self.now_us or self.timer_at_us > at:
            self.timer_token += 1
            self.timer_at_us = at
            self.actions.append(SetTimer(at - self.now_us, self.timer_token))
