"""Upgrades of real processes on loopback: listening sockets, idempotency keys, and failures of the old process."""

import asyncio
import os
import signal
import socket
import tempfile
import time
import unittest
from pathlib import Path

from twisted.internet import reactor
from twisted.internet.protocol import Protocol

from sagetrestle.lab.clients import FrontEnd
from sagetrestle.lab.kernel import EmulatedKernel
from sagetrestle.lab.operator import call, figures
from sagetrestle.lab.place import Place
from sagetrestle.lab.scorer import ScorerProcess
from sagetrestle.lab.upgrades import LIMITS, Upgrades
from sagetrestle.net.program.handover import Handover
from sagetrestle.net.transport.connection import Front
from tests.net.scenario import call_id


class UpgradesTest(unittest.IsolatedAsyncioTestCase):
    """Upgrades under load without faults."""

    async def test_two_upgrades_in_a_row_lose_no_request_and_run_no_key_twice(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        rig = await Upgrades(folder, Place(), seed=11).start()
        loading = asyncio.create_task(rig.load(rate=30, seconds=6))
        for _ in range(2):
            await asyncio.sleep(1)
            await rig.upgrade()
        await loading
        report = rig.report
        self.assertEqual((0, 0, 0, [0, 0]), (report.lost, report.doubled, report.ran_twice(), report.codes))
        self.assertGreater(report.outcomes["served"], 0)
        self.assertLess(report.descriptors, LIMITS["sockets"])
        self.assertNotIn(b"HERE n1 off", rig.scorer.roster.taken())
        await rig.stop()

    async def test_at_130_percent_load_the_management_front_answers_and_its_figures_match_the_callers_counts(self):
        place = Place()
        rig = await Upgrades(Path(self.enterContext(tempfile.TemporaryDirectory())), place, seed=12).start()
        port = rig.scorer.ports["management"]
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(20)]
        loading = asyncio.create_task(rig.load(rate=1.3 * place.capacity, seconds=3))
        statuses = []
        while not loading.done():
            for path in ("/api/ready", "/api/telemetry"):
                statuses.append((await call(port, "GET", path)).status)
        await loading
        self.assertEqual({200}, set(statuses))
        telemetry = figures((await call(port, "GET", "/api/telemetry")).text)
        counted = {
            outcome: sum(value for name, value in telemetry.items() if name.startswith(f"svc.{outcome}."))
            for outcome in ("served", "refused", "failed")
        }
        self.assertEqual({outcome: rig.report.outcomes[outcome] for outcome in counted}, counted)
        self.assertEqual(sum(len(kernel.starts) for kernel in rig.kernels), telemetry["svc.attempts"])
        self.assertEqual(0, telemetry["svc.in_flight"])
        for _, writer in silent:
            writer.close()
        await rig.stop()


class ListeningSocketTest(unittest.TestCase):
    """Listening sockets with connections in their queue, without a running reactor that would accept them."""

    def process(self, folder):
        handover = Handover(reactor, lambda item: None, folder, "n1", lambda line: None, lambda: None)
        front = Front(reactor, "thrift", Protocol, lambda item: None, 99)
        accepted = []
        front.buildProtocol = lambda addr: accepted.append(addr) or Protocol()
        self.addCleanup(lambda: front.port and front.port.stopListening())
        return handover, front, accepted

    def test_connections_queued_when_the_old_process_stops_listening_go_to_the_new_one(self):
        """If each process had its own socket, connections queued at the old one would be reset when it closes."""
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        old, old_front, accepted_by_old = self.process(folder)
        new, new_front, accepted_by_new = self.process(folder)
        old_front.port = old.listen(old_front, "127.0.0.1", 0, 64)
        port = old_front.port.getHost().port
        waiting = [self.enterContext(socket.create_connection(("127.0.0.1", port))) for _ in range(12)]
        new._old_process_link.take_sockets = lambda: [os.dup(old_front.port.fileno())]  # as passed over the stream
        new.adopt(("thrift",), {"thrift": new_front})
        if new_front.port is None:
            new_front.port = new.listen(new_front, "127.0.0.1", port, 64)
        old_front.stop_listening(shared=True)
        later = self.enterContext(socket.create_connection(("127.0.0.1", port)))
        new_front.port.doRead()
        self.assertEqual((0, 13), (len(accepted_by_old), len(accepted_by_new)))
        for connection in (*waiting, later):
            connection.settimeout(0.01)
            with self.assertRaises(TimeoutError):  # neither closed nor reset
                connection.recv(1)


