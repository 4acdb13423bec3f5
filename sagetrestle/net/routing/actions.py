"""Carrying out what the module decides."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from sagetrestle import interface as face
from sagetrestle.interface import Outcome, RunEnded
from sagetrestle.net.routing import access, health
from sagetrestle.net.routing.effects import CommandRun, PostCall
from sagetrestle.net.routing.gate import Word
from sagetrestle.net.routing.state import Entry, Phase
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import CommandKind, Refused


def carry_out(turn: Turn, action: face.Action) -> None:
    """Carry one action out; one about a request that is over changes nothing."""
    if type(action) in ON_SERVER:
        ON_SERVER[type(action)](turn, action)
        return
    entry = turn.state.entries.get(action.id)  # type: ignore[union-attr]
    if entry is not None:
        ON_REQUEST[type(action)](turn, entry, action)


def _run(turn: Turn, entry: Entry, action: face.Run) -> None:
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


def _stop(turn: Turn, entry: Entry, action: face.Stop) -> None:
    """Ask for a pause; the request counts as running until the kernel confirms it."""
    if entry.phase is Phase.RUNNING:
        entry.pausing = True
        turn.command(entry, CommandRun(CommandKind.PAUSE, action.id))
    elif entry.phase is Phase.WAITING:  # not begun: it is paused as it stands
        entry.phase = Phase.HELD
        turn.events.append(RunEnded(action.id, Outcome.CANCELLED))


def _refuse(turn: Turn, entry: Entry, action: face.Refuse) -> None:
    """Turn a request away; one that ran can only fail, as a refusal would promise that it did not."""
    if entry.ran:
        turn.answer(entry, turn.failure(entry))
    else:
        turn.answer(entry, Refused(action.stay_away_us, action.last))
    turn.give_up(entry)


def _fail(turn: Turn, entry: Entry, _: face.Fail) -> None:
    """Answer with an error and end what the request holds."""
    turn.answer(entry, turn.failure(entry))
    turn.give_up(entry)


def _call(turn: Turn, entry: Entry, action: face.Call) -> None:
    """Make the call that a run waits for."""
    if entry.phase is not Phase.AT_CALL or not entry.owed:
        return
    cls = turn.state.plan.settings.classes[entry.request.cls]
    timeout = action.timeout_us or cls.deadline_us
    entry.phase, entry.call_from = Phase.CALLING, turn.now
    turn.state.calls[action.id] = turn.now + timeout
    once = cls.effect is not face.Effect.SAFE
    turn.effects.append(PostCall(action.id, max(1, timeout // 1000), entry.call_body, once))


def _skip(turn: Turn, entry: Entry, action: face.Skip) -> None:
    """Fail a request that would go on without its call: the kernel has no command for that."""
    turn.log(f"request {action.id} failed: it can not go on without its call")
    turn.answer(entry, turn.failure(entry))
    turn.over(entry)
    turn.events.append(RunEnded(action.id, Outcome.ERROR))


def _keep(turn: Turn, entry: Entry, action: face.Keep) -> None:
    turn.state.keys.keep(entry.request, turn.now + action.for_us)


def _reuse(turn: Turn, entry: Entry, action: face.Reuse) -> None:
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


def _forget(turn: Turn, action: face.Forget) -> None:
    turn.state.keys.forget(action.id)


def _health(turn: Turn, action: face.Health) -> None:
    """Let health checks, the roster and the service records follow the module."""
    turn.state.healthy = action.good
    health.changed(turn)


def _say(turn: Turn, action: face.Say) -> None:
    turn.state.value = action.value


def _idle(turn: Turn, action: face.IdleLimit) -> None:
    turn.state.idle_us = action.for_us or turn.state.plan.settings.idle_max_us


def _wake(turn: Turn, action: face.Wake) -> None:
    heapq.heappush(turn.state.wakes, (turn.now + action.after_us, action.token))


def _log(turn: Turn, action: face.Log) -> None:
    turn.log(action.text)


ON_SERVER: dict[type, Callable[[Turn, Any], None]] = {
    face.Forget: _forget,
    face.Health: _health,
    face.Say: _say,
    face.IdleLimit: _idle,
    face.Wake: _wake,
    face.Log: _log,
}
ON_REQUEST: dict[type, Callable[[Turn, Entry, Any], None]] = {
    face.Run: _run,
    face.Stop: _stop,
    face.Refuse: _refuse,
    face.Fail: _fail,
    face.Call: _call,
    face.Skip: _skip,
    face.Keep: _keep,
    face.Reuse: _reuse,
}
