"""A DNS push subscription (RFC 8765) over one TCP connection, which is reopened with backoff when it ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from sagetrestle.net.protocol import dns_push
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.transport.connection_ends import client_endpoint

CONNECT_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 30.0
KEEPALIVE_INTERVAL_S = 10.0
SILENCE_TIMEOUT_S = 3 * KEEPALIVE_INTERVAL_S  # a session without input for this time is aborted
REFUSED_RCODES = (1, 2, 4, 5, 9, 11)  # the server has no push notifications, or none for this zone


class PushConnection(Protocol):
    """One session with the server."""

    def __init__(self, client: PushClient, names: list[tuple[str, str]]) -> None:
        self._client, self._names = client, names
        self._frames = dns_push.FrameDecoder()
        self._pending: set[int] = set()
        self._timer: Any = None
        self._last_received_s = 0.0
        self.refused = False

    def connectionMade(self) -> None:  # noqa: D102
        self.transport.setTcpNoDelay(True)
        self._last_received_s = self._client.reactor.seconds()
        for number, (name, kind) in enumerate(self._names, start=1):
            self._pending.add(number)
            self.transport.write(dns_push.frame(dns_push.encode_subscribe(number, name, kind)))
        self._timer = self._client.reactor.callLater(KEEPALIVE_INTERVAL_S, self._keep_alive)

    def _keep_alive(self) -> None:
        if self._client.reactor.seconds() - self._last_received_s > SILENCE_TIMEOUT_S:
            self._timer = None
            self.transport.abortConnection()
            return
        data = dns_push.encode_keepalive(0xFFFF, int(SILENCE_TIMEOUT_S * 1000), int(KEEPALIVE_INTERVAL_S * 1000))
        self.transport.write(dns_push.frame(data))
        self._timer = self._client.reactor.callLater(KEEPALIVE_INTERVAL_S, self._keep_alive)

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        self._last_received_s = self._client.reactor.seconds()
        try:
            for message in self._frames.feed(data):
                self._handle_message(dns_push.decode(message))
        except ProtocolError:
            self.transport.abortConnection()

    def _handle_message(self, message: dns_push.Message) -> None:
        match message:
            case dns_push.Acknowledged(id, rcode) if id in self._pending:
                if rcode:
                    self.refused = True
                    self.transport.loseConnection()
                    return
                self._pending.discard(id)
                if not self._pending:
                    self._client.set_subscribed(True)
            case dns_push.Changes():
                self._client.changes(message)
            case dns_push.RetryDelay(delay_ms):
                self._client.delay_retry(delay_ms / 1000)
                self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._client.connection_ended(self)


class PushClient:
    """Keeps a subscription open; reports its state to ``on_state`` and pushed changes to ``on_changes``."""

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        names: list[tuple[str, str]],
        on_state: Callable[[bool], None],
        on_changes: Callable[[dns_push.Changes], None],
    ) -> None:
        self.reactor, self._address, self._names = reactor, address, names
        self._on_state, self.changes = on_state, on_changes
        self._connection: PushConnection | None = None
        self._connecting: Deferred[Any] | None = None
        self._timer: Any = None
        self._backoff_s, self._subscribed, self._stopped = INITIAL_BACKOFF_S, False, False

    def start(self) -> None:
        """Open the session."""
        self._timer = None
        factory = Factory.forProtocol(lambda: PushConnection(self, self._names))  # type: ignore[arg-type]
        factory.noisy = False
        self._connecting = client_endpoint(self.reactor, self._address, CONNECT_TIMEOUT_S).connect(factory)
        self._connecting.addCallbacks(self._connected, lambda _: self._schedule_start())

    def _connected(self, connection: PushConnection) -> None:
        self._connecting, self._connection = None, connection

    def set_subscribed(self, subscribed: bool) -> None:
        """Record whether the server pushes changes now; a change of this state is reported to ``on_state``."""
        if subscribed:
            self._backoff_s = INITIAL_BACKOFF_S
        if subscribed != self._subscribed:
            self._subscribed = subscribed
            self._on_state(subscribed)

    def delay_retry(self, seconds: float) -> None:
        """Raise the backoff for a retry delay that the server requested.

        It is set to half of the delay, within ``MAX_BACKOFF_S``.
        """
        self._backoff_s = min(MAX_BACKOFF_S, max(self._backoff_s, seconds / 2))

    def connection_ended(self, connection: PushConnection) -> None:
        """Schedule a new session; a server that refused the subscription gets the longest backoff."""
        self._connection = None
        self.set_subscribed(False)
        if connection.refused:
            self._backoff_s = MAX_BACKOFF_S
        self._schedule_start()

    def _schedule_start(self) -> None:
        if not self._stopped and self._timer is None:
            self._timer = self.reactor.callLater(self._backoff_s, self.start)
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    def stop(self) -> None:
        """End the session and stop reconnecting."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.transport.abortConnection()
