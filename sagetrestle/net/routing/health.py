"""Whether this process is ready to serve: one function, which health checks, operators and the roster all go by."""

from __future__ import annotations

from enum import Enum

from sagetrestle.net.routing.effects import Announce, Report
from sagetrestle.net.routing.state import State
from sagetrestle.net.routing.turn import Turn


class Standing(Enum):
    """Why a process is ready or not."""

    READY = "ready"
    STARTING = "starting"
    UNWELL = "off for a time: its cores are slow"
    EVACUATED = "evacuated"
    LEAVING = "leaving"
    HANDED_OVER = "a newer process serves"


SILENT = (Standing.STARTING, Standing.HANDED_OVER)


def standing(state: State) -> Standing:
    """Join start-up, the module's health, evacuation and leaving; what lasts longest comes first.

    Start-up counts only where there is a second address: without one a health check is answered as ever.
    """
    if state.pair is not None and state.pair.handed_over():
        return Standing.HANDED_OVER
    if state.drain is not None:
        return Standing.LEAVING
    if state.evacuated:
        return Standing.EVACUATED
    if state.plan.managed and (state.policy is None or not state.listening):
        return Standing.STARTING
    return Standing.READY if state.healthy else Standing.UNWELL


def good(state: State) -> bool:
    """Tell what a health check is told."""
    return standing(state) is Standing.READY


def report(turn: Turn) -> None:
    """Tell the roster how this process stands, unless it would speak for another that has the place on the list."""
    now = standing(turn.state)
    if now not in SILENT:
        turn.effects.append(Report(now is Standing.READY))


def changed(turn: Turn) -> None:
    """Tell the roster at once, and announce or withdraw the fronts' service records."""
    report(turn)
    if standing(turn.state) not in SILENT:
        turn.effects.append(Announce(good(turn.state)))
