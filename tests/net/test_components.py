"""Import layers, outcomes, idempotency keys, ledger pool, configuration, limits, clock, log and turn loop."""

import ast
import json
import os
import pathlib
import re
import socket
import subprocess
import sys
import tempfile
import tomllib
import unittest
from dataclasses import replace

from twisted.internet.task import Clock as FakeReactor
from twisted.internet.testing import MemoryReactorClock

from sagetrestle.interface import NEVER_RAN, Outcome
from sagetrestle.net.program import config
from sagetrestle.net.program.clock import Clock
from sagetrestle.net.program.limits import Limits, derive_bounds
from sagetrestle.net.program.log import MAX_LINES_PER_S, RateLimitedLog
from sagetrestle.net.program.loop import TurnLoop
from sagetrestle.net.routing import outcomes
from sagetrestle.net.routing.idempotency import KeyTable
from sagetrestle.net.routing.inputs import CallAnswered, CallConnectionLost, LedgerConnectionLost, Started
from sagetrestle.net.routing.state import new_state
from sagetrestle.net.routing.values import (
    BackendAddresses,
    CallStatus,
    ConnectionEnd,
    ConnectionId,
    Request,
    RequestRef,
    RunEnd,
)
from sagetrestle.net.transport.ledger_pool import LedgerPool
from tests.net.scenario import PARAMS, WINDOW_MS, Wire, plan

ROOT = pathlib.Path(__file__).parent.parent.parent
NET = ROOT / "sagetrestle" / "net"
TOOLS = ("cli", "lab")
IO = ("twisted", "time", "datetime", "socket", "os", "pathlib", "random", "asyncio", "threading", "net", "store")
SEEDED = tuple(
    name for name in IO if name != "random"
)  # for packages that draw random numbers from a source passed to them
FORBIDDEN = {
    "net/routing": ("twisted", "net.protocol", "net.transport", "net.program", "time", "socket", *TOOLS),
    "net/protocol": ("twisted", "net.routing", "net.transport", "net.program", "time", "datetime", *TOOLS),
    "net/transport": ("net.program", "logic", *TOOLS),
    "net/program": TOOLS,
    "membership": (*SEEDED, *TOOLS, "identity", "limits"),
    "router": (*SEEDED, *TOOLS, "identity", "limits"),
    "attempts": (*SEEDED, *TOOLS, "identity"),
    "recovery": (*IO, *TOOLS, "identity", "membership"),
    "translation": (*IO, *TOOLS, "identity", "membership", "router"),
    "handover": (*IO, *TOOLS, "identity", "membership", "router"),
    "identity": (*IO, *TOOLS, "membership"),
    "limits": (*IO, *TOOLS, "identity"),
    "store": ("twisted", "net", *TOOLS),
    "consensus": (*SEEDED, *TOOLS, "identity", "limits", "membership", "router"),
    "peers": (*SEEDED, *TOOLS, "identity", "limits", "consensus", "takeover"),
    "ownership": (*IO, *TOOLS, "identity", "limits", "peers", "consensus", "takeover"),
    "quota": (*IO, *TOOLS, "identity", "limits", "takeover", "peers"),
    "health_decisions": (*SEEDED, *TOOLS, "identity", "limits", "takeover", "peers"),
    "gossip": (*SEEDED, *TOOLS, "identity", "limits", "takeover", "peers", "health_decisions"),
    "damping": (*IO, *TOOLS, "identity", "limits", "takeover", "peers", "router", "attempts"),
    "overload": (*IO, *TOOLS, "identity", "limits", "takeover", "peers", "router", "attempts"),
    "traffic": (*IO, *TOOLS, "identity", "limits", "takeover", "peers"),
    "takeover": (*IO, *TOOLS, "identity", "limits", "router"),
}


