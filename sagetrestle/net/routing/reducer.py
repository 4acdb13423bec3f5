"""The only place where the state changes: takes inputs and the current time, returns effects."""

from __future__ import annotations

import heapq
import traceback
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from sagetrestle.interface import TimerFired
from sagetrestle.net.routing import (
    access_control,
    ingress,
    inputs,
    kernel_events,
    ledger_calls,
    management,
    periodic_tasks,
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
    inputs.WithdrawalRead: ingress.request_withdrawn,
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
    """Process the inputs read at ``now`` (microseconds) and return the effects to carry out, in order.

    ``ahead`` is the offset in microseconds from this clock to Unix time. ``handlers`` maps each input type to its
    handler; enabled extensions add their own to ``HANDLERS``.
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
    """Run one step of a turn; an exception is logged and the remaining steps still run.

    Otherwise one bad input would discard the answers already given to other requests of the same turn.
    """
    try:
        step(turn, *args)
    except Exception as error:
        frame = traceback.extract_tb(error.__traceback__)[-1]
        turn.log(f"step failed: {step.__name__}: {error!r} at {frame.name}:{frame.lineno}")


def next_due(state: State) -> int | None:
    """Return when the next turn is due without new input, or None when nothing is scheduled or after the exit.

    The policy's timers are not cleared on exit; without the check the loop would spin on overdue timers until the
    process ends.
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
    """Queue an event for each policy timer that is due, with the most recently read gauges."""
    wakes = turn.state.timers
    while wakes and wakes[0][0] <= turn.now:
        turn.events.append(TimerFired(heapq.heappop(wakes)[1], turn.state.gauges))


def _tick_extensions(turn: Turn) -> None:
    """Run the time-driven work of the handover and the fleet."""
    if turn.state.handover is not None:
        turn.state.handover.tick(turn)
    if turn.state.fleet is not None:
        turn.state.fleet.tick(turn)


def _run_policy(turn: Turn) -> None:
    """Pass the queued events to the policy and apply its actions until no further events arise."""
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
