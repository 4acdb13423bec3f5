"""The ring against a plain model: every rotation, retirement, revocation and clock that Hypothesis thinks of."""

import unittest

from cryptography.hazmat.primitives.asymmetric import ed25519
from hypothesis import settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sagetrestle.identity.keyring import (
    Add,
    Drop,
    Keyring,
    KeyringError,
    KeyringKey,
    KeyState,
    Retire,
    Revoke,
    Rotate,
    Tick,
    step,
)

S = 1_000_000
POOL = [ed25519.Ed25519PrivateKey.generate().public_key() for _ in range(12)]
SPANS = some.integers(0, 20).map(lambda one: one * S)


class RingMachine(RuleBasedStateMachine):
    """The model is a list of plain dictionaries, whose state is worked out anew by the words of the page."""

    def __init__(self) -> None:
        super().__init__()
        self.ring, self.now, self.model, self.told = Keyring(seen_us=1_000 * S), 1_000 * S, {}, {}

    def take(self, event) -> bool:
        try:
            self.ring, moved = step(self.ring, self.now, event)
        except KeyringError:
            return False
        for kid, old, new in moved:
            assert self.told.get(kid) is old, (kid, old, self.told)
            self.told[kid] = new
        return True

    def state(self, kid: str) -> str:
        one = self.model[kid]
        if one["revoked"]:
            return "revoked"
        if self.now < one["from"]:
            return "pending"
        if self.now < one["signs"]:
            return "active"
        return "retiring" if self.now < one["ends"] else "retired"

    def new(self, number: int, lead: int) -> KeyringKey:
        return KeyringKey(f"k{number}", "EdDSA", POOL[number], f"t{number}", self.now + lead)

    @rule(number=some.integers(0, 11), lead=SPANS)
    def add(self, number, lead):
        taken = self.take(Add(self.new(number, lead)))
        assert taken == (f"k{number}" not in self.model)
        if taken:
            self.model[f"k{number}"] = {"from": self.now + lead, "signs": 1e30, "ends": 1e30, "revoked": False}

    @rule(number=some.integers(0, 11), lead=SPANS, overlap=SPANS)
    def rotate(self, number, lead, overlap):
        taken = self.take(Rotate(self.new(number, lead), overlap))
        assert taken == (f"k{number}" not in self.model)
        if taken:
            for kid in self.model:
                if self.state(kid) in ("active", "pending"):
                    self.shorten(kid, self.now + lead, overlap)
            self.model[f"k{number}"] = {"from": self.now + lead, "signs": 1e30, "ends": 1e30, "revoked": False}

    def shorten(self, kid, until, overlap):
        one = self.model[kid]
        one["signs"] = max(one["from"], min(one["signs"], until))
        one["ends"] = max(one["signs"], min(one["ends"], one["signs"] + overlap))

    @precondition(lambda self: self.model)
    @rule(data=some.data(), overlap=SPANS)
    def retire(self, data, overlap):
        kid = data.draw(some.sampled_from(sorted(self.model)))
        living = self.state(kid) not in ("retired", "revoked")
        assert self.take(Retire(kid, overlap)) == living
        if living:
            self.shorten(kid, self.now, overlap)

    @precondition(lambda self: self.model)
    @rule(data=some.data())
    def revoke(self, data):
        kid = data.draw(some.sampled_from(sorted(self.model)))
        assert self.take(Revoke(kid, "why")) == (not self.model[kid]["revoked"])
        self.model[kid]["revoked"] = True

    @rule(after=SPANS)
    def drop(self, after):
        assert self.take(Drop(after))
        for kid in [kid for kid, one in self.model.items() if not one["revoked"] and self.now - one["ends"] >= after]:
            del self.model[kid], self.told[kid]

    @rule(passed=SPANS)
    def wait(self, passed):
        self.now += passed
        self.take(Tick())

    @rule(back=SPANS)
    def clock_goes_back(self, back):
        before = self.ring
        self.ring, moved = step(self.ring, self.now - back, Tick())
        assert (self.ring, moved) == (before, [])

    @invariant()
    def states_are_the_models(self):
        assert {kid: one.value for kid, one in self.ring.states(self.now).items()} == {
            kid: self.state(kid) for kid in self.model
        }

    @invariant()
    def one_signs_if_any_may(self):
        signer = self.ring.signer(self.now)
        active = [kid for kid in self.model if self.state(kid) == "active"]
        assert (signer.kid in active) if active else signer is None

    @invariant()
    def told_states_are_true(self):
        assert {kid: self.ring.keys[kid].state(self.ring.seen_us) for kid in self.ring.keys} == self.told
        assert all(isinstance(one, KeyState) for one in self.told.values())


RingMachine.TestCase.settings = settings(stateful_step_count=40)


class RingModelTest(RingMachine.TestCase, unittest.TestCase):
    """Runs the machine."""