class LayersTest(unittest.TestCase):
    """Which packages may import which."""

    def test_no_layer_reaches_up(self):
        """Decision packages import no clock, socket, disk or random source; nothing imports the tools."""
        for layer, forbidden in FORBIDDEN.items():
            for path in (ROOT / "sagetrestle" / layer).glob("*.py"):
                for node in ast.walk(ast.parse(path.read_text())):
                    names = (
                        [node.module or ""]
                        if isinstance(node, ast.ImportFrom)
                        else [one.name for one in node.names]
                        if isinstance(node, ast.Import)
                        else []
                    )
                    for name in names:
                        short = name.removeprefix("sagetrestle.")
                        hit = [one for one in forbidden if short == one or short.startswith(f"{one}.")]
                        self.assertFalse(hit, f"{path.name}: {name}")

    def test_a_start_loads_nothing_that_is_off_and_little_else(self):
        """Imports determine the processor time of a start, and scorers that start together share cores."""
        code = "import sys, sagetrestle.net.program.main\nfrom twisted.internet import reactor\nprint(*sys.modules)"
        loaded = subprocess.run(
            [sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
        ).stdout.split()
        own = {name for name in loaded if name.startswith("sagetrestle.")}
        off = (
            "handover",
            "fleet",
            "translate",
            "identity.authenticator",
            "dnssd",
            "takeover",
            "quota",
            "consensus",
            "lab",
        )
        self.assertEqual([], sorted(name for name in own if name.endswith(off)))
        self.assertFalse({"twisted.names", "structlog", "click", "h2", "jwt"} & set(loaded))
        self.assertLessEqual(len(own), 60)

    def test_the_core_loads_without_twisted(self):
        code = "import sys, sagetrestle.net.routing.reducer; print('twisted' in sys.modules)"
        got = subprocess.run([sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual("False\n", got.stdout, got.stderr)

    def test_no_module_of_the_core_imports_itself_through_others_not_even_for_types(self):
        modules = {path.stem: path for path in (NET / "routing").glob("*.py") if path.stem != "__init__"}
        imports: dict[str, set[str]] = {}
        for name, path in modules.items():
            found = [
                node
                for node in ast.walk(ast.parse(path.read_text()))
                if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("sagetrestle.net.routing")
            ]
            imports[name] = {
                one
                for node in found
                for one in (
                    [node.module.rpartition(".")[2]] if node.module.count(".") > 2 else [one.name for one in node.names]
                )
            }
        done: set[str] = set()
        while free := {name for name, used in imports.items() if name not in done and used & modules.keys() <= done}:
            done |= free
        self.assertEqual(set(), modules.keys() - done)

    def test_the_modules_of_the_policy_import_nothing_that_does_io(self):
        """The decision modules that the deploy file names, and their types, import pure modules alone."""
        policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
        checked = [*policy, "sagetrestle/interface.py"]
        pure = {"__future__", "collections", "collections.abc", "dataclasses", "enum", "heapq", "math", "typing"}
        pure |= {path.removesuffix(".py").replace("/", ".") for path in checked}
        self.assertTrue(policy)
        for path in checked:
            tree = ast.parse((ROOT / path).read_text())
            for node in ast.walk(tree):
                if isinstance(node, ast.ImportFrom):
                    self.assertIn(node.module, pure, path)
                elif isinstance(node, ast.Import):
                    self.assertLessEqual({alias.name for alias in node.names}, pure, path)


class OutcomesTest(unittest.TestCase):
    """Every end has an outcome, and only a refusal proves that nothing ran."""

    def test_all_ends_are_mapped(self):
        self.assertEqual(set(RunEnd), set(outcomes.RUNS))
        self.assertEqual(set(CallStatus), set(outcomes.CALLS))
        self.assertEqual(set(ConnectionEnd), set(outcomes.CONNECTIONS))

    def test_a_broken_connection_proves_nothing_once_written(self):
        for end in (ConnectionEnd.CLOSED, ConnectionEnd.RESET, ConnectionEnd.MALFORMED):
            self.assertNotIn(outcomes.connection_outcome(end, written=True), NEVER_RAN)
            self.assertIs(Outcome.CONNECT_FAILED, outcomes.connection_outcome(end, written=False))
        self.assertIn(outcomes.connection_outcome(ConnectionEnd.REFUSED, written=True), NEVER_RAN)


class KeyTableTest(unittest.TestCase):
    """What must hold for keys whatever the policy decides about the attempts."""

    def request(self, id, arrived, body=b"same", cls=2):
        request_ref = RequestRef(ConnectionId("thrift", 1), 1)
        return Request(request_ref, id, cls, arrived, 1, body, key="K", subject=None)

    def setUp(self):
        self.table = KeyTable(plan().settings)
        self.first = self.request("a", 0)
        self.table.register(self.first, 0)
        self.table.end_of_turn()
        self.table.retain(self.first, WINDOW_MS * 1000)

    def test_no_other_attempt_may_start_within_the_window_of_the_one_that_ran(self):
        self.table.mark_started(self.first)
        self.assertTrue(self.table.may_start(self.first))
        self.assertFalse(self.table.may_start(self.request("b", WINDOW_MS * 1000)))
        self.assertTrue(self.table.may_start(self.request("c", WINDOW_MS * 1000 + 10_000)))

    def test_keys_that_never_ran_leave_nothing_behind(self):
        """Refused keys used to be kept for 43 s, and as ids and keys are always new the table grew."""
        self.table.finish(self.first, None, 1)
        self.table.forget("a")
        self.table.sweep(1_000_000)
        self.assertEqual(({}, {}, {}), (self.table.results, self.table.keys, self.table.keys_by_id))

    def test_a_forgotten_attempt_that_never_ran_is_not_repeated(self):
        self.assertEqual("a", self.table.register(self.request("b", 5), 5))
        self.table.end_of_turn()
        self.table.forget("a")
        self.assertIsNone(self.table.register(self.request("c", 9), 9))

    def test_an_attempt_that_ran_is_found_though_it_was_forgotten(self):
        self.table.mark_started(self.first)
        self.table.forget("a")
        self.assertEqual("a", self.table.register(self.request("b", 5), 5))

    def test_results_and_keys_go_when_no_repeat_can_come_any_more(self):
        self.table.mark_started(self.first)
        self.table.finish(self.first, b"result", 9)
        self.table.sweep(WINDOW_MS * 1000)
        self.assertEqual(b"result", self.table.result("a").result)
        self.table.sweep(WINDOW_MS * 1000 + 20_000_000)
        self.assertEqual(({}, {}, {}), (self.table.results, self.table.keys, self.table.keys_by_id))


class SharedReadsTest(unittest.TestCase):
    """Reads of one subject share a result where the settings allow it."""

    def setUp(self):
        self.table = KeyTable(replace(plan().settings, fresh_us=500_000))
        self.table.register(self.read("a", 0), 0)
        self.table.end_of_turn()
        self.table.retain(self.read("a", 0), 6_000_000)

    def read(self, id, arrived):
        request_ref = RequestRef(ConnectionId("thrift", 1), 1)
        return Request(request_ref, id, 0, arrived, 1, b"", subject="acct/1")

    def test_a_read_is_shared_while_it_is_under_way_and_while_it_is_fresh(self):
        self.assertEqual("a", self.table.register(self.read("b", 9), 9))
        self.table.end_of_turn()
        self.table.finish(self.read("a", 0), b"found", 1_000_000)
        self.assertEqual(b"found", self.table.result("a").result)
        self.assertEqual("a", self.table.register(self.read("c", 1_400_000), 1_400_000))
        self.table.end_of_turn()
        self.assertIsNone(self.table.register(self.read("d", 1_600_000), 1_600_000))

    def test_a_failed_read_is_not_shared(self):
        self.table.finish(self.read("a", 0), None, 1_000_000)
        self.assertIsNone(self.table.register(self.read("b", 1_000_000), 1_000_000))

    def test_reads_are_not_shared_without_a_fresh_period(self):
        self.table.settings = plan().settings
        self.assertIsNone(self.table.register(self.read("b", 9), 9))


class LedgerPoolTest(unittest.TestCase):
    """A faulty connection to the ledger affects at most its own calls."""

    FIRST, SECOND = b"0" * 15 + b"1", b"0" * 15 + b"2"

    def setUp(self):
        self.reactor, self.inputs = MemoryReactorClock(), []
        self.pool = LedgerPool(self.reactor, self.inputs.append, 2)
        self.pool.use(("127.0.0.1", 1))

    def call(self, id):
        self.pool.call(id.decode(), 50, b"x", False)
        return Wire(self.reactor.tcpClients[-1][2].buildProtocol(None))

    def test_a_late_reply_to_an_abandoned_call_is_not_taken_for_that_of_the_next(self):
        """The second call of one request must never get the reply to its first."""
        old = self.call(self.FIRST)
        self.pool.abandon(self.FIRST.decode())
        new = self.call(self.FIRST)
        old.protocol.dataReceived(b"%s posted 1\r\nz\r\n" % self.FIRST)
        self.assertEqual([], self.inputs)
        new.protocol.dataReceived(b"%s moot\r\n" % self.FIRST)
        self.assertEqual([CallAnswered(self.FIRST.decode(), CallStatus.MOOT, b"")], self.inputs)

    def test_extra_good_replies_are_dropped(self):
        """A reply with an unknown id before, and a duplicate after, the expected reply belong to no call."""
        wire = self.call(self.FIRST)
        wire.protocol.dataReceived(
            b"%s moot\r\n%s posted 1\r\nz\r\n%s posted 1\r\nz\r\n" % (self.SECOND, self.FIRST, self.FIRST)
        )
        self.assertEqual([CallAnswered(self.FIRST.decode(), CallStatus.POSTED, b"z")], self.inputs)

    def test_a_connection_is_used_again_soon_for_another_request_but_no_charge(self):
        """A late duplicate must not answer the request's next call, and a reused connection must not lose a charge."""
        wire = self.call(self.FIRST)
        wire.protocol.dataReceived(b"%s posted 1\r\nz\r\n" % self.FIRST)
        for id, once, wait, opened in (
            (self.SECOND, True, 0, 2),
            (self.FIRST, False, 0, 3),
            (self.SECOND, False, 0, 3),
            (b"4" * 16, False, 1, 4),
        ):
            self.reactor.advance(wait)
            self.pool.call(id.decode(), 50, b"x", once)
            self.assertEqual(opened, len(self.reactor.tcpClients))
            self.pool.abandon(id.decode())

    def test_a_spoilt_reply_cuts_its_connection_at_once_and_no_other(self):
        """The call may have run: noise, a 3 GB reply and a truncated reply all count as a lost connection."""
        for data, end in (
            (b"\0\1noise\r\n", ConnectionEnd.MALFORMED),
            (b"%s posted 3221225472\r\nx" % self.FIRST, ConnectionEnd.TOO_LARGE),
            (b"%s posted 90\r\nshort\r\n" % self.FIRST, ConnectionEnd.TIMED_OUT),
        ):
            with self.subTest(data):
                self.inputs.clear()
                wire, other = self.call(self.FIRST), self.call(self.SECOND)
                wire.protocol.dataReceived(data)
                self.reactor.advance(0.35)
                self.assertEqual([LedgerConnectionLost, CallConnectionLost], [type(one) for one in self.inputs])
                self.assertEqual(CallConnectionLost(self.FIRST.decode(), end, True), self.inputs[1])
                self.assertEqual((False, True), (wire.connected, other.connected))
                self.pool.abandon(self.SECOND.decode())

    def test_calls_over_the_room_and_at_a_closed_address_never_ran(self):
        self.call(self.FIRST), self.call(self.SECOND)
        self.pool.call("3" * 16, 50, b"x", False)
        self.assertEqual([CallConnectionLost("3" * 16, ConnectionEnd.REFUSED, False)], self.inputs)

    def test_after_a_move_new_calls_go_to_the_new_address_and_old_ones_finish(self):
        old = self.call(self.FIRST)
        self.pool.use(("127.0.0.1", 9))
        self.call(self.SECOND)
        self.assertEqual([1, 9], [one[1] for one in self.reactor.tcpClients])
        old.protocol.dataReceived(b"%s moot\r\n" % self.FIRST)
        self.assertEqual([CallAnswered(self.FIRST.decode(), CallStatus.MOOT, b"")], self.inputs)


class ConfigTest(unittest.TestCase):
    """An invalid configuration gives one line that names the field."""

    def setUp(self):
        self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.told = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "kernel": "127.0.0.1:1",
            "roster": "127.0.0.1:2",
            "ledger": "127.0.0.1:3",
            "seed": "ff",
            "stop_ms": 3200,
            "settings": PARAMS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }

    def read(self, scgi=None, **over):
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.told | over))
        if scgi is not None:
            (self.folder / "scgi.toml").write_text(scgi)
        return config.read_config({"ROUTER_CONFIG": str(path)}, self.folder / "scgi.toml")

    def test_a_valid_configuration_without_scgi(self):
        got = self.read()
        self.assertEqual(("n1", 255, 3_200_000, None), (got.name, got.plan.seed, got.plan.stop_us, got.scgi))
        self.assertIsNone(self.read(scgi="# nothing").scgi)
        self.assertEqual(("::1", 4000), self.read(scgi="listen = '[::1]:4000'").scgi.listen)
        self.assertIsNone(config.read_scgi(ROOT / "deploy" / "scgi.toml", "n1"))

    def test_errors_name_the_field(self):
        for limits in (
            None,
            {},
            {"sockets": 384},
            {"sockets": True, "memory_mb": 64},
            {"sockets": 10, "memory_mb": 64},
        ):
            with self.subTest(limits), self.assertRaisesRegex(config.ConfigError, "^limits: "):
                self.read(limits=limits)
        cores = PARAMS | {"extra": PARAMS["extra"] | {"cores": 0}}
        for field, value in (
            ("listen", "x"),
            ("kernel", None),
            ("roster", "127.0.0.1:99999"),
            ("ledger", "a:1"),
            ("stop_ms", 0),
            ("seed", "xyz"),
            ("settings", 3),
            ("name", ""),
        ):
            with self.subTest(field), self.assertRaisesRegex(config.ConfigError, f"^{field}: "):
                self.read(**{field: value})
        with self.assertRaisesRegex(config.ConfigError, "^settings: cores"):
            self.read(settings=cores)
        for text, says in (
            ("listen = 'example.com:1'", "listen"),
            ("listen = '10.0.0.1:1'", "loopback"),
            ("lissen = 1", "lissen"),
            ("[", "scgi.toml"),
            ("listen='127.0.0.1:1'\nheld_kb=0", "held_kb"),
            ("listen='127.0.0.1:1'\ninstance='a.b'", "instance"),
            ("listen='127.0.0.1:1'\ndomain='..'", "domain"),
        ):
            with self.subTest(text), self.assertRaisesRegex(config.ConfigError, says):
                self.read(scgi=text)

    def test_a_site_of_which_no_class_calls_needs_no_ledger(self):
        """The platform of such a site names no ledger; if a class makes calls its absence is an error."""
        del self.told["ledger"]
        with self.assertRaisesRegex(config.ConfigError, "^ledger: missing"):
            self.read()
        extra = PARAMS["extra"]
        for without in ({"below": "silent"}, {"class_calls": [False]}):
            with self.subTest(without):
                got = self.read(settings=PARAMS | {"extra": extra | without})
                self.assertIsNone(got.peers.ledger)
                with self.assertRaisesRegex(config.ConfigError, "^ledger: "):
                    self.read(settings=PARAMS | {"extra": extra | without}, ledger="nowhere")

    def test_fields_that_a_reload_does_not_change_are_named_as_in_the_file(self):
        """A reload changes addresses; other changed fields are logged as needing a restart."""
        old = self.read()
        self.assertEqual((), config.changed_restart_fields(old, self.read(kernel="127.0.0.1:9")))
        limits = {"memory_mb": 64, "sockets": 384}
        self.assertEqual(("stop_ms", "limits"), config.changed_restart_fields(old, self.read(stop_ms=1, limits=limits)))

    def start(self, path):
        env = {**os.environ, "ROUTER_CONFIG": str(path)}
        return subprocess.run(
            [sys.executable, "-B", "-m", "sagetrestle"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=60
        )

    def test_the_process_exits_with_one_line(self):
        got = self.start(self.folder / "none.json")
        self.assertEqual((2, 1), (got.returncode, len(got.stderr.splitlines())), got.stderr)
        self.assertIn("ROUTER_CONFIG", got.stderr)

    def test_an_address_in_use_ends_the_process(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            self.read(listen=f"127.0.0.1:{taken.getsockname()[1]}")
            got = self.start(self.folder / "config.json")
        self.assertEqual(1, got.returncode, got.stderr)
        self.assertIn("can not listen", got.stderr)


class LimitsTest(unittest.TestCase):
    """All bounds are derived from the platform's limits in one place."""

    def test_the_descriptors_are_shared_out_and_front_ends_have_their_half(self):
        """Bounds for 1,024 descriptors let the fronts use all of 384 and left none for calls."""
        for sockets in (384, 512, 1024):
            for scgi in (False, True):
                got = derive_bounds(Limits(sockets, 64.0), scgi, scgi)
                used = sum(got.connections.values()) + got.turned_down + got.calls + 20
                self.assertLessEqual(used + (got.dns if scgi else 0), sockets)
            self.assertGreater(derive_bounds(Limits(sockets, 64.0), False, False).connections["thrift"], sockets / 2)

    def test_results_are_bounded_in_bytes(self):
        table = KeyTable(plan().settings, max_result_bytes=1000)
        for number in range(5):
            one = Request(RequestRef(ConnectionId("thrift", 1), 1), str(number), 2, 0, 1, b"", key=str(number))
            table.retain(one, 10**9)
            table.mark_started(one)
            table.finish(one, b"x" * 400, 0)
        self.assertEqual(["3", "4"], list(table.results))


class ProgramTest(unittest.TestCase):
    """Clock, log and loop."""

    def test_unix_time_is_converted_at_the_edge(self):
        clock = Clock(lambda: 5_000_000_000, lambda: 1_764_576_000_000 * 1_000_000)
        self.assertEqual(5_000_000, clock.read())
        self.assertEqual(5_000_000 - 250_000, clock.from_unix_ms(1_764_576_000_000 - 250))

    def test_the_log_is_bounded_and_says_what_it_left_out(self):
        lines, now = [], [0]
        log = RateLimitedLog(lines.append, lambda: now[0])
        for _ in range(MAX_LINES_PER_S + 7):
            log.line("a\nb")
        now[0] = 1_000_000
        log.line("c")
        self.assertEqual(["a b"] * MAX_LINES_PER_S + ["log: 7 lines left out", "c"], lines)

    def test_a_turn_that_fails_is_noted_and_the_loop_goes_on(self):
        reactor, failed, done = FakeReactor(), [], []
        clock = Clock(lambda: 10**9, lambda: 0)
        loop = TurnLoop(reactor, clock, new_state(plan()), done.append, failed.append)
        loop.post("no input")  # has no handler: the look-up fails, outside all steps
        reactor.advance(0)
        loop.post(Started(BackendAddresses(("::1", 1), ("::1", 2), ("::1", 3))))
        reactor.advance(1)
        self.assertEqual(1, len(failed))
        self.assertTrue(done)

    def test_every_log_line_is_on_the_on_call_page(self):
        page = (ROOT / "docs" / "on-call.md").read_text()
        for path in [*(NET / "routing").glob("*.py"), *(NET / "program").glob("*.py")]:
            for text in re.findall(r'(?:log|line)\(\s*f?"([a-z][^{"]+)', path.read_text()):
                self.assertIn(text.strip(), page, path.name)
