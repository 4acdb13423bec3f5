"""What all server connections share: a number, bounded buffers, one end."""

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

STALL_TIMEOUT_S = 2.0  # for the rest of a request that has begun, and for taking the answers that wait
LINGER_TIMEOUT_S = 1.0  # for the other side to end a connection that this side has ended
LISTEN_BACKLOG = 512  # connections that may wait at a listening socket


def has_unread(transport: Any) -> bool:
    """Tell whether bytes, or the other side's end, wait unread at a transport's socket."""
    descriptor = transport.fileno()
    if descriptor < 0:
        return False
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


@implementer(IPushProducer, IHalfCloseableProtocol)
class FrontConnection(Protocol, TimeoutMixin):
    """A connection that reads nothing more while the other side does not take its answers, or is paced.

    As few requests are open on a connection, what waits to be written to it is bounded by that.
    """

    factory: Front
    name: ConnectionId | None = None  # once admitted
    _linger_timer: Any = None  # the timer that bounds the other side's end, once this side has ended

    def connectionMade(self) -> None:  # noqa: D102
        self._write_blocked = self._read_paused = self._peer_closed = False
        self._local_end: tuple[ConnectionEnd, str] | None = None
        if self.factory.is_full():
            self.refuse()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.factory.admit(self)

    def refuse(self) -> None:
        """Tell the other side that there is no room, on fronts that have a word for it."""
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

    def callLater(self, seconds: float, callback: Any) -> Any:
        """Set the timer on the reactor that all else runs on."""
        return self.factory.reactor.callLater(seconds, callback)

    def partial(self) -> bool:
        """Tell whether a request has begun and its rest has yet to come."""
        raise NotImplementedError

    def can_close_safely(self) -> bool:
        """Tell whether nothing has come that was not taken in yet: closing now loses no request."""
        return not self.partial() and not has_unread(self.transport)

    def has_unanswered_requests(self) -> bool:
        """Tell whether a request that was read on this connection waits for its answer."""
        return False

    def read_pending_input(self) -> None:
        """Take in what has come and was not looked at yet, whatever the pace."""
        raise NotImplementedError

    def _update_stall_timer(self, restart: bool) -> None:
        """Bound the time that half a request, or answers that are not taken, may last."""
        if self._local_end or self._read_paused or not (self._write_blocked or self.partial()):
            self.setTimeout(None)
        elif restart or self.timeOut is None:
            self.setTimeout(STALL_TIMEOUT_S)

    def timeoutConnection(self) -> None:
        """Cut off a side that does not go on; while answers are owed, half a request does not cost it those."""
        if not self._write_blocked and self.has_unanswered_requests():
            self.setTimeout(STALL_TIMEOUT_S)
            return
        detail = "answers are not taken" if self._write_blocked else "a request stopped in its middle"
        self._local_end = (ConnectionEnd.TIMED_OUT, detail)
        self.transport.unregisterProducer()
        self.transport.abortConnection()

    def pause_reading(self, seconds: float) -> None:
        """Read nothing for so long; what was read but not looked at waits as well."""
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
        """Take bytes in."""
        raise NotImplementedError

    def abort_malformed(self, fault: ProtocolError) -> None:
        """End the connection: where the bytes can not be read, nothing after them can be."""
        self._local_end = (connection_end_for_fault(fault), str(fault))
        self.transport.unregisterProducer()
        self.transport.abortConnection()

    def close(self) -> None:
        """End this side once what was written is sent; the other side ends its own, within a bound.

        What still comes is read and dropped. Left unread it would make the close a reset, which takes with it
        the answers that have not arrived yet.
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
        """End the writing alone."""
        self.transport.loseWriteConnection()

    def readConnectionLost(self) -> None:
        """End a connection that the other side has ended, once what was written is sent."""
        self._peer_closed = True
        if self._linger_timer is None:
            self.close()
        else:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Our own half-close; the other side's end follows."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self.setTimeout(None)
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
        """Stop at the transport's word; ``connectionLost`` follows."""


C = TypeVar("C", bound=FrontConnection)


class Front(ServerFactory, Generic[C]):
    """The connections of one front, by name; it holds nothing about requests."""

    noisy = False

    def __init__(self, reactor: Any, kind: str, protocol: type[C], post: Post, max_connections: int) -> None:
        self.reactor, self.kind, self.protocol, self.post = reactor, kind, protocol, post
        self.max_connections = max_connections
        self.connections: dict[ConnectionId, C] = {}
        self.port: IListeningPort | None = None
        self.inherited_ports: list[IListeningPort] = []  # passed by another process when there was one already
        self._count = 0

    def send(self, request_ref: RequestRef, answer: Answer, value: float | None) -> None:
        """Write a final answer, if its connection still stands."""
        raise NotImplementedError

    def send_health(self, request_ref: RequestRef, good: bool, value: float | None) -> None:
        """Write the answer to a health check, on wires that have them."""
        raise NotImplementedError

    def read_pending_input(self) -> None:
        """Take in what has come on any connection and was not looked at yet."""
        for connection in list(self.connections.values()):
            connection.read_pending_input()

    def stop_new_requests(self, connection: C) -> None:
        """Have no new request come on a connection."""
        raise NotImplementedError

    def is_full(self) -> bool:
        """Tell whether no further connection fits: descriptors are bounded, and others need theirs."""
        return len(self.connections) >= self.max_connections

    def sends_refusals(self) -> bool:
        """Tell whether a connection for which there is no room is still told so."""
        return False

    def buildProtocol(self, addr: Any) -> C | None:
        """Take a connection; one for which there is no room is closed before it gets any further.

        Were it taken and then cut off, a burst would hold descriptors that calls need.
        """
        if self.is_full():
            self.post(RequestRejected(self.connection_id(0), "too many connections"))
            if not self.sends_refusals():
                return None
        return super().buildProtocol(addr)  # type: ignore[return-value]

    def connection_id(self, number: int) -> ConnectionId:
        """Return a connection's name; 0 stands for one that was not admitted."""
        return ConnectionId(self.kind, number)

    def mark_suspect(self, connection: C) -> None:
        """Note that what came on a connection was no use."""

    def admit(self, connection: C) -> None:
        """Name a new connection."""
        self._count += 1
        connection.name = self.connection_id(self._count)
        self.connections[connection.name] = connection
        self.post(ConnectionOpened(connection.name))

    def stop_listening(self, shared: bool = False) -> None:
        """Close the listening sockets, after taking in what already waits on them.

        A connection that the machine accepted but that was never taken in would be reset, and a request
        written to it lost. What waits at a socket that another process shares is left to that.
        """
        for port in (self.port, *self.inherited_ports):
            if port is not None:
                if not shared:
                    port.numberAccepts = LISTEN_BACKLOG + 1  # else it takes in about as many as the last time
                    port.doRead()
                port.stopListening()
        self.port, self.inherited_ports = None, []
