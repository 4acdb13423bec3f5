"""A small world for council members: clocks that drift, a network that loses, stores that a death tears off."""

import heapq
import random

from sagetrestle.consensus import raft
from sagetrestle.consensus.messages import LogEntry, LogEntryKind, Snapshot

S = 1_000_000
TIMING = raft.RaftTiming()


class Store:
    """What is durable of one member; an operation counts from when it is said to be done."""

    def __init__(self):
        self.term, self.voted_for, self.log, self.snapshot = 0, "", (), Snapshot()

    def write(self, what: raft.PersistState) -> None:
        self.term, self.voted_for = what.term, what.voted_for
        if what.snapshot is not None:
            self.snapshot = what.snapshot
        self.log = (
            tuple(one for one in self.log if self.snapshot.index < one.index <= what.last_kept_index) + what.entries
        )

    def copy(self):
        other = Store()
        other.term, other.voted_for, other.log, other.snapshot = self.term, self.voted_for, self.log, self.snapshot
        return other


class Node:
    """One member over its lives."""

    def __init__(self, world, name):
        self.world, self.name, self.lives = world, name, 0
        self.rate = 1.0 + world.rng.uniform(-1, 1) * TIMING.clock_drift / 2
        self.store, self.id, self.up = Store(), f"{name}#0", False
        self.applied = []
        self.start()

    def now(self):
        return int(self.world.now * self.rate)

    def start(self):
        self.lives += 1
        self.up, self.queue, self.writing = True, [], False
        self.leads = False
        self.state = raft.restore_state(
            self.id,
            self.world.names,
            TIMING,
            self.world.seed * 31 + self.lives,
            self.now(),
            self.store.term,
            self.store.voted_for,
            self.store.log,
            self.store.snapshot,
        )
        self.applied = list(self.store.snapshot.data)
        self.take(raft.Started())

    def lose_store(self):
        self.store, self.id = Store(), f"{self.name}#{self.lives}"

    def take(self, event):
        if not self.up:
            return
        self.state, decisions = raft.step(self.state, self.now(), event)
        self.queue += decisions
        self.carry_out()
        self.world.check(self)

    def carry_out(self):
        while self.queue and not self.writing:
            what = self.queue.pop(0)
            match what:
                case raft.PersistState():
                    self.writing = True
                    self.world.later(self.world.rng.randint(100, 20_000), self.written, what, self.lives)
                case raft.Send(to, message):
                    self.world.send(self, to, message)
                case raft.Apply(entries):
                    self.applied += [one.data for one in entries if one.kind is LogEntryKind.COMMAND]
                    self.world.applied(self, entries)
                    self.take(raft.Compact(tuple(self.applied)))
                case raft.Restore(data):
                    self.applied = list(data)
                case raft.LeadershipChanged(leads):
                    self.leads = leads
                case raft.StoreRolledBack():
                    self.up = False
                    self.world.forgot += 1
                    self.lose_store()
                    self.world.later(1000, self.start)
                    return

    def written(self, what, life):
        if self.up and life == self.lives:
            self.store.write(what)
            self.writing = False
            self.take(raft.WriteCompleted(what.last_index))
            self.carry_out()

    def die(self):
        self.up = False


class Cluster:
    """Members, mail and time, all from one seed."""

    def __init__(self, seed, size=3, drift=None):
        self.seed, self.rng, self.now, self.forgot = seed, random.Random(seed), 0, 0
        self.mail, self.count, self.cut, self.loss, self.slow = [], 0, set(), 0.0, 5_000
        self.leaders, self.log, self.served = {}, {}, []
        self.names = tuple(f"n{at}" for at in range(size))
        self.nodes = {name: Node(self, name) for name in self.names}

    def later(self, wait, act, *args):
        self.count += 1
        heapq.heappush(self.mail, (self.now + wait, self.count, act, args))

    def send(self, node, to, message):
        there = self.nodes[to.partition("#")[0]]
        if (node.name, there.name) in self.cut or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.loss)):
            self.later(self.rng.randint(100, self.slow), self.deliver, there, to, node.id, message)

    def deliver(self, there, to, sender, message):
        if "#" not in to or to == there.id:
            there.take(raft.Received(sender, message))

    def run(self, seconds, until=None):
        end = self.now + int(seconds * S)
        while self.now < end:
            step = self.now + 10_000
            while self.mail and self.mail[0][0] <= step:
                self.now, _, act, args = heapq.heappop(self.mail)
                act(*args)
            self.now = step
            for node in self.nodes.values():
                node.take(raft.Tick())
            serving = {one.id for one in self.nodes.values() if one.up and raft.holds_lease(one.state, one.now())}
            assert len(serving) <= 1, f"two serve at {self.now}: {serving}"
            if until is not None and until():
                return True
        return until is None

    def leader(self):
        return next((one for one in self.nodes.values() if one.up and raft.holds_lease(one.state, one.now())), None)

    # What has to hold

    def check(self, node):
        state = node.state
        if state.role is raft.Role.LEADER:
            first = self.leaders.setdefault(state.term, state.id)
            assert first == state.id, f"two leaders in term {state.term}: {first}, {state.id}"
        for one, after in zip(state.log, state.log[1:], strict=False):
            assert after.index == one.index + 1

    def applied(self, node, entries):
        for one in entries:
            known = self.log.setdefault(one.index, one)
            assert known == one, f"{node.id} applied {one}, another {known}"

    def commands(self):
        return [self.log[index].data for index in sorted(self.log) if self.log[index].kind is LogEntryKind.COMMAND]


__all__ = ["LogEntry", "Cluster"]
