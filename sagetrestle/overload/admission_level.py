"""The admission level: the priority down to which all members admit requests, decided from the reports of all members.

The decider adds up arrivals by priority step, answers and queues. While requests queue, the admitted rate is
the rate of answers, less the excess queue spread over ``QUEUE_DRAIN_US``; while few queue, it grows from look to look.
Times are microseconds, ``now`` is monotonic.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from sagetrestle.overload.values import ADMIT_ALL, PRIORITY_STEPS, AdmissionLevel, AdmissionReport

LOOK_US = 250_000
RATE_HALF_LIFE_US = 500_000  # half-life of the smoothed rates of arrivals and answers
QUEUE_DRAIN_US = 1_000_000
TARGET_QUEUE_US = 80_000  # target length of the queue, as time of work
CAPACITY_DECAY = 0.97  # part of the observed capacity that is relied on, and that is kept per look
OVERLOAD_LOOKS, SEVERE_QUEUE_FACTOR = (
    3,
    3.0,
)  # shedding starts after this many looks with a long queue, or at once if the queue is this many times the target
MIN_QUEUE, MIN_QUEUE_PER_MEMBER = 2.0, 0.25  # minimum target of the queue in requests: for the fleet, and per member
GROWTH_PER_LOOK, MAX_GROWTH = (
    1.2,
    4.0,
)  # growth of the admitted rate while few requests queue: factor per look, compounding, and maximum
MIN_ADMITTED_SHARE = 0.7  # minimum admitted rate as part of the answers, as the module sheds late requests itself
REPORT_TTL_US = 2_000_000  # a member's report counts this long
REPORTED_CLIENTS = 16  # maximum number of clients in a report
MAX_HEAVY_CLIENTS = 64  # maximum number of clients in a level
HEAVY_CLIENT_FACTOR = 4.0  # a client is heavy above this multiple of the median client's rate
MAX_CLIENTS = 1_000  # maximum number of clients that are counted


class ArrivalCounter:
    """A member's counts of arrivals and answers between reports."""

    def __init__(self) -> None:
        self._came: Counter[int] = Counter()
        self._clients: Counter[str] = Counter()
        self.done = self.number = 0

    def record(self, place: float, client: str) -> None:
        """Count a request by its priority and its client."""
        self._came[min(PRIORITY_STEPS - 1, int(place * PRIORITY_STEPS))] += 1
        if len(self._clients) < MAX_CLIENTS or client in self._clients:
            self._clients[client] += 1

    def report(self, region: str, waiting: int, slots: float, in_use: int) -> AdmissionReport:
        """Return a report of the counts and reset them."""
        self.number += 1
        found = AdmissionReport(
            region,
            self.number,
            tuple(sorted(self._came.items())),
            self.done,
            waiting,
            slots,
            in_use,
            tuple(self._clients.most_common(REPORTED_CLIENTS)),
        )
        self._came, self._clients, self.done = Counter(), Counter(), 0
        return found


@dataclass(slots=True)
class _Member:
    number: int
    waiting: int
    slots: float
    in_use: int
    at_us: int


