"""A bounded queue served round robin by source (Nagle, RFC 970; the unit-cost case of deficit round robin).

A source that floods the queue only delays itself. Sources in good standing, those whose earlier items were useful,
get a fixed share of the turns, so that thousands of unknown sources do not starve them. When the queue is full, an
item of a source in good standing replaces the latest item of another source.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Hashable
from typing import Generic, TypeVar

from cachetools import LRUCache

T = TypeVar("T", bound=Hashable)
SourceQueues = OrderedDict[str, deque[T]]
GOOD_STANDING_TURNS = 3  # for each turn of another source, while both have items
MAX_KNOWN_SOURCES = 4096  # in good standing; the least recently used is forgotten


class FairQueue(Generic[T]):
    """A queue that holds at most ``max_items`` items, and at most ``max_items_per_source`` of one source.

    The caller decides how fast items are taken out.
    """

    def __init__(self, max_items: int, max_items_per_source: int) -> None:
        self._max_items = max_items
        self._max_items_per_source = max_items_per_source
        # Queues of sources in good standing, and of all others.
        self._queues: tuple[SourceQueues[T], SourceQueues[T]] = (OrderedDict(), OrderedDict())
        self._source_of: dict[T, str] = {}
        self._good_standing: LRUCache[str, bool] = LRUCache(MAX_KNOWN_SOURCES)
        self._good_turns_taken = 0

    def __len__(self) -> int:
        return len(self._source_of)

    def __contains__(self, item: T) -> bool:
        return item in self._source_of

    def put(self, source: str, item: T) -> T | None:
        """Add an item, and return the item that had to be left out for lack of room: this one, an older one, or None.

        Raises ValueError if the item is already queued.
        """
        if item in self._source_of:
            raise ValueError(f"item from source {source!r} is already queued")
        in_good_standing = source in self._good_standing
        queue = self._queues[not in_good_standing].get(source)
        if queue is not None and len(queue) >= self._max_items_per_source:
            return item
        evicted = None
        if len(self._source_of) >= self._max_items:
            evicted = self._latest_of_longest_queue() if in_good_standing else None
            if evicted is None:
                return item
            self.remove(evicted)
        self._queues[not in_good_standing].setdefault(source, deque()).append(item)
        self._source_of[item] = source
        return evicted

    def take(self) -> tuple[str, T] | None:
        """Remove the next item and return it after its source, or None if the queue is empty."""
        in_good_standing, others = self._queues
        queues = (
            in_good_standing
            if in_good_standing and (not others or self._good_turns_taken < GOOD_STANDING_TURNS)
            else others
        )
        if not queues:
            return None
        self._good_turns_taken = self._good_turns_taken + 1 if queues is in_good_standing else 0
        source, queue = next(iter(queues.items()))
        item = queue.popleft()
        queues.move_to_end(source)
        if not queue:
            del queues[source]
        del self._source_of[item]
        return source, item

    def remove(self, item: T) -> None:
        """Remove an item that is no longer wanted; does nothing if it is not queued."""
        source = self._source_of.pop(item, None)
        if source is None:
            return
        for queues in self._queues:
            queue = queues.get(source)
            if queue is not None and item in queue:
                queue.remove(item)
                if not queue:
                    del queues[source]
                return

    def record_outcome(self, source: str, useful: bool) -> None:
        """Set a source's standing by whether its item was useful; its queued items move with it."""
        if useful == (source in self._good_standing):
            return
        if useful:
            self._good_standing[source] = True
        else:
            del self._good_standing[source]
        queue = self._queues[useful].pop(source, None)
        if queue is not None:
            self._queues[not useful].setdefault(source, deque()).extend(queue)

    def _latest_of_longest_queue(self) -> T | None:
        """Return the latest item of the source with the longest queue among those not in good standing."""
        longest = max(self._queues[1].values(), key=len, default=None)
        return longest[-1] if longest else None
