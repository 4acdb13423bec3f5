"""A fleet of real scorers on loopback that find each other's callers through a stand-in DNS server."""

from __future__ import annotations

import asyncio
import base64
import os
import signal
import time
from pathlib import Path

from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from sagetrestle.lab.dns import DnsStandIn
from sagetrestle.lab.kernel import EmulatedKernel
from sagetrestle.lab.place import Place
from sagetrestle.lab.scorer import ScorerProcess
from sagetrestle.net.protocol.dns_wire import tsig_key

KEY_NAME = "lab.example.org"


def reactor_here() -> AsyncioSelectorReactor:
    """Return a Twisted reactor on the running asyncio loop, for the product's transports; its time is monotonic."""
    reactor = AsyncioSelectorReactor(asyncio.get_running_loop())
    reactor.seconds = time.monotonic  # type: ignore[method-assign]
    return reactor


class Fleet:
    """Scorers by name, one DNS server, and what can be done to them."""

    def __init__(self, folder: Path, size: int, place: Place, lease_s: int = 10, seed: int = 1) -> None:
        self.folder, self.size, self.place, self._lease_s, self._seed = folder, size, place, lease_s, seed
        self.scorers: dict[str, ScorerProcess] = {}
        self.kernels: list[EmulatedKernel] = []
        self.down: set[str] = set()

    async def start(self) -> Fleet:
        """Start the server, then all scorers."""
        secret = base64.b64encode(os.urandom(32)).decode()
        (self.folder / "tsig").write_text(secret)
        self.dns = await DnsStandIn(key=tsig_key(KEY_NAME, secret), seed=self._seed).start()
        await asyncio.gather(*(self.begin(f"n{at}") for at in range(self.size)))
        return self

    def toml(self, part: str, **fields: object) -> str:
        """Return an operators' file that publishes or browses."""
        lines = [f'server = "127.0.0.1:{self.dns.port}"', 'domain = "example.org"', f"[{part}]"]
        lines += [
            f"{name} = {str(value).lower() if isinstance(value, bool) else repr(value)}"
            for name, value in fields.items()
        ]
        return "\n".join(lines).replace("'", '"') + "\n"

    async def begin(self, name: str) -> ScorerProcess:
        """Start a scorer, under a name that may have been used before."""
        home = self.folder / name
        home.mkdir(exist_ok=True)
        kernel = EmulatedKernel(
            self.place.cores, {one.name: one.work_s for one in self.place.classes}, seed=len(self.kernels), spread=0.3
        )
        self.kernels.append(kernel)
        scorer = ScorerProcess(home, kernel, self.place.settings(), {"discovery.toml": self.publishing()}, name)
        await scorer.start(fronts=1)
        self.scorers[name] = scorer
        self.down.discard(name)
        return scorer

    def publishing(self) -> str:
        """Return the operators' file by which a scorer registers."""
        return self.toml("publish", key_name=KEY_NAME, key_file=f"{self.folder}/tsig", lease_s=self._lease_s)

    async def drain(self, name: str) -> None:
        """Give a scorer the notice to leave, and wait until it has gone."""
        self.down.add(name)
        await self.scorers[name].stop()

    def silence(self, name: str) -> None:
        """Have a scorer read and say nothing, with its connections open."""
        self.down.add(name)
        self.scorers[name].send_signal(signal.SIGSTOP)

    async def kill(self, name: str) -> None:
        """End a scorer outright."""
        self.down.add(name)
        await self.scorers[name].stop(signal.SIGKILL)

    async def close(self) -> None:
        """End everything."""
        await asyncio.gather(
            *(one.stop(signal.SIGKILL) for one in self.scorers.values() if one.process.returncode is None)
        )
        self.dns.close()
