"""HTTP/2 to the new servers (RFC 9113), by h2: one connection a member, many streams, each with one end."""

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
from sagetrestle.net.transport.ends import endpoint_at

CONNECT_S = 1.0
MOST_STREAMS, MOST_WAITING = 100, 1_000
PING_S = 2.0  # a connection that does not answer a ping in this time has no one at its other end
Done = Callable[[AttemptOutcome, "v2.Response | None"], None]


class Stream:
    """One request on one connection."""

    def __init__(self, headers: v2.Headers, data: bytes, done: Done) -> None:
        self.headers, self.data, self._done = headers, data, done
        self.id: int | None = None
        self.response: v2.Headers = []
        self.body = bytearray()
        self.connection: V2Connection | None = None

    def end(self, end: AttemptOutcome, response: v2.Response | None = None) -> None:
        """Tell how it ended, once."""
        done, self._done = self._done, None  # type: ignore[assignment]
        if done is not None:
            done(end, response)

    def cancel(self) -> None:
        """Give it up: nothing is told any more."""
        self._done = None  # type: ignore[assignment]
        if self.connection is not None:
            self.connection.cancel(self)


class V2Connection(Protocol):
    """One connection to one member."""

    def __init__(self, owner: Member) -> None:
        self._owner = owner
        self._h2 = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True, header_encoding="utf-8"))
        self._streams: dict[int, Stream] = {}
        self.leaving = False
        self._pinged = False
        self._timer: Any = None

    def connectionMade(self) -> None:  # noqa: D102
        self.transport.setTcpNoDelay(True)
        self._h2.initiate_connection()
        self._flush()
        self._owner.up(self)
        self._timer = self._owner.reactor.callLater(PING_S, self._ping)

    def _ping(self) -> None:
        if self._pinged:  # the one before was not answered
            self._timer = None
            self.transport.abortConnection()
            return
        if self._streams:
            self._pinged = True
            self._h2.ping(b"sagetres")
            self._flush()
        self._timer = self._owner.reactor.callLater(PING_S, self._ping)

    def room(self) -> int:
        """Return how many more streams it takes."""
        if self.leaving:
            return 0
        most = min(MOST_STREAMS, int(self._h2.remote_settings.max_concurrent_streams))
        return most - len(self._streams)

    def begin(self, stream: Stream) -> None:
        """Send a request; bodies are small, so flow control holds them back only as the other side stalls."""
        stream.id, stream.connection = self._h2.get_next_available_stream_id(), self
        self._streams[stream.id] = stream
        self._h2.send_headers(stream.id, stream.headers, end_stream=not stream.data)
        if stream.data:
            if len(stream.data) > self._h2.local_flow_control_window(stream.id):
                del self._streams[stream.id]
                self._h2.reset_stream(stream.id, h2.errors.ErrorCodes.CANCEL)
                self._flush()
                stream.end(AttemptOutcome.NOT_SENT)  # a request whose body was not begun can not have run
                return
            self._h2.send_data(stream.id, stream.data, end_stream=True)
        self._flush()

    def cancel(self, stream: Stream) -> None:
        """Reset a stream."""
        if self._streams.pop(stream.id or 0, None) is not None and self.transport.connected:
            self._h2.reset_stream(stream.id, h2.errors.ErrorCodes.CANCEL)
            self._flush()
            self._owner.next()

    def _flush(self) -> None:
        data = self._h2.data_to_send()
        if data:
            self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        try:
            events = self._h2.receive_data(data)
            for event in events:
                self._take(event)
        except h2.exceptions.ProtocolError:
            self._flush()
            self.transport.abortConnection()
            return
        self._flush()
        self._owner.next()

    def _take(self, event: Any) -> None:
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
                    if len(stream.body) > v2.MAX_ANSWER:
                        self.cancel(stream)
                        stream.end(AttemptOutcome.MALFORMED_ANSWER)
            case h2.events.StreamEnded():
                self._finished(event.stream_id)
            case h2.events.StreamReset():
                stream = self._streams.pop(event.stream_id, None)
                if stream is not None:
                    refused = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
                    stream.end(AttemptOutcome.UNPROCESSED if refused else self._broken(stream))
            case h2.events.PingAckReceived():
                self._pinged = False
            case h2.events.ConnectionTerminated():
                self._leave(event.last_stream_id or 0)

    def _finished(self, id: int) -> None:
        stream = self._streams.pop(id, None)
        if stream is None:
            return
        try:
            stream.end(AttemptOutcome.ANSWERED, v2.decode_response(stream.response, bytes(stream.body)))
        except ProtocolError:
            stream.end(AttemptOutcome.MALFORMED_ANSWER)

    def _leave(self, last: int) -> None:
        """Take a GOAWAY: streams above the last that it names were never looked at (RFC 9113, 6.8)."""
        self.leaving = True
        for id in [id for id in self._streams if id > last]:
            self._streams.pop(id).end(AttemptOutcome.UNPROCESSED)
        self._owner.down(self)
        if not self._streams:
            self.transport.loseConnection()

    @staticmethod
    def _broken(stream: Stream) -> AttemptOutcome:
        return AttemptOutcome.TRUNCATED_ANSWER if stream.response else AttemptOutcome.RESET

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._owner.down(self)
        streams, self._streams = self._streams, {}
        for stream in streams.values():
            stream.end(self._broken(stream))


