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
from sagetrestle.net.transport.ends import Post, end_of, end_of_fault

STALLED_S = 2.0  # for the rest of a request that has begun, and for taking the answers that wait
LINGER_S = 1.0  # for the other side to end a connection that this side has ended
BACKLOG = 512  # connections that may wait at a listening socket


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
    _linger: Any = None  # the timer that bounds the other side's end, once this side has ended

    def connectionMade(self) -> None:  # noqa: D102
        self._choked = self._paced = self._peer_ended = False
        self._broken: tuple[ConnectionEnd, str] | None = None
        if self.factory.full():
            self.turn_down()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.factory.admit(self)

    def turn_down(self) -> None:
        """Tell the other side that there is no room, on fronts that have a word for it."""
        raise NotImplementedError

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        if self._broken or self.name is None:
            return
        try:
            self.read(data)
        except ProtocolError as fault:
            self.broken(fault)
        else:
            self._watch(renew=False)

    def callLater(self, seconds: float, act: Any) -> Any:
        """Set the timer on the reactor that all else runs on."""
        return self.factory.reactor.callLater(seconds, act)

    def partial(self) -> bool:
        """Tell whether a request has begun and its rest has yet to come."""
        raise NotImplementedError

    def quiet(self) -> bool:
        """Tell whether nothing has come that was not taken in yet: closing now loses no request."""
        return not self.partial() and not has_unread(self.transport)

    def owes_answers(self) -> bool:
        """Tell whether a request that was read on this connection waits for its answer."""
        return False

    def take_in_waiting(self) -> None:
        """Take in what has come and was not looked at yet, whatever the pace."""
        raise NotImplementedError

    def _watch(self, renew: bool) -> None:
        """Bound the time that half a request, or answers that are not taken, may last."""
        if self._broken or self._paced or not (self._choked or self.partial()):
            self.setTimeout(None)
        elif renew or self.timeOut is None:
            self.setTimeout(STALLED_S)

    def timeoutConnection(self) -> None:
        """Cut off a side that does not go on; while answers are owed, half a request does not cost it those."""
        if not self._choked and self.owes_answers():
            self.setTimeout(STALLED_S)
            return
        what = "answers are not taken" if self._choked else "a request stopped in its middle"
        self._broken = (ConnectionEnd.TIMED_OUT, what)
        self.transport.unregisterProducer()
        self.transport.abortConnection()

    def pace(self, seconds: float) -> None:
        """Read nothing for so long; what was read but not looked at waits as well."""
        if not self._paced:
            self._paced = True
            self._set_reading()
            self.callLater(seconds, self._go_on)

    def _go_on(self) -> None:
        self._paced = False
        if self.name in self.factory.connections and not self._broken:
            self._set_reading()
            self.dataReceived(b"")

    def _set_reading(self) -> None:
        if self._choked or self._paced:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def read(self, data: bytes) -> None:
        """Take bytes in."""
        raise NotImplementedError

    def broken(self, fault: ProtocolError) -> None:
        """End the connection: where the bytes can not be read, nothing after them can be."""
        self._broken = (end_of_fault(fault), str(fault))
        self.transport.unregisterProducer()
        self.transport.abortConnection()

    def close(self) -> None:
        """End this side once what was written is sent; the other side ends its own, within a bound.

        What still comes is read and dropped. Left unread it would make the close a reset, which takes with it
        the answers that have not arrived yet.
        """
        if self._linger is not None:
            return
        self._broken = self._broken or (ConnectionEnd.CLOSED_LOCALLY, "")
        self.setTimeout(None)
        if self.name is not None:
            self.transport.unregisterProducer()
        self._linger = self.callLater(LINGER_S, self.transport.abortConnection)
        if self._peer_ended:
            self.transport.loseConnection()
        else:
            self.transport.resumeProducing()
            self.half_close()

    def half_close(self) -> None:
        """End the writing alone."""
        self.transport.loseWriteConnection()

    def readConnectionLost(self) -> None:
        """End a connection that the other side has ended, once what was written is sent."""
        self._peer_ended = True
        if self._linger is None:
            self.close()
        else:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Our own half-close; the other side's end follows."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self.setTimeout(None)
        if self._linger is not None and self._linger.active():
            self._linger.cancel()
        if self.name and self.factory.connections.pop(self.name, None):
            end, detail = self._broken or (end_of(reason), "")
            self.factory.post(ConnectionEnded(self.name, end, detail))

    def pauseProducing(self) -> None:  # noqa: D102
        self._choked = True
        self._set_reading()
        self._watch(renew=False)

    def resumeProducing(self) -> None:  # noqa: D102
        self._choked = False
        self._set_reading()
        self._watch(renew=False)

    def stopProducing(self) -> None:
        """Stop at the transport's word; ``connectionLost`` follows."""


C = TypeVar("C", bound=FrontConnection)


class Front(ServerFactory, Generic[C]):
    """The connections of one front, by name; it holds nothing about requests."""

    noisy = False

    def __init__(self, reactor: Any, kind: str, protocol: type[C], post: Post, most: int) -> None:
        self.reactor, self.kind, self.protocol, self.post, self.most = reactor, kind, protocol, post, most
        self.connections: dict[ConnectionId, C] = {}
        self.port: IListeningPort | None = None
        self.more_ports: list[IListeningPort] = []  # passed by another process when there was one already
        self._count = 0

    def send(self, request_ref: RequestRef, answer: Answer, value: float | None) -> None:
        """Write a final answer, if its connection still stands."""
        raise NotImplementedError

    def send_health(self, request_ref: RequestRef, good: bool, value: float | None) -> None:
        """Write the answer to a health check, on wires that have them."""
        raise NotImplementedError

    def take_in_waiting(self) -> None:
        """Take in what has come on any connection and was not looked at yet."""
        for connection in list(self.connections.values()):
            connection.take_in_waiting()

    def leave(self, connection: C) -> None:
        """Have no new request come on a connection."""
        raise NotImplementedError

    def full(self) -> bool:
        """Tell whether no further connection fits: descriptors are bounded, and others need theirs."""
        return len(self.connections) >= self.most

    def tells_full(self) -> bool:
        """Tell whether a connection for which there is no room is still told so."""
        return False

    def buildProtocol(self, addr: Any) -> C | None:
        """Take a connection; one for which there is no room is closed before it gets any further.

        Were it taken and then cut off, a burst would hold descriptors that calls need.
        """
        if self.full():
            self.post(RequestRejected(self.name_of(0), "too many connections"))
            if not self.tells_full():
                return None
        return super().buildProtocol(addr)  # type: ignore[return-value]

    def name_of(self, number: int) -> ConnectionId:
        """Return a connection's name; 0 stands for one that was not admitted."""
        return ConnectionId(self.kind, number)

    def doubt(self, connection: C) -> None:
        """Note that what came on a connection was no use."""

    def admit(self, connection: C) -> None:
        """Name a new connection."""
        self._count += 1
        connection.name = self.name_of(self._count)
        self.connections[connection.name] = connection
        self.post(ConnectionOpened(connection.name))

    def stop_listening(self, shared: bool = False) -> None:
        """Close the listening sockets, after taking in what already waits on them.

        A connection that the machine accepted but that was never taken in would be reset, and a request
        written to it lost. What waits at a socket that another process shares is left to that.
        """
        for port in (self.port, *self.more_ports):
            if port is not None:
                if not shared:
                    port.numberAccepts = BACKLOG + 1  # else it takes in about as many as the last time
                    port.doRead()
                port.stopListening()
        self.port, self.more_ports = None, []
