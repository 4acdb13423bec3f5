"""A fleet under strain in memory, beside today's: python -m benchmarks.strain [--seeds 3]. Prints tables and seeds."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import median

import click

from benchmarks.machine import heading
from sagetrestle.lab.capacity import Flaps
from sagetrestle.lab.memory import play_alone
from sagetrestle.lab.story import CallerTerms, Findings, Phase, Story

BASE = {"partitions": 8, "new": True, "verdicts": True}
BEFORE_S, DURING_S, AFTER_S = 2, 5, 8


def overload(members: int, servers: int, times: float, retries: int, on: bool, seed: int) -> Story:
    """Return a story of an overload."""
    story = Story(
        members=members,
        servers=servers,
        seed=seed,
        terms=CallerTerms(retries=retries, charges=0.1),
        fleet={**BASE, **({"overload": {}} if on else {})},
    )
    story.phases = [
        Phase(BEFORE_S, 0.75 * story.bears),
        Phase(DURING_S, times * story.bears),
        Phase(AFTER_S, 0.75 * story.bears),
    ]
    return story


def flapping(members: int, on: bool, seed: int) -> Story:
    """Return a story of one of four servers that is bad 1 s in 4."""
    story = Story(
        members=members,
        servers=4,
        seed=seed,
        terms=CallerTerms(retries=0),
        fleet={**BASE, **({"overload": {}, "damping": {}} if on else {})},
        flaps={"s0": Flaps(1.0, 3.0, 1.0)},
    )
    story.phases = [Phase(24.0, 60.0)]
    return story


def dead(members: int, on: bool, seed: int) -> Story:
    """Return a story of one of four servers that fails for good."""
    story = flapping(members, on, seed)
    story.flaps = {"s0": Flaps(1e9, 1.0, 1.0)}
    story.phases = [Phase(8.0, 60.0)]
    return story


def played(stories: list[Story]) -> list[Findings]:
    """Play stories side by side, as many as there are cores to spare."""

    def one(story: Story) -> Findings:
        with tempfile.TemporaryDirectory() as folder:
            return play_alone(story, Path(folder))

    with ThreadPoolExecutor(3) as pool:
        return list(pool.map(one, stories))


def middle(found: list[Findings], value: Callable[[Findings], float]) -> float:
    """Return the median over seeds."""
    return median(value(one) for one in found)


def whole_after(one: Findings) -> float:
    """Return the seconds from the end of the cause to the first second from which on 99% are served, 99 for never."""
    first = BEFORE_S + DURING_S
    for at in range(first, first + AFTER_S):
        if all(one.seen.share(later, later + 1) >= 0.97 for later in range(at, first + AFTER_S)):
            return at - first
    return 99


def row(found: list[Findings], bears: float) -> str:
    """Return the figures of an overload, medians over seeds."""
    start, end = BEFORE_S + 1, BEFORE_S + DURING_S
    served = middle(found, lambda one: one.seen.served(start, end) / (end - start) / bears)
    tries = middle(found, lambda one: one.sent() / sum(one.seen.first.values()))
    charges = middle(found, lambda one: one.seen.charges["served"] / max(1, sum(one.seen.charges.values())))
    return (
        f"{served:.2f} | {middle(found, whole_after):.0f} | {tries:.2f} | {charges:.2f} | "
        f"{sum(len(one.doubled) for one in found)}, {sum(len(one.lost) for one in found)}"
    )


@click.command()
@click.option("--seeds", default=3)
def main(seeds: int) -> None:
    """Print the tables."""
    print(heading(f"strain in memory, medians of seeds 1 to {seeds}"))
    print(
        "members servers times retries on | of what servers bear, in time | seconds to 97% again | "
        "tries at servers a first one | charges served | twice, lost"
    )
    for members, servers, times, retries in (
        (4, 3, 1.3, 1),
        (4, 3, 2.0, 3),
        (4, 3, 4.0, 3),
        (12, 3, 2.0, 1),
        (20, 12, 2.0, 1),
    ):
        for on in (False, True):
            stories = [overload(members, servers, times, retries, on, seed) for seed in range(1, seeds + 1)]
            found, bears = played(stories), stories[0].bears
            print(
                f"{members:3} {servers:3} {times:4} {retries} {'on ' if on else 'off'} | {row(found, bears)}",
                flush=True,
            )
    print("members on | requests while bad, in 24 s | its part of all work | served || dead: requests in the 7 s after")
    for members in (4, 20):
        for on in (False, True):
            found = played([flapping(members, on, seed) for seed in range(1, seeds + 1)])
            gone = played([dead(members, on, seed) for seed in range(1, seeds + 1)])
            print(
                f"{members:3} {'on ' if on else 'off'} | "
                f"{middle(found, lambda one: one.servers['s0'].bad_requests):.0f} | "
                f"{middle(found, lambda one: one.servers['s0'].good / sum(s.good for s in one.servers.values())):.3f}"
                f" | {middle(found, lambda one: one.seen.share(0, 24)):.3f} || "
                f"{middle(gone, lambda one: one.servers['s0'].bad_requests):.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
