"""The Unix streams between two processes of one scorer: messages, and listening sockets beside them."""

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
from sagetrestle.net.transport.ends import Post

MOST_STREAMS = 2  # from successors at once; a further one is cut off
MOST_SOCKETS = 4  # that one stream may pass


@implementer(IFileDescriptorReceiver)
class Stream(Protocol):
    """One stream, from either side; it holds what was passed until it is asked for or the stream ends."""

    def __init__(self, heard: Callable[[Message], None], ended: Callable[[], None]) -> None:
        self._heard, self._ended = heard, ended
        self._decoder = MessageDecoder()
        self.passed: list[int] = []

    def fileDescriptorReceived(self, fd: int) -> None:
        """Take a socket that came with the next bytes."""
        self.passed.append(fd)
        if len(self.passed) > MOST_SOCKETS:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        try:
            for message in self._decoder.feed(data):
                self._heard(message)
        except ProtocolError:  # another version, or no process of ours: of no use as a peer
            self.transport.abortConnection()

    def say(self, message: Message, sockets: list[int] | None = None) -> None:
        """Write a message, with sockets before it."""
        for fd in sockets or ():
            self.transport.sendFileDescriptor(fd)
        self.transport.write(encode(message))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        for fd in self.passed:
            os.close(fd)
        self.passed = []
        self._ended()


class HeirFactory(Factory):
    """Streams from successors, by number."""

    noisy = False

    def __init__(self, post: Post) -> None:
        self._post = post
        self.streams: dict[int, Stream] = {}
        self._count = 0

    def buildProtocol(self, addr: Any) -> Stream | None:
        """Take a stream; who it is from is looked at once it stands."""
        if len(self.streams) >= MOST_STREAMS:
            return None
        self._count += 1
        number = self._count

        def ended() -> None:
            self.streams.pop(number, None)
            self._post(NewProcessEvent(old_process.Disconnected(number)))

        stream = HeirStream(
            lambda message: self._post(NewProcessEvent(old_process.MessageReceived(number, message))), ended
        )
        self.streams[number] = stream
        return stream


class HeirStream(Stream):
    """A stream that was taken in; only one's own user may be a successor."""

    def connectionMade(self) -> None:  # noqa: D102
        told = self.transport.getHandle().getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
        if struct.unpack("3i", told)[1] != os.geteuid():
            self.transport.abortConnection()


class ElderLink:
    """The stream to an elder, tried at each of the sockets found until one stands."""

    def __init__(self, reactor: Any, post: Post) -> None:
        self._reactor, self._post = reactor, post
        self.stream: Stream | None = None
        self._count = 0

    def dial(self, paths: list[str], gone: Callable[[str], None]) -> None:
        """Try one socket after the other; ``gone`` is told of those where no process is."""
        self._count += 1
        self._try(self._count, paths, gone, True)

    def _try(self, count: int, paths: list[str], gone: Callable[[str], None], refused: bool) -> None:
        if not paths:
            self._post(OldProcessEvent(new_process.Disconnected(refused)))
            return
        path, *rest = paths
        factory = Factory.forProtocol(
            lambda: Stream(  # type: ignore[arg-type]
                lambda message: self._post(OldProcessEvent(new_process.MessageReceived(message))),
                lambda: self._lost(count),
            )
        )
        factory.noisy = False
        trying = UNIXClientEndpoint(self._reactor, path, timeout=1).connect(factory)

        def failed(reason: Failure) -> None:
            dead = bool(reason.check(ConnectionRefusedError)) or (
                bool(reason.check(ConnectError)) and not os.path.exists(path)
            )
            if dead:
                gone(path)
            self._try(count, rest, gone, refused and dead)

        trying.addCallbacks(self._stands, failed)

    def _stands(self, stream: Stream) -> None:
        self.stream = stream
        self._post(OldProcessEvent(new_process.Connected()))

    def _lost(self, count: int) -> None:
        if count == self._count:
            self.stream = None
            self._post(OldProcessEvent(new_process.Disconnected(False)))

    def hang_up(self) -> None:
        """End the stream."""
        if self.stream is not None:
            self.stream.transport.loseConnection()

    def say(self, message: Message) -> None:
        """Write a message, if the stream stands."""
        if self.stream is not None:
            self.stream.say(message)

    def sockets(self) -> list[int]:
        """Return the sockets that were passed; they are the caller's now."""
        if self.stream is None:
            return []
        passed, self.stream.passed = self.stream.passed, []
        return passed
