"""Work that waits for a bounded service, taken round robin by source (Nagle, RFC 970; DRR's unit-cost case).

One source that sends without end then waits for itself. Sources in good standing, those whose earlier work
proved useful, go before the rest by a stated share, so that thousands of strangers do not starve them; and
where there is no room, a stranger's latest work makes room for theirs.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Hashable
from typing import Generic, TypeVar

from cachetools import LRUCache

T = TypeVar("T", bound=Hashable)
SourceQueues = OrderedDict[str, deque[T]]
GOOD_STANDING_TURNS = 3  # turns of sources in good standing for one of the others, while both wait
MAX_KNOWN_SOURCES = 4096  # sources whose standing is remembered, the latest used


class FairQueue(Generic[T]):
    """A queue that holds at most ``max_items`` items, and at most ``max_items_per_source`` of one source.

    The caller decides how fast items are taken out.
    """

    def __init__(self, max_items: int, max_items_per_source: int) -> None:
        self._max_items, self._max_items_per_source = max_items, max_items_per_source
        self._queues: tuple[SourceQueues[T], SourceQueues[T]] = (
            OrderedDict(),
            OrderedDict(),
        )  # in good standing; the rest
        self._source_of: dict[T, str] = {}
        self._good_standing: LRUCache[str, bool] = LRUCache(MAX_KNOWN_SOURCES)
        self._good_turns_taken = 0

    def __len__(self) -> int:
        return len(self._source_of)

    def __contains__(self, item: T) -> bool:
        return item in self._source_of

    def put(self, source: str, item: T) -> T | None:
        """Take an item in, and return the one that there is no room for: it, another one, or None.

        Raises ValueError for an item that waits already.
        """
        if item in self._source_of:
            raise ValueError("this item waits already")
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
        """Return the next item and its source, or None."""
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
        """Let go of an item that nobody waits for; one that is not here changes nothing."""
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
        """Note what a source's work came to; what it has waiting moves with its standing."""
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
        """Return the latest item of the stranger with the longest line."""
        longest = max(self._queues[1].values(), key=len, default=None)
        return longest[-1] if longest else None
