"""States of members, by listings and probe results."""

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


class MemberStateTest(unittest.TestCase):
    """State transitions of single members."""

    def test_an_announced_member_gets_requests_and_is_live_once_it_answers(self):
        harness = Harness(0)
        harness.list_source(instance(1))
        self.assertEqual(("announced", ["n1"]), (harness.state("n1"), harness.eligible()))
        harness.wait(400 * MS)
        self.assertEqual("live", harness.state("n1"))

    def test_a_silent_member_is_suspected_in_the_documented_time_and_warms_up_on_return(self):
        """The time is twice the probe interval plus time-out, from its last answer."""
        harness = Harness()
        harness.silent.add("n1")
        harness.wait(2 * (harness.config.probe_interval_us + harness.config.probe_timeout_us))
        self.assertEqual("suspected", harness.state("n1"))
        self.assertEqual(["n0", "n2", "n3"], harness.eligible())
        harness.wait(3 * S)
        harness.silent.clear()
        harness.wait(700 * MS)
        member = harness.membership.view.members["n1"]
        self.assertEqual("live", member.state.value)
        self.assertGreater(member.warmup_start_us, 0)

    def test_a_member_that_always_answers_slowly_is_not_suspected(self):
        """A fixed time-out would suspect a slow member, or detect a quick one late."""
        harness = Harness(1)
        rng = random.Random(1)
        for _ in range(80):
            harness.silent.add("n0")
            harness.wait(rng.randrange(300, 700) * MS)
            harness.process(MemberAnswered("n0"))
            harness.pending_events.clear()
        self.assertEqual("live", harness.state("n0"))
        harness.silent.add("n0")
        harness.wait(4 * S)
        self.assertEqual("suspected", harness.state("n0"))

    def test_two_refused_connections_cause_suspicion(self):
        harness = Harness()
        for _ in range(2):
            harness.process(ConnectionRefused("n2"))
        self.assertEqual("suspected", harness.state("n2"))

    def test_a_drain_takes_effect_at_once_from_a_record_or_an_answer(self):
        harness = Harness()
        harness.process(MemberAnswered("n0", leaving=True))
        harness.change(instance(1, draining=True))
        harness.change(gone=("n2",))
        self.assertEqual(["n3"], harness.eligible())
        self.assertEqual(["draining"] * 3, [harness.state(f"n{index}") for index in range(3)])
        harness.wait(harness.config.withdrawn_linger_us + 20 * MS)
        self.assertEqual(["n0", "n1", "n3"], sorted(harness.membership.view.members))

    def test_a_resting_member_gets_no_requests_until_it_answers_again(self):
        harness = Harness()
        harness.process(MemberResting("n0"))
        self.assertNotIn("n0", harness.eligible())
        harness.wait(300 * MS)  # until the next probe is answered
        self.assertIn("n0", harness.eligible())

    def test_a_draining_member_gets_no_requests_until_a_later_boot(self):
        harness = Harness()
        harness.process(MemberAnswered("n0", leaving=True))
        harness.process(MemberAnswered("n0"))
        harness.list_source(*(instance(index) for index in range(4)))
        harness.wait(2 * S)
        self.assertEqual("draining", harness.state("n0"))
        harness.list_source(instance(0, boot=2), *(instance(index) for index in range(1, 4)))
        harness.wait(400 * MS)
        self.assertEqual("live", harness.state("n0"))

    def test_every_state_has_its_transitions(self):
        self.assertEqual(set(MemberState), set(STATE_TRANSITIONS))
        self.assertEqual(frozenset(), STATE_TRANSITIONS[MemberState.GONE])
        self.assertEqual(frozenset({MemberState.GONE}), STATE_TRANSITIONS[MemberState.DRAINING])


