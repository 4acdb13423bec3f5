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

from sagetrestle.identity.keyring import KID_PATTERN, KeyringKey
from sagetrestle.identity.values import Cause

ALGORITHMS = {"EdDSA": OKPAlgorithm, "ES256": ECAlgorithm}
VERIFIERS = {name: one for name, one in get_default_algorithms().items() if name in ALGORITHMS}
CURVES = {"EdDSA": ("OKP", "Ed25519"), "ES256": ("EC", "P-256")}
MAX_TOKEN_BYTES = 4 * 1024
COMPACT_JWS_PATTERN = re.compile(r"[A-Za-z0-9_-]+\.[A-Za-z0-9_-]+\.[A-Za-z0-9_-]+")
JTI_PATTERN = re.compile(r"[!-~]{1,128}")
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


class VerifiedToken(msgspec.Struct, frozen=True):
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


class TokenError(Exception):
    """A token that proves nothing; ``cause`` says why."""

    def __init__(self, cause: Cause) -> None:
        super().__init__(cause.value)
        self.cause = cause


def read_header(token: str) -> Header:
    """Read a token's header without verifying anything; the cheap part, done for all that comes.

    Raises TokenError where the form, the header or the algorithm is not taken.
    """
    if len(token) > MAX_TOKEN_BYTES or not COMPACT_JWS_PATTERN.fullmatch(token):
        raise TokenError(Cause.MALFORMED)
    try:
        header = msgspec.json.decode(_decode_base64url(token.partition(".")[0]), type=Header)
    except (msgspec.DecodeError, ValueError):
        raise TokenError(Cause.MALFORMED) from None
    if header.alg not in ALGORITHMS:
        raise TokenError(Cause.ALGORITHM)
    if not KID_PATTERN.fullmatch(header.kid) or header.typ.upper() != "JWT":
        raise TokenError(Cause.MALFORMED)
    return header


def verify(token: str, key: KeyringKey, header: Header | None = None) -> VerifiedToken:
    """Verify a token's signature with a key of the ring and read its claims; the dear part.

    ``header`` is the token's own where it was read before. Raises TokenError. The claims are looked at only
    once the signature holds.
    """
    header = header or read_header(token)
    if header.alg != key.algorithm:
        raise TokenError(Cause.ALGORITHM)
    signed, _, signature = token.rpartition(".")
    try:
        valid = VERIFIERS[key.algorithm].verify(signed.encode(), key.public, _decode_base64url(signature))
    except ValueError:  # a signature that is no base64, or of a length that no curve has
        valid = False
    if not valid:
        raise TokenError(Cause.BAD_SIGNATURE)
    try:
        claims = msgspec.json.decode(_decode_base64url(signed.partition(".")[2]), type=Claims)
    except (msgspec.DecodeError, ValueError):
        raise TokenError(Cause.INCOMPLETE) from None
    return _to_verified_token(claims, key)


def _to_verified_token(claims: Claims, key: KeyringKey) -> VerifiedToken:
    times = [claims.iat, claims.exp, claims.iat if claims.nbf is None else claims.nbf]
    if not all(0 <= seconds < 1e11 for seconds in times):  # NaN and infinities as well
        raise TokenError(Cause.INCOMPLETE)
    if claims.jti is not None and not JTI_PATTERN.fullmatch(claims.jti):
        raise TokenError(Cause.INCOMPLETE)
    audience = (claims.aud,) if isinstance(claims.aud, str) else tuple(claims.aud)
    issued, ends, starts = (int(seconds * SECOND_US) for seconds in times)
    scope = frozenset(claims.scope.split())
    return VerifiedToken(
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


def public_key_from_jwk(algorithm: str, jwk: dict[str, str]) -> tuple[Any, str]:
    """Return a public key and its thumbprint (RFC 7638) from a JWK (RFC 7517).

    Raises ValueError where it is not a public key of the algorithm's own kind.
    """
    key_type_and_curve = CURVES.get(algorithm)
    if key_type_and_curve is None:
        raise ValueError(f"alg: must be one of {', '.join(ALGORITHMS)}")
    if (jwk.get("kty"), jwk.get("crv")) != key_type_and_curve:
        raise ValueError(f"jwk: {algorithm} takes kty {key_type_and_curve[0]} and crv {key_type_and_curve[1]}")
    if "d" in jwk:
        raise ValueError("jwk: holds a private key, which does not belong in a ring")
    try:
        public = ALGORITHMS[algorithm].from_jwk(jwk)
    except (jwt.exceptions.PyJWTError, ValueError, KeyError) as error:
        raise ValueError(f"jwk: {error}") from None
    return public, thumbprint(jwk)


def thumbprint(jwk: dict[str, str]) -> str:
    """Return RFC 7638's thumbprint: SHA-256 over the required members in order, base64url."""
    required_members = {name: jwk[name] for name in ("crv", "kty", "x", "y") if name in jwk}
    digest = hashlib.sha256(msgspec.json.encode(required_members, order="sorted")).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


def public_key_to_jwk(algorithm: str, public: Any) -> dict[str, str]:
    """Return the JWK of a public key, with the members that its thumbprint is made of."""
    full = ALGORITHMS[algorithm].to_jwk(public, as_dict=True)
    return {name: full[name] for name in ("crv", "kty", "x", "y") if name in full}


def _decode_base64url(part: str) -> bytes:
    return base64.urlsafe_b64decode(part + "=" * (-len(part) % 4))
