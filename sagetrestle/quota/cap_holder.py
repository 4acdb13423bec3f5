"""A member's side of hard limits: what it may spend alone, what it asks for, what it gives back.

A unit is taken before its charge starts and given back if that never ran. What a member holds is known by a version;
it lowers its own total before it says so, and raises it only by a newer version, so a lost, late or repeated word of
the granter can never let it spend what somebody else was granted meanwhile. Times are microseconds, ``now`` monotonic.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from sagetrestle.quota.values import Limit

AGAIN_US = 100_000  # between askings
IDLE_US = 2_000_000  # without a charge, after which what is not spent goes back
SHORT_US = 400_000  # for which others are asked to give back, before nothing left is believed
DENIED_US = 1_000_000  # for which it is believed then
SILENT_US = 1_000_000  # without a word of the granter, after which what waits is refused
KEPT_US = 60_000_000  # after its window's end


class Word(Enum):
    """Whether a charge may be spent."""

    TAKEN = "one unit is taken for it"
    WAIT = "a unit is asked for"
    NONE = "nothing is left"
    SILENT = "the granter can not be heard: nobody can tell"


class Ask(NamedTuple):
    """Tell the granter what is kept of a limit, and how much more is wanted."""

    limit: Limit
    cap: int
    version: int
    total: int
    wanted: int


class Ready(NamedTuple):
    """What waited for this limit may ask again."""

    limit: Limit


@dataclass(slots=True)
class Account:
    """One limit here."""

    limit: Limit
    cap: int
    version: int = 0
    total: int = 0
    used: int = 0
    waiting: dict[str, None] = field(default_factory=dict)
    asked_us: int | None = None
    short_us: int | None = None  # since when nothing is left
    denied_us: int | None = None  # until when that is believed
    heard_us: int = 0  # the granter, or when the first began to wait for it
    used_us: int = 0


class Holder:
    """All limits that this member spends of."""

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}

    def take(self, now: int, limit: Limit, cap: int, id: str) -> Word:
        """Take a unit for a charge, if one is here; else it waits under its id."""
        one = self.accounts.setdefault(limit.name, Account(limit, cap))
        one.cap = cap
        if one.used < min(one.total, cap):
            one.used, one.used_us = one.used + 1, now
            one.waiting.pop(id, None)
            return Word.TAKEN
        if one.used >= cap or one.denied_us is not None and now < one.denied_us:
            one.waiting.pop(id, None)
            return Word.NONE
        if not one.waiting:
            one.heard_us = now
        elif now - one.heard_us >= SILENT_US:
            one.waiting.pop(id, None)
            return Word.SILENT
        one.waiting[id] = None
        return Word.WAIT

    def give_back(self, limit: Limit) -> None:
        """Take back that a unit was spent: its charge never ran."""
        one = self.accounts.get(limit.name)
        if one is not None and one.used:
            one.used -= 1

    def forget(self, limit: Limit, id: str) -> None:
        """Let a charge wait no more."""
        one = self.accounts.get(limit.name)
        if one is not None:
            one.waiting.pop(id, None)

    def told(self, now: int, name: str, version: int, total: int, left: int) -> list[Ready]:
        """Take the granter's word."""
        one = self.accounts.get(name)
        if one is None:
            return []
        one.heard_us = now
        if version > one.version:
            one.version, one.total = version, total
        if one.used < one.total:
            one.short_us = one.denied_us = None
            return [Ready(one.limit)] if one.waiting else []
        if left > 0 or not one.waiting:
            return []
        if one.short_us is None:
            one.short_us = now
        if now - one.short_us < SHORT_US:
            return []
        one.short_us, one.denied_us = None, now + DENIED_US
        return [Ready(one.limit)]

    def recalled(self, now: int, name: str) -> list[Ask]:
        """Give back what is not spent, as somebody else needs it."""
        one = self.accounts.get(name)
        return [self._ask(now, one)] if one is not None and one.total > one.used and not one.waiting else []

    def passed(self, now: int, unix: int) -> list[Ask | Ready]:
        """Ask again, give back what lies idle, forget windows that are long over."""
        found: list[Ask | Ready] = []
        for name, one in list(self.accounts.items()):
            due = one.asked_us is None or now - one.asked_us >= AGAIN_US
            if one.waiting and due or one.total > one.used and now - one.used_us >= IDLE_US and due:
                found.append(self._ask(now, one))
                found += [Ready(one.limit)] if one.waiting and now - one.heard_us >= SILENT_US else []
            elif not one.waiting and unix > one.limit.until_us + KEPT_US:
                del self.accounts[name]
        return found

    def ask(self, now: int, limit: Limit) -> list[Ask]:
        """Ask for what waits, unless that was asked for just now."""
        one = self.accounts[limit.name]
        return [] if one.asked_us is not None and now - one.asked_us < AGAIN_US else [self._ask(now, one)]

    def _ask(self, now: int, one: Account) -> Ask:
        """Lower the total to what is spent, then say so: until a newer version comes nothing more can be."""
        one.asked_us, one.total = now, min(one.total, one.used)
        return Ask(one.limit, one.cap, one.version, one.total, len(one.waiting))