class FaultsTest(unittest.TestCase):
    """Failures of many members at once, and faults of the sources."""

    def test_members_that_fall_silent_are_suspected_up_to_half_of_the_fleet(self):
        harness = Harness(20)
        harness.silent |= {f"n{index}" for index in range(9)}
        harness.wait(1_500 * MS)
        self.assertEqual(11, len(harness.eligible()))
        self.assertFalse(harness.membership.view.panic)

    def test_above_the_threshold_suspicion_is_ignored_but_drains_are_not(self):
        """A partition of this process alone: all members seem silent although they may be up."""
        harness = Harness(20)
        harness.process(MemberAnswered("n19", leaving=True))
        harness.silent |= {f"n{index}" for index in range(19)}
        harness.wait(2 * S)
        self.assertTrue(harness.membership.view.panic)
        self.assertEqual(19, len(harness.eligible()))
        self.assertNotIn("n19", harness.eligible())
        harness.silent.clear()
        harness.wait(2 * S)
        self.assertFalse(harness.membership.view.panic)
        self.assertIn("suspicion counts again", harness.log_lines)

    def test_a_flapping_member_is_suppressed_until_it_is_stable(self):
        harness = Harness(4, warmup_after_us=0)
        for _ in range(20):
            harness.silent.add("n1")
            harness.wait(1_200 * MS)
            harness.silent.clear()
            harness.wait(300 * MS)
        self.assertLessEqual(harness.log_lines.count("member n1 answers again"), 6)
        harness.wait(30 * S)
        self.assertEqual("live", harness.state("n1"))

    def test_the_view_is_kept_and_stale_while_records_are_unavailable_for_24_s(self):
        harness = Harness()
        for _ in range(24):
            harness.process(SourceUnavailable(Source.RECORDS))
            harness.wait(S)
        self.assertTrue(harness.membership.view.stale)
        self.assertEqual(4, len(harness.eligible()))
        harness.list_source(*(instance(index) for index in range(4)))
        self.assertFalse(harness.membership.view.stale)

    def test_the_saved_view_counts_until_the_records_are_read(self):
        harness = Harness(0)
        harness.membership = harness.membership.__class__(harness.config)
        harness.list_source(instance(1), instance(2), source=Source.SAVED)
        self.assertEqual(["n1", "n2"], harness.eligible())
        harness.list_source(instance(3), source=Source.STATIC)
        self.assertEqual(["n3"], harness.eligible())
        harness.list_source(instance(1, boot=2), instance(4))
        self.assertEqual(["n1", "n4"], harness.eligible())

    def test_a_pinned_name_stays_without_a_record(self):
        harness = Harness(0)
        harness.list_source(instance(9), source=Source.STATIC, pinned=("n9",))
        harness.list_source(instance(1))
        self.assertEqual(["n1", "n9"], harness.eligible())

    def test_a_mass_removal_is_held_back_while_the_members_answer(self):
        """A DNS server may return half of a zone; a release drains few members at a time, and they report it."""
        harness = Harness(12)
        for number in range(4):
            harness.list_source(*(instance(index) for index in range(6)))
            harness.wait(800 * MS)
            self.assertEqual(12, len(harness.eligible()), number)
        self.assertIn("not taken yet", harness.log_lines[-1])
        harness.list_source(*(instance(index) for index in range(6)))
        self.assertEqual(6, len(harness.eligible()))

    def test_a_mass_removal_of_silent_members_is_accepted_at_once(self):
        harness = Harness(12)
        harness.silent |= {f"n{index}" for index in range(6, 12)}
        harness.wait(1_500 * MS)
        harness.list_source(*(instance(index) for index in range(6)))
        self.assertEqual(6, len(harness.membership.view.members))

    def test_an_older_serial_is_rejected_until_the_zone_must_be_new(self):
        harness = Harness(4)
        harness.list_source(*(instance(index) for index in range(4)), serial=100)
        harness.list_source(instance(0), instance(1), instance(2), serial=99)
        self.assertEqual(4, len(harness.eligible()))
        for _ in range(20):
            harness.list_source(instance(0), instance(1), instance(2), serial=1)
        self.assertEqual(3, len(harness.eligible()))
        harness.list_source(
            instance(0), instance(1), serial=(1 + (1 << 31) - 1) % (1 << 32)
        )  # RFC 1982: wrapped around
        self.assertEqual(2, len(harness.eligible()))

    def test_a_withdrawn_member_that_returns_has_to_answer_before_it_gets_requests(self):
        """An old zone may bring back a record, a fault may remove one: neither is trusted without an answer."""
        harness = Harness(4)
        harness.silent.add("n1")
        harness.change(gone=("n1",))
        harness.change(instance(1))
        harness.wait(2 * S)
        self.assertNotIn("n1", harness.eligible())
        harness.silent.clear()
        harness.wait(700 * MS)
        self.assertIn("n1", harness.eligible())

    def test_of_two_boots_under_one_name_the_later_counts(self):
        harness = Harness(2)
        harness.list_source(instance(0), instance(1, boot=5, port=77), instance(1, boot=4, port=78))
        self.assertEqual(77, harness.membership.view.members["n1"].instance.endpoint.port)
        harness.wait(300 * MS)
        harness.change(instance(1, boot=4, port=78))
        self.assertEqual(77, harness.membership.view.members["n1"].instance.endpoint.port)

    def test_an_earlier_boot_counts_once_the_later_one_is_silent(self):
        """After a host's clock was set back, its new start has the lower boot number."""
        harness = Harness(2)
        harness.change(instance(1, boot=9))
        harness.wait(500 * MS)
        harness.silent.add("n1")
        harness.wait(2 * S)
        harness.silent.clear()
        harness.change(instance(1, boot=3))
        harness.wait(700 * MS)
        self.assertEqual((3, "live"), (harness.membership.view.members["n1"].instance.boot, harness.state("n1")))

    def test_a_reused_address_belongs_to_the_later_boot(self):
        harness = Harness(2)
        harness.change(instance("new", boot=7, port=10_001))
        self.assertEqual(["n0", "new"], sorted(harness.membership.view.members))
        harness.change(instance("old", boot=2, port=10_001))
        self.assertNotIn("old", harness.membership.view.members)

    def test_in_a_flood_of_changes_the_newest_state_wins_and_drains_go_first(self):
        harness = Harness(3, max_changes_per_step=16, max_queued_changes=5_000)
        flood = [instance(index % 1_000 + 10, boot=index // 1_000 + 1) for index in range(4_000)]
        harness.change(*flood)
        harness.change(gone=("n1",))
        self.assertEqual("draining", harness.state("n1"))
        self.assertLessEqual(len(harness.membership.queue), 1_000)
        for _ in range(80):
            harness.process(Tick())
        self.assertEqual(0, len(harness.membership.queue))
        self.assertEqual(
            {4}, {harness.membership.view.members[f"n{index}"].instance.boot for index in range(10, 1_010)}
        )

    def test_a_flood_beyond_the_queue_requests_a_full_listing(self):
        harness = Harness(1, max_changes_per_step=4, max_queued_changes=50)
        asked = []
        for start in range(0, 400, 100):
            from sagetrestle.membership.state_machine import ResyncSource, SourceChanged

            event = SourceChanged(Source.RECORDS, tuple(instance(index + 10) for index in range(start, start + 100)))
            asked += [one for one in harness.membership.step(harness.now, event) if isinstance(one, ResyncSource)]
        self.assertTrue(asked)
        self.assertLessEqual(len(harness.membership.queue), 50)

    def test_probes_are_spread_over_their_interval(self):
        harness = Harness(100)
        harness.probes.clear()
        harness.wait(harness.config.probe_interval_us)
        busiest = max(sum(index == when for index, _ in harness.probes) for when, _ in harness.probes)
        self.assertLess(busiest, 20)
        self.assertAlmostEqual(100, len(harness.probes), delta=12)


class ViewTest(unittest.TestCase):
    """Versions of the view and their differences."""

    def test_differences_cover_many_versions(self):
        harness = Harness(3)
        old = harness.membership.view
        harness.process(MemberAnswered("n0", leaving=True))
        harness.change(instance(7), gone=())
        differences = {
            name: (was and was.state.value, now and now.state.value)
            for name, was, now in harness.membership.view.changed_since(old)
        }
        self.assertEqual({"n0": ("live", "draining"), "n7": (None, "announced")}, differences)
        self.assertEqual("live", old.members["n0"].state.value)

    def test_a_difference_beyond_the_change_log_compares_all_members(self):
        harness = Harness(1)
        old = harness.membership.view
        for boot in range(2, 1_300):
            harness.change(instance(0, boot=boot))
        self.assertEqual(["n0"], [name for name, _, _ in harness.membership.view.changed_since(old)])
        self.assertLessEqual(len(harness.membership.view.log), 1_024)
