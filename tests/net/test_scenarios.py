"""Scenarios of a whole scorer with in-memory sockets."""

from dataclasses import replace
from unittest import mock

from sagetrestle.handover.messages import KeyName, KeyRecord
from sagetrestle.interface import StopRun
from sagetrestle.net.routing import access_control
from sagetrestle.net.routing.actions import apply_action
from sagetrestle.net.routing.idempotency import body_digest
from sagetrestle.net.routing.inputs import RequestRead
from sagetrestle.net.routing.turn import Turn
from tests.net.scenario import EXTRA, PARAMS, ScenarioCase, Wire, call_id

FILL = """
thrift send f1 report-view
thrift2 send f2 report-view
kernel expect SCHED f1
kernel expect SCHED f2
"""  # occupies both cores, so the next request is queued
ONE_PAUSED = (
    FILL
    + """
scgi send a report-view caller=other
wait 400
kernel expect PREEMPT f1
kernel expect PREEMPT f2
kernel send aborted f1
kernel expect SCHED a
"""
)  # the slices of both are over, one of them is paused


class ServingTest(ScenarioCase):
    """Requests, their calls and their outcomes over Thrift."""

    def test_a_request_is_run_and_served_unchanged(self):
        self.play("""
            thrift send a quick-check body=payload
            kernel expect SCHED a payload
            kernel send done a result
            thrift expect a served result
            wait 100
            thrift expect nothing a
            kernel expect nothing""")

    def test_a_crashed_run_fails(self):
        self.play("""
            thrift send a quick-check
            kernel expect SCHED a
            kernel send crashed a
            thrift expect a failed""")

    def test_a_call_is_made_and_its_reply_handed_on_unchanged(self):
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel send IOREQ a question
            ledger expect post a question
            ledger send posted a reply
            kernel expect IODONE a reply
            kernel send done a result
            thrift expect a served result""")

    def test_a_full_ledger_is_asked_again_and_an_error_of_a_charge_fails(self):
        self.play("""
            thrift send a paid-check key=K
            kernel expect SCHED a
            kernel send IOREQ a question
            ledger expect post a question
            ledger send queue_full a
            wait 100
            ledger expect post a question
            ledger send error a
            thrift expect a failed""")

    def test_a_refused_connection_proves_nothing_ran_so_a_charge_is_posted_again(self):
        self.play("""
            thrift send a paid-check key=K
            kernel expect SCHED a
            kernel send IOREQ a question
            ledger close refused
            wait 100
            ledger expect post a question
            ledger send posted a reply
            kernel expect IODONE a reply""")

    def test_a_broken_connection_proves_nothing_so_a_charge_fails(self):
        self.play("""
            thrift send a paid-check key=K
            kernel expect SCHED a
            kernel send IOREQ a question
            ledger expect post a question
            ledger close
            thrift expect a failed""")

    def test_a_withdrawn_call_is_abandoned_and_nothing_is_answered(self):
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel send IOREQ a question
            ledger expect post a question
            thrift send withdraw a
            ledger expect abandon a
            kernel send aborted a
            wait 100
            thrift expect nothing a""")
        self.assertEqual({}, self.world.scorer.loop.state.entries)

    def test_an_abort_that_outruns_the_withdrawal_leaves_nothing_behind(self):
        """The kernel learns of the caller's leaving first; without a ``Gone`` event the policy would wait forever."""
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel send aborted a
            thrift send withdraw a""")
        self.assertEqual({}, self.world.scorer.loop.state.entries)
        self.assertEqual({}, self.world.scorer.loop.state.policy.requests)

    def test_the_deadline_counts_from_s(self):
        self.play(
            FILL
            + """
            thrift send a quick-check age=850
            wait 100
            thrift expect a refused
            thrift send b paid-check key=K age=9250
            wait 60
            thrift expect b refused"""
        )

    # Guards against "never ran" for a charge that may have run, as its next attempt is turned away under load.
    def test_a_charge_in_doubt_is_not_refused_but_fails(self):
        name, now = KeyName("paid-check", "", "K"), self.world.scorer.loop.now
        doubt = KeyRecord(name, body_digest(b"charge"), "first", now, now + 20_000_000)
        self.world.scorer.loop.state.keys.adopt_doubt(doubt)
        self.play(
            FILL
            + """
            thrift send a paid-check key=K body=charge age=9250
            thrift send b paid-check key=L body=charge age=9250
            wait 60
            thrift expect a failed
            thrift expect b refused"""
        )

    def test_a_running_charge_fails_at_its_deadline_and_is_stopped(self):
        self.play("""
            thrift send a paid-check key=K
            kernel expect SCHED a
            wait 9300
            thrift expect a failed
            kernel expect PREEMPT a
            kernel send aborted a""")

    def test_health_checks_and_bad_input_and_the_process_goes_on(self):
        self.play("""
            thrift send status
            thrift expect status good
            thrift send x quick-check method=sing
            thrift expect x exception
            thrift send y no-such-class
            thrift expect y exception
            thrift send raw 7fffffff00
            thrift expect closed
            platform expect log input over its bound
            thrift2 send raw 0000000401020304
            thrift2 expect closed
            platform expect log malformed input
            platform expect running""")

    def test_idle_connections_are_told_leaving_before_the_close(self):
        self.play("""
            thrift send status
            wait 30100
            thrift expect leaving
            wait 1300
            thrift expect closed""")

    def test_requests_lost_in_a_failed_turn_fail_at_their_deadline(self):
        self.play("thrift send a quick-check\n kernel expect SCHED a")
        self.world.scorer.loop.state.policy.requests.clear()
        self.world.scorer.loop.state.policy.answer_queue.clear()
        self.play("""
            wait 2700
            thrift expect nothing a
            wait 250
            thrift expect a failed
            platform expect log left unanswered""")

    def test_a_kernel_that_answers_no_gauges_is_asked_once(self):
        wire, self.world.kernel.pump = self.world.kernel.wire, lambda: None
        self.play("wait 1000")
        self.assertEqual(1, wire.value().count(b"SYSINFO"))

    def test_a_stamp_ahead_of_the_clock_stretches_no_window(self):
        self.play("""
            thrift send a paid-check key=K age=-900
            kernel expect SCHED a
            kernel send done a result
            thrift expect a served result
            wait 28000
            thrift send b paid-check key=K body=a
            kernel expect SCHED b""")


class CallerTimeoutTest(ScenarioCase):
    """Requests that tell how long their caller waits: each gets its answer within that time, whatever it is doing."""

    RUN = "thrift send a {} timeout=400\n kernel expect SCHED a\n"
    AT_A_CALL = RUN + "kernel send IOREQ a question\n ledger expect post a question\n"

    def assert_answered_at_the_timeout(self, answer, name="a", peer="thrift"):
        """Expect the answer at the end of a timeout of 400 ms, which began with the last request sent."""
        begun_ms = self.world.actors[peer].sent_at_ms[name]
        self.world.wait(begun_ms + 380 - self.world.now_ms())
        self.play(f"{peer} expect nothing {name}")
        self.world.wait(begun_ms + 404 - self.world.now_ms())
        self.play(f"{peer} expect {name} {answer}")

    # Guards against a request that is not answered before its caller stops waiting, as only its class's limit counts.
    def test_a_running_request_fails_when_its_caller_stops_waiting(self):
        for request in ("report-view", "quick-check", "paid-check key=K"):
            with self.subTest(request):
                self.setUp()
                self.play(self.RUN.format(request))
                self.assert_answered_at_the_timeout("failed")

    def test_a_request_at_a_call_fails_when_its_caller_stops_waiting(self):
        for request in ("report-view", "paid-check key=K"):
            with self.subTest(request):
                self.setUp()
                self.play(self.AT_A_CALL.format(request))
                self.assert_answered_at_the_timeout("failed")
                self.play("ledger expect abandon a")

    def test_a_queued_request_is_refused_before_its_caller_stops_waiting(self):
        for request in ("report-view", "paid-check key=K"):
            with self.subTest(request):
                self.setUp()
                self.play(
                    FILL
                    + f"""
                    thrift send a {request} timeout=400
                    wait 396
                    thrift expect a refused
                    kernel expect nothing"""
                )

    def test_a_repeat_that_waits_for_another_attempt_has_a_timeout_of_its_own(self):
        self.play("""
            thrift send first paid-check key=K body=same timeout=5000
            kernel expect SCHED first
            thrift2 send a paid-check key=K body=same retry=1 timeout=400""")
        self.assert_answered_at_the_timeout("failed", peer="thrift2")
        self.play("""
            kernel send done first result
            thrift expect first served result""")

    def test_a_charge_that_failed_at_its_timeout_is_not_run_again(self):
        self.play(self.RUN.format("paid-check key=K body=same"))
        self.assert_answered_at_the_timeout("failed")
        self.play("""
            kernel expect PREEMPT a
            kernel send aborted a
            thrift send b paid-check key=K body=same retry=1 timeout=4000
            wait 4000
            thrift expect b failed
            kernel expect nothing""")

    def test_a_request_read_after_its_caller_stopped_waiting_fails_at_once(self):
        self.play("""
            thrift send a paid-check key=K age=410 timeout=400
            thrift expect a failed
            thrift send b quick-check timeout=0
            thrift expect b failed
            kernel expect nothing""")

    def test_a_longer_timeout_than_the_deadline_of_the_class_changes_nothing(self):
        self.play("""
            thrift send a paid-check key=K timeout=999999999999999
            kernel expect SCHED a
            wait 9200
            thrift expect nothing a
            wait 100
            thrift expect a failed""")

    def test_a_request_lost_in_a_failed_turn_fails_at_its_timeout(self):
        self.play(self.RUN.format("quick-check"))
        self.world.scorer.loop.state.policy.requests.clear()
        self.world.scorer.loop.state.policy.answer_queue.clear()
        self.play("""
            wait 510
            thrift expect a failed
            platform expect log left unanswered""")


class BadClientTest(ScenarioCase):
    """Faulty clients promptly get an error, a refusal or a close, at little cost to other clients."""

    def test_a_connection_that_says_nothing_is_closed_within_three_seconds(self):
        """When only the idle limit closed silent connections, hundreds of them could use up all descriptors."""
        self.world.actors["thrift"].wire.take()
        self.play("""
            wait 1400
            thrift2 send status
            wait 600
            thrift expect closed
            thrift2 expect status good
            wait 1500
            thrift2 send a quick-check
            kernel expect SCHED a""")

    # Guards against other front ends that wait, as one connection under ever new names is served as many front ends.
    def test_a_connection_under_many_names_counts_as_one_front_end(self):
        self.play(
            FILL
            + """
            thrift send a report-view front=5
            thrift send b report-view front=6
            thrift2 send c report-view front=7"""
        )
        requests = [entry.request for entry in self.world.scorer.loop.state.entries.values()]
        self.assertEqual({1}, {access_control.fairness_caller(request) for request in requests})
        self.assertEqual({1, 5, 6, 7}, {request.caller for request in requests})  # as objectives name them

    # Guards against an effect that happens twice, as a client comes again under its id after it has left.
    def test_an_id_that_ran_without_a_key_does_not_run_again_after_its_client_left(self):
        self.play("""
            thrift send a paid-check
            kernel expect SCHED a
            thrift close
            wait 20
            thrift2 send again paid-check id=0000000000000061
            thrift2 expect again failed
            kernel send done a result
            thrift2 send later paid-check id=0000000000000061
            thrift2 expect later failed
            kernel expect nothing
            platform expect log its id came before""")

    def test_half_a_request_has_a_time_limit_however_slowly_it_goes_on(self):
        self.play("""
            thrift send status
            thrift send raw 0000
            scgi send a report-view raw=20
            wait 1200
            thrift send raw 00
            wait 900
            thrift expect closed
            platform expect log stopped in its middle""")
        self.assertFalse(self.world.actors["scgi"].wires["a"].connected)

    def test_a_request_number_that_comes_again_closes_its_connection(self):
        """Two requests with the same number cannot both be answered, even if the first one was."""
        self.play("""
            thrift send a quick-check
            kernel expect SCHED a
            thrift send b quick-check number=1
            thrift expect closed
            kernel expect PREEMPT a
            kernel send aborted a
            thrift2 send c quick-check
            kernel expect SCHED c
            kernel send done c result
            thrift2 expect c served result
            thrift2 send d quick-check number=1
            thrift2 expect closed
            kernel expect nothing""")

    def test_the_id_of_an_open_request_fails_and_leaves_that_request_alone(self):
        self.play("""
            thrift send a quick-check
            kernel expect SCHED a
            thrift2 send b quick-check id=0000000000000061
            thrift2 expect b failed
            kernel send done a result
            thrift expect a served result""")

    # Guards against a charge that is served with the result of another request, as a caller used an id again.
    def test_the_id_of_an_ended_charge_fails_under_another_key_or_none(self):
        self.play(f"""
            thrift send a paid-check key=A body=first id={call_id("x")}
            kernel expect SCHED x first
            kernel send done x result-a
            thrift expect a served result-a
            thrift2 send b paid-check key=B body=second id={call_id("x")}
            thrift2 expect b failed
            thrift2 send c quick-check id={call_id("x")}
            wait 200
            thrift2 expect c failed
            thrift send d paid-check key=A body=first retry=1
            thrift expect d served result-a
            thrift send e paid-check key=A body=first retry=1 id={call_id("x")}
            thrift expect e served result-a
            kernel expect nothing""")

    def test_a_stamp_ahead_of_the_clock_or_from_long_ago_fails_and_teaches_nothing(self):
        """A stamp of 1970 was taken for 56 years of waiting unread, so the policy left the roster."""
        self.play("""
            thrift send a quick-check age=-60000
            thrift expect a failed
            thrift2 send b quick-check age=100000000
            thrift2 expect b failed
            kernel expect nothing""")
        self.assertEqual(0.0, self.world.scorer.loop.state.policy.unread_wait_us)

    def test_an_id_unknown_to_the_kernel_fails_and_its_key_counts_as_never_run(self):
        self.play("""
            thrift send a paid-check key=K body=same
            kernel expect SCHED a
            kernel send EINVAL a SCHED
            thrift expect a failed
            thrift2 send b paid-check key=K body=same
            kernel expect SCHED b""")

    def test_more_requests_than_a_front_end_sends_close_the_connection(self):
        for number in range(33):
            self.world.actors["thrift"].send(f"r{number}", "report-view")
        self.play("wait 200\n thrift expect closed")
        self.assertEqual({}, self.world.scorer.loop.state.ids_by_ref)

    def test_a_flood_is_read_a_little_at_a_time_and_others_are_served_meanwhile(self):
        """All messages of one read, up to 64 KiB, used to be processed in one turn."""
        flood = self.world.actors["thrift"]
        sent = [flood._request(f"x{at}", "no-such-class") for at in range(300)]
        flood.wire.protocol.dataReceived(b"".join(sent))
        self.play("""
            thrift2 send a quick-check
            kernel expect SCHED a
            kernel send done a result
            thrift2 expect a served result
            wait 1000""")
        answers = flood.wire.value().count(b"names no class")
        self.assertGreater(answers, 8)
        self.assertLess(answers, 30)
        self.assertEqual("paused", flood.wire.producerState)

    def test_in_a_full_front_what_never_sent_a_request_makes_room(self):
        front = self.world.scorer.fronts["thrift"]
        self.play("thrift send status\n thrift expect status good")
        silent = [self.world.connect("thrift") for _ in range(front.max_connections - 1)]
        self.world.settle()
        self.play("thrift2 send a quick-check\n kernel expect SCHED a\n thrift send status")
        self.assertFalse(silent[0].connected)
        self.assertTrue(silent[-1].connected)

    def test_in_a_full_front_the_idle_connection_used_longest_ago_makes_room(self):
        """Clients that sent one request and stayed connected filled the front, and new clients lost their requests."""
        state = self.world.scorer.loop.state
        state.plan = replace(state.plan, bounds=state.plan.bounds._replace(connections={"thrift": 8}))
        self.play("thrift send status\n wait 50\n thrift2 send status")
        status = self.world.actors["thrift2"].wire
        others = [self.world.connect("thrift") for _ in range(4)]
        self.world.settle()
        for one in state.connections.values():
            one.validated = True
        self.play("wait 250")
        self.world.connect("thrift")
        self.world.settle()
        self.play("thrift expect leaving")
        self.assertTrue(self.world.actors["thrift"].wire.connected)  # a request may be in transit on it
        self.play("wait 1300\n thrift expect closed")
        self.assertTrue(status.connected and all(one.connected for one in others))

    def test_what_makes_room_keeps_its_connection_if_its_request_was_read_in_the_same_turn(self):
        """When the connection was closed at once, a request already read from it was run and its answer lost."""
        state = self.world.scorer.loop.state
        state.plan = replace(state.plan, bounds=state.plan.bounds._replace(connections={"thrift": 1}))
        self.world.actors["thrift"].wire.take()
        self.world.settle()
        self.world.connect("thrift")
        self.world.actors["thrift"].send("a", "quick-check")
        self.play("""
            wait 4
            kernel expect SCHED a
            kernel send done a result
            thrift expect a served result""")

    def test_over_its_room_a_front_takes_no_connection_at_all(self):
        """When excess connections were accepted and then closed, each of a burst held a descriptor for a while."""
        front = self.world.scorer.fronts["thrift"]
        taken = [self.world.connect("thrift") for _ in range(front.max_connections)]
        self.assertFalse(self.world.connect("thrift").connected)
        self.assertEqual(front.max_connections, len(front.connections))
        self.assertTrue(taken[-1].connected)

    def test_no_more_requests_are_held_than_there_is_memory_for(self):
        """A request states its own memory use; the number of requests is bounded by the platform's memory limit."""
        state = self.world.scorer.loop.state
        state.plan = replace(state.plan, bounds=state.plan.bounds._replace(requests=2))
        self.play(
            FILL
            + """
            thrift send a quick-check
            thrift expect a refused
            kernel expect nothing"""
        )


