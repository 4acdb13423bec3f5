"""A small fleet in one process: members as they are; network, clocks, disks, kernels and callers of the model."""

import heapq
import random
from collections import Counter, defaultdict

from sagetrestle.consensus import raft
from sagetrestle.ownership.values import FleetSettings, MemberInfo, partition_of
from sagetrestle.peers import links
from sagetrestle.quota import Limit
from sagetrestle.quota import CapResult as UnitWord
from sagetrestle.recovery.effects import EffectError, EffectRecord, RecordKind
from sagetrestle.takeover import effect_log, node
from sagetrestle.takeover.replica_changes import ReplicaDropped, RecordsAppended, EpochChanged, SnapshotReplaced
from sagetrestle.takeover.attempt_decision import AttemptAction, effect_key, decide_attempt
from tests.consensus.cluster import Store

S = 1_000_000
WINDOW_US = 30 * S
UNIX = 1_796_000_000 * S


def hash_of(name):
    """Return a number from 0 to 1 for a name, the same at each start of the program."""
    return random.Random(name).random()


class Kernel:
    """Runs what it is told, and refuses a token of an epoch before the newest that it knows."""

    def __init__(self, world, name):
        self.world, self.name, self.up = world, name, True
        self.epochs, self.runs, self.waiting = Counter(), {}, defaultdict(list)

    def start(self, run, key, token, done):
        partition, epoch, _ = token
        if not self.up or epoch < self.epochs[partition] or run in self.runs:
            return
        self.epochs[partition] = epoch
        self.runs[run] = "running"
        self.world.ran[key].append((self.world.now, self.name, token))
        self.world.later(self.world.rng.randint(5_000, 60_000), self.over, run, done)

    def over(self, run, done):
        if self.up:
            self.runs[run] = "done"
            done(run)
            for told in self.waiting.pop(run, []):
                told(run, RecordKind.OUTCOME)

    def fence(self, partition, epoch, runs, told):
        if not self.up or epoch < self.epochs[partition]:
            return
        self.epochs[partition] = epoch
        for run in runs:
            if self.runs.get(run) == "running":
                self.waiting[run].append(told)
            else:
                told(run, RecordKind.OUTCOME if run in self.runs else RecordKind.NEVER)


class Server:
    """A new server behind translators: each key once, whoever sends it, and a token only if it checks them."""

    def __init__(self, world, name, checks):
        self.world, self.name, self.checks = world, name, checks
        self.epochs, self.keys, self.cut = Counter(), {}, False

    def note(self, token):
        partition, epoch, _ = token
        self.epochs[partition] = max(epoch, self.epochs[partition])
        return self.checks and epoch < self.epochs[partition]

    def take(self, key, token, answer):
        if self.note(token) and key not in self.keys:
            answer("never")
        elif self.keys.get(key) == "done":
            answer("done")
        elif key in self.keys:
            self.world.later(60_000, self.take, key, token, answer)
        else:
            self.keys[key] = "running"
            self.world.ran[key].append((self.world.now, self.name, token))
            self.world.later(self.world.rng.randint(5_000, 60_000), self.over, key, answer)

    def over(self, key, answer):
        self.keys[key] = "done"
        answer("done")

    def told(self, key, token):
        self.note(token)
        return self.keys.get(key, "never"), self.checks and self.epochs[token[0]] >= token[1]


