"""The admission level: the priority down to which all members admit requests, decided from the reports of all members.

The decider adds up arrivals by priority step, answers and queues. While requests queue, the admitted rate is
the rate of answers, less the excess queue spread over ``QUEUE_DRAIN_US``; while few queue, it grows with each
evaluation.
Times are microseconds, ``now`` is monotonic.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from sagetrestle.overload.values import ADMIT_ALL, PRIORITY_STEPS, AdmissionLevel, AdmissionReport

EVALUATION_INTERVAL_US = 250_000
RATE_HALF_LIFE_US = 500_000  # half-life of the smoothed rates of arrivals and answers
QUEUE_DRAIN_US = 1_000_000  # time over which an excess queue is drained
TARGET_QUEUE_US = 80_000  # target length of the queue, as time of work
CAPACITY_DECAY = 0.97  # part of the observed capacity that is relied on, and that is kept per evaluation
OVERLOAD_EVALUATIONS = 3  # shedding starts after this many evaluations in a row with a long queue
SEVERE_QUEUE_FACTOR = 3.0  # shedding starts at once if the queue is this many times the target
MIN_QUEUE = 2.0  # minimum target of the queue in requests, for the fleet
MIN_QUEUE_PER_MEMBER = 0.25  # added to the minimum target for each member
GROWTH_PER_EVALUATION = 1.2  # factor on the admitted rate while few requests queue, compounding
MAX_GROWTH = 4.0  # maximum of the compounded factor
MIN_ADMITTED_SHARE = 0.7  # minimum admitted rate as part of the answers, as the module sheds late requests itself
REPORT_TTL_US = 2_000_000  # a member's report counts this long
REPORTED_CLIENTS = 16  # maximum number of clients in a report
MAX_HEAVY_CLIENTS = 64  # maximum number of clients in a level
HEAVY_CLIENT_FACTOR = 4.0  # a client is heavy above this multiple of the median client's rate
MAX_CLIENTS = 1_000  # maximum number of clients that are counted


class ArrivalCounter:
    """A member's counts of arrivals and answers between reports."""

    def __init__(self) -> None:
        self._arrivals: Counter[int] = Counter()
        self._clients: Counter[str] = Counter()
        self.done = self.number = 0

    def record(self, priority: float, client: str) -> None:
        """Count a request by its priority and its client."""
        self._arrivals[min(PRIORITY_STEPS - 1, int(priority * PRIORITY_STEPS))] += 1
        if len(self._clients) < MAX_CLIENTS or client in self._clients:
            self._clients[client] += 1

    def report(self, region: str, waiting: int, slots: float, in_use: int) -> AdmissionReport:
        """Return a report of the counts and reset them."""
        self.number += 1
        report = AdmissionReport(
            region,
            self.number,
            tuple(sorted(self._arrivals.items())),
            self.done,
            waiting,
            slots,
            in_use,
            tuple(self._clients.most_common(REPORTED_CLIENTS)),
        )
        self._arrivals, self._clients, self.done = Counter(), Counter(), 0
        return report


