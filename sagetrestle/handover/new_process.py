"""The new process of a hot restart: it takes over the old process's keys, or serves without them.

``step(state, now, event) -> (state, decisions)``; times are microseconds. Whatever happens it decides to listen in
time, and it says that keys may run only once it owns them or what ran elsewhere can not be repeated any more.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple, Union

from sagetrestle.handover import messages

WELCOME_TIMEOUT_US = 3_000_000  # from the start until it listens without having been welcomed
KEYS_TIMEOUT_US = 2_000_000  # for the keys to come once asked for
RECONNECT_INTERVAL_US = 200_000  # between two tries to reach an elder that is busy or lost
SERVING_RECONNECT_INTERVAL_US = 1_000_000  # the same once it serves


class Stage(Enum):
    """The progress of the new process."""

    ALONE = "there is no elder"
    SEEKING = "an elder is being reached"
    WELCOMED = "the elder knows of it; its own kernel is not up"
    ASKED = "the keys were asked for"
    OWNER = "has the keys; the elder finishes"


@dataclass(frozen=True)
class NewProcess:
    """``listening``: it takes requests; ``doubt_until``: until when what it does not know may have run elsewhere.

    An open doubt, which lasts while an elder may live, is ``FOREVER``.
    """

    stage: Stage = Stage.ALONE
    window_us: int = 0  # the longest in which a try may be repeated
    kernel_up: bool = False
    owner: bool = False  # the keys came, whatever became of the stream
    listening: bool = False
    doubt_until: int = 0
    give_up_at: int | None = None
    retry_at: int | None = None
    passed: tuple[str, ...] | None = None  # sockets that came with the keys and wait for the kernel


FOREVER = 1 << 62


class Started(NamedTuple):
    """The process starts; ``elders`` is the number of sockets found that may belong to an old process."""

    elders: int


class Connected(NamedTuple):
    """A connection to an old process is established."""


class Disconnected(NamedTuple):
    """The stream ended, or could not be set up; ``refused`` proves that no process is there."""

    refused: bool


class MessageReceived(NamedTuple):
    """A message of the old process arrived."""

    message: messages.Message


class KernelUp(NamedTuple):
    """The successor's own kernel is up."""


class Tick(NamedTuple):
    """A deadline may have passed."""


Event = Union[Started, Connected, Disconnected, MessageReceived, KernelUp, Tick]


class Connect(NamedTuple):
    """Connect to an old process."""


class CloseConnection(NamedTuple):
    """Close the connection."""


class SendMessage(NamedTuple):
    """Send a message to the old process; the caller fills in the names of a ``Hello``."""

    message: messages.Message


class TakeOver(NamedTuple):
    """Listen at the sockets that were passed: the keys are here."""

    fronts: tuple[str, ...]


class ListenOnOwnSocket(NamedTuple):
    """Listen at a socket of one's own; ``why`` is empty where that is the usual way."""

    why: str


class OldProcessGone(NamedTuple):
    """What the elder ran and sent no result of has none."""


Decision = Union[Connect, CloseConnection, SendMessage, TakeOver, ListenOnOwnSocket, OldProcessGone]
HELLO = messages.Hello(messages.VERSION, "", "")


def step(state: NewProcess, now: int, event: Event) -> tuple[NewProcess, list[Decision]]:
    """Take an event and return what to do."""
    match event:
        case Started(elders):
            if not elders:
                return replace(state, listening=True), [ListenOnOwnSocket("")]
            return replace(state, stage=Stage.SEEKING, give_up_at=now + WELCOME_TIMEOUT_US, doubt_until=FOREVER), [
                Connect()
            ]
        case KernelUp():
            return _take_over(_request_keys(replace(state, kernel_up=True), now))
        case Connected():
            return (state, [SendMessage(HELLO)]) if state.stage is Stage.SEEKING else (state, [])
        case Disconnected(refused):
            return _handle_disconnect(state, now, refused)
        case MessageReceived(message):
            return _handle_message(state, now, message)
    return _handle_tick(state, now)


