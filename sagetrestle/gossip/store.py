"""One member's copy of the gossiped rows, with their ages, and the rumours and digests that it sends to peers.

A row that is new to a member is sent to ``FANOUT_PEERS`` random members in each of ``RUMOUR_ROUNDS`` rounds (rumour
mongering, Demers 1987). Receivers to which it is new do the same, so the number of rounds until all members have it
grows with the logarithm of the number of members. Rows of a kind that is published periodically need nothing more: the
next row makes up for a lost one. Kinds that are ``reconciled`` are compared with one random member a second, by digests
of ``DIGEST_BUCKETS`` parts of the key space, and only the parts that differ are sent.

The age of a row is the maximum of two measurements: the time that earlier holders counted, each by its own monotonic
clock, and the time of day at this member, less the origin's time stamp and the permitted clock difference. The first
does not include time in a stopped process or on a stalled link; the second does, unless this member's clock is behind.
An age is therefore too small by at most ``max_clock_difference_us`` while the clocks are within that difference, and it
is never negative.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from sagetrestle.gossip.values import DIGEST_BUCKETS, Key, RowDigests, RowVersion, Row, RowBatch, RowPolicy

FANOUT_PEERS = 3  # number of random peers that get the rumours in each round
RUMOUR_ROUNDS = 2  # number of rounds in which a new row is sent
ROUND_US = 100_000
RECONCILE_INTERVAL_US = 1_000_000  # interval between comparisons with a random peer
INTERVAL_PER_MEMBER_US = 5_000  # minimum interval per member for kinds that all publish; bounds their total rate
RECONCILE_MIN_AGE_US = 2_000_000  # younger rows are still spreading as rumours, so they are not compared
MAX_ROWS = 20_000
MAX_ROWS_PER_ORIGIN = 4_000
MAX_ROW_BYTES = 8_192  # maximum size of a row's data in bytes
MAX_ROWS_PER_MESSAGE = 500
MAX_MESSAGE_BYTES = 48 * 1024
ROW_OVERHEAD_BYTES = 80  # estimated size of an encoded row without its texts and data
MAX_RUMOURS = 5_000  # maximum number of rumours waiting to be sent; the oldest are dropped
UNKNOWN_KIND_POLICY = RowPolicy(1_000_000, 30_000_000)  # for kinds that only a newer release knows
LIFE_RETENTION_US = 600_000_000  # how long the last life of an origin without rows is kept


class OutgoingMessage(NamedTuple):
    """A message to a member, by name."""

    to: str
    message: RowBatch | RowDigests


@dataclass(slots=True)
class StoredRow:
    """A row in the store; its age is counted from ``born_us`` on this member's clock."""

    row: Row
    born_us: int
    value: Any  # the decoded data; None if this release can not decode it

    def age_us(self, now: int) -> int:
        """Return the age of the row."""
        return max(0, now - self.born_us)


