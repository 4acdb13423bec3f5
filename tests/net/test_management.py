"""The management address: parsing, limits, health, and metrics compared with what the peers observed."""

import json
import tempfile
import unittest
from pathlib import Path

from sagetrestle.net.program.config import ConfigError, read_config
from sagetrestle.net.program.limits import MANAGEMENT_SOCKETS, Limits, derive_bounds
from sagetrestle.net.protocol.management import MAX_BODY, MAX_HEADERS, MAX_LINE, CallDecoder, CallError
from sagetrestle.net.routing.inputs import StopRequested
from tests.net.scenario import PARAMS, ScenarioCase

HOST = b"Host: n1\r\n"


def status_of(data: bytes, step: int = 1 << 20) -> int:
    """Feed a call in pieces; return 200 for a complete call, 0 for an incomplete one, else its error status."""
    decoder = CallDecoder()
    try:
        for at in range(0, len(data), step):
            if decoder.feed(data[at : at + step]):
                return 200
    except CallError as error:
        return error.status
    return 0


class DecoderTest(unittest.TestCase):
    """Parsing of calls, in one piece and in single bytes."""

    CASES = (
        (200, b"GET /api/ready HTTP/1.1\r\n" + HOST + b"\r\n"),
        (200, b"GET /api/ready?x=1 HTTP/1.1\r\n" + HOST + b"\r\n"),
        (200, b"GET http://n1/api/ready HTTP/1.1\r\n" + HOST + b"\r\n"),
        (200, b"HEAD /api/ready HTTP/1.1\r\n" + HOST + b"\r\n"),
        (200, b"\r\nGET /api/ready HTTP/1.1\r\n" + HOST + b"\r\n"),  # RFC 9112, 2.2
        (200, b"GET /api/ready HTTP/1.0\r\n\r\n"),
        (200, b"POST /api/evacuate HTTP/1.1\n" + b"Host: n1\n\n"),  # bare LF, RFC 9112, 2.2
        (200, b"POST /api/rejoin HTTP/1.1\r\n" + HOST + b"Content-Length: 4\r\n\r\nbody"),
        (0, b"POST /api/rejoin HTTP/1.1\r\n" + HOST + b"Content-Length: 4\r\n\r\nbod"),
        (0, b"GET /api/ready HTTP/1.1\r\n" + HOST),
        (400, b"GET /api/ready HTTP/1.1\r\n\r\n"),  # no Host
        (400, b"GET /api/ready HTTP/1.1\r\n" + HOST + HOST + b"\r\n"),
        (400, b"GET /api/ready\r\n" + HOST + b"\r\n"),
        (400, b"GET  /api/ready HTTP/1.1\r\n" + HOST + b"\r\n"),
        (400, b"GET /api/ready HTTP/x\r\n" + HOST + b"\r\n"),
        (400, b"GET /api/ready HTTP/1.1\r\nHost n1\r\n\r\n"),
        (400, b"GET /api/ready HTTP/1.1\r\n" + HOST + b" folded: x\r\n\r\n"),
        (400, b"POST /api/rejoin HTTP/1.1\r\n" + HOST + b"Content-Length: -4\r\n\r\n"),
        (400, b"POST /api/rejoin HTTP/1.1\r\n" + HOST + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\n"),
        (400, b"\x16\x03\x01\x02\x00\x01\r\n\r\n"),  # TLS
        (404, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n"),
        (404, b"GET /api/ready/ HTTP/1.1\r\n" + HOST + b"\r\n"),
        (405, b"POST /api/ready HTTP/1.1\r\n" + HOST + b"\r\n"),
        (405, b"GET /api/evacuate HTTP/1.1\r\n" + HOST + b"\r\n"),
        (413, b"POST /api/rejoin HTTP/1.1\r\n" + HOST + b"Content-Length: %d\r\n\r\n" % (MAX_BODY + 1)),
        (414, b"GET /" + b"x" * MAX_LINE),
        (431, b"GET /api/ready HTTP/1.1\r\n" + HOST + b"X: " + b"x" * MAX_HEADERS),
        (431, b"\r\n" * MAX_HEADERS),
        (501, b"POST /api/rejoin HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"),
        (505, b"GET /api/ready HTTP/2.0\r\n" + HOST + b"\r\n"),
    )

    def test_each_call_has_its_status_however_it_is_cut(self):
        for status, data in self.CASES:
            for step in (1 << 20, 1, 7):
                with self.subTest(data=data[:60], step=step):
                    self.assertEqual(status, status_of(data, step))

    def test_a_call_split_at_each_byte_is_read(self):
        data = self.CASES[7][1]
        for at in range(len(data)):
            decoder = CallDecoder()
            self.assertIsNone(decoder.feed(data[:at]))
            self.assertEqual("/api/rejoin", decoder.feed(data[at:]).path)

    def test_a_405_says_what_is_allowed(self):
        with self.assertRaises(CallError) as caught:
            CallDecoder().feed(b"PUT /api/ready HTTP/1.1\r\n" + HOST + b"\r\n")
        self.assertEqual(("GET", "HEAD"), caught.exception.allow)


class ConfigTest(unittest.TestCase):
    """Configuration of the management address."""

    def read(self, told: str | None, **env: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            one = {
                "name": "n1",
                "listen": "127.0.0.1:0",
                "kernel": "127.0.0.1:1",
                "roster": "127.0.0.1:2",
                "ledger": "127.0.0.1:3",
                "stop_ms": 3200,
                "settings": PARAMS,
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 384},
            }
            path.write_text(json.dumps(one | ({} if told is None else {"management": told})))
            return read_config({"ROUTER_CONFIG": str(path), **env}, Path(folder) / "scgi.toml")

    def test_the_environment_goes_first_and_none_is_off(self):
        self.assertEqual(("127.0.0.1", 99), self.read("127.0.0.1:98", ROUTER_MANAGEMENT="127.0.0.1:99").management)
        self.assertEqual(("127.0.0.1", 98), self.read("127.0.0.1:98").management)
        off = self.read(None)
        self.assertEqual((None, False), (off.management, off.plan.managed))

    def test_the_grace_leaves_time_for_a_notice_that_is_heard_late(self):
        self.assertEqual(1_900_000, self.read(None).plan.settings.drain_grace_us)  # of a stop time of 2 s

    def test_an_invalid_setting_names_the_field(self):
        for bad in ("", "nonsense", "127.0.0.1:x", "127.0.0.1:70000"):
            with self.subTest(bad=bad), self.assertRaisesRegex(ConfigError, "^management: "):
                self.read(bad)

    def test_its_connections_are_reserved(self):
        off, on = (derive_bounds(Limits(384, 64.0), scgi=False, dns=False, managed=on) for on in (False, True))
        self.assertEqual(MANAGEMENT_SOCKETS + 1, off.connections["thrift"] - on.connections["thrift"])


class ManagedCase(ScenarioCase):
    """Base of scenarios on a scorer with a management address."""

    managed = True

    def metrics(self) -> dict[str, int]:
        """Return the metrics as read from the management address."""
        self.play("operator send figures GET /api/telemetry")
        text = self.world.actors["operator"].wires.pop("figures").take().decode().partition("\r\n\r\n")[2]
        return {
            line.partition(":")[0].removeprefix("svc."): int(line.split(":")[1].split("|")[0])
            for line in text.splitlines()
        }


class CallsTest(ManagedCase):
    """Clients of the management address and their connections."""

    def test_pieces_two_calls_in_one_head_and_bad_ones(self):
        self.play(r"""
            operator send a raw GET /api/re
            wait 100
            operator expect a nothing
            operator send a raw ady HTTP/1.1\r\nHost: n\r\n\r\nPOST /api/evacuate HTTP/1.1\r\nHost: n\r\n\r\n
            operator expect a 200 Connection:_close ready
            operator expect a closed
            operator send b GET /api/ready
            operator expect b 200 ready
            operator send c PUT /api/ready
            operator expect c 405 Allow:_GET,_HEAD
            operator send d GET /nothing
            operator expect d 404
            operator send e raw nonsense\r\n
            operator expect e 400
            wait 600
            operator expect e closed""")

    def test_head_is_answered_without_its_text(self):
        self.play("operator send a HEAD /api/telemetry")
        data = self.world.actors["operator"].wires["a"].take()
        self.assertTrue(data.startswith(b"HTTP/1.1 200 ") and data.endswith(b"\r\n\r\n"), data)

    def test_a_call_that_is_too_slow_is_told_so(self):
        self.play("""
            operator send a raw GET /api/ready
            wait 1900
            operator expect a nothing
            wait 200
            operator expect a 408
            wait 600
            operator expect a closed""")

    def test_silent_callers_at_the_bound_keep_nobody_out(self):
        silent = [f"s{number}" for number in range(MANAGEMENT_SOCKETS)]
        self.play("\n".join(f"operator send {name} nothing" for name in silent))
        self.play("""
            operator send a GET /api/ready
            operator expect a 200 ready
            operator expect s0 closed
            operator expect s1 nothing""")
        self.assertLessEqual(len(self.world.scorer.management.connections), MANAGEMENT_SOCKETS)


class DrainTest(ManagedCase):
    """Evacuation and rejoin are visible in every health answer."""

    def test_evacuate_and_rejoin_feed_all_answers_and_work_goes_on(self):
        self.play("""
            thrift send a quick-check
            kernel expect SCHED a
            operator send e POST /api/evacuate
            operator expect e 200 evacuated
            platform expect off
            thrift2 send status
            thrift2 expect status bad
            operator send r GET /api/ready
            operator expect r 503 evacuated
            kernel send done a one
            thrift expect a served one
            wait 2500
            thrift2 send b quick-check
            kernel expect SCHED b
            kernel send done b two
            thrift2 expect b served two
            wait 300
            platform expect off
            operator send j POST /api/rejoin
            operator expect j 200 ready
            platform expect on
            thrift2 send status
            thrift2 expect status good
            platform expect running""")

    def test_both_may_be_repeated_and_one_that_never_left_may_rejoin(self):
        self.play("""
            operator send a POST /api/rejoin
            operator expect a 200 ready
            operator send b POST /api/evacuate
            operator expect b 200 evacuated
            operator send c POST /api/evacuate
            operator expect c 200 evacuated
            operator send d POST /api/rejoin
            operator expect d 200 ready
            platform expect on""")

    def test_leaving_ends_an_evacuation_and_can_not_be_taken_back(self):
        self.play("""
            thrift send a quick-check
            kernel expect SCHED a
            operator send e POST /api/evacuate
            operator expect e 200
            platform send TERM
            operator send e2 POST /api/evacuate
            operator expect e2 200 leaving
            operator send j POST /api/rejoin
            operator expect j 409
            operator send r GET /api/ready
            operator expect r 503 leaving
            kernel send done a one
            thrift expect a served one
            thrift close
            wait 2100
            platform expect exit""")

    def test_rejoining_does_not_make_an_unhealthy_scorer_healthy(self):
        """Rejoin must not put a scorer on the roster that the policy reports as unhealthy."""
        state = self.world.scorer.loop.state
        self.play("operator send e POST /api/evacuate")
        state.healthy = False
        self.play("""
            operator send j POST /api/rejoin
            operator expect j 200 slow
            platform expect off
            operator send r GET /api/ready
            operator expect r 503 slow""")

    def test_requests_queued_while_full_is_run_in_its_turn(self):
        self.play("""
            thrift send f1 report-view
            thrift2 send f2 report-view
            kernel expect SCHED f1
            kernel expect SCHED f2
            thrift send a paid-check key=K
            operator send e POST /api/evacuate
            operator expect e 200 evacuated
            kernel send done f1 x
            kernel expect SCHED a
            kernel send done a one
            thrift expect a served one""")

    def test_a_roster_that_can_not_be_told_changes_nothing(self):
        def down(on):
            raise OSError("network unreachable")

        self.world.scorer.roster.report = down
        self.play("""
            operator send e POST /api/evacuate
            operator expect e 200 evacuated
            thrift send status
            thrift expect status bad
            operator send j POST /api/rejoin
            operator expect j 200 ready
            platform expect running""")

    def test_a_reload_keeps_an_evacuation(self):
        self.play("""
            operator send e POST /api/evacuate
            platform send HUP roster=7000
            platform expect off
            operator send r GET /api/ready
            operator expect r 503 evacuated""")


class StartTest(ManagedCase):
    """Behaviour before the kernel is up."""

    def test_it_is_not_ready_and_the_roster_hears_nothing(self):
        state = self.world.scorer.loop.state
        state.policy, reports = None, len(self.world.reports)
        self.play("""
            operator send r GET /api/ready
            operator expect r 503 starting
            thrift send status
            thrift expect status bad
            wait 600""")
        self.assertEqual(reports, len(self.world.reports))


class FiguresTest(ManagedCase):
    """Metrics compared with what the peers observed."""

    def test_every_class_is_there_from_the_start(self):
        self.assertEqual(
            {
                f"{outcome}.{name}": 0
                for name in ("report-view", "quick-check", "paid-check")
                for outcome in ("served", "refused", "failed")
            }
            | {"attempts": 0, "in_flight": 0},
            self.metrics(),
        )

    def test_each_request_is_counted_once_over_breaks_repeats_and_both_fronts(self):
        self.play("""
            thrift send a paid-check key=K body=same
            kernel expect SCHED a
            scgi send s quick-check
            kernel expect SCHED s
            kernel close
            kernel expect PREEMPT a
            kernel expect SCHED s
            thrift2 send b paid-check key=K body=same retry=1
            kernel expect nothing""")
        got = self.metrics()
        self.assertEqual((2, 3), (got["attempts"], got["in_flight"]))
        self.play("""
            kernel expect PREEMPT a
            kernel expect nothing
            kernel send done a result
            thrift expect a served result
            thrift2 expect b served result
            kernel send crashed s
            scgi expect s 502
            thrift send w report-view
            kernel expect SCHED w
            thrift send withdraw w
            thrift send o quick-check age=4000
            thrift expect o failed""")
        got = self.metrics()
        self.assertEqual((2, 0, 0), tuple(got[f"{one}.paid-check"] for one in ("served", "refused", "failed")))
        self.assertEqual((0, 0, 2), tuple(got[f"{one}.quick-check"] for one in ("served", "refused", "failed")))
        self.assertEqual((0, 0, 0), tuple(got[f"{one}.report-view"] for one in ("served", "refused", "failed")))
        self.assertEqual((3, 0), (got["attempts"], got["in_flight"]))

    def test_a_refusal_and_a_reset_are_told_apart(self):
        self.play("""
            thrift send a report-view
            thrift send b report-view
            kernel expect SCHED a
            kernel expect SCHED b
            thrift2 send c quick-check age=850
            wait 100
            thrift2 expect c refused
            thrift close""")
        got = self.metrics()
        self.assertEqual((1, 0), (got["refused.quick-check"], got["in_flight"]))

    def test_requests_failed_by_the_exit_are_counted(self):
        self.play("""
            thrift send a quick-check
            kernel expect SCHED a""")
        state = self.world.scorer.loop.state
        self.world.scorer.loop.post(StopRequested())
        self.play("wait 3200")
        self.assertEqual([0, 0, 1], state.metrics.ends[1])
