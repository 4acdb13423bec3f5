"""Partitions that change hands under charges: drains, moves, a zone that is lost, a request that ends its owner."""

import asyncio
import signal

from sagetrestle.lab.processes import charge
from tests.fleet.test_hard_cases import HardCase


class MovesTest(HardCase):
    """Nothing is lost on the way and nothing runs twice."""

    async def under_charges(self, rig, act, rate=25.0, after=1.0):
        """Have charges come while something happens and a while after; return how each ended."""
        asked, done = [], asyncio.Event()

        async def load():
            number = 0
            while not done.is_set():
                number += 1
                asked.append(asyncio.create_task(rig.charge(charge(f"M{number}"), number)))
                await asyncio.sleep(1 / rate)

        loading = asyncio.create_task(load())
        await asyncio.sleep(0.3)
        await act()
        await asyncio.sleep(after)
        done.set()
        await loading
        return [one.how for one in await asyncio.gather(*asked)]

    async def test_a_drain_gives_all_away_before_the_process_ends_and_a_newcomer_gets_its_part(self):
        rig = await self.fleet(4)
        leaver = next(name for name in rig.names if name not in rig.council)

        async def act():
            await rig.drain(leaver)
            await rig.begin(leaver)
            await self.until(lambda: leaver in {self.owner(rig, f"K{at}") for at in range(60)}, 15)

        self.assertEqual({"served"}, set(await self.under_charges(rig, act)))
        self.check(rig)

    async def test_a_drain_and_the_death_of_the_one_that_follows_it_at_once(self):
        rig = await self.fleet(5)
        leaver, follower = [name for name in rig.names if name not in rig.council]

        async def act():
            rig.scorers[leaver].send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            await rig.kill(follower)
            await self.until(lambda: not {leaver, follower} & {self.owner(rig, f"K{at}") for at in range(60)}, 15)

        self.assertEqual({"served"}, set(await self.under_charges(rig, act)))
        self.check(rig)

    async def test_an_upgrade_of_a_member_while_another_dies_runs_nothing_twice(self):
        rig = await self.fleet(5, upgraded="n1", fleet={"store": "council.db", "records": "records.db"})
        older = rig.scorers["n1"]

        async def act():
            upgrading = asyncio.create_task(rig.upgrade())
            await asyncio.sleep(0.6)
            await rig.kill("n3")
            await upgrading
            await self.until(lambda: "n1" in {self.owner(rig, f"K{at}") for at in range(60)}, 20)

        hows = await self.under_charges(rig, act)
        self.assertEqual({"served"}, set(hows))
        self.check(rig)
        self.assertFalse(older.log_has("can not be written"), older.log)  # the newer one left its files alone

    async def test_a_whole_zone_lost_under_load_is_gone_on_with_by_the_others(self):
        rig = await self.fleet(6, council=3, zones=3)
        lost = [name for at, name in enumerate(rig.names) if at % 3 == 2]  # one of the council's three among them

        async def act():
            await asyncio.gather(*(rig.kill(name) for name in lost))
            await self.until(lambda: not set(lost) & {self.owner(rig, f"K{at}") for at in range(60)}, 15)

        got = await self.under_charges(rig, act)
        self.assertEqual({"served"}, set(got))
        self.check(rig)

    async def test_a_request_that_ends_its_owner_costs_two_members_and_is_refused_by_all(self):
        rig = await self.fleet(5, council=3)
        killed = []

        def ends(name):
            kernel = rig.machines[name].kernel
            started = kernel._start

            def start(call, cls, body, token):
                if b"poison" in body and name not in rig.down:
                    killed.append(name)
                    rig.down.add(name)
                    rig.scorers[name].send_signal(signal.SIGKILL)  # before it was begun: the kernel knows nothing of it
                    return
                started(call, cls, body, token)

            kernel._start = start

        for name in rig.names:
            ends(name)
        await rig.charge(charge("poison"), give_up_s=9.0)
        self.assertEqual(2, len(killed), killed)
        self.assertEqual("failed", (await rig.callers[0].sender.send(charge("poison"))).how)
        self.assertTrue(any(one.log_has("is refused from now on") for one in rig.scorers.values()))
        self.assertEqual("served", (await rig.charge(charge("good"))).how)
        self.check(rig)
