"""Keys rotated every 2 to 3 s at full load for a minute: python -m benchmarks.rotation [--seconds N]."""

from __future__ import annotations

import asyncio

import click

from benchmarks.machine import heading
from sagetrestle.lab.load import rows
from sagetrestle.lab.place import Place
from sagetrestle.lab.rotation import rotate_under_load


@click.command()
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(seconds: float, seed: int) -> None:
    """Print what was served, and what the audit found."""
    got = asyncio.run(rotate_under_load(seconds, seed=seed))
    print(heading(f"{Place().capacity:.0f} requests a second (full load), {seconds:g} s, seed {seed}"))
    for row in rows(got.load):
        print("  ", *row)
    found = got.audit
    print(f"  {got.rotations} rotations, {got.rings_read} rings read; valid: {got.load.valid}")
    print(
        f"  {found.entitled} entitled, {found.impostors} not; {found.charges} charges ran; "
        f"{len(found.wrongful)} wrongful refusals, {len(found.unauthorised)} unauthorised runs, "
        f"{len(found.doubled)} doubled, {len(found.unanswered)} unanswered, {len(found.let_through)} let through"
    )
    raise SystemExit(0 if found.clean and got.load.valid else 1)


if __name__ == "__main__":
    main()
