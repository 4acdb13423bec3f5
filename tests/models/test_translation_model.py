"""Translators, their journals and servers against one promise: each charge runs once, by the servers' own records.

The translators' machines and their host are the product's own, on a fake clock. Hypothesis delivers, loses and delays
every message, ends translators between any two steps, and lets journal writes succeed, fail, or be lost half-way.
"""

import json
import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sagetrestle.attempts.controller import AttemptController, AttemptControllerConfig
from sagetrestle.attempts.values import AttemptOutcome
from sagetrestle.interface import ClassSettings, Effect, Settings
from sagetrestle.membership.values import Endpoint, Instance, Member, MemberState
from sagetrestle.membership.view import View
from sagetrestle.net.program.upstream import GroupCommit, Upstream, UpstreamConfig
from sagetrestle.net.protocol.v2 import Response
from sagetrestle.net.routing.effects import RunCommand
from sagetrestle.net.routing.values import CommandKind, RunEnd
from sagetrestle.router import Router
from sagetrestle.translation.mapping import ClassMapping, Mapping

S = 1_000_000
CLASSES = (ClassSettings("paid-check", 2 * S, 5 * S, effect=Effect.KEYED, window_us=10_000 * S),)
MAPPING = Mapping(1, 2, {"paid-check": ClassMapping("charges")})
NEVER_RAN = "urn:sagetrestle:problem:never-ran"


class FakeClient:
    """Messages that were sent and are on their way."""

    def __init__(self, world) -> None:
        self.world, self.alive = world, True

    def send(self, address, headers, data, done):
        message = {"to": address[1], "headers": dict(headers), "done": done, "client": self}
        self.world.mail.append(message)
        return self

    def cancel(self):
        """Do nothing: a cancelled request may still arrive."""

    def keep(self, addresses):
        """Nothing to close."""


class FakeJournal:
    """What is durable of one translator's journal."""

    def __init__(self) -> None:
        self.durable: list = []

    def append(self, entries) -> None:
        self.durable += entries

    def compact(self, living) -> None:
        self.durable = list(living)

    def write_marker(self) -> None:
        """Have no mark: this journal is never lost."""


