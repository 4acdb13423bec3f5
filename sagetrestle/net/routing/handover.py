"""Connects the handover between processes to requests: applies claims, grants and results to request entries.

The state machines of the old and the new process decide who owns the keys and when to listen or leave; a process may
have both roles, one after the other. ``ResultExchange`` tracks the attempts of the other process. Loaded only where the
server has a management address; the rest of the core reaches it as ``state.handover``.
"""

from __future__ import annotations

from sagetrestle.handover import old_process, messages, new_process
from sagetrestle.handover.result_exchange import ResultExchange, ResultLookup
from sagetrestle.interface import DrainNotice, Outcome, ProcessUsage, RunEnded
from sagetrestle.net.routing import health, inputs, periodic_tasks
from sagetrestle.net.routing.actions import start_if_admitted
from sagetrestle.net.routing.effects import ExecuteHandoverDecision, Listen, SetConnectionLimit, StopListening
from sagetrestle.net.routing.idempotency import KEY_WINDOW_MARGIN_US
from sagetrestle.net.routing.run_admission import RunDecision
from sagetrestle.net.routing.state import DrainState, Phase, RequestEntry, State
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Answer, FailCause, Failed, Plan, Request

LOAD_REPORT_INTERVAL_US = 100_000  # between the old process's reports of its resources
# SIGKILL follows SIGTERM by the longest deadline plus 0.7 s; the process exits after its deadline plus 0.58 s.
MAX_EXIT_WAIT_US = 3_000_000  # bounds the longest deadline in that sum
EXIT_WAIT_MARGIN_US = 580_000
NO_BODY_DIGEST = b""  # equals no body's digest, so that a denial with it is a conflict
MIN_CONNECTIONS = 8  # of a front, however many descriptors the old process holds


