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
    from sagetrestle.handover.messages import Record

Key = tuple[str, int, str, str]  # kind, class, tenant, and the key or subject
UNKNOWN_KEY: Key = ("", 0, "", "")
KEY_WINDOW_MARGIN_US = 5_000  # ``s`` is in whole milliseconds and its rounding is the other side's
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
    holder_id: str | None = None  # the try that the entry stands for, while it lives
    holder_until: int = 0
    last_run_id: str | None = None  # the last try that ran
    window_end: int = 0  # the end of its window, counted from its arrival
    latest_this_turn: str | None = None  # the last try read in this turn


@dataclass(slots=True)
class KeyTable:
    """All keys, and the results of tries that may still be repeated."""

    settings: Settings
    keys: dict[Key, KeyState] = field(default_factory=dict)
    results: dict[str, Finished] = field(default_factory=dict)
    keys_by_id: dict[str, Key] = field(default_factory=dict)  # kept or run tries, by id
    keys_this_turn: list[Key] = field(default_factory=list)
    max_result_bytes: int = 1 << 24  # of results
    result_bytes_held: int = 0
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
        effect = self.settings.classes[request.class_index].effect
        if effect is Effect.KEYED and request.key:
            return ("keyed", request.class_index, request.tenant, request.key)
        if effect is Effect.SAFE and request.subject and self.settings.fresh_us:
            return ("read", request.class_index, request.tenant, request.subject)
        return None

    def is_keyed(self, request: Request) -> bool:
        """Tell whether a request's key binds its runs."""
        return bool(request.key) and self.settings.classes[request.class_index].effect is Effect.KEYED

    def conflicts(self, request: Request, now: int) -> bool:
        """Tell whether a living key came before with another body."""
        key = self.key_of(request)
        state = self.keys.get(key) if key else None
        if state is None or key is None or key[0] != "keyed":
            return False
        alive = state.latest_this_turn or self._earlier_attempt(state, request, now)
        return bool(alive) and state.digest != _digest(request.body)

    def register(self, request: Request, now: int) -> str | None:
        """Take a request that was read and return the try that it repeats.

        A try that is read in the same turn counts though nothing was kept of it yet: without that, two tries
        read together would not know of each other and each might run.
        """
        key = self.key_of(request)
        if key is None:
            return None
        state = self.keys.setdefault(key, KeyState(_digest(request.body)))
        earlier = self._earlier_attempt(state, request, now) or state.latest_this_turn
        if earlier is None:
            state.digest = _digest(request.body)
        state.latest_this_turn = request.id
        self.keys_this_turn.append(key)
        return earlier

    def end_of_turn(self) -> None:
        """Forget which tries were read together."""
        for key in self.keys_this_turn:
            if key in self.keys:
                self.keys[key].latest_this_turn = None
        self.keys_this_turn.clear()

    def retain(self, request: Request, until: int) -> None:
        """Let the entry stand for this try until then."""
        key = self.key_of(request)
        if key is not None:
            state = self.keys.setdefault(key, KeyState(_digest(request.body)))
            state.holder_id, state.holder_until = request.id, until
            self.keys_by_id[request.id] = key

    def forget(self, id: str) -> None:
        """Remove the entry, if it still stands for this try."""
        state = self.keys.get(self.keys_by_id.get(id, UNKNOWN_KEY))
        if state and state.holder_id == id:
            state.holder_id = None
        if state and state.last_run_id != id:
            self._drop(id)

    def mark_started(self, request: Request) -> None:
        """Remember that a try runs: its window counts from its arrival."""
        key = self.key_of(request)
        if key is None or key[0] != "keyed":
            return
        state = self.keys.setdefault(key, KeyState(_digest(request.body)))
        state.last_run_id = request.id
        state.window_end = request.arrived + self.settings.classes[request.class_index].window_us + KEY_WINDOW_MARGIN_US
        self.keys_by_id[request.id] = key

    def mark_not_run(self, request: Request) -> None:
        """Take back that a try runs: the kernel did not start it, so its key is as if it had not come."""
        state = self.keys.get(self.keys_by_id.get(request.id, UNKNOWN_KEY))
        if state and state.last_run_id == request.id:
            state.last_run_id, state.window_end = None, 0
        self.forget(request.id)

    def ran_in_window(self, request: Request) -> bool:
        """Tell whether a try with this key and body ran whose window holds this one's arrival."""
        key = self.key_of(request)
        state = self.keys.get(key) if key and key[0] == "keyed" else None
        return bool(
            state
            and state.last_run_id
            and request.arrived <= state.window_end
            and state.digest == _digest(request.body)
        )

    def may_start(self, request: Request) -> bool:
        """Tell whether no other try of a keyed request ran whose window holds this one's arrival."""
        key = self.key_of(request)
        state = self.keys.get(key) if key and key[0] == "keyed" else None
        return not state or state.last_run_id in (None, request.id) or request.arrived > state.window_end

    def run_id_in_window(self, request: Request) -> str | None:
        """Return the try of its key that ran, if its window holds this one's arrival."""
        key = self.key_of(request)
        state = self.keys.get(key) if key else None
        return state.last_run_id if state and request.arrived <= state.window_end else None

    def records(self, now: int) -> list[Record]:
        """Return all keys of which a try ran that can still be repeated, for another process."""
        return [
            self._record(key, state, state.last_run_id)
            for key, state in self.keys.items()
            if key[0] == "keyed" and state.last_run_id and state.window_end + self.late_read_us > now
        ]

    def record(self, request: Request) -> Record:
        """Return a keyed try as another process would know it if it ran."""
        key = self.key_of(request)
        assert key is not None
        until = request.arrived + self.settings.classes[request.class_index].window_us + KEY_WINDOW_MARGIN_US
        return self._record(key, KeyState(_digest(request.body), window_end=until), request.id)

    def _record(self, key: Key, state: KeyState, id: str) -> Record:
        from sagetrestle.handover.messages import KeyName, Record  # only where there is another process

        cls = self.settings.classes[key[1]]
        arrived = state.window_end - cls.window_us - KEY_WINDOW_MARGIN_US
        return Record(KeyName(cls.name, key[2], key[3]), state.digest, id, arrived, state.window_end)

    def find_conflicting_run(self, record: Record) -> tuple[str, bytes] | None:
        """Return the try, and its body's digest, that ran in whose window another process's try came."""
        state = self.keys.get(self._key_of_record(record))
        if state is None or state.last_run_id in (None, record.id) or record.arrived_us > state.window_end:
            return None
        return state.last_run_id, state.digest

    def adopt_remote_run(self, record: Record) -> None:
        """Remember a try that ran at another process as one that ran here."""
        key = self._key_of_record(record)
        state = self.keys.setdefault(key, KeyState(record.digest))
        state.digest, state.last_run_id, state.window_end = record.digest, record.id, record.until_us
        self.keys_by_id[record.id] = key

    def _key_of_record(self, record: Record) -> Key:
        """Return a key by this process's class numbers; one of a class that is gone ties nothing here."""
        at = next((at for at, cls in enumerate(self.settings.classes) if cls.name == record.key.cls), -1)
        return ("keyed", at, record.key.tenant, record.key.key)

    def forget_remote_run(self, id: str) -> None:
        """Take back that a try ran at another process: it never did, or its end is not to be had."""
        state = self.keys.get(self.keys_by_id.get(id, UNKNOWN_KEY))
        if state is not None and state.last_run_id == id:
            state.last_run_id, state.window_end = None, 0
        self._drop(id)

    def store_remote_result(self, id: str, result: bytes | None, until: int) -> None:
        """Keep what became of a try at another process."""
        if id in self.keys_by_id:
            self._store_result(id, result, until)

    def finish(self, request: Request, result: bytes | None, now: int) -> None:
        """Keep what became of a try as long as a repeat of it can be read."""
        if request.id not in self.keys_by_id:
            return
        key = self.keys_by_id[request.id]
        state = self.keys[key]
        until = max(state.holder_until, state.window_end)
        if key[0] == "read":  # a read may be repeated only while what it found is fresh
            until = now + self.settings.fresh_us if result is not None else now
            state.holder_until = min(state.holder_until, until)
            if result is None and state.holder_id == request.id:
                state.holder_id = None  # one that failed has nothing to share, not even in the same turn
        self._store_result(request.id, result, until + self.late_read_us)

    def _store_result(self, id: str, result: bytes | None, until: int) -> None:
        self._drop_result(id)
        self.results[id] = Finished(result, until)
        self.result_bytes_held += len(result or b"")
        while (
            self.result_bytes_held > self.max_result_bytes
        ):  # a repeat of what is dropped fails; it does not run again
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
            if one.latest_this_turn
            or (one.holder_id or one.last_run_id)
            and max(one.holder_until, one.window_end) + self.late_read_us > now
        }
        self.keys_by_id = {id: key for id, key in self.keys_by_id.items() if key in self.keys}

    def _drop(self, id: str) -> None:
        self.keys_by_id.pop(id, None)
        self._drop_result(id)

    def _drop_result(self, id: str) -> None:
        gone = self.results.pop(id, None)
        if gone:
            self.result_bytes_held -= len(gone.result or b"")

    def _earlier_attempt(self, state: KeyState, request: Request, now: int) -> str | None:
        """Return the try with the living entry, or the one that ran and whose window holds the arrival."""
        if state.holder_id and state.holder_until >= now:
            return state.holder_id
        if state.last_run_id and request.arrived <= state.window_end:
            return state.last_run_id
        return None


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=16).digest()
