"""How planned requests are sent: over SCGI with a token of their own, or over Thrift as a front end does."""

from __future__ import annotations

import random
from pathlib import Path

from sagetrestle.lab.clients import FrontEnd, ask_scgi, status_of
from sagetrestle.lab.load import Outcome, Planned

HOWS = {200: "served", 503: "refused", 400: "denied", 401: "denied", 403: "denied", 409: "denied", 429: "denied"}


def outcome_of(data: bytes) -> Outcome:
    """Return what a CGI response says."""
    status = status_of(data)
    return Outcome(HOWS.get(status, "failed" if status else "lost"), status)


def scgi_headers(one: Planned, token: str | None) -> dict[str, str]:
    """Return the headers of a planned request."""
    headers = {"HTTP_X_CALLER": one.front, "HTTP_X_RETRY": "1" if one.retry else "0"}
    headers |= {"HTTP_AUTHORIZATION": f"Bearer {token}"} if token else {}
    return headers | ({"HTTP_IDEMPOTENCY_KEY": one.key} if one.key else {})


class ScgiSender:
    """Sends over SCGI, signing with the keys of a store where there is one."""

    def __init__(self, port: int, store: Path | None = None, issuer: str = "", audience: str = "") -> None:
        self._port, self._issuer, self._audience = port, issuer, audience
        self._signer = None
        if store is not None:
            from sagetrestle.lab.signer import LabSigner

            self._signer = LabSigner(store, issuer=issuer, audience=audience)

    async def send(self, one: Planned) -> Outcome:
        """Send one try."""
        token = None
        if self._signer is not None:
            token = self._signer.token(one.tenant, [one.cls], f"j-{one.key or one.number}", one.body)
        return outcome_of(await ask_scgi(self._port, one.cls, one.body, **scgi_headers(one, token)))


class ThriftSender:
    """Sends as a front end with one connection; ids are drawn from the seed."""

    def __init__(self, front: FrontEnd, seed: int) -> None:
        self._front, self._ids = front, random.Random(seed)

    async def send(self, one: Planned) -> Outcome:
        """Send one try."""
        number = await self._front.ask(f"{self._ids.getrandbits(64):016x}", one.cls, one.body, one.key)
        return Outcome(self._front.outcome(number))
