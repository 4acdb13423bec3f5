"""The front that speaks SCGI with web servers and old portals: one request a connection."""

from __future__ import annotations

import random
import socket
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import connectionDone
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from sagetrestle.identity.values import PresentedCredentials
from sagetrestle.interface import Settings
from sagetrestle.net.protocol import scgi
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.routing.inputs import RequestRead, RequestRejected
from sagetrestle.net.routing.values import Answer, Bounds, Refused, Request, RequestRef
from sagetrestle.net.transport.connection import Front, FrontConnection, has_unread
from sagetrestle.net.transport.ends import Post
from sagetrestle.net.transport.scgi_mapping import (
    DEFAULT_RANK,
    Rejected,
    Response,
    fault_response,
    read_call,
    to_response,
)

if TYPE_CHECKING:
    from sagetrestle.net.transport.credentials import CredentialReader

NO_ROOM_US = 1_000_000
PROBE_EVERY_S = 0.1
TCP_CLOSED = 7  # the state in Linux's TCP_INFO after the other side reset the connection


class ScgiConnection(FrontConnection):
    """One request and its response."""

    factory: ScgiFront

    def connectionMade(self) -> None:  # noqa: D102
        self._request = scgi.RequestDecoder()
        self._responded = self._started = False
        self._probe: LoopingCall | None = None
        super().connectionMade()

    def turn_down(self) -> None:
        """Say that there is no room, and when to come back."""
        self.factory.turned_down.add(self)
        self.transport.write(scgi.encode_response(*to_response(Refused(NO_ROOM_US), None)))
        self._responded = True
        self.close()

    def half_close(self) -> None:
        """End the writing; over TLS that is the end of all, as its last record says so."""
        if self.factory.secure:
            self.transport.loseConnection()
        else:
            self.transport.loseWriteConnection()

    def read(self, data: bytes) -> None:  # noqa: D102
        if self._responded:
            return
        request = self._request.feed(data)
        if request is not None:
            self._take(request)

    def partial(self) -> bool:
        """Tell whether the request has begun and is not whole."""
        return not (self._request.untouched or self._request.complete or self._responded)

    def untouched(self) -> bool:
        """Tell whether not a byte has come yet."""
        return self._request.untouched and not has_unread(self.transport)

    def take_in_waiting(self) -> None:
        """Take in what has come and was not read yet."""
        if not self._broken and has_unread(self.transport):
            self.transport.doRead()

    def _take(self, request: scgi.ScgiRequest) -> None:
        try:
            self.factory.take(self, request)
        except Rejected as error:
            self.factory.post(RequestRejected(self.name, str(error)))
            self.respond(error.response)

    def broken(self, fault: ProtocolError) -> None:
        """Say what is wrong before the end, and let the other side finish sending."""
        self.factory.post(RequestRejected(self.name, str(fault)))
        if self._request.complete:  # bytes after the request: it has its answer to come, so only cut off
            super().broken(fault)
            return
        self._write(fault_response(fault))
        self.close()

    def respond(self, response: Response) -> None:
        """Write the response and close."""
        if not self._responded:
            self._write(response)
            self.close()

    def _write(self, response: Response) -> None:
        self._responded = True
        data = scgi.encode_response(*response)
        self.transport.write(data[len(scgi.RESPONSE_START) :] if self._started else data)

    def readConnectionLost(self) -> None:
        """Tell a half-close after the request from a close: both look the same until something is written.

        Every response starts with the same bytes, so these are written now: a caller that only half-closed
        gets the start of its response early, one that closed resets the connection, and is gone.
        """
        if self.name is None or self._responded:
            super().readConnectionLost()
        elif not self._request.complete:
            self.factory.post(RequestRejected(self.name, "the input ended within the request"))
            self._write(fault_response(ProtocolError("the input ended within the request")))
            super().readConnectionLost()
        elif self._probe is None:
            self._peer_ended = self._started = True
            self.transport.unregisterProducer()
            self.transport.write(scgi.RESPONSE_START)
            self._probe = LoopingCall(self._look)
            self._probe.clock = self.factory.reactor
            self._probe.start(PROBE_EVERY_S, now=False)

    def _look(self) -> None:
        info = self.transport.getHandle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        if info[0] == TCP_CLOSED:
            self._stop_probe()
            self.transport.abortConnection()

    def _stop_probe(self) -> None:
        if self._probe is not None and self._probe.running:
            self._probe.stop()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self._stop_probe()
        self.factory.turned_down.discard(self)
        super().connectionLost(reason)


class ScgiFront(Front[ScgiConnection]):
    """Makes neutral requests of SCGI's, and CGI responses of the core's answers.

    SCGI has no health checks; the service's records follow the health instead.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        post: Post,
        bounds: Bounds,
        held_kb: float,
        seed: int,
        kind: str = "scgi",
        credentials: CredentialReader | None = None,
    ) -> None:
        super().__init__(reactor, kind, ScgiConnection, post, bounds.connections[kind])
        self.secure, self.credentials = kind == "scgis", credentials
        self.most_turned_down = bounds.turned_down
        self.turned_down: set[ScgiConnection] = set()
        self._settings, self._held_kb = settings, held_kb
        self._ids = random.Random(f"{seed}/{kind}")  # ids of two fronts must differ

    def tells_full(self) -> bool:
        """Tell some that there is no room; a flood is only cut off."""
        return len(self.turned_down) < self.most_turned_down

    def take(self, connection: ScgiConnection, request: scgi.ScgiRequest) -> None:
        """Hand a request to the core, with what it brings to prove who sent it where that is asked."""
        call = read_call(request, self._settings)
        shown = self._presented(connection, request) if self.credentials is not None else None
        self.post(
            RequestRead(
                Request(
                    RequestRef(connection.name, 1),
                    f"{self._ids.getrandbits(64):016x}",
                    call.cls,
                    0,
                    call.caller,
                    request.body,
                    self._held_kb,
                    call.hint_us,
                    DEFAULT_RANK,
                    call.retry,
                    call.key,
                    presented=shown,
                )
            )
        )

    def _presented(self, connection: ScgiConnection, request: scgi.ScgiRequest) -> PresentedCredentials:
        peer = getattr(connection.transport.getPeer(), "host", "")
        certificate = connection.transport.getPeerCertificate() if self.secure else None
        return self.credentials.read(request.headers, peer, certificate)

    def send(self, request_ref: RequestRef, answer: Answer, value: float | None) -> None:
        """Write a final answer."""
        connection = self.connections.get(request_ref.connection)
        if connection:
            connection.respond(to_response(answer, value))

    def leave(self, connection: ScgiConnection) -> None:
        """Close a connection on which nothing was read; SCGI has no word for leaving.

        A request that is being read or run keeps its connection, as its one answer belongs there.
        """
        if connection.untouched():
            connection.close()
