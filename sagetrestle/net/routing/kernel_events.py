"""Handlers of inputs from the kernel: its link, ends of runs, calls, gauges, rejected commands."""

from __future__ import annotations

from dataclasses import replace

from sagetrestle.interface import CallRequested, Effect, Gauges, RequestWithdrawn, RunEnded
from sagetrestle.logic import Policy
from sagetrestle.net.routing import access_control, inputs
from sagetrestle.net.routing.actions import apply_action, send_start
from sagetrestle.net.routing.effects import (
    AbandonCall,
    ConnectKernel,
    DeprioritizeConnection,
    OpenKernelSession,
    RequestGauges,
)
from sagetrestle.net.routing.outcomes import run_outcome
from sagetrestle.net.routing.state import LinkPhase, PendingCommand, Phase, RequestEntry
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
ANSWER_DELIVERY_US = 1_000_000  # from an answer until the kernel knows of it
SETTLE_INTERVAL_US = 100_000
LOSS_WINDOW_US = 200_000  # before the end of a link: commands sent earlier were read, whatever was lost with it
RELEASE_DELAY_US = 200_000  # from the sync with the kernel until a run without any notice counts as lost
RESEND_WINDOW_US = 2_000_000  # before the end of a link; the kernel has read what was sent earlier


def connect(turn: Turn) -> None:
    """Set up a new link to the kernel."""
    kernel = turn.state.kernel
    kernel.link_number += 1
    kernel.link, kernel.gauges_requested = LinkPhase.CONNECTING, False
    turn.effects.append(ConnectKernel(kernel.link_number, turn.state.peers.kernel))


def change_address(turn: Turn) -> None:
    """Replace the link by one to the kernel's new address; what was sent last may be lost and is sent again."""
    kernel = turn.state.kernel
    if kernel.link is LinkPhase.UP:
        kernel.lost_at = turn.now
    kernel.backoff_us = 0
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
        kernel.lost_at, kernel.backoff_us = turn.now, 0
    kernel.link, kernel.gauges_requested = LinkPhase.DOWN, False
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
    state.kernel.sync_count += 1
    turn.effects.append(RequestGauges(_sync_cookie(turn)))


def _run_policy_at_kernel_start(turn: Turn, started_at: int) -> None:
    """Run the policy's first turn at the kernel's start time, from which it computes how warm the cores are."""
    assert turn.state.policy is not None
    for action in turn.state.policy.handle(started_at, []):
        apply_action(turn, action)


def gauges_read(turn: Turn, item: inputs.GaugesRead) -> None:
    """Store the gauges; the answer to the request made at the link's start ends the synchronization."""
    turn.state.kernel.gauges_requested = False
    names = turn.state.plan.gauges
    values = dict(zip(names, item.stats, strict=False))
    turn.state.gauges = Gauges(
        values.get("core_use"), values.get("on_cores"), values.get("heap_share"), values.get("links")
    )
    if turn.state.kernel.link is LinkPhase.SYNCING and item.cookie == _sync_cookie(turn):
        turn.state.kernel.link, turn.state.kernel.synced_at = LinkPhase.UP, turn.now
        _resend(turn)


def _sync_cookie(turn: Turn) -> str:
    return f"sync{turn.state.kernel.sync_count}"


def _resend(turn: Turn) -> None:
    """Send again the commands that may have been lost with the last link and that may be carried out twice.

    The notices read by now do not tell what a command that did arrive has done since: its run may have ended, or may
    wait for another call. A command that must not be carried out twice is therefore never repeated; the notices of its
    run confirm it, or its request fails at its deadline.
    """
    kernel = turn.state.kernel
    for entry in turn.state.entries.values():
        entry.resent_commands.clear()
        for pending in entry.unconfirmed_commands:
            if pending.sent_at is not None and (
                pending.sent_at < kernel.lost_at - RESEND_WINDOW_US or not _is_repeatable(turn, entry, pending)
            ):
                continue
            if pending.sent_at is not None:
                entry.resent_commands.append(pending.command.kind)
            pending.sent_at = turn.now
            turn.effects.append(pending.command)


def _is_repeatable(turn: Turn, entry: RequestEntry, pending: PendingCommand) -> bool:
    """Return whether a command that may have arrived does no harm if it is carried out a second time."""
    match pending.command.kind:
        case CommandKind.START:
            request_class = turn.state.plan.settings.classes[entry.request.class_index]
            is_safe = request_class.effect is Effect.SAFE and not _pause_may_have_arrived(entry)
            return is_safe or _is_over_at_kernel(turn, entry)
        case CommandKind.RESUME:
            return not _pause_may_have_arrived(entry)
        case CommandKind.PAUSE:
            return True
        case CommandKind.REPLY:  # the run may wait for the reply to its next call by now
            return False


