"""The translator: the scorer's fronts and core, with new servers in the kernel's place.

Its file is ``deploy/translate.toml`` (docs/translation.md); everything goes through the one decision module as in a
scorer, and a run is a request sent on.
"""

from __future__ import annotations

import ipaddress
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, Literal

import msgspec

from sagetrestle.attempts.breaker import BreakerConfig
from sagetrestle.attempts.controller import AttemptController, AttemptControllerConfig
from sagetrestle.attempts.request import RequestConfig
from sagetrestle.file_decoding import decode_file
from sagetrestle.interface import ClassSettings, DownstreamKind, Effect, PreemptionMode, Settings
from sagetrestle.membership.values import Endpoint, Instance, Member, MemberState
from sagetrestle.membership.view import View
from sagetrestle.net.program import log
from sagetrestle.net.program.clock import Clock
from sagetrestle.net.program.config import Config, ConfigError, ScgiConfig, with_fleet, with_identity
from sagetrestle.net.program.limits import Limits, derive
from sagetrestle.net.program.main import Scorer
from sagetrestle.net.program.signals import EarlySignals
from sagetrestle.net.program.upstream import GroupCommit, Upstream, UpstreamTerms
from sagetrestle.net.routing.values import BackendAddresses, Plan
from sagetrestle.recovery.effects import Entry, Kind
from sagetrestle.router import Router, RouterConfig
from sagetrestle.store.journal import Journal, JournalError
from sagetrestle.translation.mapping import Mapping, MappingError, read_mapping

if TYPE_CHECKING:  # what is off is not loaded
    from sagetrestle.objectives.values import ObjectiveConfig

MS = 1_000
Millis = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]


