"""A story of a fleet under strain: what there is, what happens when, and what came of it.

The same story goes to ``lab.memory.play`` (one process, a virtual clock, one seed) and to ``lab.strain.play``
(processes of the program on loopback); both return ``Findings``.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from sagetrestle.lab.capacity import Capacity, Flaps
from sagetrestle.lab.place import LabClass

CLASSES = (
    LabClass("quick-check", 0.06, 0, 0.9, 1.0, 1.0),
    LabClass("paid-check", 0.06, 0, 0.1, 4.0, 5.0, worth=4.0, charge=True),
)
LIMIT_S = 2.0  # for every class, from the reading of a request to its answer


class Phase(NamedTuple):
    """So many first tries a second, for so long."""

    seconds: float
    per_s: float


@dataclass(frozen=True)
class CallerTerms:
    """How callers behave: how long they wait for a try, how often they come again, and what they heed.

    One that ``heeds`` stays away for as long as a refusal says; others come again at once, through the next translator
    of their list. ``greedy`` of the clients send a share ``greed`` of all requests.
    """

    wait_s: float = 1.0
    retries: int = 1
    heeds: bool = False
    charges: float = 0.0  # share of charges
    clients: int = 40
    greedy: int = 0
    greed: float = 0.0

    def client(self, draw: float, number: int) -> int:
        """Return the client of a request, for a number drawn from 0 to 1."""
        if draw < self.greed:
            return number % self.greedy
        return self.greedy + number % (self.clients - self.greedy)


@dataclass
class Seen:
    """What callers saw, by the second of the first try; and what they sent."""

    first: Counter[int] = field(default_factory=Counter)
    in_time: Counter[int] = field(default_factory=Counter)
    tries: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    early: int = 0  # refused again though they came when they had been told to
    heeded: int = 0
    charges: Counter[str] = field(default_factory=Counter)
    answers: list[tuple[int, int, float, str]] = field(default_factory=list)  # greedy clients: second, who, s, how
    by_greed: dict[bool, Counter[str]] = field(default_factory=lambda: {True: Counter(), False: Counter()})

    def kept(self, client: int, within_s: float, start_s: int, end_s: int) -> tuple[float, int]:
        """Return the share of a greedy client's requests that were served within a time, and how many there were."""
        took = [
            how == "served" and one_s <= within_s
            for second, who, one_s, how in self.answers
            if who == client and start_s <= second < end_s
        ]
        return sum(took) / max(1, len(took)), len(took)

    def shares(self) -> list[float]:
        """Return the share served in time, second by second."""
        return [
            round(self.in_time[at] / self.first[at], 2)
            for at in range(max(self.first, default=-1) + 1)
            if self.first[at]
        ]

    def share(self, start_s: int, end_s: int) -> float:
        """Return the share served in time of the first tries of these seconds."""
        return self.served(start_s, end_s) / max(1, sum(self.first[at] for at in range(start_s, end_s)))

    def served(self, start_s: int, end_s: int) -> int:
        """Return how many were served in time of those of these seconds."""
        return sum(self.in_time[at] for at in range(start_s, end_s))


class Fault(NamedTuple):
    """What happens at a time: ``kill``, ``stop``, ``go on``, ``begin`` a member, ``cut`` and ``heal`` it, and so on.

    ``stop decider`` and ``kill decider`` are of who decides the level at that moment, ``all go on`` lets whoever was
    stopped go on. ``cut decider``: nothing passes between the member and who decides the level. ``step``: its time of
    day moves by ``value`` seconds. ``drain server``: it refuses what is new, as one does that is about to be replaced.
    """

    at_s: float
    kind: str
    names: tuple[str, ...] = ()
    value: float = 0.0


@dataclass
class Story:
    """All that a play needs. ``fleet`` is what ``deploy/fleet.toml`` says besides names and addresses."""

    members: int = 4
    servers: int = 3
    capacity: Capacity = field(default_factory=lambda: Capacity(2, 0.06))
    fleet: dict[str, Any] = field(default_factory=lambda: {"partitions": 8, "new": True, "verdicts": True})
    terms: CallerTerms = field(default_factory=CallerTerms)
    phases: list[Phase] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    flaps: dict[str, Flaps] = field(default_factory=dict)  # since and until in seconds of the story
    rates: dict[str, float] = field(default_factory=dict)  # members whose clock runs so many seconds in one
    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)  # of servers, where there is a promises.toml
    away_s: dict[str, float] = field(default_factory=dict)  # what a request and its answer take more, by region
    costs: dict[str, float] = field(default_factory=dict)
    promises: list[dict[str, Any]] = field(default_factory=list)
    zones: int = 1  # members are dealt out
    seed: int = 1
    settle_s: float = 1.0  # from all being up to the first request

    def promises_toml(self) -> str:
        """Return the operators' file of promises."""
        rows = [
            f'[[regions]]\nname = "{name}"\nservers = {json.dumps(list(servers))}\ncost = {self.costs.get(name, 1.0)}'
            for name, servers in self.regions.items()
        ]
        rows += [
            "[[promises]]\n" + "\n".join(f"{key} = {json.dumps(value)}" for key, value in one.items())
            for one in self.promises
        ]
        return "\n".join(rows) + "\n"

    @property
    def bears(self) -> float:
        """Return the requests a second that all servers bear."""
        return self.servers * self.capacity.per_s


@dataclass
class ServerFound:
    """What one server got."""

    requests: int = 0
    most_at_once: int = 0
    bad_requests: int = 0
    good: int = 0
    questions: int = 0
    at: list[float] = field(default_factory=list)  # when requests came, in seconds of the story


@dataclass
class Findings:
    """What came of a story."""

    seen: Seen
    servers: dict[str, ServerFound]
    doubled: list[str]  # keys of charges that ran twice
    lost: list[str]  # keys of charges that were served and did not run
    removals: int = 0  # that granters made
    penalties: dict[str, float] = field(default_factory=dict)  # of servers, as their granters have them at the end
    alone: dict[str, int] = field(default_factory=dict)  # looks in which a member decided of its level alone
    paced: bool = True  # whether the machine gave the speed that the story needs

    def sent(self) -> int:
        """Return the tries that servers got."""
        return sum(one.requests for one in self.servers.values())
