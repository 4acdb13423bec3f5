"""Races over real sockets: input that is unread when the scorer decides to close a connection or to exit.

``docs/design/crossings.md`` lists all cases. Time advances only in ``jump`` and ``wait``, and a peer's output is
read only in the next turn, after the timers that are due.
"""

import signal
import socket

from sagetrestle.net.program.signals import EarlySignals
from sagetrestle.net.protocol import scgi, thrift
from sagetrestle.net.routing.inputs import StopRequested
from tests.net.scenario import ThriftPeer, config
from tests.net.socket_scenario import SocketCase, wait_until

STOP_MS = 3_200
CLOSE_MS = 1_920  # the listeners close after six tenths of the stop time
IDLE_MS = 30_000


class ConnectionRaceCase(SocketCase):
    """Base of scenarios with any number of front ends."""

    stop_ms = STOP_MS

    def peer(self) -> ThriftPeer:
        """Return a further front end that is connected."""
        peer = ThriftPeer(self.world)
        peer.wire  # noqa: B018  # connects
        return peer

    def request(self, peer: ThriftPeer, name: str) -> bytes:
        """Return the bytes of a request, not sent yet."""
        return peer._request(name, "quick-check")

    def serve_all(self, result: str = "result") -> None:
        """Let the kernel serve all runs until no further command follows."""
        quiet = 0
        while quiet < 3:
            self.world.settle()
            commands, self.world.kernel.commands = self.world.kernel.commands, []
            quiet = 0 if commands else quiet + 1
            for command in commands:
                if command["msg"] == "SCHED":
                    self.world.kernel.send("done", bytes.fromhex(command["call"]).lstrip(b"\0").decode(), result)

    def assert_answered(self, peer: ThriftPeer, name: str, answers: tuple[str, ...] = ("served result", "refused")):
        """Assert that the request got one of these answers and its connection was not reset."""
        peer._read()
        self.assertIn(peer.answers.get(peer.numbers[name]), answers, name)
        self.assertFalse(peer.wire.was_reset)

    def leave(self, ms: int) -> None:
        """Send SIGTERM and let ``ms`` pass."""
        self.play("platform send TERM")
        self.world.wait(ms)

    def serve(self, peer: ThriftPeer, name: str) -> None:
        """Have a request served on a connection."""
        peer.send(name, "quick-check")
        self.world.settle()
        self.play(f"kernel expect SCHED {name}\n kernel send done {name} result")
        peer.expect(name, "served", "result")


class ListeningEndsTest(ConnectionRaceCase):
    """Connections that the operating system accepted and the process has not."""

    def test_requests_on_connections_that_wait_as_the_listening_ends_are_answered(self):
        first = self.peer()
        self.serve(first, "first")
        self.leave(CLOSE_MS - 100)
        waiting = [self.peer() for _ in range(6)]
        for at, peer in enumerate(waiting):
            peer.wire.dataReceived(self.request(peer, f"w{at}"))
        self.world.jump(200)
        self.serve_all()
        for at, peer in enumerate(waiting):
            self.assert_answered(peer, f"w{at}")

    def test_the_process_does_not_end_in_the_turn_in_which_it_takes_the_last_ones_in(self):
        self.leave(CLOSE_MS - 100)
        late = self.peer()
        late.wire.dataReceived(self.request(late, "late"))
        self.world.jump(200)
        self.serve_all()
        self.assert_answered(late, "late")
        late.close()
        self.world.wait(100)
        self.play("platform expect exit")
        self.assertTrue(self.world.reactor.has_stopped())

    def test_one_that_waits_as_the_notice_comes_before_the_kernel_is_up_is_refused(self):
        self.world.scorer.loop.state.policy = None
        peer = self.peer()
        peer.wire.dataReceived(self.request(peer, "early"))
        self.world.scorer.loop.post(StopRequested())
        self.world.jump(1)
        self.world.wait(60)
        peer.expect("early", "refused")
        peer.close()
        self.world.wait(60)
        self.play("platform expect exit")


class EarlyNoticeTest(ConnectionRaceCase):
    """Signals that arrive before the process runs its event loop."""

    def start_after(self, number: int) -> None:
        """Raise a signal before the program starts; it is handled at the start."""
        for own in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, own, signal.getsignal(own))
        early = EarlySignals()
        signal.raise_signal(number)
        self.world.scorer.begin = lambda: None  # it has started already
        self.world.scorer.start(early)
        self.world.wait(20)

    def test_a_reload_asked_for_while_the_configuration_was_read_is_not_lost(self):
        self.world.moved = config(peers=self.world.scorer.config.peers._replace(roster=("127.0.0.1", 77)))
        self.start_after(signal.SIGHUP)
        self.assertIn(("127.0.0.1", 77), self.world.roster_at)

    def test_a_notice_to_leave_before_the_start_is_heeded_after_it(self):
        self.start_after(signal.SIGTERM)
        self.play("platform expect off")


