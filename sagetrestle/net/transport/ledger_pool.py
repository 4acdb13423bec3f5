"""A pool of connections to the ledger, with one call at a time on each.

A malformed reply, a reset or a timeout makes a connection useless for every call on it, so calls do not share one.
The ledger may drop an idle connection, and the next call on it would then fail: a connection is reused only within
``IDLE_TIMEOUT_S``, and never for a call that must not be repeated. A duplicate of a reply may arrive late, while the
same request makes its next call: no connection carries two calls of one request.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from sagetrestle.net.protocol import ledger
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.routing.inputs import CallAnswered, CallConnectionLost, LedgerConnectionLost
from sagetrestle.net.routing.values import CallStatus, ConnectionEnd
from sagetrestle.net.transport.connection_ends import (
    Post,
    connection_end_for,
    connection_end_for_fault,
    client_endpoint,
)

CONNECT_TIMEOUT_S = 1
REPLY_STALL_TIMEOUT_S = 0.3  # without progress within a reply, whose bytes normally arrive together
IDLE_TIMEOUT_S = 0.3  # an idle connection is not reused after this time
MAX_CALLS_PER_CONNECTION = 64  # their ids are kept to recognize late duplicates of replies


class LedgerConnection(Protocol, TimeoutMixin):
    """One connection, opened for its first call."""

    def __init__(self, pool: LedgerPool, address: tuple[str, int], id: str, data: bytes) -> None:
        self._pool, self.address, self.id, self._data = pool, address, id, data
        self._replies = ledger.ReplyDecoder()
        self._is_connected = self._settled = False
        self.call_ids = {id}
        self.idle_since_s = 0.0

    def callLater(self, seconds: float, callback: Any) -> Any:
        """Schedule a call on the pool's reactor, for ``TimeoutMixin``."""
        return self._pool.reactor.callLater(seconds, callback)

    def connectionMade(self) -> None:  # noqa: D102
        self._is_connected = True
        if self._settled:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._data)

    def call(self, id: str, data: bytes) -> None:
        """Send a further call on an idle connection."""
        self.id, self._settled = id, False
        self.call_ids.add(id)
        self.transport.write(data)

    def close(self) -> None:
        """Close an idle connection."""
        self.transport.loseConnection()

    def abandon(self) -> None:
        """Abandon the call; the ledger may have carried it out, and its reply is ignored."""
        self._settled = True
        self._pool.remove_call(self)
        if self._is_connected:
            self.transport.write(ledger.encode_abandon(self.id))
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        was_idle = self._settled
        try:
            for reply in self._replies.feed(data):
                if reply.call == self.id and not self._settled:  # duplicate and late replies are dropped
                    self._settle(CallAnswered(self.id, CallStatus(reply.verdict), reply.body))
        except ProtocolError as fault:
            self._abort(connection_end_for_fault(fault), str(fault))
            return
        if not self._settled:
            self.setTimeout(REPLY_STALL_TIMEOUT_S if self._replies.partial else None)
        elif self._replies.partial or len(self.call_ids) >= MAX_CALLS_PER_CONNECTION:
            self._pool.discard_idle(self)
            self.close()
        elif not was_idle:
            self._pool.keep_idle(self)

    def timeoutConnection(self) -> None:
        """Abort the connection if a reply stops before its end."""
        self._abort(ConnectionEnd.TIMED_OUT, "a reply stopped in its middle")

    def _abort(self, end: ConnectionEnd, detail: str) -> None:
        """Abort a connection that can no longer be used, and report its call as lost."""
        if not self._settled:
            self._pool.post_input(LedgerConnectionLost(end, detail))
            self.report_lost(end)
        self._pool.discard_idle(self)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self._pool.discard_idle(self)
        self.report_lost(connection_end_for(reason))

    def report_lost(self, end: ConnectionEnd) -> None:
        """Report that the call will get no reply; if it was written, its outcome is unknown."""
        if not self._settled:
            self._settle(CallConnectionLost(self.id, end, written=self._is_connected))

    def _settle(self, outcome: CallAnswered | CallConnectionLost) -> None:
        self._settled = True
        self.setTimeout(None)
        self._pool.remove_call(self)
        self._pool.post_input(outcome)


class LedgerPool:
    """The open calls, each on its own connection, within the limit on connections."""

    def __init__(self, reactor: Any, post: Post, max_connections: int) -> None:
        self.reactor, self.post_input, self._max_connections = reactor, post, max_connections
        self._address: tuple[str, int] | None = None
        self._calls: dict[str, LedgerConnection] = {}
        self._idle: deque[LedgerConnection] = deque()  # the most recently used connection is last

    def use(self, address: tuple[str, int] | None) -> None:
        """Send new calls to this address, or none if it is None; open calls finish on their connections."""
        self._address = address
        while self._idle:
            self._idle.popleft().close()

    def call(self, id: str, timeout_ms: int, body: bytes, once: bool) -> None:
        """Make a call. Without an address or at the connection limit it is reported as refused and not written.

        ``once`` means that the call must not be repeated if its outcome is unknown, so it gets a new connection.
        """
        data = ledger.encode_post(id, timeout_ms, body)
        idle = None if once else self._idle_for(id)
        if idle is not None:
            self._calls[id] = idle
            idle.call(id, data)
            return
        if len(self._calls) + len(self._idle) >= self._max_connections and self._idle:
            self._idle.popleft().close()
        if self._address is None or len(self._calls) + len(self._idle) >= self._max_connections:
            self.post_input(CallConnectionLost(id, ConnectionEnd.REFUSED, written=False))
            return
        connection = self._calls[id] = LedgerConnection(self, self._address, id, data)
        factory = Factory.forProtocol(lambda: connection)  # type: ignore[arg-type]
        factory.noisy = False
        endpoint = client_endpoint(self.reactor, self._address, CONNECT_TIMEOUT_S)
        endpoint.connect(factory).addErrback(lambda reason: connection.report_lost(connection_end_for(reason)))

    def _idle_for(self, id: str) -> LedgerConnection | None:
        """Return the most recently used idle connection that carried no call of this request, or None.

        Connections idle for longer than ``IDLE_TIMEOUT_S`` are closed.
        """
        min_idle_since_s = self.reactor.seconds() - IDLE_TIMEOUT_S
        while self._idle and self._idle[0].idle_since_s < min_idle_since_s:
            self._idle.popleft().close()
        if not self._idle or id in self._idle[-1].call_ids:
            return None
        return self._idle.pop()

    def keep_idle(self, connection: LedgerConnection) -> None:
        """Keep a connection for reuse after its reply, or close it if the ledger's address has changed."""
        if connection.address != self._address:
            connection.close()
            return
        connection.idle_since_s = self.reactor.seconds()
        self._idle.append(connection)

    def discard_idle(self, connection: LedgerConnection) -> None:
        """Remove a connection from the idle ones."""
        if connection in self._idle:
            self._idle.remove(connection)

    def abandon(self, id: str) -> None:
        """Abandon a call, if it is open."""
        if id in self._calls:
            self._calls[id].abandon()

    def remove_call(self, connection: LedgerConnection) -> None:
        """Remove the settled call of a connection."""
        if self._calls.get(connection.id) is connection:
            del self._calls[connection.id]
