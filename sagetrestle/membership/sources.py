"""Merging of the sources of instances into one listing.

The rules, in order:

1. The highest source that was ever read decides which instances exist: records before the static file before the saved
   view. A source that is unavailable counts with its last listing.
2. Names pinned in the static file exist whatever the records contain, except for a name that the records show draining.
3. For a name in two sources the higher source's data count. Of two boots in one listing the later one counts, of two in
   changes the latest change: the state machine decides whether an earlier boot is accepted.
4. A listing with an older zone serial than the last one (RFC 1982) comes from an old zone and is rejected, until it has
   come so often that the zone must have been recreated.
5. A listing in which more than a share of the known instances is missing is held back. It is accepted only once enough
   listings in a row agree, or the missing instances do not answer either.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sagetrestle.membership.values import Instance, Source

SERIAL_HALF_RANGE = 1 << 31
ACCEPT_OLD_SERIAL_AFTER = 20  # listings in a row; then the zone counts as recreated
MASS_REMOVAL_SHARE = 0.25  # of the listed instances, missing at once
MASS_REMOVAL_MIN = 2  # up to this number missing, a listing is never held back
MASS_REMOVAL_CONFIRMATIONS = 5  # listings in a row that must agree


def is_older_serial(new: int, old: int) -> bool:
    """Return whether serial ``new`` is older than ``old`` (RFC 1982, 3.2)."""
    return new != old and ((old - new) % (1 << 32)) < SERIAL_HALF_RANGE


@dataclass(slots=True)
class SourceListing:
    """The last listing of one source."""

    instances: dict[str, Instance] = field(default_factory=dict)
    read: bool = False
    serial: int | None = None
    old_serial_readings: int = 0
    held_readings: int = 0


class SourceMerger:
    """The listings of all sources, and their merge."""

    def __init__(self) -> None:
        self._listings = {source: SourceListing() for source in Source}
        self._pinned: frozenset[str] = frozenset()

    def replace(
        self,
        source: Source,
        instances: Iterable[Instance],
        serial: int | None = None,
        is_answering: Callable[[str], bool] | None = None,
        pinned: Iterable[str] = (),
    ) -> bool:
        """Replace the listing of a source; return whether the new one was accepted.

        ``is_answering`` returns for a name whether the instance has answered lately.
        """
        listing, by_name = self._listings[source], _by_name(instances)
        if self._has_old_serial(listing, serial) or self._is_mass_removal(listing, by_name, is_answering):
            return False
        listing.instances, listing.read, listing.serial = by_name, True, serial
        listing.old_serial_readings = listing.held_readings = 0
        if source is Source.STATIC:
            self._pinned = frozenset(pinned)
        return True

    def change(self, source: Source, name: str, instance: Instance | None) -> None:
        """Apply one change to the listing of a source."""
        listing = self._listings[source]
        if instance is None:
            listing.instances.pop(name, None)
            return
        listing.instances[name] = instance

    def merged(self) -> dict[str, Instance]:
        """Return the merged listing."""
        source = self.deciding_source()
        by_name = dict(self._listings[source].instances) if source is not None else {}
        for name in self._pinned:
            instance = self._listings[Source.STATIC].instances.get(name)
            if instance is not None:
                by_name.setdefault(name, instance)
        return by_name

    def merged_one(self, name: str) -> Instance | None:
        """Return one instance of the merged listing, None where it has none of that name."""
        source = self.deciding_source()
        instance = self._listings[source].instances.get(name) if source is not None else None
        if instance is None and name in self._pinned:
            return self._listings[Source.STATIC].instances.get(name)
        return instance

    def deciding_source(self) -> Source | None:
        """Return the source that decides which instances exist."""
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
        listing: SourceListing, by_name: dict[str, Instance], is_answering: Callable[[str], bool] | None
    ) -> bool:
        """Return whether too many instances are missing at once that still answer."""
        missing = [name for name in listing.instances if name not in by_name]
        if is_answering is None or len(missing) <= max(MASS_REMOVAL_MIN, MASS_REMOVAL_SHARE * len(listing.instances)):
            listing.held_readings = 0
            return False
        answering = sum(is_answering(name) for name in missing)
        if answering <= max(MASS_REMOVAL_MIN, MASS_REMOVAL_SHARE * len(listing.instances)):
            listing.held_readings = 0
            return False
        listing.held_readings += 1
        return listing.held_readings < MASS_REMOVAL_CONFIRMATIONS


def _by_name(instances: Iterable[Instance]) -> dict[str, Instance]:
    by_name: dict[str, Instance] = {}
    for instance in instances:
        if instance.name not in by_name or instance.boot > by_name[instance.name].boot:
            by_name[instance.name] = instance
    return by_name
