"""Browsing of a DNS-SD service: which queries are sent when, and instances from the answers (RFC 6763, 8765, 2308).

A browse queries the PTR records, then SRV, TXT and addresses of each instance unless the answer already contained them.
With DNS Push the server sends changes by itself; polling goes on at a longer interval, as a subscription may have
failed without notice. Without push a browse starts every ``poll_interval_us``, whatever the records' TTL.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Union

from sagetrestle.membership.values import Endpoint, Instance

MAX_SINGLE_QUERIES = 4  # instances; for more, the answer is requested again over TCP


class RecordType(Enum):
    """The record types that are queried."""

    PTR = "PTR"
    SRV = "SRV"
    TXT = "TXT"
    ADDRESS = "A"
    ADDRESS6 = "AAAA"
    SOA = "SOA"


class Record(NamedTuple):
    """A record; ``data`` is a name, (priority, weight, port, target), text pairs or an address, by its type."""

    name: str
    record_type: RecordType
    data: object
    ttl_s: int = 0


class QueryAnswered(NamedTuple):
    """The answer to a query; ``ok`` is False where there was none, or one that reports an error.

    ``missing`` distinguishes a negative answer (NXDOMAIN or no data) from a failure; ``serial`` is the zone's, if any.
    """

    number: int
    ok: bool
    records: tuple[Record, ...] = ()
    missing: bool = False
    serial: int | None = None
    reason: str = ""


class RecordsPushed(NamedTuple):
    """Changes pushed by the server."""

    added: tuple[Record, ...] = ()
    removed: tuple[Record, ...] = ()


class PushStateChanged(NamedTuple):
    """The push subscription has been established, or lost."""

    up: bool


class Tick(NamedTuple):
    """Time has passed."""


class Query(NamedTuple):
    """Query records of a name; ``stream`` requests TCP, for large answers and without loss."""

    number: int
    name: str
    record_type: RecordType
    stream: bool = False


class ServiceListed(NamedTuple):
    """A full listing of the service."""

    instances: tuple[Instance, ...]
    serial: int | None


class InstancesChanged(NamedTuple):
    """Changes since the last listing."""

    now: tuple[Instance, ...]
    gone: tuple[str, ...]


class BrowseFailed(NamedTuple):
    """A browse has failed."""

    reason: str


BrowserEvent = Union[QueryAnswered, RecordsPushed, PushStateChanged, Tick]
BrowserDecision = Union[Query, ServiceListed, InstancesChanged, BrowseFailed]


@dataclass(frozen=True)
class BrowserConfig:
    """Times in microseconds; of one service at most ``max_instances`` are used."""

    poll_interval_us: int = 800_000
    poll_interval_with_push_us: int = 10_000_000
    browse_timeout_us: int = 1_500_000  # for one browse
    max_instances: int = 20_000
    max_backoff_us: int = 2_000_000


@dataclass
class _Browse:
    """A browse in progress."""

    deadline_us: int
    in_flight: dict[int, tuple[str, RecordType]]
    pointers: list[str]
    records: dict[tuple[str, RecordType], list[Record]]
    serial: int | None = None
    use_stream: bool = False


class Browser:
    """The browser of one service in one domain; names are lower case, without a trailing dot."""

    def __init__(self, service: str, config: BrowserConfig, seed: int) -> None:
        self.service, self.config = service.lower().rstrip("."), config
        self._rng = random.Random(seed)
        self._number = 0
        self._browse: _Browse | None = None
        self._records: dict[tuple[str, RecordType], list[Record]] = {}
        self._known: dict[str, Instance] = {}
        self._push_is_up = False
        self._failures = 0
        self.due = 0

    def step(self, now_us: int, event: BrowserEvent) -> list[BrowserDecision]:
        """Process an event and return the decisions that follow."""
        match event:
            case QueryAnswered():
                return self._on_answer(now_us, event)
            case RecordsPushed(added, removed):
                return self._on_push(added, removed)
            case PushStateChanged(up):
                self._push_is_up = up
                self.due = now_us  # changes may have been missed in between
                return []
        if now_us < self.due:
            return []
        return self._on_due(now_us)

    def _on_due(self, now_us: int) -> list[BrowserDecision]:
        if self._browse is not None:
            return self._on_failure(now_us, "no answer in time")
        self._browse = _Browse(now_us + self.config.browse_timeout_us, {}, [], {})
        self.due = self._browse.deadline_us
        return [self._query(self.service, RecordType.PTR)]

    def _query(self, name: str, record_type: RecordType) -> Query:
        assert self._browse is not None
        self._number += 1
        self._browse.in_flight[self._number] = (name, record_type)
        return Query(self._number, name, record_type, self._browse.use_stream)

    def _on_failure(self, now_us: int, reason: str) -> list[BrowserDecision]:
        """Abort the browse; the next one follows after a delay that grows up to ``max_backoff_us``."""
        self._browse = None
        self._failures += 1
        pause = min(self.config.max_backoff_us, self.config.poll_interval_us << min(self._failures - 1, 4))
        self.due = now_us + int(pause * self._rng.uniform(0.5, 1.0))
        return [BrowseFailed(reason)]

    def _on_answer(self, now_us: int, reply: QueryAnswered) -> list[BrowserDecision]:
        browse = self._browse
        if browse is None or reply.number not in browse.in_flight:
            return []  # an answer to an aborted browse
        name, record_type = browse.in_flight.pop(reply.number)
        if not reply.ok and not reply.missing:
            if record_type is RecordType.PTR:
                return self._on_failure(now_us, reply.reason)
            # A single failed query does not fail the browse: the records known for the name are kept.
            browse.records[(name, record_type)] = self._records.get((name, record_type), [])
        if record_type is RecordType.PTR:
            browse.serial = reply.serial
            pointers = [
                record.data
                for record in reply.records
                if record.record_type is RecordType.PTR and record.name == self.service
            ]
            browse.pointers = [str(record) for record in pointers][: self.config.max_instances]
            bundled = sum(record.record_type is RecordType.SRV for record in reply.records)
            if len(pointers) - bundled > MAX_SINGLE_QUERIES and not browse.use_stream:
                browse.use_stream = True
                return [self._query(name, record_type)]
        for record in reply.records:
            known_records = browse.records.setdefault((record.name, record.record_type), [])
            if record not in known_records:
                known_records.append(record)
        browse.records.setdefault((name, record_type), [])
        asks = self._queries_for_missing(browse)
        return list(asks) if asks or browse.in_flight else self._finish(now_us, browse)

    def _queries_for_missing(self, browse: _Browse) -> list[Query]:
        """Return queries for the records that the answers so far did not contain."""
        in_flight = set(browse.in_flight.values())
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
            if (name, record_type) not in in_flight and (name, record_type) not in browse.records
        ]

    def _finish(self, now_us: int, browse: _Browse) -> list[BrowserDecision]:
        self._browse, self._failures = None, 0
        interval_us = self.config.poll_interval_with_push_us if self._push_is_up else self.config.poll_interval_us
        self.due = now_us + int(interval_us * self._rng.uniform(0.85, 1.0))
        self._records = browse.records
        self._known = {}
        for pointer in browse.pointers:
            if (instance := self._parse_instance(pointer)) is not None:
                self._known[pointer] = instance
        return [ServiceListed(tuple(self._known.values()), browse.serial)]

    def _on_push(self, added: tuple[Record, ...], removed: tuple[Record, ...]) -> list[BrowserDecision]:
        """Apply pushed records; an instance changes when its own records do."""
        instance_names: dict[str, None] = {}
        for record in removed:
            known_records = self._records.get((record.name, record.record_type), [])
            self._records[(record.name, record.record_type)] = [
                known for known in known_records if known.data != record.data
            ]
            instance_names[self._instance_of(record)] = None
        for record in added:
            known_records = self._records.setdefault((record.name, record.record_type), [])
            if record.record_type in (RecordType.SRV, RecordType.TXT):  # one per instance: the newest counts
                known_records.clear()
            if all(known.data != record.data for known in known_records):
                known_records.append(record)
            instance_names[self._instance_of(record)] = None
        return self._changes_of([name for name in instance_names if name])

    def _instance_of(self, record: Record) -> str:
        """Return the instance name that a record belongs to, empty for a PTR record of another service."""
        if record.record_type is RecordType.PTR:
            return str(record.data) if record.name == self.service else ""
        return record.name

    def _changes_of(self, names: list[str]) -> list[BrowserDecision]:
        listed = {str(record.data) for record in self._records.get((self.service, RecordType.PTR), ())}
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
        """Return the instance that a pointer's records describe, None where they are incomplete or invalid."""
        srv_records = self._records.get((pointer, RecordType.SRV), ())
        if not srv_records or not pointer.endswith(f".{self.service}"):
            return None
        priority, weight, port, target = srv_records[0].data  # type: ignore[misc]
        addresses = self._records.get((str(target), RecordType.ADDRESS)) or self._records.get(
            (str(target), RecordType.ADDRESS6)
        )
        if not addresses:
            return None
        pairs = {}
        for record in self._records.get((pointer, RecordType.TXT), ()):
            pairs.update(dict(record.data))  # type: ignore[call-overload]
        boot = pairs.pop("boot", "")
        draining = pairs.pop("draining", "") == "1"
        return Instance(
            pointer[: -len(self.service) - 1],
            Endpoint(str(addresses[0].data), int(port)),
            int(priority),
            int(weight),
            int(boot) if boot.isdecimal() and len(boot) < 19 else 0,
            draining,
            tuple(sorted(pairs.items())),
        )
