"""The replicated effect log: records of charges by partition, and how a new owner takes them over.

The rule: an intent is at every backup of the epoch before its run starts, and a member that knows a later epoch takes
no record of an earlier one. So whoever owns a partition next has every charge that may have started, without any clock.
A position names a prefix of one owner's stream in one epoch (its label); two copies with one label agree as far as the
shorter goes.

Methods return decisions; times are microseconds, ``now`` monotonic, ``unix`` for what has to mean the same elsewhere.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from sagetrestle.ownership.values import (
    MULTIPLE_OWNERS,
    FleetMap,
    FleetSettings,
    Origin,
    MemberInfo,
    PartitionAssignment,
)
from sagetrestle.quota import Limit, CapGrant, decide_cap_grant
from sagetrestle.recovery.effects import Effect, EffectError, EffectTable, EffectRecord, RecordKind, EffectState
from sagetrestle.takeover import messages
from sagetrestle.takeover.replica_changes import Change, ReplicaDropped, RecordsAppended, EpochChanged, SnapshotReplaced
from sagetrestle.takeover.messages import MAX_BYTES_PER_MESSAGE, MAX_RECORDS_PER_MESSAGE, FleetMessage

OUTCOME_FLUSH_DELAY_US = 50_000  # outcomes may wait to be sent together, as no run waits for them
RESEND_AFTER_US = 100_000  # without an acknowledgement
KERNEL_QUERY_INTERVAL_US = 1_000_000  # between queries about runs of previous owners
SERVER_QUERY_INTERVAL_US = 250_000  # shorter, as a server does not report the end of a run by itself
MAX_TAIL_RECORDS = 4_096  # kept to bring a replica up to date without a snapshot
MAX_LOST_OWNERS = 2  # lost while holding one key, after which the key is refused
# Only these are acknowledged at once: a run waits for its intent, a holder for its grant.
BLOCKING_KINDS = (RecordKind.INTENT, RecordKind.GRANT)
SNAPSHOT_AFTER_RECORDS = 4_096  # appended since the last snapshot of a replica
MAX_UNACKED_CHUNKS = 4  # of a snapshot transfer
MAX_KNOWN_MEMBERS = 1_000
GRANT_RETENTION_US = 120_000_000  # after the window is closed by all clocks, for holders that report late
MAX_UNDELIVERED_OUTCOMES = 100_000  # of runs whose partition has another owner now


class SendMessage(NamedTuple):
    """Send a message to the member with this id."""

    to: str
    message: FleetMessage


class StartRun(NamedTuple):
    """The attempt is recorded at all backups; its run may start with this fencing token."""

    id: str
    token: tuple[int, int, str]  # partition, epoch, owner


class RejectAttempt(NamedTuple):
    """A waiting attempt must not run here, as another member owns its partition."""

    id: str
    owner: str


class RunResolved(NamedTuple):
    """What became of a run of an owner before is known; FREE: it never ran and never will."""

    key: str
    run: str
    state: EffectState
    result: bytes = b""


class FenceKernel(NamedTuple):
    """Tell a kernel that a partition has a new epoch, and ask after these runs."""

    member: MemberInfo
    partition: int
    epoch: int
    runs: tuple[str, ...]


class QueryServer(NamedTuple):
    """Ask the server where a run may be, under this epoch, what became of it."""

    partition: int
    epoch: int
    attempt: AttemptInfo


class LogLine(NamedTuple):
    """Write a line to the log."""

    text: str


Decision = SendMessage | StartRun | RejectAttempt | RunResolved | FenceKernel | QueryServer | LogLine


class AttemptInfo(NamedTuple):
    """The attempt that a record's digest describes, packed by ``pack_attempt``.

    ``lost_owners`` counts the owners that were lost holding the key before its run had begun. ``server_ref`` names the
    server to which an owner that forwards runs sends this one. ``pinned`` means that an earlier run may still reach
    that server: no other server may get the key, although the run is known not to have happened so far.
    """

    id: str
    class_name: str
    tenant: str
    key: str
    body: bytes  # its digest
    lost_owners: int = 0
    server_ref: str = ""
    pinned: bool = False


def pack_attempt(attempt: AttemptInfo) -> bytes:
    """Pack an attempt into a record's digest."""
    server_part = f"{'!' if attempt.pinned else ' '}{attempt.server_ref}".encode() if attempt.server_ref else b""
    return b"\0".join([*(one.encode() for one in attempt[:4]), b"%d" % attempt.lost_owners + server_part, attempt.body])


def unpack_attempt(digest: bytes) -> AttemptInfo:
    """Unpack the attempt from a record's digest."""
    id, class_name, tenant, key, losses_and_server, body = digest.split(b"\0", 5)
    digits = len(losses_and_server) - len(losses_and_server.lstrip(b"0123456789"))
    lost_owners, server_part = int(losses_and_server[:digits]), losses_and_server[digits:].decode()
    return AttemptInfo(
        id.decode(),
        class_name.decode(),
        tenant.decode(),
        key.decode(),
        body,
        lost_owners,
        server_part[1:],
        server_part.startswith("!"),
    )


@dataclass(slots=True)
class SnapshotTransfer:
    """A transfer of all records of a partition to a replica, in chunks."""

    position: int
    chunks: list[tuple[EffectRecord, ...]]
    acked: int = 0
    sent: int = 0
    sent_us: int = 0