class PauseTest(ScenarioCase):
    """A slice ends with a pause, which the kernel confirms."""

    def test_a_paused_run_is_resumed_and_served(self):
        self.play(
            ONE_PAUSED
            + """
            kernel send done a result
            scgi expect a 200 result
            kernel expect RESCHED f1
            kernel send done f1 first
            thrift expect f1 served first"""
        )


class KernelLinkTest(ScenarioCase):
    """When the kernel link breaks, runs continue and nothing runs twice."""

    def stop_run(self, name):
        """Have a run paused, as the policy does for work that is more urgent."""
        turn = Turn(self.world.scorer.loop.state, self.world.scorer.loop.now)
        apply_action(turn, StopRun(call_id(name)))
        self.world.scorer.perform(*turn.effects)
        self.world.settle()

    def test_a_new_link_tells_the_last_notice_and_drops_what_was_seen(self):
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel send IOREQ a question
            ledger expect post a question
            kernel close
            kernel expect OPEN 1
            kernel send IOREQ a again
            ledger send posted a reply
            kernel expect IODONE a reply
            kernel send done a result
            thrift expect a served result""")

    def test_commands_that_may_be_lost_are_resent_and_their_rejection_is_harmless(self):
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel close
            kernel expect SCHED a
            kernel send EINVAL a SCHED
            platform expect log kernel rejected SCHED
            kernel send done a result
            thrift expect a served result""")

    def test_the_rejection_of_a_resent_command_may_come_after_a_notice(self):
        """A notice in between cleared the list of resent commands, so the rejection failed a request that still ran."""
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel close
            kernel expect SCHED a
            kernel send IOREQ a question
            kernel send EINVAL a SCHED
            ledger expect post a question
            ledger send posted a reply
            kernel expect IODONE a reply
            kernel send done a result
            thrift expect a served result""")

    # Guards against a run that gets the reply to another call, as it went on before the reply was written again.
    def test_a_reply_that_may_have_arrived_is_not_sent_again(self):
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel send IOREQ a question
            ledger expect post a question
            ledger send posted a reply
            kernel expect IODONE a reply
            kernel close
            kernel expect PREEMPT a
            kernel expect nothing
            kernel send IOREQ a second
            ledger expect post a second
            ledger send posted a other
            kernel expect IODONE a other
            kernel send done a result
            thrift expect a served result""")

    def test_a_reply_that_came_while_the_link_was_down_is_sent_once(self):
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel send IOREQ a question
            ledger expect post a question
            kernel drop
            ledger send posted a reply
            wait 30
            kernel next
            kernel expect IODONE a reply
            kernel close
            kernel expect PREEMPT a
            kernel expect nothing
            kernel send done a result
            thrift expect a served result""")

    # Guards against a charge that runs twice, as its first run ended before the start was written again.
    def test_the_start_of_a_charge_that_may_have_arrived_is_not_sent_again(self):
        for front in ("thrift", "scgi"):
            self.play(f"""
                {front} send {front}-a paid-check key={front}
                kernel expect SCHED {front}-a
                kernel close
                kernel expect PREEMPT {front}-a
                kernel expect nothing
                kernel close
                kernel expect PREEMPT {front}-a
                kernel expect nothing
                kernel send done {front}-a result
                {front} expect {front}-a {"200" if front == "scgi" else "served"} result""")

    # Guards against a lost start that holds a core until the deadline, and against a run that is taken for ended.
    def test_a_charge_whose_start_may_be_lost_frees_its_core_once_a_pause_finds_it_on_none(self):
        self.play("""
            thrift send a paid-check key=k timeout=900
            kernel expect SCHED a
            thrift2 send b paid-check key=l timeout=900
            kernel expect SCHED b
            kernel close
            kernel expect PREEMPT a
            kernel expect PREEMPT b
            kernel send aborted b
            kernel expect RESCHED b
            thrift send c quick-check
            kernel expect SCHED c""")
        on_cores = self.world.scorer.loop.state.policy.on_cores
        self.assertEqual({call_id("b"), call_id("c")}, set(on_cores))
        used_kb = self.world.scorer.loop.state.policy.memory_kb
        self.play("""
            kernel send done c result
            thrift expect c served result
            kernel send done b result
            thrift2 expect b served result""")
        self.assertGreater(used_kb, 4 * 24.5)  # the run of a may go on
        self.assertEqual(4 * 24.5, self.world.scorer.loop.state.policy.memory_kb)
        self.play("wait 1000\n thrift expect a failed")
        commands = [got["msg"] for got in self.world.kernel.commands]
        self.assertEqual({"PREEMPT"}, set(commands))
        self.world.kernel.commands.clear()
        self.play("wait 1000")
        commands = [got["msg"] for got in self.world.kernel.commands]
        self.assertEqual(1, commands.count("SCHED"))
        self.play("kernel send stale a")
        self.assertEqual({}, self.world.scorer.loop.state.entries)
        self.assertEqual(0.0, self.world.scorer.loop.state.policy.memory_kb)

    # Guards against a core that is given away while its run is only out of sight: pauses go on until it is reported.
    def test_a_run_in_doubt_that_comes_back_from_its_disk_is_paused_and_goes_on_in_its_turn(self):
        self.play("""
            thrift send a paid-check key=k
            kernel expect SCHED a
            kernel close
            kernel expect PREEMPT a
            wait 100
            kernel expect PREEMPT a
            kernel send aborted a
            kernel expect RESCHED a
            kernel send IOREQ a question
            ledger expect post a question
            ledger send posted a reply
            kernel expect IODONE a reply
            kernel send done a result
            thrift expect a served result
            kernel expect nothing""")

    # Guards against a run that stays paused until its deadline, as its resume was lost and a pause was sent behind it.
    def test_a_resume_that_may_be_lost_behind_which_a_pause_was_sent_is_repeated_before_another_pause(self):
        self.play(ONE_PAUSED)
        self.world.kernel.answers_gauges = False
        self.play("""
            kernel send done a result
            kernel expect RESCHED f1""")
        self.stop_run("f1")
        self.play("""
            kernel expect PREEMPT f1
            kernel close
            kernel answer gauges
            kernel expect PREEMPT f1
            kernel expect PREEMPT f2
            kernel expect nothing
            kernel answer gauges
            wait 100
            kernel expect RESCHED f1
            kernel expect PREEMPT f1
            kernel expect nothing
            kernel send aborted f1
            kernel expect RESCHED f1""")

    # Guards against a run that is on a core again after its pause, as its start was repeated behind the pause.
    def test_a_start_that_may_be_lost_is_not_repeated_if_a_pause_was_sent_behind_it(self):
        self.world.kernel.answers_gauges = False
        self.play("""
            thrift send a report-view
            kernel expect SCHED a""")
        self.stop_run("a")
        self.play("""
            kernel expect PREEMPT a
            kernel close
            kernel answer gauges
            kernel expect PREEMPT a
            kernel expect nothing
            platform expect log 1 runs in doubt""")

    # Guards against a second run that nobody counts: the first ended before the repeated start reached the kernel.
    def test_a_repeated_start_behind_the_end_of_its_run_keeps_the_core_in_use_until_no_run_is_left(self):
        self.world.kernel.answers_gauges = False
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel close
            kernel answer gauges
            kernel expect SCHED a
            kernel send done a result
            thrift expect a served result
            kernel expect PREEMPT a""")
        policy = self.world.scorer.loop.state.policy
        self.assertEqual({call_id("a")}, set(policy.on_cores))
        self.world.kernel.answers_gauges = True
        self.play("kernel answer gauges\n wait 1500")
        self.assertEqual({call_id("a")}, set(policy.in_doubt))
        commands = [got["msg"] for got in self.world.kernel.commands]
        self.assertEqual(1, commands.count("SCHED"))
        self.assertEqual({"SCHED", "PREEMPT"}, set(commands))
        self.play("kernel send stale a")
        self.assertEqual(({}, 0.0), (self.world.scorer.loop.state.entries, policy.memory_kb))

    # Guards against a run that is resumed behind its pause, as both commands were written again in their order.
    def test_a_resume_that_may_have_arrived_is_not_sent_again_behind_its_pause(self):
        self.play(
            ONE_PAUSED
            + """
            scgi send b report-view caller=third
            wait 400
            kernel send done a result
            kernel expect RESCHED f1
            wait 1000
            kernel expect PREEMPT f1
            kernel close
            kernel expect PREEMPT f1
            kernel expect PREEMPT f2
            kernel expect nothing"""
        )

    def test_a_rejected_start_fails_its_request_and_is_logged(self):
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel send EINVAL a SCHED
            thrift expect a failed
            platform expect log kernel rejected SCHED""")

    # Guards against a run that is taken for ended as one of its commands was rejected, and goes on uncounted.
    def test_a_run_whose_reply_was_rejected_keeps_its_memory_until_the_kernel_reports_its_end(self):
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel send IOREQ a question
            ledger expect post a question
            ledger send posted a reply
            kernel expect IODONE a reply
            kernel send EINVAL a IODONE
            thrift expect a failed""")
        policy = self.world.scorer.loop.state.policy
        self.assertEqual(4 * 24.5, policy.memory_kb)
        self.play("wait 1500\n kernel send stale a")
        self.assertIn("SCHED", [got["msg"] for got in self.world.kernel.commands])
        self.assertEqual(({}, 0.0), (self.world.scorer.loop.state.entries, policy.memory_kb))

    def test_a_link_that_can_not_be_read_is_set_up_anew(self):
        self.play("""
            kernel send raw
            platform expect log kernel link lost
            wait 50""")
        self.assertGreaterEqual(len(self.world.reactor.tcpClients), 2)

    def test_timers_do_not_wait_for_gauges(self):
        self.world.kernel.boots = False
        self.play("kernel close")
        self.play("""
            thrift send a quick-check age=700
            wait 300
            thrift expect a failed""")


