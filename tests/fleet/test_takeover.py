"""Charges outlive their owner: several processes, and faults between them."""

import asyncio

from sagetrestle.lab.processes import charge
from sagetrestle.lab.routed import _now
from sagetrestle.router import RouteRequest
from tests.fleet.helpers import RigCase

FLEET = {"partitions": 8, "new": True}


class FleetCase(RigCase):
    """A fleet that is on."""

    async def fleet(self, size=3, **more):
        return await self.rig(size, fleet={**FLEET, **more.pop("fleet", {})}, **more)

    def owner(self, rig, key="K", caller=0):
        return rig.callers[caller].router.router.owner(key)

    def check(self, rig):
        found = rig.finished().check()
        self.assertEqual([], found.broken, found.line())
        return found


class TakeoverTest(FleetCase):
    """One charge at a time."""

    async def test_a_charge_is_served_once_through_any_front_end(self):
        rig = await self.fleet()
        for number in range(6):
            self.assertEqual("served", (await rig.charge(charge(f"K{number}"), number)).how)
            self.assertEqual("served", (await rig.charge(charge(f"K{number}"), number + 1)).how)
        self.assertEqual(6, self.check(rig).served)

    async def test_an_owner_that_is_stopped_and_goes_on_runs_nothing_that_another_took_over(self):
        rig = await self.fleet()
        one, owner = charge("K"), self.owner(rig)
        self.assertEqual(owner, rig.callers[0].router.router.choose(RouteRequest("K"), _now()).member.instance.name)
        rig.stop(owner)
        first = asyncio.create_task(rig.callers[0].sender.send(one))
        await self.until(lambda: self.owner(rig, caller=1) != owner)
        outcome = await rig.charge(one._replace(retry=True), 1)
        self.assertEqual("served", outcome.how)
        rig.go_on(owner)
        await first
        self.assertEqual(1, self.check(rig).served)
