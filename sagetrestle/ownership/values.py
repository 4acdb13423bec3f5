"""The arrangement that the council logs: who owns each partition in its epoch, and who holds its records.

A member's id is its name and the start of its process: ``name@boot``. Another start is another member.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec
import xxhash


def partition_of(key: str, count: int) -> int:
    """Return the partition of a key, of a power of two of them."""
    return xxhash.xxh3_64_intdigest(key.encode()) & (count - 1)


def member_name(id: str) -> str:
    """Return the name in a member's id."""
    return id.rpartition("@")[0]


class Origin(IntEnum):
    """Where an owner's records come from in an epoch."""

    KEPT = 0  # it was owner or backup before
    LOST = 1  # nobody who had them is left: what is not known is in doubt
    NEW = 2  # the fleet has never run before: there are none


class MemberInfo(msgspec.Struct, frozen=True, array_like=True):
    """A member: its id, its zone, its weight among the owners, and where its kernel can be asked."""

    id: str
    zone: str = ""
    weight: int = 1
    kernel: str = ""


MULTIPLE_OWNERS = "*"  # owners before whose leases may last: nobody can speak for all of them


class PartitionAssignment(msgspec.Struct, frozen=True, array_like=True):
    """The owner and replicas of one partition in one epoch.

    ``previous_owner`` is a former owner whose lease may still be valid, or ``MULTIPLE_OWNERS``.
    """

    epoch: int
    owner: str = ""
    backups: tuple[str, ...] = ()
    joining: tuple[str, ...] = ()
    origin: Origin = Origin.LOST
    previous_owner: str = ""

    @property
    def replicas(self) -> tuple[str, ...]:
        """Return all that get its records from the owner."""
        return self.backups + self.joining


class FleetMap(msgspec.Struct, frozen=True, array_like=True):
    """All of it, as of an entry of the council's log; ``first_epoch`` is the first epoch of that council."""

    version: int = 0
    assignments: tuple[PartitionAssignment, ...] = ()
    members: tuple[MemberInfo, ...] = ()
    first_epoch: int = 0

    @property
    def revision(self) -> tuple[int, int]:
        """Return what grows with each change, also where a council that was lost whole was formed anew."""
        return self.first_epoch, self.version

    def member(self, id: str) -> MemberInfo | None:
        """Return a member."""
        return next((one for one in self.members if one.id == id), None)

    def assignment_of(self, key: str) -> tuple[int, PartitionAssignment]:
        """Return a key's partition and its share."""
        at = partition_of(key, len(self.assignments))
        return at, self.assignments[at]


class FoundFleet(msgspec.Struct, frozen=True, array_like=True, tag="founded"):
    """The first entry: so many partitions, their first epoch, and where their records are."""

    partitions: int
    epoch: int
    origin: Origin


class AddMember(msgspec.Struct, frozen=True, array_like=True, tag="joined"):
    """A member started."""

    member: MemberInfo


class ReassignPartitions(msgspec.Struct, frozen=True, array_like=True, tag="arranged"):
    """Partitions change: each with the epoch that is changed; ``gone`` are members that are no more."""

    changes: tuple[tuple[int, int, PartitionAssignment], ...] = ()
    gone: tuple[str, ...] = ()


Command = FoundFleet | AddMember | ReassignPartitions


def apply_command(known: FleetMap, index: int, command: Command) -> FleetMap:
    """Return the map after an entry of the log; what names an epoch that is not the present one changes nothing."""
    assignments, members, first_epoch = known.assignments, known.members, known.first_epoch
    match command:
        case FoundFleet(partitions, epoch, origin) if not assignments:
            assignments, first_epoch = (
                tuple(PartitionAssignment(epoch, origin=origin) for _ in range(partitions)),
                epoch,
            )
        case AddMember(member):
            members = (*(one for one in members if one.id != member.id), member)
        case ReassignPartitions(changes, gone):
            changed = list(assignments)
            for at, epoch, assignment in changes:
                if at < len(changed) and changed[at].epoch == epoch and assignment.epoch == epoch + 1:
                    changed[at] = assignment
            assignments = tuple(changed)
            held = {id for one in assignments for id in (one.owner, *one.replicas)}
            members = tuple(one for one in members if one.id not in gone or one.id in held)
    return FleetMap(index, assignments, members, first_epoch)


@dataclass(frozen=True)
class FleetSettings:
    """What the operators set; ``min_backups`` backups must hold a record before its charge starts."""

    partitions: int = 64
    backups: int = 2
    min_backups: int = 1
    lease_us: int = 1_000_000
    drift: float = 0.01
    max_moves: int = 8  # partitions on their way to a better place at a time
    lost_after_us: int = 5_000_000  # how long members that are silent with all there is of records are waited for
    max_clock_skew_us: int = 500_000  # how far two members' time of day may be apart
    records: bool = False  # members keep their copies of records on disk
    new: bool = False  # the fleet has never run: no key can be in doubt
