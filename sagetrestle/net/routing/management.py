"""Handlers of the calls to the management address."""

from __future__ import annotations

from sagetrestle.net.routing import health, inputs
from sagetrestle.net.routing.effects import SendManagementReply
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import ManagementCall, ManagementReply

OK, CONFLICT, UNAVAILABLE = 200, 409, 503


def handle_call(turn: Turn, item: inputs.ManagementCallRead) -> None:
    """Reply to a management call."""
    turn.effects.append(SendManagementReply(item.caller, ANSWERS[item.call](turn)))


def _ready(turn: Turn) -> ManagementReply:
    readiness = health.readiness(turn.state)
    return ManagementReply(OK if readiness is health.Readiness.READY else UNAVAILABLE, f"{readiness.value}\n")


def _telemetry(turn: Turn) -> ManagementReply:
    """Return the metrics; requests in flight are those read and not answered yet."""
    state = turn.state
    names = [request_class.name for request_class in state.plan.settings.classes]
    return ManagementReply(OK, state.metrics.lines(names, len(state.ids_by_ref) + len(state.unverified)))


def _evacuate(turn: Turn) -> ManagementReply:
    """Fail all health checks from now on; requests that still arrive are served as usual."""
    return _set_evacuated(turn, True)


def _rejoin(turn: Turn) -> ManagementReply:
    """Undo an evacuation; refused during a drain, which cannot be undone."""
    if turn.state.drain is not None:
        return ManagementReply(CONFLICT, "leaving: the notice to leave can not be taken back\n")
    return _set_evacuated(turn, False)


def _set_evacuated(turn: Turn, evacuated: bool) -> ManagementReply:
    if turn.state.evacuated != evacuated:
        turn.state.evacuated = evacuated
        turn.log("evacuated: health answers are bad until rejoin" if evacuated else "rejoined")
        health.publish(turn)
    return ManagementReply(OK, f"{health.readiness(turn.state).value}\n")


ANSWERS = {
    ManagementCall.READY: _ready,
    ManagementCall.TELEMETRY: _telemetry,
    ManagementCall.EVACUATE: _evacuate,
    ManagementCall.REJOIN: _rejoin,
}
