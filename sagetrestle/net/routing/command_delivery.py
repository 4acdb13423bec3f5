"""Delivery of run commands over a kernel link that may break: confirmation, repetition, and runs in doubt.

The kernel does not acknowledge commands. It reads a link in order, so its answer to a request for the gauges confirms
all commands written before that request, and a notice of a run confirms those of its request. Whatever was written and
not confirmed when the link ended may have arrived or not.

A run is in doubt while a command that must not be carried out twice may be lost. Silence proves nothing about it: a
run that waits for its disk is silent too. Where the site pauses runs, a pause command tells more. A run on a core stops
and is reported; if the next gauges arrive without such a report, the run is not on a core now, and the policy gives its
core to other work. It keeps the memory, and the pause is repeated, since the run may come back from its disk.
"""

from __future__ import annotations

from sagetrestle.interface import Effect, PreemptionMode, RunInDoubt
from sagetrestle.net.routing.actions import send_start
from sagetrestle.net.routing.effects import RequestGauges, RunCommand
from sagetrestle.net.routing.state import GaugeRequest, LinkPhase, PendingCommand, Phase, RequestEntry
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import CommandKind

ANSWER_DELIVERY_US = 1_000_000  # from an answer until the kernel knows of it


def request_gauges(turn: Turn) -> None:
    """Request the gauges; the answer confirms the commands sent so far on this link."""
    kernel = turn.state.kernel
    kernel.gauge_requests_sent += 1
    kernel.gauge_request = GaugeRequest(f"gauges{kernel.gauge_requests_sent}", kernel.commands_sent)
    turn.effects.append(RequestGauges(kernel.gauge_request.cookie))


def gauges_answered(turn: Turn, cookie: str) -> None:
    """Handle the answer to a gauge request; the first one on a link follows all missed notices."""
    kernel = turn.state.kernel
    request = kernel.gauge_request
    if request is None or request.cookie != cookie:
        return
    kernel.gauge_request = None
    if kernel.link is LinkPhase.SYNCING:
        kernel.link = LinkPhase.UP
        _send_unconfirmed(turn)
    elif kernel.link is LinkPhase.UP:
        _confirm_commands(turn, request.commands_sent)


def resolve_doubts(turn: Turn) -> None:
    """Ask the kernel once more about each run in doubt.

    Once the request of a run is over, a start command starts nothing: the kernel reports ``stale`` unless the run goes
    on, so that command is sent once. Until a notice comes, pauses show whether the run is on a core.
    """
    if turn.state.kernel.link is not LinkPhase.UP:
        return
    for entry in turn.state.entries.values():
        if entry.doubtful_command is None or entry.phase is not Phase.RUNNING:
            continue
        if not entry.settlement_requested and is_over_at_kernel(turn, entry):
            entry.settlement_requested = True
            send_start(turn, entry)
        _probe(turn, entry, entry.doubtful_command)


def doubt_run(turn: Turn, entry: RequestEntry, command: RunCommand) -> None:
    """Note that a command may be lost, and have its run stopped if it is on a core."""
    turn.log(f"run of {entry.request.id} in doubt: its {command.kind.value} may be lost")
    entry.doubtful_command = command
    entry.off_cores = entry.settlement_requested = False


def run_reported(turn: Turn, entry: RequestEntry) -> None:
    """Handle a notice of a run: it confirms all commands of its request."""
    if entry.doubtful_command is not None:
        turn.log(f"run of {entry.request.id} no longer in doubt")
    entry.unconfirmed_commands.clear()
    entry.doubtful_command, entry.off_cores = None, False


def may_run_again(turn: Turn, entry: RequestEntry) -> bool:
    """Return whether a repeated start may begin a second run after the end that was just reported."""
    is_start_repeated = CommandKind.START in entry.resent_commands and _is_unconfirmed(entry, CommandKind.START)
    return is_start_repeated and not is_over_at_kernel(turn, entry)


def is_over_at_kernel(turn: Turn, entry: RequestEntry) -> bool:
    """Return whether the kernel knows that the request was answered or given up, so that it starts no run of it."""
    return not entry.unanswered and turn.now - entry.answered_at >= ANSWER_DELIVERY_US