class IdleCloseTest(ConnectionRaceCase):
    """A request that arrives between the decision to close an idle connection and the close."""

    def idle(self, count: int) -> list[ThriftPeer]:
        """Return front ends that were asked to close their connections, shortly before these are closed."""
        peers = [self.peer() for _ in range(count)]
        for at, peer in enumerate(peers):
            self.serve(peer, f"s{at}")
        self.world.jump(IDLE_MS)
        self.world.wait(40)
        for peer in peers:
            peer.expect("leaving")
        self.world.wait(700)
        return peers

    def test_a_request_split_at_every_byte_by_the_close_is_answered(self):
        """The first part was read before the decision to close and the rest was not; every split is tried."""
        length, group = len(self.request(self.peer(), "x000")), 24
        for first in range(0, length, group):
            cuts = range(first, min(first + group, length))
            peers = dict(zip(cuts, self.idle(len(cuts)), strict=True))
            for cut, peer in peers.items():
                data = self.request(peer, f"x{cut:03d}")
                peer.wire.dataReceived(data[:cut])
                self.world.reactor.doIteration(0)
                peer.wire.dataReceived(data[cut:])
            self.world.jump(700)
            self.serve_all()
            for cut, peer in peers.items():
                self.assert_answered(peer, f"x{cut:03d}")
                peer.close()
            self.world.settle()

    def test_a_request_half_read_at_the_decision_is_answered_once_its_rest_comes(self):
        (peer,) = self.idle(1)
        data = self.request(peer, "half")
        peer.wire.dataReceived(data[:40])
        self.world.settle()
        self.world.jump(700)
        self.world.settle()
        peer.wire.dataReceived(data[40:])
        self.serve_all()
        self.assert_answered(peer, "half")

    def test_one_that_comes_after_the_close_is_not_run_and_resets_nothing(self):
        """The front end repeats it on a new connection, as it crossed the close."""
        (peer,) = self.idle(1)
        self.world.jump(400)
        self.world.wait(4)
        self.assertTrue(peer.wire.sees_end())
        peer.wire.dataReceived(self.request(peer, "late"))
        self.world.wait(100)
        self.play("kernel expect nothing")
        self.assertFalse(peer.wire.was_reset)

    def test_half_a_request_does_not_cost_another_on_the_connection_its_answer(self):
        peer = self.peer()
        peer.send("a", "paid-check", "key=A")
        self.world.settle()
        self.play("kernel expect SCHED a")
        peer.wire.dataReceived(self.request(peer, "b")[:30])
        self.world.wait(2_500)
        self.play("kernel send done a result")
        peer.expect("a", "served", "result")
        self.world.wait(2_500)
        self.assertTrue(peer.wire.sees_end())


