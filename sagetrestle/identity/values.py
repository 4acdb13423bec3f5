"""The words of identity: who may ask for what, what a request brings to prove it, and the verdict.

Light on purpose: the core and the fronts import this module alone, and it imports no library.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Cause(Enum):
    """Why a verdict is what it is; the text goes to the log and to the caller."""

    ENTITLED = "entitled"
    MISSING = "no credentials"
    AMBIGUOUS = "more than one credential"
    MALFORMED = "a token that can not be read"
    ALGORITHM = "an algorithm that is not taken, or not the key's own"
    UNKNOWN_KEY = "signed with a key that is not known"
    KEY_PENDING = "signed with a key that does not count yet"
    KEY_RETIRED = "signed with a key that is retired"
    KEY_REVOKED = "signed with a key that is revoked"
    BAD_SIGNATURE = "a signature that does not hold"
    INCOMPLETE = "a claim is missing"
    ISSUER = "another issuer"
    AUDIENCE = "for another audience"
    NOT_YET = "from the future: is the signer's clock ahead?"
    EXPIRED = "expired"
    TOO_LONG = "valid for longer than is allowed"
    BODY = "for another body"
    REPLAYED = "its jti came before for another request"
    CERT_UNKNOWN = "a certificate that names no tenant"
    CERT_MALFORMED = "a certificate that can not be read"
    CERT_EXPIRED = "a certificate that has run out or does not count yet"
    CERT_REVOKED = "a certificate that is revoked"
    UNMAPPED = "a front end that stands for no tenant"
    UNKNOWN_TENANT = "a tenant that is not known"
    TENANT_OFF = "a tenant that is switched off"
    NO_RIGHT = "the tenant has no right to this class"
    SCOPE = "the token's scope does not hold this class"
    SPENT = "the tenant's spending cap is reached"
    RATE = "the tenant's rate is reached"
    BUSY = "too many credentials wait to be verified"


# What only says that the right to run is over, not who asks: beside a proven tenant these still let a repeat
# have what an earlier try of it ran, which must never be refused.
LAPSED = frozenset({Cause.EXPIRED, Cause.KEY_RETIRED, Cause.CERT_EXPIRED, Cause.TENANT_OFF, Cause.NO_RIGHT})


class CertificateFacts(NamedTuple):
    """What a certificate says that its chain was already found to hold; times in Unix microseconds.

    ``names`` are the URIs of its subjectAltName (RFC 5280, 4.2.1.6), then its subject (RFC 4514);
    ``serial`` is in lower-case hexadecimal without leading zeros.
    """

    names: tuple[str, ...]
    serial: str
    not_before_us: int
    not_after_us: int


class PresentedCredentials(NamedTuple):
    """What a request brings to prove who sent it.

    ``source`` is whom verification work is shared out by; ``problem`` is set by a front that could not read
    what came. A request of a front that maps its callers brings ``front_end`` alone.
    """

    source: str
    token: str | None = None
    certificate: CertificateFacts | None = None
    front_end: int | None = None
    problem: Cause | None = None


class AccessRequest(NamedTuple):
    """What a request asks for: the class by name, whether it charges, and its body."""

    class_name: str
    charge: bool
    body: bytes


class Credential(NamedTuple):
    """By what a request was let in, so that a later revocation finds it: ``key`` or ``certificate``."""

    kind: str
    name: str


class Verdict(NamedTuple):
    """Who asks, and whether they may.

    ``tenant`` is set as soon as it is proven, so also beside some causes other than ``ENTITLED``: an
    ``EXPIRED`` verdict with a tenant proves who asks, which is enough to be given what was already run
    (``lapsed``).
    ``jti`` and ``until_us`` (Unix) are the token's, where it has them.
    """

    cause: Cause
    tenant: str | None = None
    credential: Credential | None = None
    jti: str | None = None
    until_us: int = 0

    @property
    def entitled(self) -> bool:
        """Tell whether the request may run."""
        return self.cause is Cause.ENTITLED

    @property
    def lapsed(self) -> bool:
        """Tell whether who asks is proven, but not that anything may run for them now."""
        return self.tenant is not None and self.cause in LAPSED
