"""Connections between fleet members, and to the kernels of other members for fencing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver, LineOnlyReceiver
from twisted.python.failure import Failure

from sagetrestle.net.protocol import fences, peer
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.transport.connection_ends import client_endpoint
from sagetrestle.peers.frames import Hello, Refused, Welcome
from sagetrestle.peers.links import ConnectionLost, DialFinished, Event, FramesReceived
from sagetrestle.takeover.effect_log import FenceKernel

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 256
MAX_GREETING = 4 * 1024  # bytes of a frame of a peer that has not greeted, or of an observer
GREETING_TIMEOUT_S = 2.0


class PeerConnection(Int32StringReceiver):
    """One connection between members, dialled or accepted."""

    MAX_LENGTH = MAX_GREETING  # until the peer has greeted as a member

    def __init__(self, number: int, links: PeerLinks) -> None:
        self.number, self._links = number, links
        self.greeted = False
        self._frames: list[Any] = []
        self._greeting_timer: Any = None

    def connectionMade(self) -> None:  # noqa: D102
        self.transport.setTcpNoDelay(True)
        self._links.connections[self.number] = self
        self._greeting_timer = self._links.reactor.callLater(GREETING_TIMEOUT_S, self.transport.abortConnection)

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        if self._links.connections.get(self.number) is not self:  # it is being closed
            return
        super().dataReceived(data)
        frames, self._frames = self._frames, []
        if frames:
            self._links.post(FramesReceived(self.number, tuple(frames)))

    def stringReceived(self, string: bytes) -> None:  # noqa: D102
        try:
            frame = peer.decode(string)
        except ProtocolError:  # the peer has another version or is not a member
            self.transport.abortConnection()
            return
        if not self.greeted:
            self._handle_greeting(frame)
        self._frames.append(frame)

    def _handle_greeting(self, frame: Any) -> None:
        """Accept large frames of a member from now on; an observer only sends queries."""
        self.greeted = isinstance(frame, Hello | Welcome)
        if self.greeted:
            self._cancel_greeting_timer()
        elif not isinstance(frame, Refused):
            self.transport.abortConnection()
        if self.greeted and not (isinstance(frame, Hello) and frame.observer):
            self.MAX_LENGTH = peer.MAX_FRAME

    def _cancel_greeting_timer(self) -> None:
        if self._greeting_timer is not None and self._greeting_timer.active():
            self._greeting_timer.cancel()

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: D102
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self._cancel_greeting_timer()
        if self._links.connections.pop(self.number, None) is not None:
            self._links.post(ConnectionLost(self.number))


class PeerLinks(Factory):
    """All connections of one member, by number; received frames are posted as events."""

    noisy = False

    def __init__(self, reactor: Any, addresses: dict[str, tuple[str, int]], post: Callable[[Event], None]) -> None:
        self.reactor, self._addresses, self.post = reactor, addresses, post
        self.connections: dict[int, PeerConnection] = {}
        self._count = 0
        self._port: Any = None

    def listen(self, address: tuple[str, int]) -> int:
        """Listen for connections from members and return the port. Raises CannotListenError."""
        self._port = self.reactor.listenTCP(address[1], self, interface=address[0])
        return self._port.getHost().port

    def buildProtocol(self, addr: Any) -> PeerConnection | None:
        """Accept a connection, up to the limit; the peer is identified by its greeting.

        At the limit the oldest one that has not greeted is aborted, so that silent callers do not keep members out.
        """
        if len(self.connections) >= MAX_CONNECTIONS:
            silent = next((one for one in self.connections.values() if not one.greeted), None)
            if silent is None:
                return None
            self.end_now(silent.number)
        return self._connection()

    def _connection(self) -> PeerConnection:
        self._count += 1
        return PeerConnection(self._count, self)

    def dial(self, name: str) -> None:
        """Connect to a member; the outcome is posted."""
        connection = self._connection()
        factory = Factory.forProtocol(lambda: connection)  # type: ignore[arg-type]
        factory.noisy = False
        client_endpoint(self.reactor, self._addresses[name], CONNECT_TIMEOUT_S).connect(factory).addCallbacks(
            lambda _: self.post(DialFinished(name, connection.number)), lambda _: self.post(DialFinished(name, None))
        )

    def write(self, number: int, frame: Any) -> None:
        """Write a frame, if the connection is open."""
        if number in self.connections:
            self.connections[number].sendString(peer.encode(frame))

    def end(self, number: int) -> None:
        """Close a connection after its pending writes are sent, or abort it after ``CONNECT_TIMEOUT_S``."""
        connection = self.connections.pop(number, None)
        if connection is not None:
            connection.transport.loseConnection()
            self.reactor.callLater(CONNECT_TIMEOUT_S, connection.transport.abortConnection)

    def end_now(self, number: int) -> None:
        """Abort a connection, and report that it is lost."""
        self.connections.pop(number).transport.abortConnection()
        self.post(ConnectionLost(number))

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._port is not None:
            self._port.stopListening()
        for number in list(self.connections):
            self.connections.pop(number).transport.abortConnection()


class KernelFenceClient:
    """Sends fences to other members' kernels and receives the fates of runs there; one connection per kernel."""

    def __init__(self, reactor: Any, on_fates: Callable[[fences.Fates], None]) -> None:
        self._reactor, self._on_fates = reactor, on_fates
        self._connections: dict[str, KernelFenceConnection] = {}
        self._pending_lines: dict[str, list[bytes]] = {}

    def ask(self, fence: FenceKernel) -> None:
        """Send a fence to a kernel. If it cannot be reached, the fence is dropped and the caller must retry."""
        address, line = fence.member.kernel, fences.encode_fence(fence.partition, fence.epoch, fence.runs)
        if address in self._connections:
            self._connections[address].transport.write(line)
            return
        self._pending_lines.setdefault(address, []).append(line)
        if len(self._pending_lines[address]) > 1:
            return
        host, _, port = address.rpartition(":")
        factory = Factory.forProtocol(lambda: KernelFenceConnection(address, self))  # type: ignore[arg-type]
        factory.noisy = False
        client_endpoint(self._reactor, (host, int(port)), CONNECT_TIMEOUT_S).connect(factory).addCallbacks(
            lambda _: None, lambda _: self._pending_lines.pop(address, None)
        )

    def connection_ready(self, address: str, connection: KernelFenceConnection) -> None:
        """Send the fences that waited for the connection."""
        self._connections[address] = connection
        for pending in self._pending_lines.pop(address, ()):
            connection.transport.write(pending)

    def connection_ended(self, address: str) -> None:
        """Forget a connection that has ended."""
        self._connections.pop(address, None)

    def fates_received(self, fates: fences.Fates) -> None:
        """Pass an answer of a kernel to the callback."""
        self._on_fates(fates)

    def close(self) -> None:
        """Abort all connections."""
        for connection in list(self._connections.values()):
            connection.transport.abortConnection()


class KernelFenceConnection(LineOnlyReceiver):
    """One connection to a kernel; the kernel may not support fences."""

    delimiter = b"\n"
    MAX_LENGTH = fences.MAX_LINE

    def __init__(self, address: str, client: KernelFenceClient) -> None:
        self._address, self._client = address, client

    def connectionMade(self) -> None:  # noqa: D102
        self._client.connection_ready(self._address, self)

    def lineReceived(self, line: bytes) -> None:  # noqa: D102
        try:
            self._client.fates_received(fences.decode_fates(line))
        except ProtocolError:  # the kernel does not support fences
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self._client.connection_ended(self._address)