class RestoredReplica(NamedTuple):
    """What a start before under this name kept of a partition; ``id`` is whose copy it was."""

    content_epoch: int
    id: str
    table: EffectTable


@dataclass(slots=True)
class Replica:
    """The replica of one partition at this member."""

    assignment: PartitionAssignment
    table: EffectTable
    content_epoch: int = -1
    position: int = 0
    complete: bool = False
    base: tuple[int, int] = (-1, 0)  # label and position from which this epoch began
    tail: deque[EffectRecord] = field(default_factory=deque)
    acked: dict[str, int] = field(default_factory=dict)  # by copies that took this epoch's base
    sent: dict[str, int] = field(default_factory=dict)  # the position up to which was sent
    sent_us: dict[str, int] = field(default_factory=dict)
    transfers: dict[str, SnapshotTransfer] = field(default_factory=dict)
    pending: deque[tuple[int, str | SendMessage]] = field(default_factory=deque)  # what waits for a record, by position
    owned_since_us: int = 0  # when this member became its owner
    act_after_us: int = 0  # until then the owner before may not know that it is over
    staged_chunks: dict[int, tuple[EffectRecord, ...]] = field(default_factory=dict)
    staged_position: tuple[int, int] = (-1, -1)  # epoch and position of what is staged
    next_query_us: int = 0
    flush_due_us: int = 0  # when ends that wait for company are sent at the latest; 0: none does
    owes_ack: bool = False  # its owner an acknowledgement for which nothing waits
    unresolved_runs: dict[str, str] = field(
        default_factory=dict
    )  # runs of owners before that may go on, and their keys
    required_joiners: dict[str, int] = field(
        default_factory=dict
    )  # joining members that nothing starts without, and since

    def records_after(self, position: int) -> list[EffectRecord] | None:
        """Return the entries behind a position, if the tail has them."""
        first = self.position - len(self.tail)
        return None if position < first or position > self.position else list(self.tail)[position - first :]


