"""``sagetrestle keys``: an issuer's keys, and tokens signed and verified by hand."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime
from functools import wraps
from pathlib import Path
from typing import Any

import click

from sagetrestle.identity.authorizer import Snapshot, authorize
from sagetrestle.identity.files import FileError, read_identity, read_keyring, read_tenants
from sagetrestle.identity.keyring import NO_END_US
from sagetrestle.identity.tokens import MAX_TOKEN_BYTES, TokenError, read_header, sign, verify
from sagetrestle.identity.values import AccessRequest, Cause, PresentedCredentials, Verdict
from sagetrestle.net.program.structured import logger
from sagetrestle.store.keys import KeyStore, StoreError

SECOND_US = 1_000_000
STORE_OPTION = click.option(
    "--store",
    type=click.Path(path_type=Path),
    default=Path("deploy/keys"),
    show_default=True,
    help="The folder of the ring and the private keys.",
)
ALGORITHM_OPTION = click.option("--alg", type=click.Choice(["EdDSA", "ES256"]), default="EdDSA", show_default=True)


def now_us() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


def report_errors(act: Callable[..., Any]) -> Callable[..., Any]:
    """Turn the errors of stores and files into one line and exit code 1."""

    @wraps(act)
    def run(*args: Any, **given: Any) -> Any:
        try:
            return act(*args, **given)
        except (StoreError, FileError, OSError) as error:
            raise click.ClickException(str(error)) from None

    return run


@click.group()
def keys() -> None:
    """Keys of an issuer. The ring is what scorers read; private keys never leave the store."""


@keys.command()
@STORE_OPTION
@ALGORITHM_OPTION
@report_errors
def generate(store: Path, alg: str) -> None:
    """Make a key that signs from now on; the first makes the store."""
    kid = KeyStore(store).generate(alg, now_us())
    logger(store=str(store)).info("key made", kid=kid, alg=alg)
    click.echo(kid)


@keys.command()
@STORE_OPTION
@ALGORITHM_OPTION
@click.option(
    "--lead-s",
    type=click.FloatRange(0, 86_400),
    default=10.0,
    show_default=True,
    help="How long all scorers have to read the new ring before the new key signs.",
)
@click.option(
    "--overlap-s",
    type=click.FloatRange(0, 31 * 86_400),
    default=3_720.0,
    show_default=True,
    help="How long what the old keys signed counts: a token's life and the clocks' difference.",
)
@report_errors
def rotate(store: Path, alg: str, lead_s: float, overlap_s: float) -> None:
    """Make a successor; what signs until then verifies on for the overlap, and retires by itself."""
    kid = KeyStore(store).rotate(alg, now_us(), int(lead_s * SECOND_US), int(overlap_s * SECOND_US))
    logger(store=str(store)).info("key rotated", kid=kid, signs_in_s=lead_s, overlap_s=overlap_s)
    click.echo(kid)


@keys.command()
@STORE_OPTION
@click.argument("kid")
@click.option("--overlap-s", type=click.FloatRange(0, 31 * 86_400), default=3_720.0, show_default=True)
@report_errors
def retire(store: Path, kid: str, overlap_s: float) -> None:
    """End a key's signing now; what it signed counts for the overlap."""
    KeyStore(store).retire(kid, now_us(), int(overlap_s * SECOND_US))
    logger(store=str(store)).info("key retired", kid=kid, overlap_s=overlap_s)


@keys.command()
@STORE_OPTION
@click.argument("kid")
@click.option("--why", required=True, help="Kept in the ring and in the log.")
@report_errors
def revoke(store: Path, kid: str, why: str) -> None:
    """Trust a key no more, at once and for good; its private half is destroyed."""
    KeyStore(store).revoke(kid, now_us(), why)
    logger(store=str(store)).warning("key revoked", kid=kid, why=why)


@keys.command()
@STORE_OPTION
@click.option("--after-s", type=click.FloatRange(0), default=7 * 86_400.0, show_default=True)
@report_errors
def drop(store: Path, after_s: float) -> None:
    """Forget keys that have been retired for so long; revoked ones stay in the ring."""
    KeyStore(store).drop(now_us(), int(after_s * SECOND_US))


