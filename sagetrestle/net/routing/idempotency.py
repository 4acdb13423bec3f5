"""The idempotency key table: which requests repeat which, their results, and the windows of attempts that ran.

The policy decides which requests to retain and for how long. In addition each key remembers the attempt that ran
until its window has passed, so that no later attempt can run within it even if the policy forgot the request.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sagetrestle.interface import Effect, Settings
from sagetrestle.net.routing.values import Request

if TYPE_CHECKING:  # optional modules are not loaded unless they are enabled
    from sagetrestle.handover.messages import KeyRecord

Key = tuple[str, int, str, str]  # kind, class, tenant, and the key or subject
UNKNOWN_KEY: Key = ("", 0, "", "")
KEY_WINDOW_MARGIN_US = 5_000  # the stamp ``s`` is in whole milliseconds, rounded by the client
LATE_READ_SLACK_US = 1_000_000  # beyond the longest deadline of any class, up to which a request may wait unread


@dataclass(slots=True)
class Finished:
    """An attempt that has ended; ``result`` is None if it has no result."""

    result: bytes | None
    until: int


@dataclass(slots=True)
class KeyState:
    """The state of one key."""

    digest: bytes
    holder_id: str | None = None  # the attempt retained for the policy, until ``holder_until``
    holder_until: int = 0
    last_run_id: str | None = None  # the last attempt that ran
    window_end: int = 0  # of the last run; counted from its arrival
    latest_this_turn: str | None = None  # the last attempt read in this turn
    doubt_end: int | None = None  # until then an attempt of unknown outcome may have run

    def is_in_doubt(self, time_us: int) -> bool:
        """Return whether the outcome of an attempt is unknown whose window covers the given time."""
        return self.doubt_end is not None and time_us <= self.doubt_end


@dataclass(slots=True)
class KeyTable:
    """All keys, and the results of attempts that may still be repeated."""

    settings: Settings
    keys: dict[Key, KeyState] = field(default_factory=dict)
    results: dict[str, Finished] = field(default_factory=dict)
    keys_by_id: dict[str, Key] = field(default_factory=dict)  # by attempt id, of attempts that were retained or ran
    effect_ids: dict[str, int] = field(default_factory=dict)  # ends by id, of attempts that ran without a key
    keys_this_turn: list[Key] = field(default_factory=list)
    max_result_bytes: int = 1 << 24
    result_bytes_held: int = 0
    next_sweep: int = 0
    late_read_us: int = 0  # how long after its arrival a repeat may still be read

    def __post_init__(self) -> None:
        """Derive ``late_read_us`` from the longest deadline of all classes."""
        longest = max((request_class.deadline_us for request_class in self.settings.classes), default=0)
        self.late_read_us = longest + LATE_READ_SLACK_US

    def key_of(self, request: Request) -> Key | None:
        """Return the key that ties a request to its repeats, or None if it has none.

        The tenant is part of the key; otherwise a tenant could read another's result by guessing its key.
        """
        effect = self.settings.classes[request.class_index].effect
        if effect is Effect.KEYED and request.key:
            return ("keyed", request.class_index, request.tenant, request.key)
        if effect is Effect.SAFE and request.subject and self.settings.fresh_us:
            return ("read", request.class_index, request.tenant, request.subject)
        return None

    def is_keyed(self, request: Request) -> bool:
        """Return whether a request has an idempotency key that limits it to one run."""
        return bool(request.key) and self.settings.classes[request.class_index].effect is Effect.KEYED

    def conflicts(self, request: Request, now: int) -> bool:
        """Return whether a live key was used before with another body."""
        key = self.key_of(request)
        state = self.keys.get(key) if key else None
        if state is None or key is None or key[0] != "keyed":
            return False
        alive = state.latest_this_turn or self._earlier_attempt(state, request, now)
        return (bool(alive) or state.is_in_doubt(request.arrived)) and state.digest != body_digest(request.body)

    def is_id_of_another_key(self, request: Request) -> bool:
        """Return whether an attempt with this request's id is remembered under another key, or ran without one.

        Results are stored by id alone, so one of two requests with the same id would get the other's result.
        """
        if request.id in self.effect_ids:
            return True
        known_key = self.keys_by_id.get(request.id)
        return known_key is not None and known_key != self.key_of(request)

    def register(self, request: Request, now: int) -> str | None:
        """Register a request that was read and return the id of the attempt that it repeats, if any.

        An attempt read earlier in the same turn counts although it is not retained yet; otherwise two attempts read
        together could both run.
        """
        key = self.key_of(request)
        if key is None:
            return None
        state = self.keys.setdefault(key, KeyState(body_digest(request.body)))
        earlier = self._earlier_attempt(state, request, now) or state.latest_this_turn
        if earlier is None:
            state.digest = body_digest(request.body)
        state.latest_this_turn = request.id
        self.keys_this_turn.append(key)
        return earlier

    def end_of_turn(self) -> None:
        """Forget which attempts were read in this turn."""
        for key in self.keys_this_turn:
            if key in self.keys:
                self.keys[key].latest_this_turn = None
        self.keys_this_turn.clear()

    def retain(self, request: Request, until: int) -> None:
        """Retain an attempt as the holder of its key until ``until``."""
        key = self.key_of(request)
        if key is not None:
            state = self.keys.setdefault(key, KeyState(body_digest(request.body)))
            state.holder_id, state.holder_until = request.id, until
            self.keys_by_id[request.id] = key

    def forget(self, id: str) -> None:
        """Stop retaining an attempt, if it still is the holder of its key."""
        state = self.keys.get(self.keys_by_id.get(id, UNKNOWN_KEY))
        if state and state.holder_id == id:
            state.holder_id = None
        if state and state.last_run_id != id:
            self._drop(id)

    def mark_started(self, request: Request) -> None:
        """Remember that an attempt runs; its window counts from its arrival."""
        key = self.key_of(request)
        request_class = self.settings.classes[request.class_index]
        if key is None and request_class.effect is not Effect.SAFE:
            self.effect_ids[request.id] = self._window_end(request) + self.late_read_us
        if key is None or key[0] != "keyed":
            return
        state = self.keys.setdefault(key, KeyState(body_digest(request.body)))
        state.last_run_id = request.id
        state.window_end = self._window_end(request)
        self.keys_by_id[request.id] = key

    def mark_not_run(self, request: Request) -> None:
        """Undo ``mark_started`` for an attempt that the kernel did not start, as if it had never arrived."""
        self.effect_ids.pop(request.id, None)
        state = self.keys.get(self.keys_by_id.get(request.id, UNKNOWN_KEY))
        if state and state.last_run_id == request.id:
            state.last_run_id, state.window_end = None, 0
        self.forget(request.id)

    def mark_in_doubt(self, request: Request) -> None:
        """Undo ``mark_started`` for an attempt of unknown outcome: a later attempt may ask for it."""
        self.mark_not_run(request)
        key = self.key_of(request)
        if key is not None:
            self._set_doubt(key, body_digest(request.body), self._window_end(request))

    def adopt_doubt(self, record: KeyRecord) -> None:
        """Remember an attempt of an earlier process whose outcome is unknown."""
        self._set_doubt(self._key_of_record(record), record.digest, record.until_us)

    def _set_doubt(self, key: Key, digest: bytes, until: int) -> None:
        state = self.keys.setdefault(key, KeyState(digest))
        state.digest, state.doubt_end = digest, until

    def may_have_run(self, request: Request) -> bool:
        """Return whether an attempt of unknown outcome may have run with this key and body within its window."""
        key = self.key_of(request)
        state = self.keys.get(key) if key else None
        return state is not None and state.is_in_doubt(request.arrived) and state.digest == body_digest(request.body)

    def ran_in_window(self, request: Request) -> bool:
        """Return whether an attempt with this key and body ran whose window covers this request's arrival."""
        key = self.key_of(request)
        state = self.keys.get(key) if key and key[0] == "keyed" else None
        return bool(
            state
            and state.last_run_id
            and request.arrived <= state.window_end
            and state.digest == body_digest(request.body)
        )

    def may_start(self, request: Request) -> bool:
        """Return whether no other attempt with this key ran whose window covers this request's arrival."""
        key = self.key_of(request)
        state = self.keys.get(key) if key and key[0] == "keyed" else None
        return not state or state.last_run_id in (None, request.id) or request.arrived > state.window_end

    def run_id_in_window(self, request: Request) -> str | None:
        """Return the id of the attempt that ran with this key, if its window covers this request's arrival."""
        key = self.key_of(request)
        state = self.keys.get(key) if key else None
        return state.last_run_id if state and request.arrived <= state.window_end else None

    def records(self, now: int) -> list[KeyRecord]:
        """Return the records, for another process, of all keys whose run can still be repeated."""
        return [
            self._record(key, state, state.last_run_id)
            for key, state in self.keys.items()
            if key[0] == "keyed" and state.last_run_id and state.window_end + self.late_read_us > now
        ]

    def record(self, request: Request) -> KeyRecord:
        """Return the record of a keyed attempt, for another process, as if it had run."""
        key = self.key_of(request)
        assert key is not None
        return self._record(key, KeyState(body_digest(request.body), window_end=self._window_end(request)), request.id)

    def _window_end(self, request: Request) -> int:
        """Return until when an attempt may be repeated if it runs."""
        return request.arrived + self.settings.classes[request.class_index].window_us + KEY_WINDOW_MARGIN_US

    def _record(self, key: Key, state: KeyState, id: str) -> KeyRecord:
        from sagetrestle.handover.messages import KeyName, KeyRecord  # loaded only if there is another process

        request_class = self.settings.classes[key[1]]
        arrived = state.window_end - request_class.window_us - KEY_WINDOW_MARGIN_US
        return KeyRecord(KeyName(request_class.name, key[2], key[3]), state.digest, id, arrived, state.window_end)

    def find_conflicting_run(self, record: KeyRecord) -> tuple[str, bytes] | None:
        """Return the id and body digest of the other attempt whose window covers another process's attempt, if any."""
        state = self.keys.get(self._key_of_record(record))
        if state is None or state.last_run_id in (None, record.id) or record.arrived_us > state.window_end:
            return None
        return state.last_run_id, state.digest

    def knows_id(self, id: str) -> bool:
        """Return whether an attempt with this id is remembered, under any key."""
        return id in self.keys_by_id

    def adopt_remote_run(self, record: KeyRecord) -> None:
        """Remember an attempt that ran in another process as if it had run here."""
        key = self._key_of_record(record)
        state = self.keys.setdefault(key, KeyState(record.digest))
        state.digest, state.last_run_id, state.window_end = record.digest, record.id, record.until_us
        self.keys_by_id[record.id] = key

    def _key_of_record(self, record: KeyRecord) -> Key:
        """Return a record's key with this process's class index, or -1, which matches none, for an unknown class."""
        class_index = next(
            (index for index, each in enumerate(self.settings.classes) if each.name == record.key.cls), -1
        )
        return ("keyed", class_index, record.key.tenant, record.key.key)

    def forget_remote_run(self, id: str) -> None:
        """Undo ``adopt_remote_run``: the attempt never ran, or its outcome is unavailable."""
        state = self.keys.get(self.keys_by_id.get(id, UNKNOWN_KEY))
        if state is not None and state.last_run_id == id:
            state.last_run_id, state.window_end = None, 0
        self._drop(id)

    def store_remote_result(self, id: str, result: bytes | None, until: int) -> None:
        """Store the result of an attempt that ran in another process."""
        if id in self.keys_by_id:
            self._store_result(id, result, until)

    def finish(self, request: Request, result: bytes | None, now: int) -> None:
        """Store the result of an attempt for as long as a repeat of it can be read."""
        if request.id not in self.keys_by_id:
            return
        key = self.keys_by_id[request.id]
        state = self.keys[key]
        until = max(state.holder_until, state.window_end)
        if key[0] == "read":  # a read may be shared only while its result is fresh
            until = now + self.settings.fresh_us if result is not None else now
            state.holder_until = min(state.holder_until, until)
            if result is None and state.holder_id == request.id:
                state.holder_id = None  # a failed read has no result to share, not even in the same turn
        self._store_result(request.id, result, until + self.late_read_us)

    def _store_result(self, id: str, result: bytes | None, until: int) -> None:
        self._drop_result(id)
        self.results[id] = Finished(result, until)
        self.result_bytes_held += len(result or b"")
        while (
            self.result_bytes_held > self.max_result_bytes
        ):  # a repeat of a dropped result fails instead of running again
            self._drop_result(next(iter(self.results)))

    def result(self, id: str) -> Finished | None:
        """Return the stored result of an attempt that has ended."""
        return self.results.get(id)

    def sweep(self, now: int) -> None:
        """Drop results and keys that can no longer be asked for, at most once a second."""
        if now < self.next_sweep:
            return
        self.next_sweep = now + 1_000_000
        for id in [id for id, finished in self.results.items() if finished.until <= now]:
            self._drop_result(id)
        self.keys = {
            key: state
            for key, state in self.keys.items()
            if state.latest_this_turn
            or state.is_in_doubt(now - self.late_read_us)
            or (state.holder_id or state.last_run_id)
            and max(state.holder_until, state.window_end) + self.late_read_us > now
        }
        self.keys_by_id = {id: key for id, key in self.keys_by_id.items() if key in self.keys}
        self.effect_ids = {id: until for id, until in self.effect_ids.items() if until > now}

    def _drop(self, id: str) -> None:
        self.keys_by_id.pop(id, None)
        self._drop_result(id)

    def _drop_result(self, id: str) -> None:
        dropped = self.results.pop(id, None)
        if dropped:
            self.result_bytes_held -= len(dropped.result or b"")

    def _earlier_attempt(self, state: KeyState, request: Request, now: int) -> str | None:
        """Return the retained attempt, or the one that ran and whose window covers the request's arrival."""
        if state.holder_id and state.holder_until >= now:
            return state.holder_id
        if state.last_run_id and request.arrived <= state.window_end:
            return state.last_run_id
        return None


def body_digest(body: bytes) -> bytes:
    """Return the digest by which the bodies of two attempts are compared."""
    return hashlib.blake2b(body, digest_size=16).digest()
