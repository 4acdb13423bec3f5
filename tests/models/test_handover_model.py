"""Two processes of one scorer against loss, delay and death: the cores as they are, streams and kernels of the model.

Never two runs of a key in its window, never two owners, one answer at most to each request, and it settles.
"""

from collections import deque

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sagetrestle.handover import old_process, new_process
from sagetrestle.net.routing import effects as fx
from sagetrestle.net.routing import handover, inputs, reducer
from sagetrestle.net.routing.state import attach_handover, new_state
from sagetrestle.net.routing.values import CommandKind, ConnectionId, BackendAddresses, Request, RunEnd, RequestRef
from tests.net.scenario import WINDOW_MS, plan

HANDLERS = {**reducer.HANDLERS, **handover.HANDLERS}
HERE = ("127.0.0.1", 1)
KEYED, WINDOW_US = 2, WINDOW_MS * 1000
FRONT = ConnectionId("thrift", 1)


class Process:
    """One core with a kernel that does as it is told, at once."""

    def __init__(self, model: "HandoverModel", old_process_sockets: int, kernel_up: bool) -> None:
        self.model, self.alive, self.kernel_up = model, True, kernel_up
        base = plan()
        self.state = new_state(type(base)(base.settings, base.stop_us, base.bounds, base.gauges, 7, True))
        attach_handover(self.state, handover.HandoverCoordinator(self.state.plan, "n1", "here"))
        self.running: list[str] = []
        self.serial = self.link = 0
        self.inbox: deque = deque()  # what is on its way here over the stream
        self.born = model.now
        self.feed(inputs.Started(BackendAddresses(HERE, HERE, HERE), old_process_sockets))
        self.feed(inputs.ConnectionOpened(FRONT))

    def feed(self, *items) -> None:
        """Reduce a turn and carry out what it asks for."""
        todo = deque([list(items)])
        while todo and self.alive and not self.state.exited:
            for effect in reducer.reduce(self.state, self.model.now, todo.popleft(), 0, HANDLERS):
                follows = self._perform(effect)
                if follows is not None:
                    todo.append([follows])

    def _perform(self, effect):
        match effect:
            case fx.ConnectKernel(number, _) if self.kernel_up:
                return inputs.KernelConnected(number)
            case fx.OpenKernelSession():
                return inputs.KernelBooted(False, 10**9)
            case fx.RequestGauges(cookie):
                return inputs.GaugesRead(cookie, (0.5, 1.0, 0.1, 3.0))
            case fx.RunCommand(CommandKind.START, id):
                self.model.ran(self, id)
                self.running.append(id)
            case fx.RunCommand(CommandKind.PAUSE, id):
                return self._over(id, RunEnd.ABORTED)
            case fx.RunCommand(CommandKind.RESUME, id):
                self.running.append(id)
            case fx.SendAnswer(request_ref):
                assert (self, request_ref) not in self.model.answered, "answered twice"
                self.model.answered.add((self, request_ref))
            case fx.Exit():
                self.alive = False
                self.model.cut()
            case fx.ExecuteHandoverDecision(what):
                return self.model.said(self, what)
        return None

    def _over(self, id: str, end: RunEnd):
        if id in self.running:
            self.running.remove(id)
        self.serial += 1
        return inputs.RunFinished(self.serial, id, end, 1000, b"result of " + id.encode())

    def finish(self) -> None:
        """End the run that began first."""
        if self.running:
            self.feed(self._over(self.running[0], RunEnd.DONE))

    def free(self) -> bool:
        """Tell whether a key of which nothing is known would run here unasked."""
        state, now = self.state, self.model.now
        pair = state.handover
        return (
            self.alive
            and state.listening
            and not state.exited
            and not old_process.needs_grant(pair.old_role)
            and old_process.may_run(pair.old_role, now)
            and new_process.may_run(pair.new_role, now)
        )


