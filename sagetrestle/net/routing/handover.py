"""Joins the handing over between processes to requests: what a claim, a grant and a result mean for entries.

The two state machines decide who owns the keys and when to listen or leave; ``ResultExchange`` knows the tries of the
other process. Loaded only where there is a second address: the rest of the core reaches it as ``state.pair``.
"""

from __future__ import annotations

from sagetrestle.handover import old_process, messages, new_process
from sagetrestle.handover.result_exchange import ResultExchange, ResultLookup
from sagetrestle.interface import Beside, Drain, Outcome, RunEnded
from sagetrestle.net.routing import chores, health, inputs
from sagetrestle.net.routing.actions import through_gate
from sagetrestle.net.routing.effects import Listen, Room, StopListening, ToOther
from sagetrestle.net.routing.gate import Word
from sagetrestle.net.routing.keys import MARGIN_US
from sagetrestle.net.routing.state import Drain as DrainState
from sagetrestle.net.routing.state import Entry, Phase, State
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Answer, Failed, FailCause, Plan, Request

LOAD_EVERY_US = 100_000  # between two words of the elder on what it holds
BOUND_MOST_US, BOUND_AFTER_US = 3_000_000, 580_000  # SIGKILL follows SIGTERM by the longest deadline and 0.7 s
LEAST_ROOM = 8  # connections of a front, however much the elder holds


