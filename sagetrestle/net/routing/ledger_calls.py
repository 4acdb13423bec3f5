"""Calls to the ledger: handles their replies, failures and time-outs."""

from __future__ import annotations

from sagetrestle.interface import CallEnded, Outcome
from sagetrestle.net.routing import inputs
from sagetrestle.net.routing.effects import AbandonCall, RunCommand
from sagetrestle.net.routing.outcomes import call_outcome, connection_outcome
from sagetrestle.net.routing.state import Phase
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import CommandKind, ConnectionEnd


def call_answered(turn: Turn, item: inputs.CallAnswered) -> None:
    """Handle the ledger's answer; a run whose call succeeded resumes with the reply."""
    _resume_run(turn, item.id, call_outcome(item.verdict), item.reply)


def call_connection_lost(turn: Turn, item: inputs.CallConnectionLost) -> None:
    """Handle a call whose connection ended."""
    _resume_run(turn, item.id, connection_outcome(item.end, item.written))


def ledger_connection_lost(turn: Turn, item: inputs.LedgerConnectionLost) -> None:
    """Log a connection to the ledger that ended abnormally."""
    turn.log(f"ledger connection ended: {item.end.value}: {item.detail}")


def expire_calls(turn: Turn) -> None:
    """Abandon the calls that have timed out."""
    for id in [id for id, deadline in turn.state.call_deadlines.items() if deadline <= turn.now]:
        turn.effects.append(AbandonCall(id))
        _resume_run(turn, id, connection_outcome(ConnectionEnd.TIMED_OUT, written=True))


def _resume_run(turn: Turn, id: str, outcome: Outcome, reply: bytes = b"") -> None:
    entry = turn.state.entries.get(id)
    if turn.state.call_deadlines.pop(id, None) is None or entry is None or entry.phase is not Phase.CALL_IN_PROGRESS:
        return
    entry.phase = Phase.AWAITING_CALL
    if outcome is Outcome.OK:
        entry.phase = Phase.RUNNING
        turn.send_command(entry, RunCommand(CommandKind.REPLY, id, body=reply))
    turn.events.append(CallEnded(id, outcome, turn.now - entry.call_started_at))
