"""DNS-SD (RFC 6763): publishes the SCGI front as PTR, SRV and TXT records, by unicast DNS on loopback."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import connectionDone
from twisted.names import common, dns
from twisted.names.authority import FileAuthority
from twisted.names.server import DNSServerFactory
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

SERVICE = "_scgi._tcp"
IDLE_TIMEOUT_S = 10
PACE_WINDOW_S = 0.01
MAX_MESSAGES_PER_WINDOW = 8
TTL_S = 10  # unicast DNS has no goodbye message, so caches keep a withdrawn service for up to this time


class ServiceAuthority(FileAuthority):
    """Serves the records of one service instance, and none of them while it is withdrawn."""

    def __init__(self, domain: str, instance: str, address: tuple[str, int], classes: list[str]) -> None:
        common.ResolverBase.__init__(self)
        self._cache: dict[Any, Any] = {}
        self.soa = (
            domain.encode(),
            dns.Record_SOA(
                f"ns.{domain}",
                f"hostmaster.{domain}",
                serial=1,
                refresh=TTL_S,
                retry=TTL_S,
                expire=TTL_S,
                minimum=TTL_S,
                ttl=TTL_S,
            ),
        )
        self._service = _service_records(domain, instance, address, classes)
        self.records: dict[bytes, list[Any]] = {}
        self.publish(False)

    def publish(self, published: bool) -> None:
        """Publish or withdraw the service; the SOA record of the zone is always served."""
        self.records = {self.soa[0].lower(): [self.soa[1]], **(self._service if published else {})}

    def _additionalRecords(self, answer: list[Any], authority: list[Any], ttl: int) -> Iterator[Any]:
        """Add the records that a client needs next (RFC 6763, section 12): SRV and TXT for PTR, addresses for SRV."""
        for record in answer:
            if record.type == dns.PTR:
                services = list(self._named(record.payload.name.name, dns.SRV, dns.TXT))
                yield from services
                yield from self._additionalRecords([header for header in services if header.type == dns.SRV], [], ttl)
            elif record.type == dns.SRV:
                yield from self._named(record.payload.target.name, dns.A, dns.AAAA)

    def _named(self, name: bytes, *types: int) -> Iterator[Any]:
        for record in self.records.get(name.lower(), ()):
            if record.TYPE in types:
                yield dns.RRHeader(name, record.TYPE, dns.IN, record.ttl, record, auth=True)


def _service_records(
    domain: str, instance: str, address: tuple[str, int], classes: list[str]
) -> dict[bytes, list[Any]]:
    host, port = address
    service_type, target = f"{SERVICE}.{domain}", f"{instance}.{domain}"
    name = f"{instance}.{service_type}"
    location = dns.Record_AAAA(host, ttl=TTL_S) if ":" in host else dns.Record_A(host, ttl=TTL_S)
    records_by_name = {
        f"_services._dns-sd._udp.{domain}": [dns.Record_PTR(service_type, ttl=TTL_S)],
        service_type: [dns.Record_PTR(name, ttl=TTL_S)],
        name: [
            dns.Record_SRV(0, 0, port, target, ttl=TTL_S),
            dns.Record_TXT(b"txtvers=1", f"classes={','.join(classes)}".encode()[:255], ttl=TTL_S),
        ],
        target: [location],
    }
    return {key.lower().encode(): records for key, records in records_by_name.items()}


class MessagePace:
    """Limits how many questions are answered in a time, over UDP and all connections together.

    Any client can send questions faster than they are answered; what is read in one go delays all other work.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._window_end_s, self._count = 0.0, 0

    def take(self) -> None:
        """Count a message that was read."""
        now = self._reactor.seconds()
        if now >= self._window_end_s:
            self._window_end_s, self._count = now + PACE_WINDOW_S, 0
        self._count += 1

    def wait_s(self) -> float:
        """Return for how long nothing more may be read, 0 if there is room for a message."""
        if self._count < MAX_MESSAGES_PER_WINDOW:
            return 0.0
        return max(0.0, self._window_end_s - self._reactor.seconds())