class HandoverModel(RuleBasedStateMachine):
    """An older and a newer process."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.count = 10**9, 0
        self.answered: set = set()
        self.asked: list = []
        self.runs: dict[str, list[int]] = {}
        self.keys: dict[str, tuple[str, int]] = {}
        self.linked = False
        self.killed: list[Process] = []
        self.new: Process | None = None
        self.old = Process(self, 0, True)

    # The streams

    def said(self, by: Process, what):
        other = self.new if by is self.old else self.old
        match what:
            case new_process.Connect():
                if not self.old.alive or self.old.state.exited:
                    return inputs.OldProcessEvent(new_process.Disconnected(True))
                self.linked = True
                self.old.link += 1
                return inputs.OldProcessEvent(new_process.Connected())
            case new_process.SendMessage(message) if self.linked:
                other.inbox.append(inputs.NewProcessEvent(old_process.MessageReceived(self.old.link, message)))
            case old_process.SendMessage(_, message) if self.linked:
                other.inbox.append(inputs.OldProcessEvent(new_process.MessageReceived(message)))
            case old_process.CloseConnection() | new_process.CloseConnection():
                self.cut()
        return None

    def cut(self, lose: bool = False) -> None:
        """End the stream; what was sent is read before its end, unless it is lost with a buffer."""
        if self.linked:
            self.linked = False
            if lose:
                self.old.inbox.clear()
                self.new.inbox.clear()
            self.old.inbox.append(inputs.NewProcessEvent(old_process.Disconnected(self.old.link)))
            self.new.inbox.append(inputs.OldProcessEvent(new_process.Disconnected(False)))

    def ran(self, process: Process, id: str) -> None:
        key, arrived = self.keys[id]
        for earlier in self.runs.setdefault(key, []):
            assert abs(arrived - earlier) > WINDOW_US, f"{key} ran twice"
        self.runs[key].append(arrived)

    # What happens

    @rule(new=st.booleans(), key=st.sampled_from("KLM"))
    def ask(self, new, key):
        process = self.new if new else self.old
        if process is None or not process.alive or not process.state.listening or process.state.exited:
            return
        self.count += 1
        id, request_ref = f"{self.count:016x}", RequestRef(FRONT, self.count)
        self.keys[id] = (key, self.now)
        self.asked.append((process, request_ref))
        process.feed(
            inputs.RequestRead(
                Request(request_ref, id, KEYED, self.now, 1, key.encode(), 24.0, 40_000, 0.5, False, key)
            )
        )

    @rule(new=st.booleans())
    def finish(self, new):
        process = self.new if new else self.old
        if process is not None and process.alive:
            process.finish()

    @rule(new=st.booleans(), most=st.integers(1, 6))
    def deliver(self, new, most):
        process = self.new if new else self.old
        while process is not None and process.alive and process.inbox and most:
            most -= 1
            process.feed(process.inbox.popleft())

    @rule(ms=st.sampled_from((1, 20, 150, 1_200, 4_000, 20_000)))
    def advance(self, ms):
        self.now += ms * 1000
        for process in (self.old, self.new):
            if process is not None:
                process.feed()

    @precondition(lambda self: self.new is None)
    @rule(kernel_up=st.booleans())
    def upgrade(self, kernel_up):
        self.new = Process.__new__(Process)  # known before its first word
        self.new.__init__(self, 1, kernel_up)

    @precondition(lambda self: self.new is not None and not self.new.kernel_up)
    @rule()
    def boot(self):
        self.new.kernel_up = True
        self.new.feed(inputs.KernelConnected(self.new.state.kernel.link_number))

    @precondition(lambda self: self.new is not None)
    @rule(new=st.booleans(), lose=st.booleans())
    def die(self, new, lose):
        process = self.new if new else self.old
        process.alive = False
        self.killed.append(process)
        self.cut(lose)

    @precondition(lambda self: self.old.alive)
    @rule()
    def sigterm(self):
        self.old.feed(inputs.StopRequested())

    # What holds

    @invariant()
    def one_owner(self):
        assert self.new is None or not (self.old.free() and self.new.free()), "two owners"

    @invariant()
    def the_new_one_listens_in_time(self):
        new = self.new
        if new is not None and new.alive and new.kernel_up and self.now - new.born > 30_000_000:
            assert new.state.listening or new.inbox or self.linked

    def teardown(self):
        """Let all that is on its way arrive, and time pass: whoever lives has answered all, and one serves."""
        for _ in range(400):
            for process in (self.old, self.new):
                if process is not None and process.alive:
                    while process.inbox:
                        process.feed(process.inbox.popleft())
                    process.finish()
                    process.feed()
            self.now += 100_000
        for process, request_ref in self.asked:
            assert process in self.killed or (process, request_ref) in self.answered, f"{request_ref} has no answer"
        new = self.new
        if new is not None and new.alive and new.kernel_up:
            assert new.state.listening and new_process.may_run(new.state.handover.new_role, self.now)


HandoverModel.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)
HandoverTest = HandoverModel.TestCase
