"""Where effects are made tokens are checked: a kernel that was told of an epoch runs nothing of one before."""

import asyncio
import base64
import json
import unittest

from sagetrestle.lab.kernel import EmulatedKernel, listen
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.protocol.fences import Fate, Fates, decode_fates, encode_fence
from sagetrestle.net.protocol.kernel import encode_open, encode_sched


class TokenTest(unittest.IsolatedAsyncioTestCase):
    """The laboratory's kernel, by the program's own messages."""

    async def asyncSetUp(self):
        self.kernel = EmulatedKernel(2, 0.05)
        self.addCleanup(self.kernel.end)
        server, self.port = await listen(self.kernel.serve)
        self.addCleanup(server.close)
        self.reader, self.writer = await self.link()
        self.writer.write(encode_open(0))
        await self.reader.readline()

    async def link(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def fates(self, reader):
        return decode_fates(await asyncio.wait_for(reader.readline(), 5))

    def sched(self, call, token):
        self.writer.write(encode_sched(call, "paid", b"charge", token))

    async def test_a_fenced_epoch_starts_nothing_and_what_runs_is_told_as_it_ends(self):
        self.sched("r1", (3, 7, "a@1"))
        await asyncio.sleep(0.02)
        reader, writer = await self.link()
        writer.write(encode_fence(3, 8, ("r1", "r2")))
        self.assertEqual(Fates(3, 8, (Fate("r2", "never", b""),)), await self.fates(reader))
        self.assertEqual(Fates(3, 8, (Fate("r1", "done", b"result of r1"),)), await self.fates(reader))
        self.sched("r2", (3, 7, "a@1"))
        self.assertEqual("REAP", json.loads(await self.reader.readline())["msg"])
        self.assertEqual({"msg": "EINVAL", "how": "SCHED", "call": "r2"}, json.loads(await self.reader.readline()))
        self.sched("r3", (4, 7, "a@1"))  # another partition has its own epochs
        await asyncio.sleep(0.02)
        self.assertEqual(
            (["r1", "r3"], ["r2"]),
            ([one.call for one in self.kernel.starts], [one.call for one in self.kernel.refused]),
        )

    async def test_an_older_fence_is_not_heard_and_a_run_is_not_started_twice(self):
        self.sched("r1", (3, 9, "a@1"))
        await asyncio.sleep(0.15)
        reader, writer = await self.link()
        writer.write(encode_fence(3, 8, ("r1",)))
        writer.write(encode_fence(3, 9, ("r1",)))
        self.assertEqual(9, (await self.fates(reader)).epoch)
        self.sched("r1", (3, 9, "a@1"))
        await asyncio.sleep(0.02)
        self.assertEqual(1, len(self.kernel.starts))

    def test_fates_that_can_not_be_read_are_one_error(self):
        good = {"msg": "FATES", "part": 1, "epoch": 2, "fates": [["r", "done", base64.b64encode(b"x").decode()]]}
        self.assertEqual(Fates(1, 2, (Fate("r", "done", b"x"),)), decode_fates(json.dumps(good).encode()))
        for bad in (
            b"",
            b"[]",
            json.dumps(good | {"msg": "REAP"}).encode(),
            json.dumps(good | {"part": None}).encode(),
            json.dumps(good | {"fates": [["r", "lost", ""]]}).encode(),
            json.dumps(good | {"fates": [["r", "done", "?"]]}).encode(),
        ):
            with self.assertRaises(ProtocolError):
                decode_fates(bad)
