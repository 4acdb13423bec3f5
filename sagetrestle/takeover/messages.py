"""What owners, backups and the council's leader say to each other about work in hand."""

from __future__ import annotations

import msgspec

from sagetrestle.consensus.messages import ConsensusMessage
from sagetrestle.ownership.values import FleetMap, MemberInfo, PartitionAssignment
from sagetrestle.overload.values import AdmissionLevel, AdmissionReport
from sagetrestle.gossip import RowDigests, RowBatch
from sagetrestle.objectives.values import RegionPlan, ServedCounts
from sagetrestle.quota import permits
from sagetrestle.recovery.effects import EffectRecord

MAX_RECORDS_PER_MESSAGE = 256
MAX_BYTES_PER_MESSAGE = 64 * 1024


class CouncilEnvelope(msgspec.Struct, frozen=True, array_like=True, tag="council"):
    """A message of the council's log, between two of its ids; ``to`` is a plain name until it is formed."""

    to: str
    sender: str
    message: ConsensusMessage


class LeaseRenewal(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """A member asks for its lease, says where it is, which map it knows, and whether it is on its way out."""

    number: int
    member: MemberInfo
    revision: tuple[int, int]
    leaving: bool = False


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag="granted"):
    """The lease of an asking, good only for one who knows the map of this order; ``map`` where it did not."""

    number: int
    revision: tuple[int, int]
    map: FleetMap | None = None


class ReplicaClaims(msgspec.Struct, frozen=True, array_like=True, tag="holds"):
    """A member tells the leader of which partitions it has what a start before it kept: label, and that start's id."""

    claims: tuple[tuple[int, int, str], ...]


class LeaderRedirect(msgspec.Struct, frozen=True, array_like=True, tag="elsewhere"):
    """The one asked does not lead the council; ``leader`` is who does, as far as it knows."""

    leader: str


class MapUpdate(msgspec.Struct, frozen=True, array_like=True, tag="map"):
    """The leader tells a new map."""

    map: FleetMap


class JoinersSynced(msgspec.Struct, frozen=True, array_like=True, tag="synced"):
    """An owner tells the council's leader which joining members have all records, by partition and epoch."""

    members: tuple[tuple[int, int, str], ...]


class EpochBase(msgspec.Struct, frozen=True, array_like=True, tag="base"):
    """An owner begins an epoch: from position ``position`` of an earlier epoch, ``content_epoch``, on."""

    partition: int
    assignment: PartitionAssignment
    content_epoch: int
    position: int


class AppendRecords(msgspec.Struct, frozen=True, array_like=True, tag="records"):
    """Entries of a partition in an epoch, behind position ``position``."""

    partition: int
    epoch: int
    position: int
    entries: tuple[EffectRecord, ...]


class RecordsAck(msgspec.Struct, frozen=True, array_like=True, tag="recorded"):
    """A copy has all up to ``position``; -1: it needs all of them."""

    partition: int
    epoch: int
    position: int


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="chunk"):
    """A part of all that holds at position ``position``: number ``index`` of ``count``."""

    partition: int
    epoch: int
    position: int
    index: int
    count: int
    entries: tuple[EffectRecord, ...]


class ChunkAck(msgspec.Struct, frozen=True, array_like=True, tag="fed"):
    """A chunk was taken."""

    partition: int
    epoch: int
    position: int
    index: int


class StaleEpoch(msgspec.Struct, frozen=True, array_like=True, tag="stale"):
    """What was said was of an epoch that is over: this is the share now."""

    partition: int
    assignment: PartitionAssignment


