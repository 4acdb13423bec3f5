"""Lives of members, by what sources say and what is heard."""

import random
import unittest

from sagetrestle.membership.state_machine import (
    ConnectionRefused,
    MemberAnswered,
    MemberResting,
    SourceUnavailable,
    Tick,
)
from sagetrestle.membership.values import STATE_TRANSITIONS, MemberState, Source
from tests.membership.helpers import MS, Harness, S, instance


class LifeTest(unittest.TestCase):
    """One member at a time."""

    def test_an_announced_member_takes_work_and_is_live_once_it_answers(self):
        world = Harness(0)
        world.read(instance(1))
        self.assertEqual(("announced", ["n1"]), (world.state("n1"), world.eligible()))
        world.wait(400 * MS)
        self.assertEqual("live", world.state("n1"))

    def test_a_silent_one_gets_no_work_after_the_stated_time_and_comes_back_by_degrees(self):
        """Twice a probe's period and time-out, from its last answer."""
        world = Harness()
        world.silent.add("n1")
        world.wait(2 * (world.config.probe_interval_us + world.config.probe_timeout_us))
        self.assertEqual("suspected", world.state("n1"))
        self.assertEqual(["n0", "n2", "n3"], world.eligible())
        world.wait(3 * S)
        world.silent.clear()
        world.wait(700 * MS)
        member = world.core.view.members["n1"]
        self.assertEqual("live", member.state.value)
        self.assertGreater(member.warmup_start_us, 0)

    def test_a_habit_of_slow_answers_is_no_silence(self):
        """A fixed time-out would suspect it, or miss the quick ones."""
        world = Harness(1)
        rng = random.Random(1)
        for _ in range(80):
            world.silent.add("n0")
            world.wait(rng.randrange(300, 700) * MS)
            world.take(MemberAnswered("n0"))
            world.late.clear()
        self.assertEqual("live", world.state("n0"))
        world.silent.add("n0")
        world.wait(4 * S)
        self.assertEqual("suspected", world.state("n0"))

    def test_two_refused_connections_are_enough(self):
        world = Harness()
        for _ in range(2):
            world.take(ConnectionRefused("n2"))
        self.assertEqual("suspected", world.state("n2"))

    def test_a_drain_is_believed_at_once_from_either_side(self):
        world = Harness()
        world.take(MemberAnswered("n0", leaving=True))
        world.change(instance(1, draining=True))
        world.change(gone=("n2",))
        self.assertEqual(["n3"], world.eligible())
        self.assertEqual(["draining"] * 3, [world.state(f"n{at}") for at in range(3)])
        world.wait(world.config.withdrawn_linger_us + 20 * MS)
        self.assertEqual(["n0", "n1", "n3"], sorted(world.core.view.members))

    def test_one_that_rests_takes_no_work_until_it_says_otherwise(self):
        world = Harness()
        world.take(MemberResting("n0"))
        self.assertNotIn("n0", world.eligible())
        world.wait(300 * MS)  # the next probe's answer
        self.assertIn("n0", world.eligible())

    def test_a_draining_member_never_takes_work_again_in_this_life(self):
        world = Harness()
        world.take(MemberAnswered("n0", leaving=True))
        world.take(MemberAnswered("n0"))
        world.read(*(instance(at) for at in range(4)))
        world.wait(2 * S)
        self.assertEqual("draining", world.state("n0"))
        world.read(instance(0, boot=2), *(instance(at) for at in range(1, 4)))
        world.wait(400 * MS)
        self.assertEqual("live", world.state("n0"))

    def test_every_life_has_its_moves(self):
        self.assertEqual(set(MemberState), set(STATE_TRANSITIONS))
        self.assertEqual(frozenset(), STATE_TRANSITIONS[MemberState.GONE])
        self.assertEqual(frozenset({MemberState.GONE}), STATE_TRANSITIONS[MemberState.DRAINING])


