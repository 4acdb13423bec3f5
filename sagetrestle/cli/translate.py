"""``sagetrestle translate``: run a translator, and check its files."""

from __future__ import annotations

from pathlib import Path

import click

from sagetrestle.net.program.config import ConfigError

FILE_OPTION = click.option(
    "--file",
    "path",
    type=click.Path(path_type=Path),
    default=Path("deploy/translate.toml"),
    show_default=True,
    help="The translator's file.",
)


@click.group(invoke_without_command=True)
@FILE_OPTION
@click.pass_context
def translate(ctx: click.Context, path: Path) -> None:
    """Stand between old clients and new servers."""
    if ctx.invoked_subcommand is None:
        from sagetrestle.net.program.translate import main

        raise SystemExit(main(path))


@translate.command()
@FILE_OPTION
def check(path: Path) -> None:
    """Read the file and its mapping as a start would; exit code 1 and one line where they can not be used."""
    from sagetrestle.net.program.translate import load_translate

    try:
        config = load_translate(path)
    except ConfigError as error:
        raise click.ClickException(str(error)) from None
    click.echo(
        f"mapping version {config.mapping.version} for schema {config.mapping.schema}: "
        f"{len(config.mapping.classes)} classes, {len(config.file.servers)} servers"
    )
