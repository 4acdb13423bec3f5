"""Readiness of the process, as used by health checks, the management address and the roster."""

from __future__ import annotations

from enum import Enum

from sagetrestle.net.routing.effects import ReportReadiness, UpdateServiceRecords
from sagetrestle.net.routing.state import State
from sagetrestle.net.routing.turn import Turn


class Readiness(Enum):
    """Why a process is or is not ready."""

    READY = "ready"
    STARTING = "starting"
    UNWELL = "off for a time: its cores are slow"
    EVACUATED = "evacuated"
    LEAVING = "leaving"
    HANDED_OVER = "a newer process serves"


UNREPORTED_STATES = (Readiness.STARTING, Readiness.HANDED_OVER)


def readiness(state: State) -> Readiness:
    """Derive the readiness from start-up, policy health, evacuation and drain; the longest-lasting state wins.

    ``STARTING`` exists only where the server has a management address; otherwise health checks do not depend on
    start-up.
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
    """Return whether health checks get a good answer."""
    return readiness(state) is Readiness.READY


def report_readiness(turn: Turn) -> None:
    """Report the readiness to the roster, unless another process of this server reports there."""
    current = readiness(turn.state)
    if current not in UNREPORTED_STATES:
        turn.effects.append(ReportReadiness(current is Readiness.READY))


def publish(turn: Turn) -> None:
    """Report to the roster now, and publish or withdraw the fronts' service records."""
    report_readiness(turn)
    if readiness(turn.state) not in UNREPORTED_STATES:
        turn.effects.append(UpdateServiceRecords(is_ready(turn.state)))
