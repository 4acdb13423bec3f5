"""A whole scorer in memory against a model of the kernel whose link breaks, on a fake clock, drawn by a seed.

After each few milliseconds, the runs that exist at the kernel are compared with those that the policy counts.
"""

import base64
import json
import math
import random
import unittest
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from enum import Enum, auto

from twisted.internet import error

from sagetrestle.lab.fall_over import FallOverLimits, FallOverWatch, NodeLoad
from sagetrestle.logic import IN_DOUBT, RUNNING, STOPPING
from sagetrestle.net.routing.values import BackendAddresses
from tests.net.scenario import PARAMS, ThriftPeer, World, call_id

SEEDS = range(1, 25)
STEP_MS = 4  # of ``World.settle``
PLAY_MS = 6_000
STOP_MS = 3_700
KERNEL_PORT, LEDGER_PORT, ROSTER_PORT = 1, 2, 3
CORES = 3
HELD_KB, RUN_FACTOR = 24.5, 4.0
KNOWN_OVER_MS = 10  # from an answer until the kernel knows of it
STALL_MS, STALL_INTERVAL_MS = 700, 2_500  # how long and how often the cores stand still
MOVE_INTERVAL_MS = 700  # between new addresses of the kernel, on average
SLACK_MS = 60 + 4 * STEP_MS  # the platform's, and the steps of this play
STOP_SENDING_MS = 2_100
FRONT_COUNT = 3


class RunState(Enum):
    """Where a run is."""

    ON_CORE = auto()
    AT_DISK = auto()
    CALLING = auto()
    PAUSED = auto()


@dataclass
class Run:
    """One run; its stops are at the work left, the next one last."""

    left_ms: float
    stops: list[tuple[float, RunState]]
    state: RunState = RunState.ON_CORE
    disk_until_ms: float = 0.0
    call_count: int = 0


@dataclass
class Request:
    """One request as its client sees it."""

    id: str
    cls: str
    key: str | None
    sent_at_ms: float
    over_at_ms: float = math.inf
    answer: str = ""


class ModelWorld(World):
    """A scorer whose peers can be told from each other by their ports."""

    def peers(self):
        here = "127.0.0.1"
        return BackendAddresses((here, KERNEL_PORT), (here, LEDGER_PORT), (here, ROSTER_PORT))


