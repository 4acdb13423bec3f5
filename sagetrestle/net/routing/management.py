"""What the operators ask at the second address, and how it is answered."""

from __future__ import annotations

from sagetrestle.net.routing import health, inputs
from sagetrestle.net.routing.effects import SendManagementReply
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import ManagementCall, ManagementReply

YES, CONFLICT, UNAVAILABLE = 200, 409, 503


def handle_call(turn: Turn, item: inputs.ManagementCallRead) -> None:
    """Answer one call."""
    turn.effects.append(SendManagementReply(item.caller, ANSWERS[item.call](turn)))


def _ready(turn: Turn) -> ManagementReply:
    now = health.readiness(turn.state)
    return ManagementReply(YES if now is health.Readiness.READY else UNAVAILABLE, f"{now.value}\n")


def _telemetry(turn: Turn) -> ManagementReply:
    """Give the figures; in flight is what was read and is still owed an answer."""
    state = turn.state
    names = [cls.name for cls in state.plan.settings.classes]
    return ManagementReply(YES, state.metrics.lines(names, len(state.ids_by_ref) + len(state.unverified)))


def _evacuate(turn: Turn) -> ManagementReply:
    """Have all health answers be bad from now on; what still arrives is answered as usual."""
    return _set_evacuated(turn, True)


def _rejoin(turn: Turn) -> ManagementReply:
    """Undo an evacuation; a process that was told to leave does leave."""
    if turn.state.drain is not None:
        return ManagementReply(CONFLICT, "leaving: the notice to leave can not be taken back\n")
    return _set_evacuated(turn, False)


def _set_evacuated(turn: Turn, on: bool) -> ManagementReply:
    if turn.state.evacuated != on:
        turn.state.evacuated = on
        turn.log("evacuated: health answers are bad until rejoin" if on else "rejoined")
        health.publish(turn)
    return ManagementReply(YES, f"{health.readiness(turn.state).value}\n")


ANSWERS = {
    ManagementCall.READY: _ready,
    ManagementCall.TELEMETRY: _telemetry,
    ManagementCall.EVACUATE: _evacuate,
    ManagementCall.REJOIN: _rejoin,
}