@keys.command("list")
@STORE_OPTION
@report_errors
def list_keys(store: Path) -> None:
    """Show every key with its state and the times of its life."""
    from rich.console import Console
    from rich.table import Table

    ring, now = KeyStore(store).keyring(now_us()), now_us()
    table = Table(title=f"ring version {ring.version}")
    for name in ("kid", "alg", "state", "signs from", "signs until", "verifies until", "why"):
        table.add_column(name, no_wrap=name == "kid")
    for kid, key in sorted(ring.keys.items(), key=lambda one: one[1].not_before_us):
        table.add_row(
            kid,
            key.algorithm,
            key.state(now).value,
            _format_time(key.not_before_us),
            _format_time(key.signs_until_us),
            _format_time(key.not_after_us),
            key.why,
        )
    Console(width=140).print(table)


@keys.command("sign")
@STORE_OPTION
@click.option("--issuer", required=True)
@click.option("--audience", required=True)
@click.option("--tenant", required=True)
@click.option("--scope", required=True, help="Classes, apart by spaces.")
@click.option("--lifetime-s", type=click.FloatRange(1, 86_400), default=600.0, show_default=True)
@click.option("--jti", help="The token's own id, which a charge needs.")
@click.option("--body", type=click.File("rb"), help="The body it holds for, which a charge needs.")
@report_errors
def sign_token(
    store: Path, issuer: str, audience: str, tenant: str, scope: str, lifetime_s: float, jti: str | None, body: Any
) -> None:
    """Print a token signed with the newest active key."""
    key_store, now = KeyStore(store), now_us()
    kid = key_store.signer(now)
    click.echo(
        sign(
            key_store.private(kid),
            kid,
            key_store.keyring(now).keys[kid].algorithm,
            issuer=issuer,
            audience=audience,
            tenant=tenant,
            scope=scope.split(),
            issued_us=now,
            lifetime_us=int(lifetime_s * SECOND_US),
            jti=jti,
            body=body.read() if body else None,
        )
    )


@keys.command("verify")
@click.option(
    "--identity",
    type=click.Path(path_type=Path),
    default=Path("deploy/identity.toml"),
    show_default=True,
    help="The operators' file whose ring, tenants and terms count.",
)
@click.option("--cls", "cls", required=True, help="The class that is asked for.")
@click.option("--charge/--safe", default=False, help="Whether that class charges.")
@click.option("--body", type=click.File("rb"), help="The body it comes with.")
@report_errors
def verify_token(identity: Path, cls: str, charge: bool, body: Any) -> None:
    """Read a token from standard input, and print the verdict that a scorer would give now."""
    token = sys.stdin.read(MAX_TOKEN_BYTES + 2).strip()
    snapshot = _load_snapshot(identity)
    asked = AccessRequest(cls, charge, body.read() if body else b"")
    verdict = _authorize_token(snapshot, token, asked)
    click.echo(f"{verdict.cause.value}; tenant {verdict.tenant or '-'}")
    if not verdict.entitled:
        raise SystemExit(1)


def _load_snapshot(identity: Path) -> Snapshot:
    file = read_identity(identity.read_bytes())
    if file is None:
        raise click.ClickException(f"{identity}: identity is off")
    root = identity.parent.parent
    tenants = root / file.tenants
    form = "json" if tenants.suffix == ".json" else "toml"
    return Snapshot(
        file.terms(), read_keyring((root / file.ring).read_bytes(), now_us()), read_tenants(tenants.read_bytes(), form)
    )


def _authorize_token(snapshot: Snapshot, token: str, asked: AccessRequest) -> Verdict:
    try:
        key = snapshot.keyring.keys.get(read_header(token).kid)
        if key is None:
            return Verdict(Cause.UNKNOWN_KEY)
        verified = verify(token, key)
    except TokenError as fault:
        return Verdict(fault.cause)
    return authorize(snapshot, PresentedCredentials("command line", token), asked, now_us(), verified)


def _format_time(at_us: int) -> str:
    if at_us >= NO_END_US:
        return "-"
    return datetime.fromtimestamp(at_us / SECOND_US, UTC).strftime("%Y-%m-%d %H:%M:%S")
