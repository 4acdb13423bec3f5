"""Bounds the memory that unfinished requests take over all connections of all fronts."""

from __future__ import annotations

from typing import Protocol


class InputHolder(Protocol):
    """A connection that holds received bytes until a request is complete."""

    def has_unanswered_requests(self) -> bool:
        """Return whether a request that was read on this connection has no answer yet."""

    def abort_for_memory(self) -> None:
        """Abort the connection, as unfinished requests take too much memory."""


class InputBudget:
    """Counts the bytes that connections hold; over the maximum it aborts those whose requests are unfinished longest.

    Sound clients send a request within milliseconds, so those that send slowly or stop half way go first. A connection
    with unanswered requests is spared: their answers would be lost with it.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held: dict[InputHolder, int] = {}  # in the order in which their requests began
        self.total = 0

    def update(self, connection: InputHolder, held_bytes: int, progressed: bool = False) -> bool:
        """Set what a connection holds; return whether the total is within the maximum now.

        ``progressed``: a request was completed, so what is held belongs to a request that began just now.
        """
        if progressed or not held_bytes:
            self.remove(connection)
        if held_bytes:
            self.total += held_bytes - self._held.get(connection, 0)
            self._held[connection] = held_bytes
        if self.total > self._max_bytes:
            self._make_room()
        return self.total <= self._max_bytes

    def remove(self, connection: InputHolder) -> None:
        """Forget a connection that holds nothing or has ended."""
        self.total -= self._held.pop(connection, 0)

    def _make_room(self) -> None:
        excess = self.total - self._max_bytes
        victims: list[InputHolder] = []
        for connection, held_bytes in self._held.items():
            if excess <= 0:
                break
            if not connection.has_unanswered_requests():
                victims.append(connection)
                excess -= held_bytes
        for connection in victims:
            self.remove(connection)
            connection.abort_for_memory()
