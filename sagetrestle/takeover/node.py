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

from sagetrestle.consensus import raft
from sagetrestle.consensus.messages import Config, LogEntryKind
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
from sagetrestle.overload.values import AdmissionLevel, AdmissionReport
from sagetrestle.peers import links as link
from sagetrestle.peers.frames import ObserverQuery, ObserverReply
from sagetrestle.gossip import RowDigests, GossipStore, Row, RowBatch
from sagetrestle.objectives.values import RegionPlan, RegionReport, ServedCounts
from sagetrestle.quota import CapRequest as UnitAsk
from sagetrestle.quota import Limit, rates
from sagetrestle.quota import WaitersReady as UnitsReady
from sagetrestle.quota.cap_holder import CapHolder as UnitHolder
from sagetrestle.quota.cap_holder import CapResult as UnitWord
from sagetrestle.quota.rates import RateGranter as ShareGranter
from sagetrestle.quota.rates import RateHolder
from sagetrestle.quota.permits import PermitGrant
from sagetrestle.quota.values import allowance_key
from sagetrestle.recovery.effects import EffectRecord
from sagetrestle.recovery.effects import RecordKind
from sagetrestle.takeover import effect_log
from sagetrestle.takeover import messages
from sagetrestle.takeover.replica_changes import Change
from sagetrestle.takeover.gossip_kinds import KINDS
from sagetrestle.takeover.messages import weight
from sagetrestle.health_decisions import OperatorOrder, HealthDecisions, Subject

if TYPE_CHECKING:  # what is off is not loaded
    from sagetrestle.quota.permits import PermitReport
    from sagetrestle.takeover.promises import PromiseParticipant
    from sagetrestle.takeover.overload import OverloadParticipant

BUSY_TICK_US, IDLE_TICK_US, MIN_TICK_US = 50_000, 100_000, 10_000  # between two looks at what time brings
REPORT_INTERVAL_US = 50_000
PLAN_INTERVAL_US = 50_000
SWEEP_INTERVAL_US = 1_000_000
PICTURE_SAVE_INTERVAL_US = 250_000  # between two looks at what of the picture is to be written
VOTER_TIMEOUT_US = 3_000_000  # without a word from a voter, before its name's newer store takes its seat
EPOCH_HISTORY_LENGTH = 16  # a partition's, for whoever asks
COMMAND = msgspec.msgpack.Decoder(Command)
MAP = msgspec.msgpack.Decoder(FleetMap)


class Persist(NamedTuple):
    """Make this durable in the council's store, then say ``persisted``."""

    write: raft.PersistState


class PersistChanges(NamedTuple):
    """Make changes of this member's copies durable, then say ``kept``."""

    changes: tuple[Change, ...]


class ResetCouncilStore(NamedTuple):
    """The council's store may not be used any more; begin with an empty one."""

    why: str


class UnitsAvailable(NamedTuple):
    """What waited for units of this limit may ask again."""

    limit: Limit


class SubjectsConvicted(NamedTuple):
    """Independent witnesses convicted these now."""

    subjects: tuple[Subject, ...]


class SlotsReceived(NamedTuple):
    """A granter's word on a server's slots came for this member."""

    what: PermitGrant


class SavePicture(NamedTuple):
    """Put these rows of the picture into this member's file, in place of those before."""

    rows: tuple[Row, ...]


class PlansReceived(NamedTuple):
    """Tenants' plans came for this member."""

    plans: tuple[RegionPlan, ...]


class LevelReceived(NamedTuple):
    """The level of a region came for this member, so old by now."""

    region: str
    level: AdmissionLevel
    age_us: int = 0


class MapChanged(NamedTuple):
    """The map is another."""

    map: FleetMap


Decision = (
    link.Dial
    | link.WriteFrame
    | link.Close
    | Persist
    | PersistChanges
    | ResetCouncilStore
    | MapChanged
    | UnitsAvailable
    | SubjectsConvicted
    | SlotsReceived
    | LevelReceived
    | PlansReceived
    | SavePicture
    | effect_log.StartRun
    | effect_log.RejectAttempt
    | effect_log.RunResolved
    | effect_log.FenceKernel
    | effect_log.QueryServer
    | effect_log.LogLine
)