class PairOfProcesses(unittest.IsolatedAsyncioTestCase):
    """Upgrades whose processes a test starts one by one."""

    async def asyncSetUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.running, self.count = [], 1
        self.kernel = EmulatedKernel(work_s=0.05)
        self.old = ScorerProcess(self.folder, self.kernel, Place().settings(), {}, over={"management": "127.0.0.1:0"})

    async def asyncTearDown(self):
        for process in self.running:
            process.send_signal(signal.SIGCONT)
            await process.stop(signal.SIGKILL)
            self.assertFalse(process.log_has("failed:"), process.log)

    async def begin(self):
        self.running.append(await self.old.start(2))

    async def newer(self, expected_line: str) -> ScorerProcess:
        self.count += 1
        process = await self.old.upgrade(EmulatedKernel(work_s=0.05), self.count, expected_line, 2)
        self.running.append(process)
        return process

    async def ready(self, process: ScorerProcess) -> None:
        """Wait until a process reports that it is ready; the timeout is for a process that never does."""
        async with asyncio.timeout(60):
            while (await call(process.ports["management"], "GET", "/api/ready")).status != 200:
                await asyncio.sleep(0.02)

    async def test_connections_opened_right_after_the_handover_are_served_by_the_new_process(self):
        await self.begin()
        new = await self.newer("taken over")
        await self.old.logged("handed over")  # one turn later; until then either process may accept a connection
        waiting = [await FrontEnd(self.old.ports["thrift"], number).connect() for number in range(20)]
        numbers = await asyncio.gather(
            *(front_end.ask(call_id(f"w{index}"), "quick-check", b"x") for index, front_end in enumerate(waiting))
        )
        self.assertEqual(
            {1}, {len(front_end.answers[number]) for front_end, number in zip(waiting, numbers, strict=True)}
        )
        telemetry = figures((await call(new.ports["management"], "GET", "/api/telemetry")).text)
        self.assertEqual(
            20, sum(telemetry[f"svc.{outcome}.quick-check"] for outcome in ("served", "refused", "failed"))
        )
        for front_end in waiting:
            front_end.writer.close()

    async def test_the_socket_of_a_killed_process_is_removed_and_does_not_block_the_new_one(self):
        await self.begin()
        await self.old.stop(signal.SIGKILL)
        self.assertEqual(1, len(list(self.folder.glob("sagetrestle-*"))))
        new = await self.newer("the older process is dead")
        await self.ready(new)
        remaining = [path.name for path in self.folder.glob("sagetrestle-*")]
        self.assertEqual(1, len(remaining), remaining)

    async def test_a_suspended_old_process_is_waited_for_only_until_the_timeout(self):
        await self.begin()
        self.old.send_signal(signal.SIGSTOP)
        new = await self.newer("does not hand over")
        await self.ready(new)
        self.old.send_signal(signal.SIGCONT)
        await new.logged("taken over")

    async def test_an_old_process_that_sends_malformed_messages_is_given_up_in_time(self):
        await self.begin()
        await self.old.stop(signal.SIGKILL)
        for path in self.folder.glob("sagetrestle-*"):
            path.unlink()

        async def send_malformed(reader, writer):
            writer.write(b'["Welcome", 7]\n')
            await reader.read()
            writer.close()

        server = await asyncio.start_unix_server(send_malformed, self.folder / "sagetrestle-eb7954ec-2")
        self.addCleanup(server.close)
        started_s = time.monotonic()
        new = await self.newer("does not hand over")
        await self.ready(new)
        # Only that the old process is given up; the timeout itself is checked in the handover model.
        self.assertLess(time.monotonic() - started_s, 20)

    async def test_two_new_processes_at_once_take_over_one_after_the_other(self):
        await self.begin()
        first, second = await asyncio.gather(self.newer("taken over"), self.newer("taken over"))
        last = max((first, second), key=lambda process: next(line for line in process.log if "taken over" in line))
        await self.ready(last)
        front = await FrontEnd(last.ports["thrift"]).connect()
        self.assertEqual("served", front.outcome(await front.ask(call_id("a"), "paid-check", b"x", "K")))
        front.writer.close()

    async def test_a_file_that_is_not_a_socket_is_logged_and_does_not_block_upgrades(self):
        (self.folder / "sagetrestle-eb7954ec-1").write_text("not a socket")
        await self.begin()
        self.assertTrue(self.old.log_has("upgrades may leave a gap: sagetrestle-eb7954ec-1 is not a socket"))
        os.chmod(self.folder, 0o700)
        new = await self.newer("taken over")
        await self.ready(new)

    @unittest.skipUnless(os.geteuid() == 0, "only root can give a file away")
    async def test_no_connection_is_made_to_another_users_socket(self):
        path = self.folder / "sagetrestle-eb7954ec-3"
        with socket.socket(socket.AF_UNIX) as other:
            other.bind(str(path))
            other.listen(1)
            os.chown(path, 12345, 12345)
            await self.begin()
            self.assertTrue(self.old.log_has("upgrades may leave a gap: sagetrestle-eb7954ec-3 is not a socket"))
            other.settimeout(0.2)
            with self.assertRaises(TimeoutError):
                other.accept()

    async def test_without_a_unix_socket_it_serves_and_logs_that_upgrades_may_leave_a_gap(self):
        deep = self.folder / ("d" * 120)  # exceeds the maximum path length of a Unix socket
        deep.mkdir()
        self.old.folder = deep
        await self.begin()
        self.assertTrue(self.old.log_has("upgrades may leave a gap"))
        self.assertEqual(200, (await call(self.old.ports["management"], "GET", "/api/ready")).status)

    async def test_a_peer_that_sends_malformed_bytes_is_disconnected(self):
        await self.begin()
        (path,) = self.folder.glob("sagetrestle-*")
        with socket.socket(socket.AF_UNIX) as raw:
            raw.settimeout(5)
            raw.connect(str(path))
            raw.sendall(b"\x00nonsense\n")
            self.assertEqual(b"", raw.recv(10))
        self.assertEqual(200, (await call(self.old.ports["management"], "GET", "/api/ready")).status)
