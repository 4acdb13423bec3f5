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
    Arrived,
    AtCall,
    Below,
    Beside,
    Call,
    CallEnded,
    Drain,
    Effect,
    Event,
    Fail,
    Forget,
    FreeValue,
    Gauges,
    Gone,
    Health,
    IdleLimit,
    Keep,
    Log,
    Outcome,
    Refuse,
    Reuse,
    Room,
    Run,
    RunEnded,
    Say,
    Settings,
    Skip,
    Stop,
    Stopping,
    Wake,
    Woke,
)

# Tuned numbers: shares and multiples unless a unit is named; what they are scaled by is observed or set.
SLICE_SHARE = 1.5  # slice, in mean runs; at a quarter or half, much half-done work came late (measured)
LOOK_EVERY = 25_000  # µs between looks at waiting work, which grows late by time alone; a few runs a look
CLIMB_EVERY = 500_000  # µs an epoch of hill climbing and of what callers are told: some runs long
CLIMB_STEP, CLIMB_NOISE, CLIMB_GAIN = 0.5, 0.1, 0.2  # part of a run a step; change that counts; averaging
CORES_IDLE = 0.9  # busy share of the cores under which waiting work means that the limit is too low
LIMIT_ROOM, CROWD_ROOM = 0.6, 0.85  # of the crowd survived: for the run limit; for runs and returning calls
MEMORY_START, MEMORY_HOLD = 0.85, 0.95  # of the memory: for starts; for what is held, the rest being read
FIRST_GUESS, GUESS_WEIGHT = 0.1, 3  # mean run before any was seen, of the aim; its weight in runs
USUAL_GAIN, CALL_GAIN = 0.02, 0.06  # averaging of usual runs and calls, for each that ends
PACE_SPAN = 4_000_000  # µs over which run time is set against the usual run time of what finished: many runs
TAIL_SHARE = 0.3  # least work left of a usual run: long runs have long tails
WAIT_MARGIN = 3.5  # waits over those computed: newcomers go first and reading takes cores too (measured)
WAY_BACK = 0.02  # of the aim, for the answer's way back
CALLS_ROOM = 0.4  # of the part in a shared dependency, for calls in hand: it slows when crowded
CALL_SPAN, CALL_PATIENCE = 0.33, 3.0  # averaging of calls in hand, of the span; usual calls waited for
CALLS_MARGIN = 1.2  # waits for calls over those computed: lines form and calls differ
CALL_SILENT = 9.0  # usual calls after which one that is safe to repeat is given up for lost
CALL_LATE = 1.5  # length of a call given up, over the time waited for it
CALL_PAUSE, CALL_TRIES = 0.02, 4  # pause before a failed call is repeated, of the aim; tries
CALL_HOPE = 0.7  # of a usual call: with less time left it would only crowd out calls that can be in time
CALL_WORTH_TRYING = 0.35  # of a usual call: with less time left it is left out where it may be
RATE_SPAN, RATE_PRIOR = 20_000_000, 20.0  # µs of counting tenants' requests; those taken as seen at first
# Level: rise by shedding, share and part lost an epoch, the highest; shedding from which credit is given.
LEVEL_RISE, LEVEL_FALL, LEVEL_REST, LEVEL_TOP, CREDIT_FROM = 0.5, 0.15, 0.01, 0.8, 0.02
CREDIT_TOP, CALLERS_COUNTED = 1000.0, 2000  # said where nothing is shed: no limit; callers told apart
# Idle connections: least part of the longest time; arrivals a full table lets in, over what can be served;
# change worth telling; part of the longest time within which callers come again, so that all are kept.
IDLE_LEAST, TURNOVER, IDLE_CHANGE, COMES_AGAIN = 0.05, 1.6, 0.1, 0.5
# Work asked, tries included, over the cores, from which a refusal is for good; where retries are marked the
# second refusal is final anyway. Averaging an epoch.
FULL_UNMARKED, FULL_MARKED, ASKED_GAIN = 1.0, 1.5, 0.25
# Health: wait unread, in mean runs, and work asked, from and under which cores are slow; averaging a request;
# time off the roster in µs, doubled after a return that failed; the most.
SLOW_WAIT, SLOW_ASKED, WAIT_GAIN = 4.0, 0.8, 0.2
UNREAD_LONG = 2.0  # wait unread, in mean runs, from which what can not make its aim is shed with room
AWAY_LEAST, AWAY_MOST = 4_000_000, 16_000_000
ADVICE = 0.5  # of the longest advice to stay away, for each part refused; none or more cost (measured)
DRAIN_MARGIN = 0.12  # of the notice to leave, kept for late answers
NAMED_FOR = 5_000_000  # µs for which what was given up may still be named by a repeat that waits unread
SPARE = 4000  # entries for what is over, from which and twice the living on a table is cleared of them

