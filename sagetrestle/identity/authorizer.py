"""The verdict on a request: who sent it and whether it may run, for the moment at which it came.

``authorize`` is the only place where that is decided. It looks at one snapshot, an immutable value that is
swapped whole, and at a token that was verified before; it reads no clock and verifies no signature.
"""

from __future__ import annotations

import hmac
from dataclasses import dataclass, field

from sagetrestle.identity.keyring import Keyring, KeyState
from sagetrestle.identity.tenants import TenantDirectory
from sagetrestle.identity.tokens import VerifiedToken, body_digest
from sagetrestle.identity.values import (
    AccessRequest,
    Cause,
    CertificateFacts,
    Credential,
    PresentedCredentials,
    Verdict,
)


@dataclass(frozen=True, slots=True)
class TokenPolicy:
    """What the operators ask of credentials; times in microseconds.

    ``leeway_us`` allows for the difference of two clocks; ``max_lifetime_us`` bounds a token's life, so that what
    must be remembered of one is bounded as well.
    """

    issuer: str
    audience: str
    leeway_us: int = 60_000_000
    max_lifetime_us: int = 3_600_000_000
    unmapped: str | None = None  # the tenant of front ends that the directory does not name


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that verdicts go by, at one moment."""

    policy: TokenPolicy
    keyring: Keyring = field(default_factory=Keyring)
    directory: TenantDirectory = field(default_factory=TenantDirectory)


def authorize(
    snapshot: Snapshot,
    credentials: PresentedCredentials,
    access_request: AccessRequest,
    now_us: int,
    verified: VerifiedToken | None = None,
) -> Verdict:
    """Return the verdict for a request that came at ``now_us`` (Unix).

    A token must come with its verified form. Certificates count only as far as the front that read them was
    told to trust where they came from.
    """
    if credentials.problem is not None:
        return Verdict(credentials.problem)
    if credentials.token is not None and credentials.certificate is not None:
        return Verdict(Cause.AMBIGUOUS)
    if credentials.front_end is not None:
        return _authorize_front_end(snapshot, credentials.front_end, access_request)
    if credentials.certificate is not None:
        return _authorize_certificate(snapshot, credentials.certificate, access_request, now_us)
    if credentials.token is None:
        return Verdict(Cause.MISSING)
    if verified is None:
        raise ValueError("a token is judged once it is verified")
    return _authorize_token(snapshot, verified, access_request, now_us)


def _authorize_front_end(snapshot: Snapshot, number: int, access_request: AccessRequest) -> Verdict:
    name = snapshot.directory.front_ends.get(number, snapshot.policy.unmapped)
    if name is None:
        return Verdict(Cause.UNMAPPED)
    proven = Verdict(Cause.ENTITLED, credential=Credential("front end", str(number)))
    return _authorize_tenant(snapshot, name, access_request, proven)


def _authorize_certificate(
    snapshot: Snapshot, facts: CertificateFacts, access_request: AccessRequest, now_us: int
) -> Verdict:
    if facts.serial in snapshot.directory.revoked_serials:
        return Verdict(Cause.CERT_REVOKED)
    if now_us < facts.not_before_us:
        return Verdict(Cause.CERT_EXPIRED)
    name = snapshot.directory.by_certificate(facts.names)
    if name is None:
        return Verdict(Cause.CERT_UNKNOWN)
    proven = Verdict(Cause.ENTITLED, credential=Credential("certificate", facts.serial))
    verdict = _authorize_tenant(snapshot, name, access_request, proven)
    expired = verdict.entitled and now_us >= facts.not_after_us
    return verdict._replace(cause=Cause.CERT_EXPIRED) if expired else verdict


def _authorize_token(snapshot: Snapshot, token: VerifiedToken, access_request: AccessRequest, now_us: int) -> Verdict:
    """Judge a token: its key now, whom it is for, what it is for, and last whether its time is over.

    What binds it to this service and this body goes first: only a token that would have counted proves who
    asks once it has run out.
    """
    if cause := check_key(snapshot, token, now_us):
        return Verdict(cause)
    policy = snapshot.policy
    if token.issuer != policy.issuer:
        return Verdict(Cause.ISSUER)
    if policy.audience not in token.audience:
        return Verdict(Cause.AUDIENCE)
    if token.ends_us - token.issued_us > policy.max_lifetime_us:
        return Verdict(Cause.TOO_LONG)
    if max(token.starts_us, token.issued_us) > now_us + policy.leeway_us:
        return Verdict(Cause.NOT_YET)
    if cause := _check_body(token, access_request):
        return Verdict(cause)
    if access_request.class_name not in token.scope:
        return Verdict(Cause.SCOPE)
    until = token.ends_us + policy.leeway_us
    proven = Verdict(Cause.ENTITLED, None, Credential("key", token.kid), token.jti, until)
    verdict = _authorize_tenant(snapshot, token.tenant, access_request, proven)
    if verdict.entitled and now_us >= until:
        return verdict._replace(cause=Cause.EXPIRED)
    if verdict.entitled and snapshot.keyring.keys[token.kid].state(now_us) is KeyState.RETIRED:
        return verdict._replace(cause=Cause.KEY_RETIRED)
    return verdict


def check_key(snapshot: Snapshot, token: VerifiedToken, now_us: int) -> Cause | None:
    """Return why a token's key proves nothing now, if it does not.

    A key counts for what it signed before it was retired: a signer that goes on with it is not trusted. The
    leeway covers a signer whose clock is ahead of a key's first moment. That a key is retired by now is left
    to the end of the judgement, as it still proves who asked.
    """
    key = snapshot.keyring.keys.get(token.kid)
    if key is None or key.thumbprint != token.thumbprint:
        return Cause.UNKNOWN_KEY
    state, leeway = key.state(now_us), snapshot.policy.leeway_us
    if state is KeyState.REVOKED:
        return Cause.KEY_REVOKED
    if state is KeyState.PENDING and key.state(now_us + leeway) is not KeyState.ACTIVE:
        return Cause.KEY_PENDING
    if token.issued_us >= key.signs_until_us + leeway:
        return Cause.KEY_RETIRED
    return None


def _check_body(token: VerifiedToken, access_request: AccessRequest) -> Cause | None:
    """Return why a token does not hold for this body: a charge's must name it, and an id of its own."""
    if access_request.charge and (token.body_sha256 is None or token.jti is None):
        return Cause.INCOMPLETE
    if token.body_sha256 is None:
        return None
    digest = body_digest(access_request.body)
    return None if hmac.compare_digest(digest.encode(), token.body_sha256.encode()) else Cause.BODY


