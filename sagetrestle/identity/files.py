"""The operators' files of identity, as bytes: ring (JSON), tenants (TOML or JSON) and terms (TOML).

Each is taken whole or not at all; an error names the field. msgspec checks forms, the ring and the directory
check what the parts mean together. docs/identity.md has every field.
"""

from __future__ import annotations

import ipaddress
import math
from typing import Annotated, Literal

import msgspec
from immutables import Map

from sagetrestle.file_decoding import decode_file
from sagetrestle.identity.authorizer import TokenPolicy
from sagetrestle.identity.keyring import MAX_KEYS, NO_END_US, Keyring, KeyringError, KeyringKey
from sagetrestle.identity.tenants import SpendingCap, Tenant, TenantDirectory, TenantError, directory
from sagetrestle.identity.tokens import public_key_from_jwk, public_key_to_jwk

SECOND_US = 1_000_000
Positive = Annotated[int, msgspec.Meta(ge=1)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=512)]


class FileError(ValueError):
    """A file that can not be used; the text names the field."""


class _KeyRow(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    kid: str
    alg: str
    jwk: dict[str, str]
    not_before_us: int
    signs_until_us: int = NO_END_US
    not_after_us: int = NO_END_US
    revoked_us: int | None = None
    why: str = ""


class _KeyringFile(msgspec.Struct, forbid_unknown_fields=True):
    version: Positive
    keys: Annotated[list[_KeyRow], msgspec.Meta(min_length=1, max_length=MAX_KEYS)]


class _CapRow(msgspec.Struct, forbid_unknown_fields=True):
    charges: Annotated[int, msgspec.Meta(ge=0)]
    window_s: Positive


class _TenantRow(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    on: bool = True
    rights: list[str] = []
    cap: _CapRow | None = None
    allowance_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    certificates: list[Text] = []
    front_ends: list[Annotated[int, msgspec.Meta(ge=0)]] = []


class _TenantsFile(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    version: Positive
    tenants: dict[str, _TenantRow]
    revoked_serials: list[str] = []


class TlsFiles(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where the SCGI front listens with TLS, and the PEM files it needs."""

    listen: str
    certificate: str
    key: str
    trust: str


class Bounds(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How much there may be of everything; see ``AuthenticatorLimits``."""

    verifications: Annotated[int, msgspec.Meta(ge=1, le=256)] = 2
    waiting: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 256
    waiting_each: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 32
    cached: Annotated[int, msgspec.Meta(ge=8, le=1_000_000)] = 8_192
    replays: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 65_536


class IdentityFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """``deploy/identity.toml``: the terms, where the other files are, and what is trusted."""

    issuer: Text
    audience: Text
    ring: Text
    tenants: Text
    on: bool = True
    leeway_s: Annotated[float, msgspec.Meta(ge=0, le=600)] = 60.0
    max_lifetime_s: Annotated[float, msgspec.Meta(gt=0, le=86_400)] = 3_600.0
    unmapped: str | None = None
    trusted_peers: tuple[str, ...] = ()
    watch_ms: Annotated[int, msgspec.Meta(ge=50, le=1000)] = 250
    others_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    over_share_worth: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None
    tls: TlsFiles | None = None
    bounds: Bounds = Bounds()

    def terms(self) -> TokenPolicy:
        """Return the terms as the judge has them."""
        return TokenPolicy(
            self.issuer,
            self.audience,
            int(self.leeway_s * SECOND_US),
            int(self.max_lifetime_s * SECOND_US),
            self.unmapped,
        )


def read_identity(data: bytes) -> IdentityFile | None:
    """Read the operators' file; None where it is there but off. Raises FileError."""
    found = decode_file(data, IdentityFile, "toml", FileError)
    for peer in found.trusted_peers:
        try:
            ipaddress.ip_address(peer)
        except ValueError:
            raise FileError(f"trusted_peers: {peer!r}: not an address") from None
    return found if found.on else None


def read_keyring(data: bytes, now_us: int, needs_active: bool = True) -> Keyring:
    """Read a ring. Raises FileError.

    A ring with no active key is held for a mistake and not taken, unless it revokes one: a revocation counts
    whatever else is wrong.
    """
    found = decode_file(data, _KeyringFile, "json", FileError)
    keys: dict[str, KeyringKey] = {}
    thumbprints: dict[str, str] = {}
    for index, row in enumerate(found.keys):
        key = _to_keyring_key(index, row)
        if key.kid in keys:
            raise FileError(f"keys[{index}]: key {key.kid}: two keys with one id")
        if key.thumbprint in thumbprints:
            raise FileError(f"keys[{index}]: key {key.kid}: the same key as {thumbprints[key.thumbprint]}")
        keys[key.kid] = key
        thumbprints[key.thumbprint] = key.kid
    keyring = Keyring(found.version, Map(keys), now_us)
    if needs_active and not keyring.revoked() and keyring.signer(now_us) is None:
        raise FileError("keys: none of them is active")
    return keyring


def _to_keyring_key(index: int, row: _KeyRow) -> KeyringKey:
    try:
        public, thumbprint = public_key_from_jwk(row.alg, row.jwk)
        return KeyringKey(
            row.kid,
            row.alg,
            public,
            thumbprint,
            row.not_before_us,
            row.signs_until_us,
            row.not_after_us,
            row.revoked_us,
            row.why,
        )
    except KeyringError as error:
        raise FileError(f"keys[{index}]: {error}") from None
    except ValueError as error:
        raise FileError(f"keys[{index}]: key {row.kid[:64]}: {error}") from None


def write_keyring(keyring: Keyring) -> bytes:
    """Return a ring as its file has it."""
    rows = [
        _KeyRow(
            key.kid,
            key.algorithm,
            public_key_to_jwk(key.algorithm, key.public),
            key.not_before_us,
            key.signs_until_us,
            key.not_after_us,
            key.revoked_us,
            key.why,
        )
        for _, key in sorted(keyring.keys.items())
    ]
    return msgspec.json.format(msgspec.json.encode(_KeyringFile(keyring.version, rows)), indent=1) + b"\n"


def read_tenants(data: bytes, form: Literal["toml", "json"], classes: frozenset[str] | None = None) -> TenantDirectory:
    """Read the tenants from ``toml`` or ``json``. Raises FileError.

    With ``classes`` a right to anything else is held for a mistake. JSON is for large directories: its
    reader is compiled, TOML's is not.
    """
    found = decode_file(data, _TenantsFile, form, FileError)
    tenants, certificates, front_ends = [], [], []
    for name, row in found.tenants.items():
        unknown = set(row.rights) - classes - {"*"} if classes is not None else ()
        if unknown:
            raise FileError(f"tenants.{name}.rights: {sorted(unknown)[0]!r} is no class")
        cap = row.cap and SpendingCap(row.cap.charges, row.cap.window_s * SECOND_US)
        for field, value in (("allowance_per_s", row.allowance_per_s), ("rate_per_s", row.rate_per_s)):
            if not math.isfinite(value):
                raise FileError(f"tenants.{name}.{field}: not a number that can be reached")
        tenants.append(Tenant(name, row.on, frozenset(row.rights), cap, row.allowance_per_s, row.rate_per_s))
        certificates += [(name_or_number, name) for name_or_number in row.certificates]
        front_ends += [(name_or_number, name) for name_or_number in row.front_ends]
    try:
        return directory(found.version, tenants, certificates, front_ends, found.revoked_serials)
    except TenantError as error:
        raise FileError(str(error)) from None