def _pause_may_have_arrived(entry: RequestEntry) -> bool:
    """Return whether a pause was sent, which a start or resume behind it would undo."""
    return any(
        pending.command.kind is CommandKind.PAUSE and pending.sent_at is not None
        for pending in entry.unconfirmed_commands
    )


def _is_over_at_kernel(turn: Turn, entry: RequestEntry) -> bool:
    """Return whether the kernel knows that the request was answered or given up, so that it starts no run of it."""
    return not entry.unanswered and turn.now - entry.answered_at >= ANSWER_DELIVERY_US


def settle_lost_runs(turn: Turn) -> None:
    """Release what runs hold whose commands were probably lost with the last link.

    For the policy such a run ends soon, as otherwise it would take a core until its deadline; the request waits on for
    a notice. Once the request is over, a start command starts nothing: the kernel reports ``stale`` unless the run
    goes on.
    """
    kernel = turn.state.kernel
    turn.state.task_due_times["settle"] = turn.now + SETTLE_INTERVAL_US
    if kernel.link is not LinkPhase.UP or not kernel.lost_at:
        return
    release_due = turn.now - kernel.synced_at >= RELEASE_DELAY_US
    for entry in turn.state.entries.values():
        if entry.phase is not Phase.RUNNING or not _is_in_doubt(entry, kernel.lost_at):
            continue
        if _is_over_at_kernel(turn, entry):
            send_start(turn, entry)
        elif release_due and entry.unanswered and not entry.released and _may_be_lost(entry, kernel.lost_at):
            entry.released = True
            turn.events.append(RunEnded(entry.request.id, run_outcome(RunEnd.CRASHED)))


def _may_be_lost(entry: RequestEntry, lost_at: int) -> bool:
    """Return whether a command was sent so shortly before the end of the link that it may be lost with it."""
    return any(
        pending.sent_at is not None and lost_at - LOSS_WINDOW_US <= pending.sent_at <= lost_at
        for pending in entry.unconfirmed_commands
    )


def _is_in_doubt(entry: RequestEntry, lost_at: int) -> bool:
    """Return whether a command of a request may have been lost with the last link, and no start was sent since."""
    pending = entry.unconfirmed_commands
    start_sent_since = any(
        one.command.kind is CommandKind.START and (one.sent_at is None or one.sent_at > lost_at) for one in pending
    )
    return not start_sent_since and any(one.sent_at is not None and one.sent_at <= lost_at for one in pending)


def _accept_notice(turn: Turn, serial: int, id: str) -> tuple[bool, RequestEntry | None]:
    """Return whether a notice is new, and its request; the notice confirms all commands of the request."""
    if serial <= turn.state.kernel.last_serial:
        return False, None
    turn.state.kernel.last_serial = serial
    entry = turn.state.entries.get(id)
    if entry:
        entry.unconfirmed_commands.clear()
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
    new, entry = _accept_notice(turn, item.serial, item.id)
    if not new or entry is None:
        return
    if item.end is RunEnd.ABORTED and entry.unanswered and entry.pause_requested:
        entry.phase, entry.pause_requested = Phase.PAUSED, False
    else:
        _finish_run(turn, entry, item)
    if not entry.released:
        turn.events.append(RunEnded(item.id, run_outcome(item.end), item.took_us))


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
    """Handle a rejected command: the run cannot go on, so the request fails."""
    turn.log(f"kernel rejected {item.command_name} of {item.id}")
    entry = turn.state.entries.get(item.id)
    if entry is None or item.kind in (None, CommandKind.PAUSE):
        return
    if item.kind in entry.resent_commands:  # the first copy had arrived, so the run is unaffected
        entry.resent_commands.remove(item.kind)
        return
    if item.kind is CommandKind.START:  # the kernel never saw the request, so no front end of the platform sent it
        turn.state.keys.mark_not_run(entry.request)
        access_control.charge_not_run(turn, entry)
        turn.effects.append(DeprioritizeConnection(entry.request.request_ref.connection))
    turn.answer(entry, Failed())
    turn.finish(entry)
    turn.events.append(RunEnded(item.id, run_outcome(RunEnd.CRASHED)))
