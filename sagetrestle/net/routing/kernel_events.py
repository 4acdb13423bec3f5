"""Handlers of inputs from the kernel: its link, ends of runs, calls, gauges, rejected commands."""

from __future__ import annotations

from dataclasses import replace

from sagetrestle.interface import CallRequested, Gauges, RequestWithdrawn, RunEnded
from sagetrestle.logic import Policy
from sagetrestle.net.routing import access_control, command_delivery, inputs
from sagetrestle.net.routing.actions import apply_action
from sagetrestle.net.routing.effects import (
    AbandonCall,
    ConnectKernel,
    DeprioritizeConnection,
    OpenKernelSession,
    RunCommand,
)
from sagetrestle.net.routing.outcomes import run_outcome
from sagetrestle.net.routing.state import LinkPhase, Phase, RequestEntry
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import (
    Answer,
    CommandKind,
    ConnectionEnd,
    FailCause,
    Failed,
    Refused,
    RunEnd,
    Served,
)

MIN_BACKOFF_US = 20_000  # before the first attempt to reconnect to the kernel
MAX_BACKOFF_US = 500_000  # to which the backoff doubles


def connect(turn: Turn) -> None:
    """Set up a new link to the kernel."""
    kernel = turn.state.kernel
    kernel.link_number += 1
    kernel.link, kernel.gauge_request = LinkPhase.CONNECTING, None
    turn.effects.append(ConnectKernel(kernel.link_number, turn.state.peers.kernel))


def change_address(turn: Turn) -> None:
    """Replace the link by one to the kernel's new address; what was sent last may be lost and is sent again."""
    turn.state.kernel.backoff_us = 0
    turn.state.task_due_times.pop("kernel", None)
    connect(turn)


def connected(turn: Turn, item: inputs.KernelConnected) -> None:
    """Open the session with the serial of the last notice that was read."""
    if item.link != turn.state.kernel.link_number:
        return
    turn.state.kernel.link = LinkPhase.OPENED
    turn.effects.append(OpenKernelSession(turn.state.kernel.last_serial))


def disconnected(turn: Turn, item: inputs.KernelDisconnected) -> None:
    """Schedule a new link after a backoff; runs continue meanwhile."""
    kernel = turn.state.kernel
    if item.link != kernel.link_number:  # the link was replaced before it ended
        return
    if kernel.link in (LinkPhase.UP, LinkPhase.SYNCING) or item.end is ConnectionEnd.MALFORMED:
        turn.log(f"kernel link lost: {item.end.value}{': ' if item.detail else ''}{item.detail}")
    if kernel.link is LinkPhase.UP:
        kernel.backoff_us = 0
    kernel.link, kernel.gauge_request = LinkPhase.DOWN, None
    kernel.backoff_us = min(MAX_BACKOFF_US, max(MIN_BACKOFF_US, 2 * kernel.backoff_us))
    turn.state.task_due_times["kernel"] = turn.now + kernel.backoff_us


def booted(turn: Turn, item: inputs.KernelBooted) -> None:
    """Start the policy on the first report; ask for the gauges, whose answer follows all missed notices."""
    state = turn.state
    if state.kernel.link is not LinkPhase.OPENED:
        return
    if state.policy is None:
        # Keys and results are held in this process under its own limit and use no kernel memory.
        settings = replace(state.plan.settings, cold=item.cold, key_kb=0.0)
        state.policy = Policy(settings, state.plan.seed)
        started_at = turn.now - item.age_us
        turn.log(f"kernel up, {'cold' if item.cold else 'warm'}, for {item.age_us // 1000} ms")
        _run_policy_at_kernel_start(turn, started_at)
        if state.handover is not None:
            state.handover.kernel_up(turn)
    state.kernel.link = LinkPhase.SYNCING
    command_delivery.request_gauges(turn)


def _run_policy_at_kernel_start(turn: Turn, started_at: int) -> None:
    """Run the policy's first turn at the kernel's start time, from which it computes how warm the cores are."""
    assert turn.state.policy is not None
    for action in turn.state.policy.handle(started_at, []):
        apply_action(turn, action)


def gauges_read(turn: Turn, item: inputs.GaugesRead) -> None:
    """Store the gauges; their arrival also confirms commands."""
    names = turn.state.plan.gauges
    values = dict(zip(names, item.stats, strict=False))
    turn.state.gauges = Gauges(
        values.get("core_use"), values.get("on_cores"), values.get("heap_share"), values.get("links")
    )
    command_delivery.gauges_answered(turn, item.cookie)


def _accept_notice(turn: Turn, serial: int, id: str) -> tuple[bool, RequestEntry | None]:
    """Return whether a notice is new, and its request; the notice confirms all commands of the request."""
    if serial <= turn.state.kernel.last_serial:
        return False, None
    turn.state.kernel.last_serial = serial
    entry = turn.state.entries.get(id)
    if entry:
        command_delivery.run_reported(turn, entry)
    return True, entry


