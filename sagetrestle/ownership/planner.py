"""Who owns and who backs up: a plan under constraints that moves little.

An owner is kept while it lives. The next one is a backup that had all records, in another case the partition's records
are lost. Backups lie in other zones than the owner where there are any, and with the least loaded. A member that has
far less than its part is made a joining copy first and owner once it has all records. A general solver would find
a better balance by more moves; a move costs a transfer, so this greedy plan moves only where parts differ by more
than one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Set

import msgspec

from sagetrestle.ownership.values import (
    MULTIPLE_OWNERS,
    FleetMap,
    FleetSettings,
    Origin,
    MemberInfo,
    PartitionAssignment,
    member_name,
)

Synced = frozenset[tuple[int, int, str]]  # partition, epoch, member that has all records


class Planner:
    """One plan."""

    def __init__(
        self,
        fleet_map: FleetMap,
        alive: Set[str],
        leaving: Set[str],
        synced: Synced,
        settings: FleetSettings,
        awaited: Set[int] = frozenset(),
        unexpired: Set[int] = frozenset(),
        claims: Mapping[str, Set[tuple[int, int, str]]] | None = None,
    ) -> None:
        self._claims = claims or {}  # by member: partition, label, and the start before whose copy it has
        self._awaited = awaited  # partitions without an owner, whose records may come back with a silent member
        self._unexpired = unexpired  # partitions of whose owner before the lease may still last
        self._map, self._alive, self._leaving, self._synced, self._terms = fleet_map, alive, leaving, synced, settings
        self._members = {one.id: one for one in fleet_map.members if one.id in alive}
        self._eligible = sorted(id for id in self._members if id not in leaving)
        self._owned_counts: Counter[str] = Counter(one.owner for one in fleet_map.assignments if one.owner in alive)
        self._replica_counts: Counter[str] = Counter(
            id for one in fleet_map.assignments for id in one.replicas if id in alive
        )
        self._has_orphans = False
        self._pending_moves = sum(
            bool(one.joining) and len(one.backups) >= settings.backups for one in fleet_map.assignments
        )

    def plan_changes(self) -> tuple[tuple[int, int, PartitionAssignment], ...]:
        """Return the partitions that change."""
        if not self._eligible:
            return ()
        found = []
        # Whoever takes over for the dead comes first: what is left to be balanced is seen after that.
        self._has_orphans = any(one.owner not in self._alive for one in self._map.assignments)
        for at, assignment in sorted(enumerate(self._map.assignments), key=lambda one: one[1].owner in self._alive):
            wanted = self._plan_assignment(at, assignment)
            if (
                msgspec.structs.replace(wanted, epoch=assignment.epoch, previous_owner=assignment.previous_owner)
                != assignment
            ):
                found.append((at, assignment.epoch, msgspec.structs.replace(wanted, epoch=assignment.epoch + 1)))
        return tuple(found)

    def removable_members(self) -> tuple[str, ...]:
        """Return the members that are no more and hold nothing."""
        held = {id for one in self._map.assignments for id in (one.owner, *one.replicas)}
        return tuple(one.id for one in self._map.members if one.id not in self._alive and one.id not in held)

    def _plan_assignment(self, at: int, assignment: PartitionAssignment) -> PartitionAssignment:
        arrived = tuple(
            id for id in assignment.joining if (at, assignment.epoch, id) in self._synced and id in self._alive
        )
        backups = tuple(id for id in assignment.backups if id in self._alive) + arrived
        joining = tuple(id for id in assignment.joining if id in self._alive and id not in arrived)
        previous_owner, origin, owner = "", Origin.KEPT, assignment.owner
        if owner in self._alive:
            origin = assignment.origin
            waits = bool(assignment.previous_owner) and at in self._unexpired  # it would have to be waited for twice
            better = (
                None if waits else self._choose_lighter_owner(owner, [id for id in backups if id not in self._leaving])
            )
            if better is not None:
                previous_owner, origin = owner, Origin.KEPT
                backups = tuple(id for id in backups if id != better) + (owner,)
                owner = better
        else:
            ready = (
                [id for id in backups if id not in self._leaving]
                or list(backups)
                or self._members_with_restored_records(at, assignment)
            )
            if not ready and at in self._awaited:
                return assignment
            if ready:
                owner = min(ready, key=lambda id: (self._load(id), id))
                backups = tuple(id for id in backups if id != owner)
                joining = tuple(id for id in joining if id != owner)
            else:
                founded = not assignment.owner and assignment.origin is Origin.NEW
                origin, owner = (
                    Origin.NEW if founded else Origin.LOST,
                    min(self._eligible, key=lambda id: (self._load(id), id)),
                )
                joining = tuple(id for id in joining if id != owner)
            self._owned_counts[owner] += 1
        if assignment.previous_owner and at in self._unexpired:
            # Its owner may not have heard that it is, and the one before not that it is no more.
            previous_owner = assignment.previous_owner if owner == assignment.owner else MULTIPLE_OWNERS
        backups = self._trim_backups(owner, backups)
        joining = self._choose_joining(owner, backups, joining)
        return PartitionAssignment(assignment.epoch, owner, backups, joining, origin, previous_owner)

    def _members_with_restored_records(self, at: int, assignment: PartitionAssignment) -> list[str]:
        """Return members that are later starts of the owner or a backup, and that have what that one kept."""
        held = (assignment.owner, *assignment.backups)
        return [
            id
            for id in self._eligible
            if any(
                partition == at
                and content_epoch <= assignment.epoch
                and old in held
                and member_name(old) == member_name(id)
                for partition, content_epoch, old in self._claims.get(id, ())
            )
        ]

    def _load(self, id: str) -> float:
        return self._owned_counts[id] / max(1, self._members[id].weight)

    def _choose_lighter_owner(self, owner: str, ready: list[str]) -> str | None:
        """Return a backup that owns much less, or any where the owner leaves."""
        if not ready:
            return None
        best = min(ready, key=lambda id: (self._load(id), id))
        weight = max(1, self._members[best].weight)
        if owner not in self._leaving and (
            self._has_orphans or (self._owned_counts[best] + 1) / weight >= self._load(owner)
        ):
            return None
        self._owned_counts[owner] -= 1
        self._owned_counts[best] += 1
        return best

    def _trim_backups(self, owner: str, backups: tuple[str, ...]) -> tuple[str, ...]:
        """Drop backups over the number wanted: those that leave first, then those in the owner's zone."""
        ranked = sorted(
            backups,
            key=lambda id: (
                id in self._leaving,
                self._zone_of(id) == self._zone_of(owner),
                self._replica_counts[id],
                id,
            ),
        )
        kept = set(ranked[: self._terms.backups])
        return tuple(id for id in backups if id in kept)

    def _choose_joining(self, owner: str, backups: tuple[str, ...], joining: tuple[str, ...]) -> tuple[str, ...]:
        """Add members that are to have copies; one over the number wanted where a move is due."""
        staying = sum(id not in self._leaving for id in backups)
        joining = tuple(id for id in joining if id not in self._leaving)
        while staying + len(joining) < self._terms.backups:
            others = [id for id in self._eligible if id != owner and id not in backups and id not in joining]
            if not others:
                return joining
            zones = {self._zone_of(one) for one in (owner, *backups, *joining)}
            best = min(
                others,
                key=lambda id: (self._zone_of(id) in zones, self._replica_counts[id] + self._owned_counts[id], id),
            )
            self._replica_counts[best] += 1
            joining += (best,)
        if not joining and self._pending_moves < self._terms.max_moves and not self._has_orphans:
            others = [id for id in self._eligible if id != owner and id not in backups]
            least = min(others, key=lambda id: (self._load(id), id), default=None)
            if least is not None and (self._owned_counts[least] + 1) / max(1, self._members[least].weight) < self._load(
                owner
            ):
                self._pending_moves += 1
                self._owned_counts[owner] -= 1  # as it will be
                self._owned_counts[least] += 1
                joining = (least,)
        return joining

    def _zone_of(self, id: str) -> str:
        member: MemberInfo | None = self._members.get(id)
        return member.zone if member is not None and member.zone else id
