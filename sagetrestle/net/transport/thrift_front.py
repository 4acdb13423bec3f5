"""The front that speaks Thrift with the platform's front ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sagetrestle.identity.values import PresentedCredentials
from sagetrestle.interface import Settings
from sagetrestle.net.protocol import thrift
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.routing.inputs import HealthCheckRead, RequestRead, RequestRejected, WithdrawalRead
from sagetrestle.net.routing.values import Answer, Denied, Refused, Request, RequestRef, Served
from sagetrestle.net.transport.connection import Front, FrontConnection, has_unread
from sagetrestle.net.transport.denials import thrift_words
from sagetrestle.net.transport.ends import Post

# Messages looked at before a pause, and the pause in seconds: for those that were served before, for those
# that were not, and after what was of no use. A flood then costs the others a small part of the time.
PACES = {"served": (16, 0.002), "new": (8, 0.01), "doubted": (1, 0.1)}


class ThriftConnection(FrontConnection):
    """One front end's connection."""

    factory: ThriftFront

    def connectionMade(self) -> None:  # noqa: D102
        self._frames = thrift.FrameDecoder()
        self._last = 0  # request number
        self._owed: set[int] = set()  # requests read and not answered
        self.standing = "new"
        super().connectionMade()

    def read(self, data: bytes) -> None:
        """Take bytes in, and look at some of the messages that are complete."""
        self._split = bool(data) and self._frames.begun
        self._frames.push(data)
        most, pause = PACES[self.standing]
        for _ in range(most):
            frame = self._frames.next()
            if frame is None:
                return
            self._watch(renew=True)
            self._take(thrift.read_call(thrift.decode_message(frame)))
            self._split = False
        self.pace(pause)

    def partial(self) -> bool:
        """Tell whether a frame has begun."""
        return self._frames.partial

    def owes_answers(self) -> bool:
        """Tell whether a request that was read on this connection waits for its answer."""
        return bool(self._owed)

    def answered(self, seqid: int) -> None:
        """Note that a request has its answer, or that nobody waits for it."""
        self._owed.discard(seqid)

    def take_in_waiting(self) -> None:
        """Take in what has come and was not looked at yet, whatever the pace."""
        if self._broken:
            return
        if has_unread(self.transport):
            self.transport.doRead()
        try:
            while not self._broken and (frame := self._frames.next()) is not None:
                self._take(thrift.read_call(thrift.decode_message(frame)))
        except ProtocolError as fault:
            self.broken(fault)

    def _take(self, call: object) -> None:
        post = self.factory.post
        if isinstance(call, thrift.Handle):
            self._handle(call)
        elif isinstance(call, thrift.Withdraw):
            self.answered(call.target)
            post(WithdrawalRead(RequestRef(self.name, call.target)))
        elif isinstance(call, thrift.Status):
            post(HealthCheckRead(RequestRef(self.name, call.seqid)))
        elif isinstance(call, thrift.BadFields):
            self._reject("handle", call.seqid, thrift.PROTOCOL_ERROR, call.why)
        elif isinstance(call, thrift.UnknownMethod):
            self._reject(call.name, call.seqid, thrift.UNKNOWN_METHOD, "unknown method", call.oneway)

    def _handle(self, call: thrift.Handle) -> None:
        if call.seqid <= self._last:
            raise ProtocolError(f"request number {call.seqid} after {self._last}")
        self._last = call.seqid
        cls = self.factory.classes.get(call.cls)
        if cls is None:
            self._reject("handle", call.seqid, thrift.PROTOCOL_ERROR, "field 'c' names no class")
            return
        self._owed.add(call.seqid)
        arrived = self.factory.from_unix_ms(call.stamp_ms)
        shown = PresentedCredentials(f"front end {call.caller}", front_end=call.caller) if self.factory.maps else None
        self.factory.post(
            RequestRead(
                Request(
                    RequestRef(self.name, call.seqid),
                    call.id,
                    cls,
                    arrived,
                    call.caller,
                    call.body,
                    call.held_kb,
                    int(call.hint_ms * 1000),
                    call.rank,
                    call.retry,
                    call.key,
                    call.subject,
                    shown,
                    split=self._split,
                )
            )
        )

    def _reject(self, name: str, seqid: int, code: int, why: str, oneway: bool = False) -> None:
        """Answer a call that is well formed but can not be carried out."""
        self.factory.doubt(self)
        if not oneway:
            self.transport.write(thrift.encode_exception(name, seqid, code, why))
        self.factory.post(RequestRejected(self.name, f"{name!r}: {why}"))


class ThriftFront(Front[ThriftConnection]):
    """Writes the core's answers as the service ``Front`` has them."""

    def __init__(
        self, reactor: Any, settings: Settings, post: Post, most: int, from_unix_ms: Callable[[int], int]
    ) -> None:
        super().__init__(reactor, "thrift", ThriftConnection, post, most)
        self.classes = {cls.name: at for at, cls in enumerate(settings.classes)}
        self.from_unix_ms = from_unix_ms
        self.maps = False  # front ends to tenants: set where identity is on

    def send(self, request_ref: RequestRef, answer: Answer, value: float | None) -> None:
        """Write a final answer."""
        connection = self.connections.get(request_ref.connection)
        if connection:
            if isinstance(answer, Served):
                connection.standing = "served"
            connection.answered(request_ref.seqid)
            connection.transport.write(_encode(request_ref.seqid, answer, _value(value)))

    def send_health(self, request_ref: RequestRef, good: bool, value: float | None) -> None:
        """Write the answer to a health check."""
        connection = self.connections.get(request_ref.connection)
        if connection:
            connection.transport.write(thrift.encode_answer("status", request_ref.seqid, b"", _value(value), good))

    def doubt(self, connection: ThriftConnection) -> None:
        """Look at what comes on a connection seldom from now on."""
        if connection.standing == "new":
            connection.standing = "doubted"

    def leave(self, connection: ThriftConnection) -> None:
        """Ask that no new request come; the other side closes."""
        connection.transport.write(thrift.encode_leaving())


def _value(value: float | None) -> dict[str, str]:
    return {} if value is None else {"v": f"{value:g}"}


def _encode(seqid: int, answer: Answer, pairs: dict[str, str]) -> bytes:
    if isinstance(answer, Served):
        return thrift.encode_answer("handle", seqid, answer.result, pairs, good=True)
    if isinstance(answer, Denied):
        answer = thrift_words(answer)
    if isinstance(answer, Refused):
        if answer.retry_after_us > 0:
            pairs["w"] = str(-(-answer.retry_after_us // 1000))
        if answer.last:
            pairs["l"] = "1"
        return thrift.encode_shed(seqid, pairs)
    return thrift.encode_fault(seqid, pairs)