@dataclass(slots=True)
class _Member:
    """The state of one member as of its last report."""

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
    _demand: list[float] = field(default_factory=lambda: [0.0] * PRIORITY_STEPS)  # arrivals per second, by step
    _done: float = 0.0
    _members: dict[str, _Member] = field(default_factory=dict)
    _new: list[int] = field(default_factory=lambda: [0] * PRIORITY_STEPS)
    _new_done: int = 0
    _short_queue_evaluations: int = 0  # number of evaluations in a row with a short queue
    _observed_capacity: float = 0.0  # answers per second while requests queued
    _long_queue_evaluations: int = 0  # number of evaluations in a row with a long queue
    _clients: dict[str, float] = field(default_factory=dict)  # requests per second, by client
    _new_clients: Counter[str] = field(default_factory=Counter)
    _evaluated_us: int = -1

    @property
    def done(self) -> float:
        """Return the answers per second."""
        return self._done

    def record(self, now: int, member: str, report: AdmissionReport) -> None:
        """Add a member's report; a repeated or reordered report changes nothing."""
        previous = self._members.get(member)
        if previous is not None and report.number <= previous.number:
            return
        self._members[member] = _Member(report.number, report.waiting, report.slots, report.in_use, now)
        for step, count in report.demand:
            if 0 <= step < PRIORITY_STEPS:
                self._new[step] += count
        self._new_done += report.done
        self._new_clients.update(dict(report.clients))

    def step(self, now: int) -> bool:
        """Update the level if ``EVALUATION_INTERVAL_US`` have passed, and return whether it was updated."""
        if self._evaluated_us < 0:
            self._evaluated_us = now
        elapsed_us = now - self._evaluated_us
        if elapsed_us < EVALUATION_INTERVAL_US:
            return False
        self._evaluated_us = now
        weight = 1.0 - 0.5 ** (elapsed_us / RATE_HALF_LIFE_US)
        for step_index, count in enumerate(self._new):
            self._demand[step_index] += weight * (count * 1e6 / elapsed_us - self._demand[step_index])
        self._done += weight * (self._new_done * 1e6 / elapsed_us - self._done)
        self._new, self._new_done = [0] * PRIORITY_STEPS, 0
        rates = {name: rate * (1.0 - weight) for name, rate in self._clients.items() if rate > 0.1}
        for name, count in self._new_clients.items():
            rates[name] = rates.get(name, 0.0) + weight * count * 1e6 / elapsed_us
        self._clients = dict(sorted(rates.items(), key=lambda item: -item[1])[:MAX_CLIENTS])
        self._new_clients.clear()
        self._members = {name: member for name, member in self._members.items() if now - member.at_us < REPORT_TTL_US}
        self._decide()
        return True

    def _decide(self) -> None:
        waiting = sum(member.waiting for member in self._members.values())
        target = max(MIN_QUEUE + MIN_QUEUE_PER_MEMBER * len(self._members), self._done * TARGET_QUEUE_US / 1e6)
        self._long_queue_evaluations = self._long_queue_evaluations + 1 if waiting > target else 0
        if (
            self.level >= 1.0
            and self._long_queue_evaluations < OVERLOAD_EVALUATIONS
            and waiting < SEVERE_QUEUE_FACTOR * target
        ):
            self.heavy, self._short_queue_evaluations = (), 0
            return
        if waiting > target:
            self._observed_capacity = max(self._observed_capacity * CAPACITY_DECAY, self._done)
        base = self._done if waiting > target else max(self._done, CAPACITY_DECAY * self._observed_capacity)
        admitted_per_s = max(MIN_ADMITTED_SHARE * self._done, base + (target - waiting) * 1e6 / QUEUE_DRAIN_US)
        self._short_queue_evaluations = self._short_queue_evaluations + 1 if waiting < target / 2 else 0
        if self._short_queue_evaluations:
            admitted_per_s = (
                max(
                    admitted_per_s,
                    self._done * GROWTH_PER_EVALUATION,
                    self.admitted_rate() * min(MAX_GROWTH, GROWTH_PER_EVALUATION**self._short_queue_evaluations),
                )
                + 1.0
            )
        self.level = self._level_for(admitted_per_s)
        self.heavy = self._heavy_clients(admitted_per_s)

    def current_level(self) -> AdmissionLevel:
        """Return the level to send to the members."""
        return AdmissionLevel(self.level, self.heavy)

    def _heavy_clients(self, admitted_per_s: float) -> tuple[tuple[str, float], ...]:
        """Return the clients far above the others, and the part of their requests that is within the max-min share."""
        clients = sorted(self._clients.items(), key=lambda item: item[1])
        counted = sum(rate for _, rate in clients)
        remaining = admitted_per_s * min(1.0, counted / max(1e-9, sum(self._demand)))
        heavy_rate = HEAVY_CLIENT_FACTOR * clients[len(clients) // 2][1] if clients else 0.0
        for index, (_, rate) in enumerate(clients):
            even_share = remaining / (len(clients) - index)
            if rate > even_share:
                return tuple(
                    (name, even_share / client_rate)
                    for name, client_rate in reversed(clients[index:])
                    if client_rate > heavy_rate
                )[:MAX_HEAVY_CLIENTS]
            remaining -= rate
        return ()

    def admitted_rate(self) -> float:
        """Return the arrivals per second that the level admits."""
        whole = min(PRIORITY_STEPS, int(self.level * PRIORITY_STEPS))
        inside = sum(self._demand[:whole])
        return inside + (self._demand[whole] * (self.level * PRIORITY_STEPS - whole) if whole < PRIORITY_STEPS else 0.0)

    def _level_for(self, admitted_per_s: float) -> float:
        """Return the level that admits a number of requests per second."""
        total = 0.0
        for step_index, rate in enumerate(self._demand):
            if total + rate > admitted_per_s:
                return (step_index + (admitted_per_s - total) / rate) / PRIORITY_STEPS
            total += rate
        return ADMIT_ALL
