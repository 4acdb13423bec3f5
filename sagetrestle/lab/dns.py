"""A stand-in DNS server: one zone, updates under leases, push, and faults as settings that a test may change.

Written from RFC 1035, 2136, 8945, 9664 and 8765 over dnspython; it keeps what the tests need and no more.
"""

from __future__ import annotations

import asyncio
import random
import struct
import time
from dataclasses import dataclass, field

import dns.edns
import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdata
import dns.rdataclass
import dns.rdatatype
import dns.rrset
import dns.tsig

from sagetrestle.net.protocol import dns_push
from sagetrestle.net.protocol.dns_wire import UPDATE_LEASE_OPTION, name_text

Key = tuple[str, int]  # name and type


@dataclass
class Faults:
    """What goes wrong, changed while it runs; shares are of datagrams or of questions."""

    loss: float = 0.0
    delay_s: float = 0.0
    servfail: float = 0.0
    truncate: bool = False
    outage: bool = False  # nothing is read and nothing is written
    old_serial: bool = False
    half: bool = False  # pointers beyond the first half are left out
    forged: int = 0  # answers with a wrong id or question ahead of each right one
    loop: bool = False  # answers hold a compression pointer to itself
    lose_withdrawals: bool = False  # updates that delete are answered by nobody and not carried out
    no_push: bool = False
    clock_ahead_s: int = 0


@dataclass
class Counts:
    """What was asked of it."""

    questions: int = 0
    updates: int = 0
    refused: int = 0
    lapsed: int = 0
    pushed: int = 0


