"""The translator: a scorer whose runs are requests forwarded to new servers in place of the kernel.

It is configured by ``deploy/translate.toml`` (docs/translation.md). The front ends and the decision module are those
of a scorer.
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
from sagetrestle.handover.messages import KeyName, KeyRecord
from sagetrestle.membership.values import Endpoint, Instance, Member, MemberState
from sagetrestle.membership.view import View
from sagetrestle.net.program import log
from sagetrestle.net.program.clock import Clock
from sagetrestle.net.program.config import Config, ConfigError, ScgiConfig, with_fleet, with_identity
from sagetrestle.net.program.limits import Limits, derive_bounds
from sagetrestle.net.program.main import Scorer
from sagetrestle.net.program.signals import EarlySignals, ignore_signals
from sagetrestle.net.program.upstream import GroupCommit, Upstream, UpstreamConfig
from sagetrestle.net.routing.idempotency import KEY_WINDOW_MARGIN_US, KeyTable
from sagetrestle.net.routing.values import BackendAddresses, Plan
from sagetrestle.recovery.effects import EffectRecord, EffectState, EffectTable, RecordKind
from sagetrestle.router import Router, RouterConfig
from sagetrestle.store.journal import Journal, JournalError
from sagetrestle.translation.mapping import Mapping, MappingError, read_mapping

if TYPE_CHECKING:  # not imported where promises are off
    from sagetrestle.objectives.values import ObjectiveConfig

MS = 1_000
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]


class ClassRow(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One request class: its name in the old protocol, aim, limit, kind of effect, worth and idempotency window."""

    name: str
    aim_ms: Milliseconds
    limit_ms: Milliseconds
    effect: Literal["safe", "keyed"] = "safe"
    worth: float = 1.0
    window_ms: Annotated[int, msgspec.Meta(ge=0, le=86_400_000)] = 0


