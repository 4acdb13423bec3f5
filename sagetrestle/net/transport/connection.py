"""Base classes of the server connections: numbering, back-pressure, timeouts and closing."""

from __future__ import annotations

import select
from typing import Any, Generic, TypeVar

from twisted.internet.interfaces import IHalfCloseableProtocol, IListeningPort, IPushProducer
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure
from zope.interface import implementer

from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.routing.inputs import ConnectionEnded, ConnectionOpened, RequestRejected
from sagetrestle.net.routing.values import Answer, ConnectionEnd, ConnectionId, RequestRef
from sagetrestle.net.transport.connection_ends import Post, connection_end_for, connection_end_for_fault
from sagetrestle.net.transport.input_budget import InputBudget

STALL_TIMEOUT_S = 2.0  # without progress on a partial request or on answers waiting to be sent
LINGER_TIMEOUT_S = 1.0  # for the peer to close after this side has closed
BUDGET_PAUSE_S = 0.05  # between two reads of a connection while unfinished requests take too much memory
DEFAULT_INPUT_BYTES = 4 << 20
LISTEN_BACKLOG = 512  # connections waiting to be accepted at a listening socket


def has_unread(transport: Any) -> bool:
    """Return whether unread bytes, or the peer's end of stream, are pending at a transport's socket."""
    descriptor = transport.fileno()
    if descriptor < 0:
        return False
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


@implementer(IPushProducer, IHalfCloseableProtocol)
class FrontConnection(Protocol, TimeoutMixin):
    """A server connection that stops reading while its writes are blocked or its reads are paused.

    The few requests that can be open on a connection bound the bytes waiting to be written to it.
    """

    factory: Front
    name: ConnectionId | None = None  # set on admission
    _linger_timer: Any = None  # limits the wait for the peer's close, once this side has closed

    def connectionMade(self) -> None:  # noqa: D102
        self._write_blocked = self._read_paused = self._peer_closed = False
        self._request_completed = False  # since the held input was counted last
        self._local_end: tuple[ConnectionEnd, str] | None = None
        if self.factory.is_full():
            self.refuse()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.factory.admit(self)

    def refuse(self) -> None:
        """Tell the peer that there is no room; only for fronts whose protocol can express it."""
        raise NotImplementedError

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        if self._local_end or self.name is None:
            return
        try:
            self.read(data)
        except ProtocolError as fault:
            self.abort_malformed(fault)
        else:
            self._update_stall_timer(restart=False)
        self._count_held_input()

    def held_bytes(self) -> int:
        """Return how many received bytes are held for requests that are not complete."""
        raise NotImplementedError

    def _count_held_input(self) -> None:
        """Update the budget of unfinished requests; while it is used up, read little."""
        held_bytes = 0 if self._local_end else self.held_bytes()
        within = self.factory.input_budget.update(self, held_bytes, self._request_completed)
        self._request_completed = False
        if not within and held_bytes and not self._local_end:
            self.pause_reading(BUDGET_PAUSE_S)

    def abort_for_memory(self) -> None:
        """Abort the connection, as unfinished requests take too much memory."""
        self._local_end = (ConnectionEnd.TOO_LARGE, "unfinished requests take too much memory")
        self.setTimeout(None)
        self.transport.unregisterProducer()
        self.transport.abortConnection()

    def callLater(self, seconds: float, callback: Any) -> Any:
        """Schedule a call on the factory's reactor, for ``TimeoutMixin``."""
        return self.factory.reactor.callLater(seconds, callback)

    def partial(self) -> bool:
        """Return whether part of a request has been received and the rest is missing."""
        raise NotImplementedError

    def can_close_safely(self) -> bool:
        """Return whether closing now loses no request: no partial request and no unread input."""
        return not self.partial() and not has_unread(self.transport)

    def has_unanswered_requests(self) -> bool:
        """Return whether a request that was read on this connection has no answer yet."""
        return False

    def read_pending_input(self) -> None:
        """Read and decode all input that has already arrived, even while reading is paused."""
        raise NotImplementedError

    def _update_stall_timer(self, restart: bool) -> None:
        """Run the stall timer while a request is partial or writes are blocked, and stop it otherwise."""
        if self._local_end or self._read_paused or not (self._write_blocked or self.partial()):
            self.setTimeout(None)
        elif restart or self.timeOut is None:
            self.setTimeout(STALL_TIMEOUT_S)

    def timeoutConnection(self) -> None:
        """Abort a stalled connection.

        A partial request does not abort the connection while earlier requests on it are unanswered: their
        answers would be lost.
        """
        if not self._write_blocked and self.has_unanswered_requests():
            self.setTimeout(STALL_TIMEOUT_S)
            return
        detail = "answers are not taken" if self._write_blocked else "a request stopped in its middle"
        self._local_end = (ConnectionEnd.TIMED_OUT, detail)
        self.transport.unregisterProducer()
        self.transport.abortConnection()

    def pause_reading(self, seconds: float) -> None:
        """Stop reading for a time; data that was received but not decoded is kept until then."""
        if not self._read_paused:
            self._read_paused = True
            self._apply_read_state()
            self.callLater(seconds, self._resume_after_pause)

    def _resume_after_pause(self) -> None:
        self._read_paused = False
        if self.name in self.factory.connections and not self._local_end:
            self._apply_read_state()
            self.dataReceived(b"")

    def _apply_read_state(self) -> None:
        if self._write_blocked or self._read_paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def read(self, data: bytes) -> None:
        """Decode received bytes."""
        raise NotImplementedError

    def abort_malformed(self, fault: ProtocolError) -> None:
        """Abort the connection: after malformed bytes the rest of the stream cannot be decoded."""
        self._local_end = (connection_end_for_fault(fault), str(fault))
        self.transport.unregisterProducer()
        self.transport.abortConnection()

    def close(self) -> None:
        """Close this side after pending writes are sent, and wait up to ``LINGER_TIMEOUT_S`` for the peer to close.

        Input that still arrives is read and dropped: closing a socket with unread input sends a reset, which
        can destroy answers still in flight.
        """
        if self._linger_timer is not None:
            return
        self._local_end = self._local_end or (ConnectionEnd.CLOSED_LOCALLY, "")
        self.setTimeout(None)
        if self.name is not None:
            self.transport.unregisterProducer()
        self._linger_timer = self.callLater(LINGER_TIMEOUT_S, self.transport.abortConnection)
        if self._peer_closed:
            self.transport.loseConnection()
        else:
            self.transport.resumeProducing()
            self.half_close()

    def half_close(self) -> None:
        """Close the write side only."""
        self.transport.loseWriteConnection()

    def readConnectionLost(self) -> None:
        """Close after the peer's end of stream, once pending writes are sent."""
        self._peer_closed = True
        if self._linger_timer is None:
            self.close()
        else:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Do nothing after this side's half-close: the connection ends when the peer closes."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self.setTimeout(None)
        self.factory.input_budget.remove(self)
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        if self.name and self.factory.connections.pop(self.name, None):
            end, detail = self._local_end or (connection_end_for(reason), "")
            self.factory.post(ConnectionEnded(self.name, end, detail))

    def pauseProducing(self) -> None:  # noqa: D102
        self._write_blocked = True
        self._apply_read_state()
        self._update_stall_timer(restart=False)

    def resumeProducing(self) -> None:  # noqa: D102
        self._write_blocked = False
        self._apply_read_state()
        self._update_stall_timer(restart=False)

    def stopProducing(self) -> None:
        """Do nothing: the transport calls ``connectionLost`` next."""


