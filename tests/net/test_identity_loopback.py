"""Identity on real sockets: TLS, files that change under load, and the modules imported when it is off."""

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
from tests.net.loopback import LoopbackCase, ask_scgi

MAPPED = TENANTS_TOML.replace('"full-report", ', "")
MAPPED += '[tenants.web]\nrights = ["quick-check"]\ncertificates = ["urn:web"]\n'


class FilesCase(LoopbackCase):
    """A scorer with identity on, its key files and its certificates."""

    work_s = 0.02
    front_count = 4
    stop_signal = signal.SIGKILL

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
        (self.home / "certificate.pem").write_bytes(
            b"".join(certificate.bytes() for certificate in cert.cert_chain_pems)
        )
        return cert

    def client(self, ca=None, name="web", **more):
        """Return a client's TLS context, with a certificate issued by ``ca`` if it is given."""
        context = ssl.create_default_context(cadata=self.ca.cert_pem.bytes().decode())
        if ca is not None:
            ca.issue_cert(f"{name}@x.example", common_name=name, **more).configure_cert(context)
        return context

    async def ask(self, class_name="quick-check", **headers):
        port = self.ports["scgis"] if "tls" in headers else self.ports["scgi"]
        return status_of(await ask_scgi(port, class_name, b"x", **headers))


