"""``sagetrestle fleet``: how the fleet stands, who owned a key when, and drills on this machine."""

from __future__ import annotations

import asyncio
import json
import struct
import sys
import time
from pathlib import Path
from typing import Any

import click

FILE_OPTION = click.option(
    "--file",
    "path",
    type=click.Path(path_type=Path),
    default=Path("deploy/fleet.toml"),
    show_default=True,
    help="The operators' file of the fleet.",
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
ANSWER_TIMEOUT_S = 2.0


@click.group()
def fleet() -> None:
    """Look at the fleet, and drill its failures."""


def _load_members(path: Path) -> tuple[str, dict[str, tuple[str, int]]]:
    """Return the fleet's name and its members' addresses, by the file of any member."""
    from sagetrestle.net.program.fleet import FleetFileError, load_fleet

    try:
        config = load_fleet(path)
    except FleetFileError as error:
        raise click.ClickException(str(error)) from None
    return config.file.fleet, dict(config.addresses)


async def _query_member(name: str, to: str, address: tuple[str, int], what: str, key: str) -> dict[str, Any] | None:
    """Ask one member; None where it does not answer in time."""
    from sagetrestle.net.protocol import peer
    from sagetrestle.peers.frames import VERSION, Hello, ObserverQuery, ObserverReply

    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            try:
                for frame in (
                    Hello(VERSION, name, f"cli@{time.time_ns() // 1_000_000}", to, True),
                    ObserverQuery(what, key),
                ):
                    data = peer.encode(frame)
                    writer.write(struct.pack("!I", len(data)) + data)
                while True:
                    size = struct.unpack("!I", await reader.readexactly(4))[0]
                    frame = peer.decode(await reader.readexactly(size))
                    if isinstance(frame, ObserverReply):
                        return json.loads(frame.data)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


def query_members(path: Path, what: str, key: str = "") -> dict[str, dict[str, Any] | None]:
    """Ask all members at once; what none of them says is not known."""
    name, members = _load_members(path)

    async def query_all() -> list[dict[str, Any] | None]:
        return await asyncio.gather(*(_query_member(name, to, address, what, key) for to, address in members.items()))

    return dict(zip(members, asyncio.run(query_all()), strict=True))


@fleet.command()
@FILE_OPTION
@JSON_OPTION
def status(path: Path, as_json: bool) -> None:
    """Show members, council, epochs, partitions that nobody may serve, and charges in doubt.

    Read from the members, changes nothing. Exit code 1 where a partition is not served or a member does not answer.
    """
    found = query_members(path, "status")
    there = [one for one in found.values() if one is not None]
    served = sum(one["ready"] for one in there)
    total = max((one["partitions"] for one in there), default=0)
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        _show_status(found, served, total)
    sys.exit(int(len(there) < len(found) or not total or served < total))


def _show_status(found: dict[str, dict[str, Any] | None], served: int, total: int) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"{served} of {total} partitions are served")
    for name in (
        "member",
        "zone",
        "council",
        "map",
        "lease ms",
        "owned",
        "ready",
        "taken over",
        "adopted",
        "freed",
        "in doubt",
        "links up",
        "dropped",
    ):
        table.add_column(name, justify="left" if name in ("member", "zone", "council") else "right")
    for name, one in found.items():
        if one is None:
            table.add_row(name, "", "does not answer")
            continue
        links = one["links"].values()
        row = (
            one["council"].get("role", ""),
            one["map"],
            one["lease_ms"],
            one["owned"],
            one["ready"],
            one["taken_over"],
            one["adopted"],
            one["freed"],
            len(one["in_doubt"]),
            f"{sum(bool(link['up']) for link in links)}/{len(links)}",
            sum(link["dropped"] for link in links),
        )
        table.add_row(one["member"], one["zone"], *map(str, row))
    Console(width=150).print(table)
    newest = max((one for one in found.values() if one is not None), key=lambda one: one["map"], default=None)
    if newest is not None and newest["unowned"]:
        click.echo(f"without an owner or with too few backups: {', '.join(map(str, newest['unowned']))}")
    for one in found.values():
        for key in one["in_doubt"] if one is not None else ():
            click.echo(f"in doubt at {one['member']}: {key}")


