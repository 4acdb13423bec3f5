"""Connects the fleet to requests: applies ownership, effect records and run outcomes to request entries.

The member (``takeover``) decides who owns a key and what is known of it; here that becomes starts, answers and waits.
Loaded only if ``deploy/fleet.toml`` exists; the rest of the core reaches it as ``state.fleet`` and as a run check.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from sagetrestle.handover.messages import KeyName, KeyRecord
from sagetrestle.interface import Outcome, RequestWithdrawn, RunEnded
from sagetrestle.net.routing import inputs
from sagetrestle.net.routing.access_control import slo_subject
from sagetrestle.net.routing.actions import start_if_admitted
from sagetrestle.net.routing.effects import ExecuteFleetDecision
from sagetrestle.net.routing.fleet_events import (
    CapacityMeasured,
    ConsensusStoreReset,
    FleetEvent,
    RecordsPersisted,
    RunOutcomeReported,
    ServerOutcomes,
    SlotsReported,
    StoreWriteDone,
)
from sagetrestle.net.routing.idempotency import KEY_WINDOW_MARGIN_US, body_digest
from sagetrestle.net.routing.run_admission import RunDecision
from sagetrestle.net.routing.spending_caps import SpendingCapCheck
from sagetrestle.net.routing.state import Phase, RequestEntry, State
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Answer, FailCause, Failed, Refused, Request, Served
from sagetrestle.ownership.values import PartitionAssignment
from sagetrestle.recovery.effects import EffectError, EffectRecord, RecordKind, EffectState
from sagetrestle.takeover import effect_log, attempt_decision, node
from sagetrestle.takeover.attempt_decision import AttemptAction, AttemptDecision
from sagetrestle.health_decisions import Subject

if TYPE_CHECKING:  # optional modules are not loaded unless they are enabled
    from sagetrestle.net.routing.overload_control import OverloadControl

NOT_OWNER_RETRY_AFTER_US = 50_000  # sent by a member that does not own the key
MAX_PAUSE_RETRY_AFTER_US = 5_000_000  # sent at most for a class that an operator paused
ABANDONED_CHECK_INTERVAL_US = 200_000  # for waiting attempts whose caller has left


class Fleet:
    """The fleet's check of keyed runs, and the handler of fleet events.

    ``place`` is set where this member forwards runs: it returns the server for a key's run by class, tenant, key and
    objective subject, or an empty string if there is none.
    """

    def __init__(self, member: node.Node, place: Callable[[str, str, str, str], str] | None = None) -> None:
        self.node, self._choose_server = member, place
        self._due_us = self._next_abandoned_check_us = 0
        self.cap_check: SpendingCapCheck | None = None
        self.overload: OverloadControl | None = None
        self._awaiting_ownership: dict[str, None] = {}  # ids of attempts that wait until this member may act, in order
        self._awaited_runs: dict[str, list[str]] = {}  # by run of a previous owner, the attempts that wait for it

    # Checks of keyed runs

    def check(self, turn: Turn, entry: RequestEntry) -> RunDecision:
        """Allow a keyed run if its partition is owned here and its intent is stored at the backups."""
        request = entry.request
        verdict = self._verdict(turn, request)
        match verdict.action:
            case AttemptAction.JOIN_RUN if self._is_own(verdict, request):
                entry.token = (verdict.partition, verdict.assignment.epoch, self.node.member_id)
                return RunDecision.START if entry.recorded else RunDecision.WAIT
            case AttemptAction.RUN:
                return self._record_intent(turn, entry, verdict)
            case AttemptAction.WAIT_FOR_LEASE:
                self._awaiting_ownership[request.id] = None
                return RunDecision.WAIT
            case AttemptAction.WAIT_FOR_FATE | AttemptAction.JOIN_RUN:
                self._join_previous_run(turn, entry, verdict)
                return RunDecision.HANDLED
        answer = self._answer(turn, verdict)
        assert answer is not None
        self._end_unstarted(turn, entry, answer)
        return RunDecision.HANDLED

    def join_remote_run(self, turn: Turn, entry: RequestEntry) -> bool:
        """Make an attempt that the window forbids wait for a previous owner's run; return False if there is none."""
        by = turn.state.keys.run_id_in_window(entry.request)
        if by is None or not self.wait_for_remote_run(by, entry.request.id):
            return False
        entry.phase = Phase.JOINED
        turn.events.append(RunEnded(entry.request.id, Outcome.ERROR))
        return True

    def wait_for_remote_run(self, by: str, id: str) -> bool:
        """Make attempt ``id`` wait for run ``by`` of a previous owner; return False if that is not awaited."""
        if by not in self._awaited_runs:
            return False
        self._awaited_runs[by].append(id)
        return True

    def early_answer(self, turn: Turn, request: Request) -> Answer | None:
        """Answer a request whose outcome is known or that another member owns; prepare to join a run in query."""
        verdict = self._verdict(turn, request)
        if verdict.action is AttemptAction.WAIT_FOR_FATE:
            self._adopt_previous_run(turn, verdict)
        return self._answer(turn, verdict)

    def attempt_ended(self, turn: Turn, entry: RequestEntry) -> None:
        """Record the outcome of an attempt whose intent was recorded."""
        self._awaiting_ownership.pop(entry.request.id, None)
        if not entry.recorded and entry.token is None:
            return
        request, keys = entry.request, turn.state.keys
        finished = keys.result(request.id)
        if entry.in_doubt:
            self._report_in_doubt(turn, entry)
            return
        if not entry.ran or keys.run_id_in_window(request) != request.id and finished is None:
            kind, result = RecordKind.NEVER, b""
        elif finished is not None and finished.result is not None:
            kind, result = RecordKind.OUTCOME, finished.result
        else:
            kind, result = RecordKind.FAILED, b""
        entry.recorded, entry.token = False, None
        marks = self._marks(turn, request)
        partition, _ = self.node.effect_log.assignment_of(marks.key)
        name = attempt_decision.effect_key(marks.class_name, marks.tenant, marks.key)
        self.perform(
            turn,
            self.node.record_outcome(
                turn.now, turn.unix(), partition, EffectRecord(kind, name, turn.unix(request.arrived), result=result)
            ),
        )

    # Internals

    def _report_in_doubt(self, turn: Turn, entry: RequestEntry) -> None:
        """Leave a run's record unresolved and have its outcome queried."""
        entry.recorded, entry.token = False, None
        marks = self._marks(turn, entry.request)
        partition, _ = self.node.effect_log.assignment_of(marks.key)
        name = attempt_decision.effect_key(marks.class_name, marks.tenant, marks.key)
        self.perform(turn, self.node.mark_in_doubt(turn.now, turn.unix(), partition, name))

    def _marks(self, turn: Turn, request: Request) -> effect_log.AttemptInfo:
        class_name = turn.state.plan.settings.classes[request.class_index].name
        return effect_log.AttemptInfo(
            request.id, class_name, request.tenant, request.key or "", body_digest(request.body)
        )

    def _verdict(self, turn: Turn, request: Request) -> AttemptDecision:
        if not self.node.effect_log.map.assignments:
            return AttemptDecision(AttemptAction.WAIT_FOR_LEASE, 0, NO_SHARE)
        return attempt_decision.decide_attempt(
            self.node, turn.now, self._marks(turn, request), turn.unix(request.arrived)
        )

    @staticmethod
    def _is_own(verdict: AttemptDecision, request: Request) -> bool:
        return verdict.effect is not None and effect_log.unpack_attempt(verdict.effect.digest).id == request.id

    def _answer(self, turn: Turn, verdict: AttemptDecision) -> Answer | None:
        match verdict.action:
            case AttemptAction.RETURN_RESULT:
                assert verdict.effect is not None
                return Served(verdict.effect.result)
            case AttemptAction.RETURN_FAILURE:
                return Failed()
            case AttemptAction.FAIL_IN_DOUBT:
                turn.log("a charge is in doubt: it may have run at an owner before, and nobody can tell")
                return Failed()
            case AttemptAction.REJECT_CONFLICT:
                return Failed(FailCause.CONFLICT)
            case AttemptAction.REDIRECT:
                return Refused(NOT_OWNER_RETRY_AFTER_US)
        return None

    def _end_unstarted(self, turn: Turn, entry: RequestEntry, answer: Answer) -> None:
        """Answer an attempt that the policy started but that does not run here."""
        turn.answer(entry, answer)
        outcome = Outcome.OK if isinstance(answer, Served) else Outcome.ERROR
        if isinstance(answer, Refused):  # it never ran, so a repeat is checked again
            turn.state.keys.mark_not_run(entry.request)
            outcome = Outcome.FULL
        turn.events.append(RunEnded(entry.request.id, outcome))
        turn.finish(entry)

    def _record_intent(self, turn: Turn, entry: RequestEntry, verdict: AttemptDecision) -> RunDecision:
        """Store the attempt's intent at all backups before it starts."""
        request, marks = entry.request, self._marks(turn, entry.request)
        name = attempt_decision.effect_key(marks.class_name, marks.tenant, marks.key)
        before = self.node.effect_log.last_attempt(verdict.partition, name)
        if before is not None:
            marks = marks._replace(lost_owners=before.lost_owners, server_ref=before.server_ref, pinned=before.pinned)
        if self._choose_server is not None and not marks.pinned:
            marks = marks._replace(
                server_ref=self._choose_server(marks.class_name, marks.tenant, marks.key, slo_subject(request))
            )
        entry.place = marks.server_ref
        intent = EffectRecord(
            RecordKind.INTENT, name, turn.unix(request.arrived), self.node.member_id, 0, effect_log.pack_attempt(marks)
        )
        entry.token = (verdict.partition, verdict.assignment.epoch, self.node.member_id)
        entry.recorded = False
        try:
            decisions = self.node.record_intent(turn.now, turn.unix(), verdict.partition, request.id, intent)
        except EffectError as error:
            entry.token = None
            turn.log(f"request {request.id} not run: {error}")
            self._end_unstarted(turn, entry, Failed())
            return RunDecision.HANDLED
        if effect_log.StartRun(request.id, entry.token) in decisions:  # no backups are configured
            decisions.remove(effect_log.StartRun(request.id, entry.token))
            entry.recorded = True
        self.perform(turn, decisions)
        return RunDecision.START if entry.recorded else RunDecision.WAIT

    def _adopt_previous_run(self, turn: Turn, verdict: AttemptDecision) -> str:
        """Register a previous owner's run so that its repeats wait for it; return its id."""
        assert verdict.effect is not None
        marks = effect_log.unpack_attempt(verdict.effect.digest)
        settings = turn.state.plan.settings
        window = next((each.window_us for each in settings.classes if each.name == marks.class_name), 0)
        arrived = verdict.effect.at_us - turn.unix() + turn.now
        turn.state.keys.adopt_remote_run(
            KeyRecord(
                KeyName(marks.class_name, marks.tenant, marks.key),
                marks.body,
                marks.id,
                arrived,
                arrived + window + KEY_WINDOW_MARGIN_US,
            )
        )
        self._awaited_runs.setdefault(marks.id, [])
        return marks.id

    def _join_previous_run(self, turn: Turn, entry: RequestEntry, verdict: AttemptDecision) -> None:
        by = self._adopt_previous_run(turn, verdict)
        self._awaited_runs[by].append(entry.request.id)
        entry.phase = Phase.JOINED
        turn.events.append(RunEnded(entry.request.id, Outcome.ERROR))

    # Events

    def start(self, turn: Turn) -> None:
        """Start as a member."""
        self.perform(turn, self.node.start(turn.now, turn.unix()))

    def next_due(self) -> int:
        """Return when ``tick`` is due next."""
        return self._due_us

    def tick(self, turn: Turn) -> None:
        """Do the work that is due."""
        if turn.now < self._due_us:
            return
        self.perform(turn, self.node.tick(turn.now, turn.unix()))
        self._retry_awaiting_ownership(turn)
        if self.overload is not None:
            for report in self.overload.tick(turn):
                self.perform(turn, self.node.report_level(turn.now, turn.unix(), report))
            if (served := self.overload.slo_report(turn)) is not None:
                self.perform(turn, self.node.report_served(turn.now, turn.unix(), *served))
        self._due_us = self.node.next_tick_us(turn.now)
        if self._awaiting_ownership:
            self._due_us = min(self._due_us, turn.now + node.BUSY_TICK_US)
        if turn.now >= self._next_abandoned_check_us:
            self._next_abandoned_check_us = turn.now + ABANDONED_CHECK_INTERVAL_US
            self._drop_abandoned(turn)

    def class_pause_us(self, turn: Turn, class_index: int) -> int:
        """Return the retry time for a class that an operator paused, 0 if it is not paused."""
        orders, unix = self.node.verdicts, turn.unix()
        if not orders.orders:
            return 0
        order = orders.active_order(unix, Subject("class", turn.state.plan.settings.classes[class_index].name))
        if order is None:
            return 0
        return min(MAX_PAUSE_RETRY_AFTER_US, order.until_us - unix) if order.until_us else MAX_PAUSE_RETRY_AFTER_US

    def handle_stop(self, turn: Turn) -> None:
        """Leave the fleet: other members take over the owned partitions."""
        self.perform(turn, self.node.start_leaving(turn.now, turn.unix()))

    def handle_event(self, turn: Turn, event: FleetEvent) -> None:
        """Handle an event from other members, from the consensus store, or from a kernel."""
        now, unix = turn.now, turn.unix()
        match event:
            case StoreWriteDone(done):
                decisions = self.node.handle_persisted(now, unix, done)
            case RecordsPersisted(done):
                decisions = self.node.handle_changes_persisted(now, unix, done)
            case RunOutcomeReported():
                decisions = self.node.handle_run_fate(now, unix, *event)
            case ServerOutcomes(servers):
                decisions = self.node.observe_results(
                    now, unix, ((Subject("server", name, boot), good, bad) for name, boot, good, bad in servers)
                )
            case SlotsReported(reports):
                decisions = self.node.report_slots(now, unix, reports)
            case CapacityMeasured():
                decisions = []
                if self.overload is not None:
                    self.overload.capacity_measured(turn, event)
            case ConsensusStoreReset(seat):
                decisions = self.node.reset_voter(now, unix, seat)
            case _:
                decisions = self.node.handle_link_event(now, unix, event)
        self.perform(turn, decisions)

    def perform(self, turn: Turn, decisions: Iterable[node.Decision]) -> None:
        """Apply the member's decisions to requests; pass those about anything else on to the program."""
        for decision in decisions:
            match decision:
                case effect_log.StartRun(id):
                    self._start(turn, id)
                case effect_log.RejectAttempt(id, owner):
                    self._reject_not_owner(turn, id, owner)
                case effect_log.RunResolved():
                    self._run_resolved(turn, decision)
                case effect_log.LogLine(text):
                    turn.log(text)
                case node.MapChanged():
                    self._ownership_changed(turn)
                case node.LevelReceived(region, level, age_us) if self.overload is not None:
                    self.overload.level_received(turn, level, age_us, region)
                case node.PlansReceived(plans) if self.overload is not None and self.overload.regions is not None:
                    self.overload.regions.apply_plans(turn.now, plans)
                case node.UnitsAvailable(limit) if self.cap_check is not None:
                    self.cap_check.units_granted(turn, limit)
                case _:
                    turn.effects.append(ExecuteFleetDecision(decision))

    def _start(self, turn: Turn, id: str) -> None:
        entry = turn.state.entries.get(id)
        if entry is None:
            return
        entry.recorded = True
        if entry.phase is Phase.AWAITING_GRANT and entry.unanswered:
            start_if_admitted(turn, entry)

    def _reject_not_owner(self, turn: Turn, id: str, owner: str) -> None:
        entry = turn.state.entries.get(id)
        if entry is not None and entry.phase is Phase.AWAITING_GRANT:
            turn.log(f"request {id} not run: {owner} owns its partition now")
            entry.token = None  # the new owner resolves its record
            self._end_unstarted(turn, entry, Refused(NOT_OWNER_RETRY_AFTER_US))

    def _run_resolved(self, turn: Turn, resolved: effect_log.RunResolved) -> None:
        """Answer the attempts that waited for a previous owner's run; if it never ran they are refused to retry."""
        keys = turn.state.keys
        if resolved.state is EffectState.DONE:
            windows = (each.window_us for each in keys.settings.classes)
            keys.store_remote_result(
                resolved.run, resolved.result, turn.now + max(windows, default=0) + keys.late_read_us
            )
        else:
            keys.forget_remote_run(resolved.run)
        for id in self._awaited_runs.pop(resolved.run, ()):
            entry = turn.state.entries.get(id)
            if entry is None or entry.phase is not Phase.JOINED:
                continue
            if resolved.state is EffectState.FREE:
                self._end_unstarted(turn, entry, Refused(1))
            else:
                turn.answer_repeat(entry, resolved.result if resolved.state is EffectState.DONE else None)

    def _ownership_changed(self, turn: Turn) -> None:
        """Refuse queued requests that another member owns now."""
        for entry in list(turn.state.entries.values()):
            if (
                entry.phase is Phase.QUEUED
                and entry.unanswered
                and not entry.ran
                and turn.state.keys.is_keyed(entry.request)
                and self._verdict(turn, entry.request).action is AttemptAction.REDIRECT
            ):
                entry.token = None
                turn.answer(entry, Refused(NOT_OWNER_RETRY_AFTER_US))
                turn.events.append(RequestWithdrawn(entry.request.id))
                turn.abandon(entry)
        for run, ids in list(self._awaited_runs.items()):
            self._redirect_waiters(turn, run, ids)
        self._retry_awaiting_ownership(turn)

    def _redirect_waiters(self, turn: Turn, run: str, ids: list[str]) -> None:
        """Refuse attempts that wait for a run whose outcome another member gets now."""
        waiting = [
            entry
            for id in ids
            if (entry := turn.state.entries.get(id)) is not None and entry.phase is Phase.JOINED and entry.unanswered
        ]
        if waiting and self._verdict(turn, waiting[0].request).action is AttemptAction.REDIRECT:
            del self._awaited_runs[run]
            turn.state.keys.forget_remote_run(run)
            for entry in waiting:
                self._end_unstarted(turn, entry, Refused(NOT_OWNER_RETRY_AFTER_US))

    def _retry_awaiting_ownership(self, turn: Turn) -> None:
        """Check the attempts again that this member could not run yet."""
        waiting, self._awaiting_ownership = self._awaiting_ownership, {}
        for id in waiting:
            entry = turn.state.entries.get(id)
            if entry is not None and entry.phase is Phase.AWAITING_GRANT and entry.unanswered:
                start_if_admitted(turn, entry)

    def _drop_abandoned(self, turn: Turn) -> None:
        """End waiting attempts whose caller has left."""
        for entry in list(turn.state.entries.values()):
            if entry.phase is Phase.AWAITING_GRANT and not entry.unanswered:
                turn.events.append(RunEnded(entry.request.id, Outcome.CANCELLED))
                turn.finish(entry)
        entries = turn.state.entries
        for run, ids in list(self._awaited_runs.items()):
            self._awaited_runs[run] = [id for id in ids if id in entries]


NO_SHARE = PartitionAssignment(0)


def fleet_event(turn: Turn, item: inputs.FleetEventReceived) -> None:
    """Handle a fleet event."""
    turn.state.fleet.handle_event(turn, item.event)


def attach_fleet(state: State, fleet: Fleet) -> None:
    """Make the fleet reachable from the core and add it to the checks before a keyed run."""
    state.fleet = fleet
    for check in state.run_admission.checks:
        if isinstance(check, SpendingCapCheck):
            fleet.cap_check = check
    state.run_admission.checks.append(fleet)


HANDLERS = {inputs.FleetEventReceived: fleet_event}
