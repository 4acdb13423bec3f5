"""Signed tokens: JWS in compact form (RFC 7515, 7.1) with the claims of a JWT (RFC 7519).

Signatures are PyJWT's algorithms over cryptography. What is decided here is which headers are looked at at
all: the algorithm must be one of two and the key's own, so that neither ``none`` nor a public key taken for a
shared secret gets anywhere (RFC 8725, 3.1 and 3.2); key ids are looked up in the ring and nowhere else.
PyJWT's own decoder is not used: a profile showed it looking at every character of a token.
"""

from __future__ import annotations

import base64
import hashlib
import re
from collections.abc import Iterable
from typing import Any

import jwt
import msgspec
from jwt.algorithms import ECAlgorithm, OKPAlgorithm, get_default_algorithms

from sagetrestle.identity.ring import KID, RingKey
from sagetrestle.identity.values import Cause

ALGORITHMS = {"EdDSA": OKPAlgorithm, "ES256": ECAlgorithm}
VERIFIERS = {name: one for name, one in get_default_algorithms().items() if name in ALGORITHMS}
CURVES = {"EdDSA": ("OKP", "Ed25519"), "ES256": ("EC", "P-256")}
MAX_TOKEN = 4 * 1024
COMPACT = re.compile(r"[A-Za-z0-9_-]+\.[A-Za-z0-9_-]+\.[A-Za-z0-9_-]+")
JTI = re.compile(r"[!-~]{1,128}")
SECOND_US = 1_000_000


class Header(msgspec.Struct, forbid_unknown_fields=True):
    """The protected header: no ``jwk``, ``jku``, ``x5u`` or ``crit`` can name a key or a rule of its own."""

    alg: str
    kid: str
    typ: str = "JWT"


class Claims(msgspec.Struct):
    """The claims that are looked at; times are NumericDate, in seconds, fractions allowed.

    ``scope`` holds classes, apart by spaces (RFC 8693, 4.2); ``body_sha256`` is the digest of the body in
    base64url without padding.
    """

    iss: str
    aud: str | list[str]
    sub: str
    iat: float
    exp: float
    scope: str = ""
    nbf: float | None = None
    jti: str | None = None
    body_sha256: str | None = None


class Verified(msgspec.Struct, frozen=True):
    """A token whose signature holds; whether it counts now is for the judge. Times in Unix microseconds."""

    kid: str
    thumbprint: str
    issuer: str
    audience: tuple[str, ...]
    tenant: str
    scope: frozenset[str]
    issued_us: int
    starts_us: int
    ends_us: int
    jti: str | None
    body_sha256: str | None


class TokenFault(Exception):
    """A token that proves nothing; ``cause`` says why."""

    def __init__(self, cause: Cause) -> None:
        super().__init__(cause.value)
        self.cause = cause


def read_header(token: str) -> Header:
    """Read a token's header without verifying anything; the cheap part, done for all that comes.

    Raises TokenFault where the form, the header or the algorithm is not taken.
    """
    if len(token) > MAX_TOKEN or not COMPACT.fullmatch(token):
        raise TokenFault(Cause.MALFORMED)
    try:
        header = msgspec.json.decode(_decode(token.partition(".")[0]), type=Header)
    except (msgspec.DecodeError, ValueError):
        raise TokenFault(Cause.MALFORMED) from None
    if header.alg not in ALGORITHMS:
        raise TokenFault(Cause.ALGORITHM)
    if not KID.fullmatch(header.kid) or header.typ.upper() != "JWT":
        raise TokenFault(Cause.MALFORMED)
    return header


def verify(token: str, key: RingKey, header: Header | None = None) -> Verified:
    """Verify a token's signature with a key of the ring and read its claims; the dear part.

    ``header`` is the token's own where it was read before. Raises TokenFault. The claims are looked at only
    once the signature holds.
    """
    header = header or read_header(token)
    if header.alg != key.algorithm:
        raise TokenFault(Cause.ALGORITHM)
    signed, _, signature = token.rpartition(".")
    try:
        holds = VERIFIERS[key.algorithm].verify(signed.encode(), key.public, _decode(signature))
    except ValueError:  # a signature that is no base64, or of a length that no curve has
        holds = False
    if not holds:
        raise TokenFault(Cause.BAD_SIGNATURE)
    try:
        claims = msgspec.json.decode(_decode(signed.partition(".")[2]), type=Claims)
    except (msgspec.DecodeError, ValueError):
        raise TokenFault(Cause.INCOMPLETE) from None
    return _verified(claims, key)


