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


class RegistrationState(Enum):
    """How far the registration is."""

    OFF = "off"
    REGISTERING = "registering"
    REGISTERED = "registered"
    WITHDRAWING = "withdrawing"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True)
class PublisherConfig:
    """Times in microseconds. A lease is renewed at four fifths of it (RFC 9664, 5)."""

    lease_us: int = 30_000_000
    renew_share: float = 0.8
    update_timeout_us: int = 300_000  # how long an answer to a registration is waited for
    withdraw_timeout_us: int = 60_000  # the same for a withdrawal, which has little time
    max_withdraw_us: int = 2_500_000  # after which the lease's end has to do it
    min_backoff_us: int = 200_000
    max_backoff_us: int = 10_000_000


class SetRegistered(NamedTuple):
    """The instance takes work, or leaves."""

    on: bool


class UpdateAnswered(NamedTuple):
    """The server answered update ``number``: whether it was done, the lease it granted, and why not."""

    number: int
    accepted: bool
    lease_us: int = 0
    reason: str = ""


class Tick(NamedTuple):
    """Only time passes."""


class SendUpdate(NamedTuple):
    """Send an update: register with a lease, or withdraw."""

    number: int
    register: bool
    lease_us: int


class LogLine(NamedTuple):
    """A line for the people on call."""

    text: str


PublisherEvent = Union[SetRegistered, UpdateAnswered, Tick]
PublisherDecision = Union[SendUpdate, LogLine]


class Publisher:
    """One registration; ``step`` returns what to send and say, ``due`` when to call it again."""

    def __init__(self, config: PublisherConfig, seed: int) -> None:
        self.config, self.state = config, RegistrationState.OFF
        self._rng = random.Random(seed)
        self._number = 0
        self._awaiting_answer = False  # an update is out whose answer is waited for
        self._backoff_us = 0
        self._lease_ends_us = 0  # when the server forgets the registration by itself
        self._withdraw_deadline_us = 0
        self.due: int | None = None

    def step(self, now_us: int, event: PublisherEvent) -> list[PublisherDecision]:
        """Take an event and return what follows."""
        match event:
            case SetRegistered(on=True) if self.state in (
                RegistrationState.OFF,
                RegistrationState.WITHDRAWING,
                RegistrationState.WITHDRAWN,
            ):
                self._backoff_us = 0
                return self._register(now_us)
            case SetRegistered(on=False) if self.state in (RegistrationState.REGISTERING, RegistrationState.REGISTERED):
                self._withdraw_deadline_us = now_us + self.config.max_withdraw_us
                return self._withdraw(now_us)
            case UpdateAnswered() if event.number == self._number:
                return self._on_answer(now_us, event)
            case Tick() if self.due is not None and now_us >= self.due:
                return self._on_due(now_us)
        return []

    def adopt(self) -> None:
        """Take over a registration that another made, so that it can be withdrawn."""
        self.state = RegistrationState.REGISTERED

    def _register(self, now_us: int) -> list[PublisherDecision]:
        if self.state is not RegistrationState.REGISTERED:  # a renewal leaves it registered while the lease runs
            self.state = RegistrationState.REGISTERING
        self._number += 1
        self._awaiting_answer, self.due = True, now_us + self.config.update_timeout_us
        return [SendUpdate(self._number, True, self.config.lease_us)]

    def _withdraw(self, now_us: int) -> list[PublisherDecision]:
        self.state = RegistrationState.WITHDRAWING
        self._number += 1
        self.due = now_us + self.config.withdraw_timeout_us
        return [SendUpdate(self._number, False, 0)]

    def _on_answer(self, now_us: int, event: UpdateAnswered) -> list[PublisherDecision]:
        self._awaiting_answer = False
        if self.state is RegistrationState.WITHDRAWING:
            if not event.accepted:
                return []  # sent again when it is due
            self.state, self.due = RegistrationState.WITHDRAWN, None
            return [LogLine("registration withdrawn")]
        if not event.accepted:
            return self._retry(now_us, event.reason)
        first = self.state is RegistrationState.REGISTERING
        lease = min(event.lease_us or self.config.lease_us, self.config.lease_us)
        self.state, self._backoff_us = RegistrationState.REGISTERED, 0
        self._lease_ends_us = now_us + lease
        self.due = now_us + int(lease * self.config.renew_share)
        return [LogLine(f"registered for {lease // 1_000_000} s")] if first else []

    def _retry(self, now_us: int, reason: str) -> list[PublisherDecision]:
        """Try again after a pause that doubles, drawn from its upper half so that a fleet spreads out."""
        most = self.config.max_backoff_us
        self._backoff_us = min(most, max(self.config.min_backoff_us, 2 * self._backoff_us))
        pause = int(self._backoff_us * self._rng.uniform(0.5, 1.0))
        said: list[PublisherDecision] = []
        if self.state is RegistrationState.REGISTERED and now_us >= self._lease_ends_us:
            self.state = RegistrationState.REGISTERING
            said.append(LogLine("registration lapsed"))
        self._awaiting_answer, self.due = False, now_us + pause
        self._number += 1  # a late answer to the one given up means nothing
        return [*said, LogLine(f"registration not done, tried again in {pause // 1000} ms: {reason}")]

    def _on_due(self, now_us: int) -> list[PublisherDecision]:
        if self.state is RegistrationState.WITHDRAWING:
            if now_us < self._withdraw_deadline_us:
                return self._withdraw(now_us)
            self.state, self.due = RegistrationState.WITHDRAWN, None
            return [LogLine("withdrawal not confirmed: the lease's end has to do it")]
        if self._awaiting_answer:
            return self._retry(now_us, "no answer")
        return self._register(now_us)
