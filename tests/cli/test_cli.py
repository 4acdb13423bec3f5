"""The command line, as operators use it."""

import json
import stat
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from click.testing import CliRunner

from sagetrestle.cli.main import root
from sagetrestle.lab.signer import AUDIENCE, ISSUER, identity_toml
from sagetrestle.store.keys import PASSPHRASE_VARIABLE, KeyStore, StoreError


class CliCase(unittest.TestCase):
    """Commands in a folder of their own."""

    def setUp(self):
        self.home = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.store = ["--store", str(self.home / "keys")]

    def run_ok(self, *words, **given):
        got = CliRunner().invoke(root, list(words), **given)
        self.assertEqual(0, got.exit_code, got.output)
        return got.stdout.strip()

    def fails(self, why, *words, code=1, **given):
        got = CliRunner().invoke(root, list(words), **given)
        self.assertEqual(code, got.exit_code, got.output)
        self.assertIn(why, got.output)


class KeysTest(CliCase):
    """A store's whole life."""

    def test_no_key_gets_an_id_that_a_command_line_takes_for_an_option(self):
        with mock.patch("sagetrestle.store.keys.thumbprint", side_effect=["-" + "Z" * 42, "Z" * 43]):
            self.assertEqual("Z", self.run_ok("keys", "generate", *self.store)[0])

    def test_a_key_is_made_rotated_retired_and_revoked(self):
        first = self.run_ok("keys", "generate", *self.store)
        self.fails("no other key is active", "keys", "retire", first, *self.store)
        second = self.run_ok("keys", "rotate", "--alg", "ES256", "--lead-s", "0", *self.store)
        text = self.run_ok("keys", "list", *self.store)
        for word in (first, second, "retiring", "active", "version 2"):
            self.assertIn(word, text)
        self.run_ok("keys", "revoke", first, "--why", "a drill", *self.store)
        self.assertIn("revoked", self.run_ok("keys", "list", *self.store))
        self.assertEqual([f"{second}.pem"], [one.name for one in (self.home / "keys/private").iterdir()])
        self.fails("is revoked already", "keys", "revoke", first, "--why", "x", *self.store)
        self.fails("not in the ring", "keys", "revoke", "nothing", "--why", "x", *self.store)
        third = self.run_ok("keys", "generate", *self.store)
        self.run_ok("keys", "retire", second, "--overlap-s", "0", *self.store)
        self.run_ok("keys", "drop", "--after-s", "0", *self.store)
        ring = KeyStore(self.home / "keys").keyring(time.time_ns() // 1000)
        self.assertEqual({first, third}, set(ring.keys))

    def test_private_keys_are_their_owners_alone_and_encrypted_where_asked(self):
        kid = self.run_ok("keys", "generate", *self.store, env={PASSPHRASE_VARIABLE: "long enough"})
        path = self.home / "keys/private" / f"{kid}.pem"
        self.assertEqual(0o600, stat.S_IMODE(path.stat().st_mode))
        self.assertIn(b"ENCRYPTED", path.read_bytes())
        with self.assertRaisesRegex(StoreError, "can not be read: TypeError"):
            KeyStore(self.home / "keys").private(kid)

    def test_a_store_that_is_not_there_or_broken_says_what_to_do(self):
        self.fails("`keys generate` creates the first key", "keys", "list", *self.store)
        (self.home / "keys").mkdir()
        (self.home / "keys/ring.json").write_text("{")
        self.fails("ring.json: can not be read", "keys", "generate", *self.store)
        self.fails("Invalid value for '--alg'", "keys", "generate", "--alg", "HS256", *self.store, code=2)

    def test_two_writers_lose_nothing(self):
        """Each reads the ring again under the lock: a stale copy would put the other's key out."""
        one, other = KeyStore(self.home / "keys"), KeyStore(self.home / "keys")
        kids = {one.generate("EdDSA", 1), other.generate("EdDSA", 1)}
        one.keyring()
        kids |= {other.generate("ES256", 1), one.generate("ES256", 1)}
        self.assertEqual(kids, set(one.keyring().keys))

    def test_a_token_is_signed_and_verified_by_the_operators_own_files(self):
        (self.home / "deploy").mkdir()
        (self.home / "deploy/identity.toml").write_text(identity_toml(self.home / "keys"))
        self.run_ok("keys", "generate", *self.store)
        (self.home / "keys/tenants.toml").write_text('version = 1\n[tenants.lets]\nrights = ["quick-check"]\n')
        (self.home / "body").write_text("x")
        identity = ["--identity", str(self.home / "deploy/identity.toml")]
        token = self.run_ok(
            "keys",
            "sign",
            *self.store,
            "--issuer",
            ISSUER,
            "--audience",
            AUDIENCE,
            "--tenant",
            "lets",
            "--scope",
            "quick-check paid-check",
            "--jti",
            "j",
            "--body",
            str(self.home / "body"),
        )
        body = ["--body", str(self.home / "body")]
        got = self.run_ok("keys", "verify", *identity, "--cls", "quick-check", *body, input=token)
        self.assertEqual("entitled; tenant lets", got)
        for words, why in (
            (["--cls", "paid-check", "--charge", *body], "no right"),
            (["--cls", "quick-check"], "another body"),
        ):
            self.fails(why, "keys", "verify", *identity, *words, input=token)
        self.fails("can not be read", "keys", "verify", *identity, "--cls", "quick-check", input="rubbish")


class TenantsTest(CliCase):
    """The operators' files, checked as a scorer would."""

    def test_check_and_show(self):
        self.run_ok("keys", "generate", *self.store)
        (self.home / "deploy").mkdir()
        (self.home / "deploy/identity.toml").write_text(identity_toml(self.home / "keys"))
        (self.home / "keys/tenants.toml").write_text(
            'version = 4\n[tenants.lets]\nrights = ["quick-check"]\ncap = {charges = 3, window_s = 60}\n'
            "front_ends = [7]\n[tenants.gone]\non = false\n"
        )
        identity = ["--identity", str(self.home / "deploy/identity.toml")]
        self.assertEqual(
            "ring version 1: 1 keys; tenants version 4: 2, 1 off, 0 certificates revoked",
            self.run_ok("tenants", "check", *identity),
        )
        text = self.run_ok("tenants", "show", "lets", *identity)
        for word in ("3 in 60 s", "quick-check", "7"):
            self.assertIn(word, text)
        self.fails("nobody: not known", "tenants", "show", "nobody", *identity)
        config = self.home / "config.json"
        config.write_text(json.dumps({"settings": {"classes": [{"name": "full-report"}]}}))
        self.fails(
            "tenants.lets.rights: 'quick-check' is no class", "tenants", "check", *identity, "--config", str(config)
        )
        (self.home / "deploy/identity.toml").write_text("issuer = 1")
        self.fails("identity.toml: issuer: Expected `str`", "tenants", "check", *identity)


class RootTest(CliCase):
    """The root finds groups by name."""

    def test_help_lists_every_group_and_an_unknown_one_is_named(self):
        text = self.run_ok("--help")
        for name in ("keys", "tenants", "discover", "lab", "demo"):
            self.assertIn(name, text)
            self.run_ok(name, "--help")
        self.fails("No such command 'nothing'", "nothing", code=2)
