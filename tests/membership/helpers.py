"""A membership state machine in simulated time."""

from __future__ import annotations

from sagetrestle.membership.state_machine import (
    LogLine,
    MemberAnswered,
    Membership,
    MembershipConfig,
    Probe,
    ProbeTimedOut,
    SourceChanged,
    SourceListed,
    Tick,
    ViewChanged,
)
from sagetrestle.membership.values import Endpoint, Instance, Source

MS, S = 1_000, 1_000_000


def instance(number: int | str, boot: int = 1, port: int | None = None, **more: object) -> Instance:
    """Return an instance by its number or name."""
    name = number if isinstance(number, str) else f"n{number}"
    port_number = port if port is not None else 10_000 + (number if isinstance(number, int) else 0)
    return Instance(name, Endpoint("10.0.0.1", port_number), boot=boot, **more)


class Harness:
    """Members that answer probes unless they are ``silent``; time advances in steps of 10 ms."""

    def __init__(self, count: int = 4, **config: object) -> None:
        self.config = MembershipConfig(**config)
        self.now, self.membership = 0, Membership(self.config)
        self.silent: set[str] = set()
        self.log_lines: list[str] = []
        self.probes: list[tuple[int, str]] = []
        self.views = []
        self.pending_events: list[tuple[int, object]] = []
        self.list_source(*(instance(index) for index in range(count)))
        self.wait(600 * MS)

    def process(self, event) -> None:
        for decision in self.membership.step(self.now, event):
            if isinstance(decision, LogLine):
                self.log_lines.append(decision.text)
            elif isinstance(decision, ViewChanged):
                self.views.append(decision.view)
            elif isinstance(decision, Probe):
                self.probes.append((self.now, decision.name))
                if decision.name in self.silent:
                    self.pending_events.append((self.now + self.config.probe_timeout_us, ProbeTimedOut(decision.name)))
                else:
                    self.pending_events.append((self.now + 2 * MS, MemberAnswered(decision.name)))

    def list_source(
        self, *instances: Instance, serial: int | None = None, source: Source = Source.RECORDS, **more
    ) -> None:
        self.process(SourceListed(source, instances, serial, **more))

    def change(self, *now: Instance, gone: tuple[str, ...] = ()) -> None:
        self.process(SourceChanged(Source.RECORDS, now, gone))

    def wait(self, span: int) -> None:
        until = self.now + span
        while self.now < until:
            self.now += 10 * MS
            for due_us, event in [pending for pending in self.pending_events if pending[0] <= self.now]:
                self.pending_events.remove((due_us, event))
                self.process(event)
            self.process(Tick())

    def state(self, name: str) -> str | None:
        member = self.membership.view.members.get(name)
        return member and member.state.value

    def eligible(self) -> list[str]:
        return sorted(one.instance.name for one in self.membership.view.eligible())
