"""Health checks of members: a Thrift call of ``status``, each on its own connection."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from sagetrestle.membership.state_machine import ConnectionRefused, Event, MemberAnswered, MemberResting, ProbeTimedOut
from sagetrestle.net.protocol import thrift
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.routing.values import ConnectionEnd
from sagetrestle.net.transport.connection_ends import connection_end_for, client_endpoint

STATUS_REQUEST = thrift.encode_message("status", thrift.Kind.CALL, 1, thrift.field(thrift.Type.BOOL, 1, b"\0"))
GOOD_FIELD = 3  # the number of the health flag in the struct ``Answer``


class StatusProbe(Protocol):
    """One health check; its timeout is set by the caller."""

    def __init__(self, name: str, done: Deferred[Event]) -> None:
        self._name, self._done = name, done
        self._frames = thrift.FrameDecoder()

    def connectionMade(self) -> None:  # noqa: D102
        self.transport.write(STATUS_REQUEST)

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        try:
            for frame in self._frames.feed(data):
                self._handle_message(thrift.decode_message(frame))
        except ProtocolError:
            self.transport.abortConnection()

    def _handle_message(self, message: thrift.Message) -> None:
        if message.kind == thrift.Kind.ONEWAY and message.name == "leaving":
            self._report(MemberAnswered(self._name, leaving=True))
        elif message.kind == thrift.Kind.REPLY and 0 in message.fields:
            good = message.fields[0][1][GOOD_FIELD][1]
            self._report(MemberAnswered(self._name) if good else MemberResting(self._name))
            self.transport.loseConnection()

    def _report(self, event: Event) -> None:
        if self._done is not None:
            done, self._done = self._done, None
            done.callback(event)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self._report(ProbeTimedOut(self._name))


def probe(reactor: Any, name: str, address: tuple[str, int], timeout_s: float) -> Deferred[Event]:
    """Check one member. The Deferred always fires with a membership event, never with a failure."""
    done: Deferred[Event] = Deferred()
    factory = Factory.forProtocol(lambda: StatusProbe(name, done))  # type: ignore[arg-type]
    factory.noisy = False
    connecting = client_endpoint(reactor, address, timeout_s).connect(factory)
    connections: list[StatusProbe] = []
    connecting.addCallbacks(connections.append, lambda reason: _report_connect_failure(name, done, reason))

    def timed_out(_: Any, seconds: float) -> Event:
        connecting.cancel()
        for connection in connections:
            connection.transport.abortConnection()
        return ProbeTimedOut(name)

    return done.addTimeout(timeout_s, reactor, onTimeoutCancel=timed_out)


def _report_connect_failure(name: str, done: Deferred[Event], reason: Failure) -> None:
    if not done.called:
        refused = connection_end_for(reason) is ConnectionEnd.REFUSED
        done.callback(ConnectionRefused(name) if refused else ProbeTimedOut(name))
