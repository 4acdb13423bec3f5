"""Links between members: handshakes, numbering, acknowledgements, bounds."""

import unittest

from sagetrestle.net.protocol import peer
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.ownership.values import FleetMap, MemberInfo, PartitionAssignment
from sagetrestle.peers import links
from sagetrestle.peers.frames import VERSION, Ack, Hello, ObserverQuery, ObserverReply, Refused, Welcome
from sagetrestle.recovery.effects import EffectRecord, RecordKind
from sagetrestle.takeover import messages

S = 1_000_000


class LinksTest(unittest.TestCase):
    """Member ``a`` and its links to ``b``."""

    def setUp(self):
        self.links = links.Links("f", "a@5", ("a", "b", "c"), 1, 0)

    def receive(self, connection, *frames, now=0):
        return self.links.step(now, links.FramesReceived(connection, frames))

    def connect(self, boot=7):
        self.links.tick(0)
        self.links.step(0, links.DialFinished("b", 1))
        self.receive(1, Welcome(VERSION, f"b@{boot}"))

    def hello(self, connection, sender="b@7", version=VERSION, fleet="f", to="a", observer=False):
        return self.receive(connection, Hello(version, fleet, sender, to, observer))

    def test_messages_go_to_the_start_of_the_peer_that_is_connected_and_to_no_other(self):
        self.connect()
        self.assertEqual([links.WriteFrame(1, links.NumberedMessage(1, "x"))], self.links.send(0, "b@7", "x", 10))
        self.assertEqual([], self.links.send(0, "b@8", "x", 10))
        self.assertEqual([links.WriteFrame(1, links.NumberedMessage(2, "x"))], self.links.send(0, "b", "x", 10))
        self.assertEqual([], self.links.send(0, "c", "x", 10))

    def test_a_later_start_of_a_peer_replaces_the_links_of_an_earlier_one(self):
        self.hello(11, "b@7")
        self.assertEqual([links.MessageReceived("b@7", "x")], self.receive(11, links.NumberedMessage(1, "x")))
        self.assertIn(links.Close(11), self.hello(12, "b@9"))
        self.assertEqual([], self.receive(11, links.NumberedMessage(2, "late")))
        self.assertIn(links.Close(13), self.hello(13, "b@8"))
        self.assertEqual([links.MessageReceived("b@9", "y")], self.receive(12, links.NumberedMessage(1, "y")))

    def test_a_duplicate_message_is_delivered_once_and_acknowledged(self):
        self.hello(11)
        decisions = self.receive(
            11, links.NumberedMessage(1, "x"), links.NumberedMessage(1, "x"), links.NumberedMessage(2, "y")
        )
        self.assertEqual([links.MessageReceived("b@7", "x"), links.MessageReceived("b@7", "y")], decisions)
        self.assertIn(links.WriteFrame(11, Ack(2)), self.links.tick(links.ACK_DELAY_US))
        self.assertEqual([], self.receive(11, links.NumberedMessage(2, "y")))
        decisions = self.receive(
            11, *(links.NumberedMessage(number, "z") for number in range(3, 3 + links.ACK_AFTER_MESSAGES))
        )
        self.assertEqual(
            [links.WriteFrame(11, Ack(2 + links.ACK_AFTER_MESSAGES))],
            [one for one in decisions if type(one) is links.WriteFrame],
        )

    def test_peers_of_another_fleet_name_or_version_are_refused_with_the_reason(self):
        for number, more in enumerate(({"fleet": "g"}, {"to": "b"}, {"version": 9}, {"sender": "z@1"})):
            decisions = self.hello(20 + number, **more)
            self.assertIsInstance(decisions[0].frame, Refused)
            self.assertEqual(links.Close(20 + number), decisions[1])
            self.assertEqual([], self.receive(20 + number, links.NumberedMessage(1, "x")))

    def test_messages_to_a_slow_member_are_dropped_beyond_the_bound(self):
        self.connect()
        for _ in range(3_000):
            self.links.send(0, "b", "x", 1_000)
        out = self.links.outbound["b"]
        self.assertLessEqual(out.unacked_bytes, links.MAX_UNACKED_BYTES)
        self.assertEqual(3_000, out.sent + out.dropped)
        self.receive(1, Ack(out.last_sent))
        self.assertEqual(0, out.unacked_bytes)

    def test_a_link_that_stalls_or_gets_no_welcome_is_redialled_with_growing_delays(self):
        self.connect()
        self.links.send(0, "b", "x", 10)
        self.assertIn(links.Close(1), self.links.tick(links.ACK_TIMEOUT_US))
        self.assertEqual("", self.links.connected_id("b"))
        waits = []
        now = links.ACK_TIMEOUT_US
        for number in range(2, 8):
            while links.Dial("b") not in self.links.tick(now):
                now += 10_000
            waits.append(now)
            self.links.step(now, links.DialFinished("b", number))
            now += links.HANDSHAKE_TIMEOUT_US
        gaps = [after - before for before, after in zip(waits, waits[1:], strict=False)]
        self.assertLess(gaps[0], gaps[-1])
        self.assertLessEqual(gaps[-1], links.HANDSHAKE_TIMEOUT_US + 2 * links.MAX_REDIAL_DELAY_US)

    def test_observers_may_query_but_not_send_messages(self):
        self.assertIn(links.ObserverRequest(30, None), self.hello(30, "f@1", observer=True))
        self.assertEqual(
            [links.ObserverRequest(30, ObserverQuery("status"))], self.receive(30, ObserverQuery("status"))
        )
        self.assertEqual([], self.receive(30, links.NumberedMessage(1, "x")))
        self.assertEqual([30], self.links.observer_connections())
        self.links.step(0, links.ConnectionLost(30))
        self.assertEqual([], self.links.observer_connections())


class WireTest(unittest.TestCase):
    """Encoding and decoding of frames."""

    def test_all_frames_round_trip_and_garbage_raises_protocol_error(self):
        share = PartitionAssignment(3, "n0@1", ("n1@1",), ("n2@1",))
        entry = EffectRecord(RecordKind.INTENT, "K", 5, "n0@1", 0, b"d", b"r")
        for message in (
            messages.EpochBase(1, share, 2, 9),
            messages.AppendRecords(1, 3, 4, (entry,)),
            messages.StaleEpoch(1, share),
            messages.MapUpdate(FleetMap(4, (share,), (MemberInfo("n0@1", "z"),))),
            messages.OutcomeReport(1, entry),
            messages.LeaseGrant(1, (0, 2)),
            messages.CouncilEnvelope("a", "b#1", messages.ConsensusMessage.__args__[0](1, 2, 3, True)),
        ):
            frame = links.NumberedMessage(9, message)
            self.assertEqual(frame, peer.decode(peer.encode(frame)))
        for frame in (
            Hello(1, "f", "a@1", "b"),
            Welcome(1, "b@1"),
            Ack(3),
            ObserverQuery("status"),
            ObserverReply(b"{}"),
            Refused("w"),
        ):
            self.assertEqual(frame, peer.decode(peer.encode(frame)))
        for data in (b"", b"\xc1", b"\x91\x01", peer.encode(Ack(3))[:-1] + b"\xa1x", b"\x92\xa5carry\x01"):
            with self.assertRaises(ProtocolError):
                peer.decode(data)
