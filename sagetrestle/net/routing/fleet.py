"""Joins the fleet to requests: what ownership, a record and a word from a kernel mean for entries.

The member decides who owns and what is known of a key (``takeover``); here that becomes starts, answers and waits.
Loaded only where ``deploy/fleet.toml`` is; the rest of the core reaches it as ``state.fleet`` and through the gate.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from sagetrestle.handover.messages import KeyName, KeyRecord
from sagetrestle.interface import Gone, Outcome, RunEnded
from sagetrestle.net.routing import inputs
from sagetrestle.net.routing.access import promised_to
from sagetrestle.net.routing.actions import through_gate
from sagetrestle.net.routing.caps import Caps
from sagetrestle.net.routing.effects import ToFleet
from sagetrestle.net.routing.fleet_events import (
    FateTold,
    FleetEvent,
    RecordsKept,
    RoomFound,
    SeatTaken,
    Seen,
    SlotsReported,
    StoreDone,
)
from sagetrestle.net.routing.gate import Word as Pass
from sagetrestle.net.routing.keys import MARGIN_US
from sagetrestle.net.routing.state import Entry, Phase, State
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Answer, Failed, FailCause, Refused, Request, Served
from sagetrestle.ownership.values import PartitionAssignment
from sagetrestle.recovery.effects import EffectError, EffectRecord, RecordKind, EffectState
from sagetrestle.takeover import effect_log, attempt_decision, node
from sagetrestle.takeover.attempt_decision import AttemptAction, AttemptDecision
from sagetrestle.verdicts import Subject

if TYPE_CHECKING:  # what is off is not loaded
    from sagetrestle.net.routing.strain import Strain

ELSEWHERE_US = 50_000  # how long to stay away from a member that does not own the key
PAUSED_US = 5_000_000  # how long to stay away from a class that is paused, at the most
LOOK_EVERY_US = 200_000  # for tries that wait and that nobody waits for any more


class Fleet:
    """A member's say on keyed runs.

    ``place`` names the server that a key's run would be sent to, where this member sends runs on: by class, tenant, key
    and whom promises name, empty where there is none.
    """

    def __init__(self, member: node.Node, place: Callable[[str, str, str, str], str] | None = None) -> None:
        self.node, self._place = member, place
        self._due_us = self._look_us = 0
        self.caps: Caps | None = None
        self.strain: Strain | None = None
        self._not_yet: dict[str, None] = {}  # tries that wait until this member may act, in their order
        self._asked: dict[str, list[str]] = {}  # runs of owners before, and the tries that wait for their ends

    # What the gate asks

    def judge(self, turn: Turn, entry: Entry) -> Pass:
        """Say whether a keyed try may run: its partition is owned here, and its record is at the backups."""
        request = entry.request
        verdict = self._verdict(turn, request)
        match verdict.action:
            case AttemptAction.JOIN_RUN if self._is_own(verdict, request):
                entry.token = (verdict.partition, verdict.assignment.epoch, self.node.member_id)
                return Pass.START if entry.recorded else Pass.WAIT
            case AttemptAction.RUN:
                return self._record(turn, entry, verdict)
            case AttemptAction.WAIT_FOR_LEASE:
                self._not_yet[request.id] = None
                return Pass.WAIT
            case AttemptAction.WAIT_FOR_FATE | AttemptAction.JOIN_RUN:
                self._wait_for(turn, entry, verdict)
                return Pass.OVER
        answer = self._answer(turn, verdict)
        assert answer is not None
        self._end(turn, entry, answer)
        return Pass.OVER

    def join(self, turn: Turn, entry: Entry) -> bool:
        """Have a try that the window forbids wait for a run of an owner before."""
        by = turn.state.keys.ran_id(entry.request)
        if by is None or not self.wait(by, entry.request.id):
            return False
        entry.phase = Phase.JOINED
        turn.events.append(RunEnded(entry.request.id, Outcome.ERROR))
        return True

    def wait(self, by: str, id: str) -> bool:
        """Have a try wait for a run of an owner before."""
        if by not in self._asked:
            return False
        self._asked[by].append(id)
        return True

    def door(self, turn: Turn, request: Request) -> Answer | None:
        """Answer at once what is known, or is not for this member; a run that is asked after is one to be joined."""
        verdict = self._verdict(turn, request)
        if verdict.action is AttemptAction.WAIT_FOR_FATE:
            self._adopt(turn, verdict)
        return self._answer(turn, verdict)

    def over(self, turn: Turn, entry: Entry) -> None:
        """Record what became of a try that was recorded."""
        self._not_yet.pop(entry.request.id, None)
        if not entry.recorded and entry.token is None:
            return
        request, keys = entry.request, turn.state.keys
        finished = keys.result(request.id)
        if entry.in_doubt:
            self._left_in_doubt(turn, entry)
            return
        if not entry.ran or keys.ran_id(request) != request.id and finished is None:
            kind, result = RecordKind.NEVER, b""
        elif finished is not None and finished.result is not None:
            kind, result = RecordKind.OUTCOME, finished.result
        else:
            kind, result = RecordKind.FAILED, b""
        entry.recorded, entry.token = False, None
        what = self._marks(turn, request)
        at, _ = self.node.effect_log.assignment_of(what.key)
        name = attempt_decision.effect_key(what.class_name, what.tenant, what.key)
        self.perform(
            turn,
            self.node.record_outcome(
                turn.now, turn.unix(), at, EffectRecord(kind, name, turn.unix(request.arrived), result=result)
            ),
        )

    # Inside

    def _left_in_doubt(self, turn: Turn, entry: Entry) -> None:
        """Leave a run's record as it is, and have it asked after."""
        entry.recorded, entry.token = False, None
        what = self._marks(turn, entry.request)
        at, _ = self.node.effect_log.assignment_of(what.key)
        name = attempt_decision.effect_key(what.class_name, what.tenant, what.key)
        self.perform(turn, self.node.mark_in_doubt(turn.now, turn.unix(), at, name))

    def _marks(self, turn: Turn, request: Request) -> effect_log.AttemptInfo:
        digest = hashlib.blake2b(request.body, digest_size=16).digest()
        cls = turn.state.plan.settings.classes[request.cls].name
        return effect_log.AttemptInfo(request.id, cls, request.tenant, request.key or "", digest)

    def _verdict(self, turn: Turn, request: Request) -> AttemptDecision:
        if not self.node.effect_log.map.assignments:
            return AttemptDecision(AttemptAction.WAIT_FOR_LEASE, 0, NOWHERE)
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
                return Refused(ELSEWHERE_US)
        return None

    def _end(self, turn: Turn, entry: Entry, answer: Answer) -> None:
        """Answer a try that the module had started, and that does not run here."""
        turn.answer(entry, answer)
        outcome = Outcome.OK if isinstance(answer, Served) else Outcome.ERROR
        if isinstance(answer, Refused):  # it never ran: what repeats it is to be looked at anew
            turn.state.keys.never_ran(entry.request)
            outcome = Outcome.FULL
        turn.events.append(RunEnded(entry.request.id, outcome))
        turn.over(entry)

    def _record(self, turn: Turn, entry: Entry, verdict: AttemptDecision) -> Pass:
        """Have the try's intent at all backups before it starts."""
        request, what = entry.request, self._marks(turn, entry.request)
        name = attempt_decision.effect_key(what.class_name, what.tenant, what.key)
        before = self.node.effect_log.last_attempt(verdict.partition, name)
        if before is not None:
            what = what._replace(lost_owners=before.lost_owners, server_ref=before.server_ref, pinned=before.pinned)
        if self._place is not None and not what.pinned:
            what = what._replace(server_ref=self._place(what.class_name, what.tenant, what.key, promised_to(request)))
        entry.place = what.server_ref
        intent = EffectRecord(
            RecordKind.INTENT, name, turn.unix(request.arrived), self.node.member_id, 0, effect_log.pack_attempt(what)
        )
        entry.token = (verdict.partition, verdict.assignment.epoch, self.node.member_id)
        entry.recorded = False
        try:
            decisions = self.node.record_intent(turn.now, turn.unix(), verdict.partition, request.id, intent)
        except EffectError as error:
            entry.token = None
            turn.log(f"request {request.id} not run: {error}")
            self._end(turn, entry, Failed())
            return Pass.OVER
        if effect_log.StartRun(request.id, entry.token) in decisions:  # no backup is asked for
            decisions.remove(effect_log.StartRun(request.id, entry.token))
            entry.recorded = True
        self.perform(turn, decisions)
        return Pass.START if entry.recorded else Pass.WAIT

    def _adopt(self, turn: Turn, verdict: AttemptDecision) -> str:
        """Know a run of an owner before as one that its repeats wait for."""
        assert verdict.effect is not None
        said = effect_log.unpack_attempt(verdict.effect.digest)
        settings = turn.state.plan.settings
        window = next((cls.window_us for cls in settings.classes if cls.name == said.class_name), 0)
        arrived = verdict.effect.at_us - turn.unix() + turn.now
        turn.state.keys.adopt(
            KeyRecord(
                KeyName(said.class_name, said.tenant, said.key),
                said.body,
                said.id,
                arrived,
                arrived + window + MARGIN_US,
            )
        )
        self._asked.setdefault(said.id, [])
        return said.id

    def _wait_for(self, turn: Turn, entry: Entry, verdict: AttemptDecision) -> None:
        by = self._adopt(turn, verdict)
        self._asked[by].append(entry.request.id)
        entry.phase = Phase.JOINED
        turn.events.append(RunEnded(entry.request.id, Outcome.ERROR))

    # What comes

    def began(self, turn: Turn) -> None:
        """Start."""
        self.perform(turn, self.node.start(turn.now, turn.unix()))

    def due(self) -> int:
        """Return when time alone changes something here."""
        return self._due_us

    def tick(self, turn: Turn) -> None:
        """Do what time brings."""
        if turn.now < self._due_us:
            return
        self.perform(turn, self.node.tick(turn.now, turn.unix()))
        self._again(turn)
        if self.strain is not None:
            for report in self.strain.tick(turn):
                self.perform(turn, self.node.report_level(turn.now, turn.unix(), report))
            if (served := self.strain.served(turn)) is not None:
                self.perform(turn, self.node.report_served(turn.now, turn.unix(), *served))
        self._due_us = self.node.next_tick_us(turn.now)
        if self._not_yet:
            self._due_us = min(self._due_us, turn.now + node.BUSY_TICK_US)
        if turn.now >= self._look_us:
            self._look_us = turn.now + LOOK_EVERY_US
            self._give_up(turn)

    def paused(self, turn: Turn, cls: int) -> int:
        """Return for how long a class is paused by an operator (0: it is not), to be told at once."""
        orders, unix = self.node.verdicts, turn.unix()
        if not orders.orders:
            return 0
        order = orders.in_force(unix, Subject("class", turn.state.plan.settings.classes[cls].name))
        if order is None:
            return 0
        return min(PAUSED_US, order.until_us - unix) if order.until_us else PAUSED_US

    def notice(self, turn: Turn) -> None:
        """Be on the way out: others take what is owned here."""
        self.perform(turn, self.node.start_leaving(turn.now, turn.unix()))

    def heard(self, turn: Turn, event: FleetEvent) -> None:
        """Take what came from other members, from the council's store, or from a kernel."""
        now, unix = turn.now, turn.unix()
        match event:
            case StoreDone(done):
                decisions = self.node.handle_persisted(now, unix, done)
            case RecordsKept(done):
                decisions = self.node.handle_changes_persisted(now, unix, done)
            case FateTold():
                decisions = self.node.handle_run_fate(now, unix, *event)
            case Seen(servers):
                decisions = self.node.observe_results(
                    now, unix, ((Subject("server", name, boot), good, bad) for name, boot, good, bad in servers)
                )
            case SlotsReported(reports):
                decisions = self.node.report_slots(now, unix, reports)
            case RoomFound():
                decisions = []
                if self.strain is not None:
                    self.strain.found(turn, event)
            case SeatTaken(seat):
                decisions = self.node.reset_voter(now, unix, seat)
            case _:
                decisions = self.node.handle_link_event(now, unix, event)
        self.perform(turn, decisions)

    def perform(self, turn: Turn, decisions: Iterable[node.Decision]) -> None:
        """Carry out what the member decided; what is not about requests goes to the program."""
        for what in decisions:
            match what:
                case effect_log.StartRun(id):
                    self._start(turn, id)
                case effect_log.RejectAttempt(id, owner):
                    self._turn_away(turn, id, owner)
                case effect_log.RunResolved():
                    self._resolved(turn, what)
                case effect_log.LogLine(text):
                    turn.log(text)
                case node.MapChanged():
                    self._changed(turn)
                case node.LevelReceived(region, level, age_us) if self.strain is not None:
                    self.strain.told(turn, level, age_us, region)
                case node.PlansReceived(plans) if self.strain is not None and self.strain.regions is not None:
                    self.strain.regions.told(turn.now, plans)
                case node.UnitsAvailable(limit) if self.caps is not None:
                    self.caps.ready(turn, limit)
                case _:
                    turn.effects.append(ToFleet(what))

    def _start(self, turn: Turn, id: str) -> None:
        entry = turn.state.entries.get(id)
        if entry is None:
            return
        entry.recorded = True
        if entry.phase is Phase.WAITING and entry.owed:
            through_gate(turn, entry)

    def _turn_away(self, turn: Turn, id: str, owner: str) -> None:
        entry = turn.state.entries.get(id)
        if entry is not None and entry.phase is Phase.WAITING:
            turn.log(f"request {id} not run: {owner} owns its partition now")
            entry.token = None  # its record is the new owner's to settle
            self._end(turn, entry, Refused(ELSEWHERE_US))

    def _resolved(self, turn: Turn, what: effect_log.RunResolved) -> None:
        """Answer those that waited for a run of an owner before; where it never ran they are to come again."""
        keys = turn.state.keys
        if what.state is EffectState.DONE:
            windows = (cls.window_us for cls in keys.settings.classes)
            keys.learn(what.run, what.result, turn.now + max(windows, default=0) + keys.late_read_us)
        else:
            keys.disown(what.run)
        for id in self._asked.pop(what.run, ()):
            entry = turn.state.entries.get(id)
            if entry is None or entry.phase is not Phase.JOINED:
                continue
            if what.state is EffectState.FREE:
                self._end(turn, entry, Refused(1))
            else:
                turn.reuse(entry, what.result if what.state is EffectState.DONE else None)

    def _changed(self, turn: Turn) -> None:
        """Let go at once what another owns now and that has not begun."""
        for entry in list(turn.state.entries.values()):
            if (
                entry.phase is Phase.HELD
                and entry.owed
                and not entry.ran
                and turn.state.keys.keyed(entry.request)
                and self._verdict(turn, entry.request).action is AttemptAction.REDIRECT
            ):
                entry.token = None
                turn.answer(entry, Refused(ELSEWHERE_US))
                turn.events.append(Gone(entry.request.id))
                turn.give_up(entry)
        for run, ids in list(self._asked.items()):
            self._moved(turn, run, ids)
        self._again(turn)

    def _moved(self, turn: Turn, run: str, ids: list[str]) -> None:
        """Send tries on that wait for the word on a run that another is to hear now."""
        waiting = [
            entry
            for id in ids
            if (entry := turn.state.entries.get(id)) is not None and entry.phase is Phase.JOINED and entry.owed
        ]
        if waiting and self._verdict(turn, waiting[0].request).action is AttemptAction.REDIRECT:
            del self._asked[run]
            turn.state.keys.disown(run)
            for entry in waiting:
                self._end(turn, entry, Refused(ELSEWHERE_US))

    def _again(self, turn: Turn) -> None:
        """Ask again for tries that this member could not run yet."""
        waiting, self._not_yet = self._not_yet, {}
        for id in waiting:
            entry = turn.state.entries.get(id)
            if entry is not None and entry.phase is Phase.WAITING and entry.owed:
                through_gate(turn, entry)

    def _give_up(self, turn: Turn) -> None:
        """End tries that wait and that nobody waits for."""
        for entry in list(turn.state.entries.values()):
            if entry.phase is Phase.WAITING and not entry.owed:
                turn.events.append(RunEnded(entry.request.id, Outcome.CANCELLED))
                turn.over(entry)
        entries = turn.state.entries
        for run, ids in list(self._asked.items()):
            self._asked[run] = [id for id in ids if id in entries]


NOWHERE = PartitionAssignment(0)


def event(turn: Turn, item: inputs.FromFleet) -> None:
    """Take what came."""
    turn.state.fleet.heard(turn, item.event)


def join_fleet(state: State, fleet: Fleet) -> None:
    """Have the fleet reached by the core, and heard before a keyed run."""
    state.fleet = fleet
    for one in state.gate.judges:
        if isinstance(one, Caps):
            fleet.caps = one
    state.gate.judges.append(fleet)


HANDLERS = {inputs.FromFleet: event}
