"""One member of the fleet: its links, its seat in the council if it has one, its lease, its records. Free of I/O.

The program and the simulator feed it what came and carry out what it decides, alike. ``now`` is monotonic, ``unix``
the time of day, both in microseconds.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated, Any, Literal, NamedTuple

import msgspec

from sagetrestle.consensus import core as raft
from sagetrestle.consensus.messages import Config, Kind
from sagetrestle.ownership.lease import LeaseGrantor, LeaseHolder
from sagetrestle.ownership.planner import Planner
from sagetrestle.ownership.values import (
    ReassignPartitions,
    Command,
    FleetMap,
    FleetSettings,
    FoundFleet,
    AddMember,
    Origin,
    MemberInfo,
    apply_command,
    member_name,
)
from sagetrestle.overload.values import Level, LevelReport
from sagetrestle.peers import links as link
from sagetrestle.peers.frames import Answer, Ask
from sagetrestle.picture import Marks, Picture, Row, Rows
from sagetrestle.promises.values import Planned, RegionSaid, Served
from sagetrestle.quota import Ask as UnitAsk
from sagetrestle.quota import Limit, rates
from sagetrestle.quota import Ready as UnitsReady
from sagetrestle.quota.holder import Holder as UnitHolder
from sagetrestle.quota.holder import Word as UnitWord
from sagetrestle.quota.rates import Granter as ShareGranter
from sagetrestle.quota.rates import RateHolder
from sagetrestle.quota.slots import ToldSlots
from sagetrestle.quota.values import key_of
from sagetrestle.recovery.effects import EffectRecord
from sagetrestle.recovery.effects import RecordKind
from sagetrestle.takeover import effect_log as book
from sagetrestle.takeover import messages
from sagetrestle.takeover.replica_changes import Change
from sagetrestle.takeover.gossip_kinds import KINDS
from sagetrestle.takeover.messages import weight
from sagetrestle.verdicts import Order, Spread, Subject

if TYPE_CHECKING:  # what is off is not loaded
    from sagetrestle.quota.slots import AskSlots
    from sagetrestle.takeover.promises import PromiseSeat
    from sagetrestle.takeover.overload import StrainSeat

BUSY_US, IDLE_US, LEAST_US = 50_000, 100_000, 10_000  # between two looks at what time brings
SYNCED_EVERY_US = 50_000
PLAN_EVERY_US = 50_000
SWEEP_EVERY_US = 1_000_000
REMEMBER_EVERY_US = 250_000  # between two looks at what of the picture is to be written
SEAT_AFTER_US = 3_000_000  # without a word from a voter, before its name's newer store takes its seat
KEPT_EPOCHS = 16  # a partition's, for whoever asks
COMMAND = msgspec.msgpack.Decoder(Command)
MAP = msgspec.msgpack.Decoder(FleetMap)


class Persist(NamedTuple):
    """Make this durable in the council's store, then say ``persisted``."""

    write: raft.Write


class Keep(NamedTuple):
    """Make changes of this member's copies durable, then say ``kept``."""

    changes: tuple[Change, ...]


class Forget(NamedTuple):
    """The council's store may not be used any more; begin with an empty one."""

    why: str


class Units(NamedTuple):
    """What waited for units of this limit may ask again."""

    limit: Limit


class Judged(NamedTuple):
    """Independent witnesses convicted these now."""

    subjects: tuple[Subject, ...]


class SlotsTold(NamedTuple):
    """A granter's word on a server's slots came for this member."""

    what: ToldSlots


class Remember(NamedTuple):
    """Put these rows of the picture into this member's file, in place of those before."""

    rows: tuple[Row, ...]


class PlansTold(NamedTuple):
    """Tenants' plans came for this member."""

    plans: tuple[Planned, ...]


class LevelTold(NamedTuple):
    """The level of a region came for this member, so old by now."""

    region: str
    level: Level
    age_us: int = 0


class Changed(NamedTuple):
    """The map is another."""

    map: FleetMap


Decision = (
    link.Dial
    | link.Write
    | link.Close
    | Persist
    | Keep
    | Forget
    | Changed
    | Units
    | Judged
    | SlotsTold
    | LevelTold
    | PlansTold
    | Remember
    | book.Start
    | book.TurnAway
    | book.Resolved
    | book.Fence
    | book.Inquire
    | book.Note
)


