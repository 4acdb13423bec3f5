"""What is asked of DNS when, and what is taken of the answers (RFC 6763, RFC 8765, RFC 2308).

A browse is one question for PTR records, then SRV, TXT and addresses for each instance, as far as the answer did not
bring them along. Where the server has push, changes come by themselves; a poll goes on beside it at its own pace,
slower while push stands, as a subscription may have died unseen. Without push the poll keeps the bound: one every
``poll_us``, whatever the TTL says.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Union

from sagetrestle.membership.values import Endpoint, Instance


FEW = 4  # instances that are asked for one by one; more are asked for in one stream


class Kind(Enum):
    """The record types that are asked for."""

    PTR = "PTR"
    SRV = "SRV"
    TXT = "TXT"
    ADDRESS = "A"
    ADDRESS6 = "AAAA"
    SOA = "SOA"


class Record(NamedTuple):
    """One record in neutral words: ``data`` is a name, (priority, weight, port, target), pairs, or an address."""

    name: str
    kind: Kind
    data: object
    ttl_s: int = 0


class Reply(NamedTuple):
    """What came of a question: its records, or ``ok`` False where it was not answered or not well.

    ``missing`` tells a negative answer (NXDOMAIN or no data) from a fault; ``serial`` is the zone's, if told.
    """

    number: int
    ok: bool
    records: tuple[Record, ...] = ()
    missing: bool = False
    serial: int | None = None
    why: str = ""


class Pushed(NamedTuple):
    """Changes that the server pushed: records that are there now, and records that are gone."""

    added: tuple[Record, ...] = ()
    removed: tuple[Record, ...] = ()


class PushState(NamedTuple):
    """The subscription stands, or does not."""

    up: bool


class Passed(NamedTuple):
    """Only time passes."""


class Ask(NamedTuple):
    """Ask for records of a name; ``stream`` asks for TCP, which takes larger answers and loses none."""

    number: int
    name: str
    kind: Kind
    stream: bool = False


class Found(NamedTuple):
    """A whole reading of the service."""

    instances: tuple[Instance, ...]
    serial: int | None


class Changed(NamedTuple):
    """Changes since the last reading."""

    now: tuple[Instance, ...]
    gone: tuple[str, ...]


class Lost(NamedTuple):
    """A browse could not be finished."""

    why: str


BrowserEvent = Union[Reply, Pushed, PushState, Passed]
BrowserDecision = Union[Ask, Found, Changed, Lost]


@dataclass(frozen=True)
class BrowserTerms:
    """Times in microseconds; ``most`` instances are taken of one service."""

    poll_us: int = 800_000
    poll_pushed_us: int = 10_000_000
    browse_us: int = 1_500_000  # for one browse, after which it is given up
    most: int = 20_000
    backoff_most_us: int = 2_000_000


@dataclass
class _Browse:
    """One browse under way."""

    until: int
    waiting: dict[int, tuple[str, Kind]]
    pointers: list[str]
    records: dict[tuple[str, Kind], list[Record]]
    serial: int | None = None
    streamed: bool = False


class Browser:
    """One service of one domain; names are lower case and end in no dot."""

    def __init__(self, service: str, terms: BrowserTerms, seed: int) -> None:
        self.service, self.terms = service.lower().rstrip("."), terms
        self._rng = random.Random(seed)
        self._number = 0
        self._browse: _Browse | None = None
        self._records: dict[tuple[str, Kind], list[Record]] = {}
        self._known: dict[str, Instance] = {}
        self._pushed = False
        self._failures = 0
        self.due = 0

    def step(self, now_us: int, event: BrowserEvent) -> list[BrowserDecision]:
        """Take an event and return what follows."""
        match event:
            case Reply():
                return self._reply(now_us, event)
            case Pushed(added, removed):
                return self._push(added, removed)
            case PushState(up):
                self._pushed = up
                self.due = now_us  # what changed while nobody listened
                return []
        if now_us < self.due:
            return []
        return self._overdue(now_us)

    def _overdue(self, now_us: int) -> list[BrowserDecision]:
        if self._browse is not None:
            return self._lost(now_us, "no answer in time")
        self._browse = _Browse(now_us + self.terms.browse_us, {}, [], {})
        self.due = self._browse.until
        return [self._ask(self.service, Kind.PTR)]

    def _ask(self, name: str, kind: Kind) -> Ask:
        assert self._browse is not None
        self._number += 1
        self._browse.waiting[self._number] = (name, kind)
        return Ask(self._number, name, kind, self._browse.streamed)

    def _lost(self, now_us: int, why: str) -> list[BrowserDecision]:
        """Give a browse up; the next comes after a pause that grows, within the bound on polls."""
        self._browse = None
        self._failures += 1
        pause = min(self.terms.backoff_most_us, self.terms.poll_us << min(self._failures - 1, 4))
        self.due = now_us + int(pause * self._rng.uniform(0.5, 1.0))
        return [Lost(why)]

    def _reply(self, now_us: int, reply: Reply) -> list[BrowserDecision]:
        browse = self._browse
        if browse is None or reply.number not in browse.waiting:
            return []  # an answer to a browse that was given up
        name, kind = browse.waiting.pop(reply.number)
        if not reply.ok and not reply.missing:
            if kind is Kind.PTR:
                return self._lost(now_us, reply.why)
            # One lost answer does not spoil the reading: what was known of the name holds for now.
            browse.records[(name, kind)] = self._records.get((name, kind), [])
        if kind is Kind.PTR:
            browse.serial = reply.serial
            found = [one.data for one in reply.records if one.kind is Kind.PTR and one.name == self.service]
            browse.pointers = [str(one) for one in found][: self.terms.most]
            along = sum(one.kind is Kind.SRV for one in reply.records)
            if len(found) - along > FEW and not browse.streamed:
                browse.streamed = True
                return [self._ask(name, kind)]
        for one in reply.records:
            line = browse.records.setdefault((one.name, one.kind), [])
            if one not in line:
                line.append(one)
        browse.records.setdefault((name, kind), [])
        asks = self._missing(browse)
        return list(asks) if asks or browse.waiting else self._finished(now_us, browse)

    def _missing(self, browse: _Browse) -> list[Ask]:
        """Return questions for what the answers so far did not bring along."""
        waits = set(browse.waiting.values())
        wanted: list[tuple[str, Kind]] = []
        for pointer in browse.pointers:
            wanted += [(pointer, Kind.SRV), (pointer, Kind.TXT)]
            for srv in browse.records.get((pointer, Kind.SRV), ()):
                target = str(srv.data[3])  # type: ignore[index]
                if not browse.records.get((target, Kind.ADDRESS)):
                    wanted.append((target, Kind.ADDRESS))
                    if browse.records.get((target, Kind.ADDRESS)) == []:
                        wanted.append((target, Kind.ADDRESS6))
        return [
            self._ask(name, kind)
            for name, kind in dict.fromkeys(wanted)
            if (name, kind) not in waits and (name, kind) not in browse.records
        ]

    def _finished(self, now_us: int, browse: _Browse) -> list[BrowserDecision]:
        self._browse, self._failures = None, 0
        pace = self.terms.poll_pushed_us if self._pushed else self.terms.poll_us
        self.due = now_us + int(pace * self._rng.uniform(0.85, 1.0))
        self._records = browse.records
        self._known = {}
        for pointer in browse.pointers:
            if (instance := self._instance(pointer)) is not None:
                self._known[pointer] = instance
        return [Found(tuple(self._known.values()), browse.serial)]

    def _push(self, added: tuple[Record, ...], removed: tuple[Record, ...]) -> list[BrowserDecision]:
        """Take pushed records; an instance changes when its own records do."""
        touched: dict[str, None] = {}
        for one in removed:
            line = self._records.get((one.name, one.kind), [])
            self._records[(one.name, one.kind)] = [old for old in line if old.data != one.data]
            touched[self._owner(one)] = None
        for one in added:
            line = self._records.setdefault((one.name, one.kind), [])
            if one.kind in (Kind.SRV, Kind.TXT):  # an instance has one of each: the newest counts
                line.clear()
            if all(old.data != one.data for old in line):
                line.append(one)
            touched[self._owner(one)] = None
        return self._touched([name for name in touched if name])

    def _owner(self, record: Record) -> str:
        """Return the instance that a record belongs to."""
        if record.kind is Kind.PTR:
            return str(record.data) if record.name == self.service else ""
        return record.name

    def _touched(self, names: list[str]) -> list[BrowserDecision]:
        listed = {str(one.data) for one in self._records.get((self.service, Kind.PTR), ())}
        now, gone = [], []
        for name in names:
            instance = self._instance(name) if name in listed else None
            if instance is not None and self._known.get(name) != instance:
                self._known[name] = instance
                now.append(instance)
            elif name not in listed and name in self._known:
                gone.append(self._known.pop(name).name)
        return [Changed(tuple(now), tuple(gone))] if now or gone else []

    def _instance(self, pointer: str) -> Instance | None:
        """Return the instance that a pointer's records describe, once they are all there and make sense."""
        services = self._records.get((pointer, Kind.SRV), ())
        if not services or not pointer.endswith(f".{self.service}"):
            return None
        priority, weight, port, target = services[0].data  # type: ignore[misc]
        hosts = self._records.get((str(target), Kind.ADDRESS)) or self._records.get((str(target), Kind.ADDRESS6))
        if not hosts:
            return None
        pairs = {}
        for one in self._records.get((pointer, Kind.TXT), ()):
            pairs.update(dict(one.data))  # type: ignore[call-overload]
        boot = pairs.pop("boot", "")
        draining = pairs.pop("draining", "") == "1"
        return Instance(
            pointer[: -len(self.service) - 1],
            Endpoint(str(hosts[0].data), int(port)),
            int(priority),
            int(weight),
            int(boot) if boot.isdecimal() and len(boot) < 19 else 0,
            draining,
            tuple(sorted(pairs.items())),
        )
