"""Tokens that prove something, and all that must not."""

import base64
import json
import unittest

import jwt
from cryptography.hazmat.primitives import serialization
from hypothesis import given
from hypothesis import strategies as some

from sagetrestle.identity import tokens
from sagetrestle.identity.tokens import TokenError, public_key_from_jwk, read_header, verify
from sagetrestle.identity.values import Cause
from tests.identity.helpers import NOW, OTHER, PRIVATE, S, key, token


def part(value: object) -> str:
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


class TokenTest(unittest.TestCase):
    """RFC 7515, 7519 and 8725."""

    def refused(self, cause: Cause, text: str, by=None) -> None:
        with self.assertRaises(TokenError) as caught:
            verify(text, by or key("ed"))
        self.assertIs(cause, caught.exception.cause)

    def test_both_algorithms_prove_what_was_signed(self):
        for kid, algorithm in (("ed", "EdDSA"), ("es", "ES256")):
            got = verify(token(kid, algorithm, jti="j", body=b"x"), key(kid, algorithm))
            self.assertEqual(
                ("lets", kid, NOW, NOW + 600 * S, "j"), (got.tenant, got.kid, got.issued_us, got.ends_us, got.jti)
            )
            self.assertEqual(tokens.body_digest(b"x"), got.body_sha256)

    def test_none_and_shared_secrets_are_no_algorithms(self):
        """Algorithm confusion: a public key taken for a shared secret would let anyone sign."""
        pem = (
            PRIVATE["EdDSA"]
            .public_key()
            .public_bytes(serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo)
        )
        body = token().split(".")[1]
        forged = f"{part({'alg': 'HS256', 'kid': 'ed', 'typ': 'JWT'})}.{body}"
        secret = jwt.algorithms.HMACAlgorithm(jwt.algorithms.HMACAlgorithm.SHA256)
        self.refused(Cause.ALGORITHM, f"{forged}.{part(secret.sign(forged.encode(), pem))}")
        self.refused(Cause.ALGORITHM, f"{part({'alg': 'none', 'kid': 'ed'})}.{body}.AA")
        self.refused(Cause.MALFORMED, f"{part({'alg': 'none', 'kid': 'ed'})}.{body}.")

    def test_a_keys_own_algorithm_is_the_only_one(self):
        self.refused(Cause.ALGORITHM, token("ed", "ES256"))

    def test_a_key_id_is_a_name_and_nothing_else(self):
        for kid in ("../../etc/passwd", "file:///dev/null", "a" * 65, "", "x y", "k\u0000"):
            head = part({"alg": "EdDSA", "kid": kid, "typ": "JWT"})
            self.refused(Cause.MALFORMED, f"{head}.{token().split('.', 1)[1]}")

    def test_a_header_brings_no_key_and_no_rule_of_its_own(self):
        for extra in ({"jwk": {}}, {"jku": "http://x"}, {"x5u": "x"}, {"crit": ["b64"]}, {"b64": False}):
            head = part({"alg": "EdDSA", "kid": "ed", **extra})
            self.refused(Cause.MALFORMED, f"{head}.{token().split('.', 1)[1]}")

    def test_a_token_over_its_bound_costs_no_signature(self):
        self.refused(Cause.MALFORMED, token() + "A" * 60_000)

    def test_another_key_and_a_changed_claim_do_not_hold(self):
        self.refused(Cause.BAD_SIGNATURE, token(private=OTHER))
        head, body, signature = token().split(".")
        claims = json.loads(base64.urlsafe_b64decode(body + "=="))
        self.refused(Cause.BAD_SIGNATURE, f"{head}.{part(claims | {'sub': 'homes'})}.{signature}")

    def test_claims_that_are_missing_or_of_no_form(self):
        for gone in ("iss", "aud", "sub", "iat", "exp"):
            self.refused(Cause.INCOMPLETE, self.signed({gone: None}))
        for bad in (
            {"exp": "soon"},
            {"iat": -1},
            {"exp": 1e300},
            {"nbf": 1e12},
            {"jti": ""},
            {"jti": "é"},
            {"scope": 5},
            {"aud": 7},
            {"jti": "j" * 200},
        ):
            self.refused(Cause.INCOMPLETE, self.signed(bad))

    @staticmethod
    def signed(changes: dict) -> str:
        claims = {"iss": "issuer", "aud": "scorers", "sub": "lets", "iat": 1, "exp": 2} | changes
        told = json.dumps({name: value for name, value in claims.items() if value is not None}).encode()
        return jwt.PyJWS().encode(told, PRIVATE["EdDSA"], "EdDSA", headers={"kid": "ed"})

    @given(some.text(alphabet="abcXYZ019_-.=+/ \n\0é", max_size=200))
    def test_no_text_does_more_than_fail(self, text):
        with self.assertRaises(TokenError):
            read_header(text)

    def test_a_ring_takes_public_keys_of_its_two_kinds_alone(self):
        good = tokens.public_key_to_jwk("EdDSA", PRIVATE["EdDSA"].public_key())
        for algorithm, jwk, why in (
            ("HS256", good, "alg"),
            ("ES256", good, "kty EC"),
            ("EdDSA", good | {"d": "AA"}, "private"),
            ("EdDSA", good | {"crv": "Ed448"}, "crv"),
            ("EdDSA", good | {"x": "AAAA"}, "jwk"),
            ("EdDSA", {}, "kty"),
        ):
            with self.assertRaisesRegex(ValueError, why):
                public_key_from_jwk(algorithm, jwk)