class ServerRow(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One new server; ``boot`` identifies its start."""

    name: str
    address: str
    weight: Annotated[int, msgspec.Meta(ge=0, le=65_535)] = 1
    priority: Annotated[int, msgspec.Meta(ge=0, le=65_535)] = 0
    boot: int = 0


class TranslateFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The contents of ``deploy/translate.toml``."""

    mapping: str
    journal: str
    classes: Annotated[list[ClassRow], msgspec.Meta(min_length=1)]
    servers: Annotated[list[ServerRow], msgspec.Meta(min_length=1)]
    name: str = "translator"
    thrift: str = "127.0.0.1:0"
    scgi: str = ""
    open: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 64
    journal_mb: Annotated[float, msgspec.Meta(ge=0.1, le=65_536)] = 256
    stop_ms: Milliseconds = 3_200
    drain_ms: Milliseconds = 2_000
    sockets: Annotated[int, msgspec.Meta(ge=96, le=65_536)] = 1_024
    memory_mb: Annotated[int, msgspec.Meta(ge=24, le=65_536)] = 256
    charges_move: bool = False
    retry_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.08
    retry_reserve_per_s: Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 1.0
    tries: Annotated[int, msgspec.Meta(ge=1, le=10)] = 4
    breaker: bool = True

    def controller_config(self) -> AttemptControllerConfig:
        """Return the configuration of attempts: retry budget, maximum attempts and circuit breaker."""
        breaker_config = BreakerConfig() if self.breaker else BreakerConfig(max_ejected_share=0.0)
        return AttemptControllerConfig(
            self.retry_share,
            self.retry_reserve_per_s,
            charges_move=self.charges_move,
            request=RequestConfig(max_attempts=self.tries),
            breaker=breaker_config,
        )


@dataclass(frozen=True)
class TranslateConfig:
    """The file, the mapping that it names, and the core's configuration derived from both."""

    file: TranslateFile
    root: Path
    mapping: Mapping
    core: Config
    window_us: int
    promises: ObjectiveConfig | None = None


def load_translate(path: Path) -> TranslateConfig:
    """Read the file, its mapping and the files beside it. Raises ConfigError, which names the file and the field."""
    try:
        file: TranslateFile = decode_file(path.read_bytes(), TranslateFile, "toml", ConfigError)
    except (OSError, ConfigError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    for index, row in enumerate(file.classes):
        if row.effect == "keyed" and not row.window_ms:
            raise ConfigError(f"{path.name}: classes[{index}].window_ms: missing for a keyed class")
    root = path.parent.parent
    classes = frozenset(row.name for row in file.classes)
    try:
        mapping = read_mapping((root / file.mapping).read_bytes(), classes)
    except (MappingError, OSError) as error:
        raise ConfigError(f"{Path(file.mapping).name}: {error}") from None
    for index, row in enumerate(file.servers):
        _parse_address(row.address, f"{path.name}: servers[{index}].address")
    window_us = max((row.window_ms * MS for row in file.classes), default=0)
    core_config, identity = _core_config(path, file), path.parent / "identity.toml"
    core_config = with_identity(core_config, identity) if identity.exists() else core_config
    fleet = path.parent / "fleet.toml"
    core_config = with_fleet(core_config, fleet) if fleet.exists() else core_config
    return TranslateConfig(
        file, root, mapping, core_config, window_us, _load_promises(path.parent / "promises.toml", file, core_config)
    )


def _load_promises(path: Path, file: TranslateFile, core: Config) -> ObjectiveConfig | None:
    """Read the tenants' objectives; returns None where there is no promises file. Raises ConfigError."""
    if not path.exists():
        return None
    from sagetrestle.net.program import promises

    if core.fleet is None or core.fleet.file.overload is None:
        raise ConfigError(f"{path.name}: needs a fleet.toml with a table overload")
    try:
        return promises.load_promises(path, (row.name for row in file.servers), (row.name for row in file.classes))
    except promises.PromisesFileError as error:
        raise ConfigError(str(error)) from None


def _core_config(path: Path, file: TranslateFile) -> Config:
    """Return the core's configuration: ``open`` runs at once, no preemption and no ledger."""
    classes = tuple(
        ClassSettings(
            row.name, row.aim_ms * MS, row.limit_ms * MS, row.worth, Effect(row.effect), window_us=row.window_ms * MS
        )
        for row in file.classes
    )
    # A run waits for a server and uses no core here, so the maximum of open requests stands for the cores.
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
    scgi = ScgiConfig(_parse_address(file.scgi, f"{path.name}: scgi")) if file.scgi else None
    limits = Limits(file.sockets, float(file.memory_mb))
    bounds = derive_bounds(limits, scgi is not None, False)
    no_address = ("127.0.0.1", 0)
    plan = Plan(settings, file.stop_ms * MS, bounds, ("core_use", "on_cores", "heap_share", "links"))
    thrift = _parse_address(file.thrift, f"{path.name}: thrift")
    return Config(file.name, thrift, BackendAddresses(no_address, no_address, no_address), plan, scgi, limits=limits)


def _parse_address(text: str, where: str) -> tuple[str, int]:
    """Parse ADDRESS:PORT; only servers may have another address than loopback. Raises ConfigError."""
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


class NullRoster:
    """Stands for the roster client, since a translator is in no roster."""

    def listen(self, *_: Any) -> None:
        """Do nothing."""

    def use(self, *_: Any) -> None:
        """Do nothing."""

    def report(self, *_: Any) -> None:
        """Do nothing."""


def view_from_file(file: TranslateFile) -> View:
    """Return a membership view of the servers in the file."""
    return View().with_changes(
        Member(
            Instance(row.name, Endpoint(*_parse_address(row.address, "servers")), row.priority, row.weight, row.boot),
            MemberState.ANNOUNCED,
            0,
        )
        for row in file.servers
    )


def restore_keys(keys: KeyTable, effects: EffectTable, clock: Clock) -> None:
    """Give the core the keys of an earlier process: their bodies, windows and results, as if it had run them itself."""
    now, unix_now = clock.read(), clock.unix_us()
    windows = {request_class.name: request_class.window_us for request_class in keys.settings.classes}
    for effect in effects.effects.values():
        charge = effect.charge
        if charge is None or charge.class_name not in windows or effect.state is EffectState.FREE:
            continue
        sent = now - (unix_now - effect.at_us)
        until = sent + windows[charge.class_name] + KEY_WINDOW_MARGIN_US
        name = KeyName(charge.class_name, charge.tenant, charge.key)
        record = KeyRecord(name, charge.body_digest, charge.attempt_id, sent, until)
        if effect.state is EffectState.IN_DOUBT:
            keys.adopt_doubt(record)
        else:
            keys.adopt_remote_run(record)
            result = effect.result if effect.state is EffectState.DONE else None
            keys.store_remote_result(charge.attempt_id, result, until + keys.late_read_us)


class Translator:
    """A scorer's core and fronts, with an Upstream for the new servers and its journal."""

    def __init__(
        self,
        reactor: Any,
        config: TranslateConfig,
        logger: Any,
        in_thread: Callable[[Callable[[], Any]], Any],
        crash_hook: Callable[[str], None] | None = None,
        clock: Clock | None = None,
        client: Any = None,
    ) -> None:
        self._config, self._clock = config, clock or Clock()
        self.journal = Journal(
            config.root / config.file.journal, int(config.file.journal_mb * (1 << 20)), crash_hook, config.file.name
        )
        router = Router(RouterConfig(window_us=config.window_us or 30_000_000), seed=0)
        router.set_view(view_from_file(config.file))
        attempt_controller = AttemptController(
            router, config.file.controller_config(), seed=self._clock.unix_us() // 1_000_000
        )
        commit = GroupCommit(self.journal, in_thread)
        upstream_config = UpstreamConfig(config.window_us)

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
                upstream_config,
                client,
            )
            upstream.objectives = config.promises
            return upstream

        self.core = Scorer(reactor, config.core, logger, self._clock, lambda: config.core, runner)
        self.core.roster = NullRoster()  # type: ignore[assignment]
        self.upstream: Upstream = self.core.kernel
        self.upstream.set_describe_request(self._describe)

    def _describe(self, id: str) -> tuple[str | None, str, int, bool, float]:
        """Return a request's key, tenant, deadline (µs), retry mark and work hint (ms), for its attempts.

        The decision module gives up a safe request at its aim if a later answer is worth nothing, so its attempts
        must end by then; a charge is worth querying until its deadline.
        """
        request = self.core.loop.state.entries[id].request
        settings = self._config.core.plan.settings
        request_class = settings.classes[request.class_index]
        deadline = request.deadline_us(settings)
        if request_class.effect is Effect.SAFE and not request_class.late_share:
            deadline = min(deadline, request.arrived + request_class.aim_us)
        return request.key, request.tenant, deadline, request.retry, request.hint_us / 1000

    def start(self, early: EarlySignals) -> None:
        """Recover from the journal, and start the core with the signals that have arrived meanwhile."""
        self.recover()
        self.core.start(early)

    def recover(self) -> None:
        """Replay the journal, and compact it."""
        now = self._clock.unix_us()
        recovered, fault = self.journal.read(now), self.journal.describe_loss()
        if fault:
            recovered.entries.append(EffectRecord(RecordKind.LOST, "", now))
        self.upstream.recover(recovered.entries, recovered.corrupt_keys, fault)
        if self._config.core.fleet is None:  # a fleet goes by its records
            restore_keys(self.core.loop.state.keys, self.upstream.effects, self._clock)
        if recovered.entries:
            self.journal.compact(self.upstream.effects.snapshot_records(self._clock.unix_us()))
        self.journal.write_marker()  # the loss must be recorded in the journal first


def main(path: Path, crash_hook: Callable[[str], None] | None = None) -> int:
    """Run a translator until it is told to stop; returns the exit code, 2 if its files can not be used.

    ``crash_hook`` is called at each write point of the journal, so that tests can end the process there.
    """
    import sys

    from twisted.internet import reactor
    from twisted.internet.threads import deferToThreadPool

    reactor.seconds = time.monotonic  # type: ignore[attr-defined]
    early = EarlySignals()
    logger = log.set_up()
    try:
        config = load_translate(path)
        translator = Translator(
            reactor, config, logger, lambda act: deferToThreadPool(reactor, reactor.getThreadPool(), act), crash_hook
        )
        translator.start(early)
    except (ConfigError, JournalError) as error:
        print(f"sagetrestle: {error}", file=sys.stderr)
        return 2
    reactor.run(installSignalHandlers=False)  # type: ignore[attr-defined]
    ignore_signals()
    translator.journal.close()
    return translator.core.exit_code
