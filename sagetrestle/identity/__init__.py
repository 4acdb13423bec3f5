"""Authentication and authorization of requests: tenants, keys, tokens, certificates and the verdict on a request.

    values        PresentedCredentials, AccessRequest, Verdict and its Cause; imports no third-party library
    keyring       public keys and the state machine of their life cycle (step, Keyring, KeyTransition)
    tenants       tenants, rights, spending caps, and the names that map to tenants (TenantDirectory)
    tokens        JWS with JWT claims: header, verification, signing
    certificates  the names and validity period of a client certificate
    authorizer    Snapshot, TokenPolicy and the decision (authorize)
    cache, replay outcomes of token verifications, and token ids in use; both bounded
    authenticator the identity state of one scorer (Authenticator)
    files         parsing of the operators' files from bytes

The package does no I/O and reads no clock: times are Unix microseconds and come from the caller. Import its modules
one by one: a scorer with identity turned off loads only ``values``.
"""
