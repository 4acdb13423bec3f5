"""Runs that are requests sent on to new servers: what stands in the kernel's place in a translator.

The core commands runs as it does a kernel's; each becomes a job of the attempt controller, whose attempts go over
HTTP/2. A charge's intent is durable before it is sent, its outcome before its answer is given; what a death left in
doubt is asked after at the server that the intent names.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from sagetrestle.attempts.controller import (
    CancelSend,
    AttemptController,
    AttemptDecision,
    JobFinished,
    QueryMember,
    Send,
)
from sagetrestle.attempts.values import AttemptOutcome, Fate, Job, Result
from sagetrestle.interface import Effect, Settings
from sagetrestle.membership.values import Endpoint, Instance, Member, MemberState
from sagetrestle.net.protocol import v2
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.routing import inputs
from sagetrestle.net.routing.effects import RunCommand
from sagetrestle.net.routing.values import CommandKind, RunEnd
from sagetrestle.net.transport.ends import Post
from sagetrestle.net.transport.v2_client import V2Client
from sagetrestle.recovery.effects import EffectTable, Entry, Kind, Standing, replay
from sagetrestle.router import NoRoute, RouteRequest
from sagetrestle.store.journal import Journal
from sagetrestle.translation.convert import TranslationError, to_new, to_old
from sagetrestle.translation.mapping import Mapping
from sagetrestle.translation.problems import NEVER_RAN, classify_response

if TYPE_CHECKING:  # what is off is not loaded
    from sagetrestle.objectives.values import ObjectiveConfig
    from sagetrestle.quota.permits import PermitReport, PermitGrant
    from sagetrestle.traffic.region_selection import RegionSelector
    from sagetrestle.traffic.dispatch import Dispatcher
    from sagetrestle.takeover.books import Inquire

DescribeRequest = Callable[[str], tuple[str | None, str, int, bool, float]]
TICK_INTERVAL_S = 0.01
IN_DOUBT_CHECK_INTERVAL_US = 1_000_000  # between questions after what a death left in doubt
IN_DOUBT_QUERY_TIMEOUT_US = 2_000_000  # for one question and its repeats; jobs for the key wait so long at the most
MAX_GROUP_SIZE = 256
COMPACT_AFTER_ENTRIES = 50_000  # entries written, after which a snapshot takes the place of all
MAX_LOSS_KINDS = 1_000  # kinds that are remembered as told
NO_SERVER_RETRY_AFTER_US = 1_000_000  # how long to stay away where no server can have a key
INQUIRY_TIMEOUT_S = 1.0  # for the answer to one question of the fleet's


class GroupCommit:
    """Entries made durable in groups: what comes while one group is written is the next."""

    def __init__(self, journal: Journal, in_thread: Callable[[Callable[[], Any]], Any]) -> None:
        self.journal, self._in_thread = journal, in_thread
        self._pending: deque[tuple[list[Entry], Callable[[bool], None]]] = deque()
        self._busy = self._mark_due = False
        self._compact_entries: Callable[[], list[Entry]] | None = None
        self.groups = self.failures = self.written = 0

    def write(self, entries: list[Entry], done: Callable[[bool], None]) -> None:
        """Make entries durable; ``done`` is told whether they are."""
        self._pending.append((entries, done))
        self._next()

    def compact(self, living: Callable[[], list[Entry]]) -> None:
        """Put a snapshot in place of all entries, between two groups; ``living`` is asked when nothing is out."""
        self._compact_entries = living
        self._next()

    def mark(self) -> None:
        """Have the journal's mark follow it, between two groups."""
        self._mark_due = True
        self._next()

    def _next(self) -> None:
        if self._busy:
            return
        if self._mark_due:
            self._mark_due, self._busy = False, True
            self._in_thread(self.journal.remember).addCallbacks(
                lambda _: self._group_finished([], True), lambda _: self._group_finished([], False)
            )
            return
        if self._compact_entries is not None:
            # Nothing is out now, so the table and the file say the same: a snapshot of one is one of the other.
            living, self._compact_entries = self._compact_entries, None
            entries = living()
            self._busy = True
            self._in_thread(lambda: self.journal.compact(entries)).addCallbacks(
                lambda _: self._group_finished([], True), lambda _: self._group_finished([], False)
            )
            return
        if not self._pending:
            return
        self._busy = True
        group = [self._pending.popleft() for _ in range(min(MAX_GROUP_SIZE, len(self._pending)))]
        entries = [one for part, _ in group for one in part]
        self._in_thread(lambda: self.journal.append(entries)).addCallbacks(
            lambda _: self._group_finished(group, True), lambda _: self._group_finished(group, False)
        )

    def _group_finished(self, group: list[tuple[list[Entry], Callable[[bool], None]]], durable: bool) -> None:
        self._busy = False
        self.groups += 1
        self.failures += not durable
        self.written += durable and sum(len(part) for part, _ in group)
        for _, done in group:
            done(durable)
        self._next()


