"""The view: an immutable, versioned map of members, of which readers may keep any version for free.

It stands on a persistent map (a hash array mapped trie), so a new version shares all that did not change, and
holds the names that the last versions changed, so a difference costs what it tells and not what there is.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from immutables import Map

from sagetrestle.membership.values import Member, MemberState

CHANGE_LOG_VERSIONS = 1024  # versions whose changes are known by name; past that a difference looks at all


@dataclass(frozen=True, slots=True)
class View:
    """All members at one version. ``stale`` tells that no source could be asked lately.

    ``panic`` tells that so many are suspected that suspicion is ignored.
    """

    version: int = 0
    members: Map = field(default_factory=Map)  # name -> Member
    stale: bool = False
    panic: bool = False
    log: Map = field(default_factory=Map)  # version -> names

    def with_changes(
        self, changed: Iterable[Member], gone: Iterable[str] = (), stale: bool | None = None, panic: bool | None = None
    ) -> View:
        """Return the next version, with members put in or taken out; the same one where nothing changes."""
        changed, gone = list(changed), [name for name in gone if name in self.members]
        stale, panic = self.stale if stale is None else stale, self.panic if panic is None else panic
        if not changed and not gone and (stale, panic) == (self.stale, self.panic):
            return self
        version = self.version + 1
        with self.members.mutate() as members:
            for one in changed:
                members[one.instance.name] = one._replace(changed_version=version)
            for name in gone:
                members.pop(name, None)
            whole = members.finish()
        log = self.log.set(version, tuple([one.instance.name for one in changed] + gone))
        if version - CHANGE_LOG_VERSIONS in log:
            log = log.delete(version - CHANGE_LOG_VERSIONS)
        return View(version, whole, stale, panic, log)

    def changed_since(self, old: View) -> Iterator[tuple[str, Member | None, Member | None]]:
        """Return name, old and new member for each that differs from an older version."""
        names: set[str] = set()
        versions = range(old.version + 1, self.version + 1)
        if all(version in self.log for version in versions):
            for version in versions:
                names.update(self.log[version])
        else:
            names.update(self.members)
            names.update(old.members)
        for name in sorted(names):
            was, now = old.members.get(name), self.members.get(name)
            if was != now:
                yield name, was, now

    def eligible(self) -> list[Member]:
        """Return the members that new work may go to; in a panic the suspected ones as well."""
        if not self.panic:
            return [one for one in self.members.values() if one.accepts_requests]
        return [one for one in self.members.values() if one.accepts_requests or one.state is MemberState.SUSPECTED]
