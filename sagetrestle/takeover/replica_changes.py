"""What changes in a member's copies, for whoever keeps them."""

from __future__ import annotations

from typing import NamedTuple

from sagetrestle.recovery.effects import EffectRecord


class Grew(NamedTuple):
    """Entries were taken."""

    partition: int
    entries: tuple[EffectRecord, ...]


class Labelled(NamedTuple):
    """The copy holds in another epoch."""

    partition: int
    label: int


class Whole(NamedTuple):
    """All of it is this now."""

    partition: int
    label: int
    entries: tuple[EffectRecord, ...]


class Dropped(NamedTuple):
    """It counts for nothing any more."""

    partition: int


Change = Grew | Labelled | Whole | Dropped
