"""The level: how far down the order of requests all members take, decided from what all of them report.

The decider adds up what came, by steps of the order, what was done and what waits. Where work waits, as much may come
as is done, less what waits too much, spread over ``TAU_US``; where little waits, more from look to look.
Times are microseconds, ``now`` monotonic.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from sagetrestle.overload.values import ALL, STEPS, Level, LevelReport

LOOK_US = 250_000
HALVES_US = 500_000  # over which what came and what was done counts half
TAU_US = 1_000_000
WAIT_US = 80_000  # of work that may wait
FORGETS = 0.97  # part of what servers were seen to bear that is believed, and kept from look to look
SURE, MUCH = 3, 3.0  # looks at too much that waits, or times as much, from which it is no chance
LEAST_WAIT, A_MEMBER = 2.0, 0.25  # requests that may wait at the least: for all, and for each member
RISE, RISE_MOST = 1.2, 4.0  # how much more may come where little waits: times, each look more of it, and the most
LEAST = 0.7  # part of what is done that may come at the least, whatever waits: the module sheds what is late
KEPT_US = 2_000_000  # how long a member's report counts
TOP = 16  # clients that a report names
HEAVY = 64  # clients that the level names
FAR = 4.0  # times the median client, from which one is named
MOST_CLIENTS = 1_000  # that the decider counts


class Counted:
    """A member's own count of what came and was done, between reports."""

    def __init__(self) -> None:
        self._came: Counter[int] = Counter()
        self._clients: Counter[str] = Counter()
        self.done = self.number = 0

    def came(self, place: float, client: str) -> None:
        """Count a request by its place in the order, and by its client."""
        self._came[min(STEPS - 1, int(place * STEPS))] += 1
        if len(self._clients) < MOST_CLIENTS or client in self._clients:
            self._clients[client] += 1

    def report(self, region: str, waiting: int, slots: float, in_use: int) -> LevelReport:
        """Return what was counted, and begin anew."""
        self.number += 1
        found = LevelReport(
            region,
            self.number,
            tuple(sorted(self._came.items())),
            self.done,
            waiting,
            slots,
            in_use,
            tuple(self._clients.most_common(TOP)),
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
class LevelDecider:
    """One region's level, from reports of all members, or of one where nothing is heard of the others."""

    level: float = ALL
    heavy: tuple[tuple[str, float], ...] = ()
    _demand: list[float] = field(default_factory=lambda: [0.0] * STEPS)  # a second
    _done: float = 0.0
    _members: dict[str, _Member] = field(default_factory=dict)
    _new: list[int] = field(default_factory=lambda: [0] * STEPS)
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

    def note(self, now: int, member: str, what: LevelReport) -> None:
        """Take a report; one that a later one overtook, or that comes again, changes nothing."""
        before = self._members.get(member)
        if before is not None and what.number <= before.number:
            return
        self._members[member] = _Member(what.number, what.waiting, what.slots, what.in_use, now)
        for step, count in what.demand:
            if 0 <= step < STEPS:
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
        part = 1.0 - 0.5 ** (passed / HALVES_US)
        for at, count in enumerate(self._new):
            self._demand[at] += part * (count * 1e6 / passed - self._demand[at])
        self._done += part * (self._new_done * 1e6 / passed - self._done)
        self._new, self._new_done = [0] * STEPS, 0
        rates = {name: rate * (1.0 - part) for name, rate in self._clients.items() if rate > 0.1}
        for name, count in self._new_clients.items():
            rates[name] = rates.get(name, 0.0) + part * count * 1e6 / passed
        self._clients = dict(sorted(rates.items(), key=lambda one: -one[1])[:MOST_CLIENTS])
        self._new_clients.clear()
        self._members = {name: one for name, one in self._members.items() if now - one.at_us < KEPT_US}
        self._decide()
        return True

    def _decide(self) -> None:
        waiting = sum(one.waiting for one in self._members.values())
        wanted = max(LEAST_WAIT + A_MEMBER * len(self._members), self._done * WAIT_US / 1e6)
        self._full = self._full + 1 if waiting > wanted else 0
        if self.level >= 1.0 and self._full < SURE and waiting < MUCH * wanted:
            self.heavy, self._calm = (), 0
            return
        if waiting > wanted:
            self._bears = max(self._bears * FORGETS, self._done)
        base = self._done if waiting > wanted else max(self._done, FORGETS * self._bears)
        may = max(LEAST * self._done, base + (wanted - waiting) * 1e6 / TAU_US)
        self._calm = self._calm + 1 if waiting < wanted / 2 else 0
        if self._calm:
            may = max(may, self._done * RISE, self.taken() * min(RISE_MOST, RISE**self._calm)) + 1.0
        self.level = self._at(may)
        self.heavy = self._over(may)

    def said(self) -> Level:
        """Return what members are told."""
        return Level(self.level, self.heavy)

    def _over(self, may: float) -> tuple[tuple[str, float], ...]:
        """Return clients that ask for far more than others and than an even part (max-min), and the share inside."""
        line = sorted(self._clients.items(), key=lambda one: one[1])
        counted = sum(rate for _, rate in line)
        left = may * min(1.0, counted / max(1e-9, sum(self._demand)))
        most = FAR * line[len(line) // 2][1] if line else 0.0
        for at, (_, rate) in enumerate(line):
            even = left / (len(line) - at)
            if rate > even:
                return tuple((name, even / asked) for name, asked in reversed(line[at:]) if asked > most)[:HEAVY]
            left -= rate
        return ()

    def taken(self) -> float:
        """Return how much of what comes the level takes, a second."""
        whole = min(STEPS, int(self.level * STEPS))
        inside = sum(self._demand[:whole])
        return inside + (self._demand[whole] * (self.level * STEPS - whole) if whole < STEPS else 0.0)

    def _at(self, may: float) -> float:
        """Return the level at which so much comes a second."""
        total = 0.0
        for at, rate in enumerate(self._demand):
            if total + rate > may:
                return (at + (may - total) / rate) / STEPS
            total += rate
        return ALL
