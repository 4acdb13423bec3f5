"""The verdict on a request: who sent it and whether it may run, for the moment at which it came.

``judge`` is the only place where that is decided. It looks at one snapshot, an immutable value that is
swapped whole, and at a token that was verified before; it reads no clock and verifies no signature.
"""

from __future__ import annotations

import hmac
from dataclasses import dataclass, field

from sagetrestle.identity.ring import KeyState, Ring
from sagetrestle.identity.tenants import Directory
from sagetrestle.identity.tokens import Verified, body_digest
from sagetrestle.identity.values import Asked, Cause, CertificateFacts, Credential, Presented, Verdict


@dataclass(frozen=True, slots=True)
class Terms:
    """What the operators ask of credentials; times in microseconds.

    ``leeway_us`` allows for the difference of two clocks; ``longest_us`` bounds a token's life, so that what
    must be remembered of one is bounded as well.
    """

    issuer: str
    audience: str
    leeway_us: int = 60_000_000
    longest_us: int = 3_600_000_000
    unmapped: str | None = None  # the tenant of front ends that the directory does not name


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that verdicts go by, at one moment."""

    terms: Terms
    ring: Ring = field(default_factory=Ring)
    directory: Directory = field(default_factory=Directory)


def judge(
    snapshot: Snapshot, presented: Presented, asked: Asked, now_us: int, verified: Verified | None = None
) -> Verdict:
    """Return the verdict for a request that came at ``now_us`` (Unix).

    A token must come with its verified form. Certificates count only as far as the front that read them was
    told to trust where they came from.
    """
    if presented.problem is not None:
        return Verdict(presented.problem)
    if presented.token is not None and presented.certificate is not None:
        return Verdict(Cause.AMBIGUOUS)
    if presented.front_end is not None:
        return _front_end(snapshot, presented.front_end, asked)
    if presented.certificate is not None:
        return _certificate(snapshot, presented.certificate, asked, now_us)
    if presented.token is None:
        return Verdict(Cause.MISSING)
    if verified is None:
        raise ValueError("a token is judged once it is verified")
    return _token(snapshot, verified, asked, now_us)


def _front_end(snapshot: Snapshot, number: int, asked: Asked) -> Verdict:
    name = snapshot.directory.front_ends.get(number, snapshot.terms.unmapped)
    if name is None:
        return Verdict(Cause.UNMAPPED)
    proven = Verdict(Cause.ENTITLED, credential=Credential("front end", str(number)))
    return _tenant(snapshot, name, asked, proven)


def _certificate(snapshot: Snapshot, facts: CertificateFacts, asked: Asked, now_us: int) -> Verdict:
    if facts.serial in snapshot.directory.revoked_serials:
        return Verdict(Cause.CERT_REVOKED)
    if now_us < facts.not_before_us:
        return Verdict(Cause.CERT_EXPIRED)
    name = snapshot.directory.by_certificate(facts.names)
    if name is None:
        return Verdict(Cause.CERT_UNKNOWN)
    proven = Verdict(Cause.ENTITLED, credential=Credential("certificate", facts.serial))
    verdict = _tenant(snapshot, name, asked, proven)
    over = verdict.entitled and now_us >= facts.not_after_us
    return verdict._replace(cause=Cause.CERT_EXPIRED) if over else verdict


def _token(snapshot: Snapshot, token: Verified, asked: Asked, now_us: int) -> Verdict:
    """Judge a token: its key now, whom it is for, what it is for, and last whether its time is over.

    What binds it to this service and this body goes first: only a token that would have counted proves who
    asks once it has run out.
    """
    if cause := key_cause(snapshot, token, now_us):
        return Verdict(cause)
    terms = snapshot.terms
    if token.issuer != terms.issuer:
        return Verdict(Cause.ISSUER)
    if terms.audience not in token.audience:
        return Verdict(Cause.AUDIENCE)
    if token.ends_us - token.issued_us > terms.longest_us:
        return Verdict(Cause.TOO_LONG)
    if max(token.starts_us, token.issued_us) > now_us + terms.leeway_us:
        return Verdict(Cause.NOT_YET)
    if cause := _body_cause(token, asked):
        return Verdict(cause)
    if asked.cls not in token.scope:
        return Verdict(Cause.SCOPE)
    until = token.ends_us + terms.leeway_us
    proven = Verdict(Cause.ENTITLED, None, Credential("key", token.kid), token.jti, until)
    verdict = _tenant(snapshot, token.tenant, asked, proven)
    if verdict.entitled and now_us >= until:
        return verdict._replace(cause=Cause.EXPIRED)
    if verdict.entitled and snapshot.ring.keys[token.kid].state(now_us) is KeyState.RETIRED:
        return verdict._replace(cause=Cause.KEY_RETIRED)
    return verdict


def key_cause(snapshot: Snapshot, token: Verified, now_us: int) -> Cause | None:
    """Return why a token's key proves nothing now, if it does not.

    A key counts for what it signed before it was retired: a signer that goes on with it is not trusted. The
    leeway covers a signer whose clock is ahead of a key's first moment. That a key is retired by now is left
    to the end of the judgement, as it still proves who asked.
    """
    key = snapshot.ring.keys.get(token.kid)
    if key is None or key.thumbprint != token.thumbprint:
        return Cause.UNKNOWN_KEY
    state, leeway = key.state(now_us), snapshot.terms.leeway_us
    if state is KeyState.REVOKED:
        return Cause.KEY_REVOKED
    if state is KeyState.PENDING and key.state(now_us + leeway) is not KeyState.ACTIVE:
        return Cause.KEY_PENDING
    if token.issued_us >= key.signs_until_us + leeway:
        return Cause.KEY_RETIRED
    return None


def _body_cause(token: Verified, asked: Asked) -> Cause | None:
    """Return why a token does not hold for this body: a charge's must name it, and an id of its own."""
    if asked.charge and (token.body_sha256 is None or token.jti is None):
        return Cause.INCOMPLETE
    if token.body_sha256 is None:
        return None
    digest = body_digest(asked.body)
    return None if hmac.compare_digest(digest.encode(), token.body_sha256.encode()) else Cause.BODY


def _tenant(snapshot: Snapshot, name: str, asked: Asked, proven: Verdict) -> Verdict:
    """Complete a verdict with the tenant's own state and rights."""
    tenant = snapshot.directory.tenants.get(name)
    if tenant is None:
        return Verdict(Cause.UNKNOWN_TENANT)
    verdict = proven._replace(tenant=name)
    if not tenant.on:
        return verdict._replace(cause=Cause.TENANT_OFF)
    return verdict if tenant.may(asked.cls) else verdict._replace(cause=Cause.NO_RIGHT)


def revoked_between(old: Snapshot, new: Snapshot) -> frozenset[Credential]:
    """Return the credentials that a new snapshot revokes and the old one did not.

    A key that is gone from the ring without having been retired first counts as revoked, and so does one
    whose id now names another key: what it let in can not be told from what it should not have.
    """
    keys = {kid for kid in new.ring.revoked() - old.ring.revoked()}
    for kid, key in old.ring.keys.items():
        now = new.ring.keys.get(kid)
        swapped = now is not None and now.thumbprint != key.thumbprint
        lost = now is None and key.state(new.ring.seen_us) is not KeyState.RETIRED
        if swapped or (lost and key.revoked_us is None):
            keys.add(kid)
    serials = new.directory.revoked_serials - old.directory.revoked_serials
    return frozenset(
        {Credential("key", kid) for kid in keys} | {Credential("certificate", serial) for serial in serials}
    )
