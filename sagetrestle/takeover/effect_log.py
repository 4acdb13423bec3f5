"""Records of charges by partition: an owner's, its backups', and what a new owner does with them.

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
from sagetrestle.quota import Limit, Row, decide
from sagetrestle.recovery.effects import Effect, EffectError, EffectTable, EffectRecord, RecordKind, EffectState
from sagetrestle.takeover import messages
from sagetrestle.takeover.replica_changes import Change, Dropped, Grew, Labelled, Whole
from sagetrestle.takeover.messages import BYTES_A_MESSAGE, ENTRIES_A_MESSAGE, FleetMessage

LATE_US = 50_000  # for which the end of a run may wait for others: a run waits for intents only
AGAIN_US = 100_000  # until what was not acknowledged is sent again
ASK_EVERY_US = 1_000_000  # between questions after what an owner before may have run
INQUIRE_EVERY_US = 250_000  # the same, of servers that do not tell by themselves
TAIL = 4_096  # entries kept to bring a copy up to date without all of them
MOST_LOSSES = 2  # owners that one key may cost
WAITED_FOR = (RecordKind.INTENT, RecordKind.GRANT)  # a run, or a holder, waits for the acknowledgement of these alone
WHOLE_AFTER = 4_096  # entries, after which a copy is kept anew
CHUNKS_OUT = 4  # chunks of a transfer that are not acknowledged
MOST_PLACES = 1_000
GRANTS_KEPT_US = 120_000_000  # after a window by all clocks, for holders that are late
MOST_TOLD = 100_000  # ends of runs that an owner after this one has yet to take


class Say(NamedTuple):
    """Send a message to a member, by id."""

    to: str
    message: FleetMessage


class Start(NamedTuple):
    """A try is recorded: its run may start, with this token."""

    id: str
    token: tuple[int, int, str]  # partition, epoch, owner


class TurnAway(NamedTuple):
    """A try that waited is not to run here: another owns its partition."""

    id: str
    owner: str


class Resolved(NamedTuple):
    """What became of a run of an owner before is known; FREE: it never ran and never will."""

    key: str
    run: str
    state: EffectState
    result: bytes = b""


class Fence(NamedTuple):
    """Tell a kernel that a partition has a new epoch, and ask after these runs."""

    place: MemberInfo
    partition: int
    epoch: int
    runs: tuple[str, ...]


class Inquire(NamedTuple):
    """Ask the server where a run may be, under this epoch, what became of it."""

    partition: int
    epoch: int
    what: Marks


class Note(NamedTuple):
    """A line for the log."""

    text: str


Decision = Say | Start | TurnAway | Resolved | Fence | Inquire | Note


class Marks(NamedTuple):
    """What an entry's digest tells of its try, packed by ``mark``.

    ``losses`` counts owners that were lost with the key in hand before it had begun to run. ``where`` names the server
    that an owner which sends on sends it to; ``bound`` tells that a run before may yet reach that server, so that no
    other may have the key, though it is known never to have run so far.
    """

    id: str
    cls: str
    tenant: str
    key: str
    body: bytes  # its digest
    losses: int = 0
    where: str = ""
    bound: bool = False


def mark(what: Marks) -> bytes:
    """Pack a try's marks."""
    place = f"{'!' if what.bound else ' '}{what.where}".encode() if what.where else b""
    return b"\0".join([*(one.encode() for one in what[:4]), b"%d" % what.losses + place, what.body])


def marks(digest: bytes) -> Marks:
    """Unpack a try's marks."""
    id, cls, tenant, key, told, body = digest.split(b"\0", 5)
    digits = len(told) - len(told.lstrip(b"0123456789"))
    losses, place = int(told[:digits]), told[digits:].decode()
    return Marks(
        id.decode(), cls.decode(), tenant.decode(), key.decode(), body, losses, place[1:], place.startswith("!")
    )


@dataclass(slots=True)
class Transfer:
    """All records of a partition on their way to a copy."""

    at: int
    chunks: list[tuple[EffectRecord, ...]]
    acked: int = 0
    sent: int = 0
    sent_us: int = 0


class Kept(NamedTuple):
    """What a start before under this name kept of a partition; ``id`` is whose copy it was."""

    label: int
    id: str
    table: EffectTable