def may_run(state: NewProcess, now: int) -> bool:
    """Tell whether a keyed request of which nothing is known can not have run elsewhere."""
    return now >= state.doubt_until


def next_deadline(state: NewProcess) -> int | None:
    """Return when time alone changes something."""
    return min((at for at in (state.give_up_at, state.retry_at) if at is not None), default=None)


def _handle_message(state: NewProcess, now: int, message: messages.Message) -> tuple[NewProcess, list[Decision]]:
    match message:
        case messages.Welcome() if state.stage is Stage.SEEKING:
            given = state.give_up_at if state.listening else None
            return _request_keys(replace(state, stage=Stage.WELCOMED, give_up_at=given), now)
        case messages.Busy() if state.stage is Stage.SEEKING:
            return replace(state, retry_at=now + _reconnect_interval_us(state)), [CloseConnection()]
        case messages.Yours(fronts, doubt) if state.stage in (Stage.WELCOMED, Stage.ASKED):
            owner = replace(
                state, stage=Stage.OWNER, doubt_until=doubt, owner=True, give_up_at=None, retry_at=None, passed=fronts
            )
            return _take_over((owner, []))
    return state, []


def _take_over(so_far: tuple[NewProcess, list[Decision]]) -> tuple[NewProcess, list[Decision]]:
    """Listen with what was passed, once the kernel is up: until then the elder goes on accepting."""
    state, decisions = so_far
    if state.passed is None or not state.kernel_up:
        return so_far
    return replace(state, passed=None, listening=True), [*decisions, TakeOver(state.passed)]


def _request_keys(state: NewProcess, now: int) -> tuple[NewProcess, list[Decision]]:
    if state.stage is not Stage.WELCOMED or not state.kernel_up:
        return state, []
    given = None if state.listening else now + KEYS_TIMEOUT_US
    return replace(state, stage=Stage.ASKED, give_up_at=given), [SendMessage(messages.Ask())]


def _handle_disconnect(state: NewProcess, now: int, refused: bool) -> tuple[NewProcess, list[Decision]]:
    if state.stage is Stage.OWNER:
        # A stream can end without its process: until a refusal proves that it is gone, it is looked for, as it
        # may not have read that there is a successor and would take its keys back one window from now.
        seeking = replace(state, stage=Stage.SEEKING, kernel_up=True, retry_at=now + RECONNECT_INTERVAL_US)
        return _take_over((seeking, [OldProcessGone()]))
    if state.stage is Stage.ALONE:
        return state, []
    if not refused:  # it may live: it is asked again, and until it answers nothing is known of what it ran
        given = state.give_up_at if state.listening or state.give_up_at is not None else now + KEYS_TIMEOUT_US
        return replace(state, stage=Stage.SEEKING, retry_at=now + _reconnect_interval_us(state), give_up_at=given), []
    doubt = state.doubt_until if state.owner else now + state.window_us
    alone = replace(state, stage=Stage.ALONE, doubt_until=doubt, give_up_at=None, retry_at=None, listening=True)
    return alone, [] if state.listening else [ListenOnOwnSocket("the older process is dead")]


def _handle_tick(state: NewProcess, now: int) -> tuple[NewProcess, list[Decision]]:
    decisions: list[Decision] = []
    if state.give_up_at is not None and now >= state.give_up_at:
        state = replace(state, give_up_at=None)
        if not state.listening:
            state = replace(state, listening=True)
            decisions.append(ListenOnOwnSocket("the older process does not hand over"))
    if state.retry_at is not None and now >= state.retry_at:
        state = replace(state, retry_at=None)
        decisions.append(Connect())
    return state, decisions


def _reconnect_interval_us(state: NewProcess) -> int:
    return SERVING_RECONNECT_INTERVAL_US if state.listening else RECONNECT_INTERVAL_US