def notice_read(turn: Turn, item: inputs.KernelNotice) -> None:
    """Advance the serial number."""
    _accept_notice(turn, item.serial, "")


def run_requested_call(turn: Turn, item: inputs.RunRequestedCall) -> None:
    """Handle a run that left its core to wait for a call."""
    new, entry = _accept_notice(turn, item.serial, item.id)
    if new and entry:
        entry.phase, entry.pause_requested, entry.call_body = Phase.AWAITING_CALL, False, item.body
        turn.events.append(CallRequested(item.id))


def run_finished(turn: Turn, item: inputs.RunFinished) -> None:
    """Handle the end of a run: a confirmed pause, or the end of the request."""
    entry = turn.state.entries.get(item.id)
    may_run_again = entry is not None and command_delivery.may_run_again(turn, entry)
    new, entry = _accept_notice(turn, item.serial, item.id)
    if not new or entry is None:
        return
    if item.end is RunEnd.ABORTED and entry.unanswered and entry.pause_requested:
        entry.phase, entry.pause_requested = Phase.PAUSED, False
    else:
        _finish_run(turn, entry, item)
        if may_run_again and item.end in (RunEnd.DONE, RunEnd.CRASHED):
            _expect_second_run(turn, entry)
            return
    turn.events.append(RunEnded(item.id, run_outcome(item.end), item.took_us))


def _expect_second_run(turn: Turn, ended: RequestEntry) -> None:
    """Keep what a run uses in use: its start was repeated, and may begin a second run after the first had ended."""
    entry = RequestEntry(ended.request, phase=Phase.RUNNING, unanswered=False, answered_at=turn.now, ran=True)
    entry.is_second_run = True
    turn.state.entries[ended.request.id] = entry
    command_delivery.doubt_run(turn, entry, RunCommand(CommandKind.START, ended.request.id))
    turn.events.append(RequestWithdrawn(ended.request.id))


def _finish_run(turn: Turn, entry: RequestEntry, item: inputs.RunFinished) -> None:
    """Finish a request whose run will not resume.

    A run that ends as 'aborted' without a requested pause has lost its caller; the withdrawal is still to be read,
    on another connection. Without the ``RequestWithdrawn`` event the policy would wait for this run forever.
    """
    if entry.phase is Phase.CALL_IN_PROGRESS:
        turn.effects.append(AbandonCall(item.id))
    if item.end is RunEnd.ABORTED and entry.unanswered:
        turn.events.append(RequestWithdrawn(item.id))
    if item.end in (RunEnd.NEVER_RAN, RunEnd.REJECTED):
        turn.state.keys.mark_not_run(entry.request)
        access_control.charge_not_run(turn, entry)
    if item.end is RunEnd.IN_DOUBT:  # the next attempt is to ask the other server, not to be answered here
        turn.state.keys.mark_in_doubt(entry.request)
        entry.in_doubt = True
    done = item.end is RunEnd.DONE
    turn.answer(entry, _answer_for(turn, entry, item))
    turn.finish(entry, item.result if done else None)


def _answer_for(turn: Turn, entry: RequestEntry, item: inputs.RunFinished) -> Answer:
    """Return the answer to the request of a run that ended."""
    match item.end:
        case RunEnd.DONE:
            return Served(item.result)
        case RunEnd.NEVER_RAN:
            return Refused(item.retry_after_us)
        case RunEnd.REJECTED:
            return Failed(FailCause.REJECTED)
    return turn.failure_answer(entry)


def command_rejected(turn: Turn, item: inputs.CommandRejected) -> None:
    """Handle a rejected command: the run cannot go on, so the request fails.

    Only the rejection of a start proves that there is no run; otherwise one may go on, and keeps what it uses.
    """
    turn.log(f"kernel rejected {item.command_name} of {item.id}")
    entry = turn.state.entries.get(item.id)
    if entry is None or item.kind in (None, CommandKind.PAUSE):
        return
    if item.kind in entry.resent_commands:  # the first copy had arrived, so the run is unaffected
        entry.resent_commands.remove(item.kind)
        return
    if item.kind is not CommandKind.START:
        turn.answer(entry, Failed())
        turn.events.append(RequestWithdrawn(item.id))
        command_delivery.doubt_run(turn, entry, RunCommand(item.kind, item.id))
        return
    # The kernel never saw the request, so no front end of the platform sent it.
    turn.state.keys.mark_not_run(entry.request)
    access_control.charge_not_run(turn, entry)
    turn.effects.append(DeprioritizeConnection(entry.request.request_ref.connection))
    turn.answer(entry, Failed())
    turn.finish(entry)
    turn.events.append(RunEnded(item.id, run_outcome(RunEnd.CRASHED)))
