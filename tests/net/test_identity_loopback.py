"""Identity on real sockets: TLS, files that change under load, and what is loaded where it is off."""

import asyncio
import datetime
import json
import re
import signal
import socket
import ssl
import subprocess
import sys
import tempfile
from pathlib import Path

import trustme

from sagetrestle.lab.clients import FrontEnd, status_of
from sagetrestle.lab.kernel import EmulatedKernel
from sagetrestle.lab.rotation import TENANTS_TOML, rotate_under_load
from sagetrestle.lab.scorer import ROOT
from sagetrestle.lab.signer import LabSigner, identity_toml, now_us
from tests.net.scenario import call_id
from tests.net.standins import LoopbackCase, ask_scgi

MAPPED = TENANTS_TOML.replace('"full-report", ', "")
MAPPED += '[tenants.web]\nrights = ["quick-check"]\ncertificates = ["urn:web"]\n'


class FilesCase(LoopbackCase):
    """A scorer with identity on, and its files."""

    work_s = 0.02
    fronts = 4
    end = signal.SIGKILL

    def deploy(self):
        self.home = Path(self.folder) / "keys"
        self.signer = LabSigner(self.home)
        self.tenants(1, MAPPED)
        self.ca = trustme.CA()
        self.server_cert()
        (self.home / "trust.pem").write_bytes(self.ca.cert_pem.bytes())
        tls = {"listen": "127.0.0.1:0"} | {
            name: str(self.home / f"{name}.pem") for name in ("certificate", "key", "trust")
        }
        return super().deploy() | {"identity.toml": identity_toml(self.home, tls=tls)}

    def tenants(self, version, text):
        (self.home / "tenants.toml").write_text(text.replace("version = 1", f"version = {version}"))

    def server_cert(self):
        cert = self.ca.issue_cert("localhost")
        (self.home / "key.pem").write_bytes(cert.private_key_pem.bytes())
        (self.home / "certificate.pem").write_bytes(b"".join(one.bytes() for one in cert.cert_chain_pems))
        return cert

    def client(self, ca=None, name="web", **more):
        """Return a client's context, with a certificate by an authority where one is given."""
        context = ssl.create_default_context(cadata=self.ca.cert_pem.bytes().decode())
        if ca is not None:
            ca.issue_cert(f"{name}@x.example", common_name=name, **more).configure_cert(context)
        return context

    async def ask(self, cls="quick-check", **given):
        port = self.ports["scgis"] if "tls" in given else self.ports["scgi"]
        return status_of(await ask_scgi(port, cls, b"x", **given))


