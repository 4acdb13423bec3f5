"""Which requests repeat which: the table of kept requests, their results, and the windows of what ran.

The module says what to keep and for how long. On top of that each key remembers the try that ran until its
window is over, so that no later try can run within it whatever became of the entry.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sagetrestle.interface import Effect, Settings
from sagetrestle.net.routing.values import Request

if TYPE_CHECKING:  # what is off is not loaded
    from sagetrestle.handover.messages import KeyRecord

Key = tuple[str, int, str, str]  # kind, class, tenant, and the key or subject
NO_KEY: Key = ("", 0, "", "")
MARGIN_US = 5_000  # ``s`` is in whole milliseconds and its rounding is the other side's
LATE_READ_SLACK_US = 1_000_000  # past the longest limit of any class, up to which a request may be read or wait


@dataclass(slots=True)
class Finished:
    """A try that is over; ``result`` is None where there is none to give."""

    result: bytes | None
    until: int


@dataclass(slots=True)
class KeyState:
    """What is known of one key."""

    digest: bytes
    holder: str | None = None  # the try that the entry stands for, while it lives
    held_until: int = 0
    ran: str | None = None  # the last try that ran
    ran_until: int = 0  # the end of its window, counted from its arrival
    latest: str | None = None  # the last try read in this turn


@dataclass(slots=True)
class KeyTable:
    """All keys, and the results of tries that may still be repeated."""

    settings: Settings
    keys: dict[Key, KeyState] = field(default_factory=dict)
    results: dict[str, Finished] = field(default_factory=dict)
    names: dict[str, Key] = field(default_factory=dict)  # kept or run tries, by id
    turn_keys: list[Key] = field(default_factory=list)
    most_bytes: int = 1 << 24  # of results
    held_bytes: int = 0
    next_sweep: int = 0
    late_read_us: int = 0  # how long after its arrival a repeat may still be read: past every class's limit

    def __post_init__(self) -> None:
        """Derive what the classes' limits say."""
        longest = max((cls.deadline_us for cls in self.settings.classes), default=0)
        self.late_read_us = longest + LATE_READ_SLACK_US

    def key_of(self, request: Request) -> Key | None:
        """Return the key that ties a request to its repeats, if it has one that counts.

        The tenant is part of it: else one could read or join another's result by guessing a key.
        """
        effect = self.settings.classes[request.cls].effect
        if effect is Effect.KEYED and request.key:
            return ("keyed", request.cls, request.tenant, request.key)
        if effect is Effect.SAFE and request.subject and self.settings.fresh_us:
            return ("read", request.cls, request.tenant, request.subject)
        return None

    def keyed(self, request: Request) -> bool:
        """Tell whether a request's key binds its runs."""
        return bool(request.key) and self.settings.classes[request.cls].effect is Effect.KEYED

    def conflicts(self, request: Request, now: int) -> bool:
        """Tell whether a living key came before with another body."""
        key = self.key_of(request)
        state = self.keys.get(key) if key else None
        if state is None or key is None or key[0] != "keyed":
            return False
        alive = state.latest or self._holder(state, request, now)
        return bool(alive) and state.digest != _digest(request.body)

    def arrive(self, request: Request, now: int) -> str | None:
        """Take a request that was read and return the try that it repeats.

        A try that is read in the same turn counts though nothing was kept of it yet: without that, two tries
        read together would not know of each other and each might run.
        """
        key = self.key_of(request)
        if key is None:
            return None
        state = self.keys.setdefault(key, KeyState(_digest(request.body)))
        earlier = self._holder(state, request, now) or state.latest
        if earlier is None:
            state.digest = _digest(request.body)
        state.latest = request.id
        self.turn_keys.append(key)
        return earlier

    def end_turn(self) -> None:
        """Forget which tries were read together."""
        for key in self.turn_keys:
            if key in self.keys:
                self.keys[key].latest = None
        self.turn_keys.clear()

    def keep(self, request: Request, until: int) -> None:
        """Let the entry stand for this try until then."""
        key = self.key_of(request)
        if key is not None:
            state = self.keys.setdefault(key, KeyState(_digest(request.body)))
            state.holder, state.held_until = request.id, until
            self.names[request.id] = key

    def forget(self, id: str) -> None:
        """Remove the entry, if it still stands for this try."""
        state = self.keys.get(self.names.get(id, NO_KEY))
        if state and state.holder == id:
            state.holder = None
        if state and state.ran != id:
            self._drop(id)

    def started(self, request: Request) -> None:
        """Remember that a try runs: its window counts from its arrival."""
        key = self.key_of(request)
        if key is None or key[0] != "keyed":
            return
        state = self.keys.setdefault(key, KeyState(_digest(request.body)))
        state.ran = request.id
        state.ran_until = request.arrived + self.settings.classes[request.cls].window_us + MARGIN_US
        self.names[request.id] = key

    def never_ran(self, request: Request) -> None:
        """Take back that a try runs: the kernel did not start it, so its key is as if it had not come."""
        state = self.keys.get(self.names.get(request.id, NO_KEY))
        if state and state.ran == request.id:
            state.ran, state.ran_until = None, 0
        self.forget(request.id)

    def ran_before(self, request: Request) -> bool:
        """Tell whether a try with this key and body ran whose window holds this one's arrival."""
        key = self.key_of(request)
        state = self.keys.get(key) if key and key[0] == "keyed" else None
        return bool(
            state and state.ran and request.arrived <= state.ran_until and state.digest == _digest(request.body)
        )

    def may_start(self, request: Request) -> bool:
        """Tell whether no other try of a keyed request ran whose window holds this one's arrival."""
        key = self.key_of(request)
        state = self.keys.get(key) if key and key[0] == "keyed" else None
        return not state or state.ran in (None, request.id) or request.arrived > state.ran_until

    def ran_id(self, request: Request) -> str | None:
        """Return the try of its key that ran, if its window holds this one's arrival."""
        key = self.key_of(request)
        state = self.keys.get(key) if key else None
        return state.ran if state and request.arrived <= state.ran_until else None

    def records(self, now: int) -> list[KeyRecord]:
        """Return all keys of which a try ran that can still be repeated, for another process."""
        return [
            self._record(key, state, state.ran)
            for key, state in self.keys.items()
            if key[0] == "keyed" and state.ran and state.ran_until + self.late_read_us > now
        ]

    def record(self, request: Request) -> KeyRecord:
        """Return a keyed try as another process would know it if it ran."""
        key = self.key_of(request)
        assert key is not None
        until = request.arrived + self.settings.classes[request.cls].window_us + MARGIN_US
        return self._record(key, KeyState(_digest(request.body), ran_until=until), request.id)

    def _record(self, key: Key, state: KeyState, id: str) -> KeyRecord:
        from sagetrestle.handover.messages import KeyName, KeyRecord  # only where there is another process

        cls = self.settings.classes[key[1]]
        arrived = state.ran_until - cls.window_us - MARGIN_US
        return KeyRecord(KeyName(cls.name, key[2], key[3]), state.digest, id, arrived, state.ran_until)

    def ran_within(self, record: KeyRecord) -> tuple[str, bytes] | None:
        """Return the try, and its body's digest, that ran in whose window another process's try came."""
        state = self.keys.get(self._named(record))
        if state is None or state.ran in (None, record.id) or record.arrived_us > state.ran_until:
            return None
        return state.ran, state.digest

    def adopt(self, record: KeyRecord) -> None:
        """Remember a try that ran at another process as one that ran here."""
        key = self._named(record)
        state = self.keys.setdefault(key, KeyState(record.digest))
        state.digest, state.ran, state.ran_until = record.digest, record.id, record.until_us
        self.names[record.id] = key

    def _named(self, record: KeyRecord) -> Key:
        """Return a key by this process's class numbers; one of a class that is gone ties nothing here."""
        at = next((at for at, cls in enumerate(self.settings.classes) if cls.name == record.key.cls), -1)
        return ("keyed", at, record.key.tenant, record.key.key)

    def disown(self, id: str) -> None:
        """Take back that a try ran at another process: it never did, or its end is not to be had."""
        state = self.keys.get(self.names.get(id, NO_KEY))
        if state is not None and state.ran == id:
            state.ran, state.ran_until = None, 0
        self._drop(id)

    def learn(self, id: str, result: bytes | None, until: int) -> None:
        """Keep what became of a try at another process."""
        if id in self.names:
            self._put(id, result, until)

    def finish(self, request: Request, result: bytes | None, now: int) -> None:
        """Keep what became of a try as long as a repeat of it can be read."""
        if request.id not in self.names:
            return
        key = self.names[request.id]
        state = self.keys[key]
        until = max(state.held_until, state.ran_until)
        if key[0] == "read":  # a read may be repeated only while what it found is fresh
            until = now + self.settings.fresh_us if result is not None else now
            state.held_until = min(state.held_until, until)
            if result is None and state.holder == request.id:
                state.holder = None  # one that failed has nothing to share, not even in the same turn
        self._put(request.id, result, until + self.late_read_us)

    def _put(self, id: str, result: bytes | None, until: int) -> None:
        self._drop_result(id)
        self.results[id] = Finished(result, until)
        self.held_bytes += len(result or b"")
        while self.held_bytes > self.most_bytes:  # a repeat of what is dropped fails; it does not run again
            self._drop_result(next(iter(self.results)))

    def result(self, id: str) -> Finished | None:
        """Return what became of a try that is over."""
        return self.results.get(id)

    def sweep(self, now: int) -> None:
        """Drop what can not be asked for any more."""
        if now < self.next_sweep:
            return
        self.next_sweep = now + 1_000_000
        for id in [id for id, one in self.results.items() if one.until <= now]:
            self._drop_result(id)
        self.keys = {
            key: one
            for key, one in self.keys.items()
            if one.latest or (one.holder or one.ran) and max(one.held_until, one.ran_until) + self.late_read_us > now
        }
        self.names = {id: key for id, key in self.names.items() if key in self.keys}

    def _drop(self, id: str) -> None:
        self.names.pop(id, None)
        self._drop_result(id)

    def _drop_result(self, id: str) -> None:
        gone = self.results.pop(id, None)
        if gone:
            self.held_bytes -= len(gone.result or b"")

    def _holder(self, state: KeyState, request: Request, now: int) -> str | None:
        """Return the try with the living entry, or the one that ran and whose window holds the arrival."""
        if state.holder and state.held_until >= now:
            return state.holder
        if state.ran and request.arrived <= state.ran_until:
            return state.ran
        return None


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=16).digest()
