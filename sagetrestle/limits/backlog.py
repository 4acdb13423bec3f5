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
Lines = OrderedDict[str, deque[T]]
GOOD_TURNS = 3  # turns of sources in good standing for one of the others, while both wait
KNOWN = 4096  # sources whose standing is remembered, the latest used


class FairBacklog(Generic[T]):
    """At most ``most`` items, at most ``most_each`` of one source; the caller bounds what is taken out."""

    def __init__(self, most: int, most_each: int) -> None:
        self._most, self._most_each = most, most_each
        self._lines: tuple[Lines[T], Lines[T]] = (OrderedDict(), OrderedDict())  # in good standing; the rest
        self._where: dict[T, str] = {}
        self._good: LRUCache[str, bool] = LRUCache(KNOWN)
        self._turn = 0

    def __len__(self) -> int:
        return len(self._where)

    def __contains__(self, item: T) -> bool:
        return item in self._where

    def put(self, source: str, item: T) -> T | None:
        """Take an item in, and return the one that there is no room for: it, another one, or None.

        Raises ValueError for an item that waits already.
        """
        if item in self._where:
            raise ValueError("this item waits already")
        good = source in self._good
        line = self._lines[not good].get(source)
        if line is not None and len(line) >= self._most_each:
            return item
        victim = None
        if len(self._where) >= self._most:
            victim = self._last_of_strangers() if good else None
            if victim is None:
                return item
            self.remove(victim)
        self._lines[not good].setdefault(source, deque()).append(item)
        self._where[item] = source
        return victim

    def take(self) -> tuple[str, T] | None:
        """Return the next item and its source, or None."""
        good, others = self._lines
        lines = good if good and (not others or self._turn < GOOD_TURNS) else others
        if not lines:
            return None
        self._turn = self._turn + 1 if lines is good else 0
        source, line = next(iter(lines.items()))
        item = line.popleft()
        lines.move_to_end(source)
        if not line:
            del lines[source]
        del self._where[item]
        return source, item

    def remove(self, item: T) -> None:
        """Let go of an item that nobody waits for; one that is not here changes nothing."""
        source = self._where.pop(item, None)
        if source is None:
            return
        for lines in self._lines:
            line = lines.get(source)
            if line is not None and item in line:
                line.remove(item)
                if not line:
                    del lines[source]
                return

    def note(self, source: str, useful: bool) -> None:
        """Note what a source's work came to; what it has waiting moves with its standing."""
        if useful == (source in self._good):
            return
        if useful:
            self._good[source] = True
        else:
            del self._good[source]
        line = self._lines[useful].pop(source, None)
        if line is not None:
            self._lines[not useful].setdefault(source, deque()).extend(line)

    def _last_of_strangers(self) -> T | None:
        """Return the latest item of the stranger with the longest line."""
        longest = max(self._lines[1].values(), key=len, default=None)
        return longest[-1] if longest else None
