"""Scenarios over real sockets: the test steps the scorer's reactor and sets its clock.

The scenario language is that of ``scenario.py``. Bytes written by a peer stay unread at the scorer's socket until the
reactor is stepped, so that a test can let input and a decision of the scorer cross in either order.
"""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from twisted.internet import error
from twisted.internet.epollreactor import EPollReactor

from sagetrestle.net.routing.values import BackendAddresses
from tests.net.scenario import ScenarioCase, World

LOOPBACK = "127.0.0.1"
TICK_S = 0.0005
SETTLE_TICKS = 8  # each hop over a socket takes one step of the reactor
LONG_TICK_MS = 20  # step of the clock in a long wait
DELIVERY_TIMEOUT_S = 5.0  # for the operating system to deliver written bytes
TCP_INFO_BYTES = 216  # size of Linux's struct tcp_info
QUEUED_OFFSET = 24  # in struct tcp_info: connections waiting to be accepted
RECEIVED_OFFSET = 128  # in struct tcp_info: bytes received
SENT_OFFSET = 200  # in struct tcp_info: bytes sent, then bytes retransmitted
CLOSE_TIMEOUT_S = 0.05  # for the peer's system to confirm a close
ENDED_STATES = (5, 6, 7)  # FIN_WAIT2, TIME_WAIT and CLOSE in Linux's TCP_INFO


def wait_until(condition: Callable[[], bool], seconds: float = DELIVERY_TIMEOUT_S) -> bool:
    """Wait in real time until the condition holds, as a busy system delivers late; return whether it held in time."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.0002)
    return True


def tcp_info(sock: socket.socket) -> bytes:
    """Return Linux's ``struct tcp_info`` of a connection or a listening socket."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)


def all_arrived(sender: socket.socket, receiver: socket.socket | None) -> bool:
    """Return whether all sent bytes have reached the peer's system; the receiver is None until it is accepted."""
    sender_info = tcp_info(sender)
    if receiver is None:
        return struct.unpack("i", fcntl.ioctl(sender, termios.TIOCOUTQ, b"\0\0\0\0"))[0] == 0
    (sent, retransmitted), (received,) = (
        struct.unpack_from("QQ", sender_info, SENT_OFFSET),
        struct.unpack_from("Q", tcp_info(receiver), RECEIVED_OFFSET),
    )
    return received >= sent - retransmitted


def waiting_connections(listening: socket.socket) -> int:
    """Return the number of connections that wait to be accepted."""
    return struct.unpack_from("I", tcp_info(listening), QUEUED_OFFSET)[0]


class SteppedReactor(EPollReactor):
    """An epoll reactor that runs one iteration at a time, on a clock set by the test."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        self.tcpClients: list[
            Any
        ] = []  # unused here: connections are identified by the order in which they are accepted
        self.startRunning(installSignalHandlers=False)

    def seconds(self) -> float:
        """Return the time set by the test."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock, run the calls that are due, then poll the sockets once."""
        self._now += seconds
        self.runUntilCurrent()
        self.doIteration(0)

    def has_stopped(self) -> bool:
        """Return whether the program has stopped the reactor."""
        return self._stopped


class SocketWire:
    """The test's end of a real connection."""

    def __init__(self, world: SocketWorld, sock: socket.socket) -> None:
        self.world, self.socket, self.protocol = world, sock, self
        world.wires.append(self)
        self.connected, self.was_reset = True, False
        self.is_full = False  # its small buffer is not read, so what is sent to it may not arrive
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def dataReceived(self, data: bytes) -> None:
        """Write to the scorer; the bytes have reached its system on return."""
        self.socket.sendall(data)
        receiver = self.world.scorer_sockets().get(self.ends())
        assert wait_until(lambda: all_arrived(self.socket, receiver))

    def ends(self) -> tuple[Any, Any]:
        """Return the addresses of this end and of the scorer's end."""
        try:
            return self.socket.getsockname(), self.socket.getpeername()
        except OSError:  # the connection was reset
            return None, None

    def take(self) -> bytes:
        """Return the bytes received since the last call."""
        received_data = b""
        while self.connected and select.select([self.socket], [], [], 0)[0]:
            try:
                data = self.socket.recv(1 << 16)
            except ConnectionResetError:
                data, self.was_reset = b"", True
            if not data:
                self.connected = False
            received_data += data
        return received_data

    def end(self, reason: type[Exception] = error.ConnectionDone) -> None:
        """Close this end; the peer's system has normally confirmed it on return."""
        self.connected = False
        if self.socket.fileno() >= 0:
            with suppress(OSError):
                self.socket.shutdown(socket.SHUT_WR)
            wait_until(lambda: tcp_info(self.socket)[0] in ENDED_STATES, CLOSE_TIMEOUT_S)
            self.socket.close()

    def sees_end(self) -> bool:
        """Return whether the scorer has closed the connection."""
        wait_until(lambda: not (self.take() or self.connected))
        return not self.connected


