"""Maps, leases and plans by themselves."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as some

from sagetrestle.ownership.lease import LeaseGrantor, LeaseHolder
from sagetrestle.ownership.planner import Planner
from sagetrestle.ownership.values import (
    MULTIPLE_OWNERS,
    ReassignPartitions,
    FleetMap,
    FleetSettings,
    FoundFleet,
    AddMember,
    Origin,
    MemberInfo,
    PartitionAssignment,
    apply_command,
    member_name,
    partition_of,
)

S = 1_000_000
SETTINGS = FleetSettings(partitions=16)


def members(count, zones=1):
    return tuple(MemberInfo(f"n{at}@1", f"z{at % zones}") for at in range(count))


def settle(known, alive, leaving=frozenset(), settings=SETTINGS, rounds=60):
    """Plan until nothing changes, each joining member having all records at once; return the map and the moves."""
    moves = 0
    for _ in range(rounds):
        synced = frozenset((at, one.epoch, id) for at, one in enumerate(known.assignments) for id in one.joining)
        changes = Planner(known, alive, leaving, synced, settings).plan_changes()
        if not changes:
            return known, moves
        moves += sum(assignment.owner != known.assignments[at].owner for at, _, assignment in changes)
        known = apply_command(known, known.version + 1, ReassignPartitions(changes))
    raise AssertionError("the plan does not settle")


class MapTest(unittest.TestCase):
    """What the council logs."""

    def test_only_the_present_epoch_is_changed_and_epochs_only_grow(self):
        known = apply_command(FleetMap(), 1, FoundFleet(4, 100, Origin.NEW))
        assignment = PartitionAssignment(101, "n0@1")
        known = apply_command(
            known,
            2,
            ReassignPartitions(((2, 100, assignment), (3, 99, assignment), (1, 100, PartitionAssignment(105, "n0@1")))),
        )
        self.assertEqual([100, 100, 101, 100], [one.epoch for one in known.assignments])
        self.assertEqual(
            known.assignments,
            apply_command(known, 3, ReassignPartitions(((2, 100, PartitionAssignment(101, "n1@1")),))).assignments,
        )
        self.assertEqual(known.assignments, apply_command(known, 4, FoundFleet(8, 1, Origin.LOST)).assignments)

    def test_a_member_that_holds_something_stays_on_the_map(self):
        known = apply_command(FleetMap(), 1, FoundFleet(2, 100, Origin.NEW))
        for index, member in enumerate(members(3), 2):
            known = apply_command(known, index, AddMember(member))
        known = apply_command(
            known,
            9,
            ReassignPartitions(((0, 100, PartitionAssignment(101, "n0@1", ("n1@1",))),), ("n0@1", "n1@1", "n2@1")),
        )
        self.assertEqual(["n0@1", "n1@1"], [one.id for one in known.members])

    def test_keys_spread_over_partitions(self):
        counts = [0] * 16
        for number in range(4_800):
            counts[partition_of(f"key {number}", 16)] += 1
        self.assertTrue(min(counts) > 200 and max(counts) < 400, counts)
        self.assertEqual("n-1.x", member_name("n-1.x@17"))


class LeaseTest(unittest.TestCase):
    """The holder's end comes before the grantor's, whatever the wire and clocks within the drift do."""

    @given(
        some.floats(0.995, 1.005),
        some.floats(0.995, 1.005),
        some.integers(0, 3 * S),
        some.integers(0, 3 * S),
        some.integers(0, 10 * S),
    )
    def test_no_moment_at_which_one_holds_and_the_other_counts_it_over(self, fast, slow, there, back, begun):
        holder, grantor = LeaseHolder(S), LeaseGrantor(S, 0.011)
        grantor.start_term(0)
        number = holder.start_request(int(begun * fast))
        grantor.record_grant("n0", int((begun + there) * slow))
        holder.accept_grant(number)
        for moment in range(begun + there + back, begun + there + back + 3 * S, 50_000):
            if holder.is_held(int(moment * fast)):
                self.assertTrue(grantor.may_hold("n0", int(moment * slow)))

    def test_an_unknown_answer_and_one_that_comes_late_extend_nothing(self):
        holder = LeaseHolder(S)
        number = holder.start_request(0)
        holder.accept_grant(number + 1)
        self.assertFalse(holder.is_held(1))
        holder.accept_grant(number)
        self.assertFalse(holder.is_held(S))
        self.assertTrue(holder.is_held(S - 1))

    def test_a_new_grantor_counts_all_as_held_for_a_whole_lease(self):
        grantor = LeaseGrantor(S, 0.01)
        grantor.start_term(5 * S)
        self.assertTrue(grantor.may_hold("n0", 6 * S))
        self.assertFalse(grantor.may_hold("n0", 6 * S + 20_000))


class PlannerTest(unittest.TestCase):
    """Constraints hold, little moves, and it settles."""

    def start(self, count, zones=1, settings=SETTINGS):
        known = apply_command(FleetMap(), 1, FoundFleet(settings.partitions, 100, Origin.NEW))
        for index, member in enumerate(members(count, zones), 2):
            known = apply_command(known, index, AddMember(member))
        return settle(known, {one.id for one in known.members}, settings=settings)[0]

    def owned(self, known):
        return {one.id: sum(assignment.owner == one.id for assignment in known.assignments) for one in known.members}

    def test_parts_are_even_and_backups_lie_in_other_zones(self):
        for count, zones in ((3, 1), (5, 3), (6, 2), (6, 3)):
            known = self.start(count, zones)
            owned = self.owned(known)
            self.assertLessEqual(max(owned.values()) - min(owned.values()), 1, owned)
            zone = {one.id: one.zone for one in known.members}
            for assignment in known.assignments:
                self.assertEqual(2, len(assignment.backups))
                self.assertEqual(3, len({assignment.owner, *assignment.backups}))
                if zones > 1:
                    self.assertTrue(any(zone[id] != zone[assignment.owner] for id in assignment.backups))

    def test_a_lost_owner_is_followed_by_a_backup_of_its_own_and_nothing_else_changes_its_owner(self):
        known = self.start(5)
        alive = {one.id for one in known.members} - {"n2@1"}
        changes = Planner(known, alive, set(), frozenset(), SETTINGS).plan_changes()
        for at, _, assignment in changes:
            old = known.assignments[at]
            self.assertNotIn("n2@1", (assignment.owner, *assignment.replicas))
            self.assertEqual("", assignment.previous_owner)
            if old.owner == "n2@1":
                self.assertIn(assignment.owner, old.backups)
                self.assertIs(Origin.KEPT, assignment.origin)
            else:
                self.assertEqual(old.owner, assignment.owner)

    def test_records_count_as_lost_only_where_nobody_who_had_them_is_left(self):
        known = self.start(6)
        one = known.assignments[0]
        alive = {member.id for member in known.members} - {one.owner, *one.backups}
        for at, _, assignment in Planner(known, alive, set(), frozenset(), SETTINGS).plan_changes():
            old = known.assignments[at]
            kept = bool(alive & {old.owner, *old.backups})
            self.assertEqual(assignment.origin is Origin.LOST, not kept)

    def test_records_that_silent_members_have_are_waited_for_as_long_as_is_said(self):
        known = self.start(6)
        one = known.assignments[0]
        alive = {member.id for member in known.members} - {one.owner, *one.backups}
        orphans = {
            at for at, assignment in enumerate(known.assignments) if not alive & {assignment.owner, *assignment.backups}
        }
        changed = {at for at, _, _ in Planner(known, alive, set(), frozenset(), SETTINGS, orphans).plan_changes()}
        self.assertFalse(orphans & changed)
        back = alive | {one.backups[0]}
        changes = {
            at: assignment
            for at, _, assignment in Planner(known, back, set(), frozenset(), SETTINGS, orphans).plan_changes()
        }
        self.assertEqual((one.backups[0], Origin.KEPT), (changes[0].owner, changes[0].origin))

    def test_a_second_handover_before_the_first_is_over_waits_for_all_owners_before(self):
        known = self.start(5)
        alive, one = {member.id for member in known.members}, known.assignments[0]
        waiting = msgspec.structs.replace(one, previous_owner=one.backups[0])
        known = msgspec.structs.replace(known, assignments=(waiting, *known.assignments[1:]))
        for unclear, owner_dies, before in (
            ({0}, True, MULTIPLE_OWNERS),
            (set(), True, ""),
            ({0}, False, one.backups[0]),
        ):
            gone = {one.owner} if owner_dies else {one.backups[1]}
            changes = {
                at: assignment
                for at, _, assignment in Planner(
                    known, alive - gone, set(), frozenset(), SETTINGS, unexpired=unclear
                ).plan_changes()
            }
            self.assertEqual(before, changes[0].previous_owner)

    def test_a_later_start_goes_on_with_what_its_owner_or_backup_kept_and_nobody_else_does(self):
        known = self.start(3)
        one, later = known.assignments[0], []
        for member in known.members:
            later.append(MemberInfo(f"{member_name(member.id)}@9", member.zone))
            known = apply_command(known, 600 + len(later), AddMember(later[-1]))
        backup = f"{member_name(one.backups[0])}@9"
        joined = msgspec.structs.replace(one, joining=(backup,))
        known = msgspec.structs.replace(known, assignments=(joined, *known.assignments[1:]))
        alive = {member.id for member in later}
        for claim, owner, origin in (
            ((0, one.epoch, one.backups[0]), backup, Origin.KEPT),
            ((0, one.epoch - 1, one.backups[0]), backup, Origin.KEPT),
            ((0, one.epoch + 1, one.backups[0]), None, Origin.LOST),
            ((0, one.epoch, "n7@1"), None, Origin.LOST),
            ((1, one.epoch, one.owner), None, Origin.LOST),
        ):
            changes = {
                at: assignment
                for at, _, assignment in Planner(
                    known, alive, set(), frozenset(), SETTINGS, claims={backup: {claim}}
                ).plan_changes()
            }
            self.assertEqual(origin, changes[0].origin, claim)
            self.assertNotIn(changes[0].owner, changes[0].replicas)
            if owner is not None:
                self.assertEqual(owner, changes[0].owner)

    def test_a_joining_member_is_no_owner_before_it_has_all_records(self):
        known = self.start(3)
        known = apply_command(known, 500, AddMember(MemberInfo("n9@1", "z0")))
        alive = {one.id for one in known.members}
        known = apply_command(
            known, 501, ReassignPartitions(Planner(known, alive, set(), frozenset(), SETTINGS).plan_changes())
        )
        self.assertTrue(any("n9@1" in one.joining for one in known.assignments))
        alive -= {known.assignments[0].owner}
        for _, _, assignment in Planner(known, alive, set(), frozenset(), SETTINGS).plan_changes():
            self.assertNotEqual("n9@1", assignment.owner)
            self.assertNotIn("n9@1", assignment.backups)

    def test_a_member_that_joins_gets_its_part_by_few_moves_and_one_that_leaves_gives_all_away(self):
        known = self.start(3)
        known = apply_command(known, 500, AddMember(MemberInfo("n9@1", "z0")))
        alive = {one.id for one in known.members}
        known, moves = settle(known, alive)
        self.assertIn(self.owned(known)["n9@1"], (3, 4, 5))
        self.assertLessEqual(moves, 6)
        known, _ = settle(known, alive, {"n0@1"})
        self.assertEqual(0, self.owned(known)["n0@1"])

    @given(some.integers(1, 9), some.integers(1, 4), some.data())
    def test_whatever_lives_it_settles_with_owners_that_live(self, count, zones, data):
        known = self.start(count, zones)
        for _ in range(3):
            alive = data.draw(some.sets(some.sampled_from([one.id for one in known.members]), min_size=1))
            leaving = data.draw(some.sets(some.sampled_from(sorted(alive)), max_size=len(alive) - 1))
            known, _ = settle(known, alive, leaving)
            for assignment in known.assignments:
                self.assertIn(assignment.owner, alive)
                self.assertEqual(len(assignment.replicas), len(set(assignment.replicas) - {assignment.owner}))
