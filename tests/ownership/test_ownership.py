"""Maps, leases and plans by themselves."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as some

from sagetrestle.ownership.lease import Grantor, Holder
from sagetrestle.ownership.planner import Planner
from sagetrestle.ownership.values import (
    SEVERAL,
    Arranged,
    FleetMap,
    FleetTerms,
    Founded,
    Joined,
    Origin,
    Place,
    Share,
    apply,
    name_of,
    partition_of,
)

S = 1_000_000
TERMS = FleetTerms(partitions=16)


def places(count, zones=1):
    return tuple(Place(f"n{at}@1", f"z{at % zones}") for at in range(count))


def settle(known, alive, leaving=frozenset(), terms=TERMS, rounds=60):
    """Plan until nothing changes, each joining member having all records at once; return the map and the moves."""
    moves = 0
    for _ in range(rounds):
        synced = frozenset((at, one.epoch, id) for at, one in enumerate(known.shares) for id in one.joining)
        changes = Planner(known, alive, leaving, synced, terms).changes()
        if not changes:
            return known, moves
        moves += sum(share.owner != known.shares[at].owner for at, _, share in changes)
        known = apply(known, known.version + 1, Arranged(changes))
    raise AssertionError("the plan does not settle")


class MapTest(unittest.TestCase):
    """What the council logs."""

    def test_only_the_present_epoch_is_changed_and_epochs_only_grow(self):
        known = apply(FleetMap(), 1, Founded(4, 100, Origin.NEW))
        share = Share(101, "n0@1")
        known = apply(known, 2, Arranged(((2, 100, share), (3, 99, share), (1, 100, Share(105, "n0@1")))))
        self.assertEqual([100, 100, 101, 100], [one.epoch for one in known.shares])
        self.assertEqual(known.shares, apply(known, 3, Arranged(((2, 100, Share(101, "n1@1")),))).shares)
        self.assertEqual(known.shares, apply(known, 4, Founded(8, 1, Origin.LOST)).shares)

    def test_a_member_that_holds_something_stays_on_the_map(self):
        known = apply(FleetMap(), 1, Founded(2, 100, Origin.NEW))
        for index, place in enumerate(places(3), 2):
            known = apply(known, index, Joined(place))
        known = apply(known, 9, Arranged(((0, 100, Share(101, "n0@1", ("n1@1",))),), ("n0@1", "n1@1", "n2@1")))
        self.assertEqual(["n0@1", "n1@1"], [one.id for one in known.places])

    def test_keys_spread_over_partitions(self):
        counts = [0] * 16
        for number in range(4_800):
            counts[partition_of(f"key {number}", 16)] += 1
        self.assertTrue(min(counts) > 200 and max(counts) < 400, counts)
        self.assertEqual("n-1.x", name_of("n-1.x@17"))


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
        holder, grantor = Holder(S), Grantor(S, 0.011)
        grantor.begin(0)
        number = holder.ask(int(begun * fast))
        grantor.grant("n0", int((begun + there) * slow))
        holder.granted(number)
        for moment in range(begun + there + back, begun + there + back + 3 * S, 50_000):
            if holder.holds(int(moment * fast)):
                self.assertTrue(grantor.may_hold("n0", int(moment * slow)))

    def test_an_unknown_answer_and_one_that_comes_late_extend_nothing(self):
        holder = Holder(S)
        number = holder.ask(0)
        holder.granted(number + 1)
        self.assertFalse(holder.holds(1))
        holder.granted(number)
        self.assertFalse(holder.holds(S))
        self.assertTrue(holder.holds(S - 1))

    def test_a_new_grantor_counts_all_as_held_for_a_whole_lease(self):
        grantor = Grantor(S, 0.01)
        grantor.begin(5 * S)
        self.assertTrue(grantor.may_hold("n0", 6 * S))
        self.assertFalse(grantor.may_hold("n0", 6 * S + 20_000))


class PlannerTest(unittest.TestCase):
    """Constraints hold, little moves, and it settles."""

    def start(self, count, zones=1, terms=TERMS):
        known = apply(FleetMap(), 1, Founded(terms.partitions, 100, Origin.NEW))
        for index, place in enumerate(places(count, zones), 2):
            known = apply(known, index, Joined(place))
        return settle(known, {one.id for one in known.places}, terms=terms)[0]

    def owned(self, known):
        return {one.id: sum(share.owner == one.id for share in known.shares) for one in known.places}

    def test_parts_are_even_and_backups_lie_in_other_zones(self):
        for count, zones in ((3, 1), (5, 3), (6, 2), (6, 3)):
            known = self.start(count, zones)
            owned = self.owned(known)
            self.assertLessEqual(max(owned.values()) - min(owned.values()), 1, owned)
            zone = {one.id: one.zone for one in known.places}
            for share in known.shares:
                self.assertEqual(2, len(share.backups))
                self.assertEqual(3, len({share.owner, *share.backups}))
                if zones > 1:
                    self.assertTrue(any(zone[id] != zone[share.owner] for id in share.backups))

    def test_a_lost_owner_is_followed_by_a_backup_of_its_own_and_nothing_else_changes_its_owner(self):
        known = self.start(5)
        alive = {one.id for one in known.places} - {"n2@1"}
        changes = Planner(known, alive, set(), frozenset(), TERMS).changes()
        for at, _, share in changes:
            old = known.shares[at]
            self.assertNotIn("n2@1", (share.owner, *share.copies))
            self.assertEqual("", share.before)
            if old.owner == "n2@1":
                self.assertIn(share.owner, old.backups)
                self.assertIs(Origin.KEPT, share.origin)
            else:
                self.assertEqual(old.owner, share.owner)

    def test_records_count_as_lost_only_where_nobody_who_had_them_is_left(self):
        known = self.start(6)
        one = known.shares[0]
        alive = {place.id for place in known.places} - {one.owner, *one.backups}
        for at, _, share in Planner(known, alive, set(), frozenset(), TERMS).changes():
            old = known.shares[at]
            kept = bool(alive & {old.owner, *old.backups})
            self.assertEqual(share.origin is Origin.LOST, not kept)

    def test_records_that_silent_members_have_are_waited_for_as_long_as_is_said(self):
        known = self.start(6)
        one = known.shares[0]
        alive = {place.id for place in known.places} - {one.owner, *one.backups}
        orphans = {at for at, share in enumerate(known.shares) if not alive & {share.owner, *share.backups}}
        changed = {at for at, _, _ in Planner(known, alive, set(), frozenset(), TERMS, orphans).changes()}
        self.assertFalse(orphans & changed)
        back = alive | {one.backups[0]}
        changes = {at: share for at, _, share in Planner(known, back, set(), frozenset(), TERMS, orphans).changes()}
        self.assertEqual((one.backups[0], Origin.KEPT), (changes[0].owner, changes[0].origin))

    def test_a_second_handover_before_the_first_is_over_waits_for_all_owners_before(self):
        known = self.start(5)
        alive, one = {place.id for place in known.places}, known.shares[0]
        waiting = msgspec.structs.replace(one, before=one.backups[0])
        known = msgspec.structs.replace(known, shares=(waiting, *known.shares[1:]))
        for unclear, owner_dies, before in (({0}, True, SEVERAL), (set(), True, ""), ({0}, False, one.backups[0])):
            gone = {one.owner} if owner_dies else {one.backups[1]}
            changes = {
                at: share
                for at, _, share in Planner(known, alive - gone, set(), frozenset(), TERMS, unclear=unclear).changes()
            }
            self.assertEqual(before, changes[0].before)

    def test_a_later_start_goes_on_with_what_its_owner_or_backup_kept_and_nobody_else_does(self):
        known = self.start(3)
        one, later = known.shares[0], []
        for place in known.places:
            later.append(Place(f"{name_of(place.id)}@9", place.zone))
            known = apply(known, 600 + len(later), Joined(later[-1]))
        backup = f"{name_of(one.backups[0])}@9"
        joined = msgspec.structs.replace(one, joining=(backup,))
        known = msgspec.structs.replace(known, shares=(joined, *known.shares[1:]))
        alive = {place.id for place in later}
        for claim, owner, origin in (
            ((0, one.epoch, one.backups[0]), backup, Origin.KEPT),
            ((0, one.epoch - 1, one.backups[0]), backup, Origin.KEPT),
            ((0, one.epoch + 1, one.backups[0]), None, Origin.LOST),
            ((0, one.epoch, "n7@1"), None, Origin.LOST),
            ((1, one.epoch, one.owner), None, Origin.LOST),
        ):
            changes = {
                at: share
                for at, _, share in Planner(known, alive, set(), frozenset(), TERMS, claims={backup: {claim}}).changes()
            }
            self.assertEqual(origin, changes[0].origin, claim)
            self.assertNotIn(changes[0].owner, changes[0].copies)
            if owner is not None:
                self.assertEqual(owner, changes[0].owner)

    def test_a_joining_member_is_no_owner_before_it_has_all_records(self):
        known = self.start(3)
        known = apply(known, 500, Joined(Place("n9@1", "z0")))
        alive = {one.id for one in known.places}
        known = apply(known, 501, Arranged(Planner(known, alive, set(), frozenset(), TERMS).changes()))
        self.assertTrue(any("n9@1" in one.joining for one in known.shares))
        alive -= {known.shares[0].owner}
        for _, _, share in Planner(known, alive, set(), frozenset(), TERMS).changes():
            self.assertNotEqual("n9@1", share.owner)
            self.assertNotIn("n9@1", share.backups)

    def test_a_member_that_joins_gets_its_part_by_few_moves_and_one_that_leaves_gives_all_away(self):
        known = self.start(3)
        known = apply(known, 500, Joined(Place("n9@1", "z0")))
        alive = {one.id for one in known.places}
        known, moves = settle(known, alive)
        self.assertIn(self.owned(known)["n9@1"], (3, 4, 5))
        self.assertLessEqual(moves, 6)
        known, _ = settle(known, alive, {"n0@1"})
        self.assertEqual(0, self.owned(known)["n0@1"])

    @given(some.integers(1, 9), some.integers(1, 4), some.data())
    def test_whatever_lives_it_settles_with_owners_that_live(self, count, zones, data):
        known = self.start(count, zones)
        for _ in range(3):
            alive = data.draw(some.sets(some.sampled_from([one.id for one in known.places]), min_size=1))
            leaving = data.draw(some.sets(some.sampled_from(sorted(alive)), max_size=len(alive) - 1))
            known, _ = settle(known, alive, leaving)
            for share in known.shares:
                self.assertIn(share.owner, alive)
                self.assertEqual(len(share.copies), len(set(share.copies) - {share.owner}))
