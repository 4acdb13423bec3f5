"""All orders of events of a small arrangement: three members, one partition, two keys, owners that follow each other.

The members' records are the product's. Messages on one way come in order, however late, and may be lost; commands lie
on their way to a kernel for as long as it takes; members learn of a new epoch whenever they do, or from each other.
There are no leases here: what has to hold does so without them. A state is reached by one order of events or by many;
each is looked at once.
"""

import contextlib
import pickle
from collections import deque
from typing import NamedTuple

from sagetrestle.ownership.values import FleetMap, FleetSettings, Origin, MemberInfo, PartitionAssignment
from sagetrestle.recovery.effects import EffectError, EffectRecord, RecordKind, EffectState
from sagetrestle.takeover import effect_log, messages

IDS = ("a@1", "b@1", "c@1")
MEMBERS = tuple(MemberInfo(id, kernel=f"{id}:1") for id in IDS)
# Epochs as the planner may give them: each next owner was a backup before.
TAKEOVERS = (
    PartitionAssignment(1, IDS[0], IDS[1:], (), Origin.NEW),
    PartitionAssignment(2, IDS[1], (IDS[2],), (), Origin.KEPT),
    PartitionAssignment(3, IDS[2], (IDS[1],), (), Origin.KEPT),
)
COME_BACK = (
    PartitionAssignment(1, IDS[0], IDS[1:], (), Origin.NEW),
    PartitionAssignment(2, IDS[1], (IDS[0],), (), Origin.KEPT),
    PartitionAssignment(3, IDS[0], (IDS[1],), (), Origin.KEPT),
)


class Bounds(NamedTuple):
    """How much of each there may be on one way through."""

    keys: int = 2
    lost: int = 1  # messages
    ticks: int = 1  # at each member
    fences: int = 2  # questions to kernels