class OutcomeReport(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """One that owned a partition tells what became of a run of its own."""

    partition: int
    entry: EffectRecord


class OutcomeAck(msgspec.Struct, frozen=True, array_like=True, tag="thanks"):
    """The owner knows what became of this key."""

    partition: int
    key: str


class UnitRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask-units"):
    """A holder tells the granter of a limit what it keeps of it, and how much more it wants."""

    partition: int
    limit: str
    cap: int
    version: int
    total: int
    wanted: int


class UnitGrant(msgspec.Struct, frozen=True, array_like=True, tag="told-units"):
    """The granter tells a holder its part, and what is left of the cap; all backups have its record."""

    limit: str
    version: int
    total: int
    left: int


class UnitRecall(msgspec.Struct, frozen=True, array_like=True, tag="recall-units"):
    """The granter asks a holder for what it has not spent."""

    limit: str


class ShareReport(msgspec.Struct, frozen=True, array_like=True, tag="ask-share"):
    """A holder reports its demand of a tenant's rate, and the share that it has (a second)."""

    partition: int
    tenant: str
    number: int
    rate: float
    demand: float
    has: float


class ShareReportRequest(msgspec.Struct, frozen=True, array_like=True, tag="nudge-share"):
    """The granter has a holder report at once: another is short."""

    tenant: str


class ShareGrant(msgspec.Struct, frozen=True, array_like=True, tag="told-share"):
    """The granter's answer to a report."""

    tenant: str
    number: int
    share: float


class SlotReport(msgspec.Struct, frozen=True, array_like=True, tag="asked-slots"):
    """A holder reports on a server to its granter of this epoch; it takes no word of an earlier one any more."""

    partition: int
    epoch: int
    report: permits.PermitReport


class SlotGrant(msgspec.Struct, frozen=True, array_like=True, tag="told-slots"):
    """The granter tells a holder its share."""

    grant: permits.PermitGrant


class RegionLevelReport(msgspec.Struct, frozen=True, array_like=True, tag="asked-level"):
    """A member reports to a region's decider; ``level`` is what it was told last."""

    partition: int
    report: AdmissionReport
    level: float


class RegionLevel(msgspec.Struct, frozen=True, array_like=True, tag="told-level"):
    """A region's level, as its decider in an epoch has it now."""

    region: str
    level: AdmissionLevel
    epoch: int = 0


class ServedReport(msgspec.Struct, frozen=True, array_like=True, tag="asked-plans"):
    """A member reports what it counted of promised tenants to their decider, from the start of its life on."""

    partition: int
    epoch: int
    rows: tuple[ServedCounts, ...]


class PlanUpdate(msgspec.Struct, frozen=True, array_like=True, tag="told-plans"):
    """A decider in an epoch tells plans."""

    epoch: int
    plans: tuple[RegionPlan, ...]


class EpochQuery(msgspec.Struct, frozen=True, array_like=True, tag="ask-seen"):
    """A new owner asks the one before whether it knows that its epoch is over."""

    partition: int
    assignment: PartitionAssignment


class EpochSeen(msgspec.Struct, frozen=True, array_like=True, tag="seen"):
    """It does."""

    partition: int
    epoch: int


FleetMessage = (
    ReplicaClaims
    | CouncilEnvelope
    | LeaseRenewal
    | LeaseGrant
    | LeaderRedirect
    | MapUpdate
    | JoinersSynced
    | EpochBase
    | AppendRecords
    | RecordsAck
    | SnapshotChunk
    | ChunkAck
    | RowBatch
    | RowDigests
    | StaleEpoch
    | OutcomeReport
    | OutcomeAck
    | UnitRequest
    | UnitGrant
    | UnitRecall
    | ShareReport
    | ShareGrant
    | ShareReportRequest
    | SlotReport
    | SlotGrant
    | RegionLevelReport
    | RegionLevel
    | ServedReport
    | PlanUpdate
    | EpochQuery
    | EpochSeen
)


def weight(message: FleetMessage) -> int:
    """Return about how many bytes a message takes."""
    match message:
        case AppendRecords() | SnapshotChunk():
            return 64 + sum(120 + len(one.key) + len(one.result) for one in message.entries)
        case RowBatch(rows):
            return 64 + sum(80 + len(one.subject) + len(one.data) for one in rows)
        case RowDigests():
            return 640
        case ServedReport(rows=part) | PlanUpdate(plans=part):
            return 64 + 80 * len(part)
        case MapUpdate(known) | LeaseGrant(map=FleetMap() as known):
            return 64 + 120 * len(known.assignments) + 80 * len(known.members)
        case _:
            return 200
