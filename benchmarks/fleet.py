"""Campaigns on real processes: python -m benchmarks.fleet --seeds 20 [--first N] [--revision REV] [--size 6].

Prints each seed with its faults and findings, then the sums. ``--revision`` runs an earlier revision of this project in
the same way, without a fleet.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path

import click

from benchmarks.machine import heading
from sagetrestle.lab.campaign import CampaignReport, campaign
from sagetrestle.lab.scorer import ROOT


def shown(report: CampaignReport) -> str:
    faults = " ".join(f"{kind} {count}" for kind, count in sorted(report.faults.items()))
    return (
        f"  seed {report.seed}: {report.findings.line()}; p50 {report.point(0.5):.2f} s "
        f"p99 {report.point(0.99):.2f} s; {report.refused_epochs} old commands refused; {faults}"
        + (f"; cap {report.cap}: {report.runs} ran, {report.over} over" if report.cap else "")
    )


@click.command()
@click.option("--seeds", default=10, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--size", default=6, show_default=True)
@click.option("--seconds", default=12.0, show_default=True)
@click.option("--rate", default=15.0, show_default=True)
@click.option("--zones", default=1, show_default=True)
@click.option("--kind", "kinds", multiple=True, help="Only these faults.")
@click.option("--stores/--no-stores", default=True, show_default=True)
@click.option("--servers", default=0, show_default=True, help="New servers: the members are translators then.")
@click.option("--cap", default=0, show_default=True, help="All charges are one tenant's, who may spend so many.")
@click.option("--off", is_flag=True, help="Without a fleet.")
@click.option("--revision", help="An earlier revision, without a fleet.")
def main(
    seeds: int,
    first: int,
    size: int,
    seconds: float,
    rate: float,
    zones: int,
    kinds: tuple[str, ...],
    stores: bool,
    servers: int,
    cap: int,
    off: bool,
    revision: str | None,
) -> None:
    """Run campaigns one after another; exit code 1 if anything was broken."""
    kind = f"translators over {servers} servers" if servers else "members"
    print(heading(f"{seeds} seeds, {size} {kind}{', revision ' + revision if revision else ''}"), flush=True)
    total, faults, broken, took = Counter(), Counter(), [], []
    with tempfile.TemporaryDirectory() as name:
        root = ROOT
        if revision:
            root = Path(name) / "tree"
            subprocess.run(["git", "worktree", "add", "-q", "--detach", str(root), revision], cwd=ROOT, check=True)
        try:
            for seed in range(first, first + seeds):
                report = asyncio.run(
                    campaign(
                        seed,
                        size,
                        seconds,
                        rate,
                        not (off or revision),
                        root,
                        zones=zones,
                        stores=stores,
                        kinds=kinds,
                        servers=servers,
                        cap=cap,
                    )
                )
                print(shown(report), flush=True)
                found = report.findings
                total += Counter(
                    charges=found.charges,
                    served=found.served,
                    runs=report.runs,
                    twice=len(found.doubled),
                    unserved=len(found.never_served),
                    over=report.over,
                    unused=max(0, cap - report.runs),
                )
                broken += [f"seed {seed}: {report.over} over the cap"] if report.over else []
                faults += report.faults
                broken += [f"seed {seed}: {one}" for one in found.broken]
                took += report.took_s
        finally:
            if revision:
                subprocess.run(["git", "worktree", "remove", "--force", str(root)], cwd=ROOT, check=True)
    took.sort()
    points = [f"p{at * 100:g} {took[int(at * (len(took) - 1))]:.2f} s" for at in (0.5, 0.9, 0.99) if took]
    print(f"  in all: {dict(total)}, {sum(faults.values())} faults {dict(faults)}; {', '.join(points)}")
    for one in broken:
        print(f"  BROKEN {one}")
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
