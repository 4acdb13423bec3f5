"""The management front: each connection carries one call of an operator and its answer.

It has its own connection limit. When that is reached, the oldest connection without a complete call is aborted, so that
silent callers do not block others. A complete call is answered within one turn and holds its connection briefly.
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
CALL_TIMEOUT_S = 2.0  # for receiving the complete call, and again for sending its answer
LINGER_TIMEOUT_S = 0.5  # input is read and dropped for this time after an answer sent before the call was complete
CALL_BY_PATH = {
    "/api/ready": ManagementCall.READY,
    "/api/telemetry": ManagementCall.TELEMETRY,
    "/api/evacuate": ManagementCall.EVACUATE,
    "/api/rejoin": ManagementCall.REJOIN,
}


class ManagementConnection(Protocol, TimeoutMixin):
    """The connection of one caller."""

    factory: ManagementFront
    number = 0  # set on admission

    def connectionMade(self) -> None:  # noqa: D102
        self._decoder = CallDecoder()
        self.call_received = self._answered = self._head_only = False
        self.transport.setTcpNoDelay(True)
        self.factory.admit(self)
        self.setTimeout(CALL_TIMEOUT_S)

    def callLater(self, seconds: float, callback: Any) -> Any:
        """Schedule a call on the factory's reactor, for ``TimeoutMixin``."""
        return self.factory.reactor.callLater(seconds, callback)

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        if self.call_received or self._answered:  # one call per connection: further input is dropped
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
        """Send the answer to the call."""
        self._respond(HTTPStatus(reply.status), reply.text)

    def _respond(self, status: HTTPStatus, text: str, allow: tuple[str, ...] = ()) -> None:
        """Write an answer and close; if the call was incomplete, only the write side is closed at first.

        Closing a socket with unread input sends a reset, which can reach the peer before it has read the answer.
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
        """Answer 408 if the call was not complete in time; abort if the answer could not be sent in time."""
        if self._answered or self.call_received:
            self.transport.abortConnection()
        else:
            self._respond(HTTPStatus.REQUEST_TIMEOUT, "the call was not whole in time\n")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self.setTimeout(None)
        self.factory.connections.pop(self.number, None)


class ManagementFront(ServerFactory):
    """The listening socket and the connections of the management front, oldest first."""

    noisy = False
    protocol = ManagementConnection

    def __init__(self, reactor: Any, post: Post, max_connections: int) -> None:
        self.reactor, self.post, self._max_connections = reactor, post, max_connections
        self.connections: dict[int, ManagementConnection] = {}
        self.port: IListeningPort | None = None
        self._count = 0

    def buildProtocol(self, addr: Any) -> ManagementConnection | None:
        """Accept a caller; at the limit, abort the oldest one without a complete call, or else reject the new one."""
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
        """Assign a number to a new caller."""
        self._count += 1
        connection.number = self._count
        self.connections[connection.number] = connection

    def answer(self, number: int, reply: ManagementReply) -> None:
        """Send the answer to a call, if its connection is still open."""
        connection = self.connections.get(number)
        if connection:
            connection.respond(reply)

    def listen(self, address: Address) -> Address:
        """Listen at this address and return the bound address. Raises CannotListenError."""
        host, port = address
        self.port = self.reactor.listenTCP(port, self, LISTEN_BACKLOG, host)
        return host, self.port.getHost().port
