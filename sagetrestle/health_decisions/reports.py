"""What one member saw of subjects and what operators ordered, as rows of the picture, and who is convicted by them.

Nothing is said while there is nothing to say: a member speaks of a subject only if it, or somebody, speaks against it.
"""

from __future__ import annotations

from sagetrestle.gossip import Picture, Terms
from sagetrestle.health_decisions.evaluation import convicted
from sagetrestle.health_decisions.values import AGE_US, KEPT_US, Order, Said, Subject, Voice

SPEAK_EVERY_US = 1_000_000  # a witness refreshes its voice, while somebody speaks against the subject
HALVES_US = 2_500_000  # over which what was seen counts half
MOST_VOICES, MOST_ORDERS = 20_000, 1_000
EVER_US = 10 * 366 * 86_400_000_000  # an order stays in force until it is lifted, however long its holder was cut off
VOICES = Terms(SPEAK_EVERY_US, KEPT_US, most=MOST_VOICES)
ORDERS = Terms(0, EVER_US, stands=True, lasting=True, most=MOST_ORDERS)


def about(subject: Subject) -> str:
    """Return a subject as rows name it."""
    return f"{subject.kind}\0{subject.name}\0{subject.boot}"


class Spread:
    """All voices and orders at one member. ``now`` is monotonic, ``unix`` the time of day, both in microseconds."""

    def __init__(self, zone: str, picture: Picture) -> None:
        self.zone, self.picture = zone, picture
        self.zoned = False  # whether the fleet has several zones
        self.bad: frozenset[Subject] = frozenset()
        self._seen: dict[Subject, tuple[float, float, int]] = {}  # good, bad, and when that was
        self._number = 0
        self._sweep_us = 0
        self._voices: tuple[int, dict[tuple[Subject, str], Voice]] = (-1, {})
        self._orders: tuple[int, dict[Subject, Order]] = (-1, {})

    @property
    def voices(self) -> dict[tuple[Subject, str], Voice]:
        """Return the voices that are known here; ``at_us`` is on this member's monotonic clock."""
        if self._voices[0] != (number := self.picture.changed("voice")):
            found = {}
            for key, known in self.picture.of("voice", 0, EVER_US):
                kind, name, boot = key.about.split("\0")
                one = Voice(
                    Subject(kind, name, int(boot)),
                    f"{key.origin}@{known.row.life}",
                    known.value.zone,
                    known.row.version,
                    known.born_us,
                    known.value.good,
                    known.value.bad,
                )
                found[(one.subject, one.witness)] = one
            self._voices = (number, found)
        return self._voices[1]

    @property
    def orders(self) -> dict[Subject, Order]:
        """Return operators' orders, of each subject the one that holds."""
        if self._orders[0] != (number := self.picture.changed("order")):
            self._orders = (
                number,
                {known.value.subject: known.value for _, known in self.picture.of("order", 0, EVER_US)},
            )
        return self._orders[1]

    # What is seen here, and what operators say

    def saw(self, now: int, unix: int, subject: Subject, good: int, bad: int) -> None:
        """Take what became of requests to a subject since the last word."""
        was_good, was_bad, at = self._seen.get(subject, (0.0, 0.0, now))
        kept = 0.5 ** (max(0, now - at) / HALVES_US)
        self._seen[subject] = (was_good * kept + good, was_bad * kept + bad, now)
        self._speak(now, unix, subject)

    def order(self, now: int, unix: int, subject: Subject, on: bool, until_us: int, who: str, why: str) -> Order:
        """Take an operator's word, which goes over all before it."""
        version = self.orders[subject].version + 1 if subject in self.orders else max(1, unix)
        one = Order(subject, version, on, unix, until_us, who, why)
        self.picture.write(now, unix, "order", about(subject), one, version, who)
        return one

    def in_force(self, unix: int, subject: Subject) -> Order | None:
        """Return an order that is on and not over."""
        one = self.orders.get(subject)
        return one if one is not None and one.on and (not one.until_us or unix < one.until_us) else None

    def passed(self, now: int, unix: int) -> None:
        """Refresh what this member says of subjects that somebody speaks against; forget what is over."""
        for subject in {one.subject for one in self.voices.values() if one.against and now - one.at_us <= AGE_US}:
            mine = self._mine(subject)
            if subject in self._seen and (mine is None or now - mine.at_us >= SPEAK_EVERY_US):
                self._speak(now, unix, subject)
        if now >= self._sweep_us:
            self._sweep_us = now + SPEAK_EVERY_US
            for subject in [subject for subject, one in self._seen.items() if now - one[2] > KEPT_US]:
                del self._seen[subject]
            # An older copy of one that is over may come for a while yet.
            self.picture.forget(
                "order",
                lambda one: bool(one.until_us or not one.on) and unix - max(one.at_us, one.until_us) > 60 * KEPT_US,
            )

    def judged(self, now: int) -> tuple[Subject, ...]:
        """Return the subjects that are convicted now and were not when this was asked before."""
        before, self.bad = self.bad, frozenset()
        if self.voices:
            self.bad = convicted(self.voices.values(), now, AGE_US, self.zoned)
        return tuple(sorted(self.bad - before, key=lambda one: (one.kind, one.name, one.boot)))

    # Inside

    def _mine(self, subject: Subject) -> Voice | None:
        return self.voices.get((subject, f"{self.picture.name}@{self.picture.life}"))

    def _speak(self, now: int, unix: int, subject: Subject) -> None:
        """Say what was seen here lately, if that or somebody's word is against the subject."""
        was_good, was_bad, at = self._seen[subject]
        kept = 0.5 ** (max(0, now - at) / HALVES_US)
        good, bad = round(was_good * kept), round(was_bad * kept)
        if not good and not bad:
            return
        mine, said = self._mine(subject), Said(self.zone, good, bad)
        if mine is not None and mine.against == said.against and now - mine.at_us < SPEAK_EVERY_US:
            return
        if (
            not said.against
            and (mine is None or not mine.against)
            and not any(
                one.against and one.subject == subject and now - one.at_us <= AGE_US for one in self.voices.values()
            )
        ):
            return
        self.picture.put(now, unix, "voice", about(subject), said, at_once=True)
