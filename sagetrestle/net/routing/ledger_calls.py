"""Calls to the ledger: how each comes back, and the time after which it is given up."""

from __future__ import annotations

from sagetrestle.interface import CallEnded, Outcome
from sagetrestle.net.routing import inputs
from sagetrestle.net.routing.effects import AbandonCall, RunCommand
from sagetrestle.net.routing.outcomes import call_outcome, connection_outcome
from sagetrestle.net.routing.state import Phase
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import CommandKind, ConnectionEnd


def call_answered(turn: Turn, item: inputs.CallAnswered) -> None:
    """Take the ledger's answer, and let the run go on with the reply to a call that went well."""
    _resume_run(turn, item.id, call_outcome(item.verdict), item.reply)


def call_connection_lost(turn: Turn, item: inputs.CallConnectionLost) -> None:
    """Take the end of a call whose connection ended."""
    _resume_run(turn, item.id, connection_outcome(item.end, item.written))


def ledger_connection_lost(turn: Turn, item: inputs.LedgerConnectionLost) -> None:
    """Note a connection to the ledger that ended badly."""
    turn.log(f"ledger connection ended: {item.end.value}: {item.detail}")


def expire_calls(turn: Turn) -> None:
    """Give up the calls whose time is over."""
    for id in [id for id, until in turn.state.call_deadlines.items() if until <= turn.now]:
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
