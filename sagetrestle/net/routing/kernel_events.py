"""What the kernel says: its link, the ends of runs, calls, gauges, refused commands."""

from __future__ import annotations

from dataclasses import replace

from sagetrestle.interface import CallRequested, Gauges, RequestWithdrawn, RunEnded
from sagetrestle.logic import Policy
from sagetrestle.net.routing import access_control, inputs
from sagetrestle.net.routing.actions import apply_action
from sagetrestle.net.routing.effects import (
    AbandonCall,
    RequestGauges,
    ConnectKernel,
    DeprioritizeConnection,
    OpenKernelSession,
)
from sagetrestle.net.routing.outcomes import run_outcome
from sagetrestle.net.routing.state import RequestEntry, LinkPhase, Phase
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

MIN_BACKOFF_US, MAX_BACKOFF_US = 20_000, 500_000
RESEND_WINDOW_US = 2_000_000  # what was written longer before a link's end was read at the other side


def connect(turn: Turn) -> None:
    """Set up the next link."""
    kernel = turn.state.kernel
    kernel.link_number += 1
    kernel.link, kernel.gauges_requested = LinkPhase.CONNECTING, False
    turn.effects.append(ConnectKernel(kernel.link_number, turn.state.peers.kernel))


def change_address(turn: Turn) -> None:
    """Leave the link for one at the kernel's new address; what was written last may be lost with it."""
    kernel = turn.state.kernel
    if kernel.link is LinkPhase.UP:
        kernel.lost_at = turn.now
    kernel.backoff_us = 0
    turn.state.task_due_times.pop("kernel", None)
    connect(turn)


def connected(turn: Turn, item: inputs.KernelConnected) -> None:
    """Say which notice was read last."""
    if item.link != turn.state.kernel.link_number:
        return
    turn.state.kernel.link = LinkPhase.OPENED
    turn.effects.append(OpenKernelSession(turn.state.kernel.last_serial))


def disconnected(turn: Turn, item: inputs.KernelDisconnected) -> None:
    """Set the link up anew after a pause; runs go on meanwhile."""
    kernel = turn.state.kernel
    if item.link != kernel.link_number:  # the end of one that was left for another changes nothing
        return
    if kernel.link in (LinkPhase.UP, LinkPhase.SYNCING) or item.end is ConnectionEnd.MALFORMED:
        turn.log(f"kernel link lost: {item.end.value}{': ' if item.detail else ''}{item.detail}")
    if kernel.link is LinkPhase.UP:
        kernel.lost_at, kernel.backoff_us = turn.now, 0
    kernel.link, kernel.gauges_requested = LinkPhase.DOWN, False
    kernel.backoff_us = min(MAX_BACKOFF_US, max(MIN_BACKOFF_US, 2 * kernel.backoff_us))
    turn.state.task_due_times["kernel"] = turn.now + kernel.backoff_us


def booted(turn: Turn, item: inputs.KernelBooted) -> None:
    """Start the module with the first word; ask for the gauges, whose answer follows what was missed."""
    state = turn.state
    if state.kernel.link is not LinkPhase.OPENED:
        return
    if state.policy is None:
        # Keys and results lie in this program's memory, under its own limit, and take none of the kernel's.
        settings = replace(state.plan.settings, cold=item.cold, key_kb=0.0)
        state.policy = Policy(settings, state.plan.seed)
        born = turn.now - item.age_us
        turn.log(f"kernel up, {'cold' if item.cold else 'warm'}, for {item.age_us // 1000} ms")
        _run_policy_at_kernel_start(turn, born)
        if state.handover is not None:
            state.handover.kernel_up(turn)
    state.kernel.link = LinkPhase.SYNCING
    state.kernel.sync_count += 1
    turn.effects.append(RequestGauges(_sync_cookie(turn)))


def _run_policy_at_kernel_start(turn: Turn, born: int) -> None:
    """Let the module's first turn be at the kernel's start, from which it reckons how warm the cores are."""
    assert turn.state.policy is not None
    for action in turn.state.policy.handle(born, []):
        apply_action(turn, action)


def gauges_read(turn: Turn, item: inputs.GaugesRead) -> None:
    """Take the gauges; the answer to the question asked at the link's start ends the catching up."""
    turn.state.kernel.gauges_requested = False
    names = turn.state.plan.gauges
    told = dict(zip(names, item.stats, strict=False))
    turn.state.gauges = Gauges(told.get("core_use"), told.get("on_cores"), told.get("heap_share"), told.get("links"))
    if turn.state.kernel.link is LinkPhase.SYNCING and item.cookie == _sync_cookie(turn):
        turn.state.kernel.link = LinkPhase.UP
        _resend(turn)