class Ordered(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's order as a member is asked for it."""

    kind: Literal["class"]
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    on: bool
    seconds: Annotated[float, msgspec.Meta(ge=0, le=31_536_000)]
    who: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    why: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


@dataclass(slots=True)
class Leading:
    """What only the council's leader keeps."""

    grantor: LeaseGrantor
    wanting: dict[str, MemberInfo] = field(default_factory=dict)  # members that are not on the map yet
    leaving: set[str] = field(default_factory=set)
    synced: set[tuple[int, int, str]] = field(default_factory=set)
    plan_us: int = 0
    orphans: dict[int, int] = field(default_factory=dict)  # partitions whose members are all silent, and since when
    unclear: dict[int, int] = field(default_factory=dict)  # partitions, and when all owners before are over
    claims: dict[str, frozenset[tuple[int, int, str]]] = field(default_factory=dict)
    planned: tuple[object, ...] = ()  # what the last plan was made of, if it changed nothing


class Node:
    """One member."""

    def __init__(
        self,
        place: MemberInfo,
        council: tuple[str, ...],
        settings: FleetSettings,
        links: link.Links,
        window_us: int,
        seat: raft.Raft | None = None,
    ) -> None:
        self.place, self.council, self.settings, self.links = place, council, settings, links
        self.me = place.id
        self.books = book.Books(self.me, settings, window_us)
        self.holder = LeaseHolder(settings.lease_us)
        self.units = UnitHolder()
        self.rates, self.shares = RateHolder(), ShareGranter(settings.drift)
        name, _, life = place.id.rpartition("@")
        self.picture = Picture(
            name or place.id,
            int(life) if life.isdecimal() else 0,
            KINDS,
            int((name or place.id).encode().hex()[-8:] or "0", 16),
            settings.max_clock_skew_us,
        )
        self.verdicts = Spread(place.zone, self.picture)
        self._lasting: tuple[object, ...] = ()  # what was handed out last for this member's file
        self.keeps_picture, self._remember_us = False, 0
        self.strain: StrainSeat | None = None  # where overload is shed by the fleet as one
        self.promised: PromiseSeat | None = None  # where tenants are promised something
        self.cap_of: Callable[[str], int | None] = lambda tenant: None  # as this member knows it; None: it does not
        self.seat = seat
        self.agreed = FleetMap()  # as the council's log has it here
        self.leader = council[0]
        self.leaving = False
        self.lead = Leading(LeaseGrantor(settings.lease_us, settings.drift))
        self.epochs: dict[int, deque[tuple[int, int, str]]] = defaultdict(lambda: deque(maxlen=KEPT_EPOCHS))
        self._keeping = False  # a batch of changes is being written
        self._batch = 0  # batches that were handed out
        self._held: deque[tuple[int, book.Decision]] = deque()  # what may not be said before its batch is durable
        self._queue: deque[raft.Decision] = deque()
        self._writing = 0
        self._out: list[Decision] = []
        self._now = self._unix = 0
        self._granted_us = self._synced_us = self._sweep_us = 0

    # What the program says

    def begin(self, now: int, unix: int) -> list[Decision]:
        """Start."""
        self._at(now, unix)
        if self.seat is not None:
            self._raft(raft.Started())
        return self._done()

    def came(self, now: int, unix: int, event: link.Event) -> list[Decision]:
        """Take what the network brought."""
        self._at(now, unix)
        self._links(self.links.step(now, event))
        return self._done()

    def persisted(self, now: int, unix: int, done: bool) -> list[Decision]:
        """Take that the council's store has what it was given, or can not."""
        self._at(now, unix)
        last, self._writing = self._writing, 0
        if not done:
            self._out.append(book.Note("the council's store can not be written: this member has no voice in it"))
        self._raft(raft.Written(last, done))
        return self._done()

    def restore(self, kept: Mapping[int, tuple[int, str, Iterable[EffectRecord]]]) -> None:
        """Take what starts before this one kept; changes are handed out from now on. Before ``begin``."""
        self.books.restore(kept)

    def kept(self, now: int, unix: int, done: bool) -> list[Decision]:
        """Take that changes are durable, or can not be: then nothing more is acknowledged, and others take over."""
        self._at(now, unix)
        self._keeping = False
        if not done:
            self._out.append(book.Note("this member's records can not be written: it gives its partitions away"))
            self.leaving, self._keeping = True, True
            self._renew()
            return self._done()
        while self._held and self._held[0][0] <= self._batch:
            self._carry(self._held.popleft()[1])
        self._hand_out()
        return self._done()

    def seated(self, now: int, unix: int, seat: raft.Raft) -> list[Decision]:
        """Take a new seat, on an empty store."""
        self._at(now, unix)
        self.seat, self._writing, self.agreed = seat, 0, FleetMap()
        self._queue.clear()
        self._raft(raft.Started())
        return self._done()

    def passed(self, now: int, unix: int) -> list[Decision]:
        """Do what time brings; due every few tens of milliseconds."""
        self._at(now, unix)
        self._links(self.links.passed(now))
        if self.seat is not None:
            self._raft(raft.Passed())
            if raft.serving(self.seat, now):
                self._govern()
        if now >= self.holder.due_us:
            self._renew()
        self._books(self.books.passed(now, unix))
        if now >= self._synced_us:
            self._synced_us = now + SYNCED_EVERY_US
            if found := self.books.synced():
                self._say(self.leader, messages.Synced(found))
            self._ask_units(self.units.passed(now, unix))
            self._report_rates()
            if self.strain is not None and self.books.map.assignments:
                self._tell(self.strain.passed(now, unix, self._owns_key))
                self._out += [book.Note(text) for text in self.strain.notes()]
                self._out += [LevelTold(*one) for one in self.strain.heard_by_others(now)]
            if self.promised is not None and self.books.map.assignments:
                self._tell(self.promised.passed(now, unix, self._owns_key))
                self._out += [book.Note(text) for text in self.promised.decider.notes()]
            self._share()
        if self.keeps_picture and now >= self._remember_us:
            self._remember_us = now + REMEMBER_EVERY_US
            self._remember()
        if now >= self._sweep_us:
            self._sweep_us = now + SWEEP_EVERY_US
            self.books.sweep(unix)
            self.shares.passed(now)
        return self._done()

    def due(self, now: int) -> int:
        """Return when ``passed`` is due: soon while something is under way, else with the next thing that is."""
        links = self.links
        busy = (
            self.books.busy(now)
            or any(out.under_way or out.stage is not link.Stage.UP for out in links.out.values())
            or any(one.number > one.acked for one in links.ins.values())
        )
        times = [now + (BUSY_US if busy else IDLE_US), self.holder.due_us]
        if self.seat is not None:
            times.append(self.seat.due_us)
        return max(now + LEAST_US, min(times))

    def leave(self, now: int, unix: int) -> list[Decision]:
        """Be on the way out: what is owned here goes to others as soon as it can."""
        self._at(now, unix)
        self.leaving = True
        self._renew()
        return self._done()

    # What the core asks; all answers are of this moment

    def owns(self, at: int, now: int) -> bool:
        """Tell whether this member may act as a partition's owner now."""
        return self.holder.is_held(now) and self.books.owns(at, now)

    def record(self, now: int, unix: int, at: int, id: str, entry: EffectRecord) -> list[Decision]:
        """Record an intent. Raises EffectError."""
        self._at(now, unix)
        self._books(self.books.record(now, at, id, entry))
        return self._done()

    def ended(self, now: int, unix: int, at: int, entry: EffectRecord) -> list[Decision]:
        """Take what became of a run."""
        self._at(now, unix)
        self._books(self.books.ended(now, at, entry))
        return self._done()

    def take_unit(self, now: int, unix: int, limit: Limit, cap: int, id: str) -> tuple[UnitWord, list[Decision]]:
        """Take a unit of a hard limit for a charge, or have one asked for."""
        self._at(now, unix)
        word = self.units.take(now, limit, cap, id)
        if word is UnitWord.WAIT:
            self._ask_units(self.units.ask(now, limit))
        return word, self._done()

    def saw(self, now: int, unix: int, seen: Iterable[tuple[Subject, int, int]]) -> list[Decision]:
        """Take what became of requests to subjects lately: good and bad of each."""
        self._at(now, unix)
        for subject, good, bad in seen:
            self.verdicts.saw(now, unix, subject, good, bad)
        self._share()
        return self._done()

    def report_slots(self, now: int, unix: int, asks: Iterable[AskSlots]) -> list[Decision]:
        """Take what this member wants and has of servers' slots."""
        self._at(now, unix)
        if self.strain is not None and self.books.map.assignments:
            self._tell(self.strain.report_slots(asks))
        return self._done()

    def report_level(self, now: int, unix: int, report: LevelReport) -> list[Decision]:
        """Take what came to this member of late."""
        self._at(now, unix)
        if self.strain is not None and self.books.map.assignments:
            self._tell(self.strain.report_level(report))
        return self._done()

    def report_served(
        self, now: int, unix: int, rows: Iterable[Served], lines: Iterable[tuple[str, str, RegionSaid]]
    ) -> list[Decision]:
        """Take what this member counted of promised tenants, and saw of regions."""
        self._at(now, unix)
        if self.promised is not None and self.books.map.assignments:
            self.promised.seen(now, unix, lines)
            self._tell(self.promised.report(rows))
        return self._done()

    def doubtful(self, now: int, unix: int, at: int, effect_key: str) -> list[Decision]:
        """Take that a run of one's own is over, and that its end is not known."""
        self._at(now, unix)
        self._books(self.books.doubtful(now, unix, at, effect_key))
        return self._done()

    def fate(
        self, now: int, unix: int, at: int, epoch: int, run: str, kind: RecordKind, result: bytes, fenced: bool = True
    ) -> list[Decision]:
        """Take a kernel's or a server's word on a run in doubt."""
        self._at(now, unix)
        self._books(self.books.fate(now, at, epoch, run, kind, result, unix, fenced))
        return self._done()

    # Inside

    def _at(self, now: int, unix: int) -> None:
        self._now, self._unix = now, unix

    def _done(self) -> list[Decision]:
        found, self._out = self._out, []
        return found

    def _say(self, to: str, message: messages.FleetMessage) -> None:
        if (member_name(to) or to) == member_name(self.me):
            if "@" not in to or to == self.me:
                self._hear(self.me, message)
            return
        self._links(self.links.say(self._now, to, message, weight(message)))

    def _links(self, decisions: Iterable[link.Decision]) -> None:
        for what in decisions:
            match what:
                case link.Heard(sender, message):
                    self._hear(sender, message)
                case link.Asked(connection, ask):
                    self._asked(connection, ask)
                case link.Note(text):
                    self._out.append(book.Note(text))
                case _:
                    self._out.append(what)

    def _books(self, decisions: Iterable[book.Decision]) -> None:
        self._hand_out()
        for what in decisions:
            relies = (
                isinstance(what, book.Start)
                or isinstance(what, book.Say)
                and isinstance(what.message, messages.Recorded | messages.ToldUnits)
            )
            if relies and (self._keeping or self._held):
                # What is written now may not have all that it relies on: then it waits for the batch after.
                self._held.append((self._batch + bool(self.books.changes), what))
            else:
                self._carry(what)

    def _carry(self, what: book.Decision) -> None:
        if isinstance(what, book.Say):
            self._say(what.to, what.message)
        else:
            self._out.append(what)

    def _hand_out(self) -> None:
        """Have changes written, one batch at a time."""
        if self.books.changes and not self._keeping:
            changes, self.books.changes = tuple(self.books.changes), []
            self._keeping = True
            self._batch += 1
            self._out.append(Keep(changes))

    def _hear(self, sender: str, message: Any) -> None:
        now, unix, books = self._now, self._unix, self.books
        match message:
            case messages.Council(to, id, said):
                if self.seat is not None and ("#" not in to or to == self.seat.id):
                    self._raft(raft.Received(id, said))
            case messages.Renew():
                self._renewed(sender, message)
            case messages.Holds(claims):
                self.lead.claims[sender] = frozenset(claims)
            case messages.Granted(number, order, known):
                if known is not None:
                    self._see(known)
                if books.map.revision >= order:
                    self.holder.accept_grant(number)
                    self.leader, self._granted_us = member_name(sender), now
            case messages.Elsewhere(leader):
                if leader and leader != self.leader:
                    self.leader = leader
                    self.holder.due_us = min(self.holder.due_us, now + 10_000)
            case messages.MapTold(known):
                self._see(known)
            case messages.Synced(members):
                self.lead.synced |= set(members)
            case messages.Base():
                self._books(books.based(now, unix, sender, message))
            case messages.Records():
                self._books(books.records(sender, message))
            case messages.Recorded():
                self._books(books.recorded(now, sender, message))
            case messages.Chunk():
                self._books(books.chunk(sender, message))
            case messages.Fed():
                self._books(books.fed(now, sender, message))
            case messages.Stale():
                self._books(books.stale(now, unix, message))
            case messages.Told():
                self._books(books.told(now, unix, sender, message))
            case messages.Thanks():
                books.thanked(message)
            case Rows() | Marks():
                self._heard_picture(sender, message)
            case messages.AskUnits():
                self._asked_units(sender, message)
            case messages.ToldUnits():
                self._told_units(message)
            case messages.AskShare():
                self._asked_share(sender, message)
            case messages.ToldShare(tenant, number, share):
                self.rates.told(now, tenant, number, share)
            case messages.NudgeShare(tenant) if books.map.assignments:
                self._report(self.rates.nudged(now, tenant))
            case messages.AskedSlots() | messages.AskedLevel() if self.strain is not None:
                self._asked_strain(self.strain, sender, message)
            case messages.ToldSlotsTo(what) if self.strain is not None and self.strain.counts(what):
                self._out.append(SlotsTold(what))
            case messages.ToldLevel(region=region, level=level) if self.strain is not None:
                if self.strain.told_level(now, region, level, message.epoch):
                    self._out.append(LevelTold(region, level))
            case messages.AskedPlans(partition=at) if self.promised is not None:
                if self.owns(at, now) and message.epoch == books.replicas[at].assignment.epoch:
                    self.promised.asked(now, unix, books.replicas[at].since_us, sender, message)
            case messages.ToldPlans() if self.promised is not None:
                if plans := self.promised.told(message):
                    self._out.append(PlansTold(plans))
            case messages.RecallUnits(limit):
                self._ask_units(self.units.recalled(now, limit))
            case messages.AskSeen():
                self._books(books.ask_seen(now, unix, sender, message))
            case messages.Seen():
                books.seen(sender, message)

    def _see(self, known: FleetMap) -> None:
        """Take a newer map: records follow it, whoever watches is told."""
        if known.revision <= self.books.map.revision:
            return
        for at, assignment in enumerate(known.assignments):
            if not self.epochs[at] or self.epochs[at][-1][1] != assignment.epoch:
                self.epochs[at].append((self._unix, assignment.epoch, assignment.owner))
        self.verdicts.zoned = len({one.zone for one in known.places if one.zone}) > 1
        self.picture.members = max(1, len(known.places))
        if self.strain is not None:
            self.strain.see_zones({one.id: one.zone for one in known.places} if self.verdicts.zoned else {})
        self._books(self.books.see(self._now, self._unix, known))
        self._out.append(Changed(known))
        for connection in self.links.observers():
            self._links(self.links.reply(connection, link.Carry(known.version, messages.MapTold(known))))

    # The picture, and verdicts by it

    def _share(self) -> None:
        """Tell others what is new of the picture, and go by it."""
        now, unix = self._now, self._unix
        peers = tuple(name for name, out in self.links.out.items() if out.stage is link.Stage.UP)
        self.verdicts.passed(now, unix)
        for one in self.picture.passed(now, unix, peers):
            self._say(one.to, one.message)
        if found := self.verdicts.judged(now):
            self._out.append(Judged(found))

    def _heard_picture(self, sender: str, message: Rows | Marks) -> None:
        now, unix = self._now, self._unix
        known = self.verdicts.orders
        for one in self.picture.heard(now, unix, member_name(sender), message):
            self._say(one.to, one.message)
        if known is not self.verdicts.orders:
            for subject, order in self.verdicts.orders.items():
                if known.get(subject) != order:
                    self._note_order(order)
        if found := self.verdicts.judged(now):
            self._out.append(Judged(found))

    def _remember(self) -> None:
        """Hand out what of the picture is to outlive this process, where it changed."""
        rows = self.picture.lasting(self._now)
        said = tuple(sorted((one.key, one.order) for one in rows))
        if said != self._lasting:
            self._lasting = said
            self._out.append(Remember(rows))

    def recall(self, now: int, unix: int, rows: Iterable[Row]) -> None:
        """Take what a start before this one kept of the picture."""
        self.picture.members = len(self.links.out) + 1
        self.picture.restore(now, unix, rows)
        for order in self.verdicts.orders.values():
            self._note_order(order)

    def _note_order(self, order: Order) -> None:
        what = "paused" if order.on else "on again"
        self._out.append(book.Note(f"{order.subject.kind} {order.subject.name} is {what} by {order.who}: {order.why}"))

    def _ordered(self, text: str) -> dict[str, Any]:
        """Take an operator's order."""
        try:
            asked = msgspec.json.decode(text, type=Ordered)
        except msgspec.MsgspecError as error:
            return {"error": str(error)}
        until = self._unix + int(asked.seconds * 1e6) if asked.seconds else 0
        order = self.verdicts.order(
            self._now, self._unix, Subject(asked.kind, asked.name), asked.on, until, asked.who, asked.why
        )
        self._note_order(order)
        return {"member": self.me, "version": order.version, "until": until}

    # Limits

    def _ask_units(self, asks: Iterable[UnitAsk | UnitsReady]) -> None:
        for ask in asks:
            if isinstance(ask, UnitsReady):
                self._out.append(Units(ask.limit))
            elif self.books.map.assignments:
                at, assignment = self.books.assignment_of(key_of(ask.limit.tenant))
                self._say(assignment.owner, messages.AskUnits(at, ask.limit.name, ask.cap, *ask[2:]))

    def _asked_units(self, sender: str, ask: messages.AskUnits) -> None:
        """Decide as the granter, which only the owner of its partition is, and only under its lease."""
        at = ask.partition
        if not self.owns(at, self._now) or not self.books.recordable(at):
            return  # it is asked again, or another is
        known = self.cap_of(Limit.named(ask.limit).tenant)
        self._books(
            self.books.units(
                self._now, self._unix, sender, ask, ask.cap if known is None else known, self.settings.max_clock_skew_us
            )
        )

    def _told_units(self, what: messages.ToldUnits) -> None:
        for one in self.units.told(self._now, what.limit, what.version, what.total, what.left):
            self._out.append(Units(one.limit))

    def _report_rates(self) -> None:
        if self.rates.buckets and self.books.map.assignments:
            self._report(self.rates.passed(self._now))

    def _report(self, asks: Iterable[rates.AskShare]) -> None:
        for ask in asks:
            at, assignment = self.books.assignment_of(key_of(ask.tenant))
            self._say(assignment.owner, messages.AskShare(at, *ask))

    def _asked_share(self, sender: str, ask: messages.AskShare) -> None:
        """Share a rate out as the granter, under the lease of its partition."""
        if not self.owns(ask.partition, self._now):
            return
        what = rates.AskShare(ask.tenant, ask.number, ask.rate, ask.demand, ask.has)
        share = self.shares.ask(self._now, self.books.replicas[ask.partition].since_us, sender, what)
        if share is not None:
            self._say(sender, messages.ToldShare(ask.tenant, ask.number, share))
            for holder in self.shares.nudges(ask.tenant):
                self._say(holder, messages.NudgeShare(ask.tenant))

    # Overload

    def _owns_key(self, key: str) -> bool:
        return self.owns(self.books.assignment_of(key)[0], self._now)

    def _tell(self, said: Iterable[tuple[str, messages.FleetMessage]]) -> None:
        for to, message in said:
            self._say(to, message)

    def _asked_strain(self, strain: StrainSeat, sender: str, what: messages.AskedSlots | messages.AskedLevel) -> None:
        """Decide as the owner of a partition, under its lease; a report that finds another is made again soon."""
        if not self.owns(what.partition, self._now):
            return
        copy = self.books.replicas[what.partition]
        if isinstance(what, messages.AskedSlots) and what.epoch != copy.assignment.epoch:
            return
        if isinstance(what, messages.AskedLevel):
            strain.asked_level(self._now, copy.since_us, sender, what)
        else:
            everyone = [one.id for one in self.books.map.places]
            self._tell(strain.asked_slots(self._now, copy.since_us, sender, what, everyone))

    # The lease

    def _renew(self) -> None:
        now = self._now
        number = self.holder.start_request(now)
        if now - self._granted_us > self.settings.lease_us // 2:  # the one asked may lead no more
            self.leader = self.council[number % len(self.council)]
            self.holder.due_us = now + int(self.settings.lease_us * 0.1)
        self._say(self.leader, messages.Renew(number, self.place, self.books.map.revision, self.leaving))
        if self.books.kept and (claims := self.books.claims()):
            self._say(self.leader, messages.Holds(claims))

    def _renewed(self, sender: str, ask: messages.Renew) -> None:
        if ask.place.id != sender:
            return
        if self.seat is None or not raft.serving(self.seat, self._now):
            leader = self.seat.leader.partition("#")[0] if self.seat is not None else ""
            if leader != member_name(self.me):
                self._say(sender, messages.Elsewhere(leader))
            return
        if self.agreed.place(sender) != ask.place:
            self.lead.wanting[sender] = ask.place
            return
        if self.seat.commit < self.seat.last[0] and not self.lead.grantor.may_hold(sender, self._now):
            return  # its work may be given away by what is not committed yet: only a map that says so may be granted on
        (self.lead.leaving.add if ask.leaving else self.lead.leaving.discard)(sender)
        self.lead.grantor.record_grant(sender, self._now)
        known = self.agreed if ask.revision != self.agreed.revision else None
        self._say(sender, messages.Granted(ask.number, self.agreed.revision, known))

    # The council

    def _raft(self, event: raft.Event) -> None:
        assert self.seat is not None
        self.seat, decisions = raft.step(self.seat, self._now, event)
        self._queue += decisions
        while self._queue and not self._writing:
            self._carry_out(self._queue.popleft())

    def _carry_out(self, what: raft.Decision) -> None:
        assert self.seat is not None
        match what:
            case raft.Write():
                self._writing = max(1, what.last)
                self._out.append(Persist(what))
            case raft.Send(to, message):
                self._say(to.partition("#")[0], messages.Council(to, self.seat.id, message))
            case raft.Apply(entries):
                known = self.agreed
                for one in entries:
                    if one.kind is Kind.COMMAND:
                        known = apply_command(known, one.index, COMMAND.decode(one.data))
                self._agree(known)
                if self.seat.applied - self.seat.snapshot.index >= raft.SNAPSHOT_AFTER:
                    self._raft(raft.Compact(msgspec.msgpack.encode(self.agreed)))
            case raft.Restore(data):
                if data:
                    self._agree(MAP.decode(data))
            case raft.Lead(True):
                self.lead = Leading(LeaseGrantor(self.settings.lease_us, self.settings.drift))
                self.lead.grantor.start_term(self._now)
                self._out.append(book.Note("leads the council"))
            case raft.Lead(False):
                self._out.append(book.Note("leads the council no more"))
            case raft.Forgot(why):
                self._out.append(Forget(why))

    def _agree(self, known: FleetMap) -> None:
        changed = known.revision > self.agreed.revision
        for at, (old, new) in enumerate(zip(self.agreed.assignments, known.assignments, strict=False)):
            if (
                new.epoch != old.epoch and new.previous_owner
            ):  # until now its owner before may have been granted a lease
                self.lead.unclear[at] = self._now + self.lead.grantor.max_grant_us
        self.agreed = known
        self._see(known)
        if changed and self.seat is not None and self.seat.role is raft.Role.LEADER:
            for place in known.places:
                if place.id != self.me:
                    self._say(place.id, messages.MapTold(known))

    def _govern(self) -> None:
        """Do the leader's work: one entry at a time, each decided on what is committed."""
        seat, now, lead = self.seat, self._now, self.lead
        assert seat is not None
        if seat.commit < seat.last[0] or now < lead.plan_us:
            return
        lead.plan_us = now + PLAN_EVERY_US
        if not self.agreed.assignments:
            # Epochs grow over a council that was lost whole as well, as far as the time of day does.
            origin = Origin.NEW if self.settings.new else Origin.LOST
            self._propose(FoundFleet(self.settings.partitions, (self._unix // 1_000_000) << 20, origin))
        elif lead.wanting:
            place = lead.wanting.pop(next(iter(lead.wanting)))
            lead.grantor.record_grant(place.id, now)  # so that it is not gone before it could ask again
            self._propose(AddMember(place))
        elif not self._reseat():
            known = {one.id for one in self.agreed.places}
            lead.grantor.retain_members(known)
            lead.leaving &= known
            alive = {id for id in known if lead.grantor.may_hold(id, now)}
            patient = self._silent(alive)
            lead.claims = {id: claims for id, claims in lead.claims.items() if id in known}
            of = (self.agreed.version, alive, set(lead.leaving), frozenset(lead.synced), patient, dict(lead.claims))
            if of == lead.planned:
                return
            plan = Planner(
                self.agreed,
                alive,
                lead.leaving,
                frozenset(lead.synced),
                self.settings,
                patient,
                self._unclear(),
                lead.claims,
            )
            changes, gone = plan.plan_changes(), plan.removable_members()
            lead.planned = () if changes or gone else of
            lead.synced = {
                one
                for one in lead.synced
                if one[0] < len(self.agreed.assignments) and self.agreed.assignments[one[0]].epoch == one[1]
            }
            if changes or gone:
                self._propose(ReassignPartitions(changes, gone))

    def _unclear(self) -> frozenset[int]:
        """Return partitions of whose owner before the lease may still last: of all, where this one began to lead."""
        lead, now = self.lead, self._now
        if now < lead.grantor.leading_since_us + lead.grantor.max_grant_us:
            return frozenset(range(len(self.agreed.assignments)))
        lead.unclear = {at: until for at, until in lead.unclear.items() if now < until}
        return frozenset(lead.unclear)

    def _silent(self, alive: set[str]) -> frozenset[int]:
        """Return partitions whose records are with silent members alone, as long as those are waited for.

        A member that is stopped or cut off has them still; one whose name has started anew has not.
        """
        newest = {member_name(one.id): one.id for one in self.agreed.places}
        waiting, now = {}, self._now
        for at, assignment in enumerate(self.agreed.assignments):
            held = (assignment.owner, *assignment.backups)
            if (
                assignment.owner
                and not alive & set(held)
                and (self.settings.records or any(newest.get(member_name(id)) == id for id in held))
            ):
                waiting[at] = self.lead.orphans.get(at, now)
        self.lead.orphans = waiting
        return frozenset(at for at, since in waiting.items() if now - since < self.settings.lost_after_us)

    def _propose(self, command: Command) -> None:
        self._raft(raft.Propose(msgspec.msgpack.encode(command)))

    def _reseat(self) -> bool:
        """Give the seat of a voter whose store is gone to the one that its name has now, as a learner first."""
        seat, now = self.seat, self._now
        assert seat is not None
        if not raft.can_change(seat):
            return False
        config = seat.config
        for id in config.learners:
            known = seat.progress.get(id)
            if known is not None and known.match >= seat.commit - 1 and now - known.heard_us < SEAT_AFTER_US:
                others = tuple(one for one in config.learners if one != id)
                self._raft(raft.Change(Config((*config.voters, id), others)))
                return True
            if known is not None and now - max(known.heard_us, seat.led_us) > SEAT_AFTER_US:
                self._raft(raft.Change(Config(config.voters, tuple(one for one in config.learners if one != id))))
                return True
        for id, at in seat.fresh.items():
            name = id.partition("#")[0]
            if name not in self.council or id in config.members or now - at > SEAT_AFTER_US:
                continue
            old = next((one for one in config.voters if one.partition("#")[0] == name), None)
            heard = seat.progress[old].heard_us if old in seat.progress else seat.led_us
            silent = old is None or now - max(heard, seat.led_us) > SEAT_AFTER_US
            if silent and len(config.learners) < 2:
                voters = tuple(one for one in config.voters if one != old)
                learners = tuple(one for one in config.learners if one.partition("#")[0] != name)
                self._raft(raft.Change(Config(voters, (*learners, id))))
                return True
        return False

    # Whoever asks

    def _asked(self, connection: int, ask: Ask | None) -> None:
        if ask is None:
            known = self.books.map
            if known.version:
                self._links(self.links.reply(connection, link.Carry(known.version, messages.MapTold(known))))
            return
        told = (
            self.status()
            if ask.what == "status"
            else self._ordered(ask.key)
            if ask.what == "order"
            else self.explain(ask.key)
        )
        self._links(self.links.reply(connection, Answer(msgspec.json.encode(told))))

    def status(self) -> dict[str, Any]:
        """Return how things stand here, in plain values."""
        now, unix, known = self._now, self._unix, self.books.map
        owned = [at for at, copy in self.books.replicas.items() if copy.assignment.owner == self.me]
        council: dict[str, Any] = {}
        if self.seat is not None:
            council = {
                "id": self.seat.id,
                "role": self.seat.role.value,
                "term": self.seat.term,
                "leader": self.seat.leader,
                "voters": self.seat.config.voters,
                "learners": self.seat.config.learners,
                "commit": self.seat.commit,
            }
        return {
            "member": self.me,
            "zone": self.place.zone,
            "council": council,
            "map": known.version,
            "lease_ms": max(0, self.holder.until_us - now) // 1000,
            "partitions": len(known.assignments),
            "owned": len(owned),
            "ready": sum(self.owns(at, now) and self.books.recordable(at) for at in owned),
            "unowned": [
                at
                for at, one in enumerate(known.assignments)
                if known.place(one.owner) is None or len(one.backups) < self.settings.min_backups
            ],
            "epochs": [
                min((one.epoch for one in known.assignments), default=0),
                max((one.epoch for one in known.assignments), default=0),
            ],
            "taken_over": self.books.taken_over,
            "adopted": self.books.adopted,
            "freed": self.books.freed,
            "verdicts": [
                {
                    "kind": one.subject.kind,
                    "name": one.subject.name,
                    "boot": one.subject.boot,
                    "witness": one.witness,
                    "zone": one.zone,
                    "against": one.against,
                    "good": one.good,
                    "bad": one.bad,
                    "age_ms": max(0, now - one.at_us) // 1000,
                }
                for one in list(self.verdicts.voices.values())[:200]
            ],
            "convicted": [f"{one.kind} {one.name}" for one in self.verdicts.bad],
            "orders": [
                {
                    "kind": one.subject.kind,
                    "name": one.subject.name,
                    "on": one.on,
                    "version": one.version,
                    "until": one.until_us // 1_000_000,
                    "who": one.who,
                    "why": one.why,
                }
                for one in self.verdicts.orders.values()
            ],
            "limits": [
                {
                    "limit": one.limit.tenant,
                    "window_s": one.limit.window_us // 1_000_000,
                    "until": one.limit.until_us // 1_000_000,
                    "cap": one.cap,
                    "may_spend": one.total,
                    "spent": one.used,
                    "waiting": len(one.waiting),
                }
                for one in list(self.units.accounts.values())[:100]
            ],
            "rates": [
                {
                    "tenant": tenant,
                    "rate": one.rate,
                    "share": round(one.pace(now), 2),
                    "demand": round(one.demand, 2),
                    "lease_ms": max(0, one.until_us - now) // 1000,
                }
                for tenant, one in list(self.rates.buckets.items())[:100]
            ],
            **(self.strain.status() if self.strain is not None else {}),
            **({"promises": self.promised.decider.status()} if self.promised is not None else {}),
            "granted": self.books.granted()[:100],
            "in_doubt": [book.marks(one.digest).key for _, one in self.books.in_doubt(unix)][:100],
            "links": {
                name: {
                    "up": out.peer,
                    "sent": out.sent,
                    "unacknowledged": out.bytes_out,
                    "dropped": out.dropped,
                    "phi": round(self.links.detectors[name].phi(now), 1),
                }
                for name, out in self.links.out.items()
            },
        }

    def explain(self, key: str) -> dict[str, Any]:
        """Return who owned a key when, and what is known of it here."""
        if not self.books.map.assignments:
            return {"key": key, "why": "no map is known"}
        at, assignment = self.books.assignment_of(key)
        copy = self.books.replicas.get(at)
        found = [
            {
                "run": said.id,
                "class": said.cls,
                "tenant": said.tenant,
                "standing": one.state.value,
                "at": one.at_us,
                "ran_at": one.server,
                "result_bytes": len(one.result),
            }
            for one in (copy.table.effects.values() if copy is not None else ())
            if one.digest and (said := book.marks(one.digest)).key == key
        ]
        return {
            "key": key,
            "partition": at,
            "epoch": assignment.epoch,
            "owner": assignment.owner,
            "backups": assignment.backups,
            "here": self.me,
            "epochs": list(self.epochs[at]),
            "runs": found,
            "lost": copy.table.lost_us if copy is not None else None,
        }