class Process:
    """One member over its lives; a stopped one takes nothing until it goes on, and then all of it."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone, self.lives = world, name, zone, 0
        self.rate = 1.0 + world.rng.uniform(-1, 1) * world.settings.drift / 2
        self.ahead = round(world.settings.max_clock_skew_us * (hash_of(name) - 0.5)) if world.cap else 0
        self.store, self.kernel = Store(), Kernel(world, name)
        self.identity, self.up, self.stopped = f"{name}#0", False, False
        self.disk = {}  # records by partition: label and entries
        self.begin()

    def now(self):
        return int(self.world.now * self.rate)

    def unix(self):
        """Return the time of day, as far from the others' as is stated at the most."""
        return UNIX + self.world.now + self.ahead

    def begin(self):
        self.lives += 1
        self.up, self.stopped, self.backlog = True, False, []
        world, council = self.world, self.world.council
        boot = world.now // 1000 + self.lives
        if not self.kernel.up:
            self.kernel = Kernel(world, self.name)
        world.kernels[f"{self.name}-{boot}"] = self.kernel
        place = MemberInfo(f"{self.name}@{boot}", self.zone, 1, f"{self.name}-{boot}")
        voter = self.voter() if self.name in council else None
        one = links.Links("test", place.id, world.names, world.seed + self.lives, self.now())
        self.node = node.Node(place, council, world.settings, one, WINDOW_US, voter)
        if world.settings.records:
            self.node.restore({at: (label, id, tuple(rows)) for at, (label, id, rows) in self.disk.items()})
        self.tries, self.count, self.places = {}, 0, {}
        self.act("start")

    def voter(self):
        return raft.restore_state(
            self.identity,
            self.world.council,
            raft.RaftTiming(),
            self.world.seed + self.lives,
            self.now(),
            self.store.term,
            self.store.voted_for,
            self.store.log,
            self.store.snapshot,
        )

    def act(self, name, *args):
        """Have the member do something, or once it goes on; what it decides is carried out in order."""
        if not self.up:
            return
        if self.stopped:
            if name != "tick":
                self.backlog.append((name, args))
            return
        try:
            decisions = getattr(self.node, name)(self.now(), self.unix(), *args)
        except EffectError:
            return
        for what in decisions:
            self.carry_out(what)

    def later(self, wait, name, *args):
        lives = self.lives
        self.world.later(wait, lambda: self.lives == lives and self.act(name, *args))

    def carry_out(self, what):
        world = self.world
        match what:
            case links.Dial(name):
                world.dial(self, name)
            case links.WriteFrame(connection, frame):
                world.write(connection, frame)
            case links.Close(connection):
                world.close(connection)
            case node.Persist(write):
                lives = self.lives
                self.world.later(world.rng.randint(100, 5_000), lambda: self.persisted(write, lives))
            case node.PersistChanges(changes):
                lives = self.lives
                self.world.later(world.rng.randint(100, 5_000), lambda: self.kept(changes, lives))
            case node.ResetCouncilStore():
                self.store, self.identity = Store(), f"{self.name}#{self.lives}.{world.now}"
                self.later(1_000, "reset_voter", self.voter())
            case effect_log.StartRun(id, token):
                self.started(id, token)
            case effect_log.RejectAttempt(id):
                self.answer(id, "refused")
            case effect_log.RunResolved(_, run, state, result):
                for id in [id for id, one in self.tries.items() if one[2] == run]:
                    self.answer(id, "served" if state.value == "ran" else "refused", result)
            case effect_log.QueryServer():
                self.inquire(what)
            case effect_log.FenceKernel(place, partition, epoch, runs):
                kernel = world.kernels.get(place.kernel)
                if kernel is not None and not world.parted(self.name, kernel.name):
                    kernel.fence(
                        partition,
                        epoch,
                        runs,
                        lambda run, kind: self.later(
                            500,
                            "handle_run_fate",
                            partition,
                            epoch,
                            run,
                            kind,
                            run.encode() if kind is RecordKind.OUTCOME else b"",
                        ),
                    )

    def kept(self, changes, lives):
        if not self.up or lives != self.lives:
            return
        for one in changes:
            match one:
                case SnapshotReplaced(at, label, entries):
                    self.disk[at] = (label, self.node.member_id, list(entries))
                case ReplicaDropped(at):
                    self.disk.pop(at, None)
                case EpochChanged(at, label):
                    self.disk[at] = (label, self.node.member_id, self.disk.get(at, (0, "", []))[2])
                case RecordsAppended(at, entries):
                    if at in self.disk:
                        self.disk[at][2].extend(entries)
        self.act("handle_changes_persisted", True)

    def persisted(self, write, lives):
        if self.up and lives == self.lives:
            self.store.write(write)
            self.act("handle_persisted", True)

    # Callers' side

    def ask(self, key, tell):
        """Take a try of a charge."""
        if not self.up:
            tell("broken")
        elif self.stopped:
            self.backlog.append((None, (key, tell)))
        else:
            self.take(key, tell)

    def take(self, key, tell):
        if self.stopped:  # judging and recording are one turn: none is left in the middle
            self.backlog.append((None, (key, tell)))
            return
        if not self.node.effect_log.map.assignments:
            tell("refused")
            return
        self.count += 1
        id = f"{self.node.member_id}-{self.count}"
        unix = self.unix()
        what = effect_log.AttemptInfo(id, "paid", "t", key, b"d")
        verdict = decide_attempt(self.node, self.now(), what, unix)
        match verdict.action:
            case AttemptAction.RETURN_RESULT:
                tell("served", verdict.effect.result)
            case AttemptAction.WAIT_FOR_FATE | AttemptAction.JOIN_RUN:
                self.tries[id] = (key, tell, effect_log.unpack_attempt(verdict.effect.digest).id)
            case AttemptAction.RUN if not self.unit(id):
                tell("refused")
            case AttemptAction.RUN:
                self.tries[id] = (key, tell, id)
                name = effect_key("paid", "t", key)
                before = self.node.effect_log.last_attempt(verdict.partition, name)
                what = what._replace(server_ref=self.place(key) if self.world.servers else "")
                if before is not None:
                    what = what._replace(lost_owners=before.lost_owners)
                    what = what._replace(server_ref=before.server_ref, pinned=True) if before.pinned else what
                self.places[id] = what.server_ref
                entry = EffectRecord(
                    RecordKind.INTENT, name, unix, self.node.member_id, 0, effect_log.pack_attempt(what)
                )
                self.act("record_intent", verdict.partition, id, entry)
            case AttemptAction.REDIRECT | AttemptAction.WAIT_FOR_LEASE:
                tell("refused")
            case _:
                tell("failed")

    def unit(self, id):
        """Take a unit of the one tenant's limit, where there is one; whoever must wait comes again."""
        if not self.world.cap:
            return True
        unix = self.unix()
        limit = Limit.at("t", self.world.cap_window, unix)
        word, decisions = self.node.take_unit(self.now(), unix, limit, self.world.cap, id)
        for what in decisions:
            self.carry_out(what)
        self.node.unit_holder.cancel_wait(limit, id)
        self.world.spent[limit.name] += word is UnitWord.TAKEN
        return word is UnitWord.TAKEN

    def started(self, id, token):
        if id not in self.tries:
            return
        key, lives = self.tries[id][0], self.lives
        if key.startswith("poison"):
            self.world.poisoned.append(self.name)
            self.die()
            return
        if self.world.rng.random() < self.world.pause:
            self.stop()  # between the record and the command
            self.world.later(self.world.rng.randint(500_000, 3 * S), self.go_on)
        self.command(id, key, token, lives)

    def command(self, id, key, token, lives):
        if self.lives != lives or not self.up:
            return
        if self.stopped:
            self.backlog.append(("command", (id, key, token, lives)))
            return
        if self.world.servers:
            self.send_on(id, key, token, lives)
        else:
            self.kernel.start(id, key, token, lambda run: self.finished(run, key, lives))

    # A translator's side: a request may be on its way for long

    def place(self, key):
        """Choose from a list that is not the others'."""
        names = sorted(self.world.servers)
        return random.Random(f"{self.name}{key}").choice(names)

    def send_on(self, id, key, token, lives):
        world = self.world
        server = world.servers[self.places[id]]
        lost = [False]

        def came(how):
            if not lost[0]:
                lost[0] = True
                self.finished(id, key, lives, how)

        way = world.rng.choice((500, 1_000, 2_000, world.rng.randint(500_000, 9 * S)))
        world.later(way, lambda: server.take(key, token, lambda how: world.later(way, came, how)))
        world.later(2 * S, came, "doubt")

    def inquire(self, what):
        world, server, lives = self.world, self.world.servers[what.attempt.server_ref], self.lives
        token = (what.partition, what.epoch, self.node.member_id)

        def back(how, fenced):
            kind = {"done": RecordKind.OUTCOME, "never": RecordKind.NEVER}.get(how)
            if kind is not None and lives == self.lives:
                result = what.attempt.key.encode() if kind is RecordKind.OUTCOME else b""
                self.act("handle_run_fate", what.partition, what.epoch, what.attempt.id, kind, result, fenced)

        way = world.rng.choice((500, 1_000, world.rng.randint(1_000, 3 * S)))
        world.later(way, lambda: world.later(way, back, *server.told(what.attempt.key, token)))

    def finished(self, run, key, lives, how="done"):
        if self.lives != lives or not self.up:
            return
        if self.stopped:
            self.backlog.append(("finished", (run, key, lives, how)))
            return
        at, name = partition_of(key, self.world.settings.partitions), effect_key("paid", "t", key)
        result = key.encode() if self.world.servers else run.encode()
        if how == "doubt":
            self.act("mark_in_doubt", at, name)
        else:
            kind = RecordKind.OUTCOME if how == "done" else RecordKind.NEVER
            self.act(
                "record_outcome", at, EffectRecord(kind, name, self.unix(), result=result if how == "done" else b"")
            )
        for id in [id for id, one in self.tries.items() if one[2] == run]:
            self.answer(id, *(("served", result) if how == "done" else ("failed",)))

    def answer(self, id, how, result=b""):
        one = self.tries.pop(id, None)
        if one is not None:
            one[1](how, result)

    # Faults

    def die(self, kernel=False):
        self.up = False
        if kernel:
            self.kernel.up = False
        self.world.cut_off(self)

    def stop(self):
        self.stopped = True

    def go_on(self):
        if not self.stopped:
            return
        self.stopped = False
        backlog, self.backlog = self.backlog, []
        for name, args in backlog:
            if name is None:
                self.take(*args)
            elif name in ("command", "finished"):
                getattr(self, name)(*args)
            else:
                self.act(name, *args)


