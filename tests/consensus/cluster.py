"""A simulated cluster: clocks that drift, a network that drops and delays, and stores that lose unfinished writes."""

import heapq
import random

from sagetrestle.consensus import raft
from sagetrestle.consensus.messages import LogEntry, LogEntryKind, Snapshot

S = 1_000_000
TIMING = raft.RaftTiming()


class Store:
    """The durable state of one member; a write counts once its completion has been reported."""

    def __init__(self):
        self.term, self.voted_for, self.log, self.snapshot = 0, "", (), Snapshot()

    def write(self, write: raft.PersistState) -> None:
        self.term, self.voted_for = write.term, write.voted_for
        if write.snapshot is not None:
            self.snapshot = write.snapshot
        self.log = (
            tuple(one for one in self.log if self.snapshot.index < one.index <= write.last_kept_index) + write.entries
        )

    def copy(self):
        other = Store()
        other.term, other.voted_for, other.log, other.snapshot = self.term, self.voted_for, self.log, self.snapshot
        return other


class Node:
    """One member over its restarts."""

    def __init__(self, cluster, name):
        self.cluster, self.name, self.starts = cluster, name, 0
        self.rate = 1.0 + cluster.rng.uniform(-1, 1) * TIMING.clock_drift / 2
        self.store, self.id, self.up = Store(), f"{name}#0", False
        self.applied = []
        self.start()

    def now(self):
        return int(self.cluster.now * self.rate)

    def start(self):
        self.starts += 1
        self.up, self.queue, self.writing = True, [], False
        self.leads = False
        self.state = raft.restore_state(
            self.id,
            self.cluster.names,
            TIMING,
            self.cluster.seed * 31 + self.starts,
            self.now(),
            self.store.term,
            self.store.voted_for,
            self.store.log,
            self.store.snapshot,
        )
        self.applied = list(self.store.snapshot.data)
        self.process(raft.Started())

    def lose_store(self):
        self.store, self.id = Store(), f"{self.name}#{self.starts}"

    def process(self, event):
        if not self.up:
            return
        self.state, decisions = raft.step(self.state, self.now(), event)
        self.queue += decisions
        self.carry_out()
        self.cluster.check(self)

    def carry_out(self):
        while self.queue and not self.writing:
            decision = self.queue.pop(0)
            match decision:
                case raft.PersistState():
                    self.writing = True
                    self.cluster.schedule(self.cluster.rng.randint(100, 20_000), self.written, decision, self.starts)
                case raft.Send(to, message):
                    self.cluster.send(self, to, message)
                case raft.Apply(entries):
                    self.applied += [one.data for one in entries if one.kind is LogEntryKind.COMMAND]
                    self.cluster.applied(self, entries)
                    self.process(raft.Compact(tuple(self.applied)))
                case raft.Restore(data):
                    self.applied = list(data)
                case raft.LeadershipChanged(leads):
                    self.leads = leads
                case raft.StoreRolledBack():
                    self.up = False
                    self.cluster.rollback_count += 1
                    self.lose_store()
                    self.cluster.schedule(1000, self.start)
                    return

    def written(self, write, start_number):
        if self.up and start_number == self.starts:
            self.store.write(write)
            self.writing = False
            self.process(raft.WriteCompleted(write.last_index))
            self.carry_out()

    def stop(self):
        self.up = False


class Cluster:
    """The members, the network and the time of a simulation, all derived from one seed."""

    def __init__(self, seed, size=3, drift=None):
        self.seed, self.rng, self.now, self.rollback_count = seed, random.Random(seed), 0, 0
        self.calendar, self.count, self.severed, self.loss_rate, self.max_delay_us = [], 0, set(), 0.0, 5_000
        self.leaders, self.log, self.served = {}, {}, []
        self.names = tuple(f"n{index}" for index in range(size))
        self.nodes = {name: Node(self, name) for name in self.names}

    def schedule(self, delay_us, action, *args):
        self.count += 1
        heapq.heappush(self.calendar, (self.now + delay_us, self.count, action, args))

    def send(self, node, to, message):
        receiver = self.nodes[to.partition("#")[0]]
        if (node.name, receiver.name) in self.severed or self.rng.random() < self.loss_rate:
            return
        for _ in range(1 + (self.rng.random() < self.loss_rate)):
            self.schedule(self.rng.randint(100, self.max_delay_us), self.deliver, receiver, to, node.id, message)

    def deliver(self, receiver, to, sender, message):
        if "#" not in to or to == receiver.id:
            receiver.process(raft.Received(sender, message))

    def run(self, seconds, until=None):
        end_us = self.now + int(seconds * S)
        while self.now < end_us:
            step_end_us = self.now + 10_000
            while self.calendar and self.calendar[0][0] <= step_end_us:
                self.now, _, action, args = heapq.heappop(self.calendar)
                action(*args)
            self.now = step_end_us
            for node in self.nodes.values():
                node.process(raft.Tick())
            serving = {one.id for one in self.nodes.values() if one.up and raft.holds_lease(one.state, one.now())}
            assert len(serving) <= 1, f"two serve at {self.now}: {serving}"
            if until is not None and until():
                return True
        return until is None

    def leader(self):
        return next(
            (node for node in self.nodes.values() if node.up and raft.holds_lease(node.state, node.now())), None
        )

    # Invariants

    def check(self, node):
        state = node.state
        if state.role is raft.Role.LEADER:
            first = self.leaders.setdefault(state.term, state.id)
            assert first == state.id, f"two leaders in term {state.term}: {first}, {state.id}"
        for entry, next_entry in zip(state.log, state.log[1:], strict=False):
            assert next_entry.index == entry.index + 1

    def applied(self, node, entries):
        for entry in entries:
            known = self.log.setdefault(entry.index, entry)
            assert known == entry, f"{node.id} applied {entry}, another {known}"

    def commands(self):
        return [self.log[index].data for index in sorted(self.log) if self.log[index].kind is LogEntryKind.COMMAND]


__all__ = ["LogEntry", "Cluster"]
