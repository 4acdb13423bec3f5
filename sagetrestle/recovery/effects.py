"""Effects by key: what was meant to run where, and what is known of it.

The rule of the journal is write-ahead: an intent is durable before its request is sent, an outcome before its answer
is given. So after a death a key with an outcome has its answer, a key with none never left this process, and a key
with an intent alone is in doubt: it is asked after at the server that the intent names before anything else.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Kind(Enum):
    """The kinds of entries; their values are what the journal holds."""

    INTENT = "intent"  # is about to be sent to a server
    OUTCOME = "outcome"  # ran, with this result
    NEVER = "never"  # proven never to have run; the key is free
    FAILED = "failed"  # ran, and failed: a repeat gets the failure


class Entry(NamedTuple):
    """One entry. ``server`` and ``boot`` name the start of the server that an intent goes to.

    ``digest`` is the request's own mark: here its class, which tells how an answer found later is translated.
    """

    kind: Kind
    key: str
    at_us: int  # Unix: it must mean the same after a restart
    server: str = ""
    boot: int = 0
    digest: bytes = b""
    result: bytes = b""


class Standing(Enum):
    """How a key stands."""

    FREE = "free"
    IN_DOUBT = "may have run"
    DONE = "ran"
    FAILED = "ran, and failed"


@dataclass(frozen=True, slots=True)
class Effect:
    """What is known of one key."""

    key: str
    standing: Standing
    at_us: int
    server: str = ""
    boot: int = 0
    digest: bytes = b""
    result: bytes = b""

    @property
    def cls(self) -> str:
        """Return the class that the intent was marked with."""
        return self.digest.decode(errors="replace")


# What each entry makes of a key, by how it stood; what is not here is an entry that can not follow.
FOLLOWS: dict[tuple[Standing, Kind], Standing] = {
    (Standing.FREE, Kind.INTENT): Standing.IN_DOUBT,
    (Standing.IN_DOUBT, Kind.INTENT): Standing.IN_DOUBT,  # another attempt at the same server
    (Standing.IN_DOUBT, Kind.OUTCOME): Standing.DONE,
    (Standing.IN_DOUBT, Kind.FAILED): Standing.FAILED,
    (Standing.IN_DOUBT, Kind.NEVER): Standing.FREE,
    (Standing.DONE, Kind.OUTCOME): Standing.DONE,  # written again after a death between write and answer
    (Standing.FAILED, Kind.FAILED): Standing.FAILED,
}


class EffectError(ValueError):
    """An entry that can not follow; the text names the key."""


@dataclass
class EffectTable:
    """All keys within their window; ``window_us`` is how long a key may come again."""

    window_us: int
    effects: dict[str, Effect] = field(default_factory=dict)

    def standing(self, key: str, now_us: int) -> Standing:
        """Return how a key stands now."""
        effect = self.effects.get(key)
        if effect is None or self._over(effect, now_us):
            return Standing.FREE
        return effect.standing

    def get(self, key: str, now_us: int) -> Effect | None:
        """Return what is known of a key within its window."""
        effect = self.effects.get(key)
        return None if effect is None or self._over(effect, now_us) else effect

    def take(self, entry: Entry) -> Effect | None:
        """Take an entry in, as it is written or as it is read again. Raises EffectError."""
        old = self.effects.get(entry.key)
        if old is not None and self._over(old, entry.at_us):
            old = None
        standing = FOLLOWS.get((old.standing if old else Standing.FREE, entry.kind))
        if standing is None:
            raise EffectError(f"key {entry.key!r}: {entry.kind.value} can not follow "
                              f"{old.standing.value if old else 'nothing'}")
        if entry.kind is Kind.INTENT and old is not None and (old.server, old.boot) != (entry.server, entry.boot):
            raise EffectError(f"key {entry.key!r}: may have run at {old.server}, and is meant for {entry.server}")
        if standing is Standing.FREE:
            self.effects.pop(entry.key, None)
            return None
        first = old.at_us if old is not None else entry.at_us
        server, boot = (entry.server, entry.boot) if entry.kind is Kind.INTENT else (
            (old.server, old.boot) if old else ("", 0))
        digest = entry.digest or (old.digest if old else b"")
        effect = Effect(entry.key, standing, first, server, boot, digest, entry.result)
        self.effects[entry.key] = effect
        return effect

    def in_doubt(self, now_us: int) -> list[Effect]:
        """Return what has to be asked after, the oldest first."""
        found = [one for one in self.effects.values()
                 if one.standing is Standing.IN_DOUBT and not self._over(one, now_us)]
        return sorted(found, key=lambda one: one.at_us)

    def living(self, now_us: int) -> list[Entry]:
        """Return entries that say the same as all so far, for a snapshot: none for keys past their window."""
        kinds = {Standing.DONE: Kind.OUTCOME, Standing.FAILED: Kind.FAILED}
        entries = []
        for one in self.effects.values():
            if self._over(one, now_us):
                continue
            entries.append(Entry(Kind.INTENT, one.key, one.at_us, one.server, one.boot, one.digest))
            if one.standing in kinds:
                entries.append(Entry(kinds[one.standing], one.key, one.at_us, result=one.result))
        return entries

    def sweep(self, now_us: int) -> int:
        """Forget keys past their window; returns how many."""
        gone = [key for key, one in self.effects.items() if self._over(one, now_us)]
        for key in gone:
            del self.effects[key]
        return len(gone)

    def _over(self, effect: Effect, now_us: int) -> bool:
        return now_us > effect.at_us + self.window_us


def replay(entries: Iterable[Entry], window_us: int) -> tuple[EffectTable, list[str]]:
    """Return the table that entries make, and what could not follow: those keys are held to be in doubt."""
    table, faults = EffectTable(window_us), []
    for entry in entries:
        try:
            table.take(entry)
        except EffectError as error:
            faults.append(str(error))
            if entry.kind is not Kind.NEVER:  # something of it may have run: never take that for free
                old = table.effects.get(entry.key)
                keep = old or Effect(entry.key, Standing.IN_DOUBT, entry.at_us, entry.server, entry.boot)
                table.effects[entry.key] = keep
    return table, faults
