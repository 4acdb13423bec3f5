"""Changes of a member's replicas, as they are handed to the store that makes them durable."""

from __future__ import annotations

from typing import NamedTuple

from sagetrestle.recovery.effects import EffectRecord


class RecordsAppended(NamedTuple):
    """Records were appended to the replica of a partition."""

    partition: int
    entries: tuple[EffectRecord, ...]


class EpochChanged(NamedTuple):
    """The records of the replica are now valid in another epoch; the records themselves are unchanged."""

    partition: int
    content_epoch: int


class SnapshotReplaced(NamedTuple):
    """The whole content of the replica was replaced by these records."""

    partition: int
    content_epoch: int
    entries: tuple[EffectRecord, ...]


class ReplicaDropped(NamedTuple):
    """The replica is no longer valid and may be deleted."""

    partition: int


Change = RecordsAppended | EpochChanged | SnapshotReplaced | ReplicaDropped
