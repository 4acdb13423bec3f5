"""Questions and updates to one DNS server: datagrams from a port of their own each, TCP where they do not fit.

Loaded only where discovery is on.
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
from sagetrestle.net.transport.ends import endpoint_at

Address = tuple[str, int]
TIMEOUT_S, TRIES = 0.25, 3  # for an answer by datagram; the next try comes from another port
TCP_TIMEOUT_S = 1.0
MOST_OPEN = 64  # questions at once: each holds a descriptor


class NoAnswer(Exception):
    """No answer came that could be taken; the text says why."""


class Datagram(DatagramProtocol):
    """One question from one port; what does not answer it is passed over, as it may be forged."""

    noisy = False

    def __init__(
        self, reactor: Any, address: Address, data: bytes, take: Callable[[bytes], Any], timeout_s: float
    ) -> None:
        self._reactor, self._address, self._data, self._take = reactor, address, data, take
        self.done: Deferred[Any] = Deferred(lambda _: self._end())
        self._timer = reactor.callLater(timeout_s, self._timed_out)
        self.strangers = 0

    def startProtocol(self) -> None:  # noqa: D102
        self.transport.connect(*self._address)
        self.transport.write(self._data)

    def datagramReceived(self, data: bytes, addr: Address) -> None:  # noqa: D102
        try:
            got = self._take(data)
        except ProtocolError:
            self.strangers += 1
            return
        self._finish(lambda done: done.callback(got))

    def connectionRefused(self) -> None:  # noqa: D102
        self._finish(lambda done: done.errback(Failure(NoAnswer("nobody listens there"))))

    def _timed_out(self) -> None:
        why = f"no answer, {self.strangers} that could not be taken" if self.strangers else "no answer in time"
        self._finish(lambda done: done.errback(Failure(NoAnswer(why))))

    def _finish(self, tell: Callable[[Deferred[Any]], None]) -> None:
        if self._end():
            done, self.done = self.done, None  # type: ignore[assignment]
            tell(done)

    def _end(self) -> bool:
        if self._timer is None:
            return False
        if self._timer.active():
            self._timer.cancel()
        self._timer = None
        if self.transport is not None:
            self.transport.stopListening()
        return True


class Stream(Protocol):
    """One question over TCP."""

    def __init__(self, data: bytes, take: Callable[[bytes], Any], done: Deferred[Any]) -> None:
        self._data, self._take, self._done = data, take, done
        self._frames = FrameDecoder()

    def connectionMade(self) -> None:  # noqa: D102
        self.transport.write(frame(self._data))

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        for message in self._frames.feed(data):
            if self._done is None:
                return
            done, self._done = self._done, None
            try:
                done.callback(self._take(message))
            except ProtocolError as fault:
                done.errback(Failure(NoAnswer(str(fault))))
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: D102
        if self._done is not None:
            done, self._done = self._done, None
            done.errback(Failure(NoAnswer("the connection ended before the answer")))


class DnsClient:
    """Asks one server; at most so many questions are open, the others wait in line."""

    def __init__(self, reactor: Any, address: Address, rng: random.Random | None = None) -> None:
        self._reactor, self._address = reactor, address
        self._rng = rng or random.SystemRandom()
        self._open = 0
        self._line: deque[Callable[[], None]] = deque()

    def ask(self, name: str, kind: str, stream: bool = False) -> Deferred[dns_wire.Answer]:
        """Ask for records, over TCP at once where ``stream`` is set. Fails with NoAnswer."""
        done: Deferred[dns_wire.Answer] = Deferred()
        self._when_free(lambda: self._try(name, kind, 0 if stream else TRIES, done))
        return done

    def _when_free(self, begin: Callable[[], None]) -> None:
        if self._open >= MOST_OPEN:
            self._line.append(begin)
            return
        self._open += 1
        begin()

    def _free(self) -> None:
        self._open -= 1
        if self._line and self._open < MOST_OPEN:
            self._open += 1
            self._line.popleft()()

    def _try(self, name: str, kind: str, left: int, done: Deferred[dns_wire.Answer]) -> None:
        id = self._rng.getrandbits(16)
        data = dns_wire.encode_question(id, name, kind)

        def take(got: bytes) -> dns_wire.Answer:
            return dns_wire.decode_answer(got, id, name, kind)

        def answered(answer: dns_wire.Answer) -> None:
            if answer.truncated:
                self._stream(data, take).addCallbacks(finished, failed)
            else:
                finished(answer)

        def finished(answer: dns_wire.Answer) -> None:
            self._free()
            done.callback(answer)

        def failed(reason: Failure) -> None:
            self._free()
            done.errback(reason)

        def lost(reason: Failure) -> None:
            if left > 1 and "in time" in reason.getErrorMessage():
                self._try(name, kind, left - 1, done)
            else:
                failed(reason)

        if left == 0:
            self._stream(data, take).addCallbacks(finished, failed)
        else:
            self._datagram(data, take, TIMEOUT_S).addCallbacks(answered, lost)

    def _datagram(self, data: bytes, take: Callable[[bytes], Any], timeout_s: float) -> Deferred[Any]:
        one = Datagram(self._reactor, self._address, data, take, timeout_s)
        done = one.done
        self._reactor.listenUDP(0, one, interface="::" if ":" in self._address[0] else "0.0.0.0")
        return done

    def _stream(self, data: bytes, take: Callable[[bytes], Any]) -> Deferred[Any]:
        done: Deferred[Any] = Deferred()
        factory = Factory.forProtocol(lambda: Stream(data, take, done))  # type: ignore[arg-type]
        factory.noisy = False
        endpoint = endpoint_at(self._reactor, self._address, TCP_TIMEOUT_S)
        endpoint.connect(factory).addErrback(lambda reason: done.errback(Failure(NoAnswer(reason.getErrorMessage()))))
        return done.addTimeout(TCP_TIMEOUT_S, self._reactor, onTimeoutCancel=_too_late)

    def update(
        self,
        what: dns_wire.Registration,
        lease_s: int | None,
        signer: dns_wire.Signer | None,
        now_s: int,
        timeout_s: float,
    ) -> Deferred[dns_wire.UpdateAnswer]:
        """Send one update, once. Fails with NoAnswer: the server may have carried it out all the same."""
        id = self._rng.getrandbits(16)
        data, mac = dns_wire.encode_update(id, what, lease_s), b""
        if signer is not None:
            data, mac = dns_wire.sign(data, signer, now_s)

        def take(got: bytes) -> dns_wire.UpdateAnswer:
            return dns_wire.decode_update_answer(got, id, signer, mac)

        if len(data) > dns_wire.PAYLOAD:
            return self._stream(data, take)
        return self._datagram(data, take, timeout_s)


def _too_late(_: Any, seconds: float) -> Failure:
    return Failure(NoAnswer(f"no answer within {seconds:g} s"))
