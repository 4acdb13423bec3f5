"""Periodic tasks (reports, gauges, idle connections, the kernel link, the drain), start and stop of the process."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sagetrestle.interface import DrainNotice, RequestWithdrawn
from sagetrestle.net.routing import access_control, command_delivery, health, ingress, inputs, kernel_events
from sagetrestle.net.routing.effects import (
    CloseConnection,
    Exit,
    Listen,
    ListenForManagement,
    ReadPendingInput,
    RequestConnectionClose,
    SetLedgerAddress,
    SetRosterAddress,
    StopListening,
)
from sagetrestle.net.routing.state import DrainState, LinkPhase
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Failed

ROSTER_REPORT_INTERVAL_US = 250_000  # the roster drops a server 3 s after its last report; reports may be lost
GAUGE_POLL_INTERVAL_US = 100_000  # the policy's timers use the last gauges and never wait for newer ones
IDLE_CHECK_INTERVAL_US = 200_000
DEADLINE_CHECK_INTERVAL_US = 100_000  # an answer may be at most 110 ms past the deadline
CLOSE_TIMEOUT_US = 1_000_000  # within which a client has to close a connection when asked to
FIRST_REQUEST_TIMEOUT_US = 1_500_000  # within which a new connection has to send a valid request
CROWDED_CONNECTION_SHARE = 0.6  # of a front's maximum, above which the shorter idle limit applies
CROWDED_IDLE_LIMIT_US = 2_000_000
DRAIN_CHECK_INTERVAL_US = 20_000
EXIT_MARGIN_US = 150_000  # between the start of the exit and the time at which the platform kills the process
FINAL_READ_DELAY_US = 10_000  # to answer what was read from connections that clients kept open
MAX_GRACE_SHARE = 0.6  # of the stop time: if that is short the fronts close before the grace period ends


def started(turn: Turn, item: inputs.Started) -> None:
    """Open the fronts, connect to the kernel, and schedule the periodic tasks."""
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
    if turn.state.authenticator is not None:
        turn.state.task_due_times["keys"] = turn.now


def reconfigured(turn: Turn, item: inputs.Reconfigured) -> None:
    """Switch to changed addresses at once for new work, while work in progress may finish at the old ones."""
    previous, turn.state.peers = turn.state.peers, item.peers
    if item.peers.ledger != previous.ledger:
        turn.effects.append(SetLedgerAddress(item.peers.ledger))
    if item.peers.roster != previous.roster:
        turn.effects.append(SetRosterAddress(item.peers.roster))
        health.report_readiness(turn)
    if item.peers.kernel != previous.kernel:
        kernel_events.change_address(turn)
    moved = [name for name, new, old in zip(previous._fields, item.peers, previous, strict=True) if new != old]
    turn.log(f"configuration read again: moved: {', '.join(moved) or 'nothing'}")
    if item.restart_required:
        turn.log(f"configuration read again: only a restart changes: {', '.join(item.restart_required)}")


def reload_failed(turn: Turn, item: inputs.ReloadFailed) -> None:
    """Log that the previous configuration stays in force."""
    turn.log(f"configuration not taken, the old one holds: {item.reason}")


def stop_asked(turn: Turn, _: inputs.StopRequested) -> None:
    """Handle the stop signal: leave the fleet, then hand over or drain."""
    state = turn.state
    if state.fleet is not None:
        state.fleet.handle_stop(turn)
    if state.handover is not None and not state.handover.handle_stop(turn):
        return
    drain(turn)


def drain(turn: Turn) -> None:
    """Start to drain, as no other process takes over: leave the roster; the policy answers requests in progress."""
    state = turn.state
    if state.drain:
        return
    grace = min(state.plan.settings.drain_grace_us, int(state.plan.stop_us * MAX_GRACE_SHARE))
    stop_at = turn.now + state.plan.stop_us
    close_at = turn.now + grace if state.policy else turn.now  # without the policy nothing can be served
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
    if kernel.link is LinkPhase.UP and kernel.gauge_request is None:  # no further request while one is unanswered
        command_delivery.resolve_doubts(turn)
        command_delivery.request_gauges(turn)
    turn.state.task_due_times["gauges"] = turn.now + GAUGE_POLL_INTERVAL_US


def _answer_overdue(turn: Turn) -> None:
    """Fail requests that are past their deadline and still unanswered.

    The policy answers in time by itself; this covers inputs that were lost in a failed turn.
    """
    settings = turn.state.plan.settings
    for entry in list(turn.state.entries.values()):
        if entry.unanswered and turn.now > entry.request.deadline_us(settings):
            turn.log(f"request {entry.request.id} was left unanswered by the module")
            turn.answer(entry, turn.failure_answer(entry))
            turn.events.append(RequestWithdrawn(entry.request.id))
            turn.abandon(entry)
    access_control.answer_overdue(turn)
    turn.state.task_due_times["overdue"] = turn.now + DEADLINE_CHECK_INTERVAL_US


def _close_idle(turn: Turn) -> None:
    """Ask clients to close connections that were idle too long; close them here after the timeout.

    Connections that never sent a valid request are closed without asking, but only in the check after the one that
    marked them: after a pause of this process their first request may still be unread.
    """
    connection_counts = Counter(name.front for name in turn.state.connections)
    limits = {name: ingress.connection_limit(turn.state, name) for name in connection_counts}
    # During a drain no client was asked before, so all get the full timeout.
    unvalidated_timeout_us = CLOSE_TIMEOUT_US if turn.state.drain else 0
    for name, connection in turn.state.connections.items():
        if connection.open_requests:
            continue
        crowded = connection_counts[name.front] > CROWDED_CONNECTION_SHARE * limits[name.front]
        idle_limit = min(turn.state.idle_us, CROWDED_IDLE_LIMIT_US) if crowded else turn.state.idle_us
        idle_limit = idle_limit if connection.validated else FIRST_REQUEST_TIMEOUT_US
        if connection.close_requested_at is None and turn.now - connection.last_used_at >= idle_limit:
            connection.close_requested_at = turn.now
            if connection.validated:
                turn.effects.append(RequestConnectionClose(name))
        elif connection.close_requested_at is not None and turn.now - connection.close_requested_at >= (
            CLOSE_TIMEOUT_US if connection.validated else unvalidated_timeout_us
        ):
            turn.effects.append(CloseConnection(name, unless_input_pending=True))
    turn.state.keys.sweep(turn.now)
    turn.state.task_due_times["idle"] = turn.now + IDLE_CHECK_INTERVAL_US


def _drain(turn: Turn) -> None:
    """Close the listeners once the grace period is over; exit once nothing is open or the time is up.

    Clients are asked to close their connections, as a request may be in transit on any of them. The exit comes some
    turns after the listeners close: connections pending until then may bring requests, which are answered.
    """
    state, drain = turn.state, turn.state.drain
    assert drain is not None
    if not drain.listeners_closed:
        drain.listeners_closed = True
        turn.effects.append(StopListening())
        state.task_due_times["drain"] = turn.now + DRAIN_CHECK_INTERVAL_US
        return
    for name, connection in state.connections.items():
        if connection.close_requested_at is None:
            connection.close_requested_at = turn.now
            turn.effects.append(RequestConnectionClose(name))
    pending = state.unverified or any(entry.unanswered for entry in state.entries.values())
    pending = pending or state.handover is not None and state.handover.has_pending_results(state)
    if drain.final_read_done or not (state.connections or pending):
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
    """End the process; requests that are still unanswered fail now."""
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
    """Run the periodic tasks that are due."""
    for name in [name for name, due in turn.state.task_due_times.items() if due <= turn.now]:
        if name in turn.state.task_due_times:
            PERIODIC_TASKS[name](turn)