FEWEST = 0.1  # cores that are counted with where there are none for now

HELD, RUNNING, STOPPING, PAUSED, AT_CALL, CALLING, JOINED = range(7)


class User:
    """One line of fair queuing: the run time used, and what waits."""

    __slots__ = ("key", "count", "live", "paused", "held")

    def __init__(self, key: str | int, count: float) -> None:
        self.key, self.count, self.live = key, count, 0
        self.paused: list[Work] = []
        self.held: list[Work] = []

    def head(self) -> Work:
        """Return what this user runs next: paused before held, oldest first."""
        return min(self.paused or self.held, key=lambda work: work.seq)


class KeyRecord:
    """What became of a keyed request over all its tries."""

    __slots__ = ("ran", "kept", "holder", "last")

    def __init__(self) -> None:
        self.ran = self.kept = False
        self.holder: Work | None = None
        self.last = ""


class Work:
    """One request that was read here and is not over."""

    __slots__ = (
        "id",
        "seq",
        "cls",
        "tenant",
        "user",
        "due",
        "target",
        "kb",
        "hint",
        "retry",
        "state",
        "answered",
        "ran",
        "over",
        "used",
        "slice",
        "mark",
        "record",
        "call_from",
        "call_until",
        "called",
        "calls",
        "tries",
        "memory",
        "back",
    )

    def __init__(self, event: Arrived, seq: int) -> None:
        self.id, self.seq, self.retry = event.id, seq, event.retry
        self.cls, self.tenant, self.hint = event.cls, event.tenant, event.hint_us
        self.state = HELD
        self.answered = self.ran = self.over = False
        self.used = self.slice = self.mark = 0.0
        self.record: KeyRecord | None = None
        self.call_from = self.call_until = self.called = self.calls = self.tries = 0
        self.kb = self.memory = event.held_kb
        self.back = event.back_us


