"""What an SCGI request brings to prove who sent it. Loaded only where identity is on.

That is a token, a certificate of its own connection, or the words of a web server that the operators trust.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any

from sagetrestle.identity.certificates import CertificateError, read_certificate, read_certificate_pem
from sagetrestle.identity.tenants import TenantError, normalize_serial
from sagetrestle.identity.values import Cause, CertificateFacts, PresentedCredentials

BEARER = re.compile(r"Bearer +([A-Za-z0-9._~+/=-]+) *", re.IGNORECASE)
SCHEME = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+)( |$)")
DATE = "%b %d %H:%M:%S %Y %Z"  # as OpenSSL prints it, and web servers pass it on


class CredentialReader:
    """Reads credentials for connections of one front, by what the operators trust."""

    def __init__(self, trusted_peers: frozenset[str]) -> None:
        self._trusted = trusted_peers

    def read(self, headers: Mapping[str, str], peer: str, certificate: Any) -> PresentedCredentials:
        """Return what a request presents; ``certificate`` is the connection's own, if it has one.

        The source is the address that the peer names, where there is one, else the peer's.
        """
        source = headers.get("REMOTE_ADDR") or peer
        token, problem = _bearer(headers.get("HTTP_AUTHORIZATION"))
        if problem is not None:
            return PresentedCredentials(source, problem=problem)
        try:
            facts = self._certificate(headers, peer, certificate)
        except (CertificateError, TenantError):
            return PresentedCredentials(source, problem=Cause.CERT_MALFORMED)
        return PresentedCredentials(source, token, facts)

    def _certificate(self, headers: Mapping[str, str], peer: str, certificate: Any) -> CertificateFacts | None:
        """Return the certificate's facts; the words of a peer that is not trusted are as if not there."""
        if certificate is not None:
            return read_certificate(certificate.to_cryptography())
        if peer not in self._trusted or headers.get("SSL_CLIENT_VERIFY", "NONE") == "NONE":
            return None
        if headers["SSL_CLIENT_VERIFY"] != "SUCCESS":
            raise CertificateError("the web server could not verify it")
        if pem := headers.get("SSL_CLIENT_CERT"):
            return read_certificate_pem(pem)
        return _from_words(headers)


def _bearer(value: str | None) -> tuple[str | None, Cause | None]:
    """Return the token of one Authorization word (RFC 6750, 2.1), or what is wrong with it.

    Another scheme is no credential here; a list of two is refused, as it is not told which one counts.
    """
    if value is None or not value.strip():
        return None, None
    if match := BEARER.fullmatch(value.strip()):
        return match[1], None
    if "," in value:
        return None, Cause.AMBIGUOUS
    scheme = SCHEME.match(value.strip())
    bearer = scheme is None or scheme[1].lower() == "bearer"
    return None, Cause.MALFORMED if bearer else Cause.MISSING


def _from_words(headers: Mapping[str, str]) -> CertificateFacts:
    """Read the words that Apache's mod_ssl and others pass: subject, URIs, serial, and its times."""
    names = [headers[f"SSL_CLIENT_SAN_URI_{at}"] for at in range(8) if f"SSL_CLIENT_SAN_URI_{at}" in headers]
    if subject := headers.get("SSL_CLIENT_S_DN"):
        names.append(subject)
    if not names:
        raise CertificateError("no name")
    start, end = (_time(headers.get(f"SSL_CLIENT_V_{which}", "")) for which in ("START", "END"))
    return CertificateFacts(tuple(names), normalize_serial(headers.get("SSL_CLIENT_M_SERIAL", "")), start, end)


def _time(text: str) -> int:
    """Read a time as Unix microseconds."""
    try:
        found = datetime.strptime(" ".join(text.split()), DATE)
    except ValueError:
        raise CertificateError("a time that can not be read") from None
    return int(found.replace(tzinfo=UTC).timestamp() * 1_000_000)
