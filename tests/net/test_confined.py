"""``run`` as the standing test has it: one process, no children, and system calls that are refused."""

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
LOAD, EQUAL, BITS, GIVE = 0x20, 0x15, 0x45, 0x06  # classic BPF: ld abs, jeq, jset, ret
ALLOW, ERROR = 0x7FFF0000, 0x00050000
NUMBER_AT, FIRST_ARGUMENT_AT = 0, 16
PR_SET_NO_NEW_PRIVS, PR_SET_SECCOMP, MODE_FILTER = 38, 22, 2


def program() -> bytes:
    """Return the filter: what is refused above, children, and Unix sockets."""
    lines = [(LOAD, 0, 0, NUMBER_AT)]
    for number, error in REFUSED.items():
        lines += [(EQUAL, 0, 1, number), (GIVE, 0, 0, ERROR | error)]
    for number in (SOCKET, SOCKETPAIR):
        lines += [
            (EQUAL, 0, 4, number),
            (LOAD, 0, 0, FIRST_ARGUMENT_AT),
            (EQUAL, 0, 1, AF_UNIX),
            (GIVE, 0, 0, ERROR | EPERM),
            (GIVE, 0, 0, ALLOW),
        ]
    lines += [
        (EQUAL, 0, 3, CLONE),
        (LOAD, 0, 0, FIRST_ARGUMENT_AT),
        (BITS, 1, 0, CLONE_THREAD),
        (GIVE, 0, 0, ERROR | ENOSYS),
        (GIVE, 0, 0, ALLOW),
    ]
    return b"".join(struct.pack("HBBI", *line) for line in lines)


def confine() -> None:
    """Put the filter on this process and what it becomes."""
    libc = ctypes.CDLL(None, use_errno=True)
    code = program()
    held = ctypes.create_string_buffer(code, len(code))
    told = ctypes.create_string_buffer(struct.pack("HxxxxxxQ", len(code) // 8, ctypes.addressof(held)))
    if libc.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) or libc.prctl(PR_SET_SECCOMP, MODE_FILTER, told, 0, 0):
        os._exit(99)


@unittest.skipUnless(platform.machine() == "x86_64" and sys.platform == "linux", "the filter is x86-64's")
class ConfinedTest(unittest.IsolatedAsyncioTestCase):
    """The deploy file's ``run`` under that filter."""

    async def serve(self, hang_up=False, **over):
        """Start it, have one request served, and return its log and exit code.

        ``hang_up`` has it told to read its configuration again, on and on from its first moment until it listens.
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
        """Ask for a reload again and again, once the shell has become the program."""
        while Path(f"/proc/{process.pid}/cmdline").read_bytes().startswith(b"/bin/sh"):
            await asyncio.sleep(0)
        while process.returncode is None:
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.002)

    async def test_reloads_asked_for_from_its_first_moment_on_end_nothing(self):
        log, code = await self.serve(hang_up=True)
        self.assertEqual(0, code, log)
        self.assertIn("configuration read again", log)

    async def test_it_starts_serves_and_leaves(self):
        log, code = await self.serve()
        self.assertEqual((0, False), (code, "gap" in log), log)

    async def test_with_a_second_address_it_does_so_as_well_and_says_what_is_missing(self):
        log, code = await self.serve(management="127.0.0.1:0")
        self.assertEqual((0, 1), (code, log.count("upgrades may leave a gap")), log)
