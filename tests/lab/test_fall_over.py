"""The stand-ins' check of the overload rule."""

import unittest

from sagetrestle.lab.fall_over import FallOverLimits, FallOverWatch, NodeLoad, RollingMean
from tests.net.scenario import PARAMS


class FallOverTest(unittest.TestCase):
    """Means over spans for runs and calls, and moments for memory."""

    # Guards against a check that passes as its mean is taken over too much time, or that blames a short crowd.
    def test_a_mean_counts_only_its_span_and_time_without_load_as_none(self):
        mean = RollingMean(2.0)
        for step in range(41):  # 10 for one second, then 30 for three
            mean.add(step / 10, 10 if step < 10 else 30)
        self.assertAlmostEqual(30, mean.highest, delta=1.6)  # a span and the steps that cross its start
        mean = RollingMean(2.0)
        mean.add(0.0, 30)
        mean.add(1.0, 0)
        self.assertAlmostEqual(15, mean.highest)

    def watch(self, load, seconds=10):
        watch = FallOverWatch(FallOverLimits.from_settings(PARAMS), lambda: load)
        for step in range(seconds * 100):
            watch.look(step / 100)
        return watch.violations

    # Guards against a limit that is never looked at.
    def test_each_limit_is_checked(self):
        self.assertEqual([], self.watch(NodeLoad(9, 30_000.0, 7)))
        for load, name in (
            (NodeLoad(11, 0.0, 0), "runs"),
            (NodeLoad(0, 30_001.0, 0), "memory"),
            (NodeLoad(0, 0.0, 9), "calls"),
        ):
            (text,) = self.watch(load)
            self.assertIn(name, text)
        self.assertEqual([], self.watch(NodeLoad(11, 0.0, 0), seconds=1))  # too short for the mean of 2 s

    # Guards against a cold node that is held to the limit of a warm one.
    def test_a_cold_node_bears_fewer_runs(self):
        self.assertEqual([], self.watch(NodeLoad(5, 0.0, 0, speed_share=0.5)))  # 2 cores, 5 runs on each while warm
        (text,) = self.watch(NodeLoad(7, 0.0, 0, speed_share=0.5))
        self.assertIn("7.0 runs on the cores, 6.0 at most", text)
