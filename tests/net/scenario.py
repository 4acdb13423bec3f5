"""The scenario language of the network tests: send, expect, close and wait, on a fake clock.

A scenario is text, one step a line: ``ACTOR VERB ARGUMENTS`` or ``wait MILLISECONDS``. The actors are the
peers of one whole scorer, whose sockets are in memory: ``thrift`` (front ends; ``thrift2`` is another one),
``scgi`` (a connection for each request), ``kernel``, ``ledger``, ``platform`` (``send TERM``, ``send HUP
kernel=PORT``) and ``operator`` (the second address). Requests have short names; `key=K`, `body=B`, `retry=1`,
`age=MS` and the like give the rest.
"""

from __future__ import annotations

import base64
import json
import unittest
from dataclasses import replace
from functools import cached_property
from types import SimpleNamespace
from typing import Any

from twisted.internet import error
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from sagetrestle.handover import old_process, new_process
from sagetrestle.net.program import main as program
from sagetrestle.net.program.clock import Clock
from sagetrestle.net.program.config import Config, ConfigError, ScgiConfig
from sagetrestle.net.program.limits import Limits, derive_bounds
from sagetrestle.net.protocol import scgi, thrift
from sagetrestle.net.protocol.handover import decode, encode
from sagetrestle.net.protocol.thrift import Kind, Type
from sagetrestle.net.routing.inputs import (
    IdentityFailed,
    IdentityRead,
    NewProcessEvent,
    OldProcessEvent,
    Started,
    StopRequested,
)
from sagetrestle.net.routing.values import BackendAddresses, Plan, RequestRef
from sagetrestle.wirehost import read_settings

UNIX_MS = 1_764_576_000_000  # the Unix time at which every scenario starts
WINDOW_MS = 27_783
EXTRA = {
    "cores": 2,
    "memory_kb": 30_000.0,
    "below": "shared",
    "calls_out": 8.0,
    "class_calls": [True, False, True],
    "gauges": ["core_use", "on_cores", "heap_share", "links"],
    "halt": "suspend",
    "key_kb": 20.0,
    "keepalive_max": 30_000_000,
    "lingers": 200_000,
    "run_factor": 4.0,
    "senders": 3,
    "say": "window",
}
PARAMS = {
    "classes": [
        {"name": "report-view", "aim": 1_900_000, "hard_limit": 5_600_000, "effect": "safe", "worth": 1.0},
        {"name": "quick-check", "aim": 930_000, "hard_limit": 2_800_000, "effect": "safe", "worth": 1.0},
        {
            "name": "paid-check",
            "aim": 3_500_000,
            "hard_limit": 9_300_000,
            "effect": "keyed",
            "worth": 4.0,
            "late_share": 0.2,
            "window": WINDOW_MS * 1000,
        },
    ],
    "extra": EXTRA,
    "servers": 3,
    "tick": 1_000,
    "limits": {"retry_after": True, "max_retry_after": 1_000_000},
    "callers": {"marks_retry": True},
    "rules": {
        "cold_share": 0.3,
        "stop_sending_within": 2_000_000,
        "tip_after": 2_000_000,
        "tip_multiple": 5.0,
        "warm_within": 18_000_000,
    },
}


def plan(stop_ms: int = 3_200, params: dict[str, Any] = PARAMS) -> Plan:
    """Return the plan of all network tests."""
    bounds = derive_bounds(Limits(384, 64.0), scgi=True, dns=True)
    return Plan(read_settings(params), stop_ms * 1000, bounds, tuple(EXTRA["gauges"]), 7)


def config(scgi_on: ScgiConfig | None = None, **rest: Any) -> Config:
    """Return a configuration on loopback."""
    here = ("127.0.0.1", 0)
    given = {"name": "n1", "listen": here, "peers": BackendAddresses(here, here, here), "plan": plan()}
    return Config(**(given | rest), scgi=scgi_on)


