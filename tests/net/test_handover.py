"""Scenarios of the handover between two processes of one scorer: keys, results, health, and failures of either."""

from sagetrestle.handover import old_process, messages
from sagetrestle.net.routing.inputs import NewProcessEvent
from tests.net import scenario
from tests.net.scenario import KernelPeer, PairCase, call_id


class TakeOverTest(PairCase):
    """A handover without failures."""

    def test_the_new_process_serves_and_the_old_process_finishes_and_leaves(self):
        self.pair("""
            old thrift send a quick-check
            old kernel expect SCHED a""")
        self.upgrade()
        self.pair("""
            new operator send r GET /api/ready
            new operator expect r 200 ready
            new platform expect on
            old operator send r GET /api/ready
            old operator expect r 503 newer
            old thrift expect leaving
            old kernel send done a one
            old thrift expect a served one
            old thrift close
            wait 100
            old platform expect exit
            new thrift send b quick-check
            new kernel expect SCHED b
            new kernel send done b two
            new thrift expect b served two""")

    def test_the_roster_never_hears_off(self):
        """The roster entry stands for both processes: neither the exit nor SIGTERM of the old one may withdraw it."""
        self.pair("""
            old thrift send a paid-check key=K
            old kernel expect SCHED a""")
        self.upgrade()
        self.pair("""
            old platform send TERM
            wait 600
            old kernel send done a one
            old thrift expect a served one""")
        self.assertNotIn(False, self.old.reports + self.new.reports)
        self.assertNotIn(False, self.old.announced + self.new.announced)

    def test_a_request_that_crosses_the_exit_is_answered_by_the_old_process(self):
        self.pair("old thrift send status")
        self.upgrade()
        self.pair("""
            old thrift expect leaving
            old thrift send b quick-check
            old kernel expect SCHED b
            old kernel send done b two
            old thrift expect b served two""")

    def test_a_request_half_read_as_the_new_process_takes_over_is_answered(self):
        peer = self.old.actors["thrift"]
        data = peer._request("a", "report-view")
        peer.wire.protocol.dataReceived(data[:40])
        self.upgrade()
        self.pair("wait 1400")  # an idle connection is closed one second after the client was asked to close it
        peer.wire.protocol.dataReceived(data[40:])
        self.pair("""
            wait 10
            old kernel expect SCHED a
            old kernel send done a one
            old thrift expect a served one""")

    def test_a_new_connection_that_said_nothing_is_not_cut_at_once(self):
        """Its first request may be in transit and would be lost if the next idle check closed the connection."""
        wire = self.old.connect("thrift")
        self.upgrade()
        self.pair("wait 700")
        self.assertTrue(wire.connected)
        self.pair("wait 700")
        self.assertFalse(wire.connected)

    def test_nothing_is_ready_before_the_kernel_is_up_and_the_old_process_serves_on(self):
        self.upgrade_without_kernel()
        self.pair("""
            wait 5000
            new operator send r GET /api/ready
            new operator expect r 503 starting
            old thrift send a quick-check
            old kernel expect SCHED a
            old operator send r GET /api/ready
            old operator expect r 200""")
        self.new.kernel.tell(msg="BOOTED", how="seasoned", duration=1)
        self.pair("""
            wait 50
            new operator send r2 GET /api/ready
            new operator expect r2 200""")
        self.assertEqual([], self.new.reports[:-3])

    def upgrade_without_kernel(self):
        KernelPeer.boots_at_first = False
        try:
            self.upgrade()
        finally:
            KernelPeer.boots_at_first = True

    def test_sigterm_before_the_new_process_asked_hands_over_unasked(self):
        self.upgrade_without_kernel()
        self.pair("""
            old platform send TERM
            wait 300
            old thrift send a quick-check
            old kernel expect SCHED a""")
        self.assertNotIn(False, self.old.reports)
        self.new.kernel.tell(msg="BOOTED", how="seasoned", duration=1)
        self.pair("""
            wait 50
            new operator send r GET /api/ready
            new operator expect r 200
            old kernel send done a one
            old thrift expect a served one""")

    def test_sigterm_bounds_the_old_process_though_something_hangs(self):
        self.pair("""
            old thrift send a paid-check key=K
            old kernel expect SCHED a""")
        self.upgrade()
        self.pair("""
            old platform send TERM
            wait 3400
            old platform expect running
            wait 250
            old thrift expect a failed
            old platform expect exit""")

    def test_the_new_process_is_upgraded_in_its_turn(self):
        self.upgrade()
        self.pair("wait 200")
        self.lose_old()
        self.old, self.new = self.new, None
        self.upgrade()
        self.pair("""
            new operator send r GET /api/ready
            new operator expect r 200""")

    def test_resources_of_the_old_process_reduce_the_bounds(self):
        for _ in range(40):
            self.old.connect("thrift")
        front = "thrift"
        self.upgrade()
        held = self.new.scorer.loop.state.handover.old_process_descriptors
        self.assertGreaterEqual(held, 40)
        most = self.new.scorer.config.plan.bounds.connections[front]
        self.assertEqual(most - held, self.new.scorer.fronts[front].max_connections)
        self.pair("""
            old thrift send a report-view
            wait 150""")
        self.assertEqual(1, self.new.scorer.loop.state.policy.other_process.running)
        self.assertGreater(self.new.scorer.loop.state.policy.memory_kb, 0)


