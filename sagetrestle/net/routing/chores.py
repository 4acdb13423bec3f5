"""What is due by time alone: reports, gauges, idle connections, the link to the kernel, the drain."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sagetrestle.interface import DrainNotice, RequestWithdrawn
from sagetrestle.net.routing import access, fronts, health, inputs, runs
from sagetrestle.net.routing.effects import (
    AskGauges,
    AskToLeave,
    CloseConnection,
    Exit,
    Listen,
    ListenToOperators,
    StopListening,
    TakeInWaiting,
    UseLedger,
    UseRoster,
)
from sagetrestle.net.routing.state import Drain as DrainState
from sagetrestle.net.routing.state import Link
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Failed

REPORT_EVERY_US = 250_000  # the roster drops a server 3 s after its last report, and reports are lost
GAUGES_EVERY_US = 100_000  # the module's timers take the last gauges and never wait for newer ones
IDLE_EVERY_US = 200_000
OVERDUE_EVERY_US = 100_000  # the rules allow 110 ms past the due time
LEAVING_US = 1_000_000  # how long the other side has to close a connection that is left
SILENT_US = 1_500_000  # how long a connection may bring no valid request at all
CROWDED_SHARE, CROWDED_IDLE_US = 0.6, 2_000_000  # of a front's room; what is idle longer must leave then
DRAIN_EVERY_US = 20_000
EXIT_BEFORE_US = 150_000  # the process begins to end so long before it would be stopped
LAST_LOOK_US = 10_000  # for answering what came on connections that the other side kept open
CLOSE_SHARE = 0.6  # of the notice: with a short one the fronts close before the grace is over


def started(turn: Turn, item: inputs.Started) -> None:
    """Open the fronts, report, and reach for the kernel."""
    turn.state.peers = item.peers
    if turn.state.plan.managed:
        turn.effects.append(ListenToOperators())
    if turn.state.fleet is not None:
        turn.state.fleet.began(turn)
    if turn.state.pair is not None:
        turn.state.pair.began(turn, item.elders)
    else:
        turn.state.listening = True
        turn.effects.append(Listen())
    turn.effects += [UseLedger(item.peers.ledger), UseRoster(item.peers.roster)]
    runs.connect(turn)
    turn.state.chores.update(report=turn.now, gauges=turn.now, overdue=turn.now, idle=turn.now)
    if turn.state.guard is not None:
        turn.state.chores["keys"] = turn.now


def reconfigured(turn: Turn, item: inputs.Reconfigured) -> None:
    """Move to the addresses that are new: at once for all that is new, while what is in hand may finish."""
    old, turn.state.peers = turn.state.peers, item.peers
    if item.peers.ledger != old.ledger:
        turn.effects.append(UseLedger(item.peers.ledger))
    if item.peers.roster != old.roster:
        turn.effects.append(UseRoster(item.peers.roster))
        health.report(turn)
    if item.peers.kernel != old.kernel:
        runs.move(turn)
    moved = [name for name, now, was in zip(old._fields, item.peers, old, strict=True) if now != was]
    turn.log(f"configuration read again: moved: {', '.join(moved) or 'nothing'}")
    if item.fixed:
        turn.log(f"configuration read again: only a restart changes: {', '.join(item.fixed)}")


def reload_failed(turn: Turn, item: inputs.ReloadFailed) -> None:
    """Note that the old configuration stays in force."""
    turn.log(f"configuration not taken, the old one holds: {item.why}")


def stop_asked(turn: Turn, _: inputs.StopAsked) -> None:
    """Begin to leave: off the roster at once; the module answers what is in hand."""
    state = turn.state
    if state.fleet is not None:
        state.fleet.notice(turn)
    if state.pair is not None and not state.pair.notice(turn):
        return
    drain(turn)


def drain(turn: Turn) -> None:
    """Leave as there is no other process in one's place."""
    state = turn.state
    if state.drain:
        return
    grace = min(state.plan.settings.drain_grace_us, int(state.plan.stop_us * CLOSE_SHARE))
    stop_at = turn.now + state.plan.stop_us
    close_at = turn.now + grace if state.policy else turn.now  # before the kernel is up nothing can be served
    state.drain = DrainState(turn.now, close_at, stop_at - EXIT_BEFORE_US)
    state.chores["drain"] = state.drain.close_at
    state.healthy = False
    health.changed(turn)
    if state.policy:
        turn.events.append(DrainNotice(stop_at))


def _connect(turn: Turn) -> None:
    turn.state.chores.pop("kernel")
    if turn.state.kernel.link is Link.DOWN:
        runs.connect(turn)


