"""Every order of events of small arrangements, each state once."""

import unittest

from tests.takeover.explore import COME_BACK, Bounds, search


class ExploreTest(unittest.TestCase):
    """One key and two owners, whole; the rest is benchmarks.fleet_model --explore."""

    def test_no_order_of_events_runs_a_charge_twice(self):
        for assignments in (COME_BACK,):
            found = search(assignments[:2], Bounds(keys=1, lost=0, ticks=0, fences=1), 100_000)
            self.assertEqual("", found.broken, found.path)
            self.assertTrue(found.whole)
            self.assertGreater(found.states, 3_000)
