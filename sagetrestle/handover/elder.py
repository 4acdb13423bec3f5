"""The older process: from owning all keys to having none.

``step(state, now, event) -> (state, decisions)``; times are microseconds. The token leaves with ``Yield``: from then
on this process runs no key that it does not know unless its successor grants it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple, Union

from sagetrestle.handover import messages


class Stage(Enum):
    """How far the elder is."""

    ALONE = "there is no successor"
    ANNOUNCED = "a successor is there"
    YIELDED = "the keys are the successor's, which does not serve yet"
    LEAVING = "the successor serves"
    ORPHANED = "the successor that served is gone"


@dataclass(frozen=True)
class Elder:
    """``link`` is the successor's stream; ``noticed``: SIGTERM came while there was a successor."""

    name: str
    listen: str
    window_us: int = 0
    stage: Stage = Stage.ALONE
    link: int = 0
    noticed: bool = False
    doubt_until: int = 0  # until when what is not known here may have run at a successor that is gone


class Said(NamedTuple):
    """Somebody said something on a stream."""

    link: int
    message: messages.Message


class Unlinked(NamedTuple):
    """A stream ended."""

    link: int


class Notice(NamedTuple):
    """SIGTERM came."""


Event = Union[Said, Unlinked, Notice]


class Say(NamedTuple):
    """Say something on a stream."""

    link: int
    message: messages.Message


class HangUp(NamedTuple):
    """End a stream once what was said is sent."""

    link: int


class Yield(NamedTuple):
    """Say all keys, then the token with the sockets, on this stream and in this turn."""

    link: int


class Leave(NamedTuple):
    """Take no more connections and leave those there are."""


class Bound(NamedTuple):
    """The process is ended in a while: the notice to leave came, and is no notice to drain."""


class Drain(NamedTuple):
    """The notice to leave came and there is no successor: drain as ever."""


Decision = Union[Say, HangUp, Yield, Leave, Bound, Drain]


def step(state: Elder, now: int, event: Event) -> tuple[Elder, list[Decision]]:
    """Take an event and return what to do."""
    match event:
        case Said(link, messages.Hello() as hello):
            return _hello(state, link, hello)
        case Said(link, messages.Ask()) if link == state.link and state.stage is Stage.ANNOUNCED:
            return replace(state, stage=Stage.YIELDED), [Yield(link)]
        case Said(link, messages.Serving()) if link == state.link and state.stage is Stage.YIELDED:
            return replace(state, stage=Stage.LEAVING), [Leave()]
        case Unlinked(link) if link == state.link:
            return _unlinked(state, now)
        case Notice():
            return _notice(state)
    return state, []


def must_ask(state: Elder) -> bool:
    """Tell whether a keyed run has to be granted by the successor."""
    return state.stage in (Stage.YIELDED, Stage.LEAVING)


def may_run(state: Elder, now: int) -> bool:
    """Tell whether a keyed request of which nothing is known can not have run elsewhere."""
    return state.stage is not Stage.ORPHANED and now >= state.doubt_until


def handed_over(state: Elder) -> bool:
    """Tell whether another process serves in place of this one."""
    return state.stage in (Stage.LEAVING, Stage.ORPHANED)


def _hello(state: Elder, link: int, hello: messages.Hello) -> tuple[Elder, list[Decision]]:
    why = ""
    if hello.version != messages.VERSION:
        why = f"version {messages.VERSION} is spoken here"
    elif (hello.name, hello.listen) != (state.name, state.listen):
        why = f"this is {state.name} at {state.listen}"
    elif state.stage is not Stage.ALONE:
        why = "there is a successor"
    if why:
        return state, [Say(link, messages.Busy(why)), HangUp(link)]
    return replace(state, stage=Stage.ANNOUNCED, link=link), [Say(link, messages.Welcome())]


def _unlinked(state: Elder, now: int) -> tuple[Elder, list[Decision]]:
    if state.stage is Stage.ANNOUNCED:
        alone = replace(state, stage=Stage.ALONE, link=0)
    elif state.stage is Stage.YIELDED:  # it may have run keys after the token came, and can not be asked
        alone = replace(state, stage=Stage.ALONE, link=0, doubt_until=now + state.window_us)
    else:
        return replace(state, stage=Stage.ORPHANED, link=0), []
    return alone, [Drain()] if state.noticed else []


def _notice(state: Elder) -> tuple[Elder, list[Decision]]:
    """Take the notice to leave: with a successor about, it only says by when to be gone."""
    if state.stage is Stage.ALONE:
        return state, [Drain()]
    if state.noticed:
        return state, []
    if state.stage is Stage.ANNOUNCED:  # the successor was not ready in its time; it gets the keys unasked
        return replace(state, stage=Stage.YIELDED, noticed=True), [Bound(), Yield(state.link)]
    return replace(state, noticed=True), [Bound()]