def _report(turn: Turn) -> None:
    health.report(turn)
    turn.state.chores["report"] = turn.now + REPORT_EVERY_US


def _ask_gauges(turn: Turn) -> None:
    kernel = turn.state.kernel
    if kernel.link is Link.UP and not kernel.asked:  # a kernel that answers nothing is not asked on and on
        kernel.asked = True
        turn.effects.append(AskGauges("gauges"))
    turn.state.chores["gauges"] = turn.now + GAUGES_EVERY_US


def _answer_overdue(turn: Turn) -> None:
    """Fail what is past its due time and still has no answer.

    The module answers in time by itself; this guards against inputs that were lost in a failed turn.
    """
    classes = turn.state.plan.settings.classes
    for entry in list(turn.state.entries.values()):
        if entry.owed and turn.now > entry.request.arrived + classes[entry.request.cls].deadline_us:
            turn.log(f"request {entry.request.id} was left unanswered by the module")
            turn.answer(entry, turn.failure(entry))
            turn.events.append(RequestWithdrawn(entry.request.id))
            turn.give_up(entry)
    access.answer_overdue(turn)
    turn.state.chores["overdue"] = turn.now + OVERDUE_EVERY_US


def _close_idle(turn: Turn) -> None:
    """Ask the other side to close what was idle too long; close it here if that is not done.

    What never sent a valid request is closed without asking, but only in the second look: after a standstill
    of this process its first request may wait unread.
    """
    fronts_held = Counter(name.front for name in turn.state.connections)
    rooms = {name: fronts.room(turn.state, name) for name in fronts_held}
    unproven_us = LEAVING_US if turn.state.drain else 0  # on the way out nobody was asked before
    for name, one in turn.state.connections.items():
        if one.open:
            continue
        crowded = fronts_held[name.front] > CROWDED_SHARE * rooms[name.front]
        longest = min(turn.state.idle_us, CROWDED_IDLE_US) if crowded else turn.state.idle_us
        longest = longest if one.proven else SILENT_US
        if one.leaving_at is None and turn.now - one.used_at >= longest:
            one.leaving_at = turn.now
            if one.proven:
                turn.effects.append(AskToLeave(name))
        elif one.leaving_at is not None and turn.now - one.leaving_at >= (LEAVING_US if one.proven else unproven_us):
            turn.effects.append(CloseConnection(name, unless_heard=True))
    turn.state.keys.sweep(turn.now)
    turn.state.chores["idle"] = turn.now + IDLE_EVERY_US


def _drain(turn: Turn) -> None:
    """Close the fronts once the grace is over, and end once nothing is open or the time is up.

    Connections are left in the agreed way and not cut, as a request may be on its way on any of them. The end comes
    turns after the listening's: what waited at the sockets until then may bring requests, which get their answers.
    """
    state, drain = turn.state, turn.state.drain
    assert drain is not None
    if not drain.closed:
        drain.closed = True
        turn.effects.append(StopListening())
        state.chores["drain"] = turn.now + DRAIN_EVERY_US
        return
    for name, one in state.connections.items():
        if one.leaving_at is None:
            one.leaving_at = turn.now
            turn.effects.append(AskToLeave(name))
    owed = state.unverified or any(entry.owed for entry in state.entries.values())
    owed = owed or state.pair is not None and state.pair.busy(state)
    if drain.last_look or not (state.connections or owed):
        _exit(turn)
    elif turn.now >= drain.exit_at:
        drain.last_look = True
        turn.effects.append(TakeInWaiting())
        state.chores["drain"] = turn.now + LAST_LOOK_US
    else:
        state.chores["drain"] = min(drain.exit_at, turn.now + DRAIN_EVERY_US)


def _load(turn: Turn) -> None:
    assert turn.state.pair is not None
    turn.state.pair.load(turn)


def _exit(turn: Turn) -> None:
    """End the process; whatever is still owed an answer fails now."""
    for entry in list(turn.state.entries.values()):
        turn.answer(entry, Failed())
    turn.state.chores.clear()
    turn.state.exited = True
    access.answer_overdue(turn)
    turn.effects.append(Exit())


CHORES: dict[str, Callable[[Turn], None]] = {
    "kernel": _connect,
    "report": _report,
    "gauges": _ask_gauges,
    "overdue": _answer_overdue,
    "idle": _close_idle,
    "drain": _drain,
    "load": _load,
    "verify": fronts.verify,
    "keys": access.tick,
}


def run_chores(turn: Turn) -> None:
    """Do the regular work that is due."""
    for name in [name for name, at in turn.state.chores.items() if at <= turn.now]:
        if name in turn.state.chores:
            CHORES[name](turn)