class Wire(StringTransport):
    """A socket in memory that ends in the ways that sockets do."""

    ends_too = True  # once this side has ended its own

    def __init__(self, protocol: Any) -> None:
        super().__init__()
        self.protocol, self.connected = protocol, True
        protocol.makeConnection(self)

    def setTcpNoDelay(self, on: bool) -> None:
        """Do nothing."""

    def fileno(self) -> int:
        """Tell that there is no descriptor, and so nothing unread."""
        return -1

    def end(self, reason: type[Exception] = error.ConnectionDone) -> None:
        """End the connection, once."""
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(Failure(reason()))

    loseConnection = end

    def loseWriteConnection(self) -> None:
        """Half-close; a well-behaved other side then ends its own side too."""
        if self.ends_too and IHalfCloseableProtocol.providedBy(self.protocol):
            self.protocol.readConnectionLost()
        elif self.ends_too:
            self.end()

    def abortConnection(self) -> None:
        """End it from this side at once."""
        self.end(error.ConnectionAborted)

    def take(self) -> bytes:
        """Return what was written since the last look."""
        data = self.value()
        self.clear()
        return data


def call_id(name: str) -> str:
    """Return the id that a request's name stands for."""
    return name.encode().hex().rjust(16, "0")


def options(words: list[str]) -> dict[str, str]:
    """Read ``name=value`` words."""
    return dict(word.split("=", 1) for word in words if "=" in word)


