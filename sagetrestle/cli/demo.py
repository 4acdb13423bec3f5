"""``sagetrestle demo``: the main job on an emulated place, with nothing to set up."""

from __future__ import annotations

import asyncio
import random
import tempfile
from pathlib import Path

import click

DEFAULT_SECONDS, DEFAULT_LOAD_FACTOR = 6.0, 1.2


@click.command()
@click.option("--seconds", type=click.FloatRange(1, 120), default=DEFAULT_SECONDS, show_default=True)
@click.option(
    "--load",
    type=click.FloatRange(0.1, 3),
    default=DEFAULT_LOAD_FACTOR,
    show_default=True,
    help="Times what the emulated cores can do.",
)
def demo(seconds: float, load: float) -> None:
    """Start an emulator and two scorers, send load over Thrift and SCGI, and show what came of it."""
    asyncio.run(_run_demo(seconds, load))


async def _run_demo(seconds: float, load: float) -> None:
    from sagetrestle.cli.lab import show_report
    from sagetrestle.lab.load import plan, run
    from sagetrestle.lab.place import Place

    place = Place(servers=2)
    with tempfile.TemporaryDirectory() as name:
        click.echo(
            f"two scorers with emulated kernels of {place.cores} cores: {place.capacity:.0f} requests "
            f"a second each; {load:g} times that for {seconds:g} s, by tokens whose key rotates"
        )
        scorers, senders, signer = await _start_scorers(Path(name), place)
        planned = plan(
            place.classes,
            2 * place.capacity * load,
            seconds,
            ["cairo-lets", "nile-homes"],
            [f"portal-{at}" for at in range(3)],
            seed=1,
            retries=0.2,
        )
        pick = random.Random(1)
        at = {one.number: pick.randrange(len(senders)) for one in planned}  # tries of one go to one scorer

        async def send(one: object) -> object:
            return await senders[at[one.number]].send(one)  # type: ignore[attr-defined]

        rotating = asyncio.create_task(_rotate_keys(signer))
        report = await run(planned, send, {cls.name: cls.aim_s for cls in place.classes})  # type: ignore[arg-type]
        rotating.cancel()
        for scorer in scorers:
            await scorer.stop()
        show_report(report, "what came of it")
        _report_charges(scorers, report, signer)


async def _start_scorers(folder: Path, place: object) -> tuple:
    from sagetrestle.lab.clients import FrontEnd
    from sagetrestle.lab.kernel import EmulatedKernel
    from sagetrestle.lab.rotation import TENANTS_TOML
    from sagetrestle.lab.scorer import ScorerProcess
    from sagetrestle.lab.senders import ScgiSender, ThriftSender
    from sagetrestle.lab.signer import AUDIENCE, ISSUER, LabSigner, identity_toml

    signer = LabSigner(folder / "keys")
    (folder / "keys" / "tenants.toml").write_text(TENANTS_TOML)
    deploy = {
        "scgi.toml": 'listen = "127.0.0.1:0"\n',
        "identity.toml": identity_toml(folder / "keys", unmapped="delta-agents"),
    }
    scorers, senders = [], []
    for at in range(2):
        home = folder / f"n{at}"
        home.mkdir()
        kernel = EmulatedKernel(
            place.cores,
            {one.name: one.work_s for one in place.classes},
            {one.name: one.calls for one in place.classes},
            seed=at,
            spread=0.5,
        )
        scorer = await ScorerProcess(home, kernel, place.settings(), deploy, f"n{at}").start(fronts=2)
        scorers.append(scorer)
        senders.append(ScgiSender(scorer.ports["scgi"], folder / "keys", ISSUER, AUDIENCE))
        senders.append(ThriftSender(await FrontEnd(scorer.ports["thrift"]).connect(), at))
    return scorers, senders, signer


async def _rotate_keys(signer: object) -> None:
    while True:
        await asyncio.sleep(2.0)
        signer.rotate(lead_s=1.0, overlap_s=5.0)


def _report_charges(scorers: list, report: object, signer: object) -> None:
    """Say what the emulated kernels saw: an effect that ran twice would show here."""
    ran = [one.body for scorer in scorers for one in scorer.kernel.starts]
    bodies = [body for body in ran if body.startswith(b"charge")]
    click.echo(
        f"{len(bodies)} charges ran, {len(bodies) - len(set(bodies))} of them twice; {signer.rotations} keys rotated in"
    )
    lost = sum(counts["lost"] for counts in report.outcomes.values())
    if lost or len(bodies) != len(set(bodies)):
        raise SystemExit(1)