class UpgradeTest(FilesCase):
    """An upgrade with all fronts on."""

    fronts = 5
    over = {"management": "127.0.0.1:0"}

    def deploy(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        return super().deploy() | {"scgi.toml": f'listen = "127.0.0.1:0"\ndns_listen = "127.0.0.1:{port}"\n'}

    async def test_scgi_and_tls_pass_over_and_the_records_follow_when_their_address_is_free(self):
        """The older process answers DNS until it is gone: its address can not be had before, and that ends nobody."""
        token = self.signer.token("nile-homes", ["quick-check"])
        new = await self.scorer.upgrade(EmulatedKernel(work_s=0.02), 2, "dns front listens", 5)
        try:
            self.assertEqual(self.ports["scgis"], new.ports["scgis"])
            for tls in ({}, {"tls": self.client()}):
                self.assertEqual(200, await self.ask(HTTP_AUTHORIZATION=f"Bearer {token}", **tls))
            self.assertEqual(2, len(new.kernel.starts))
        finally:
            await new.stop()
        self.assertFalse(new.log_has("failed:"), new.log)


class FilesTest(FilesCase):
    """Keys and tenants are read again as they change; TLS with its own files."""

    async def test_certificates_files_and_what_is_broken(self):
        web = self.client(self.ca)
        found = re.search(r"certificates = .*", MAPPED)[0]
        with self.subTest("a certificate that names no tenant, and none at all"):
            self.assertEqual(403, await self.ask(tls=web))
            self.assertEqual(401, await self.ask(tls=self.client()))
        with self.subTest("a tenant's certificate, once the file names it"):
            cert = self.ca.issue_cert("web@x.example", common_name="web")
            from sagetrestle.identity.certificates import read_certificate_pem

            facts = read_certificate_pem(cert.cert_chain_pems[0].bytes().decode())
            context = self.client()
            cert.configure_cert(context)
            self.tenants(2, MAPPED.replace(found, f"certificates = {json.dumps([facts.names[-1]])}"))
            await self.scorer.logged("tenants version 2")
            self.assertEqual(200, await self.ask(tls=context))
            self.assertEqual(403, await self.ask("paid-check", tls=context, HTTP_IDEMPOTENCY_KEY="K"))
        with self.subTest("a revoked one"):
            self.tenants(
                3,
                f'version = 1\nrevoked_serials = ["{facts.serial}"]\n'
                + MAPPED.partition("\n")[2].replace(found, f"certificates = {json.dumps([facts.names[-1]])}"),
            )
            await self.scorer.logged("tenants version 3")
            self.assertEqual(403, await self.ask(tls=context))
        with self.subTest("a chain that does not hold, and one that has run out"):
            past = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
            for bad in (self.client(trustme.CA()), self.client(self.ca, not_before=past, not_after=past)):
                with self.assertRaises((ssl.SSLError, ConnectionError)):
                    if not await self.ask(tls=bad):
                        raise ConnectionError
        with self.subTest("an older TLS"):
            old = self.client(self.ca)
            old.maximum_version = ssl.TLSVersion.TLSv1_2
            with self.assertRaises((ssl.SSLError, ConnectionError)):
                await self.ask(tls=old)
        with self.subTest("the server's certificate runs out and is replaced under way; a token over TLS"):
            self.server_cert()
            await self.scorer.logged("tls.certificate")
            token = self.signer.token("nile-homes", ["quick-check"])
            self.assertEqual(200, await self.ask(tls=self.client(), HTTP_AUTHORIZATION=f"Bearer {token}"))
        with self.subTest("half a ring, an older ring, a broken tenants file: the old ones hold"):
            before = (self.home / "ring.json").read_bytes()
            for data, says in (
                (before[: len(before) // 2], "ring.json: can not be read"),
                (before.replace(b'"version": 1', b'"version": 0'), "ring.json: version"),
            ):
                (self.home / "ring.json").write_bytes(data)
                await self.scorer.logged(f"identity not taken, what was in force holds: {says}")
                self.assertEqual(200, await self.ask(HTTP_AUTHORIZATION=f"Bearer {token}"))

    async def test_60_kb_tokens_and_two_authorization_words(self):
        self.assertEqual(413, await self.ask(HTTP_AUTHORIZATION="Bearer " + "a" * 60_000))
        data = b"CONTENT_LENGTH\x000\0SCGI\x001\0REQUEST_METHOD\0POST\0PATH_INFO\0/quick-check\0"
        data += b"HTTP_AUTHORIZATION\0Bearer a\0HTTP_AUTHORIZATION\0Bearer b\0"
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["scgi"])
        writer.write(b"%d:%s," % (len(data), data))
        self.assertEqual(400, status_of(await reader.read()))
        writer.close()

    async def test_a_revocation_reaches_a_scorer_without_a_restart(self):
        old = self.signer.token("nile-homes", ["quick-check"])
        self.assertEqual(200, await self.ask(HTTP_AUTHORIZATION=f"Bearer {old}"))
        first = self.signer.store.signer(now_us())
        self.signer.store.generate("ES256", now_us())
        self.signer.store.revoke(first, now_us(), "a drill")
        await self.scorer.logged("ring version 3")
        self.assertEqual(401, await self.ask(HTTP_AUTHORIZATION=f"Bearer {old}"))
        new = self.signer.token("nile-homes", ["quick-check"])
        self.assertEqual(200, await self.ask(HTTP_AUTHORIZATION=f"Bearer {new}"))
        front = await FrontEnd(self.ports["thrift"]).connect()
        number = await front.ask(call_id("a"), "quick-check", b"x")
        self.assertEqual("refused", front.outcome(number))  # no file stands for this front end
        front.writer.close()


class RotationShortTest(LoopbackCase):
    """The short form of benchmarks/rotation.py."""

    async def asyncSetUp(self):
        """Start nothing: the run starts its own scorer."""

    async def asyncTearDown(self):
        """Nothing was started."""

    async def test_keys_rotate_under_full_load_and_the_audit_finds_nothing(self):
        got = await rotate_under_load(6.0, every_s=(1.0, 1.5))
        self.assertTrue(got.audit.clean, got.audit)
        self.assertGreaterEqual(min(got.rotations, got.rings_read), 3)
        self.assertGreater(got.audit.charges, 10)
        self.assertGreater(got.audit.impostors, 10)
        self.assertEqual(
            set(), {status for statuses in got.impostors.values() for status in statuses} - {401, 403, 503}
        )


class OffTest(LoopbackCase):
    """Where identity is off none of it is loaded."""

    end = signal.SIGKILL

    async def test_the_platforms_scorer_loads_no_library_of_what_is_off(self):
        """Its memory is bounded; modules are counted in a process that goes the platform's way."""
        code = (
            "import sys, sagetrestle.net.program.main as m, json; "
            "print(json.dumps(sorted(n for n in sys.modules if n.split('.')[0] in "
            "('jwt', 'click', 'structlog', 'msgspec', 'immutables', 'rich', 'cachetools', 'hdrh') "
            "or n.startswith('sagetrestle.') and n.split('.')[1] not in ('net', 'logic', 'interface', "
            "'wirehost', 'identity') or n.startswith('sagetrestle.identity.'))))"
        )
        got = subprocess.run([sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(["sagetrestle.identity.values"], json.loads(got.stdout), got.stderr)
        self.assertFalse(self.log_has("identity"))
        self.assertEqual(200, status_of(await ask_scgi(self.ports["scgi"], "quick-check", b"x")))


class JsonLogTest(LoopbackCase):
    """Log lines as objects, where the operators' file asks for them."""

    end = signal.SIGKILL

    def deploy(self):
        return super().deploy() | {"log.toml": 'format = "json"\n'}

    async def test_every_line_is_an_object_with_its_event(self):
        events = [json.loads(line) for line in self.log]
        self.assertTrue(all({"event", "level", "timestamp"} <= set(one) for one in events))
        self.assertTrue(any(one["event"].startswith("kernel up") for one in events))


class StartTest(LoopbackCase):
    """A file that can not be used ends the process with one line that names the field."""

    async def asyncSetUp(self):
        """Start nothing yet."""

    async def asyncTearDown(self):
        """Nothing runs."""

    async def test_what_is_wrong_is_said_and_the_code_is_2(self):
        from sagetrestle.lab.place import Place, write_files

        peers = {"kernel": 1, "ledger": 1, "roster": 1}
        for given, says in (
            (
                {"tls": {"listen": "127.0.0.1:0", "certificate": "c", "key": "k", "trust": "t"}},
                "identity.toml: tls.certificate: No such file",
            ),
            ({"leeway_s": -1}, "identity.toml: leeway_s: "),
            ({"ring": "nothing.json"}, "nothing.json: No such file"),
            ({"unmapped": "nobody"}, "identity.toml: unmapped: 'nobody' is no tenant"),
        ):
            with tempfile.TemporaryDirectory() as name, self.subTest(says):
                home = Path(name)
                LabSigner(home / "keys")
                (home / "keys" / "tenants.toml").write_text(TENANTS_TOML)
                write_files(
                    home, "n1", Place().settings(), peers, {"identity.toml": identity_toml(home / "keys", **given)}
                )
                got = subprocess.run(
                    [sys.executable, "-B", "-m", "sagetrestle"],
                    cwd=home,
                    capture_output=True,
                    text=True,
                    env={"ROUTER_CONFIG": f"{home}/config.json", "PYTHONPATH": str(ROOT)},
                )
                self.assertEqual(2, got.returncode)
                self.assertIn(f"sagetrestle: {says}", got.stderr)
