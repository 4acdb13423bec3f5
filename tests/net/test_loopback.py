"""Tests of a scorer process on loopback sockets, with an emulated kernel, ledger and roster."""

import asyncio
import json
import random
import signal
from collections import Counter
from pathlib import Path

from twisted.names import dns

from tests.net.scenario import call_id
from sagetrestle.lab.ledger import Datagrams
from tests.net.loopback import PATIENCE_S, FrontEnd, LoopbackCase, ask_scgi

CORES = 2
WORK_S = 0.03  # of one run
OVERLOAD = 1.3  # offered load as a multiple of capacity
REQUEST_COUNT = 260


class OverloadTest(LoopbackCase):
    """Requests over both protocols at 130% of capacity."""

    work_s = WORK_S

    async def test_every_request_has_one_answer_and_none_runs_twice(self):
        """Runs are counted at the emulated kernel. Every fourth request is a charge; most charges are sent twice."""
        self.front = await FrontEnd(self.ports["thrift"]).connect()
        self.scgi_answers = []
        rng, tasks = random.Random(5), []
        for number in range(REQUEST_COUNT):
            tasks.append(asyncio.create_task(self._ask(number, rng.random() < 0.5)))
            await asyncio.sleep(WORK_S / CORES / OVERLOAD)
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.1)  # time for a second answer to arrive, which must not exist
        self.assertEqual(self.front.count, len(self.front.answers))
        self.assertEqual({1}, {len(answers) for answers in self.front.answers.values()})
        self.assertEqual(REQUEST_COUNT, len(self.scgi_answers) + self.front.count)
        self.assertTrue(all(data.count(b"Status: ") == 1 for data in self.scgi_answers))
        served = sum(data.startswith(b"Status: 200 ") for data in self.scgi_answers)
        self.assertGreater(served, 0)
        ids = Counter(item.call for item in self.kernel.starts)
        charges = Counter(item.body for item in self.kernel.starts if item.body.startswith(b"charge"))
        self.assertEqual({1}, set(ids.values()))
        self.assertEqual({1}, set(charges.values()))
        self.assertEqual(0, await self.stop())
        self.assertIn(b"HERE n1 off", self.roster.taken())

    async def _ask(self, number: int, thrift: bool) -> None:
        charge = number % 4 == 0 or (number % 4 == 1 and number % 3 > 0)
        class_name = "paid-check" if charge else ("report-view", "quick-check")[number % 2]
        body, key = b"read", None
        if charge:
            body, key = b"charge %d" % (number // 4), f"key-{number // 4}"
        if thrift:
            await self.front.ask(call_id(f"q{number}"), class_name, body, key)
        else:
            headers = {"HTTP_IDEMPOTENCY_KEY": key} if key else {}
            self.scgi_answers.append(await ask_scgi(self.ports["scgi"], class_name, body, **headers))


class ReloadTest(LoopbackCase):
    """SIGHUP reloads the configuration of a real process."""

    stop_signal = signal.SIGKILL

    async def test_it_moves_to_a_new_kernel_address_and_continues_to_serve(self):
        """SIGHUP ends a process by default; neither a valid nor an invalid configuration may end this one."""
        second = await asyncio.start_server(self.kernel.serve, "127.0.0.1", 0)
        self.addCleanup(second.close)
        for text, log_text in (
            ("{", "the old one holds"),
            (json.dumps(self.told | {"kernel": f"127.0.0.1:{second.sockets[0].getsockname()[1]}"}), "moved: kernel"),
        ):
            (Path(self.folder) / "config.json").write_text(text)
            self.scorer.send_signal(signal.SIGHUP)
            while not self.log_has(log_text):
                await asyncio.sleep(0.01)
        front = await FrontEnd(self.ports["thrift"]).connect()
        number = await front.ask(call_id("a"), "quick-check", b"x")
        self.assertEqual(1, len(front.answers[number]))
        self.assertEqual(1, len(self.kernel.starts))
        front.writer.close()


class SignalsAtExitTest(LoopbackCase):
    """Signals that go on coming while a real process ends."""

    # Guards against a process that ends by a signal although it has answered everything and is about to exit.
    async def test_signals_in_series_do_not_end_the_process_while_its_interpreter_shuts_down(self):
        self.scorer.send_signal(signal.SIGTERM)
        while self.process.returncode is None:
            for number in (signal.SIGHUP, signal.SIGTERM):
                self.scorer.send_signal(number)
            await asyncio.sleep(0.001)
        self.assertEqual(0, self.process.returncode)


class ScgiSocketTest(LoopbackCase):
    """Behaviour of SCGI connections that only real sockets show."""

    work_s = 0.4
    stop_signal = signal.SIGKILL

    async def test_a_half_close_after_the_request_still_gets_the_answer(self):
        data = await ask_scgi(self.ports["scgi"], "report-view", b"x", half_close=True)
        self.assertTrue(data.startswith(b"Status: 200 OK\r\n"), data)
        self.assertIn(b"\r\n\r\nresult of ", data)

    async def test_a_close_before_the_answer_stops_the_run(self):
        """A close and a half-close look the same until something is written; only after a close is the run stopped."""
        request = asyncio.create_task(ask_scgi(self.ports["scgi"], "report-view", b"x"))
        while not self.kernel.starts:
            await asyncio.sleep(0.01)
        request.cancel()
        await asyncio.gather(request, return_exceptions=True)
        await asyncio.wait_for(self.kernel.preempted.wait(), PATIENCE_S)
        self.assertEqual(1, len(self.kernel.starts))

    async def test_a_body_over_the_limit_gets_an_answer_although_it_is_not_read(self):
        data = await ask_scgi(self.ports["scgi"], "report-view", b"x" * 60_000)
        self.assertTrue(data.startswith(b"Status: 413 "), data)


class DnsSdTest(LoopbackCase):
    """The DNS-SD records of the service, by unicast DNS on loopback."""

    async def test_the_service_can_be_browsed_and_is_withdrawn_on_drain(self):
        kind = "_scgi._tcp.sagetrestle.internal"
        found = await self._query("_services._dns-sd._udp.sagetrestle.internal", dns.PTR)
        self.assertEqual([kind], [str(item.payload.name) for item in found.answers])
        found = await self._query(kind, dns.PTR)
        self.assertEqual([f"n1.{kind}"], [str(item.payload.name) for item in found.answers])
        self.assertEqual({dns.SRV, dns.TXT, dns.A}, {item.type for item in found.additional})
        found = await self._query(f"n1.{kind}", dns.SRV)
        self.assertEqual(self.ports["scgi"], found.answers[0].payload.port)
        found = await self._query(f"n1.{kind}", dns.TXT)
        self.assertEqual([b"txtvers=1", b"classes=report-view,quick-check,paid-check"], found.answers[0].payload.data)
        found = await self._query("n1.sagetrestle.internal", dns.A)
        self.assertEqual("127.0.0.1", found.answers[0].payload.dottedQuad())
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["dns"])
        question = self._question(kind, dns.PTR)
        writer.write(len(question).to_bytes(2, "big") + question)
        size = int.from_bytes(await asyncio.wait_for(reader.readexactly(2), PATIENCE_S), "big")
        found = self._message(await reader.readexactly(size))
        self.assertEqual([f"n1.{kind}"], [str(item.payload.name) for item in found.answers])
        writer.close()
        front = await FrontEnd(self.ports["thrift"]).connect()  # an open connection keeps the process running
        self.scorer.send_signal(signal.SIGTERM)
        while not self.log_has("drain:"):
            await asyncio.sleep(0.01)
        found = await self._query(kind, dns.PTR)
        self.assertEqual(([], dns.ENAME), (found.answers, found.rCode))
        front.writer.close()

    async def _query(self, name: str, type: int) -> dns.Message:
        """Send a question over UDP and return the answer."""
        sender, datagrams = await asyncio.get_running_loop().create_datagram_endpoint(
            Datagrams, remote_addr=("127.0.0.1", self.ports["dns"])
        )
        self.addCleanup(sender.close)
        sender.sendto(self._question(name, type))
        return self._message(await asyncio.wait_for(datagrams.queue.get(), PATIENCE_S))

    @staticmethod
    def _question(name: str, type: int) -> bytes:
        question = dns.Message(id=9)
        question.addQuery(name, type)
        return question.toStr()

    @staticmethod
    def _message(data: bytes) -> dns.Message:
        message = dns.Message()
        message.fromStr(data)
        return message
