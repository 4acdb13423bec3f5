"""The memory that unfinished requests take."""

import tracemalloc
import unittest

from sagetrestle.net.protocol import peer, scgi
from sagetrestle.net.program.limits import Limits, derive_bounds
from sagetrestle.net.transport.input_budget import InputBudget
from sagetrestle.net.transport.peer_link import MAX_CONNECTIONS, MAX_GREETING, PeerLinks
from sagetrestle.peers.frames import ObserverQuery
from tests.net.scenario import Wire
from twisted.internet.testing import MemoryReactorClock


class Holder:
    """A connection that holds input."""

    def __init__(self, unanswered=False):
        self.unanswered, self.aborted = unanswered, False

    def has_unanswered_requests(self):
        return self.unanswered

    def abort_for_memory(self):
        self.aborted = True


def head_of_short_fields():
    """Return the head of a request with as many fields as fit, whose body is missing."""
    block = b"CONTENT_LENGTH\x002000\0SCGI\x001\0"
    for number in range(10_000):
        field = b"%x\0\0" % number
        if len(block) + len(field) > scgi.MAX_HEADERS:
            break
        block += field
    return b"%d:%s," % (len(block), block)


class InputBudgetTest(unittest.TestCase):
    """Which connections are aborted over the maximum."""

    def test_the_connections_whose_requests_are_unfinished_longest_go_first(self):
        budget, holders = InputBudget(100), [Holder() for _ in range(5)]
        for holder in holders[:4]:
            self.assertTrue(budget.update(holder, 25))
        self.assertTrue(budget.update(holders[0], 10, progressed=True))  # another request of it has begun
        self.assertTrue(budget.update(holders[4], 50))
        self.assertEqual([False, True, True, False, False], [holder.aborted for holder in holders])
        self.assertEqual(85, budget.total)

    def test_a_connection_with_unanswered_requests_is_spared_and_the_excess_is_told(self):
        budget, busy, idle = InputBudget(100), Holder(unanswered=True), Holder()
        self.assertTrue(budget.update(idle, 60))
        self.assertFalse(budget.update(busy, 120))
        self.assertEqual((True, False), (idle.aborted, busy.aborted))
        self.assertTrue(budget.update(busy, 0))
        self.assertEqual(0, budget.total)

    def test_ended_connections_hold_nothing(self):
        budget, holder = InputBudget(100), Holder()
        budget.update(holder, 60)
        budget.remove(holder)
        budget.remove(holder)
        self.assertEqual(0, budget.total)


class BoundsTest(unittest.TestCase):
    """Bounds that follow from the memory."""

    def test_connections_and_input_are_bounded_by_the_memory_where_there_are_many_sockets(self):
        few, many = (derive_bounds(Limits(sockets, 96.0), True, False, True) for sockets in (512, 65_536))
        self.assertLessEqual(sum(many.connections.values()) * 4_096, 0.1 * 96 * (1 << 20))
        self.assertLessEqual(many.connections["scgis"] * 27 * 1_024, 0.11 * 96 * (1 << 20))
        self.assertEqual(few.input_bytes, many.input_bytes)
        self.assertLess(sum(few.connections.values()), sum(many.connections.values()))


class ScgiHeadTest(unittest.TestCase):
    """Heads of requests whose body is missing."""

    # Guards against a process over its memory limit, as decoded short fields take many times their bytes.
    def test_a_head_of_short_fields_takes_no_more_than_its_bytes_until_the_body_is_there(self):
        data, decoders = head_of_short_fields(), [scgi.RequestDecoder() for _ in range(50)]
        tracemalloc.start()
        try:
            for decoder in decoders:
                self.assertIsNone(decoder.feed(data))
            held = tracemalloc.get_traced_memory()[0] / len(decoders)
        finally:
            tracemalloc.stop()
        self.assertLess(held, 2 * len(data))
        self.assertGreater(decoders[0].buffered, 0.9 * len(data))
        request = decoders[0].feed(b"x" * 2000)
        self.assertEqual(("", 2000), (request.headers["ff"], len(request.body)))
        self.assertEqual(0, decoders[0].buffered)


class PeerGreetingTest(unittest.TestCase):
    """Callers at a member's port that are no members."""

    def setUp(self):
        self.events = []
        self.links = PeerLinks(MemoryReactorClock(), {}, self.events.append)

    def connect(self):
        connection = self.links.buildProtocol(None)
        if connection is not None:
            Wire(connection)
        return connection

    # Guards against a process over its memory limit by callers that stop half way through a frame of 8 MiB.
    def test_a_caller_that_has_not_greeted_sends_no_large_frame(self):
        connection = self.connect()
        connection.dataReceived((MAX_GREETING + 1).to_bytes(4, "big"))
        self.assertFalse(connection.transport.connected)

    # Guards against members that wait while the frames of a caller that never greets are read.
    def test_a_caller_that_sends_something_before_its_greeting_is_cut_off(self):
        connection, frame = self.connect(), peer.encode(ObserverQuery("status"))
        connection.dataReceived(len(frame).to_bytes(4, "big") + frame)
        self.assertFalse(connection.transport.connected)

    # Guards against members that are kept out by callers that say nothing.
    def test_silent_callers_make_room_and_end_in_time(self):
        first, *others = [self.connect() for _ in range(MAX_CONNECTIONS)]
        self.assertIsNotNone(self.connect())
        self.assertEqual((False, True), (first.transport.connected, others[0].transport.connected))
        self.links.reactor.advance(2.1)
        self.assertFalse(any(one.transport.connected for one in others))
