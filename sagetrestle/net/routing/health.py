"""Whether this process is ready to serve: one function, which health checks, operators and the roster all go by."""

from __future__ import annotations

from enum import Enum

from sagetrestle.net.routing.effects import UpdateServiceRecords, ReportReadiness
from sagetrestle.net.routing.state import State
from sagetrestle.net.routing.turn import Turn


class Readiness(Enum):
    """Why a process is ready or not."""

    READY = "ready"
    STARTING = "starting"
    UNWELL = "off for a time: its cores are slow"
    EVACUATED = "evacuated"
    LEAVING = "leaving"
    HANDED_OVER = "a newer process serves"


UNREPORTED_STATES = (Readiness.STARTING, Readiness.HANDED_OVER)


def readiness(state: State) -> Readiness:
    """Join start-up, the module's health, evacuation and leaving; what lasts longest comes first.

    Start-up counts only where there is a second address: without one a health check is answered as ever.
    """
    if state.handover is not None and state.handover.handed_over():
        return Readiness.HANDED_OVER
    if state.drain is not None:
        return Readiness.LEAVING
    if state.evacuated:
        return Readiness.EVACUATED
    if state.plan.managed and (state.policy is None or not state.listening):
        return Readiness.STARTING
    return Readiness.READY if state.healthy else Readiness.UNWELL


def is_ready(state: State) -> bool:
    """Tell what a health check is told."""
    return readiness(state) is Readiness.READY


def report_readiness(turn: Turn) -> None:
    """Tell the roster how this process stands, unless it would speak for another that has the place on the list."""
    now = readiness(turn.state)
    if now not in UNREPORTED_STATES:
        turn.effects.append(ReportReadiness(now is Readiness.READY))


def publish(turn: Turn) -> None:
    """Tell the roster at once, and announce or withdraw the fronts' service records."""
    report_readiness(turn)
    if readiness(turn.state) not in UNREPORTED_STATES:
        turn.effects.append(UpdateServiceRecords(is_ready(turn.state)))
