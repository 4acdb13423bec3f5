"""DNS-SD answers under a flood of questions."""

import unittest

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.names import dns

from sagetrestle.net.transport.dnssd import (
    IDLE_TIMEOUT_S,
    MAX_MESSAGES_PER_WINDOW,
    PACE_WINDOW_S,
    BoundedDnsFactory,
    PacedDatagramProtocol,
    ServiceAuthority,
)

FLOOD = 100


def question(number=1):
    """Return a question for a name that nobody asked for before."""
    message = dns.Message(number)
    message.addQuery(f"name-{number}.example", dns.PTR)
    return message.toStr()


class Wire(StringTransport):
    """A connection in memory."""

    aborted = False

    def abortConnection(self):
        self.aborted = True


class Datagrams:
    """A UDP socket in memory: it delivers one datagram at a time while it is read."""

    def __init__(self, protocol):
        self.answers, self.reading, self.waiting, self.maxThroughput = [], True, [], 1
        protocol.makeConnection(self)
        self.protocol = protocol

    def write(self, data, address):
        self.answers.append(data)

    def stopReading(self):
        self.reading = False

    def startReading(self):
        self.reading = True

    def deliver(self):
        """Read as Twisted's port does: in each turn it ends by the bytes that were read alone."""
        while self.reading and self.waiting:
            read = 0
            while read < self.maxThroughput and self.waiting:
                data = self.waiting.pop(0)
                read += len(data)
                self.protocol.datagramReceived(data, ("127.0.0.1", 1))


class FloodTest(unittest.TestCase):
    """One client sends questions at full speed."""

    def setUp(self):
        self.clock = Clock()
        authority = ServiceAuthority("sagetrestle.internal", "n1", ("127.0.0.1", 4000), ["quick-check"])
        self.factory = BoundedDnsFactory(self.clock, authority, 2)

    def connect(self):
        connection = self.factory.buildProtocol(None)
        connection.makeConnection(Wire())
        return connection

    def flood(self, connection):
        connection.dataReceived(b"".join(len(one).to_bytes(2, "big") + one for one in map(question, range(1, FLOOD))))

    @staticmethod
    def answers(connection):
        data, count = connection.transport.value(), 0
        while data:
            data, count = data[2 + int.from_bytes(data[:2], "big") :], count + 1
        return count

    # Guards against other clients that wait for seconds, as a flood of questions is answered in one go.
    def test_connections_and_datagrams_share_one_pace(self):
        connections, datagrams = [self.connect(), self.connect()], Datagrams(PacedDatagramProtocol(self.factory))
        datagrams.waiting = [question(number) for number in range(1, FLOOD)]
        for connection in connections:
            self.flood(connection)
        datagrams.deliver()
        for window in range(1, 4):
            total = sum(self.answers(connection) for connection in connections) + len(datagrams.answers)
            self.assertLessEqual(total, window * (MAX_MESSAGES_PER_WINDOW + 2))  # one more of each other source
            self.assertGreaterEqual(total, window * MAX_MESSAGES_PER_WINDOW)
            self.clock.advance(PACE_WINDOW_S)
            datagrams.deliver()

    # Guards against other clients that wait as long as empty datagrams come, of which the port reads any number.
    def test_empty_datagrams_are_read_at_the_pace(self):
        datagrams = Datagrams(PacedDatagramProtocol(self.factory))
        datagrams.waiting = [b""] * FLOOD
        for window in range(1, 4):
            datagrams.deliver()
            self.assertEqual(FLOOD - window * MAX_MESSAGES_PER_WINDOW, len(datagrams.waiting))
            self.assertEqual(1, len(self.clock.getDelayedCalls()))
            self.clock.advance(PACE_WINDOW_S)

    def test_all_questions_are_answered_in_the_end(self):
        connection = self.connect()
        self.flood(connection)
        for _ in range(2 * FLOOD // MAX_MESSAGES_PER_WINDOW):
            self.clock.advance(PACE_WINDOW_S)
        self.assertEqual(FLOOD - 1, self.answers(connection))

    # Guards against memory that grows without end, as a client asks on and on and takes no answer.
    def test_a_connection_whose_answers_are_not_taken_is_not_read_and_ends(self):
        connection = self.connect()
        connection.transport.producer.pauseProducing()
        before = self.answers(connection)
        for _ in range(10):
            self.flood(connection)
            self.clock.advance(PACE_WINDOW_S)
        self.assertEqual(before, self.answers(connection))
        self.assertEqual("paused", connection.transport.producerState)
        self.clock.advance(IDLE_TIMEOUT_S)
        self.assertTrue(connection.transport.aborted)

    def test_the_oldest_connection_makes_room(self):
        connections = [self.connect() for _ in range(3)]
        self.assertEqual([True, False, False], [connection.transport.aborted for connection in connections])
        self.assertEqual(2, len(self.factory.connections))
