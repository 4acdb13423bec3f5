"""The laboratory: a schedule that is kept or said not to be, and an audit that finds what is seeded."""

import asyncio
import unittest

from sagetrestle.lab.audit import audit
from sagetrestle.lab.kernel import Started
from sagetrestle.lab.load import LoadReport, Outcome, Planned, plan, rows, run
from sagetrestle.lab.place import CLASSES, Place

AIMS = {cls.name: cls.aim_s for cls in CLASSES}


class PlanTest(unittest.TestCase):
    """Arrivals are drawn ahead, from the seed alone."""

    def test_the_same_seed_gives_the_same_plan_at_the_rate_asked_for(self):
        first = plan(CLASSES, 100, 20, ["a", "b"], ["f"], seed=3, retries=0.5)
        self.assertEqual(first, plan(CLASSES, 100, 20, ["a", "b"], ["f"], seed=3, retries=0.5))
        tries = [one for one in first if not one.retry]
        self.assertAlmostEqual(2_000, len(tries), delta=200)
        self.assertEqual(sorted(first), first)

    def test_retries_are_charges_marked_and_with_the_key_and_body_of_their_first(self):
        first = plan(CLASSES, 100, 10, ["a"], ["f"], seed=3, retries=0.5)
        by_number = {one.number: one for one in first if not one.retry}
        retries = [one for one in first if one.retry]
        self.assertTrue(retries)
        for one in retries:
            of = by_number[one.number]
            self.assertEqual((of.key, of.body, "paid-check"), (one.key, one.body, one.cls))
            self.assertGreater(one.at_s, of.at_s)

    def test_capacity_is_what_the_cores_can_do(self):
        self.assertAlmostEqual(2 / (0.6 * 0.020 + 0.4 * 0.035), Place().capacity)


class RunTest(unittest.IsolatedAsyncioTestCase):
    """Latency counts from the intended time, and a generator that falls behind says so."""

    async def test_a_slow_server_does_not_slow_the_schedule(self):
        planned = [Planned(0.01 * at, at, "quick-check", "t", "f", b"read %d" % at, None) for at in range(20)]

        async def send(_):
            await asyncio.sleep(0.2)
            return Outcome("served", 200)

        report = await run(planned, send, AIMS)
        self.assertTrue(report.valid)
        self.assertEqual(20, report.outcomes["quick-check"]["served"])
        self.assertGreaterEqual(report.latency["quick-check"].get_min_value(), 190_000)

    async def test_a_generator_that_blocks_is_not_valid_and_the_wait_is_in_the_latency(self):
        import time

        planned = [Planned(0.0, at, "quick-check", "t", "f", b"read %d" % at, None) for at in range(8)]

        async def send(_):
            time.sleep(0.1)  # noqa: ASYNC251 - it stands for a generator that has no core left
            return Outcome("served", 200)

        report = await run(planned, send, AIMS)
        self.assertFalse(report.valid)
        self.assertGreater(report.latency["quick-check"].get_max_value(), 700_000)

    async def test_what_is_lost_is_counted(self):
        async def send(_):
            raise ConnectionResetError

        planned = [Planned(0.0, 1, "quick-check", "t", "f", b"read 1", None)]
        ((cls, asked, *_, lost, _, _, _),) = rows(await run(planned, send, AIMS))
        self.assertEqual(("quick-check", "1", "1"), (cls, asked, lost))


class AuditTest(unittest.TestCase):
    """Each kind of fault, seeded."""

    def found(self, runs, results, entitled):
        report = LoadReport()
        for body, how, status in results:
            report.results.append((Planned(0, 0, "paid-check", "t", "f", body, "k"), Outcome(how, status)))
        return audit([Started("id", "paid-check", body, 0.0) for body in runs], report, entitled)

    def test_what_is_well_is_clean(self):
        got = self.found(
            [b"charge 1"],
            [(b"charge 1", "served", 200), (b"charge 2", "denied", 401)],
            {b"charge 1": True, b"charge 2": False},
        )
        self.assertTrue(got.clean)
        self.assertEqual((1, 1, 1), (got.charges, got.entitled, got.impostors))

    def test_each_fault_is_found(self):
        for runs, results, entitled, name in (
            ([b"charge 1"], [], {}, "unauthorised"),
            ([b"charge 1"] * 2, [], {b"charge 1": True}, "doubled"),
            ([], [(b"charge 1", "denied", 403)], {b"charge 1": True}, "wrongful"),
            ([], [(b"charge 1", "lost", 0)], {b"charge 1": True}, "unanswered"),
            ([], [(b"charge 1", "served", 200)], {b"charge 1": False}, "let_through"),
        ):
            got = self.found(runs, results, entitled)
            self.assertEqual((False, 1), (got.clean, len(getattr(got, name))), name)