class World:
    """One state, and what may come next."""

    def __init__(self, assignments, bounds):
        self.assignments, self.bounds = assignments, bounds
        self.logs = {id: effect_log.EffectLog(id, FleetSettings(partitions=1), 1 << 50) for id in IDS}
        self.seen = dict.fromkeys(IDS, 0)
        self.ways = {}  # messages by (from, to)
        self.commands, self.running, self.questions, self.words = [], [], [], []
        self.epochs, self.known, self.ran = dict.fromkeys(IDS, 0), {}, {}
        self.tried, self.lost, self.ticks, self.asked = set(), 0, dict.fromkeys(IDS, 0), 0
        self.now = 0
        for id in IDS:
            self.see(id)
        while any(self.ways.values()):  # the first epoch has begun
            for way in sorted(self.ways):
                if self.ways[way]:
                    self.deliver(way)

    def actions(self):
        """Return all that may happen now."""
        found = [("see", id) for id in IDS if self.seen[id] < len(self.assignments)]
        found += [("deliver", way) for way, line in sorted(self.ways.items()) if line]
        if self.lost < self.bounds.lost:
            found += [("lose", way) for way, line in sorted(self.ways.items()) if line]
        found += [
            ("ask", (id, key))
            for id in IDS
            for key in "KL"[: self.bounds.keys]
            if (id, key) not in self.tried and self.owner(id)
        ]
        found += [
            (name, at)
            for name, line in (
                ("start", self.commands),
                ("finish", self.running),
                ("question", self.questions),
                ("word", self.words),
            )
            for at in range(len(line))
        ]
        found += [("tick", id) for id in IDS if self.ticks[id] < self.bounds.ticks]
        return found

    def act(self, name, what):
        getattr(self, name)(what)

    def owner(self, id):
        replica = self.logs[id].replicas.get(0)
        return (
            replica is not None
            and replica.assignment.owner == id
            and replica.complete
            and self.logs[id].has_enough_backups(0)
        )

    def take(self, id, decisions):
        for what in decisions:
            match what:
                case effect_log.SendMessage(to, message) if to in IDS:
                    self.ways.setdefault((id, to), deque()).append(message)
                case effect_log.StartRun(run, token):
                    self.commands.append((id, run, token))
                case effect_log.FenceKernel(place, _, epoch, runs):
                    if self.asked < self.bounds.fences:
                        self.asked += 1
                        self.questions.append((id, place.id, epoch, runs))

    # Events

    def see(self, id):
        self.seen[id] += 1
        at = self.seen[id]
        self.take(id, self.logs[id].apply_map(self.now, self.now, FleetMap(at, self.assignments[at - 1 : at], MEMBERS)))

    def deliver(self, way):
        sender, id = way
        message, one = self.ways[way].popleft(), self.logs[id]
        now = self.now
        match message:
            case messages.EpochBase():
                said = one.handle_base(now, now, sender, message)
            case messages.AppendRecords():
                said = one.handle_records(sender, message)
            case messages.RecordsAck():
                said = one.handle_ack(now, sender, message)
            case messages.SnapshotChunk():
                said = one.handle_chunk(sender, message)
            case messages.ChunkAck():
                said = one.handle_chunk_ack(now, sender, message)
            case messages.StaleEpoch():
                said = one.handle_stale(now, now, message)
            case messages.OutcomeReport():
                said = one.handle_outcome(now, now, sender, message)
            case _:
                said = []
        self.take(id, said)

    def lose(self, way):
        self.lost += 1
        self.ways[way].popleft()

    def ask(self, what):
        """Take a caller's try, as the judge does."""
        id, key = what
        self.tried.add(what)
        effect = self.logs[id].find_effect(0, key, self.now)
        if effect is not None and effect.state is not EffectState.FREE:
            return
        run = f"{key}-{id}"
        digest = effect_log.pack_attempt(effect_log.AttemptInfo(run, "paid", "t", key, b"d"))
        with contextlib.suppress(EffectError):
            self.take(
                id,
                self.logs[id].record_intent(
                    self.now, 0, run, EffectRecord(RecordKind.INTENT, key, self.now, id, 0, digest)
                ),
            )

    def start(self, at):
        """Have a kernel take a command."""
        id, run, (_, epoch, _) = self.commands.pop(at)
        if epoch < self.epochs[id] or self.known.get((id, run)) == "never":
            return
        self.epochs[id] = epoch
        self.known[(id, run)] = "running"
        key = run[0]
        self.ran[key] = (*self.ran.get(key, ()), f"{run} in epoch {epoch}")
        self.running.append((id, run))

    def finish(self, at):
        id, run = self.running.pop(at)
        self.known[(id, run)] = "done"
        self.take(
            id,
            self.logs[id].record_outcome(
                self.now, 0, EffectRecord(RecordKind.OUTCOME, run[0], self.now, result=run.encode())
            ),
        )
        for one in [one for one in self.questions if one[1] == id and run in one[3]]:
            self.answer(one, run)

    def question(self, at):
        """Have a kernel hear of an epoch and answer for the runs, as it answers for those that still run later."""
        one = self.questions.pop(at)
        _, kernel, epoch, runs = one
        if epoch < self.epochs[kernel]:
            return
        self.epochs[kernel] = epoch
        for run in runs:
            if (kernel, run) not in self.known:
                self.known[(kernel, run)] = "never"
            if self.known[(kernel, run)] != "running":
                self.answer(one, run)

    def answer(self, one, run):
        self.words.append((one[0], one[2], run, self.known[(one[1], run)]))

    def word(self, at):
        id, epoch, run, how = self.words.pop(at)
        kind = RecordKind.OUTCOME if how == "done" else RecordKind.NEVER
        self.take(
            id,
            self.logs[id].handle_run_fate(
                self.now, 0, epoch, run, kind, run.encode() if how == "done" else b"", self.now
            ),
        )

    def tick(self, id):
        self.ticks[id] += 1
        self.now += effect_log.RESEND_AFTER_US
        self.take(id, self.logs[id].tick(self.now, self.now))

    # What has to hold

    def broken(self):
        """Return what is wrong in this state."""
        for key, runs in self.ran.items():
            if len(runs) > 1:
                return f"{key} ran as {' and as '.join(runs)}"
        newest = max(one.replicas[0].assignment.epoch for one in self.logs.values() if 0 in one.replicas)
        for id, one in self.logs.items():
            for key in self.ran if self.owner(id) and one.replicas[0].assignment.epoch == newest else ():
                effect = one.find_effect(0, key, self.now)
                if effect is None or effect.state is EffectState.FREE:
                    return f"{id} owns {key}, which ran, and holds it to be free"
        return ""


class Found(NamedTuple):
    """What a search came to; ``whole``: there was no state left that was not looked at."""

    states: int
    whole: bool
    broken: str = ""
    path: tuple = ()


def search(assignments, bounds, most):
    """Look at states breadth first, each once, up to so many."""
    first = pickle.dumps(World(assignments, bounds))
    line, known = deque([(first, ())]), {hash(first)}
    while line:
        data, path = line.popleft()
        for action in pickle.loads(data).actions():
            world = pickle.loads(data)
            world.act(*action)
            if wrong := world.broken():
                return Found(len(known), False, wrong, (*path, action))
            after = pickle.dumps(world)
            if hash(after) not in known:
                known.add(hash(after))
                line.append((after, (*path, action)))
        if len(known) >= most:
            return Found(len(known), False)
    return Found(len(known), True)
