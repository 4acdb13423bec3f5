"""An instance's own registration: DNS Update with a lease, renewed, and withdrawn at the start of a shutdown.

This module decides which update is sent and when; its encoding is the protocol's. Updates may be lost, refused or
answered late: each has a number, and answers to any but the latest are ignored.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Union


class RegistrationState(Enum):
    """The state of the registration."""

    OFF = "off"
    REGISTERING = "registering"
    REGISTERED = "registered"
    WITHDRAWING = "withdrawing"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True)
class PublisherConfig:
    """Times in microseconds. A lease is renewed at four fifths of its duration (RFC 9664, 5)."""

    lease_us: int = 30_000_000
    renew_share: float = 0.8
    update_timeout_us: int = 300_000  # for the answer to a registration
    withdraw_timeout_us: int = 60_000  # for the answer to a withdrawal, which has little time during a shutdown
    max_withdraw_us: int = 2_500_000  # then the records stay until the lease expires
    min_backoff_us: int = 200_000
    max_backoff_us: int = 10_000_000


class SetRegistered(NamedTuple):
    """Register the instance, or withdraw it."""

    on: bool


class UpdateAnswered(NamedTuple):
    """The server has answered update ``number``; ``lease_us`` is the granted lease, ``reason`` that of a refusal."""

    number: int
    accepted: bool
    lease_us: int = 0
    reason: str = ""


class Tick(NamedTuple):
    """Time has passed."""


class SendUpdate(NamedTuple):
    """Send an update: a registration with a lease, or a withdrawal."""

    number: int
    register: bool
    lease_us: int


class LogLine(NamedTuple):
    """Log a line."""

    text: str


PublisherEvent = Union[SetRegistered, UpdateAnswered, Tick]
PublisherDecision = Union[SendUpdate, LogLine]


class Publisher:
    """One registration; ``step`` returns the decisions, ``due`` is when it is to be called next."""

    def __init__(self, config: PublisherConfig, seed: int) -> None:
        self.config, self.state = config, RegistrationState.OFF
        self._rng = random.Random(seed)
        self._number = 0
        self._awaiting_answer = False  # an update is in flight
        self._backoff_us = 0
        self._lease_ends_us = 0  # when the server drops the records
        self._withdraw_deadline_us = 0
        self.due: int | None = None

    def step(self, now_us: int, event: PublisherEvent) -> list[PublisherDecision]:
        """Process an event and return the decisions that follow."""
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
        """Take over a registration that another process made, so that it can be withdrawn."""
        self.state = RegistrationState.REGISTERED

    def _register(self, now_us: int) -> list[PublisherDecision]:
        if self.state is not RegistrationState.REGISTERED:  # a renewal keeps it registered while the lease runs
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
                return []  # the withdrawal is repeated at its time-out
            self.state, self.due = RegistrationState.WITHDRAWN, None
            return [LogLine("registration withdrawn")]
        if not event.accepted:
            return self._retry(now_us, event.reason)
        was_registering = self.state is RegistrationState.REGISTERING
        lease_us = min(event.lease_us or self.config.lease_us, self.config.lease_us)
        self.state, self._backoff_us = RegistrationState.REGISTERED, 0
        self._lease_ends_us = now_us + lease_us
        self.due = now_us + int(lease_us * self.config.renew_share)
        return [LogLine(f"registered for {lease_us // 1_000_000} s")] if was_registering else []

    def _retry(self, now_us: int, reason: str) -> list[PublisherDecision]:
        """Retry after a delay that doubles, drawn from its upper half so that a fleet does not retry in step."""
        max_backoff_us = self.config.max_backoff_us
        self._backoff_us = min(max_backoff_us, max(self.config.min_backoff_us, 2 * self._backoff_us))
        pause = int(self._backoff_us * self._rng.uniform(0.5, 1.0))
        decisions: list[PublisherDecision] = []
        if self.state is RegistrationState.REGISTERED and now_us >= self._lease_ends_us:
            self.state = RegistrationState.REGISTERING
            decisions.append(LogLine("registration lapsed"))
        self._awaiting_answer, self.due = False, now_us + pause
        self._number += 1  # a late answer to the update that timed out is ignored
        return [*decisions, LogLine(f"registration failed, retrying in {pause // 1000} ms: {reason}")]

    def _on_due(self, now_us: int) -> list[PublisherDecision]:
        if self.state is RegistrationState.WITHDRAWING:
            if now_us < self._withdraw_deadline_us:
                return self._withdraw(now_us)
            self.state, self.due = RegistrationState.WITHDRAWN, None
            return [LogLine("withdrawal not confirmed: the records stay until the lease expires")]
        if self._awaiting_answer:
            return self._retry(now_us, "no answer in time")
        return self._register(now_us)
