"""Unix stream sockets between the old and the new process of a hot restart: messages and passed listening sockets."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Callable
from typing import Any

from twisted.internet.endpoints import UNIXClientEndpoint
from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from sagetrestle.handover import old_process, new_process
from sagetrestle.handover.messages import Message
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.protocol.handover import MessageDecoder, encode
from sagetrestle.net.routing.inputs import OldProcessEvent, NewProcessEvent
from sagetrestle.net.transport.connection_ends import Post

MAX_STREAMS = 2  # open streams from new processes; further ones are closed at once
MAX_PASSED_SOCKETS = 4  # listening sockets that may be received on one stream


@implementer(IFileDescriptorReceiver)
class MessageStream(Protocol):
    """One end of a stream; it keeps received sockets until they are taken or the stream ends."""

    def __init__(self, on_message: Callable[[Message], None], on_end: Callable[[], None]) -> None:
        self._on_message, self._on_end = on_message, on_end
        self._decoder = MessageDecoder()
        self.received_sockets: list[int] = []

    def fileDescriptorReceived(self, fd: int) -> None:
        """Keep a socket that came with the next bytes; too many of them abort the stream."""
        self.received_sockets.append(fd)
        if len(self.received_sockets) > MAX_PASSED_SOCKETS:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        try:
            for message in self._decoder.feed(data):
                self._on_message(message)
        except ProtocolError:  # the peer has another version or is not a scorer process
            self.transport.abortConnection()

    def send(self, message: Message, sockets: list[int] | None = None) -> None:
        """Write a message, preceded by the sockets to pass."""
        for fd in sockets or ():
            self.transport.sendFileDescriptor(fd)
        self.transport.write(encode(message))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        for fd in self.received_sockets:
            os.close(fd)
        self.received_sockets = []
        self._on_end()


class NewProcessFactory(Factory):
    """Accepts streams from new processes and keeps them by number."""

    noisy = False

    def __init__(self, post: Post) -> None:
        self._post = post
        self.streams: dict[int, MessageStream] = {}
        self._count = 0

    def buildProtocol(self, addr: Any) -> MessageStream | None:
        """Accept a stream, up to ``MAX_STREAMS``; the peer's user is checked once it is connected."""
        if len(self.streams) >= MAX_STREAMS:
            return None
        self._count += 1
        number = self._count

        def ended() -> None:
            self.streams.pop(number, None)
            self._post(NewProcessEvent(old_process.Disconnected(number)))

        stream = NewProcessStream(
            lambda message: self._post(NewProcessEvent(old_process.MessageReceived(number, message))), ended
        )
        self.streams[number] = stream
        return stream


class NewProcessStream(MessageStream):
    """An accepted stream; it is aborted unless the peer runs as the same user."""

    def connectionMade(self) -> None:  # noqa: D102
        credentials = self.transport.getHandle().getsockopt(
            socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i")
        )
        if struct.unpack("3i", credentials)[1] != os.geteuid():
            self.transport.abortConnection()


class OldProcessLink:
    """The stream to an old process; socket paths are tried in order until one connects."""

    def __init__(self, reactor: Any, post: Post) -> None:
        self._reactor, self._post = reactor, post
        self.stream: MessageStream | None = None
        self._attempt = 0

    def connect(self, paths: list[str], on_stale: Callable[[str], None]) -> None:
        """Try the socket paths in order; ``on_stale`` gets each path at which no process listens."""
        self._attempt += 1
        self._try_next(self._attempt, paths, on_stale, True)

    def _try_next(self, attempt: int, paths: list[str], on_stale: Callable[[str], None], refused: bool) -> None:
        if not paths:
            self._post(OldProcessEvent(new_process.Disconnected(refused)))
            return
        path, *rest = paths
        factory = Factory.forProtocol(
            lambda: MessageStream(  # type: ignore[arg-type]
                lambda message: self._post(OldProcessEvent(new_process.MessageReceived(message))),
                lambda: self._stream_lost(attempt),
            )
        )
        factory.noisy = False
        connecting = UNIXClientEndpoint(self._reactor, path, timeout=1).connect(factory)

        def failed(reason: Failure) -> None:
            is_stale = bool(reason.check(ConnectionRefusedError)) or (
                bool(reason.check(ConnectError)) and not os.path.exists(path)
            )
            if is_stale:
                on_stale(path)
            self._try_next(attempt, rest, on_stale, refused and is_stale)

        connecting.addCallbacks(self._stream_connected, failed)

    def _stream_connected(self, stream: MessageStream) -> None:
        self.stream = stream
        self._post(OldProcessEvent(new_process.Connected()))

    def _stream_lost(self, attempt: int) -> None:
        if attempt == self._attempt:
            self.stream = None
            self._post(OldProcessEvent(new_process.Disconnected(False)))

    def disconnect(self) -> None:
        """Close the stream."""
        if self.stream is not None:
            self.stream.transport.loseConnection()

    def send(self, message: Message) -> None:
        """Write a message, if the stream is connected."""
        if self.stream is not None:
            self.stream.send(message)

    def take_sockets(self) -> list[int]:
        """Return the received sockets; the caller becomes responsible for closing them."""
        if self.stream is None:
            return []
        sockets, self.stream.received_sockets = self.stream.received_sockets, []
        return sockets
