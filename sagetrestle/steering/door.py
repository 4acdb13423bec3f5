"""A member's door: each request's place in the order that all members share, and what the module is told of levels.

There is a level for each region, in whose servers a request's work is to be done; without regions there is one. Past
``KEPT_US`` without a word of a region's decider the member goes by the same rule from its own count alone.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from sagetrestle.interface import AdmissionLimits
from sagetrestle.overload.level import KEPT_US, LOOK_US, Counted, LevelDecider
from sagetrestle.overload.order import Standing, back_us, comes_back, drawn, place, turn_of
from sagetrestle.overload.tries import Tries
from sagetrestle.overload.values import ALL, OUTSIDE, PAST, Level, LevelReport


class _Line:
    """One region at one member."""

    def __init__(self) -> None:
        self.counted, self.level, self.own = Counted(), Level(), LevelDecider()
        self.heavy: dict[str, float] = {}
        self.heard_us = self.came = 0

    def use(self, level: Level) -> None:
        """Go by a level."""
        self.level, self.heavy = level, dict(level.heavy)


class Door:
    """What stands at the door of one member. ``most_back_us`` is the longest time that a caller is told."""

    def __init__(self, regions: Sequence[str], tries: Tries, most_back_us: int) -> None:
        self.regions, self.tries, self._most_back_us = tuple(regions), tries, most_back_us
        self._lines = {name: _Line() for name in self.regions}
        self._report_us = 0
        self._slots, self._cores = 0, 0.0
        self.alone = 0  # looks in which this member decided alone

    def placed(self, now: int, unix: int, one: Standing, ran: bool, region: str = "") -> tuple[float, int]:
        """Return a request's place in the order, and how long to stay away if it is turned away.

        What ran before is outside of the order. A retry that no budget pays for is past all levels, but in its turns.
        """
        if ran:
            return OUTSIDE, 0
        line = self._lines[region]
        share = line.heavy.get(one.client, 1.0)
        one = one._replace(inside=share >= 1.0 or drawn(f"share {one.request} {turn_of(unix)}") < share)
        if not one.retry:
            self.tries.first(now)
        where = place(one, unix)
        line.came += 1
        line.counted.came(where, one.client)
        if one.retry and not comes_back(one, turn_of(unix)) and not self.tries.may(now):
            where = PAST
        return where, back_us(one, unix, self._most_back_us)

    def refused(self, unix: int, one: Standing) -> tuple[float, int]:
        """Return the place of a request that is past all levels, and when it is to come back."""
        return PAST, back_us(one, unix, self._most_back_us)

    def passed(
        self, now: int, waiting: int, in_use: Mapping[str, int], parked: Mapping[str, int] | None = None
    ) -> list[LevelReport]:
        """Return the reports that are due, and decide alone where nothing was heard for long.

        ``waiting`` is held here, of all regions; ``parked`` waits for a server of its region.
        """
        if now < self._report_us:
            return []
        self._report_us = now + LOOK_US
        came = sum(line.came for line in self._lines.values())
        found = []
        for name, line in self._lines.items():
            part = waiting if len(self._lines) == 1 else round(waiting * line.came / came) if came else 0
            line.came = 0
            report = line.counted.report(name, part + (parked or {}).get(name, 0), self._cores, in_use.get(name, 0))
            line.own.note(now, "", report)
            if line.own.step(now) and now - line.heard_us > KEPT_US:
                self.alone += 1
                line.use(line.own.said())
                self._press()
            found.append(report)
        return found

    def did(self, done: Mapping[str, int]) -> None:
        """Count what was answered, by region."""
        for name, count in done.items():
            if name in self._lines:
                self._lines[name].counted.done += count

    def told(self, now: int, level: Level, region: str = "") -> None:
        """Take the decider's word, said then; what this member would decide alone begins there."""
        line = self._lines.get(region)
        if line is None:
            return
        line.heard_us = max(line.heard_us, now)
        line.own.level = level.level
        line.use(level)
        self._press()

    def _press(self) -> None:
        """Have tries beyond the first fall with the level of the region that sheds most."""
        self.tries.pressed(min(line.level.level for line in self._lines.values()))

    def has(self, slots: int, cores: float) -> None:
        """Take how many requests may be on the way, now and on the mean."""
        self._slots, self._cores = slots, cores

    def level(self, region: str = "") -> Level:
        """Return the level that holds for a region here."""
        return self._lines[region].level

    def room(self) -> AdmissionLimits:
        """Return what the module is told."""
        return AdmissionLimits(
            self._slots, self._cores, tuple(min(ALL, self._lines[name].level.level) for name in self.regions)
        )