class ThriftPeer:
    """A front end with one connection."""

    def __init__(self, world: World) -> None:
        self.world, self.numbers, self.answers = world, {}, {}
        self.sent_at_ms: dict[str, int] = {}  # by the request's name
        self.frames, self.rest = thrift.FrameDecoder(1 << 20), b""

    @cached_property
    def wire(self) -> Wire:
        """The connection, which is opened for the first message."""
        return self.world.connect("thrift")

    def send(self, name: str, *words: str) -> None:
        """Send a request, ``withdraw NAME``, ``status``, ``raw HEX``; ``half REQUEST`` and later ``rest REQUEST``.

        What follows the rest of a request that was sent by half is one more, in the same piece.
        """
        if name == "withdraw":
            number = thrift.field(Type.I32, 1, self.numbers[words[0]].to_bytes(4, "big"))
            data = thrift.encode_message("withdraw", Kind.ONEWAY, self._number("withdraw"), number)
        elif name == "raw":
            data = bytes.fromhex(words[0])
        elif name == "half":
            whole = self._request(*words)
            data, self.rest = whole[: len(whole) // 2], whole[len(whole) // 2 :]
        elif name == "rest":
            data = self.rest + (self._request(*words) if words else b"")
        elif name == "status":
            data = thrift.encode_message("status", Kind.CALL, self._number(name), thrift.field(Type.BOOL, 1, b"\0"))
        else:
            data = self._request(name, *words)
        self.wire.protocol.dataReceived(data)

    def _number(self, name: str) -> int:
        self.numbers[name] = len(self.numbers) + 1
        return self.numbers[name]

    def _request(self, name: str, cls: str, *words: str) -> bytes:
        given = options(list(words))
        self.sent_at_ms[name] = self.world.now_ms()
        stamp = UNIX_MS + self.sent_at_ms[name] - int(given.get("age", 0))
        pairs = {
            "c": cls,
            "i": call_id(name),
            "s": str(stamp),
            "f": given.get("front", "1"),
            "m": "24.5",
            "p": "0.5",
            "h": given.get("hint", "40"),
        }
        pairs |= {
            short: given[long]
            for short, long in (("k", "key"), ("r", "retry"), ("o", "about"), ("i", "id"), ("d", "timeout"))
            if long in given
        }
        body = given.get("body", name).encode()
        fields = thrift.field(Type.MAP, 1, thrift.text_map(pairs))
        fields += thrift.field(Type.STRING, 2, thrift.string(body))
        number = self._number(name)
        self.numbers[name] = int(given.get("number", number))
        return thrift.encode_message(given.get("method", "handle"), Kind.CALL, self.numbers[name], fields)

    def expect(self, name: str, *words: str) -> None:
        """Expect an answer to a request, ``leaving``, ``nothing NAME`` or ``closed``."""
        self._read()
        test = self.world.test
        if name == "closed":
            test.assertFalse(self.wire.connected)
        elif name == "leaving":
            test.assertIn("leaving", self.answers)
        elif name == "nothing":
            test.assertNotIn(self.numbers[words[0]], self.answers)
        else:
            test.assertIn(self.numbers[name], self.answers, f"{name}: no answer; {self.world.lines}")
            test.assertEqual(" ".join(words), self.answers.pop(self.numbers[name]))

    def _read(self) -> None:
        for frame in self.frames.feed(self.wire.take()):
            message = thrift.decode_message(frame)
            number = message.name if message.kind == Kind.ONEWAY else message.seqid
            self.world.test.assertNotIn(number, self.answers, "answered twice")
            self.answers[number] = self._words(message)

    @staticmethod
    def _words(message: thrift.Message) -> str:
        if message.kind != Kind.REPLY:
            return "exception" if message.kind == Kind.EXCEPTION else "oneway"
        ((number, (_, value)),) = message.fields.items()
        if message.name == "status":
            return "good" if value[3][1] else "bad"
        if number:
            return ("", "refused", "failed")[number]
        return f"served {value[1][1].decode()}"

    def close(self, *_: str) -> None:
        """End the connection."""
        self.wire.end()


SCGI_WORDS = (
    ("auth", "HTTP_AUTHORIZATION"),
    ("verify", "SSL_CLIENT_VERIFY"),
    ("dn", "SSL_CLIENT_S_DN"),
    ("serial", "SSL_CLIENT_M_SERIAL"),
    ("from", "SSL_CLIENT_V_START"),
    ("until", "SSL_CLIENT_V_END"),
    ("key", "HTTP_IDEMPOTENCY_KEY"),
    ("retry", "HTTP_X_RETRY"),
    ("hint", "HTTP_X_WORK_HINT_MS"),
    ("caller", "HTTP_X_CALLER"),
    ("source", "REMOTE_ADDR"),
)


class ScgiPeer:
    """Old clients, with a connection for each request."""

    def __init__(self, world: World) -> None:
        self.world, self.wires = world, {}

    def send(self, name: str, cls: str, *words: str) -> None:
        """Send a request; ``raw=TEXT`` sends other bytes, ``end=1`` half-closes after them."""
        given = options(list(words))
        headers = {"REQUEST_METHOD": given.get("method", "POST"), "PATH_INFO": f"/{cls}", "REMOTE_ADDR": "127.0.0.9"}
        if "token" in given:
            headers["HTTP_AUTHORIZATION"] = f"Bearer {self.world.tokens[given['token']]}"
        headers |= {long: given[short].replace("_", " ") for short, long in SCGI_WORDS if short in given}
        wire = self.wires.setdefault(name, self.world.connect("scgi"))
        data = scgi.encode_request(headers, given.get("body", name).encode())
        wire.protocol.dataReceived(given["raw"].encode() if "raw" in given else data)
        self.world.settle()
        self.store_remote_result(name)

    def store_remote_result(self, name: str) -> None:
        """Note the id that the scorer gave a request."""
        number = getattr(self.wires[name].protocol, "name", None)
        self.world.names[self.world.scorer.loop.state.ids_by_ref.get(RequestRef(number, 1))] = name

    def expect(self, name: str, status: str, *words: str) -> None:
        """Expect a status and words that stand in the response, or ``nothing``."""
        data = self.wires[name].take().decode()
        if status == "nothing":
            self.world.test.assertEqual("", data)
            return
        self.world.test.assertTrue(data.startswith(f"Status: {status} "), f"{data!r} {self.world.lines}")
        for word in words:
            self.world.test.assertIn(word.replace("_", " "), data)

    def close(self, name: str, *_: str) -> None:
        """Close a request's connection."""
        self.wires[name].end(error.ConnectionLost)


class KernelPeer:
    """The kernel; it answers ``OPEN`` and the gauges by itself, the rest is the scenario's."""

    boots_at_first = True

    def __init__(self, world: World, at: int) -> None:
        self.world, self.serial, self.commands, self.opened = world, 0, [], []
        self.boots = self.boots_at_first
        self.answers_gauges = True
        self.gauge_cookies: list[str] = []  # of requests for the gauges without an answer
        self.wire = world.accept(at)

    def pump(self) -> None:
        """Read the commands that came."""
        if not self.wire.connected:
            return
        for line in self.wire.take().splitlines():
            got = json.loads(line)
            if got["msg"] == "OPEN":
                self.opened.append(got["serial"])
                if self.boots:
                    self.tell(msg="BOOTED", **self.world.booted)
            elif got["msg"] == "SYSINFO":
                self.gauge_cookies.append(got["cookie"])
                if self.answers_gauges:
                    self.answer()
            else:
                self.commands.append(got)

    def tell(self, **notice: Any) -> None:
        """Write a notice."""
        self.wire.protocol.dataReceived(json.dumps(notice).encode() + b"\n")

    def send(self, what: str, name: str = "", text: str = "") -> None:
        """Send an end of a run, ``IOREQ`` or ``EINVAL``; the text ``again`` repeats a number."""
        call = self.world.id_of(name)
        if what == "EINVAL":
            self.tell(msg="EINVAL", how=text, call=call)
            return
        if what == "raw":
            self.wire.protocol.dataReceived(b"{nonsense\n")
            return
        self.serial += text != "again"
        blob = base64.b64encode(text.encode()).decode()
        rest = {"msg": "IOREQ"} if what == "IOREQ" else {"msg": "REAP", "how": what, "duration": 12}
        self.tell(serial=self.serial, call=call, blob=blob, **rest)

    def expect(self, what: str, name: str = "", text: str | None = None) -> None:
        """Expect a command, in order; ``nothing``; or ``OPEN SERIAL``."""
        test = self.world.test
        if what == "nothing":
            test.assertEqual([], self.commands)
            return
        if what == "OPEN":
            test.assertEqual(int(name), self.opened[-1])
            return
        test.assertTrue(self.commands, f"no {what} {name}; {self.world.lines}")
        got = self.commands.pop(0)
        known = self.world.names.get(got["call"])
        known = known or bytes.fromhex(got["call"]).lstrip(b"\0").decode()
        test.assertEqual((what, name), (got["msg"], known))
        if text is not None:
            test.assertEqual(text, base64.b64decode(got["blob"]).decode())

    def answer(self, *_: str) -> None:
        """Answer the latest request for the gauges (``answer gauges``)."""
        self.tell(msg="INFO", cookie=self.gauge_cookies[-1], stats=[0.5, 1, 0.1, 3])

    def close(self, *_: str) -> None:
        """Break the link and take the next one, as soon as it is tried."""
        self.drop()
        self.world.wait(30)
        self.next()

    def drop(self, *_: str) -> None:
        """Break the link."""
        self.wire.end(error.ConnectionLost)

    def next(self) -> None:
        """Take the link that was tried last."""
        self.wire = self.world.accept()
        self.world.wait(20)


class LedgerPeer:
    """The ledger; each call comes on a connection of its own, and the last is at hand."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.wire: Wire | None = None

    def expect(self, what: str, name: str = "", text: str = "") -> None:
        """Expect ``post NAME BODY``, ``abandon NAME``, ``at PORT`` or ``closed``."""
        if what == "closed":
            self.world.test.assertFalse(self.wire and self.wire.connected)
            return
        if what == "at":
            self.world.test.assertEqual(int(name), self.world.reactor.tcpClients[-1][1])
            return
        if what == "post":
            self.wire = self.world.accept()
        got = self.wire.take().decode()
        id = self.world.id_of(name)
        line = f"post {id} " if what == "post" else f"abandon {id}\r\n"
        self.world.test.assertTrue(got.startswith(line), got)
        self.world.test.assertTrue(what != "post" or got.endswith(f" {len(text)}\r\n{text}\r\n"), got)

    def send(self, verdict: str, name: str, text: str = "") -> None:
        """Answer a call, or send other bytes (``raw TEXT``)."""
        if verdict == "raw":
            self.wire.protocol.dataReceived(name.replace("\\r\\n", "\r\n").encode())
            return
        rest = f" {len(text)}\r\n{text}\r\n" if verdict == "posted" else "\r\n"
        self.wire.protocol.dataReceived(f"{self.world.id_of(name)} {verdict}{rest}".encode())

    def close(self, how: str = "") -> None:
        """Break the connection, or refuse the one that is being tried."""
        if how != "refused":
            self.wire.end(error.ConnectionLost)
            return
        factory = self.world.reactor.tcpClients[-1][2]
        factory.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))


class Platform:
    """What starts and stops the scorer."""

    def __init__(self, world: World) -> None:
        self.world = world

    def send(self, what: str, *words: str) -> None:
        """Send the notice to leave, or have new addresses read (``HUP ledger=PORT``; ``HUP``: no file)."""
        if what == "TERM":
            self.world.scorer.loop.post(StopRequested())
            return
        moved = {name: ("127.0.0.1", int(port)) for name, port in options(list(words)).items()}
        self.world.moved = config(peers=config().peers._replace(**moved)) if moved else None
        self.world.scorer.reload()

    def expect(self, what: str, *words: str) -> None:
        """Expect ``exit``, ``running``, ``log WORDS``, ``on`` or ``off`` (roster and service records)."""
        test, world = self.world.test, self.world
        if what in ("on", "off"):
            test.assertEqual([what == "on"] * 2, [world.reports[-1], world.announced[-1]])
        elif what == "log":
            test.assertTrue(any(" ".join(words) in line for line in world.lines), world.lines)
        else:
            test.assertEqual(what == "exit", world.scorer.loop.state.exited)


class Operators:
    """Those who keep the files of identity; a test names snapshots in ``world.snapshots``."""

    def __init__(self, world: World) -> None:
        self.world = world

    def send(self, name: str, *_: str) -> None:
        """Put a snapshot's files in place, or ones that can not be read (``broken``)."""
        if name == "broken":
            self.world.scorer.loop.post(IdentityFailed("ring.json: keys: none of them is active"))
        else:
            self.world.scorer.loop.post(IdentityRead(self.world.snapshots[name], "ring"))


class OperatorPeer:
    """Staff at the second address, with a connection for each call."""

    def __init__(self, world: World) -> None:
        self.world, self.wires = world, {}

    def send(self, name: str, *words: str) -> None:
        """Call ``METHOD PATH``, send bytes as they are (``raw TEXT``), or only connect (``nothing``)."""
        wire = self.wires.get(name)
        if wire is None:
            wire = self.wires[name] = self.world.take_in(self.world.scorer.management)
        if words[0] == "raw":
            data = " ".join(words[1:]).encode().decode("unicode_escape").encode("latin-1")
            wire.protocol.dataReceived(data)
        elif words[0] != "nothing":
            wire.protocol.dataReceived(f"{words[0]} {words[1]} HTTP/1.1\r\nHost: n1\r\n\r\n".encode())

    def expect(self, name: str, status: str, *words: str) -> None:
        """Expect a status and lines of the text, ``nothing``, or ``closed`` without an answer."""
        wire, test = self.wires[name], self.world.test
        data = wire.take().decode()
        if status in ("nothing", "closed"):
            test.assertEqual(("", status == "nothing"), (data, wire.connected))
            return
        test.assertTrue(data.startswith(f"HTTP/1.1 {status} "), f"{data!r} {self.world.lines}")
        for word in words:
            test.assertIn(word.replace("_", " "), data)


class Streams:
    """In place of ``program/handover.py``: what is said passes as the bytes that it is on a stream.

    ``held`` collects what is on its way instead of delivering it, and may be lost with the stream.
    """

    def __init__(self, world: World, old: World | None) -> None:
        self.world, self.to_old = world, old and old.streams
        self.to_new: Streams | None = None
        self.held: list[Any] | None = None
        self.dead = False
        if self.to_old:
            self.to_old.to_new = self
        port = SimpleNamespace(getHost=lambda: SimpleNamespace(port=0), stopListening=lambda: None, doRead=lambda: None)
        self.listen = lambda *_: port
        self.found = lambda: int(old is not None)
        self.adopt = self.open = self.close = lambda *_: None

    def perform(self, what: Any) -> None:
        """Carry out a decision about the streams."""
        if self.dead:
            return
        match what:
            case new_process.Connect() if self.to_old.dead:
                self._post(self, OldProcessEvent(new_process.Disconnected(True)))
            case new_process.Connect():
                self._post(self, OldProcessEvent(new_process.Connected()))
            case new_process.SendMessage(message) if self.to_old and not self.to_old.dead:
                self._post(self.to_old, NewProcessEvent(old_process.MessageReceived(1, decode(encode(message)[:-1]))))
            case old_process.SendMessage(_, message) if self.to_new and not self.to_new.dead:
                self._post(self.to_new, OldProcessEvent(new_process.MessageReceived(decode(encode(message)[:-1]))))
            case old_process.CloseConnection():
                self.break_link()

    def _post(self, to: Streams, item: Any) -> None:
        held = to.held
        held.append(item) if held is not None else to.world.scorer.loop.post(item)

    def break_link(self) -> None:
        """End the stream between this process and the new one; what is held is lost."""
        self.held = self.to_new.held = None
        self.world.scorer.loop.post(NewProcessEvent(old_process.Disconnected(1)))
        self.to_new.world.scorer.loop.post(OldProcessEvent(new_process.Disconnected(False)))

    def release(self) -> None:
        """Deliver what was held."""
        items, self.held = self.held, None
        for item in items:
            self.world.scorer.loop.post(item)


class World:
    """One scorer in memory, and its peers."""

    def __init__(
        self,
        test: unittest.TestCase,
        stop_ms: int = 3_200,
        identity: Any = None,
        managed: bool = False,
        old: World | None = None,
        params: dict[str, Any] = PARAMS,
        fresh: bool = False,
    ) -> None:
        self.booted = {"how": "fresh", "duration": 0} if fresh else {"how": "seasoned", "duration": 3_600_000}
        self.test = test
        self.reactor = old.reactor if old else self.new_reactor()
        self.group = [old, self] if old else [self]  # worlds that share their time
        self.tokens: dict[str, str] = {}
        self.snapshots: dict[str, Any] = {}
        self.lines: list[str] = []
        self.reports: list[bool] = []
        self.announced: list[bool] = []
        self.names: dict[str | None, str] = {}
        read = lambda: int(self.reactor.seconds() * 1e9)  # noqa: E731
        clock = Clock(lambda: read() + 1_000_000_000, lambda: read() + UNIX_MS * 1_000_000)
        given = config(
            ScgiConfig(("127.0.0.1", 0)),
            peers=self.peers(),
            plan=replace(plan(stop_ms, params), managed=managed),
            identity=identity,
            management=("127.0.0.1", 0) if managed else None,
        )
        logger = SimpleNamespace(info=self.lines.append)
        self.moved: Config | None = None
        self.scorer = program.Scorer(self.reactor, given, logger, clock, self._reread)
        self.roster_at: list[tuple[str, int]] = []
        self.scorer.roster = SimpleNamespace(
            report=self.reports.append, listen=lambda *_: None, use=self.roster_at.append
        )
        announce = SimpleNamespace(publish=self.announced.append)
        self.scorer.dns = SimpleNamespace(authority=announce)
        if managed:
            self.scorer.handover = self.streams = Streams(self, old)
        links = len(self.reactor.tcpClients)
        self.scorer.loop.post(Started(given.peers, 1 if old else 0))
        self.settle()
        self.opened()
        self.actors: dict[str, Any] = {"platform": Platform(self), "ledger": LedgerPeer(self)}
        self.actors["operators"] = Operators(self)
        self.actors["operator"] = OperatorPeer(self)
        self.actors["kernel"] = self.kernel = KernelPeer(self, links)
        self.actors |= {"thrift": ThriftPeer(self), "thrift2": ThriftPeer(self), "scgi": ScgiPeer(self)}
        self.settle()

    def new_reactor(self) -> Any:
        """Return the loop on which the scorer runs, with a clock that the test moves."""
        return MemoryReactorClock()

    def peers(self) -> BackendAddresses:
        """Return where kernel, ledger and roster are."""
        return config().peers

    def opened(self) -> None:
        """Do what the listening fronts need."""
        for front in self.scorer.fronts.values():
            front.port = None  # the reactor's stand-in for a listening socket has nothing to accept

    def _reread(self) -> Config:
        if self.moved is None:
            raise ConfigError("kernel: missing or not ADDRESS:PORT")
        return self.moved

    def id_of(self, name: str) -> str:
        """Return a request's id: the scorer's own for SCGI, else the one that its name stands for."""
        return {value: key for key, value in self.names.items() if key}.get(name, call_id(name))

    def connect(self, front: str) -> Wire:
        """Connect to a front; one that does not take the connection closes it."""
        return self.take_in(self.scorer.fronts[front])

    def take_in(self, factory: Any) -> Wire:
        """Connect to what a factory makes of a connection."""
        protocol = factory.buildProtocol(None)
        wire = Wire(protocol or Protocol())
        wire.connected = protocol is not None
        return wire

    def accept(self, at: int = -1) -> Wire:
        """Take a connection that the scorer sets up: the latest, or the one at a place."""
        return Wire(self.reactor.tcpClients[at][2].buildProtocol(None))

    def now_ms(self) -> int:
        """Return the time since the scenario's start."""
        return round(self.reactor.seconds() * 1000)

    def settle(self) -> None:
        """Let all that is on its way arrive, in a few ticks of a millisecond."""
        for _ in range(4):
            self.reactor.advance(0.001)
            for world in self.group:
                if hasattr(world, "kernel"):
                    world.kernel.pump()

    def wait(self, ms: int) -> None:
        """Let time pass."""
        while ms > 0:
            self.settle()
            ms -= 4

    def play(self, text: str) -> None:
        """Run a scenario."""
        for line in text.strip().splitlines():
            actor, *words = line.split() or ["#"]
            if actor == "wait":
                self.wait(int(words[0]))
            elif not actor.startswith("#"):
                getattr(self.actors[actor], words[0])(*words[1:])
            self.settle()


class ScenarioCase(unittest.TestCase):
    """A test whose scenarios are played on a scorer of its own."""

    stop_ms = 3_200
    identity: Any = None
    managed = False
    params = PARAMS
    fresh = False  # whether the kernel comes up cold, at this moment
    world_type: type[World] = World

    def setUp(self) -> None:
        """Start the scorer."""
        self.world = self.world_type(
            self, self.stop_ms, self.identity, self.managed, params=self.params, fresh=self.fresh
        )
        self.play = self.world.play


class PairCase(ScenarioCase):
    """Scenarios on two processes of one scorer: lines begin with ``old`` or ``new``, or are ``wait MS``."""

    managed = True

    def setUp(self) -> None:
        """Start the older one."""
        super().setUp()
        self.old, self.new = self.world, None

    def upgrade(self) -> None:
        """Start the newer one beside it."""
        self.new = World(self, self.stop_ms, self.identity, True, self.old)
        self.old.group = self.new.group
        self.new.wait(10)

    def lose_old(self) -> None:
        """Have the older one be dead, which the newer one finds out by the stream and by a refusal."""
        self.old.streams.dead = True
        self.new.scorer.loop.post(OldProcessEvent(new_process.Disconnected(False)))
        self.new.wait(300)

    def pair(self, text: str) -> None:
        """Run a scenario."""
        for line in text.strip().splitlines():
            who, _, rest = line.strip().partition(" ")
            world = {"old": self.old, "new": self.new}.get(who, self.old)
            world.play(rest if who in ("old", "new") else line)
