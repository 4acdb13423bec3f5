"""How sources are merged into one listing.

The rules, in order:

1. The highest source that was ever read decides who is there: records before the static file before the view
   saved last. A source that can not be asked now goes on counting as it was read last.
2. Names that the static file pins are there whatever the records say, but for one that the records say drains.
3. Of one name in two sources the higher source's data count; of two boots in one reading the later, of two in
   changes the one said last: whether an earlier boot is believed is for the member's own life.
4. A reading with an older zone serial than the last (RFC 1982) is of an old zone and is not taken, until it has
   come so often that the zone must have been set up anew.
5. A reading in which more than a share of those that were there are missing is held, and taken only when as
   many readings in turn have said so, or the missing are silent themselves.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sagetrestle.membership.values import Instance, Source

SERIAL_HALF_RANGE = 1 << 31
ACCEPT_OLD_SERIAL_AFTER = 20  # readings in turn after which an older serial is a new zone
MASS_REMOVAL_SHARE, MASS_REMOVAL_MIN = 0.25, 2  # of those listed, gone at once; fewer than so many are never held
MASS_REMOVAL_CONFIRMATIONS = 5  # in turn that must say the same


def is_older_serial(new: int, old: int) -> bool:
    """Tell whether a serial is older than another (RFC 1982, 3.2)."""
    return new != old and ((old - new) % (1 << 32)) < SERIAL_HALF_RANGE


@dataclass(slots=True)
class SourceListing:
    """What one source said last."""

    instances: dict[str, Instance] = field(default_factory=dict)
    read: bool = False
    serial: int | None = None
    old_serial_readings: int = 0
    held_readings: int = 0


class SourceMerger:
    """All sources, merged."""

    def __init__(self) -> None:
        self._listings = {source: SourceListing() for source in Source}
        self._pinned: frozenset[str] = frozenset()

    def replace(
        self,
        source: Source,
        instances: Iterable[Instance],
        serial: int | None = None,
        alive: Callable[[str], bool] | None = None,
        pinned: Iterable[str] = (),
    ) -> bool:
        """Take a whole reading of a source; returns whether it was taken.

        ``alive`` tells of a name whether it was heard of lately by other means.
        """
        listing, found = self._listings[source], _by_name(instances)
        if self._has_old_serial(listing, serial) or self._is_mass_removal(listing, found, alive):
            return False
        listing.instances, listing.read, listing.serial = found, True, serial
        listing.old_serial_readings = listing.held_readings = 0
        if source is Source.STATIC:
            self._pinned = frozenset(pinned)
        return True

    def change(self, source: Source, name: str, instance: Instance | None) -> None:
        """Take one change of a source that was read whole before."""
        listing = self._listings[source]
        if instance is None:
            listing.instances.pop(name, None)
            return
        listing.instances[name] = instance

    def merged(self) -> dict[str, Instance]:
        """Return the listing that counts."""
        decides = self.deciding_source()
        found = dict(self._listings[decides].instances) if decides is not None else {}
        for name in self._pinned:
            instance = self._listings[Source.STATIC].instances.get(name)
            if instance is not None:
                found.setdefault(name, instance)
        return found

    def merged_one(self, name: str) -> Instance | None:
        """Return one name of the listing that counts."""
        decides = self.deciding_source()
        found = self._listings[decides].instances.get(name) if decides is not None else None
        if found is None and name in self._pinned:
            return self._listings[Source.STATIC].instances.get(name)
        return found

    def deciding_source(self) -> Source | None:
        """Return the source that decides who is there."""
        return next((source for source in Source if self._listings[source].read), None)

    @staticmethod
    def _has_old_serial(listing: SourceListing, serial: int | None) -> bool:
        if serial is None or listing.serial is None or not is_older_serial(serial, listing.serial):
            listing.old_serial_readings = 0
            return False
        listing.old_serial_readings += 1
        return listing.old_serial_readings < ACCEPT_OLD_SERIAL_AFTER

    @staticmethod
    def _is_mass_removal(
        listing: SourceListing, found: dict[str, Instance], alive: Callable[[str], bool] | None
    ) -> bool:
        """Tell whether too many are missing at once that are heard of otherwise."""
        missing = [name for name in listing.instances if name not in found]
        if alive is None or len(missing) <= max(MASS_REMOVAL_MIN, MASS_REMOVAL_SHARE * len(listing.instances)):
            listing.held_readings = 0
            return False
        heard = sum(alive(name) for name in missing)
        if heard <= max(MASS_REMOVAL_MIN, MASS_REMOVAL_SHARE * len(listing.instances)):
            listing.held_readings = 0
            return False
        listing.held_readings += 1
        return listing.held_readings < MASS_REMOVAL_CONFIRMATIONS


def _by_name(instances: Iterable[Instance]) -> dict[str, Instance]:
    found: dict[str, Instance] = {}
    for one in instances:
        if one.name not in found or one.boot > found[one.name].boot:
            found[one.name] = one
    return found
