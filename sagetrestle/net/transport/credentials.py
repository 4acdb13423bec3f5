"""Reads the credentials of SCGI requests. Imported only if identity is enabled.

Credentials are a bearer token, the client certificate of the TLS connection, or certificate headers set by a web server
that the operators trust.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any

from sagetrestle.identity.certificates import CertificateError, read_certificate, read_certificate_pem
from sagetrestle.identity.tenants import TenantError, normalize_serial
from sagetrestle.identity.values import Cause, CertificateFacts, PresentedCredentials

BEARER_PATTERN = re.compile(r"Bearer +([A-Za-z0-9._~+/=-]+) *", re.IGNORECASE)
SCHEME_PATTERN = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+)( |$)")
CERTIFICATE_DATE_FORMAT = "%b %d %H:%M:%S %Y %Z"  # the format of OpenSSL, which web servers pass on


class CredentialReader:
    """Reads the credentials of requests on one front; certificate headers count only from trusted peers."""

    def __init__(self, trusted_peers: frozenset[str]) -> None:
        self._trusted_peers = trusted_peers

    def read(self, headers: Mapping[str, str], peer: str, certificate: Any) -> PresentedCredentials:
        """Return the credentials of a request; ``certificate`` is the TLS client certificate, or None.

        The source is the address in ``REMOTE_ADDR`` if the header is set, else the peer's address.
        """
        source = headers.get("REMOTE_ADDR") or peer
        token, problem = _bearer(headers.get("HTTP_AUTHORIZATION"))
        if problem is not None:
            return PresentedCredentials(source, problem=problem)
        try:
            certificate_facts = self._certificate(headers, peer, certificate)
        except (CertificateError, TenantError):
            return PresentedCredentials(source, problem=Cause.CERT_MALFORMED)
        return PresentedCredentials(source, token, certificate_facts)

    def _certificate(self, headers: Mapping[str, str], peer: str, certificate: Any) -> CertificateFacts | None:
        """Return the client certificate's facts, or None; certificate headers of an untrusted peer are ignored."""
        if certificate is not None:
            return read_certificate(certificate.to_cryptography())
        if peer not in self._trusted_peers or headers.get("SSL_CLIENT_VERIFY", "NONE") == "NONE":
            return None
        if headers["SSL_CLIENT_VERIFY"] != "SUCCESS":
            raise CertificateError("the web server could not verify it")
        if pem := headers.get("SSL_CLIENT_CERT"):
            return read_certificate_pem(pem)
        return _facts_from_headers(headers)


def _bearer(value: str | None) -> tuple[str | None, Cause | None]:
    """Return the bearer token of an Authorization header (RFC 6750, 2.1), or the cause for which it is rejected.

    Another scheme counts as a missing credential. A list of several credentials is ambiguous and rejected.
    """
    if value is None or not value.strip():
        return None, None
    if match := BEARER_PATTERN.fullmatch(value.strip()):
        return match[1], None
    if "," in value:
        return None, Cause.AMBIGUOUS
    scheme = SCHEME_PATTERN.match(value.strip())
    bearer = scheme is None or scheme[1].lower() == "bearer"
    return None, Cause.MALFORMED if bearer else Cause.MISSING


def _facts_from_headers(headers: Mapping[str, str]) -> CertificateFacts:
    """Read the certificate headers of Apache's mod_ssl and others: subject, URIs, serial number and validity."""
    names = [headers[f"SSL_CLIENT_SAN_URI_{index}"] for index in range(8) if f"SSL_CLIENT_SAN_URI_{index}" in headers]
    if subject := headers.get("SSL_CLIENT_S_DN"):
        names.append(subject)
    if not names:
        raise CertificateError("no name")
    start, end = (_time(headers.get(f"SSL_CLIENT_V_{boundary}", "")) for boundary in ("START", "END"))
    return CertificateFacts(tuple(names), normalize_serial(headers.get("SSL_CLIENT_M_SERIAL", "")), start, end)


def _time(text: str) -> int:
    """Parse a certificate time into Unix microseconds. Raises CertificateFault."""
    try:
        parsed = datetime.strptime(" ".join(text.split()), CERTIFICATE_DATE_FORMAT)
    except ValueError:
        raise CertificateError("a time that can not be read") from None
    return int(parsed.replace(tzinfo=UTC).timestamp() * 1_000_000)
