"""The view: an immutable, versioned map of members; readers may keep any version at no cost.

It uses a persistent map (a hash array mapped trie), so a new version shares all unchanged entries. It also keeps the
names changed by recent versions, so the cost of a difference depends on the changes and not on the number of members.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from immutables import Map

from sagetrestle.membership.values import Member, MemberState

CHANGE_LOG_VERSIONS = 1024  # a difference to an older version compares all members


@dataclass(frozen=True, slots=True)
class View:
    """All members at one version.

    ``stale``: no source has been available lately. ``panic``: so many members are suspected that suspicion is ignored.
    """

    version: int = 0
    members: Map = field(default_factory=Map)  # name -> Member
    stale: bool = False
    panic: bool = False
    log: Map = field(default_factory=Map)  # version -> names

    def with_changes(
        self, changed: Iterable[Member], gone: Iterable[str] = (), stale: bool | None = None, panic: bool | None = None
    ) -> View:
        """Return the next version, with members replaced or removed; the same object where nothing changes."""
        changed, gone = list(changed), [name for name in gone if name in self.members]
        stale, panic = self.stale if stale is None else stale, self.panic if panic is None else panic
        if not changed and not gone and (stale, panic) == (self.stale, self.panic):
            return self
        version = self.version + 1
        with self.members.mutate() as members:
            for member in changed:
                members[member.instance.name] = member._replace(changed_version=version)
            for name in gone:
                members.pop(name, None)
            new_members = members.finish()
        log = self.log.set(version, tuple([member.instance.name for member in changed] + gone))
        if version - CHANGE_LOG_VERSIONS in log:
            log = log.delete(version - CHANGE_LOG_VERSIONS)
        return View(version, new_members, stale, panic, log)

    def changed_since(self, old: View) -> Iterator[tuple[str, Member | None, Member | None]]:
        """Yield name, old member and new member for each difference to an older version."""
        names: set[str] = set()
        versions = range(old.version + 1, self.version + 1)
        if all(version in self.log for version in versions):
            for version in versions:
                names.update(self.log[version])
        else:
            names.update(self.members)
            names.update(old.members)
        for name in sorted(names):
            old_member, new_member = old.members.get(name), self.members.get(name)
            if old_member != new_member:
                yield name, old_member, new_member

    def eligible(self) -> list[Member]:
        """Return the members that new requests may go to; in a panic including suspected ones."""
        if not self.panic:
            return [member for member in self.members.values() if member.accepts_requests]
        return [
            member
            for member in self.members.values()
            if member.accepts_requests or member.state is MemberState.SUSPECTED
        ]
