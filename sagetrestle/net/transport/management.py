"""The second address: each connection brings one call of the operators' and gets one answer.

It has slots of its own. Where they are full, the oldest call that is not whole makes room, so that callers who
say nothing keep nobody out; whole ones are answered within a turn and hold no slot for long.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from sagetrestle.net.protocol.management import CallDecoder, CallError, encode_answer
from sagetrestle.net.routing.inputs import ManagementCallRead
from sagetrestle.net.routing.values import Address, ManagementCall, ManagementReply
from sagetrestle.net.transport.connection_ends import Post

LISTEN_BACKLOG = 128
CALL_TIMEOUT_S = 2.0  # for a call to be whole, and again for its answer to be taken
LINGER_TIMEOUT_S = 0.5  # how long input is still read and dropped after an answer that did not wait for all of it
CALL_BY_PATH = {
    "/api/ready": ManagementCall.READY,
    "/api/telemetry": ManagementCall.TELEMETRY,
    "/api/evacuate": ManagementCall.EVACUATE,
    "/api/rejoin": ManagementCall.REJOIN,
}


class ManagementConnection(Protocol, TimeoutMixin):
    """One caller."""

    factory: ManagementFront
    number = 0  # once admitted

    def connectionMade(self) -> None:  # noqa: D102
        self._decoder = CallDecoder()
        self.call_received = self._answered = self._head_only = False
        self.transport.setTcpNoDelay(True)
        self.factory.admit(self)
        self.setTimeout(CALL_TIMEOUT_S)

    def callLater(self, seconds: float, callback: Any) -> Any:
        """Set the timer on the reactor that all else runs on."""
        return self.factory.reactor.callLater(seconds, callback)

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        if self.call_received or self._answered:  # one call a connection: what follows it is dropped
            return
        try:
            call = self._decoder.feed(data)
        except CallError as error:
            self._respond(error.status, f"{error}\n", error.allow)
            return
        if call is not None:
            self.call_received, self._head_only = True, call.head
            self.setTimeout(CALL_TIMEOUT_S)
            self.factory.post(ManagementCallRead(self.number, CALL_BY_PATH[call.path]))

    def respond(self, reply: ManagementReply) -> None:
        """Give the call its answer."""
        self._respond(HTTPStatus(reply.status), reply.text)

    def _respond(self, status: HTTPStatus, text: str, allow: tuple[str, ...] = ()) -> None:
        """Write an answer, and close once the other side has had time to read it.

        With unread input a close is a reset, which can overtake the answer.
        """
        if self._answered:
            return
        self._answered = True
        self.transport.write(encode_answer(status, text, self._head_only, allow))
        if self.call_received:
            self.transport.loseConnection()
        else:
            self.transport.loseWriteConnection()
            self.setTimeout(LINGER_TIMEOUT_S)

    def timeoutConnection(self) -> None:
        """Tell one that was too slow, and cut off one that takes no answer."""
        if self._answered or self.call_received:
            self.transport.abortConnection()
        else:
            self._respond(HTTPStatus.REQUEST_TIMEOUT, "the call was not whole in time\n")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self.setTimeout(None)
        self.factory.connections.pop(self.number, None)


class ManagementFront(ServerFactory):
    """The callers of the second address, oldest first."""

    noisy = False
    protocol = ManagementConnection

    def __init__(self, reactor: Any, post: Post, max_connections: int) -> None:
        self.reactor, self.post, self._max_connections = reactor, post, max_connections
        self.connections: dict[int, ManagementConnection] = {}
        self.port: IListeningPort | None = None
        self._count = 0

    def buildProtocol(self, addr: Any) -> ManagementConnection | None:
        """Take a caller; with no slot left, the oldest whose call is not whole goes, or else the newcomer."""
        if len(self.connections) >= self._max_connections:
            oldest = next(
                (connection for connection in self.connections.values() if not connection.call_received), None
            )
            if oldest is None:
                return None
            self.connections.pop(oldest.number)
            oldest.transport.abortConnection()
        return super().buildProtocol(addr)  # type: ignore[return-value]

    def admit(self, connection: ManagementConnection) -> None:
        """Give a new caller its number."""
        self._count += 1
        connection.number = self._count
        self.connections[connection.number] = connection

    def answer(self, number: int, reply: ManagementReply) -> None:
        """Answer a call, if its caller still waits."""
        connection = self.connections.get(number)
        if connection:
            connection.respond(reply)

    def listen(self, address: Address) -> Address:
        """Take calls at this address and return the one that was got. Raises CannotListenError."""
        host, port = address
        self.port = self.reactor.listenTCP(port, self, LISTEN_BACKLOG, host)
        return host, self.port.getHost().port
