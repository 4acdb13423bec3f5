"""An emulated kernel whose link breaks: notices are kept, commands may be lost, and runs wait for their disks.

Front ends tell it of their requests: it starts nothing for one that is over, and books the memory of the others.
"""

from __future__ import annotations

import asyncio
import base64
import json
import math
import random
import time
from collections.abc import Mapping
from typing import Any

from sagetrestle.lab.kernel import ColdStart, EmulatedKernel

MAX_KEPT_NOTICES = 4_000
OVER_DELAY_S = 0.01  # from an answer until the kernel knows of it
DISK_WAIT_S = (0.02, 0.4)


class FaultyKernel(EmulatedKernel):
    """A kernel whose link ``break_link`` ends; a share of the runs, ``disk_share``, waits for its disk once."""

    def __init__(
        self,
        cores: int,
        work_s: float | Mapping[str, float],
        calls: Mapping[str, float] | None = None,
        seed: int = 1,
        spread: float = 0.5,
        disk_share: float = 0.2,
        cold_start: ColdStart | None = None,
    ) -> None:
        super().__init__(cores, work_s, calls, seed, spread, cold_start)
        self._fault_rng = random.Random(seed)
        self._disk_share = disk_share
        self._disk_at_s: dict[str, float] = {}  # work left at which a run turns to its disk
        self._at_disk_until: dict[str, float] = {}
        self._call_bodies: dict[str, bytes] = {}
        self._calls_made: dict[str, int] = {}
        self._notices: list[tuple[int, bytes]] = []
        self._over: set[str] = set()
        self._deaf = False
        self.breaks = 0
        self.changed_replies: list[str] = []  # ids of runs that were given the reply to another call

    def request_over(self, id: str) -> None:
        """Learn shortly that a request was answered or given up; a run of it ends where it is not on a core."""
        super().request_over(id)
        asyncio.get_running_loop().call_later(OVER_DELAY_S, self._mark_over, id)

    def _mark_over(self, id: str) -> None:
        self._over.add(id)
        run = self._runs.get(id)
        if run is not None and run.paused:
            del self._runs[id]
        elif run is not None and run.calling:
            self._abort(id)

    async def break_link(self, lose_s: float = 0.0, cut_notice: bool = False) -> None:
        """End the link; what comes in the last ``lose_s`` is lost, and the last notice may be sent again in part."""
        writer = self._writer
        if writer is None:
            return
        self._deaf = lose_s > 0
        try:
            await asyncio.sleep(lose_s)
        finally:
            self._deaf = False
        if self._writer is writer:
            self._writer = None
        self.breaks += 1
        if cut_notice and self._notices:
            writer.write(self._notices[-1][1][:20])
            writer.close()
        else:
            writer.transport.abort()

    def _take(self, got: dict[str, Any]) -> None:
        call = got.get("call", "")
        if self._deaf:
            return
        if got["msg"] == "SCHED" and call not in self._runs and call in self._over:
            self._end(call, "stale", b"")
        elif got["msg"] == "PREEMPT" and call in self._at_disk_until:
            pass  # only work on a core stops
        elif got["msg"] == "PREEMPT" and call in self._over and call in self._on_cores():
            self._abort(call)
        elif got["msg"] == "IODONE" and call in self._runs and self._runs[call].calling:
            if base64.b64decode(got["blob"]) != self._call_bodies[call]:
                self.changed_replies.append(call)
            super()._take(got)
        else:
            super()._take(got)
        if got["msg"] == "OPEN" and self._writer is not None:
            for serial, line in self._notices:
                if serial > got["serial"]:
                    self._writer.write(line)

    def _start(self, call: str, cls: str, body: bytes, token: tuple[int, int, str] | None) -> None:
        super()._start(call, cls, body, token)
        if self._fault_rng.random() < self._disk_share:
            self._disk_at_s[call] = self._fault_rng.uniform(0.1, 0.9) * self._runs[call].left_s

    def _on_cores(self) -> list[str]:
        now = time.monotonic()
        for call in [call for call, until in self._at_disk_until.items() if until <= now or call not in self._runs]:
            del self._at_disk_until[call]
        return [call for call in super()._on_cores() if call not in self._at_disk_until]

    def _go_on(self, call: str, share: float) -> None:
        run = self._runs[call]
        reaches_call = run.calls_at_s and run.left_s - share <= run.calls_at_s[-1]
        if reaches_call and call in self._over:
            self._abort(call)
            return
        if run.left_s - share <= self._disk_at_s.get(call, -math.inf):
            del self._disk_at_s[call]
            self._at_disk_until[call] = time.monotonic() + self._fault_rng.uniform(*DISK_WAIT_S)
            return
        super()._go_on(call, share)

    def _call_body(self, call: str) -> bytes:
        self._calls_made[call] = self._calls_made.get(call, 0) + 1
        self._call_bodies[call] = b"call %d of %s" % (self._calls_made[call], call.encode())
        return self._call_bodies[call]

    def _abort(self, call: str) -> None:
        del self._runs[call]
        self._end(call, "aborted", b"")

    def _tell(self, **notice: Any) -> None:
        line = json.dumps(notice).encode() + b"\n"
        if "serial" in notice:
            self._notices.append((notice["serial"], line))
            del self._notices[:-MAX_KEPT_NOTICES]
        if self._writer is not None:
            self._writer.write(line)
