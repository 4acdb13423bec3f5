"""Putting the parts together."""

from __future__ import annotations

import gc
import os
import sys
import time
import traceback
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet.error import CannotListenError

from sagetrestle.net.program import log, signals
from sagetrestle.net.program.clock import Clock
from sagetrestle.net.program.config import Config, ConfigError, ScgiConfig, fixed_fields, read_config
from sagetrestle.net.program.loop import TurnLoop
from sagetrestle.net.routing import effects as fx
from sagetrestle.net.routing.health import is_ready
from sagetrestle.net.routing.inputs import Reconfigured, ReloadFailed, Started, StopRequested
from sagetrestle.net.routing.reducer import HANDLERS
from sagetrestle.net.routing.state import attach_handover, new_state
from sagetrestle.net.routing.values import ConnectionId
from sagetrestle.net.transport.connection import BACKLOG, Front
from sagetrestle.net.transport.ends import Post
from sagetrestle.net.transport.kernel_link import KernelLink
from sagetrestle.net.transport.ledger_pool import LedgerPool
from sagetrestle.net.transport.roster import Roster
from sagetrestle.net.transport.scgi_front import ScgiFront
from sagetrestle.net.transport.thrift_front import ThriftFront

if TYPE_CHECKING:
    from sagetrestle.net.program.discovery import DiscoveryConfig
    from sagetrestle.net.program.fleet import FleetConfig, FleetHost
    from sagetrestle.net.program.handover import Handover
    from sagetrestle.net.program.identity import IdentityConfig
    from sagetrestle.net.transport.credentials import CredentialReader
    from sagetrestle.net.transport.dnssd import DnsResponder
    from sagetrestle.net.transport.management import ManagementFront

COLLECT = (5_000, 10, 10)  # almost nothing here is part of a cycle: looking for them seldom is enough
DNS_AGAIN_S = 0.25
FLEET_AGAIN_S = 0.1
EXIT_WITHIN_S, EXIT_POLL_S = 0.1, 0.005  # for the last answers to be taken; between looks whether they are
SCGI_FILE, IDENTITY_FILE = Path("deploy/scgi.toml"), Path("deploy/identity.toml")
LOG_FILE, DISCOVERY_FILE = Path("deploy/log.toml"), Path("deploy/discovery.toml")
FLEET_FILE = Path("deploy/fleet.toml")


