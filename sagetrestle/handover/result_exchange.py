"""Tries that run at the other process, who waits here for what becomes of them, and results on their way there."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sagetrestle.handover.messages import Results

MAX_BATCH_BYTES, MAX_BATCH_RESULTS = 48 * 1024, 256  # of results in one message
MAX_UNACKED_BATCHES = 2  # messages of results that may be unacknowledged: what waits stays here and not in buffers

ResultLookup = tuple[bytes | None, int] | None  # a result, and until when it may be asked for; None: not over


@dataclass(slots=True)
class ResultExchange:
    """One process's side."""

    waiters: dict[str, list[str]] = field(default_factory=dict)  # a try there, and those here that wait for it
    pending_grants: set[str] = field(default_factory=set)  # tries here for which a grant was asked
    wanted_results: set[str] = field(default_factory=set)  # tries here whose result the other side waits for
    outbox: deque[str] = field(default_factory=deque)  # tries that are over, whose result is to be sent
    unacknowledged: int = 0

    def wait(self, by: str, id: str) -> bool:
        """Let a try here wait for one there; False if none such runs there."""
        if by not in self.waiters:
            return False
        self.waiters[by].append(id)
        return True

    def resolved(self, by: str) -> list[str]:
        """Forget a try there that is over, and return who waited for it."""
        return self.waiters.pop(by, [])

    def send(self, ids: Iterable[str]) -> None:
        """Have the results of these tries sent, in this order."""
        self.outbox.extend(ids)

    def next_batch(self, find: Callable[[str], ResultLookup]) -> Results | None:
        """Return the next message of results, unless too many are unacknowledged.

        What is not over yet, or was dropped, is passed by: the first comes as it ends, and the second has none.
        """
        if self.unacknowledged >= MAX_UNACKED_BATCHES:
            return None
        batch: list[tuple[str, bytes | None, int]] = []
        size = 0
        while self.outbox and len(batch) < MAX_BATCH_RESULTS and size < MAX_BATCH_BYTES:
            id = self.outbox.popleft()
            found = find(id)
            if found is not None:
                batch.append((id, *found))
                size += len(found[0] or b"")
        if not batch:
            return None
        self.unacknowledged += 1
        return Results(tuple(batch))

    def acknowledged(self) -> None:
        """Note that a message of results was taken."""
        self.unacknowledged = max(0, self.unacknowledged - 1)

    def settled(self) -> bool:
        """Tell whether nothing is left to be sent or acknowledged."""
        return not self.outbox and not self.unacknowledged