class KeysTest(PairCase):
    """A key runs at most once in both processes together."""

    def test_a_result_of_the_old_process_is_served_by_the_new_process(self):
        self.pair("""
            old thrift send a paid-check key=K body=same
            old kernel expect SCHED a
            old kernel send done a result
            old thrift expect a served result""")
        self.upgrade()
        self.pair("""
            wait 100
            new thrift send b paid-check key=K body=same retry=1
            new thrift expect b served result
            new kernel expect nothing""")

    def test_its_result_is_available_after_the_old_process_is_gone(self):
        self.test_a_result_of_the_old_process_is_served_by_the_new_process()
        self.lose_old()
        self.pair("""
            new thrift send c paid-check key=K body=same retry=1
            new thrift expect c served result
            new kernel expect nothing""")

    def test_a_repeat_waits_for_the_run_at_the_old_process(self):
        self.pair("""
            old thrift send a paid-check key=K body=same
            old kernel expect SCHED a""")
        self.upgrade()
        self.pair("""
            new thrift send b paid-check key=K body=same retry=1
            new kernel expect nothing
            old thrift send withdraw a
            old kernel send done a result
            new thrift expect b served result
            new kernel expect nothing""")

    def test_a_queued_attempt_at_the_old_process_asks_and_runs(self):
        self.fill_old()
        self.pair("old thrift send a paid-check key=K body=same")
        self.upgrade()
        self.pair("""
            old kernel send done f1 x
            old kernel expect SCHED a same
            new thrift send b paid-check key=K body=same retry=1
            new kernel expect nothing
            old kernel send done a result
            new thrift expect b served result
            old thrift expect a served result""")

    def fill_old(self):
        self.pair("""
            old thrift send f1 report-view
            old thrift2 send f2 report-view
            old kernel expect SCHED f1
            old kernel expect SCHED f2""")

    def test_a_queued_attempt_waits_for_the_one_that_ran_at_the_new_process(self):
        """Both processes have an attempt; the new one's ran first, so the old one's is denied and gets that result."""
        self.fill_old()
        self.pair("old thrift send a paid-check key=K body=same")
        self.upgrade()
        self.pair("""
            new thrift send b paid-check key=K body=same retry=1
            new kernel expect SCHED b same
            old kernel send done f1 x
            old kernel expect nothing
            new kernel send done b result
            new thrift expect b served result
            old thrift expect a served result
            old kernel expect nothing""")

    def test_a_denied_attempt_with_another_body_conflicts(self):
        self.fill_old()
        self.pair("old thrift send a paid-check key=K body=same")
        self.upgrade()
        self.pair("""
            new thrift send b paid-check key=K body=other
            new kernel expect SCHED b other
            old kernel send done f1 x
            old thrift expect a failed
            old kernel expect nothing""")

    def test_a_claimed_key_runs_nowhere_else_though_it_was_queued_there(self):
        """Both processes get an attempt in one turn: the one that asks the owner first runs, the other waits."""
        self.fill_old()
        self.pair("old thrift send a paid-check key=K body=same")
        self.upgrade()
        self.pair("""
            new thrift send f3 report-view
            new thrift2 send f4 report-view
            new kernel expect SCHED f3
            new kernel expect SCHED f4
            new thrift send b paid-check key=K body=same retry=1
            old kernel send done f1 x
            old kernel expect SCHED a same
            new kernel send done f3 x
            new kernel expect nothing
            old kernel send done a result
            old thrift expect a served result
            new thrift expect b served result""")

    # Guards against a charge that is served with the result of another one, whose request got the same id.
    def test_an_scgi_charge_of_the_old_process_keeps_its_result_beside_those_of_the_new_process(self):
        self.pair("""
            old scgi send a paid-check key=A body=first
            old kernel expect SCHED a first
            old kernel send done a result-a
            old scgi expect a 200 result-a""")
        self.upgrade()
        self.pair("""
            wait 100
            new scgi send b paid-check key=B body=second
            new kernel expect SCHED b second
            new kernel send done b result-b
            new scgi expect b 200 result-b
            new scgi send c paid-check key=A body=first retry=1
            new scgi expect c 200 result-a
            new thrift send d paid-check key=A body=first retry=1
            new thrift expect d served result-a
            new thrift send e paid-check key=B body=second retry=1
            new thrift expect e served result-b
            new kernel expect nothing""")

    # Guards against a charge that is served with the result of another one, as a caller used an id again.
    def test_an_id_that_the_old_process_ran_fails_under_another_key_at_the_new_process(self):
        self.pair(f"""
            old thrift send a paid-check key=A body=first id={call_id("x")}
            old kernel expect SCHED x first
            old kernel send done x result-a
            old thrift expect a served result-a""")
        self.upgrade()
        self.pair(f"""
            wait 100
            new thrift send b paid-check key=B body=second id={call_id("x")}
            new thrift expect b failed
            new thrift2 send c paid-check key=A body=first retry=1
            new thrift2 expect c served result-a
            new kernel expect nothing""")

    # Guards against two runs under one id, one at each process, whose results could not be told apart.
    def test_a_queued_attempt_fails_if_its_id_runs_at_the_new_process(self):
        self.fill_old()
        self.pair(f"old thrift send a paid-check key=A body=first id={call_id('x')}")
        self.upgrade()
        self.pair(f"""
            new thrift send b paid-check key=B body=second id={call_id("x")}
            new kernel expect SCHED x second
            old kernel send done f1 x
            old thrift expect a failed
            old kernel expect nothing
            new kernel send done x result-b
            new thrift expect b served result-b
            new thrift send c paid-check key=B body=second retry=1
            new thrift expect c served result-b""")

    def test_every_key_of_a_large_table_passes_with_its_result(self):
        count = 700
        for at in range(count):
            self.old.play(f"""
                thrift send k{at} paid-check key=K{at} body=b
                kernel expect SCHED k{at}
                kernel send done k{at} r{at}
                thrift expect k{at} served r{at}""")
        self.upgrade()
        self.pair("wait 100")
        keys = self.new.scorer.loop.state.keys
        self.assertEqual(count, len(keys.results))
        self.assertEqual({}, self.new.scorer.loop.state.handover.claims.waiters)