class Scorer:
    """One scorer: the fronts, the clients, and the loop between them."""

    def __init__(
        self,
        reactor: Any,
        config: Config,
        logger: Any,
        clock: Clock,
        reread: Callable[[], Config],
        runner: Callable[[Any, Post], Any] = KernelLink,
    ) -> None:
        self.reactor, self.config, self._reread, self._clock = reactor, config, reread, clock
        authenticator = config.identity.authenticator() if config.identity else None
        handlers = dict(HANDLERS)
        self.loop = TurnLoop(
            reactor, clock, new_state(config.plan, authenticator), self.perform, self._failed, handlers
        )
        self._log = log.BoundedLog(logger.info, lambda: self.loop.now, fields=hasattr(logger, "bind"))
        post = self.loop.post
        bounds = config.plan.bounds
        self.thrift = ThriftFront(reactor, config.plan.settings, post, bounds.connections["thrift"], clock.from_unix_ms)
        self.fronts: dict[str, Front[Any]] = {"thrift": self.thrift}
        self.kernel = runner(reactor, post)
        self.ledger = LedgerPool(reactor, post, bounds.calls)
        self.roster = Roster(config.name)
        self.dns: DnsResponder | None = None
        self.management: ManagementFront | None = None
        self.handover: Handover | None = None
        self.exit_code = 0
        self._tls: Any = None
        self._watch: Any = None
        self._publisher: Any = None
        if config.management:
            from sagetrestle.net.transport.management import ManagementFront

            self.management = ManagementFront(reactor, post, bounds.management)
            self._add_handover(reactor, post, handlers)
        self.fleet: FleetHost | None = None
        if config.fleet:
            self._add_fleet(config.fleet, handlers)
        credentials = None
        if config.identity:
            credentials = self._add_identity(config.identity, post)
        if config.scgi:
            self._add_scgi("scgi", config.scgi.held_kb, post, credentials)

    def _add_handover(self, reactor: Any, post: Post, handlers: dict[type, Any]) -> None:
        """Set up what upgrades need; it is loaded only here."""
        from sagetrestle.net.program.handover import Handover
        from sagetrestle.net.routing.handover import HANDLERS as PAIRED
        from sagetrestle.net.routing.handover import HandoverCoordinator

        handlers |= PAIRED
        host, port = self.config.listen
        attach_handover(self.loop.state, HandoverCoordinator(self.config.plan, self.config.name, f"{host}:{port}"))
        self.handover = Handover(
            reactor, post, self.config.shared, self.config.name, self._log.line, lambda: self._tls and self._tls.context
        )

    def _add_fleet(self, fleet: FleetConfig, handlers: dict[type, Any]) -> None:
        """Set up what the fleet needs; it is loaded only here."""
        from twisted.internet.threads import deferToThreadPool

        from sagetrestle.net.program.fleet import FleetHost
        from sagetrestle.store.database import StoreError

        reactor = self.reactor
        try:
            self.fleet = FleetHost(
                reactor,
                fleet,
                self.config,
                self.loop.post,
                self._log.line,
                lambda: self.loop.now,
                lambda act: deferToThreadPool(reactor, reactor.getThreadPool(), act),
                None if isinstance(self.kernel, KernelLink) else self.kernel,
                self._clock.unix_us(),
            )
        except StoreError as error:
            raise ConfigError(f"fleet.toml: store: {error}") from None
        self.fleet.join(self.loop.state, handlers)

    def _add_scgi(self, kind: str, held_kb: float, post: Post, credentials: Any) -> None:
        plan = self.config.plan
        self.fronts[kind] = ScgiFront(
            self.reactor, plan.settings, post, plan.bounds, held_kb, plan.seed, kind, credentials
        )

    def _add_identity(self, identity: IdentityConfig, post: Post) -> CredentialReader:
        """Set up what identity needs; its libraries are loaded only here."""
        from twisted.internet.threads import deferToThreadPool

        from sagetrestle.net.program.identity import IdentityWatch
        from sagetrestle.net.transport.credentials import CredentialReader

        credentials = CredentialReader(frozenset(identity.file.trusted_peers))
        self.thrift.maps = True
        if self.config.scgis:
            from sagetrestle.net.transport.tls import TlsFront

            self._tls = TlsFront(identity.paths())
            held = self.config.scgi.held_kb if self.config.scgi else ScgiConfig.held_kb
            self._add_scgi("scgis", held, post, credentials)
        classes = frozenset(cls.name for cls in self.config.plan.settings.classes)
        reactor = self.reactor
        self._watch = IdentityWatch(
            reactor,
            identity,
            classes,
            post,
            lambda load: deferToThreadPool(reactor, reactor.getThreadPool(), load),
            self._tls,
        )
        return credentials

    def start(self, early: signals.EarlySignals) -> None:
        """Begin with the first turn, and with the notices that came before it."""
        signals.on_stop(self.reactor, lambda: self.loop.post(StopRequested()))
        signals.on_reload(self.reactor, self.reload)
        self.begin()
        if early.reload_asked:
            self.reload()
        if early.stop_asked:
            self.loop.post(StopRequested())

    def begin(self) -> None:
        """Post the first input; signals are whoever's who runs the process."""
        self.loop.post(Started(self.config.peers, self.handover.found() if self.handover else 0))

    def reload(self) -> None:
        """Read the configuration again, whole; what can not be used leaves the old one in force."""
        try:
            config = self._reread()
        except ConfigError as error:
            self.loop.post(ReloadFailed(str(error)))
            return
        self.loop.post(Reconfigured(config.peers, fixed_fields(self.config, config)))

    def perform(self, effect: fx.Effect) -> None:
        """Carry out one effect."""
        match effect:
            case fx.SendAnswer(request_ref, answer, value):
                self.fronts[request_ref.connection.front].send(request_ref, answer, value)
            case fx.SendHealthReply(request_ref, good, value):
                self.fronts[request_ref.connection.front].send_health(request_ref, good, value)
            case fx.RunCommand():
                self.kernel.command(effect)
            case fx.PostCall(id, timeout_ms, body, once):
                self.ledger.call(id, timeout_ms, body, once)
            case fx.AbandonCall(id):
                self.ledger.abandon(id)
            case fx.RequestGauges(cookie):
                self.kernel.ask_gauges(cookie)
            case fx.ReportReadiness(on):
                self.roster.report(on)
            case fx.WriteLog(text, fields):
                self._log.line(text, fields)
            case _:
                self._perform_seldom(effect)

    def _perform_seldom(self, effect: fx.Effect) -> None:
        match effect:
            case fx.RequestConnectionClose(name):
                self._with_connection(name, self.fronts[name.front].leave)
            case fx.DeprioritizeConnection(name):
                self._with_connection(name, self.fronts[name.front].doubt)
            case fx.ReadPendingInput():
                for front in self.fronts.values():
                    front.take_in_waiting()
            case fx.CloseConnection(name, unless_input_pending):
                self._with_connection(
                    name,
                    lambda connection: connection.close() if connection.quiet() or not unless_input_pending else None,
                )
            case fx.SendManagementReply(caller, reply):
                self.management.answer(caller, reply)
            case fx.ConnectKernel(number, address):
                self.kernel.connect(number, address)
            case fx.SetLedgerAddress(address):
                self.ledger.use(address)
            case fx.SetRosterAddress(address):
                self.roster.use(address)
            case fx.OpenKernelSession(serial):
                self.kernel.open(serial)
            case fx.Listen(passed):
                self._listen(passed)
            case fx.ListenForManagement():
                self._listen_to_operators()
            case fx.SetConnectionLimit(kind, most):
                self.fronts[kind].most = most
            case fx.ExecuteHandoverDecision(what):
                self.handover.perform(what)
            case fx.ExecuteFleetDecision(what):
                self.fleet.perform(what)
            case fx.StopListening(shared):
                for front in self.fronts.values():
                    front.stop_listening(shared)
            case fx.UpdateServiceRecords(on):
                self._announce(on)
            case fx.Exit():
                self._exit()

    def _with_connection(self, name: ConnectionId, act: Any) -> None:
        connection = self.fronts[name.front].connections.get(name)
        if connection:
            act(connection)

    def _listen_to_operators(self) -> None:
        try:
            self._listens("management", *self.management.listen(self.config.management))
        except CannotListenError as error:
            self._give_up(error)

    def _give_up(self, error: Exception) -> None:
        self._log.line(f"can not listen: {error}")
        self.exit_code = 1
        self.reactor.stop()

    def _listen(self, passed: tuple[str, ...]) -> None:
        """Open the fronts; a scorer that can not listen is of no use and ends.

        Where sockets were passed, those of its own that it took meanwhile stay open beside them.
        """
        if self.handover:
            again = self.thrift.port is not None
            self.handover.adopt(passed, self.fronts)
            self.handover.open()
            if again:
                return
        host, port = self.config.listen
        try:
            self.roster.listen(self.reactor, host)
            thrift_port = self._open(self.thrift, host, port)
            if self.config.scgi:
                self._listen_scgi(self.config.scgi)
            if self.config.scgis:
                self._open(self.fronts["scgis"], *self.config.scgis)
            if self._watch:
                self._watch.start()
            if self.fleet:
                self._listen_fleet(self.fleet)
            if self.config.discovery and self.config.discovery.file.publish:
                self._publish(self.config.discovery, host, thrift_port)
        except CannotListenError as error:
            self._give_up(error)

    def _listen_scgi(self, scgi: ScgiConfig) -> None:
        """Open the second front, and the responder that names the port it has."""
        host, port = scgi.listen
        front = self.fronts["scgi"]
        address = (host, self._open(front, host, port))
        if scgi.dns_listen:
            from sagetrestle.net.transport.dnssd import DnsResponder, ServiceAuthority

            names = [cls.name for cls in self.config.plan.settings.classes]
            self.dns = DnsResponder(
                ServiceAuthority(scgi.domain, scgi.instance, address, names), self.config.plan.bounds.dns
            )
            self._listen_dns(self.dns, scgi.dns_listen)

    def _listen_dns(self, dns: DnsResponder, address: tuple[str, int]) -> None:
        """Answer questions; in an upgrade the older process does, at the same address, until it is gone."""
        try:
            port = dns.listen(self.reactor, address)
        except CannotListenError:
            if not self.handover or not self.handover.succeeds:
                raise
            self.reactor.callLater(DNS_AGAIN_S, self._listen_dns, dns, address)
        else:
            self._listens("dns", address[0], port)

    def _listen_fleet(self, fleet: FleetHost) -> None:
        """Take the other members' links; in an upgrade the older process has them until it is gone."""
        from sagetrestle.store.database import StoreError

        try:
            host, port = fleet.listen()
        except CannotListenError:
            if not self.handover or not self.handover.succeeds:
                raise
            self.reactor.callLater(FLEET_AGAIN_S, self._listen_fleet, fleet)
        except StoreError as error:
            self._give_up(error)
        else:
            self._listens("fleet", host, port)

    def _open(self, front: Front[Any], host: str, port: int) -> int:
        """Take a front's listening socket and return its port, which the machine chose if it was 0."""
        if self.handover:
            front.port = front.port or self.handover.listen(front, host, port, BACKLOG)
        elif front.kind == "scgis":
            front.port = self.reactor.listenSSL(port, front, self._tls.context, BACKLOG, host)
        else:
            front.port = self.reactor.listenTCP(port, front, backlog=BACKLOG, interface=host)
        got = front.port.getHost().port
        self._listens(front.kind, host, got)
        return got

    def _listens(self, kind: str, host: str, port: int) -> None:
        self._log.line(f"{kind} front listens on {host}:{port}")

    def _publish(self, discovery: DiscoveryConfig, host: str, port: int) -> None:
        """Register this scorer in DNS whenever it takes work; its libraries are loaded only here."""
        from sagetrestle.net.program.discovery import PublisherHost, registration

        told = {
            "boot": int(time.time() * 1000),
            "classes": ",".join(cls.name for cls in self.config.plan.settings.classes),
        }
        if "scgi" in self.fronts and self.fronts["scgi"].port is not None:
            told["scgi"] = self.fronts["scgi"].port.getHost().port
        what = registration(discovery, self.config.name, host, port, told)
        self._publisher = PublisherHost(self.reactor, discovery, what, self._log.line, time.time, self.config.plan.seed)
        self._publisher.want(is_ready(self.loop.state) and self.loop.state.policy is not None)

    def _announce(self, on: bool) -> None:
        if self._publisher:
            self._publisher.want(on)
        if self.dns:
            self.dns.authority.publish(on)

    def _exit(self) -> None:
        for front in self.fronts.values():
            front.stop_listening()
            for connection in list(front.connections.values()):
                connection.close()
        if self.handover:
            self.handover.close()
        if self.fleet:
            self.fleet.close()
        self._stop_once_closed(self.reactor.seconds() + EXIT_WITHIN_S)

    def _stop_once_closed(self, latest: float) -> None:
        """End the loop once the other sides have taken all that was written, or the time for that is over."""
        if self.reactor.seconds() < latest and any(front.connections for front in self.fronts.values()):
            self.reactor.callLater(EXIT_POLL_S, self._stop_once_closed, latest)
        else:
            self.reactor.stop()

    def _failed(self, text: str) -> None:
        """Note what should not happen, with where it did."""
        trace = traceback.format_exc().strip().splitlines()
        self._log.line(f"{text} {' | '.join(line.strip() for line in trace[-5:-1])}")


def main() -> int:
    """Run one scorer until it is told to leave."""
    early = signals.EarlySignals()
    reread = partial(read_config, os.environ, SCGI_FILE, IDENTITY_FILE, DISCOVERY_FILE, FLEET_FILE)
    try:
        logger = log.set_up(log.read_form(LOG_FILE))
        config = reread()
    except (ConfigError, ValueError) as error:
        print(f"sagetrestle: {error}", file=sys.stderr)
        return 2
    from twisted.internet import reactor

    reactor.seconds = time.monotonic  # type: ignore[attr-defined]  # timers must not follow steps of Unix time
    try:
        scorer = Scorer(reactor, config, logger, Clock(), reread)
    except ConfigError as error:
        print(f"sagetrestle: {error}", file=sys.stderr)
        return 2
    scorer.start(early)
    gc.freeze()
    gc.set_threshold(*COLLECT)
    reactor.run(installSignalHandlers=False)  # type: ignore[attr-defined]
    return scorer.exit_code
