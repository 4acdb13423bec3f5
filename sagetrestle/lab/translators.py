"""The rig with translators for members: several over one list of new servers, or over lists that differ."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from sagetrestle.lab.capacity import Capacity
from sagetrestle.lab.child_signals import ChildSignals
from sagetrestle.lab.faults import Links
from sagetrestle.lab.history import History, Ran
from sagetrestle.lab.load import Planned
from sagetrestle.lab.new_server import NewServer, old_report
from sagetrestle.lab.place import HERE, LabClass, Place
from sagetrestle.lab.processes import Caller, Rig
from sagetrestle.lab.routed import RoutedSender
from sagetrestle.lab.scorer import ROOT, ScorerProcess
from sagetrestle.lab.translation import MAPPED
from sagetrestle.membership.values import Endpoint
from sagetrestle.router import ExecutionProof

CLASSES = (
    LabClass("quick-check", 0.01, 0, 0.5, 0.5, 2.0),
    LabClass("paid-check", 0.02, 0, 0.5, 4.0, 5.0, worth=4.0, charge=True),
)


class TranslatorMember(ScorerProcess):
    """One translator; its journal stays in its folder over its lives."""

    def __init__(self, folder: Path, name: str, root: Path, files: Mapping[str, str]) -> None:
        super().__init__(folder, None, {}, files, name, root)  # type: ignore[arg-type]

    async def start(self, fronts: int, ready: str = "kernel up") -> TranslatorMember:
        """Start it, and wait until it listens on so many fronts."""
        deploy = self.folder / "deploy"
        deploy.mkdir(parents=True, exist_ok=True)
        for file, text in self._deploy.items():
            (deploy / file).write_text(text)
        self.process = await asyncio.create_subprocess_exec(
            self.python,
            "-B",
            "-m",
            "sagetrestle",
            "translate",
            "--file",
            str(deploy / "translate.toml"),
            cwd=self.folder,
            env={**os.environ, "PYTHONPATH": str(self._root)},
            stderr=asyncio.subprocess.PIPE,
        )
        self._signals = ChildSignals(self.process)
        while len(self.ports) < fronts or not self.log_has(ready):
            if not await self._read_line():
                raise RuntimeError(f"the translator ended: {self.log}")
        self._reading = asyncio.create_task(self._read_on())
        return self


class OldClients:
    """Callers as old clients are: one translator after another; by who owns the key, where that is known."""

    def __init__(self, rig: TranslatorRig, first: int) -> None:
        self._rig, self._turn = rig, itertools.count(first)
        self._owner_of: Callable[[str], str] | None = None
        self.router = self  # whom the watch tells

    def set_owner_lookup(self, owner_of: Callable[[str], str] | None) -> None:
        """Go by this from now on."""
        self._owner_of = owner_of

    def owner(self, key: str) -> str:
        """Return the name of a key's owner, or nothing."""
        return self._owner_of(key) if self._owner_of is not None else ""

    def choose(self, one: Planned, tried: tuple[str, ...]) -> tuple[str, Endpoint] | None:
        """Return the owner, or the next one in turn."""
        names = self._rig.names
        name = self.owner(one.key or "") if one.key else ""
        name = name or names[next(self._turn) % len(names)]
        return name, Endpoint(HERE, self._rig.scorers[name].ports["thrift"])

    def ended(self, name: str, one: Planned, end: ExecutionProof, how: str) -> None:
        """Learn nothing."""


class NoHost:
    """There is no view of translators to keep."""

    def stop(self) -> None:
        """Do nothing."""


