"""What the kernel says: its link, the ends of runs, calls, gauges, refused commands."""

from __future__ import annotations

from dataclasses import replace

from sagetrestle.interface import CallRequested, Gauges, RequestWithdrawn, RunEnded
from sagetrestle.logic import Policy
from sagetrestle.net.routing import access, inputs
from sagetrestle.net.routing.actions import carry_out
from sagetrestle.net.routing.effects import AbandonCall, AskGauges, ConnectKernel, Doubt, OpenKernel
from sagetrestle.net.routing.outcomes import run_outcome
from sagetrestle.net.routing.state import Entry, Link, Phase
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

BACKOFF_FIRST_US, BACKOFF_MOST_US = 20_000, 500_000
IN_DOUBT_US = 2_000_000  # what was written longer before a link's end was read at the other side


def connect(turn: Turn) -> None:
    """Set up the next link."""
    kernel = turn.state.kernel
    kernel.number += 1
    kernel.link, kernel.asked = Link.CONNECTING, False
    turn.effects.append(ConnectKernel(kernel.number, turn.state.peers.kernel))


def move(turn: Turn) -> None:
    """Leave the link for one at the kernel's new address; what was written last may be lost with it."""
    kernel = turn.state.kernel
    if kernel.link is Link.UP:
        kernel.lost_at = turn.now
    kernel.backoff_us = 0
    turn.state.chores.pop("kernel", None)
    connect(turn)


def connected(turn: Turn, item: inputs.KernelConnected) -> None:
    """Say which notice was read last."""
    if item.link != turn.state.kernel.number:
        return
    turn.state.kernel.link = Link.OPENED
    turn.effects.append(OpenKernel(turn.state.kernel.serial))


def lost(turn: Turn, item: inputs.KernelLost) -> None:
    """Set the link up anew after a pause; runs go on meanwhile."""
    kernel = turn.state.kernel
    if item.link != kernel.number:  # the end of one that was left for another changes nothing
        return
    if kernel.link in (Link.UP, Link.SYNCING) or item.end is ConnectionEnd.MALFORMED:
        turn.log(f"kernel link lost: {item.end.value}{': ' if item.detail else ''}{item.detail}")
    if kernel.link is Link.UP:
        kernel.lost_at, kernel.backoff_us = turn.now, 0
    kernel.link, kernel.asked = Link.DOWN, False
    kernel.backoff_us = min(BACKOFF_MOST_US, max(BACKOFF_FIRST_US, 2 * kernel.backoff_us))
    turn.state.chores["kernel"] = turn.now + kernel.backoff_us


def booted(turn: Turn, item: inputs.KernelBooted) -> None:
    """Start the module with the first word; ask for the gauges, whose answer follows what was missed."""
    state = turn.state
    if state.kernel.link is not Link.OPENED:
        return
    if state.policy is None:
        # Keys and results lie in this program's memory, under its own limit, and take none of the kernel's.
        settings = replace(state.plan.settings, cold=item.cold, key_kb=0.0)
        state.policy = Policy(settings, state.plan.seed)
        born = turn.now - item.age_us
        turn.log(f"kernel up, {'cold' if item.cold else 'warm'}, for {item.age_us // 1000} ms")
        _run_module_at_birth(turn, born)
        if state.pair is not None:
            state.pair.kernel_up(turn)
    state.kernel.link = Link.SYNCING
    state.kernel.syncs += 1
    turn.effects.append(AskGauges(_sync_cookie(turn)))


def _run_module_at_birth(turn: Turn, born: int) -> None:
    """Let the module's first turn be at the kernel's start, from which it reckons how warm the cores are."""
    assert turn.state.policy is not None
    for action in turn.state.policy.handle(born, []):
        carry_out(turn, action)


def gauges_read(turn: Turn, item: inputs.GaugesRead) -> None:
    """Take the gauges; the answer to the question asked at the link's start ends the catching up."""
    turn.state.kernel.asked = False
    names = turn.state.plan.gauges
    told = dict(zip(names, item.stats, strict=False))
    turn.state.gauges = Gauges(told.get("core_use"), told.get("on_cores"), told.get("heap_share"), told.get("links"))
    if turn.state.kernel.link is Link.SYNCING and item.cookie == _sync_cookie(turn):
        turn.state.kernel.link = Link.UP
        _resend(turn)


def _sync_cookie(turn: Turn) -> str:
    return f"sync{turn.state.kernel.syncs}"


