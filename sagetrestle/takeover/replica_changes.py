"""What changes in a member's copies, for whoever keeps them."""

from __future__ import annotations

from typing import NamedTuple

from sagetrestle.recovery.effects import EffectRecord


class RecordsAppended(NamedTuple):
    """Entries were taken."""

    partition: int
    entries: tuple[EffectRecord, ...]


class EpochChanged(NamedTuple):
    """The copy holds in another epoch."""

    partition: int
    content_epoch: int


class SnapshotReplaced(NamedTuple):
    """All of it is this now."""

    partition: int
    content_epoch: int
    entries: tuple[EffectRecord, ...]


class ReplicaDropped(NamedTuple):
    """It counts for nothing any more."""

    partition: int


Change = RecordsAppended | EpochChanged | SnapshotReplaced | ReplicaDropped
