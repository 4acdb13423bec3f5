"""Links by themselves: greetings by start, numbers, bounds."""

import unittest

from sagetrestle.net.protocol import peer
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.ownership.values import FleetMap, MemberInfo, PartitionAssignment
from sagetrestle.peers import links
from sagetrestle.peers.frames import VERSION, Ack, Answer, Ask, Hello, Refused, Welcome
from sagetrestle.recovery.effects import EffectRecord, RecordKind
from sagetrestle.takeover import messages

S = 1_000_000


class LinksTest(unittest.TestCase):
    """One member, ``a``, and its links to ``b``."""

    def setUp(self):
        self.links = links.Links("f", "a@5", ("a", "b", "c"), 1, 0)

    def came(self, connection, *frames, now=0):
        return self.links.step(now, links.Came(connection, frames))

    def up(self, boot=7):
        self.links.passed(0)
        self.links.step(0, links.Dialled("b", 1))
        self.came(1, Welcome(VERSION, f"b@{boot}"))

    def hello(self, connection, sender="b@7", version=VERSION, fleet="f", to="a", observer=False):
        return self.came(connection, Hello(version, fleet, sender, to, observer))

    def test_what_is_said_goes_to_the_start_that_was_greeted_and_to_no_other(self):
        self.up()
        self.assertEqual([links.Write(1, links.Carry(1, "x"))], self.links.say(0, "b@7", "x", 10))
        self.assertEqual([], self.links.say(0, "b@8", "x", 10))
        self.assertEqual([links.Write(1, links.Carry(2, "x"))], self.links.say(0, "b", "x", 10))
        self.assertEqual([], self.links.say(0, "c", "x", 10))

    def test_a_later_start_under_a_name_ends_the_links_of_an_earlier_one_and_those_come_back_in_vain(self):
        self.hello(11, "b@7")
        self.assertEqual([links.Heard("b@7", "x")], self.came(11, links.Carry(1, "x")))
        self.assertIn(links.Close(11), self.hello(12, "b@9"))
        self.assertEqual([], self.came(11, links.Carry(2, "late")))
        self.assertIn(links.Close(13), self.hello(13, "b@8"))
        self.assertEqual([links.Heard("b@9", "y")], self.came(12, links.Carry(1, "y")))

    def test_a_message_that_the_network_repeats_counts_once_and_is_acknowledged(self):
        self.hello(11)
        said = self.came(11, links.Carry(1, "x"), links.Carry(1, "x"), links.Carry(2, "y"))
        self.assertEqual([links.Heard("b@7", "x"), links.Heard("b@7", "y")], said)
        self.assertIn(links.Write(11, Ack(2)), self.links.passed(links.ACK_WITHIN_US))
        self.assertEqual([], self.came(11, links.Carry(2, "y")))
        said = self.came(11, *(links.Carry(number, "z") for number in range(3, 3 + links.ACK_AFTER)))
        self.assertEqual([links.Write(11, Ack(2 + links.ACK_AFTER))], [one for one in said if type(one) is links.Write])

    def test_others_are_refused_with_the_reason(self):
        for number, more in enumerate(({"fleet": "g"}, {"to": "b"}, {"version": 9}, {"sender": "z@1"})):
            said = self.hello(20 + number, **more)
            self.assertIsInstance(said[0].frame, Refused)
            self.assertEqual(links.Close(20 + number), said[1])
            self.assertEqual([], self.came(20 + number, links.Carry(1, "x")))

    def test_a_slow_member_costs_a_bound_and_what_it_does_not_take_is_dropped(self):
        self.up()
        for _ in range(3_000):
            self.links.say(0, "b", "x", 1_000)
        out = self.links.out["b"]
        self.assertLessEqual(out.bytes_out, links.MOST_OUT)
        self.assertEqual(3_000, out.sent + out.dropped)
        self.came(1, Ack(out.number))
        self.assertEqual(0, out.bytes_out)

    def test_a_link_that_stalls_or_is_not_greeted_is_set_up_anew_with_growing_pauses(self):
        self.up()
        self.links.say(0, "b", "x", 10)
        self.assertIn(links.Close(1), self.links.passed(links.STALLED_US))
        self.assertEqual("", self.links.up("b"))
        waits = []
        now = links.STALLED_US
        for number in range(2, 8):
            while links.Dial("b") not in self.links.passed(now):
                now += 10_000
            waits.append(now)
            self.links.step(now, links.Dialled("b", number))
            now += links.GREET_US
        gaps = [after - before for before, after in zip(waits, waits[1:], strict=False)]
        self.assertLess(gaps[0], gaps[-1])
        self.assertLessEqual(gaps[-1], links.GREET_US + 2 * links.MOST_WAIT_US)

    def test_observers_ask_and_say_nothing(self):
        self.assertIn(links.Asked(30, None), self.hello(30, "f@1", observer=True))
        self.assertEqual([links.Asked(30, Ask("status"))], self.came(30, Ask("status")))
        self.assertEqual([], self.came(30, links.Carry(1, "x")))
        self.assertEqual([30], self.links.observers())
        self.links.step(0, links.Lost(30))
        self.assertEqual([], self.links.observers())


class WireTest(unittest.TestCase):
    """Bytes and back."""

    def test_all_frames_come_back_and_rubbish_is_one_error(self):
        share = PartitionAssignment(3, "n0@1", ("n1@1",), ("n2@1",))
        entry = EffectRecord(RecordKind.INTENT, "K", 5, "n0@1", 0, b"d", b"r")
        for message in (
            messages.EpochBase(1, share, 2, 9),
            messages.AppendRecords(1, 3, 4, (entry,)),
            messages.StaleEpoch(1, share),
            messages.MapUpdate(FleetMap(4, (share,), (MemberInfo("n0@1", "z"),))),
            messages.OutcomeReport(1, entry),
            messages.LeaseGrant(1, (0, 2)),
            messages.CouncilEnvelope("a", "b#1", messages.CouncilMessage.__args__[0](1, 2, 3, True)),
        ):
            frame = links.Carry(9, message)
            self.assertEqual(frame, peer.decode(peer.encode(frame)))
        for frame in (Hello(1, "f", "a@1", "b"), Welcome(1, "b@1"), Ack(3), Ask("status"), Answer(b"{}"), Refused("w")):
            self.assertEqual(frame, peer.decode(peer.encode(frame)))
        for data in (b"", b"\xc1", b"\x91\x01", peer.encode(Ack(3))[:-1] + b"\xa1x", b"\x92\xa5carry\x01"):
            with self.assertRaises(ProtocolError):
                peer.decode(data)