class NoPauseTest(ScenarioCase):
    """A site whose runs can only be aborted, so that nothing asks after a run in doubt until its request is over."""

    params = {**PARAMS, "extra": {**EXTRA, "halt": "abort"}}

    # Guards against a core that is given away, or a charge that is aborted, where no pause can ask after its run.
    def test_a_charge_whose_start_may_be_lost_keeps_its_core_and_is_not_stopped(self):
        self.play("""
            thrift send a paid-check key=k timeout=900
            kernel expect SCHED a
            kernel close
            wait 500
            kernel expect nothing""")
        policy = self.world.scorer.loop.state.policy
        self.assertEqual([call_id("a")], list(policy.on_cores))
        self.play("wait 600\n thrift expect a failed\n wait 1200")
        commands = [got["msg"] for got in self.world.kernel.commands]
        self.assertEqual(["PREEMPT", "SCHED"], commands)  # once its request is over, it may be stopped
        self.assertEqual(([], 4 * 24.5), (list(policy.on_cores), policy.memory_kb))
        self.play("kernel send stale a")
        self.assertEqual(({}, 0.0), (self.world.scorer.loop.state.entries, policy.memory_kb))


class SkippedCallTest(ScenarioCase):
    """A class whose calls may be left out, which the kernel has no command for."""

    params = {**PARAMS, "extra": {**EXTRA, "class_skip_worth": [0.5, 0.0, 0.0]}}

    # Guards against memory that is given to other work while the run still stands at its call.
    def test_a_run_whose_call_is_left_out_keeps_its_memory_until_the_kernel_ends_it(self):
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel send IOREQ a question""")
        for _ in range(4):  # attempts at a call
            self.play("""
                ledger expect post a question
                ledger send error a
                wait 150""")
        self.play("""
            platform expect log it can not go on without its call
            thrift expect a failed""")
        policy = self.world.scorer.loop.state.policy
        self.assertEqual(4 * 24.5, policy.memory_kb)
        self.play("kernel send aborted a")
        self.assertEqual(({}, 0.0), (self.world.scorer.loop.state.entries, policy.memory_kb))


class ReloadTest(ScenarioCase):
    """A reloaded configuration changes addresses under load and during calls and runs."""

    def test_the_kernel_link_moves_with_its_last_serial_and_in_doubt_commands_go_again(self):
        """An unhandled SIGHUP ends the process; a lost command would leave its request without a run."""
        self.play("""
            thrift send a report-view
            kernel expect SCHED a
            kernel send IOREQ a question
            ledger expect post a question
            thrift send b report-view
            kernel expect SCHED b
            platform send HUP kernel=77
            kernel next
            kernel expect OPEN 1
            kernel expect SCHED b
            ledger send posted a reply
            kernel expect IODONE a reply
            kernel send done a result
            thrift expect a served result
            platform expect log moved: kernel""")
        self.assertEqual(77, [one[1] for one in self.world.reactor.tcpClients if one[1]][0])

    def test_the_end_of_the_link_that_was_left_does_not_end_the_new_one(self):
        """The old kernel address closes its connections 1.5 s later."""
        old = self.world.kernel.wire
        self.play("platform send HUP kernel=77\n kernel next")
        self.assertFalse(old.connected)
        self.play("""
            wait 600
            thrift send a quick-check
            kernel expect SCHED a""")

    def test_calls_and_reports_go_to_the_new_addresses_at_once(self):
        self.play("""
            platform send HUP ledger=78 roster=79
            thrift send a report-view
            kernel expect SCHED a
            kernel send IOREQ a question
            ledger expect at 78
            platform expect log moved: ledger, roster""")
        self.assertEqual(("127.0.0.1", 79), self.world.roster_at[-1])

    def test_a_file_that_can_not_be_used_changes_nothing(self):
        self.play("""
            platform send HUP
            platform expect log the old one holds: kernel
            thrift send a quick-check
            kernel expect SCHED a
            platform expect running""")


class KeyTest(ScenarioCase):
    """One key used over both fronts runs at most once."""

    def test_thrift_then_scgi_while_queued(self):
        self.play(
            FILL
            + """
            thrift send a paid-check key=K body=same
            scgi send b paid-check key=K body=same
            thrift expect a refused
            kernel send done f1
            kernel expect SCHED b same
            kernel send done b result
            scgi expect b 200 result
            kernel expect nothing"""
        )

    def test_scgi_then_thrift_while_queued(self):
        self.play(
            FILL
            + """
            scgi send a paid-check key=K body=same
            thrift send b paid-check key=K body=same
            scgi expect a 503 Retry-After
            kernel send done f1
            kernel expect SCHED b same
            kernel send done b result
            thrift expect b served result
            kernel expect nothing"""
        )

    def test_thrift_then_scgi_while_running(self):
        self.play("""
            thrift send a paid-check key=K body=same
            kernel expect SCHED a
            scgi send b paid-check key=K body=same
            wait 50
            scgi expect b nothing
            kernel send done a result
            thrift expect a served result
            scgi expect b 200 result
            kernel expect nothing""")

    def test_scgi_then_thrift_while_running_and_its_caller_gone(self):
        self.play("""
            scgi send a paid-check key=K body=same
            kernel expect SCHED a
            scgi close a
            thrift send b paid-check key=K body=same
            kernel send done a result
            thrift expect b served result
            kernel expect nothing""")

    def test_thrift_then_scgi_when_done_until_the_window_ends(self):
        self.play("""
            thrift send a paid-check key=K body=same
            kernel expect SCHED a
            kernel send done a result
            thrift expect a served result
            wait 27700
            scgi send b paid-check key=K body=same
            scgi expect b 200 result
            kernel expect nothing
            wait 200
            scgi send c paid-check key=K body=same
            kernel expect SCHED c same""")

    def test_scgi_then_thrift_when_done(self):
        self.play("""
            scgi send a paid-check key=K body=same
            kernel expect SCHED a
            kernel send done a result
            scgi expect a 200 result
            wait 27700
            thrift send b paid-check key=K body=same
            thrift expect b served result
            kernel expect nothing""")

    def test_a_repeat_of_a_failed_run_fails_and_is_not_refused(self):
        self.play("""
            thrift send a paid-check key=K body=same
            kernel expect SCHED a
            kernel send crashed a
            thrift expect a failed
            scgi send b paid-check key=K body=same
            scgi expect b 502
            kernel expect nothing""")

    def test_two_attempts_in_one_turn_know_of_each_other(self):
        for name in ("a", "b"):
            self.world.actors["thrift"].send(name, "paid-check", "key=K", "body=same")
        self.play("""
            wait 1
            thrift expect a refused
            kernel expect SCHED b
            kernel expect nothing""")

    def test_an_attempt_that_arrived_in_the_window_but_is_read_after_it_is_not_run(self):
        self.play("""
            thrift send a paid-check key=K body=same
            kernel expect SCHED a
            kernel send done a result
            thrift expect a served result
            wait 28000
            thrift send b paid-check key=K body=same age=1000
            thrift expect b served result
            kernel expect nothing""")

    def test_one_key_with_another_body_is_a_conflict(self):
        self.play("""
            thrift send a paid-check key=K body=one
            scgi send b paid-check key=K body=two
            scgi expect b 409
            thrift send c paid-check key=K body=two
            thrift expect c failed""")


class ScgiTest(ScenarioCase):
    """The mapping between SCGI requests and the core."""

    def test_an_invalid_request_is_told_why(self):
        self.play("""
            scgi send a report-view raw=9x:
            scgi expect a 400
            scgi send b no-such-class
            scgi expect b 404
            scgi send c report-view method=GET
            scgi expect c 405 Allow:_POST
            scgi send d paid-check
            scgi expect d 400 Idempotency-Key
            scgi send e report-view retry=yes
            scgi expect e 400 not_of_its_form
            scgi send f report-view hint=fast
            scgi expect f 400
            platform expect log request rejected""")
        self.play(f"scgi send g report-view body={'x' * 2049}\n scgi expect g 413")
        self.play("scgi send h report-view raw=9999:\n scgi expect h 413")

    def test_failed_is_502_and_past_the_deadline_504(self):
        self.play("""
            scgi send a quick-check
            kernel expect SCHED a
            kernel send crashed a
            scgi expect a 502
            scgi send b paid-check key=K
            kernel expect SCHED b
            wait 9310
            scgi expect b 504""")

    def test_refused_is_503_with_whole_seconds(self):
        self.play(
            FILL
            + """
            scgi send a quick-check hint=2000
            wait 950
            scgi expect a 503 Retry-After:_1"""
        )

    def test_a_close_before_the_answer_means_gone(self):
        self.play(
            FILL
            + """
            scgi send a quick-check
            scgi close a
            kernel send done f1
            wait 100
            kernel expect nothing"""
        )

    def test_the_caller_is_never_a_front_ends_number(self):
        self.play("scgi send a quick-check caller=1\n kernel expect SCHED a")
        users = self.world.scorer.loop.state.policy.users
        self.assertEqual(1, len(users))
        self.assertLess(min(users), 0)

    def test_there_is_room_for_so_many_connections_and_no_more(self):
        front = self.world.scorer.fronts["scgi"]
        front.max_connections = front.max_refused_connections = 1
        self.enterContext(mock.patch.object(Wire, "ends_too", False))
        self.play("""
            scgi send a report-view
            kernel expect SCHED a
            scgi send b report-view
            scgi expect b 503 Retry-After:_1
            scgi send c report-view
            scgi expect c nothing
            platform expect log too many connections
            kernel send done a result
            scgi expect a 200 result""")


class HealthTest(ScenarioCase):
    """The effects of the policy's health decision."""

    def test_roster_and_service_records_follow_slow_cores(self):
        policy = self.world.scorer.loop.state.policy
        self.play("platform expect on")
        policy.requested_load, policy.unread_wait_us = 0.1, 2_000_000.0
        self.play("""
            wait 1100
            platform expect off
            platform expect log slow cores
            thrift send status
            thrift expect status bad
            wait 5500
            platform expect on""")

    def test_an_error_over_one_input_costs_the_others_nothing(self):
        self.world.scorer.loop.post(RequestRead(None))
        self.play("""
            thrift send a quick-check
            kernel expect SCHED a
            kernel send done a result
            thrift expect a served result
            platform expect log step failed: request_read""")