class PacedDnsProtocol(dns.DNSProtocol, TimeoutMixin):
    """A connection that reads at the common pace, and nothing while its answers are not taken."""

    factory: BoundedDnsFactory
    _write_blocked = False
    _resume_call: Any = None

    def connectionMade(self) -> None:  # noqa: D102
        super().connectionMade()
        self.transport.registerProducer(self, True)
        self.setTimeout(IDLE_TIMEOUT_S)

    def callLater(self, seconds: float, callback: Any) -> Any:
        """Schedule a call on the factory's reactor, for ``TimeoutMixin``."""
        return self.factory.reactor.callLater(seconds, callback)

    def stringReceived(self, data: bytes) -> None:  # noqa: D102
        self.resetTimeout()
        self.factory.pace.take()
        super().stringReceived(data)
        self._wait_for_room()

    def _wait_for_room(self) -> None:
        """Pause reading until the common pace allows another message."""
        wait_s = self.factory.pace.wait_s()
        if wait_s and self._resume_call is None:
            super().pauseProducing()
            self._resume_call = self.callLater(wait_s, self._resume)

    def _resume(self) -> None:
        self._resume_call = None
        self._wait_for_room()
        if self._resume_call is None and not self._write_blocked:
            super().resumeProducing()

    def pauseProducing(self) -> None:
        """Stop reading, as answers are not taken."""
        self._write_blocked = True
        super().pauseProducing()

    def resumeProducing(self) -> None:
        """Read on, as answers were taken."""
        self._write_blocked = False
        if self._resume_call is None:
            super().resumeProducing()

    def timeoutConnection(self) -> None:
        """Abort a connection that is idle, or whose answers are not taken."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self.setTimeout(None)
        if self._resume_call is not None:
            self._resume_call.cancel()
        super().connectionLost(reason)


class PacedDatagramProtocol(dns.DNSDatagramProtocol):
    """The datagrams, read at the common pace; others wait at the socket, which drops them once it is full."""

    noisy = False

    def __init__(self, factory: BoundedDnsFactory) -> None:
        super().__init__(factory)
        self._factory = factory

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:  # noqa: D102
        self._factory.pace.take()
        super().datagramReceived(data, addr)
        self._wait_for_room()

    def _wait_for_room(self) -> None:
        wait_s = self._factory.pace.wait_s()
        # An empty datagram counts for nothing in the port's loop, which would go on as long as there are more.
        self.transport.maxThroughput = 0 if wait_s else 1
        if wait_s:
            self.transport.stopReading()
            self._factory.reactor.callLater(wait_s, self._resume)

    def _resume(self) -> None:
        if self.transport is None:  # closed meanwhile
            return
        self.transport.startReading()
        self._wait_for_room()


class BoundedDnsFactory(DNSServerFactory):
    """Limits the number of connections, as file descriptors are limited and requests need some."""

    noisy = False
    protocol = PacedDnsProtocol

    def __init__(self, reactor: Any, authority: ServiceAuthority, max_connections: int) -> None:
        super().__init__(authorities=[authority])
        self.reactor, self.pace, self._max_connections = reactor, MessagePace(reactor), max_connections

    def buildProtocol(self, addr: Any) -> Any:
        """Accept a connection; at the limit the oldest one is aborted, so that idle ones keep nobody out."""
        if len(self.connections) >= self._max_connections:
            self.connections.pop(0).transport.abortConnection()
        return super().buildProtocol(addr)

    def connectionLost(self, protocol: Any) -> None:
        """Forget a connection, unless it has made room before."""
        if protocol in self.connections:
            super().connectionLost(protocol)


class DnsResponder:
    """Answers DNS questions on one loopback address, over UDP and TCP."""

    def __init__(self, authority: ServiceAuthority, max_connections: int) -> None:
        self.authority, self._max_connections = authority, max_connections
        self.ports: list[IListeningPort] = []

    def listen(self, reactor: Any, address: tuple[str, int]) -> int:
        """Open the UDP and TCP sockets on one port and return it. Raises CannotListenError."""
        factory = BoundedDnsFactory(reactor, self.authority, self._max_connections)
        host, port = address
        tcp = reactor.listenTCP(port, factory, interface=host)
        udp = reactor.listenUDP(tcp.getHost().port, PacedDatagramProtocol(factory), interface=host)
        udp.maxThroughput = 1  # one datagram a turn of the reactor, so that the pace holds
        self.ports = [tcp, udp]
        return tcp.getHost().port