class HandoverCoordinator:
    """The handover of a process: from an old process, and later to a new one."""

    def __init__(self, plan: Plan, name: str, listen: str) -> None:
        window = (
            max((request_class.window_us for request_class in plan.settings.classes), default=0) + KEY_WINDOW_MARGIN_US
        )
        self._name, self._listen = name, listen
        self._max_deadline_us = max(request_class.deadline_us for request_class in plan.settings.classes)
        self.old_role = old_process.OldProcess(name, listen, window)
        self.new_role = new_process.NewProcess(window_us=window)
        self.claims = ResultExchange()
        self.old_process_descriptors = 0  # open file descriptors of the old process
        self._busy_reason = ""  # why the old process cannot hand over yet, as last reported
        self._exit_at: int | None = None  # by when to exit after SIGTERM

    # Interface to the rest of the core

    def next_due(self) -> int | None:
        """Return when ``tick`` is due next."""
        times = [time for time in (new_process.next_deadline(self.new_role), self._exit_at) if time is not None]
        return min(times, default=None)

    def handed_over(self) -> bool:
        """Return whether a new process serves in place of this one."""
        return old_process.handed_over(self.old_role)

    def has_pending_results(self, state: State) -> bool:
        """Return whether the new process still waits for results of this one."""
        running = any(entry.ran and state.keys.key_of(entry.request) for entry in state.entries.values())
        return self.old_role.stage is old_process.Stage.LEAVING and (running or not self.claims.settled())

    def connection_limit(self, maximum: int) -> int:
        """Return the maximum number of connections of a front beside the old process's descriptors."""
        return max(MIN_CONNECTIONS, maximum - self.old_process_descriptors)

    def may_run(self, request: Request) -> bool:
        """Return whether a keyed request that is unknown here cannot have run in another process."""
        return old_process.may_run(self.old_role, request.arrived) and new_process.may_run(
            self.new_role, request.arrived
        )

    def early_answer(self, turn: Turn, request: Request) -> Answer | None:
        """Fail a request that is unknown here and may have run in a process that can no longer be asked."""
        return None if self.may_run(request) else Failed()

    def check(self, turn: Turn, entry: RequestEntry) -> RunDecision:
        """Decide whether a keyed run may start now, has to be granted by the new process first, or must not run."""
        request = entry.request
        if entry.granted:
            return RunDecision.START
        if not self.may_run(request):
            turn.log(f"request {request.id} not run: it may have run at another process")
            turn.answer_repeat(entry, None)
            return RunDecision.HANDLED
        if old_process.needs_grant(self.old_role):
            if request.id not in self.claims.pending_grants:
                self.claims.pending_grants.add(request.id)
                self._send_to_new_process(turn, messages.Claim(turn.state.keys.record(request)))
            return RunDecision.WAIT
        return RunDecision.START

    def wait_for_remote_run(self, by: str, id: str) -> bool:
        """Make attempt ``id`` wait for attempt ``by`` of the other process; return False if that is unknown."""
        return self.claims.wait(by, id)

    def join_remote_run(self, turn: Turn, entry: RequestEntry) -> bool:
        """Make an attempt wait for the run of its key in the other process; return False if there is none.

        For the policy the attempt has ended: only its deadline matters from here on.
        """
        by = turn.state.keys.run_id_in_window(entry.request)
        if by is None or not self.claims.wait(by, entry.request.id):
            return False
        entry.phase = Phase.JOINED
        turn.events.append(RunEnded(entry.request.id, Outcome.ERROR))
        return True

    def attempt_ended(self, turn: Turn, entry: RequestEntry) -> None:
        """Schedule the result of an attempt that ended for sending, if the other process needs it."""
        id = entry.request.id
        if (
            entry.ran
            and entry.request.key
            and (old_process.needs_grant(self.old_role) or id in self.claims.wanted_results)
        ):
            self.claims.wanted_results.discard(id)
            self.claims.send([id])

    # Events

    def start(self, turn: Turn, old_process_sockets: int) -> None:
        """Start: look for an old process if there may be one, otherwise listen."""
        self.step_new_process(turn, new_process.Started(old_process_sockets))

    def kernel_up(self, turn: Turn) -> None:
        """Continue the takeover, which waits for the kernel."""
        self.step_new_process(turn, new_process.KernelUp())

    def step_new_process(self, turn: Turn, event: new_process.Event) -> None:
        """Handle an event of the stream to the old process."""
        if isinstance(event, new_process.MessageReceived):
            self._handle_message(turn, event.message, self._send_to_old_process)
        self.new_role, decisions = new_process.step(self.new_role, turn.now, event)
        for decision in decisions:
            match decision:
                case new_process.SendMessage(messages.Hello()):
                    self._send_to_old_process(turn, messages.Hello(messages.VERSION, self._name, self._listen))
                case new_process.SendMessage(message):
                    self._send_to_old_process(turn, message)
                case new_process.TakeOver(fronts):
                    turn.log(f"taken over from the older process with {len(turn.state.keys.keys)} keys")
                    self._start_listening(turn, fronts)
                    self._send_to_old_process(turn, messages.Serving())
                case new_process.ListenOnOwnSocket(reason):
                    if reason:
                        turn.log(f"serving without the older process's keys: {reason}")
                    self._start_listening(turn, ())
                case new_process.OldProcessGone():
                    self._old_process_gone(turn)
                case _:
                    turn.effects.append(ExecuteHandoverDecision(decision))

    def step_old_process(self, turn: Turn, event: old_process.Event) -> bool:
        """Handle an event of a stream from a new process; return whether the stop signal starts a drain."""
        if isinstance(event, old_process.MessageReceived) and event.link == self.old_role.link:
            self._handle_message(turn, event.message, self._send_to_new_process)
        before = self.old_role.stage
        if (
            before is old_process.Stage.ALONE
            and self.new_role.stage is not new_process.Stage.ALONE
            and isinstance(event, old_process.MessageReceived)
            and isinstance(event.message, messages.Hello)
        ):
            turn.effects += [
                ExecuteHandoverDecision(
                    old_process.SendMessage(event.link, messages.Busy("the older process has yet to leave"))
                ),
                ExecuteHandoverDecision(old_process.CloseConnection(event.link)),
            ]
            return False
        self.old_role, decisions = old_process.step(self.old_role, turn.now, event)
        drains = False
        for decision in decisions:
            match decision:
                case old_process.TransferKeys(link):
                    self._transfer_keys(turn, link)
                case old_process.StopAccepting():
                    turn.log("handed over: leaving to the newer process")
                    self._leave_connections(turn)
                case old_process.ScheduleExit():
                    self._schedule_exit(turn)
                case old_process.StartDrain():
                    drains = True
                case _:
                    turn.effects.append(ExecuteHandoverDecision(decision))
        if isinstance(event, old_process.Disconnected) and before in (
            old_process.Stage.YIELDED,
            old_process.Stage.LEAVING,
        ):
            self._new_process_gone(turn)
        if drains and isinstance(event, old_process.Disconnected):
            self._exit_at = None
            periodic_tasks.drain(turn)
        return drains

    def handle_stop(self, turn: Turn) -> bool:
        """Handle the stop signal; return whether it starts a drain."""
        return self.step_old_process(turn, old_process.SigtermReceived())

    def tick(self, turn: Turn) -> None:
        """Run due timers and send the next batch of results."""
        due = new_process.next_deadline(self.new_role)
        if due is not None and turn.now >= due:
            self.step_new_process(turn, new_process.Tick())
        if self._exit_at is not None and turn.now >= self._exit_at:
            self._exit_at = None
            self._leave_connections(turn, turn.now)
        to_new_process = old_process.needs_grant(self.old_role)
        if to_new_process or self.new_role.stage is new_process.Stage.OWNER:
            batch = self.claims.next_batch(lambda id: _result_of(turn, id))
            if batch is not None:
                (self._send_to_new_process if to_new_process else self._send_to_old_process)(turn, batch)

    # The role of the old process

    def _transfer_keys(self, turn: Turn, link: int) -> None:
        """Send all keys and then the ownership token; after this turn unknown keys run here only with a grant."""
        self.claims = ResultExchange()
        records = turn.state.keys.records(turn.now)
        for part in messages.split_records(records):
            turn.effects.append(ExecuteHandoverDecision(old_process.SendMessage(link, part)))
        doubt_until = max(self.old_role.doubt_until, self.new_role.doubt_until)
        fronts = tuple(name for name, maximum in turn.state.plan.bounds.connections.items() if maximum)
        turn.effects.append(ExecuteHandoverDecision(old_process.SendMessage(link, messages.Yours(fronts, doubt_until))))
        self.claims.send(record.id for record in records)
        turn.state.task_due_times["load"] = turn.now
        turn.log(f"handing over {len(records)} keys")

    def _leave_connections(self, turn: Turn, exit_at: int | None = None) -> None:
        """Stop listening and ask all clients to leave; the policy continues with the requests already read."""
        state = turn.state
        if exit_at is None:
            exit_at = self._exit_at or turn.now + self._max_deadline_us + 2 * periodic_tasks.CLOSE_TIMEOUT_US
        if state.drain is not None:  # the stop signal came before there was a new process
            exit_at = min(exit_at, state.drain.exit_at)
        if state.drain is None or not state.drain.listeners_closed:
            turn.effects.append(StopListening(shared=True))
        state.drain = DrainState(turn.now, turn.now, exit_at, listeners_closed=True)
        state.task_due_times["drain"] = turn.now
        if self._exit_at is not None:
            self._announce_exit(turn, self._exit_at)
        self._exit_at = None

    def _schedule_exit(self, turn: Turn) -> None:
        """Schedule the exit after SIGTERM; this process serves until the new one does."""
        exit_at = turn.now + min(self._max_deadline_us, MAX_EXIT_WAIT_US) + EXIT_WAIT_MARGIN_US
        if turn.state.drain is not None:
            turn.state.drain.exit_at = min(turn.state.drain.exit_at, exit_at)
            self._announce_exit(turn, exit_at)
        else:
            self._exit_at = exit_at

    def _announce_exit(self, turn: Turn, exit_at: int) -> None:
        """Tell the policy to answer all requests by ``exit_at`` if some deadlines are later."""
        if self._max_deadline_us > MAX_EXIT_WAIT_US and turn.state.policy is not None:
            turn.events.append(DrainNotice(exit_at))

    def _new_process_gone(self, turn: Turn) -> None:
        """Fail what only the new process could settle: pending claims, and repeats of its attempts."""
        turn.state.task_due_times.pop("load", None)
        turn.log("the newer process is gone")
        for id in sorted(self.claims.pending_grants):
            entry = turn.state.entries.get(id)
            if entry is not None and entry.phase in (Phase.AWAITING_GRANT, Phase.QUEUED):
                turn.answer_repeat(entry, None)
        for by in list(self.claims.waiters):
            self._resolve_waiters(turn, by, None)
        self.claims = ResultExchange()

    def report_load(self, turn: Turn) -> None:
        """Report to the new process what this one still holds of the resources that both share."""
        state = turn.state
        beside = state.policy.usage() if state.policy is not None else ProcessUsage()
        held = state.plan.bounds.own + len(state.connections) + len(state.call_deadlines)
        self._send_to_new_process(turn, messages.Load(beside.memory_kb, beside.running, held))
        state.task_due_times["load"] = turn.now + LOAD_REPORT_INTERVAL_US

    # The role of the new process

    def _start_listening(self, turn: Turn, fronts: tuple[str, ...]) -> None:
        turn.effects.append(Listen(fronts))
        turn.state.listening = True
        if turn.state.policy is not None:
            health.publish(turn)

    def _old_process_gone(self, turn: Turn) -> None:
        for by in list(self.claims.waiters):
            self._resolve_waiters(turn, by, None)
        self.claims = ResultExchange()
        self._handle_load(turn, messages.Load(0.0, 0, 0))
        turn.log("the older process is gone")

    def _handle_claim(self, turn: Turn, claim: messages.Claim) -> None:
        """Decide on a claim of the old process; grant it unless another attempt ran within the window.

        An attempt whose id is in use here conflicts, as its result could not be told from that of the other one.
        """
        record, keys = claim.record, turn.state.keys
        if record.id in turn.state.entries or keys.knows_id(record.id):
            turn.log(f"claim of {record.id} denied: its id came before")
            self._send_to_old_process(turn, messages.Denied(record.id, record.id, NO_BODY_DIGEST))
            return
        ran = keys.find_conflicting_run(record)
        if ran is None:
            keys.adopt_remote_run(record)
            self.claims.waiters[record.id] = []
            self._send_to_old_process(turn, messages.Granted(record.id))
            return
        by, digest = ran
        self._send_to_old_process(turn, messages.Denied(record.id, by, digest))
        if by in turn.state.entries:
            self.claims.wanted_results.add(by)
        else:
            self.claims.send([by])

    def _handle_load(self, turn: Turn, load: messages.Load) -> None:
        """Adjust the limits so that both processes together stay within the bounds."""
        self.old_process_descriptors = load.descriptors
        turn.events.append(ProcessUsage(load.memory_kb, load.running))
        turn.effects += [
            SetConnectionLimit(name, self.connection_limit(maximum))
            for name, maximum in turn.state.plan.bounds.connections.items()
            if maximum
        ]

    # Both roles

    def _handle_message(self, turn: Turn, message: messages.Message, send: object) -> None:
        """Handle the messages about keys and load; the state machines handle the others."""
        match message:
            case messages.Records(records):
                for record in records:
                    turn.state.keys.adopt_remote_run(record)
                    self.claims.waiters[record.id] = []
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
                send(turn, messages.More())  # type: ignore[operator]
            case messages.More():
                self.claims.acknowledged()
            case messages.Busy(reason) if reason != self._busy_reason:
                self._busy_reason = reason
                turn.log(f"the older process hands nothing over yet: {reason}")
            case messages.Load():
                self._handle_load(turn, message)

    def _handle_granted(self, turn: Turn, id: str) -> None:
        self.claims.pending_grants.discard(id)
        entry = turn.state.entries.get(id)
        if entry is not None:
            entry.granted = True
            if entry.phase is Phase.AWAITING_GRANT:
                start_if_admitted(turn, entry)

    def _handle_denied(self, turn: Turn, denied: messages.Denied) -> None:
        """Make an attempt wait for the one that ran in the other process, or fail it if that had another body."""
        self.claims.pending_grants.discard(denied.id)
        entry = turn.state.entries.get(denied.id)
        if entry is None:
            return
        if turn.state.keys.record(entry.request).digest != denied.digest:
            turn.answer(entry, Failed(FailCause.CONFLICT))
            turn.events.append(RunEnded(denied.id, Outcome.ERROR))
            turn.finish(entry)
            return
        self.claims.waiters.setdefault(denied.by, []).append(denied.id)
        entry.phase = Phase.JOINED
        turn.events.append(RunEnded(denied.id, Outcome.ERROR))

    def _resolve_waiters(self, turn: Turn, by: str, result: bytes | None) -> None:
        """Answer the attempts that waited for attempt ``by`` of the other process."""
        for id in self.claims.resolved(by):
            waiting = turn.state.entries.get(id)
            if waiting is not None and waiting.phase is Phase.JOINED:
                turn.answer_repeat(waiting, result)

    def _send_to_new_process(self, turn: Turn, message: messages.Message) -> None:
        turn.effects.append(ExecuteHandoverDecision(old_process.SendMessage(self.old_role.link, message)))

    def _send_to_old_process(self, turn: Turn, message: messages.Message) -> None:
        turn.effects.append(ExecuteHandoverDecision(new_process.SendMessage(message)))


def _result_of(turn: Turn, id: str) -> ResultLookup:
    """Return the result of an attempt, None while it runs; a dropped result counts as no result."""
    if id in turn.state.entries:
        return None
    finished = turn.state.keys.result(id)
    return (None, turn.now + turn.state.keys.late_read_us) if finished is None else (finished.result, finished.until)


def old_process_event(turn: Turn, item: inputs.OldProcessEvent) -> None:
    """Handle an event of the stream to the old process."""
    turn.state.handover.step_new_process(turn, item.event)


def new_process_event(turn: Turn, item: inputs.NewProcessEvent) -> None:
    """Handle an event of a stream from a new process."""
    turn.state.handover.step_old_process(turn, item.event)


HANDLERS = {inputs.OldProcessEvent: old_process_event, inputs.NewProcessEvent: new_process_event}
