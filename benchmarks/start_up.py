"""Start many scorers at once: when each is ready, and the processor time that takes: python -m benchmarks.start_up.

Each scorer runs in the platform's environment (``make build``) with a kernel, a ledger and a roster of its own. One is
ready when it has logged that its kernel is up. What it does until then is imports with hardly a wait, so the processor
time to ready bounds the longest stretch without one.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import click

from benchmarks.machine import heading
from sagetrestle.lab.kernel import EmulatedKernel
from sagetrestle.lab.place import Place
from sagetrestle.lab.scorer import ROOT, ScorerProcess

PLATFORM_PYTHON = ROOT / ".venv" / "bin" / "python"
READY_SHARE, READY_WITHIN_S = 0.9, 10.0  # what the acceptance asks of 30


class Started(NamedTuple):
    """One scorer's start, in seconds."""

    ready_s: float
    processor_s: float


async def start_one(folder: Path, number: int) -> Started:
    """Start one scorer, wait until it is ready, and end it."""
    own = folder / str(number)
    own.mkdir()
    scorer = ScorerProcess(own, EmulatedKernel(), Place().settings(), {}, name=f"n{number}")
    scorer.python = str(PLATFORM_PYTHON)
    began = time.monotonic()
    await scorer.start(1)
    started = Started(time.monotonic() - began, scorer.cpu_s())
    await scorer.stop()
    return started


async def start_together(count: int) -> list[Started]:
    """Start so many scorers in one moment."""
    with tempfile.TemporaryDirectory() as name:
        return list(await asyncio.gather(*(start_one(Path(name), number) for number in range(count))))


@click.command()
@click.option("--count", default=30, help="Scorers that start together.")
@click.option("--turns", default=3)
def main(count: int, turns: int) -> None:
    """Print the times of each turn."""
    print(heading(f"{count} scorers started at once, load {os.getloadavg()[0]:.1f}"))
    for _ in range(turns):
        all_started = asyncio.run(start_together(count))
        ready = sorted(started.ready_s for started in all_started)
        processor = sorted(started.processor_s for started in all_started)
        in_time = sum(one <= READY_WITHIN_S for one in ready)
        print(
            f"  ready: median {ready[count // 2]:.2f} s, nine in ten {ready[int(count * READY_SHARE) - 1]:.2f} s, "
            f"last {ready[-1]:.2f} s, {in_time} of {count} within {READY_WITHIN_S:.0f} s; processor time: "
            f"median {processor[count // 2]:.2f} s, most {processor[-1]:.2f} s"
        )


if __name__ == "__main__":
    main()