class EffectLog:
    """The replicas of all partitions that one member owns or backs up."""

    def __init__(self, member_id: str, settings: FleetSettings, window_us: int) -> None:
        self.member_id, self.settings, self._window_us = member_id, settings, window_us
        self.map = FleetMap()
        self.replicas: dict[int, Replica] = {}
        self._undelivered_outcomes: dict[
            tuple[int, str], EffectRecord
        ] = {}  # ends of runs whose partition has another owner now
        self._next_delivery_us = 0
        self.changes: list[Change] | None = None  # since they were taken, where somebody keeps them
        self._records_since_snapshot: dict[int, int] = {}  # entries since a copy was written whole
        self.kept: dict[int, RestoredReplica] = {}  # of starts before under this name
        self.members: dict[
            str, MemberInfo
        ] = {}  # members that are or were, as long as a run of theirs may be asked after
        self.taken_over = self.adopted = self.freed = 0

    # What the scorer asks

    def assignment_of(self, key: str) -> tuple[int, PartitionAssignment]:
        """Return a key's partition and its share as known here."""
        partition, assignment = self.map.assignment_of(key)
        replica = self.replicas.get(partition)
        return (
            partition,
            replica.assignment if replica is not None and replica.assignment.epoch > assignment.epoch else assignment,
        )

    def owns(self, partition: int, now: int) -> bool:
        """Tell whether this member may act as the owner, its lease aside."""
        replica = self.replicas.get(partition)
        return (
            replica is not None
            and replica.assignment.owner == self.member_id
            and replica.complete
            and now >= replica.act_after_us
        )

    def find_effect(self, partition: int, effect_key: str, unix: int) -> Effect | None:
        """Return what is known of a key whose try arrived at ``unix``."""
        replica = self.replicas.get(partition)
        return replica.table.get(effect_key, unix) if replica is not None else None

    def has_enough_backups(self, partition: int) -> bool:
        """Return whether the partition has the minimum number of backups for a new charge."""
        replica = self.replicas.get(partition)
        return replica is not None and len(replica.assignment.backups) >= self.settings.min_backups

    def last_attempt(self, partition: int, effect_key: str) -> AttemptInfo | None:
        """Return what is kept of a key that never ran so far: what it cost, and where it may yet run."""
        effect = self.replicas[partition].table.effects.get(effect_key) if partition in self.replicas else None
        return (
            unpack_attempt(effect.digest)
            if effect is not None and effect.state is EffectState.FREE and effect.digest
            else None
        )

    def is_running_here(self, partition: int, effect: Effect) -> bool:
        """Tell whether an effect in doubt is a run of this member's that it will hear the end of."""
        return (
            effect.server == self.member_id
            and unpack_attempt(effect.digest).id not in self.replicas[partition].unresolved_runs
        )

    def mark_in_doubt(self, now: int, unix: int, partition: int, effect_key: str) -> list[Decision]:
        """Take that a run of one's own is over and that its end is not known: it is asked after from now on."""
        replica = self.replicas.get(partition)
        effect = replica.table.get(effect_key, unix) if replica is not None else None
        if (
            replica is None
            or replica.assignment.owner != self.member_id
            or effect is None
            or effect.state is not EffectState.IN_DOUBT
            or effect.server != self.member_id
        ):
            return []  # whoever owns it now asks after it
        replica.unresolved_runs[unpack_attempt(effect.digest).id], replica.next_query_us = effect_key, 0
        return self._query_unresolved(now, unix, partition, replica)

    def record_intent(self, now: int, partition: int, id: str, entry: EffectRecord) -> list[Decision]:
        """Record an intent; ``StartRun`` follows once all backups have it. Raises EffectError."""
        replica = self.replicas[partition]
        entries = [entry]
        if replica.table.state_of(entry.key, entry.at_us) is not EffectState.FREE:
            raise EffectError(f"key {entry.key!r}: is recorded already")
        replica.table.apply(entry)
        self._append(partition, replica, entries)
        replica.pending.append((replica.position, id))
        return [*self._replicate(now, partition, replica), *self._release_pending(replica, partition)]

    def record_outcome(self, now: int, partition: int, entry: EffectRecord) -> list[Decision]:
        """Take what became of a run of one's own: recorded here, or told to who owns it now."""
        replica = self.replicas.get(partition)
        if replica is None or replica.assignment.owner != self.member_id or not replica.complete:
            if len(self._undelivered_outcomes) < MAX_UNDELIVERED_OUTCOMES:
                self._undelivered_outcomes[(partition, entry.key)] = entry._replace(server=self.member_id)
            return self._deliver_outcomes(now, partition)
        old = replica.table.effects.get(entry.key)
        if entry.kind is RecordKind.NEVER and old is not None and old.digest and unpack_attempt(old.digest).pinned:
            entry = entry._replace(digest=old.digest)  # this run did not; the one before may yet
        try:
            replica.table.apply(entry)
        except EffectError as error:
            return [LogLine(f"record not taken: {error}")]
        self._append(partition, replica, [entry])
        replica.flush_due_us = replica.flush_due_us or now + OUTCOME_FLUSH_DELAY_US
        return []

    def grant_units(
        self, now: int, unix: int, sender: str, ask: messages.UnitRequest, cap: int, max_clock_skew_us: int
    ) -> list[Decision]:
        """Decide on a holder's part of a limit; it is told once all backups have the record.

        ``cap`` is the limit as this member knows it, ``max_clock_skew_us`` how far clocks may be apart. Units are
        granted for windows that may still be open by another clock, but not for windows that are closed by all clocks.
        """
        replica, limit = self.replicas[ask.partition], Limit.named(ask.limit)
        rows = {
            holder: CapGrant(one.boot, int(one.result))
            for holder, one in replica.table.grants.get(ask.limit, {}).items()
        }
        over = unix > limit.until_us + max_clock_skew_us
        lost = replica.table.grants_lost_us
        unknown = lost is not None and limit.since_us <= lost + max_clock_skew_us
        wanted = 0 if over or unknown else ask.wanted
        row, left = decide_cap_grant(
            rows, sender, ask.version, ask.total, wanted, min(cap, ask.cap), len(self.map.members)
        )
        decisions: list[Decision] = []
        if row != rows.get(sender, CapGrant()):
            entry = EffectRecord(
                RecordKind.GRANT,
                ask.limit,
                limit.until_us + 2 * max_clock_skew_us + GRANT_RETENTION_US,
                sender,
                row.version,
                result=b"%d" % row.total,
            )
            replica.table.apply(entry)
            self._append(ask.partition, replica, [entry])
        told = messages.UnitGrant(ask.limit, row.version, row.total, 0 if over or unknown else left)
        replica.pending.append((replica.position, SendMessage(sender, told)))
        if ask.wanted and left <= 0:
            decisions += [
                SendMessage(holder, messages.UnitRecall(ask.limit))
                for holder, one in rows.items()
                if holder != sender and one.total
            ]
        return [
            *decisions,
            *self._replicate(now, ask.partition, replica),
            *self._release_pending(replica, ask.partition),
        ]

    # What a start after this one under its name may go on with

    def restore(self, kept: Mapping[int, tuple[int, str, Iterable[EffectRecord]]]) -> None:
        """Take what starts before kept: label, id and entries. From now on changes are noted for whoever keeps them."""
        self.changes = []
        for partition, (content_epoch, id, entries) in kept.items():
            table = EffectTable(self._window_us)
            for entry in entries:
                self._apply_or_mark_lost(Replica(PartitionAssignment(content_epoch), table), entry)
            self.kept[partition] = RestoredReplica(content_epoch, id, table)

    def claims(self) -> tuple[tuple[int, int, str], ...]:
        """Return partitions of which a start before under this name is owner or backup, as far as the map tells.

        What it kept is all that can have been started: in each epoch since its label it was the owner, or a backup
        without whose durable acknowledgement nothing starts, and such an acknowledgement would be a later label.
        """
        return tuple(
            (partition, one.content_epoch, one.id)
            for partition, one in self.kept.items()
            if partition < len(self.map.assignments)
            and one.id in (self.map.assignments[partition].owner, *self.map.assignments[partition].backups)
        )

    def _note_appended(self, partition: int, replica: Replica, entries: Iterable[EffectRecord]) -> None:
        if self.changes is None:
            return
        self.changes.append(RecordsAppended(partition, tuple(entries)))
        self._records_since_snapshot[partition] = self._records_since_snapshot.get(partition, 0) + len(
            self.changes[-1].entries
        )  # type: ignore[union-attr]
        if self._records_since_snapshot[partition] > SNAPSHOT_AFTER_RECORDS and replica.complete:
            self._note_snapshot(partition, replica)

    def _note_snapshot(self, partition: int, replica: Replica) -> None:
        if self.changes is not None:
            self._records_since_snapshot[partition] = 0
            self.changes.append(
                SnapshotReplaced(partition, replica.content_epoch, tuple(replica.table.snapshot_records(0)))
            )

    def _note_change(self, change: Change) -> None:
        if self.changes is not None:
            self.changes.append(change)

    def _append(self, partition: int, replica: Replica, entries: Iterable[EffectRecord]) -> None:
        self._note_appended(partition, replica, entries)
        for one in entries:
            replica.tail.append(one)
            replica.position += 1
        while len(replica.tail) > MAX_TAIL_RECORDS:
            replica.tail.popleft()

    # The map

    def apply_map(self, now: int, unix: int, known: FleetMap) -> list[Decision]:
        """Take a newer map."""
        if known.revision <= self.map.revision:
            return []
        self.map = known
        self.members.update((one.id, one) for one in known.members)
        while len(self.members) > max(MAX_KNOWN_MEMBERS, 2 * len(known.members)):
            del self.members[next(iter(self.members))]
        decisions: list[Decision] = []
        for partition, assignment in enumerate(known.assignments):
            decisions += self._apply_assignment(now, unix, partition, assignment)
        for key in [key for key, entry in self._undelivered_outcomes.items() if unix > entry.at_us + self._window_us]:
            del self._undelivered_outcomes[key]
        return decisions + self._deliver_outcomes(now)

    def _apply_assignment(self, now: int, unix: int, partition: int, assignment: PartitionAssignment) -> list[Decision]:
        """Take a partition's newer epoch, from the map or from its owner."""
        replica = self.replicas.get(partition)
        if replica is not None and assignment.epoch <= replica.assignment.epoch:
            return []
        mine = self.member_id in (assignment.owner, *assignment.replicas)
        if replica is None:
            if not mine:
                return []
            replica = self.replicas[partition] = Replica(assignment, EffectTable(self._window_us))
        if (
            assignment.owner == self.member_id
            and assignment.origin is Origin.KEPT
            and not replica.complete
            and partition in self.kept
        ):
            kept = self.kept.pop(partition)  # as was claimed
            replica.table, replica.content_epoch, replica.complete = kept.table, kept.content_epoch, True
            replica.assignment = PartitionAssignment(
                kept.content_epoch
            )  # a start before owned it, or nobody did: its runs are to be asked after
        old, replica.assignment = replica.assignment, assignment
        if assignment.owner == self.member_id:
            return self._become_owner(now, unix, partition, replica, old)
        decisions: list[Decision] = []
        if old.owner == self.member_id and old is not assignment:
            decisions += [RejectAttempt(item, assignment.owner) for _, item in replica.pending if isinstance(item, str)]
            # Ends that it took as the owner, and that the next one may not have: those are to be told.
            first = replica.position - len(replica.tail) + 1
            for position, entry in enumerate(replica.tail, first):
                if entry.kind in (
                    RecordKind.OUTCOME,
                    RecordKind.FAILED,
                    RecordKind.NEVER,
                ) and position > replica.acked.get(assignment.owner, -1):
                    self._undelivered_outcomes[(partition, entry.key)] = entry._replace(server=self.member_id)
        replica.pending.clear()
        replica.transfers.clear()
        if not mine:
            del self.replicas[partition]
            self._note_change(ReplicaDropped(partition))
        elif (
            self.member_id not in assignment.backups
            and self.member_id not in old.backups
            and old.owner != self.member_id
        ):
            replica.complete = False  # joining: nothing it may have from before counts until it has all
            if partition not in self.kept:
                self._note_change(ReplicaDropped(partition))
        return decisions

    def _become_owner(
        self, now: int, unix: int, partition: int, replica: Replica, old: PartitionAssignment
    ) -> list[Decision]:
        """Begin an epoch as owner."""
        assignment, again = replica.assignment, old.owner == self.member_id and replica.complete
        decisions: list[Decision] = []
        if not again and not (replica.complete and assignment.origin is Origin.KEPT):
            replica.table, replica.position, replica.content_epoch = EffectTable(self._window_us), 0, -1
            if assignment.origin is not Origin.NEW:
                replica.table.apply(EffectRecord(RecordKind.LOST, "", unix))
                decisions.append(
                    LogLine(
                        f"partition {partition}: its records are lost: its charges are in doubt for "
                        f"{self._window_us / 1e6:.0f} s"
                    )
                )
        replica.base, replica.content_epoch, replica.complete = (
            (replica.content_epoch, replica.position),
            assignment.epoch,
            True,
        )
        if again:
            self._note_change(EpochChanged(partition, assignment.epoch))
        else:
            self._note_snapshot(partition, replica)
        replica.transfers.clear()
        replica.required_joiners = {
            id: since for id, since in replica.required_joiners.items() if id in assignment.joining and again
        }
        if again:
            replica.acked = {id: one for id, one in replica.acked.items() if id in assignment.replicas}
        else:
            replica.tail.clear()
            replica.acked, replica.pending = {}, deque()
            replica.act_after_us = replica.next_query_us = 0
            replica.owned_since_us = now
            self.taken_over += 1
            # A run of its own, from when it owned this before, may have ended unknown meanwhile: a server can tell.
            replica.unresolved_runs = {
                said.id: one.key
                for one in replica.table.in_doubt(unix)
                if one.server
                for said in (unpack_attempt(one.digest),)
                if one.server != self.member_id or said.server_ref
            }
            decisions += self._settle_own_runs(now, unix, partition, replica)
            if assignment.previous_owner:  # whose lease may last as long as one that was granted just now
                replica.act_after_us = now + int(self.settings.lease_us * (1 + 2 * self.settings.drift)) + 1
                decisions += self._query_previous_owner(partition, assignment)
        replica.sent, replica.sent_us = {}, {}
        decisions += self._replicate(now, partition, replica)
        return (
            decisions
            + self._release_pending(replica, partition)
            + self._query_unresolved(now, unix, partition, replica)
        )

    @staticmethod
    def _query_previous_owner(partition: int, assignment: PartitionAssignment) -> list[Decision]:
        return (
            [SendMessage(assignment.previous_owner, messages.EpochQuery(partition, assignment))]
            if assignment.previous_owner not in ("", MULTIPLE_OWNERS)
            else []
        )

    def _settle_own_runs(self, now: int, unix: int, partition: int, replica: Replica) -> list[Decision]:
        """Take the ends of runs of one's own that no owner in between was told."""
        found: list[Decision] = []
        for key in [key for part, key in self._undelivered_outcomes if part == partition]:
            entry, effect = self._undelivered_outcomes.pop((partition, key)), replica.table.get(key, unix)
            if effect is not None and effect.state is EffectState.IN_DOUBT and effect.server == self.member_id:
                found += self._settle(now, partition, replica, effect, entry.kind, entry.result, unix)
        return found

    # The owner's side

    def _replicate(self, now: int, partition: int, replica: Replica) -> list[Decision]:
        """Send each copy what it has not been sent: the epoch's base first, entries, or all of it."""
        said: list[Decision] = []
        replica.flush_due_us = 0
        for id in replica.assignment.replicas:
            if id not in replica.sent:
                replica.sent[id], replica.sent_us[id] = -1, now
                said.append(SendMessage(id, messages.EpochBase(partition, replica.assignment, *replica.base)))
            elif id in replica.transfers:
                said += self._send_chunks(now, partition, replica, id)
            elif replica.sent[id] >= 0:
                said += self._send_records(now, partition, replica, id)
        return said

    def _send_records(self, now: int, partition: int, replica: Replica, id: str) -> list[Decision]:
        entries = replica.records_after(replica.sent[id])
        if entries is None:
            return self._start_transfer(now, partition, replica, id)
        said: list[Decision] = []
        position = replica.sent[id]
        for part in split_records(entries):
            said.append(SendMessage(id, messages.AppendRecords(partition, replica.assignment.epoch, position, part)))
            position += len(part)
        if said:
            replica.sent[id], replica.sent_us[id] = position, now
        return said

    def _start_transfer(self, now: int, partition: int, replica: Replica, id: str) -> list[Decision]:
        replica.transfers[id] = SnapshotTransfer(
            replica.position, split_records(replica.table.snapshot_records(0)) or [()]
        )
        replica.sent[id] = replica.position
        return self._send_chunks(now, partition, replica, id)

    def _send_chunks(self, now: int, partition: int, replica: Replica, id: str) -> list[Decision]:
        one = replica.transfers[id]
        said: list[Decision] = []
        while one.sent < min(len(one.chunks), one.acked + MAX_UNACKED_CHUNKS):
            said.append(
                SendMessage(
                    id,
                    messages.SnapshotChunk(
                        partition,
                        replica.assignment.epoch,
                        one.position,
                        one.sent,
                        len(one.chunks),
                        one.chunks[one.sent],
                    ),
                )
            )
            one.sent += 1
            one.sent_us = now
        return said

    def _release_pending(self, replica: Replica, partition: int) -> list[Decision]:
        """Release what waited for records that all backups now have."""
        backups = replica.assignment.backups
        if len(backups) < self.settings.min_backups:
            return []
        everywhere = min(
            (replica.acked.get(id, -1) for id in (*backups, *replica.required_joiners)), default=replica.position
        )
        found: list[Decision] = []
        while replica.pending and replica.pending[0][0] <= everywhere:
            item = replica.pending.popleft()[1]
            found.append(
                StartRun(item, (partition, replica.assignment.epoch, self.member_id)) if isinstance(item, str) else item
            )
        return found

    def handle_ack(self, now: int, sender: str, message: messages.RecordsAck) -> list[Decision]:
        """Take an acknowledgement."""
        replica = self.replicas.get(message.partition)
        if (
            replica is None
            or replica.assignment.owner != self.member_id
            or message.epoch != replica.assignment.epoch
            or sender not in replica.assignment.replicas
        ):
            return []
        if message.position < 0:
            return [] if sender in replica.transfers else self._start_transfer(now, message.partition, replica, sender)
        replica.transfers.pop(sender, None)
        replica.acked[sender] = max(replica.acked.get(sender, -1), message.position)
        replica.sent[sender] = max(replica.sent.get(sender, -1), message.position)
        replica.sent_us[sender] = now
        if (
            sender in replica.assignment.joining
            and sender not in replica.required_joiners
            and message.position >= replica.position - MAX_RECORDS_PER_MESSAGE
        ):
            replica.required_joiners[sender] = replica.position  # from here on nothing starts that it has not
        return [
            *self._release_pending(replica, message.partition),
            *self._send_records(now, message.partition, replica, sender),
        ]

    def handle_chunk_ack(self, now: int, sender: str, message: messages.ChunkAck) -> list[Decision]:
        """Take the acknowledgement of a chunk."""
        replica = self.replicas.get(message.partition)
        one = (
            replica.transfers.get(sender) if replica is not None and message.epoch == replica.assignment.epoch else None
        )
        if replica is None or one is None or one.position != message.position:
            return []
        one.acked = max(one.acked, message.index + 1)
        return self._send_chunks(now, message.partition, replica, sender)

    def synced_joiners(self) -> tuple[tuple[int, int, str], ...]:
        """Return the joining members that have all records of what was started, and of what will be."""
        return tuple(
            (partition, replica.assignment.epoch, id)
            for partition, replica in self.replicas.items()
            if replica.assignment.owner == self.member_id
            for id, since in replica.required_joiners.items()
            if replica.acked.get(id, -1) >= since
        )

    # A copy's side

    def handle_base(self, now: int, unix: int, sender: str, message: messages.EpochBase) -> list[Decision]:
        """Take the beginning of an owner's epoch."""
        decisions = self._apply_assignment(now, unix, message.partition, message.assignment)
        replica = self.replicas.get(message.partition)
        if (
            replica is None
            or replica.assignment.epoch != message.assignment.epoch
            or replica.assignment.owner != sender
        ):
            return [*decisions, *self._reply_stale(message.partition, sender)]
        # Else it keeps what it has until all of it came: nothing starts in this epoch that it did not take.
        if (
            replica.content_epoch != message.assignment.epoch
            and replica.complete
            and replica.content_epoch == message.content_epoch
            and replica.position <= message.position
        ):
            replica.content_epoch = message.assignment.epoch
            self._note_change(EpochChanged(message.partition, replica.content_epoch))
        return [*decisions, self._acknowledge(message.partition, replica, sender)]

    def _acknowledge(self, partition: int, replica: Replica, owner: str) -> SendMessage:
        replica.owes_ack = False
        good = replica.complete and replica.content_epoch == replica.assignment.epoch
        return SendMessage(
            owner, messages.RecordsAck(partition, replica.assignment.epoch, replica.position if good else -1)
        )

    def _reply_stale(self, partition: int, sender: str) -> list[Decision]:
        assignment = (
            self.replicas[partition].assignment
            if partition in self.replicas
            else (self.map.assignments[partition] if partition < len(self.map.assignments) else None)
        )
        return [SendMessage(sender, messages.StaleEpoch(partition, assignment))] if assignment is not None else []

    def handle_records(self, sender: str, message: messages.AppendRecords) -> list[Decision]:
        """Take entries; none of an epoch that is over."""
        replica = self.replicas.get(message.partition)
        if replica is None or message.epoch != replica.assignment.epoch or sender != replica.assignment.owner:
            newer = replica is not None and replica.assignment.epoch > message.epoch or replica is None
            return self._reply_stale(message.partition, sender) if newer else []
        if (
            replica.content_epoch == replica.assignment.epoch
            and replica.complete
            and message.position <= replica.position
        ):
            taken = [
                self._apply_or_mark_lost(replica, entry)
                for entry in message.entries[replica.position - message.position :]
            ]
            replica.position += len(taken)
            if taken:
                self._note_appended(message.partition, replica, taken)
            if all(one.kind not in BLOCKING_KINDS for one in message.entries):
                replica.owes_ack = True
                return []
        return [self._acknowledge(message.partition, replica, sender)]

    @staticmethod
    def _apply_or_mark_lost(replica: Replica, entry: EffectRecord) -> EffectRecord:
        try:
            replica.table.apply(entry)
        except EffectError:  # its owner knew better: the key is in doubt here, and never free
            entry = EffectRecord(RecordKind.LOST, entry.key, entry.at_us)
            replica.table.apply(entry)
        return entry

    def handle_chunk(self, sender: str, message: messages.SnapshotChunk) -> list[Decision]:
        """Take a part of all records; with the last one this copy has them."""
        replica = self.replicas.get(message.partition)
        if replica is None or message.epoch != replica.assignment.epoch or sender != replica.assignment.owner:
            return (
                self._reply_stale(message.partition, sender)
                if replica is None or replica.assignment.epoch > message.epoch
                else []
            )
        if replica.complete and replica.content_epoch == replica.assignment.epoch:
            return [self._acknowledge(message.partition, replica, sender)]
        if replica.staged_position != (message.epoch, message.position):
            replica.staged_chunks, replica.staged_position = {}, (message.epoch, message.position)
        replica.staged_chunks[message.index] = message.entries
        if len(replica.staged_chunks) < message.count:
            return [
                SendMessage(
                    sender, messages.ChunkAck(message.partition, message.epoch, message.position, message.index)
                )
            ]
        replica.table = EffectTable(self._window_us)
        for index in range(message.count):
            for entry in replica.staged_chunks[index]:
                self._apply_or_mark_lost(replica, entry)
        replica.staged_chunks, replica.staged_position = {}, (-1, -1)
        replica.content_epoch, replica.position, replica.complete = message.epoch, message.position, True
        self.kept.pop(message.partition, None)
        self._note_snapshot(message.partition, replica)
        return [self._acknowledge(message.partition, replica, sender)]

    def handle_stale(self, now: int, unix: int, message: messages.StaleEpoch) -> list[Decision]:
        """Learn that an epoch is over."""
        return self._apply_assignment(now, unix, message.partition, message.assignment)

    # What owners before ran

    def _query_unresolved(self, now: int, unix: int, partition: int, replica: Replica) -> list[Decision]:
        """Ask the kernels of owners before after what they may have run."""
        if replica.assignment.owner != self.member_id or now < replica.next_query_us:
            return []
        replica.next_query_us = now + KERNEL_QUERY_INTERVAL_US
        by: dict[str, list[str]] = {}
        found: list[Decision] = []
        for run, key in list(replica.unresolved_runs.items()):
            effect = replica.table.get(key, unix)
            if effect is None or effect.state is not EffectState.IN_DOUBT or not effect.server:
                del replica.unresolved_runs[run]
            elif (said := unpack_attempt(effect.digest)).server_ref:
                replica.next_query_us = (
                    now + SERVER_QUERY_INTERVAL_US
                )  # a server tells how it stands now, not when it ends
                if len(found) < MAX_RECORDS_PER_MESSAGE:
                    found.append(QueryServer(partition, replica.assignment.epoch, said))
            elif self.can_query(effect):
                by.setdefault(effect.server, []).append(run)
        return found + [
            FenceKernel(
                self.members[server],
                partition,
                replica.assignment.epoch,
                tuple(runs[first : first + MAX_RECORDS_PER_MESSAGE]),
            )
            for server, runs in by.items()
            for first in range(0, len(runs), MAX_RECORDS_PER_MESSAGE)
        ]

    def can_query(self, effect: Effect) -> bool:
        """Tell whether there is a server or a kernel that could say what became of an effect in doubt."""
        return bool(effect.digest and unpack_attempt(effect.digest).server_ref) or (
            effect.server in self.members and bool(self.members[effect.server].kernel)
        )

    def handle_run_fate(
        self,
        now: int,
        partition: int,
        epoch: int,
        run: str,
        kind: RecordKind,
        result: bytes,
        unix: int,
        fenced: bool = True,
    ) -> list[Decision]:
        """Take the word on a run of an owner before, or on one of one's own that is asked after.

        It ran, failed, or has not run. That it never will is proven where whoever said so takes nothing of an earlier
        epoch any more (``fenced``) and the run is of one.
        """
        replica = self.replicas.get(partition)
        if replica is None or replica.assignment.owner != self.member_id or epoch > replica.assignment.epoch:
            return []
        effect = replica.table.get(replica.unresolved_runs.get(run, ""), unix)
        if effect is None or effect.state is not EffectState.IN_DOUBT or not effect.server:
            return []
        return self._settle(
            now, partition, replica, effect, kind, result, unix, fenced and effect.server != self.member_id
        )

    def _settle(
        self,
        now: int,
        partition: int,
        replica: Replica,
        effect: Effect,
        kind: RecordKind,
        result: bytes,
        unix: int,
        proven: bool = True,
    ) -> list[Decision]:
        said, notes = unpack_attempt(effect.digest), []
        entry = EffectRecord(kind, effect.key, max(unix, effect.at_us), result=result)
        if kind is RecordKind.NEVER:
            lost_owners = said.lost_owners + (effect.server != self.member_id)
            kept = (
                said._replace(lost_owners=lost_owners, pinned=True)
                if not proven
                else said._replace(lost_owners=lost_owners, server_ref="", pinned=False)
            )
            entry = entry._replace(digest=pack_attempt(kept))
            if lost_owners >= MAX_LOST_OWNERS:  # whoever takes it up is lost: nobody does any more
                kind, entry = RecordKind.FAILED, EffectRecord(RecordKind.FAILED, effect.key, entry.at_us)
                notes.append(
                    LogLine(f"key {said.key} is refused from now on: {MAX_LOST_OWNERS} owners were lost with it")
                )
        replica.table.apply(entry)
        replica.unresolved_runs.pop(said.id, None)
        self._append(partition, replica, [entry])
        state = {
            RecordKind.OUTCOME: EffectState.DONE,
            RecordKind.FAILED: EffectState.FAILED,
            RecordKind.NEVER: EffectState.FREE,
        }[kind]
        self.adopted += kind is not RecordKind.NEVER
        self.freed += kind is RecordKind.NEVER
        return [*notes, RunResolved(effect.key, said.id, state, result), *self._replicate(now, partition, replica)]

    def handle_outcome(self, now: int, unix: int, sender: str, message: messages.OutcomeReport) -> list[Decision]:
        """Take the end of a run from the one that ran it as owner before."""
        replica = self.replicas.get(message.partition)
        if replica is None or replica.assignment.owner != self.member_id or not replica.complete:
            return []
        effect = replica.table.get(message.entry.key, message.entry.at_us)
        thanks = SendMessage(sender, messages.OutcomeAck(message.partition, message.entry.key))
        if effect is None or effect.state is not EffectState.IN_DOUBT or effect.server != sender:
            return [thanks]
        return [
            thanks,
            *self._settle(now, message.partition, replica, effect, message.entry.kind, message.entry.result, unix),
        ]

    def handle_outcome_ack(self, message: messages.OutcomeAck) -> None:
        """Forget an end that the owner knows."""
        self._undelivered_outcomes.pop((message.partition, message.key), None)

    def _deliver_outcomes(self, now: int, only: int | None = None) -> list[Decision]:
        """Tell owners what became of runs of one's own."""
        found: list[Decision] = []
        for (partition, _), entry in self._undelivered_outcomes.items():
            owner = self.map.assignments[partition].owner if partition < len(self.map.assignments) else ""
            if owner not in ("", self.member_id) and only in (None, partition):
                found.append(SendMessage(owner, messages.OutcomeReport(partition, entry)))
        if only is None:
            self._next_delivery_us = now + KERNEL_QUERY_INTERVAL_US // 2
        return found[:MAX_RECORDS_PER_MESSAGE]

    def handle_epoch_query(self, now: int, unix: int, sender: str, message: messages.EpochQuery) -> list[Decision]:
        """Learn from a new owner that one's epoch is over, and say so."""
        decisions = self._apply_assignment(now, unix, message.partition, message.assignment)
        known = self.replicas.get(message.partition)
        if known is None or known.assignment.owner != self.member_id:
            decisions.append(SendMessage(sender, messages.EpochSeen(message.partition, message.assignment.epoch)))
        return decisions

    def handle_epoch_seen(self, sender: str, message: messages.EpochSeen) -> None:
        """Take that the owner before knows that it is over."""
        replica = self.replicas.get(message.partition)
        if (
            replica is not None
            and replica.assignment.epoch == message.epoch
            and replica.assignment.previous_owner == sender
        ):
            replica.act_after_us = 0

    # Time

    def has_pending_work(self, now: int) -> bool:
        """Tell whether something here waits for another member, or another for it."""
        return any(
            replica.owes_ack
            or replica.pending
            or now < replica.act_after_us
            or replica.assignment.owner == self.member_id
            and (
                replica.assignment.joining
                or any(replica.acked.get(id, -1) < replica.position for id in replica.assignment.replicas)
            )
            for replica in self.replicas.values()
        )

    def tick(self, now: int, unix: int) -> list[Decision]:
        """Send again what was not acknowledged, ask again, forget what is past its window."""
        found: list[Decision] = []
        for partition, replica in self.replicas.items():
            if replica.assignment.owner != self.member_id:
                if replica.owes_ack:
                    found.append(self._acknowledge(partition, replica, replica.assignment.owner))
                continue
            if replica.flush_due_us and now >= replica.flush_due_us:
                found += self._replicate(now, partition, replica)
            for id in replica.assignment.replicas:
                found += self._resend(now, partition, replica, id)
            if now < replica.act_after_us:
                found += self._query_previous_owner(partition, replica.assignment)
            found += self._query_unresolved(now, unix, partition, replica)
        if now >= self._next_delivery_us:
            found += self._deliver_outcomes(now)
        return found

    def _resend(self, now: int, partition: int, replica: Replica, id: str) -> list[Decision]:
        one = replica.transfers.get(id)
        if one is not None:
            if now - one.sent_us >= RESEND_AFTER_US:
                one.sent = one.acked
                return self._send_chunks(now, partition, replica, id)
            return []
        acked = replica.acked.get(id, -1)
        late = now - replica.sent_us.get(id, now) >= RESEND_AFTER_US
        if replica.sent.get(id, -1) < 0 and late:
            replica.sent.pop(id, None)
            return self._replicate(now, partition, replica)
        if acked < replica.sent.get(id, -1) and late:
            replica.sent[id], replica.sent_us[id] = acked, now
            if acked < 0:
                replica.sent.pop(id)
                return self._replicate(now, partition, replica)
            return self._send_records(now, partition, replica, id)
        return []

    def evict_expired(self, unix: int) -> None:
        """Forget keys past their window, at owners and copies alike."""
        for replica in self.replicas.values():
            replica.table.sweep(unix)

    def grants_status(self) -> list[dict[str, object]]:
        """Return what is out of the limits that are granted here, in plain values."""
        return [
            {
                "limit": Limit.named(name).tenant,
                "until": Limit.named(name).until_us // 1_000_000,
                "out": {holder: int(one.result) for holder, one in rows.items()},
                "unknown_before": replica.table.grants_lost_us,
            }
            for replica in self.replicas.values()
            if replica.assignment.owner == self.member_id
            for name, rows in replica.table.grants.items()
        ]

    def effects_in_doubt(self, unix: int) -> list[tuple[int, Effect]]:
        """Return what is in doubt in the partitions owned here."""
        return [
            (partition, effect)
            for partition, replica in self.replicas.items()
            if replica.assignment.owner == self.member_id
            for effect in map(replica.table.effects.get, replica.unresolved_runs.values())
            if effect is not None
        ]


def split_records(entries: list[EffectRecord]) -> list[tuple[EffectRecord, ...]]:
    """Spread entries over messages of bounded length."""
    parts: list[tuple[EffectRecord, ...]] = []
    part: list[EffectRecord] = []
    size = 0
    for one in entries:
        if part and (len(part) >= MAX_RECORDS_PER_MESSAGE or size >= MAX_BYTES_PER_MESSAGE):
            parts.append(tuple(part))
            part, size = [], 0
        part.append(one)
        size += 120 + len(one.result)
    return [*parts, tuple(part)] if part else parts
