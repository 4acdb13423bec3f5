"""The council's log by itself: formed once, one leader a term, what is committed stays, whoever forgets has no vote."""

import unittest
from dataclasses import replace

from sagetrestle.consensus import raft
from sagetrestle.consensus.messages import AppendEntries, AppendEntriesResponse, Config, RequestVote, VoteResponse
from tests.consensus.cluster import Cluster, S


class CouncilCase(unittest.TestCase):
    """A council that leads."""

    def world(self, seed=1, size=3):
        world = Cluster(seed, size)
        self.assertTrue(world.run(5, lambda: world.leader() is not None))
        return world

    def propose(self, world, data, seconds=5):
        """Have a command committed, asked for again where its leader is gone."""

        def done():
            leader = world.leader()
            if leader is not None and not any(one.data == data for one in leader.state.log):
                leader.take(raft.Propose(data))
            return data in world.commands()

        self.assertTrue(world.run(seconds, done))


class LogTest(CouncilCase):
    """Elections and entries."""

    def test_a_command_is_applied_by_all_and_outlives_its_leader(self):
        world = self.world()
        self.propose(world, b"a")
        leader = world.leader()
        leader.die()
        self.propose(world, b"b")
        leader.start()
        self.assertTrue(world.run(5, lambda: all(one.applied == [b"a", b"b"] for one in world.nodes.values())))

    def test_nobody_leads_without_a_majority_and_the_old_leader_stops_serving_first(self):
        world = self.world(size=5)
        old = world.leader()
        others = [one.name for one in world.nodes.values() if one is not old]
        world.cut = {(a, b) for a in (old.name, others[0]) for b in others[1:]} | {
            (b, a) for a in (old.name, others[0]) for b in others[1:]
        }
        self.assertTrue(world.run(5, lambda: world.leader() not in (None, old)))
        self.assertFalse(raft.holds_lease(old.state, old.now()))

    def test_one_that_hears_nobody_and_is_heard_deposes_no_leader(self):
        world = self.world()
        leader, term = world.leader(), world.leader().state.term
        deaf = next(one for one in world.nodes.values() if one is not leader)
        world.cut = {(one, deaf.name) for one in world.names}
        world.run(10)
        self.assertIs(leader, world.leader())
        self.assertEqual(term, leader.state.term)

    def test_a_long_log_becomes_a_snapshot_and_one_that_was_away_gets_it(self):
        world = self.world()
        away = next(one for one in world.nodes.values() if one is not world.leader())
        away.die()
        for number in range(300):
            self.propose(world, b"%d" % number)
        self.assertTrue(world.leader().state.snapshot.index > 200)
        away.start()
        self.assertTrue(world.run(5, lambda: len(away.applied) >= 300 and away.applied == world.leader().applied))

    def test_a_store_that_can_not_be_written_silences_its_member_and_the_others_go_on(self):
        world = self.world()
        leader = world.leader()
        leader.take(raft.WriteCompleted(0, False))
        self.assertIs(raft.Role.HALTED, leader.state.role)
        self.propose(world, b"a")
        self.assertNotIn(b"a", leader.applied)


class MembersTest(CouncilCase):
    """Formed once; changed one at a time; what was lost is learned before it votes again."""

    def test_it_forms_only_when_all_have_empty_stores(self):
        world = Cluster(1)
        world.nodes["n2"].die()
        self.assertFalse(world.run(5, lambda: world.leader() is not None))
        world.nodes["n2"].start()
        self.assertTrue(world.run(5, lambda: world.leader() is not None))

    def test_a_minority_with_lost_stores_does_not_form_anew_and_votes_only_once_it_is_let_in(self):
        world = self.world()
        self.propose(world, b"a")
        leader = world.leader()
        lost = next(one for one in world.nodes.values() if one is not leader)
        before = lost.id
        lost.die()
        lost.lose_store()
        lost.start()
        world.run(3)
        self.assertFalse(lost.state.is_voter)
        for config in (
            Config(tuple(one for one in leader.state.config.voters if one != before), (lost.id,)),
            Config((*(one for one in leader.state.config.voters if one != before), lost.id)),
        ):
            self.assertTrue(
                world.run(5, lambda: world.leader() is not None and raft.can_change_config(world.leader().state))
            )
            world.leader().take(raft.ChangeConfig(config))
            world.run(1)
        self.assertTrue(lost.state.is_voter)
        next(one for one in world.nodes.values() if one not in (leader, lost)).die()
        self.propose(world, b"b")
        self.assertTrue(world.run(1, lambda: lost.applied == [b"a", b"b"]))

    def test_two_voters_are_not_changed_at_once(self):
        world = self.world(size=5)
        leader = world.leader()
        leader.take(raft.ChangeConfig(Config(leader.state.config.voters[:3])))
        self.assertEqual(5, len(leader.state.config.voters))

    def test_an_older_copy_of_a_store_is_found_out_before_it_votes(self):
        world = self.world()
        old = next(one for one in world.nodes.values() if one is not world.leader())
        copy = old.store.copy()
        self.propose(world, b"a")
        world.run(1)
        old.die()
        old.store = copy
        old.start()
        world.run(1)
        self.assertEqual(1, world.forgot)
        self.assertFalse(old.state.is_voter)


