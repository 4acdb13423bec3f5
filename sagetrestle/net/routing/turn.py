"""One turn of the reducer: the state, the time, and what has been collected so far."""

from __future__ import annotations

from sagetrestle.interface import Event, Outcome, RunEnded
from sagetrestle.net.routing.effects import AbandonCall, CommandRun, Effect, SendAnswer, WriteLog
from sagetrestle.net.routing.state import Command, Entry, Link, Phase, State
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

    def answer(self, entry: Entry, answer: Answer) -> None:
        """Give a request its answer, unless it has had one or nobody waits."""
        if entry.owed:
            self.final(entry.request, answer)
            self.release(entry)

    def final(self, request: Request, answer: Answer) -> None:
        """Give the final answer to a request; it is counted here and nowhere else."""
        self.state.figures.count(request.cls, answer)
        if self.state.fleet is not None and self.state.fleet.strain is not None:
            self.state.fleet.strain.answered(self, request, answer)
        self.effects.append(SendAnswer(request.ticket, answer, self.state.value))

    def release(self, entry: Entry) -> None:
        """Owe a request nothing any more, and free its number on the connection."""
        entry.owed = False
        ticket = entry.request.ticket
        self.state.tickets.pop(ticket, None)
        connection = self.state.connections.get(ticket.connection)
        if connection:
            connection.open.discard(ticket.seqid)
            connection.used_at = self.now

    def failure(self, entry: Entry) -> Failed:
        """Return the error for a request: past its due time it says so."""
        settings = self.state.plan.settings
        due = entry.request.arrived + settings.classes[entry.request.cls].deadline_us
        return Failed(FailCause.OVERDUE if self.now + settings.tick_us >= due else FailCause.RUN)

    def over(self, entry: Entry, result: bytes | None = None) -> None:
        """Forget a request that is over, and answer those that waited for its result."""
        self.state.entries.pop(entry.request.id, None)
        self.state.calls.pop(entry.request.id, None)
        if entry.reserved and self.state.guard is not None:
            entry.reserved = False
            self.state.guard.spending.release(entry.request.tenant, (entry.request.cls, entry.request.key or ""))
        self.state.keys.finish(entry.request, result, self.now)
        self.state.gate.over(self, entry)
        for id in entry.joined:
            waiting = self.state.entries.get(id)
            if waiting and waiting.phase is Phase.JOINED:
                self.reuse(waiting, result)

    def reuse(self, entry: Entry, result: bytes | None) -> None:
        """Answer a repeat with what became of the try it repeats."""
        self.answer(entry, self.failure(entry) if result is None else Served(result))
        self.events.append(RunEnded(entry.request.id, Outcome.ERROR if result is None else Outcome.OK))
        self.over(entry, result)

    def give_up(self, entry: Entry) -> None:
        """End what an answered or deserted request holds; on a core or at a call the kernel ends it."""
        if entry.phase is Phase.CALLING:
            self.effects.append(AbandonCall(entry.request.id))
            self.state.calls.pop(entry.request.id, None)
            entry.phase = Phase.AT_CALL
        elif entry.phase in (Phase.HELD, Phase.PAUSED, Phase.JOINED):
            self.over(entry)

    def command(self, entry: Entry, what: CommandRun) -> None:
        """Command a run, now or once the link is up again."""
        up = self.state.kernel.link is Link.UP
        entry.unconfirmed.append(Command(what, self.now if up else None))
        if up:
            self.effects.append(what)