@dataclass(slots=True)
class Copy:
    """One partition here."""

    assignment: PartitionAssignment
    table: EffectTable
    label: int = -1
    at: int = 0
    complete: bool = False
    base: tuple[int, int] = (-1, 0)  # label and position from which this epoch began
    tail: deque[EffectRecord] = field(default_factory=deque)
    acked: dict[str, int] = field(default_factory=dict)  # by copies that took this epoch's base
    sent: dict[str, int] = field(default_factory=dict)  # the position up to which was sent
    sent_us: dict[str, int] = field(default_factory=dict)
    transfers: dict[str, Transfer] = field(default_factory=dict)
    asks: deque[tuple[int, str | Say]] = field(default_factory=deque)  # what waits for a record, by position
    since_us: int = 0  # when this member became its owner
    clear_us: int = 0  # until then the owner before may not know that it is over
    staged: dict[int, tuple[EffectRecord, ...]] = field(default_factory=dict)
    staged_at: tuple[int, int] = (-1, -1)  # epoch and position of what is staged
    ask_us: int = 0
    late_us: int = 0  # when ends that wait for company are sent at the latest; 0: none does
    owes: bool = False  # its owner an acknowledgement for which nothing waits
    doubts: dict[str, str] = field(default_factory=dict)  # runs of owners before that may go on, and their keys
    required: dict[str, int] = field(default_factory=dict)  # joining members that nothing starts without, and since

    def entry_after(self, at: int) -> list[EffectRecord] | None:
        """Return the entries behind a position, if the tail has them."""
        first = self.at - len(self.tail)
        return None if at < first or at > self.at else list(self.tail)[at - first :]