class UpgradeTest(FilesCase):
    """An upgrade of a scorer with all fronts on."""

    front_count = 5
    config_overrides = {"management": "127.0.0.1:0"}

    def deploy(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        return super().deploy() | {"scgi.toml": f'listen = "127.0.0.1:0"\ndns_listen = "127.0.0.1:{port}"\n'}

    async def test_scgi_and_tls_are_handed_over_and_dns_listens_once_its_address_is_free(self):
        """The old process keeps the DNS address until it exits; until then the new process must retry, not fail."""
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
    """Keys, tenants and TLS files are read again when they change."""

    async def test_certificates_changed_files_and_broken_files(self):
        web = self.client(self.ca)
        certificates_line = re.search(r"certificates = .*", MAPPED)[0]
        with self.subTest("a certificate that maps to no tenant, and no certificate"):
            self.assertEqual(403, await self.ask(tls=web))
            self.assertEqual(401, await self.ask(tls=self.client()))
        with self.subTest("a tenant's certificate, once the tenants file names it"):
            cert = self.ca.issue_cert("web@x.example", common_name="web")
            from sagetrestle.identity.certificates import read_certificate_pem

            facts = read_certificate_pem(cert.cert_chain_pems[0].bytes().decode())
            context = self.client()
            cert.configure_cert(context)
            self.tenants(2, MAPPED.replace(certificates_line, f"certificates = {json.dumps([facts.names[-1]])}"))
            await self.scorer.logged("tenants version 2")
            self.assertEqual(200, await self.ask(tls=context))
            self.assertEqual(403, await self.ask("paid-check", tls=context, HTTP_IDEMPOTENCY_KEY="K"))
        with self.subTest("a revoked certificate"):
            self.tenants(
                3,
                f'version = 1\nrevoked_serials = ["{facts.serial}"]\n'
                + MAPPED.partition("\n")[2].replace(
                    certificates_line, f"certificates = {json.dumps([facts.names[-1]])}"
                ),
            )
            await self.scorer.logged("tenants version 3")
            self.assertEqual(403, await self.ask(tls=context))
        with self.subTest("a certificate of another authority, and an expired one"):
            past = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
            for context_to_refuse in (self.client(trustme.CA()), self.client(self.ca, not_before=past, not_after=past)):
                with self.assertRaises((ssl.SSLError, ConnectionError)):
                    if not await self.ask(tls=context_to_refuse):
                        raise ConnectionError
        with self.subTest("TLS 1.2"):
            old = self.client(self.ca)
            old.maximum_version = ssl.TLSVersion.TLSv1_2
            with self.assertRaises((ssl.SSLError, ConnectionError)):
                await self.ask(tls=old)
        with self.subTest("the server's certificate is replaced while it serves; a token over TLS"):
            self.server_cert()
            await self.scorer.logged("tls.certificate")
            token = self.signer.token("nile-homes", ["quick-check"])
            self.assertEqual(200, await self.ask(tls=self.client(), HTTP_AUTHORIZATION=f"Bearer {token}"))
        with self.subTest("a truncated key ring and an older one: the one in force stays"):
            before = (self.home / "ring.json").read_bytes()
            for data, expected in (
                (before[: len(before) // 2], "ring.json: can not be read"),
                (before.replace(b'"version": 1', b'"version": 0'), "ring.json: version"),
            ):
                (self.home / "ring.json").write_bytes(data)
                await self.scorer.logged(f"identity not taken, what was in force holds: {expected}")
                self.assertEqual(200, await self.ask(HTTP_AUTHORIZATION=f"Bearer {token}"))

    async def test_a_60_kb_token_and_two_authorization_headers_are_rejected(self):
        self.assertEqual(413, await self.ask(HTTP_AUTHORIZATION="Bearer " + "a" * 60_000))
        data = b"CONTENT_LENGTH\x000\0SCGI\x001\0REQUEST_METHOD\0POST\0PATH_INFO\0/quick-check\0"
        data += b"HTTP_AUTHORIZATION\0Bearer a\0HTTP_AUTHORIZATION\0Bearer b\0"
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["scgi"])
        writer.write(b"%d:%s," % (len(data), data))
        self.assertEqual(400, status_of(await reader.read()))
        writer.close()

    async def test_a_revocation_takes_effect_without_a_restart(self):
        old_token = self.signer.token("nile-homes", ["quick-check"])
        self.assertEqual(200, await self.ask(HTTP_AUTHORIZATION=f"Bearer {old_token}"))
        revoked_key = self.signer.store.signer(now_us())
        self.signer.store.generate("ES256", now_us())
        self.signer.store.revoke(revoked_key, now_us(), "a drill")
        await self.scorer.logged("ring version 3")
        self.assertEqual(401, await self.ask(HTTP_AUTHORIZATION=f"Bearer {old_token}"))
        new_token = self.signer.token("nile-homes", ["quick-check"])
        self.assertEqual(200, await self.ask(HTTP_AUTHORIZATION=f"Bearer {new_token}"))
        front = await FrontEnd(self.ports["thrift"]).connect()
        number = await front.ask(call_id("a"), "quick-check", b"x")
        self.assertEqual("refused", front.outcome(number))  # the file maps no tenant to this front end
        front.writer.close()


class RotationShortTest(LoopbackCase):
    """The short form of benchmarks/rotation.py."""

    async def asyncSetUp(self):
        """Start no scorer: ``rotate_under_load`` starts its own."""

    async def asyncTearDown(self):
        """Stop nothing, as nothing was started."""

    async def test_keys_rotate_under_full_load_and_the_audit_is_clean(self):
        report = await rotate_under_load(6.0, every_s=(1.0, 1.5))
        self.assertTrue(report.audit.clean, report.audit)
        self.assertGreaterEqual(min(report.rotations, report.rings_read), 3)
        self.assertGreater(report.audit.charges, 10)
        self.assertGreater(report.audit.impostors, 10)
        self.assertEqual(
            set(), {status for statuses in report.impostors.values() for status in statuses} - {401, 403, 503}
        )


class OffTest(LoopbackCase):
    """With identity off none of its modules is imported."""

    stop_signal = signal.SIGKILL

    async def test_the_platforms_scorer_imports_no_optional_library(self):
        """The scorer's memory limit has no room for them; a new process imports what the platform's scorer imports."""
        code = (
            "import sys, sagetrestle.net.program.main as m, json; "
            "print(json.dumps(sorted(n for n in sys.modules if n.split('.')[0] in "
            "('jwt', 'click', 'structlog', 'msgspec', 'immutables', 'rich', 'cachetools', 'hdrh') "
            "or n.startswith('sagetrestle.') and n.split('.')[1] not in ('net', 'logic', 'interface', "
            "'wirehost', 'identity') or n.startswith('sagetrestle.identity.'))))"
        )
        completed = subprocess.run([sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(["sagetrestle.identity.values"], json.loads(completed.stdout), completed.stderr)
        self.assertFalse(self.log_has("identity"))
        self.assertEqual(200, status_of(await ask_scgi(self.ports["scgi"], "quick-check", b"x")))


class JsonLogTest(LoopbackCase):
    """Log lines in JSON, as selected in the operators' file."""

    stop_signal = signal.SIGKILL

    def deploy(self):
        return super().deploy() | {"log.toml": 'format = "json"\n'}

    async def test_every_line_is_an_object_with_its_event(self):
        events = [json.loads(line) for line in self.log]
        self.assertTrue(all({"event", "level", "timestamp"} <= set(event) for event in events))
        self.assertTrue(any(event["event"].startswith("kernel up") for event in events))


class StartTest(LoopbackCase):
    """An invalid file ends the process with exit code 2 and one line that names the field."""

    async def asyncSetUp(self):
        """Start no scorer: each subtest starts its own."""

    async def asyncTearDown(self):
        """Stop nothing, as nothing runs."""

    async def test_the_error_names_the_field_and_the_exit_code_is_2(self):
        from sagetrestle.lab.place import Place, write_files

        peers = {"kernel": 1, "ledger": 1, "roster": 1}
        for fields, expected in (
            (
                {"tls": {"listen": "127.0.0.1:0", "certificate": "c", "key": "k", "trust": "t"}},
                "identity.toml: tls.certificate: No such file",
            ),
            ({"leeway_s": -1}, "identity.toml: leeway_s: "),
            ({"ring": "nothing.json"}, "nothing.json: No such file"),
            ({"unmapped": "nobody"}, "identity.toml: unmapped: 'nobody' is no tenant"),
        ):
            with tempfile.TemporaryDirectory() as name, self.subTest(expected):
                home = Path(name)
                LabSigner(home / "keys")
                (home / "keys" / "tenants.toml").write_text(TENANTS_TOML)
                write_files(
                    home, "n1", Place().settings(), peers, {"identity.toml": identity_toml(home / "keys", **fields)}
                )
                completed = subprocess.run(
                    [sys.executable, "-B", "-m", "sagetrestle"],
                    cwd=home,
                    capture_output=True,
                    text=True,
                    env={"ROUTER_CONFIG": f"{home}/config.json", "PYTHONPATH": str(ROOT)},
                )
                self.assertEqual(2, completed.returncode)
                self.assertIn(f"sagetrestle: {expected}", completed.stderr)