def _resend(turn: Turn) -> None:
    """Write again what may have been lost with the last link.

    Everything that was missed has been read by now, so a run that ended meanwhile is not started again; a
    command that did arrive changes nothing the second time.
    """
    kernel = turn.state.kernel
    for entry in turn.state.entries.values():
        entry.resent.clear()
        for command in entry.unconfirmed:
            if command.sent_at is not None and command.sent_at < kernel.lost_at - IN_DOUBT_US:
                continue
            if command.sent_at is not None:
                entry.resent.append(command.what.kind)
            command.sent_at = turn.now
            turn.effects.append(command.what)


def _noticed(turn: Turn, serial: int, id: str) -> tuple[bool, Entry | None]:
    """Tell whether a notice is new, and return the request it is about; it confirms all commands."""
    if serial <= turn.state.kernel.serial:
        return False, None
    turn.state.kernel.serial = serial
    entry = turn.state.entries.get(id)
    if entry:
        entry.unconfirmed.clear()
    return True, entry


def remark(turn: Turn, item: inputs.KernelRemark) -> None:
    """Count a notice without meaning as read."""
    _noticed(turn, item.serial, "")


def calls(turn: Turn, item: inputs.RunCalls) -> None:
    """Take a run off the cores: it waits for a call."""
    new, entry = _noticed(turn, item.serial, item.id)
    if new and entry:
        entry.phase, entry.pausing, entry.call_body = Phase.AT_CALL, False, item.body
        turn.events.append(CallRequested(item.id))


def over(turn: Turn, item: inputs.RunOver) -> None:
    """Answer with the result of a run, take its pause in, or end it."""
    new, entry = _noticed(turn, item.serial, item.id)
    if not new or entry is None:
        return
    if item.end is RunEnd.ABORTED and entry.owed and entry.pausing:
        entry.phase, entry.pausing = Phase.PAUSED, False
    else:
        _finish(turn, entry, item)
    turn.events.append(RunEnded(item.id, run_outcome(item.end), item.took_us))


def _finish(turn: Turn, entry: Entry, item: inputs.RunOver) -> None:
    """End a request whose run is over for good.

    A run that ends as 'aborted' though no pause was asked for has lost its caller: the withdrawal is still on
    its way here, on another connection. Without the ``RequestWithdrawn`` the module would wait for this run for ever.
    """
    if entry.phase is Phase.CALLING:
        turn.effects.append(AbandonCall(item.id))
    if item.end is RunEnd.ABORTED and entry.owed:
        turn.events.append(RequestWithdrawn(item.id))
    if item.end in (RunEnd.NEVER_RAN, RunEnd.REJECTED):
        turn.state.keys.never_ran(entry.request)
        access.never_ran(turn, entry)
    if item.end is RunEnd.IN_DOUBT:  # the next try is to be asked after there, not answered from here
        turn.state.keys.never_ran(entry.request)
        entry.in_doubt = True
    done = item.end is RunEnd.DONE
    turn.answer(entry, _answer(turn, entry, item))
    turn.over(entry, item.result if done else None)


def _answer(turn: Turn, entry: Entry, item: inputs.RunOver) -> Answer:
    """Return the answer for a run that is over."""
    match item.end:
        case RunEnd.DONE:
            return Served(item.result)
        case RunEnd.NEVER_RAN:
            return Refused(item.retry_after_us)
        case RunEnd.REJECTED:
            return Failed(FailCause.REJECTED)
    return turn.failure(entry)


def command_rejected(turn: Turn, item: inputs.CommandRejected) -> None:
    """Resolve a command that the kernel did not carry out: what should run does not, so the request fails."""
    turn.log(f"kernel rejected {item.word} of {item.id}")
    entry = turn.state.entries.get(item.id)
    if entry is None or item.kind in (None, CommandKind.PAUSE):
        return
    if item.kind in entry.resent:  # it had arrived the first time, and the run has gone on since
        entry.resent.remove(item.kind)
        return
    if item.kind is CommandKind.START:  # it came to no kernel, so no front end of the platform sent it
        turn.state.keys.never_ran(entry.request)
        access.never_ran(turn, entry)
        turn.effects.append(Doubt(entry.request.ticket.connection))
    turn.answer(entry, Failed())
    turn.over(entry)
    turn.events.append(RunEnded(item.id, run_outcome(RunEnd.CRASHED)))