class RulesTest(unittest.TestCase):
    """Single steps."""

    def setUp(self):
        ids = ("a#1", "b#1", "c#1")
        self.state = raft.restore_state("a#1", ("a", "b", "c"), raft.RaftTiming(), 1, 0)
        self.state, _ = raft.step(self.state, 0, raft.Received("b#1", raft.FormGroup(Config(ids))))

    def test_a_vote_is_written_before_it_is_cast_and_cast_once(self):
        state, first = raft.step(self.state, 2 * S, raft.Received("b#1", RequestVote(5, 1, 0, False)))
        writes = [one for one in first if isinstance(one, raft.PersistState)]
        self.assertEqual((5, "b#1"), (writes[-1].term, writes[-1].voted_for))
        self.assertEqual(raft.Send("b#1", VoteResponse(5, True, False)), first[-1])
        self.assertLess(first.index(writes[-1]), len(first) - 1)
        _, second = raft.step(state, 2 * S, raft.Received("c#1", RequestVote(5, 1, 0, False)))
        self.assertEqual([raft.Send("c#1", VoteResponse(5, False, False))], second)

    def test_no_vote_within_the_shortest_election_of_a_leaders_word_or_of_a_start(self):
        for at in (0, 400_000):
            _, said = raft.step(self.state, at, raft.Received("b#1", RequestVote(5, 1, 0, False)))
            self.assertEqual([raft.Send("b#1", VoteResponse(0, False, False))], said)

    def test_an_acknowledgement_stands_behind_its_write(self):
        entry = raft.LogEntry(2, 1, raft.LogEntryKind.COMMAND, b"x")
        _, said = raft.step(self.state, S, raft.Received("b#1", AppendEntries(1, 1, 0, (entry,), 1, 9)))
        kinds = [type(one) for one in said]
        self.assertLess(kinds.index(raft.PersistState), kinds.index(raft.Send))
        self.assertEqual(AppendEntriesResponse(1, True, 2, 9), said[kinds.index(raft.Send)].message)

    def test_a_leaders_lease_counts_from_the_sending_and_ends_before_an_election_can(self):
        state = replace(self.state, timer_due_us=0)
        state, _ = raft.step(state, 2 * S, raft.Tick())
        state, _ = raft.step(state, 2 * S, raft.Received("b#1", VoteResponse(1, True, True)))
        state, _ = raft.step(state, 2 * S, raft.Received("b#1", VoteResponse(1, True, False)))
        self.assertIs(raft.Role.LEADER, state.role)
        state, _ = raft.step(state, 2 * S, raft.WriteCompleted(2))
        self.assertFalse(raft.holds_lease(state, 2 * S))
        state, _ = raft.step(state, 2 * S + 300_000, raft.Received("b#1", AppendEntriesResponse(1, True, 2, 1)))
        self.assertTrue(raft.holds_lease(state, 2 * S + 490_000))
        self.assertFalse(raft.holds_lease(state, 2 * S + 500_000))

    def test_an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_leaders_own(self):
        old = raft.LogEntry(2, 1, raft.LogEntryKind.COMMAND, b"x")
        state = raft.restore_state("a#1", ("a", "b", "c"), raft.RaftTiming(), 1, 0, 1, "", (old,), self.state.snapshot)
        state, _ = raft.step(replace(state, timer_due_us=0), 2 * S, raft.Tick())
        for voted in (VoteResponse(2, True, True), VoteResponse(2, True, False)):
            state, _ = raft.step(state, 2 * S, raft.Received("b#1", voted))
        state, _ = raft.step(state, 2 * S, raft.WriteCompleted(3))
        for index, commit in ((2, 1), (3, 3)):
            state, _ = raft.step(state, 2 * S, raft.Received("b#1", AppendEntriesResponse(2, True, index, 1)))
            self.assertEqual(commit, state.commit_index)


class SeedsTest(unittest.TestCase):
    """Deaths, cuts, loss and slow links at random: the world asserts what has to hold at every step."""

    def test_seeds(self):
        for seed in range(30):
            with self.subTest(seed):
                world = Cluster(seed, 3 if seed % 2 else 5)
                rng, number = world.rng, 0
                for _ in range(40):
                    self.trouble(world, rng)
                    leader = world.leader()
                    if leader is not None:
                        number += 1
                        leader.take(raft.Propose(b"%d" % number))
                    world.run(rng.uniform(0.05, 0.6))
                world.cut, world.loss, world.slow = set(), 0.0, 5_000
                for node in world.nodes.values():
                    if not node.up:
                        node.start()
                self.assertTrue(world.run(10, lambda world=world: world.leader() is not None))
                world.run(2)
                self.assertEqual(1, len({tuple(one.applied) for one in world.nodes.values()}))

    @staticmethod
    def trouble(world, rng):
        node = rng.choice(list(world.nodes.values()))
        what = rng.randrange(6)
        if what == 0 and node.up:
            node.die()
        elif what == 1 and not node.up:
            node.start()
        elif what == 2:
            world.cut = {(a, b) for a in world.names for b in world.names if rng.random() < 0.3}
        elif what == 3:
            world.cut = set()
        elif what == 4:
            world.loss, world.slow = rng.choice([0.0, 0.1, 0.4]), rng.choice([5_000, 300_000])
        elif what == 5 and not node.up and world.forgot == 0 and sum(not one.up for one in world.nodes.values()) == 1:
            node.start()
