"""Members of a model that tell each other rows: chance, loss, cuts, clocks of their own."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from sagetrestle.gossip import GossipStore, Row, OutgoingMessage
from sagetrestle.takeover.gossip_kinds import KINDS

BEAT = 100_000


def row(
    origin: str,
    kind: str,
    about: str,
    version: int,
    value: Any,
    life: int = 1,
    by: str = "",
    age: int = 0,
    unix: int = 0,
) -> Row:
    """Return a row as it is sent."""
    return Row(origin, life if origin else 0, kind, about, version, by, age, unix, msgspec.msgpack.encode(value))


class PictureWorld:
    """Pictures of ``m0``, ``m1``, ...; a message takes until it is taken, at once or by ``later``."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0, kinds: Any = KINDS) -> None:
        self.names = [f"m{at}" for at in range(count)]
        self.all = {name: GossipStore(name, 1, kinds, seed + at) for at, name in enumerate(self.names)}
        for one in self.all.values():
            one.members = count
        self.rng, self.loss, self.now, self.messages, self.rows = random.Random(seed), loss, 0, 0, 0
        self.rates, self.apart = dict.fromkeys(self.names, 1.0), dict.fromkeys(self.names, 0)
        self.also: list[Callable[[int], None]] = []
        self.held: list[tuple[str, OutgoingMessage]] = []
        self.holds = False

    def clock(self, name: str) -> int:
        """Return a member's monotonic clock."""
        return int(self.now * self.rates[name])

    def unix(self, name: str) -> int:
        """Return a member's time of day."""
        return self.now + self.apart[name]

    def beat(self, cut: frozenset[str] = frozenset()) -> None:
        """Let a beat pass; between the cut ones and the others nothing passes, or is held where ``holds``."""
        for act in self.also:
            act(self.now)
        said = [
            (name, one)
            for name in self.names
            for one in self.all[name].tick(
                self.clock(name), self.unix(name), tuple(other for other in self.names if other != name)
            )
        ]
        self.now += BEAT
        while said:
            sender, one = said.pop(0)
            self.messages += 1
            self.rows += len(getattr(one.message, "rows", ()))
            if (sender in cut) != (one.to in cut):
                self.held += [(sender, one)] * self.holds
            elif self.rng.random() >= self.loss:
                said += self.deliver(sender, one)

    def deliver(self, sender: str, one: OutgoingMessage) -> list[tuple[str, OutgoingMessage]]:
        """Have a message come; return what is said to it."""
        return [
            (one.to, more)
            for more in self.all[one.to].receive(self.clock(one.to), self.unix(one.to), sender, one.message)
        ]

    def heal(self) -> None:
        """Let what was held come, late."""
        held, self.held = self.held, []
        for sender, one in held:
            self.deliver(sender, one)

    def until(self, case: Any, test: Callable[[], bool], most: int = 200, cut: frozenset[str] = frozenset()) -> int:
        """Beat until a test holds; return the number of beats."""
        for count in range(most):
            if test():
                return count
            self.beat(cut)
        return int(case.fail("never"))