class World:
    """All of it, from one seed."""

    def __init__(
        self, seed, size=5, council=3, settings=None, zones=1, servers=0, checks=True, cap=0, cap_window=10_000 * S
    ):
        self.seed, self.rng, self.now, self.count = seed, random.Random(seed), 0, 0
        self.settings = settings or FleetSettings(partitions=8, new=True)
        self.mail, self.ends, self.held, self.cut, self.loss, self.pause = [], {}, [], set(), 0.0, 0.0
        self.poisoned, self.owners_may_overlap = [], False
        self.ran, self.served, self.outcomes, self.kernels = defaultdict(list), {}, Counter(), {}
        self.servers = {one: Server(self, one, checks) for one in (f"s{at}" for at in range(servers))}
        self.cap, self.cap_window, self.spent = cap, cap_window, Counter()
        self.names = tuple(f"n{at}" for at in range(size))
        self.council = self.names[:council]
        self.members = {}
        for at, name in enumerate(self.names):
            self.members[name] = Process(self, name, f"z{at % zones}")

    def later(self, wait, act, *args):
        self.count += 1
        heapq.heappush(self.mail, (self.now + wait, self.count, act, args))

    # The network: what is cut is held, and comes when it heals

    def parted(self, start, end):
        return (start, end) in self.cut

    def dial(self, process, name):
        there = self.members[name]
        self.count += 1
        mine, theirs = 2 * self.count, 2 * self.count + 1
        if not there.up:
            process.later(1_000, "handle_link_event", links.DialFinished(name, None))
            return
        self.ends[mine], self.ends[theirs] = (process, process.lives, theirs), (there, there.lives, mine)
        process.later(1_000, "handle_link_event", links.DialFinished(name, mine))

    def write(self, connection, frame):
        if connection not in self.ends:
            return
        here, _, other = self.ends[connection]
        if other not in self.ends:
            return
        there = self.ends[other][0]
        message = getattr(frame, "message", None)
        if message is not None and self.rng.random() < self.loss:
            return
        for _ in range(1 + (message is not None and self.rng.random() < self.loss)):
            self.deliver(here.name, there.name, other, frame)

    def deliver(self, start, end, connection, frame):
        if self.parted(start, end):
            self.held.append((start, end, connection, frame))
            return
        # In order on one connection: time moves on by little for each.
        self.order = max(getattr(self, "order", 0) + 1, self.now + self.rng.randint(100, 1_500))
        self.count += 1
        heapq.heappush(self.mail, (self.order, self.count, self.arrive, (connection, frame)))

    def arrive(self, connection, frame):
        if connection in self.ends:
            process, lives, _ = self.ends[connection]
            if process.lives == lives:
                process.act("handle_link_event", links.FramesReceived(connection, (frame,)))

    def close(self, connection):
        _, _, other = self.ends.pop(connection, (None, None, None))
        if other in self.ends:
            process, lives, _ = self.ends.pop(other)
            if process.lives == lives:
                process.later(1_000, "handle_link_event", links.ConnectionLost(other))

    def cut_off(self, process):
        for number in [number for number, one in self.ends.items() if one[0] is process]:
            self.close(number)

    def part(self, pairs):
        self.cut = set(pairs)

    def heal(self):
        self.cut = set()
        held, self.held = self.held, []
        for one in held:
            self.deliver(*one)

    # Time and callers

    def run(self, seconds, until=None):
        end = self.now + int(seconds * S)
        while self.now < end:
            step = self.now + 20_000
            while self.mail and self.mail[0][0] <= step:
                self.now, _, act, args = heapq.heappop(self.mail)
                act(*args)
            self.now = step
            for one in self.members.values():
                one.act("tick")
            self.check()
            if until is not None and until():
                return True
        return until is None

    def ready(self):
        """Tell whether every partition has an owner that may take charges."""
        owners = Counter(
            at
            for one in self.members.values()
            if one.up and not one.stopped
            for at in one.node.effect_log.replicas
            if one.node.owns(at, one.now()) and one.node.effect_log.has_enough_backups(at)
        )
        return set(owners) == set(range(self.settings.partitions))

    def charge(self, key, tries=12):
        """Ask for a charge as a caller does: by some member's map, again and again."""
        member = self.rng.choice([one for one in self.members.values()])
        owner = member.node.effect_log.assignment_of(key)[1].owner if member.node.effect_log.map.assignments else ""
        name = owner.rpartition("@")[0] if self.rng.random() < 0.9 else self.rng.choice(self.names)
        told = []

        def tell(how, result=b""):
            if told:
                return
            told.append(how)
            self.outcomes[how] += 1
            if how == "served":
                first = self.served.setdefault(key, result)
                assert first == result, f"{key} was answered {first} and {result}"
                assert len(self.ran[key]) == 1, f"{key} was served and ran {len(self.ran[key])} times"
            elif tries > 1:
                self.later(self.rng.randint(100_000, 500_000), self.charge, key, tries - 1)

        self.later(2 * S, lambda: tell("silent"))
        (self.members.get(name) or member).ask(key, tell)
        if tries > 1 and self.rng.random() < 0.1:  # a caller that can not wait, through another front end
            self.later(self.rng.randint(0, 20_000), self.charge, key, 1)

    # What has to hold

    def check(self):
        assert all(count <= self.cap for count in self.spent.values()), f"{self.spent} of {self.cap}"
        for key, runs in self.ran.items():
            assert len(runs) <= 1, f"{key} ran {runs}"
        owners = {}
        for one in () if self.owners_may_overlap else self.members.values():
            if not one.up or one.stopped:
                continue
            for at, replica in one.node.effect_log.replicas.items():
                if one.node.owns(at, one.now()):
                    other = owners.setdefault(at, (replica.assignment.epoch, one.node.member_id))
                    assert other[1] == one.node.member_id, (
                        f"partition {at} at {self.now}: {other} and {one.node.member_id}"
                    )
