"""Applies the actions that the policy decides."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from sagetrestle import interface
from sagetrestle.interface import Outcome, RequestWithdrawn, RunEnded
from sagetrestle.net.routing import access_control, health
from sagetrestle.net.routing.effects import PostCall, RunCommand
from sagetrestle.net.routing.run_admission import RunDecision
from sagetrestle.net.routing.state import Phase, RequestEntry
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import CommandKind, Refused


def apply_action(turn: Turn, action: interface.Action) -> None:
    """Apply an action; an action on a finished request has no effect."""
    if type(action) in ON_SERVER:
        ON_SERVER[type(action)](turn, action)
        return
    entry = turn.state.entries.get(action.id)  # type: ignore[union-attr]
    if entry is not None:
        ON_REQUEST[type(action)](turn, entry, action)


def _run(turn: Turn, entry: RequestEntry, action: interface.StartRun) -> None:
    """Start a queued request or resume a paused one."""
    if entry.phase is Phase.PAUSED:
        entry.phase = Phase.RUNNING
        turn.send_command(entry, RunCommand(CommandKind.RESUME, action.id))
    elif entry.phase is Phase.QUEUED:
        start_if_admitted(turn, entry)


def start_if_admitted(turn: Turn, entry: RequestEntry) -> None:
    """Start a queued request, or one whose grant has arrived, if the admission checks allow it."""
    decision = turn.state.run_admission.check(turn, entry)
    if decision is RunDecision.START:
        start(turn, entry)
    elif decision is RunDecision.WAIT:
        entry.phase = Phase.AWAITING_GRANT


def start(turn: Turn, entry: RequestEntry) -> None:
    """Command the kernel to run a request."""
    entry.phase, entry.ran = Phase.RUNNING, True
    turn.state.keys.mark_started(entry.request)
    access_control.charge_started(turn, entry)
    turn.state.metrics.attempts += 1
    send_start(turn, entry)


def send_start(turn: Turn, entry: RequestEntry) -> None:
    """Send the command that starts the run of a request."""
    class_name = turn.state.plan.settings.classes[entry.request.class_index].name
    turn.send_command(
        entry, RunCommand(CommandKind.START, entry.request.id, class_name, entry.request.body, entry.token, entry.place)
    )


def _stop(turn: Turn, entry: RequestEntry, action: interface.StopRun) -> None:
    """Ask the kernel to pause a run; it counts as running until the kernel confirms the pause."""
    if entry.phase is Phase.RUNNING:
        entry.pause_requested = True
        turn.send_command(entry, RunCommand(CommandKind.PAUSE, action.id))
    elif entry.phase is Phase.AWAITING_GRANT:  # not started yet: it goes back to the queue, or ends if it was answered
        entry.phase = Phase.QUEUED
        turn.events.append(RunEnded(action.id, Outcome.CANCELLED))
        if not entry.unanswered:
            turn.finish(entry)


def _refuse(turn: Turn, entry: RequestEntry, action: interface.RefuseRequest) -> None:
    """Refuse a request; one that has run, or may have, fails instead, as a refusal promises that it did not run."""
    if entry.ran or turn.state.keys.may_have_run(entry.request):
        turn.answer(entry, turn.failure_answer(entry))
    else:
        turn.answer(entry, Refused(action.retry_after_us, action.final))
    turn.abandon(entry)


def _fail(turn: Turn, entry: RequestEntry, _: interface.FailRequest) -> None:
    """Answer with an error and abandon the request."""
    turn.answer(entry, turn.failure_answer(entry))
    turn.abandon(entry)


def _call(turn: Turn, entry: RequestEntry, action: interface.MakeCall) -> None:
    """Make the ledger call that a run waits for."""
    if entry.phase is not Phase.AWAITING_CALL or not entry.unanswered:
        return
    request_class = turn.state.plan.settings.classes[entry.request.class_index]
    timeout = action.timeout_us or request_class.deadline_us
    entry.phase, entry.call_started_at = Phase.CALL_IN_PROGRESS, turn.now
    turn.state.call_deadlines[action.id] = turn.now + timeout
    at_most_once = request_class.effect is not interface.Effect.SAFE
    turn.effects.append(PostCall(action.id, max(1, timeout // 1000), entry.call_body, at_most_once))


def _skip_call(turn: Turn, entry: RequestEntry, action: interface.SkipCall) -> None:
    """Fail a request whose call is to be skipped: the kernel has no command to resume a run without its call.

    The run keeps its memory at the kernel until the kernel ends it, as its request is over.
    """
    turn.log(f"request {action.id} failed: it can not go on without its call")
    turn.answer(entry, turn.failure_answer(entry))
    turn.events.append(RequestWithdrawn(action.id))


def _keep(turn: Turn, entry: RequestEntry, action: interface.RememberRequest) -> None:
    turn.state.keys.retain(entry.request, turn.now + action.retention_us)


def _reuse(turn: Turn, entry: RequestEntry, action: interface.ReuseResult) -> None:
    """Serve a repeat with the result of the attempt that it repeats, once that has ended."""
    earlier = turn.state.entries.get(entry.repeat_of or "")
    if earlier and earlier is not entry and not earlier.is_second_run:
        entry.phase = Phase.JOINED
        earlier.joined_ids.append(action.id)
        return
    if turn.state.run_admission.wait_for_remote_run(
        entry.repeat_of or "", action.id
    ):  # the earlier attempt runs in another process
        entry.phase = Phase.JOINED
        return
    kept = turn.state.keys.result(entry.repeat_of or "")
    turn.answer_repeat(entry, kept.result if kept else None)


def _forget(turn: Turn, action: interface.ForgetRequest) -> None:
    turn.state.keys.forget(action.id)


def _health(turn: Turn, action: interface.SetHealth) -> None:
    """Publish the policy's health decision to health checks, the roster and the service records."""
    turn.state.healthy = action.healthy
    health.publish(turn)


def _set_free_value(turn: Turn, action: interface.SetFreeValue) -> None:
    turn.state.free_value = action.value


def _set_idle_limit(turn: Turn, action: interface.SetIdleLimit) -> None:
    turn.state.idle_us = action.max_idle_us or turn.state.plan.settings.idle_max_us


def _set_timer(turn: Turn, action: interface.SetTimer) -> None:
    heapq.heappush(turn.state.timers, (turn.now + action.delay_us, action.token))


def _log(turn: Turn, action: interface.WriteLogLine) -> None:
    turn.log(action.text)


ON_SERVER: dict[type, Callable[[Turn, Any], None]] = {
    interface.ForgetRequest: _forget,
    interface.SetHealth: _health,
    interface.SetFreeValue: _set_free_value,
    interface.SetIdleLimit: _set_idle_limit,
    interface.SetTimer: _set_timer,
    interface.WriteLogLine: _log,
}
ON_REQUEST: dict[type, Callable[[Turn, RequestEntry, Any], None]] = {
    interface.StartRun: _run,
    interface.StopRun: _stop,
    interface.RefuseRequest: _refuse,
    interface.FailRequest: _fail,
    interface.MakeCall: _call,
    interface.SkipCall: _skip_call,
    interface.RememberRequest: _keep,
    interface.ReuseResult: _reuse,
}
