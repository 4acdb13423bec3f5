"""Tenants and their rights, and the names by which certificates and front ends stand for them."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from immutables import Map

TENANT_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?")
EVERY_CLASS = "*"


class TenantError(ValueError):
    """A directory of tenants that can not be used; the text names the tenant and the field."""


@dataclass(frozen=True, slots=True)
class SpendingCap:
    """At most so many charges run in each window; windows are counted from the Unix epoch."""

    charges: int
    window_us: int


@dataclass(frozen=True, slots=True)
class Tenant:
    """One landlord or agent: on or off, the classes it may ask for, and what it may spend.

    ``allowance_per_s`` (requests over the whole fleet) is what the module weighs it by; 0 means that it
    shares in what is left to all without one.
    """

    name: str
    on: bool = True
    rights: frozenset[str] = frozenset()
    cap: SpendingCap | None = None
    allowance_per_s: float = 0.0
    rate_per_s: float = 0.0  # requests over the whole fleet, where that shares limits; 0: as many as come

    def may_request(self, class_name: str) -> bool:
        """Tell whether it has the right to a class."""
        return class_name in self.rights or EVERY_CLASS in self.rights


@dataclass(frozen=True, slots=True)
class TenantDirectory:
    """All tenants at one version, in persistent maps, so that a new version shares what did not change."""

    version: int = 0
    tenants: Map = field(default_factory=Map)  # name -> Tenant
    certificates: Map = field(default_factory=Map)  # URI or subject -> tenant name
    front_ends: Map = field(default_factory=Map)  # number -> tenant name
    revoked_serials: frozenset[str] = frozenset()

    def by_certificate(self, names: Iterable[str]) -> str | None:
        """Return the tenant of the first name that stands for one."""
        return next((self.certificates[name] for name in names if name in self.certificates), None)


def directory(
    version: int,
    tenants: Iterable[Tenant],
    certificates: Iterable[tuple[str, str]] = (),
    front_ends: Iterable[tuple[int, str]] = (),
    revoked_serials: Iterable[str] = (),
) -> TenantDirectory:
    """Return a checked directory.

    Raises TenantError where a name is of no form, comes twice, or stands for a tenant that is not there.
    """
    by_name: dict[str, Tenant] = {}
    for one in tenants:
        if not TENANT_NAME_PATTERN.fullmatch(one.name):
            raise TenantError(f"tenant {one.name[:64]!r}: its name must be 1 to 64 of a-z 0-9 . _ -")
        if one.name in by_name:
            raise TenantError(f"tenant {one.name}: comes twice")
        by_name[one.name] = one
    serials = frozenset(normalize_serial(one) for one in revoked_serials)
    return TenantDirectory(
        version,
        Map(by_name),
        _build_name_map(by_name, certificates, "certificate"),
        _build_name_map(by_name, front_ends, "front end"),
        serials,
    )


def _build_name_map(tenants: dict[str, Tenant], pairs: Iterable[tuple[object, str]], kind: str) -> Map:
    tenant_by_name: dict[object, str] = {}
    for name, tenant in pairs:
        if tenant not in tenants:
            raise TenantError(f"{kind} {name!r}: stands for {tenant!r}, which is no tenant")
        if name in tenant_by_name:
            raise TenantError(f"{kind} {name!r}: stands for two tenants")
        tenant_by_name[name] = tenant
    return Map(tenant_by_name)


def normalize_serial(text: str) -> str:
    """Return a certificate's serial number in one form: lower-case hexadecimal, no colons, no zeros ahead.

    Raises TenantError where it is no such number.
    """
    plain = text.replace(":", "").lower()
    if not re.fullmatch(r"[0-9a-f]{1,40}", plain):
        raise TenantError(f"revoked serial {text[:64]!r}: not a hexadecimal number of 1 to 40 digits")
    return plain.lstrip("0") or "0"
