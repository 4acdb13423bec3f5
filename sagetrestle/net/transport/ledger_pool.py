"""Connections to the ledger, shared by all calls."""

from __future__ import annotations

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from sagetrestle.net.protocol import ledger
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.routing.inputs import CallAnswered, CallBroken, LedgerLost
from sagetrestle.net.routing.values import CallVerdict, ConnectionEnd
from sagetrestle.net.transport.ends import Post, end_of, end_of_fault

CONNECT_TIMEOUT_S = 1
IDLE_S = 6  # the ledger closes after 10 s: a call must never cross that close
CALLS_EACH = 16  # calls on a connection before another is opened
MOST_CONNECTIONS = 8


class LedgerConnection(Protocol, TimeoutMixin):
    """One connection with the calls on it; ``written`` tells which of them were sent."""

    def __init__(self, pool: LedgerPool) -> None:
        self._pool = pool
        self._replies = ledger.ReplyDecoder()
        self._broken: tuple[ConnectionEnd, str] | None = None
        self.calls: dict[str, bytes] = {}
        self.abandoned: set[str] = set()
        self.up = False

    def callLater(self, seconds: float, act: Any) -> Any:
        """Set the idle timer on the reactor that all else runs on."""
        return self._pool.reactor.callLater(seconds, act)

    def connectionMade(self) -> None:  # noqa: D102
        self.transport.setTcpNoDelay(True)
        self.up = True
        self.setTimeout(IDLE_S)
        for data in self.calls.values():
            self.transport.write(data)

    def timeoutConnection(self) -> None:
        """Close when idle; with calls in hand, look again later."""
        if self.calls:
            self.setTimeout(IDLE_S)
            return
        self._pool.drop(self)
        self.transport.loseConnection()

    def post(self, id: str, data: bytes) -> None:
        """Write a call, at once or when the connection stands."""
        self.calls[id] = data
        if self.up:
            self.resetTimeout()
            self.transport.write(data)

    def abandon(self, id: str) -> None:
        """Give a call up; a reply that crosses this must not be taken for that of a later call."""
        if self.calls.pop(id, None) is not None and self.up:
            self.abandoned.add(id)
            self.transport.write(ledger.encode_abandon(id))

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        self.resetTimeout()
        try:
            for reply in self._replies.feed(data):
                if self.calls.pop(reply.call, None) is not None:
                    self._pool.post_input(CallAnswered(reply.call, CallVerdict(reply.verdict), reply.body))
        except ProtocolError as fault:
            self._broken = (end_of_fault(fault), str(fault))
            self._pool.post_input(LedgerLost(*self._broken))
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self.setTimeout(None)
        self.ended(self._broken[0] if self._broken else end_of(reason))

    def ended(self, end: ConnectionEnd) -> None:
        """Tell the core of every call that was on this connection."""
        self._pool.drop(self)
        for id in self.calls:
            self._pool.post_input(CallBroken(id, end, written=self.up))
        self.calls.clear()


class LedgerPool:
    """Gives each call a connection, and opens another when those at hand are full."""

    def __init__(self, reactor: Any, address: tuple[str, int], post: Post) -> None:
        self._endpoint = TCP4ClientEndpoint(reactor, *address, timeout=CONNECT_TIMEOUT_S)
        self.reactor, self.post_input = reactor, post
        self._connections: list[LedgerConnection] = []

    def call(self, id: str, timeout_ms: int, body: bytes) -> None:
        """Make a call."""
        self._pick(id).post(id, ledger.encode_post(id, timeout_ms, body))

    def abandon(self, id: str) -> None:
        """Give a call up, wherever it is."""
        for connection in self._connections:
            connection.abandon(id)

    def drop(self, connection: LedgerConnection) -> None:
        """Put no further call on a connection."""
        if connection in self._connections:
            self._connections.remove(connection)

    def _pick(self, id: str) -> LedgerConnection:
        fit = [one for one in self._connections if id not in one.abandoned]
        best = min(fit, key=lambda one: (not one.up, len(one.calls)), default=None)
        full = best is None or len(best.calls) >= CALLS_EACH
        if best is not None and (not full or len(self._connections) >= MOST_CONNECTIONS):
            return best
        return self._open()

    def _open(self) -> LedgerConnection:
        connection = LedgerConnection(self)
        self._connections.append(connection)
        factory = Factory.forProtocol(lambda: connection)  # type: ignore[arg-type]
        factory.noisy = False
        self._endpoint.connect(factory).addErrback(lambda reason: connection.ended(end_of(reason)))
        return connection