def _verified(claims: Claims, key: RingKey) -> Verified:
    times = [claims.iat, claims.exp, claims.iat if claims.nbf is None else claims.nbf]
    if not all(0 <= one < 1e11 for one in times):  # NaN and infinities as well
        raise TokenFault(Cause.INCOMPLETE)
    if claims.jti is not None and not JTI.fullmatch(claims.jti):
        raise TokenFault(Cause.INCOMPLETE)
    audience = (claims.aud,) if isinstance(claims.aud, str) else tuple(claims.aud)
    issued, ends, starts = (int(one * SECOND_US) for one in times)
    scope = frozenset(claims.scope.split())
    return Verified(
        key.kid,
        key.thumbprint,
        claims.iss,
        audience,
        claims.sub,
        scope,
        issued,
        starts,
        ends,
        claims.jti,
        claims.body_sha256,
    )


def sign(
    private: Any,
    kid: str,
    algorithm: str,
    *,
    issuer: str,
    audience: str,
    tenant: str,
    scope: Iterable[str],
    issued_us: int,
    lifetime_us: int,
    jti: str | None = None,
    body: bytes | None = None,
) -> str:
    """Return a token; with ``body`` it holds for that body alone."""
    claims: dict[str, Any] = {
        "iss": issuer,
        "aud": audience,
        "sub": tenant,
        "scope": " ".join(scope),
        "iat": issued_us / SECOND_US,
        "exp": (issued_us + lifetime_us) / SECOND_US,
    }
    claims |= {} if jti is None else {"jti": jti}
    claims |= {} if body is None else {"body_sha256": body_digest(body)}
    payload = msgspec.json.encode(claims)
    return jwt.PyJWS().encode(payload, private, algorithm, headers={"kid": kid, "typ": "JWT"})


def body_digest(body: bytes) -> str:
    """Return a body's SHA-256 as the claim has it: base64url without padding."""
    return base64.urlsafe_b64encode(hashlib.sha256(body).digest()).rstrip(b"=").decode()


def public_from_jwk(algorithm: str, jwk: dict[str, str]) -> tuple[Any, str]:
    """Return a public key and its thumbprint (RFC 7638) from a JWK (RFC 7517).

    Raises ValueError where it is not a public key of the algorithm's own kind.
    """
    kind = CURVES.get(algorithm)
    if kind is None:
        raise ValueError(f"alg: must be one of {', '.join(ALGORITHMS)}")
    if (jwk.get("kty"), jwk.get("crv")) != kind:
        raise ValueError(f"jwk: {algorithm} takes kty {kind[0]} and crv {kind[1]}")
    if "d" in jwk:
        raise ValueError("jwk: holds a private key, which does not belong in a ring")
    try:
        public = ALGORITHMS[algorithm].from_jwk(jwk)
    except (jwt.exceptions.PyJWTError, ValueError, KeyError) as error:
        raise ValueError(f"jwk: {error}") from None
    return public, thumbprint(jwk)


def thumbprint(jwk: dict[str, str]) -> str:
    """Return RFC 7638's thumbprint: SHA-256 over the required members in order, base64url."""
    needed = {name: jwk[name] for name in ("crv", "kty", "x", "y") if name in jwk}
    digest = hashlib.sha256(msgspec.json.encode(needed, order="sorted")).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


def jwk_of(algorithm: str, public: Any) -> dict[str, str]:
    """Return the JWK of a public key, with the members that its thumbprint is made of."""
    full = ALGORITHMS[algorithm].to_jwk(public, as_dict=True)
    return {name: full[name] for name in ("crv", "kty", "x", "y") if name in full}


def _decode(part: str) -> bytes:
    return base64.urlsafe_b64decode(part + "=" * (-len(part) % 4))
