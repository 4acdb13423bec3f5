"""What today's program loses without a fleet: the tests of the parts between processes start from here."""

import asyncio

from sagetrestle.lab.processes import charge
from sagetrestle.lab.routed import _now
from sagetrestle.router import RouteRequest
from tests.fleet.helpers import RigCase


class BaselineTest(RigCase):
    """Two front ends with a view each."""

    async def test_an_owner_that_is_stopped_and_goes_on_runs_a_charge_that_another_ran(self):
        rig = await self.rig()
        one = charge("K")
        owner = rig.callers[0].router.router.choose(RouteRequest("K"), _now()).member.instance.name
        rig.stop(owner)
        first = asyncio.create_task(rig.callers[0].sender.send(one))
        await self.until(
            lambda: rig.callers[1].router.router.choose(RouteRequest("K"), _now()).member.instance.name != owner
        )
        outcome = await rig.callers[1].sender.send(one._replace(retry=True))
        self.assertEqual("served", outcome.how)
        rig.go_on(owner)
        await first
        self.assertEqual(1, len(rig.finished().check().doubled), rig.history)
