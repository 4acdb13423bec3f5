"""One turn of the reducer: the state, the time, and the effects and events collected so far."""

from __future__ import annotations

from sagetrestle.interface import Event, Outcome, RunEnded
from sagetrestle.net.routing.effects import AbandonCall, Effect, RunCommand, SendAnswer, WriteLog
from sagetrestle.net.routing.state import LinkPhase, PendingCommand, Phase, RequestEntry, State
from sagetrestle.net.routing.values import Answer, FailCause, Failed, Request, Served


class Turn:
    """The context that all handlers of a turn share."""

    def __init__(self, state: State, now: int, ahead: int = 0) -> None:
        self.state, self.now, self._ahead = state, now, ahead
        self.effects: list[Effect] = []
        self.events: list[Event] = []

    def unix(self, time_us: int | None = None) -> int:
        """Convert a time on the program's clock, by default the time of this turn, to Unix microseconds."""
        return (self.now if time_us is None else time_us) + self._ahead

    def log(self, text: str, **fields: str) -> None:
        """Add an effect that writes a log line."""
        self.effects.append(WriteLog(text, tuple(fields.items())))

    def answer(self, entry: RequestEntry, answer: Answer) -> None:
        """Answer a request, unless it was answered already or its caller has left."""
        if entry.unanswered:
            self.send_final_answer(entry.request, answer)
            self.mark_answered(entry)

    def send_final_answer(self, request: Request, answer: Answer) -> None:
        """Send the final answer of a request and count it; no other code counts answers."""
        self.state.metrics.count(request.class_index, answer)
        if self.state.fleet is not None and self.state.fleet.overload is not None:
            self.state.fleet.overload.answer_sent(self, request, answer)
        self.effects.append(SendAnswer(request.request_ref, answer, self.state.free_value))

    def mark_answered(self, entry: RequestEntry) -> None:
        """Mark a request as answered and free its number on the connection."""
        entry.unanswered = False
        entry.answered_at = self.now
        request_ref = entry.request.request_ref
        self.state.ids_by_ref.pop(request_ref, None)
        connection = self.state.connections.get(request_ref.connection)
        if connection:
            connection.open_requests.discard(request_ref.seqid)
            connection.last_used_at = self.now

    def failure_answer(self, entry: RequestEntry) -> Failed:
        """Return the error answer for a request: ``OVERDUE`` past its deadline, otherwise ``RUN``."""
        settings = self.state.plan.settings
        is_overdue = self.now + settings.tick_us >= entry.request.deadline_us(settings)
        return Failed(FailCause.OVERDUE if is_overdue else FailCause.RUN)

    def finish(self, entry: RequestEntry, result: bytes | None = None) -> None:
        """Remove a finished request and answer the repeats that waited for its result."""
        self.state.entries.pop(entry.request.id, None)
        if entry.is_second_run:  # the request ended with its first run
            return
        self.state.call_deadlines.pop(entry.request.id, None)
        if entry.reserved and self.state.authenticator is not None:
            entry.reserved = False
            self.state.authenticator.spending.release(
                entry.request.tenant, (entry.request.class_index, entry.request.key or "")
            )
        self.state.keys.finish(entry.request, result, self.now)
        self.state.run_admission.attempt_ended(self, entry)
        for id in entry.joined_ids:
            waiting = self.state.entries.get(id)
            if waiting and waiting.phase is Phase.JOINED:
                self.answer_repeat(waiting, result)

    def answer_repeat(self, entry: RequestEntry, result: bytes | None) -> None:
        """Answer a repeat with the result of the attempt that it repeats, or an error if there is none."""
        self.answer(entry, self.failure_answer(entry) if result is None else Served(result))
        self.events.append(RunEnded(entry.request.id, Outcome.ERROR if result is None else Outcome.OK))
        self.finish(entry, result)

    def abandon(self, entry: RequestEntry) -> None:
        """Release what an answered or withdrawn request holds; a run at the kernel is ended by the kernel."""
        if entry.phase is Phase.CALL_IN_PROGRESS:
            self.effects.append(AbandonCall(entry.request.id))
            self.state.call_deadlines.pop(entry.request.id, None)
            entry.phase = Phase.AWAITING_CALL
        elif entry.phase in (Phase.QUEUED, Phase.PAUSED, Phase.JOINED):
            self.finish(entry)

    def send_command(self, entry: RequestEntry, command: RunCommand) -> None:
        """Send a run command to the kernel now, or once the link is up again."""
        pending = PendingCommand(command)
        entry.unconfirmed_commands.append(pending)
        if self.state.kernel.link is LinkPhase.UP:
            self.write_command(pending)

    def write_command(self, pending: PendingCommand) -> None:
        """Write a pending command to the kernel link and number it."""
        self.state.kernel.commands_sent += 1
        pending.number = self.state.kernel.commands_sent
        self.effects.append(pending.command)
