"""Joins the handing over between processes to requests: what a claim, a grant and a result mean for entries.

The two state machines decide who owns the keys and when to listen or leave; ``Claims`` knows the tries of the other
process. Loaded only where there is a second address: the rest of the core reaches it as ``state.handover``.
"""

from __future__ import annotations

from sagetrestle.handover import elder, messages, successor
from sagetrestle.handover.claims import Claims, Found
from sagetrestle.interface import DrainNotice, Outcome, ProcessUsage, RunEnded
from sagetrestle.net.routing import periodic_tasks, health, inputs
from sagetrestle.net.routing.actions import start_if_admitted
from sagetrestle.net.routing.effects import Listen, SetConnectionLimit, StopListening, ExecuteHandoverDecision
from sagetrestle.net.routing.run_admission import RunDecision
from sagetrestle.net.routing.idempotency import KEY_WINDOW_MARGIN_US
from sagetrestle.net.routing.state import DrainState
from sagetrestle.net.routing.state import RequestEntry, Phase, State
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Answer, FailCause, Failed, Plan, Request

LOAD_REPORT_INTERVAL_US = 100_000  # between two words of the elder on what it holds
MAX_EXIT_WAIT_US, EXIT_WAIT_MARGIN_US = 3_000_000, 580_000  # SIGKILL follows SIGTERM by the longest deadline and 0.7 s
MIN_CONNECTIONS = 8  # connections of a front, however much the elder holds


