"""The SCGI front for web servers and older portals: one request per connection."""

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
from sagetrestle.net.transport.connection_ends import Post
from sagetrestle.net.transport.scgi_mapping import (
    DEFAULT_RANK,
    RequestError,
    Response,
    fault_response,
    read_call,
    to_response,
)

if TYPE_CHECKING:
    from sagetrestle.net.transport.credentials import CredentialReader

FULL_RETRY_AFTER_US = 1_000_000
CLOSE_PROBE_INTERVAL_S = 0.1
TCP_CLOSED = 7  # state in Linux's TCP_INFO once the peer has reset the connection


class ScgiConnection(FrontConnection):
    """A connection with one request and its response."""

    factory: ScgiFront

    def connectionMade(self) -> None:  # noqa: D102
        self._request = scgi.RequestDecoder()
        self._responded = self._started = False
        self._close_probe: LoopingCall | None = None
        super().connectionMade()

    def refuse(self) -> None:
        """Send a refusal with the time to retry after, and close."""
        self.factory.refused_connections.add(self)
        self.transport.write(scgi.encode_response(*to_response(Refused(FULL_RETRY_AFTER_US), None)))
        self._responded = True
        self.close()

    def half_close(self) -> None:
        """Close the write side; over TLS close the connection, as TLS's close_notify ends both directions here."""
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
        """Return whether part of the request has been received and no response was sent yet."""
        return not (self._request.is_untouched or self._request.complete or self._responded)

    def held_bytes(self) -> int:
        """Return how many bytes of an incomplete request are held."""
        return self._request.buffered

    def has_unanswered_requests(self) -> bool:
        """Return whether the request was read and has no response yet."""
        return self._request.complete and not self._responded

    def is_untouched(self) -> bool:
        """Return whether nothing has been received, not even into the socket's buffer."""
        return self._request.is_untouched and not has_unread(self.transport)

    def read_pending_input(self) -> None:
        """Read the input that waits at the socket."""
        if not self._local_end and has_unread(self.transport):
            self.transport.doRead()

    def _take(self, request: scgi.ScgiRequest) -> None:
        try:
            self.factory.take(self, request)
        except RequestError as error:
            self.factory.post(RequestRejected(self.name, str(error)))
            self.respond(error.response)

    def abort_malformed(self, fault: ProtocolError) -> None:
        """Send an error response and close, letting the peer finish sending."""
        self.factory.post(RequestRejected(self.name, str(fault)))
        if self._request.complete:  # bytes after a request that is running: only abort, no error response
            super().abort_malformed(fault)
            return
        self._write(fault_response(fault))
        self.close()

    def respond(self, response: Response) -> None:
        """Write the response and close, unless one was already sent."""
        if not self._responded:
            self._write(response)
            self.close()

    def _write(self, response: Response) -> None:
        self._responded = True
        self._request.discard()
        data = scgi.encode_response(*response)
        self.transport.write(data[len(scgi.RESPONSE_START) :] if self._started else data)

    def readConnectionLost(self) -> None:
        """Find out whether the peer closed or only half-closed; the two look the same until something is written.

        All responses start with the same bytes, so these are written now. A peer that half-closed receives the
        start of its response early; a peer that closed resets the connection, which ``_check_closed`` detects.
        """
        if self.name is None or self._responded:
            super().readConnectionLost()
        elif not self._request.complete:
            self.factory.post(RequestRejected(self.name, "the input ended within the request"))
            self._write(fault_response(ProtocolError("the input ended within the request")))
            super().readConnectionLost()
        elif self._close_probe is None:
            self._peer_closed = self._started = True
            self.transport.unregisterProducer()
            self.transport.write(scgi.RESPONSE_START)
            self._close_probe = LoopingCall(self._check_closed)
            self._close_probe.clock = self.factory.reactor
            self._close_probe.start(CLOSE_PROBE_INTERVAL_S, now=False)

    def _check_closed(self) -> None:
        info = self.transport.getHandle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        if info[0] == TCP_CLOSED:
            self._stop_close_probe()
            self.transport.abortConnection()

    def _stop_close_probe(self) -> None:
        if self._close_probe is not None and self._close_probe.running:
            self._close_probe.stop()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self._stop_close_probe()
        self.factory.refused_connections.discard(self)
        super().connectionLost(reason)


class ScgiFront(Front[ScgiConnection]):
    """Converts SCGI requests to requests of the core, and answers of the core to CGI responses.

    SCGI has no health checks; the service's DNS-SD records follow the health instead.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        post: Post,
        bounds: Bounds,
        held_kb: float,
        kind: str = "scgi",
        credentials: CredentialReader | None = None,
    ) -> None:
        super().__init__(reactor, kind, ScgiConnection, post, bounds.connections[kind])
        self.secure, self.credentials = kind == "scgis", credentials
        self.max_refused_connections = bounds.turned_down
        self.refused_connections: set[ScgiConnection] = set()
        self._settings, self._held_kb = settings, held_kb
        # Not seeded by the configuration: both processes of an upgrade are given one seed, and ids must be unique.
        self._request_ids = random.Random()

    def sends_refusals(self) -> bool:
        """Return whether one more connection may get a refusal; in a flood the rest is closed without one."""
        return len(self.refused_connections) < self.max_refused_connections

    def take(self, connection: ScgiConnection, request: scgi.ScgiRequest) -> None:
        """Post a request to the core, with its credentials if identity is enabled. Raises RequestError."""
        call = read_call(request, self._settings)
        presented = self._presented(connection, request) if self.credentials is not None else None
        self.post(
            RequestRead(
                Request(
                    RequestRef(connection.name, 1),
                    f"{self._request_ids.getrandbits(64):016x}",
                    call.class_index,
                    0,
                    call.caller,
                    request.body,
                    self._held_kb,
                    call.hint_us,
                    DEFAULT_RANK,
                    call.retry,
                    call.key,
                    presented=presented,
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

    def stop_new_requests(self, connection: ScgiConnection) -> None:
        """Close a connection that has received nothing, as SCGI has no message to announce leaving.

        A connection with a request that is being read or run stays open for the response.
        """
        if connection.is_untouched():
            connection.close()
