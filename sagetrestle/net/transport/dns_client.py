"""A client for questions and updates to one DNS server.

Each message is a UDP datagram from a port of its own; TCP is used if a message or its answer does not fit. Imported
only if discovery is enabled.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from sagetrestle.net.protocol import dns_wire
from sagetrestle.net.protocol.dns_push import FrameDecoder, frame
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.transport.connection_ends import client_endpoint

Address = tuple[str, int]
DATAGRAM_TIMEOUT_S = 0.25
MAX_DATAGRAM_ATTEMPTS = 3  # each attempt is sent from another port
TCP_TIMEOUT_S = 1.0
MAX_OPEN_QUESTIONS = 64  # each holds a file descriptor


class NoAnswer(Exception):
    """No valid answer was received; the text says why."""


class UdpQuestion(DatagramProtocol):
    """One question over UDP from its own port; datagrams that do not answer it may be forged and are ignored."""

    noisy = False

    def __init__(
        self, reactor: Any, address: Address, data: bytes, decode: Callable[[bytes], Any], timeout_s: float
    ) -> None:
        self._reactor, self._address, self._data, self._decode = reactor, address, data, decode
        self.done: Deferred[Any] = Deferred(lambda _: self._end())
        self._timer = reactor.callLater(timeout_s, self._timed_out)
        self.rejected_datagrams = 0

    def startProtocol(self) -> None:  # noqa: D102
        self.transport.connect(*self._address)
        self.transport.write(self._data)

    def datagramReceived(self, data: bytes, addr: Address) -> None:  # noqa: D102
        try:
            result = self._decode(data)
        except ProtocolError:
            self.rejected_datagrams += 1
            return
        self._finish(lambda done: done.callback(result))

    def connectionRefused(self) -> None:  # noqa: D102
        self._finish(lambda done: done.errback(Failure(NoAnswer("nobody listens there"))))

    def _timed_out(self) -> None:
        detail = (
            f"no answer, {self.rejected_datagrams} that could not be taken"
            if self.rejected_datagrams
            else "no answer in time"
        )
        self._finish(lambda done: done.errback(Failure(NoAnswer(detail))))

    def _finish(self, report: Callable[[Deferred[Any]], None]) -> None:
        if self._end():
            done, self.done = self.done, None  # type: ignore[assignment]
            report(done)

    def _end(self) -> bool:
        if self._timer is None:
            return False
        if self._timer.active():
            self._timer.cancel()
        self._timer = None
        if self.transport is not None:
            self.transport.stopListening()
        return True


class TcpQuestion(Protocol):
    """One question over its own TCP connection."""

    def __init__(self, data: bytes, decode: Callable[[bytes], Any], done: Deferred[Any]) -> None:
        self._data, self._decode, self._done = data, decode, done
        self._frames = FrameDecoder()

    def connectionMade(self) -> None:  # noqa: D102
        self.transport.write(frame(self._data))

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        for message in self._frames.feed(data):
            if self._done is None:
                return
            done, self._done = self._done, None
            try:
                done.callback(self._decode(message))
            except ProtocolError as fault:
                done.errback(Failure(NoAnswer(str(fault))))
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        if self._done is not None:
            done, self._done = self._done, None
            done.errback(Failure(NoAnswer("the connection ended before the answer")))


class DnsClient:
    """Asks one server; questions over ``MAX_OPEN_QUESTIONS`` wait in a queue."""

    def __init__(self, reactor: Any, address: Address, rng: random.Random | None = None) -> None:
        self._reactor, self._address = reactor, address
        self._rng = rng or random.SystemRandom()
        self._open_count = 0
        self._waiting: deque[Callable[[], None]] = deque()

    def ask(self, name: str, kind: str, stream: bool = False) -> Deferred[dns_wire.Answer]:
        """Ask for the records of a name, over TCP at once if ``stream`` is set. Fails with NoAnswer."""
        done: Deferred[dns_wire.Answer] = Deferred()
        self._run_when_free(lambda: self._attempt(name, kind, 0 if stream else MAX_DATAGRAM_ATTEMPTS, done))
        return done

    def _run_when_free(self, begin: Callable[[], None]) -> None:
        if self._open_count >= MAX_OPEN_QUESTIONS:
            self._waiting.append(begin)
            return
        self._open_count += 1
        begin()

    def _release_slot(self) -> None:
        self._open_count -= 1
        if self._waiting and self._open_count < MAX_OPEN_QUESTIONS:
            self._open_count += 1
            self._waiting.popleft()()

    def _attempt(self, name: str, kind: str, attempts_left: int, done: Deferred[dns_wire.Answer]) -> None:
        id = self._rng.getrandbits(16)
        data = dns_wire.encode_question(id, name, kind)

        def decode(message: bytes) -> dns_wire.Answer:
            return dns_wire.decode_answer(message, id, name, kind)

        def answered(answer: dns_wire.Answer) -> None:
            if answer.truncated:
                self._ask_over_tcp(data, decode).addCallbacks(succeeded, failed)
            else:
                succeeded(answer)

        def succeeded(answer: dns_wire.Answer) -> None:
            self._release_slot()
            done.callback(answer)

        def failed(reason: Failure) -> None:
            self._release_slot()
            done.errback(reason)

        def udp_failed(reason: Failure) -> None:
            if attempts_left > 1 and "in time" in reason.getErrorMessage():
                self._attempt(name, kind, attempts_left - 1, done)
            else:
                failed(reason)

        if attempts_left == 0:
            self._ask_over_tcp(data, decode).addCallbacks(succeeded, failed)
        else:
            self._ask_over_udp(data, decode, DATAGRAM_TIMEOUT_S).addCallbacks(answered, udp_failed)

    def _ask_over_udp(self, data: bytes, decode: Callable[[bytes], Any], timeout_s: float) -> Deferred[Any]:
        question = UdpQuestion(self._reactor, self._address, data, decode, timeout_s)
        done = question.done
        self._reactor.listenUDP(0, question, interface="::" if ":" in self._address[0] else "0.0.0.0")
        return done

    def _ask_over_tcp(self, data: bytes, decode: Callable[[bytes], Any]) -> Deferred[Any]:
        done: Deferred[Any] = Deferred()
        factory = Factory.forProtocol(lambda: TcpQuestion(data, decode, done))  # type: ignore[arg-type]
        factory.noisy = False
        endpoint = client_endpoint(self._reactor, self._address, TCP_TIMEOUT_S)
        endpoint.connect(factory).addErrback(lambda reason: done.errback(Failure(NoAnswer(reason.getErrorMessage()))))
        return done.addTimeout(TCP_TIMEOUT_S, self._reactor, onTimeoutCancel=_timeout_failure)

    def update(
        self,
        registration: dns_wire.Registration,
        lease_s: int | None,
        signer: dns_wire.Signer | None,
        now_s: int,
        timeout_s: float,
    ) -> Deferred[dns_wire.UpdateAnswer]:
        """Send one update, without retry. Fails with NoAnswer; the server may still have applied the update."""
        id = self._rng.getrandbits(16)
        data, mac = dns_wire.encode_update(id, registration, lease_s), b""
        if signer is not None:
            data, mac = dns_wire.sign(data, signer, now_s)

        def decode(message: bytes) -> dns_wire.UpdateAnswer:
            return dns_wire.decode_update_answer(message, id, signer, mac)

        if len(data) > dns_wire.MAX_DATAGRAM_BYTES:
            return self._ask_over_tcp(data, decode)
        return self._ask_over_udp(data, decode, timeout_s)


def _timeout_failure(_: Any, seconds: float) -> Failure:
    return Failure(NoAnswer(f"no answer within {seconds:g} s"))
