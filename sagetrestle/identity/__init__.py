"""Who calls, and what they may: tenants, keys, tokens, certificates, and the one verdict on a request.

    values        PresentedCredentials, AccessRequest, Verdict and its Cause; imports no third-party library
    keyring       public keys and the state machine of their lives (step, Keyring, KeyTransition)
    tenants       tenants, rights, caps, and the names that stand for them (TenantDirectory)
    tokens        JWS with JWT claims: header, verification, signing
    certificates  the names and times in a client certificate
    authorizer    Snapshot, TokenPolicy and the verdict
    cache, replay what is remembered of tokens, both bounded
    authenticator all of these at work in one scorer
    files         the operators' files, from bytes

Free of I/O and clock: times are Unix microseconds that the caller gives. The modules are imported one by one:
the platform's scorer, where identity is off, loads none but ``values``.
"""