class Policy:
    """The decisions of one server, from its start to its end."""

    def __init__(self, settings: Settings, seed: int = 0) -> None:
        self.set, self.cores = settings, float(settings.cores)
        self.room: Room | None = None
        self.seed, self.seq, self.now, self.born, self.waiting = seed, 0, -1, 0, 0
        self.out: list[Action] = []
        self.live: dict[str, Work] = {}
        self.held, self.on_cores, self.calls_waiting, self.calling = {}, {}, {}, {}
        self.users: dict[str | int, User] = {}
        self.callers_seen: set[str | int] = set()  # while cold
        self.clock = self.memory = self.unread = 0.0
        self.asked, self.away, self.back_at, self.well = 1.0, AWAY_LEAST, 0, True
        self.records: dict[str, KeyRecord] = {}
        self.expiries: deque[tuple[int, KeyRecord, str]] = deque()
        self.released: deque[tuple[int, str]] = deque()
        self.lingering: deque[int] = deque()
        self.ends: list[tuple[int, int, Work]] = []
        self.calls_mean, self.calls_part = 0.0, settings.calls_share * CALLS_ROOM
        self.linger = settings.linger_us if settings.below is Below.SHARED else 0
        self.limit, self.direction = float(settings.cores), 1
        self.rate = self.rate_before = self.finished = 0.0
        self.full_turns = self.turns = self.climb_at = 0
        self.gauges = Gauges()
        self.usual = [cls.aim_us * FIRST_GUESS for cls in settings.classes]
        self.seen = [GUESS_WEIGHT] * len(settings.classes)
        self.spent = self.done = self.pressure = self.level = 0.0
        self.usual_mean = sum(self.usual) / len(self.usual)
        self.hinted = self.pace = self.hint_mean = self.used_mean = 1.0
        self.call_time, self.call_each = [0.0] * len(self.usual), [0.0] * len(self.usual)
        self.calls_usual = [1.0] * len(self.usual)
        self.read, self.shed, self.rates = 0, 0, [0.0] * len(settings.tenants)
        self.in_share = [1.0] * len(settings.tenants)
        self.said: float | None = None
        self.idle, self.table = float(settings.idle_max_us), 0.0
        self.drain_at = self.last_answer = self.wake_at = self.token = 0
        self.beside = Beside()
        self.pausable = settings.stopping is Stopping.PAUSE
        self.handlers = {
            Arrived: self._arrived,
            Gone: self._gone,
            RunEnded: self._run_ended,
            AtCall: self._at_call,
            CallEnded: self._call_ended,
            Drain: self._drain,
            Beside: self._shared,
            Room: self._bounded,
            Woke: self._woke,
        }

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take what happened at ``now`` and return what to do, in order."""
        self.out = []
        if self.now < 0:
            self.now = self.born = now
            self.climb_at = now + CLIMB_EVERY
            self.out += [Health(True), IdleLimit(self.set.idle_max_us)]
            if self.set.free_value is FreeValue.CREDIT and self._cold():
                self.said = self._credit()
                self.out.append(Say(self.said))
        self._advance(now)
        for event in events:
            self.handlers[type(event)](event)
        self._expire()
        self._make_calls()
        self._shed_calls()
        self._shed()
        self._slices()
        self._start()
        self._climb()
        self._wake()
        return self.out

    # Time, users and charges

    def _advance(self, now: int) -> None:
        """Move the clock of charged time on: wall time x min(1, cores/running) for each that runs."""
        passed = now - self.now
        if passed > 0:
            running = len(self.on_cores)
            if running:
                charged = passed * min(1.0, self.cores / running)
                self.clock += charged
                self.spent += charged * running
            kept = max(0.0, 1.0 - passed / PACE_SPAN)
            self.spent *= kept
            self.done *= kept
            prior = self.cores * self.usual_mean
            self.pace = (self.spent + prior) / (self.done + prior)
            if self.set.below is Below.SHARED:
                share = min(1.0, passed / (CALL_SPAN * self.set.calls_span_us))
                self.calls_mean += share * (len(self.calling) + len(self.lingering) - self.calls_mean)
            self.now = now

    def _settle(self, work: Work) -> None:
        """Charge a running request and its user up to now."""
        spent, work.mark = self.clock - work.mark, self.clock
        work.used += spent
        work.slice += spent
        work.user.count += spent

    def _queue(self, work: Work, state: int) -> None:
        """Put work among what waits for its user's turn."""
        work.state = state
        (work.user.held if state == HELD else work.user.paused).append(work)
        if state == HELD:
            self.held[work.id] = work
        self.waiting += 1

    def _unqueue(self, work: Work) -> None:
        """Take waiting work out of its user's line."""
        (work.user.held if work.state == HELD else work.user.paused).remove(work)
        self.held.pop(work.id, None)
        self.waiting -= 1

    def _end(self, work: Work, served: bool = False) -> None:
        """Forget a request that is over; its user's count goes with the last."""
        if work.over:
            return
        work.over = True
        if work.state in (RUNNING, STOPPING):
            self._settle(work)
            self.on_cores.pop(work.id, None)
        if work.ran:
            self.done += self._size(work) if served else min(work.used, self._size(work))
        if work.state in (HELD, PAUSED):
            self._unqueue(work)
        elif work.state == CALLING:
            del self.calling[work.id]
            self.lingering.append(self.now + self.linger)
        self.calls_waiting.pop(work.id, None)
        self.live.pop(work.id, None)
        self.memory -= work.memory
        if work.record and work.record.holder is work:
            work.record.holder = None
        work.user.live -= 1
        if not work.user.live:
            self.users.pop(work.user.key, None)

    # Estimates

    def _size(self, work: Work) -> float:
        """Return the run time a request usually needs, at the server's usual pace."""
        return work.hint * self.hinted if work.hint else self.usual[work.cls]

    def _need(self, work: Work) -> float:
        """Return the run time still expected."""
        size = self._size(work) * self.pace
        return max(size - work.used, size * TAIL_SHARE)

    def _density(self, work: Work) -> float:
        """Return the worth for each unit of work: what is shed last has the most."""
        cls = self.set.classes[work.cls]
        worth = cls.worth if self.set.counted_by_work else cls.worth / max(1.0, self._size(work))
        return worth * self.in_share[work.tenant] if work.tenant < len(self.in_share) else worth

    def _cold(self) -> bool:
        """Tell whether the cores may still be slow after the start."""
        return self.set.cold and self.now - self.born < self.set.warm_within_us

    def _crowd(self) -> float:
        """Return how many runs on the cores the server survives now; fewer while cold."""
        warm = 1.0
        if self._cold():
            warm = min(
                1.0,
                self.set.cold_share + (1.0 - self.set.cold_share) * (self.now - self.born) / self.set.warm_within_us,
            )
        return (1.0 + (self.set.crowd_multiple - 1.0) * warm) * self.cores - self.beside.running

    def _run_limit(self) -> float:
        """Return the run limit: climbed, at least the cores, under the crowd survived."""
        if self.room is not None:
            return float(self.room.slots)
        return max(self.cores, min(self.limit, self._crowd() * LIMIT_ROOM))

    # Events

    def _arrived(self, event: Arrived) -> None:
        """Hold a request, join it to the try it repeats, or turn it away."""
        cls = self.set.classes[event.cls]
        self.seq += 1
        self.read += 1
        if event.tenant < len(self.rates):
            self.rates[event.tenant] += not event.retry
        work = Work(event, self.seq)
        came = self.now - event.waited_us
        self.unread += (event.waited_us - self.unread) * WAIT_GAIN
        if self._cold() and len(self.callers_seen) < CALLERS_COUNTED:
            self.callers_seen.add(event.caller)
        key = event.subject or event.caller
        if key not in self.users:
            least = min((one.count for one in self.users.values()), default=0.0)
            self.users[key] = User(key, least)
        work.user = self.users[key]
        work.user.live += 1
        self.live[work.id] = work
        self.memory += work.memory
        work.due = max(event.due or came + cls.deadline_us, self.now)
        aim = cls.aim_us * (1.0 - WAY_BACK) + cls.aim_stretch * event.hint_us
        work.target = min(work.due, came + int(aim))
        self._queue(work, HELD)
        late = False
        if self.drain_at:
            self._bound(work)
            late = (self.now if event.split else came) > self.drain_at + self.set.drain_grace_us
        if cls.effect is Effect.KEYED:
            self._key(work, event.repeats, came + cls.window_us, late)
        elif event.repeats and not late:
            self._join(work)
        elif late:
            self._turn_away(work)
        elif self.set.fresh_us and event.subject and self.memory < self.set.memory_kb * MEMORY_START / 2:
            self._remember(work, KeyRecord(), work.due + self.set.fresh_us)
        past = self.room is not None and event.place >= self.room.levels[event.region] and work.state == HELD
        if self.memory > self.set.memory_kb * MEMORY_HOLD or past:
            self._turn_away(work)
        if not work.over:
            heapq.heappush(self.ends, (self._ends(work), work.seq, work))

    def _key(self, work: Work, repeats: str | None, until: int, late: bool) -> None:
        """Tie a keyed request to its earlier tries, so that one of them runs at the most.

        Guards against a second effect, whatever became of the first try: held (the newer takes its place, its
        caller has left the older), begun (join it), over (reuse its result). Turned away, its record stays.
        """
        record = work.record = self.records.get(repeats or "") or KeyRecord()
        record.ran = record.ran or (bool(repeats) and repeats not in self.records)
        if record.ran:
            self.records[work.id] = record
            self.expiries.append((until, record, work.id))
            self._turn_away(work) if late else self._join(work)
            return
        older, record.holder = record.holder, None
        if older:
            older.record = None
            self._turn_away(older)
        if late or (not record.kept and self.memory + self.set.key_kb > self.set.memory_kb * MEMORY_HOLD):
            self._turn_away(work)
            return
        record.holder = work
        self._remember(work, record, until)

    def _remember(self, work: Work, record: KeyRecord, until: int) -> None:
        """Keep a request in the table of repeats until then."""
        if not record.kept:
            self.memory += self.set.key_kb
            record.kept = True
        record.last, work.record = work.id, record
        self.records[work.id] = record
        until = max(until + self.set.tick_us, self.now + self.set.tick_us)
        self.expiries.append((until, record, work.id))
        self.out.append(Keep(work.id, until - self.now))

    def _join(self, work: Work) -> None:
        """Serve a repeat from the try it repeats."""
        self._unqueue(work)
        work.state = JOINED
        self.out.append(Reuse(work.id))

    def _gone(self, event: Gone) -> None:
        """Give up on a request whose caller left; a keyed run goes on, for the repeat that may come."""
        work = self.live.get(event.id)
        if work is None or work.answered:
            return
        work.answered = True
        if work.state in (HELD, PAUSED, JOINED):
            self._release_key(work)
            self._end(work)
        elif work.state == RUNNING and work.record is None:
            self._stop(work)

    def _run_ended(self, event: RunEnded) -> None:
        """Account for a run that ended, or queue it again after a pause."""
        work = self.live.get(event.id)
        if work is None:
            return
        if event.outcome is Outcome.CANCELLED and not work.answered:
            if work.state in (RUNNING, STOPPING):
                self._settle(work)
                self.on_cores.pop(work.id, None)
                if not self.pausable:
                    self.memory -= work.memory - work.kb
                    work.memory = work.kb
                self._queue(work, PAUSED if self.pausable else HELD)
                if not self.pausable and self.set.classes[work.cls].effect is not Effect.SAFE:
                    self._turn_away(work)
            return
        if event.outcome is Outcome.OK and work.ran:
            if work.id in self.on_cores:
                self._settle(work)
            self._learn(work)
        self._end(work, event.outcome is Outcome.OK)

    def _learn(self, work: Work) -> None:
        """Take a finished run into the usual run of its class, the pace and the throughput."""
        self.finished += self._size(work)
        self.seen[work.cls] += 1
        gain = max(USUAL_GAIN, 1.0 / self.seen[work.cls])
        self.usual[work.cls] += gain * (work.used - self.usual[work.cls])
        if work.hint:
            self.hint_mean += gain * (work.hint - self.hint_mean)
            self.used_mean += gain * (work.used - self.used_mean)
            self.hinted = self.used_mean / max(1.0, self.hint_mean)
        self.usual_mean += USUAL_GAIN * (work.used - self.usual_mean)
        if self.set.classes[work.cls].calls:
            self.calls_usual[work.cls] += max(gain, CALL_GAIN) * (work.calls - self.calls_usual[work.cls])
        if work.called:
            self.call_time[work.cls] += max(gain, CALL_GAIN) * (work.called - self.call_time[work.cls])

    def _drain(self, event: Drain) -> None:
        """Prepare to leave: out of the health checks at once, all answered before the stop."""
        self.drain_at = self.drain_at or max(1, self.now)
        self.last_answer = event.stop_at - int((event.stop_at - self.drain_at) * DRAIN_MARGIN)
        self.out += [Health(False), Log(f"drain: {len(self.live)} requests in hand")]
        for work in self.live.values():
            self._bound(work)
        self.ends = sorted((self._ends(work), work.seq, work) for work in self.live.values())

    def _bound(self, work: Work) -> None:
        """Have a request answered before the stop."""
        work.due = min(work.due, self.last_answer)
        work.target = min(work.target, work.due)

    def _shared(self, event: Beside) -> None:
        """Leave room for another process of this server: together both must stay under what it bears."""
        self.memory += event.memory_kb - self.beside.memory_kb
        self.beside = event

    def _bounded(self, event: Room) -> None:
        """Go by what others found: how many may run, and how far down the order of all requests is taken."""
        self.room, self.cores = event, max(FEWEST, event.cores)

    def load(self) -> Beside:
        """Return what this process holds of what it may share with another."""
        return Beside(self.memory - self.beside.memory_kb, len(self.on_cores))

    def _woke(self, event: Woke) -> None:
        """Take the gauges; the timer has done its part by waking the server."""
        self.gauges = event.gauges

    # Turning away

    def _release_key(self, work: Work) -> None:
        """Give up the table entry of a keyed request that never ran."""
        record = work.record
        if record and not record.ran and record.kept and record.holder is work:
            record.kept = False
            self.memory -= self.set.key_kb
            self.released.append((self.now + NAMED_FOR, work.id))
            self.out.append(Forget(work.id))

    def _turn_away(self, work: Work) -> None:
        """Answer a request without serving it, in the way its state and effect allow."""
        if work.answered or work.over:
            return
        work.answered = True
        if work.state == HELD and not work.ran and not (work.record and work.record.ran):
            self.shed += 1
            # Against storms of tries, each a reading: what was refused before, or finds the work asked far
            # above the cores, is not to try elsewhere. Hurts where this server is full and others are not.
            far = self.asked > (FULL_MARKED if self.set.marks_retry else FULL_UNMARKED)
            away = 1.0 if self.drain_at else min(1.0, self.pressure) * ADVICE
            away *= self.set.max_retry_after_us if self.set.retry_after else 0
            away = work.back if self.room is not None and not self.drain_at else away
            self.out.append(Refuse(work.id, int(away), (work.retry or far) and not self.drain_at))
            self._release_key(work)
            self._end(work)
            return
        self.out.append(Fail(work.id))
        if work.state in (HELD, PAUSED, JOINED):
            self._end(work)
        elif work.state == RUNNING:
            self._stop(work)

    def _ends(self, work: Work) -> int:
        """Return when a request is answered at the latest: past its aim only if that earns something."""
        late = self.set.classes[work.cls].late_share or work.state == JOINED
        return work.due if late else work.target

    def _expire(self) -> None:
        """Answer what is due and give up what can earn nothing more."""
        while self.ends and self.ends[0][0] <= self.now + self.set.tick_us:
            self._turn_away(heapq.heappop(self.ends)[2])
        while self.expiries and self.expiries[0][0] < self.now:
            _, record, name = self.expiries.popleft()
            self.records.pop(name, None)
            if record.last == name and record.kept:
                record.kept = False
                self.memory -= self.set.key_kb
        while self.released and self.released[0][0] <= self.now:
            self.records.pop(self.released.popleft()[1], None)
        while self.lingering and self.lingering[0] <= self.now:
            self.lingering.popleft()
        if len(self.ends) > 2 * len(self.live) + SPARE:
            self.ends = [end for end in self.ends if not end[2].over]
            heapq.heapify(self.ends)
        if len(self.expiries) > 2 * len(self.records) + SPARE:
            self.expiries = deque(one for one in self.expiries if one[2] in self.records)

    def _shed(self) -> None:
        """Turn away from the hold what cannot make its aim, the least worth for its work first.

        The hold is gone through by aim; where one would come too late behind all before it, the one of least
        density among these goes. Guards against overload, slow cores and calls; hurts if pace is misjudged.
        While requests wait long unread this acts with room to run too, so that the line unread drains.
        """
        fits = len(self.on_cores) + self.waiting <= self._run_limit()
        if fits and self.unread < UNREAD_LONG * self.usual_mean:
            return
        cores, ahead = self.cores, 0.0
        kept: list[tuple[float, int, Work, float]] = []
        begun = [
            work
            for work in self.live.values()
            if work.ran and work.target > self.now and work.state not in (JOINED, CALLING)
        ]
        for work in sorted([*begun, *self.held.values()], key=lambda one: (one.target, one.seq)):
            need = self._need(work)
            ahead += need / cores
            if work.ran:
                continue
            heapq.heappush(kept, (self._density(work), -work.seq, work, need))
            alone = need * (1.0 - 1.0 / cores) + self.call_time[work.cls]
            while kept and self.now + ahead * WAIT_MARGIN + alone > work.target:
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
        if len(self.calls_waiting) < self.calls_part:
            return
        part, ahead = max(1.0, self.calls_part - len(self.lingering)), 0.0
        calling = [
            work
            for work in self.live.values()
            if self.set.classes[work.cls].calls and not work.answered and work.state not in (CALLING, JOINED)
        ]
        kept: list[tuple[float, int, Work, float]] = []
        for work in sorted(calling, key=lambda one: (one.target, one.seq)):
            calls = max(float(work.state == AT_CALL), self.calls_usual[work.cls] - work.calls)
            length = self.call_each[work.cls] * calls
            ahead += length / part
            if length <= 0.0 or work.state not in (HELD, AT_CALL):
                continue
            worth = self._density(work) * (self._size(work) if self.set.counted_by_work else 1.0)
            heapq.heappush(kept, (worth / length, -work.seq, work, length))
            alone = length + (self._need(work) if work.state == HELD else 0.0)
            while kept and self.now + ahead * CALLS_MARGIN + alone > work.target:
                _, _, victim, freed = heapq.heappop(kept)
                ahead -= freed / part
                self._turn_away(victim)
                if victim is work:
                    break

    # Running

    def _stop(self, work: Work) -> None:
        """Pause running work, or end it where it was answered; effective only once confirmed."""
        if self.set.stopping is not Stopping.NONE and work.state == RUNNING:
            work.state = STOPPING
            self.out.append(Stop(work.id))

    def _next(self) -> User | None:
        """Return the least-served user whose next work fits the memory; equal counts go by aim.

        Work past its aim comes last: it earns little and would crowd out what is still in time.
        """
        room = self.set.memory_kb * MEMORY_START - self.memory
        best, best_key = None, (True, 0.0, 0)
        for user in self.users.values():
            if user.paused or (user.held and user.held[0].kb * (self.set.run_factor - 1.0) <= room):
                head = user.head()
                key = (head.target <= self.now, user.count, head.target)
                if best is None or key < best_key:
                    best, best_key = user, key
        return best

    def _slices(self) -> None:
        """End slices by pausing, if a user served less waits and the limit is full."""
        over = len(self.on_cores) - self._run_limit()
        user = self._next() if over >= 0 and self.waiting and self.pausable else None
        if user is None:
            return
        length = SLICE_SHARE * self.usual_mean
        running = [work for work in self.on_cores.values() if work.state == RUNNING and not work.answered]
        for work in running:
            self._settle(work)
        best, stops = (user.head().target <= self.now, user.count), 0
        for work in sorted(running, key=lambda one: (one.target > self.now, -one.user.count)):
            worse = (work.target <= self.now, work.user.count) > best
            if stops < self.waiting and (over > stops or (work.slice >= length and worse)):
                self._stop(work)
                stops += 1

    def _start(self) -> None:
        """Start or resume the least-served users' work up to the run limit."""
        limit = self._run_limit()
        self.turns += 1
        while self.waiting and len(self.on_cores) + 1 <= limit:
            user = self._next()
            back = len(self.on_cores) + (0 if self.pausable else len(self.calling))
            if user is None or (self.room is None and back + 1 > self._crowd() * CROWD_ROOM):
                break
            work = user.head()
            self._unqueue(work)
            if work.state == HELD:
                self.memory += work.kb * self.set.run_factor - work.memory
                work.memory = work.kb * self.set.run_factor
            work.state, work.ran = RUNNING, True
            if work.record:
                work.record.ran = True
            work.mark, work.slice = self.clock, 0.0
            self.on_cores[work.id] = work
            self.out.append(Run(work.id))
        self.full_turns += self.waiting > 0

    def _climb(self) -> None:
        """Climb the run limit on finished work: fast while cores idle and work waits, by steps else."""
        if self.now < self.climb_at:
            return
        rate = self.finished / (self.now - self.climb_at + CLIMB_EVERY)
        self.climb_at = self.now + CLIMB_EVERY
        use = self.gauges.core_use
        if use is not None and use < CORES_IDLE:
            if self.full_turns * 2 > self.turns:
                self.limit += max(1.0, self.limit / 4.0)
        elif len(self.on_cores) >= self.cores:
            self.rate += (rate - self.rate) * CLIMB_GAIN
            if self.rate < self.rate_before * (1.0 - CLIMB_NOISE):
                self.direction = -self.direction
            elif use is not None and self.rate < self.rate_before * (1.0 + CLIMB_NOISE):
                self.direction = -1
            self.limit += self.direction * CLIMB_STEP * self.limit / self.cores
            self.rate_before = self.rate
        self.limit = self._run_limit()
        self.finished = self.full_turns = self.turns = 0
        self._tell()
        self._keep_open()
        self._weigh_tenants()
        self._check_health()

    def _check_health(self) -> None:
        """Leave the roster while requests wait long unread though little is asked, and return to try again.

        Guards against slow or stuck cores, which drown in reading whatever is refused; a full one reads much.
        Hurts where all turn slow at once, hence the returns.
        """
        slow = not self._cold() and self.asked < SLOW_ASKED and self.unread > SLOW_WAIT * self.usual_mean
        if not self.well and self.now >= self.back_at and not self.drain_at:
            self.well, self.unread = True, 0.0
            self.out.append(Health(True))
        elif self.well and slow and not self.drain_at:
            failed = self.now - self.back_at < 2 * self.away
            self.away = min(AWAY_MOST, 2 * self.away) if self.back_at and failed else AWAY_LEAST
            self.well, self.back_at = False, self.now + self.away
            self.out += [Health(False), Log("slow cores: off the roster for a time")]

    def _keep_open(self) -> None:
        """Have a full table of connections turn over as fast as the server can serve.

        Where each caller comes seldom, each request needs a connection: a slow turnover keeps callers out
        of a server with room, a faster one lets in a storm of tries, each at the cost of a handshake and a
        reading. A limit counts from a connection's last use, so it is set ahead; hurts where load turns fast.
        """
        self.table = max(self.table, self.gauges.connections or 0.0)
        serve = self.usual_mean * self.pace / self.cores
        longest = float(self.set.idle_max_us)
        idle = self.table * serve / TURNOVER
        seldom = self.set.callers * self.usual_mean / self.cores > longest * COMES_AGAIN
        idle = min(longest, max(longest * IDLE_LEAST, idle)) if seldom else longest
        if abs(idle - self.idle) > IDLE_CHANGE * self.idle:
            self.idle = idle
            self.out.append(IdleLimit(int(idle)))

    def _weigh_tenants(self) -> None:
        """Weigh each tenant by the part of its requests that its share covers, lest it crowd out others.

        Counts are relative, as unmarked tries swell all alike, and start as if some were seen in each share.
        """
        allowed = sum(tenant.allowance_per_s for tenant in self.set.tenants)
        seen = sum(self.rates)
        for at, tenant in enumerate(self.set.tenants):
            part = (seen + RATE_PRIOR) * tenant.allowance_per_s / max(allowed, 1e-9)
            had = self.rates[at] + RATE_PRIOR * part / (seen + RATE_PRIOR)
            over = 1.0 - part / had if 0.0 < part < had else 0.0
            self.in_share[at] = 1.0 - over * (1.0 - self.set.over_share_worth)
            self.rates[at] *= 1.0 - CLIMB_EVERY / RATE_SPAN

    def _tell(self) -> None:
        """Set the free value from how much is being shed."""
        share = self.shed / self.read if self.read else 0.0
        asked = self.read * self.usual_mean / (self.cores * CLIMB_EVERY)
        self.asked += (asked - self.asked) * ASKED_GAIN
        self.pressure += (share - self.pressure) / 2.0
        self.read = self.shed = 0
        kind, value = self.set.free_value, self.said
        if kind is FreeValue.LEVEL:
            level = self.level * (1.0 - LEVEL_FALL) + LEVEL_RISE * share - LEVEL_REST
            self.level = value = round(min(LEVEL_TOP, max(0.0, level)), 3)
        elif kind is FreeValue.CREDIT:
            value = self._credit()
        elif kind is FreeValue.WEIGHT:
            value = round(max(0.05, 1.0 - self.pressure), 2)
        if value != self.said:
            self.out.append(Say(value))
        self.said = value

    def _credit(self) -> float:
        """Return how many requests each caller is invited to have here at once.

        Callers know nothing of each other. While cold, all their invitations stay within what it survives, in
        fractions that callers take by chance: one for each would add up to more with each caller.
        """
        callers = max(1, self.set.callers, len(self.callers_seen))
        some = max(1.0, 2.0 * len(self.live) / callers)
        value = round(some, 1) if self.pressure > CREDIT_FROM else CREDIT_TOP
        return min(value, int(self._crowd() / callers * 1000.0) / 1000.0) if self._cold() else value

    # Calls

    def _at_call(self, event: AtCall) -> None:
        """Take a request that wants to call off the run limit."""
        work = self.live.get(event.id)
        if work is None or work.state not in (RUNNING, STOPPING):
            return
        self._settle(work)
        self.on_cores.pop(work.id, None)
        work.state, work.tries = AT_CALL, 0
        work.calls += 1
        work.call_from = work.call_until = self.now
        if work.answered:
            self.out.append(Fail(work.id))
        else:
            self.calls_waiting[work.id] = work

    def _call_ended(self, event: CallEnded) -> None:
        """Run on after a good call; after a failed one repeat it, go without, or fail."""
        work = self.live.get(event.id)
        if work is None or work.state != CALLING:
            return
        del self.calling[work.id]
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET):
            self.lingering.append(self.now + self.linger)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            # Learnt from the good ones alone, calls would seem quick just when most come too late.
            took = event.took_us * (1.0 if event.outcome is Outcome.OK else CALL_LATE)
            usual = self.call_each[work.cls] or took
            self.call_each[work.cls] = usual + CALL_GAIN * (took - usual)
        if event.outcome is Outcome.OK:
            self._back_on_cores(work)
            return
        work.state = AT_CALL
        work.tries += 1
        cls = self.set.classes[work.cls]
        if (cls.effect is Effect.SAFE or event.outcome in NEVER_RAN) and work.tries < CALL_TRIES:
            work.call_until = self.now + int(cls.aim_us * CALL_PAUSE) * work.tries
            self.calls_waiting[work.id] = work
        elif cls.skip_worth:
            self.out.append(Skip(work.id))
            self._back_on_cores(work)
        else:
            self._turn_away(work)

    def _back_on_cores(self, work: Work) -> None:
        """Take a request that runs on after its call among those on the cores."""
        self.calls_waiting.pop(work.id, None)
        work.called += self.now - work.call_from
        work.state = RUNNING
        work.mark = self.clock
        self.on_cores[work.id] = work

    def _may_call(self) -> bool:
        """Return whether one more call fits: the share of a shared dependency, or the crowd on return."""
        hand = len(self.calling) + len(self.lingering)
        if self.set.below is Below.SHARED:
            return hand + 1 <= max(1.0, self.calls_part) and self.calls_mean < self.calls_part
        return hand + 1 <= max(self.cores / 2.0, self._crowd() * CROWD_ROOM - len(self.on_cores))

    def _make_calls(self) -> None:
        """Make the calls that fit, by aim; go without one that would come too late."""
        for work in sorted(self.calls_waiting.values(), key=lambda one: (one.target, one.seq)):
            if work.answered:  # its run ends at this call
                continue
            cls = self.set.classes[work.cls]
            left = (work.target if self.now < work.target else work.due) - self.now
            left -= int(self._size(work) * self.pace * TAIL_SHARE) if cls.skip_worth else 0
            if cls.skip_worth and left < self.call_each[work.cls] * CALL_WORTH_TRYING:
                self.out.append(Skip(work.id))
                self._back_on_cores(work)
            elif not cls.skip_worth and left < self.call_each[work.cls] * CALL_HOPE:
                self._turn_away(work)
            elif work.call_until <= self.now and self._may_call():
                del self.calls_waiting[work.id]
                self.calling[work.id] = work
                work.state = CALLING
                if self.set.below is Below.SHARED:
                    # A hung call counts below while it is waited for: where the part is under one, one in
                    # hand on each server would bring down what all share. Hurts where calls turn slower.
                    room = (self.calls_part - self.calls_mean) * self.set.calls_span_us * CALL_SPAN
                    left = min(left, int(max(room, self.call_each[work.cls] * CALL_PATIENCE)))
                if cls.effect is Effect.SAFE and self.call_each[work.cls]:
                    # A reply may never come: with time left the call is made again, which a write's is not.
                    left = min(left, int(self.call_each[work.cls] * CALL_SILENT))
                self.out.append(Call(work.id, max(self.set.tick_us, left)))

    def _wake(self) -> None:
        """Keep one timer, for the next thing due: an answer, a slice, a call to repeat, the next climb."""
        times = [self.climb_at, *(work.call_until for work in self.calls_waiting.values())]
        if self.ends:
            times.append(self.ends[0][0] - self.set.tick_us)
        if self.waiting or self.calls_waiting:
            times.append(self.now + LOOK_EVERY)
            if self.pausable:
                length = SLICE_SHARE * self.usual_mean - self.clock
                slower = max(1.0, len(self.on_cores) / self.cores)
                times += [
                    self.now + int((length - work.slice + work.mark) * slower) + 1
                    for work in self.on_cores.values()
                    if work.state == RUNNING
                ]
        at = max(self.now + self.set.tick_us, min(time for time in times if time > self.now))
        if self.wake_at <= self.now or self.wake_at > at:
            self.token += 1
            self.wake_at = at
            self.out.append(Wake(at - self.now, self.token))