class TranslatorRig(Rig):
    """Translators ``t0``, ``t1``, ..., new servers ``s0``, ``s1``, ..., and callers.

    ``lists`` has each translator's servers, all where it is not named. ``wires`` has the one link to each server, and
    one of its own for each translator in ``private``.
    """

    def __init__(
        self,
        folder: Path,
        size: int = 2,
        servers: int = 2,
        lists: Mapping[str, Sequence[str]] | None = None,
        window_us: int = 30_000_000,
        seed: int = 1,
        root: Path = ROOT,
        checks_tokens: bool = True,
        limit_s: float = 5.0,
        private: Sequence[str] = (),
        capacity: Capacity | None = None,
        classes: tuple[LabClass, ...] = CLASSES,
        promises: str = "",
        **more: Any,
    ) -> None:
        super().__init__(folder, size, Place(classes=classes, window_us=window_us), seed=seed, root=root, **more)
        self.names = [f"t{at}" for at in range(size)]
        self._direct = {name: port for name, port in zip(self.names, self._direct.values(), strict=False)}
        self.council = self.names[: min(len(self.names), more.get("council", 3))]
        self.servers = {f"s{at}": NewServer(0.02, checks_tokens, capacity=capacity) for at in range(servers)}
        self.wires = Links(seed, framed=False)
        self._logs: dict[str, list[str]] = {}  # of lives before
        self._promises = promises
        self._lists, self._limit_s, self._private = dict(lists or {}), limit_s, tuple(private)

    async def start(self) -> TranslatorRig:
        """Start servers, then translators, and wait until each caller knows who owns what."""
        for name, server in self.servers.items():
            count = itertools.count(1)
            server.faults.answer = lambda value, name=name, count=count: {  # type: ignore[misc]
                **value,
                "notes": [f"run {next(count)} at {name}"],
            }
            await server.start()
            for start in ("all", *self._private):
                (await self.wires.between(start, name)).target = server.port  # one address, as records name it
        if self._fleet is not None:
            for start in [*self.names, *(f"f{at}" for at in range(self._fronts))]:
                for end in self.names:
                    if start != end:
                        await self.links.between(start, end)
        await asyncio.gather(*(self.begin(name) for name in self.names))
        for at in range(self._fronts):
            chooser = OldClients(self, at)
            sender = RoutedSender(chooser, self, self._seed + at, self.history, f"f{at}")
            self.callers.append(
                Caller(
                    f"f{at}",
                    NoHost(),
                    chooser,
                    sender,  # type: ignore[arg-type]
                    self._watch(f"f{at}", chooser),
                )
            )  # type: ignore[arg-type]
        if self._fleet is not None:
            await self.settled()
        return self

    async def begin(self, name: str, fresh: bool = False) -> ScorerProcess:
        """Start a translator, with the journal that it had unless it is to be a ``fresh`` one."""
        home = self.folder / name
        home.mkdir(exist_ok=True)
        if fresh:
            self.lose(name)
        files = {"translate.toml": self._translate_toml(name), "mapping.toml": "version = 1\nschema = 2\n" + MAPPED}
        if self._fleet is not None:
            files["fleet.toml"] = self._fleet_toml(name)
        if self._promises:
            files["promises.toml"] = self._promises
        member = TranslatorMember(home, name, self._root, files)
        await member.start(1 if self._fleet is None else 2)
        if self._fleet is not None:
            self.links.to(name, member.ports["fleet"])
        if name in self.scorers:
            self._logs.setdefault(name, []).extend(self.scorers[name].log)
        self.scorers[name] = member
        self.down.discard(name)
        return member

    def _translate_toml(self, name: str) -> str:
        text = f'name = "{name}"\nmapping = "deploy/mapping.toml"\njournal = "journal.db"\nopen = 32\n'
        for one in self.place.classes:
            limit_s = min(one.limit_s, self._limit_s)
            text += (
                f'[[classes]]\nname = "{one.name}"\naim_ms = {int(min(one.aim_s, limit_s) * 1000)}\n'
                f"limit_ms = {int(limit_s * 1000)}\n"
            )
            text += f'effect = "keyed"\nworth = 4.0\nwindow_ms = {self.place.window_us // 1000}\n' if one.charge else ""
        for server in self._lists.get(name, self.servers):
            port = self.wires.all[(name if name in self._private else "all", server)].port
            text += f'[[servers]]\nname = "{server}"\naddress = "{HERE}:{port}"\nboot = 1\n'
        return text

    def log_of(self, name: str) -> list[str]:
        """Return what a translator logged over all its lives."""
        return [*self._logs.get(name, ()), *self.scorers[name].log]

    def lose(self, name: str) -> None:
        """Lose a translator's journal, and whatever else was on its disk."""
        self.spoil(name, "journal.db*", "council.db*")

    def spoil(self, name: str, *files: str) -> None:
        """Lose some of a translator's files."""
        for one in [one for file in files for one in (self.folder / name).glob(file)]:
            one.unlink()

    async def close(self) -> None:
        """End everything."""
        for one in self.callers:
            if one.watch is not None:
                one.watch.stop()
        for name in self.scorers:
            self.go_on(name)
        await asyncio.gather(
            *(one.stop(signal.SIGKILL) for one in self.scorers.values() if one.process.returncode is None)
        )
        for server in self.servers.values():
            server.close()
        self.links.close()
        self.wires.close()

    def finished(self) -> History:
        """Return the history with what ran at all servers."""
        self.history.ran = [
            Ran(
                _body(one.applicant).decode(),
                str(one.answer["notes"][0]),
                one.at,
                name,
                one.token,
                old_report(_body(one.applicant)).replace(b"rent paid; no claims", one.answer["notes"][0].encode()),
            )
            for name, server in self.servers.items()
            for one in server.runs
        ]
        return self.history


def _body(applicant: str) -> bytes:
    return f"applicant={applicant}\n".encode()


def translated_charge(key: str) -> Planned:
    """Return a charge in old words."""
    return Planned(0.0, 0, "paid-check", "t", "f", _body(key), key)
