"""The soak of one scorer over many seeds: python -m benchmarks.soak [--seeds 1-50] [--parallel N]."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import click

from benchmarks.machine import heading
from sagetrestle.lab.soak import Soak, SoakReport


async def play(seeds: range, parallel: int) -> list[SoakReport]:
    """Play the seeds, some at once, and print each as it ends."""
    slots = asyncio.Semaphore(parallel)

    async def one(seed: int) -> SoakReport:
        with tempfile.TemporaryDirectory() as folder:
            async with slots:
                report = await Soak(Path(folder), seed).play()
        print(
            f"  seed {seed}: {dict(report.outcomes)}, {report.runs} runs, {report.breaks} breaks, "
            f"{report.worst_runs[0]:.1f} of {report.worst_runs[1]:.1f} runs on the cores, "
            f"{report.highest_memory_kb:.0f} of {report.memory_limit_kb:.0f} KB",
            *report.violations[:5],
            sep="\n    ",
            flush=True,
        )
        return report

    return await asyncio.gather(*(one(seed) for seed in seeds))


@click.command()
@click.option("--seeds", default="1-50", show_default=True)
@click.option("--parallel", default=2, show_default=True)
def main(seeds: str, parallel: int) -> None:
    """Print what each seed came to, and fail if a rule was broken."""
    first, _, last = seeds.partition("-")
    print(heading(f"seeds {seeds}, {parallel} at once"))
    reports = asyncio.run(play(range(int(first), int(last or first) + 1), parallel))
    broken = [report.seed for report in reports if report.violations]
    print(f"  {len(reports)} seeds, {len(broken)} with a broken rule: {broken}")
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
