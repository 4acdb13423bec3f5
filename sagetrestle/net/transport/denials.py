"""What a verdict's cause means on each wire: the one place for it.

SCGI has HTTP's words: 401 and 403 with the Bearer challenge of RFC 6750 (section 3.1), 429 of RFC 6585 for a
cap, 503 where the credentials could not be looked at yet. Thrift has one word, the refusal; every denial is
one, as what is denied never ran, and asks that no other scorer be tried but where only this one is busy.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import NamedTuple

from sagetrestle.identity.values import Cause
from sagetrestle.net.routing.values import Denied, Refused

REALM = 'Bearer realm="sagetrestle"'


class Challenge(Enum):
    """The error code of the challenge."""

    NONE = ""
    REQUEST = "invalid_request"
    TOKEN = "invalid_token"
    SCOPE = "insufficient_scope"


class DenialResponse(NamedTuple):
    """How a cause is told: the status, and the challenge where there is one."""

    status: str
    challenge: Challenge | None = None
    elsewhere: bool = False  # another scorer may decide otherwise


UNAUTHORIZED, FORBIDDEN = "401 Unauthorized", "403 Forbidden"
TOKEN = DenialResponse(UNAUTHORIZED, Challenge.TOKEN)
DENIAL_RESPONSES: dict[Cause, DenialResponse] = {
    Cause.MISSING: DenialResponse(UNAUTHORIZED, Challenge.NONE),
    Cause.AMBIGUOUS: DenialResponse("400 Bad Request", Challenge.REQUEST),
    Cause.MALFORMED: TOKEN,
    Cause.ALGORITHM: TOKEN,
    Cause.UNKNOWN_KEY: TOKEN,
    Cause.KEY_PENDING: TOKEN,
    Cause.KEY_RETIRED: TOKEN,
    Cause.KEY_REVOKED: TOKEN,
    Cause.BAD_SIGNATURE: TOKEN,
    Cause.INCOMPLETE: TOKEN,
    Cause.ISSUER: TOKEN,
    Cause.AUDIENCE: TOKEN,
    Cause.NOT_YET: TOKEN,
    Cause.EXPIRED: TOKEN,
    Cause.TOO_LONG: TOKEN,
    Cause.BODY: TOKEN,
    Cause.REPLAYED: TOKEN,
    Cause.CERT_UNKNOWN: DenialResponse(FORBIDDEN),
    Cause.CERT_MALFORMED: DenialResponse("400 Bad Request", Challenge.REQUEST),
    Cause.CERT_EXPIRED: DenialResponse(FORBIDDEN),
    Cause.CERT_REVOKED: DenialResponse(FORBIDDEN),
    Cause.UNMAPPED: DenialResponse(FORBIDDEN),
    Cause.UNKNOWN_TENANT: DenialResponse(FORBIDDEN),
    Cause.TENANT_OFF: DenialResponse(FORBIDDEN),
    Cause.NO_RIGHT: DenialResponse(FORBIDDEN),
    Cause.SCOPE: DenialResponse(FORBIDDEN, Challenge.SCOPE),
    Cause.SPENT: DenialResponse("429 Too Many Requests"),
    Cause.RATE: DenialResponse("429 Too Many Requests"),
    Cause.BUSY: DenialResponse("503 Service Unavailable", elsewhere=True),
}


def scgi_denial(answer: Denied) -> tuple[str, dict[str, str]]:
    """Return the status and the headers for a denial; its text is the cause's."""
    response = DENIAL_RESPONSES[answer.cause]
    headers = {}
    if response.challenge is not None:
        error = f', error="{response.challenge.value}", error_description="{answer.cause.value}"'
        headers["WWW-Authenticate"] = REALM + (error if response.challenge is not Challenge.NONE else "")
    if answer.retry_after_us > 0:
        headers["Retry-After"] = str(max(1, math.ceil(answer.retry_after_us / 1e6)))
    return response.status, headers


def thrift_denial(answer: Denied) -> Refused:
    """Return the refusal that stands for a denial."""
    return Refused(answer.retry_after_us, last=not DENIAL_RESPONSES[answer.cause].elsewhere)
