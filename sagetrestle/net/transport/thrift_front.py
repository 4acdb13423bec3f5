"""The Thrift front for the platform's front ends."""

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
from sagetrestle.net.transport.denials import thrift_denial
from sagetrestle.net.transport.connection_ends import Post

# Messages decoded before a pause, and the pause in seconds, by the connection's reputation: a request on it was served,
# none was yet, or it sent an unusable call before any was. This keeps the share of time that a flood takes small.
READ_LIMITS = {"served": (16, 0.002), "new": (8, 0.01), "suspect": (1, 0.1)}


class ThriftConnection(FrontConnection):
    """The connection of one front end."""

    factory: ThriftFront

    def connectionMade(self) -> None:  # noqa: D102
        self._frames = thrift.FrameDecoder()
        self._last_seqid = 0
        self._caller: int | None = None  # the front end, as the first request names it
        self._unanswered_seqids: set[int] = set()  # of requests that were read
        self.reputation = "new"
        super().connectionMade()

    def read(self, data: bytes) -> None:
        """Decode received bytes, and handle up to as many complete messages as ``READ_LIMITS`` allows."""
        self._frame_was_split = bool(data) and self._frames.frame_begun
        self._frames.push(data)
        max_messages, pause_s = READ_LIMITS[self.reputation]
        for _ in range(max_messages):
            frame = self._frames.next()
            if frame is None:
                return
            self._update_stall_timer(restart=True)
            self._request_completed = True
            self._take(thrift.read_call(thrift.decode_message(frame)))
            self._frame_was_split = False
        self.pause_reading(pause_s)

    def partial(self) -> bool:
        """Return whether buffered bytes have not been decoded yet."""
        return self._frames.partial

    def held_bytes(self) -> int:
        """Return how many received bytes have not been decoded yet."""
        return self._frames.buffered

    def has_unanswered_requests(self) -> bool:
        """Return whether a request that was read on this connection has no answer yet."""
        return bool(self._unanswered_seqids)

    def answered(self, seqid: int) -> None:
        """Record that a request was answered or withdrawn."""
        self._unanswered_seqids.discard(seqid)

    def read_pending_input(self) -> None:
        """Read and decode all input that has already arrived, even while reading is paused."""
        if self._local_end:
            return
        if has_unread(self.transport):
            self.transport.doRead()
        try:
            while not self._local_end and (frame := self._frames.next()) is not None:
                self._take(thrift.read_call(thrift.decode_message(frame)))
        except ProtocolError as fault:
            self.abort_malformed(fault)

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
            self._reject("handle", call.seqid, thrift.PROTOCOL_ERROR, call.detail)
        elif isinstance(call, thrift.UnknownMethod):
            self._reject(call.name, call.seqid, thrift.UNKNOWN_METHOD, "unknown method", call.oneway)

    def _handle(self, call: thrift.Handle) -> None:
        if call.seqid <= self._last_seqid:
            raise ProtocolError(f"request number {call.seqid} after {self._last_seqid}")
        self._last_seqid = call.seqid
        class_index = self.factory.classes.get(call.class_name)
        if class_index is None:
            self._reject("handle", call.seqid, thrift.PROTOCOL_ERROR, "field 'c' names no class")
            return
        self._unanswered_seqids.add(call.seqid)
        if self._caller is None:
            self._caller = call.caller
        arrived = self.factory.from_unix_ms(call.stamp_ms)
        presented = (
            PresentedCredentials(f"front end {call.caller}", front_end=call.caller)
            if self.factory.maps_tenants
            else None
        )
        self.factory.post(
            RequestRead(
                Request(
                    RequestRef(self.name, call.seqid),
                    call.id,
                    class_index,
                    arrived,
                    call.caller,
                    call.body,
                    call.held_kb,
                    int(call.hint_ms * 1000),
                    call.rank,
                    call.retry,
                    call.key,
                    call.subject,
                    presented,
                    split=self._frame_was_split,
                    timeout_us=None if call.timeout_ms is None else int(call.timeout_ms * 1000),
                    share_holder=self._caller,
                )
            )
        )

    def _reject(self, name: str, seqid: int, code: int, detail: str, oneway: bool = False) -> None:
        """Answer a well-formed call that cannot be carried out, and mark the connection as suspect."""
        self.factory.mark_suspect(self)
        if not oneway:
            self.transport.write(thrift.encode_exception(name, seqid, code, detail))
        self.factory.post(RequestRejected(self.name, f"{name!r}: {detail}"))


class ThriftFront(Front[ThriftConnection]):
    """Encodes answers of the core as replies of the Thrift service ``Front``."""

    def __init__(
        self, reactor: Any, settings: Settings, post: Post, most: int, from_unix_ms: Callable[[int], int]
    ) -> None:
        super().__init__(reactor, "thrift", ThriftConnection, post, most)
        self.classes = {request_class.name: index for index, request_class in enumerate(settings.classes)}
        self.from_unix_ms = from_unix_ms
        self.maps_tenants = False  # whether front ends map to tenants; set if identity is enabled

    def send(self, request_ref: RequestRef, answer: Answer, value: float | None) -> None:
        """Write a final answer."""
        connection = self.connections.get(request_ref.connection)
        if connection:
            if isinstance(answer, Served):
                connection.reputation = "served"
            connection.answered(request_ref.seqid)
            connection.transport.write(_encode(request_ref.seqid, answer, _value(value)))

    def send_health(self, request_ref: RequestRef, good: bool, value: float | None) -> None:
        """Write the answer to a health check."""
        connection = self.connections.get(request_ref.connection)
        if connection:
            connection.transport.write(thrift.encode_answer("status", request_ref.seqid, b"", _value(value), good))

    def mark_suspect(self, connection: ThriftConnection) -> None:
        """Read slowly from a connection, unless a request on it was served."""
        if connection.reputation == "new":
            connection.reputation = "suspect"

    def stop_new_requests(self, connection: ThriftConnection) -> None:
        """Announce that this scorer is leaving; the front end then sends no new requests and closes."""
        connection.transport.write(thrift.encode_leaving())


def _value(value: float | None) -> dict[str, str]:
    return {} if value is None else {"v": f"{value:g}"}


def _encode(seqid: int, answer: Answer, pairs: dict[str, str]) -> bytes:
    if isinstance(answer, Served):
        return thrift.encode_answer("handle", seqid, answer.result, pairs, good=True)
    if isinstance(answer, Denied):
        answer = thrift_denial(answer)
    if isinstance(answer, Refused):
        if answer.retry_after_us > 0:
            pairs["w"] = str(-(-answer.retry_after_us // 1000))
        if answer.last:
            pairs["l"] = "1"
        return thrift.encode_shed(seqid, pairs)
    return thrift.encode_fault(seqid, pairs)