class TranslationMachine(RuleBasedStateMachine):
    """Two translators, three servers, three keys."""

    def __init__(self) -> None:
        super().__init__()
        self.clock, self.mail = Clock(), []
        self.ran: Counter[str] = Counter()
        self.done: dict[int, set[str]] = {1: set(), 2: set(), 3: set()}
        self.journals = [FakeJournal(), FakeJournal()]
        self.generation = 0
        self.translators = [None, None]
        self.ends: list = []
        for at in range(2):
            self.begin(at)

    def begin(self, at: int) -> None:
        self.generation += 1
        router = Router(seed=at)
        router.set_view(
            View().with_changes(
                Member(Instance(f"s{port}", Endpoint("10.0.0.1", port), boot=1), MemberState.ANNOUNCED, 0)
                for port in self.done
            )
        )
        attempt_controller = AttemptController(router, AttemptControllerConfig(charges_move=False), self.generation)
        writes: list = []

        def in_thread(act):
            done = Deferred()
            writes.append((act, done))
            return done

        runs: dict[str, str] = {}
        commit = GroupCommit(self.journals[at], in_thread)
        one = Upstream(
            self.clock,
            lambda item, runs=runs: self.ended(runs, item),
            Settings(4, 1.0, CLASSES),
            MAPPING,
            attempt_controller,
            commit,
            lambda text: None,
            lambda: int(self.clock.seconds() * S) + S,
            UpstreamConfig(10_000 * S),
        )
        one._client = FakeClient(self)
        one.set_describe_request(
            lambda id, runs=runs: (runs[id], "t", int(self.clock.seconds() * S) + 5 * S, False, 0.0)
        )
        one.recover(self.journals[at].durable, ())
        one.open(0)
        self.translators[at] = {"one": one, "writes": writes, "runs": runs, "count": 0}

    def ended(self, runs, item) -> None:
        if hasattr(item, "end"):
            key = runs.pop(item.id, None)
            self.ends.append((key, item.end))

    # What happens

    @rule(at=some.integers(0, 1), key=some.sampled_from("AB"))
    def ask(self, at, key):
        """Take a client's try; the core joins tries of one key, so none comes while one is under way there."""
        here = self.translators[at]
        if key in here["runs"].values():
            return
        here["count"] += 1
        id = f"{self.generation}-{at}-{here['count']}"
        here["runs"][id] = key
        here["one"].command(RunCommand(CommandKind.START, id, "paid-check", b""))

    def serve(self, message):
        """Have a server do what a message asks, and return its answer."""
        path, port = message["headers"][":path"], message["to"]
        if path.startswith("/v2/effects/"):
            known = path.rpartition("/")[2] in self.done[port]
            value = {"state": "done", "answer": {}} if known else {"type": NEVER_RAN}
            return Response(200 if known else 404, value)
        key = message["headers"]["idempotency-key"].strip('"')
        if key not in self.done[port]:
            self.done[port].add(key)
            self.ran[key] += 1
        return Response(200, {"schema": 2, "answer": {}})

    def tell(self, message, end, response=None):
        if message["client"].alive:
            message["done"](end, response)

    @precondition(lambda self: self.mail)
    @rule(
        data=some.data(),
        how=some.sampled_from(["answered", "answer lost", "half", "never came", "unprocessed", "refused", "late"]),
    )
    def deliver(self, data, how):
        message = self.mail.pop(data.draw(some.integers(0, len(self.mail) - 1)))
        if how == "unprocessed":
            self.tell(message, AttemptOutcome.UNPROCESSED)
        elif how == "never came":
            self.tell(message, AttemptOutcome.RESET)
        elif how == "refused":
            self.tell(message, AttemptOutcome.ANSWERED, Response(503, {"type": NEVER_RAN}))
        else:
            response = self.serve(message)
            ends = {
                "answered": (AttemptOutcome.ANSWERED, response),
                "answer lost": (AttemptOutcome.RESET, None),
                "half": (AttemptOutcome.TRUNCATED_ANSWER, None),
            }
            if how in ends:
                self.tell(message, *ends[how])

    @rule(at=some.integers(0, 1), well=some.booleans())
    def write(self, at, well):
        writes = self.translators[at]["writes"]
        if writes:
            act, done = writes.pop(0)
            if well:
                act()
                done.callback(None)
            else:
                done.errback(OSError("full"))

    @rule(at=some.integers(0, 1), half=some.booleans())
    def die(self, at, half):
        """End a translator; a write that is out may have become durable or not."""
        here = self.translators[at]
        if half and here["writes"]:
            here["writes"][0][0]()
        here["one"]._client.alive = False
        here["one"].stop()
        self.begin(at)

    @rule(at=some.integers(0, 1))
    def write_all(self, at):
        while self.translators[at]["writes"]:
            self.write(at, True)

    @rule(at=some.integers(0, 1), key=some.sampled_from("AB"))
    def refused_try(self, at, key):
        """Have a try refused by its server, and go on after a pause."""
        self.ask(at, key)
        self.write_all(at)
        if self.mail:
            self.tell(self.mail.pop(), AttemptOutcome.UNPROCESSED)
        self.wait(5)
        self.write_all(at)

    @rule()
    def calm(self):
        """Have everything arrive and be answered: what went wrong before shows now."""
        for _ in range(6):
            for at in range(2):
                self.write_all(at)
            for message in self.mail[:]:
                self.mail.remove(message)
                self.tell(message, AttemptOutcome.ANSWERED, self.serve(message))
            self.wait(2)

    @rule(span=some.integers(1, 30))
    def wait(self, span):
        for _ in range(span):
            self.clock.advance(0.1)

    @invariant()
    def each_charge_runs_once(self):
        assert all(count == 1 for count in self.ran.values()), self.ran

    @invariant()
    def what_was_served_ran(self):
        served = {key for key, end in self.ends if end is RunEnd.DONE}
        assert len(served) <= len(self.ran)

    def teardown(self):
        for one in self.translators:
            one["one"].stop()
        json.dumps(list(self.ran))


TranslationMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=50)


class TranslationModelTest(TranslationMachine.TestCase, unittest.TestCase):
    """Runs the machine."""
