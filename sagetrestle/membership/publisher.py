"""An instance's own registration: DNS Update under a lease, renewed, withdrawn first thing on the way out.

States: OFF, REGISTERING, REGISTERED, WITHDRAWING, WITHDRAWN. What is sent is decided here; how an update looks on
the wire is the protocol's. Updates may be lost, refused, or answered late: each has a number, and an answer to an
earlier one means nothing.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Union


class State(Enum):
    """How far the registration is."""

    OFF = "off"
    REGISTERING = "registering"
    REGISTERED = "registered"
    WITHDRAWING = "withdrawing"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True)
class PublisherTerms:
    """Times in microseconds. A lease is renewed at four fifths of it (RFC 9664, 5)."""

    lease_us: int = 30_000_000
    renew_share: float = 0.8
    answer_us: int = 300_000  # how long an answer to a registration is waited for
    withdraw_answer_us: int = 60_000  # the same for a withdrawal, which has little time
    withdraw_for_us: int = 2_500_000  # after which the lease's end has to do it
    backoff_first_us: int = 200_000
    backoff_most_us: int = 10_000_000


class Want(NamedTuple):
    """The instance takes work, or leaves."""

    on: bool


class Answered(NamedTuple):
    """The server answered update ``number``: whether it was done, the lease it granted, and why not."""

    number: int
    done: bool
    lease_us: int = 0
    why: str = ""


class Passed(NamedTuple):
    """Only time passes."""


class Send(NamedTuple):
    """Send an update: register with a lease, or withdraw."""

    number: int
    register: bool
    lease_us: int


class Say(NamedTuple):
    """A line for the people on call."""

    text: str


PublisherEvent = Union[Want, Answered, Passed]
PublisherDecision = Union[Send, Say]


class Publisher:
    """One registration; ``step`` returns what to send and say, ``due`` when to call it again."""

    def __init__(self, terms: PublisherTerms, seed: int) -> None:
        self.terms, self.state = terms, State.OFF
        self._rng = random.Random(seed)
        self._number = 0
        self._asked = False  # an update is out whose answer is waited for
        self._backoff_us = 0
        self._until = 0  # when the server forgets the registration by itself
        self._withdraw_by = 0
        self.due: int | None = None

    def step(self, now_us: int, event: PublisherEvent) -> list[PublisherDecision]:
        """Take an event and return what follows."""
        match event:
            case Want(on=True) if self.state in (State.OFF, State.WITHDRAWING, State.WITHDRAWN):
                self._backoff_us = 0
                return self._register(now_us)
            case Want(on=False) if self.state in (State.REGISTERING, State.REGISTERED):
                self._withdraw_by = now_us + self.terms.withdraw_for_us
                return self._withdraw(now_us)
            case Answered() if event.number == self._number:
                return self._answered(now_us, event)
            case Passed() if self.due is not None and now_us >= self.due:
                return self._overdue(now_us)
        return []

    def adopt(self) -> None:
        """Take over a registration that another made, so that it can be withdrawn."""
        self.state = State.REGISTERED

    def _register(self, now_us: int) -> list[PublisherDecision]:
        if self.state is not State.REGISTERED:  # a renewal leaves it registered while the lease runs
            self.state = State.REGISTERING
        self._number += 1
        self._asked, self.due = True, now_us + self.terms.answer_us
        return [Send(self._number, True, self.terms.lease_us)]

    def _withdraw(self, now_us: int) -> list[PublisherDecision]:
        self.state = State.WITHDRAWING
        self._number += 1
        self.due = now_us + self.terms.withdraw_answer_us
        return [Send(self._number, False, 0)]

    def _answered(self, now_us: int, event: Answered) -> list[PublisherDecision]:
        self._asked = False
        if self.state is State.WITHDRAWING:
            if not event.done:
                return []  # sent again when it is due
            self.state, self.due = State.WITHDRAWN, None
            return [Say("registration withdrawn")]
        if not event.done:
            return self._again(now_us, event.why)
        first = self.state is State.REGISTERING
        lease = min(event.lease_us or self.terms.lease_us, self.terms.lease_us)
        self.state, self._backoff_us = State.REGISTERED, 0
        self._until = now_us + lease
        self.due = now_us + int(lease * self.terms.renew_share)
        return [Say(f"registered for {lease // 1_000_000} s")] if first else []

    def _again(self, now_us: int, why: str) -> list[PublisherDecision]:
        """Try again after a pause that doubles, drawn from its upper half so that a fleet spreads out."""
        most = self.terms.backoff_most_us
        self._backoff_us = min(most, max(self.terms.backoff_first_us, 2 * self._backoff_us))
        pause = int(self._backoff_us * self._rng.uniform(0.5, 1.0))
        said: list[PublisherDecision] = []
        if self.state is State.REGISTERED and now_us >= self._until:
            self.state = State.REGISTERING
            said.append(Say("registration lapsed"))
        self._asked, self.due = False, now_us + pause
        self._number += 1  # a late answer to the one given up means nothing
        return [*said, Say(f"registration not done, tried again in {pause // 1000} ms: {why}")]

    def _overdue(self, now_us: int) -> list[PublisherDecision]:
        if self.state is State.WITHDRAWING:
            if now_us < self._withdraw_by:
                return self._withdraw(now_us)
            self.state, self.due = State.WITHDRAWN, None
            return [Say("withdrawal not confirmed: the lease's end has to do it")]
        if self._asked:
            return self._again(now_us, "no answer")
        return self._register(now_us)