class GossipStore:
    """One member's rows. ``now`` is monotonic, ``unix`` the time of day; ``kinds`` has type and policy of each kind."""

    def __init__(
        self,
        name: str,
        life: int,
        kinds: Mapping[str, tuple[Any, RowPolicy]],
        seed: int,
        max_clock_difference_us: int = 500_000,
    ) -> None:
        self.name, self.life, self._max_clock_difference_us = name, life, max_clock_difference_us
        self._kinds = {
            kind: (msgspec.msgpack.Decoder(value_type), policy) for kind, (value_type, policy) in kinds.items()
        }
        self._rng = random.Random(seed)
        self._stored: dict[Key, StoredRow] = {}
        self._stored_by_kind: dict[str, dict[Key, StoredRow]] = {}  # the same rows, by kind
        self._lives: dict[str, tuple[int, int]] = {}  # by origin: its latest life, and when it was first received
        self._row_counts: dict[str, int] = {}  # number of rows, by origin
        self._rumours: dict[Key, int] = {}
        self._version = 0
        self._next_round_us = self._next_reconcile_us = 0
        self.changes: dict[str, int] = {}  # by kind: a counter of changes
        self.dropped = 0  # rows rejected by a limit
        self.members = 1

    # Publishing

    def publish(self, now: int, unix: int, kind: str, subject: str, value: Any, at_once: bool = False) -> bool:
        """Publish a row, unless the last one on its key is too recent; return whether it was published.

        A row of a reconciled kind is published again only if its value changed or half of its TTL has passed.
        ``at_once`` skips these limits, for urgent changes.
        """
        key, data, policy = Key(self.name, kind, subject), msgspec.msgpack.encode(value), self._policy_of(kind)
        old = self._stored.get(key)
        if old is not None and old.row.life == self.life and not at_once:
            age = old.age_us(now)
            if age < max(
                policy.min_interval_us, self.members * INTERVAL_PER_MEMBER_US if policy.from_all_members else 0
            ):
                return False
            if policy.reconciled and old.row.data == data and 2 * age < policy.ttl_us:
                return False
        self._version += 1
        return self._store_if_newer(
            now, Row(self.name, self.life, kind, subject, self._version, "", 0, unix, data), now
        )

    def write_register(self, now: int, unix: int, kind: str, subject: str, value: Any, version: int, by: str) -> bool:
        """Write a register; the higher version wins, and of equal versions the greater ``by``."""
        return self._store_if_newer(
            now, Row("", 0, kind, subject, version, by, 0, unix, msgspec.msgpack.encode(value)), now
        )

    # Reading

    def get(self, origin: str, kind: str, subject: str) -> StoredRow | None:
        """Return an origin's latest row on a subject."""
        return self._stored.get(Key(origin, kind, subject))

    def rows_of(self, kind: str, now: int, max_age_us: int) -> Iterator[tuple[Key, StoredRow]]:
        """Return the decoded rows of a kind that are not older than ``max_age_us``."""
        for key, stored in self._stored_by_kind.get(kind, {}).items():
            if stored.value is not None and stored.age_us(now) <= max_age_us:
                yield key, stored

    def __len__(self) -> int:
        return len(self._stored)

    def change_count(self, kind: str) -> int:
        """Return a counter that grows with each change to the rows of a kind."""
        return self.changes.get(kind, 0)

    # Spreading

    def receive(self, now: int, unix: int, sender: str, message: RowBatch | RowDigests) -> list[OutgoingMessage]:
        """Handle a message and return the messages to send in answer."""
        if isinstance(message, RowBatch):
            for row in message.rows:
                self._receive_row(now, unix, row)
            return []
        own_digests = self._digests(now)
        if message.digests == own_digests:
            return []
        sender_digests = message.digests if len(message.digests) == DIGEST_BUCKETS else (0,) * DIGEST_BUCKETS
        differing = {bucket for bucket in range(DIGEST_BUCKETS) if own_digests[bucket] != sender_digests[bucket]}
        batches = [
            OutgoingMessage(sender, batch)
            for batch in self._batches(
                now,
                (
                    stored
                    for key, stored in self._stored.items()
                    if _bucket_of(key) in differing and self._is_reconciled(stored, now)
                ),
            )
        ]
        return batches if message.is_reply else [OutgoingMessage(sender, RowDigests(own_digests, True)), *batches]

    def tick(self, now: int, unix: int, peers: tuple[str, ...]) -> list[OutgoingMessage]:
        """Return the rumours and digests that are due, and delete expired rows; ``peers`` are the reachable members."""
        if now < self._next_round_us:
            return []
        self._next_round_us = now + ROUND_US
        reconciles = now >= self._next_reconcile_us
        if reconciles:
            self._next_reconcile_us = now + RECONCILE_INTERVAL_US
            self._delete_expired(now)
        if not peers:
            return []
        outgoing: list[OutgoingMessage] = []
        if self._rumours:
            rows = []
            for key in list(self._rumours)[:MAX_ROWS_PER_MESSAGE]:
                rows.append(self._stored[key])
                self._rumours[key] -= 1
                if not self._rumours[key]:
                    del self._rumours[key]
            messages = self._batches(now, rows)
            outgoing += [
                OutgoingMessage(name, message)
                for name in self._rng.sample(sorted(peers), min(FANOUT_PEERS, len(peers)))
                for message in messages
            ]
        if reconciles and any(self._is_reconciled(stored, now) for stored in self._stored.values()):
            outgoing.append(OutgoingMessage(self._rng.choice(sorted(peers)), RowDigests(self._digests(now))))
        return outgoing

    def forget(self, kind: str, condition: Callable[[Any], bool]) -> None:
        """Delete the rows of a kind whose value ``condition`` accepts."""
        for key in [
            key
            for key, stored in self._stored_by_kind.get(kind, {}).items()
            if stored.value is not None and condition(stored.value)
        ]:
            self._delete(key)

    # Persistence

    def persistent_rows(self, now: int) -> tuple[Row, ...]:
        """Return the rows that are written to the file."""
        return tuple(
            self._row_to_send(stored, now)
            for stored in self._stored.values()
            if self._policy_of(stored.row.kind).persistent
        )

    def restore(self, now: int, unix: int, rows: Iterable[Row]) -> None:
        """Load rows that an earlier start wrote; their ages follow from the time of day."""
        for row in rows:
            if self._policy_of(row.kind).persistent:
                self._receive_row(now, unix, row)

    # Internal

    def _policy_of(self, kind: str) -> RowPolicy:
        found = self._kinds.get(kind)
        return found[1] if found is not None else UNKNOWN_KIND_POLICY

    def _receive_row(self, now: int, unix: int, row: Row) -> None:
        age = max(0, row.age_us, unix - row.unix_us - self._max_clock_difference_us)
        if row.origin == self.name and row.life <= self.life:
            if row.life == self.life and row.version > self._version:  # peers have later rows of this start
                self._version = row.version
            if self._stored.get(row.key) is None and row.life < self.life and self._policy_of(row.kind).persistent:
                # Published by an earlier start of this member, and still valid for its subject.
                self._store_if_newer(now, row, now - age)
            return
        self._store_if_newer(now, row, now - age)

    def _store_if_newer(self, now: int, row: Row, born_us: int) -> bool:
        """Store a row that is newer than the one here, and queue it as a rumour."""
        key, policy = row.key, self._policy_of(row.kind)
        if now - born_us > policy.ttl_us or len(row.data) > MAX_ROW_BYTES:
            return False
        life, _ = self._lives.get(row.origin, (0, 0))
        if row.origin and row.life < life and not policy.persistent:
            return False
        old = self._stored.get(key)
        if old is not None and old.row.order >= row.order:
            if old.row.order == row.order:
                old.born_us = min(old.born_us, born_us)  # the greater of two ages is more accurate
            return False
        if old is None and (
            len(self._stored) >= MAX_ROWS
            or self._row_counts.get(row.origin, 0) >= MAX_ROWS_PER_ORIGIN
            or len(self._stored_by_kind.get(row.kind, ())) >= policy.max_rows
        ):
            self.dropped += 1
            return False
        if row.origin and row.life > life:
            self._new_life(row.origin, row.life, now)
        try:
            value = self._kinds[row.kind][0].decode(row.data) if row.kind in self._kinds else None
        except msgspec.MsgspecError:
            value = None
        if self._stored.get(key) is None:
            self._row_counts[row.origin] = self._row_counts.get(row.origin, 0) + 1
        stored = self._stored[key] = StoredRow(row, born_us, value)
        self._stored_by_kind.setdefault(row.kind, {})[key] = stored
        self.changes[row.kind] = self.changes.get(row.kind, 0) + 1
        self._rumours.pop(key, None)
        self._rumours[key] = RUMOUR_ROUNDS
        while len(self._rumours) > MAX_RUMOURS:
            del self._rumours[next(iter(self._rumours))]
        return True

    def _new_life(self, origin: str, life: int, now: int) -> None:
        """Delete the rows of an earlier start of an origin, except persistent kinds."""
        self._lives[origin] = (life, now)
        for key in [
            key
            for key, stored in self._stored.items()
            if key.origin == origin and stored.row.life < life and not self._policy_of(key.kind).persistent
        ]:
            self._delete(key)

    def _delete(self, key: Key) -> None:
        stored = self._stored.pop(key)
        self._stored_by_kind[key.kind].pop(key, None)
        self._rumours.pop(key, None)
        self.changes[key.kind] = self.changes.get(key.kind, 0) + 1
        remaining = self._row_counts[stored.row.origin] - 1
        if remaining:
            self._row_counts[stored.row.origin] = remaining
        else:
            del self._row_counts[stored.row.origin]

    def _delete_expired(self, now: int) -> None:
        for key in [
            key for key, stored in self._stored.items() if stored.age_us(now) > self._policy_of(key.kind).ttl_us
        ]:
            self._delete(key)
        for origin in [
            origin
            for origin, (_, received_us) in self._lives.items()
            if now - received_us > LIFE_RETENTION_US and origin not in self._row_counts
        ]:
            del self._lives[origin]

    def _is_reconciled(self, stored: StoredRow, now: int) -> bool:
        return self._policy_of(stored.row.kind).reconciled and stored.age_us(now) >= RECONCILE_MIN_AGE_US

    def _digests(self, now: int) -> tuple[int, ...]:
        digests = [0] * DIGEST_BUCKETS
        for key, stored in self._stored.items():
            if self._is_reconciled(stored, now):
                digests[_bucket_of(key)] ^= _digest_of(key, stored.row.order)
        return tuple(digests)

    def _row_to_send(self, stored: StoredRow, now: int) -> Row:
        row = stored.row
        return Row(
            row.origin, row.life, row.kind, row.subject, row.version, row.by, stored.age_us(now), row.unix_us, row.data
        )

    def _batches(self, now: int, rows: Iterable[StoredRow]) -> list[RowBatch]:
        """Split rows into messages of bounded size."""
        batches: list[RowBatch] = []
        batch: list[Row] = []
        batch_bytes = 0
        for stored in rows:
            row = self._row_to_send(stored, now)
            row_bytes = ROW_OVERHEAD_BYTES + len(row.origin) + len(row.subject) + len(row.data)
            if batch and (batch_bytes + row_bytes > MAX_MESSAGE_BYTES or len(batch) >= MAX_ROWS_PER_MESSAGE):
                batches.append(RowBatch(tuple(batch)))
                batch, batch_bytes = [], 0
            batch.append(row)
            batch_bytes += row_bytes
        return [*batches, RowBatch(tuple(batch))] if batch else batches


def _bucket_of(key: Key) -> int:
    return hashlib.blake2b("\0".join(key).encode(), digest_size=1).digest()[0] % DIGEST_BUCKETS


def _digest_of(key: Key, order: RowVersion) -> int:
    text = "\0".join((*key, str(order.life), str(order.version), order.by))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest(), "big")
