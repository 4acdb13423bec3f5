"""Effects by key: what was meant to run where, and what is known of it.

The rule of the journal is write-ahead: an intent is durable before its request is sent, an outcome before its answer
is given. So after a death a key with an outcome has its answer, a key with none never left this process, and a key
with an intent alone is in doubt: it is asked after at the server that the intent names before anything else.

An entry that can not be read stands in its place as ``LOST``. What it said is not known, so its key is in doubt with
nobody to ask: a server that never ran it proves nothing, as the lost entry may have named another. Where the key is
not known either, that holds for every key without a known end, until a window after the loss was found. An intact
entry behind it counts again: who wrote it knew what was lost.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from sagetrestle.recovery.charge_info import ChargeInfo, unpack_charge


class RecordKind(Enum):
    """The kinds of entries; their values are what the journal holds."""

    INTENT = "intent"  # is about to be sent to a server
    OUTCOME = "outcome"  # ran, with this result
    NEVER = "never"  # proven never to have run; the key is free
    FAILED = "failed"  # ran, and failed: a repeat gets the failure
    GRANT = "grant"  # so much of a limit is out at a member: no effect's, and in a fleet's records only
    LOST = "lost"  # an entry that can not be read stood here; without a key it may have been any key's


class EffectRecord(NamedTuple):
    """One entry. ``server`` and ``boot`` name the start of the server that an intent goes to.

    ``digest`` describes the request (``charge_info``), or names its class alone, as in journals of earlier releases.
    """

    kind: RecordKind
    key: str
    at_us: int  # Unix: it must mean the same after a restart
    server: str = ""
    boot: int = 0
    digest: bytes = b""
    result: bytes = b""


class EffectState(Enum):
    """How a key stands."""

    FREE = "free"
    IN_DOUBT = "may have run"
    DONE = "ran"
    FAILED = "ran, and failed"


@dataclass(frozen=True, slots=True)
class Effect:
    """What is known of one key; without a ``server`` there is nobody who could settle a doubt."""

    key: str
    state: EffectState
    at_us: int
    server: str = ""
    boot: int = 0
    digest: bytes = b""
    result: bytes = b""

    @property
    def request_class(self) -> str:
        """Return the class of the request, which tells how an answer found later is translated."""
        charge = self.charge
        return charge.class_name if charge is not None else self.digest.decode(errors="replace")

    @property
    def charge(self) -> ChargeInfo | None:
        """Return the charge that the intent was written for, if the intent describes it."""
        return unpack_charge(self.digest)


# What each entry makes of a key, by how it stood; what is not here is an entry that can not follow.
TRANSITIONS: dict[tuple[EffectState, RecordKind], EffectState] = {
    (EffectState.FREE, RecordKind.INTENT): EffectState.IN_DOUBT,
    (EffectState.IN_DOUBT, RecordKind.INTENT): EffectState.IN_DOUBT,  # another attempt at the same server
    (EffectState.IN_DOUBT, RecordKind.OUTCOME): EffectState.DONE,
    (EffectState.IN_DOUBT, RecordKind.FAILED): EffectState.FAILED,
    (EffectState.IN_DOUBT, RecordKind.NEVER): EffectState.FREE,
    (EffectState.DONE, RecordKind.OUTCOME): EffectState.DONE,  # written again after a death between write and answer
    (EffectState.FAILED, RecordKind.FAILED): EffectState.FAILED,
    (EffectState.FREE, RecordKind.LOST): EffectState.IN_DOUBT,
    (EffectState.IN_DOUBT, RecordKind.LOST): EffectState.IN_DOUBT,
    (EffectState.DONE, RecordKind.LOST): EffectState.DONE,  # nothing of it can run again within its window
    (EffectState.FAILED, RecordKind.LOST): EffectState.FAILED,
}


FINAL_STATES = (EffectState.DONE, EffectState.FAILED)


class EffectError(ValueError):
    """An entry that can not follow; the text names the key."""


@dataclass
class EffectTable:
    """All keys within their window; ``window_us`` is how long a key may come again.

    ``lost_us`` is when an entry was found lost whose key is not known, if one was. ``grants`` are allowances by limit
    and holder; none that was given before ``grants_lost_us`` is known.
    """

    window_us: int
    effects: dict[str, Effect] = field(default_factory=dict)
    lost_us: int | None = None
    grants: dict[str, dict[str, EffectRecord]] = field(default_factory=dict)
    grants_lost_us: int | None = None

    def state_of(self, key: str, now_us: int) -> EffectState:
        """Return how a key stands now."""
        effect = self.get(key, now_us)
        return effect.state if effect is not None else EffectState.FREE

    def get(self, key: str, now_us: int) -> Effect | None:
        """Return what is known of a key within its window."""
        effect = self.effects.get(key)
        if effect is not None and not self._is_expired(effect.at_us, now_us):
            return effect if effect.state is not EffectState.FREE else None
        if self.lost_us is not None and not self._is_expired(self.lost_us, now_us):
            return Effect(key, EffectState.IN_DOUBT, self.lost_us)
        return None

    def apply(self, entry: EffectRecord) -> Effect | None:
        """Take an entry in, as it is written or as it is read again. Raises EffectError."""
        if entry.kind is RecordKind.LOST and not entry.key:
            self._apply_unattributed_loss(entry.at_us)
            return None
        if entry.kind is RecordKind.GRANT:
            self._apply_grant(entry)
            return None
        old = self.get(entry.key, entry.at_us)
        state = TRANSITIONS.get((old.state if old else EffectState.FREE, entry.kind))
        if state is None:
            raise EffectError(
                f"key {entry.key!r}: {entry.kind.value} can not follow {old.state.value if old else 'nothing'}"
            )
        if entry.kind is RecordKind.LOST:
            ended = old is not None and old.state in FINAL_STATES
            effect = old if ended and old is not None else Effect(entry.key, EffectState.IN_DOUBT, entry.at_us)
            self.effects[entry.key] = effect
            return effect
        digest = entry.digest or (old.digest if old else b"")
        if old is not None and old.state is EffectState.IN_DOUBT and not old.server:
            old = None  # it was lost what came before; who wrote this entry knew it
        if (
            entry.kind is RecordKind.INTENT
            and old is not None
            and old.state is EffectState.IN_DOUBT
            and (old.server, old.boot) != (entry.server, entry.boot)
        ):
            raise EffectError(f"key {entry.key!r}: may have run at {old.server}, and is meant for {entry.server}")
        if state is EffectState.FREE and self.lost_us is None and not entry.digest:
            self.effects.pop(entry.key, None)  # else it is kept: free among unnamed ones, or with its mark
            return None
        first = old.at_us if old is not None else entry.at_us
        server, boot = (
            (entry.server, entry.boot)
            if entry.kind is RecordKind.INTENT
            else ((old.server, old.boot) if old else ("", 0))
        )
        effect = Effect(entry.key, state, first, server, boot, digest, entry.result)
        self.effects[entry.key] = effect
        return effect

    def _apply_unattributed_loss(self, at_us: int) -> None:
        """Take that an entry of any key was lost: only keys that came to an end are as they were."""
        self.lost_us = max(at_us, self.lost_us or 0)
        self.grants_lost_us = max(at_us, self.grants_lost_us or 0)
        self.effects = {key: one for key, one in self.effects.items() if one.state in FINAL_STATES}

    def _apply_grant(self, entry: EffectRecord) -> None:
        """Take that an allowance is out: ``server`` holds it, ``boot`` is its version, the result its units.

        It is forgotten at ``at_us``. Without a key it says that those from before then are not known.
        """
        if entry.key:
            self.grants.setdefault(entry.key, {})[entry.server] = entry
        else:
            self.grants_lost_us = max(entry.at_us, self.grants_lost_us or 0)

    def in_doubt(self, now_us: int) -> list[Effect]:
        """Return what is in doubt by name, the oldest first."""
        found = [
            one
            for one in self.effects.values()
            if one.state is EffectState.IN_DOUBT and not self._is_expired(one.at_us, now_us)
        ]
        return sorted(found, key=lambda one: one.at_us)

    def snapshot_records(self, now_us: int) -> list[EffectRecord]:
        """Return entries that say the same as all so far, for a snapshot: none for keys past their window."""
        kinds = {
            EffectState.DONE: RecordKind.OUTCOME,
            EffectState.FAILED: RecordKind.FAILED,
            EffectState.FREE: RecordKind.NEVER,
        }
        entries = []
        if self.lost_us is not None and not self._is_expired(self.lost_us, now_us):
            entries.append(EffectRecord(RecordKind.LOST, "", self.lost_us))
        if self.grants_lost_us is not None:
            entries.append(EffectRecord(RecordKind.GRANT, "", self.grants_lost_us))
        entries += [one for rows in self.grants.values() for one in rows.values() if one.at_us >= now_us]
        for one in self.effects.values():
            if self._is_expired(one.at_us, now_us):
                continue
            entries.append(EffectRecord(RecordKind.INTENT, one.key, one.at_us, one.server, one.boot, one.digest))
            if one.state in kinds:
                marked = one.digest if one.state is EffectState.FREE else b""
                entries.append(EffectRecord(kinds[one.state], one.key, one.at_us, digest=marked, result=one.result))
        return entries

    def sweep(self, now_us: int) -> int:
        """Forget keys past their window; returns how many."""
        gone = [key for key, one in self.effects.items() if self._is_expired(one.at_us, now_us)]
        for key in gone:
            del self.effects[key]
        if self.lost_us is not None and self._is_expired(self.lost_us, now_us):
            self.lost_us = None
        for key in [key for key, rows in self.grants.items() if all(one.at_us < now_us for one in rows.values())]:
            del self.grants[key]
        return len(gone)

    def _is_expired(self, at_us: int, now_us: int) -> bool:
        return now_us > at_us + self.window_us


def replay(entries: Iterable[EffectRecord], window_us: int) -> tuple[EffectTable, list[str]]:
    """Return the table that entries make, and what could not follow: those keys are held to be in doubt."""
    table, faults = EffectTable(window_us), []
    for entry in entries:
        try:
            table.apply(entry)
        except EffectError as error:
            faults.append(str(error))
            if entry.kind is not RecordKind.NEVER:  # something of it may have run: never take that for free
                old = table.effects.get(entry.key)
                keep = old or Effect(entry.key, EffectState.IN_DOUBT, entry.at_us, entry.server, entry.boot)
                table.effects[entry.key] = keep
    return table, faults
