"""What is due by time alone: reports, gauges, idle connections, the link to the kernel, the drain."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sagetrestle.interface import DrainNotice, RequestWithdrawn
from sagetrestle.net.routing import access_control, ingress, health, inputs, kernel_events
from sagetrestle.net.routing.effects import (
    RequestGauges,
    RequestConnectionClose,
    CloseConnection,
    Exit,
    Listen,
    ListenForManagement,
    StopListening,
    ReadPendingInput,
    SetLedgerAddress,
    SetRosterAddress,
)
from sagetrestle.net.routing.state import DrainState
from sagetrestle.net.routing.state import LinkPhase
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Failed

ROSTER_REPORT_INTERVAL_US = 250_000  # the roster drops a server 3 s after its last report, and reports are lost
GAUGE_POLL_INTERVAL_US = 100_000  # the module's timers take the last gauges and never wait for newer ones
IDLE_CHECK_INTERVAL_US = 200_000
DEADLINE_CHECK_INTERVAL_US = 100_000  # the rules allow 110 ms past the due time
CLOSE_TIMEOUT_US = 1_000_000  # how long the other side has to close a connection that is left
FIRST_REQUEST_TIMEOUT_US = 1_500_000  # how long a connection may bring no valid request at all
CROWDED_CONNECTION_SHARE, CROWDED_IDLE_LIMIT_US = (
    0.6,
    2_000_000,
)  # of a front's room; what is idle longer must leave then
DRAIN_CHECK_INTERVAL_US = 20_000
EXIT_MARGIN_US = 150_000  # the process begins to end so long before it would be stopped
FINAL_READ_DELAY_US = 10_000  # for answering what came on connections that the other side kept open
MAX_GRACE_SHARE = 0.6  # of the notice: with a short one the fronts close before the grace is over


def started(turn: Turn, item: inputs.Started) -> None:
    """Open the fronts, report, and reach for the kernel."""
    turn.state.peers = item.peers
    if turn.state.plan.managed:
        turn.effects.append(ListenForManagement())
    if turn.state.fleet is not None:
        turn.state.fleet.start(turn)
    if turn.state.handover is not None:
        turn.state.handover.start(turn, item.old_process_sockets)
    else:
        turn.state.listening = True
        turn.effects.append(Listen())
    turn.effects += [SetLedgerAddress(item.peers.ledger), SetRosterAddress(item.peers.roster)]
    kernel_events.connect(turn)
    turn.state.task_due_times.update(report=turn.now, gauges=turn.now, overdue=turn.now, idle=turn.now)
    if turn.state.guard is not None:
        turn.state.task_due_times["keys"] = turn.now


def reconfigured(turn: Turn, item: inputs.Reconfigured) -> None:
    """Move to the addresses that are new: at once for all that is new, while what is in hand may finish."""
    old, turn.state.peers = turn.state.peers, item.peers
    if item.peers.ledger != old.ledger:
        turn.effects.append(SetLedgerAddress(item.peers.ledger))
    if item.peers.roster != old.roster:
        turn.effects.append(SetRosterAddress(item.peers.roster))
        health.report_readiness(turn)
    if item.peers.kernel != old.kernel:
        kernel_events.change_address(turn)
    moved = [name for name, now, was in zip(old._fields, item.peers, old, strict=True) if now != was]
    turn.log(f"configuration read again: moved: {', '.join(moved) or 'nothing'}")
    if item.restart_required:
        turn.log(f"configuration read again: only a restart changes: {', '.join(item.restart_required)}")


def reload_failed(turn: Turn, item: inputs.ReloadFailed) -> None:
    """Note that the old configuration stays in force."""
    turn.log(f"configuration not taken, the old one holds: {item.reason}")


def stop_asked(turn: Turn, _: inputs.StopRequested) -> None:
    """Begin to leave: off the roster at once; the module answers what is in hand."""
    state = turn.state
    if state.fleet is not None:
        state.fleet.handle_stop(turn)
    if state.handover is not None and not state.handover.handle_stop(turn):
        return
    drain(turn)


def drain(turn: Turn) -> None:
    """Leave as there is no other process in one's place."""
    state = turn.state
    if state.drain:
        return
    grace = min(state.plan.settings.drain_grace_us, int(state.plan.stop_us * MAX_GRACE_SHARE))
    stop_at = turn.now + state.plan.stop_us
    close_at = turn.now + grace if state.policy else turn.now  # before the kernel is up nothing can be served
    state.drain = DrainState(turn.now, close_at, stop_at - EXIT_MARGIN_US)
    state.task_due_times["drain"] = state.drain.close_at
    state.healthy = False
    health.publish(turn)
    if state.policy:
        turn.events.append(DrainNotice(stop_at))


def _connect(turn: Turn) -> None:
    turn.state.task_due_times.pop("kernel")
    if turn.state.kernel.link is LinkPhase.DOWN:
        kernel_events.connect(turn)


def _report(turn: Turn) -> None:
    health.report_readiness(turn)
    turn.state.task_due_times["report"] = turn.now + ROSTER_REPORT_INTERVAL_US


