"""The one place where state changes: inputs go in with the time, effects come out."""

from __future__ import annotations

import heapq
import traceback
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from sagetrestle.interface import TimerFired
from sagetrestle.net.routing import access, calls, chores, fronts, inputs, management, runs
from sagetrestle.net.routing.actions import carry_out
from sagetrestle.net.routing.effects import Effect
from sagetrestle.net.routing.state import State
from sagetrestle.net.routing.turn import Turn

Handlers = Mapping[type, Callable[[Turn, Any], None]]
HANDLERS: Handlers = {
    inputs.Started: chores.started,
    inputs.Reconfigured: chores.reconfigured,
    inputs.ReloadFailed: chores.reload_failed,
    inputs.IdentityRead: access.read,
    inputs.IdentityFailed: access.failed,
    inputs.StopAsked: chores.stop_asked,
    inputs.ConnectionOpened: fronts.opened,
    inputs.ConnectionEnded: fronts.ended,
    inputs.RequestRead: fronts.request_read,
    inputs.RequestRejected: fronts.rejected,
    inputs.Withdrawn: fronts.withdrawn,
    inputs.HealthAsked: fronts.health_asked,
    inputs.ManagementAsked: management.asked,
    inputs.KernelConnected: runs.connected,
    inputs.KernelLost: runs.lost,
    inputs.KernelBooted: runs.booted,
    inputs.RunOver: runs.over,
    inputs.RunCalls: runs.calls,
    inputs.GaugesRead: runs.gauges_read,
    inputs.CommandRejected: runs.command_rejected,
    inputs.KernelRemark: runs.remark,
    inputs.CallAnswered: calls.answered,
    inputs.CallBroken: calls.broken,
    inputs.LedgerLost: calls.ledger_lost,
}


def reduce(
    state: State, now: int, items: Sequence[inputs.Input], ahead: int = 0, handlers: Handlers = HANDLERS
) -> list[Effect]:
    """Take what came in at ``now`` and return what is to be done, in order.

    ``ahead`` is how far the Unix clock is ahead of that, for times that are told in Unix time; ``handlers`` are those
    above, and those of parts that are on.
    """
    turn = Turn(state, now, ahead)
    if state.exited:
        return []
    for item in items:
        _attempt(turn, handlers[type(item)], item)
    for step in STEPS:
        _attempt(turn, step)
    state.keys.end_turn()
    return turn.effects


def _attempt(turn: Turn, step: Callable[..., None], *args: Any) -> None:
    """Take one step of a turn; an error in it is noted, and the rest of the turn goes on.

    Without this, one bad input would take with it the answers that others of its turn were already given.
    """
    try:
        step(turn, *args)
    except Exception as error:
        at = traceback.extract_tb(error.__traceback__)[-1]
        turn.log(f"step failed: {step.__name__}: {error!r} at {at.name}:{at.lineno}")


def next_due(state: State) -> int | None:
    """Return when the next turn is due though nothing comes in; after the end none is.

    The module's timers outlive the exit: left in, the loop would spin on them until the process is gone.
    """
    if state.exited:
        return None
    times = [*state.chores.values(), *state.calls.values()]
    if state.wakes:
        times.append(state.wakes[0][0])
    if state.fleet is not None:
        times.append(state.fleet.due())
    if state.pair is not None and (due := state.pair.due()) is not None:
        times.append(due)
    return min(times, default=None)


def _wake(turn: Turn) -> None:
    """Tell the module of its timers that are due, with the gauges last read."""
    wakes = turn.state.wakes
    while wakes and wakes[0][0] <= turn.now:
        turn.events.append(TimerFired(heapq.heappop(wakes)[1], turn.state.gauges))


def _tick_others(turn: Turn) -> None:
    """Let what goes on with other processes go on."""
    if turn.state.pair is not None:
        turn.state.pair.tick(turn)
    if turn.state.fleet is not None:
        turn.state.fleet.tick(turn)


def _run_module(turn: Turn) -> None:
    """Let the module decide until nothing more follows from what it decided."""
    while turn.events and turn.state.policy:
        events, turn.events = turn.events, []
        for action in turn.state.policy.handle(turn.now, events):
            carry_out(turn, action)


STEPS: tuple[Callable[[Turn], None], ...] = (
    _wake,
    calls.give_up_late,
    _run_module,
    chores.run_chores,
    access.swap,
    _run_module,
    _tick_others,
    _run_module,
)
