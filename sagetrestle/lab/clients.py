"""Clients on loopback: a front end over Thrift, and old clients over SCGI, plain or with TLS."""

from __future__ import annotations

import asyncio
import ssl
import time
from typing import TYPE_CHECKING, Any

from sagetrestle.net.protocol import scgi, thrift
from sagetrestle.net.protocol.thrift import Kind, Type

if TYPE_CHECKING:
    from sagetrestle.lab.kernel import EmulatedKernel

PATIENCE_S = 20  # for what must come at all
HELD_KB = 24.5  # memory booked for a request that is held


class FrontEnd:
    """A front end with one Thrift connection; it counts the answers to each number.

    It tells ``kernel``, if there is one, of the requests that it writes and of their ends.
    """

    def __init__(self, port: int, number: int = 1, kernel: EmulatedKernel | None = None) -> None:
        self.port, self.number, self.count, self._kernel = port, number, 0, kernel
        self._ids: dict[int, str] = {}  # of unanswered requests
        self.closed = False
        self.leaving = False
        self.leaving_at_s = float("inf")  # on the monotonic clock
        self.answers: dict[int, list[thrift.Message]] = {}
        self.waiting: dict[int, asyncio.Future[thrift.Message]] = {}

    async def connect(self) -> FrontEnd:
        """Open the connection."""
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.reading = asyncio.create_task(self._read(reader))
        return self

    async def _read(self, reader: asyncio.StreamReader) -> None:
        frames = thrift.FrameDecoder(1 << 20)
        try:
            while data := await reader.read(65536):
                for message in map(thrift.decode_message, frames.feed(data)):
                    self._take(message)
        except ConnectionError:
            pass
        self.closed = True
        for number in list(self._ids):
            self._request_over(number)
        for one in self.waiting.values():
            if not one.done():
                one.set_exception(ConnectionResetError("the connection ended"))

    def _take(self, message: thrift.Message) -> None:
        if message.kind == Kind.ONEWAY:
            if message.name == "leaving" and not self.leaving:
                self.leaving, self.leaving_at_s = True, time.monotonic()
            return
        self.answers.setdefault(message.seqid, []).append(message)
        self._request_over(message.seqid)
        if message.seqid in self.waiting and not self.waiting[message.seqid].done():
            self.waiting[message.seqid].set_result(message)

    @property
    def open_count(self) -> int:
        """Return how many requests are unanswered."""
        return len(self._ids)

    def _request_over(self, number: int) -> None:
        id = self._ids.pop(number, None)
        if self._kernel is not None and id is not None:
            self._kernel.request_over(id)

    async def ask(
        self,
        id: str,
        cls: str,
        body: bytes,
        key: str | None = None,
        hint_ms: float = 30,
        patience_s: float = PATIENCE_S,
        retry: bool = False,
    ) -> int:
        """Send a request and wait for its answer; return its number."""
        self.count += 1
        number, self.waiting[self.count] = self.count, asyncio.get_running_loop().create_future()
        pairs = {
            "c": cls,
            "i": id,
            "s": str(time.time_ns() // 1_000_000),
            "f": str(self.number),
            "m": str(HELD_KB),
            "h": f"{hint_ms:g}",
            "p": "0.5",
        }
        pairs |= ({"k": key} if key else {}) | ({"r": "1"} if retry else {})
        fields = thrift.field(Type.MAP, 1, thrift.text_map(pairs))
        fields += thrift.field(Type.STRING, 2, thrift.string(body))
        self._ids[number] = id
        if self._kernel is not None:
            self._kernel.request_written(id, HELD_KB)
        self.writer.write(thrift.encode_message("handle", Kind.CALL, number, fields))
        await asyncio.wait_for(self.waiting[number], patience_s)
        return number

    def close(self) -> None:
        """Close the connection, and read no more."""
        self.reading.cancel()
        self.writer.close()

    def outcome(self, number: int) -> str:
        """Return how a request ended: ``served``, ``refused`` or ``failed``."""
        message = self.answers[number][0]
        if message.kind != Kind.REPLY:
            return "failed"
        return ("served", "refused", "failed")[next(iter(message.fields))]


async def ask_scgi(
    port: int, cls: str, body: bytes, half_close: bool = False, tls: ssl.SSLContext | None = None, **headers: str
) -> bytes:
    """Send a request over SCGI and return all that came until the end."""
    options: dict[str, Any] = {"ssl": tls, "server_hostname": "localhost"} if tls else {}
    reader, writer = await asyncio.open_connection("127.0.0.1", port, **options)
    given = {"REQUEST_METHOD": "POST", "PATH_INFO": f"/{cls}", "HTTP_X_WORK_HINT_MS": "30", **headers}
    writer.write(scgi.encode_request(given, body))
    if half_close:
        writer.write_eof()
    try:
        return await asyncio.wait_for(reader.read(), PATIENCE_S)
    finally:
        writer.close()


def status_of(data: bytes) -> int:
    """Return the status of a CGI response, 0 where there is none."""
    return int(data[8:11]) if data.startswith(b"Status: ") and data[8:11].isdigit() else 0
