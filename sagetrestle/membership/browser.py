"""What is asked of DNS when, and what is taken of the answers (RFC 6763, RFC 8765, RFC 2308).

A browse is one question for PTR records, then SRV, TXT and addresses for each instance, as far as the answer did not
bring them along. Where the server has push, changes come by themselves; a poll goes on beside it at its own pace,
slower while push stands, as a subscription may have died unseen. Without push the poll keeps the bound: one every
``poll_interval_us``, whatever the TTL says.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Union

from sagetrestle.membership.values import Endpoint, Instance

MAX_SINGLE_QUERIES = 4  # instances that are asked for one by one; more are asked for in one stream


class RecordType(Enum):
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
    record_type: RecordType
    data: object
    ttl_s: int = 0


class QueryAnswered(NamedTuple):
    """What came of a question: its records, or ``ok`` False where it was not answered or not well.

    ``missing`` tells a negative answer (NXDOMAIN or no data) from a fault; ``serial`` is the zone's, if told.
    """

    number: int
    ok: bool
    records: tuple[Record, ...] = ()
    missing: bool = False
    serial: int | None = None
    reason: str = ""


class RecordsPushed(NamedTuple):
    """Changes that the server pushed: records that are there now, and records that are gone."""

    added: tuple[Record, ...] = ()
    removed: tuple[Record, ...] = ()


class PushStateChanged(NamedTuple):
    """The subscription stands, or does not."""

    up: bool


class Tick(NamedTuple):
    """Only time passes."""


class Query(NamedTuple):
    """Ask for records of a name; ``stream`` asks for TCP, which takes larger answers and loses none."""

    number: int
    name: str
    record_type: RecordType
    stream: bool = False


class ServiceListed(NamedTuple):
    """A whole reading of the service."""

    instances: tuple[Instance, ...]
    serial: int | None


class InstancesChanged(NamedTuple):
    """Changes since the last reading."""

    now: tuple[Instance, ...]
    gone: tuple[str, ...]


class BrowseFailed(NamedTuple):
    """A browse could not be finished."""

    reason: str


BrowserEvent = Union[QueryAnswered, RecordsPushed, PushStateChanged, Tick]
BrowserDecision = Union[Query, ServiceListed, InstancesChanged, BrowseFailed]


@dataclass(frozen=True)
class BrowserConfig:
    """Times in microseconds; ``max_instances`` instances are taken of one service."""

    poll_interval_us: int = 800_000
    poll_interval_with_push_us: int = 10_000_000
    browse_timeout_us: int = 1_500_000  # for one browse, after which it is given up
    max_instances: int = 20_000
    max_backoff_us: int = 2_000_000


@dataclass
class _Browse:
    """One browse under way."""

    until: int
    waiting: dict[int, tuple[str, RecordType]]
    pointers: list[str]
    records: dict[tuple[str, RecordType], list[Record]]
    serial: int | None = None
    streamed: bool = False


class Browser:
    """One service of one domain; names are lower case and end in no dot."""

    def __init__(self, service: str, config: BrowserConfig, seed: int) -> None:
        self.service, self.config = service.lower().rstrip("."), config
        self._rng = random.Random(seed)
        self._number = 0
        self._browse: _Browse | None = None
        self._records: dict[tuple[str, RecordType], list[Record]] = {}
        self._known: dict[str, Instance] = {}
        self._pushed = False
        self._failures = 0
        self.due = 0

    def step(self, now_us: int, event: BrowserEvent) -> list[BrowserDecision]:
        """Take an event and return what follows."""
        match event:
            case QueryAnswered():
                return self._on_answer(now_us, event)
            case RecordsPushed(added, removed):
                return self._on_push(added, removed)
            case PushStateChanged(up):
                self._pushed = up
                self.due = now_us  # what changed while nobody listened
                return []
        if now_us < self.due:
            return []
        return self._on_due(now_us)

    def _on_due(self, now_us: int) -> list[BrowserDecision]:
        if self._browse is not None:
            return self._on_failure(now_us, "no answer in time")
        self._browse = _Browse(now_us + self.config.browse_timeout_us, {}, [], {})
        self.due = self._browse.until
        return [self._query(self.service, RecordType.PTR)]

    def _query(self, name: str, record_type: RecordType) -> Query:
        assert self._browse is not None
        self._number += 1
        self._browse.waiting[self._number] = (name, record_type)
        return Query(self._number, name, record_type, self._browse.streamed)

    def _on_failure(self, now_us: int, reason: str) -> list[BrowserDecision]:
        """Give a browse up; the next comes after a pause that grows, within the bound on polls."""
        self._browse = None
        self._failures += 1
        pause = min(self.config.max_backoff_us, self.config.poll_interval_us << min(self._failures - 1, 4))
        self.due = now_us + int(pause * self._rng.uniform(0.5, 1.0))
        return [BrowseFailed(reason)]

    def _on_answer(self, now_us: int, reply: QueryAnswered) -> list[BrowserDecision]:
        browse = self._browse
        if browse is None or reply.number not in browse.waiting:
            return []  # an answer to a browse that was given up
        name, record_type = browse.waiting.pop(reply.number)
        if not reply.ok and not reply.missing:
            if record_type is RecordType.PTR:
                return self._on_failure(now_us, reply.reason)
            # One lost answer does not spoil the reading: what was known of the name holds for now.
            browse.records[(name, record_type)] = self._records.get((name, record_type), [])
        if record_type is RecordType.PTR:
            browse.serial = reply.serial
            found = [
                one.data for one in reply.records if one.record_type is RecordType.PTR and one.name == self.service
            ]
            browse.pointers = [str(one) for one in found][: self.config.max_instances]
            along = sum(one.record_type is RecordType.SRV for one in reply.records)
            if len(found) - along > MAX_SINGLE_QUERIES and not browse.streamed:
                browse.streamed = True
                return [self._query(name, record_type)]
        for one in reply.records:
            line = browse.records.setdefault((one.name, one.record_type), [])
            if one not in line:
                line.append(one)
        browse.records.setdefault((name, record_type), [])
        asks = self._queries_for_missing(browse)
        return list(asks) if asks or browse.waiting else self._finish(now_us, browse)

    def _queries_for_missing(self, browse: _Browse) -> list[Query]:
        """Return questions for what the answers so far did not bring along."""
        waits = set(browse.waiting.values())
        wanted: list[tuple[str, RecordType]] = []
        for pointer in browse.pointers:
            wanted += [(pointer, RecordType.SRV), (pointer, RecordType.TXT)]
            for srv in browse.records.get((pointer, RecordType.SRV), ()):
                target = str(srv.data[3])  # type: ignore[index]
                if not browse.records.get((target, RecordType.ADDRESS)):
                    wanted.append((target, RecordType.ADDRESS))
                    if browse.records.get((target, RecordType.ADDRESS)) == []:
                        wanted.append((target, RecordType.ADDRESS6))
        return [
            self._query(name, record_type)
            for name, record_type in dict.fromkeys(wanted)
            if (name, record_type) not in waits and (name, record_type) not in browse.records
        ]

    def _finish(self, now_us: int, browse: _Browse) -> list[BrowserDecision]:
        self._browse, self._failures = None, 0
        pace = self.config.poll_interval_with_push_us if self._pushed else self.config.poll_interval_us
        self.due = now_us + int(pace * self._rng.uniform(0.85, 1.0))
        self._records = browse.records
        self._known = {}
        for pointer in browse.pointers:
            if (instance := self._parse_instance(pointer)) is not None:
                self._known[pointer] = instance
        return [ServiceListed(tuple(self._known.values()), browse.serial)]

    def _on_push(self, added: tuple[Record, ...], removed: tuple[Record, ...]) -> list[BrowserDecision]:
        """Take pushed records; an instance changes when its own records do."""
        touched: dict[str, None] = {}
        for one in removed:
            line = self._records.get((one.name, one.record_type), [])
            self._records[(one.name, one.record_type)] = [old for old in line if old.data != one.data]
            touched[self._instance_of(one)] = None
        for one in added:
            line = self._records.setdefault((one.name, one.record_type), [])
            if one.record_type in (RecordType.SRV, RecordType.TXT):  # an instance has one of each: the newest counts
                line.clear()
            if all(old.data != one.data for old in line):
                line.append(one)
            touched[self._instance_of(one)] = None
        return self._changes_of([name for name in touched if name])

    def _instance_of(self, record: Record) -> str:
        """Return the instance that a record belongs to."""
        if record.record_type is RecordType.PTR:
            return str(record.data) if record.name == self.service else ""
        return record.name

    def _changes_of(self, names: list[str]) -> list[BrowserDecision]:
        listed = {str(one.data) for one in self._records.get((self.service, RecordType.PTR), ())}
        now, gone = [], []
        for name in names:
            instance = self._parse_instance(name) if name in listed else None
            if instance is not None and self._known.get(name) != instance:
                self._known[name] = instance
                now.append(instance)
            elif name not in listed and name in self._known:
                gone.append(self._known.pop(name).name)
        return [InstancesChanged(tuple(now), tuple(gone))] if now or gone else []

    def _parse_instance(self, pointer: str) -> Instance | None:
        """Return the instance that a pointer's records describe, once they are all there and make sense."""
        services = self._records.get((pointer, RecordType.SRV), ())
        if not services or not pointer.endswith(f".{self.service}"):
            return None
        priority, weight, port, target = services[0].data  # type: ignore[misc]
        hosts = self._records.get((str(target), RecordType.ADDRESS)) or self._records.get(
            (str(target), RecordType.ADDRESS6)
        )
        if not hosts:
            return None
        pairs = {}
        for one in self._records.get((pointer, RecordType.TXT), ()):
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
