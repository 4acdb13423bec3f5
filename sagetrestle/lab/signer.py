"""Tokens for the load: a key store of its own folder, rotated on a timetable as an operator would."""

from __future__ import annotations

import time
from collections.abc import Iterable
from pathlib import Path

from sagetrestle.identity.tokens import sign
from sagetrestle.store.keys import KeyStore

ISSUER, AUDIENCE = "https://keys.sagetrestle.example", "scorers"


def now_us() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


class LabSigner:
    """Signs tokens with the newest active key of a store."""

    def __init__(self, folder: Path, lifetime_s: float = 30.0, issuer: str = ISSUER, audience: str = AUDIENCE) -> None:
        self.store, self._lifetime_us = KeyStore(folder), int(lifetime_s * 1e6)
        self._issuer, self._audience = issuer, audience
        if not self.store.path.exists():
            self.store.generate("EdDSA", now_us())
        self.rotations = 0

    def rotate(self, lead_s: float, overlap_s: float) -> str:
        """Add a successor, which signs once every scorer can have read it."""
        self.rotations += 1
        algorithm = ("EdDSA", "ES256")[self.rotations % 2]
        return self.store.rotate(algorithm, now_us(), int(lead_s * 1e6), int(overlap_s * 1e6))

    def token(
        self,
        tenant: str,
        scope: Iterable[str],
        jti: str | None = None,
        body: bytes | None = None,
        lifetime_s: float | None = None,
        issued_us: int | None = None,
        kid: str | None = None,
    ) -> str:
        """Return a token of a tenant; with a body it holds for that alone."""
        at = now_us()
        key = self.store.signer(at) if kid is None else kid
        lifetime = self._lifetime_us if lifetime_s is None else int(lifetime_s * 1e6)
        return sign(
            self.store.private(key),
            key,
            self.store.keyring().keys[key].algorithm,
            issuer=self._issuer,
            audience=self._audience,
            tenant=tenant,
            scope=scope,
            jti=jti,
            body=body,
            issued_us=at if issued_us is None else issued_us,
            lifetime_us=lifetime,
        )


def identity_toml(folder: Path, **fields: object) -> str:
    """Return an operators' file that turns identity on, with the ring and tenants of a folder."""
    given = {
        "issuer": ISSUER,
        "audience": AUDIENCE,
        "ring": str(folder / "ring.json"),
        "tenants": str(folder / "tenants.toml"),
        "watch_ms": 100,
        **fields,
    }
    return "".join(f"{name} = {_toml(value)}\n" for name, value in given.items())


def _toml(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, dict):
        return "{" + ", ".join(f"{name} = {_toml(one)}" for name, one in value.items()) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(_toml, value)) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)
