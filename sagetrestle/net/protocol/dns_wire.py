"""DNS messages for discovery, by dnspython: questions, updates with a lease, and their answers.

Questions follow RFC 1035 and 6763, updates RFC 2136, their signatures RFC 8945 and their leases RFC 9664. Nothing here
does I/O or reads a clock: the times of signatures are parameters.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import dns.edns
import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rdtypes.ANY.TSIG
import dns.rrset
import dns.tsig
import dns.update

from sagetrestle.net.protocol.errors import ProtocolError

UPDATE_LEASE_OPTION = 2  # code of the EDNS option (RFC 9664, 4)
MAX_DATAGRAM_BYTES = 1232  # UDP payload that avoids IP fragmentation
TSIG_FUDGE_S = 300
RECORD_TYPES = ("PTR", "SRV", "TXT", "A", "AAAA", "SOA")
RECORD_TTL_S = 10  # of registered records; caches may use a withdrawn record for up to this time


class WireRecord(NamedTuple):
    """One record: its name without the final dot, its type, its data and its TTL.

    By type, the data is a name (PTR), (priority, weight, port, target) (SRV), a mapping of pairs (TXT), an address
    (A, AAAA) or a serial number (SOA).
    """

    name: str
    kind: str
    data: object
    ttl_s: int


class Answer(NamedTuple):
    """An answer to a question."""

    rcode: str
    truncated: bool
    records: tuple[WireRecord, ...]
    serial: int | None

    @property
    def missing(self) -> bool:
        """Return whether it is a negative answer (RFC 2308): no such name, or no records of this type."""
        return self.rcode == "NXDOMAIN" or (self.rcode == "NOERROR" and not self.records)


class Registration(NamedTuple):
    """The registration of an instance: ``zone`` is updated, and ``service`` is the name of its PTR record."""

    zone: str
    service: str
    instance: str
    host: str
    address: str
    port: int
    priority: int = 0
    weight: int = 1
    text: tuple[tuple[str, str], ...] = ()


class Signer(NamedTuple):
    """A TSIG key; ``clock_offset_s`` is added to the local clock to match the server's."""

    key: dns.tsig.Key
    clock_offset_s: int = 0


class UpdateAnswer(NamedTuple):
    """An answer to an update; ``server_s`` is the server's time if it reports BADTIME."""

    rcode: str
    lease_s: int = 0
    server_s: int | None = None


def encode_question(id: int, name: str, kind: str) -> bytes:
    """Encode a question, with EDNS for answers of more than 512 octets."""
    message = dns.message.make_query(_name(name), kind, use_edns=0, payload=MAX_DATAGRAM_BYTES, id=id)
    return message.to_wire()


def decode_answer(data: bytes, id: int, name: str, kind: str) -> Answer:
    """Decode the answer to a question.

    Raises ProtocolError for a malformed message or an answer to something else: to forge one, the id and the port must
    be guessed and the question repeated (RFC 5452).
    """
    message = _message(data)
    if message.id != id or not message.flags & dns.flags.QR:
        raise ProtocolError("an answer to another question")
    questions = message.question
    if len(questions) != 1 or questions[0].name != _name(name) or dns.rdatatype.to_text(questions[0].rdtype) != kind:
        raise ProtocolError("an answer to another question")
    records = tuple(record for section in (message.answer, message.additional) for record in decode_records(section))
    serial = next((int(record.data) for record in decode_records(message.authority) if record.kind == "SOA"), None)
    return Answer(dns.rcode.to_text(message.rcode()), bool(message.flags & dns.flags.TC), records, serial)


def _message(data: bytes) -> dns.message.Message:
    try:
        return dns.message.from_wire(data, keyring=False, ignore_trailing=False)
    except (dns.exception.DNSException, ValueError, struct.error) as error:
        raise ProtocolError(f"no DNS message: {type(error).__name__}") from None


def decode_records(section: Iterable[dns.rrset.RRset]) -> list[WireRecord]:
    """Return the records of a section with a type in ``RECORD_TYPES``."""
    records = []
    for rrset in section:
        kind = dns.rdatatype.to_text(rrset.rdtype)
        if kind not in RECORD_TYPES or rrset.rdclass not in (dns.rdataclass.IN, dns.rdataclass.ANY):
            continue
        records += [WireRecord(name_text(rrset.name), kind, record_data(kind, data), rrset.ttl) for data in rrset]
    return records


def record_data(kind: str, data: object) -> object:
    """Return a record's data as described at ``WireRecord``."""
    match kind:
        case "PTR":
            return name_text(data.target)  # type: ignore[attr-defined]
        case "SRV":
            return data.priority, data.weight, data.port, name_text(data.target)  # type: ignore[attr-defined]
        case "TXT":
            return parse_txt_pairs(data.strings)  # type: ignore[attr-defined]
        case "SOA":
            return data.serial  # type: ignore[attr-defined]
    return data.address  # type: ignore[attr-defined]


def parse_txt_pairs(strings: Iterable[bytes]) -> dict[str, str]:
    """Parse the pairs of a TXT record (RFC 6763, 6.4): names are case-insensitive, and the first of a name counts."""
    pairs: dict[str, str] = {}
    for string in strings:
        name, _, value = string.partition(b"=")
        key = name.decode("ascii", "replace").lower()
        if key and key not in pairs:
            pairs[key] = value.decode("utf-8", "replace")
    return pairs


