"""Calls to the ledger: how each comes back, and the time after which it is given up."""

from __future__ import annotations

from sagetrestle.interface import CallEnded, Outcome
from sagetrestle.net.routing import inputs
from sagetrestle.net.routing.effects import AbandonCall, CommandRun
from sagetrestle.net.routing.outcomes import call_outcome, connection_outcome
from sagetrestle.net.routing.state import Phase
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import CommandKind, ConnectionEnd


def answered(turn: Turn, item: inputs.CallAnswered) -> None:
    """Take the ledger's answer, and let the run go on with the reply to a call that went well."""
    _back(turn, item.id, call_outcome(item.verdict), item.reply)


def broken(turn: Turn, item: inputs.CallBroken) -> None:
    """Take the end of a call whose connection ended."""
    _back(turn, item.id, connection_outcome(item.end, item.written))


def ledger_lost(turn: Turn, item: inputs.LedgerLost) -> None:
    """Note a connection to the ledger that ended badly."""
    turn.log(f"ledger connection ended: {item.end.value}: {item.detail}")


def give_up_late(turn: Turn) -> None:
    """Give up the calls whose time is over."""
    for id in [id for id, until in turn.state.calls.items() if until <= turn.now]:
        turn.effects.append(AbandonCall(id))
        _back(turn, id, connection_outcome(ConnectionEnd.TIMED_OUT, written=True))


def _back(turn: Turn, id: str, outcome: Outcome, reply: bytes = b"") -> None:
    entry = turn.state.entries.get(id)
    if turn.state.calls.pop(id, None) is None or entry is None or entry.phase is not Phase.CALLING:
        return
    entry.phase = Phase.AT_CALL
    if outcome is Outcome.OK:
        entry.phase = Phase.RUNNING
        turn.command(entry, CommandRun(CommandKind.REPLY, id, body=reply))
    turn.events.append(CallEnded(id, outcome, turn.now - entry.call_from))
