"""Maps the cause of a denial to the response of each protocol.

SCGI uses HTTP status codes: 401 and 403 with the Bearer challenge of RFC 6750 (section 3.1), 429 of RFC 6585 for a
spending cap or rate limit, and 503 if the credentials could not be checked yet. Thrift has only the refusal, which is
right for every denial because a denied request never ran. It tells the front end to try no other scorer, unless only
this scorer is busy.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import NamedTuple

from sagetrestle.identity.values import Cause
from sagetrestle.net.routing.values import Denied, Refused

REALM = 'Bearer realm="sagetrestle"'


class Challenge(Enum):
    """The error code in the Bearer challenge."""

    NONE = ""
    REQUEST = "invalid_request"
    TOKEN = "invalid_token"
    SCOPE = "insufficient_scope"


class DenialResponse(NamedTuple):
    """The response to a denial: the HTTP status, and the error code of the challenge if one is sent."""

    status: str
    challenge: Challenge | None = None
    elsewhere: bool = False  # another scorer may decide differently


UNAUTHORIZED = "401 Unauthorized"
FORBIDDEN = "403 Forbidden"
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
    """Return the HTTP status and headers of a denial; the text of the response is that of the cause."""
    response = DENIAL_RESPONSES[answer.cause]
    headers = {}
    if response.challenge is not None:
        error = f', error="{response.challenge.value}", error_description="{answer.cause.value}"'
        headers["WWW-Authenticate"] = REALM + (error if response.challenge is not Challenge.NONE else "")
    if answer.retry_after_us > 0:
        headers["Retry-After"] = str(max(1, math.ceil(answer.retry_after_us / 1e6)))
    return response.status, headers


def thrift_denial(answer: Denied) -> Refused:
    """Return the refusal that represents a denial in Thrift."""
    return Refused(answer.retry_after_us, last=not DENIAL_RESPONSES[answer.cause].elsewhere)