class Books:
    """All partitions at one member."""

    def __init__(self, me: str, settings: FleetSettings, window_us: int) -> None:
        self.me, self.settings, self._window_us = me, settings, window_us
        self.map = FleetMap()
        self.replicas: dict[int, Copy] = {}
        self._telling: dict[tuple[int, str], EffectRecord] = {}  # ends of runs whose partition has another owner now
        self._tell_us = 0
        self.changes: list[Change] | None = None  # since they were taken, where somebody keeps them
        self._grown: dict[int, int] = {}  # entries since a copy was written whole
        self.kept: dict[int, Kept] = {}  # of starts before under this name
        self.places: dict[
            str, MemberInfo
        ] = {}  # members that are or were, as long as a run of theirs may be asked after
        self.taken_over = self.adopted = self.freed = 0

    # What the scorer asks

    def assignment_of(self, key: str) -> tuple[int, PartitionAssignment]:
        """Return a key's partition and its share as known here."""
        at, assignment = self.map.assignment_of(key)
        copy = self.replicas.get(at)
        return at, copy.assignment if copy is not None and copy.assignment.epoch > assignment.epoch else assignment

    def owns(self, at: int, now: int) -> bool:
        """Tell whether this member may act as the owner, its lease aside."""
        copy = self.replicas.get(at)
        return copy is not None and copy.assignment.owner == self.me and copy.complete and now >= copy.clear_us

    def known(self, at: int, effect_key: str, unix: int) -> Effect | None:
        """Return what is known of a key whose try arrived at ``unix``."""
        copy = self.replicas.get(at)
        return copy.table.get(effect_key, unix) if copy is not None else None

    def recordable(self, at: int) -> bool:
        """Tell whether enough members hold records for a new charge."""
        copy = self.replicas.get(at)
        return copy is not None and len(copy.assignment.backups) >= self.settings.min_backups

    def last_attempt(self, at: int, effect_key: str) -> Marks | None:
        """Return what is kept of a key that never ran so far: what it cost, and where it may yet run."""
        effect = self.replicas[at].table.effects.get(effect_key) if at in self.replicas else None
        return (
            marks(effect.digest) if effect is not None and effect.state is EffectState.FREE and effect.digest else None
        )

    def goes_on(self, at: int, effect: Effect) -> bool:
        """Tell whether an effect in doubt is a run of this member's that it will hear the end of."""
        return effect.server == self.me and marks(effect.digest).id not in self.replicas[at].doubts

    def doubtful(self, now: int, unix: int, at: int, effect_key: str) -> list[Decision]:
        """Take that a run of one's own is over and that its end is not known: it is asked after from now on."""
        copy = self.replicas.get(at)
        effect = copy.table.get(effect_key, unix) if copy is not None else None
        if (
            copy is None
            or copy.assignment.owner != self.me
            or effect is None
            or effect.state is not EffectState.IN_DOUBT
            or effect.server != self.me
        ):
            return []  # whoever owns it now asks after it
        copy.doubts[marks(effect.digest).id], copy.ask_us = effect_key, 0
        return self._ask(now, unix, at, copy)

    def record(self, now: int, at: int, id: str, entry: EffectRecord) -> list[Decision]:
        """Record an intent; ``Start`` follows once all backups have it. Raises EffectError."""
        copy = self.replicas[at]
        entries = [entry]
        if copy.table.state_of(entry.key, entry.at_us) is not EffectState.FREE:
            raise EffectError(f"key {entry.key!r}: is recorded already")
        copy.table.apply(entry)
        self._extend(at, copy, entries)
        copy.asks.append((copy.at, id))
        return [*self._stream(now, at, copy), *self._started(copy, at)]

    def ended(self, now: int, at: int, entry: EffectRecord) -> list[Decision]:
        """Take what became of a run of one's own: recorded here, or told to who owns it now."""
        copy = self.replicas.get(at)
        if copy is None or copy.assignment.owner != self.me or not copy.complete:
            if len(self._telling) < MOST_TOLD:
                self._telling[(at, entry.key)] = entry._replace(server=self.me)
            return self._tell(now, at)
        old = copy.table.effects.get(entry.key)
        if entry.kind is RecordKind.NEVER and old is not None and old.digest and marks(old.digest).bound:
            entry = entry._replace(digest=old.digest)  # this run did not; the one before may yet
        try:
            copy.table.apply(entry)
        except EffectError as error:
            return [Note(f"record not taken: {error}")]
        self._extend(at, copy, [entry])
        copy.late_us = copy.late_us or now + LATE_US
        return []

    def units(
        self, now: int, unix: int, sender: str, ask: messages.AskUnits, cap: int, max_clock_skew_us: int
    ) -> list[Decision]:
        """Decide on a holder's part of a limit; it is told once all backups have the record.

        ``cap`` is the limit as this member knows it, ``max_clock_skew_us`` how far clocks may be apart. Units are
        granted for windows that may still be open by another clock, but not for windows that are closed by all clocks.
        """
        copy, limit = self.replicas[ask.partition], Limit.named(ask.limit)
        rows = {holder: Row(one.boot, int(one.result)) for holder, one in copy.table.grants.get(ask.limit, {}).items()}
        over = unix > limit.until_us + max_clock_skew_us
        lost = copy.table.grants_lost_us
        unknown = lost is not None and limit.since_us <= lost + max_clock_skew_us
        wanted = 0 if over or unknown else ask.wanted
        row, left = decide(rows, sender, ask.version, ask.total, wanted, min(cap, ask.cap), len(self.map.places))
        decisions: list[Decision] = []
        if row != rows.get(sender, Row()):
            entry = EffectRecord(
                RecordKind.GRANT,
                ask.limit,
                limit.until_us + 2 * max_clock_skew_us + GRANTS_KEPT_US,
                sender,
                row.version,
                result=b"%d" % row.total,
            )
            copy.table.apply(entry)
            self._extend(ask.partition, copy, [entry])
        told = messages.ToldUnits(ask.limit, row.version, row.total, 0 if over or unknown else left)
        copy.asks.append((copy.at, Say(sender, told)))
        if ask.wanted and left <= 0:
            decisions += [
                Say(holder, messages.RecallUnits(ask.limit))
                for holder, one in rows.items()
                if holder != sender and one.total
            ]
        return [*decisions, *self._stream(now, ask.partition, copy), *self._started(copy, ask.partition)]

    # What a start after this one under its name may go on with

    def restore(self, kept: Mapping[int, tuple[int, str, Iterable[EffectRecord]]]) -> None:
        """Take what starts before kept: label, id and entries. From now on changes are noted for whoever keeps them."""
        self.changes = []
        for at, (label, id, entries) in kept.items():
            table = EffectTable(self._window_us)
            for entry in entries:
                self._take(Copy(PartitionAssignment(label), table), entry)
            self.kept[at] = Kept(label, id, table)

    def claims(self) -> tuple[tuple[int, int, str], ...]:
        """Return partitions of which a start before under this name is owner or backup, as far as the map tells.

        What it kept is all that can have been started: in each epoch since its label it was the owner, or a backup
        without whose durable acknowledgement nothing starts, and such an acknowledgement would be a later label.
        """
        return tuple(
            (at, one.label, one.id)
            for at, one in self.kept.items()
            if at < len(self.map.assignments)
            and one.id in (self.map.assignments[at].owner, *self.map.assignments[at].backups)
        )

    def _grew(self, at: int, copy: Copy, entries: Iterable[EffectRecord]) -> None:
        if self.changes is None:
            return
        self.changes.append(Grew(at, tuple(entries)))
        self._grown[at] = self._grown.get(at, 0) + len(self.changes[-1].entries)  # type: ignore[union-attr]
        if self._grown[at] > WHOLE_AFTER and copy.complete:
            self._note_whole(at, copy)

    def _note_whole(self, at: int, copy: Copy) -> None:
        if self.changes is not None:
            self._grown[at] = 0
            self.changes.append(Whole(at, copy.label, tuple(copy.table.snapshot_records(0))))

    def _note(self, change: Change) -> None:
        if self.changes is not None:
            self.changes.append(change)

    def _extend(self, at: int, copy: Copy, entries: Iterable[EffectRecord]) -> None:
        self._grew(at, copy, entries)
        for one in entries:
            copy.tail.append(one)
            copy.at += 1
        while len(copy.tail) > TAIL:
            copy.tail.popleft()

    # The map

    def see(self, now: int, unix: int, known: FleetMap) -> list[Decision]:
        """Take a newer map."""
        if known.revision <= self.map.revision:
            return []
        self.map = known
        self.places.update((one.id, one) for one in known.places)
        while len(self.places) > max(MOST_PLACES, 2 * len(known.places)):
            del self.places[next(iter(self.places))]
        decisions: list[Decision] = []
        for at, assignment in enumerate(known.assignments):
            decisions += self._share(now, unix, at, assignment)
        for key in [key for key, entry in self._telling.items() if unix > entry.at_us + self._window_us]:
            del self._telling[key]
        return decisions + self._tell(now)

    def _share(self, now: int, unix: int, at: int, assignment: PartitionAssignment) -> list[Decision]:
        """Take a partition's newer epoch, from the map or from its owner."""
        copy = self.replicas.get(at)
        if copy is not None and assignment.epoch <= copy.assignment.epoch:
            return []
        mine = self.me in (assignment.owner, *assignment.replicas)
        if copy is None:
            if not mine:
                return []
            copy = self.replicas[at] = Copy(assignment, EffectTable(self._window_us))
        if assignment.owner == self.me and assignment.origin is Origin.KEPT and not copy.complete and at in self.kept:
            kept = self.kept.pop(at)  # as was claimed
            copy.table, copy.label, copy.complete = kept.table, kept.label, True
            copy.assignment = PartitionAssignment(
                kept.label
            )  # a start before owned it, or nobody did: its runs are to be asked after
        old, copy.assignment = copy.assignment, assignment
        if assignment.owner == self.me:
            return self._own(now, unix, at, copy, old)
        decisions: list[Decision] = []
        if old.owner == self.me and old is not assignment:
            decisions += [TurnAway(what, assignment.owner) for _, what in copy.asks if isinstance(what, str)]
            # Ends that it took as the owner, and that the next one may not have: those are to be told.
            first = copy.at - len(copy.tail) + 1
            for place, entry in enumerate(copy.tail, first):
                if entry.kind in (RecordKind.OUTCOME, RecordKind.FAILED, RecordKind.NEVER) and place > copy.acked.get(
                    assignment.owner, -1
                ):
                    self._telling[(at, entry.key)] = entry._replace(server=self.me)
        copy.asks.clear()
        copy.transfers.clear()
        if not mine:
            del self.replicas[at]
            self._note(Dropped(at))
        elif self.me not in assignment.backups and self.me not in old.backups and old.owner != self.me:
            copy.complete = False  # joining: nothing it may have from before counts until it has all
            if at not in self.kept:
                self._note(Dropped(at))
        return decisions

    def _own(self, now: int, unix: int, at: int, copy: Copy, old: PartitionAssignment) -> list[Decision]:
        """Begin an epoch as owner."""
        assignment, again = copy.assignment, old.owner == self.me and copy.complete
        decisions: list[Decision] = []
        if not again and not (copy.complete and assignment.origin is Origin.KEPT):
            copy.table, copy.at, copy.label = EffectTable(self._window_us), 0, -1
            if assignment.origin is not Origin.NEW:
                copy.table.apply(EffectRecord(RecordKind.LOST, "", unix))
                decisions.append(
                    Note(
                        f"partition {at}: its records are lost: its charges are in doubt for "
                        f"{self._window_us / 1e6:.0f} s"
                    )
                )
        copy.base, copy.label, copy.complete = (copy.label, copy.at), assignment.epoch, True
        if again:
            self._note(Labelled(at, assignment.epoch))
        else:
            self._note_whole(at, copy)
        copy.transfers.clear()
        copy.required = {id: since for id, since in copy.required.items() if id in assignment.joining and again}
        if again:
            copy.acked = {id: one for id, one in copy.acked.items() if id in assignment.replicas}
        else:
            copy.tail.clear()
            copy.acked, copy.asks = {}, deque()
            copy.clear_us = copy.ask_us = 0
            copy.since_us = now
            self.taken_over += 1
            # A run of its own, from when it owned this before, may have ended unknown meanwhile: a server can tell.
            copy.doubts = {
                said.id: one.key
                for one in copy.table.in_doubt(unix)
                if one.server
                for said in (marks(one.digest),)
                if one.server != self.me or said.where
            }
            decisions += self._own_ends(now, unix, at, copy)
            if assignment.previous_owner:  # whose lease may last as long as one that was granted just now
                copy.clear_us = now + int(self.settings.lease_us * (1 + 2 * self.settings.drift)) + 1
                decisions += self._ask_seen(at, assignment)
        copy.sent, copy.sent_us = {}, {}
        decisions += self._stream(now, at, copy)
        return decisions + self._started(copy, at) + self._ask(now, unix, at, copy)

    @staticmethod
    def _ask_seen(at: int, assignment: PartitionAssignment) -> list[Decision]:
        return (
            [Say(assignment.previous_owner, messages.AskSeen(at, assignment))]
            if assignment.previous_owner not in ("", MULTIPLE_OWNERS)
            else []
        )

    def _own_ends(self, now: int, unix: int, at: int, copy: Copy) -> list[Decision]:
        """Take the ends of runs of one's own that no owner in between was told."""
        found: list[Decision] = []
        for key in [key for part, key in self._telling if part == at]:
            entry, effect = self._telling.pop((at, key)), copy.table.get(key, unix)
            if effect is not None and effect.state is EffectState.IN_DOUBT and effect.server == self.me:
                found += self._settle(now, at, copy, effect, entry.kind, entry.result, unix)
        return found

    # The owner's side

    def _stream(self, now: int, at: int, copy: Copy) -> list[Decision]:
        """Send each copy what it has not been sent: the epoch's base first, entries, or all of it."""
        said: list[Decision] = []
        copy.late_us = 0
        for id in copy.assignment.replicas:
            if id not in copy.sent:
                copy.sent[id], copy.sent_us[id] = -1, now
                said.append(Say(id, messages.Base(at, copy.assignment, *copy.base)))
            elif id in copy.transfers:
                said += self._feed(now, at, copy, id)
            elif copy.sent[id] >= 0:
                said += self._send(now, at, copy, id)
        return said

    def _send(self, now: int, at: int, copy: Copy, id: str) -> list[Decision]:
        entries = copy.entry_after(copy.sent[id])
        if entries is None:
            return self._transfer(now, at, copy, id)
        said: list[Decision] = []
        place = copy.sent[id]
        for part in in_parts(entries):
            said.append(Say(id, messages.Records(at, copy.assignment.epoch, place, part)))
            place += len(part)
        if said:
            copy.sent[id], copy.sent_us[id] = place, now
        return said

    def _transfer(self, now: int, at: int, copy: Copy, id: str) -> list[Decision]:
        copy.transfers[id] = Transfer(copy.at, in_parts(copy.table.snapshot_records(0)) or [()])
        copy.sent[id] = copy.at
        return self._feed(now, at, copy, id)

    def _feed(self, now: int, at: int, copy: Copy, id: str) -> list[Decision]:
        one = copy.transfers[id]
        said: list[Decision] = []
        while one.sent < min(len(one.chunks), one.acked + CHUNKS_OUT):
            said.append(
                Say(
                    id,
                    messages.Chunk(at, copy.assignment.epoch, one.at, one.sent, len(one.chunks), one.chunks[one.sent]),
                )
            )
            one.sent += 1
            one.sent_us = now
        return said

    def _started(self, copy: Copy, at: int) -> list[Decision]:
        """Start what all backups have."""
        backups = copy.assignment.backups
        if len(backups) < self.settings.min_backups:
            return []
        everywhere = min((copy.acked.get(id, -1) for id in (*backups, *copy.required)), default=copy.at)
        found: list[Decision] = []
        while copy.asks and copy.asks[0][0] <= everywhere:
            what = copy.asks.popleft()[1]
            found.append(Start(what, (at, copy.assignment.epoch, self.me)) if isinstance(what, str) else what)
        return found

    def recorded(self, now: int, sender: str, what: messages.Recorded) -> list[Decision]:
        """Take an acknowledgement."""
        copy = self.replicas.get(what.partition)
        if (
            copy is None
            or copy.assignment.owner != self.me
            or what.epoch != copy.assignment.epoch
            or sender not in copy.assignment.replicas
        ):
            return []
        if what.at < 0:
            return [] if sender in copy.transfers else self._transfer(now, what.partition, copy, sender)
        copy.transfers.pop(sender, None)
        copy.acked[sender] = max(copy.acked.get(sender, -1), what.at)
        copy.sent[sender] = max(copy.sent.get(sender, -1), what.at)
        copy.sent_us[sender] = now
        if sender in copy.assignment.joining and sender not in copy.required and what.at >= copy.at - ENTRIES_A_MESSAGE:
            copy.required[sender] = copy.at  # from here on nothing starts that it has not
        return [*self._started(copy, what.partition), *self._send(now, what.partition, copy, sender)]

    def fed(self, now: int, sender: str, what: messages.Fed) -> list[Decision]:
        """Take the acknowledgement of a chunk."""
        copy = self.replicas.get(what.partition)
        one = copy.transfers.get(sender) if copy is not None and what.epoch == copy.assignment.epoch else None
        if copy is None or one is None or one.at != what.at:
            return []
        one.acked = max(one.acked, what.index + 1)
        return self._feed(now, what.partition, copy, sender)

    def synced(self) -> tuple[tuple[int, int, str], ...]:
        """Return the joining members that have all records of what was started, and of what will be."""
        return tuple(
            (at, copy.assignment.epoch, id)
            for at, copy in self.replicas.items()
            if copy.assignment.owner == self.me
            for id, since in copy.required.items()
            if copy.acked.get(id, -1) >= since
        )

    # A copy's side

    def based(self, now: int, unix: int, sender: str, what: messages.Base) -> list[Decision]:
        """Take the beginning of an owner's epoch."""
        decisions = self._share(now, unix, what.partition, what.assignment)
        copy = self.replicas.get(what.partition)
        if copy is None or copy.assignment.epoch != what.assignment.epoch or copy.assignment.owner != sender:
            return [*decisions, *self._stale(what.partition, sender)]
        # Else it keeps what it has until all of it came: nothing starts in this epoch that it did not take.
        if copy.label != what.assignment.epoch and copy.complete and copy.label == what.label and copy.at <= what.at:
            copy.label = what.assignment.epoch
            self._note(Labelled(what.partition, copy.label))
        return [*decisions, self._acknowledge(what.partition, copy, sender)]

    def _acknowledge(self, at: int, copy: Copy, owner: str) -> Say:
        copy.owes = False
        good = copy.complete and copy.label == copy.assignment.epoch
        return Say(owner, messages.Recorded(at, copy.assignment.epoch, copy.at if good else -1))

    def _stale(self, at: int, sender: str) -> list[Decision]:
        assignment = (
            self.replicas[at].assignment
            if at in self.replicas
            else (self.map.assignments[at] if at < len(self.map.assignments) else None)
        )
        return [Say(sender, messages.Stale(at, assignment))] if assignment is not None else []

    def records(self, sender: str, what: messages.Records) -> list[Decision]:
        """Take entries; none of an epoch that is over."""
        copy = self.replicas.get(what.partition)
        if copy is None or what.epoch != copy.assignment.epoch or sender != copy.assignment.owner:
            newer = copy is not None and copy.assignment.epoch > what.epoch or copy is None
            return self._stale(what.partition, sender) if newer else []
        if copy.label == copy.assignment.epoch and copy.complete and what.at <= copy.at:
            taken = [self._take(copy, entry) for entry in what.entries[copy.at - what.at :]]
            copy.at += len(taken)
            if taken:
                self._grew(what.partition, copy, taken)
            if all(one.kind not in WAITED_FOR for one in what.entries):
                copy.owes = True
                return []
        return [self._acknowledge(what.partition, copy, sender)]

    @staticmethod
    def _take(copy: Copy, entry: EffectRecord) -> EffectRecord:
        try:
            copy.table.apply(entry)
        except EffectError:  # its owner knew better: the key is in doubt here, and never free
            entry = EffectRecord(RecordKind.LOST, entry.key, entry.at_us)
            copy.table.apply(entry)
        return entry

    def chunk(self, sender: str, what: messages.Chunk) -> list[Decision]:
        """Take a part of all records; with the last one this copy has them."""
        copy = self.replicas.get(what.partition)
        if copy is None or what.epoch != copy.assignment.epoch or sender != copy.assignment.owner:
            return self._stale(what.partition, sender) if copy is None or copy.assignment.epoch > what.epoch else []
        if copy.complete and copy.label == copy.assignment.epoch:
            return [self._acknowledge(what.partition, copy, sender)]
        if copy.staged_at != (what.epoch, what.at):
            copy.staged, copy.staged_at = {}, (what.epoch, what.at)
        copy.staged[what.index] = what.entries
        if len(copy.staged) < what.count:
            return [Say(sender, messages.Fed(what.partition, what.epoch, what.at, what.index))]
        copy.table = EffectTable(self._window_us)
        for index in range(what.count):
            for entry in copy.staged[index]:
                self._take(copy, entry)
        copy.staged, copy.staged_at = {}, (-1, -1)
        copy.label, copy.at, copy.complete = what.epoch, what.at, True
        self.kept.pop(what.partition, None)
        self._note_whole(what.partition, copy)
        return [self._acknowledge(what.partition, copy, sender)]

    def stale(self, now: int, unix: int, what: messages.Stale) -> list[Decision]:
        """Learn that an epoch is over."""
        return self._share(now, unix, what.partition, what.assignment)

    # What owners before ran

    def _ask(self, now: int, unix: int, at: int, copy: Copy) -> list[Decision]:
        """Ask the kernels of owners before after what they may have run."""
        if copy.assignment.owner != self.me or now < copy.ask_us:
            return []
        copy.ask_us = now + ASK_EVERY_US
        by: dict[str, list[str]] = {}
        found: list[Decision] = []
        for run, key in list(copy.doubts.items()):
            effect = copy.table.get(key, unix)
            if effect is None or effect.state is not EffectState.IN_DOUBT or not effect.server:
                del copy.doubts[run]
            elif (said := marks(effect.digest)).where:
                copy.ask_us = now + INQUIRE_EVERY_US  # a server tells how it stands now, not when it ends
                if len(found) < ENTRIES_A_MESSAGE:
                    found.append(Inquire(at, copy.assignment.epoch, said))
            elif self.askable(effect):
                by.setdefault(effect.server, []).append(run)
        return found + [
            Fence(self.places[server], at, copy.assignment.epoch, tuple(runs[first : first + ENTRIES_A_MESSAGE]))
            for server, runs in by.items()
            for first in range(0, len(runs), ENTRIES_A_MESSAGE)
        ]

    def askable(self, effect: Effect) -> bool:
        """Tell whether there is a server or a kernel that could say what became of an effect in doubt."""
        return bool(effect.digest and marks(effect.digest).where) or (
            effect.server in self.places and bool(self.places[effect.server].kernel)
        )

    def fate(
        self, now: int, at: int, epoch: int, run: str, kind: RecordKind, result: bytes, unix: int, fenced: bool = True
    ) -> list[Decision]:
        """Take the word on a run of an owner before, or on one of one's own that is asked after.

        It ran, failed, or has not run. That it never will is proven where whoever said so takes nothing of an earlier
        epoch any more (``fenced``) and the run is of one.
        """
        copy = self.replicas.get(at)
        if copy is None or copy.assignment.owner != self.me or epoch > copy.assignment.epoch:
            return []
        effect = copy.table.get(copy.doubts.get(run, ""), unix)
        if effect is None or effect.state is not EffectState.IN_DOUBT or not effect.server:
            return []
        return self._settle(now, at, copy, effect, kind, result, unix, fenced and effect.server != self.me)

    def _settle(
        self,
        now: int,
        at: int,
        copy: Copy,
        effect: Effect,
        kind: RecordKind,
        result: bytes,
        unix: int,
        proven: bool = True,
    ) -> list[Decision]:
        said, notes = marks(effect.digest), []
        entry = EffectRecord(kind, effect.key, max(unix, effect.at_us), result=result)
        if kind is RecordKind.NEVER:
            losses = said.losses + (effect.server != self.me)
            kept = (
                said._replace(losses=losses, bound=True)
                if not proven
                else said._replace(losses=losses, where="", bound=False)
            )
            entry = entry._replace(digest=mark(kept))
            if losses >= MOST_LOSSES:  # whoever takes it up is lost: nobody does any more
                kind, entry = RecordKind.FAILED, EffectRecord(RecordKind.FAILED, effect.key, entry.at_us)
                notes.append(Note(f"key {said.key} is refused from now on: {MOST_LOSSES} owners were lost with it"))
        copy.table.apply(entry)
        copy.doubts.pop(said.id, None)
        self._extend(at, copy, [entry])
        state = {
            RecordKind.OUTCOME: EffectState.DONE,
            RecordKind.FAILED: EffectState.FAILED,
            RecordKind.NEVER: EffectState.FREE,
        }[kind]
        self.adopted += kind is not RecordKind.NEVER
        self.freed += kind is RecordKind.NEVER
        return [*notes, Resolved(effect.key, said.id, state, result), *self._stream(now, at, copy)]

    def told(self, now: int, unix: int, sender: str, what: messages.Told) -> list[Decision]:
        """Take the end of a run from the one that ran it as owner before."""
        copy = self.replicas.get(what.partition)
        if copy is None or copy.assignment.owner != self.me or not copy.complete:
            return []
        effect = copy.table.get(what.entry.key, what.entry.at_us)
        thanks = Say(sender, messages.Thanks(what.partition, what.entry.key))
        if effect is None or effect.state is not EffectState.IN_DOUBT or effect.server != sender:
            return [thanks]
        return [thanks, *self._settle(now, what.partition, copy, effect, what.entry.kind, what.entry.result, unix)]

    def thanked(self, what: messages.Thanks) -> None:
        """Forget an end that the owner knows."""
        self._telling.pop((what.partition, what.key), None)

    def _tell(self, now: int, only: int | None = None) -> list[Decision]:
        """Tell owners what became of runs of one's own."""
        found: list[Decision] = []
        for (at, _), entry in self._telling.items():
            owner = self.map.assignments[at].owner if at < len(self.map.assignments) else ""
            if owner not in ("", self.me) and only in (None, at):
                found.append(Say(owner, messages.Told(at, entry)))
        if only is None:
            self._tell_us = now + ASK_EVERY_US // 2
        return found[:ENTRIES_A_MESSAGE]

    def ask_seen(self, now: int, unix: int, sender: str, what: messages.AskSeen) -> list[Decision]:
        """Learn from a new owner that one's epoch is over, and say so."""
        decisions = self._share(now, unix, what.partition, what.assignment)
        known = self.replicas.get(what.partition)
        if known is None or known.assignment.owner != self.me:
            decisions.append(Say(sender, messages.Seen(what.partition, what.assignment.epoch)))
        return decisions

    def seen(self, sender: str, what: messages.Seen) -> None:
        """Take that the owner before knows that it is over."""
        copy = self.replicas.get(what.partition)
        if copy is not None and copy.assignment.epoch == what.epoch and copy.assignment.previous_owner == sender:
            copy.clear_us = 0

    # Time

    def busy(self, now: int) -> bool:
        """Tell whether something here waits for another member, or another for it."""
        return any(
            copy.owes
            or copy.asks
            or now < copy.clear_us
            or copy.assignment.owner == self.me
            and (copy.assignment.joining or any(copy.acked.get(id, -1) < copy.at for id in copy.assignment.replicas))
            for copy in self.replicas.values()
        )

    def passed(self, now: int, unix: int) -> list[Decision]:
        """Send again what was not acknowledged, ask again, forget what is past its window."""
        found: list[Decision] = []
        for at, copy in self.replicas.items():
            if copy.assignment.owner != self.me:
                if copy.owes:
                    found.append(self._acknowledge(at, copy, copy.assignment.owner))
                continue
            if copy.late_us and now >= copy.late_us:
                found += self._stream(now, at, copy)
            for id in copy.assignment.replicas:
                found += self._again(now, at, copy, id)
            if now < copy.clear_us:
                found += self._ask_seen(at, copy.assignment)
            found += self._ask(now, unix, at, copy)
        if now >= self._tell_us:
            found += self._tell(now)
        return found

    def _again(self, now: int, at: int, copy: Copy, id: str) -> list[Decision]:
        one = copy.transfers.get(id)
        if one is not None:
            if now - one.sent_us >= AGAIN_US:
                one.sent = one.acked
                return self._feed(now, at, copy, id)
            return []
        acked = copy.acked.get(id, -1)
        late = now - copy.sent_us.get(id, now) >= AGAIN_US
        if copy.sent.get(id, -1) < 0 and late:
            copy.sent.pop(id, None)
            return self._stream(now, at, copy)
        if acked < copy.sent.get(id, -1) and late:
            copy.sent[id], copy.sent_us[id] = acked, now
            if acked < 0:
                copy.sent.pop(id)
                return self._stream(now, at, copy)
            return self._send(now, at, copy, id)
        return []

    def sweep(self, unix: int) -> None:
        """Forget keys past their window, at owners and copies alike."""
        for copy in self.replicas.values():
            copy.table.sweep(unix)

    def granted(self) -> list[dict[str, object]]:
        """Return what is out of the limits that are granted here, in plain values."""
        return [
            {
                "limit": Limit.named(name).tenant,
                "until": Limit.named(name).until_us // 1_000_000,
                "out": {holder: int(one.result) for holder, one in rows.items()},
                "unknown_before": copy.table.grants_lost_us,
            }
            for copy in self.replicas.values()
            if copy.assignment.owner == self.me
            for name, rows in copy.table.grants.items()
        ]

    def in_doubt(self, unix: int) -> list[tuple[int, Effect]]:
        """Return what is in doubt in the partitions owned here."""
        return [
            (at, effect)
            for at, copy in self.replicas.items()
            if copy.assignment.owner == self.me
            for effect in map(copy.table.effects.get, copy.doubts.values())
            if effect is not None
        ]


def in_parts(entries: list[EffectRecord]) -> list[tuple[EffectRecord, ...]]:
    """Spread entries over messages of bounded length."""
    parts: list[tuple[EffectRecord, ...]] = []
    part: list[EffectRecord] = []
    size = 0
    for one in entries:
        if part and (len(part) >= ENTRIES_A_MESSAGE or size >= BYTES_A_MESSAGE):
            parts.append(tuple(part))
            part, size = [], 0
        part.append(one)
        size += 120 + len(one.result)
    return [*parts, tuple(part)] if part else parts