@dataclass
class DnsStandIn:
    """One zone on one loopback port, UDP and TCP."""

    zone: str = "example.org"
    key: dns.tsig.Key | None = None
    lease_most_s: float = 3600.0
    seed: int = 1
    faults: Faults = field(default_factory=Faults)
    counts: Counts = field(default_factory=Counts)
    serial: int = 1
    records: dict[Key, dict[dns.rdata.Rdata, tuple[int, float]]] = field(default_factory=dict)

    async def start(self, port: int = 0) -> DnsStandIn:
        """Listen; the port is then ``self.port``."""
        self._rng = random.Random(self.seed)
        self._sessions: dict[asyncio.StreamWriter, set[Key]] = {}
        loop = asyncio.get_running_loop()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._udp, _ = await loop.create_datagram_endpoint(lambda: _Datagrams(self), ("127.0.0.1", self.port))
        self._lapsing = asyncio.create_task(self._lapse())
        return self

    def close(self) -> None:
        """Stop."""
        self._lapsing.cancel()
        self._udp.close()
        self._server.close()
        for writer in self._sessions:
            writer.close()

    # Records

    def put(self, name: str, kind: str, text: str, ttl: int = 10, until: float = float("inf")) -> None:
        """Put a record in, and push it."""
        one = dns.rdata.from_text(dns.rdataclass.IN, dns.rdatatype.from_text(kind), text)
        self._add(name.lower(), ttl, one, until)
        self._push([(name, ttl, one)], [])

    def _add(self, name: str, ttl: int, one: dns.rdata.Rdata, until: float) -> None:
        self.serial += 1
        self.records.setdefault((name, one.rdtype), {})[one] = (ttl, until)

    def take_out(self, name: str, kind: int, one: dns.rdata.Rdata | None = None) -> None:
        """Take one record out, or all of a name and type, and push that."""
        line = self.records.get((name, kind), {})
        gone = [one] if one is not None and one in line else list(line) if one is None else []
        for old in gone:
            del line[old]
        if gone:
            self.serial += 1
            self._push([], [(name, old) for old in gone])

    async def _lapse(self) -> None:
        """Forget records whose lease is over."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for (name, kind), line in list(self.records.items()):
                for one in [one for one, (_, until) in line.items() if until <= now]:
                    self.counts.lapsed += kind == dns.rdatatype.PTR
                    self.take_out(name, kind, one)

    # Answers

    def answer(self, data: bytes, tcp: bool) -> list[bytes]:
        """Return what is sent back for a message: the right answer last, forged ones ahead."""
        try:
            message = dns.message.from_wire(data, keyring=False)
        except (dns.exception.DNSException, ValueError):
            return []
        if message.opcode() == dns.opcode.UPDATE:
            reply = self._update(data)
            return [reply] if reply is not None else []
        self.counts.questions += 1
        if self._rng.random() < self.faults.servfail:
            reply = dns.message.make_response(message)
            reply.set_rcode(dns.rcode.SERVFAIL)
            return [reply.to_wire()]
        right = self._question(message, tcp)
        if self.faults.loop:
            return [right[:12] + b"\xc0\x0c" + right[12:]]
        return [right] if tcp else [*self._forged(message), right]  # who forges is not on the path

    def _forged(self, message: dns.message.Message) -> list[bytes]:
        made = []
        for _ in range(self.faults.forged):
            false = dns.message.make_response(message)
            false.id = message.id ^ 1
            rrset = dns.rrset.from_text(message.question[0].name, 10, "IN", "PTR", f"evil.{self.zone}.")
            false.answer.append(rrset)
            made.append(false.to_wire())
        return made

    def _question(self, message: dns.message.Message, tcp: bool) -> bytes:
        reply = dns.message.make_response(message)
        reply.flags |= dns.flags.AA
        asked = message.question[0]
        name = name_text(asked.name)
        found = self._rrset(name, asked.rdtype)
        if found is not None:
            reply.answer.append(found)
            reply.additional += self._along(found)
        elif not any(known == name for known, _ in self.records if self.records[(known, _)]):
            reply.set_rcode(dns.rcode.NXDOMAIN)
        soa = f"ns.{self.zone}. h.{self.zone}. {1 if self.faults.old_serial else self.serial} 60 60 60 1"
        reply.authority.append(dns.rrset.from_text(f"{self.zone}.", 1, "IN", "SOA", soa))
        return self._fitted(reply, tcp)

    def _fitted(self, reply: dns.message.Message, tcp: bool) -> bytes:
        if tcp:
            return reply.to_wire(max_size=65_535)
        if not self.faults.truncate:
            for _ in range(2):
                try:
                    return reply.to_wire(max_size=1232)
                except dns.exception.TooBig:
                    reply.additional = []
        reply.answer, reply.additional, reply.authority = [], [], []
        reply.flags |= dns.flags.TC
        return reply.to_wire()

    def _rrset(self, name: str, kind: int) -> dns.rrset.RRset | None:
        line = list(self.records.get((name, kind), {}).items())
        if self.faults.half and kind == dns.rdatatype.PTR:
            line = line[: len(line) // 2]
        if not line:
            return None
        return dns.rrset.from_rdata_list(dns.name.from_text(name), line[0][1][0], [one for one, _ in line])

    def _along(self, found: dns.rrset.RRset) -> list[dns.rrset.RRset]:
        """Return what is asked next (RFC 6763, 12)."""
        along: dict[Key, dns.rrset.RRset] = {}
        names = [name_text(one.target) for one in found if found.rdtype in (dns.rdatatype.PTR, dns.rdatatype.SRV)]
        for name in names:
            for kind in (dns.rdatatype.SRV, dns.rdatatype.TXT, dns.rdatatype.A):
                rrset = self._rrset(name, kind)
                if rrset is not None:
                    along[(name, kind)] = rrset
                    if kind == dns.rdatatype.SRV:
                        for host in (name_text(one.target) for one in rrset):
                            if (address := self._rrset(host, dns.rdatatype.A)) is not None:
                                along[(host, dns.rdatatype.A)] = address
        return list(along.values())

    # Updates

    def _update(self, data: bytes) -> bytes | None:
        self.counts.updates += 1
        try:
            message = self._verified(data)
        except dns.tsig.BadTime:
            return self._bad_time(data)
        except (dns.exception.DNSException, ValueError):
            self.counts.refused += 1
            refused = dns.message.make_response(dns.message.from_wire(data, keyring=False))
            refused.set_rcode(dns.rcode.NOTAUTH)
            return refused.to_wire()
        lease = self._lease(message)
        withdraws = all(rrset.deleting is not None for rrset in message.authority)
        if withdraws and self.faults.lose_withdrawals:
            return None
        self._carry_out(message, lease)
        reply = dns.message.make_response(message)
        option = dns.edns.GenericOption(UPDATE_LEASE_OPTION, struct.pack("!I", int(lease)))
        reply.use_edns(0, options=[option])
        if self.key is not None:
            reply.use_tsig(self.key)
            reply.request_mac = message.mac
        return reply.to_wire()

    def _verified(self, data: bytes) -> dns.message.Message:
        """Read an update whose signature holds by this server's own clock (RFC 8945, 5.2)."""
        message = dns.message.from_wire(data, keyring=False)
        if self.key is None:
            return message
        if message.tsig is None or message.tsig.name != self.key.name:
            raise dns.tsig.BadKey
        signature = message.tsig[0]
        size = len(message.tsig.name.to_wire()) + 10 + len(signature.to_wire())  # the last record, uncompressed
        now = int(time.time()) + self.faults.clock_ahead_s
        dns.tsig.validate(data, self.key, self.key.name, signature, now, b"", len(data) - size)
        return message

    def _bad_time(self, data: bytes) -> bytes:
        """Say that the clocks are apart, with this one's time (RFC 8945, 5.2.3)."""
        message = dns.message.from_wire(data, keyring=False)
        reply = dns.message.make_response(message)
        reply.set_rcode(dns.rcode.NOTAUTH)
        assert self.key is not None
        now = int(time.time()) + self.faults.clock_ahead_s
        reply.use_tsig(self.key, tsig_error=dns.rcode.BADTIME, other_data=now.to_bytes(6, "big"))
        reply.request_mac = message.mac
        return reply.to_wire()

    def _lease(self, message: dns.message.Message) -> float:
        for option in message.options:
            if option.otype == UPDATE_LEASE_OPTION:
                asked = struct.unpack("!I", option.to_wire()[:4])[0]  # type: ignore[index]
                return min(asked, self.lease_most_s)
        return self.lease_most_s

    def _carry_out(self, message: dns.message.Message, lease: float) -> None:
        """Carry out an update's records in order (RFC 2136, 3.4.2), and push what changed."""
        until = time.monotonic() + lease
        added = []
        for rrset in message.authority:
            name = name_text(rrset.name)
            deletes = rrset.deleting
            if deletes == dns.rdataclass.ANY:
                kinds = (
                    [kind for known, kind in self.records if known == name]
                    if rrset.rdtype == dns.rdatatype.ANY
                    else [rrset.rdtype]
                )
                for kind in kinds:
                    self.take_out(name, kind)
            elif deletes == dns.rdataclass.NONE:
                for one in rrset:
                    self.take_out(name, rrset.rdtype, one)
            else:
                for one in rrset:
                    self._add(name, rrset.ttl, one, until)
                    added.append((name, rrset.ttl, one))
        if added:
            self._push(added, [])

    # Streams and push

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                size = int.from_bytes(await reader.readexactly(2), "big")
                data = await reader.readexactly(size)
                if self.faults.outage:
                    continue
                if data[2] >> 3 & 0xF == dns_push.OPCODE:
                    self._session(data, writer)
                else:
                    for reply in self.answer(data, tcp=True):
                        writer.write(dns_push.frame(reply))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._sessions.pop(writer, None)
            writer.close()

    def _session(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        message = dns_push.decode(data)
        id = struct.unpack("!H", data[:2])[0]
        if self.faults.no_push:
            writer.write(dns_push.frame(dns_push.encode_acknowledged(id, 4)))  # NOTIMP
            return
        writer.write(dns_push.frame(dns_push.encode_acknowledged(id, 0)))
        if isinstance(message, dns_push.Subscribe):
            self._sessions.setdefault(writer, set()).add((message.name, dns.rdatatype.from_text(message.kind)))
            line = self.records.get((message.name, dns.rdatatype.from_text(message.kind)), {})
            if line:
                now = [(message.name, ttl, one) for one, (ttl, _) in line.items()]
                writer.write(dns_push.frame(dns_push.encode_changes(now, [])))

    def _push(self, added: list[tuple[str, int, dns.rdata.Rdata]], removed: list[tuple[str, dns.rdata.Rdata]]) -> None:
        """Push to sessions that subscribed to the pointers: theirs, and the records of what they point to."""
        if self.faults.outage or not (added or removed):
            return
        data = dns_push.frame(dns_push.encode_changes(added, removed))
        for writer in list(self._sessions):
            if not writer.is_closing():
                self.counts.pushed += 1
                writer.write(data)


class _Datagrams(asyncio.DatagramProtocol):
    """The server's datagram side, with loss and delay."""

    def __init__(self, server: DnsStandIn) -> None:
        self._server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer, unless it is lost on its way here or there."""
        server, faults = self._server, self._server.faults
        if faults.outage or server._rng.random() < faults.loss:
            return
        for reply in server.answer(data, tcp=False):
            if server._rng.random() >= faults.loss:
                asyncio.get_running_loop().call_later(faults.delay_s, self._send, reply, addr)

    def _send(self, data: bytes, addr: tuple[str, int]) -> None:
        if not self._transport.is_closing():
            self._transport.sendto(data, addr)  # type: ignore[attr-defined]