@dataclass
class ModelKernel:
    """Runs requests on a few cores as the protocol page says, and keeps all notices."""

    play: "Play"
    rng: random.Random
    runs: dict[str, Run] = field(default_factory=dict)
    starts: list[str] = field(default_factory=list)
    notices: list[tuple[int, bytes]] = field(default_factory=list)
    wire: object = None
    is_deaf: bool = False
    unread: deque[tuple[float, bytes]] = field(default_factory=deque)  # commands on their way, and when they arrive
    unsent: deque[tuple[float, bytes]] = field(default_factory=deque)  # the same of what goes to the scorer

    def pump(self):
        """Carry out what came, and work for a millisecond."""
        if self.wire is not None:
            lines = self.wire.take().splitlines()
            for line in lines if not self.is_deaf else ():
                self.unread.append((self._arrival_ms(self.unread), line))
        while self.unread and self.unread[0][0] <= self.play.now_ms:
            self._take(json.loads(self.unread.popleft()[1]))
        while self.unsent and self.unsent[0][0] <= self.play.now_ms and self.wire is not None:
            self.wire.protocol.dataReceived(self.unsent.popleft()[1])
        on_cores = [] if self.is_stalled() else self.on_cores()
        for id in on_cores:
            self._work(id, self.speed_share() * min(1.0, CORES / len(on_cores)))
        for run in self.runs.values():
            if run.state is RunState.AT_DISK and run.disk_until_ms <= self.play.now_ms:
                run.state = RunState.ON_CORE
        for id in [id for id, run in self.runs.items() if self._is_over(id)]:
            if self.runs[id].state is RunState.PAUSED:
                del self.runs[id]
            elif self.runs[id].state is RunState.CALLING:
                self._end(id, "aborted")

    def break_link(self):
        """End the link; commands on their way are lost or still read, notices are lost."""
        wire, self.wire, self.is_deaf = self.wire, None, False
        while self.unread and self.rng.random() < 0.8:
            self._take(json.loads(self.unread.popleft()[1]))
        self.unread.clear()
        self.unsent.clear()
        wire.end(error.ConnectionLost)

    def _arrival_ms(self, line):
        """Return when the next piece of a queue arrives, which is after those before it."""
        return max(self.play.now_ms + self.rng.random() * self.play.delay_ms, line[-1][0] if line else 0.0)

    def on_cores(self):
        return [id for id, run in self.runs.items() if run.state is RunState.ON_CORE]

    def speed_share(self):
        if not self.play.is_cold:
            return 1.0
        rules = PARAMS["rules"]
        return rules["cold_share"] + (1.0 - rules["cold_share"]) * self.play.now_ms * 1000 / rules["warm_within"]

    def is_stalled(self):
        """Return whether the cores stand still at present: no run goes on, and none can be stopped."""
        return self.play.has_stalls and self.play.now_ms % STALL_INTERVAL_MS < STALL_MS

    def _is_over(self, id):
        return self.play.requests[id].over_at_ms + KNOWN_OVER_MS <= self.play.now_ms

    def _take(self, got):
        id = got.get("call", "")
        run = self.runs.get(id)
        match got["msg"]:
            case "OPEN":
                how, age_ms = ("fresh", int(self.play.now_ms)) if self.play.is_cold else ("seasoned", 3_600_000)
                self._write(msg="BOOTED", how=how, duration=age_ms)
                for serial, line in self.notices:
                    if serial > got["serial"]:
                        self._send(line)
            case "SYSINFO":
                self._write(msg="INFO", cookie=got["cookie"], stats=[0.5, len(self.on_cores()), 0.1, 3])
            case "SCHED" if run is None and self._is_over(id):
                self._notify(msg="REAP", call=id, how="stale", duration=0, blob="")
            case "SCHED" if run is None:
                self._start(id)
            case "PREEMPT" if self.play.halt == "silent":
                self._write(msg="EINVAL", how="PREEMPT", call=id)
            case "PREEMPT" if self.is_stalled():
                pass
            case "PREEMPT" if run is not None and run.state is RunState.ON_CORE:
                if self._is_over(id) or self.play.halt == "abort":
                    self._end(id, "aborted")
                else:
                    run.state = RunState.PAUSED
                    self._notify(msg="REAP", call=id, how="aborted", duration=1, blob="")
            case "RESCHED" if run is not None and run.state is RunState.PAUSED:
                run.state = RunState.ON_CORE
            case "IODONE" if run is not None and run.state is RunState.CALLING:
                reply = base64.b64decode(got["blob"]).decode()
                self.play.test.assertEqual(f"reply to call {run.call_count} of {id}", reply)
                run.state = RunState.ON_CORE

    def _start(self, id):
        self.starts.append(id)
        work_ms = self.play.work_ms * self.rng.uniform(0.5, 1.5)
        calls = self.rng.randrange(3) if self.play.requests[id].cls != "quick-check" else 0
        kinds = [RunState.CALLING] * calls + [RunState.AT_DISK] * (self.rng.random() < 0.4)
        self.runs[id] = Run(work_ms, sorted((self.rng.uniform(0.1, 0.9) * work_ms, kind.value) for kind in kinds))

    def _work(self, id, work_ms):
        run = self.runs[id]
        run.left_ms -= work_ms
        if run.stops and run.left_ms <= run.stops[-1][0]:
            run.state = RunState(run.stops.pop()[1])
            if run.state is RunState.AT_DISK:
                run.disk_until_ms = self.play.now_ms + self.rng.uniform(20, 800)
            elif self._is_over(id):
                self._end(id, "aborted")
            else:
                run.call_count += 1
                body = base64.b64encode(f"call {run.call_count} of {id}".encode()).decode()
                self._notify(msg="IOREQ", call=id, blob=body)
        elif run.left_ms <= 0:
            self._end(id, "done")

    def _end(self, id, how):
        del self.runs[id]
        self._notify(msg="REAP", call=id, how=how, duration=12, blob="")

    def _notify(self, **notice):
        notice["serial"] = len(self.notices) + 1
        self.notices.append((notice["serial"], json.dumps(notice).encode() + b"\n"))
        self._write(**notice)

    def _write(self, **notice):
        self._send(json.dumps(notice).encode() + b"\n")

    def _send(self, line):
        if self.wire is not None and not self.is_deaf:
            self.unsent.append((self._arrival_ms(self.unsent), line))


