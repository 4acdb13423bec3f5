"""The root of the command line: groups by subject, found by name and loaded when they are called."""

from __future__ import annotations

import importlib

import click

COMMANDS = {  # name: module and attribute, and the line in the help
    "keys": ("sagetrestle.cli.keys:keys", "Make, rotate, retire and revoke signing keys; sign and verify."),
    "tenants": ("sagetrestle.cli.tenants:tenants", "Check the files of identity, and show tenants."),
    "discover": ("sagetrestle.cli.discover:discover", "Find members through DNS-SD records; register and withdraw."),
    "translate": ("sagetrestle.cli.translate:translate", "Stand between old clients and new servers."),
    "fleet": ("sagetrestle.cli.fleet:fleet", "Show how the fleet stands and who owned a key; drill its failures."),
    "lab": ("sagetrestle.cli.lab:lab", "The laboratory: load and the rotation of keys under it."),
    "demo": ("sagetrestle.cli.demo:demo", "Start an emulated place, send it load, and show what came of it."),
}


class LazyGroup(click.Group):
    """A group whose commands are imported one at a time."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Import a command's module and return it."""
        if name not in COMMANDS:
            return None
        module, _, attribute = COMMANDS[name][0].partition(":")
        return getattr(importlib.import_module(module), attribute)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """List the commands without importing them."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, line) for name, (_, line) in COMMANDS.items()])


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--log",
    "form",
    type=click.Choice(["human", "json"]),
    default="human",
    show_default=True,
    help="How log lines are written to standard error.",
)
def root(form: str) -> None:
    """Operate sagetrestle. Without a command the platform's scorer starts."""
    from sagetrestle.net.program.structured import set_up

    set_up(form)


def main() -> int:
    """Run the command line and return the exit code."""
    return root(standalone_mode=True, prog_name="sagetrestle") or 0
