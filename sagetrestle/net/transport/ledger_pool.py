"""Connections to the ledger, one for each call.

A spoilt reply, a reset or a silence makes a connection useless, also for the other calls on it; an idle one
may be forgotten by the ledger, so that the next call on it breaks; a second copy of a reply may come late,
when the same request calls again. None of this can reach a call that has a connection of its own.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from sagetrestle.net.protocol import ledger
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.routing.inputs import CallAnswered, CallBroken, LedgerLost
from sagetrestle.net.routing.values import CallVerdict, ConnectionEnd
from sagetrestle.net.transport.ends import Post, end_of, end_of_fault, endpoint_at

CONNECT_TIMEOUT_S = 1
STALLED_S = 0.3  # within a reply, whose bytes come together


class LedgerConnection(Protocol, TimeoutMixin):
    """One connection, from its setting up until its call has come back."""

    def __init__(self, pool: LedgerPool, id: str, data: bytes) -> None:
        self._pool, self.id, self._data = pool, id, data
        self._replies = ledger.ReplyDecoder()
        self._up = self._settled = False

    def callLater(self, seconds: float, act: Any) -> Any:
        """Set the timer on the reactor that all else runs on."""
        return self._pool.reactor.callLater(seconds, act)

    def connectionMade(self) -> None:  # noqa: D102
        self._up = True
        if self._settled:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._data)

    def abandon(self) -> None:
        """Give the call up; it may have run, and its reply is of no more use."""
        self._settled = True
        self._pool.forget(self)
        if self._up:
            self.transport.write(ledger.encode_abandon(self.id))
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        if self._settled:
            return
        try:
            for reply in self._replies.feed(data):
                if reply.call == self.id and not self._settled:  # extra replies are dropped
                    self._settle(CallAnswered(self.id, CallVerdict(reply.verdict), reply.body))
                    self.transport.loseConnection()
        except ProtocolError as fault:
            self._cut(end_of_fault(fault), str(fault))
        if not self._settled:
            self.setTimeout(STALLED_S if self._replies.partial else None)

    def timeoutConnection(self) -> None:
        """Cut a reply that stopped in its middle: it will not go on."""
        self._cut(ConnectionEnd.TIMED_OUT, "a reply stopped in its middle")

    def _cut(self, end: ConnectionEnd, detail: str) -> None:
        """End a connection that is of no further use."""
        if not self._settled:
            self._pool.post_input(LedgerLost(end, detail))
            self.ended(end)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self.ended(end_of(reason))

    def ended(self, end: ConnectionEnd) -> None:
        """Tell the core that the call will not come back; nothing of it is known if it was written."""
        if not self._settled:
            self._settle(CallBroken(self.id, end, written=self._up))

    def _settle(self, outcome: CallAnswered | CallBroken) -> None:
        self._settled = True
        self.setTimeout(None)
        self._pool.forget(self)
        self._pool.post_input(outcome)


class LedgerPool:
    """The calls in hand, each with its connection, as many as there is room for."""

    def __init__(self, reactor: Any, post: Post, most: int) -> None:
        self.reactor, self.post_input, self._most = reactor, post, most
        self._address: tuple[str, int] | None = None
        self._calls: dict[str, LedgerConnection] = {}

    def use(self, address: tuple[str, int]) -> None:
        """Make new calls at this address; calls in hand may finish where they are."""
        self._address = address

    def call(self, id: str, timeout_ms: int, body: bytes) -> None:
        """Make a call; without room for its connection it is not made, as if it were refused."""
        if self._address is None or len(self._calls) >= self._most:
            self.post_input(CallBroken(id, ConnectionEnd.REFUSED, written=False))
            return
        connection = LedgerConnection(self, id, ledger.encode_post(id, timeout_ms, body))
        self._calls[id] = connection
        factory = Factory.forProtocol(lambda: connection)  # type: ignore[arg-type]
        factory.noisy = False
        endpoint = endpoint_at(self.reactor, self._address, CONNECT_TIMEOUT_S)
        endpoint.connect(factory).addErrback(lambda reason: connection.ended(end_of(reason)))

    def abandon(self, id: str) -> None:
        """Give a call up."""
        if id in self._calls:
            self._calls[id].abandon()

    def forget(self, connection: LedgerConnection) -> None:
        """Let go of a connection whose call is settled."""
        if self._calls.get(connection.id) is connection:
            del self._calls[connection.id]
