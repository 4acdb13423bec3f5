"""The one place where state changes: inputs go in with the time, effects come out."""

from __future__ import annotations

import heapq
import traceback
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from sagetrestle.interface import TimerFired
from sagetrestle.net.routing import (
    access_control,
    ledger_calls,
    periodic_tasks,
    ingress,
    inputs,
    management,
    kernel_events,
)
from sagetrestle.net.routing.actions import apply_action
from sagetrestle.net.routing.effects import Effect
from sagetrestle.net.routing.state import State
from sagetrestle.net.routing.turn import Turn

Handlers = Mapping[type, Callable[[Turn, Any], None]]
HANDLERS: Handlers = {
    inputs.Started: periodic_tasks.started,
    inputs.Reconfigured: periodic_tasks.reconfigured,
    inputs.ReloadFailed: periodic_tasks.reload_failed,
    inputs.IdentityRead: access_control.identity_read,
    inputs.IdentityFailed: access_control.identity_failed,
    inputs.StopRequested: periodic_tasks.stop_asked,
    inputs.ConnectionOpened: ingress.connection_opened,
    inputs.ConnectionEnded: ingress.connection_ended,
    inputs.RequestRead: ingress.request_read,
    inputs.RequestRejected: ingress.request_rejected,
    inputs.RequestWithdrawn: ingress.request_withdrawn,
    inputs.HealthCheckRead: ingress.health_check_read,
    inputs.ManagementCallRead: management.handle_call,
    inputs.KernelConnected: kernel_events.connected,
    inputs.KernelDisconnected: kernel_events.disconnected,
    inputs.KernelBooted: kernel_events.booted,
    inputs.RunFinished: kernel_events.run_finished,
    inputs.RunRequestedCall: kernel_events.run_requested_call,
    inputs.GaugesRead: kernel_events.gauges_read,
    inputs.CommandRejected: kernel_events.command_rejected,
    inputs.KernelNotice: kernel_events.notice_read,
    inputs.CallAnswered: ledger_calls.call_answered,
    inputs.CallConnectionLost: ledger_calls.call_connection_lost,
    inputs.LedgerConnectionLost: ledger_calls.ledger_connection_lost,
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
        _run_step(turn, handlers[type(item)], item)
    for step in STEPS:
        _run_step(turn, step)
    state.keys.end_of_turn()
    return turn.effects


def _run_step(turn: Turn, step: Callable[..., None], *args: Any) -> None:
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
    times = [*state.task_due_times.values(), *state.call_deadlines.values()]
    if state.timers:
        times.append(state.timers[0][0])
    if state.fleet is not None:
        times.append(state.fleet.next_due())
    if state.handover is not None and (due := state.handover.next_due()) is not None:
        times.append(due)
    return min(times, default=None)


def _fire_timers(turn: Turn) -> None:
    """Tell the module of its timers that are due, with the gauges last read."""
    wakes = turn.state.timers
    while wakes and wakes[0][0] <= turn.now:
        turn.events.append(TimerFired(heapq.heappop(wakes)[1], turn.state.gauges))


def _tick_extensions(turn: Turn) -> None:
    """Let what goes on with other processes go on."""
    if turn.state.handover is not None:
        turn.state.handover.tick(turn)
    if turn.state.fleet is not None:
        turn.state.fleet.tick(turn)


def _run_policy(turn: Turn) -> None:
    """Let the module decide until nothing more follows from what it decided."""
    while turn.events and turn.state.policy:
        events, turn.events = turn.events, []
        for action in turn.state.policy.handle(turn.now, events):
            apply_action(turn, action)


STEPS: tuple[Callable[[Turn], None], ...] = (
    _fire_timers,
    ledger_calls.expire_calls,
    _run_policy,
    periodic_tasks.run_periodic_tasks,
    access_control.apply_identity,
    _run_policy,
    _tick_extensions,
    _run_policy,
)
