"""Charges over SCGI before and after an upgrade; then those from before come again."""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s  # noqa: E402

CHARGES = 5


async def play(record: s.Record) -> bool:
    """Return whether each repeat that was served got a result of its own charge."""
    scgi, thrift = s.free_port(), s.free_port()
    platform = s.Platform(record, {"scgi.toml": f'listen = "{s.HERE}:{scgi}"\n'})
    work = {one["name"]: 0.05 for one in s.CAIRO_CLASSES}
    kernels = [await s.Kernel(f"kernel{number}", 2, work, record).start() for number in (1, 2)]
    try:
        config = {
            "name": "n1",
            "listen": f"{s.HERE}:{thrift}",
            "kernel": f"{s.HERE}:{kernels[0].port}",
            "roster": f"{s.HERE}:{await platform.roster()}",
            "management": f"{s.HERE}:{s.free_port()}",
            "seed": "44581c8a3d414833",
            "stop_ms": 4000,
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 512},
            "settings": s.settings(s.CAIRO_CLASSES, 2),
        }
        elder = await platform.run(config)
        await platform.ready(config["management"], 20)

        async def charge(name: str, retry: bool) -> tuple[int, bytes]:
            record.note(f"sent paid-check key {keys[name]} of {name}{' again' if retry else ''}")
            status, result = await s.ask_scgi(scgi, "paid-check", f"charge for {name}".encode(), keys[name], retry)
            record.note(f"answered {name}: {status} {result!r}")
            return status, result

        before = [f"landlord-a{number}" for number in range(CHARGES)]
        after = [f"landlord-b{number}" for number in range(CHARGES)]
        keys = {name: secrets.token_hex(16) for name in before + after}
        for name in before:
            status, _ = await charge(name, False)
            if status != 200:
                raise s.CanNotRun(f"{name} got {status} at a time of rest: {platform.logs()}")
        if s.TROUBLE:  # "a second time, with a new second address and everything else the same"
            config |= {"management": f"{s.HERE}:{s.free_port()}", "kernel": f"{s.HERE}:{kernels[1].port}"}
            await platform.run(config)
            await platform.ready(config["management"], 6)
            record.note("platform: the new process is ready; SIGTERM to the old one")
            if elder.returncode is None:
                elder.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.5)
        for name in after:
            await charge(name, False)
        held = True
        front_end = await s.FrontEnd(thrift, 1).connect()
        for number, name in enumerate(before):
            if number % 2 == 0:
                status, result = await charge(name, True)
            else:  # the second time over Thrift: keys hold over both fronts
                record.note(f"sent paid-check key {keys[name]} of {name} again, over Thrift")
                fields = s.request_fields("paid-check", 1, k=keys[name], r="1")
                seqid = front_end.send(fields, f"charge for {name}".encode())
                what = await front_end.answer(seqid, 12)
                status, result = (200 if what == "served" else 0), front_end.answers.get(seqid, [("", b"")])[0][1]
                record.note(f"answered {name}: {what} {result!r}")
            made = set().union(*(kernel.results.get(f"charge for {name}".encode(), set()) for kernel in kernels))
            if status == 200 and result not in made:
                record.note(f"the charge of {name} was answered with {result!r}; what runs made for it: {made}")
                held = False
        await front_end.close()
        return held
    finally:
        await platform.close()
        for kernel in kernels:
            await kernel.close()


s.main(Path(__file__).resolve().parent, play)
