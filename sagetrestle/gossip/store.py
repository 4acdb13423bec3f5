"""One member's copy of the picture: rows by origin, life and version, their ages, and what is told to whom.

A row that is new here is told to ``FANOUT`` members drawn by chance, ``TIMES`` times, a beat apart (Demers 1987); who
had not heard it does the same, so all have it after a number of beats that grows with the logarithm of the members.
Rows that are said again and again need no more: the next word mends a loss. Rows that stand are compared once a second
with one member, by digests of ``BUCKETS`` parts of the keys, and only the parts that differ are sent.

An age is the larger of two: what the holders before counted, each by its own monotonic clock, and what the stamp of the
origin says, less what clocks may be apart. The first does not see what a stopped process or a held link adds, the
second does; the second does not see a clock that is behind, the first does. So an age is short by ``apart_us`` at the
most while clocks are within it, and never negative.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from sagetrestle.gossip.values import BUCKETS, Key, Marks, Order, Row, Rows, Terms

FANOUT, TIMES = 3, 2
BEAT_US = 100_000
COMPARE_US = 1_000_000
A_MEMBER_US = 5_000  # for each member, the least time between two words that all say: so their sum stays bounded
SETTLED_US = 2_000_000  # age from which a row that stands is compared: younger ones are still on their way
MOST_ROWS, MOST_OF_ONE = 20_000, 4_000  # kept; of one origin
MOST_DATA = 8_192  # bytes of one row
MOST_A_MESSAGE, MOST_BYTES = 500, 48 * 1024
MOST_RUMOURS = 5_000  # that wait to be told; the oldest give way
UNKNOWN = Terms(1_000_000, 30_000_000)  # of kinds that only a newer program knows
QUIET_LIVES_US = 600_000_000  # how long the last life of an origin is remembered


class Say(NamedTuple):
    """Tell a member, by name."""

    to: str
    message: Rows | Marks


@dataclass(slots=True)
class Known:
    """A row as it is held here: its age is counted from ``born_us`` of this member's clock."""

    row: Row
    born_us: int
    value: Any  # what its data says; None where it can not be read here

    def age_us(self, now: int) -> int:
        """Return how old it is."""
        return max(0, now - self.born_us)