class HandoverCoordinator:
    """A process as successor of one and elder of another."""

    def __init__(self, plan: Plan, name: str, listen: str) -> None:
        window = max((cls.window_us for cls in plan.settings.classes), default=0) + KEY_WINDOW_MARGIN_US
        self._name, self._listen = name, listen
        self._max_deadline_us = max(cls.deadline_us for cls in plan.settings.classes)
        self.elder = elder.Elder(name, listen, window)
        self.successor = successor.Successor(window_us=window)
        self.claims = Claims()
        self.old_process_descriptors = 0  # descriptors that the elder holds
        self._busy_reason = ""  # why the elder can not hand over, as last told
        self._exit_at: int | None = None  # when the process is ended after SIGTERM

    # What the rest of the core asks

    def next_due(self) -> int | None:
        """Return when time alone changes something here."""
        times = [at for at in (successor.due(self.successor), self._exit_at) if at is not None]
        return min(times, default=None)

    def handed_over(self) -> bool:
        """Tell whether another process serves in place of this one."""
        return elder.handed_over(self.elder)

    def has_pending_results(self, state: State) -> bool:
        """Tell whether the successor has yet to get a result from here."""
        running = any(entry.ran and state.keys.key_of(entry.request) for entry in state.entries.values())
        return self.elder.stage is elder.Stage.LEAVING and (running or not self.claims.settled())

    def connection_limit(self, maximum: int) -> int:
        """Return how many connections of a front there may be beside what the elder holds."""
        return max(MIN_CONNECTIONS, maximum - self.old_process_descriptors)

    def may_run(self, request: Request) -> bool:
        """Tell whether a keyed request that is not known here can not have run at another process."""
        return elder.may_run(self.elder, request.arrived) and successor.may_run(self.successor, request.arrived)

    def early_answer(self, turn: Turn, request: Request) -> Answer | None:
        """Fail a request that is not known here and may have run where nobody can be asked."""
        return None if self.may_run(request) else Failed()

    def check(self, turn: Turn, entry: RequestEntry) -> RunDecision:
        """Say whether a keyed run may start now; it may have to be granted first, or not run at all."""
        request = entry.request
        if entry.granted:
            return RunDecision.START
        if not self.may_run(request):
            turn.log(f"request {request.id} not run: it may have run at another process")
            turn.answer_repeat(entry, None)
            return RunDecision.HANDLED
        if elder.must_ask(self.elder):
            if request.id not in self.claims.pending:
                self.claims.pending.add(request.id)
                self._send_to_new_process(turn, messages.Claim(turn.state.keys.record(request)))
            return RunDecision.WAIT
        return RunDecision.START

    def wait_for_remote_run(self, by: str, id: str) -> bool:
        """Have a try here wait for one at the other process."""
        return self.claims.wait(by, id)

    def join_remote_run(self, turn: Turn, entry: RequestEntry) -> bool:
        """Have a try wait for the one of its key that runs at the other process; False if none does.

        The module is told that it is over: nothing is left to be decided about it but its due time.
        """
        by = turn.state.keys.run_id_in_window(entry.request)
        if by is None or not self.claims.wait(by, entry.request.id):
            return False
        entry.phase = Phase.JOINED
        turn.events.append(RunEnded(entry.request.id, Outcome.ERROR))
        return True

    def attempt_ended(self, turn: Turn, entry: RequestEntry) -> None:
        """Note that a try is over, which the other process may have to be told."""
        id = entry.request.id
        if entry.ran and entry.request.key and (elder.must_ask(self.elder) or id in self.claims.wanted):
            self.claims.wanted.discard(id)
            self.claims.send([id])

    # Events

    def start(self, turn: Turn, old_process_sockets: int) -> None:
        """Start: look for an elder where there may be one, or else listen."""
        self.step_new_process(turn, successor.Began(old_process_sockets))

    def kernel_up(self, turn: Turn) -> None:
        """Go on with taking over: the kernel was what was missing."""
        self.step_new_process(turn, successor.KernelUp())

    def step_new_process(self, turn: Turn, event: successor.Event) -> None:
        """Take an event of the stream to the elder."""
        if isinstance(event, successor.Said):
            self._handle_message(turn, event.message, self._send_to_old_process)
        self.successor, decisions = successor.step(self.successor, turn.now, event)
        for decision in decisions:
            match decision:
                case successor.Say(messages.Hello()):
                    self._send_to_old_process(turn, messages.Hello(messages.VERSION, self._name, self._listen))
                case successor.Say(message):
                    self._send_to_old_process(turn, message)
                case successor.TakeOver(fronts):
                    turn.log(f"taken over from the older process with {len(turn.state.keys.keys)} keys")
                    self._start_listening(turn, fronts)
                    self._send_to_old_process(turn, messages.Serving())
                case successor.ListenAlone(why):
                    if why:
                        turn.log(f"serving without the older process's keys: {why}")
                    self._start_listening(turn, ())
                case successor.ElderGone():
                    self._old_process_gone(turn)
                case _:
                    turn.effects.append(ExecuteHandoverDecision(decision))

    def step_old_process(self, turn: Turn, event: elder.Event) -> bool:
        """Take an event of a stream from a successor; tell whether the notice to leave is one to drain."""
        if isinstance(event, elder.Said) and event.link == self.elder.link:
            self._handle_message(turn, event.message, self._send_to_new_process)
        before = self.elder.stage
        if (
            before is elder.Stage.ALONE
            and self.successor.stage is not successor.Stage.ALONE
            and isinstance(event, elder.Said)
            and isinstance(event.message, messages.Hello)
        ):
            turn.effects += [
                ExecuteHandoverDecision(elder.Say(event.link, messages.Busy("the older process has yet to leave"))),
                ExecuteHandoverDecision(elder.HangUp(event.link)),
            ]
            return False
        self.elder, decisions = elder.step(self.elder, turn.now, event)
        drains = False
        for decision in decisions:
            match decision:
                case elder.Yield(link):
                    self._transfer_keys(turn, link)
                case elder.Leave():
                    turn.log("handed over: leaving to the newer process")
                    self._leave_connections(turn)
                case elder.Bound():
                    self._schedule_exit(turn)
                case elder.Drain():
                    drains = True
                case _:
                    turn.effects.append(ExecuteHandoverDecision(decision))
        if isinstance(event, elder.Unlinked) and before in (elder.Stage.YIELDED, elder.Stage.LEAVING):
            self._new_process_gone(turn)
        if drains and isinstance(event, elder.Unlinked):
            self._exit_at = None
            periodic_tasks.drain(turn)
        return drains

    def handle_stop(self, turn: Turn) -> bool:
        """Take the notice to leave; tell whether it is one to drain."""
        return self.step_old_process(turn, elder.Notice())

    def tick(self, turn: Turn) -> None:
        """Do what time alone brings, and send the results that may be sent."""
        at = successor.due(self.successor)
        if at is not None and turn.now >= at:
            self.step_new_process(turn, successor.Tick())
        if self._exit_at is not None and turn.now >= self._exit_at:
            self._exit_at = None
            self._leave_connections(turn, turn.now)
        to_heir = elder.must_ask(self.elder)
        if to_heir or self.successor.stage is successor.Stage.OWNER:
            batch = self.claims.next_batch(lambda id: _result_of(turn, id))
            if batch is not None:
                (self._send_to_new_process if to_heir else self._send_to_old_process)(turn, batch)

    # The elder's part

    def _transfer_keys(self, turn: Turn, link: int) -> None:
        """Give all keys away, the token last: after this turn nothing unknown runs here without a grant."""
        self.claims = Claims()
        records = turn.state.keys.records(turn.now)
        for part in messages.in_messages(records):
            turn.effects.append(ExecuteHandoverDecision(elder.Say(link, part)))
        doubt = max(self.elder.doubt_until, self.successor.doubt_until)
        fronts = tuple(name for name, most in turn.state.plan.bounds.connections.items() if most)
        turn.effects.append(ExecuteHandoverDecision(elder.Say(link, messages.Yours(fronts, doubt))))
        self.claims.send(record.id for record in records)
        turn.state.task_due_times["load"] = turn.now
        turn.log(f"handing over {len(records)} keys")

    def _leave_connections(self, turn: Turn, exit_at: int | None = None) -> None:
        """Take nothing new and leave all connections; the module goes on as ever with what was read."""
        state = turn.state
        if exit_at is None:
            exit_at = self._exit_at or turn.now + self._max_deadline_us + 2 * periodic_tasks.CLOSE_TIMEOUT_US
        if state.drain is not None:  # told to leave before there was a successor
            exit_at = min(exit_at, state.drain.exit_at)
        if state.drain is None or not state.drain.listeners_closed:
            turn.effects.append(StopListening(shared=True))
        state.drain = DrainState(turn.now, turn.now, exit_at, listeners_closed=True)
        state.task_due_times["drain"] = turn.now
        if self._exit_at is not None:
            self._announce_exit(turn, self._exit_at)
        self._exit_at = None

    def _schedule_exit(self, turn: Turn) -> None:
        """Be gone in time after SIGTERM; until the successor serves, this one serves on."""
        at = turn.now + min(self._max_deadline_us, MAX_EXIT_WAIT_US) + EXIT_WAIT_MARGIN_US
        if turn.state.drain is not None:
            turn.state.drain.exit_at = min(turn.state.drain.exit_at, at)
            self._announce_exit(turn, at)
        else:
            self._exit_at = at

    def _announce_exit(self, turn: Turn, at: int) -> None:
        """Have all answered by then, where deadlines alone would not see to it."""
        if self._max_deadline_us > MAX_EXIT_WAIT_US and turn.state.policy is not None:
            turn.events.append(DrainNotice(at))

    def _new_process_gone(self, turn: Turn) -> None:
        """Settle what only the successor could: claims are not granted, and its tries have no result."""
        turn.state.task_due_times.pop("load", None)
        turn.log("the newer process is gone")
        for id in sorted(self.claims.pending):
            entry = turn.state.entries.get(id)
            if entry is not None and entry.phase in (Phase.AWAITING_GRANT, Phase.QUEUED):
                turn.answer_repeat(entry, None)
        for by in list(self.claims.remote):
            self._resolve_waiters(turn, by, None)
        self.claims = Claims()

    def report_load(self, turn: Turn) -> None:
        """Tell the successor what is still held here of what both share."""
        state = turn.state
        beside = state.policy.usage() if state.policy is not None else ProcessUsage()
        held = state.plan.bounds.own + len(state.connections) + len(state.call_deadlines)
        self._send_to_new_process(turn, messages.Load(beside.memory_kb, beside.running, held))
        state.task_due_times["load"] = turn.now + LOAD_REPORT_INTERVAL_US

    # The successor's part

    def _start_listening(self, turn: Turn, fronts: tuple[str, ...]) -> None:
        turn.effects.append(Listen(fronts))
        turn.state.listening = True
        if turn.state.policy is not None:
            health.publish(turn)

    def _old_process_gone(self, turn: Turn) -> None:
        for by in list(self.claims.remote):
            self._resolve_waiters(turn, by, None)
        self.claims = Claims()
        self._handle_load(turn, messages.Load(0.0, 0, 0))
        turn.log("the older process is gone")

    def _handle_claim(self, turn: Turn, claim: messages.Claim) -> None:
        """Decide on a claim of the elder's: only what has no other try that ran in its window is granted."""
        record, keys = claim.record, turn.state.keys
        ran = keys.find_conflicting_run(record)
        if ran is None:
            keys.adopt_remote_run(record)
            self.claims.remote[record.id] = []
            self._send_to_old_process(turn, messages.Granted(record.id))
            return
        by, digest = ran
        self._send_to_old_process(turn, messages.Denied(record.id, by, digest))
        if by in turn.state.entries:
            self.claims.wanted.add(by)
        else:
            self.claims.send([by])

    def _handle_load(self, turn: Turn, load: messages.Load) -> None:
        """Keep both processes together within the bounds."""
        self.old_process_descriptors = load.descriptors
        turn.events.append(ProcessUsage(load.memory_kb, load.running))
        turn.effects += [
            SetConnectionLimit(name, self.connection_limit(most))
            for name, most in turn.state.plan.bounds.connections.items()
            if most
        ]

    # Both parts

    def _handle_message(self, turn: Turn, message: messages.Message, answer: object) -> None:
        """Take what concerns keys; the state machines take the rest."""
        match message:
            case messages.Records(records):
                for record in records:
                    turn.state.keys.adopt_remote_run(record)
                    self.claims.remote[record.id] = []
            case messages.Claim():
                self._handle_claim(turn, message)
            case messages.Granted(id):
                self._handle_granted(turn, id)
            case messages.Denied():
                self._handle_denied(turn, message)
            case messages.Results(results):
                for id, result, until in results:
                    turn.state.keys.store_remote_result(id, result, until)
                    self._resolve_waiters(turn, id, result)
                answer(turn, messages.More())  # type: ignore[operator]
            case messages.More():
                self.claims.acknowledged()
            case messages.Busy(why) if why != self._busy_reason:
                self._busy_reason = why
                turn.log(f"the older process hands nothing over yet: {why}")
            case messages.Load():
                self._handle_load(turn, message)

    def _handle_granted(self, turn: Turn, id: str) -> None:
        self.claims.pending.discard(id)
        entry = turn.state.entries.get(id)
        if entry is not None:
            entry.granted = True
            if entry.phase is Phase.AWAITING_GRANT:
                start_if_admitted(turn, entry)

    def _handle_denied(self, turn: Turn, denied: messages.Denied) -> None:
        """Have a try wait for the one that ran elsewhere, or fail where that had another body."""
        self.claims.pending.discard(denied.id)
        entry = turn.state.entries.get(denied.id)
        if entry is None:
            return
        if turn.state.keys.record(entry.request).digest != denied.digest:
            turn.answer(entry, Failed(FailCause.CONFLICT))
            turn.events.append(RunEnded(denied.id, Outcome.ERROR))
            turn.finish(entry)
            return
        self.claims.remote.setdefault(denied.by, []).append(denied.id)
        entry.phase = Phase.JOINED
        turn.events.append(RunEnded(denied.id, Outcome.ERROR))

    def _resolve_waiters(self, turn: Turn, by: str, result: bytes | None) -> None:
        """Answer those that waited for a try at the other process."""
        for id in self.claims.resolved(by):
            waiting = turn.state.entries.get(id)
            if waiting is not None and waiting.phase is Phase.JOINED:
                turn.answer_repeat(waiting, result)

    def _send_to_new_process(self, turn: Turn, message: messages.Message) -> None:
        turn.effects.append(ExecuteHandoverDecision(elder.Say(self.elder.link, message)))

    def _send_to_old_process(self, turn: Turn, message: messages.Message) -> None:
        turn.effects.append(ExecuteHandoverDecision(successor.Say(message)))


def _result_of(turn: Turn, id: str) -> Found:
    """Return what became of a try; one that was dropped for want of room has no result."""
    if id in turn.state.entries:
        return None
    finished = turn.state.keys.result(id)
    return (None, turn.now + turn.state.keys.late_read_us) if finished is None else (finished.result, finished.until)


def old_process_event(turn: Turn, item: inputs.OldProcessEvent) -> None:
    """Take an event of the stream to the elder."""
    turn.state.handover.step_new_process(turn, item.event)


def new_process_event(turn: Turn, item: inputs.NewProcessEvent) -> None:
    """Take an event of a stream from a successor."""
    turn.state.handover.step_old_process(turn, item.event)


HANDLERS = {inputs.OldProcessEvent: old_process_event, inputs.NewProcessEvent: new_process_event}
