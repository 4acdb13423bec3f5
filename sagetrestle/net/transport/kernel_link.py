"""The TCP link to the kernel."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from sagetrestle.net.protocol import kernel
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.routing import inputs
from sagetrestle.net.routing.effects import RunCommand
from sagetrestle.net.routing.values import CommandKind, ConnectionEnd, RunEnd
from sagetrestle.net.transport.connection_ends import (
    Post,
    connection_end_for,
    connection_end_for_fault,
    client_endpoint,
)

CONNECT_TIMEOUT_S = 2
COMMAND_BY_NAME = {
    "SCHED": CommandKind.START,
    "PREEMPT": CommandKind.PAUSE,
    "RESCHED": CommandKind.RESUME,
    "IODONE": CommandKind.REPLY,
}


def to_input(notice: kernel.Notice) -> inputs.Input:
    """Convert a notice of the kernel into an input of the core."""
    match notice:
        case kernel.Booted(how, duration):
            return inputs.KernelBooted(how == "fresh", int(duration * 1000))
        case kernel.Reap(serial, call, how, duration, blob):
            return inputs.RunFinished(serial, call, RunEnd(how), int(duration * 1000), blob)
        case kernel.IoReq(serial, call, blob):
            return inputs.RunRequestedCall(serial, call, blob)
        case kernel.Info(cookie, stats):
            return inputs.GaugesRead(cookie, stats)
        case kernel.Einval(how, call):
            return inputs.CommandRejected(COMMAND_BY_NAME.get(how), call, how)
        case kernel.Dmesg(serial, how):
            return inputs.KernelNotice(serial, how)
        case kernel.Unknown(msg, serial):
            return inputs.KernelNotice(serial, msg)


def encode(command: RunCommand) -> bytes:
    """Encode a command to the kernel."""
    match command.kind:
        case CommandKind.START:
            return kernel.encode_sched(command.id, command.class_name, command.body, command.token)
        case CommandKind.PAUSE:
            return kernel.encode_preempt(command.id)
        case CommandKind.RESUME:
            return kernel.encode_resched(command.id)
        case CommandKind.REPLY:
            return kernel.encode_iodone(command.id, command.body)


class KernelConnection(Protocol):
    """One connection to the kernel; a newer connection supersedes it."""

    def __init__(self, number: int, post: Post) -> None:
        self._number, self._post = number, post
        self._superseded = False
        self._notices = kernel.NoticeDecoder()
        self._local_end: tuple[ConnectionEnd, str] | None = None

    def connectionMade(self) -> None:  # noqa: D102
        self.transport.setTcpNoDelay(True)
        self._post(inputs.KernelConnected(self._number))

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        if self._local_end or self._superseded:
            return
        try:
            for notice in self._notices.feed(data):
                self._post(to_input(notice))
        except ProtocolError as fault:
            self._local_end = (connection_end_for_fault(fault), str(fault))
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        self._post(inputs.KernelDisconnected(self._number, *(self._local_end or (connection_end_for(reason), ""))))

    def supersede(self) -> None:
        """Close a superseded connection: pending writes are still sent, further input is ignored."""
        self._superseded = True
        self.transport.loseConnection()


class KernelLink:
    """Opens connections to the kernel on request and writes to the current one."""

    def __init__(self, reactor: Any, post: Post) -> None:
        self._reactor, self._post = reactor, post
        self._connecting: Deferred[Any] | None = None
        self._connection: KernelConnection | None = None

    def connect(self, number: int, address: tuple[str, int]) -> None:
        """Open a connection that supersedes the current one; the outcome is posted as an input."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.supersede()
            self._connection = None
        factory = Factory.forProtocol(lambda: KernelConnection(number, self._post))  # type: ignore[arg-type]
        factory.noisy = False
        endpoint = client_endpoint(self._reactor, address, CONNECT_TIMEOUT_S)
        self._connecting = endpoint.connect(factory)
        self._connecting.addCallbacks(self._connected, lambda reason: self._failed(number, reason))

    def _connected(self, connection: KernelConnection) -> None:
        self._connecting, self._connection = None, connection

    def _failed(self, number: int, reason: Failure) -> None:
        self._post(inputs.KernelDisconnected(number, connection_end_for(reason)))

    def command(self, command: RunCommand) -> None:
        """Send a command for a run."""
        self.write(encode(command))

    def ask_gauges(self, cookie: str) -> None:
        """Request the gauges."""
        self.write(kernel.encode_sysinfo(cookie))

    def open(self, serial: int) -> None:
        """Send the serial number of the last notice that was read."""
        self.write(kernel.encode_open(serial))

    def write(self, data: bytes) -> None:
        """Write to the current connection, if any.

        Data for a connection that has just ended is dropped; the core sends it again after the next connect.
        """
        if self._connection is not None and self._connection.transport.connected:
            self._connection.transport.write(data)
