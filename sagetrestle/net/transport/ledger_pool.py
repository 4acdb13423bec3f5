"""Connections to the ledger, one call on each at a time.

A spoilt reply, a reset or a silence makes a connection useless, also for the other calls on it, so none has
others. An idle one may be forgotten by the ledger, so that the next call on it breaks: a connection is used
again only soon, and never for a call that may be made only once. A second copy of a reply may come late, when
the same request calls again: no connection carries two calls of one request.
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
REPLY_STALL_TIMEOUT_S = 0.3  # within a reply, whose bytes come together
IDLE_TIMEOUT_S = 0.3  # after which a connection is not used again
MAX_CALLS_PER_CONNECTION = 64  # calls, one after the other; their ids are kept to tell late copies


class LedgerConnection(Protocol, TimeoutMixin):
    """One connection, set up for its first call."""

    def __init__(self, pool: LedgerPool, address: tuple[str, int], id: str, data: bytes) -> None:
        self._pool, self.address, self.id, self._data = pool, address, id, data
        self._replies = ledger.ReplyDecoder()
        self._is_connected = self._settled = False
        self.call_ids = {id}
        self.idle_since_s = 0.0

    def callLater(self, seconds: float, callback: Any) -> Any:
        """Set the timer on the reactor that all else runs on."""
        return self._pool.reactor.callLater(seconds, callback)

    def connectionMade(self) -> None:  # noqa: D102
        self._is_connected = True
        if self._settled:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._data)

    def call(self, id: str, data: bytes) -> None:
        """Make a further call, with none in hand."""
        self.id, self._settled = id, False
        self.call_ids.add(id)
        self.transport.write(data)

    def close(self) -> None:
        """End a connection with no call in hand."""
        self.transport.loseConnection()

    def abandon(self) -> None:
        """Give the call up; it may have run, and its reply is of no more use."""
        self._settled = True
        self._pool.remove_call(self)
        if self._is_connected:
            self.transport.write(ledger.encode_abandon(self.id))
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        was_idle = self._settled
        try:
            for reply in self._replies.feed(data):
                if reply.call == self.id and not self._settled:  # extra replies are dropped
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
        """Cut a reply that stopped in its middle: it will not go on."""
        self._abort(ConnectionEnd.TIMED_OUT, "a reply stopped in its middle")

    def _abort(self, end: ConnectionEnd, detail: str) -> None:
        """End a connection that is of no further use."""
        if not self._settled:
            self._pool.post_input(LedgerConnectionLost(end, detail))
            self.report_lost(end)
        self._pool.discard_idle(self)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self._pool.discard_idle(self)
        self.report_lost(connection_end_for(reason))

    def report_lost(self, end: ConnectionEnd) -> None:
        """Tell the core that the call will not come back; nothing of it is known if it was written."""
        if not self._settled:
            self._settle(CallConnectionLost(self.id, end, written=self._is_connected))

    def _settle(self, outcome: CallAnswered | CallConnectionLost) -> None:
        self._settled = True
        self.setTimeout(None)
        self._pool.remove_call(self)
        self._pool.post_input(outcome)


class LedgerPool:
    """The calls in hand, each with its connection, as many as there is room for."""

    def __init__(self, reactor: Any, post: Post, max_connections: int) -> None:
        self.reactor, self.post_input, self._max_connections = reactor, post, max_connections
        self._address: tuple[str, int] | None = None
        self._calls: dict[str, LedgerConnection] = {}
        self._idle: deque[LedgerConnection] = deque()  # the one used last stands last

    def use(self, address: tuple[str, int] | None) -> None:
        """Make new calls at this address, or none; calls in hand may finish where they are."""
        self._address = address
        while self._idle:
            self._idle.popleft().close()

    def call(self, id: str, timeout_ms: int, body: bytes, once: bool) -> None:
        """Make a call; without room for its connection it is not made, as if it were refused.

        ``once`` tells that it can not be made again when nothing is known of it.
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
        """Return a connection that was used just now, though not for this request."""
        oldest = self.reactor.seconds() - IDLE_TIMEOUT_S
        while self._idle and self._idle[0].idle_since_s < oldest:
            self._idle.popleft().close()
        if not self._idle or id in self._idle[-1].call_ids:
            return None
        return self._idle.pop()

    def keep_idle(self, connection: LedgerConnection) -> None:
        """Keep a connection whose call came back, unless its address is no longer used."""
        if connection.address != self._address:
            connection.close()
            return
        connection.idle_since_s = self.reactor.seconds()
        self._idle.append(connection)

    def discard_idle(self, connection: LedgerConnection) -> None:
        """Use an idle connection no more."""
        if connection in self._idle:
            self._idle.remove(connection)

    def abandon(self, id: str) -> None:
        """Give a call up."""
        if id in self._calls:
            self._calls[id].abandon()

    def remove_call(self, connection: LedgerConnection) -> None:
        """Let go of a connection whose call is settled."""
        if self._calls.get(connection.id) is connection:
            del self._calls[connection.id]
