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

from sagetrestle.ownership.values import SEVERAL, FleetMap, FleetTerms, Origin, Place, Share, name_of

Synced = frozenset[tuple[int, int, str]]  # partition, epoch, member that has all records


class Planner:
    """One plan."""

    def __init__(
        self,
        known: FleetMap,
        alive: Set[str],
        leaving: Set[str],
        synced: Synced,
        terms: FleetTerms,
        patient: Set[int] = frozenset(),
        unclear: Set[int] = frozenset(),
        claims: Mapping[str, Set[tuple[int, int, str]]] | None = None,
    ) -> None:
        self._claims = claims or {}  # by member: partition, label, and the start before whose copy it has
        self._patient = patient  # partitions without an owner, whose records may come back with a silent member
        self._unclear = unclear  # partitions of whose owner before the lease may still last
        self._map, self._alive, self._leaving, self._synced, self._terms = known, alive, leaving, synced, terms
        self._places = {one.id: one for one in known.places if one.id in alive}
        self._able = sorted(id for id in self._places if id not in leaving)
        self._owned: Counter[str] = Counter(one.owner for one in known.shares if one.owner in alive)
        self._copied: Counter[str] = Counter(id for one in known.shares for id in one.copies if id in alive)
        self._orphans = False
        self._moving = sum(bool(one.joining) and len(one.backups) >= terms.backups for one in known.shares)

    def changes(self) -> tuple[tuple[int, int, Share], ...]:
        """Return the partitions that change."""
        if not self._able:
            return ()
        found = []
        # Whoever takes over for the dead comes first: what is left to be balanced is seen after that.
        self._orphans = any(one.owner not in self._alive for one in self._map.shares)
        for at, share in sorted(enumerate(self._map.shares), key=lambda one: one[1].owner in self._alive):
            wanted = self._wanted(at, share)
            if msgspec.structs.replace(wanted, epoch=share.epoch, before=share.before) != share:
                found.append((at, share.epoch, msgspec.structs.replace(wanted, epoch=share.epoch + 1)))
        return tuple(found)

    def gone(self) -> tuple[str, ...]:
        """Return the members that are no more and hold nothing."""
        held = {id for one in self._map.shares for id in (one.owner, *one.copies)}
        return tuple(one.id for one in self._map.places if one.id not in self._alive and one.id not in held)

    def _wanted(self, at: int, share: Share) -> Share:
        arrived = tuple(id for id in share.joining if (at, share.epoch, id) in self._synced and id in self._alive)
        backups = tuple(id for id in share.backups if id in self._alive) + arrived
        joining = tuple(id for id in share.joining if id in self._alive and id not in arrived)
        before, origin, owner = "", Origin.KEPT, share.owner
        if owner in self._alive:
            origin = share.origin
            waits = bool(share.before) and at in self._unclear  # it would have to be waited for twice
            better = None if waits else self._better_owner(owner, [id for id in backups if id not in self._leaving])
            if better is not None:
                before, origin = owner, Origin.KEPT
                backups = tuple(id for id in backups if id != better) + (owner,)
                owner = better
        else:
            ready = [id for id in backups if id not in self._leaving] or list(backups) or self._restored(at, share)
            if not ready and at in self._patient:
                return share
            if ready:
                owner = min(ready, key=lambda id: (self._load(id), id))
                backups = tuple(id for id in backups if id != owner)
                joining = tuple(id for id in joining if id != owner)
            else:
                founded = not share.owner and share.origin is Origin.NEW
                origin, owner = (
                    Origin.NEW if founded else Origin.LOST,
                    min(self._able, key=lambda id: (self._load(id), id)),
                )
                joining = tuple(id for id in joining if id != owner)
            self._owned[owner] += 1
        if share.before and at in self._unclear:
            # Its owner may not have heard that it is, and the one before not that it is no more.
            before = share.before if owner == share.owner else SEVERAL
        backups = self._kept(owner, backups)
        joining = self._filled(owner, backups, joining)
        return Share(share.epoch, owner, backups, joining, origin, before)

    def _restored(self, at: int, share: Share) -> list[str]:
        """Return members that are later starts of the owner or a backup, and that have what that one kept."""
        held = (share.owner, *share.backups)
        return [
            id
            for id in self._able
            if any(
                place == at and label <= share.epoch and old in held and name_of(old) == name_of(id)
                for place, label, old in self._claims.get(id, ())
            )
        ]

    def _load(self, id: str) -> float:
        return self._owned[id] / max(1, self._places[id].weight)

    def _better_owner(self, owner: str, ready: list[str]) -> str | None:
        """Return a backup that owns much less, or any where the owner leaves."""
        if not ready:
            return None
        best = min(ready, key=lambda id: (self._load(id), id))
        weight = max(1, self._places[best].weight)
        if owner not in self._leaving and (self._orphans or (self._owned[best] + 1) / weight >= self._load(owner)):
            return None
        self._owned[owner] -= 1
        self._owned[best] += 1
        return best

    def _kept(self, owner: str, backups: tuple[str, ...]) -> tuple[str, ...]:
        """Drop backups over the number wanted: those that leave first, then those in the owner's zone."""
        ranked = sorted(
            backups, key=lambda id: (id in self._leaving, self._zone(id) == self._zone(owner), self._copied[id], id)
        )
        kept = set(ranked[: self._terms.backups])
        return tuple(id for id in backups if id in kept)

    def _filled(self, owner: str, backups: tuple[str, ...], joining: tuple[str, ...]) -> tuple[str, ...]:
        """Add members that are to have copies; one over the number wanted where a move is due."""
        staying = sum(id not in self._leaving for id in backups)
        joining = tuple(id for id in joining if id not in self._leaving)
        while staying + len(joining) < self._terms.backups:
            others = [id for id in self._able if id != owner and id not in backups and id not in joining]
            if not others:
                return joining
            zones = {self._zone(one) for one in (owner, *backups, *joining)}
            best = min(others, key=lambda id: (self._zone(id) in zones, self._copied[id] + self._owned[id], id))
            self._copied[best] += 1
            joining += (best,)
        if not joining and self._moving < self._terms.moves and not self._orphans:
            others = [id for id in self._able if id != owner and id not in backups]
            least = min(others, key=lambda id: (self._load(id), id), default=None)
            if least is not None and (self._owned[least] + 1) / max(1, self._places[least].weight) < self._load(owner):
                self._moving += 1
                self._owned[owner] -= 1  # as it will be
                self._owned[least] += 1
                joining = (least,)
        return joining

    def _zone(self, id: str) -> str:
        place: Place | None = self._places.get(id)
        return place.zone if place is not None and place.zone else id