C = TypeVar("C", bound=FrontConnection)


class Front(ServerFactory, Generic[C]):
    """The listening sockets and the connections of one front; it keeps no state of requests."""

    noisy = False

    def __init__(self, reactor: Any, kind: str, protocol: type[C], post: Post, max_connections: int) -> None:
        self.reactor, self.kind, self.protocol, self.post = reactor, kind, protocol, post
        self.max_connections = max_connections
        self.connections: dict[ConnectionId, C] = {}
        self.port: IListeningPort | None = None
        self.inherited_ports: list[IListeningPort] = []  # further sockets of this front that the old process passed on
        self.input_budget = InputBudget(DEFAULT_INPUT_BYTES)  # replaced by the one that all fronts share
        self._count = 0

    def send(self, request_ref: RequestRef, answer: Answer, value: float | None) -> None:
        """Write a final answer, if the connection of the request is still open."""
        raise NotImplementedError

    def send_health(self, request_ref: RequestRef, good: bool, value: float | None) -> None:
        """Write the answer to a health check; only for protocols that have health checks."""
        raise NotImplementedError

    def read_pending_input(self) -> None:
        """Read and decode all input that has already arrived on any connection."""
        for connection in list(self.connections.values()):
            connection.read_pending_input()

    def stop_new_requests(self, connection: C) -> None:
        """Ask the peer to send no new requests on a connection."""
        raise NotImplementedError

    def is_full(self) -> bool:
        """Return whether the connection limit is reached; file descriptors are limited, and other parts need some."""
        return len(self.connections) >= self.max_connections

    def sends_refusals(self) -> bool:
        """Return whether a connection over the limit is accepted and sent a refusal before it is closed."""
        return False

    def buildProtocol(self, addr: Any) -> C | None:
        """Accept a connection, or close it at once if the connection limit is reached.

        Accepting and aborting it later would let a burst of connections hold file descriptors that calls need.
        """
        if self.is_full():
            self.post(RequestRejected(self.connection_id(0), "too many connections"))
            if not self.sends_refusals():
                return None
        return super().buildProtocol(addr)  # type: ignore[return-value]

    def connection_id(self, number: int) -> ConnectionId:
        """Return the id of a connection by its number; number 0 stands for all connections that were not admitted."""
        return ConnectionId(self.kind, number)

    def mark_suspect(self, connection: C) -> None:
        """Note that a connection sent a call that could not be used; a front may then read less from it."""

    def admit(self, connection: C) -> None:
        """Assign an id to a new connection and report that it is open."""
        self._count += 1
        connection.name = self.connection_id(self._count)
        self.connections[connection.name] = connection
        self.post(ConnectionOpened(connection.name))

    def stop_listening(self, shared: bool = False) -> None:
        """Close the listening sockets, after accepting the connections that already wait on them.

        A connection that the kernel has completed but that is never accepted would be reset, and a request
        written to it lost. Connections waiting on a socket shared with another process are left to that process.
        """
        for port in (self.port, *self.inherited_ports):
            if port is not None:
                if not shared:
                    port.numberAccepts = LISTEN_BACKLOG + 1  # Twisted otherwise limits it to about the last count
                    port.doRead()
                port.stopListening()
        self.port, self.inherited_ports = None, []