class Play:
    """One play: clients, breaks of the link, a ledger, and the notice to leave."""

    def __init__(self, test, seed):
        self.test, self.rng, self.requests, self.calls = test, random.Random(seed), {}, []
        self.work_ms = self.rng.choice((15, 60, 300, 900))
        self.delay_ms = self.rng.choice((0.0, 2.0, 40.0))  # of the kernel's link, one way, at most
        self.loss_ms = self.rng.choice((0, 0, 20, 60, 250))
        self.break_interval_ms = self.rng.choice(((60, 300), (300, 600), (1_000, 2_000)))
        self.interval_ms = self.work_ms / CORES / self.rng.choice((0.8, 1.3, 2.5))
        self.has_moves = self.rng.random() < 0.3
        self.has_stalls = self.rng.random() < 0.4
        self.is_cold = self.rng.random() < 0.3
        self.halt = self.rng.choice(("suspend", "suspend", "abort", "silent"))
        effects = [self.rng.choice(("safe", "unsafe")), self.rng.choice(("safe", "unsafe")), "keyed"]
        params = {
            **PARAMS,
            "extra": {**PARAMS["extra"], "cores": CORES, "memory_kb": self.rng.choice((900.0, 3_000.0))},
        }
        params["extra"]["halt"] = self.halt
        params["rules"] = {**PARAMS["rules"], "tip_multiple": self.rng.choice((2.0, 3.0, 5.0))}
        params["classes"] = [
            {**cls, "effect": effect, "hard_limit": limit_us}
            for cls, effect, limit_us in zip(PARAMS["classes"], effects, (2_000_000, 1_500_000, 3_000_000), strict=True)
        ]
        self.classes = {cls["name"]: cls for cls in params["classes"]}
        self.world = ModelWorld(test, STOP_MS, params=params, fresh=self.is_cold)
        self.kernel = ModelKernel(self, random.Random(seed))
        self.kernel.wire, self.world.kernel = self.world.kernel.wire, self.kernel
        self.clients_seen = len(self.world.reactor.tcpClients)
        self.fronts = [ThriftPeer(self.world) for _ in range(FRONT_COUNT)]
        self.watch = FallOverWatch(FallOverLimits.from_settings(params), self._load)
        self.notice_ms = math.inf

    @property
    def now_ms(self):
        return self.world.reactor.seconds() * 1000

    def _load(self):
        open_count = sum(request.over_at_ms == math.inf for request in self.requests.values())
        waiting = open_count - sum(self.requests[id].over_at_ms == math.inf for id in self.kernel.runs)
        runs = sum(
            run.state is not RunState.PAUSED or self.requests[id].over_at_ms == math.inf
            for id, run in self.kernel.runs.items()
        )
        memory_kb = HELD_KB * (waiting + RUN_FACTOR * runs)
        return NodeLoad(len(self.kernel.on_cores()), memory_kb, 0, self.kernel.speed_share())

    def play(self):
        next_request_ms, next_break_ms, deaf_until_ms = 0.0, self._draw_break_ms(), math.inf
        while self.now_ms < PLAY_MS + STOP_MS:
            if self.notice_ms == math.inf and self.now_ms >= PLAY_MS:
                self.notice_ms = self.now_ms
                self.world.play("platform send TERM")
            if self.now_ms >= next_request_ms:
                self._send()
                next_request_ms = self.now_ms + self.rng.expovariate(1 / self.interval_ms)
            if self.kernel.wire is not None and deaf_until_ms == math.inf and self.now_ms >= next_break_ms:
                deaf_until_ms = self.now_ms + self.rng.random() * self.loss_ms
                self.kernel.is_deaf = deaf_until_ms > self.now_ms
            if self.now_ms >= deaf_until_ms:
                self.kernel.break_link()
                deaf_until_ms, next_break_ms = math.inf, self.now_ms + self._draw_break_ms()
            if self.has_moves and self.rng.random() < STEP_MS / MOVE_INTERVAL_MS:
                self._move_kernel()
            self.world.settle()
            self._accept()
            self._answer_calls()
            self._read_answers()
            self._compare()
        self._check()

    def _move_kernel(self):
        """Have the configuration read again, with another address of the kernel."""
        peers = self.world.scorer.loop.state.peers
        moved = peers._replace(kernel=(peers.kernel[0], peers.kernel[1] + 10))
        self.world.moved = replace(self.world.scorer.config, peers=moved)
        self.world.scorer.reload()

    def _draw_break_ms(self):
        return self.rng.uniform(*self.break_interval_ms)

    def _send(self):
        front = self.rng.choice(self.fronts)
        if not front.wire.connected or "leaving" in front.answers:
            return
        name, cls = f"r{len(self.requests)}", self.rng.choice(list(self.classes))
        key = None
        if cls == "paid-check":
            key = f"key-{self.rng.randrange(len(self.requests) + 1)}"
        self.requests[call_id(name)] = Request(call_id(name), cls, key, self.now_ms)
        front.send(name, cls, *([f"key={key}"] if key else []), *([f"body={key}"] if key else []))
        if self.rng.random() < 0.05:
            front.send("withdraw", name)
            self.requests[call_id(name)].over_at_ms = self.now_ms

    def _accept(self):
        """Take the links and calls that the scorer has begun to set up."""
        clients = self.world.reactor.tcpClients
        while self.clients_seen < len(clients):
            at, self.clients_seen = self.clients_seen, self.clients_seen + 1
            if clients[at][1] == LEDGER_PORT:
                self.calls.append((self.now_ms + self.rng.uniform(1, 400), self.world.accept(at)))
            else:
                self.kernel.unsent.clear()  # if the kernel has moved, the link before has just been closed
                self.kernel.wire = self.world.accept(at)

    def _answer_calls(self):
        for due in [due for due in self.calls if due[0] <= self.now_ms]:
            self.calls.remove(due)
            head, _, rest = due[1].take().decode().partition("\r\n")
            if not due[1].connected or not head.startswith("post "):
                continue
            id, verdict = head.split()[1], self.rng.choice(("posted", "posted", "posted", "queue_full", "error", ""))
            reply = f"reply to {rest.partition(chr(13))[0]}"
            if not verdict:
                due[1].end(error.ConnectionLost)
                continue
            text = f" {len(reply)}\r\n{reply}" if verdict == "posted" else ""
            due[1].protocol.dataReceived(f"{id} {verdict}{text}\r\n".encode())

    def _read_answers(self):
        for front in self.fronts:
            front._read()
            for name, number in front.numbers.items():
                request = self.requests.get(call_id(name))
                if request is not None and number in front.answers and not request.answer:
                    request.answer = front.answers[number]
                    request.over_at_ms = min(request.over_at_ms, self.now_ms)

    def _compare(self):
        """Compare the runs at the kernel with what the policy counts."""
        self.watch.look(self.now_ms / 1000)
        counted = self.world.scorer.loop.state.policy.requests
        for id, run in self.kernel.runs.items():
            if run.state is RunState.PAUSED and self.requests[id].over_at_ms <= self.now_ms:
                continue  # the kernel ends it as soon as it knows
            where = f"{id} is {run.state} at {self.now_ms:.0f} ms"
            self.test.assertIn(id, counted, where)
            self.test.assertGreaterEqual(counted[id].memory_kb, HELD_KB * RUN_FACTOR, where)
            if run.state is RunState.ON_CORE:
                self.test.assertIn(counted[id].state, (RUNNING, STOPPING, IN_DOUBT), where)

    def _check(self):
        test = self.test
        test.assertEqual([], self.watch.violations)
        for id in self.kernel.starts:
            test.assertNotIn("refused", self.requests[id].answer)
            test.assertLess(self.requests[id].sent_at_ms, self.notice_ms + STOP_SENDING_MS)
        effect_ids = (self.requests[id].key or id for id in self.kernel.starts if not self._is_safe(id))
        test.assertEqual(1, max(Counter(effect_ids).values(), default=1))
        for request in self.requests.values():
            limit_ms = self.classes[request.cls]["hard_limit"] / 1000
            test.assertLess(request.over_at_ms, request.sent_at_ms + limit_ms + SLACK_MS, request)

    def _is_safe(self, id):
        return self.classes[self.requests[id].cls]["effect"] == "safe"


class KernelModelTest(unittest.TestCase):
    """Plays of the scorer against the model."""

    # Guards against runs that go on at the kernel while the policy takes them for ended, paused or not started.
    def test_whatever_runs_at_the_kernel_is_counted_by_the_policy(self):
        answers = Counter()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                play = Play(self, seed)
                play.play()
                answers.update(request.answer.split()[0] for request in play.requests.values() if request.answer)
        self.assertLess(0, min(answers[outcome] for outcome in ("served", "refused", "failed")))
