"""DNS-SD (RFC 6763): publishes the SCGI front as PTR, SRV and TXT records, by unicast DNS on loopback."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from twisted.internet.interfaces import IListeningPort
from twisted.names import common, dns
from twisted.names.authority import FileAuthority
from twisted.names.server import DNSServerFactory
from twisted.protocols.policies import TimeoutFactory

SERVICE = "_scgi._tcp"
IDLE_TIMEOUT_S = 10
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


class BoundedDnsFactory(DNSServerFactory):
    """Limits the number of connections, as file descriptors are limited and requests need some."""

    noisy = False
    max_connections = 0

    def buildProtocol(self, addr: Any) -> Any:
        """Accept a connection if the limit is not reached."""
        return super().buildProtocol(addr) if len(self.connections) < self.max_connections else None


class DnsResponder:
    """Answers DNS questions on one loopback address, over UDP and TCP."""

    def __init__(self, authority: ServiceAuthority, max_connections: int) -> None:
        self.authority, self._max_connections = authority, max_connections
        self.ports: list[IListeningPort] = []

    def listen(self, reactor: Any, address: tuple[str, int]) -> int:
        """Open the UDP and TCP sockets on one port and return it. Raises CannotListenError."""
        factory = BoundedDnsFactory(authorities=[self.authority])
        factory.max_connections = self._max_connections
        protocol = dns.DNSDatagramProtocol(factory)
        protocol.noisy = False
        host, port = address
        tcp = reactor.listenTCP(port, TimeoutFactory(factory, IDLE_TIMEOUT_S), interface=host)
        udp = reactor.listenUDP(tcp.getHost().port, protocol, interface=host)
        self.ports = [tcp, udp]
        return tcp.getHost().port