class DrainTest(ScenarioCase):
    """The drain after SIGTERM."""

    stop_ms = 6_000

    def test_scgi_before_the_grace_is_over_is_served_and_after_it_refused(self):
        self.play("""
            platform send TERM
            platform expect off
            thrift send status
            thrift expect status bad
            wait 1900
            scgi send a quick-check
            kernel expect SCHED a
            thrift2 send b quick-check age=10
            kernel expect SCHED b
            wait 150
            scgi send c quick-check
            scgi expect c 503
            thrift2 send d quick-check
            thrift2 expect d refused
            kernel expect nothing
            thrift expect leaving
            kernel send done a result
            scgi expect a 200 result
            kernel send done b result
            thrift2 expect b served result
            thrift close
            thrift2 close
            wait 100
            platform expect exit""")

    def test_all_that_was_read_is_answered_before_the_stop(self):
        self.play(
            FILL
            + """
            platform send TERM
            thrift send a paid-check key=K
            scgi send b paid-check key=L
            wait 5700
            thrift expect f1 failed
            thrift expect a failed
            scgi expect b 503
            wait 200
            platform expect exit"""
        )

    def test_a_notice_before_the_kernel_is_up_ends_the_process_once_what_came_is_answered(self):
        self.world.scorer.loop.state.policy = None
        self.play("""
            thrift send half a quick-check
            platform send TERM
            wait 40
            platform expect running
            thrift send rest
            thrift expect a refused
            thrift expect leaving
            thrift close
            wait 40
            platform expect exit""")


class StartTest(ScenarioCase):
    """Behaviour before the kernel is up."""

    def test_a_request_before_the_kernel_is_up_is_refused(self):
        self.world.scorer.loop.state.policy = None
        self.play("""
            thrift send a quick-check
            thrift expect a refused
            scgi send b quick-check
            scgi expect b 503 Retry-After:_1
            thrift send status
            thrift expect status good""")

    def test_reports_come_well_inside_three_seconds(self):
        before = len(self.world.reports)
        self.play("wait 3000")
        self.assertGreaterEqual(len(self.world.reports) - before, 3)
        self.assertTrue(all(self.world.reports))
