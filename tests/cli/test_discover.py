"""``sagetrestle discover`` against a stand-in server, as operators run it."""

import asyncio
import json
import sys
import tempfile
import unittest
from pathlib import Path

from sagetrestle.lab.dns import DnsStandIn
from sagetrestle.lab.scorer import ROOT

SERVICE = "_scorer._tcp.example.org"


class DiscoverTest(unittest.IsolatedAsyncioTestCase):
    """The commands as processes: each runs a reactor of its own."""

    async def asyncSetUp(self):
        self.server = await DnsStandIn().start()
        self.addCleanup(self.server.close)
        self.home = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.file = self.home / "deploy" / "discovery.toml"
        self.file.parent.mkdir()
        self.file.write_text(
            f'server = "127.0.0.1:{self.server.port}"\ndomain = "example.org"\n[browse]\npoll_ms = 100\n[publish]\n'
        )

    async def run_cli(self, *words, code=0):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "sagetrestle",
            "discover",
            *words,
            "--file",
            str(self.file),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await asyncio.wait_for(process.communicate(), 20)
        self.assertEqual(code, process.returncode, (out, err))
        return out.decode() + (err.decode() if code else "")

    async def test_an_instance_is_published_listed_watched_and_withdrawn(self):
        text = await self.run_cli("publish", "--instance", "n7", "--host", "127.0.0.1", "--port", "9")
        self.assertIn("registered for 30 s", text)
        listing = asyncio.create_task(self.run_cli("list", "--json", "--seconds", "0.6"))
        watching = asyncio.create_task(self.run_cli("watch", "--seconds", "1.5"))
        (line,) = (await listing).splitlines()
        self.assertEqual(("n7", "127.0.0.1:9"), (json.loads(line)["name"], json.loads(line)["address"]))
        self.assertIn("n7 - -> announced", await watching)
        self.assertIn("registration withdrawn", await self.run_cli("withdraw", "--instance", "n7"))
        self.assertIn("0 members", await self.run_cli("list", "--seconds", "0.4", code=1))

    async def test_what_can_not_be_used_is_said(self):
        self.file.write_text('server = "x"\ndomain = "example.org"\n')
        self.assertIn("discovery.toml: server: 'x'", await self.run_cli("list", code=1))
        self.file.write_text('server = "127.0.0.1:9"\ndomain = "example.org"\n')
        self.assertIn("has no [browse]", await self.run_cli("watch", code=1))