def _sync_cookie(turn: Turn) -> str:
    return f"sync{turn.state.kernel.sync_count}"


def _resend(turn: Turn) -> None:
    """Write again what may have been lost with the last link.

    Everything that was missed has been read by now, so a run that ended meanwhile is not started again; a
    command that did arrive changes nothing the second time.
    """
    kernel = turn.state.kernel
    for entry in turn.state.entries.values():
        entry.resent_commands.clear()
        for pending in entry.unconfirmed_commands:
            if pending.sent_at is not None and pending.sent_at < kernel.lost_at - RESEND_WINDOW_US:
                continue
            if pending.sent_at is not None:
                entry.resent_commands.append(pending.command.kind)
            pending.sent_at = turn.now
            turn.effects.append(pending.command)


def _accept_notice(turn: Turn, serial: int, id: str) -> tuple[bool, RequestEntry | None]:
    """Tell whether a notice is new, and return the request it is about; it confirms all commands."""
    if serial <= turn.state.kernel.last_serial:
        return False, None
    turn.state.kernel.last_serial = serial
    entry = turn.state.entries.get(id)
    if entry:
        entry.unconfirmed_commands.clear()
    return True, entry


def notice_read(turn: Turn, item: inputs.KernelNotice) -> None:
    """Count a notice without meaning as read."""
    _accept_notice(turn, item.serial, "")


def run_requested_call(turn: Turn, item: inputs.RunRequestedCall) -> None:
    """Take a run off the cores: it waits for a call."""
    new, entry = _accept_notice(turn, item.serial, item.id)
    if new and entry:
        entry.phase, entry.pause_requested, entry.call_body = Phase.AWAITING_CALL, False, item.body
        turn.events.append(CallRequested(item.id))


def run_finished(turn: Turn, item: inputs.RunFinished) -> None:
    """Answer with the result of a run, take its pause in, or end it."""
    new, entry = _accept_notice(turn, item.serial, item.id)
    if not new or entry is None:
        return
    if item.end is RunEnd.ABORTED and entry.unanswered and entry.pause_requested:
        entry.phase, entry.pause_requested = Phase.PAUSED, False
    else:
        _finish_run(turn, entry, item)
    turn.events.append(RunEnded(item.id, run_outcome(item.end), item.took_us))


def _finish_run(turn: Turn, entry: RequestEntry, item: inputs.RunFinished) -> None:
    """End a request whose run is over for good.

    A run that ends as 'aborted' though no pause was asked for has lost its caller: the withdrawal is still on
    its way here, on another connection. Without the ``RequestWithdrawn`` the module would wait for this run for ever.
    """
    if entry.phase is Phase.CALL_IN_PROGRESS:
        turn.effects.append(AbandonCall(item.id))
    if item.end is RunEnd.ABORTED and entry.unanswered:
        turn.events.append(RequestWithdrawn(item.id))
    if item.end in (RunEnd.NEVER_RAN, RunEnd.REJECTED):
        turn.state.keys.mark_not_run(entry.request)
        access_control.charge_not_run(turn, entry)
    if item.end is RunEnd.IN_DOUBT:  # the next try is to be asked after there, not answered from here
        turn.state.keys.mark_not_run(entry.request)
        entry.in_doubt = True
    done = item.end is RunEnd.DONE
    turn.answer(entry, _answer_for(turn, entry, item))
    turn.finish(entry, item.result if done else None)


def _answer_for(turn: Turn, entry: RequestEntry, item: inputs.RunFinished) -> Answer:
    """Return the answer for a run that is over."""
    match item.end:
        case RunEnd.DONE:
            return Served(item.result)
        case RunEnd.NEVER_RAN:
            return Refused(item.retry_after_us)
        case RunEnd.REJECTED:
            return Failed(FailCause.REJECTED)
    return turn.failure_answer(entry)


def command_rejected(turn: Turn, item: inputs.CommandRejected) -> None:
    """Resolve a command that the kernel did not carry out: what should run does not, so the request fails."""
    turn.log(f"kernel rejected {item.word} of {item.id}")
    entry = turn.state.entries.get(item.id)
    if entry is None or item.kind in (None, CommandKind.PAUSE):
        return
    if item.kind in entry.resent_commands:  # it had arrived the first time, and the run has gone on since
        entry.resent_commands.remove(item.kind)
        return
    if item.kind is CommandKind.START:  # it came to no kernel, so no front end of the platform sent it
        turn.state.keys.mark_not_run(entry.request)
        access_control.charge_not_run(turn, entry)
        turn.effects.append(DeprioritizeConnection(entry.request.request_ref.connection))
    turn.answer(entry, Failed())
    turn.finish(entry)
    turn.events.append(RunEnded(item.id, run_outcome(RunEnd.CRASHED)))
