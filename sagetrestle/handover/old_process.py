"""The old process of a hot restart: it hands its keys over to the new process.

``step(state, now, event) -> (state, decisions)``; times are microseconds. ``TransferKeys`` gives up the ownership
token: from then on this process runs an unknown key only if the new process grants it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple, Union

from sagetrestle.handover import messages


class Stage(Enum):
    """The progress of the old process."""

    ALONE = "there is no new process"
    ANNOUNCED = "a new process has connected"
    YIELDED = "the new process owns the keys and does not serve yet"
    LEAVING = "the new process serves"
    ORPHANED = "the new process served and is gone"


@dataclass(frozen=True)
class OldProcess:
    """The state of a process in the role of the old one.

    ``link`` is the stream of the new process; ``noticed`` is set if SIGTERM came while there was one.
    """

    name: str
    listen: str
    window_us: int = 0
    stage: Stage = Stage.ALONE
    link: int = 0
    noticed: bool = False
    doubt_until: int = 0  # until then unknown keys may have run at a new process that is gone


class MessageReceived(NamedTuple):
    """A message arrived on a connection."""

    link: int
    message: messages.Message


class Disconnected(NamedTuple):
    """A connection ended."""

    link: int


class SigtermReceived(NamedTuple):
    """SIGTERM was received."""


Event = Union[MessageReceived, Disconnected, SigtermReceived]


class SendMessage(NamedTuple):
    """Send a message on a connection."""

    link: int
    message: messages.Message


class CloseConnection(NamedTuple):
    """Close a connection after its pending messages are sent."""

    link: int


class TransferKeys(NamedTuple):
    """Send all keys, then the token with the listening sockets, on this connection within this turn."""

    link: int


class StopAccepting(NamedTuple):
    """Accept no more connections, and ask the clients to leave those that are open."""


class ScheduleExit(NamedTuple):
    """SIGTERM came while there is a new process: exit by the platform's deadline, without a drain."""


class StartDrain(NamedTuple):
    """SIGTERM came while there is no new process: drain."""


Decision = Union[SendMessage, CloseConnection, TransferKeys, StopAccepting, ScheduleExit, StartDrain]


def step(state: OldProcess, now: int, event: Event) -> tuple[OldProcess, list[Decision]]:
    """Handle an event and return the new state and what to do."""
    match event:
        case MessageReceived(link, messages.Hello() as hello):
            return _handle_hello(state, link, hello)
        case MessageReceived(link, messages.Ask()) if link == state.link and state.stage is Stage.ANNOUNCED:
            return replace(state, stage=Stage.YIELDED), [TransferKeys(link)]
        case MessageReceived(link, messages.Serving()) if link == state.link and state.stage is Stage.YIELDED:
            return replace(state, stage=Stage.LEAVING), [StopAccepting()]
        case Disconnected(link) if link == state.link:
            return _handle_disconnect(state, now)
        case SigtermReceived():
            return _handle_sigterm(state)
    return state, []


def needs_grant(state: OldProcess) -> bool:
    """Return whether the new process has to grant a keyed run."""
    return state.stage in (Stage.YIELDED, Stage.LEAVING)


def may_run(state: OldProcess, now: int) -> bool:
    """Return whether a keyed request that is unknown here cannot have run elsewhere."""
    return state.stage is not Stage.ORPHANED and now >= state.doubt_until


def handed_over(state: OldProcess) -> bool:
    """Return whether the new process serves in place of this one."""
    return state.stage in (Stage.LEAVING, Stage.ORPHANED)


def _handle_hello(state: OldProcess, link: int, hello: messages.Hello) -> tuple[OldProcess, list[Decision]]:
    why = ""
    if hello.version != messages.VERSION:
        why = f"version {messages.VERSION} is spoken here"
    elif (hello.name, hello.listen) != (state.name, state.listen):
        why = f"this is {state.name} at {state.listen}"
    elif state.stage is not Stage.ALONE:
        why = "there is a successor"
    if why:
        return state, [SendMessage(link, messages.Busy(why)), CloseConnection(link)]
    return replace(state, stage=Stage.ANNOUNCED, link=link), [SendMessage(link, messages.Welcome())]


def _handle_disconnect(state: OldProcess, now: int) -> tuple[OldProcess, list[Decision]]:
    if state.stage is Stage.ANNOUNCED:
        alone = replace(state, stage=Stage.ALONE, link=0)
    elif state.stage is Stage.YIELDED:  # it may have run keys since, and cannot be asked
        alone = replace(state, stage=Stage.ALONE, link=0, doubt_until=now + state.window_us)
    else:
        return replace(state, stage=Stage.ORPHANED, link=0), []
    return alone, [StartDrain()] if state.noticed else []


def _handle_sigterm(state: OldProcess) -> tuple[OldProcess, list[Decision]]:
    """Handle SIGTERM: drain, or only exit in time if there is a new process."""
    if state.stage is Stage.ALONE:
        return state, [StartDrain()]
    if state.noticed:
        return state, []
    if state.stage is Stage.ANNOUNCED:  # the new process was not ready in time; it gets the keys without a request
        return replace(state, stage=Stage.YIELDED, noticed=True), [ScheduleExit(), TransferKeys(state.link)]
    return replace(state, noticed=True), [ScheduleExit()]
