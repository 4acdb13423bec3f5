"""A scorer on real sockets whose loop a test turns by hand, on a clock that the test sets.

The scenario language is that of ``scenario.py``. What a peer writes lies unread at the scorer's socket until the loop
is turned, so that a test can have bytes and a decision of the scorer cross in either order.
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
TICK_S, SETTLE_TICKS = 0.0005, 8  # the loop is turned so often, as each hop over a socket takes a turn
LONG_TICK_MS = 20  # in a long wait
DELIVERY_TIMEOUT_S = 5.0  # how long the system may take to deliver
TCP_INFO_BYTES, QUEUED_OFFSET, RECEIVED_OFFSET, SENT_OFFSET = 216, 24, 128, 200  # of Linux's struct tcp_info, in bytes
CLOSE_TIMEOUT_S = 0.05  # for the other side's system to confirm an end
ENDED_STATES = (5, 6, 7)  # FIN_WAIT2, TIME_WAIT, CLOSE in Linux's TCP_INFO


def wait_until(condition: Callable[[], bool], seconds: float = DELIVERY_TIMEOUT_S) -> bool:
    """Wait in real time, as a busy system delivers late; return whether it came true."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.0002)
    return True


def tcp_info(sock: socket.socket) -> bytes:
    """Return what the system tells of a connection or a listening socket: Linux's ``struct tcp_info``."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)


def all_arrived(sender: socket.socket, receiver: socket.socket | None) -> bool:
    """Tell whether all that left a socket is at the other side's system; one not accepted yet has no receiver."""
    sender_info = tcp_info(sender)
    if receiver is None:
        return struct.unpack("i", fcntl.ioctl(sender, termios.TIOCOUTQ, b"\0\0\0\0"))[0] == 0
    (sent, retransmitted), (received,) = (
        struct.unpack_from("QQ", sender_info, SENT_OFFSET),
        struct.unpack_from("Q", tcp_info(receiver), RECEIVED_OFFSET),
    )
    return received >= sent - retransmitted


def waiting_connections(listening: socket.socket) -> int:
    """Return how many connections wait to be accepted."""
    return struct.unpack_from("I", tcp_info(listening), QUEUED_OFFSET)[0]


class SteppedReactor(EPollReactor):
    """The reactor that the program runs on, one iteration at a time."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        self.tcpClients: list[Any] = []  # the links are told apart by the order in which they are accepted
        self.startRunning(installSignalHandlers=False)

    def seconds(self) -> float:
        """Return the time that the test has set."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock on, call what is due, then look at the sockets once."""
        self._now += seconds
        self.runUntilCurrent()
        self.doIteration(0)

    def has_stopped(self) -> bool:
        """Tell whether the program ended its loop."""
        return self._stopped


class SocketWire:
    """The test's end of a real connection."""

    def __init__(self, world: SocketWorld, sock: socket.socket) -> None:
        self.world, self.socket, self.protocol = world, sock, self
        world.wires.append(self)
        self.connected, self.was_reset = True, False
        self.is_full = False  # its buffer is small and not emptied: nothing that is sent to it arrives for sure
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def dataReceived(self, data: bytes) -> None:
        """Write to the scorer, whose system has it on return."""
        self.socket.sendall(data)
        receiver = self.world.scorer_sockets().get(self.ends())
        assert wait_until(lambda: all_arrived(self.socket, receiver))

    def ends(self) -> tuple[Any, Any]:
        """Return the addresses of this end and of the scorer's."""
        try:
            return self.socket.getsockname(), self.socket.getpeername()
        except OSError:  # reset
            return None, None

    def take(self) -> bytes:
        """Return what has arrived since the last look."""
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
        """Close this end; the other side's system knows of it on return."""
        self.connected = False
        if self.socket.fileno() >= 0:
            with suppress(OSError):
                self.socket.shutdown(socket.SHUT_WR)
            wait_until(lambda: tcp_info(self.socket)[0] in ENDED_STATES, CLOSE_TIMEOUT_S)
            self.socket.close()

    def sees_end(self) -> bool:
        """Tell whether the scorer has ended the connection."""
        wait_until(lambda: not (self.take() or self.connected))
        return not self.connected


class SocketWorld(World):
    """One scorer on real sockets, and its peers."""

    def new_reactor(self) -> SteppedReactor:
        """Return a loop of this world's own."""
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
        """Have kernel and ledger at one address; reports to the roster are taken on the way."""
        here = self.listener.getsockname()
        return BackendAddresses(here, here, here)

    def opened(self) -> None:
        """Leave the listening sockets as they are."""

    def connect(self, front: str) -> SocketWire:
        """Connect to a front; the scorer learns of it at its next turn."""
        port = self.scorer.fronts[front].port
        before = waiting_connections(port.socket)
        wire = SocketWire(self, socket.create_connection((LOOPBACK, port.getHost().port), timeout=5))
        self.test.addCleanup(wire.end)
        assert wait_until(lambda: waiting_connections(port.socket) > before)
        return wire

    def accept(self, at: int = -1) -> SocketWire:
        """Take the next connection that the scorer sets up."""
        wire = SocketWire(self, self.listener.accept()[0])
        self.test.addCleanup(wire.end)
        return wire

    def settle(self) -> None:
        """Let all that is on its way arrive, in as much time as in memory."""
        for _ in range(SETTLE_TICKS):
            self._tick(TICK_S)

    def wait(self, ms: int) -> None:
        """Let time pass, in long ticks at first."""
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
        """Have what left the scorer's sockets arrive."""
        ends = self.scorer_sockets()
        for wire in self.wires:
            if wire.socket.fileno() >= 0 and not wire.is_full and (sender := ends.get(wire.ends())):
                wait_until(lambda sender=sender, wire=wire: all_arrived(sender, wire.socket))

    def scorer_sockets(self) -> dict[Any, socket.socket]:
        """Return the scorer's ends of its open connections, by the addresses of the other end and their own."""
        sockets = {}
        for selectable in self.reactor._selectables.values():
            if getattr(selectable, "protocol", None) and selectable.connected:
                with suppress(OSError):
                    sockets[selectable.socket.getpeername(), selectable.socket.getsockname()] = selectable.socket
        return sockets

    def jump(self, ms: int) -> None:
        """Let so much time pass at once: timers that are due come before what waits at the sockets."""
        self.reactor.advance(ms / 1000)


class SocketCase(ScenarioCase):
    """A test whose scenarios are played over real sockets."""

    world_type = SocketWorld
