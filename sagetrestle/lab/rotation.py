"""Keys rotated every few seconds under full load, with impostors among the callers, and the audit of it."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from sagetrestle.lab.audit import AuditReport, audit
from sagetrestle.lab.clients import ask_scgi
from sagetrestle.lab.kernel import EmulatedKernel
from sagetrestle.lab.load import LoadReport, Outcome, Planned, plan, run
from sagetrestle.lab.place import Place
from sagetrestle.lab.scorer import ScorerProcess
from sagetrestle.lab.senders import outcome_of, scgi_headers
from sagetrestle.lab.signer import LabSigner, identity_toml, now_us

TENANTS = ["cairo-lets", "nile-homes", "delta-agents"]
TENANTS_TOML = """version = 1
[tenants.cairo-lets]
rights = ["*"]
[tenants.nile-homes]
rights = ["report-view", "quick-check", "full-report", "paid-check"]
[tenants.delta-agents]
rights = ["*"]
[tenants.readers]
rights = ["report-view", "quick-check"]
[tenants.gone]
on = false
rights = ["*"]
"""


@dataclass
class RotationReport:
    """What a run came to: load, audit, how often the ring changed, and what each kind of impostor got."""

    load: LoadReport
    audit: AuditReport
    rotations: int
    rings_read: int
    impostors: dict[str, Counter[int]] = field(default_factory=dict)
    cpu_s: float = 0.0


class Callers:
    """Sends planned requests with tokens, a share of them with bad ones, and knows which is which."""

    def __init__(self, signer: LabSigner, foreign: LabSigner, port: int, bad_share: float, seed: int) -> None:
        self._signer, self._foreign, self._port = signer, foreign, port
        self._rng, self._bad_share = random.Random(seed), bad_share
        self.entitled: dict[bytes, bool] = {}
        self._kinds: dict[int, str] = {}
        self._tokens: dict[int, str | None] = {}
        self.impostors: dict[str, Counter[int]] = {}
        self._bad: dict[str, Callable[[Planned], str | None]] = {
            "no token": lambda one: None,
            "another issuer's key": lambda one: self._token(one, self._foreign),
            "run out": lambda one: self._token(one, issued_us=now_us() - 900_000_000, lifetime_s=10),
            "from the future": lambda one: self._token(one, issued_us=now_us() + 300_000_000),
            "another body": lambda one: self._token(one, body=one.body + b"!"),
            "a tenant that is off": lambda one: self._token(one, tenant="gone"),
            "another class's scope": lambda one: self._token(one, scope=["nothing"]),
            "cut off": lambda one: (self._token(one) or "")[:-9],
        }

    def _token(self, one: Planned, signer: LabSigner | None = None, **given: object) -> str:
        fields = {"tenant": one.tenant, "scope": [one.cls], "jti": f"j-{one.number}", "body": one.body}
        fields |= given
        return (signer or self._signer).token(**fields)  # type: ignore[arg-type]

    async def send(self, one: Planned) -> Outcome:
        """Send one try; tries of one request bring the same token half of the time, else a fresh one."""
        if one.number not in self._kinds:
            bad = self._rng.random() < self._bad_share
            self._kinds[one.number] = self._rng.choice(sorted(self._bad)) if bad else ""
            self.entitled[one.body] = not bad
        kind = self._kinds[one.number]
        if one.number not in self._tokens or (not kind and self._rng.random() < 0.5):
            self._tokens[one.number] = self._bad[kind](one) if kind else self._token(one)
        headers = scgi_headers(one, self._tokens[one.number])
        outcome = outcome_of(await ask_scgi(self._port, one.cls, one.body, **headers))
        if kind:
            self.impostors.setdefault(kind, Counter())[outcome.status] += 1
        return outcome


async def rotate_under_load(
    seconds: float,
    every_s: tuple[float, float] = (2.0, 3.0),
    load: float = 1.0,
    place: Place | None = None,
    seed: int = 1,
    bad_share: float = 0.1,
) -> RotationReport:
    """Run one scorer at ``load`` times its emulated capacity while its keys rotate, and audit what ran."""
    place = place or Place()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        signer, foreign = LabSigner(folder / "keys"), LabSigner(folder / "foreign")
        (folder / "keys" / "tenants.toml").write_text(TENANTS_TOML)
        kernel = EmulatedKernel(
            place.cores,
            {cls.name: cls.work_s for cls in place.classes},
            {cls.name: cls.calls for cls in place.classes},
            seed,
            spread=0.5,
        )
        deploy = {
            "identity.toml": identity_toml(folder / "keys", leeway_s=1.0),
            "scgi.toml": 'listen = "127.0.0.1:0"\n',
        }
        scorer = await ScorerProcess(folder, kernel, place.settings(), deploy).start(fronts=2)
        try:
            callers = Callers(signer, foreign, scorer.ports["scgi"], bad_share, seed)
            planned = plan(
                place.classes, place.capacity * load, seconds, TENANTS, ["p1", "p2", "p3"], seed, retries=0.4
            )
            return await _under_load(scorer, signer, callers, planned, place, every_s)
        finally:
            await scorer.stop()


async def _under_load(
    scorer: ScorerProcess,
    signer: LabSigner,
    callers: Callers,
    planned: list[Planned],
    place: Place,
    every_s: tuple[float, float],
) -> RotationReport:
    rotating = asyncio.create_task(_rotate(signer, every_s, random.Random(len(planned))))
    before = scorer.cpu_s()
    report = await run(planned, callers.send, {cls.name: cls.aim_s for cls in place.classes})
    rotating.cancel()
    found = audit(scorer.kernel.starts, report, callers.entitled)
    rings = sum("identity read again" in line for line in scorer.log)
    return RotationReport(report, found, signer.rotations, rings, callers.impostors, scorer.cpu_s() - before)


async def _rotate(signer: LabSigner, every_s: tuple[float, float], rng: random.Random) -> None:
    """Rotate for ever: a successor signs after a second, what it takes the place of counts two more."""
    while True:
        await asyncio.sleep(rng.uniform(*every_s))
        signer.rotate(lead_s=1.0, overlap_s=2.0)
        signer.store.drop(now_us(), after_us=3_000_000)
