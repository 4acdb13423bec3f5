"""``sagetrestle tenants``: the operators' files of identity, checked as a scorer would, and shown."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from sagetrestle.cli.keys import report_errors
from sagetrestle.identity.tenants import Tenant, TenantDirectory
from sagetrestle.net.program.identity import IdentityConfig, IdentityError, load_identity

IDENTITY_OPTION = click.option(
    "--identity",
    type=click.Path(path_type=Path),
    default=Path("deploy/identity.toml"),
    show_default=True,
    help="The operators' file that names ring and tenants.",
)
CONFIG_OPTION = click.option(
    "--config",
    type=click.Path(path_type=Path),
    envvar="ROUTER_CONFIG",
    help="A scorer's configuration, whose classes the rights must name.",
)


@click.group()
def tenants() -> None:
    """Tenants, their rights and what stands for them."""


def _load(identity: Path, config: Path | None) -> IdentityConfig:
    classes = None
    if config is not None:
        class_settings = json.loads(config.read_bytes())["settings"]["classes"]
        classes = frozenset(str(cls["name"]) for cls in class_settings)
    try:
        found = load_identity(identity, classes)
    except IdentityError as error:
        raise click.ClickException(str(error)) from None
    if found is None:
        raise click.ClickException(f"{identity}: identity is off")
    return found


@tenants.command()
@IDENTITY_OPTION
@CONFIG_OPTION
@report_errors
def check(identity: Path, config: Path | None) -> None:
    """Read all files as a scorer would at its start; exit code 1 and one line where one can not be used."""
    found = _load(identity, config)
    ring, directory = found.snapshot.keyring, found.snapshot.directory
    click.echo(
        f"ring version {ring.version}: {len(ring.keys)} keys; tenants version {directory.version}: "
        f"{len(directory.tenants)}, {sum(not one.on for one in directory.tenants.values())} off, "
        f"{len(directory.revoked_serials)} certificates revoked"
    )


@tenants.command()
@IDENTITY_OPTION
@CONFIG_OPTION
@click.argument("name", required=False)
@click.option("--most", type=click.IntRange(1), default=50, show_default=True, help="Rows at the most.")
@report_errors
def show(identity: Path, config: Path | None, name: str | None, most: int) -> None:
    """Show one tenant, or all, with their rights, caps and names."""
    from rich.console import Console
    from rich.table import Table

    directory = _load(identity, config).snapshot.directory
    if name is not None and name not in directory.tenants:
        raise click.ClickException(f"tenant {name}: not known")
    names = [name] if name is not None else sorted(directory.tenants)
    table = Table(title=f"tenants version {directory.version}")
    for column in ("tenant", "on", "rights", "cap", "allowance/s", "certificates", "front ends"):
        table.add_column(column)
    for one in names[:most]:
        table.add_row(*_tenant_row(directory, directory.tenants[one]))
    Console(width=140).print(table)
    if len(names) > most:
        click.echo(f"{len(names) - most} more; --most shows them")


def _tenant_row(directory: TenantDirectory, tenant: Tenant) -> list[str]:
    def names(of: Any) -> str:
        return ", ".join(sorted(str(one) for one, holder in of.items() if holder == tenant.name)) or "-"

    cap = f"{tenant.cap.charges} in {tenant.cap.window_us // 1_000_000} s" if tenant.cap else "-"
    return [
        tenant.name,
        "yes" if tenant.on else "no",
        " ".join(sorted(tenant.rights)) or "-",
        cap,
        f"{tenant.allowance_per_s:g}" if tenant.allowance_per_s else "-",
        names(directory.certificates),
        names(directory.front_ends),
    ]
