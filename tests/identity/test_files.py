"""The operators' files: taken whole or not at all, and the field named."""

import json
import unittest

from cryptography import x509
from cryptography.hazmat.primitives import serialization

from sagetrestle.identity.certificates import CertificateError, read_certificate_pem
from sagetrestle.identity.files import FileError, read_identity, read_keyring, read_tenants, write_keyring
from sagetrestle.identity.keyring import KeyState
from sagetrestle.identity.tokens import verify
from tests.identity.helpers import NOW, OTHER, S, key, ring, token

IDENTITY = b'issuer = "i"\naudience = "a"\nring = "r"\ntenants = "t"\n'
TENANTS = b"version = 1\n[tenants.a]\n"
CLASSES = frozenset({"quick-check"})


class RingFileTest(unittest.TestCase):
    """A ring is JSON, written whole."""

    def refused(self, why, data, at=NOW):
        with self.assertRaisesRegex(FileError, why):
            read_keyring(data if isinstance(data, bytes) else json.dumps(data).encode(), at)

    def test_what_was_written_is_read(self):
        wanted = ring(key("a"), key("b", "ES256", signs_until_us=NOW - S, not_after_us=NOW + S))
        got = read_keyring(write_keyring(wanted), NOW)
        self.assertEqual(wanted, got)
        self.assertEqual("lets", verify(token("a"), got.keys["a"]).tenant)

    def test_half_a_file_is_none_wherever_it_ends(self):
        data = write_keyring(ring(key("a"))).rstrip()
        for size in range(0, len(data), 7):
            with self.assertRaises(FileError):
                read_keyring(data[:size], NOW)

    def test_a_ring_with_no_active_key_is_a_mistake_unless_it_revokes_one(self):
        data = write_keyring(ring(key("a", not_before_us=NOW + S)))
        self.refused("none of them is active", data)
        self.assertEqual(KeyState.PENDING, read_keyring(data, NOW, needs_active=False).keys["a"].state(NOW))
        self.assertEqual({"a"}, set(read_keyring(write_keyring(ring(key("a", revoked_us=NOW))), NOW).revoked()))

    def test_the_field_is_named(self):
        told = json.loads(write_keyring(ring(key("a"), key("b", private=OTHER))))
        first, second = told["keys"]
        self.refused("keys.1.: key a: two keys with one id", told | {"keys": [first, second | {"kid": "a"}]})
        self.refused("keys.1.: key b: the same key as a", told | {"keys": [first, first | {"kid": "b"}]})
        self.refused("keys.0.: key '../x'", told | {"keys": [first | {"kid": "../x"}]})
        self.refused("keys.0.: key a: not_before", told | {"keys": [first | {"not_after_us": 1}]})
        self.refused("keys.0.: key a: alg", told | {"keys": [first | {"alg": "HS256"}]})
        self.refused("keys.0..not_before_us: Expected `int`", told | {"keys": [first | {"not_before_us": "x"}]})
        self.refused("unknown field `more`", told | {"more": 1})
        self.refused("version: Expected `int` >= 1", told | {"version": 0})
        self.refused("keys: Expected `array` of length >= 1", told | {"keys": []})


class TenantsFileTest(unittest.TestCase):
    """Tenants are TOML, or JSON where there are many."""

    def refused(self, why, text, form="toml"):
        with self.assertRaisesRegex(FileError, why):
            read_tenants(text, form, CLASSES)

    def test_both_forms_say_the_same(self):
        text = (
            b'version = 3\nrevoked_serials = ["0A:FF"]\n[tenants.a]\nrights = ["quick-check"]\n'
            b'cap = {charges = 5, window_s = 60}\ncertificates = ["urn:a"]\nfront_ends = [4]\n'
        )
        told = {
            "version": 3,
            "revoked_serials": ["aff"],
            "tenants": {
                "a": {
                    "rights": ["quick-check"],
                    "cap": {"charges": 5, "window_s": 60},
                    "certificates": ["urn:a"],
                    "front_ends": [4],
                }
            },
        }
        got = read_tenants(text, "toml", CLASSES)
        self.assertEqual(got, read_tenants(json.dumps(told).encode(), "json", CLASSES))
        self.assertEqual(("a", "a", {"aff"}), (got.certificates["urn:a"], got.front_ends[4], got.revoked_serials))
        self.assertEqual(60 * S, got.tenants["a"].cap.window_us)

    def test_the_field_is_named(self):
        self.refused("tenants.a.rights: 'paid' is no class", TENANTS + b'rights = ["paid"]')
        self.refused(r"tenants\[...\].cap.window_s: Expected", TENANTS + b"cap = {charges = 1, window_s = 0}")
        self.refused("unknown field `righs`", TENANTS + b"righs = []")
        self.refused("tenant 'A b'", b'version = 1\n[tenants."A b"]')
        self.refused(
            "'urn:x': stands for two tenants",
            TENANTS + b'certificates = ["urn:x"]\n[tenants.b]\ncertificates = ["urn:x"]',
        )
        self.refused("revoked serial 'xyz'", b'version = 1\nrevoked_serials = ["xyz"]\n[tenants.a]')
        self.refused("allowance_per_s: not a number", TENANTS + b"allowance_per_s = inf")
        self.refused("can not be read", b"version = ")


class IdentityFileTest(unittest.TestCase):
    """The file that turns identity on."""

    def test_defaults_and_off(self):
        got = read_identity(IDENTITY)
        self.assertEqual((60 * S, 3600 * S, None), (got.terms().leeway_us, got.terms().max_lifetime_us, got.tls))
        self.assertIsNone(read_identity(IDENTITY + b"on = false"))

    def test_the_field_is_named(self):
        for more, why in (
            (b"leeway_s = -1", "leeway_s: "),
            (b"watch_ms = 5000", "watch_ms: "),
            (b'trusted_peers = ["x"]', "trusted_peers: 'x'"),
            (b"nothing = 1", "`nothing`"),
            (b"[bounds]\nverifications = 0", "bounds.verifications: "),
            (b'[tls]\nlisten = "127.0.0.1:0"', "tls: .*missing required field `certificate`"),
        ):
            with self.assertRaisesRegex(FileError, why):
                read_identity(IDENTITY + more)
        with self.assertRaisesRegex(FileError, "missing required field `issuer`"):
            read_identity(b"")


class CertificateTest(unittest.TestCase):
    """PEM as web servers pass it."""

    def test_lines_may_be_apart_by_spaces_and_names_are_read_in_order(self):
        import trustme

        cert = trustme.CA().issue_cert("x@lets.example", organization_name="lets")
        pem = cert.cert_chain_pems[0].bytes().decode()
        got = read_certificate_pem(pem.replace("\n", " "))
        read = x509.load_pem_x509_certificate(pem.encode())
        self.assertEqual(f"{read.serial_number:x}", got.serial)
        self.assertEqual(read.subject.rfc4514_string(), got.names[-1])
        self.assertEqual(int(read.not_valid_after_utc.timestamp()) * S, got.not_after_us)
        self.assertTrue(read.public_bytes(serialization.Encoding.PEM))

    def test_what_is_no_certificate(self):
        for text in ("", "x", "-----BEGIN CERTIFICATE----- AAAA -----END CERTIFICATE-----"):
            with self.assertRaises(CertificateError):
                read_certificate_pem(text)
