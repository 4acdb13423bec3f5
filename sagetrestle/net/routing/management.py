"""What the operators ask at the second address, and how it is answered."""

from __future__ import annotations

from sagetrestle.net.routing import health, inputs
from sagetrestle.net.routing.effects import AnswerOperator
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import OperatorCall, Reply

YES, CONFLICT, UNAVAILABLE = 200, 409, 503


def asked(turn: Turn, item: inputs.ManagementAsked) -> None:
    """Answer one call."""
    turn.effects.append(AnswerOperator(item.caller, ANSWERS[item.call](turn)))


def _ready(turn: Turn) -> Reply:
    now = health.standing(turn.state)
    return Reply(YES if now is health.Standing.READY else UNAVAILABLE, f"{now.value}\n")


def _telemetry(turn: Turn) -> Reply:
    """Give the figures; in flight is what was read and is still owed an answer."""
    state = turn.state
    names = [cls.name for cls in state.plan.settings.classes]
    return Reply(YES, state.figures.lines(names, len(state.tickets) + len(state.unverified)))


def _evacuate(turn: Turn) -> Reply:
    """Have all health answers be bad from now on; what still arrives is answered as usual."""
    return _evacuated(turn, True)


def _rejoin(turn: Turn) -> Reply:
    """Undo an evacuation; a process that was told to leave does leave."""
    if turn.state.drain is not None:
        return Reply(CONFLICT, "leaving: the notice to leave can not be taken back\n")
    return _evacuated(turn, False)


def _evacuated(turn: Turn, on: bool) -> Reply:
    if turn.state.evacuated != on:
        turn.state.evacuated = on
        turn.log("evacuated: health answers are bad until rejoin" if on else "rejoined")
        health.changed(turn)
    return Reply(YES, f"{health.standing(turn.state).value}\n")


ANSWERS = {
    OperatorCall.READY: _ready,
    OperatorCall.TELEMETRY: _telemetry,
    OperatorCall.EVACUATE: _evacuate,
    OperatorCall.REJOIN: _rejoin,
}
