"""Runs of a translator: requests forwarded to new servers, behind the interface of the kernel's link.

The core commands runs as it does with a kernel; each becomes a job of the attempt controller, whose attempts go over
HTTP/2. A charge's intent is durable before it is sent, and its outcome before its answer is given. An effect that a
crash left in doubt is queried at the server named by its intent.
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
from sagetrestle.net.routing.idempotency import body_digest
from sagetrestle.net.routing.values import CommandKind, RunEnd
from sagetrestle.net.transport.connection_ends import Post
from sagetrestle.net.transport.v2_client import V2Client
from sagetrestle.recovery.charge_info import ChargeInfo, pack_charge
from sagetrestle.recovery.effects import EffectTable, EffectRecord, RecordKind, EffectState, replay
from sagetrestle.router import NoRoute, RouteRequest
from sagetrestle.store.journal import Journal
from sagetrestle.translation.convert import TranslationError, to_new, to_old
from sagetrestle.translation.mapping import Mapping
from sagetrestle.translation.problems import NEVER_RAN, classify_response

if TYPE_CHECKING:  # not imported where the fleet is off
    from sagetrestle.objectives.values import ObjectiveConfig
    from sagetrestle.quota.permits import PermitReport, PermitGrant
    from sagetrestle.traffic.region_selection import RegionSelector
    from sagetrestle.traffic.dispatch import Dispatcher
    from sagetrestle.takeover.effect_log import QueryServer

DescribeRequest = Callable[[str], tuple[str | None, str, int, bool, float]]
TICK_INTERVAL_S = 0.01
IN_DOUBT_CHECK_INTERVAL_US = 1_000_000  # between two rounds of queries for effects left in doubt by a crash
IN_DOUBT_QUERY_TIMEOUT_US = 2_000_000  # for one query and its repeats; the longest wait of jobs for the key
MAX_GROUP_SIZE = 256  # writes in one group, and effects queried in one round
COMPACT_AFTER_ENTRIES = 50_000  # written entries after which the journal is replaced by a snapshot
MAX_LOSS_KINDS = 1_000  # kinds of loss remembered as logged
NO_SERVER_RETRY_AFTER_US = 1_000_000  # sent to a client when no server can have its key
INQUIRY_TIMEOUT_S = 1.0  # for the answer to one query on behalf of the fleet


class GroupCommit:
    """Writes journal entries in groups: entries that arrive while one group is written form the next."""

    def __init__(self, journal: Journal, in_thread: Callable[[Callable[[], Any]], Any]) -> None:
        self.journal, self._in_thread = journal, in_thread
        self._pending: deque[tuple[list[EffectRecord], Callable[[bool], None]]] = deque()
        self._busy = self._mark_due = False
        self._compact_entries: Callable[[], list[EffectRecord]] | None = None
        self.groups = self.failures = self.written = 0

    def write(self, entries: list[EffectRecord], done: Callable[[bool], None]) -> None:
        """Make entries durable, and call ``done`` with whether that succeeded."""
        self._pending.append((entries, done))
        self._next()

    def compact(self, living: Callable[[], list[EffectRecord]]) -> None:
        """Replace all entries by a snapshot between two groups; ``living`` is called when no write is in progress."""
        self._compact_entries = living
        self._next()

    def mark(self) -> None:
        """Update the journal's mark to its position, between two groups."""
        self._mark_due = True
        self._next()

    def _next(self) -> None:
        """Start the next write if none is in progress: mark first, then compaction, then a group of entries."""
        if self._busy:
            return
        if self._mark_due:
            self._mark_due, self._busy = False, True
            self._in_thread(self.journal.write_marker).addCallbacks(
                lambda _: self._group_finished([], True), lambda _: self._group_finished([], False)
            )
            return
        if self._compact_entries is not None:
            # No write is in progress, so the table and the file agree: a snapshot of the table replaces the file.
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
        entries = [entry for part, _ in group for entry in part]
        self._in_thread(lambda: self.journal.append(entries)).addCallbacks(
            lambda _: self._group_finished(group, True), lambda _: self._group_finished(group, False)
        )

    def _group_finished(self, group: list[tuple[list[EffectRecord], Callable[[bool], None]]], durable: bool) -> None:
        self._busy = False
        self.groups += 1
        self.failures += not durable
        self.written += durable and sum(len(part) for part, _ in group)
        for _, done in group:
            done(durable)
        self._next()


