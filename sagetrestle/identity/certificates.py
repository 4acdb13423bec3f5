"""Client certificates, read for the names and times that the judge looks at (RFC 5280).

Whether a chain holds is for TLS, or for the web server that the operators trust; here a certificate is only
read, by the cryptography library.
"""

from __future__ import annotations

from cryptography import x509

from sagetrestle.identity.values import CertificateFacts


class CertificateError(ValueError):
    """A certificate that can not be read."""


def read_certificate(certificate: x509.Certificate) -> CertificateFacts:
    """Return what a certificate says of its holder: the URIs of its subjectAltName, then its subject."""
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
    """Read a certificate from PEM as web servers pass it: its lines may be apart by spaces or tabs.

    Raises CertificateError.
    """
    head, tail = "-----BEGIN CERTIFICATE-----", "-----END CERTIFICATE-----"
    plain = text.strip()
    if not plain.startswith(head) or not plain.endswith(tail):
        raise CertificateError("not one PEM certificate")
    inner = "\n".join(plain[len(head) : -len(tail)].split())
    try:
        return read_certificate(x509.load_pem_x509_certificate(f"{head}\n{inner}\n{tail}\n".encode()))
    except ValueError as error:
        raise CertificateError(str(error)) from None