def _send_unconfirmed(turn: Turn) -> None:
    """Send the commands that were never written, and those that may be lost and may be carried out twice.

    The notices read by now do not tell what a command that did arrive has done since: its run may have ended, or may
    wait for another call. A command that must not be carried out twice is therefore never repeated.
    """
    doubtful_count = repeated_count = 0
    for entry in turn.state.entries.values():
        entry.resent_commands.clear()
        pending_commands, entry.unconfirmed_commands = entry.unconfirmed_commands, []
        is_pause_sent = any(_is_sent_pause(pending) for pending in pending_commands)
        for pending in pending_commands:
            if pending.number is not None and not _is_repeatable(turn, entry, pending.command, is_pause_sent):
                doubt_run(turn, entry, pending.command)
                continue
            if pending.number is not None:
                entry.resent_commands.append(pending.command.kind)
                repeated_count += 1
            _write_again(turn, entry, pending.command)
        if entry.doubtful_command is not None:
            doubtful_count += 1
        if entry.phase is Phase.RUNNING and (entry.pause_requested or entry.doubtful_command is not None):
            _pause(turn, entry)
    if repeated_count or doubtful_count:
        turn.log(f"kernel link up again: {repeated_count} commands repeated, {doubtful_count} runs in doubt")
        request_gauges(turn)


def _confirm_commands(turn: Turn, commands_sent: int) -> None:
    """Drop the commands that the kernel has read; a pause that it read without a report found no run on a core."""
    for entry in turn.state.entries.values():
        if not entry.unconfirmed_commands:
            continue
        was_pause_pending = _is_unconfirmed(entry, CommandKind.PAUSE)
        entry.unconfirmed_commands = [
            pending
            for pending in entry.unconfirmed_commands
            if pending.number is None or pending.number > commands_sent
        ]
        is_pause_read = was_pause_pending and not _is_unconfirmed(entry, CommandKind.PAUSE)
        if is_pause_read and entry.doubtful_command is not None and not entry.off_cores:
            entry.off_cores = True
            turn.log(f"run of {entry.request.id} in doubt is not on a core")
            turn.events.append(RunInDoubt(entry.request.id))


def _probe(turn: Turn, entry: RequestEntry, doubtful: RunCommand) -> None:
    """Have a run in doubt stopped if it is on a core; one that may be paused by a lost resume is resumed before.

    No pause may be under way: the resume would undo it, and its late report would be taken for that of another one.
    """
    if _is_unconfirmed(entry, CommandKind.PAUSE):
        return
    if doubtful.kind is CommandKind.RESUME and entry.unanswered:
        entry.resent_commands.append(CommandKind.RESUME)
        turn.send_command(entry, doubtful)
    _pause(turn, entry)


def _pause(turn: Turn, entry: RequestEntry) -> None:
    """Send a pause command, unless one is unconfirmed or the site does not pause runs."""
    if turn.state.plan.settings.preemption is not PreemptionMode.PAUSE or _is_unconfirmed(entry, CommandKind.PAUSE):
        return
    entry.pause_requested = True
    turn.send_command(entry, RunCommand(CommandKind.PAUSE, entry.request.id))


def _write_again(turn: Turn, entry: RequestEntry, command: RunCommand) -> None:
    pending = PendingCommand(command)
    entry.unconfirmed_commands.append(pending)
    turn.write_command(pending)


def _is_repeatable(turn: Turn, entry: RequestEntry, command: RunCommand, is_pause_sent: bool) -> bool:
    """Return whether a command that may have arrived does no harm if it is carried out a second time.

    A start or resume would undo a pause behind it.
    """
    match command.kind:
        case CommandKind.START:
            request_class = turn.state.plan.settings.classes[entry.request.class_index]
            return (request_class.effect is Effect.SAFE and not is_pause_sent) or is_over_at_kernel(turn, entry)
        case CommandKind.RESUME:
            return not is_pause_sent
        case CommandKind.PAUSE:
            return True
        case CommandKind.REPLY:  # the run may wait for the reply to its next call by now
            return False


def _is_sent_pause(pending: PendingCommand) -> bool:
    return pending.command.kind is CommandKind.PAUSE and pending.number is not None


def _is_unconfirmed(entry: RequestEntry, kind: CommandKind) -> bool:
    return any(pending.command.kind is kind for pending in entry.unconfirmed_commands)
