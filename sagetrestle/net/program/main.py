"""The scorer process: builds the fronts, the clients and the turn loop, and carries out the loop's effects."""

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
from sagetrestle.net.program.config import Config, ConfigError, ScgiConfig, changed_restart_fields, read_config
from sagetrestle.net.program.loop import TurnLoop
from sagetrestle.net.routing import effects as fx
from sagetrestle.net.routing.health import is_ready
from sagetrestle.net.routing.inputs import Reconfigured, ReloadFailed, Started, StopRequested
from sagetrestle.net.routing.reducer import HANDLERS
from sagetrestle.net.routing.state import attach_handover, new_state
from sagetrestle.net.routing.values import ConnectionId
from sagetrestle.net.transport.connection import LISTEN_BACKLOG, Front
from sagetrestle.net.transport.connection_ends import Post
from sagetrestle.net.transport.input_budget import InputBudget
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

GC_THRESHOLDS = (5_000, 10, 10)  # few objects are part of reference cycles, so infrequent collection is enough
DNS_LISTEN_RETRY_S = 0.25  # while the old process of an upgrade still has the address
FLEET_LISTEN_RETRY_S = 0.1  # likewise
EXIT_FLUSH_TIMEOUT_S = 0.1  # how long the exit waits for clients to receive the last answers
EXIT_FLUSH_POLL_S = 0.005  # between two checks whether all connections are closed
SCGI_FILE = Path("deploy/scgi.toml")
IDENTITY_FILE = Path("deploy/identity.toml")
LOG_FILE = Path("deploy/log.toml")
DISCOVERY_FILE = Path("deploy/discovery.toml")
FLEET_FILE = Path("deploy/fleet.toml")


