"""The results of attempts that two processes of one scorer exchange, and the attempts that wait for them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sagetrestle.handover.messages import Results

MAX_BATCH_BYTES = 48 * 1024  # of results in one message, after which no further result is added
MAX_BATCH_RESULTS = 256  # in one message
MAX_UNACKED_BATCHES = 2  # limits the results held in the stream's buffers

ResultLookup = tuple[bytes | None, int] | None  # the result and its expiry; None while the attempt runs


@dataclass(slots=True)
class ResultExchange:
    """One process's side of the exchange."""

    waiters: dict[str, list[str]] = field(
        default_factory=dict
    )  # attempts here, by the remote attempt that they wait for
    pending_grants: set[str] = field(default_factory=set)  # attempts here whose claim was sent and not decided
    wanted_results: set[str] = field(default_factory=set)  # running attempts here whose result the other process needs
    outbox: deque[str] = field(default_factory=deque)  # ended attempts whose result is still to be sent
    unacknowledged: int = 0

    def wait(self, by: str, id: str) -> bool:
        """Make attempt ``id`` wait for the remote attempt ``by``; return False if no such attempt is known."""
        if by not in self.waiters:
            return False
        self.waiters[by].append(id)
        return True

    def resolved(self, by: str) -> list[str]:
        """Forget a remote attempt that has ended, and return the attempts that waited for it."""
        return self.waiters.pop(by, [])

    def send(self, ids: Iterable[str]) -> None:
        """Queue the results of these attempts for sending."""
        self.outbox.extend(ids)

    def next_batch(self, find: Callable[[str], ResultLookup]) -> Results | None:
        """Return the next message of results, unless too many are unacknowledged.

        Attempts that still run, or whose result was dropped, are skipped: a running one is queued again when it ends.
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
        """Count a message of results as acknowledged."""
        self.unacknowledged = max(0, self.unacknowledged - 1)

    def settled(self) -> bool:
        """Return whether all results were sent and acknowledged."""
        return not self.outbox and not self.unacknowledged