class Member:
    """The connection to one member, and what waits for it or for room on it."""

    def __init__(self, reactor: Any, address: tuple[str, int]) -> None:
        self.reactor, self.address = reactor, address
        self._connection: V2Connection | None = None
        self._trying: Any = None
        self._line: deque[Stream] = deque()

    def send(self, stream: Stream) -> None:
        """Send a request, once there is a connection with room."""
        if len(self._line) >= MOST_WAITING:
            stream.end(AttemptOutcome.NOT_SENT)
            return
        self._line.append(stream)
        self.next()

    def next(self) -> None:
        """Send what waits, as far as there is room."""
        while self._line and self._connection is not None and self._connection.room() > 0:
            stream = self._line.popleft()
            if stream._done is not None:
                self._connection.begin(stream)
        if self._line and self._connection is None and self._trying is None:
            factory = Factory.forProtocol(lambda: V2Connection(self))  # type: ignore[arg-type]
            factory.noisy = False
            self._trying = endpoint_at(self.reactor, self.address, CONNECT_S).connect(factory)
            self._trying.addErrback(self._failed)

    def up(self, connection: V2Connection) -> None:
        """Take a connection that stands."""
        self._trying, self._connection = None, connection
        self.next()

    def down(self, connection: V2Connection) -> None:
        """Let go of a connection that takes nothing new."""
        if self._connection is connection:
            self._connection = None
            self.reactor.callLater(0, self.next)

    def _failed(self, _: Failure) -> None:
        self._trying = None
        line, self._line = self._line, deque()
        for stream in line:
            stream.end(AttemptOutcome.NOT_CONNECTED)

    def close(self) -> None:
        """End the connection."""
        if self._connection is not None:
            self._connection.transport.abortConnection()


class V2Client:
    """All members that requests are sent to, by address."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._members: dict[tuple[str, int], Member] = {}

    def send(self, address: tuple[str, int], headers: v2.Headers, data: bytes, done: Done) -> Stream:
        """Send a request; ``done`` is told its end, once, unless it is cancelled."""
        stream = Stream(headers, data, done)
        member = self._members.get(address)
        if member is None:
            member = self._members[address] = Member(self._reactor, address)
        member.send(stream)
        return stream

    def keep(self, addresses: set[tuple[str, int]]) -> None:
        """Close connections to addresses that are no member's any more."""
        for address in [one for one in self._members if one not in addresses]:
            self._members.pop(address).close()
