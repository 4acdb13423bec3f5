"""Keys, rings and tokens that all tests of identity share; one of each algorithm, made once."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from cryptography.hazmat.primitives.asymmetric import ec, ed25519
from immutables import Map

from sagetrestle.identity.authorizer import Snapshot, TokenPolicy
from sagetrestle.identity.keyring import Keyring, KeyringKey
from sagetrestle.identity.tenants import SpendingCap, Tenant, TenantDirectory, directory
from sagetrestle.identity.tokens import public_key_to_jwk, sign, thumbprint

S = 1_000_000
NOW = 1_764_576_000 * S
PRIVATE = {"EdDSA": ed25519.Ed25519PrivateKey.generate(), "ES256": ec.generate_private_key(ec.SECP256R1())}
OTHER = ed25519.Ed25519PrivateKey.generate()
TERMS = TokenPolicy("issuer", "scorers", leeway_us=60 * S, max_lifetime_us=3600 * S)


def key(kid: str, algorithm: str = "EdDSA", private: Any = None, **times: Any) -> KeyringKey:
    """Return a key of the ring that has been active for a day, but for what is given."""
    public = (private or PRIVATE[algorithm]).public_key()
    given = {"not_before_us": NOW - 86_400 * S, **times}
    return KeyringKey(kid, algorithm, public, thumbprint(public_key_to_jwk(algorithm, public)), **given)


def ring(*keys: KeyringKey, version: int = 1, at: int = NOW) -> Keyring:
    """Return a ring of these keys."""
    return Keyring(version, Map({one.kid: one for one in keys}), at)


def tenants(**more: Any) -> TenantDirectory:
    """Return a directory of a few tenants."""
    rights = frozenset({"quick-check", "report-view", "paid-check"})
    given = [
        Tenant("lets", rights=rights),
        Tenant("homes", rights=rights),
        Tenant("capped", rights=rights, cap=SpendingCap(2, 60 * S)),
        Tenant("off", on=False, rights=rights),
        Tenant("readers", rights=frozenset({"quick-check"})),
    ]
    return directory(
        1,
        given,
        certificates=[("urn:lets", "lets"), ("CN=homes", "homes")],
        front_ends=[(1, "lets"), (2, "homes")],
        **more,
    )


def snapshot(*keys: KeyringKey, **more: Any) -> Snapshot:
    """Return a snapshot of these keys, or of one of each algorithm."""
    terms = replace(TERMS, **more.pop("terms", {}))
    return Snapshot(terms, ring(*(keys or (key("ed"), key("es", "ES256")))), tenants(**more))


def token(kid: str = "ed", algorithm: str = "EdDSA", private: Any = None, **claims: Any) -> str:
    """Return a token of tenant ``lets`` for both classes, signed now for ten minutes, but for what is given."""
    given = {
        "issuer": "issuer",
        "audience": "scorers",
        "tenant": "lets",
        "jti": None,
        "body": None,
        "scope": ["quick-check", "paid-check"],
        "issued_us": NOW,
        "lifetime_us": 600 * S,
        **claims,
    }
    return sign(private or PRIVATE[algorithm], kid, algorithm, **given)
