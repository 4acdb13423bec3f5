"""The consensus group: formation, elections, replication, membership changes, lost and rolled-back stores."""

import unittest
from dataclasses import replace

from sagetrestle.consensus import raft
from sagetrestle.consensus.messages import AppendEntries, AppendEntriesResponse, Config, RequestVote, VoteResponse
from tests.consensus.cluster import Cluster, S


class ClusterTestCase(unittest.TestCase):
    """Helpers for a cluster with a leader."""

    def cluster(self, seed=1, size=3):
        cluster = Cluster(seed, size)
        self.assertTrue(cluster.run(5, lambda: cluster.leader() is not None))
        return cluster

    def propose(self, cluster, data, seconds=5):
        """Propose a command until it is committed, again to the next leader where the first is gone."""

        def done():
            leader = cluster.leader()
            if leader is not None and not any(node.data == data for node in leader.state.log):
                leader.process(raft.Propose(data))
            return data in cluster.commands()

        self.assertTrue(cluster.run(seconds, done))


class LogTest(ClusterTestCase):
    """Elections and replication."""

    def test_committed_commands_are_applied_by_all_and_survive_their_leader(self):
        cluster = self.cluster()
        self.propose(cluster, b"a")
        leader = cluster.leader()
        leader.stop()
        self.propose(cluster, b"b")
        leader.start()
        self.assertTrue(cluster.run(5, lambda: all(node.applied == [b"a", b"b"] for node in cluster.nodes.values())))

    def test_a_leader_without_a_majority_loses_its_lease_before_another_is_elected(self):
        cluster = self.cluster(size=5)
        old = cluster.leader()
        others = [node.name for node in cluster.nodes.values() if node is not old]
        cluster.severed = {(a, b) for a in (old.name, others[0]) for b in others[1:]} | {
            (b, a) for a in (old.name, others[0]) for b in others[1:]
        }
        self.assertTrue(cluster.run(5, lambda: cluster.leader() not in (None, old)))
        self.assertFalse(raft.holds_lease(old.state, old.now()))

    def test_a_member_that_receives_nothing_does_not_depose_the_leader(self):
        cluster = self.cluster()
        leader, term = cluster.leader(), cluster.leader().state.term
        isolated = next(node for node in cluster.nodes.values() if node is not leader)
        cluster.severed = {(node, isolated.name) for node in cluster.names}
        cluster.run(10)
        self.assertIs(leader, cluster.leader())
        self.assertEqual(term, leader.state.term)

    def test_a_long_log_is_compacted_and_a_lagging_member_gets_the_snapshot(self):
        cluster = self.cluster()
        lagging = next(node for node in cluster.nodes.values() if node is not cluster.leader())
        lagging.stop()
        for number in range(300):
            self.propose(cluster, b"%d" % number)
        self.assertTrue(cluster.leader().state.snapshot.index > 200)
        lagging.start()
        self.assertTrue(
            cluster.run(5, lambda: len(lagging.applied) >= 300 and lagging.applied == cluster.leader().applied)
        )

    def test_a_member_whose_store_cannot_be_written_halts_and_the_others_go_on(self):
        cluster = self.cluster()
        leader = cluster.leader()
        leader.process(raft.WriteCompleted(0, False))
        self.assertIs(raft.Role.HALTED, leader.state.role)
        self.propose(cluster, b"a")
        self.assertNotIn(b"a", leader.applied)


class ConfigurationTest(ClusterTestCase):
    """Formation, changes of the configuration, and members whose store was lost or rolled back."""

    def test_the_group_forms_only_when_all_members_report_empty_stores(self):
        cluster = Cluster(1)
        cluster.nodes["n2"].stop()
        self.assertFalse(cluster.run(5, lambda: cluster.leader() is not None))
        cluster.nodes["n2"].start()
        self.assertTrue(cluster.run(5, lambda: cluster.leader() is not None))

    def test_a_member_with_a_lost_store_votes_only_after_it_was_added_again(self):
        cluster = self.cluster()
        self.propose(cluster, b"a")
        leader = cluster.leader()
        wiped = next(node for node in cluster.nodes.values() if node is not leader)
        before = wiped.id
        wiped.stop()
        wiped.lose_store()
        wiped.start()
        cluster.run(3)
        self.assertFalse(wiped.state.is_voter)
        for config in (
            Config(tuple(node for node in leader.state.config.voters if node != before), (wiped.id,)),
            Config((*(node for node in leader.state.config.voters if node != before), wiped.id)),
        ):
            self.assertTrue(
                cluster.run(5, lambda: cluster.leader() is not None and raft.can_change_config(cluster.leader().state))
            )
            cluster.leader().process(raft.ChangeConfig(config))
            cluster.run(1)
        self.assertTrue(wiped.state.is_voter)
        next(node for node in cluster.nodes.values() if node not in (leader, wiped)).stop()
        self.propose(cluster, b"b")
        self.assertTrue(cluster.run(1, lambda: wiped.applied == [b"a", b"b"]))

    def test_two_voters_are_not_changed_at_once(self):
        cluster = self.cluster(size=5)
        leader = cluster.leader()
        leader.process(raft.ChangeConfig(Config(leader.state.config.voters[:3])))
        self.assertEqual(5, len(leader.state.config.voters))

    def test_a_rolled_back_store_is_detected_before_its_member_votes(self):
        cluster = self.cluster()
        old = next(node for node in cluster.nodes.values() if node is not cluster.leader())
        copy = old.store.copy()
        self.propose(cluster, b"a")
        cluster.run(1)
        old.stop()
        old.store = copy
        old.start()
        cluster.run(1)
        self.assertEqual(1, cluster.rollback_count)
        self.assertFalse(old.state.is_voter)