class Scorer:
    """One scorer: its front ends, its clients of kernel, ledger and roster, and the turn loop that connects them."""

    def __init__(
        self,
        reactor: Any,
        config: Config,
        logger: Any,
        clock: Clock,
        load_config: Callable[[], Config],
        create_backend: Callable[[Any, Post], Any] = KernelLink,
    ) -> None:
        self.reactor, self.config, self._load_config, self._clock = reactor, config, load_config, clock
        authenticator = config.identity.authenticator() if config.identity else None
        handlers = dict(HANDLERS)
        self.loop = TurnLoop(
            reactor, clock, new_state(config.plan, authenticator), self.perform, self._log_failure, handlers
        )
        self._log = log.RateLimitedLog(logger.info, lambda: self.loop.now, fields=hasattr(logger, "bind"))
        post = self.loop.post
        bounds = config.plan.bounds
        self.thrift = ThriftFront(reactor, config.plan.settings, post, bounds.connections["thrift"], clock.from_unix_ms)
        self.fronts: dict[str, Front[Any]] = {"thrift": self.thrift}
        self.thrift.input_budget = self._input_budget = InputBudget(bounds.input_bytes)
        self.kernel = create_backend(reactor, post)
        self.ledger = LedgerPool(reactor, post, bounds.calls)
        self.roster = Roster(config.name)
        self.dns: DnsResponder | None = None
        self.management: ManagementFront | None = None
        self.handover: Handover | None = None
        self.exit_code = 0
        self._tls: Any = None
        self._identity_watch: Any = None
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
        """Set up hot restarts; their modules are imported only here."""
        from sagetrestle.net.program.handover import Handover
        from sagetrestle.net.routing.handover import HANDLERS as HANDOVER_HANDLERS
        from sagetrestle.net.routing.handover import HandoverCoordinator

        handlers |= HANDOVER_HANDLERS
        host, port = self.config.listen
        attach_handover(self.loop.state, HandoverCoordinator(self.config.plan, self.config.name, f"{host}:{port}"))
        self.handover = Handover(
            reactor, post, self.config.shared, self.config.name, self._log.line, lambda: self._tls and self._tls.context
        )

    def _add_fleet(self, fleet: FleetConfig, handlers: dict[type, Any]) -> None:
        """Set up fleet membership; its modules are imported only here. Raises ConfigError if the store is unusable."""
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
        """Add the SCGI front ``scgi``, or ``scgis`` with TLS."""
        plan = self.config.plan
        self.fronts[kind] = ScgiFront(self.reactor, plan.settings, post, plan.bounds, held_kb, kind, credentials)
        self.fronts[kind].input_budget = self._input_budget

    def _add_identity(self, identity: IdentityConfig, post: Post) -> CredentialReader:
        """Set up identity checks and the SCGI front with TLS; their libraries are imported only here."""
        from twisted.internet.threads import deferToThreadPool

        from sagetrestle.net.program.identity import IdentityWatch
        from sagetrestle.net.transport.credentials import CredentialReader

        credentials = CredentialReader(frozenset(identity.file.trusted_peers))
        self.thrift.maps_tenants = True
        if self.config.scgis:
            from sagetrestle.net.transport.tls import TlsFront

            self._tls = TlsFront(identity.paths())
            held_kb = self.config.scgi.held_kb if self.config.scgi else ScgiConfig.held_kb
            self._add_scgi("scgis", held_kb, post, credentials)
        classes = frozenset(request_class.name for request_class in self.config.plan.settings.classes)
        reactor = self.reactor
        self._identity_watch = IdentityWatch(
            reactor,
            identity,
            classes,
            post,
            lambda load: deferToThreadPool(reactor, reactor.getThreadPool(), load),
            self._tls,
        )
        return credentials

    def start(self, early: signals.EarlySignals) -> None:
        """Install the signal handlers, post the first input, and handle the signals that came earlier."""
        signals.install_stop_handler(self.reactor, lambda: self.loop.post(StopRequested()))
        signals.install_reload_handler(self.reactor, self.reload)
        self.begin()
        if early.reload_requested:
            self.reload()
        if early.stop_requested:
            self.loop.post(StopRequested())

    def begin(self) -> None:
        """Post the first input without installing signal handlers, which are left to the caller."""
        self.loop.post(Started(self.config.peers, self.handover.found() if self.handover else 0))

    def reload(self) -> None:
        """Read the whole configuration again; if it is invalid, the old one stays in force."""
        try:
            config = self._load_config()
        except ConfigError as error:
            self.loop.post(ReloadFailed(str(error)))
            return
        self.loop.post(Reconfigured(config.peers, changed_restart_fields(self.config, config)))

    def perform(self, effect: fx.Effect) -> None:
        """Carry out one effect of a turn."""
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
                self._perform_infrequent(effect)

    def _perform_infrequent(self, effect: fx.Effect) -> None:
        """Carry out an effect that is too infrequent for the first match statement."""
        match effect:
            case fx.RequestConnectionClose(name):
                self._with_connection(name, self.fronts[name.front].stop_new_requests)
            case fx.DeprioritizeConnection(name):
                self._with_connection(name, self.fronts[name.front].mark_suspect)
            case fx.ReadPendingInput():
                for front in self.fronts.values():
                    front.read_pending_input()
            case fx.CloseConnection(name, unless_input_pending):
                self._with_connection(
                    name,
                    lambda connection: (
                        connection.close() if connection.can_close_safely() or not unless_input_pending else None
                    ),
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
                self._listen_for_management()
            case fx.SetConnectionLimit(kind, limit):
                self.fronts[kind].max_connections = limit
            case fx.ExecuteHandoverDecision(decision):
                self.handover.perform(decision)
            case fx.ExecuteFleetDecision(decision):
                self.fleet.perform(decision)
            case fx.StopListening(shared):
                for front in self.fronts.values():
                    front.stop_listening(shared)
            case fx.UpdateServiceRecords(on):
                self._update_service_records(on)
            case fx.Exit():
                self._exit()

    def _with_connection(self, name: ConnectionId, action: Any) -> None:
        """Call ``action`` with the named connection if it is still open."""
        connection = self.fronts[name.front].connections.get(name)
        if connection:
            action(connection)

    def _listen_for_management(self) -> None:
        try:
            self._log_listening("management", *self.management.listen(self.config.management))
        except CannotListenError as error:
            self._fail_startup(error)

    def _fail_startup(self, error: Exception) -> None:
        """Stop the process with exit code 1."""
        self._log.line(f"can not listen: {error}")
        self.exit_code = 1
        self.reactor.stop()

    def _listen(self, passed: tuple[str, ...]) -> None:
        """Open the fronts; if one can not listen, the process exits.

        Listening sockets passed by the old process are adopted beside those that this process already opened.
        """
        if self.handover:
            already_listening = self.thrift.port is not None
            self.handover.adopt(passed, self.fronts)
            self.handover.open()
            if already_listening:
                return
        host, port = self.config.listen
        try:
            self.roster.listen(self.reactor, host)
            thrift_port = self._open_front(self.thrift, host, port)
            if self.config.scgi:
                self._listen_scgi(self.config.scgi)
            if self.config.scgis:
                self._open_front(self.fronts["scgis"], *self.config.scgis)
            if self._identity_watch:
                self._identity_watch.start()
            if self.fleet:
                self._listen_fleet(self.fleet)
            if self.config.discovery and self.config.discovery.file.publish:
                self._publish(self.config.discovery, host, thrift_port)
        except CannotListenError as error:
            self._fail_startup(error)

    def _listen_scgi(self, scgi: ScgiConfig) -> None:
        """Open the SCGI front, and the DNS-SD responder that announces its port."""
        host, port = scgi.listen
        front = self.fronts["scgi"]
        address = (host, self._open_front(front, host, port))
        if scgi.dns_listen:
            from sagetrestle.net.transport.dnssd import DnsResponder, ServiceAuthority

            names = [request_class.name for request_class in self.config.plan.settings.classes]
            self.dns = DnsResponder(
                ServiceAuthority(scgi.domain, scgi.instance, address, names), self.config.plan.bounds.dns
            )
            self._listen_dns(self.dns, scgi.dns_listen)

    def _listen_dns(self, dns: DnsResponder, address: tuple[str, int]) -> None:
        """Start the DNS responder; in an upgrade, retry until the old process has released the address."""
        try:
            port = dns.listen(self.reactor, address)
        except CannotListenError:
            if not self.handover or not self.handover.has_old_process:
                raise
            self.reactor.callLater(DNS_LISTEN_RETRY_S, self._listen_dns, dns, address)
        else:
            self._log_listening("dns", address[0], port)

    def _listen_fleet(self, fleet: FleetHost) -> None:
        """Listen for other members' links; in an upgrade, retry until the old process has released the address."""
        from sagetrestle.store.database import StoreError

        try:
            host, port = fleet.listen()
        except CannotListenError:
            if not self.handover or not self.handover.has_old_process:
                raise
            self.reactor.callLater(FLEET_LISTEN_RETRY_S, self._listen_fleet, fleet)
        except StoreError as error:
            self._fail_startup(error)
        else:
            self._log_listening("fleet", host, port)

    def _open_front(self, front: Front[Any], host: str, port: int) -> int:
        """Open a front's listening socket and return its port, chosen by the operating system if ``port`` is 0."""
        if self.handover:
            front.port = front.port or self.handover.listen(front, host, port, LISTEN_BACKLOG)
        elif front.kind == "scgis":
            front.port = self.reactor.listenSSL(port, front, self._tls.context, LISTEN_BACKLOG, host)
        else:
            front.port = self.reactor.listenTCP(port, front, backlog=LISTEN_BACKLOG, interface=host)
        bound_port = front.port.getHost().port
        self._log_listening(front.kind, host, bound_port)
        return bound_port

    def _log_listening(self, kind: str, host: str, port: int) -> None:
        self._log.line(f"{kind} front listens on {host}:{port}")

    def _publish(self, discovery: DiscoveryConfig, host: str, port: int) -> None:
        """Register this scorer in DNS while it accepts work; the modules for it are imported only here."""
        from sagetrestle.net.program.discovery import PublisherHost, build_registration

        service_text = {
            "boot": int(time.time() * 1000),
            "classes": ",".join(request_class.name for request_class in self.config.plan.settings.classes),
        }
        if "scgi" in self.fronts and self.fronts["scgi"].port is not None:
            service_text["scgi"] = self.fronts["scgi"].port.getHost().port
        registration = build_registration(discovery, self.config.name, host, port, service_text)
        self._publisher = PublisherHost(
            self.reactor, discovery, registration, self._log.line, time.time, self.config.plan.seed
        )
        self._publisher.set_registered(is_ready(self.loop.state) and self.loop.state.policy is not None)

    def _update_service_records(self, on: bool) -> None:
        if self._publisher:
            self._publisher.set_registered(on)
        if self.dns:
            self.dns.authority.publish(on)

    def _exit(self) -> None:
        """Close all sockets, and stop the reactor once the last answers are sent."""
        for front in self.fronts.values():
            front.stop_listening()
            for connection in list(front.connections.values()):
                connection.close()
        if self.handover:
            self.handover.close()
        if self.fleet:
            self.fleet.close()
        self._stop_once_closed(self.reactor.seconds() + EXIT_FLUSH_TIMEOUT_S)

    def _stop_once_closed(self, latest: float) -> None:
        """Stop the reactor once all front connections have closed, or at reactor time ``latest`` (seconds)."""
        if self.reactor.seconds() < latest and any(front.connections for front in self.fronts.values()):
            self.reactor.callLater(EXIT_FLUSH_POLL_S, self._stop_once_closed, latest)
        else:
            self.reactor.stop()

    def _log_failure(self, text: str) -> None:
        """Log an unexpected exception with the last lines of its traceback."""
        trace = traceback.format_exc().strip().splitlines()
        self._log.line(f"{text} {' | '.join(line.strip() for line in trace[-5:-1])}")


def main() -> int:
    """Run one scorer until it is told to stop; returns the exit code, 2 if the configuration is invalid."""
    early = signals.EarlySignals()
    load_config = partial(read_config, os.environ, SCGI_FILE, IDENTITY_FILE, DISCOVERY_FILE, FLEET_FILE)
    try:
        logger = log.set_up(log.read_log_format(LOG_FILE))
        config = load_config()
    except (ConfigError, ValueError) as error:
        print(f"sagetrestle: {error}", file=sys.stderr)
        return 2
    from twisted.internet import reactor

    reactor.seconds = time.monotonic  # type: ignore[attr-defined]  # timers must not follow steps of the Unix clock
    try:
        scorer = Scorer(reactor, config, logger, Clock(), load_config)
    except ConfigError as error:
        print(f"sagetrestle: {error}", file=sys.stderr)
        return 2
    scorer.start(early)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    reactor.run(installSignalHandlers=False)  # type: ignore[attr-defined]
    signals.ignore_signals()
    return scorer.exit_code
