"""Carrying out what the module decides."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from sagetrestle import interface
from sagetrestle.interface import Outcome, RunEnded
from sagetrestle.net.routing import access, health
from sagetrestle.net.routing.effects import CommandRun, PostCall
from sagetrestle.net.routing.gate import Word
from sagetrestle.net.routing.state import Entry, Phase
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import CommandKind, Refused


def carry_out(turn: Turn, action: interface.Action) -> None:
    """Carry one action out; one about a request that is over changes nothing."""
    if type(action) in ON_SERVER:
        ON_SERVER[type(action)](turn, action)
        return
    entry = turn.state.entries.get(action.id)  # type: ignore[union-attr]
    if entry is not None:
        ON_REQUEST[type(action)](turn, entry, action)


def _run(turn: Turn, entry: Entry, action: interface.StartRun) -> None:
    """Start a held request or resume a paused one."""
    if entry.phase is Phase.PAUSED:
        entry.phase = Phase.RUNNING
        turn.command(entry, CommandRun(CommandKind.RESUME, action.id))
    elif entry.phase is Phase.HELD:
        through_gate(turn, entry)


def through_gate(turn: Turn, entry: Entry) -> None:
    """Start a held request, or one for which a word came, as far as the gate allows."""
    word = turn.state.gate.ask(turn, entry)
    if word is Word.START:
        start(turn, entry)
    elif word is Word.WAIT:
        entry.phase = Phase.WAITING


def start(turn: Turn, entry: Entry) -> None:
    """Have the kernel run a request."""
    entry.phase, entry.ran = Phase.RUNNING, True
    turn.state.keys.started(entry.request)
    access.started(turn, entry)
    turn.state.figures.attempts += 1
    name = turn.state.plan.settings.classes[entry.request.cls].name
    turn.command(
        entry, CommandRun(CommandKind.START, entry.request.id, name, entry.request.body, entry.token, entry.place)
    )


def _stop(turn: Turn, entry: Entry, action: interface.StopRun) -> None:
    """Ask for a pause; the request counts as running until the kernel confirms it."""
    if entry.phase is Phase.RUNNING:
        entry.pausing = True
        turn.command(entry, CommandRun(CommandKind.PAUSE, action.id))
    elif entry.phase is Phase.WAITING:  # not begun: it is paused as it stands
        entry.phase = Phase.HELD
        turn.events.append(RunEnded(action.id, Outcome.CANCELLED))


def _refuse(turn: Turn, entry: Entry, action: interface.RefuseRequest) -> None:
    """Turn a request away; one that ran can only fail, as a refusal would promise that it did not."""
    if entry.ran:
        turn.answer(entry, turn.failure(entry))
    else:
        turn.answer(entry, Refused(action.retry_after_us, action.final))
    turn.give_up(entry)


def _fail(turn: Turn, entry: Entry, _: interface.FailRequest) -> None:
    """Answer with an error and end what the request holds."""
    turn.answer(entry, turn.failure(entry))
    turn.give_up(entry)


def _call(turn: Turn, entry: Entry, action: interface.MakeCall) -> None:
    """Make the call that a run waits for."""
    if entry.phase is not Phase.AT_CALL or not entry.owed:
        return
    cls = turn.state.plan.settings.classes[entry.request.cls]
    timeout = action.timeout_us or cls.deadline_us
    entry.phase, entry.call_from = Phase.CALLING, turn.now
    turn.state.calls[action.id] = turn.now + timeout
    once = cls.effect is not interface.Effect.SAFE
    turn.effects.append(PostCall(action.id, max(1, timeout // 1000), entry.call_body, once))


def _skip(turn: Turn, entry: Entry, action: interface.SkipCall) -> None:
    """Fail a request that would go on without its call: the kernel has no command for that."""
    turn.log(f"request {action.id} failed: it can not go on without its call")
    turn.answer(entry, turn.failure(entry))
    turn.over(entry)
    turn.events.append(RunEnded(action.id, Outcome.ERROR))


def _keep(turn: Turn, entry: Entry, action: interface.RememberRequest) -> None:
    turn.state.keys.keep(entry.request, turn.now + action.retention_us)


def _reuse(turn: Turn, entry: Entry, action: interface.ReuseResult) -> None:
    """Serve a repeat with the result of the try it repeats, once that is over."""
    earlier = turn.state.entries.get(entry.repeats or "")
    if earlier and earlier is not entry:
        entry.phase = Phase.JOINED
        earlier.joined.append(action.id)
        return
    if turn.state.gate.wait(entry.repeats or "", action.id):  # it runs at another process
        entry.phase = Phase.JOINED
        return
    kept = turn.state.keys.result(entry.repeats or "")
    turn.reuse(entry, kept.result if kept else None)


def _forget(turn: Turn, action: interface.ForgetRequest) -> None:
    turn.state.keys.forget(action.id)


def _health(turn: Turn, action: interface.SetHealth) -> None:
    """Let health checks, the roster and the service records follow the module."""
    turn.state.healthy = action.healthy
    health.changed(turn)


def _say(turn: Turn, action: interface.SetFreeValue) -> None:
    turn.state.value = action.value


def _idle(turn: Turn, action: interface.SetIdleLimit) -> None:
    turn.state.idle_us = action.max_idle_us or turn.state.plan.settings.idle_max_us


def _wake(turn: Turn, action: interface.SetTimer) -> None:
    heapq.heappush(turn.state.wakes, (turn.now + action.delay_us, action.token))


def _log(turn: Turn, action: interface.WriteLogLine) -> None:
    turn.log(action.text)


ON_SERVER: dict[type, Callable[[Turn, Any], None]] = {
    interface.ForgetRequest: _forget,
    interface.SetHealth: _health,
    interface.SetFreeValue: _say,
    interface.SetIdleLimit: _idle,
    interface.SetTimer: _wake,
    interface.WriteLogLine: _log,
}
ON_REQUEST: dict[type, Callable[[Turn, Entry, Any], None]] = {
    interface.StartRun: _run,
    interface.StopRun: _stop,
    interface.RefuseRequest: _refuse,
    interface.FailRequest: _fail,
    interface.MakeCall: _call,
    interface.SkipCall: _skip,
    interface.RememberRequest: _keep,
    interface.ReuseResult: _reuse,
}