def name_text(name: dns.name.Name) -> str:
    """Return a name in lower case without its final dot. Labels may contain spaces, but no dots here."""
    return name.to_text(omit_final_dot=True).lower()


def _name(text: str) -> dns.name.Name:
    try:
        return dns.name.from_text(text)
    except dns.exception.DNSException as error:
        raise ProtocolError(f"{text[:80]!r} is no name: {type(error).__name__}") from None


def encode_update(id: int, registration: Registration, lease_s: int | None) -> bytes:
    """Encode the update that registers an instance with a lease, or withdraws it if ``lease_s`` is None.

    A registration replaces the records under the instance's name, so that no old port remains after a restart.
    """
    message = dns.update.UpdateMessage(registration.zone, id=id)
    instance, host = _name(f"{registration.instance}.{registration.service}"), _name(registration.host)
    family = "AAAA" if ipaddress.ip_address(registration.address).version == 6 else "A"
    if lease_s is None:
        message.delete(_name(registration.service), "PTR", instance.to_text())
        message.delete(instance)
        message.delete(host, family)
        message.use_edns(0, payload=MAX_DATAGRAM_BYTES)
        return message.to_wire()
    text = " ".join(_quoted(f"{name}={value}") for name, value in registration.text) or '""'
    message.add(_name(registration.service), RECORD_TTL_S, "PTR", instance.to_text())
    message.replace(
        instance,
        RECORD_TTL_S,
        "SRV",
        f"{registration.priority} {registration.weight} {registration.port} {host.to_text()}",
    )
    message.replace(instance, RECORD_TTL_S, "TXT", text)
    message.replace(host, RECORD_TTL_S, family, registration.address)
    option = dns.edns.GenericOption(UPDATE_LEASE_OPTION, struct.pack("!I", lease_s))
    message.use_edns(0, payload=MAX_DATAGRAM_BYTES, options=[option])
    return message.to_wire()


def _quoted(text: str) -> str:
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def sign(wire: bytes, signer: Signer, now_s: int) -> tuple[bytes, bytes]:
    """Return a message with its TSIG record (RFC 8945, 5.1), and its MAC, which the answer's MAC covers."""
    key = signer.key
    blank = dns.rdtypes.ANY.TSIG.TSIG(
        dns.rdataclass.ANY,
        dns.rdatatype.TSIG,
        key.algorithm,
        0,
        TSIG_FUDGE_S,
        b"",
        struct.unpack("!H", wire[:2])[0],
        0,
        b"",
    )
    signed, _ = dns.tsig.sign(wire, key, blank, now_s + signer.clock_offset_s)
    data = signed.to_wire()
    assert data is not None
    record = key.name.to_wire() + struct.pack("!HHIH", dns.rdatatype.TSIG, dns.rdataclass.ANY, 0, len(data)) + data
    count = struct.unpack("!H", wire[10:12])[0] + 1
    return wire[:10] + struct.pack("!H", count) + wire[12:] + record, signed.mac


def decode_update_answer(data: bytes, id: int, signer: Signer | None, mac: bytes) -> UpdateAnswer:
    """Decode the answer to an update, and verify its signature if the update was signed.

    A BADTIME error carries the server's time and is signed with the time of the request. It is accepted unverified,
    as it can only cause one more attempt. Raises ProtocolError.
    """
    message = _message(data)
    if message.id != id or not message.flags & dns.flags.QR:
        raise ProtocolError("an answer to another update")
    if message.had_tsig and message.tsig_error == dns.rcode.BADTIME and message.tsig is not None:
        other = message.tsig[0].other
        if len(other) == 6:
            return UpdateAnswer("BADTIME", server_s=int.from_bytes(other, "big"))
    if signer is not None:
        try:
            dns.message.from_wire(data, keyring=signer.key, request_mac=mac)
        except dns.tsig.BadTime:
            pass  # the MAC is valid and only the clocks differ too much, so the answer is the server's
        except (dns.exception.DNSException, ValueError) as error:
            raise ProtocolError(f"an answer whose signature does not hold: {type(error).__name__}") from None
    lease = next(
        (
            struct.unpack("!I", option.to_wire()[:4])[0]
            for option in message.options
            if option.otype == UPDATE_LEASE_OPTION and len(option.to_wire() or b"") >= 4
        ),
        0,
    )
    return UpdateAnswer(dns.rcode.to_text(message.rcode()), lease)


def tsig_key(name: str, secret: str, algorithm: str = "hmac-sha256") -> dns.tsig.Key:
    """Return a TSIG key from its name and base64 secret. Raises ValueError."""
    try:
        return dns.tsig.Key(name, secret, algorithm)
    except (dns.exception.DNSException, ValueError) as error:
        raise ValueError(f"no TSIG key: {error}") from None


def validate_txt_pairs(values: Mapping[str, object]) -> tuple[tuple[str, str], ...]:
    """Return the pairs for a TXT record, each of at most 255 octets (RFC 6763, 6.1). Raises ValueError."""
    pairs = tuple((name, str(value)) for name, value in values.items())
    for name, value in pairs:
        if not name or "=" in name or len(f"{name}={value}".encode()) > 255:
            raise ValueError(f"text: {name!r}: not a pair of 255 octets at most")
    return pairs
