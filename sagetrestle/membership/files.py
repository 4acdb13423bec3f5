"""The files of discovery, as bytes: ``deploy/discovery.toml``, the static list, and the saved view.

A file is accepted as a whole or not at all; errors name the field. docs/discovery.md describes every field.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterable
from typing import Annotated

import msgspec
import xxhash

from sagetrestle.file_decoding import decode_file
from sagetrestle.membership.values import Endpoint, Instance, Member

LABEL = re.compile(r"[A-Za-z0-9]([A-Za-z0-9 _-]{0,61}[A-Za-z0-9])?")
DOMAIN = re.compile(r"([a-z0-9_-]{1,63}\.){0,8}[a-z0-9-]{1,63}")
SERVICE = re.compile(r"_[a-z0-9-]{1,15}\._(tcp|udp)")
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


class DiscoveryFileError(ValueError):
    """A file that cannot be used; the message names the field."""


class PublishSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The ``publish`` section: the registration of this instance."""

    on: bool = True
    instance: str = ""
    host: str = ""
    priority: Port = 0
    weight: Port = 1
    lease_s: Annotated[int, msgspec.Meta(ge=2, le=86_400)] = 30
    key_name: str = ""
    key_file: str = ""
    key_algorithm: str = "hmac-sha256"
    text: dict[str, str] = {}


class BrowseSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The ``browse`` section: discovery of the members."""

    poll_ms: Annotated[int, msgspec.Meta(ge=100, le=60_000)] = 800
    push: bool = True
    static: str = ""
    saved: str = ""
    probe_ms: Annotated[int, msgspec.Meta(ge=50, le=60_000)] = 250
    most_out: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5


class DiscoveryFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """``deploy/discovery.toml``."""

    server: str
    domain: str
    service: str = "_scorer._tcp"
    on: bool = True
    publish: PublishSection | None = None
    browse: BrowseSection | None = None

    @property
    def name(self) -> str:
        """Return the DNS name of the service's PTR records."""
        return f"{self.service}.{self.domain}"


class _StaticRow(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    address: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    priority: Port = 0
    weight: Port = 1
    pinned: bool = False
    text: dict[str, str] = {}


class _StaticFile(msgspec.Struct, forbid_unknown_fields=True):
    instances: list[_StaticRow]


class _SavedRow(msgspec.Struct):
    name: str
    host: str
    port: int
    priority: int
    weight: int
    boot: int
    text: list[tuple[str, str]]


class _SavedFile(msgspec.Struct):
    digest: str
    instances: list[_SavedRow]


def read_discovery(data: bytes) -> DiscoveryFile | None:
    """Read ``discovery.toml``; None where discovery is disabled. Raises DiscoveryFileError."""
    file = decode_file(data, DiscoveryFile, "toml", DiscoveryFileError)
    parse_address(file.server, "server")
    if not DOMAIN.fullmatch(file.domain):
        raise DiscoveryFileError(f"domain: {file.domain!r}: not a domain name")
    if not SERVICE.fullmatch(file.service):
        raise DiscoveryFileError(f"service: {file.service!r}: not of the form _name._tcp")
    publish = file.publish
    if publish is not None:
        if publish.instance and not LABEL.fullmatch(publish.instance):
            raise DiscoveryFileError(f"publish.instance: {publish.instance!r}: not a DNS label")
        if publish.host and not DOMAIN.fullmatch(publish.host):
            raise DiscoveryFileError(f"publish.host: {publish.host!r}: not a host name")
        if bool(publish.key_name) != bool(publish.key_file):
            raise DiscoveryFileError("publish.key_name: must be set together with publish.key_file")
    return file if file.on else None


def parse_address(text: str, field: str) -> tuple[str, int]:
    """Parse ADDRESS:PORT. Raises DiscoveryFileError, which names the field."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise DiscoveryFileError(f"{field}: {text!r}: not ADDRESS:PORT") from None
    if not port.isdecimal() or not 0 < int(port) < 65_536:
        raise DiscoveryFileError(f"{field}: {text!r}: not ADDRESS:PORT")
    return host, int(port)


def read_static(data: bytes) -> tuple[tuple[Instance, ...], tuple[str, ...]]:
    """Read the static list (TOML); return instances and the names of pinned ones. Raises DiscoveryFileError."""
    file = decode_file(data, _StaticFile, "toml", DiscoveryFileError)
    names: set[str] = set()
    instances = []
    for index, row in enumerate(file.instances):
        if not LABEL.fullmatch(row.name):
            raise DiscoveryFileError(f"instances[{index}].name: {row.name!r}: not a DNS label")
        if row.name in names:
            raise DiscoveryFileError(f"instances[{index}].name: {row.name!r}: duplicate name")
        names.add(row.name)
        host, port = parse_address(f"{row.address}:{row.port}", f"instances[{index}].address")
        instances.append(
            Instance(row.name, Endpoint(host, port), row.priority, row.weight, text=tuple(sorted(row.text.items())))
        )
    return tuple(instances), tuple(row.name for row in file.instances if row.pinned)


def write_saved(members: Iterable[Member]) -> bytes:
    """Return the contents of the saved view: the members that accept requests, with a digest."""
    rows = [
        _SavedRow(
            instance.name,
            instance.endpoint.host,
            instance.endpoint.port,
            instance.priority,
            instance.weight,
            instance.boot,
            list(instance.text),
        )
        for instance in sorted(member.instance for member in members if member.accepts_requests)
    ]
    return msgspec.json.encode(_SavedFile(_digest(rows), rows))


def read_saved(data: bytes) -> tuple[Instance, ...]:
    """Read the saved view. Raises DiscoveryFileError where the digest does not match."""
    file = decode_file(data, _SavedFile, "json", DiscoveryFileError)
    if file.digest != _digest(file.instances):
        raise DiscoveryFileError("digest: does not match the instances")
    return tuple(
        Instance(
            row.name,
            Endpoint(row.host, row.port),
            row.priority,
            row.weight,
            row.boot,
            False,
            tuple((name, value) for name, value in row.text),
        )
        for row in file.instances
    )


def _digest(rows: list[_SavedRow]) -> str:
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(rows))
