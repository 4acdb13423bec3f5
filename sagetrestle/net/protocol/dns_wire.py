"""DNS messages for discovery: questions, updates under a lease, and their answers, by dnspython.

RFC 1035 and 6763 for questions, 2136 for updates, 8945 for their signatures, 9664 for leases. Nothing here waits or
reads a clock: times of signatures are given.
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

UPDATE_LEASE_OPTION = 2  # the EDNS option's code (RFC 9664, 4)
MAX_DATAGRAM_BYTES = 1232  # octets of a datagram that meets no fragmentation
TSIG_FUDGE_S = 300
RECORD_TYPES = ("PTR", "SRV", "TXT", "A", "AAAA", "SOA")
RECORD_TTL_S = 10  # of records in updates: a reader that ignores withdrawals goes wrong for so long


class WireRecord(NamedTuple):
    """One record: its name without the last dot, its type, its data in plain words, and its TTL in seconds.

    Data are a name, (priority, weight, port, target), a mapping of pairs, an address, or a serial.
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
        """Tell whether it says that there is nothing (RFC 2308): no such name, or none of this type."""
        return self.rcode == "NXDOMAIN" or (self.rcode == "NOERROR" and not self.records)


class Registration(NamedTuple):
    """What an instance registers: ``zone`` is updated, ``service`` is the name its pointer stands under."""

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
    """A TSIG key; ``clock_offset_s`` is what is added to this machine's clock, where the server's differs."""

    key: dns.tsig.Key
    clock_offset_s: int = 0


class UpdateAnswer(NamedTuple):
    """An answer to an update; ``server_s`` is the server's time where it says that the clocks are apart."""

    rcode: str
    lease_s: int = 0
    server_s: int | None = None


def encode_question(id: int, name: str, kind: str) -> bytes:
    """Write a question, by which larger answers than 512 octets may come."""
    message = dns.message.make_query(_name(name), kind, use_edns=0, payload=MAX_DATAGRAM_BYTES, id=id)
    return message.to_wire()


def decode_answer(data: bytes, id: int, name: str, kind: str) -> Answer:
    """Read the answer to a question.

    Raises ProtocolError where the bytes are no message, or it answers something else: whoever forges one must
    guess the id and the port, and repeat the question (RFC 5452).
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
    """Return a section's records of the kinds that are looked at."""
    records = []
    for rrset in section:
        kind = dns.rdatatype.to_text(rrset.rdtype)
        if kind not in RECORD_TYPES or rrset.rdclass not in (dns.rdataclass.IN, dns.rdataclass.ANY):
            continue
        records += [WireRecord(name_text(rrset.name), kind, record_data(kind, data), rrset.ttl) for data in rrset]
    return records


def record_data(kind: str, data: object) -> object:
    """Return a record's data in plain words."""
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
    """Read the pairs of a TXT record (RFC 6763, 6.4): the first of a name counts, names know no case."""
    pairs: dict[str, str] = {}
    for string in strings:
        name, _, value = string.partition(b"=")
        key = name.decode("ascii", "replace").lower()
        if key and key not in pairs:
            pairs[key] = value.decode("utf-8", "replace")
    return pairs


def name_text(name: dns.name.Name) -> str:
    """Return a name in lower case without its last dot; a label may hold spaces, never a dot of its own here."""
    return name.to_text(omit_final_dot=True).lower()


def _name(text: str) -> dns.name.Name:
    try:
        return dns.name.from_text(text)
    except dns.exception.DNSException as error:
        raise ProtocolError(f"{text[:80]!r} is no name: {type(error).__name__}") from None


def encode_update(id: int, registration: Registration, lease_s: int | None) -> bytes:
    """Write the update that registers an instance under a lease, or withdraws it (lease None).

    Registering takes the place of what stood under the instance's name, so that a restart leaves no old port.
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
    """Return a message with its TSIG record (RFC 8945, 5.1), and the MAC that the answer's own goes by."""
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
    """Read the answer to an update, whose signature must hold where the update was signed.

    A server that finds the clocks apart says so with its own time, signed as the request was timed; that one
    error is read unverified, as all it can bring about is one more try. Raises ProtocolError.
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
            pass  # signed well, by a clock that is further from ours than is allowed; it still is the server
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
    """Return pairs for a TXT record, each of at most 255 octets (RFC 6763, 6.1). Raises ValueError."""
    pairs = tuple((name, str(value)) for name, value in values.items())
    for name, value in pairs:
        if not name or "=" in name or len(f"{name}={value}".encode()) > 255:
            raise ValueError(f"text: {name!r}: not a pair of 255 octets at most")
    return pairs
