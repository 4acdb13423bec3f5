"""A subscription to a service's changes, over one TCP connection that is set up again when it ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from sagetrestle.net.protocol import dns_push
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.transport.ends import endpoint_at

CONNECT_S, BACKOFF_S, BACKOFF_MOST_S = 1.0, 0.25, 30.0
KEEPALIVE_S = 10.0
SILENT_S = 3 * KEEPALIVE_S  # a session on which nothing came for so long is held for dead
REFUSED = (1, 2, 4, 5, 9, 11)  # codes by which a server says that it has no push, or none for this zone


class PushConnection(Protocol):
    """One session."""

    def __init__(self, owner: PushClient, names: list[tuple[str, str]]) -> None:
        self._owner, self._names = owner, names
        self._frames = dns_push.FrameDecoder()
        self._pending: set[int] = set()
        self._timer: Any = None
        self._heard = 0.0
        self.refused = False

    def connectionMade(self) -> None:  # noqa: D102
        self.transport.setTcpNoDelay(True)
        self._heard = self._owner.reactor.seconds()
        for number, (name, kind) in enumerate(self._names, start=1):
            self._pending.add(number)
            self.transport.write(dns_push.frame(dns_push.encode_subscribe(number, name, kind)))
        self._timer = self._owner.reactor.callLater(KEEPALIVE_S, self._keep_alive)

    def _keep_alive(self) -> None:
        if self._owner.reactor.seconds() - self._heard > SILENT_S:
            self._timer = None
            self.transport.abortConnection()
            return
        data = dns_push.encode_keepalive(0xFFFF, int(SILENT_S * 1000), int(KEEPALIVE_S * 1000))
        self.transport.write(dns_push.frame(data))
        self._timer = self._owner.reactor.callLater(KEEPALIVE_S, self._keep_alive)

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        self._heard = self._owner.reactor.seconds()
        try:
            for message in self._frames.feed(data):
                self._take(dns_push.decode(message))
        except ProtocolError:
            self.transport.abortConnection()

    def _take(self, message: dns_push.Message) -> None:
        match message:
            case dns_push.Acknowledged(id, rcode) if id in self._pending:
                if rcode:
                    self.refused = True
                    self.transport.loseConnection()
                    return
                self._pending.discard(id)
                if not self._pending:
                    self._owner.stands(True)
            case dns_push.Changes():
                self._owner.changes(message)
            case dns_push.RetryDelay(delay_ms):
                self._owner.stay_away(delay_ms / 1000)
                self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._owner.ended(self)


class PushClient:
    """Keeps a subscription; ``stands`` and ``changes`` go to the callbacks it was given."""

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
        self._trying: Deferred[Any] | None = None
        self._timer: Any = None
        self._pause, self._up, self._stopped = BACKOFF_S, False, False

    def start(self) -> None:
        """Set the session up."""
        self._timer = None
        factory = Factory.forProtocol(lambda: PushConnection(self, self._names))  # type: ignore[arg-type]
        factory.noisy = False
        self._trying = endpoint_at(self.reactor, self._address, CONNECT_S).connect(factory)
        self._trying.addCallbacks(self._connected, lambda _: self._later())

    def _connected(self, connection: PushConnection) -> None:
        self._trying, self._connection = None, connection

    def stands(self, up: bool) -> None:
        """Note whether changes come by themselves."""
        if up:
            self._pause = BACKOFF_S
        if up != self._up:
            self._up = up
            self._on_state(up)

    def stay_away(self, seconds: float) -> None:
        """Stay away for as long as the server asked."""
        self._pause = min(BACKOFF_MOST_S, max(self._pause, seconds / 2))

    def ended(self, connection: PushConnection) -> None:
        """Set the session up again; a server without push is asked seldom."""
        self._connection = None
        self.stands(False)
        if connection.refused:
            self._pause = BACKOFF_MOST_S
        self._later()

    def _later(self) -> None:
        if not self._stopped and self._timer is None:
            self._timer = self.reactor.callLater(self._pause, self.start)
            self._pause = min(BACKOFF_MOST_S, 2 * self._pause)

    def stop(self) -> None:
        """End the session for good."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._trying is not None:
            self._trying.cancel()
        if self._connection is not None:
            self._connection.transport.abortConnection()