class SingleStepTest(unittest.TestCase):
    """Single steps of one member."""

    def setUp(self):
        ids = ("a#1", "b#1", "c#1")
        self.state = raft.restore_state("a#1", ("a", "b", "c"), raft.RaftTiming(), 1, 0)
        self.state, _ = raft.step(self.state, 0, raft.Received("b#1", raft.FormGroup(Config(ids))))

    def test_a_vote_is_persisted_before_it_is_sent_and_granted_once_a_term(self):
        state, first = raft.step(self.state, 2 * S, raft.Received("b#1", RequestVote(5, 1, 0, False)))
        writes = [node for node in first if isinstance(node, raft.PersistState)]
        self.assertEqual((5, "b#1"), (writes[-1].term, writes[-1].voted_for))
        self.assertEqual(raft.Send("b#1", VoteResponse(5, True, False)), first[-1])
        self.assertLess(first.index(writes[-1]), len(first) - 1)
        _, second = raft.step(state, 2 * S, raft.Received("c#1", RequestVote(5, 1, 0, False)))
        self.assertEqual([raft.Send("c#1", VoteResponse(5, False, False))], second)

    def test_no_vote_is_granted_within_the_minimum_election_timeout_of_a_heartbeat_or_a_start(self):
        for at in (0, 400_000):
            _, decisions = raft.step(self.state, at, raft.Received("b#1", RequestVote(5, 1, 0, False)))
            self.assertEqual([raft.Send("b#1", VoteResponse(0, False, False))], decisions)

    def test_an_acknowledgement_follows_its_write(self):
        entry = raft.LogEntry(2, 1, raft.LogEntryKind.COMMAND, b"x")
        _, decisions = raft.step(self.state, S, raft.Received("b#1", AppendEntries(1, 1, 0, (entry,), 1, 9)))
        kinds = [type(node) for node in decisions]
        self.assertLess(kinds.index(raft.PersistState), kinds.index(raft.Send))
        self.assertEqual(AppendEntriesResponse(1, True, 2, 9), decisions[kinds.index(raft.Send)].message)

    def test_a_lease_counts_from_the_send_time_and_ends_before_an_election_can_succeed(self):
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

    def test_an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_current_term(self):
        old = raft.LogEntry(2, 1, raft.LogEntryKind.COMMAND, b"x")
        state = raft.restore_state("a#1", ("a", "b", "c"), raft.RaftTiming(), 1, 0, 1, "", (old,), self.state.snapshot)
        state, _ = raft.step(replace(state, timer_due_us=0), 2 * S, raft.Tick())
        for voted in (VoteResponse(2, True, True), VoteResponse(2, True, False)):
            state, _ = raft.step(state, 2 * S, raft.Received("b#1", voted))
        state, _ = raft.step(state, 2 * S, raft.WriteCompleted(3))
        for index, commit in ((2, 1), (3, 3)):
            state, _ = raft.step(state, 2 * S, raft.Received("b#1", AppendEntriesResponse(2, True, index, 1)))
            self.assertEqual(commit, state.commit_index)


class RandomSchedulesTest(unittest.TestCase):
    """Random crashes, partitions, loss and delays; the cluster asserts Raft's invariants at every step."""

    def test_random_schedules(self):
        for seed in range(30):
            with self.subTest(seed):
                cluster = Cluster(seed, 3 if seed % 2 else 5)
                rng, number = cluster.rng, 0
                for _ in range(40):
                    self.inject_fault(cluster, rng)
                    leader = cluster.leader()
                    if leader is not None:
                        number += 1
                        leader.process(raft.Propose(b"%d" % number))
                    cluster.run(rng.uniform(0.05, 0.6))
                cluster.severed, cluster.loss_rate, cluster.max_delay_us = set(), 0.0, 5_000
                for node in cluster.nodes.values():
                    if not node.up:
                        node.start()
                self.assertTrue(cluster.run(10, lambda cluster=cluster: cluster.leader() is not None))
                cluster.run(2)
                self.assertEqual(1, len({tuple(one.applied) for one in cluster.nodes.values()}))

    @staticmethod
    def inject_fault(cluster, rng):
        node = rng.choice(list(cluster.nodes.values()))
        fault = rng.randrange(6)
        if fault == 0 and node.up:
            node.stop()
        elif fault == 1 and not node.up:
            node.start()
        elif fault == 2:
            cluster.severed = {(a, b) for a in cluster.names for b in cluster.names if rng.random() < 0.3}
        elif fault == 3:
            cluster.severed = set()
        elif fault == 4:
            cluster.loss_rate, cluster.max_delay_us = rng.choice([0.0, 0.1, 0.4]), rng.choice([5_000, 300_000])
        elif (
            fault == 5
            and not node.up
            and cluster.rollback_count == 0
            and sum(not one.up for one in cluster.nodes.values()) == 1
        ):
            node.start()
