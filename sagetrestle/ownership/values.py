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


def name_of(id: str) -> str:
    """Return the name in a member's id."""
    return id.rpartition("@")[0]


class Origin(IntEnum):
    """Where an owner's records come from in an epoch."""

    KEPT = 0  # it was owner or backup before
    LOST = 1  # nobody who had them is left: what is not known is in doubt
    NEW = 2  # the fleet has never run before: there are none


class Place(msgspec.Struct, frozen=True, array_like=True):
    """A member: its id, its zone, its weight among the owners, and where its kernel can be asked."""

    id: str
    zone: str = ""
    weight: int = 1
    kernel: str = ""


SEVERAL = "*"  # owners before whose leases may last: nobody can speak for all of them


class Share(msgspec.Struct, frozen=True, array_like=True):
    """One partition in one epoch. ``before`` is an owner before whose lease may still last, or ``SEVERAL``."""

    epoch: int
    owner: str = ""
    backups: tuple[str, ...] = ()
    joining: tuple[str, ...] = ()
    origin: Origin = Origin.LOST
    before: str = ""

    @property
    def copies(self) -> tuple[str, ...]:
        """Return all that get its records from the owner."""
        return self.backups + self.joining


class FleetMap(msgspec.Struct, frozen=True, array_like=True):
    """All of it, as of an entry of the council's log; ``born`` is the first epoch of that council."""

    version: int = 0
    shares: tuple[Share, ...] = ()
    places: tuple[Place, ...] = ()
    born: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return what grows with each change, also where a council that was lost whole was formed anew."""
        return self.born, self.version

    def place(self, id: str) -> Place | None:
        """Return a member."""
        return next((one for one in self.places if one.id == id), None)

    def share_of(self, key: str) -> tuple[int, Share]:
        """Return a key's partition and its share."""
        at = partition_of(key, len(self.shares))
        return at, self.shares[at]


class Founded(msgspec.Struct, frozen=True, array_like=True, tag="founded"):
    """The first entry: so many partitions, their first epoch, and where their records are."""

    partitions: int
    epoch: int
    origin: Origin


class Joined(msgspec.Struct, frozen=True, array_like=True, tag="joined"):
    """A member started."""

    place: Place


class Arranged(msgspec.Struct, frozen=True, array_like=True, tag="arranged"):
    """Partitions change: each with the epoch that is changed; ``gone`` are members that are no more."""

    changes: tuple[tuple[int, int, Share], ...] = ()
    gone: tuple[str, ...] = ()


Command = Founded | Joined | Arranged


def apply(known: FleetMap, index: int, command: Command) -> FleetMap:
    """Return the map after an entry of the log; what names an epoch that is not the present one changes nothing."""
    shares, places, born = known.shares, known.places, known.born
    match command:
        case Founded(partitions, epoch, origin) if not shares:
            shares, born = tuple(Share(epoch, origin=origin) for _ in range(partitions)), epoch
        case Joined(place):
            places = (*(one for one in places if one.id != place.id), place)
        case Arranged(changes, gone):
            changed = list(shares)
            for at, epoch, share in changes:
                if at < len(changed) and changed[at].epoch == epoch and share.epoch == epoch + 1:
                    changed[at] = share
            shares = tuple(changed)
            held = {id for one in shares for id in (one.owner, *one.copies)}
            places = tuple(one for one in places if one.id not in gone or one.id in held)
    return FleetMap(index, shares, places, born)


@dataclass(frozen=True)
class FleetTerms:
    """What the operators set; ``least`` backups must hold a record before its charge starts."""

    partitions: int = 64
    backups: int = 2
    least: int = 1
    lease_us: int = 1_000_000
    drift: float = 0.01
    moves: int = 8  # partitions on their way to a better place at a time
    lost_after_us: int = 5_000_000  # how long members that are silent with all there is of records are waited for
    apart_us: int = 500_000  # how far two members' time of day may be apart
    records: bool = False  # members keep their copies of records on disk
    new: bool = False  # the fleet has never run: no key can be in doubt