def _ask_gauges(turn: Turn) -> None:
    kernel = turn.state.kernel
    if (
        kernel.link is LinkPhase.UP and not kernel.gauges_requested
    ):  # a kernel that answers nothing is not asked on and on
        kernel.gauges_requested = True
        turn.effects.append(RequestGauges("gauges"))
    turn.state.task_due_times["gauges"] = turn.now + GAUGE_POLL_INTERVAL_US


def _answer_overdue(turn: Turn) -> None:
    """Fail what is past its due time and still has no answer.

    The module answers in time by itself; this guards against inputs that were lost in a failed turn.
    """
    classes = turn.state.plan.settings.classes
    for entry in list(turn.state.entries.values()):
        if entry.unanswered and turn.now > entry.request.arrived + classes[entry.request.class_index].deadline_us:
            turn.log(f"request {entry.request.id} was left unanswered by the module")
            turn.answer(entry, turn.failure_answer(entry))
            turn.events.append(RequestWithdrawn(entry.request.id))
            turn.abandon(entry)
    access_control.answer_overdue(turn)
    turn.state.task_due_times["overdue"] = turn.now + DEADLINE_CHECK_INTERVAL_US


def _close_idle(turn: Turn) -> None:
    """Ask the other side to close what was idle too long; close it here if that is not done.

    What never sent a valid request is closed without asking, but only in the second look: after a standstill
    of this process its first request may wait unread.
    """
    fronts_held = Counter(name.front for name in turn.state.connections)
    rooms = {name: ingress.connection_limit(turn.state, name) for name in fronts_held}
    unproven_us = CLOSE_TIMEOUT_US if turn.state.drain else 0  # on the way out nobody was asked before
    for name, one in turn.state.connections.items():
        if one.open_requests:
            continue
        crowded = fronts_held[name.front] > CROWDED_CONNECTION_SHARE * rooms[name.front]
        longest = min(turn.state.idle_us, CROWDED_IDLE_LIMIT_US) if crowded else turn.state.idle_us
        longest = longest if one.validated else FIRST_REQUEST_TIMEOUT_US
        if one.close_requested_at is None and turn.now - one.last_used_at >= longest:
            one.close_requested_at = turn.now
            if one.validated:
                turn.effects.append(RequestConnectionClose(name))
        elif one.close_requested_at is not None and turn.now - one.close_requested_at >= (
            CLOSE_TIMEOUT_US if one.validated else unproven_us
        ):
            turn.effects.append(CloseConnection(name, unless_input_pending=True))
    turn.state.keys.sweep(turn.now)
    turn.state.task_due_times["idle"] = turn.now + IDLE_CHECK_INTERVAL_US


def _drain(turn: Turn) -> None:
    """Close the fronts once the grace is over, and end once nothing is open or the time is up.

    Connections are left in the agreed way and not cut, as a request may be on its way on any of them. The end comes
    turns after the listening's: what waited at the sockets until then may bring requests, which get their answers.
    """
    state, drain = turn.state, turn.state.drain
    assert drain is not None
    if not drain.listeners_closed:
        drain.listeners_closed = True
        turn.effects.append(StopListening())
        state.task_due_times["drain"] = turn.now + DRAIN_CHECK_INTERVAL_US
        return
    for name, one in state.connections.items():
        if one.close_requested_at is None:
            one.close_requested_at = turn.now
            turn.effects.append(RequestConnectionClose(name))
    owed = state.unverified or any(entry.unanswered for entry in state.entries.values())
    owed = owed or state.handover is not None and state.handover.has_pending_results(state)
    if drain.final_read_done or not (state.connections or owed):
        _exit(turn)
    elif turn.now >= drain.exit_at:
        drain.final_read_done = True
        turn.effects.append(ReadPendingInput())
        state.task_due_times["drain"] = turn.now + FINAL_READ_DELAY_US
    else:
        state.task_due_times["drain"] = min(drain.exit_at, turn.now + DRAIN_CHECK_INTERVAL_US)


def _load(turn: Turn) -> None:
    assert turn.state.handover is not None
    turn.state.handover.report_load(turn)


def _exit(turn: Turn) -> None:
    """End the process; whatever is still owed an answer fails now."""
    for entry in list(turn.state.entries.values()):
        turn.answer(entry, Failed())
    turn.state.task_due_times.clear()
    turn.state.exited = True
    access_control.answer_overdue(turn)
    turn.effects.append(Exit())


PERIODIC_TASKS: dict[str, Callable[[Turn], None]] = {
    "kernel": _connect,
    "report": _report,
    "gauges": _ask_gauges,
    "overdue": _answer_overdue,
    "idle": _close_idle,
    "drain": _drain,
    "load": _load,
    "verify": ingress.verify_pending,
    "keys": access_control.advance_key_states,
}


def run_periodic_tasks(turn: Turn) -> None:
    """Do the regular work that is due."""
    for name in [name for name, at in turn.state.task_due_times.items() if at <= turn.now]:
        if name in turn.state.task_due_times:
            PERIODIC_TASKS[name](turn)
