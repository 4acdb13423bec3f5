"""Callers that choose among a fleet: by the product's view and router, or as one of two baselines does."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from sagetrestle.lab.clients import FrontEnd
from sagetrestle.lab.fleet import Fleet
from sagetrestle.lab.history import Asked, History
from sagetrestle.lab.load import Outcome, Planned
from sagetrestle.membership.state_machine import ConnectionRefused, MemberAnswered, ProbeTimedOut
from sagetrestle.membership.values import Endpoint
from sagetrestle.net.program.discovery import MembershipHost
from sagetrestle.router import ExecutionProof, NoRoute, Router, RouteRequest

ATTEMPT_S = 0.8  # how long a safe request waits at one member before it is sent to another
TRIES = 3


class Chooser(Protocol):
    """How a caller finds a member: its name, address, and what became of the attempt."""

    def choose(self, one: Planned, tried: tuple[str, ...]) -> tuple[str, Endpoint] | None:
        """Return whom to ask."""

    def ended(self, name: str, one: Planned, end: ExecutionProof, how: str) -> None:
        """Take how an attempt ended: ``served``, ``refused``, ``failed``, ``silent``, ``broken``, ``no one``."""


class RouterChooser:
    """The product: membership's view, and the router on it."""

    def __init__(self, host: MembershipHost, router: Router) -> None:
        self.host, self.router = host, router
        self._open: dict[tuple[str, int], list] = {}

    def choose(self, one: Planned, tried: tuple[str, ...]) -> tuple[str, Endpoint] | None:
        """Ask the router."""
        route = self.router.choose(RouteRequest(one.key, tried), _now())
        if isinstance(route, NoRoute):
            return None
        attempt = self.router.attempt_started(route, one.key, _now())
        name = route.member.instance.name
        self._open.setdefault((name, one.number), []).append(attempt)
        return name, route.member.instance.endpoint

    def ended(self, name: str, one: Planned, end: ExecutionProof, how: str) -> None:
        """Tell the router what ran, and membership who answered."""
        self.router.attempt_ended(self._open[(name, one.number)].pop(), end, _now())
        if how in ("served", "refused", "failed"):
            self.host.report_evidence(MemberAnswered(name))
        elif how == "leaving":
            self.host.report_evidence(MemberAnswered(name, leaving=True))
        elif how == "silent":
            self.host.report_evidence(ProbeTimedOut(name))
        elif how == "no one":
            self.host.report_evidence(ConnectionRefused(name))


class ListChooser:
    """A baseline: one of a list at random, charges by their key; the list is read anew by ``read``, if at all."""

    def __init__(self, read: Callable[[], dict[str, Endpoint]], every_s: float | None, seed: int) -> None:
        self._read, self._every_s, self._rng = read, every_s, random.Random(seed)
        self._list, self._read_at = read(), time.monotonic()

    def choose(self, one: Planned, tried: tuple[str, ...]) -> tuple[str, Endpoint] | None:
        """Choose from the list as it was read last."""
        if self._every_s is not None and time.monotonic() - self._read_at >= self._every_s:
            self._list, self._read_at = self._read() or self._list, time.monotonic()
        names = sorted(set(self._list) - set(tried))
        if not names:
            return None
        name = names[hash(one.key) % len(names)] if one.key else self._rng.choice(names)
        return name, self._list[name]

    def ended(self, name: str, one: Planned, end: ExecutionProof, how: str) -> None:
        """Learn nothing."""


@dataclass
class Sent:
    """What a caller counted: when work went to which member, and what was sent to the dead."""

    last_new: dict[str, float] = field(default_factory=dict)
    to_down: int = 0
    attempts: Counter[str] = field(default_factory=Counter)


class RoutedSender:
    """Sends planned requests to members over Thrift, one connection a member, as a front end does."""

    def __init__(
        self, chooser: Chooser, fleet: Fleet, seed: int = 1, history: History | None = None, name: str = "front"
    ) -> None:
        self._chooser, self._fleet, self._history, self._name = chooser, fleet, history, name
        self._ids = random.Random(seed)
        self._fronts: dict[Endpoint, FrontEnd] = {}
        self._opening: dict[Endpoint, asyncio.Lock] = {}
        self.sent = Sent()

    async def send(self, one: Planned) -> Outcome:
        """Send a request to one member after another, as far as its kind allows."""
        tried: tuple[str, ...] = ()
        outcome = Outcome("refused")
        for number in range(TRIES):
            chosen = self._chooser.choose(one, tried)
            if chosen is None:
                return outcome
            name, endpoint = chosen
            if number == 0 and not one.retry:
                self.sent.last_new[name] = time.monotonic()
            self.sent.to_down += name in self._fleet.down
            began = time.monotonic()
            how, end, result = await self._attempt(one, endpoint, retry=one.retry or number > 0)
            if one.key is not None and self._history is not None:
                self._history.asked.append(Asked(one.body.decode(), began, time.monotonic(), self._name, how, result))
            self.sent.attempts[how] += 1
            self._chooser.ended(name, one, end, how)
            outcome = Outcome(how if how in ("served", "refused", "failed") else "failed")
            if how in ("served", "failed") or (one.key and end is not ExecutionProof.NEVER_RAN):
                return outcome
            tried += (name,)
        return outcome

    async def _attempt(self, one: Planned, endpoint: Endpoint, retry: bool) -> tuple[str, ExecutionProof, bytes]:
        try:
            front = await self._front(endpoint)
        except TimeoutError:
            return "silent", ExecutionProof.NEVER_RAN, b""
        except OSError:
            return "no one", ExecutionProof.NEVER_RAN, b""
        patience = 5.0 if one.key else ATTEMPT_S
        leaving = front.leaving
        try:
            number = await front.ask(
                f"{self._ids.getrandbits(64):016x}", one.cls, one.body, one.key, patience_s=patience, retry=retry
            )
        except TimeoutError:
            return "silent", ExecutionProof.MAY_HAVE_RUN, b""
        except OSError:
            return "broken", ExecutionProof.MAY_HAVE_RUN, b""
        how = front.outcome(number)
        end = {
            "served": ExecutionProof.SERVED,
            "refused": ExecutionProof.NEVER_RAN,
            "failed": ExecutionProof.MAY_HAVE_RUN,
        }[how]
        result = front.answers[number][0].fields[0][1][1][1] if how == "served" else b""
        return ("leaving" if how == "refused" and (leaving or front.leaving) else how), end, result

    async def _front(self, endpoint: Endpoint) -> FrontEnd:
        """Return the connection to a member; one on which it said that it leaves takes nothing new."""
        async with self._opening.setdefault(endpoint, asyncio.Lock()):
            front = self._fronts.get(endpoint)
            if front is None or front.closed or front.leaving or len(front.waiting) - len(front.answers) >= 30:
                front = await asyncio.wait_for(FrontEnd(endpoint.port).connect(), ATTEMPT_S)
                self._fronts[endpoint] = front
            return front


def _now() -> int:
    return time.monotonic_ns() // 1000
