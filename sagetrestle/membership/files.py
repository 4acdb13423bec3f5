"""The operators' files of discovery, as bytes: ``deploy/discovery.toml``, the static list, the view saved last.

Each is taken whole or not at all; an error names the field. docs/discovery.md has every field.
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


class FileError(ValueError):
    """A file that can not be used; the text names the field."""


class PublishRow(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How an instance registers itself."""

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


class BrowseRow(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How the members are found."""

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
    publish: PublishRow | None = None
    browse: BrowseRow | None = None

    @property
    def name(self) -> str:
        """Return the name that the service's pointers stand under."""
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
    """Read the operators' file; None where it is there but off. Raises FileError."""
    found = decode_file(data, DiscoveryFile, "toml", FileError)
    address(found.server, "server")
    if not DOMAIN.fullmatch(found.domain):
        raise FileError(f"domain: {found.domain!r}: not a domain name")
    if not SERVICE.fullmatch(found.service):
        raise FileError(f"service: {found.service!r}: not of the form _name._tcp")
    publish = found.publish
    if publish is not None:
        if publish.instance and not LABEL.fullmatch(publish.instance):
            raise FileError(f"publish.instance: {publish.instance!r}: not one label")
        if publish.host and not DOMAIN.fullmatch(publish.host):
            raise FileError(f"publish.host: {publish.host!r}: not a host name")
        if bool(publish.key_name) != bool(publish.key_file):
            raise FileError("publish.key_name: goes with publish.key_file, and the other way round")
    return found if found.on else None


def address(text: str, field: str) -> tuple[str, int]:
    """Read ADDRESS:PORT. Raises FileError, which names the field."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise FileError(f"{field}: {text!r}: not ADDRESS:PORT") from None
    if not port.isdecimal() or not 0 < int(port) < 65_536:
        raise FileError(f"{field}: {text!r}: not ADDRESS:PORT")
    return host, int(port)


def read_static(data: bytes) -> tuple[tuple[Instance, ...], tuple[str, ...]]:
    """Read the static list (TOML): instances, and the names of those that are pinned. Raises FileError."""
    found = decode_file(data, _StaticFile, "toml", FileError)
    names: set[str] = set()
    instances = []
    for at, row in enumerate(found.instances):
        if not LABEL.fullmatch(row.name):
            raise FileError(f"instances[{at}].name: {row.name!r}: not one label")
        if row.name in names:
            raise FileError(f"instances[{at}].name: {row.name!r}: comes twice")
        names.add(row.name)
        host, port = address(f"{row.address}:{row.port}", f"instances[{at}].address")
        instances.append(
            Instance(row.name, Endpoint(host, port), row.priority, row.weight, text=tuple(sorted(row.text.items())))
        )
    return tuple(instances), tuple(row.name for row in found.instances if row.pinned)


def write_saved(members: Iterable[Member]) -> bytes:
    """Return a view as it is saved: those that took work, with a digest."""
    rows = [
        _SavedRow(one.name, one.endpoint.host, one.endpoint.port, one.priority, one.weight, one.boot, list(one.text))
        for one in sorted(member.instance for member in members if member.takes_work)
    ]
    return msgspec.json.encode(_SavedFile(_digest(rows), rows))


def read_saved(data: bytes) -> tuple[Instance, ...]:
    """Read the view saved last. Raises FileError where it is not what was saved."""
    found = decode_file(data, _SavedFile, "json", FileError)
    if found.digest != _digest(found.instances):
        raise FileError("digest: does not hold")
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
        for row in found.instances
    )


def _digest(rows: list[_SavedRow]) -> str:
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(rows))
