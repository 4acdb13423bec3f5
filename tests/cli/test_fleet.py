"""``sagetrestle fleet`` against real members, as operators run it."""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from sagetrestle.lab.place import HERE
from sagetrestle.lab.processes import charge
from sagetrestle.lab.scorer import ROOT
from tests.fleet.helpers import RigCase
from tests.fleet.test_caps import TENANTS


class FleetCliTest(RigCase):
    """The commands as processes."""

    async def run_cli(self, *words, code=0):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "sagetrestle",
            "fleet",
            *words,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await asyncio.wait_for(process.communicate(), 20)
        self.assertEqual(code, process.returncode, (out, err))
        return out.decode() + err.decode()

    async def test_status_and_explain_read_from_members_and_say_who_is_missing(self):
        rig = await self.rig(3, fleet={"partitions": 4, "new": True, "caps": True}, tenants=TENANTS)
        await rig.charge(charge("K"))
        path = rig.folder / "seen.toml"
        rows = "".join(
            f'[[members]]\nname = "{name}"\naddress = "{HERE}:{one.ports["fleet"]}"\n'
            for name, one in rig.scorers.items()
        )
        path.write_text(f'fleet = "lab"\nlisten = "{HERE}:0"\ncouncil = ["n0", "n1", "n2"]\n{rows}')
        found = json.loads(await self.run_cli("status", "--json", "--file", str(path)))
        self.assertEqual(4, sum(one["ready"] for one in found.values()))
        self.assertEqual(1, sum(one["council"]["role"] == "leader" for one in found.values()))
        self.assertIn("4 of 4 partitions are served", await self.run_cli("status", "--file", str(path)))
        owner = rig.callers[0].router.router.owner("K")
        told = await self.run_cli("explain", "K", "--file", str(path))
        self.assertRegex(told, f"owner {owner}@.*(?s:.*)knows: run [0-9a-f]+ of paid-check, ran, at {owner}@")
        told = await self.run_cli("limits", "--file", str(path))
        self.assertRegex(told, r"t, window until .* 1 out, granted by n\d: n\d@\d+ 1")
        self.assertRegex(told, f"{owner}: t, window until .*: 1 of 1 spent, cap 12, 0 wait")
        await rig.kill(owner)
        self.assertIn("does not answer", await self.run_cli("status", "--file", str(path), code=1))

    async def test_a_bad_file_is_named_by_its_field(self):
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "bad.toml"
        good = f'fleet = "lab"\nlisten = "{HERE}:0"\ncouncil = ["n0"]\n[[members]]\nname = "n0"\naddress = "{HERE}:1"\n'
        for change, field in (
            (("[[members]]", "partitions = 3\n[[members]]"), "partitions"),
            (('["n0"]', '["n1"]'), "council"),
            (("127.0.0.1:0", "here"), "listen"),
            (('["n0"]', '["n0", "n0"]'), "council"),
            (("[[members]]", "x = 1\n[[members]]"), "x"),
        ):
            path.write_text(good.replace(*change, 1))
            self.assertRegex(await self.run_cli("status", "--file", str(path), code=1), f"bad.toml: .*{field}")
