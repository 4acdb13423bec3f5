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
    index = port if port is not None else 10_000 + (number if isinstance(number, int) else 0)
    return Instance(name, Endpoint("10.0.0.1", index), boot=boot, **more)


class Harness:
    """Members that answer probes unless they are ``silent``; time advances in steps of 10 ms."""

    def __init__(self, count: int = 4, **config: object) -> None:
        self.config = MembershipConfig(**config)
        self.now, self.core = 0, Membership(self.config)
        self.silent: set[str] = set()
        self.notes: list[str] = []
        self.probes: list[tuple[int, str]] = []
        self.views = []
        self.late: list[tuple[int, object]] = []
        self.read(*(instance(index) for index in range(count)))
        self.wait(600 * MS)

    def take(self, event) -> None:
        for one in self.core.step(self.now, event):
            if isinstance(one, LogLine):
                self.notes.append(one.text)
            elif isinstance(one, ViewChanged):
                self.views.append(one.view)
            elif isinstance(one, Probe):
                self.probes.append((self.now, one.name))
                if one.name in self.silent:
                    self.late.append((self.now + self.config.probe_timeout_us, ProbeTimedOut(one.name)))
                else:
                    self.late.append((self.now + 2 * MS, MemberAnswered(one.name)))

    def read(self, *instances: Instance, serial: int | None = None, source: Source = Source.RECORDS, **more) -> None:
        self.take(SourceListed(source, instances, serial, **more))

    def change(self, *now: Instance, gone: tuple[str, ...] = ()) -> None:
        self.take(SourceChanged(Source.RECORDS, now, gone))

    def wait(self, span: int) -> None:
        until = self.now + span
        while self.now < until:
            self.now += 10 * MS
            for index, event in [one for one in self.late if one[0] <= self.now]:
                self.late.remove((index, event))
                self.take(event)
            self.take(Tick())

    def state(self, name: str) -> str | None:
        member = self.core.view.members.get(name)
        return member and member.state.value

    def eligible(self) -> list[str]:
        return sorted(one.instance.name for one in self.core.view.eligible())