class Pair:
    """A process as successor of one and elder of another."""

    def __init__(self, plan: Plan, name: str, listen: str) -> None:
        window = max((cls.window_us for cls in plan.settings.classes), default=0) + MARGIN_US
        self._name, self._listen = name, listen
        self._longest_us = max(cls.deadline_us for cls in plan.settings.classes)
        self.elder = old_process.OldProcess(name, listen, window)
        self.successor = new_process.NewProcess(window_us=window)
        self.claims = ResultExchange()
        self.lent = 0  # descriptors that the elder holds
        self._busy = ""  # why the elder can not hand over, as last told
        self._bound_at: int | None = None  # when the process is ended after SIGTERM

    # What the rest of the core asks

    def due(self) -> int | None:
        """Return when time alone changes something here."""
        times = [at for at in (new_process.next_deadline(self.successor), self._bound_at) if at is not None]
        return min(times, default=None)

    def handed_over(self) -> bool:
        """Tell whether another process serves in place of this one."""
        return old_process.handed_over(self.elder)

    def busy(self, state: State) -> bool:
        """Tell whether the successor has yet to get a result from here."""
        running = any(entry.ran and state.keys.key_of(entry.request) for entry in state.entries.values())
        return self.elder.stage is old_process.Stage.LEAVING and (running or not self.claims.settled())

    def room(self, most: int) -> int:
        """Return how many connections of a front there may be beside what the elder holds."""
        return max(LEAST_ROOM, most - self.lent)

    def may_run(self, request: Request) -> bool:
        """Tell whether a keyed request that is not known here can not have run at another process."""
        return old_process.may_run(self.elder, request.arrived) and new_process.may_run(self.successor, request.arrived)

    def door(self, turn: Turn, request: Request) -> Answer | None:
        """Fail a request that is not known here and may have run where nobody can be asked."""
        return None if self.may_run(request) else Failed()

    def judge(self, turn: Turn, entry: Entry) -> Word:
        """Say whether a keyed run may start now; it may have to be granted first, or not run at all."""
        request = entry.request
        if entry.claimed:
            return Word.START
        if not self.may_run(request):
            turn.log(f"request {request.id} not run: it may have run at another process")
            turn.reuse(entry, None)
            return Word.OVER
        if old_process.needs_grant(self.elder):
            if request.id not in self.claims.pending_grants:
                self.claims.pending_grants.add(request.id)
                self._to_heir(turn, messages.Claim(turn.state.keys.record(request)))
            return Word.WAIT
        return Word.START

    def wait(self, by: str, id: str) -> bool:
        """Have a try here wait for one at the other process."""
        return self.claims.wait(by, id)

    def join(self, turn: Turn, entry: Entry) -> bool:
        """Have a try wait for the one of its key that runs at the other process; False if none does.

        The module is told that it is over: nothing is left to be decided about it but its due time.
        """
        by = turn.state.keys.ran_id(entry.request)
        if by is None or not self.claims.wait(by, entry.request.id):
            return False
        entry.phase = Phase.JOINED
        turn.events.append(RunEnded(entry.request.id, Outcome.ERROR))
        return True

    def over(self, turn: Turn, entry: Entry) -> None:
        """Note that a try is over, which the other process may have to be told."""
        id = entry.request.id
        if (
            entry.ran
            and entry.request.key
            and (old_process.needs_grant(self.elder) or id in self.claims.wanted_results)
        ):
            self.claims.wanted_results.discard(id)
            self.claims.send([id])

    # Events

    def began(self, turn: Turn, elders: int) -> None:
        """Start: look for an elder where there may be one, or else listen."""
        self.step_successor(turn, new_process.Started(elders))

    def kernel_up(self, turn: Turn) -> None:
        """Go on with taking over: the kernel was what was missing."""
        self.step_successor(turn, new_process.KernelUp())

    def step_successor(self, turn: Turn, event: new_process.Event) -> None:
        """Take an event of the stream to the elder."""
        if isinstance(event, new_process.MessageReceived):
            self._heard(turn, event.message, self._to_elder)
        self.successor, decisions = new_process.step(self.successor, turn.now, event)
        for what in decisions:
            match what:
                case new_process.SendMessage(messages.Hello()):
                    self._to_elder(turn, messages.Hello(messages.VERSION, self._name, self._listen))
                case new_process.SendMessage(message):
                    self._to_elder(turn, message)
                case new_process.TakeOver(fronts):
                    turn.log(f"taken over from the older process with {len(turn.state.keys.keys)} keys")
                    self._listen_at(turn, fronts)
                    self._to_elder(turn, messages.Serving())
                case new_process.ListenOnOwnSocket(why):
                    if why:
                        turn.log(f"serving without the older process's keys: {why}")
                    self._listen_at(turn, ())
                case new_process.OldProcessGone():
                    self._elder_gone(turn)
                case _:
                    turn.effects.append(ToOther(what))

    def step_elder(self, turn: Turn, event: old_process.Event) -> bool:
        """Take an event of a stream from a successor; tell whether the notice to leave is one to drain."""
        if isinstance(event, old_process.MessageReceived) and event.link == self.elder.link:
            self._heard(turn, event.message, self._to_heir)
        before = self.elder.stage
        if (
            before is old_process.Stage.ALONE
            and self.successor.stage is not new_process.Stage.ALONE
            and isinstance(event, old_process.MessageReceived)
            and isinstance(event.message, messages.Hello)
        ):
            turn.effects += [
                ToOther(old_process.SendMessage(event.link, messages.Busy("the older process has yet to leave"))),
                ToOther(old_process.CloseConnection(event.link)),
            ]
            return False
        self.elder, decisions = old_process.step(self.elder, turn.now, event)
        drains = False
        for what in decisions:
            match what:
                case old_process.TransferKeys(link):
                    self._yield(turn, link)
                case old_process.StopAccepting():
                    turn.log("handed over: leaving to the newer process")
                    self._leave(turn)
                case old_process.ScheduleExit():
                    self._bound(turn)
                case old_process.StartDrain():
                    drains = True
                case _:
                    turn.effects.append(ToOther(what))
        if isinstance(event, old_process.Disconnected) and before in (
            old_process.Stage.YIELDED,
            old_process.Stage.LEAVING,
        ):
            self._heir_gone(turn)
        if drains and isinstance(event, old_process.Disconnected):
            self._bound_at = None
            chores.drain(turn)
        return drains

    def notice(self, turn: Turn) -> bool:
        """Take the notice to leave; tell whether it is one to drain."""
        return self.step_elder(turn, old_process.SigtermReceived())

    def tick(self, turn: Turn) -> None:
        """Do what time alone brings, and send the results that may be sent."""
        at = new_process.next_deadline(self.successor)
        if at is not None and turn.now >= at:
            self.step_successor(turn, new_process.Tick())
        if self._bound_at is not None and turn.now >= self._bound_at:
            self._bound_at = None
            self._leave(turn, turn.now)
        to_heir = old_process.needs_grant(self.elder)
        if to_heir or self.successor.stage is new_process.Stage.OWNER:
            batch = self.claims.next_batch(lambda id: _found(turn, id))
            if batch is not None:
                (self._to_heir if to_heir else self._to_elder)(turn, batch)

    # The elder's part

    def _yield(self, turn: Turn, link: int) -> None:
        """Give all keys away, the token last: after this turn nothing unknown runs here without a grant."""
        self.claims = ResultExchange()
        records = turn.state.keys.records(turn.now)
        for part in messages.split_records(records):
            turn.effects.append(ToOther(old_process.SendMessage(link, part)))
        doubt = max(self.elder.doubt_until, self.successor.doubt_until)
        fronts = tuple(name for name, most in turn.state.plan.bounds.connections.items() if most)
        turn.effects.append(ToOther(old_process.SendMessage(link, messages.Yours(fronts, doubt))))
        self.claims.send(record.id for record in records)
        turn.state.chores["load"] = turn.now
        turn.log(f"handing over {len(records)} keys")

    def _leave(self, turn: Turn, exit_at: int | None = None) -> None:
        """Take nothing new and leave all connections; the module goes on as ever with what was read."""
        state = turn.state
        if exit_at is None:
            exit_at = self._bound_at or turn.now + self._longest_us + 2 * chores.LEAVING_US
        if state.drain is not None:  # told to leave before there was a successor
            exit_at = min(exit_at, state.drain.exit_at)
        if state.drain is None or not state.drain.closed:
            turn.effects.append(StopListening(shared=True))
        state.drain = DrainState(turn.now, turn.now, exit_at, closed=True)
        state.chores["drain"] = turn.now
        if self._bound_at is not None:
            self._tell_module(turn, self._bound_at)
        self._bound_at = None

    def _bound(self, turn: Turn) -> None:
        """Be gone in time after SIGTERM; until the successor serves, this one serves on."""
        at = turn.now + min(self._longest_us, BOUND_MOST_US) + BOUND_AFTER_US
        if turn.state.drain is not None:
            turn.state.drain.exit_at = min(turn.state.drain.exit_at, at)
            self._tell_module(turn, at)
        else:
            self._bound_at = at

    def _tell_module(self, turn: Turn, at: int) -> None:
        """Have all answered by then, where deadlines alone would not see to it."""
        if self._longest_us > BOUND_MOST_US and turn.state.policy is not None:
            turn.events.append(Drain(at))

    def _heir_gone(self, turn: Turn) -> None:
        """Settle what only the successor could: claims are not granted, and its tries have no result."""
        turn.state.chores.pop("load", None)
        turn.log("the newer process is gone")
        for id in sorted(self.claims.pending_grants):
            entry = turn.state.entries.get(id)
            if entry is not None and entry.phase in (Phase.WAITING, Phase.HELD):
                turn.reuse(entry, None)
        for by in list(self.claims.waiters):
            self._settle(turn, by, None)
        self.claims = ResultExchange()

    def load(self, turn: Turn) -> None:
        """Tell the successor what is still held here of what both share."""
        state = turn.state
        beside = state.policy.load() if state.policy is not None else Beside()
        held = state.plan.bounds.own + len(state.connections) + len(state.calls)
        self._to_heir(turn, messages.Load(beside.memory_kb, beside.running, held))
        state.chores["load"] = turn.now + LOAD_EVERY_US

    # The successor's part

    def _listen_at(self, turn: Turn, fronts: tuple[str, ...]) -> None:
        turn.effects.append(Listen(fronts))
        turn.state.listening = True
        if turn.state.policy is not None:
            health.changed(turn)

    def _elder_gone(self, turn: Turn) -> None:
        for by in list(self.claims.waiters):
            self._settle(turn, by, None)
        self.claims = ResultExchange()
        self._lent(turn, messages.Load(0.0, 0, 0))
        turn.log("the older process is gone")

    def _claimed(self, turn: Turn, claim: messages.Claim) -> None:
        """Decide on a claim of the elder's: only what has no other try that ran in its window is granted."""
        record, keys = claim.record, turn.state.keys
        ran = keys.ran_within(record)
        if ran is None:
            keys.adopt(record)
            self.claims.waiters[record.id] = []
            self._to_elder(turn, messages.Granted(record.id))
            return
        by, digest = ran
        self._to_elder(turn, messages.Denied(record.id, by, digest))
        if by in turn.state.entries:
            self.claims.wanted_results.add(by)
        else:
            self.claims.send([by])

    def _lent(self, turn: Turn, load: messages.Load) -> None:
        """Keep both processes together within the bounds."""
        self.lent = load.descriptors
        turn.events.append(Beside(load.memory_kb, load.running))
        turn.effects += [
            Room(name, self.room(most)) for name, most in turn.state.plan.bounds.connections.items() if most
        ]

    # Both parts

    def _heard(self, turn: Turn, message: messages.Message, answer: object) -> None:
        """Take what concerns keys; the state machines take the rest."""
        match message:
            case messages.Records(records):
                for record in records:
                    turn.state.keys.adopt(record)
                    self.claims.waiters[record.id] = []
            case messages.Claim():
                self._claimed(turn, message)
            case messages.Granted(id):
                self._granted(turn, id)
            case messages.Denied():
                self._denied(turn, message)
            case messages.Results(results):
                for id, result, until in results:
                    turn.state.keys.learn(id, result, until)
                    self._settle(turn, id, result)
                answer(turn, messages.More())  # type: ignore[operator]
            case messages.More():
                self.claims.acknowledged()
            case messages.Busy(why) if why != self._busy:
                self._busy = why
                turn.log(f"the older process hands nothing over yet: {why}")
            case messages.Load():
                self._lent(turn, message)

    def _granted(self, turn: Turn, id: str) -> None:
        self.claims.pending_grants.discard(id)
        entry = turn.state.entries.get(id)
        if entry is not None:
            entry.claimed = True
            if entry.phase is Phase.WAITING:
                through_gate(turn, entry)

    def _denied(self, turn: Turn, denied: messages.Denied) -> None:
        """Have a try wait for the one that ran elsewhere, or fail where that had another body."""
        self.claims.pending_grants.discard(denied.id)
        entry = turn.state.entries.get(denied.id)
        if entry is None:
            return
        if turn.state.keys.record(entry.request).digest != denied.digest:
            turn.answer(entry, Failed(FailCause.CONFLICT))
            turn.events.append(RunEnded(denied.id, Outcome.ERROR))
            turn.over(entry)
            return
        self.claims.waiters.setdefault(denied.by, []).append(denied.id)
        entry.phase = Phase.JOINED
        turn.events.append(RunEnded(denied.id, Outcome.ERROR))

    def _settle(self, turn: Turn, by: str, result: bytes | None) -> None:
        """Answer those that waited for a try at the other process."""
        for id in self.claims.resolved(by):
            waiting = turn.state.entries.get(id)
            if waiting is not None and waiting.phase is Phase.JOINED:
                turn.reuse(waiting, result)

    def _to_heir(self, turn: Turn, message: messages.Message) -> None:
        turn.effects.append(ToOther(old_process.SendMessage(self.elder.link, message)))

    def _to_elder(self, turn: Turn, message: messages.Message) -> None:
        turn.effects.append(ToOther(new_process.SendMessage(message)))


def _found(turn: Turn, id: str) -> ResultLookup:
    """Return what became of a try; one that was dropped for want of room has no result."""
    if id in turn.state.entries:
        return None
    finished = turn.state.keys.result(id)
    return (None, turn.now + turn.state.keys.late_read_us) if finished is None else (finished.result, finished.until)


def elder_event(turn: Turn, item: inputs.FromElder) -> None:
    """Take an event of the stream to the elder."""
    turn.state.pair.step_successor(turn, item.event)


def heir_event(turn: Turn, item: inputs.FromHeir) -> None:
    """Take an event of a stream from a successor."""
    turn.state.pair.step_elder(turn, item.event)


HANDLERS = {inputs.FromElder: elder_event, inputs.FromHeir: heir_event}