class OrderRequest(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's order as a member is asked for it."""

    kind: Literal["class"]
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    on: bool
    seconds: Annotated[float, msgspec.Meta(ge=0, le=31_536_000)]
    who: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    why: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


@dataclass(slots=True)
class LeaderState:
    """What only the council's leader keeps."""

    grantor: LeaseGrantor
    wanting: dict[str, MemberInfo] = field(default_factory=dict)  # members that are not on the map yet
    leaving: set[str] = field(default_factory=set)
    synced: set[tuple[int, int, str]] = field(default_factory=set)
    plan_us: int = 0
    orphans: dict[int, int] = field(default_factory=dict)  # partitions whose members are all silent, and since when
    unexpired: dict[int, int] = field(default_factory=dict)  # partitions, and when all owners before are over
    claims: dict[str, frozenset[tuple[int, int, str]]] = field(default_factory=dict)
    planned: tuple[object, ...] = ()  # what the last plan was made of, if it changed nothing


class Node:
    """One member."""

    def __init__(
        self,
        member: MemberInfo,
        council: tuple[str, ...],
        settings: FleetSettings,
        links: link.Links,
        window_us: int,
        voter: raft.RaftState | None = None,
    ) -> None:
        self.member, self.council, self.settings, self.links = member, council, settings, links
        self.member_id = member.id
        self.effect_log = effect_log.EffectLog(self.member_id, settings, window_us)
        self.lease = LeaseHolder(settings.lease_us)
        self.unit_holder = UnitHolder()
        self.rates, self.share_granter = RateHolder(), ShareGranter(settings.drift)
        name, _, life = member.id.rpartition("@")
        self.picture = GossipStore(
            name or member.id,
            int(life) if life.isdecimal() else 0,
            KINDS,
            int((name or member.id).encode().hex()[-8:] or "0", 16),
            settings.max_clock_skew_us,
        )
        self.verdicts = HealthDecisions(member.zone, self.picture)
        self._lasting: tuple[object, ...] = ()  # what was handed out last for this member's file
        self.keeps_picture, self._remember_us = False, 0
        self.overload: OverloadParticipant | None = None  # where overload is shed by the fleet as one
        self.promises: PromiseParticipant | None = None  # where tenants are promised something
        self.cap_of: Callable[[str], int | None] = lambda tenant: None  # as this member knows it; None: it does not
        self.voter = voter
        self.committed_map = FleetMap()  # as the council's log has it here
        self.leader = council[0]
        self.leaving = False
        self.leader_state = LeaderState(LeaseGrantor(settings.lease_us, settings.drift))
        self.epochs: dict[int, deque[tuple[int, int, str]]] = defaultdict(lambda: deque(maxlen=EPOCH_HISTORY_LENGTH))
        self._write_in_progress = False  # a batch of changes is being written
        self._batches_written = 0  # batches that were handed out
        self._held_decisions: deque[tuple[int, effect_log.Decision]] = (
            deque()
        )  # what may not be said before its batch is durable
        self._raft_decisions: deque[raft.Decision] = deque()
        self._raft_write = 0
        self._decisions: list[Decision] = []
        self._now = self._unix = 0
        self._granted_us = self._synced_us = self._sweep_us = 0

    # What the program says

    def start(self, now: int, unix: int) -> list[Decision]:
        """StartRun."""
        self._set_time(now, unix)
        if self.voter is not None:
            self._step_raft(raft.Started())
        return self._take_decisions()

    def handle_link_event(self, now: int, unix: int, event: link.Event) -> list[Decision]:
        """Take what the network brought."""
        self._set_time(now, unix)
        self._perform_link_decisions(self.links.step(now, event))
        return self._take_decisions()

    def handle_persisted(self, now: int, unix: int, done: bool) -> list[Decision]:
        """Take that the council's store has what it was given, or can not."""
        self._set_time(now, unix)
        last, self._raft_write = self._raft_write, 0
        if not done:
            self._decisions.append(
                effect_log.LogLine("the council's store can not be written: this member has no voice in it")
            )
        self._step_raft(raft.WriteCompleted(last, done))
        return self._take_decisions()

    def restore(self, kept: Mapping[int, tuple[int, str, Iterable[EffectRecord]]]) -> None:
        """Take what starts before this one kept; changes are handed out from now on. Before ``begin``."""
        self.effect_log.restore(kept)

    def handle_changes_persisted(self, now: int, unix: int, done: bool) -> list[Decision]:
        """Take that changes are durable, or can not be: then nothing more is acknowledged, and others take over."""
        self._set_time(now, unix)
        self._write_in_progress = False
        if not done:
            self._decisions.append(
                effect_log.LogLine("this member's records can not be written: it gives its partitions away")
            )
            self.leaving, self._write_in_progress = True, True
            self._renew_lease()
            return self._take_decisions()
        while self._held_decisions and self._held_decisions[0][0] <= self._batches_written:
            self._perform(self._held_decisions.popleft()[1])
        self._write_changes()
        return self._take_decisions()

    def reset_voter(self, now: int, unix: int, voter: raft.RaftState) -> list[Decision]:
        """Take a new seat, on an empty store."""
        self._set_time(now, unix)
        self.voter, self._raft_write, self.committed_map = voter, 0, FleetMap()
        self._raft_decisions.clear()
        self._step_raft(raft.Started())
        return self._take_decisions()

    def tick(self, now: int, unix: int) -> list[Decision]:
        """Do what time brings; due every few tens of milliseconds."""
        self._set_time(now, unix)
        self._perform_link_decisions(self.links.tick(now))
        if self.voter is not None:
            self._step_raft(raft.Tick())
            if raft.holds_lease(self.voter, now):
                self._run_leader()
        if now >= self.lease.due_us:
            self._renew_lease()
        self._perform_log_decisions(self.effect_log.tick(now, unix))
        if now >= self._synced_us:
            self._synced_us = now + REPORT_INTERVAL_US
            if found := self.effect_log.synced_joiners():
                self._send(self.leader, messages.JoinersSynced(found))
            self._request_units(self.unit_holder.tick(now, unix))
            self._report_demand()
            if self.overload is not None and self.effect_log.map.assignments:
                self._send_all(self.overload.passed(now, unix, self._owns_key))
                self._decisions += [effect_log.LogLine(text) for text in self.overload.notes()]
                self._decisions += [LevelReceived(*one) for one in self.overload.heard_by_others(now)]
            if self.promises is not None and self.effect_log.map.assignments:
                self._send_all(self.promises.passed(now, unix, self._owns_key))
                self._decisions += [effect_log.LogLine(text) for text in self.promises.decider.notes()]
            self._gossip()
        if self.keeps_picture and now >= self._remember_us:
            self._remember_us = now + PICTURE_SAVE_INTERVAL_US
            self._save_picture()
        if now >= self._sweep_us:
            self._sweep_us = now + SWEEP_INTERVAL_US
            self.effect_log.evict_expired(unix)
            self.share_granter.tick(now)
        return self._take_decisions()

    def next_tick_us(self, now: int) -> int:
        """Return when ``passed`` is due: soon while something is under way, else with the next thing that is."""
        links = self.links
        busy = (
            self.effect_log.has_pending_work(now)
            or any(out.unacked or out.state is not link.LinkState.UP for out in links.outbound.values())
            or any(one.last_received > one.last_acked for one in links.inbound.values())
        )
        times = [now + (BUSY_TICK_US if busy else IDLE_TICK_US), self.lease.due_us]
        if self.voter is not None:
            times.append(self.voter.timer_due_us)
        return max(now + MIN_TICK_US, min(times))

    def start_leaving(self, now: int, unix: int) -> list[Decision]:
        """Be on the way out: what is owned here goes to others as soon as it can."""
        self._set_time(now, unix)
        self.leaving = True
        self._renew_lease()
        return self._take_decisions()

    # What the core asks; all answers are of this moment

    def owns(self, partition: int, now: int) -> bool:
        """Tell whether this member may act as a partition's owner now."""
        return self.lease.is_held(now) and self.effect_log.owns(partition, now)

    def record_intent(self, now: int, unix: int, partition: int, id: str, entry: EffectRecord) -> list[Decision]:
        """Record an intent. Raises EffectError."""
        self._set_time(now, unix)
        self._perform_log_decisions(self.effect_log.record_intent(now, partition, id, entry))
        return self._take_decisions()

    def record_outcome(self, now: int, unix: int, partition: int, entry: EffectRecord) -> list[Decision]:
        """Take what became of a run."""
        self._set_time(now, unix)
        self._perform_log_decisions(self.effect_log.record_outcome(now, partition, entry))
        return self._take_decisions()

    def take_unit(self, now: int, unix: int, limit: Limit, cap: int, id: str) -> tuple[UnitWord, list[Decision]]:
        """Take a unit of a hard limit for a charge, or have one asked for."""
        self._set_time(now, unix)
        word = self.unit_holder.take(now, limit, cap, id)
        if word is UnitWord.WAITING:
            self._request_units(self.unit_holder.request_units(now, limit))
        return word, self._take_decisions()

    def observe_results(self, now: int, unix: int, seen: Iterable[tuple[Subject, int, int]]) -> list[Decision]:
        """Take what became of requests to subjects lately: good and bad of each."""
        self._set_time(now, unix)
        for subject, good, bad in seen:
            self.verdicts.record_outcomes(now, unix, subject, good, bad)
        self._gossip()
        return self._take_decisions()

    def report_slots(self, now: int, unix: int, asks: Iterable[PermitReport]) -> list[Decision]:
        """Take what this member wants and has of servers' slots."""
        self._set_time(now, unix)
        if self.overload is not None and self.effect_log.map.assignments:
            self._send_all(self.overload.report_slots(asks))
        return self._take_decisions()

    def report_level(self, now: int, unix: int, report: AdmissionReport) -> list[Decision]:
        """Take what came to this member of late."""
        self._set_time(now, unix)
        if self.overload is not None and self.effect_log.map.assignments:
            self._send_all(self.overload.report_level(report))
        return self._take_decisions()

    def report_served(
        self, now: int, unix: int, rows: Iterable[ServedCounts], lines: Iterable[tuple[str, str, RegionReport]]
    ) -> list[Decision]:
        """Take what this member counted of promised tenants, and saw of regions."""
        self._set_time(now, unix)
        if self.promises is not None and self.effect_log.map.assignments:
            self.promises.seen(now, unix, lines)
            self._send_all(self.promises.report(rows))
        return self._take_decisions()

    def mark_in_doubt(self, now: int, unix: int, partition: int, effect_key: str) -> list[Decision]:
        """Take that a run of one's own is over, and that its end is not known."""
        self._set_time(now, unix)
        self._perform_log_decisions(self.effect_log.mark_in_doubt(now, unix, partition, effect_key))
        return self._take_decisions()

    def handle_run_fate(
        self,
        now: int,
        unix: int,
        partition: int,
        epoch: int,
        run: str,
        kind: RecordKind,
        result: bytes,
        fenced: bool = True,
    ) -> list[Decision]:
        """Take a kernel's or a server's word on a run in doubt."""
        self._set_time(now, unix)
        self._perform_log_decisions(
            self.effect_log.handle_run_fate(now, partition, epoch, run, kind, result, unix, fenced)
        )
        return self._take_decisions()

    # Inside

    def _set_time(self, now: int, unix: int) -> None:
        self._now, self._unix = now, unix

    def _take_decisions(self) -> list[Decision]:
        found, self._decisions = self._decisions, []
        return found

    def _send(self, to: str, message: messages.FleetMessage) -> None:
        if (member_name(to) or to) == member_name(self.member_id):
            if "@" not in to or to == self.member_id:
                self._handle_message(self.member_id, message)
            return
        self._perform_link_decisions(self.links.send(self._now, to, message, weight(message)))

    def _perform_link_decisions(self, decisions: Iterable[link.Decision]) -> None:
        for what in decisions:
            match what:
                case link.MessageReceived(sender, message):
                    self._handle_message(sender, message)
                case link.ObserverRequest(connection, ask):
                    self._answer_query(connection, ask)
                case link.LogLine(text):
                    self._decisions.append(effect_log.LogLine(text))
                case _:
                    self._decisions.append(what)

    def _perform_log_decisions(self, decisions: Iterable[effect_log.Decision]) -> None:
        self._write_changes()
        for what in decisions:
            relies = (
                isinstance(what, effect_log.StartRun)
                or isinstance(what, effect_log.SendMessage)
                and isinstance(what.message, messages.RecordsAck | messages.UnitGrant)
            )
            if relies and (self._write_in_progress or self._held_decisions):
                # What is written now may not have all that it relies on: then it waits for the batch after.
                self._held_decisions.append((self._batches_written + bool(self.effect_log.changes), what))
            else:
                self._perform(what)

    def _perform(self, what: effect_log.Decision) -> None:
        if isinstance(what, effect_log.SendMessage):
            self._send(what.to, what.message)
        else:
            self._decisions.append(what)

    def _write_changes(self) -> None:
        """Have changes written, one batch at a time."""
        if self.effect_log.changes and not self._write_in_progress:
            changes, self.effect_log.changes = tuple(self.effect_log.changes), []
            self._write_in_progress = True
            self._batches_written += 1
            self._decisions.append(PersistChanges(changes))

    def _handle_message(self, sender: str, message: Any) -> None:
        now, unix, log = self._now, self._unix, self.effect_log
        match message:
            case messages.CouncilEnvelope(to, id, said):
                if self.voter is not None and ("#" not in to or to == self.voter.id):
                    self._step_raft(raft.Received(id, said))
            case messages.LeaseRenewal():
                self._handle_renewal(sender, message)
            case messages.ReplicaClaims(claims):
                self.leader_state.claims[sender] = frozenset(claims)
            case messages.LeaseGrant(number, order, known):
                if known is not None:
                    self._apply_map(known)
                if log.map.revision >= order:
                    self.lease.accept_grant(number)
                    self.leader, self._granted_us = member_name(sender), now
            case messages.LeaderRedirect(leader):
                if leader and leader != self.leader:
                    self.leader = leader
                    self.lease.due_us = min(self.lease.due_us, now + 10_000)
            case messages.MapUpdate(known):
                self._apply_map(known)
            case messages.JoinersSynced(members):
                self.leader_state.synced |= set(members)
            case messages.EpochBase():
                self._perform_log_decisions(log.handle_base(now, unix, sender, message))
            case messages.AppendRecords():
                self._perform_log_decisions(log.handle_records(sender, message))
            case messages.RecordsAck():
                self._perform_log_decisions(log.handle_ack(now, sender, message))
            case messages.SnapshotChunk():
                self._perform_log_decisions(log.handle_chunk(sender, message))
            case messages.ChunkAck():
                self._perform_log_decisions(log.handle_chunk_ack(now, sender, message))
            case messages.StaleEpoch():
                self._perform_log_decisions(log.handle_stale(now, unix, message))
            case messages.OutcomeReport():
                self._perform_log_decisions(log.handle_outcome(now, unix, sender, message))
            case messages.OutcomeAck():
                log.handle_outcome_ack(message)
            case RowBatch() | RowDigests():
                self._handle_gossip(sender, message)
            case messages.UnitRequest():
                self._handle_unit_request(sender, message)
            case messages.UnitGrant():
                self._handle_unit_grant(message)
            case messages.ShareReport():
                self._handle_share_report(sender, message)
            case messages.ShareGrant(tenant, number, share):
                self.rates.apply_share(now, tenant, number, share)
            case messages.ShareReportRequest(tenant) if log.map.assignments:
                self._send_share_reports(self.rates.report_now(now, tenant))
            case messages.SlotReport() | messages.RegionLevelReport() if self.overload is not None:
                self._handle_overload_report(self.overload, sender, message)
            case messages.SlotGrant(what) if self.overload is not None and self.overload.counts(what):
                self._decisions.append(SlotsReceived(what))
            case messages.RegionLevel(region=region, level=level) if self.overload is not None:
                if self.overload.told_level(now, region, level, message.epoch):
                    self._decisions.append(LevelReceived(region, level))
            case messages.ServedReport(partition=partition) if self.promises is not None:
                if self.owns(partition, now) and message.epoch == log.replicas[partition].assignment.epoch:
                    self.promises.asked(now, unix, log.replicas[partition].owned_since_us, sender, message)
            case messages.PlanUpdate() if self.promises is not None:
                if plans := self.promises.told(message):
                    self._decisions.append(PlansReceived(plans))
            case messages.UnitRecall(limit):
                self._request_units(self.unit_holder.recall(now, limit))
            case messages.EpochQuery():
                self._perform_log_decisions(log.handle_epoch_query(now, unix, sender, message))
            case messages.EpochSeen():
                log.handle_epoch_seen(sender, message)

    def _apply_map(self, known: FleetMap) -> None:
        """Take a newer map: records follow it, whoever watches is told."""
        if known.revision <= self.effect_log.map.revision:
            return
        for partition, assignment in enumerate(known.assignments):
            if not self.epochs[partition] or self.epochs[partition][-1][1] != assignment.epoch:
                self.epochs[partition].append((self._unix, assignment.epoch, assignment.owner))
        self.verdicts.multi_zone = len({one.zone for one in known.members if one.zone}) > 1
        self.picture.members = max(1, len(known.members))
        if self.overload is not None:
            self.overload.see_zones({one.id: one.zone for one in known.members} if self.verdicts.multi_zone else {})
        self._perform_log_decisions(self.effect_log.apply_map(self._now, self._unix, known))
        self._decisions.append(MapChanged(known))
        for connection in self.links.observer_connections():
            self._perform_link_decisions(
                self.links.send_to_observer(connection, link.NumberedMessage(known.version, messages.MapUpdate(known)))
            )

    # The picture, and verdicts by it

    def _gossip(self) -> None:
        """Tell others what is new of the picture, and go by it."""
        now, unix = self._now, self._unix
        peers = tuple(name for name, out in self.links.outbound.items() if out.state is link.LinkState.UP)
        self.verdicts.tick(now, unix)
        for one in self.picture.tick(now, unix, peers):
            self._send(one.to, one.message)
        if found := self.verdicts.newly_unhealthy(now):
            self._decisions.append(SubjectsConvicted(found))

    def _handle_gossip(self, sender: str, message: RowBatch | RowDigests) -> None:
        now, unix = self._now, self._unix
        known = self.verdicts.orders
        for one in self.picture.receive(now, unix, member_name(sender), message):
            self._send(one.to, one.message)
        if known is not self.verdicts.orders:
            for subject, order in self.verdicts.orders.items():
                if known.get(subject) != order:
                    self._note_order(order)
        if found := self.verdicts.newly_unhealthy(now):
            self._decisions.append(SubjectsConvicted(found))

    def _save_picture(self) -> None:
        """Hand out what of the picture is to outlive this process, where it changed."""
        rows = self.picture.persistent_rows(self._now)
        said = tuple(sorted((one.key, one.order) for one in rows))
        if said != self._lasting:
            self._lasting = said
            self._decisions.append(SavePicture(rows))

    def restore_picture(self, now: int, unix: int, rows: Iterable[Row]) -> None:
        """Take what a start before this one kept of the picture."""
        self.picture.members = len(self.links.outbound) + 1
        self.picture.restore(now, unix, rows)
        for order in self.verdicts.orders.values():
            self._note_order(order)

    def _note_order(self, order: OperatorOrder) -> None:
        what = "paused" if order.on else "on again"
        self._decisions.append(
            effect_log.LogLine(
                f"{order.subject.kind} {order.subject.name} is {what} by {order.operator}: {order.reason}"
            )
        )

    def _apply_order(self, text: str) -> dict[str, Any]:
        """Take an operator's order."""
        try:
            asked = msgspec.json.decode(text, type=OrderRequest)
        except msgspec.MsgspecError as error:
            return {"error": str(error)}
        until = self._unix + int(asked.seconds * 1e6) if asked.seconds else 0
        order = self.verdicts.issue_order(
            self._now, self._unix, Subject(asked.kind, asked.name), asked.on, until, asked.who, asked.why
        )
        self._note_order(order)
        return {"member": self.member_id, "version": order.version, "until": until}

    # Limits

    def _request_units(self, asks: Iterable[UnitAsk | UnitsReady]) -> None:
        for ask in asks:
            if isinstance(ask, UnitsReady):
                self._decisions.append(UnitsAvailable(ask.limit))
            elif self.effect_log.map.assignments:
                partition, assignment = self.effect_log.assignment_of(allowance_key(ask.limit.tenant))
                self._send(assignment.owner, messages.UnitRequest(partition, ask.limit.name, ask.cap, *ask[2:]))

    def _handle_unit_request(self, sender: str, ask: messages.UnitRequest) -> None:
        """Decide as the granter, which only the owner of its partition is, and only under its lease."""
        partition = ask.partition
        if not self.owns(partition, self._now) or not self.effect_log.has_enough_backups(partition):
            return  # it is asked again, or another is
        known = self.cap_of(Limit.named(ask.limit).tenant)
        self._perform_log_decisions(
            self.effect_log.grant_units(
                self._now, self._unix, sender, ask, ask.cap if known is None else known, self.settings.max_clock_skew_us
            )
        )

    def _handle_unit_grant(self, what: messages.UnitGrant) -> None:
        for one in self.unit_holder.apply_grant(self._now, what.limit, what.version, what.total, what.left):
            self._decisions.append(UnitsAvailable(one.limit))

    def _report_demand(self) -> None:
        if self.rates.buckets and self.effect_log.map.assignments:
            self._send_share_reports(self.rates.tick(self._now))

    def _send_share_reports(self, asks: Iterable[rates.RateReport]) -> None:
        for ask in asks:
            partition, assignment = self.effect_log.assignment_of(allowance_key(ask.tenant))
            self._send(assignment.owner, messages.ShareReport(partition, *ask))

    def _handle_share_report(self, sender: str, ask: messages.ShareReport) -> None:
        """Share a rate out as the granter, under the lease of its partition."""
        if not self.owns(ask.partition, self._now):
            return
        what = rates.RateReport(ask.tenant, ask.number, ask.rate, ask.demand, ask.has)
        share = self.share_granter.handle_report(
            self._now, self.effect_log.replicas[ask.partition].owned_since_us, sender, what
        )
        if share is not None:
            self._send(sender, messages.ShareGrant(ask.tenant, ask.number, share))
            for holder in self.share_granter.take_report_requests(ask.tenant):
                self._send(holder, messages.ShareReportRequest(ask.tenant))

    # Overload

    def _owns_key(self, key: str) -> bool:
        return self.owns(self.effect_log.assignment_of(key)[0], self._now)

    def _send_all(self, said: Iterable[tuple[str, messages.FleetMessage]]) -> None:
        for to, message in said:
            self._send(to, message)

    def _handle_overload_report(
        self, overload: OverloadParticipant, sender: str, what: messages.SlotReport | messages.RegionLevelReport
    ) -> None:
        """Decide as the owner of a partition, under its lease; a report that finds another is made again soon."""
        if not self.owns(what.partition, self._now):
            return
        replica = self.effect_log.replicas[what.partition]
        if isinstance(what, messages.SlotReport) and what.epoch != replica.assignment.epoch:
            return
        if isinstance(what, messages.RegionLevelReport):
            overload.asked_level(self._now, replica.owned_since_us, sender, what)
        else:
            everyone = [one.id for one in self.effect_log.map.members]
            self._send_all(overload.asked_slots(self._now, replica.owned_since_us, sender, what, everyone))

    # The lease

    def _renew_lease(self) -> None:
        now = self._now
        number = self.lease.start_request(now)
        if now - self._granted_us > self.settings.lease_us // 2:  # the one asked may lead no more
            self.leader = self.council[number % len(self.council)]
            self.lease.due_us = now + int(self.settings.lease_us * 0.1)
        self._send(self.leader, messages.LeaseRenewal(number, self.member, self.effect_log.map.revision, self.leaving))
        if self.effect_log.kept and (claims := self.effect_log.claims()):
            self._send(self.leader, messages.ReplicaClaims(claims))

    def _handle_renewal(self, sender: str, ask: messages.LeaseRenewal) -> None:
        if ask.member.id != sender:
            return
        if self.voter is None or not raft.holds_lease(self.voter, self._now):
            leader = self.voter.leader.partition("#")[0] if self.voter is not None else ""
            if leader != member_name(self.member_id):
                self._send(sender, messages.LeaderRedirect(leader))
            return
        if self.committed_map.member(sender) != ask.member:
            self.leader_state.wanting[sender] = ask.member
            return
        if self.voter.commit_index < self.voter.last_position[0] and not self.leader_state.grantor.may_hold(
            sender, self._now
        ):
            return  # its work may be given away by what is not committed yet: only a map that says so may be granted on
        (self.leader_state.leaving.add if ask.leaving else self.leader_state.leaving.discard)(sender)
        self.leader_state.grantor.record_grant(sender, self._now)
        known = self.committed_map if ask.revision != self.committed_map.revision else None
        self._send(sender, messages.LeaseGrant(ask.number, self.committed_map.revision, known))

    # The council

    def _step_raft(self, event: raft.Event) -> None:
        assert self.voter is not None
        self.voter, decisions = raft.step(self.voter, self._now, event)
        self._raft_decisions += decisions
        while self._raft_decisions and not self._raft_write:
            self._perform_raft_decision(self._raft_decisions.popleft())

    def _perform_raft_decision(self, what: raft.Decision) -> None:
        assert self.voter is not None
        match what:
            case raft.PersistState():
                self._raft_write = max(1, what.last_index)
                self._decisions.append(Persist(what))
            case raft.Send(to, message):
                self._send(to.partition("#")[0], messages.CouncilEnvelope(to, self.voter.id, message))
            case raft.Apply(entries):
                known = self.committed_map
                for one in entries:
                    if one.kind is LogEntryKind.COMMAND:
                        known = apply_command(known, one.index, COMMAND.decode(one.data))
                self._apply_committed_map(known)
                if self.voter.applied_index - self.voter.snapshot.index >= raft.SNAPSHOT_AFTER_ENTRIES:
                    self._step_raft(raft.Compact(msgspec.msgpack.encode(self.committed_map)))
            case raft.Restore(data):
                if data:
                    self._apply_committed_map(MAP.decode(data))
            case raft.LeadershipChanged(True):
                self.leader_state = LeaderState(LeaseGrantor(self.settings.lease_us, self.settings.drift))
                self.leader_state.grantor.start_term(self._now)
                self._decisions.append(effect_log.LogLine("leads the council"))
            case raft.LeadershipChanged(False):
                self._decisions.append(effect_log.LogLine("leads the council no more"))
            case raft.StoreRolledBack(why):
                self._decisions.append(ResetCouncilStore(why))

    def _apply_committed_map(self, known: FleetMap) -> None:
        changed = known.revision > self.committed_map.revision
        for partition, (old, new) in enumerate(zip(self.committed_map.assignments, known.assignments, strict=False)):
            if (
                new.epoch != old.epoch and new.previous_owner
            ):  # until now its owner before may have been granted a lease
                self.leader_state.unexpired[partition] = self._now + self.leader_state.grantor.max_grant_us
        self.committed_map = known
        self._apply_map(known)
        if changed and self.voter is not None and self.voter.role is raft.Role.LEADER:
            for member in known.members:
                if member.id != self.member_id:
                    self._send(member.id, messages.MapUpdate(known))

    def _run_leader(self) -> None:
        """Do the leader's work: one entry at a time, each decided on what is committed."""
        voter, now, leader_state = self.voter, self._now, self.leader_state
        assert voter is not None
        if voter.commit_index < voter.last_position[0] or now < leader_state.plan_us:
            return
        leader_state.plan_us = now + PLAN_INTERVAL_US
        if not self.committed_map.assignments:
            # Epochs grow over a council that was lost whole as well, as far as the time of day does.
            origin = Origin.NEW if self.settings.new else Origin.LOST
            self._propose(FoundFleet(self.settings.partitions, (self._unix // 1_000_000) << 20, origin))
        elif leader_state.wanting:
            member = leader_state.wanting.pop(next(iter(leader_state.wanting)))
            leader_state.grantor.record_grant(member.id, now)  # so that it is not gone before it could ask again
            self._propose(AddMember(member))
        elif not self._replace_lost_voter():
            known = {one.id for one in self.committed_map.members}
            leader_state.grantor.retain_members(known)
            leader_state.leaving &= known
            alive = {id for id in known if leader_state.grantor.may_hold(id, now)}
            awaited = self._awaited_partitions(alive)
            leader_state.claims = {id: claims for id, claims in leader_state.claims.items() if id in known}
            of = (
                self.committed_map.version,
                alive,
                set(leader_state.leaving),
                frozenset(leader_state.synced),
                awaited,
                dict(leader_state.claims),
                unexpired := self._unexpired_partitions(),
            )
            if of == leader_state.planned:
                return
            plan = Planner(
                self.committed_map,
                alive,
                leader_state.leaving,
                frozenset(leader_state.synced),
                self.settings,
                awaited,
                unexpired,
                leader_state.claims,
            )
            changes, gone = plan.plan_changes(), plan.removable_members()
            leader_state.planned = () if changes or gone else of
            leader_state.synced = {
                one
                for one in leader_state.synced
                if one[0] < len(self.committed_map.assignments)
                and self.committed_map.assignments[one[0]].epoch == one[1]
            }
            if changes or gone:
                self._propose(ReassignPartitions(changes, gone))

    def _unexpired_partitions(self) -> frozenset[int]:
        """Return partitions of whose owner before the lease may still last: of all, where this one began to lead."""
        leader_state, now = self.leader_state, self._now
        if now < leader_state.grantor.leading_since_us + leader_state.grantor.max_grant_us:
            return frozenset(range(len(self.committed_map.assignments)))
        leader_state.unexpired = {
            partition: until for partition, until in leader_state.unexpired.items() if now < until
        }
        return frozenset(leader_state.unexpired)

    def _awaited_partitions(self, alive: set[str]) -> frozenset[int]:
        """Return partitions whose records are with silent members alone, as long as those are waited for.

        A member that is stopped or cut off has them still; one whose name has started anew has not.
        """
        newest = {member_name(one.id): one.id for one in self.committed_map.members}
        waiting, now = {}, self._now
        for partition, assignment in enumerate(self.committed_map.assignments):
            held = (assignment.owner, *assignment.backups)
            if (
                assignment.owner
                and not alive & set(held)
                and (self.settings.records or any(newest.get(member_name(id)) == id for id in held))
            ):
                waiting[partition] = self.leader_state.orphans.get(partition, now)
        self.leader_state.orphans = waiting
        return frozenset(partition for partition, since in waiting.items() if now - since < self.settings.lost_after_us)

    def _propose(self, command: Command) -> None:
        self._step_raft(raft.Propose(msgspec.msgpack.encode(command)))

    def _replace_lost_voter(self) -> bool:
        """Give the seat of a voter whose store is gone to the one that its name has now, as a learner first."""
        voter, now = self.voter, self._now
        assert voter is not None
        if not raft.can_change_config(voter):
            return False
        config = voter.config
        for id in config.learners:
            known = voter.progress.get(id)
            if (
                known is not None
                and known.match_index >= voter.commit_index - 1
                and now - known.last_response_us < VOTER_TIMEOUT_US
            ):
                others = tuple(one for one in config.learners if one != id)
                self._step_raft(raft.ChangeConfig(Config((*config.voters, id), others)))
                return True
            if known is not None and now - max(known.last_response_us, voter.leader_since_us) > VOTER_TIMEOUT_US:
                self._step_raft(
                    raft.ChangeConfig(Config(config.voters, tuple(one for one in config.learners if one != id)))
                )
                return True
        for id, at in voter.empty_store_peers.items():
            name = id.partition("#")[0]
            if name not in self.council or id in config.members or now - at > VOTER_TIMEOUT_US:
                continue
            old = next((one for one in config.voters if one.partition("#")[0] == name), None)
            heard = voter.progress[old].last_response_us if old in voter.progress else voter.leader_since_us
            silent = old is None or now - max(heard, voter.leader_since_us) > VOTER_TIMEOUT_US
            if silent and len(config.learners) < 2:
                voters = tuple(one for one in config.voters if one != old)
                learners = tuple(one for one in config.learners if one.partition("#")[0] != name)
                self._step_raft(raft.ChangeConfig(Config(voters, (*learners, id))))
                return True
        return False

    # Whoever asks

    def _answer_query(self, connection: int, ask: ObserverQuery | None) -> None:
        if ask is None:
            known = self.effect_log.map
            if known.version:
                self._perform_link_decisions(
                    self.links.send_to_observer(
                        connection, link.NumberedMessage(known.version, messages.MapUpdate(known))
                    )
                )
            return
        told = (
            self.status()
            if ask.query == "status"
            else self._apply_order(ask.key)
            if ask.query == "order"
            else self.explain(ask.key)
        )
        self._perform_link_decisions(self.links.send_to_observer(connection, ObserverReply(msgspec.json.encode(told))))

    def status(self) -> dict[str, Any]:
        """Return how things stand here, in plain values."""
        now, unix, known = self._now, self._unix, self.effect_log.map
        owned = [
            partition
            for partition, replica in self.effect_log.replicas.items()
            if replica.assignment.owner == self.member_id
        ]
        council: dict[str, Any] = {}
        if self.voter is not None:
            council = {
                "id": self.voter.id,
                "role": self.voter.role.value,
                "term": self.voter.term,
                "leader": self.voter.leader,
                "voters": self.voter.config.voters,
                "learners": self.voter.config.learners,
                "commit": self.voter.commit_index,
            }
        return {
            "member": self.member_id,
            "zone": self.member.zone,
            "council": council,
            "map": known.version,
            "lease_ms": max(0, self.lease.until_us - now) // 1000,
            "partitions": len(known.assignments),
            "owned": len(owned),
            "ready": sum(
                self.owns(partition, now) and self.effect_log.has_enough_backups(partition) for partition in owned
            ),
            "unowned": [
                partition
                for partition, one in enumerate(known.assignments)
                if known.member(one.owner) is None or len(one.backups) < self.settings.min_backups
            ],
            "epochs": [
                min((one.epoch for one in known.assignments), default=0),
                max((one.epoch for one in known.assignments), default=0),
            ],
            "taken_over": self.effect_log.taken_over,
            "adopted": self.effect_log.adopted,
            "freed": self.effect_log.freed,
            "verdicts": [
                {
                    "kind": one.subject.kind,
                    "name": one.subject.name,
                    "boot": one.subject.boot,
                    "witness": one.reporter,
                    "zone": one.zone,
                    "against": one.is_negative,
                    "good": one.good,
                    "bad": one.bad,
                    "age_ms": max(0, now - one.at_us) // 1000,
                }
                for one in list(self.verdicts.reports.values())[:200]
            ],
            "convicted": [f"{one.kind} {one.name}" for one in self.verdicts.unhealthy],
            "orders": [
                {
                    "kind": one.subject.kind,
                    "name": one.subject.name,
                    "on": one.on,
                    "version": one.version,
                    "until": one.until_us // 1_000_000,
                    "who": one.operator,
                    "why": one.reason,
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
                for one in list(self.unit_holder.accounts.values())[:100]
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
            **(self.overload.status() if self.overload is not None else {}),
            **({"promises": self.promises.decider.status()} if self.promises is not None else {}),
            "granted": self.effect_log.grants_status()[:100],
            "in_doubt": [
                effect_log.unpack_attempt(one.digest).key for _, one in self.effect_log.effects_in_doubt(unix)
            ][:100],
            "links": {
                name: {
                    "up": out.peer_id,
                    "sent": out.sent,
                    "unacknowledged": out.unacked_bytes,
                    "dropped": out.dropped,
                    "phi": round(self.links.detectors[name].phi(now), 1),
                }
                for name, out in self.links.outbound.items()
            },
        }

    def explain(self, key: str) -> dict[str, Any]:
        """Return who owned a key when, and what is known of it here."""
        if not self.effect_log.map.assignments:
            return {"key": key, "why": "no map is known"}
        partition, assignment = self.effect_log.assignment_of(key)
        replica = self.effect_log.replicas.get(partition)
        found = [
            {
                "run": said.id,
                "class": said.class_name,
                "tenant": said.tenant,
                "standing": one.state.value,
                "at": one.at_us,
                "ran_at": one.server,
                "result_bytes": len(one.result),
            }
            for one in (replica.table.effects.values() if replica is not None else ())
            if one.digest and (said := effect_log.unpack_attempt(one.digest)).key == key
        ]
        return {
            "key": key,
            "partition": partition,
            "epoch": assignment.epoch,
            "owner": assignment.owner,
            "backups": assignment.backups,
            "here": self.member_id,
            "epochs": list(self.epochs[partition]),
            "runs": found,
            "lost": replica.table.lost_us if replica is not None else None,
        }
