"""TLS contexts for the fronts: TLS 1.3 only, optional client certificates, reloadable files.

Imported only if identity is enabled. A connection keeps the context that it started with; a new connection gets the
newest one.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from OpenSSL import SSL, crypto
from twisted.internet.interfaces import IOpenSSLContextFactory
from twisted.internet.ssl import Certificate, CertificateOptions, KeyPair, TLSVersion
from zope.interface import implementer

PEM_END = b"-----END CERTIFICATE-----"


class TlsError(ValueError):
    """The files do not give a valid context; the text names the file."""


@implementer(IOpenSSLContextFactory)
class TlsContext:
    """Gives new connections the current context; ``replace`` sets another one."""

    def __init__(self, context: SSL.Context) -> None:
        self._context = context

    def getContext(self) -> SSL.Context:  # noqa: N802
        """Return the context for a new connection."""
        return self._context

    def replace(self, context: SSL.Context) -> None:
        """Set the context for further connections."""
        self._context = context


def read_context(certificate: bytes, key: bytes, trust: bytes) -> SSL.Context:
    """Return a context from the contents of PEM files: a chain, its key, and the trusted roots for clients.

    A client without a certificate is accepted, as its requests may carry a token. A client with an invalid certificate
    is rejected. Raises TlsError.
    """
    chain = _certificates("certificate", certificate)
    roots = _certificates("trust", trust)
    try:
        private = KeyPair.load(key, crypto.FILETYPE_PEM).original
    except (crypto.Error, ValueError, TypeError) as error:
        raise TlsError(f"tls.key: can not be read: {type(error).__name__}") from None
    options = CertificateOptions(
        privateKey=private,
        certificate=chain[0].original,
        extraCertChain=[intermediate.original for intermediate in chain[1:]],
        raiseMinimumTo=TLSVersion.TLSv1_3,
        enableSessions=False,
    )
    context = options.getContext()
    for root in roots:
        context.get_cert_store().add_cert(root.original)
    context.set_client_ca_list([root.original.get_subject() for root in roots])
    # A client may have no certificate, but not an invalid one.
    context.set_verify(SSL.VERIFY_PEER | SSL.VERIFY_CLIENT_ONCE)
    try:
        context.check_privatekey()
    except SSL.Error:
        raise TlsError("tls.key: is not the certificate's") from None
    return context


def _certificates(name: str, data: bytes) -> list[Any]:
    """Read all certificates of a PEM file. Raises TlsError, which names the setting."""
    parts = [part + PEM_END for part in data.split(PEM_END)[:-1]]
    try:
        certificates = [Certificate.loadPEM(part.strip() + b"\n") for part in parts]
    except (crypto.Error, ValueError) as error:
        raise TlsError(f"tls.{name}: can not be read: {type(error).__name__}") from None
    if not certificates:
        raise TlsError(f"tls.{name}: holds no PEM certificate")
    return certificates


class TlsFront:
    """The TLS files of one front, and the context for its new connections."""

    def __init__(self, paths: Mapping[str, Path]) -> None:
        self.context = TlsContext(self.read(paths))

    @staticmethod
    def read(paths: Mapping[str, Path]) -> SSL.Context:
        """Return a context from the current contents of the files. Raises TlsError, which names the setting."""
        contents = []
        for name in ("certificate", "key", "trust"):
            try:
                contents.append(paths[f"tls.{name}"].read_bytes())
            except OSError as error:
                raise TlsError(f"tls.{name}: {error.strerror}") from None
        return read_context(*contents)
