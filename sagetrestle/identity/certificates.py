"""Reads the names and validity period of client certificates for the authorizer (RFC 5280).

The certificate chain is verified by TLS, or by the web server that the operators trust; here a certificate is only
parsed, by the cryptography library.
"""

from __future__ import annotations

from cryptography import x509

from sagetrestle.identity.values import CertificateFacts


class CertificateError(ValueError):
    """A certificate can not be parsed."""


def read_certificate(certificate: x509.Certificate) -> CertificateFacts:
    """Return a certificate's names (the URIs of its subjectAltName, then its subject), serial number and validity.

    Raises CertificateError.
    """
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        uris = names.get_values_for_type(x509.UniformResourceIdentifier)
    except x509.ExtensionNotFound:
        uris = []
    except ValueError as error:
        raise CertificateError(f"extensions: {error}") from None
    subject = certificate.subject.rfc4514_string()
    return CertificateFacts(
        (*uris, *([subject] if subject else ())),
        f"{certificate.serial_number:x}",
        int(certificate.not_valid_before_utc.timestamp() * 1_000_000),
        int(certificate.not_valid_after_utc.timestamp() * 1_000_000),
    )


def read_certificate_pem(text: str) -> CertificateFacts:
    """Read a PEM certificate as web servers pass it: spaces or tabs may replace its line breaks.

    Raises CertificateError.
    """
    head, tail = "-----BEGIN CERTIFICATE-----", "-----END CERTIFICATE-----"
    stripped = text.strip()
    if not stripped.startswith(head) or not stripped.endswith(tail):
        raise CertificateError("expected exactly one PEM certificate")
    inner = "\n".join(stripped[len(head) : -len(tail)].split())
    try:
        return read_certificate(x509.load_pem_x509_certificate(f"{head}\n{inner}\n{tail}\n".encode()))
    except ValueError as error:
        raise CertificateError(str(error)) from None