class LossTest(PairCase):
    """Either process dies, stalls or stays silent."""

    def state(self):
        return self.new.scorer.loop.state

    def test_a_silent_old_process_is_given_up_in_time_and_its_keys_do_not_run(self):
        self.pair("""
            old thrift send a paid-check key=K body=same
            old kernel expect SCHED a""")
        self.old.streams.held = []
        self.upgrade()
        self.pair("""
            wait 3100
            new operator send r GET /api/ready
            new operator expect r 200
            new thrift send b paid-check key=K body=same retry=1
            new thrift expect b failed
            new thrift send c quick-check
            new kernel expect SCHED c
            new kernel expect nothing""")
        self.old.streams.release()  # it resumes and hands over, so the key is known and its repeat waits
        self.pair("""
            wait 50
            new thrift send d paid-check key=K body=same retry=1
            new kernel expect nothing
            old kernel send done a result
            new thrift expect d served result
            new thrift send e paid-check key=L
            new kernel expect SCHED e""")

    def test_a_dead_old_process_leaves_keys_in_doubt_for_one_window(self):
        self.old.streams.dead = True
        self.upgrade()
        self.pair("""
            new operator send r GET /api/ready
            new operator expect r 200
            new thrift send a paid-check key=K
            new thrift expect a failed
            wait 28000
            new thrift2 send b paid-check key=K
            new kernel expect SCHED b""")

    def test_an_old_process_killed_during_the_handover_is_not_waited_for(self):
        self.pair("""
            old thrift send a paid-check key=K body=same
            old kernel expect SCHED a""")
        self.upgrade()
        self.pair("new thrift send b paid-check key=K body=same retry=1")
        self.lose_old()
        self.pair("""
            new thrift expect b failed
            new thrift send c paid-check key=K body=same retry=1
            new thrift expect c failed
            new kernel expect nothing
            new thrift send d paid-check key=L
            new kernel expect SCHED d""")
        self.assertEqual(0, self.state().handover.old_process_descriptors)

    def test_a_lost_token_leaves_neither_process_with_keys_it_may_not_run(self):
        self.upgrade_held()
        self.pair("wait 50")
        self.old.scorer.loop.post(_said_ask())
        self.pair("wait 10")
        self.assertIs(old_process.Stage.YIELDED, self.old.scorer.loop.state.handover.old_role.stage)
        self.old.streams.break_link()
        self.old.streams.dead = False
        self.new.streams.held = []  # disconnected permanently
        self.pair("""
            wait 10
            old thrift send a paid-check key=K
            old thrift expect a failed
            old thrift send b quick-check
            old kernel expect SCHED b""")
        self.assertGreater(self.state().handover.new_role.doubt_until, self.new.scorer.loop.now)

    def upgrade_held(self):
        """Start the new process with all messages to it delayed."""
        made = scenario.Streams.__init__

        def held(streams, world, old):
            made(streams, world, old)
            streams.held = []

        scenario.Streams.__init__ = held
        self.addCleanup(setattr, scenario.Streams, "__init__", made)
        self.upgrade()
        scenario.Streams.__init__ = made
        self.old.scorer.loop.post(_said_hello())

    def test_a_new_process_that_dies_before_it_serves_changes_nothing(self):
        self.upgrade_held()
        self.pair("wait 20")
        self.old.streams.break_link()
        self.pair("""
            wait 20
            old thrift send a paid-check key=K
            old kernel expect SCHED a
            old operator send r GET /api/ready
            old operator expect r 200""")

    def test_sigterm_with_a_new_process_that_then_dies_is_a_drain_again(self):
        self.upgrade_held()
        self.pair("""
            wait 20
            old platform send TERM""")
        self.assertNotIn(False, self.old.reports)
        self.old.streams.break_link()
        self.pair("""
            wait 20
            old platform expect off""")

    def test_a_claim_that_is_not_answered_fails(self):
        self.pair("""
            old thrift send f1 report-view
            old thrift2 send f2 report-view
            old kernel expect SCHED f1
            old kernel expect SCHED f2
            old thrift send a paid-check key=K""")
        self.upgrade()
        self.old.streams.held = []
        self.pair("""
            old kernel send done f1 x
            old kernel expect nothing
            old thrift expect nothing a""")
        self.new.streams.dead = True
        self.old.streams.break_link()
        self.pair("""
            wait 10
            old thrift expect a failed
            old kernel expect nothing""")

    # Guards against answered requests that stay in the table for good, until there is room for no more.
    def test_an_attempt_whose_caller_stops_waiting_for_its_claim_leaves_nothing_behind(self):
        self.pair("""
            old thrift send f1 report-view
            old thrift2 send f2 report-view
            old thrift send a paid-check key=K timeout=600""")
        self.upgrade()
        self.old.streams.held = []
        self.pair("""
            wait 20
            old kernel send done f1 x
            wait 620
            old thrift expect a failed""")
        self.assertEqual([call_id("f2")], list(self.old.scorer.loop.state.entries))
        self.old.streams.release()
        self.pair("wait 100")
        self.assertEqual([call_id("f2")], list(self.old.scorer.loop.state.entries))
        self.assertEqual({call_id("f1"), call_id("f2")}, {command["call"] for command in self.old.kernel.commands})


def _said_hello():
    return NewProcessEvent(old_process.MessageReceived(1, messages.Hello(messages.VERSION, "n1", "127.0.0.1:0")))


def _said_ask():
    return NewProcessEvent(old_process.MessageReceived(1, messages.Ask()))
