"""Publishers, a server and a browser against the one promise, over whatever Hypothesis does to the wire.

The machines are the product's own, driven by hand in fake time; the server is a dictionary with leases. Messages
are delayed, and lost while the wire is bad. Two things must hold:

- once the wire has been well for the bound after an instance's notice, no router gets that instance for new work;
- once the wire and an instance have been well for a while, it is not left out.
"""

import random
import unittest

from hypothesis import Phase, settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sagetrestle.membership import browser as browse
from sagetrestle.membership import publisher, state_machine
from sagetrestle.membership.browser import Browser, BrowserConfig, Record, RecordType
from sagetrestle.membership.values import Endpoint, Source

MS, S = 1_000, 1_000_000
SERVICE = "_scorer._tcp.example.org"
BOUND = 2 * S
SETTLED = 25 * S  # back-off, leases of what was lost, and the damping of what fell
LEASE = 8 * S


class Scorer:
    """One instance: its publisher, its boot, and whether it lives."""

    def __init__(self, name: str, number: int) -> None:
        self.name, self.port, self.boot = name, 100 + number, 0
        self.publisher = publisher.Publisher(publisher.PublisherConfig(lease_us=LEASE), number)
        self.state, self.since = "down", 0


class DiscoveryMachine(RuleBasedStateMachine):
    """Four scorers, one server, one browser with its membership."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.rng = S, random.Random(7)
        self.bad, self.bad_until = False, 0
        self.zone: dict[str, tuple[int, int, int]] = {}  # name: port, boot, until
        self.mail: list[tuple[int, int, object]] = []
        self.sent = 0
        self.scorers = {f"n{at}": Scorer(f"n{at}", at) for at in range(4)}
        self.browser = Browser(SERVICE, BrowserConfig(), 1)
        self.members = state_machine.Membership(now_us=self.now)
        for name in self.scorers:
            self.start(name)
        self.run(3 * S)

    # The wire

    def later(self, act, lost_by_wire=True) -> None:
        if lost_by_wire and self.bad and self.rng.random() < 0.7:
            return
        self.sent += 1
        delay = self.rng.randrange(1, 60 if self.bad else 15) * MS
        self.mail.append((self.now + delay, self.sent, act))

    # Parts

    def publish(self, one: Scorer, event) -> None:
        for decision in one.publisher.step(self.now, event):
            if isinstance(decision, publisher.SendUpdate):
                boot = one.boot
                self.later(lambda d=decision, b=boot: self.serve(one, b, d))

    def serve(self, one: Scorer, boot: int, send: publisher.SendUpdate) -> None:
        if send.register:
            self.zone[one.name] = (one.port, boot, self.now + LEASE)
        elif one.name in self.zone and self.zone[one.name][1] <= boot:
            del self.zone[one.name]
        if one.state != "dead" and one.boot == boot:
            answer = publisher.UpdateAnswered(send.number, True, LEASE)
            self.later(lambda: self.publish(one, answer))

    def ask(self, ask: browse.Query) -> None:
        self.zone = {name: row for name, row in self.zone.items() if row[2] > self.now}
        records = []
        for name, (port, boot, _) in sorted(self.zone.items()):
            full = f"{name}.{SERVICE}"
            records += [
                Record(SERVICE, RecordType.PTR, full),
                Record(full, RecordType.SRV, (0, 1, port, f"{name}.h")),
                Record(full, RecordType.TXT, (("boot", str(boot)),)),
                Record(f"{name}.h", RecordType.ADDRESS, "10.0.0.1"),
            ]
        reply = browse.QueryAnswered(ask.number, True, tuple(records), not records)
        self.later(lambda: self.browse(reply))

    def browse(self, event) -> None:
        for decision in self.browser.step(self.now, event):
            if isinstance(decision, browse.Query):
                self.later(lambda d=decision: self.ask(d))
            elif isinstance(decision, browse.ServiceListed):
                self.member(state_machine.SourceListed(Source.RECORDS, decision.instances))

    def member(self, event) -> None:
        for decision in self.members.step(self.now, event):
            if isinstance(decision, state_machine.Probe):
                self.probe(decision.name, decision.endpoint)

    def probe(self, name: str, endpoint: Endpoint) -> None:
        """Probes go over another wire than the records; only the scorer's state counts."""
        one = next(one for one in self.scorers.values() if one.port == endpoint.port)
        events = {
            "up": state_machine.MemberAnswered(name),
            "leaving": state_machine.MemberResting(name),
            "silent": state_machine.ProbeTimedOut(name),
        }
        event = events.get(one.state, state_machine.ConnectionRefused(name))
        wait = 400 * MS if one.state == "silent" else 2 * MS
        self.sent += 1
        self.mail.append((self.now + wait, self.sent, lambda: self.member(event)))

    def run(self, span: int) -> None:
        until = self.now + span
        while self.now < until:
            self.now += 40 * MS
            if self.bad and self.now >= self.bad_until:
                self.bad = False
            due = sorted(one for one in self.mail if one[0] <= self.now)
            self.mail = [one for one in self.mail if one[0] > self.now]
            for _, _, act in due:
                act()
            for one in self.scorers.values():
                if (
                    one.state not in ("dead", "silent")
                    and one.publisher.due is not None
                    and self.now >= one.publisher.due
                ):
                    self.publish(one, publisher.Tick())
            self.browse(browse.Tick())
            self.member(state_machine.Tick())
            self.check()

    def check(self) -> None:
        """Hold the promise at every moment, not only between rules."""
        eligible = {one.instance.name for one in self.members.view.eligible()}
        for name, one in self.scorers.items():
            quiet = -1 if self.bad else self.now - max(one.since, self.bad_until)
            # Past the bound on suspicion the silent are taken for there, by design; those who said so never.
            if (one.state == "leaving" or one.state == "dead" and not self.members.view.panic) and quiet > BOUND:
                assert name not in eligible, (name, one.state, quiet, self.members.view.members.get(name))
            if one.state == "up" and quiet > SETTLED:
                assert name in eligible, (name, quiet, self.members.view.members.get(name))

    # What happens

    def start(self, name: str) -> None:
        one = self.scorers[name]
        one.boot, one.state, one.since = self.now, "up", self.now
        one.publisher = publisher.Publisher(publisher.PublisherConfig(lease_us=LEASE), one.port)
        self.publish(one, publisher.SetRegistered(True))

    @rule(at=some.integers(0, 3))
    def drain(self, at):
        one = self.scorers[f"n{at}"]
        if one.state == "up":
            one.state, one.since = "leaving", self.now
            self.publish(one, publisher.SetRegistered(False))

    @rule(at=some.integers(0, 3))
    def end(self, at):
        """End it, drained or not: killed before it could withdraw, its record stays until the lease is over."""
        one = self.scorers[f"n{at}"]
        if one.state != "dead":
            one.state, one.since = "dead", self.now

    @rule(at=some.integers(0, 3))
    def restart(self, at):
        if self.scorers[f"n{at}"].state in ("dead", "leaving"):
            self.start(f"n{at}")

    @rule(at=some.integers(0, 3), span=some.integers(100, 6_000))
    def silence(self, at, span):
        one = self.scorers[f"n{at}"]
        if one.state == "up":
            one.state = "silent"
            self.run(span * MS)
            one.state, one.since = "up", self.now

    @rule(span=some.integers(100, 24_000))
    def bad_wire(self, span):
        self.bad, self.bad_until = True, self.now + span * MS

    @rule(span=some.integers(20, 6_000))
    def wait(self, span):
        self.run(span * MS)

    @rule()
    def settle(self):
        self.run(SETTLED + S)

    @invariant()
    def memory_is_bounded(self):
        assert len(self.members.view.members) <= 8


DiscoveryMachine.TestCase.settings = settings(max_examples=30, stateful_step_count=14, phases=[Phase.generate])


class DiscoveryModelTest(DiscoveryMachine.TestCase, unittest.TestCase):
    """Runs the machine."""
