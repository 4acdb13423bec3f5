"""A translator under kills, and against baselines: python -m benchmarks.translation [--seconds N]."""

from __future__ import annotations

import asyncio
import sys

import click
from hdrh.histogram import HdrHistogram

from benchmarks.machine import heading
from sagetrestle.lab.translation import TranslationReport, under_kills

BASELINES = (
    ("plain proxy", "tries = 1"),
    ("retries, no budget", "retry_share = 1.0\nretry_reserve_per_s = 10000"),
    ("budget, no breaker", "breaker = false"),
    ("translator", ""),
)


def line(kind: str, got: TranslationReport) -> str:
    taken = HdrHistogram(1, 60_000_000, 3)
    for one in got.load.latency.values():
        taken.add(one)
    points = " ".join(f"p{at} {taken.get_value_at_percentile(at) / 1000:.0f}" for at in (50, 99, 99.9))
    return (
        f"  {kind}: {got.in_time:.1%} in time, {got.extra:.3f} requests at servers a client's, {points} ms; "
        f"{got.charged} charges, {got.doubled} doubled, {got.unfaithful} unfaithful, {got.late} late; "
        f"{got.starts} starts; "
        f"statuses {dict(sorted(got.statuses.items()))}; valid {got.load.valid}"
    )


@click.command()
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--seeds", default=3, show_default=True)
def main(seconds: float, seeds: int) -> None:
    """Print all measurements."""
    sys.stdout.reconfigure(line_buffering=True)  # type: ignore[union-attr]
    print(heading("3 servers, 8 requests open, 130% of what these can do, servers that break 1% of their answers"))
    for seed in range(1, seeds + 1):
        print(line(f"translator killed every 3 to 6 s, seed {seed}", asyncio.run(under_kills(seconds, seed=seed))))
    print("  5 servers, one of which fails 60% after the work; 70% of capacity; no kills:")
    for kind, settings in BASELINES:
        got = asyncio.run(under_kills(seconds / 2, load=0.7, servers=5, kills=False, settings=settings, sick=0.6))
        print(line(kind, got))


if __name__ == "__main__":
    main()