class FullFrontTest(ConnectionRaceCase):
    """Idle clients fill the front while discovery is down, so that active ones are not sent to other servers."""

    def test_working_clients_are_served_and_idle_ones_have_their_polite_end_first(self):
        front = self.world.scorer.thrift
        idle = [self.peer() for _ in range(int(front.max_connections * 0.7))]
        for peer in idle:
            peer.send("status")
        self.world.wait(300)
        rude, polite = idle[::2], idle[1::2]  # those that ignore the request to close, and those that comply
        most_held = 0
        for at in range(front.max_connections // 2):
            for peer in polite:
                peer._read()
                if "leaving" in peer.answers and peer.wire.connected:
                    peer.close()
            worker = self.peer()
            worker.send(f"w{at}", "quick-check")
            self.serve_all()
            self.assert_answered(worker, f"w{at}")
            most_held = max(most_held, len(front.connections))
            self.world.wait(100)
        self.assertLessEqual(most_held, front.max_connections)
        self.assertFalse(any("too many connections" in line for line in self.world.lines))
        for peer in rude:
            peer._read()
            if not peer.wire.connected:
                self.assertIn("leaving", peer.answers)
                self.assertFalse(peer.wire.was_reset)
        self.assertTrue(any(not peer.wire.connected for peer in rude))


class ExitTest(ConnectionRaceCase):
    """Unread input and unsent output at the exit of the process."""

    def test_a_request_unread_on_a_connection_that_never_left_is_answered_before_the_end(self):
        peer = self.peer()
        self.serve(peer, "first")
        self.leave(STOP_MS - 250)
        peer.wire.dataReceived(self.request(peer, "a") + self.request(peer, "b"))
        self.world.jump(150)
        self.world.wait(60)
        peer.expect("a", "refused")
        peer.expect("b", "refused")
        self.play("platform expect exit\n kernel expect nothing")
        self.assertFalse(peer.wire.was_reset)

    def test_requests_that_wait_for_their_turn_on_a_paced_connection_are_answered_before_the_end(self):
        peer = self.peer()
        self.serve(peer, "first")
        self.leave(STOP_MS - 250)
        count = 30
        peer.wire.dataReceived(b"".join(self.request(peer, f"p{at}") for at in range(count)))
        self.world.jump(150)
        self.world.wait(60)
        for at in range(count):
            peer.expect(f"p{at}", "refused")
        self.play("platform expect exit")

    def test_answers_that_are_still_in_a_buffer_reach_a_slow_reader(self):
        """The exit waits until the buffers are sent, but not for a client that never reads."""
        result, count = "r" * 4_096, 24
        peers = [self.peer(), self.peer()]
        self.world.wait(4)
        for connection in self.world.scorer.thrift.connections.values():
            connection.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        for peer in peers:
            peer.wire.is_full = True
            peer.wire.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        for at in range(count):
            peers[at % 2].send(f"k{at}", "paid-check", f"key=K{at}")
        self.serve_all(result)
        self.leave(STOP_MS - 300)
        self.world.wait(220)
        self.play("platform expect exit")
        self.assertFalse(self.world.reactor.has_stopped())
        slow, never = peers
        self.assertTrue(wait_until(lambda: self.read_on(slow) == count // 2))
        for at in range(0, count, 2):
            slow.expect(f"k{at}", "served", result)
        self.assertFalse(slow.wire.was_reset)
        self.world.wait(120)
        self.assertTrue(self.world.reactor.has_stopped())
        self.assertEqual({}, never.answers)

    def read_on(self, peer: ThriftPeer) -> int:
        """Read the available output, let the scorer write more, and return the number of answers."""
        peer._read()
        self.world.reactor.advance(0)
        return sum(isinstance(number, int) for number in peer.answers)


class ScgiRaceTest(ConnectionRaceCase):
    """SCGI, whose connections close after each answer."""

    def test_a_request_unread_as_its_connection_is_left_is_answered(self):
        self.leave(CLOSE_MS - 500)
        wire = self.world.connect("scgi")
        self.world.wait(400)
        self.world.jump(110)  # the listeners close; clients are asked to close at the next drain check
        wire.dataReceived(self.scgi_request())
        self.world.jump(30)
        self.serve_all_scgi()
        self.assertTrue(wire.take().startswith(b"Status: "))
        self.assertFalse(wire.was_reset)

    def serve_all_scgi(self) -> None:
        """Let the kernel serve all runs."""
        self.world.wait(20)
        for command in self.world.kernel.commands:
            self.world.names[command["call"]] = "s"
            self.world.kernel.send("done", "s", "result")
        self.world.wait(20)

    def test_bytes_behind_a_request_do_not_take_its_answer_away(self):
        """They are unread when the answer is written; a close with unread input would reset the connection."""
        wire = self.world.connect("scgi")
        wire.dataReceived(self.scgi_request())
        self.world.wait(8)
        call = self.world.kernel.commands.pop(0)["call"]
        self.world.names[call] = "s"
        wire.dataReceived(b"\r\n")
        connection = next(iter(self.world.scorer.fronts["scgi"].connections.values()))
        connection.respond(("200 OK", {}, b"result"))
        self.world.wait(8)
        self.assertIn(b"result", wire.take())
        self.assertFalse(wire.was_reset)

    @staticmethod
    def scgi_request() -> bytes:
        """Return a complete request."""
        return scgi.encode_request({"REQUEST_METHOD": "POST", "PATH_INFO": "/quick-check"}, b"x")


class DecoderTest(ConnectionRaceCase):
    """Messages in one piece, in pieces of every size, and several in one write."""

    def test_requests_in_pieces_of_any_size_are_each_answered_once(self):
        for size in (1, 2, 3, 5, 7, 64, 1 << 16):
            with self.subTest(size):
                peer = self.peer()
                names = [f"n{size}x{at}" for at in range(3)]
                data = b"".join(self.request(peer, name) for name in names)
                for at in range(0, len(data), size):
                    peer.wire.dataReceived(data[at : at + size])
                    self.world.reactor.doIteration(0)
                self.serve_all()
                for name in names:
                    self.assert_answered(peer, name)
                peer.close()

    def test_frames_of_the_decoder_are_the_same_however_they_are_cut(self):
        frames = [thrift.encode_leaving()[4:], b"x" * 300]
        data = b"".join(len(frame).to_bytes(4, "big") + frame for frame in frames)
        for cut in range(len(data) + 1):
            decoder = thrift.FrameDecoder()
            self.assertEqual(frames, [*decoder.feed(data[:cut]), *decoder.feed(data[cut:])])