@fleet.command()
@FILE_OPTION
@JSON_OPTION
def limits(path: Path, as_json: bool) -> None:
    """Show tenants' limits over the fleet: what each member may spend alone, what is out, and what that locks up.

    Read from the members, changes nothing. At worst a limit's members that do not answer have spent all they hold.
    """
    found = {name: one for name, one in query_members(path, "status").items() if one is not None and "limits" in one}
    if as_json:
        click.echo(
            json.dumps(
                {name: {what: one[what] for what in ("limits", "granted")} for name, one in found.items()}, indent=1
            )
        )
        return
    for name, one in found.items():
        for row in one["granted"]:
            out = ", ".join(f"{holder} {units}" for holder, units in sorted(row["out"].items()))
            click.echo(
                f"{row['limit']}, window until {_format_time(row['until'])}: {sum(row['out'].values())} out, "
                f"granted by {name}: {out}"
            )
    for name, one in found.items():
        for row in one["limits"]:
            click.echo(
                f"  {name}: {row['limit']}, window until {_format_time(row['until'])}: {row['spent']} of "
                f"{row['may_spend']} spent, cap {row['cap']}, {row['waiting']} wait"
            )


@fleet.command()
@FILE_OPTION
@JSON_OPTION
def rates(path: Path, as_json: bool) -> None:
    """Show tenants' rates over the fleet: each member's share, its demand, and how long its lease lasts."""
    found = {
        name: one["rates"] for name, one in query_members(path, "status").items() if one is not None and "rates" in one
    }
    if as_json:
        click.echo(json.dumps(found, indent=1))
        return
    for name, rows in found.items():
        for row in rows:
            click.echo(
                f"{row['tenant']}: {name} has {row['share']:g} of {row['rate']:g} a second, is asked for "
                f"{row['demand']:g}, lease {row['lease_ms']} ms"
            )


@fleet.command()
@FILE_OPTION
@JSON_OPTION
def verdicts(path: Path, as_json: bool) -> None:
    """Show what members have heard of servers, whom they convict, and what operators have paused."""
    found = {name: one for name, one in query_members(path, "status").items() if one is not None and "verdicts" in one}
    if as_json:
        click.echo(
            json.dumps(
                {
                    name: {what: one[what] for what in ("verdicts", "convicted", "orders")}
                    for name, one in found.items()
                },
                indent=1,
            )
        )
        return
    for name, one in found.items():
        for row in one["verdicts"]:
            click.echo(
                f"{name} knows: {row['witness']} speaks {'against' if row['against'] else 'for'} {row['kind']} "
                f"{row['name']} ({row['good']} good, {row['bad']} bad, {row['age_ms']} ms ago)"
            )
        for subject in one["convicted"]:
            click.echo(f"{name} leaves out: {subject}")
        for row in one["orders"]:
            until = f" until {_format_time(row['until'])}" if row["until"] else ""
            click.echo(
                f"{name}: {row['kind']} {row['name']} {'paused' if row['on'] else 'on'}{until}, by "
                f"{row['who']}: {row['why']}"
            )


def _send_order(path: Path, cls: str, on: bool, seconds: float, who: str, why: str) -> None:
    """Have a member take an order; it tells the others."""
    text = json.dumps({"kind": "class", "name": cls, "on": on, "seconds": seconds, "who": who, "why": why})
    name, members = _load_members(path)
    for to, address in members.items():
        reply = asyncio.run(_query_member(name, to, address, "order", text))
        if reply is not None and "error" in reply:
            raise click.ClickException(reply["error"])
        if reply is not None:
            click.echo(f"class {cls}: {'paused' if on else 'lifted'} at {reply['member']}, which tells the others")
            return
    raise click.ClickException("no member answers")


WHO_OPTION = click.option("--who", required=True, help="Who decides, for the log.")
WHY_OPTION = click.option("--why", required=True, help="Why, for the log.")