class SocketWorld(World):
    """One scorer on real sockets and its peers."""

    def new_reactor(self) -> SteppedReactor:
        """Return a new reactor for this world, and open the peers' listening socket."""
        self.wires: list[SocketWire] = []
        self.listener = socket.create_server((LOOPBACK, 0))
        self.listener.settimeout(5)
        self.test.addCleanup(self.listener.close)
        reactor = SteppedReactor()
        self.test.addCleanup(self._end, reactor)
        return reactor

    def _end(self, reactor: SteppedReactor) -> None:
        if not reactor.has_stopped():
            reactor.stop()
        reactor.advance(0)
        for descriptor in (reactor._poller, reactor.waker.i, reactor.waker.o):
            with suppress(OSError):
                descriptor.close() if hasattr(descriptor, "close") else socket.close(descriptor)

    def peers(self) -> BackendAddresses:
        """Return one address for kernel, ledger and roster; reports to the roster are intercepted before."""
        here = self.listener.getsockname()
        return BackendAddresses(here, here, here)

    def opened(self) -> None:
        """Leave the listening sockets unchanged."""

    def connect(self, front: str) -> SocketWire:
        """Connect to a front; the scorer accepts the connection at its next step."""
        port = self.scorer.fronts[front].port
        before = waiting_connections(port.socket)
        wire = SocketWire(self, socket.create_connection((LOOPBACK, port.getHost().port), timeout=5))
        self.test.addCleanup(wire.end)
        assert wait_until(lambda: waiting_connections(port.socket) > before)
        return wire

    def accept(self, at: int = -1) -> SocketWire:
        """Accept the next connection that the scorer opens."""
        wire = SocketWire(self, self.listener.accept()[0])
        self.test.addCleanup(wire.end)
        return wire

    def settle(self) -> None:
        """Deliver all bytes in flight, advancing the clock as much as the in-memory scenario does."""
        for _ in range(SETTLE_TICKS):
            self._tick(TICK_S)

    def wait(self, ms: int) -> None:
        """Advance the clock, in long ticks until little time is left."""
        while ms > 2 * LONG_TICK_MS:
            self._tick(LONG_TICK_MS / 1000)
            ms -= LONG_TICK_MS
        super().wait(ms)

    def _tick(self, seconds: float) -> None:
        self.reactor.advance(seconds)
        self.deliver()
        if hasattr(self, "kernel"):
            self.kernel.pump()

    def deliver(self) -> None:
        """Wait until the bytes sent by the scorer's sockets have arrived."""
        ends = self.scorer_sockets()
        for wire in self.wires:
            if wire.socket.fileno() >= 0 and not wire.is_full and (sender := ends.get(wire.ends())):
                wait_until(lambda sender=sender, wire=wire: all_arrived(sender, wire.socket))

    def scorer_sockets(self) -> dict[Any, socket.socket]:
        """Return the scorer's sockets of open connections, by (peer address, own address)."""
        sockets = {}
        for selectable in self.reactor._selectables.values():
            if getattr(selectable, "protocol", None) and selectable.connected:
                with suppress(OSError):
                    sockets[selectable.socket.getpeername(), selectable.socket.getsockname()] = selectable.socket
        return sockets

    def jump(self, ms: int) -> None:
        """Advance the clock in one step: due timers run before pending input is read."""
        self.reactor.advance(ms / 1000)


class SocketCase(ScenarioCase):
    """A test whose scenarios run over real sockets."""

    world_type = SocketWorld
