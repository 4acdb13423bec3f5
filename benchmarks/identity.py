"""What identity costs: a verdict, a signature, memory, and the scorer's CPU with it off, on, and before it.

Run: python -m benchmarks.identity [--before REVISION] [--rounds N]
"""

from __future__ import annotations

import asyncio
import gc
import random
import subprocess
import tempfile
import time
import tracemalloc
from pathlib import Path

import click
from cryptography.hazmat.primitives.asymmetric import ec, ed25519
from immutables import Map

from benchmarks.machine import ROOT, heading, spread
from sagetrestle.identity.authenticator import Authenticator
from sagetrestle.identity.authorizer import Snapshot, TokenPolicy, authorize
from sagetrestle.identity.keyring import Keyring, KeyringKey
from sagetrestle.identity.tenants import Tenant, directory
from sagetrestle.identity.tokens import public_key_to_jwk, sign, thumbprint, verify
from sagetrestle.identity.values import AccessRequest, PresentedCredentials
from sagetrestle.lab.kernel import EmulatedKernel
from sagetrestle.lab.load import plan, run
from sagetrestle.lab.place import Place
from sagetrestle.lab.scorer import ScorerProcess
from sagetrestle.lab.senders import ScgiSender
from sagetrestle.lab.signer import AUDIENCE, ISSUER, LabSigner, identity_toml

NOW = time.time_ns() // 1000
ASKED = AccessRequest("quick-check", False, b"x" * 512)
NEW = {"EdDSA": ed25519.Ed25519PrivateKey.generate, "ES256": lambda: ec.generate_private_key(ec.SECP256R1())}


def made(algorithm: str, kid: str) -> tuple[object, KeyringKey]:
    private = NEW[algorithm]()
    public = private.public_key()
    return private, KeyringKey(kid, algorithm, public, thumbprint(public_key_to_jwk(algorithm, public)), NOW - 10**9)


def micros(act: object, count: int) -> float:
    gc.disable()
    start = time.perf_counter()
    for _ in range(count):
        act()
    took = time.perf_counter() - start
    gc.enable()
    return took / count * 1e6


def verdicts(rounds: int) -> None:
    for algorithm in NEW:
        private, key = made(algorithm, "k")
        tenants = directory(1, [Tenant(f"t{at}", rights=frozenset({"*"})) for at in range(1_000)])
        snapshot = Snapshot(TokenPolicy(ISSUER, AUDIENCE), Keyring(1, Map({"k": key}), NOW), tenants)
        token = sign(
            private,
            "k",
            algorithm,
            issuer=ISSUER,
            audience=AUDIENCE,
            tenant="t7",
            scope=["quick-check"],
            issued_us=NOW,
            lifetime_us=600_000_000,
        )
        verified, shown = verify(token, key), PresentedCredentials("s", token)
        authenticator = Authenticator(snapshot)
        authenticator.submit(1, shown, ASKED, NOW)
        authenticator.verify_batch()
        for name, act, count in (
            ("first verification", lambda v=token, k=key: verify(v, k), 500),
            ("verdict alone", lambda s=snapshot, p=shown, v=verified: authorize(s, p, ASKED, NOW, v), 20_000),
            ("cached: digest, look-up, verdict", lambda g=authenticator, p=shown: g.submit(2, p, ASKED, NOW), 20_000),
        ):
            print(f"  {algorithm}: {name}: {spread([micros(act, count) for _ in range(rounds)])} us")


def memory() -> None:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    tenants = directory(
        1, [Tenant(f"tenant-{at}", rights=frozenset({"report-view", "paid-check"})) for at in range(100_000)]
    )
    middle = tracemalloc.get_traced_memory()[0]
    keys = {f"key-{at}": made("EdDSA", f"key-{at}")[1] for at in range(1_000)}
    ring = Keyring(1, Map(keys), NOW)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(
        f"  {len(tenants.tenants)} tenants: {(middle - before) / 2**20:.1f} MiB; "
        f"{len(ring.keys)} keys: {(after - middle) / 2**20:.2f} MiB (Python's own, without OpenSSL's)"
    )


async def cpu(root: Path, identity: bool, rate: float, seconds: float, seed: int) -> tuple[float, int]:
    """Return the scorer's CPU a request in microseconds, and its resident memory in KiB."""
    place = Place(cores=6)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        LabSigner(folder / "keys")
        (folder / "keys" / "tenants.toml").write_text('version = 1\n[tenants.t]\nrights = ["*"]\n')
        deploy = {"scgi.toml": 'listen = "127.0.0.1:0"\n'}
        deploy |= {"identity.toml": identity_toml(folder / "keys")} if identity else {}
        kernel = EmulatedKernel(place.cores, 0.005, seed=seed)
        scorer = await ScorerProcess(folder, kernel, place.settings(), deploy, root=root).start(fronts=2)
        sender = ScgiSender(scorer.ports["scgi"], folder / "keys" if identity else None, ISSUER, AUDIENCE)
        planned = plan(place.classes, rate, seconds, ["t"], ["p"], seed)
        start = scorer.cpu_s()
        report = await run(planned, sender.send, {cls.name: cls.aim_s for cls in place.classes})
        used, kept = scorer.cpu_s() - start, scorer.memory_kb()
        await scorer.stop()
        assert report.valid
        served = sum(counts["served"] for counts in report.outcomes.values())
        assert served > 0.95 * len(planned), report.outcomes
        return used / len(planned) * 1e6, kept


def compare(before: str, rounds: int, rate: float, seconds: float) -> None:
    with tempfile.TemporaryDirectory() as name:
        old = Path(name) / "old"
        subprocess.run(["git", "worktree", "add", "-q", "--detach", str(old), before], cwd=ROOT, check=True)
        try:
            found: dict[str, list[tuple[float, int]]] = {"before": [], "off": [], "on": []}
            order = [("before", old, False), ("off", ROOT, False), ("on", ROOT, True)]
            for at in range(rounds):
                random.Random(at).shuffle(order)
                for kind, root, identity in order:
                    found[kind].append(asyncio.run(cpu(root, identity, rate, seconds, at)))
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(old)], cwd=ROOT, check=True)
    base = sorted(one for one, _ in found["before"])[rounds // 2]
    for kind, values in found.items():
        middle = sorted(one for one, _ in values)[rounds // 2]
        print(
            f"  {kind}: {spread([one for one, _ in values])} us CPU a request, ratio {middle / base:.2f}; "
            f"{spread([kb / 1024 for _, kb in values])} MiB"
        )


@click.command()
@click.option("--before", default="5926fc9", show_default=True, help="The revision before identity.")
@click.option("--rounds", type=click.IntRange(1, 20), default=5, show_default=True)
@click.option("--rate", default=150.0, show_default=True)
@click.option("--seconds", default=8.0, show_default=True)
def main(before: str, rounds: int, rate: float, seconds: float) -> None:
    """Print all measurements."""
    print(heading(f"{rounds} rounds, median (least to most)"))
    verdicts(rounds)
    memory()
    print(f"  the whole scorer, SCGI, {rate:g} requests a second for {seconds:g} s, before at {before}:")
    compare(before, rounds, rate, seconds)


if __name__ == "__main__":
    main()
