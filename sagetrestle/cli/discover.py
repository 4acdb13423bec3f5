"""``sagetrestle discover``: who is there, as a router sees it, and registrations by hand."""

from __future__ import annotations

import json
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from sagetrestle.membership.values import Member
from sagetrestle.membership.view import View
from sagetrestle.net.program.discovery import (
    DiscoveryConfig,
    DiscoveryError,
    MembershipHost,
    PublisherHost,
    load_discovery,
    build_registration,
)
from sagetrestle.net.program.structured import logger

FILE_OPTION = click.option(
    "--file",
    "path",
    type=click.Path(path_type=Path),
    default=Path("deploy/discovery.toml"),
    show_default=True,
    help="The operators' file of discovery.",
)
COLUMNS = ("name", "address", "life", "for s", "priority", "weight", "boot", "text")


@click.group()
def discover() -> None:
    """Find members through DNS-SD records."""


def _load(path: Path, part: str) -> DiscoveryConfig:
    try:
        config = load_discovery(path)
    except DiscoveryError as error:
        raise click.ClickException(str(error)) from None
    if config is None:
        raise click.ClickException(f"{path}: discovery is off")
    if getattr(config.file, part) is None:
        raise click.ClickException(f"{path}: has no [{part}]")
    return config


def _reactor() -> Any:
    from twisted.internet import reactor

    reactor.seconds = time.monotonic  # type: ignore[attr-defined]
    return reactor


def _browse(config: DiscoveryConfig, on_view: Callable[[View], None], seconds: float | None) -> MembershipHost:
    """Keep a view for some seconds, or until interrupted."""
    reactor = _reactor()
    host = MembershipHost(reactor, config, lambda text: logger().info(text), random.getrandbits(32), on_view)
    reactor.callWhenRunning(host.start)
    if seconds is not None:
        reactor.callLater(seconds, reactor.stop)
    reactor.run()
    host.stop()
    return host


def member_row(member: Member, now_us: int) -> tuple[str, ...]:
    """Return a member's row."""
    one = member.instance
    text = " ".join(f"{name}={value}" for name, value in one.text)
    return (
        one.name,
        f"{one.endpoint.host}:{one.endpoint.port}",
        member.state.value,
        f"{max(0, now_us - member.since_us) / 1e6:.1f}",
        str(one.priority),
        str(one.weight),
        str(one.boot),
        text,
    )


@discover.command("list")
@FILE_OPTION
@click.option(
    "--seconds",
    type=click.FloatRange(0.2, 60),
    default=2.0,
    show_default=True,
    help="How long to look: a browse and a few probes.",
)
@click.option("--json", "as_json", is_flag=True, help="One object a line.")
def list_members(path: Path, seconds: float, as_json: bool) -> None:
    """Show who is there; exit code 1 where nobody takes work."""
    host = _browse(_load(path, "browse"), lambda view: None, seconds)
    view, now = host.members.view, int(time.monotonic() * 1e6)
    rows = [member_row(one, now) for _, one in sorted(view.members.items())]
    if as_json:
        for one in rows:
            click.echo(json.dumps(dict(zip(COLUMNS, one, strict=True))))
    else:
        from rich.console import Console

        Console(width=140).print(_table(view, rows))
    if not view.eligible():
        raise SystemExit(1)


def _table(view: View, rows: list[tuple[str, ...]]) -> Any:
    from rich.table import Table

    state = " (stale)" if view.stale else " (suspicion ignored)" if view.panic else ""
    table = Table(title=f"view {view.version}: {len(rows)} members, {len(view.eligible())} take work{state}")
    for name in COLUMNS:
        table.add_column(name)
    for one in rows:
        table.add_row(*one)
    return table


@discover.command()
@FILE_OPTION
@click.option("--seconds", type=click.FloatRange(0.2), help="Stop after so long; else at an interrupt.")
def watch(path: Path, seconds: float | None) -> None:
    """Watch the view: live on a terminal, else a line for each change."""
    config = _load(path, "browse")
    if sys.stdout.isatty():
        from rich.live import Live

        with Live(auto_refresh=False) as live:

            def show(view: View) -> None:
                now = int(time.monotonic() * 1e6)
                live.update(
                    _table(view, [member_row(one, now) for _, one in sorted(view.members.items())]), refresh=True
                )

            _browse(config, show, seconds)
        return
    seen = [View()]

    def lines(view: View) -> None:
        for name, was, now in view.changed_since(seen[0]):
            old, new = (one.state.value if one else "-" for one in (was, now))
            click.echo(f"{view.version} {name} {old} -> {new}")
        seen[0] = view

    _browse(config, lines, seconds)


def _update_registration(path: Path, name: str, host: str, port: int, on: bool) -> None:
    config, reactor, lines = _load(path, "publish"), _reactor(), []
    what = build_registration(config, name, host, port, {"boot": int(time.time() * 1000)})
    one = PublisherHost(reactor, config, what, lines.append, time.time, random.getrandbits(32))

    def begin() -> None:
        if not on:  # a withdrawal is of what is registered, by whomever
            one.machine.adopt()
        one.set_registered(on)
        poll()

    def poll() -> None:
        if one.machine.state.value in (("registered",) if on else ("withdrawn",)):
            reactor.stop()
        else:
            reactor.callLater(0.02, poll)

    reactor.callWhenRunning(begin)
    reactor.callLater(5.0, reactor.stop)
    reactor.run()
    for line in lines:
        click.echo(line)
    if not lines or not lines[-1].startswith("registered" if on else "registration withdrawn"):
        raise SystemExit(1)


@discover.command()
@FILE_OPTION
@click.option("--instance", "name", required=True)
@click.option("--host", required=True, help="The address that the record names.")
@click.option("--port", type=click.IntRange(1, 65_535), required=True)
def publish(path: Path, name: str, host: str, port: int) -> None:
    """Register an instance once, under the lease that the file sets; it is not renewed."""
    _update_registration(path, name, host, port, True)


@discover.command()
@FILE_OPTION
@click.option("--instance", "name", required=True)
def withdraw(path: Path, name: str) -> None:
    """Withdraw an instance's records, for one that can not do it any more."""
    _update_registration(path, name, "127.0.0.1", 1, False)
