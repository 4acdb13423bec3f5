"""Client endpoints, and the mapping of Twisted's failure reasons to ``ConnectionEnd``."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import error
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.python.failure import Failure

from sagetrestle.net.protocol.errors import Fault, ProtocolError
from sagetrestle.net.routing.inputs import Input
from sagetrestle.net.routing.values import ConnectionEnd

Post = Callable[[Input], None]


def client_endpoint(reactor: Any, address: tuple[str, int], timeout_s: float) -> Any:
    """Return a TCP client endpoint for an IPv4 or IPv6 address."""
    kind = TCP6ClientEndpoint if ":" in address[0] else TCP4ClientEndpoint
    return kind(reactor, *address, timeout=timeout_s)


END_BY_EXCEPTION: tuple[tuple[type[BaseException], ConnectionEnd], ...] = (
    (error.ConnectionRefusedError, ConnectionEnd.REFUSED),
    (error.TimeoutError, ConnectionEnd.CONNECT_TIMED_OUT),
    (error.ConnectError, ConnectionEnd.UNREACHABLE),
    (error.ConnectionDone, ConnectionEnd.CLOSED),
    (error.ConnectionAborted, ConnectionEnd.ABORTED),
    (error.ConnectionLost, ConnectionEnd.RESET),
)
END_BY_FAULT = {Fault.MALFORMED: ConnectionEnd.MALFORMED, Fault.TOO_LARGE: ConnectionEnd.TOO_LARGE}


def connection_end_for(reason: Failure) -> ConnectionEnd:
    """Return how a connection ended; an unknown reason maps to RESET, which says nothing about what the peer did."""
    for kind, end in END_BY_EXCEPTION:
        if reason.check(kind):
            return end
    return ConnectionEnd.RESET


def connection_end_for_fault(fault: ProtocolError) -> ConnectionEnd:
    """Return the connection end for input that violates the protocol."""
    return END_BY_FAULT[fault.fault]
