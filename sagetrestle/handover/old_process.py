"""The old process of a hot restart: it hands its keys over to the new process.

``step(state, now, event) -> (state, decisions)``; times are microseconds. The token leaves with ``TransferKeys``: from
then on this process runs no key that it does not know unless its successor grants it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple, Union

from sagetrestle.handover import messages


class Stage(Enum):
    """The progress of the old process."""

    ALONE = "there is no successor"
    ANNOUNCED = "a successor is there"
    YIELDED = "the keys are the successor's, which does not serve yet"
    LEAVING = "the successor serves"
    ORPHANED = "the successor that served is gone"


@dataclass(frozen=True)
class OldProcess:
    """``link`` is the successor's stream; ``noticed``: SIGTERM came while there was a successor."""

    name: str
    listen: str
    window_us: int = 0
    stage: Stage = Stage.ALONE
    link: int = 0
    noticed: bool = False
    doubt_until: int = 0  # until when what is not known here may have run at a successor that is gone


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
    """End a stream once what was said is sent."""

    link: int


class TransferKeys(NamedTuple):
    """Send all keys, then the token with the listening sockets, on this connection within this turn."""

    link: int


class StopAccepting(NamedTuple):
    """Take no more connections and leave those there are."""


class ScheduleExit(NamedTuple):
    """The process is ended in a while: the notice to leave came, and is no notice to drain."""


class StartDrain(NamedTuple):
    """The notice to leave came and there is no successor: drain as ever."""


Decision = Union[SendMessage, CloseConnection, TransferKeys, StopAccepting, ScheduleExit, StartDrain]


def step(state: OldProcess, now: int, event: Event) -> tuple[OldProcess, list[Decision]]:
    """Take an event and return what to do."""
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
    """Tell whether a keyed run has to be granted by the successor."""
    return state.stage in (Stage.YIELDED, Stage.LEAVING)


def may_run(state: OldProcess, now: int) -> bool:
    """Tell whether a keyed request of which nothing is known can not have run elsewhere."""
    return state.stage is not Stage.ORPHANED and now >= state.doubt_until


def handed_over(state: OldProcess) -> bool:
    """Tell whether another process serves in place of this one."""
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
    elif state.stage is Stage.YIELDED:  # it may have run keys after the token came, and can not be asked
        alone = replace(state, stage=Stage.ALONE, link=0, doubt_until=now + state.window_us)
    else:
        return replace(state, stage=Stage.ORPHANED, link=0), []
    return alone, [StartDrain()] if state.noticed else []


def _handle_sigterm(state: OldProcess) -> tuple[OldProcess, list[Decision]]:
    """Take the notice to leave: with a successor about, it only says by when to be gone."""
    if state.stage is Stage.ALONE:
        return state, [StartDrain()]
    if state.noticed:
        return state, []
    if state.stage is Stage.ANNOUNCED:  # the successor was not ready in its time; it gets the keys unasked
        return replace(state, stage=Stage.YIELDED, noticed=True), [ScheduleExit(), TransferKeys(state.link)]
    return replace(state, noticed=True), [ScheduleExit()]
