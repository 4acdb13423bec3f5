"""The deploy file's ``run`` under the platform's restrictions: no child processes, and some system calls refused."""

import asyncio
import ctypes
import os
import platform
import shlex
import signal
import struct
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

from sagetrestle.lab.clients import FrontEnd
from sagetrestle.lab.kernel import EmulatedKernel, listen
from sagetrestle.lab.ledger import EmulatedLedger
from sagetrestle.lab.place import Place, write_files
from tests.net.scenario import call_id

ROOT = Path(__file__).parent.parent.parent
EPERM, EINVAL, ENOSYS = 1, 22, 38
# x86-64's numbers: fork, vfork, clone3, sendfile, io_uring's three, splice.
REFUSED = {57: ENOSYS, 58: ENOSYS, 435: ENOSYS, 40: ENOSYS, 425: ENOSYS, 426: ENOSYS, 427: ENOSYS, 275: EINVAL}
SOCKET, SOCKETPAIR, CLONE, CLONE_THREAD, AF_UNIX = 41, 53, 56, 0x10000, 1
LOAD, JUMP_EQUAL, JUMP_SET, RETURN = 0x20, 0x15, 0x45, 0x06  # classic BPF: ld abs, jeq, jset, ret
ALLOW, ERROR = 0x7FFF0000, 0x00050000
NUMBER_OFFSET, FIRST_ARGUMENT_OFFSET = 0, 16
PR_SET_NO_NEW_PRIVS, PR_SET_SECCOMP, MODE_FILTER = 38, 22, 2


def program() -> bytes:
    """Return the seccomp filter: it refuses the calls above, child processes and Unix sockets."""
    lines = [(LOAD, 0, 0, NUMBER_OFFSET)]
    for number, error in REFUSED.items():
        lines += [(JUMP_EQUAL, 0, 1, number), (RETURN, 0, 0, ERROR | error)]
    for number in (SOCKET, SOCKETPAIR):
        lines += [
            (JUMP_EQUAL, 0, 4, number),
            (LOAD, 0, 0, FIRST_ARGUMENT_OFFSET),
            (JUMP_EQUAL, 0, 1, AF_UNIX),
            (RETURN, 0, 0, ERROR | EPERM),
            (RETURN, 0, 0, ALLOW),
        ]
    lines += [
        (JUMP_EQUAL, 0, 3, CLONE),
        (LOAD, 0, 0, FIRST_ARGUMENT_OFFSET),
        (JUMP_SET, 1, 0, CLONE_THREAD),
        (RETURN, 0, 0, ERROR | ENOSYS),
        (RETURN, 0, 0, ALLOW),
    ]
    return b"".join(struct.pack("HBBI", *line) for line in lines)


def confine() -> None:
    """Install the filter in this process; it stays in force after exec."""
    libc = ctypes.CDLL(None, use_errno=True)
    instructions = program()
    buffer = ctypes.create_string_buffer(instructions, len(instructions))
    filter_program = ctypes.create_string_buffer(
        struct.pack("HxxxxxxQ", len(instructions) // 8, ctypes.addressof(buffer))
    )
    if libc.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) or libc.prctl(PR_SET_SECCOMP, MODE_FILTER, filter_program, 0, 0):
        os._exit(99)


@unittest.skipUnless(platform.machine() == "x86_64" and sys.platform == "linux", "the filter is x86-64's")
class ConfinedTest(unittest.IsolatedAsyncioTestCase):
    """The deploy file's ``run`` under the seccomp filter."""

    async def serve(self, hang_up=False, **over):
        """Start a scorer, have one request served, and return its log and exit code.

        With ``hang_up``, SIGHUP is sent repeatedly from the start of the process until it listens.
        """
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        kernel, ledger = EmulatedKernel(), EmulatedLedger()
        servers = {"kernel": await listen(kernel.serve), "ledger": await listen(ledger.serve)}
        ports = {name: port for name, (_, port) in servers.items()} | {"roster": 9}
        write_files(folder, "n1", Place().settings(), ports, {}, over=over)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.assertTrue(run.startswith("trap '' HUP; exec .venv/bin/python "), run)
        run = run.replace(".venv/bin/python", shlex.quote(sys.executable), 1)
        env = os.environ | {"PYTHONPATH": str(ROOT), "ROUTER_CONFIG": f"{folder}/config.json", "TMPDIR": str(folder)}
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=folder, env=env, stderr=asyncio.subprocess.PIPE, preexec_fn=confine
        )
        hanging_up = asyncio.create_task(self.hang_up(process)) if hang_up else None
        lines, port = [], 0
        while not (port and any("kernel up" in line for line in lines)):
            line = (await asyncio.wait_for(process.stderr.readline(), 20)).decode()
            self.assertTrue(line, lines)
            lines.append(line)
            if "thrift front listens" in line:
                port = int(line.rpartition(":")[2])
        if hanging_up is not None:
            hanging_up.cancel()
        front = await FrontEnd(port).connect()
        self.assertEqual("served", front.outcome(await front.ask(call_id("a"), "quick-check", b"x")))
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
        self.assertEqual("", children.read_text() if children.exists() else "")
        front.writer.close()
        process.terminate()
        code = await asyncio.wait_for(process.wait(), 20)
        for server, _ in servers.values():
            server.close()
        return "".join(lines), code

    async def hang_up(self, process):
        """Send SIGHUP repeatedly, once the shell has been replaced by the program."""
        while Path(f"/proc/{process.pid}/cmdline").read_bytes().startswith(b"/bin/sh"):
            await asyncio.sleep(0)
        while process.returncode is None:
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.002)

    async def test_reload_signals_during_start_up_do_not_end_the_process(self):
        log, code = await self.serve(hang_up=True)
        self.assertEqual(0, code, log)
        self.assertIn("configuration read again", log)

    async def test_starts_serves_and_stops(self):
        log, code = await self.serve()
        self.assertEqual((0, False), (code, "gap" in log), log)

    async def test_with_a_management_front_it_serves_and_logs_that_upgrades_may_leave_a_gap(self):
        log, code = await self.serve(management="127.0.0.1:0")
        self.assertEqual((0, 1), (code, log.count("upgrades may leave a gap")), log)
