"""What a member has heard, and how it tells others: rumours to a few at a time, and digests for what those missed.

A row that is new here is told to ``FANOUT`` members drawn by chance, twice, a beat apart (Demers 1987); each who had
not heard it does the same, so all have it after a number of beats that grows with the logarithm of the members. Once a
second one member's digest is compared, which brings what chance left out. Nothing is said while there is nothing to
say: a member speaks of a subject only if it, or somebody, speaks against it.
"""

from __future__ import annotations

import hashlib
import random
from typing import NamedTuple

import msgspec

from sagetrestle.verdicts.judge import convicted
from sagetrestle.verdicts.values import AGE_US, KEPT_US, Digest, Order, Subject, Told, Voice

FANOUT, TIMES = 3, 2
BEAT_US = 100_000
COMPARE_US = 1_000_000
SPEAK_EVERY_US = 1_000_000  # a witness refreshes its voice, while somebody speaks against the subject
HALVES_US = 2_500_000  # over which what was seen counts half
MOST_VOICES, MOST_ORDERS = 20_000, 1_000
MOST_A_MESSAGE = 500  # rows


class Say(NamedTuple):
    """Tell a member, by name."""

    to: str
    message: Told | Digest


class Spread:
    """All rows at one member. ``unix`` is the time of day in microseconds."""

    def __init__(self, me: str, zone: str, seed: int) -> None:
        self.me, self.zone = me, zone
        self.zoned = False  # whether the fleet has several zones
        self.voices: dict[tuple[Subject, str], Voice] = {}
        self.orders: dict[Subject, Order] = {}
        self.bad: frozenset[Subject] = frozenset()
        self._rng = random.Random(seed)
        self._seen: dict[Subject, tuple[float, float, int]] = {}  # good, bad, and when that was
        self._rumours: dict[Voice | Order, int] = {}
        self._number = 0
        self._beat_us = self._compare_us = 0

    # What is seen here, and what operators say

    def saw(self, unix: int, subject: Subject, good: int, bad: int) -> None:
        """Take what became of requests to a subject since the last word."""
        was_good, was_bad, at = self._seen.get(subject, (0.0, 0.0, unix))
        kept = 0.5 ** (max(0, unix - at) / HALVES_US)
        self._seen[subject] = (was_good * kept + good, was_bad * kept + bad, unix)
        self._speak(unix, subject)

    def order(self, unix: int, subject: Subject, on: bool, until_us: int, who: str, why: str) -> Order:
        """Take an operator's word, which goes over all before it."""
        version = self.orders[subject].version + 1 if subject in self.orders else max(1, unix)
        one = Order(subject, version, on, unix, until_us, who, why)
        self._take(one)
        return one

    def in_force(self, unix: int, subject: Subject) -> Order | None:
        """Return an order that is on and not over."""
        one = self.orders.get(subject)
        return one if one is not None and one.on and (not one.until_us or unix < one.until_us) else None

    # What others say

    def heard(self, unix: int, sender: str, message: Told | Digest) -> list[Say]:
        """Take what a member tells."""
        if isinstance(message, Digest):
            if message.digest == self._digest(unix):
                return []
            said = [Say(sender, one) for one in self._all(unix)]
            return said if message.answers else [Say(sender, Digest(self._digest(unix), True)), *said]
        for one in message.voices:
            if unix - one.at_us <= KEPT_US and one.at_us <= unix + KEPT_US and one.witness != self.me:
                self._take(one)
        for order in message.orders:
            self._take(order)
        return []

    def passed(self, unix: int, peers: tuple[str, ...]) -> list[Say]:
        """Tell rumours, compare, forget; ``peers`` are the members that can be reached, by name."""
        if unix < self._beat_us or not peers:
            return []
        self._beat_us = unix + BEAT_US
        for subject in {one.subject for one in self.voices.values() if one.against and unix - one.at_us <= AGE_US}:
            mine = self.voices.get((subject, self.me))
            if subject in self._seen and (mine is None or unix - mine.at_us >= SPEAK_EVERY_US):
                self._speak(unix, subject)
        said: list[Say] = []
        rows = list(self._rumours)[:MOST_A_MESSAGE]
        if rows:
            for row in rows:
                self._rumours[row] -= 1
                if not self._rumours[row]:
                    del self._rumours[row]
            told = Told(tuple(one for one in rows if isinstance(one, Voice)),
                        tuple(one for one in rows if isinstance(one, Order)))
            said += [Say(name, told) for name in self._rng.sample(sorted(peers), min(FANOUT, len(peers)))]
        if unix >= self._compare_us:
            self._compare_us = unix + COMPARE_US
            self._forget(unix)
            if self.voices or self.orders:
                said.append(Say(self._rng.choice(sorted(peers)), Digest(self._digest(unix))))
        return said

    def judged(self, unix: int) -> tuple[Subject, ...]:
        """Return the subjects that are convicted now and were not when this was asked before."""
        before, self.bad = self.bad, frozenset()
        if self.voices:
            self.bad = convicted(self.voices.values(), unix, AGE_US, self.zoned)
        return tuple(sorted(self.bad - before, key=lambda one: (one.kind, one.name, one.boot)))

    # Inside

    def _speak(self, unix: int, subject: Subject) -> None:
        """Say what was seen here lately, if that or somebody's word is against the subject."""
        was_good, was_bad, at = self._seen[subject]
        kept = 0.5 ** (max(0, unix - at) / HALVES_US)
        good, bad = round(was_good * kept), round(was_bad * kept)
        mine = self.voices.get((subject, self.me))
        voice = Voice(subject, self.me, self.zone, self._number + 1, unix, good, bad)
        if not good and not bad:
            return
        if mine is not None and mine.against == voice.against and unix - mine.at_us < SPEAK_EVERY_US:
            return
        if not voice.against and (mine is None or not mine.against) and not any(
                one.against and one.subject == subject and unix - one.at_us <= AGE_US for one in self.voices.values()):
            return
        self._number += 1
        self._take(voice)

    def _take(self, row: Voice | Order) -> None:
        """Take a row that is newer than the one here, and tell it on."""
        if isinstance(row, Voice):
            old = self.voices.get((row.subject, row.witness))
            if old is not None and old.number >= row.number or old is None and len(self.voices) >= MOST_VOICES:
                return
            self._rumours.pop(old, None)  # type: ignore[arg-type]
            self.voices[(row.subject, row.witness)] = row
        else:
            known = self.orders.get(row.subject)
            if known is not None and (known.version, known.who) >= (row.version, row.who) \
                    or known is None and len(self.orders) >= MOST_ORDERS:
                return
            self._rumours.pop(known, None)  # type: ignore[arg-type]
            self.orders[row.subject] = row
        self._rumours[row] = TIMES

    def _all(self, unix: int) -> list[Told]:
        voices = [one for one in self.voices.values() if unix - one.at_us <= AGE_US]
        orders = list(self.orders.values())
        found = [Told(tuple(voices[at:at + MOST_A_MESSAGE])) for at in range(0, len(voices), MOST_A_MESSAGE)]
        return found + [Told((), tuple(orders[at:at + MOST_A_MESSAGE])) for at in range(0, len(orders), MOST_A_MESSAGE)]

    def _digest(self, unix: int) -> int:
        """Return a digest of orders, and of voices that nobody can have refreshed meanwhile."""
        rows = sorted(msgspec.msgpack.encode(one) for one in self.orders.values())
        rows += sorted(msgspec.msgpack.encode(one) for one in self.voices.values()
                       if 2 * SPEAK_EVERY_US < unix - one.at_us <= AGE_US)
        return int.from_bytes(hashlib.blake2b(b"\0".join(rows), digest_size=7).digest(), "big")

    def _forget(self, unix: int) -> None:
        for key in [key for key, one in self.voices.items() if unix - one.at_us > KEPT_US]:
            del self.voices[key]
        for subject in [subject for subject, one in self._seen.items() if unix - one[2] > KEPT_US]:
            del self._seen[subject]
        for subject, one in list(self.orders.items()):
            ended = max(one.at_us, one.until_us) if one.until_us or not one.on else None
            if ended is not None and unix - ended > 60 * KEPT_US:  # an older copy of it may come until then
                del self.orders[subject]
