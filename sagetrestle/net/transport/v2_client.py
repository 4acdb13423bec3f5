"""An HTTP/2 client (RFC 9113) for servers of the newer interface: one connection per member, one stream per request."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from sagetrestle.attempts.values import AttemptOutcome
from sagetrestle.net.protocol import v2
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.transport.connection_ends import client_endpoint

CONNECT_TIMEOUT_S = 1.0
MAX_STREAMS = 100  # per connection; the server may set a lower limit
MAX_WAITING_REQUESTS = 1_000  # per member
PING_INTERVAL_S = 2.0  # a connection whose ping is unanswered by the next ping is aborted
DoneCallback = Callable[[AttemptOutcome, "v2.Response | None"], None]


class Stream:
    """One request and its HTTP/2 stream."""

    def __init__(self, headers: v2.Headers, data: bytes, done: DoneCallback) -> None:
        self.headers, self.data, self._done = headers, data, done
        self.id: int | None = None
        self.response: v2.Headers = []
        self.body = bytearray()
        self.connection: V2Connection | None = None

    def end(self, end: AttemptOutcome, response: v2.Response | None = None) -> None:
        """Report the outcome, unless one was reported or the request was cancelled."""
        done, self._done = self._done, None  # type: ignore[assignment]
        if done is not None:
            done(end, response)

    def cancel(self) -> None:
        """Cancel the request: its stream is reset and no outcome is reported."""
        self._done = None  # type: ignore[assignment]
        if self.connection is not None:
            self.connection.cancel(self)


class V2Connection(Protocol):
    """One connection to one member."""

    def __init__(self, member: MemberChannel) -> None:
        self._member = member
        self._h2 = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True, header_encoding="utf-8"))
        self._streams: dict[int, Stream] = {}
        self.leaving = False
        self._ping_unanswered = False
        self._timer: Any = None

    def connectionMade(self) -> None:  # noqa: D102
        self.transport.setTcpNoDelay(True)
        self._h2.initiate_connection()
        self._flush()
        self._member.connection_ready(self)
        self._timer = self._member.reactor.callLater(PING_INTERVAL_S, self._ping)

    def _ping(self) -> None:
        if self._ping_unanswered:  # the previous ping
            self._timer = None
            self.transport.abortConnection()
            return
        if self._streams:
            self._ping_unanswered = True
            self._h2.ping(b"sagetres")
            self._flush()
        self._timer = self._member.reactor.callLater(PING_INTERVAL_S, self._ping)

    def available_streams(self) -> int:
        """Return how many more streams can be opened."""
        if self.leaving:
            return 0
        max_streams = min(MAX_STREAMS, int(self._h2.remote_settings.max_concurrent_streams))
        return max_streams - len(self._streams)

    def begin(self, stream: Stream) -> None:
        """Send a request. Bodies are small, so the flow-control window is too small only if the server has stalled."""
        stream.id, stream.connection = self._h2.get_next_available_stream_id(), self
        self._streams[stream.id] = stream
        self._h2.send_headers(stream.id, stream.headers, end_stream=not stream.data)
        if stream.data:
            if len(stream.data) > self._h2.local_flow_control_window(stream.id):
                del self._streams[stream.id]
                self._h2.reset_stream(stream.id, h2.errors.ErrorCodes.CANCEL)
                self._flush()
                stream.end(AttemptOutcome.NOT_SENT)  # it cannot have run, as its body was not sent
                return
            self._h2.send_data(stream.id, stream.data, end_stream=True)
        self._flush()

    def cancel(self, stream: Stream) -> None:
        """Reset a stream, if it is open."""
        if self._streams.pop(stream.id or 0, None) is not None and self.transport.connected:
            self._h2.reset_stream(stream.id, h2.errors.ErrorCodes.CANCEL)
            self._flush()
            self._member.send_waiting()

    def _flush(self) -> None:
        data = self._h2.data_to_send()
        if data:
            self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        try:
            events = self._h2.receive_data(data)
            for event in events:
                self._handle_event(event)
        except h2.exceptions.ProtocolError:
            self._flush()
            self.transport.abortConnection()
            return
        self._flush()
        self._member.send_waiting()

    def _handle_event(self, event: Any) -> None:
        match event:
            case h2.events.ResponseReceived():
                stream = self._streams.get(event.stream_id)
                if stream is not None:
                    stream.response = [(str(name), str(value)) for name, value in event.headers]
            case h2.events.DataReceived():
                self._h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                stream = self._streams.get(event.stream_id)
                if stream is not None:
                    stream.body += event.data
                    if len(stream.body) > v2.MAX_RESPONSE_BYTES:
                        self.cancel(stream)
                        stream.end(AttemptOutcome.MALFORMED_ANSWER)
            case h2.events.StreamEnded():
                self._finished(event.stream_id)
            case h2.events.StreamReset():
                stream = self._streams.pop(event.stream_id, None)
                if stream is not None:
                    refused = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
                    stream.end(AttemptOutcome.UNPROCESSED if refused else self._outcome_if_lost(stream))
            case h2.events.PingAckReceived():
                self._ping_unanswered = False
            case h2.events.ConnectionTerminated():
                self._handle_goaway(event.last_stream_id or 0)

    def _finished(self, id: int) -> None:
        stream = self._streams.pop(id, None)
        if stream is None:
            return
        try:
            stream.end(AttemptOutcome.ANSWERED, v2.decode_response(stream.response, bytes(stream.body)))
        except ProtocolError:
            stream.end(AttemptOutcome.MALFORMED_ANSWER)

    def _handle_goaway(self, last_processed_id: int) -> None:
        """Handle a GOAWAY: streams with ids above its last stream id were not processed (RFC 9113, 6.8)."""
        self.leaving = True
        for id in [id for id in self._streams if id > last_processed_id]:
            self._streams.pop(id).end(AttemptOutcome.UNPROCESSED)
        self._member.connection_unavailable(self)
        if not self._streams:
            self.transport.loseConnection()

    @staticmethod
    def _outcome_if_lost(stream: Stream) -> AttemptOutcome:
        return AttemptOutcome.TRUNCATED_ANSWER if stream.response else AttemptOutcome.RESET

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._member.connection_unavailable(self)
        streams, self._streams = self._streams, {}
        for stream in streams.values():
            stream.end(self._outcome_if_lost(stream))


class MemberChannel:
    """The connection to one member, and the requests that wait for it or for a free stream."""

    def __init__(self, reactor: Any, address: tuple[str, int]) -> None:
        self.reactor, self.address = reactor, address
        self._connection: V2Connection | None = None
        self._connecting: Any = None
        self._waiting: deque[Stream] = deque()

    def send(self, stream: Stream) -> None:
        """Send a request once there is a connection with a free stream; a full queue rejects it at once."""
        if len(self._waiting) >= MAX_WAITING_REQUESTS:
            stream.end(AttemptOutcome.NOT_SENT)
            return
        self._waiting.append(stream)
        self.send_waiting()

    def send_waiting(self) -> None:
        """Send waiting requests while streams are free, and connect if there is no connection."""
        while self._waiting and self._connection is not None and self._connection.available_streams() > 0:
            stream = self._waiting.popleft()
            if stream._done is not None:
                self._connection.begin(stream)
        if self._waiting and self._connection is None and self._connecting is None:
            factory = Factory.forProtocol(lambda: V2Connection(self))  # type: ignore[arg-type]
            factory.noisy = False
            self._connecting = client_endpoint(self.reactor, self.address, CONNECT_TIMEOUT_S).connect(factory)
            self._connecting.addErrback(self._connect_failed)

    def connection_ready(self, connection: V2Connection) -> None:
        """Use a new connection."""
        self._connecting, self._connection = None, connection
        self.send_waiting()

    def connection_unavailable(self, connection: V2Connection) -> None:
        """Drop a connection that accepts no new streams, and connect again if requests wait."""
        if self._connection is connection:
            self._connection = None
            self.reactor.callLater(0, self.send_waiting)

    def _connect_failed(self, _: Failure) -> None:
        self._connecting = None
        waiting, self._waiting = self._waiting, deque()
        for stream in waiting:
            stream.end(AttemptOutcome.NOT_CONNECTED)

    def close(self) -> None:
        """Abort the connection."""
        if self._connection is not None:
            self._connection.transport.abortConnection()


class V2Client:
    """Sends requests to members, with one channel per address."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._members: dict[tuple[str, int], MemberChannel] = {}

    def send(self, address: tuple[str, int], headers: v2.Headers, data: bytes, done: DoneCallback) -> Stream:
        """Send a request; ``done`` is called once with its outcome, unless the request is cancelled."""
        stream = Stream(headers, data, done)
        member = self._members.get(address)
        if member is None:
            member = self._members[address] = MemberChannel(self._reactor, address)
        member.send(stream)
        return stream

    def keep(self, addresses: set[tuple[str, int]]) -> None:
        """Close the connections to all addresses except these."""
        for address in [known for known in self._members if known not in addresses]:
            self._members.pop(address).close()
