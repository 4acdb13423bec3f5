"""One turn of the reducer: the state, the time, and what has been collected so far."""

from __future__ import annotations

from sagetrestle.interface import Event, Outcome, RunEnded
from sagetrestle.net.routing.effects import AbandonCall, RunCommand, Effect, SendAnswer, WriteLog
from sagetrestle.net.routing.state import PendingCommand, RequestEntry, LinkPhase, Phase, State
from sagetrestle.net.routing.values import Answer, Failed, FailCause, Request, Served


class Turn:
    """What the handlers of a turn share."""

    def __init__(self, state: State, now: int, ahead: int = 0) -> None:
        self.state, self.now, self._ahead = state, now, ahead
        self.effects: list[Effect] = []
        self.events: list[Event] = []

    def unix(self, at: int | None = None) -> int:
        """Return a time of this turn's clock, or its own, as Unix microseconds."""
        return (self.now if at is None else at) + self._ahead

    def log(self, text: str, **fields: str) -> None:
        """Ask for a line in the log."""
        self.effects.append(WriteLog(text, tuple(fields.items())))

    def answer(self, entry: RequestEntry, answer: Answer) -> None:
        """Give a request its answer, unless it has had one or nobody waits."""
        if entry.unanswered:
            self.send_final_answer(entry.request, answer)
            self.mark_answered(entry)

    def send_final_answer(self, request: Request, answer: Answer) -> None:
        """Give the final answer to a request; it is counted here and nowhere else."""
        self.state.metrics.count(request.class_index, answer)
        if self.state.fleet is not None and self.state.fleet.overload is not None:
            self.state.fleet.overload.answer_sent(self, request, answer)
        self.effects.append(SendAnswer(request.request_ref, answer, self.state.free_value))

    def mark_answered(self, entry: RequestEntry) -> None:
        """Owe a request nothing any more, and free its number on the connection."""
        entry.unanswered = False
        request_ref = entry.request.request_ref
        self.state.ids_by_ref.pop(request_ref, None)
        connection = self.state.connections.get(request_ref.connection)
        if connection:
            connection.open_requests.discard(request_ref.seqid)
            connection.last_used_at = self.now

    def failure_answer(self, entry: RequestEntry) -> Failed:
        """Return the error for a request: past its due time it says so."""
        settings = self.state.plan.settings
        due = entry.request.arrived + settings.classes[entry.request.class_index].deadline_us
        return Failed(FailCause.OVERDUE if self.now + settings.tick_us >= due else FailCause.RUN)

    def finish(self, entry: RequestEntry, result: bytes | None = None) -> None:
        """Forget a request that is over, and answer those that waited for its result."""
        self.state.entries.pop(entry.request.id, None)
        self.state.call_deadlines.pop(entry.request.id, None)
        if entry.reserved and self.state.guard is not None:
            entry.reserved = False
            self.state.guard.spending.release(
                entry.request.tenant, (entry.request.class_index, entry.request.key or "")
            )
        self.state.keys.finish(entry.request, result, self.now)
        self.state.run_admission.attempt_ended(self, entry)
        for id in entry.joined_ids:
            waiting = self.state.entries.get(id)
            if waiting and waiting.phase is Phase.JOINED:
                self.answer_repeat(waiting, result)

    def answer_repeat(self, entry: RequestEntry, result: bytes | None) -> None:
        """Answer a repeat with what became of the try it repeats."""
        self.answer(entry, self.failure_answer(entry) if result is None else Served(result))
        self.events.append(RunEnded(entry.request.id, Outcome.ERROR if result is None else Outcome.OK))
        self.finish(entry, result)

    def abandon(self, entry: RequestEntry) -> None:
        """End what an answered or deserted request holds; on a core or at a call the kernel ends it."""
        if entry.phase is Phase.CALL_IN_PROGRESS:
            self.effects.append(AbandonCall(entry.request.id))
            self.state.call_deadlines.pop(entry.request.id, None)
            entry.phase = Phase.AWAITING_CALL
        elif entry.phase in (Phase.QUEUED, Phase.PAUSED, Phase.JOINED):
            self.finish(entry)

    def send_command(self, entry: RequestEntry, command: RunCommand) -> None:
        """Command a run, now or once the link is up again."""
        up = self.state.kernel.link is LinkPhase.UP
        entry.unconfirmed_commands.append(PendingCommand(command, self.now if up else None))
        if up:
            self.effects.append(command)