class ClassRow(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One class: its name on the old side, its aim and limit, whether it charges, and its worth."""

    name: str
    aim_ms: Millis
    limit_ms: Millis
    effect: Literal["safe", "keyed"] = "safe"
    worth: float = 1.0
    window_ms: Annotated[int, msgspec.Meta(ge=0, le=86_400_000)] = 0


class ServerRow(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One new server."""

    name: str
    address: str
    weight: Annotated[int, msgspec.Meta(ge=0, le=65_535)] = 1
    priority: Annotated[int, msgspec.Meta(ge=0, le=65_535)] = 0
    boot: int = 0


class TranslateFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """``deploy/translate.toml``."""

    mapping: str
    journal: str
    classes: Annotated[list[ClassRow], msgspec.Meta(min_length=1)]
    servers: Annotated[list[ServerRow], msgspec.Meta(min_length=1)]
    name: str = "translator"
    thrift: str = "127.0.0.1:0"
    scgi: str = ""
    open: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 64
    journal_mb: Annotated[float, msgspec.Meta(ge=0.1, le=65_536)] = 256
    stop_ms: Millis = 3_200
    drain_ms: Millis = 2_000
    sockets: Annotated[int, msgspec.Meta(ge=96, le=65_536)] = 1_024
    memory_mb: Annotated[int, msgspec.Meta(ge=24, le=65_536)] = 256
    charges_move: bool = False
    retry_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.08
    retry_reserve_per_s: Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 1.0
    tries: Annotated[int, msgspec.Meta(ge=1, le=10)] = 4
    breaker: bool = True

    def terms(self) -> AttemptControllerConfig:
        """Return the terms of the attempts."""
        row = BreakerConfig() if self.breaker else BreakerConfig(max_ejected_share=0.0)
        return AttemptControllerConfig(
            self.retry_share,
            self.retry_reserve_per_s,
            charges_move=self.charges_move,
            request=RequestConfig(max_attempts=self.tries),
            breaker=row,
        )


@dataclass(frozen=True)
class TranslateConfig:
    """The file, the mapping it names, and the core's configuration made of both."""

    file: TranslateFile
    root: Path
    mapping: Mapping
    core: Config
    window_us: int
    promises: ObjectiveConfig | None = None


def load_translate(path: Path) -> TranslateConfig:
    """Read the file and its mapping. Raises ConfigError, which names file and field."""
    try:
        file: TranslateFile = decode_file(path.read_bytes(), TranslateFile, "toml", ConfigError)
    except (OSError, ConfigError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    for at, one in enumerate(file.classes):
        if one.effect == "keyed" and not one.window_ms:
            raise ConfigError(f"{path.name}: classes[{at}].window_ms: a keyed class needs one")
    root = path.parent.parent
    classes = frozenset(one.name for one in file.classes)
    try:
        mapping = read_mapping((root / file.mapping).read_bytes(), classes)
    except (MappingError, OSError) as error:
        raise ConfigError(f"{Path(file.mapping).name}: {error}") from None
    for at, one in enumerate(file.servers):
        _address(one.address, f"{path.name}: servers[{at}].address")
    window = max((one.window_ms * MS for one in file.classes), default=0)
    core, identity = _core(path, file), path.parent / "identity.toml"
    core = with_identity(core, identity) if identity.exists() else core
    fleet = path.parent / "fleet.toml"
    core = with_fleet(core, fleet) if fleet.exists() else core
    return TranslateConfig(file, root, mapping, core, window, _promises(path.parent / "promises.toml", file, core))


def _promises(path: Path, file: TranslateFile, core: Config) -> ObjectiveConfig | None:
    """Read what tenants are promised, where there is a file of it."""
    if not path.exists():
        return None
    from sagetrestle.net.program import promises

    if core.fleet is None or core.fleet.file.overload is None:
        raise ConfigError(f"{path.name}: needs a fleet.toml with a table overload, by whose levels it goes")
    try:
        return promises.load_promises(path, (one.name for one in file.servers), (one.name for one in file.classes))
    except promises.PromisesFileError as error:
        raise ConfigError(str(error)) from None


def _core(path: Path, file: TranslateFile) -> Config:
    """Return the core's configuration: a machine that runs so many at once, and can not pause."""
    classes = tuple(
        ClassSettings(
            one.name, one.aim_ms * MS, one.limit_ms * MS, one.worth, Effect(one.effect), window_us=one.window_ms * MS
        )
        for one in file.classes
    )
    # A run here waits for a server and takes no core: as many as may be open stand for the cores.
    settings = Settings(
        cores=file.open,
        memory_kb=file.memory_mb * 512.0,
        classes=classes,
        preemption=PreemptionMode.NONE,
        downstream=DownstreamKind.NONE,
        idle_max_us=30_000_000,
        marks_retry=True,
        retry_after=True,
        max_retry_after_us=5_000_000,
        drain_grace_us=file.drain_ms * MS,
    )
    scgi = ScgiConfig(_address(file.scgi, f"{path.name}: scgi")) if file.scgi else None
    limits = Limits(file.sockets, float(file.memory_mb))
    bounds = derive(limits, scgi is not None, False)
    nowhere = ("127.0.0.1", 0)
    plan = Plan(settings, file.stop_ms * MS, bounds, ("core_use", "on_cores", "heap_share", "links"))
    thrift = _address(file.thrift, f"{path.name}: thrift")
    return Config(file.name, thrift, BackendAddresses(nowhere, nowhere, nowhere), plan, scgi, limits=limits)


def _address(text: str, where: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        loopback = ipaddress.ip_address(host).is_loopback
    except ValueError:
        raise ConfigError(f"{where}: {text!r}: not ADDRESS:PORT") from None
    if not port.isdecimal() or not int(port) < 65_536:
        raise ConfigError(f"{where}: {text!r}: not ADDRESS:PORT")
    if not loopback and "servers" not in where:
        raise ConfigError(f"{where}: {text!r}: not a loopback address")
    return host, int(port)


class NoRoster:
    """A translator is in no roster."""

    def listen(self, *_: Any) -> None:
        """Do nothing."""

    def use(self, *_: Any) -> None:
        """Do nothing."""

    def report(self, *_: Any) -> None:
        """Do nothing."""


def view_of(file: TranslateFile) -> View:
    """Return the view of the servers that the file names."""
    return View().with_changes(
        Member(
            Instance(one.name, Endpoint(*_address(one.address, "servers")), one.priority, one.weight, one.boot),
            MemberState.ANNOUNCED,
            0,
        )
        for one in file.servers
    )


class Translator:
    """A core, its fronts, and the servers behind it."""

    def __init__(
        self,
        reactor: Any,
        config: TranslateConfig,
        logger: Any,
        in_thread: Callable[[Callable[[], Any]], Any],
        at: Callable[[str], None] | None = None,
        clock: Clock | None = None,
        client: Any = None,
    ) -> None:
        self._config, self._clock = config, clock or Clock()
        self.journal = Journal(
            config.root / config.file.journal, int(config.file.journal_mb * (1 << 20)), at, config.file.name
        )
        router = Router(RouterConfig(window_us=config.window_us or 30_000_000), seed=0)
        router.set_view(view_of(config.file))
        attempt_controller = AttemptController(router, config.file.terms(), seed=self._clock.unix_us() // 1_000_000)
        commit = GroupCommit(self.journal, in_thread)
        terms = UpstreamTerms(config.window_us)

        def runner(reactor: Any, post: Any) -> Upstream:
            upstream = Upstream(
                reactor,
                post,
                config.core.plan.settings,
                config.mapping,
                attempt_controller,
                commit,
                logger.info,
                self._clock.unix_us,
                terms,
                client,
            )
            upstream.contracts = config.promises
            return upstream

        self.core = Scorer(reactor, config.core, logger, self._clock, lambda: config.core, runner)
        self.core.roster = NoRoster()  # type: ignore[assignment]
        self.upstream: Upstream = self.core.kernel
        self.upstream.describe_with(self._describe)

    def _describe(self, id: str) -> tuple[str | None, str, int, bool, float]:
        """Tell of a request what its attempts need.

        The module gives a safe request up at its aim where a later answer is worth nothing, so its tries have to
        fit before that; a charge is worth asking after to the end.
        """
        request = self.core.loop.state.entries[id].request
        cls = self._config.core.plan.settings.classes[request.class_index]
        due = request.arrived + (cls.aim_us if cls.effect is Effect.SAFE and not cls.late_share else cls.deadline_us)
        return request.key, request.tenant, due, request.retry, request.hint_us / 1000

    def start(self, early: EarlySignals) -> None:
        """Settle what the journal holds, and begin, with the notices that came meanwhile."""
        self.recover()
        self.core.start(early)

    def recover(self) -> None:
        """Settle what the journal holds, and compact it."""
        now = self._clock.unix_us()
        read, why = self.journal.read(now), self.journal.describe_loss()
        if why:
            read.entries.append(Entry(Kind.LOST, "", now))
        self.upstream.recover(read.entries, read.corrupt_keys, why)
        if read.entries:
            self.journal.compact(self.upstream.effects.living(self._clock.unix_us()))
        self.journal.write_marker()  # only now: what was lost is written down


def main(path: Path, at: Callable[[str], None] | None = None) -> int:
    """Run a translator until it is told to leave; exit code 2 where its files can not be used."""
    import sys

    from twisted.internet import reactor
    from twisted.internet.threads import deferToThreadPool

    reactor.seconds = time.monotonic  # type: ignore[attr-defined]
    early = EarlySignals()
    logger = log.set_up()
    try:
        config = load_translate(path)
        translator = Translator(
            reactor, config, logger, lambda act: deferToThreadPool(reactor, reactor.getThreadPool(), act), at
        )
        translator.start(early)
    except (ConfigError, JournalError) as error:
        print(f"sagetrestle: {error}", file=sys.stderr)
        return 2
    reactor.run(installSignalHandlers=False)  # type: ignore[attr-defined]
    translator.journal.close()
    return translator.core.exit_code