@dataclass(frozen=True)
class UpstreamConfig:
    """What the operators set; times in microseconds."""

    window_us: int


@dataclass
class _Run:
    """One run: what the core commanded, and its effect's key where it charges."""

    what: RunCommand
    cls: str
    key: str | None
    schema: int
    started_us: int
    call: v2.Call | None = None


@dataclass
class _FleetDispatch:
    """What bounds sends for the whole fleet, and who hears of it."""

    sends: Dispatcher
    reported: Callable[[tuple[PermitReport, ...]], None]
    found: Callable[[tuple[int, float, dict[str, int], dict[str, int]]], None]
    waiting: Callable[[], int]
    room: tuple[int, float] = (-1, 0.0)  # as it was told last


class Upstream:
    """Carries out the core's commands on new servers; offers what the kernel's link does."""

    def __init__(
        self,
        reactor: Any,
        post: Post,
        settings: Settings,
        mapping: Mapping,
        attempt_controller: AttemptController,
        journal: GroupCommit,
        log: Callable[[str], None],
        unix_us: Callable[[], int],
        terms: UpstreamConfig,
        client: Any = None,
    ) -> None:
        self._reactor, self._post, self._settings, self._mapping = reactor, post, settings, mapping
        self.router, self.attempt_controller, self._journal, self._log = (
            attempt_controller.router,
            attempt_controller,
            journal,
            log,
        )
        self._unix_us, self._config = unix_us, terms
        self._client = client or V2Client(reactor)
        self._classes = {cls.name: cls for cls in settings.classes}
        self._runs: dict[str, _Run] = {}
        self._streams: dict[tuple[str, int], Any] = {}
        self._serial = 0
        self.effects = EffectTable(terms.window_us)
        self._journal_failing = False
        self._next_in_doubt_check_us = 0
        self._in_doubt_jobs: dict[str, list[Job]] = {}  # keys that are asked after, and jobs that wait for the word
        self._logged_losses: set[tuple[str, str, str]] = set()
        self._describe: DescribeRequest = lambda id: (None, "", 0, False, 0.0)
        self._timer: Any = None
        self.fleet = ""  # its name, where there is one
        self._fleet_dispatch: _FleetDispatch | None = None
        self.objectives: ObjectiveConfig | None = None  # what tenants are promised, before the fleet is joined
        self.regions: RegionSelector | None = None  # which regions requests go to, where tenants are promised something

    def recover(self, entries: Iterable[Entry], spoilt: Iterable[str], why: str = "") -> None:
        """Take up what the journal held; keys in doubt are bound to the server that may have run them.

        ``why`` says what is wrong with the journal as a whole, if anything is.
        """
        if why:
            self._log(f"journal: {why}")
        self.effects, faults = replay(entries, self._config.window_us)
        lost = [f"key {key!r}: its entry can not be read, it is in doubt" for key in spoilt if key]
        for fault in [*faults, *lost]:
            self._log(f"journal: {fault}")
        now = self._unix_us()
        doubts = self.effects.in_doubt(now)
        for one in doubts:
            if one.server:
                self.router.bind(one.key, one.server, one.boot, self._now())
        self._log(f"journal: {len(self.effects.effects)} effects, {len(doubts)} in doubt")
        if self.effects.lost_us is not None:
            left = (self.effects.lost_us + self._config.window_us - now) / 1e6
            self._log(
                f"journal: entries of unknown keys are lost: charges whose end is not known are in doubt, new ones "
                f"too, for {max(0.0, left):.0f} s"
            )

    def set_describe_request(self, describe: DescribeRequest) -> None:
        """Take what tells of a request's id its key, tenant, due time, retry mark and hint."""
        self._describe = describe

    def limit_sends(
        self,
        sends: Dispatcher,
        reported: Callable[[tuple[PermitReport, ...]], None],
        found: Callable[[tuple[int, float, dict[str, int], dict[str, int]]], None],
        waiting: Callable[[], int],
        owed: Callable[[str], bool],
    ) -> None:
        """Have sends bounded for the whole fleet.

        ``reported`` hears what granters are to be told, ``found`` the room there is (now, on the mean, and by server
        what was answered since and is on the way); ``waiting`` tells how much work waits in the core, ``owed`` whether
        anybody waits for an answer.
        """
        self._fleet_dispatch = _FleetDispatch(sends, reported, found, waiting)
        self.attempt_controller.capacity, self.attempt_controller.is_awaited = sends, owed
        sends.permits.update_servers(
            self._now(), ((one.instance.name, one.instance.boot) for one in self.router.view.members.values())
        )

    def apply_grant(self, what: PermitGrant) -> None:
        """Take a granter's word."""
        if self._fleet_dispatch is not None and self._fleet_dispatch.sends.apply_grant(self._now(), what):
            self._use_capacity(self._fleet_dispatch)

    def _use_capacity(self, fleet_dispatch: _FleetDispatch) -> None:
        """Send what waited for room, report what is due, and tell of the room that is left."""
        now = self._now()
        self._execute(self.attempt_controller.send_queued(now))
        if reports := fleet_dispatch.sends.tick(now, fleet_dispatch.waiting() + self.attempt_controller.queued_count()):
            fleet_dispatch.reported(tuple(reports))
        slots, cores = fleet_dispatch.sends.permits.capacity(now)
        slots += self.attempt_controller.queued_count()  # what waits for its one server's slot takes none of another's
        if (
            slots != fleet_dispatch.room[0]
            or abs(cores - fleet_dispatch.room[1]) > 0.05 * fleet_dispatch.room[1]
            or fleet_dispatch.sends.done
        ):
            fleet_dispatch.room = (slots, cores)
            fleet_dispatch.found((slots, cores, dict(fleet_dispatch.sends.done), fleet_dispatch.sends.in_use()))
            fleet_dispatch.sends.done.clear()

    def _now(self) -> int:
        return int(self._reactor.seconds() * 1e6)

    # What the fleet asks

    def excluded_servers(self) -> tuple[str, ...]:
        """Return the servers that take no work from here: ejected, or removed for the whole fleet."""
        return self.attempt_controller.ejected_members(self._now()) + (
            self._fleet_dispatch.sends.out() if self._fleet_dispatch is not None else ()
        )

    def choose_place(self, cls: str, tenant: str, key: str, who: str = "") -> str:
        """Name the server that a new run of a key is sent to, for its record; empty where there is none.

        ``who`` is whom promises name: where something is promised it lies in a region that is allowed.
        """
        now, name = self._now(), v2.effect_key(tenant, cls, key)
        out = self.excluded_servers()
        if self.regions is not None and (groups := self.regions.servers(who, cls, name, now, out)):
            for servers in groups:
                route = self.router.choose(
                    RouteRequest(name, out + self.attempt_controller.members_not_in(servers)), now
                )
                if not isinstance(route, NoRoute):
                    return format_place(route.member.instance)
            return ""  # it may lie nowhere else
        wanted = RouteRequest(name, out)
        route = self.router.choose(wanted, now)
        if isinstance(route, NoRoute):  # all are left out
            route = self.router.choose(RouteRequest(wanted.key, fixed=True), now)
        return "" if isinstance(route, NoRoute) else format_place(route.member.instance)

    def take_outcome_counts(self) -> tuple[tuple[str, int, int, int], ...]:
        """Return what requests to each server came to since this was asked: name, start, good, bad."""
        counts = self.attempt_controller.take_counts()
        members = self.router.view.members
        return tuple(
            (name, members[name].instance.boot, good, bad) for name, (good, bad) in counts.items() if name in members
        )

    def eject_server(self, name: str, boot: int) -> None:
        """Leave a server out that others convicted, as if it had failed here."""
        member = self.router.view.members.get(name)
        if member is not None and member.instance.boot == boot:
            self.attempt_controller.eject(name, self._now())

    def _recorded_member(self, place: str) -> Member | None:
        """Return the server that a record names, None where another start under its name took its place."""
        instance = parse_place(place)
        known = self.router.view.members.get(instance.name) if instance is not None else None
        if instance is None or known is not None and known.instance.boot != instance.boot:
            return None
        return Member(instance, MemberState.ANNOUNCED, 0)

    def query_outcome(self, what: Inquire, told: Callable[[Kind, bytes, bool], None]) -> None:
        """Ask a server what became of a run; ``told`` hears its end once there is one, and whether that is fenced.

        Asking is safe to repeat and is repeated by whoever asked. A server that checks tokens takes nothing of an
        earlier epoch once it was asked under a later one, and its answer says so.
        """
        said, member = what.what, self._recorded_member(what.what.where)
        if member is None or said.cls not in self._mapping.classes:
            return  # nobody here can tell: it stays in doubt
        host, port = member.instance.endpoint
        token = v2.fencing_token(self.fleet, what.partition, what.epoch)
        headers, data = v2.encode_question(v2.effect_key(said.tenant, said.cls, said.key), f"{host}:{port}", token)
        over = False

        def came(end: AttemptOutcome, response: v2.Response | None) -> None:
            nonlocal over
            over = True
            fate, answer = parse_fate(end, response)
            if fate is Fate.DONE:
                found, result = self._translate_result(
                    Job(said.id, said.cls, said.tenant, 0, said.key), said.cls, Result(AttemptOutcome.ANSWERED, answer)
                )
                told(Kind.OUTCOME if found is RunEnd.DONE else Kind.FAILED, result, True)
            elif fate is Fate.FAILED:
                told(Kind.FAILED, b"", True)
            elif fate is Fate.UNKNOWN:
                assert response is not None
                fenced = response.value.get("fenced")
                told(Kind.NEVER, b"", isinstance(fenced, int) and fenced >= what.epoch)

        stream = self._client.send((host, port), headers, data, came)
        self._reactor.callLater(INQUIRY_TIMEOUT_S, lambda: None if over else stream.cancel())

    # What the core asks of a kernel

    def connect(self, number: int, address: tuple[str, int]) -> None:
        """Stand at once: there is no link to set up."""
        self._post(inputs.KernelConnected(number))

    def open(self, serial: int) -> None:
        """Be up, and warm."""
        self._post(inputs.KernelBooted(cold=False, age_us=3_600_000_000))
        if self._timer is None:
            self._tick()

    def ask_gauges(self, cookie: str) -> None:
        """Tell how busy the runs are."""
        share = len(self._runs) / max(1, self._settings.cores)
        self._post(inputs.GaugesRead(cookie, (min(1.0, share), float(len(self._runs)), 0.0, 0.0)))

    def command(self, what: RunCommand) -> None:
        """Start a run; there is nothing to pause or to reply to."""
        if what.kind is CommandKind.START and what.id not in self._runs:
            self._start(what)

    def stop(self) -> None:
        """Do nothing more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._client.keep(set())

    # Runs

    def _start(self, what: RunCommand) -> None:
        mapping = self._mapping.classes[what.class_name]
        key, tenant, due_us, retry, hint_ms = self._describe(what.id)
        charge = self._classes[what.class_name].effect is not Effect.SAFE
        run = _Run(what, what.class_name, None, self._mapping.schema, self._now())
        self._runs[what.id] = run
        try:
            value, lost = to_new(mapping, what.body)
        except TranslationError as error:
            self._log(f"request {what.id} can not be translated: {error}")
            self._finish_run(what.id, RunEnd.REJECTED)
            return
        self._note_losses(what.class_name, "requests", lost)
        if charge and key is not None:
            run.key = v2.effect_key(tenant, what.class_name, key)
        job, token = Job(what.id, what.class_name, tenant, due_us, run.key, retry), ""
        if what.token is not None:
            member, (partition, epoch, _) = self._recorded_member(what.place), what.token
            if member is None:  # no server takes it, or the one that may have it is not the one that it was
                self._finish_run(what.id, RunEnd.NEVER_RAN, retry_after_us=NO_SERVER_RETRY_AFTER_US)
                return
            job, token = job._replace(member=member), v2.fencing_token(self.fleet, partition, epoch)
        self._call(run, value, tenant, retry, hint_ms, token)
        self._submit_job(job)

    def _call(self, run: _Run, value: Any, tenant: str, retry: bool, hint_ms: float, token: str) -> None:
        run.call = v2.Call(
            self._mapping.classes[run.cls].new, value, run.schema, 0, run.key, retry, hint_ms, tenant, token
        )

    def _submit_job(self, job: Job) -> None:
        """Begin a job as its key stands: what ran is answered, what is in doubt is asked after first."""
        if job.key is not None and job.key in self._in_doubt_jobs:
            self._in_doubt_jobs[job.key].append(job)
            return
        if job.key is not None:
            effect = self.effects.get(job.key, self._unix_us())
            standing = effect.standing if effect else Standing.FREE
            if standing is Standing.DONE:
                assert effect is not None
                self._finish_run(job.id, RunEnd.DONE, effect.result)
                return
            if standing is Standing.FAILED:
                self._finish_run(job.id, RunEnd.CRASHED)
                return
            if standing is Standing.IN_DOUBT:
                assert effect is not None
                if effect.server:
                    job = job._replace(in_doubt=(effect.server, effect.boot))
                elif job.member is None:  # nobody could settle it
                    self._finish_run(job.id, RunEnd.IN_DOUBT)
                    return
                # Else the fleet's records, which outlive this journal, say that it never ran.
        self._execute(self.attempt_controller.submit(self._now(), job))

    def _finish_run(self, id: str, end: RunEnd, result: bytes = b"", retry_after_us: int = 0) -> None:
        run = self._runs.pop(id, None)
        if run is None:
            return
        self._serial += 1
        self._post(inputs.RunFinished(self._serial, id, end, self._now() - run.started_us, result, retry_after_us))

    # The keeper's decisions

    def _execute(self, decisions: list[AttemptDecision]) -> None:
        for decision in decisions:
            match decision:
                case Send():
                    self._send(decision)
                case QueryMember():
                    self._query_member(decision)
                case CancelSend(job, number):
                    stream = self._streams.pop((job.id, number), None)
                    if stream is not None:
                        stream.cancel()
                case JobFinished(job, result):
                    self._job_finished(job, result)

    def _send(self, send: Send) -> None:
        """Send an attempt; a charge's intent is durable first."""
        if send.job.key is None:
            self._post_attempt(send)
            return
        instance = send.member.instance
        entry = Entry(Kind.INTENT, send.job.key, self._unix_us(), instance.name, instance.boot, send.job.route.encode())
        effect = self.effects.get(send.job.key, entry.at_us)
        entries = [entry]
        if effect is not None and effect.standing is Standing.IN_DOUBT:
            if (effect.server, effect.boot) == (entry.server, entry.boot):  # a further attempt at the same server
                self._post_attempt(send)
                return
            # It is proven that the server before did not run it, or the router would have held it there: without
            # both entries a death now would have the wrong server asked, and the charge run again.
            entries = [Entry(Kind.NEVER, entry.key, entry.at_us), entry]
        self._journal.write(entries, lambda durable: self._intent_written(send, entries, durable))

    def _intent_written(self, send: Send, entries: list[Entry], durable: bool) -> None:
        if not durable:
            self._log_journal_failure()
            self._attempt_ended(send, AttemptOutcome.NOT_SENT, None, final=True)
            return
        self._journal_failing = False
        for entry in entries:
            self.effects.take(entry)
        self._post_attempt(send)

    def _log_journal_failure(self) -> None:
        if not self._journal_failing:
            self._journal_failing = True
            self._log("journal can not be written: charges are refused, safe work goes on")

    def _post_attempt(self, send: Send) -> None:
        run = self._runs.get(send.job.id)
        if run is None:
            return
        assert run.call is not None
        call = run.call._replace(deadline_ms=max(1, send.timeout_us // 1000))
        host, port = send.member.instance.endpoint
        headers, data = v2.encode_call(call, f"{host}:{port}")
        self._streams[(send.job.id, send.number)] = self._client.send(
            (host, port), headers, data, lambda end, response: self._attempt_answered(send, end, response)
        )

    def _attempt_answered(self, send: Send, end: AttemptOutcome, response: v2.Response | None) -> None:
        self._streams.pop((send.job.id, send.number), None)
        if response is None:
            self._attempt_ended(send, end, None)
            return
        said = classify_response(response.status, response.value, response.retry_after)
        if said.end is not AttemptOutcome.ANSWERED:
            self._attempt_ended(send, said.end, None, said.retry_after_us, said.final)
            return
        try:
            answer = v2.answer_of(response.value, self._mapping.schema)
        except ProtocolError as error:
            self._log(f"request {send.job.id}: an answer that can not be read: {error}")
            self._attempt_ended(send, AttemptOutcome.MALFORMED_ANSWER, None)
            return
        self._attempt_ended(send, AttemptOutcome.ANSWERED, answer)

    def _attempt_ended(
        self, send: Send, end: AttemptOutcome, answer: Any, retry_after_us: int = 0, final: bool = False
    ) -> None:
        self._execute(
            self.attempt_controller.attempt_ended(
                self._now(), send.job.id, send.number, end, answer, retry_after_us, final
            )
        )
        if self._fleet_dispatch is not None:
            self._use_capacity(self._fleet_dispatch)

    def _query_member(self, ask: QueryMember) -> None:
        assert ask.job.key is not None
        host, port = ask.member.instance.endpoint
        headers, data = v2.encode_question(ask.job.key, f"{host}:{port}")
        self._client.send(
            (host, port),
            headers,
            data,
            lambda end, response: self._execute(
                self.attempt_controller.fate_reported(self._now(), ask.job.id, ask.number, *parse_fate(end, response))
            ),
        )

    def _job_finished(self, job: Job, result: Result) -> None:
        """Give a run its end: an outcome is durable before its answer, and a proof that nothing ran frees the key."""
        run = self._runs.get(job.id)
        if run is None and not job.query_only:
            return
        cls = run.cls if run is not None else job.route
        end, data = self._translate_result(job, cls, result)
        if job.key is None:
            self._finish_run(job.id, end, data, result.retry_after_us)
            return
        entry = self._settling_entry(job.key, end, data, result)
        if entry is None:
            self._finish_job(job, end, data, result)
            return

        def durable(done: bool) -> None:
            if done:
                self.effects.take(entry)
            else:
                self._log_journal_failure()  # it stays in doubt: the server knows its answer, and is asked again
            self._finish_job(job, end, data, result)

        self._journal.write([entry], durable)

    def _finish_job(self, job: Job, end: RunEnd, data: bytes, result: Result) -> None:
        """End the run of a charge; what waited for the word on its key goes on by it."""
        self._finish_run(job.id, end, data, result.retry_after_us)
        if job.query_only and job.key is not None:
            for waiting in self._in_doubt_jobs.pop(job.key, ()):
                self._submit_job(waiting)

    def _settling_entry(self, key: str, end: RunEnd, data: bytes, result: Result) -> Entry | None:
        """Return the entry that settles an effect, or None where it stays as it is."""
        now = self._unix_us()
        if self.effects.standing(key, now) is not Standing.IN_DOUBT:
            return None
        if end is RunEnd.DONE:
            return Entry(Kind.OUTCOME, key, now, result=data)
        if not result.ran:
            return Entry(Kind.NEVER, key, now)
        if result.end is AttemptOutcome.ANSWERED or result.settled:
            return Entry(Kind.FAILED, key, now)  # it ran, and failed, or the old side can not be given the answer
        return None

    def _translate_result(self, job: Job, cls: str, result: Result) -> tuple[RunEnd, bytes]:
        if result.end is AttemptOutcome.ANSWERED:
            try:
                data, lost = to_old(self._mapping.classes[cls], result.answer)
            except TranslationError as error:
                self._log(f"request {job.id}: its answer is not given, it would not be faithful: {error}")
                return RunEnd.CRASHED, b""
            self._note_losses(cls, "answers", lost)
            return RunEnd.DONE, data
        if not result.ran:
            return RunEnd.NEVER_RAN, b""
        return (RunEnd.IN_DOUBT if job.key is not None and not result.settled else RunEnd.CRASHED), b""

    def _note_losses(self, cls: str, what: str, lost: tuple[str, ...]) -> None:
        """Name each kind of loss once: it comes with every request alike."""
        for one in lost:
            kind = (cls, what, one.partition(":")[0])
            if kind not in self._logged_losses and len(self._logged_losses) < MAX_LOSS_KINDS:
                self._logged_losses.add(kind)
                self._log(f"{what} of {cls} lose something: {one}")

    # Time

    def _tick(self) -> None:
        self._execute(self.attempt_controller.tick(self._now()))
        if self._fleet_dispatch is not None:
            self._use_capacity(self._fleet_dispatch)
        if self._now() >= self._next_in_doubt_check_us:
            self._next_in_doubt_check_us = self._now() + IN_DOUBT_CHECK_INTERVAL_US
            self._query_in_doubt()
        self._timer = self._reactor.callLater(TICK_INTERVAL_S, self._tick)

    def _query_in_doubt(self) -> None:
        """Ask after what a death left in doubt, as far as nothing else asks already."""
        now = self._unix_us()
        asked = {run.key for run in self._runs.values()}
        for one in [one for one in self.effects.in_doubt(now) if one.server][:MAX_GROUP_SIZE]:
            if one.key in asked or one.key in self._in_doubt_jobs:
                continue
            self._in_doubt_jobs[one.key] = []
            job = Job(
                f"doubt-{one.key}",
                one.cls,
                "",
                self._now() + IN_DOUBT_QUERY_TIMEOUT_US,
                one.key,
                True,
                (one.server, one.boot),
                query_only=True,
            )
            self._execute(self.attempt_controller.submit(self._now(), job))
        self.effects.sweep(now)
        self._journal.mark()
        if self._journal.written >= COMPACT_AFTER_ENTRIES:
            self._journal.written = 0
            self._journal.compact(lambda: self.effects.living(self._unix_us()))


def format_place(instance: Instance) -> str:
    """Write down a server for the fleet's records: its name, address and start."""
    host, port = instance.endpoint
    return f"{instance.name} {host} {port} {instance.boot}"


def parse_place(place: str) -> Instance | None:
    """Read a server that was written down; None where there is none, or one that can not be read."""
    parts = place.split(" ")
    if len(parts) != 4 or not parts[2].isdecimal() or not parts[3].isdecimal():
        return None
    return Instance(parts[0], Endpoint(parts[1], int(parts[2])), boot=int(parts[3]))


def parse_fate(end: AttemptOutcome, response: v2.Response | None) -> tuple[Fate | None, Any]:
    """Return what a server's word on a key means; None where it could not be asked."""
    if end is not AttemptOutcome.ANSWERED or response is None:
        return None, None
    value = response.value if isinstance(response.value, dict) else {}
    if response.status == 404 and value.get("type") == NEVER_RAN:
        return Fate.UNKNOWN, None
    if response.status != 200:
        return None, None
    state = value.get("state")
    if state == "done":
        return Fate.DONE, value.get("answer")
    return {"running": Fate.RUNNING, "failed": Fate.FAILED}.get(str(state)), None