def _authorize_tenant(snapshot: Snapshot, name: str, access_request: AccessRequest, proven: Verdict) -> Verdict:
    """Complete a verdict with the tenant's own state and rights."""
    tenant = snapshot.directory.tenants.get(name)
    if tenant is None:
        return Verdict(Cause.UNKNOWN_TENANT)
    verdict = proven._replace(tenant=name)
    if not tenant.on:
        return verdict._replace(cause=Cause.TENANT_OFF)
    return verdict if tenant.may_request(access_request.class_name) else verdict._replace(cause=Cause.NO_RIGHT)


def find_revoked_credentials(old: Snapshot, new: Snapshot) -> frozenset[Credential]:
    """Return the credentials that a new snapshot revokes and the old one did not.

    A key that is gone from the ring without having been retired first counts as revoked, and so does one
    whose id now names another key: what it let in can not be told from what it should not have.
    """
    keys = {kid for kid in new.keyring.revoked() - old.keyring.revoked()}
    for kid, key in old.keyring.keys.items():
        new_key = new.keyring.keys.get(kid)
        replaced = new_key is not None and new_key.thumbprint != key.thumbprint
        removed = new_key is None and key.state(new.keyring.seen_us) is not KeyState.RETIRED
        if replaced or (removed and key.revoked_us is None):
            keys.add(kid)
    serials = new.directory.revoked_serials - old.directory.revoked_serials
    return frozenset(
        {Credential("key", kid) for kid in keys} | {Credential("certificate", serial) for serial in serials}
    )
