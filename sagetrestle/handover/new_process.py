"""The new process of a hot restart: it takes over the old process's keys, or serves without them.

``step(state, now, event) -> (state, decisions)``; times are microseconds. Whatever happens, the process starts to
listen in time, and runs keyed requests only once it owns the keys or runs elsewhere can no longer be repeated.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple, Union

from sagetrestle.handover import messages

WELCOME_TIMEOUT_US = 3_000_000  # from the start until it listens without a welcome
KEYS_TIMEOUT_US = 2_000_000  # from the request for the keys until it listens without them
RECONNECT_INTERVAL_US = 200_000  # between attempts to reach an old process that is busy or lost
SERVING_RECONNECT_INTERVAL_US = 1_000_000  # the same once it listens


class Stage(Enum):
    """The progress of the new process."""

    ALONE = "there is no old process"
    SEEKING = "connecting to an old process"
    WELCOMED = "the old process knows of this one, whose kernel is not up yet"
    ASKED = "the keys were requested"
    OWNER = "has the keys; the old process finishes its requests"


@dataclass(frozen=True)
class NewProcess:
    """The state of a process in the role of the new one.

    Until ``doubt_until``, keyed requests that are unknown here may have run elsewhere; it is ``FOREVER`` while an old
    process may be alive.
    """

    stage: Stage = Stage.ALONE
    window_us: int = 0  # the longest key window of all classes
    kernel_up: bool = False
    owner: bool = False  # the keys were received, even if the stream was lost later
    listening: bool = False
    doubt_until: int = 0
    give_up_at: int | None = None
    retry_at: int | None = None
    passed: tuple[str, ...] | None = None  # fronts whose sockets came with the keys; adopted once the kernel is up


FOREVER = 1 << 62


class Started(NamedTuple):
    """The process starts; ``old_process_sockets`` is the number of sockets that may belong to an old process."""

    old_process_sockets: int


class Connected(NamedTuple):
    """A connection to an old process is established."""


class Disconnected(NamedTuple):
    """The stream ended, or could not be set up; ``refused`` proves that no process is there."""

    refused: bool


class MessageReceived(NamedTuple):
    """A message of the old process arrived."""

    message: messages.Message


class KernelUp(NamedTuple):
    """The kernel of this process is up."""


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
    """Listen on the sockets that were passed with the keys."""

    fronts: tuple[str, ...]


class ListenOnOwnSocket(NamedTuple):
    """Open new listening sockets; ``why`` gives the reason if there should have been a handover."""

    why: str


class OldProcessGone(NamedTuple):
    """The old process ended; its runs whose results were not received have none."""


Decision = Union[Connect, CloseConnection, SendMessage, TakeOver, ListenOnOwnSocket, OldProcessGone]
HELLO = messages.Hello(messages.VERSION, "", "")


def step(state: NewProcess, now: int, event: Event) -> tuple[NewProcess, list[Decision]]:
    """Handle an event and return the new state and what to do."""
    match event:
        case Started(old_process_sockets):
            if not old_process_sockets:
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
    """Return whether a keyed request that is unknown here cannot have run elsewhere."""
    return now >= state.doubt_until


def next_deadline(state: NewProcess) -> int | None:
    """Return when ``Tick`` is due next."""
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
    """Adopt the passed sockets once the kernel is up; until then the old process accepts connections."""
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
        # A stream can end without its process. Until a refused connection proves that the old process is gone, this
        # one keeps connecting: the other may not know that it has handed over, and run keys again after a window.
        seeking = replace(state, stage=Stage.SEEKING, kernel_up=True, retry_at=now + RECONNECT_INTERVAL_US)
        return _take_over((seeking, [OldProcessGone()]))
    if state.stage is Stage.ALONE:
        return state, []
    if not refused:  # it may be alive, and until it answers its runs are unknown
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