@fleet.command()
@click.argument("cls")
@click.option("--for", "seconds", default=0.0, show_default=True, help="Seconds; 0: until it is lifted.")
@WHO_OPTION
@WHY_OPTION
@FILE_OPTION
def pause(cls: str, seconds: float, who: str, why: str, path: Path) -> None:
    """Have all members refuse a class, with the time to come back in."""
    _send_order(path, cls, True, seconds, who, why)


@fleet.command()
@click.argument("cls")
@WHO_OPTION
@WHY_OPTION
@FILE_OPTION
def lift(cls: str, who: str, why: str, path: Path) -> None:
    """End a pause."""
    _send_order(path, cls, False, 0.0, who, why)


def _format_time(unix: int) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(unix))


@fleet.command()
@click.argument("key")
@FILE_OPTION
def explain(key: str, path: Path) -> None:
    """Show who owned a key when, and what each member knows of its runs."""
    found = {
        name: one for name, one in query_members(path, "explain", key).items() if one is not None and "epoch" in one
    }
    if not found:
        raise click.ClickException("no member answers, or none knows who owns what")
    newest = max(found.values(), key=lambda one: one["epoch"])
    click.echo(
        f"{key}: partition {newest['partition']}, epoch {newest['epoch']}, owner {newest['owner'] or 'nobody'}, "
        f"backups {', '.join(newest['backups']) or 'none'}"
    )
    epochs = {(epoch, owner): at for one in found.values() for at, epoch, owner in one["epochs"]}
    for (epoch, owner), at in sorted(epochs.items()):
        click.echo(f"  epoch {epoch} since {time.strftime('%H:%M:%S', time.gmtime(at / 1e6))}: {owner or 'nobody'}")
    for name, one in found.items():
        for run in one["runs"]:
            click.echo(
                f"  {name} knows: run {run['run']} of {run['class']}, {run['standing']}, at {run['ran_at'] or '?'}"
            )
        if one["lost"]:
            click.echo(f"  {name} knows that records were lost: what it does not name is in doubt")


@fleet.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--members", "size", type=click.IntRange(3, 24), default=5, show_default=True)
@click.option("--seconds", type=click.FloatRange(3, 120), default=12.0, show_default=True)
@click.option("--rate", type=click.FloatRange(1, 200), default=15.0, show_default=True, help="Charges a second.")
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice(["kill", "lose", "stop", "cut", "one-way", "loss", "heal", "restart"]),
    help="Only these faults; may be repeated.",
)
@click.option(
    "--servers",
    type=click.IntRange(0, 10),
    default=0,
    show_default=True,
    help="New servers: the members are translators then, whose lists differ.",
)
@click.option(
    "--cap",
    type=click.IntRange(0, 100_000),
    default=0,
    show_default=True,
    help="All charges are one tenant's, who may spend so many over the fleet.",
)
def drill(seed: int, size: int, seconds: float, rate: float, kinds: tuple[str, ...], servers: int, cap: int) -> None:
    """Start a fleet on this machine, make trouble, and show what came of it. Exit code 1 if a promise was broken."""
    from sagetrestle.lab.campaign import campaign

    async def run() -> Any:
        task = asyncio.ensure_future(
            campaign(seed, size, seconds, rate, kinds=kinds, servers=servers, cap=0 if servers else cap)
        )
        while not task.done():
            click.echo(".", nl=False)
            await asyncio.wait([task], timeout=1.0)
        click.echo()
        return await task

    report = asyncio.run(run())
    click.echo(f"seed {seed}: {report.findings.line()}")
    click.echo(
        f"faults: {', '.join(f'{kind} {count}' for kind, count in sorted(report.faults.items())) or 'none'}; "
        f"{report.refused_epochs} commands of an old epoch refused; "
        f"a charge took {report.point(0.5):.2f} s (p50), {report.point(0.99):.2f} s (p99)"
    )
    broken = list(report.findings.broken)
    if report.cap:
        click.echo(f"cap {report.cap}: {report.runs} ran")
        broken += [f"{report.over} over the cap"] if report.over else []
    for one in broken:
        click.echo(f"BROKEN {one}")
    sys.exit(bool(broken))
