"""``sagetrestle lab``: load against a scorer, and keys rotated under load."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import click

from sagetrestle.lab.load import LoadReport, rows


@click.group()
def lab() -> None:
    """Measure, on loopback only, bounded in count and time."""


def show_report(report: LoadReport, title: str) -> None:
    """Print a report by class."""
    from rich.console import Console
    from rich.table import Table

    table = Table(title=title)
    for name in (
        "class",
        "asked",
        "served",
        "in time",
        "refused",
        "denied",
        "failed",
        "lost",
        "p50 ms",
        "p95 ms",
        "p99 ms",
    ):
        table.add_column(name, justify="left" if name == "class" else "right")
    for row in rows(report):
        table.add_row(*row)
    Console(width=120).print(table)
    if not report.valid:
        click.echo("not valid: the generator fell behind its own schedule; ask for less, or use more cores")


@lab.command()
@click.option("--port", type=click.IntRange(1, 65_535), required=True, help="An SCGI front on 127.0.0.1.")
@click.option("--rate", type=click.FloatRange(0.1, 2_000), default=20.0, show_default=True)
@click.option("--seconds", type=click.FloatRange(0.1, 600), default=10.0, show_default=True)
@click.option("--store", type=click.Path(path_type=Path), help="Sign each request with this store's keys.")
@click.option("--issuer", default="", help="The tokens' issuer.")
@click.option("--audience", default="", help="The tokens' audience.")
@click.option("--tenant", "tenants", multiple=True, default=["anyone"], show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def load(
    port: int,
    rate: float,
    seconds: float,
    store: Path | None,
    issuer: str,
    audience: str,
    tenants: tuple[str, ...],
    seed: int,
) -> None:
    """Send open-loop load of the demo's classes over SCGI; latency counts from the intended time."""
    from sagetrestle.lab.load import plan, run
    from sagetrestle.lab.place import CLASSES
    from sagetrestle.lab.senders import ScgiSender

    planned = plan(CLASSES, rate, seconds, list(tenants), ["load"], seed, retries=0.1)
    sender = ScgiSender(port, store, issuer, audience)
    report = asyncio.run(run(planned, sender.send, {cls.name: cls.aim_s for cls in CLASSES}))
    show_report(report, f"{rate:g}/s for {seconds:g} s to 127.0.0.1:{port}")
    if not report.valid:
        raise SystemExit(3)


@lab.command()
@click.option("--seconds", type=click.FloatRange(1, 600), default=20.0, show_default=True)
@click.option(
    "--load",
    "factor",
    type=click.FloatRange(0.1, 2),
    default=1.0,
    show_default=True,
    help="Times the emulated capacity.",
)
@click.option("--seed", type=int, default=1, show_default=True)
def rotate(seconds: float, factor: float, seed: int) -> None:
    """Rotate keys every 2 to 3 s under load, impostors among the callers, and audit what ran."""
    from sagetrestle.lab.rotation import rotate_under_load

    report = asyncio.run(rotate_under_load(seconds, load=factor, seed=seed))
    show_report(report.load, f"{report.rotations} rotations in {seconds:g} s, {report.rings_read} rings read")
    _show_audit(report.audit)
    for kind, statuses in sorted(report.impostors.items()):
        status_counts = ", ".join(f"{status} x {count}" for status, count in sorted(statuses.items()))
        click.echo(f"  {kind}: {status_counts}")
    if not report.audit.clean:
        raise SystemExit(1)


def _show_audit(found: Any) -> None:
    click.echo(
        f"audit: {found.entitled} entitled, {found.impostors} not; {found.charges} charges ran; "
        f"{len(found.wrongful)} wrongful refusals, {len(found.unauthorised)} unauthorised runs, "
        f"{len(found.doubled)} doubled, {len(found.unanswered)} unanswered"
    )
    for line in [*found.wrongful, *found.unauthorised, *found.doubled, *found.unanswered][:10]:
        click.echo(f"  {line}")
