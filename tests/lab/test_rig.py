"""The rig finds what is seeded, and its links do what they say."""

import asyncio
import unittest

from sagetrestle.lab.faults import Links
from sagetrestle.lab.history import Asked, Held, History, Ran


class HistoryTest(unittest.TestCase):
    """Each kind of wrong is found, and nothing in a history where all is well."""

    GOOD = History(
        [Asked("A", 1, 2, "f0", "served", b"result of r1"), Asked("B", 1, 2, "f0", "refused")],
        [Ran("A", "r1", 1.5, "n0", (3, 7, "n0"))],
        [Held(3, 7, "n0", 0, 2), Held(3, 8, "n1", 2, 3)],
    )

    def test_all_is_well(self):
        found = self.GOOD.check()
        self.assertEqual(([], 2, 1, ["B"]), (found.broken, found.charges, found.served, found.never_served))

    def test_each_fault_is_found(self):
        good = self.GOOD
        for kind, history in {
            "doubled": History(good.asked, [*good.ran, Ran("A", "r2", 1.6, "n1")]),
            "invented": History([*good.asked, Asked("C", 1, 2, "f0", "served", b"result of r9")], good.ran),
            "differing": History([*good.asked, Asked("A", 1, 2, "f1", "served", b"result of r2")], good.ran),
            "overlaps": History(held=[*good.held, Held(3, 8, "n2", 1.9, 2.1)]),
            "backwards": History(ran=[*good.ran, Ran("D", "r3", 1.7, "n0", (3, 6, "n2"))]),
        }.items():
            self.assertTrue(getattr(history.check(), kind), kind)


class LinksTest(unittest.IsolatedAsyncioTestCase):
    """Two ends, each dialling the other."""

    async def asyncSetUp(self):
        self.links, self.got = Links(1), {"a": [], "b": []}
        self.writers = {}
        for start, end in (("a", "b"), ("b", "a")):
            server = await asyncio.start_server(lambda r, w, end=end: self.hear(r, end), "127.0.0.1", 0)
            self.addCleanup(server.close)
            link = await self.links.between(start, end)
            self.links.to(end, server.sockets[0].getsockname()[1])
            _, self.writers[start] = await asyncio.open_connection("127.0.0.1", link.port)
        self.addCleanup(self.links.close)

    async def hear(self, reader, end):
        while size := await reader.read(4):
            self.got[end].append(await reader.readexactly(int.from_bytes(size, "big")))

    def say(self, start, text):
        self.writers[start].write(len(text).to_bytes(4, "big") + text)

    async def heard(self, a, b):
        async with asyncio.timeout(5):
            while (self.got["a"], self.got["b"]) != (a, b):
                await asyncio.sleep(0.005)

    async def test_one_way_cuts_hold_what_was_said_and_healing_brings_it(self):
        self.links.cut(["a"], ["b"], hear=True)  # a hears b and is not heard
        self.say("a", b"1")
        self.say("b", b"2")
        await self.heard([b"2"], [])
        await asyncio.sleep(0.05)
        self.links.heal()
        await self.heard([b"2"], [b"1"])
        self.links.cut(["a"], ["b"], said=True)
        self.say("a", b"3")
        self.say("b", b"4")
        await self.heard([b"2"], [b"1", b"3"])

    async def test_frames_are_lost_and_repeated_whole_and_a_link_is_reset_at_a_byte(self):
        way = self.links.all[("a", "b")].there
        way.lose = 1.0
        self.say("a", b"lost")
        await asyncio.sleep(0.05)
        way.lose, way.repeat = 0.0, 1.0
        self.say("a", b"twice")
        await self.heard([], [b"twice", b"twice"])
        way.repeat, way.reset_after = 0.0, 30
        self.say("a", b"x" * 40)
        with self.assertRaises(ConnectionError):
            async with asyncio.timeout(5):
                while True:
                    self.say("a", b"y")
                    await self.writers["a"].drain()
                    await asyncio.sleep(0.01)
