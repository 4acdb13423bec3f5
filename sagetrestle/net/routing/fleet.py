"""Joins the fleet to requests: what ownership, a record and a word from a kernel mean for entries.

The member decides who owns and what is known of a key (``takeover``); here that becomes starts, answers and waits.
Loaded only where ``deploy/fleet.toml`` is; the rest of the core reaches it as ``state.fleet`` and through the gate.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from sagetrestle.handover.messages import KeyName, Record
from sagetrestle.interface import Outcome, RequestWithdrawn, RunEnded
from sagetrestle.net.routing import inputs
from sagetrestle.net.routing.access_control import slo_subject
from sagetrestle.net.routing.actions import start_if_admitted
from sagetrestle.net.routing.spending_caps import SpendingCapCheck
from sagetrestle.net.routing.effects import ExecuteFleetDecision
from sagetrestle.net.routing.fleet_events import (
    RunOutcomeReported,
    FleetEvent,
    RecordsPersisted,
    CapacityMeasured,
    ConsensusStoreReset,
    ServerOutcomes,
    SlotsReported,
    StoreWriteDone,
)
from sagetrestle.net.routing.run_admission import RunDecision
from sagetrestle.net.routing.idempotency import KEY_WINDOW_MARGIN_US
from sagetrestle.net.routing.state import Phase, RequestEntry, State
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Answer, FailCause, Failed, Refused, Request, Served
from sagetrestle.ownership.values import Share
from sagetrestle.recovery.effects import EffectError, Kind, Standing
from sagetrestle.recovery.effects import Entry as EffectEntry
from sagetrestle.takeover import books, judge, node
from sagetrestle.takeover.judge import Verdict, Word
from sagetrestle.verdicts import Subject

if TYPE_CHECKING:  # what is off is not loaded
    from sagetrestle.net.routing.overload_control import OverloadControl

NOT_OWNER_RETRY_AFTER_US = 50_000  # how long to stay away from a member that does not own the key
MAX_PAUSE_RETRY_AFTER_US = 5_000_000  # how long to stay away from a class that is paused, at the most
ABANDONED_CHECK_INTERVAL_US = 200_000  # for tries that wait and that nobody waits for any more


class Fleet:
    """A member's say on keyed runs.

    ``place`` names the server that a key's run would be sent to, where this member sends runs on: by class, tenant, key
    and whom promises name, empty where there is none.
    """

    def __init__(self, member: node.Node, place: Callable[[str, str, str, str], str] | None = None) -> None:
        self.node, self._choose_server = member, place
        self._due_us = self._next_abandoned_check_us = 0
        self.cap_check: SpendingCapCheck | None = None
        self.overload: OverloadControl | None = None
        self._awaiting_ownership: dict[str, None] = {}  # tries that wait until this member may act, in their order
        self._awaited_runs: dict[str, list[str]] = {}  # runs of owners before, and the tries that wait for their ends

    # What the gate asks

    def check(self, turn: Turn, entry: RequestEntry) -> RunDecision:
        """Say whether a keyed try may run: its partition is owned here, and its record is at the backups."""
        request = entry.request
        verdict = self._verdict(turn, request)
        match verdict.word:
            case Word.RUNS if self._is_own(verdict, request):
                entry.token = (verdict.partition, verdict.share.epoch, self.node.me)
                return RunDecision.START if entry.recorded else RunDecision.WAIT
            case Word.FREE:
                return self._record_intent(turn, entry, verdict)
            case Word.NOT_YET:
                self._awaiting_ownership[request.id] = None
                return RunDecision.WAIT
            case Word.ASKED | Word.RUNS:
                self._join_previous_run(turn, entry, verdict)
                return RunDecision.HANDLED
        answer = self._answer(turn, verdict)
        assert answer is not None
        self._end_unstarted(turn, entry, answer)
        return RunDecision.HANDLED

    def join_remote_run(self, turn: Turn, entry: RequestEntry) -> bool:
        """Have a try that the window forbids wait for a run of an owner before."""
        by = turn.state.keys.run_id_in_window(entry.request)
        if by is None or not self.wait_for_remote_run(by, entry.request.id):
            return False
        entry.phase = Phase.JOINED
        turn.events.append(RunEnded(entry.request.id, Outcome.ERROR))
        return True

    def wait_for_remote_run(self, by: str, id: str) -> bool:
        """Have a try wait for a run of an owner before."""
        if by not in self._awaited_runs:
            return False
        self._awaited_runs[by].append(id)
        return True

    def early_answer(self, turn: Turn, request: Request) -> Answer | None:
        """Answer at once what is known, or is not for this member; a run that is asked after is one to be joined."""
        verdict = self._verdict(turn, request)
        if verdict.word is Word.ASKED:
            self._adopt_previous_run(turn, verdict)
        return self._answer(turn, verdict)

    def attempt_ended(self, turn: Turn, entry: RequestEntry) -> None:
        """Record what became of a try that was recorded."""
        self._awaiting_ownership.pop(entry.request.id, None)
        if not entry.recorded and entry.token is None:
            return
        request, keys = entry.request, turn.state.keys
        finished = keys.result(request.id)
        if entry.in_doubt:
            self._report_in_doubt(turn, entry)
            return
        if not entry.ran or keys.run_id_in_window(request) != request.id and finished is None:
            kind, result = Kind.NEVER, b""
        elif finished is not None and finished.result is not None:
            kind, result = Kind.OUTCOME, finished.result
        else:
            kind, result = Kind.FAILED, b""
        entry.recorded, entry.token = False, None
        what = self._marks(turn, request)
        at, _ = self.node.books.share_of(what.key)
        name = judge.effect_key(what.cls, what.tenant, what.key)
        self.perform(
            turn,
            self.node.ended(
                turn.now, turn.unix(), at, EffectEntry(kind, name, turn.unix(request.arrived), result=result)
            ),
        )

    # Inside

    def _report_in_doubt(self, turn: Turn, entry: RequestEntry) -> None:
        """Leave a run's record as it is, and have it asked after."""
        entry.recorded, entry.token = False, None
        what = self._marks(turn, entry.request)
        at, _ = self.node.books.share_of(what.key)
        name = judge.effect_key(what.cls, what.tenant, what.key)
        self.perform(turn, self.node.doubtful(turn.now, turn.unix(), at, name))

    def _marks(self, turn: Turn, request: Request) -> books.Marks:
        digest = hashlib.blake2b(request.body, digest_size=16).digest()
        cls = turn.state.plan.settings.classes[request.class_index].name
        return books.Marks(request.id, cls, request.tenant, request.key or "", digest)

    def _verdict(self, turn: Turn, request: Request) -> Verdict:
        if not self.node.books.map.shares:
            return Verdict(Word.NOT_YET, 0, NO_SHARE)
        return judge.judge(self.node, turn.now, self._marks(turn, request), turn.unix(request.arrived))

    @staticmethod
    def _is_own(verdict: Verdict, request: Request) -> bool:
        return verdict.effect is not None and books.marks(verdict.effect.digest).id == request.id

    def _answer(self, turn: Turn, verdict: Verdict) -> Answer | None:
        match verdict.word:
            case Word.SERVE:
                assert verdict.effect is not None
                return Served(verdict.effect.result)
            case Word.FAIL:
                return Failed()
            case Word.DOUBT:
                turn.log("a charge is in doubt: it may have run at an owner before, and nobody can tell")
                return Failed()
            case Word.CONFLICT:
                return Failed(FailCause.CONFLICT)
            case Word.ELSEWHERE:
                return Refused(NOT_OWNER_RETRY_AFTER_US)
        return None

    def _end_unstarted(self, turn: Turn, entry: RequestEntry, answer: Answer) -> None:
        """Answer a try that the module had started, and that does not run here."""
        turn.answer(entry, answer)
        outcome = Outcome.OK if isinstance(answer, Served) else Outcome.ERROR
        if isinstance(answer, Refused):  # it never ran: what repeats it is to be looked at anew
            turn.state.keys.mark_not_run(entry.request)
            outcome = Outcome.FULL
        turn.events.append(RunEnded(entry.request.id, outcome))
        turn.finish(entry)

    def _record_intent(self, turn: Turn, entry: RequestEntry, verdict: Verdict) -> RunDecision:
        """Have the try's intent at all backups before it starts."""
        request, what = entry.request, self._marks(turn, entry.request)
        name = judge.effect_key(what.cls, what.tenant, what.key)
        before = self.node.books.before(verdict.partition, name)
        if before is not None:
            what = what._replace(losses=before.losses, where=before.where, bound=before.bound)
        if self._choose_server is not None and not what.bound:
            what = what._replace(where=self._choose_server(what.cls, what.tenant, what.key, slo_subject(request)))
        entry.place = what.where
        intent = EffectEntry(Kind.INTENT, name, turn.unix(request.arrived), self.node.me, 0, books.mark(what))
        entry.token = (verdict.partition, verdict.share.epoch, self.node.me)
        entry.recorded = False
        try:
            decisions = self.node.record(turn.now, turn.unix(), verdict.partition, request.id, intent)
        except EffectError as error:
            entry.token = None
            turn.log(f"request {request.id} not run: {error}")
            self._end_unstarted(turn, entry, Failed())
            return RunDecision.HANDLED
        if books.Start(request.id, entry.token) in decisions:  # no backup is asked for
            decisions.remove(books.Start(request.id, entry.token))
            entry.recorded = True
        self.perform(turn, decisions)
        return RunDecision.START if entry.recorded else RunDecision.WAIT

    def _adopt_previous_run(self, turn: Turn, verdict: Verdict) -> str:
        """Know a run of an owner before as one that its repeats wait for."""
        assert verdict.effect is not None
        said = books.marks(verdict.effect.digest)
        settings = turn.state.plan.settings
        window = next((cls.window_us for cls in settings.classes if cls.name == said.cls), 0)
        arrived = verdict.effect.at_us - turn.unix() + turn.now
        turn.state.keys.adopt_remote_run(
            Record(
                KeyName(said.cls, said.tenant, said.key),
                said.body,
                said.id,
                arrived,
                arrived + window + KEY_WINDOW_MARGIN_US,
            )
        )
        self._awaited_runs.setdefault(said.id, [])
        return said.id

    def _join_previous_run(self, turn: Turn, entry: RequestEntry, verdict: Verdict) -> None:
        by = self._adopt_previous_run(turn, verdict)
        self._awaited_runs[by].append(entry.request.id)
        entry.phase = Phase.JOINED
        turn.events.append(RunEnded(entry.request.id, Outcome.ERROR))

    # What comes

    def start(self, turn: Turn) -> None:
        """Start."""
        self.perform(turn, self.node.begin(turn.now, turn.unix()))

    def next_due(self) -> int:
        """Return when time alone changes something here."""
        return self._due_us

    def tick(self, turn: Turn) -> None:
        """Do what time brings."""
        if turn.now < self._due_us:
            return
        self.perform(turn, self.node.passed(turn.now, turn.unix()))
        self._retry_awaiting_ownership(turn)
        if self.overload is not None:
            for report in self.overload.tick(turn):
                self.perform(turn, self.node.report_level(turn.now, turn.unix(), report))
            if (served := self.overload.slo_report(turn)) is not None:
                self.perform(turn, self.node.report_served(turn.now, turn.unix(), *served))
        self._due_us = self.node.due(turn.now)
        if self._awaiting_ownership:
            self._due_us = min(self._due_us, turn.now + node.BUSY_US)
        if turn.now >= self._next_abandoned_check_us:
            self._next_abandoned_check_us = turn.now + ABANDONED_CHECK_INTERVAL_US
            self._drop_abandoned(turn)

    def class_pause_us(self, turn: Turn, class_index: int) -> int:
        """Return for how long a class is paused by an operator (0: it is not), to be told at once."""
        orders, unix = self.node.verdicts, turn.unix()
        if not orders.orders:
            return 0
        order = orders.in_force(unix, Subject("class", turn.state.plan.settings.classes[class_index].name))
        if order is None:
            return 0
        return min(MAX_PAUSE_RETRY_AFTER_US, order.until_us - unix) if order.until_us else MAX_PAUSE_RETRY_AFTER_US

    def handle_stop(self, turn: Turn) -> None:
        """Be on the way out: others take what is owned here."""
        self.perform(turn, self.node.leave(turn.now, turn.unix()))

    def handle_event(self, turn: Turn, event: FleetEvent) -> None:
        """Take what came from other members, from the council's store, or from a kernel."""
        now, unix = turn.now, turn.unix()
        match event:
            case StoreWriteDone(done):
                decisions = self.node.persisted(now, unix, done)
            case RecordsPersisted(done):
                decisions = self.node.kept(now, unix, done)
            case RunOutcomeReported():
                decisions = self.node.fate(now, unix, *event)
            case ServerOutcomes(servers):
                decisions = self.node.saw(
                    now, unix, ((Subject("server", name, boot), good, bad) for name, boot, good, bad in servers)
                )
            case SlotsReported(reports):
                decisions = self.node.report_slots(now, unix, reports)
            case CapacityMeasured():
                decisions = []
                if self.overload is not None:
                    self.overload.capacity_measured(turn, event)
            case ConsensusStoreReset(seat):
                decisions = self.node.seated(now, unix, seat)
            case _:
                decisions = self.node.came(now, unix, event)
        self.perform(turn, decisions)

    def perform(self, turn: Turn, decisions: Iterable[node.Decision]) -> None:
        """Carry out what the member decided; what is not about requests goes to the program."""
        for what in decisions:
            match what:
                case books.Start(id):
                    self._start(turn, id)
                case books.TurnAway(id, owner):
                    self._reject_not_owner(turn, id, owner)
                case books.Resolved():
                    self._run_resolved(turn, what)
                case books.Note(text):
                    turn.log(text)
                case node.Changed():
                    self._ownership_changed(turn)
                case node.LevelTold(region, level, age_us) if self.overload is not None:
                    self.overload.level_received(turn, level, age_us, region)
                case node.PlansTold(plans) if self.overload is not None and self.overload.regions is not None:
                    self.overload.regions.told(turn.now, plans)
                case node.Units(limit) if self.cap_check is not None:
                    self.cap_check.units_granted(turn, limit)
                case _:
                    turn.effects.append(ExecuteFleetDecision(what))

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
            entry.token = None  # its record is the new owner's to settle
            self._end_unstarted(turn, entry, Refused(NOT_OWNER_RETRY_AFTER_US))

    def _run_resolved(self, turn: Turn, what: books.Resolved) -> None:
        """Answer those that waited for a run of an owner before; where it never ran they are to come again."""
        keys = turn.state.keys
        if what.standing is Standing.DONE:
            windows = (cls.window_us for cls in keys.settings.classes)
            keys.store_remote_result(what.run, what.result, turn.now + max(windows, default=0) + keys.late_read_us)
        else:
            keys.forget_remote_run(what.run)
        for id in self._awaited_runs.pop(what.run, ()):
            entry = turn.state.entries.get(id)
            if entry is None or entry.phase is not Phase.JOINED:
                continue
            if what.standing is Standing.FREE:
                self._end_unstarted(turn, entry, Refused(1))
            else:
                turn.answer_repeat(entry, what.result if what.standing is Standing.DONE else None)

    def _ownership_changed(self, turn: Turn) -> None:
        """Let go at once what another owns now and that has not begun."""
        for entry in list(turn.state.entries.values()):
            if (
                entry.phase is Phase.QUEUED
                and entry.unanswered
                and not entry.ran
                and turn.state.keys.is_keyed(entry.request)
                and self._verdict(turn, entry.request).word is Word.ELSEWHERE
            ):
                entry.token = None
                turn.answer(entry, Refused(NOT_OWNER_RETRY_AFTER_US))
                turn.events.append(RequestWithdrawn(entry.request.id))
                turn.abandon(entry)
        for run, ids in list(self._awaited_runs.items()):
            self._redirect_waiters(turn, run, ids)
        self._retry_awaiting_ownership(turn)

    def _redirect_waiters(self, turn: Turn, run: str, ids: list[str]) -> None:
        """Send tries on that wait for the word on a run that another is to hear now."""
        waiting = [
            entry
            for id in ids
            if (entry := turn.state.entries.get(id)) is not None and entry.phase is Phase.JOINED and entry.unanswered
        ]
        if waiting and self._verdict(turn, waiting[0].request).word is Word.ELSEWHERE:
            del self._awaited_runs[run]
            turn.state.keys.forget_remote_run(run)
            for entry in waiting:
                self._end_unstarted(turn, entry, Refused(NOT_OWNER_RETRY_AFTER_US))

    def _retry_awaiting_ownership(self, turn: Turn) -> None:
        """Ask again for tries that this member could not run yet."""
        waiting, self._awaiting_ownership = self._awaiting_ownership, {}
        for id in waiting:
            entry = turn.state.entries.get(id)
            if entry is not None and entry.phase is Phase.AWAITING_GRANT and entry.unanswered:
                start_if_admitted(turn, entry)

    def _drop_abandoned(self, turn: Turn) -> None:
        """End tries that wait and that nobody waits for."""
        for entry in list(turn.state.entries.values()):
            if entry.phase is Phase.AWAITING_GRANT and not entry.unanswered:
                turn.events.append(RunEnded(entry.request.id, Outcome.CANCELLED))
                turn.finish(entry)
        entries = turn.state.entries
        for run, ids in list(self._awaited_runs.items()):
            self._awaited_runs[run] = [id for id in ids if id in entries]


NO_SHARE = Share(0)


def fleet_event(turn: Turn, item: inputs.FleetEventReceived) -> None:
    """Take what came."""
    turn.state.fleet.handle_event(turn, item.event)


def attach_fleet(state: State, fleet: Fleet) -> None:
    """Have the fleet reached by the core, and heard before a keyed run."""
    state.fleet = fleet
    for check in state.run_admission.checks:
        if isinstance(check, SpendingCapCheck):
            fleet.cap_check = check
    state.run_admission.checks.append(fleet)


HANDLERS = {inputs.FleetEventReceived: fleet_event}
