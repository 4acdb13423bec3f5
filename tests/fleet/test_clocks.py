"""Members whose clocks drift, within the stated bound and far past it."""

import asyncio

from sagetrestle.lab.processes import charge
from tests.fleet.test_takeover import FleetCase


class ClocksTest(FleetCase):
    """Three members, of which one has a slow clock and one a fast one."""

    async def cut_off(self, clocks, slow):
        """Cut a member off while charges of its partitions come to both sides; return what both sides were told."""
        rig = await self.fleet(clocks=clocks)
        keys = [key for key in (f"K{at}" for at in range(60)) if self.owner(rig, key) == slow][:6]
        rig.links.cut([slow], [name for name in (*rig.names, "f1") if name != slow])
        first = [asyncio.create_task(rig.callers[0].sender.send(charge(key))) for key in keys]
        await self.until(lambda: all(self.owner(rig, key, 1) != slow for key in keys))
        second = await asyncio.gather(*(rig.charge(charge(key)._replace(retry=True), 1, 3.0) for key in keys))
        rig.links.heal()
        await asyncio.gather(*first)
        third = await asyncio.gather(*(rig.charge(charge(key)._replace(retry=True), 1, 4.0) for key in keys))
        self.check(rig)
        return [one.how for one in second], [one.how for one in third]

    async def test_within_the_stated_drift_the_other_side_goes_on(self):
        second, third = await self.cut_off({"n0": 0.996, "n1": 1.004}, "n0")
        self.assertEqual({"served"}, set(second))
        self.assertEqual({"served"}, set(third))

    async def test_far_past_the_drift_a_member_believes_its_lease_too_long_and_nothing_runs_twice(self):
        _, third = await self.cut_off({"n0": 0.4, "n2": 1.3}, "n0")
        self.assertEqual({"served"}, set(third))