@dataclass(frozen=True)
class UpstreamConfig:
    """Operators' settings: ``window_us`` is how long an idempotency key stays valid."""

    window_us: int


@dataclass
class _Run:
    """One run: the core's command, and the key of its effect if it is a charge."""

    command: RunCommand
    class_name: str
    key: str | None
    schema: int
    started_us: int
    intent_digest: bytes = b""  # describes a charge in the journal
    call: v2.Call | None = None


@dataclass
class _FleetDispatch:
    """The fleet's limits on sends, and the callbacks that hear of them (see ``Upstream.limit_sends``)."""

    sends: Dispatcher
    report_permits: Callable[[tuple[PermitReport, ...]], None]
    report_capacity: Callable[[tuple[int, float, dict[str, int], dict[str, int]]], None]
    count_waiting: Callable[[], int]
    capacity: tuple[int, float] = (-1, 0.0)  # as last reported


class Upstream:
    """Carries out the core's run commands on new servers, with the interface of KernelLink."""

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
        config: UpstreamConfig,
        client: Any = None,
    ) -> None:
        self._reactor, self._post, self._settings, self._mapping = reactor, post, settings, mapping
        self.router, self.attempt_controller, self._journal, self._log = (
            attempt_controller.router,
            attempt_controller,
            journal,
            log,
        )
        self._unix_us, self._config = unix_us, config
        self._client = client or V2Client(reactor)
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._runs: dict[str, _Run] = {}
        self._streams: dict[tuple[str, int], Any] = {}
        self._serial = 0
        self.effects = EffectTable(config.window_us)
        self._journal_failing = False
        self._next_in_doubt_check_us = 0
        self._in_doubt_jobs: dict[str, list[Job]] = {}  # jobs waiting for a query on their key, by key
        self._last_query_us: dict[str, int] = {}  # by key in doubt, so that each has its turn
        self._logged_losses: set[tuple[str, str, str]] = set()
        self._describe: DescribeRequest = lambda id: (None, "", 0, False, 0.0)
        self._timer: Any = None
        self.fleet = ""  # the fleet's name, if any
        self._fleet_dispatch: _FleetDispatch | None = None
        self.objectives: ObjectiveConfig | None = None  # of tenants; set before the fleet is joined
        self.regions: RegionSelector | None = None  # chooses regions where tenants have objectives

    def recover(self, entries: Iterable[EffectRecord], spoilt: Iterable[str], fault_text: str = "") -> None:
        """Replay the journal's entries; keys in doubt are bound to the server that may have run them.

        ``spoilt`` has the keys of unreadable entries; ``fault_text`` is a fault of the whole journal, or empty.
        """
        if fault_text:
            self._log(f"journal: {fault_text}")
        self.effects, faults = replay(entries, self._config.window_us)
        unreadable = [f"key {key!r}: its entry can not be read, it is in doubt" for key in spoilt if key]
        for fault in [*faults, *unreadable]:
            self._log(f"journal: {fault}")
        now = self._unix_us()
        doubts = self.effects.in_doubt(now)
        for effect in doubts:
            if effect.server:
                self.router.bind(effect.key, effect.server, effect.boot, self._now())
        self._log(f"journal: {len(self.effects.effects)} effects, {len(doubts)} in doubt")
        if self.effects.lost_us is not None:
            left_s = (self.effects.lost_us + self._config.window_us - now) / 1e6
            self._log(
                f"journal: entries of unknown keys are lost: charges whose end is not known are in doubt, new ones "
                f"too, for {max(0.0, left_s):.0f} s"
            )

    def set_describe_request(self, describe: DescribeRequest) -> None:
        """Set the function that returns a request's key, tenant, deadline, retry mark and work hint by its id."""
        self._describe = describe

    def limit_sends(
        self,
        sends: Dispatcher,
        report_permits: Callable[[tuple[PermitReport, ...]], None],
        report_capacity: Callable[[tuple[int, float, dict[str, int], dict[str, int]]], None],
        count_waiting: Callable[[], int],
        is_awaited: Callable[[str], bool],
    ) -> None:
        """Limit sends by permits for the whole fleet.

        ``report_permits`` is called with reports for permit granters, and ``report_capacity`` with the free capacity
        (slots now, cores on the mean, and by server the answers since the last call and the requests in flight).
        ``count_waiting`` returns the number of requests waiting in the core, ``is_awaited`` whether a caller still
        waits for an answer.
        """
        self._fleet_dispatch = _FleetDispatch(sends, report_permits, report_capacity, count_waiting)
        self.attempt_controller.capacity, self.attempt_controller.is_awaited = sends, is_awaited
        sends.permits.update_servers(
            self._now(), ((member.instance.name, member.instance.boot) for member in self.router.view.members.values())
        )

    def apply_grant(self, grant: PermitGrant) -> None:
        """Apply a granter's permits."""
        if self._fleet_dispatch is not None and self._fleet_dispatch.sends.apply_grant(self._now(), grant):
            self._use_capacity(self._fleet_dispatch)

    def _use_capacity(self, fleet_dispatch: _FleetDispatch) -> None:
        """Send queued jobs while there is capacity, pass on due reports, and report the remaining capacity."""
        now = self._now()
        self._execute(self.attempt_controller.send_queued(now))
        if reports := fleet_dispatch.sends.tick(
            now, fleet_dispatch.count_waiting() + self.attempt_controller.queued_count()
        ):
            fleet_dispatch.report_permits(tuple(reports))
        slots, cores = fleet_dispatch.sends.permits.capacity(now)
        slots += self.attempt_controller.queued_count()  # a job that waits for its only server takes no slot of others
        if (
            slots != fleet_dispatch.capacity[0]
            or abs(cores - fleet_dispatch.capacity[1]) > 0.05 * fleet_dispatch.capacity[1]
            or fleet_dispatch.sends.done
        ):
            fleet_dispatch.capacity = (slots, cores)
            fleet_dispatch.report_capacity(
                (slots, cores, dict(fleet_dispatch.sends.done), fleet_dispatch.sends.in_use())
            )
            fleet_dispatch.sends.done.clear()

    def _now(self) -> int:
        return int(self._reactor.seconds() * 1e6)

    # Called by the fleet

    def excluded_servers(self) -> tuple[str, ...]:
        """Return the servers that get no work from this member: ejected here, or removed for the whole fleet."""
        return self.attempt_controller.ejected_members(self._now()) + (
            self._fleet_dispatch.sends.removed_servers() if self._fleet_dispatch is not None else ()
        )

    def choose_place(self, class_name: str, tenant: str, key: str, promised_tenant: str = "") -> str:
        """Return the server for a new run of a key, as text for its record; empty if there is none.

        ``promised_tenant`` is the tenant in the objectives; if it has one, the server is in an allowed region.
        """
        now, effect_key = self._now(), v2.effect_key(tenant, class_name, key)
        excluded = self.excluded_servers()
        if self.regions is not None and (
            groups := self.regions.servers(promised_tenant, class_name, effect_key, now, excluded)
        ):
            for servers in groups:
                route = self.router.choose(
                    RouteRequest(effect_key, excluded + self.attempt_controller.members_not_in(servers)), now
                )
                if not isinstance(route, NoRoute):
                    return format_place(route.member.instance)
            return ""  # no other region is allowed
        request = RouteRequest(effect_key, excluded)
        route = self.router.choose(request, now)
        if isinstance(route, NoRoute):  # all servers are excluded
            route = self.router.choose(RouteRequest(request.key, fixed=True), now)
        return "" if isinstance(route, NoRoute) else format_place(route.member.instance)

    def take_outcome_counts(self) -> tuple[tuple[str, int, int, int], ...]:
        """Return (name, boot, successes, failures) of each server since the last call."""
        counts = self.attempt_controller.take_counts()
        members = self.router.view.members
        return tuple(
            (name, members[name].instance.boot, good, bad) for name, (good, bad) in counts.items() if name in members
        )

    def eject_server(self, name: str, boot: int) -> None:
        """Eject a server that the fleet found faulty, as if it had failed here; another start of it is not affected."""
        member = self.router.view.members.get(name)
        if member is not None and member.instance.boot == boot:
            self.attempt_controller.eject(name, self._now())

    def _recorded_member(self, place: str) -> Member | None:
        """Return the server named by a record; None if it has restarted since or the record can not be read."""
        instance = parse_place(place)
        known = self.router.view.members.get(instance.name) if instance is not None else None
        if instance is None or known is not None and known.instance.boot != instance.boot:
            return None
        return Member(instance, MemberState.ANNOUNCED, 0)

    def query_outcome(self, inquiry: QueryServer, report: Callable[[RecordKind, bytes, bool], None]) -> None:
        """Query a server for the outcome of a run; ``report`` is called with the outcome and whether it is fenced.

        ``report`` is not called while there is no outcome; the query is safe to repeat, and the caller repeats it.
        A server that checks fencing tokens accepts nothing of an earlier epoch after a query with a later one, and its
        answer says so.
        """
        run, member = inquiry.attempt, self._recorded_member(inquiry.attempt.server_ref)
        if member is None or run.class_name not in self._mapping.classes:
            return  # no server can answer: the run stays in doubt
        host, port = member.instance.endpoint
        token = v2.fencing_token(self.fleet, inquiry.partition, inquiry.epoch)
        headers, data = v2.encode_question(v2.effect_key(run.tenant, run.class_name, run.key), f"{host}:{port}", token)
        finished = False

        def answered(end: AttemptOutcome, response: v2.Response | None) -> None:
            nonlocal finished
            finished = True
            fate, answer = parse_fate(end, response)
            if fate is Fate.DONE:
                run_end, result = self._translate_result(
                    Job(run.id, run.class_name, run.tenant, 0, run.key),
                    run.class_name,
                    Result(AttemptOutcome.ANSWERED, answer),
                )
                report(RecordKind.OUTCOME if run_end is RunEnd.DONE else RecordKind.FAILED, result, True)
            elif fate is Fate.FAILED:
                report(RecordKind.FAILED, b"", True)
            elif fate is Fate.UNKNOWN:
                assert response is not None
                fenced = response.value.get("fenced")
                report(RecordKind.NEVER, b"", isinstance(fenced, int) and fenced >= inquiry.epoch)

        stream = self._client.send((host, port), headers, data, answered)
        self._reactor.callLater(INQUIRY_TIMEOUT_S, lambda: None if finished else stream.cancel())

    # The interface of KernelLink

    def connect(self, number: int, address: tuple[str, int]) -> None:
        """Report the connection at once, since there is no link to set up."""
        self._post(inputs.KernelConnected(number))

    def open(self, serial: int) -> None:
        """Report a warm kernel, and start the periodic tick."""
        self._post(inputs.KernelBooted(cold=False, age_us=3_600_000_000))
        if self._timer is None:
            self._tick()

    def ask_gauges(self, cookie: str) -> None:
        """Post the gauges: the share of open runs and their number."""
        share = len(self._runs) / max(1, self._settings.cores)
        self._post(inputs.GaugesRead(cookie, (min(1.0, share), float(len(self._runs)), 0.0, 0.0)))

    def command(self, command: RunCommand) -> None:
        """Start a run; other commands do not apply, as runs can not be paused and make no calls."""
        if command.kind is CommandKind.START and command.id not in self._runs:
            self._start(command)

    def stop(self) -> None:
        """Cancel the tick, and close all connections to servers."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._client.keep(set())

    # Runs

    def _start(self, command: RunCommand) -> None:
        mapping = self._mapping.classes[command.class_name]
        key, tenant, due_us, retry, hint_ms = self._describe(command.id)
        charge = self._classes[command.class_name].effect is not Effect.SAFE
        run = _Run(command, command.class_name, None, self._mapping.schema, self._now())
        self._runs[command.id] = run
        try:
            value, lost = to_new(mapping, command.body)
        except TranslationError as error:
            self._log(f"request {command.id} can not be translated: {error}")
            self._finish_run(command.id, RunEnd.REJECTED)
            return
        self._note_losses(command.class_name, "requests", lost)
        if charge and key is not None:
            run.key = v2.effect_key(tenant, command.class_name, key)
            run.intent_digest = pack_charge(
                ChargeInfo(command.class_name, tenant, key, command.id, body_digest(command.body))
            )
        job, token = Job(command.id, command.class_name, tenant, due_us, run.key, retry), ""
        if command.token is not None:
            member, (partition, epoch, _) = self._recorded_member(command.place), command.token
            if member is None:  # no server can take it, or the one that may have run it has restarted
                self._finish_run(command.id, RunEnd.NEVER_RAN, retry_after_us=NO_SERVER_RETRY_AFTER_US)
                return
            job, token = job._replace(member=member), v2.fencing_token(self.fleet, partition, epoch)
        self._call(run, value, tenant, retry, hint_ms, token)
        self._submit_job(job)

    def _call(self, run: _Run, value: Any, tenant: str, retry: bool, hint_ms: float, token: str) -> None:
        run.call = v2.Call(
            self._mapping.classes[run.class_name].new, value, run.schema, 0, run.key, retry, hint_ms, tenant, token
        )

    def _submit_job(self, job: Job) -> None:
        """Submit a job, unless its key's effect is settled; an effect in doubt is queried first."""
        if job.key is not None and job.key in self._in_doubt_jobs:
            self._in_doubt_jobs[job.key].append(job)
            return
        if job.key is not None:
            effect = self.effects.get(job.key, self._unix_us())
            standing = effect.state if effect else EffectState.FREE
            if standing is EffectState.DONE:
                assert effect is not None
                self._finish_run(job.id, RunEnd.DONE, effect.result)
                return
            if standing is EffectState.FAILED:
                self._finish_run(job.id, RunEnd.CRASHED)
                return
            if standing is EffectState.IN_DOUBT:
                assert effect is not None
                if effect.server:
                    job = job._replace(in_doubt=(effect.server, effect.boot))
                elif job.member is None:  # there is no server to query
                    self._finish_run(job.id, RunEnd.IN_DOUBT)
                    return
                # Otherwise the fleet's records, which outlive this journal, show that it never ran.
        self._execute(self.attempt_controller.submit(self._now(), job))

    def _finish_run(self, id: str, end: RunEnd, result: bytes = b"", retry_after_us: int = 0) -> None:
        run = self._runs.pop(id, None)
        if run is None:
            return
        self._serial += 1
        self._post(inputs.RunFinished(self._serial, id, end, self._now() - run.started_us, result, retry_after_us))

    # Decisions of the attempt controller

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
        """Send an attempt; a charge's intent is made durable first."""
        if send.job.key is None:
            self._post_attempt(send)
            return
        instance, run = send.member.instance, self._runs.get(send.job.id)
        digest = run.intent_digest if run is not None else send.job.route.encode()
        entry = EffectRecord(RecordKind.INTENT, send.job.key, self._unix_us(), instance.name, instance.boot, digest)
        effect = self.effects.get(send.job.key, entry.at_us)
        entries = [entry]
        if effect is not None and effect.state is EffectState.IN_DOUBT:
            if (effect.server, effect.boot) == (entry.server, entry.boot):  # a further attempt at the same server
                self._post_attempt(send)
                return
            # The previous server is known not to have run it, or the router would have kept it there. Without both
            # entries, a crash now would have the wrong server queried, and the charge run again.
            entries = [EffectRecord(RecordKind.NEVER, entry.key, entry.at_us), entry]
        self._journal.write(entries, lambda durable: self._intent_written(send, entries, durable))

    def _intent_written(self, send: Send, entries: list[EffectRecord], durable: bool) -> None:
        if not durable:
            self._log_journal_failure()
            self._attempt_ended(send, AttemptOutcome.NOT_SENT, None, final=True)
            return
        self._journal_failing = False
        for entry in entries:
            self.effects.apply(entry)
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
        classified = classify_response(response.status, response.value, response.retry_after)
        if classified.end is not AttemptOutcome.ANSWERED:
            self._attempt_ended(send, classified.end, None, classified.retry_after_us, classified.final)
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
        """Finish a run: its outcome is made durable before its answer; a proof that it never ran frees the key."""
        run = self._runs.get(job.id)
        if run is None and not job.query_only:
            return
        class_name = run.class_name if run is not None else job.route
        end, data = self._translate_result(job, class_name, result)
        if job.key is None:
            self._finish_run(job.id, end, data, result.retry_after_us)
            return
        entry = self._settling_entry(job.key, end, data, result)
        if entry is None:
            self._finish_job(job, end, data, result)
            return

        def durable(done: bool) -> None:
            if done:
                self.effects.apply(entry)
            else:
                self._log_journal_failure()  # the effect stays in doubt: the server has the answer and is queried again
            self._finish_job(job, end, data, result)

        self._journal.write([entry], durable)

    def _finish_job(self, job: Job, end: RunEnd, data: bytes, result: Result) -> None:
        """Finish the run of a charge, and submit the jobs that waited for the query on its key."""
        self._finish_run(job.id, end, data, result.retry_after_us)
        if job.query_only and job.key is not None:
            for waiting in self._in_doubt_jobs.pop(job.key, ()):
                self._submit_job(waiting)

    def _settling_entry(self, key: str, end: RunEnd, data: bytes, result: Result) -> EffectRecord | None:
        """Return the journal entry that settles an effect, or None if its standing does not change."""
        now = self._unix_us()
        if self.effects.state_of(key, now) is not EffectState.IN_DOUBT:
            return None
        if end is RunEnd.DONE:
            return EffectRecord(RecordKind.OUTCOME, key, now, result=data)
        if not result.ran:
            return EffectRecord(RecordKind.NEVER, key, now)
        if result.end is AttemptOutcome.ANSWERED or result.settled:
            return EffectRecord(RecordKind.FAILED, key, now)  # it ran and failed, or its answer can not be translated
        return None

    def _translate_result(self, job: Job, class_name: str, result: Result) -> tuple[RunEnd, bytes]:
        if result.end is AttemptOutcome.ANSWERED:
            try:
                data, lost = to_old(self._mapping.classes[class_name], result.answer)
            except TranslationError as error:
                self._log(f"request {job.id}: its answer is not given, it would not be faithful: {error}")
                return RunEnd.CRASHED, b""
            self._note_losses(class_name, "answers", lost)
            return RunEnd.DONE, data
        if not result.ran:
            return RunEnd.NEVER_RAN, b""
        return (RunEnd.IN_DOUBT if job.key is not None and not result.settled else RunEnd.CRASHED), b""

    def _note_losses(self, class_name: str, direction: str, lost: tuple[str, ...]) -> None:
        """Log each kind of loss once, since it recurs with every request."""
        for loss in lost:
            kind = (class_name, direction, loss.partition(":")[0])
            if kind not in self._logged_losses and len(self._logged_losses) < MAX_LOSS_KINDS:
                self._logged_losses.add(kind)
                self._log(f"{direction} of {class_name} lose something: {loss}")

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
        """Query effects left in doubt by a crash that have no active run or query, and compact the journal if due."""
        now = self._unix_us()
        active_keys = {run.key for run in self._runs.values()}
        doubts = [effect for effect in self.effects.in_doubt(now) if effect.server]
        self._last_query_us = {effect.key: self._last_query_us.get(effect.key, 0) for effect in doubts}
        doubts.sort(key=lambda effect: self._last_query_us[effect.key])
        for effect in doubts[:MAX_GROUP_SIZE]:
            if effect.key in active_keys or effect.key in self._in_doubt_jobs:
                continue
            self._last_query_us[effect.key] = now
            self._in_doubt_jobs[effect.key] = []
            job = Job(
                f"doubt-{effect.key}",
                effect.request_class,
                "",
                self._now() + IN_DOUBT_QUERY_TIMEOUT_US,
                effect.key,
                True,
                (effect.server, effect.boot),
                query_only=True,
            )
            self._execute(self.attempt_controller.submit(self._now(), job))
        self.effects.sweep(now)
        self._journal.mark()
        if self._journal.written >= COMPACT_AFTER_ENTRIES:
            self._journal.written = 0
            self._journal.compact(lambda: self.effects.snapshot_records(self._unix_us()))


def format_place(instance: Instance) -> str:
    """Format a server for the fleet's records: name, host, port and boot."""
    host, port = instance.endpoint
    return f"{instance.name} {host} {port} {instance.boot}"


def parse_place(place: str) -> Instance | None:
    """Parse the text of ``format_place``; returns None if it is empty or malformed."""
    parts = place.split(" ")
    if len(parts) != 4 or not parts[2].isdecimal() or not parts[3].isdecimal():
        return None
    return Instance(parts[0], Endpoint(parts[1], int(parts[2])), boot=int(parts[3]))


def parse_fate(end: AttemptOutcome, response: v2.Response | None) -> tuple[Fate | None, Any]:
    """Return a run's fate and answer by a server's response to a query; no fate if the query failed."""
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
