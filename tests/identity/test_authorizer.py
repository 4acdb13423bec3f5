"""The verdict, for the moment at which a request came."""

import unittest
from dataclasses import replace

from sagetrestle.identity.authorizer import authorize, find_revoked_credentials
from sagetrestle.identity.tokens import verify
from sagetrestle.identity.values import AccessRequest, Cause, CertificateFacts, Credential, PresentedCredentials
from tests.identity.helpers import NOW, OTHER, S, key, ring, snapshot, tenants, token

READ, CHARGE = AccessRequest("quick-check", False, b"x"), AccessRequest("paid-check", True, b"x")
FACTS = CertificateFacts(("urn:lets",), "a", NOW - S, NOW + 10 * S)


class JudgeTest(unittest.TestCase):
    """One cause at a time."""

    def verdict(self, text, asked=READ, now=NOW, by=None):
        by = by or snapshot()
        kid = "es" if "es" in by.keyring.keys and text == "" else "ed"
        verified = verify(text, by.keyring.keys[kid])
        return authorize(by, PresentedCredentials("s", text), asked, now, verified)

    def test_what_is_entitled(self):
        got = self.verdict(token(jti="j", body=b"x"), CHARGE)
        self.assertEqual((Cause.ENTITLED, "lets", Credential("key", "ed"), "j"), got[:4])
        self.assertTrue(got.entitled)

    def test_claims_that_are_for_others(self):
        for claims, cause in (
            ({"issuer": "x"}, Cause.ISSUER),
            ({"audience": "x"}, Cause.AUDIENCE),
            ({"lifetime_us": 7200 * S}, Cause.TOO_LONG),
            ({"scope": ["paid-check"]}, Cause.SCOPE),
            ({"tenant": "nobody"}, Cause.UNKNOWN_TENANT),
            ({"body": b"y"}, Cause.BODY),
        ):
            self.assertIs(cause, self.verdict(token(**claims)).cause)
            self.assertIsNone(self.verdict(token(**claims)).tenant)

    def test_tenants_that_may_not(self):
        for tenant, cause in (("off", Cause.TENANT_OFF), ("readers", Cause.NO_RIGHT)):
            got = self.verdict(token(tenant=tenant, jti="j", body=b"x"), CHARGE)
            self.assertEqual((cause, tenant, True), (got.cause, got.tenant, got.lapsed))

    def test_a_charge_needs_an_id_and_its_body_in_the_token(self):
        for claims in ({"jti": "j"}, {"body": b"x"}):
            self.assertIs(Cause.INCOMPLETE, self.verdict(token(**claims), CHARGE).cause)
        self.assertIs(Cause.BODY, self.verdict(token(jti="j", body=b"stolen"), CHARGE).cause)

    def test_a_clock_90_s_off_is_past_a_leeway_of_60_s_and_within_one_of_120(self):
        early, late = token(issued_us=NOW + 90 * S), token(issued_us=NOW - 90 * S, lifetime_us=10 * S)
        wide = snapshot(terms={"leeway_us": 120 * S})
        self.assertIs(Cause.NOT_YET, self.verdict(early).cause)
        self.assertIs(Cause.EXPIRED, self.verdict(late).cause)
        self.assertEqual([True, True], [self.verdict(one, by=wide).entitled for one in (early, late)])

    def test_what_ran_out_still_proves_who_asks(self):
        got = self.verdict(token(), now=NOW + 660 * S)
        self.assertEqual((Cause.EXPIRED, "lets", True), (got.cause, got.tenant, got.lapsed))
        self.assertTrue(self.verdict(token(), now=NOW + 660 * S - 1).entitled)

    def test_a_keys_state_counts_and_what_it_signed_before(self):
        cases = (
            (key("ed", not_before_us=NOW + 61 * S), Cause.KEY_PENDING, NOW),
            (key("ed", not_before_us=NOW + 59 * S), Cause.ENTITLED, NOW),
            (key("ed", signs_until_us=NOW + S), Cause.ENTITLED, NOW + 2 * S),
            (key("ed", signs_until_us=NOW - 60 * S), Cause.KEY_RETIRED, NOW),
            (key("ed", signs_until_us=NOW + S, not_after_us=NOW + 2 * S), Cause.KEY_RETIRED, NOW + 2 * S),
            (key("ed", revoked_us=NOW), Cause.KEY_REVOKED, NOW),
            (key("x"), Cause.UNKNOWN_KEY, NOW),
            (key("ed", private=OTHER), Cause.UNKNOWN_KEY, NOW),
        )
        verified = verify(token(), key("ed"))
        for one, cause, now in cases:
            got = authorize(snapshot(one), PresentedCredentials("s", "t"), READ, now, verified)
            self.assertIs(cause, got.cause, one)
        self.assertIsNone(authorize(snapshot(cases[3][0]), PresentedCredentials("s", "t"), READ, NOW, verified).tenant)

    def test_certificates(self):
        for facts, cause, now in (
            (FACTS, Cause.ENTITLED, NOW),
            (FACTS, Cause.CERT_EXPIRED, NOW + 10 * S),
            (FACTS, Cause.CERT_EXPIRED, NOW - 2 * S),
            (FACTS._replace(names=("urn:x", "CN=x")), Cause.CERT_UNKNOWN, NOW),
            (FACTS._replace(names=("urn:x", "CN=homes")), Cause.ENTITLED, NOW),
        ):
            self.assertIs(cause, authorize(snapshot(), PresentedCredentials("s", certificate=facts), READ, now).cause)
        by = snapshot(revoked_serials=["00:0A"])
        self.assertIs(Cause.CERT_REVOKED, authorize(by, PresentedCredentials("s", certificate=FACTS), READ, NOW).cause)

    def test_front_ends_stand_for_tenants_and_others_for_none_unless_the_file_says_so(self):
        for number, tenant in ((1, "lets"), (2, "homes"), (3, None)):
            self.assertEqual(
                tenant, authorize(snapshot(), PresentedCredentials("f", front_end=number), READ, NOW).tenant
            )
        by = snapshot(terms={"unmapped": "readers"})
        self.assertEqual("readers", authorize(by, PresentedCredentials("f", front_end=3), READ, NOW).tenant)

    def test_two_credentials_at_once_and_none(self):
        self.assertIs(Cause.AMBIGUOUS, authorize(snapshot(), PresentedCredentials("s", "t", FACTS), READ, NOW).cause)
        self.assertIs(Cause.MISSING, authorize(snapshot(), PresentedCredentials("s"), READ, NOW).cause)

    def test_what_a_new_snapshot_revokes(self):
        """A key that is gone or names another one counts as revoked: nothing else would find what it let in."""
        old = snapshot(
            key("a"), key("b", "ES256"), key("c", private=OTHER, signs_until_us=NOW - 2 * S, not_after_us=NOW - S)
        )
        new = replace(
            old,
            keyring=ring(key("a", revoked_us=NOW), key("b", private=OTHER)),
            directory=tenants(revoked_serials=["0a"]),
        )
        self.assertEqual(
            {Credential("key", "a"), Credential("key", "b"), Credential("certificate", "a")},
            find_revoked_credentials(old, new),
        )
        self.assertEqual(set(), find_revoked_credentials(new, new))
