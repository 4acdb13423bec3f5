"""The level: how far down the order of requests all members take, decided from what all of them report.

The decider adds up what came, by steps of the order, what was done and what waits. Where work waits, as much may come
as is done, less what waits too much, spread over ``QUEUE_DRAIN_US``; where little waits, more from look to look.
Times are microseconds, ``now`` monotonic.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from sagetrestle.overload.values import ADMIT_ALL, PRIORITY_STEPS, AdmissionLevel, AdmissionReport

LOOK_US = 250_000
RATE_HALF_LIFE_US = 500_000  # over which what came and what was done counts half
QUEUE_DRAIN_US = 1_000_000
TARGET_QUEUE_US = 80_000  # of work that may wait
CAPACITY_DECAY = 0.97  # part of what servers were seen to bear that is believed, and kept from look to look
OVERLOAD_LOOKS, SEVERE_QUEUE_FACTOR = (
    3,
    3.0,
)  # looks at too much that waits, or times as much, from which it is no chance
MIN_QUEUE, MIN_QUEUE_PER_MEMBER = 2.0, 0.25  # requests that may wait at the least: for all, and for each member
GROWTH_PER_LOOK, MAX_GROWTH = (
    1.2,
    4.0,
)  # how much more may come where little waits: times, each look more of it, and the most
MIN_ADMITTED_SHARE = (
    0.7  # part of what is done that may come at the least, whatever waits: the module sheds what is late
)
REPORT_TTL_US = 2_000_000  # how long a member's report counts
REPORTED_CLIENTS = 16  # clients that a report names
MAX_HEAVY_CLIENTS = 64  # clients that the level names
HEAVY_CLIENT_FACTOR = 4.0  # times the median client, from which one is named
MAX_CLIENTS = 1_000  # that the decider counts


class ArrivalCounter:
    """A member's own count of what came and was done, between reports."""

    def __init__(self) -> None:
        self._came: Counter[int] = Counter()
        self._clients: Counter[str] = Counter()
        self.done = self.number = 0

    def record(self, place: float, client: str) -> None:
        """Count a request by its place in the order, and by its client."""
        self._came[min(PRIORITY_STEPS - 1, int(place * PRIORITY_STEPS))] += 1
        if len(self._clients) < MAX_CLIENTS or client in self._clients:
            self._clients[client] += 1

    def report(self, region: str, waiting: int, slots: float, in_use: int) -> AdmissionReport:
        """Return what was counted, and begin anew."""
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
    """One region's level, from reports of all members, or of one where nothing is heard of the others."""

    level: float = ADMIT_ALL
    heavy: tuple[tuple[str, float], ...] = ()
    _demand: list[float] = field(default_factory=lambda: [0.0] * PRIORITY_STEPS)  # a second
    _done: float = 0.0
    _members: dict[str, _Member] = field(default_factory=dict)
    _new: list[int] = field(default_factory=lambda: [0] * PRIORITY_STEPS)
    _new_done: int = 0
    _calm: int = 0  # looks since some waited
    _bears: float = 0.0  # what was done while work waited
    _full: int = 0  # looks since too much waited first
    _clients: dict[str, float] = field(default_factory=dict)  # requests a second
    _new_clients: Counter[str] = field(default_factory=Counter)
    _at_us: int = -1

    @property
    def done(self) -> float:
        """Return what is done a second."""
        return self._done

    def record(self, now: int, member: str, what: AdmissionReport) -> None:
        """Take a report; one that a later one overtook, or that comes again, changes nothing."""
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
        """Look, where it is time, and return whether the level was decided anew."""
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
        """Return what members are told."""
        return AdmissionLevel(self.level, self.heavy)

    def _over(self, may: float) -> tuple[tuple[str, float], ...]:
        """Return clients that ask for far more than others and than an even part (max-min), and the share inside."""
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
        """Return how much of what comes the level takes, a second."""
        whole = min(PRIORITY_STEPS, int(self.level * PRIORITY_STEPS))
        inside = sum(self._demand[:whole])
        return inside + (self._demand[whole] * (self.level * PRIORITY_STEPS - whole) if whole < PRIORITY_STEPS else 0.0)

    def _at(self, may: float) -> float:
        """Return the level at which so much comes a second."""
        total = 0.0
        for at, rate in enumerate(self._demand):
            if total + rate > may:
                return (at + (may - total) / rate) / PRIORITY_STEPS
            total += rate
        return ADMIT_ALL