@dataclass
class AdmissionLevelDecider:
    """Decides one region's admission level, from the reports of all members, or of this member alone."""

    level: float = ADMIT_ALL
    heavy: tuple[tuple[str, float], ...] = ()
    _demand: list[float] = field(
        default_factory=lambda: [0.0] * PRIORITY_STEPS
    )  # arrivals per second, by priority step
    _done: float = 0.0
    _members: dict[str, _Member] = field(default_factory=dict)
    _new: list[int] = field(default_factory=lambda: [0] * PRIORITY_STEPS)
    _new_done: int = 0
    _calm: int = 0  # looks in a row with a short queue
    _bears: float = 0.0  # observed capacity: answers per second while requests queued
    _full: int = 0  # looks in a row with a long queue
    _clients: dict[str, float] = field(default_factory=dict)  # requests per second, by client
    _new_clients: Counter[str] = field(default_factory=Counter)
    _at_us: int = -1

    @property
    def done(self) -> float:
        """Return the answers per second."""
        return self._done

    def record(self, now: int, member: str, what: AdmissionReport) -> None:
        """Add a member's report; a repeated or reordered report changes nothing."""
        before = self._members.get(member)
        if before is not None and what.number <= before.number:
            return
        self._members[member] = _Member(what.number, what.waiting, what.slots, what.in_use, now)
        for step, count in what.demand:
            if 0 <= step < PRIORITY_STEPS:
                self._new[step] += count
        self._new_done += what.done
        self._new_clients.update(dict(what.clients))

    def step(self, now: int) -> bool:
        """Update the level if ``LOOK_US`` have passed, and return whether it was updated."""
        if self._at_us < 0:
            self._at_us = now
        passed = now - self._at_us
        if passed < LOOK_US:
            return False
        self._at_us = now
        part = 1.0 - 0.5 ** (passed / RATE_HALF_LIFE_US)
        for at, count in enumerate(self._new):
            self._demand[at] += part * (count * 1e6 / passed - self._demand[at])
        self._done += part * (self._new_done * 1e6 / passed - self._done)
        self._new, self._new_done = [0] * PRIORITY_STEPS, 0
        rates = {name: rate * (1.0 - part) for name, rate in self._clients.items() if rate > 0.1}
        for name, count in self._new_clients.items():
            rates[name] = rates.get(name, 0.0) + part * count * 1e6 / passed
        self._clients = dict(sorted(rates.items(), key=lambda one: -one[1])[:MAX_CLIENTS])
        self._new_clients.clear()
        self._members = {name: one for name, one in self._members.items() if now - one.at_us < REPORT_TTL_US}
        self._decide()
        return True

    def _decide(self) -> None:
        waiting = sum(one.waiting for one in self._members.values())
        wanted = max(MIN_QUEUE + MIN_QUEUE_PER_MEMBER * len(self._members), self._done * TARGET_QUEUE_US / 1e6)
        self._full = self._full + 1 if waiting > wanted else 0
        if self.level >= 1.0 and self._full < OVERLOAD_LOOKS and waiting < SEVERE_QUEUE_FACTOR * wanted:
            self.heavy, self._calm = (), 0
            return
        if waiting > wanted:
            self._bears = max(self._bears * CAPACITY_DECAY, self._done)
        base = self._done if waiting > wanted else max(self._done, CAPACITY_DECAY * self._bears)
        may = max(MIN_ADMITTED_SHARE * self._done, base + (wanted - waiting) * 1e6 / QUEUE_DRAIN_US)
        self._calm = self._calm + 1 if waiting < wanted / 2 else 0
        if self._calm:
            may = (
                max(
                    may,
                    self._done * GROWTH_PER_LOOK,
                    self.admitted_rate() * min(MAX_GROWTH, GROWTH_PER_LOOK**self._calm),
                )
                + 1.0
            )
        self.level = self._at(may)
        self.heavy = self._over(may)

    def current_level(self) -> AdmissionLevel:
        """Return the level that members are sent."""
        return AdmissionLevel(self.level, self.heavy)

    def _over(self, may: float) -> tuple[tuple[str, float], ...]:
        """Return clients far above the others and their max-min share, and the part of requests within it."""
        line = sorted(self._clients.items(), key=lambda one: one[1])
        counted = sum(rate for _, rate in line)
        left = may * min(1.0, counted / max(1e-9, sum(self._demand)))
        most = HEAVY_CLIENT_FACTOR * line[len(line) // 2][1] if line else 0.0
        for at, (_, rate) in enumerate(line):
            even = left / (len(line) - at)
            if rate > even:
                return tuple((name, even / asked) for name, asked in reversed(line[at:]) if asked > most)[
                    :MAX_HEAVY_CLIENTS
                ]
            left -= rate
        return ()

    def admitted_rate(self) -> float:
        """Return the arrivals per second that the level admits."""
        whole = min(PRIORITY_STEPS, int(self.level * PRIORITY_STEPS))
        inside = sum(self._demand[:whole])
        return inside + (self._demand[whole] * (self.level * PRIORITY_STEPS - whole) if whole < PRIORITY_STEPS else 0.0)

    def _at(self, may: float) -> float:
        """Return the level that admits a number of requests per second."""
        total = 0.0
        for at, rate in enumerate(self._demand):
            if total + rate > may:
                return (at + (may - total) / rate) / PRIORITY_STEPS
            total += rate
        return ADMIT_ALL