class TroubleTest(unittest.TestCase):
    """What happens to many at once, and to records."""

    def test_49_percent_that_vanish_are_left_out_and_what_is_left_serves(self):
        world = Harness(20)
        world.silent |= {f"n{at}" for at in range(9)}
        world.wait(1_500 * MS)
        self.assertEqual(11, len(world.eligible()))
        self.assertFalse(world.core.view.panic)

    def test_past_the_bound_suspicion_is_ignored_but_drains_are_not(self):
        """A partition that this side alone sees: all seem silent, and all may well be there."""
        world = Harness(20)
        world.take(MemberAnswered("n19", leaving=True))
        world.silent |= {f"n{at}" for at in range(19)}
        world.wait(2 * S)
        self.assertTrue(world.core.view.panic)
        self.assertEqual(19, len(world.eligible()))
        self.assertNotIn("n19", world.eligible())
        world.silent.clear()
        world.wait(2 * S)
        self.assertFalse(world.core.view.panic)
        self.assertIn("suspicion counts again", world.notes)

    def test_one_that_flaps_every_second_is_held_out_and_let_back_once_it_is_steady(self):
        world = Harness(4, warmup_after_us=0)
        for _ in range(20):
            world.silent.add("n1")
            world.wait(1_200 * MS)
            world.silent.clear()
            world.wait(300 * MS)
        self.assertLessEqual(world.notes.count("member n1 answers again"), 6)
        world.wait(30 * S)
        self.assertEqual("live", world.state("n1"))

    def test_records_out_for_24_s_hold_the_view_and_say_that_it_is_stale(self):
        world = Harness()
        for _ in range(24):
            world.take(SourceUnavailable(Source.RECORDS))
            world.wait(S)
        self.assertTrue(world.core.view.stale)
        self.assertEqual(4, len(world.eligible()))
        world.read(*(instance(at) for at in range(4)))
        self.assertFalse(world.core.view.stale)

    def test_at_start_up_the_saved_view_counts_until_the_records_are_read(self):
        world = Harness(0)
        world.core = world.core.__class__(world.config)
        world.read(instance(1), instance(2), source=Source.SAVED)
        self.assertEqual(["n1", "n2"], world.eligible())
        world.read(instance(3), source=Source.STATIC)
        self.assertEqual(["n3"], world.eligible())
        world.read(instance(1, boot=2), instance(4))
        self.assertEqual(["n1", "n4"], world.eligible())

    def test_a_pinned_name_stays_whatever_the_records_say(self):
        world = Harness(0)
        world.read(instance(9), source=Source.STATIC, pinned=("n9",))
        world.read(instance(1))
        self.assertEqual(["n1", "n9"], world.eligible())

    def test_half_the_fleet_missing_at_once_is_not_believed_while_it_is_heard(self):
        """A server that answers half; a release drains few at a time, and those say so themselves."""
        world = Harness(12)
        for number in range(4):
            world.read(*(instance(at) for at in range(6)))
            world.wait(800 * MS)
            self.assertEqual(12, len(world.eligible()), number)
        self.assertIn("not taken yet", world.notes[-1])
        world.read(*(instance(at) for at in range(6)))
        self.assertEqual(6, len(world.eligible()))

    def test_half_the_fleet_missing_and_silent_is_believed_at_once(self):
        world = Harness(12)
        world.silent |= {f"n{at}" for at in range(6, 12)}
        world.wait(1_500 * MS)
        world.read(*(instance(at) for at in range(6)))
        self.assertEqual(6, len(world.core.view.members))

    def test_an_old_serial_is_not_taken_until_it_must_be_a_new_zone(self):
        world = Harness(4)
        world.read(*(instance(at) for at in range(4)), serial=100)
        world.read(instance(0), instance(1), instance(2), serial=99)
        self.assertEqual(4, len(world.eligible()))
        for _ in range(20):
            world.read(instance(0), instance(1), instance(2), serial=1)
        self.assertEqual(3, len(world.eligible()))
        world.read(instance(0), instance(1), serial=(1 + (1 << 31) - 1) % (1 << 32))  # RFC 1982: it went round
        self.assertEqual(2, len(world.eligible()))

    def test_a_withdrawn_record_that_comes_back_has_to_answer_before_it_gets_work(self):
        """An old zone brings back what is gone; a fault takes out what is there: neither is trusted."""
        world = Harness(4)
        world.silent.add("n1")
        world.change(gone=("n1",))
        world.change(instance(1))
        world.wait(2 * S)
        self.assertNotIn("n1", world.eligible())
        world.silent.clear()
        world.wait(700 * MS)
        self.assertIn("n1", world.eligible())

    def test_two_boots_under_one_name_are_one_member_the_later(self):
        world = Harness(2)
        world.read(instance(0), instance(1, boot=5, port=77), instance(1, boot=4, port=78))
        self.assertEqual(77, world.core.view.members["n1"].instance.endpoint.port)
        world.wait(300 * MS)
        world.change(instance(1, boot=4, port=78))
        self.assertEqual(77, world.core.view.members["n1"].instance.endpoint.port)

    def test_an_earlier_boot_counts_once_the_later_one_is_silent(self):
        """A machine whose clock was set back: its new start has the lower number."""
        world = Harness(2)
        world.change(instance(1, boot=9))
        world.wait(500 * MS)
        world.silent.add("n1")
        world.wait(2 * S)
        world.silent.clear()
        world.change(instance(1, boot=3))
        world.wait(700 * MS)
        self.assertEqual((3, "live"), (world.core.view.members["n1"].instance.boot, world.state("n1")))

    def test_a_re_used_address_belongs_to_the_later_boot(self):
        world = Harness(2)
        world.change(instance("new", boot=7, port=10_001))
        self.assertEqual(["n0", "new"], sorted(world.core.view.members))
        world.change(instance("old", boot=2, port=10_001))
        self.assertNotIn("old", world.core.view.members)

    def test_in_a_flood_the_newest_state_wins_and_a_drain_waits_for_nobody(self):
        world = Harness(3, max_changes_per_step=16, max_queued_changes=5_000)
        flood = [instance(at % 1_000 + 10, boot=at // 1_000 + 1) for at in range(4_000)]
        world.change(*flood)
        world.change(gone=("n1",))
        self.assertEqual("draining", world.state("n1"))
        self.assertLessEqual(len(world.core.queue), 1_000)
        for _ in range(80):
            world.take(Tick())
        self.assertEqual(0, len(world.core.queue))
        self.assertEqual({4}, {world.core.view.members[f"n{at}"].instance.boot for at in range(10, 1_010)})

    def test_a_flood_over_the_bound_asks_for_a_whole_reading(self):
        world = Harness(1, max_changes_per_step=4, max_queued_changes=50)
        asked = []
        for start in range(0, 400, 100):
            from sagetrestle.membership.state_machine import ResyncSource, SourceChanged

            event = SourceChanged(Source.RECORDS, tuple(instance(at + 10) for at in range(start, start + 100)))
            asked += [one for one in world.core.step(world.now, event) if isinstance(one, ResyncSource)]
        self.assertTrue(asked)
        self.assertLessEqual(len(world.core.queue), 50)

    def test_probes_are_spread_over_their_period(self):
        world = Harness(100)
        world.probes.clear()
        world.wait(world.config.probe_interval_us)
        busiest = max(sum(at == when for at, _ in world.probes) for when, _ in world.probes)
        self.assertLess(busiest, 20)
        self.assertAlmostEqual(100, len(world.probes), delta=12)


class ViewTest(unittest.TestCase):
    """Versions and their differences."""

    def test_differences_tell_what_changed_over_many_versions(self):
        world = Harness(3)
        old = world.core.view
        world.take(MemberAnswered("n0", leaving=True))
        world.change(instance(7), gone=())
        got = {
            name: (was and was.state.value, now and now.state.value)
            for name, was, now in world.core.view.changed_since(old)
        }
        self.assertEqual({"n0": ("live", "draining"), "n7": (None, "announced")}, got)
        self.assertEqual("live", old.members["n0"].state.value)

    def test_past_what_is_remembered_a_difference_looks_at_all(self):
        world = Harness(1)
        old = world.core.view
        for boot in range(2, 1_300):
            world.change(instance(0, boot=boot))
        self.assertEqual(["n0"], [name for name, _, _ in world.core.view.changed_since(old)])
        self.assertLessEqual(len(world.core.view.log), 1_024)