class Picture:
    """All rows at one member. ``now`` is monotonic, ``unix`` the time of day; ``kinds`` has type and terms of each."""

    def __init__(
        self, name: str, life: int, kinds: Mapping[str, tuple[Any, Terms]], seed: int, apart_us: int = 500_000
    ) -> None:
        self.name, self.life, self._apart_us = name, life, apart_us
        self._kinds = {kind: (msgspec.msgpack.Decoder(what), terms) for kind, (what, terms) in kinds.items()}
        self._rng = random.Random(seed)
        self._rows: dict[Key, Known] = {}
        self._kind: dict[str, dict[Key, Known]] = {}  # the same, by kind
        self._lives: dict[str, tuple[int, int]] = {}  # of each origin: its newest life, and when that was heard of
        self._count: dict[str, int] = {}  # rows of each origin
        self._rumours: dict[Key, int] = {}
        self._version = 0
        self._beat_us = self._compare_us = 0
        self.changes: dict[str, int] = {}  # of each kind: grows with every row that is new here
        self.dropped = 0  # rows for which there was no room
        self.members = 1

    # What this member says

    def put(self, now: int, unix: int, kind: str, about: str, value: Any, at_once: bool = False) -> bool:
        """Say something, unless something was said a moment ago; tell whether it was said.

        What stands is said again only where it changed, or is half of its way to being forgotten. ``at_once`` is for
        a change of mind that can not wait.
        """
        key, data, terms = Key(self.name, kind, about), msgspec.msgpack.encode(value), self._terms(kind)
        old = self._rows.get(key)
        if old is not None and old.row.life == self.life and not at_once:
            age = old.age_us(now)
            if age < max(terms.every_us, self.members * A_MEMBER_US if terms.by_all else 0):
                return False
            if terms.stands and old.row.data == data and 2 * age < terms.keep_us:
                return False
        self._version += 1
        return self._take(now, Row(self.name, self.life, kind, about, self._version, "", 0, unix, data), now)

    def write(self, now: int, unix: int, kind: str, about: str, value: Any, version: int, by: str) -> bool:
        """Write a register; the higher version holds, and of equal ones the later ``by``."""
        return self._take(now, Row("", 0, kind, about, version, by, 0, unix, msgspec.msgpack.encode(value)), now)

    # What is known

    def get(self, origin: str, kind: str, about: str) -> Known | None:
        """Return what one origin said last on a subject."""
        return self._rows.get(Key(origin, kind, about))

    def of(self, kind: str, now: int, most_us: int) -> Iterator[tuple[Key, Known]]:
        """Return the rows of a kind that can be read and are not older than the reader's bound."""
        for key, known in self._kind.get(kind, {}).items():
            if known.value is not None and known.age_us(now) <= most_us:
                yield key, known

    def __len__(self) -> int:
        return len(self._rows)

    def changed(self, kind: str) -> int:
        """Return a number that grows with every row of a kind that is new here."""
        return self.changes.get(kind, 0)

    # What others say

    def heard(self, now: int, unix: int, sender: str, message: Rows | Marks) -> list[Say]:
        """Take what a member tells."""
        if isinstance(message, Rows):
            for row in message.rows:
                self._heard_row(now, unix, row)
            return []
        mine = self._marks(now)
        if message.marks == mine:
            return []
        theirs = message.marks if len(message.marks) == BUCKETS else (0,) * BUCKETS
        differ = {at for at in range(BUCKETS) if mine[at] != theirs[at]}
        said = [
            Say(sender, one)
            for one in self._packed(
                now, (known for key, known in self._rows.items() if _bucket(key) in differ and self._stands(known, now))
            )
        ]
        return said if message.answers else [Say(sender, Marks(mine, True)), *said]

    def passed(self, now: int, unix: int, peers: tuple[str, ...]) -> list[Say]:
        """Tell rumours, compare, forget; ``peers`` are the members that can be reached, by name."""
        if now < self._beat_us:
            return []
        self._beat_us = now + BEAT_US
        compares = now >= self._compare_us
        if compares:
            self._compare_us = now + COMPARE_US
            self._forget(now)
        if not peers:
            return []
        said: list[Say] = []
        if self._rumours:
            rows = []
            for key in list(self._rumours)[:MOST_A_MESSAGE]:
                rows.append(self._rows[key])
                self._rumours[key] -= 1
                if not self._rumours[key]:
                    del self._rumours[key]
            messages = self._packed(now, rows)
            said += [
                Say(name, one) for name in self._rng.sample(sorted(peers), min(FANOUT, len(peers))) for one in messages
            ]
        if compares and any(self._stands(one, now) for one in self._rows.values()):
            said.append(Say(self._rng.choice(sorted(peers)), Marks(self._marks(now))))
        return said

    def forget(self, kind: str, over: Callable[[Any], bool]) -> None:
        """Drop the rows of a kind that are over."""
        for key in [key for key, one in self._kind.get(kind, {}).items() if one.value is not None and over(one.value)]:
            self._drop(key)

    # What outlives a process

    def lasting(self, now: int) -> tuple[Row, ...]:
        """Return the rows that are for a file."""
        return tuple(self._sent(known, now) for known in self._rows.values() if self._terms(known.row.kind).lasting)

    def restore(self, now: int, unix: int, rows: Iterable[Row]) -> None:
        """Take rows that a start before this one kept: the time of day says how old they are by now."""
        for row in rows:
            if self._terms(row.kind).lasting:
                self._heard_row(now, unix, row)

    # Inside

    def _terms(self, kind: str) -> Terms:
        found = self._kinds.get(kind)
        return found[1] if found is not None else UNKNOWN

    def _heard_row(self, now: int, unix: int, row: Row) -> None:
        age = max(0, row.age_us, unix - row.unix_us - self._apart_us)
        if row.origin == self.name and row.life <= self.life:
            if row.life == self.life and row.version > self._version:  # it was told of more than it remembers
                self._version = row.version
            if self._rows.get(row.key) is None and row.life < self.life and self._terms(row.kind).lasting:
                # A start before this one said it: that is still known of its subject.
                self._take(now, row, now - age)
            return
        self._take(now, row, now - age)

    def _take(self, now: int, row: Row, born_us: int) -> bool:
        """Take a row that is newer than the one here, and tell it on."""
        key, terms = row.key, self._terms(row.kind)
        if now - born_us > terms.keep_us or len(row.data) > MOST_DATA:
            return False
        life, _ = self._lives.get(row.origin, (0, 0))
        if row.origin and row.life < life and not terms.lasting:
            return False
        old = self._rows.get(key)
        if old is not None and old.row.order >= row.order:
            if old.row.order == row.order:
                old.born_us = min(old.born_us, born_us)  # the older of two ages is the truer one
            return False
        if old is None and (
            len(self._rows) >= MOST_ROWS
            or self._count.get(row.origin, 0) >= MOST_OF_ONE
            or len(self._kind.get(row.kind, ())) >= terms.most
        ):
            self.dropped += 1
            return False
        if row.origin and row.life > life:
            self._new_life(row.origin, row.life, now)
        try:
            value = self._kinds[row.kind][0].decode(row.data) if row.kind in self._kinds else None
        except msgspec.MsgspecError:
            value = None
        if self._rows.get(key) is None:
            self._count[row.origin] = self._count.get(row.origin, 0) + 1
        known = self._rows[key] = Known(row, born_us, value)
        self._kind.setdefault(row.kind, {})[key] = known
        self.changes[row.kind] = self.changes.get(row.kind, 0) + 1
        self._rumours.pop(key, None)
        self._rumours[key] = TIMES
        while len(self._rumours) > MOST_RUMOURS:
            del self._rumours[next(iter(self._rumours))]
        return True

    def _new_life(self, origin: str, life: int, now: int) -> None:
        """Let go of what an earlier start of an origin said of itself; what lasts stays."""
        self._lives[origin] = (life, now)
        for key in [
            key
            for key, one in self._rows.items()
            if key.origin == origin and one.row.life < life and not self._terms(key.kind).lasting
        ]:
            self._drop(key)

    def _drop(self, key: Key) -> None:
        known = self._rows.pop(key)
        self._kind[key.kind].pop(key, None)
        self._rumours.pop(key, None)
        self.changes[key.kind] = self.changes.get(key.kind, 0) + 1
        left = self._count[known.row.origin] - 1
        if left:
            self._count[known.row.origin] = left
        else:
            del self._count[known.row.origin]

    def _forget(self, now: int) -> None:
        for key in [key for key, one in self._rows.items() if one.age_us(now) > self._terms(key.kind).keep_us]:
            self._drop(key)
        for origin in [
            origin for origin, (_, at) in self._lives.items() if now - at > QUIET_LIVES_US and origin not in self._count
        ]:
            del self._lives[origin]

    def _stands(self, known: Known, now: int) -> bool:
        return self._terms(known.row.kind).stands and known.age_us(now) >= SETTLED_US

    def _marks(self, now: int) -> tuple[int, ...]:
        marks = [0] * BUCKETS
        for key, known in self._rows.items():
            if self._stands(known, now):
                marks[_bucket(key)] ^= _hashed(key, known.row.order)
        return tuple(marks)

    def _sent(self, known: Known, now: int) -> Row:
        row = known.row
        return Row(
            row.origin, row.life, row.kind, row.about, row.version, row.by, known.age_us(now), row.unix_us, row.data
        )

    def _packed(self, now: int, rows: Iterable[Known]) -> list[Rows]:
        """Spread rows over messages of bounded length."""
        found: list[Rows] = []
        part: list[Row] = []
        size = 0
        for known in rows:
            row = self._sent(known, now)
            each = 80 + len(row.origin) + len(row.about) + len(row.data)
            if part and (size + each > MOST_BYTES or len(part) >= MOST_A_MESSAGE):
                found.append(Rows(tuple(part)))
                part, size = [], 0
            part.append(row)
            size += each
        return [*found, Rows(tuple(part))] if part else found


def _bucket(key: Key) -> int:
    return hashlib.blake2b("\0".join(key).encode(), digest_size=1).digest()[0] % BUCKETS


def _hashed(key: Key, order: Order) -> int:
    text = "\0".join((*key, str(order.life), str(order.version), order.by))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest(), "big")
