"""Upgrades of real processes on loopback: the socket, the keys and the way out."""

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
    """The usual way, under load."""

    async def test_two_in_a_row_lose_nothing_and_run_no_key_twice(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        rig = await Upgrades(folder, Place(), seed=11).start()
        loading = asyncio.create_task(rig.load(rate=30, seconds=6))
        for _ in range(2):
            await asyncio.sleep(1)
            await rig.upgrade()
        await loading
        got = rig.report
        self.assertEqual((0, 0, 0, [0, 0]), (got.lost, got.doubled, got.ran_twice(), got.codes))
        self.assertGreater(got.outcomes["served"], 0)
        self.assertLess(got.descriptors, LIMITS["sockets"])
        self.assertNotIn(b"HERE n1 off", rig.scorer.roster.taken())
        await rig.stop()

    async def test_at_130_percent_the_second_address_answers_and_its_figures_are_what_the_callers_saw(self):
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
        told = figures((await call(port, "GET", "/api/telemetry")).text)
        seen = {
            one: sum(value for name, value in told.items() if name.startswith(f"svc.{one}."))
            for one in ("served", "refused", "failed")
        }
        self.assertEqual({one: rig.report.outcomes[one] for one in seen}, seen)
        self.assertEqual(sum(len(kernel.starts) for kernel in rig.kernels), told["svc.attempts"])
        self.assertEqual(0, told["svc.in_flight"])
        for _, writer in silent:
            writer.close()
        await rig.stop()


class DoorTest(unittest.TestCase):
    """Listening sockets alone, with what waits at them and no loop running that would take it in."""

    def process(self, folder):
        handover = Handover(reactor, lambda item: None, folder, "n1", lambda line: None, lambda: None)
        front = Front(reactor, "thrift", Protocol, lambda item: None, 99)
        taken = []
        front.buildProtocol = lambda addr: taken.append(addr) or Protocol()
        self.addCleanup(lambda: front.port and front.port.stopListening())
        return handover, front, taken

    def test_what_waits_as_the_older_one_stops_listening_is_the_newer_ones(self):
        """With a socket each, what waits in the older one's queue would be reset with it."""
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        old, old_front, taken_by_old = self.process(folder)
        new, new_front, taken_by_new = self.process(folder)
        old_front.port = old.listen(old_front, "127.0.0.1", 0, 64)
        port = old_front.port.getHost().port
        waiting = [self.enterContext(socket.create_connection(("127.0.0.1", port))) for _ in range(12)]
        new._elder.take_sockets = lambda: [os.dup(old_front.port.fileno())]  # as the stream passes it
        new.adopt(("thrift",), {"thrift": new_front})
        if new_front.port is None:
            new_front.port = new.listen(new_front, "127.0.0.1", port, 64)
        old_front.stop_listening(shared=True)
        later = self.enterContext(socket.create_connection(("127.0.0.1", port)))
        new_front.port.doRead()
        self.assertEqual((0, 13), (len(taken_by_old), len(taken_by_new)))
        for one in (*waiting, later):
            one.settimeout(0.01)
            with self.assertRaises(TimeoutError):  # neither an end nor a reset
                one.recv(1)


class PairOfProcesses(unittest.IsolatedAsyncioTestCase):
    """Processes that a test starts one by one."""

    async def asyncSetUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.running, self.count = [], 1
        self.kernel = EmulatedKernel(work_s=0.05)
        self.old = ScorerProcess(self.folder, self.kernel, Place().settings(), {}, over={"management": "127.0.0.1:0"})

    async def asyncTearDown(self):
        for one in self.running:
            if one.process.returncode is None:
                one.process.send_signal(signal.SIGCONT)
            await one.stop(signal.SIGKILL)
            self.assertFalse(one.log_has("failed:"), one.log)

    async def begin(self):
        self.running.append(await self.old.start(2))

    async def newer(self, says: str) -> ScorerProcess:
        self.count += 1
        one = await self.old.upgrade(EmulatedKernel(work_s=0.05), self.count, says, 2)
        self.running.append(one)
        return one

    async def ready(self, one: ScorerProcess) -> None:
        """Wait until a process says that it is ready; the bound is for one that never does."""
        async with asyncio.timeout(60):
            while (await call(one.ports["management"], "GET", "/api/ready")).status != 200:
                await asyncio.sleep(0.02)

    async def test_who_comes_right_after_is_served_by_the_newer_one(self):
        await self.begin()
        new = await self.newer("taken over")
        await self.old.logged("handed over")  # a turn later: until then either may take a connection
        waiting = [await FrontEnd(self.old.ports["thrift"], number).connect() for number in range(20)]
        numbers = await asyncio.gather(
            *(one.ask(call_id(f"w{at}"), "quick-check", b"x") for at, one in enumerate(waiting))
        )
        self.assertEqual({1}, {len(one.answers[number]) for one, number in zip(waiting, numbers, strict=True)})
        told = figures((await call(new.ports["management"], "GET", "/api/telemetry")).text)
        self.assertEqual(20, sum(told[f"svc.{one}.quick-check"] for one in ("served", "refused", "failed")))
        for one in waiting:
            one.writer.close()

    async def test_one_that_was_killed_leaves_a_socket_behind_that_stops_nobody(self):
        await self.begin()
        await self.old.stop(signal.SIGKILL)
        self.assertEqual(1, len(list(self.folder.glob("sagetrestle-*"))))
        new = await self.newer("the older process is dead")
        await self.ready(new)
        left = [path.name for path in self.folder.glob("sagetrestle-*")]
        self.assertEqual(1, len(left), left)

    async def test_one_that_is_stopped_is_not_waited_for_beyond_the_time(self):
        await self.begin()
        self.old.process.send_signal(signal.SIGSTOP)
        new = await self.newer("does not hand over")
        await self.ready(new)
        self.old.process.send_signal(signal.SIGCONT)
        await new.logged("taken over")

    async def test_one_whose_words_can_not_be_read_is_given_up_in_time(self):
        await self.begin()
        await self.old.stop(signal.SIGKILL)
        for path in self.folder.glob("sagetrestle-*"):
            path.unlink()

        async def nonsense(reader, writer):
            writer.write(b'["Welcome", 7]\n')
            await reader.read()
            writer.close()

        server = await asyncio.start_unix_server(nonsense, self.folder / "sagetrestle-eb7954ec-2")
        self.addCleanup(server.close)
        begun = time.monotonic()
        new = await self.newer("does not hand over")
        await self.ready(new)
        self.assertLess(time.monotonic() - begun, 20)  # it must come at all; the time is a model's to hold

    async def test_two_successors_at_once_serve_in_the_end_one_after_the_other(self):
        await self.begin()
        first, second = await asyncio.gather(self.newer("taken over"), self.newer("taken over"))
        last = max((first, second), key=lambda one: next(line for line in one.log if "taken over" in line))
        await self.ready(last)
        front = await FrontEnd(last.ports["thrift"]).connect()
        self.assertEqual("served", front.outcome(await front.ask(call_id("a"), "paid-check", b"x", "K")))
        front.writer.close()

    async def test_a_foreign_file_and_a_folder_that_can_not_be_used_are_said_once(self):
        (self.folder / "sagetrestle-eb7954ec-1").write_text("not a socket")
        await self.begin()
        self.assertTrue(self.old.log_has("upgrades may leave a gap: sagetrestle-eb7954ec-1 is not a socket"))
        os.chmod(self.folder, 0o700)
        new = await self.newer("taken over")
        await self.ready(new)

    @unittest.skipUnless(os.geteuid() == 0, "only root can give a file away")
    async def test_another_users_socket_is_not_spoken_to(self):
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

    async def test_where_no_unix_socket_can_be_had_it_serves_and_says_so(self):
        deep = self.folder / ("d" * 120)  # longer than the path of a Unix socket may be
        deep.mkdir()
        self.old.folder = deep
        await self.begin()
        self.assertTrue(self.old.log_has("upgrades may leave a gap"))
        self.assertEqual(200, (await call(self.old.ports["management"], "GET", "/api/ready")).status)

    async def test_bytes_of_no_process_of_ours_are_cut_off(self):
        await self.begin()
        (path,) = self.folder.glob("sagetrestle-*")
        with socket.socket(socket.AF_UNIX) as raw:
            raw.settimeout(5)
            raw.connect(str(path))
            raw.sendall(b"\x00nonsense\n")
            self.assertEqual(b"", raw.recv(10))
        self.assertEqual(200, (await call(self.old.ports["management"], "GET", "/api/ready")).status)
