"""The journal with real fsync: commits, latency, recovery, bytes: python -m benchmarks.journal [--entries N]."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from benchmarks.machine import heading
from sagetrestle.recovery.effects import EffectRecord, RecordKind, replay
from sagetrestle.store.journal import Journal

RESULT = b"applicant=Mona\nscore=417\ngrade=C\nnotes=rent paid; no claims\nfee=12.50\n"


def pair(number: int) -> list[EffectRecord]:
    key = f"{number:064x}"
    return [
        EffectRecord(RecordKind.INTENT, key, number, "n3", 1_796_143_092_431, b"paid-check"),
        EffectRecord(RecordKind.OUTCOME, key, number, result=RESULT),
    ]


def commits(folder: Path, group: int, seconds: float) -> None:
    journal = Journal(folder / f"g{group}", 1 << 30)
    taken, number, start = HdrHistogram(1, 60_000_000, 3), 0, time.perf_counter()
    while time.perf_counter() - start < seconds:
        entries = [one for at in range(number, number + group) for one in pair(at)][:group]
        number += group
        before = time.perf_counter()
        journal.append(entries)
        taken.record_value(max(1, int((time.perf_counter() - before) * 1e6)))
    rate = taken.get_total_count() / seconds
    points = ", ".join(f"p{at} {taken.get_value_at_percentile(at) / 1000:.2f} ms" for at in (50, 99, 99.9))
    print(f"  groups of {group}: {rate:.0f} commits a second, {rate * group:.0f} entries a second; {points}")
    journal.close()


def recovery(folder: Path, entries: int) -> None:
    path = folder / "large"
    journal = Journal(path, 4 << 30)
    for start in range(0, entries // 2, 5_000):
        journal.append([one for at in range(start, start + 5_000) for one in pair(at)])
    size = journal.size()
    journal.close()
    before = time.perf_counter()
    journal = Journal(path, 4 << 30)
    read = journal.read(0)
    middle = time.perf_counter()
    table, faults = replay(read.entries, 1 << 60)
    after = time.perf_counter()
    living = table.snapshot_records(0)
    journal.compact(living[: len(living) // 10])
    done = time.perf_counter()
    each = size / len(read.entries)
    print(
        f"  {len(read.entries)} entries, {each:.0f} bytes an entry: read in {middle - before:.1f} s, "
        f"replayed in {after - middle:.1f} s, {len(faults)} faults; a snapshot of a tenth in {done - after:.1f} s"
    )


@click.command()
@click.option("--entries", default=1_000_000, show_default=True)
@click.option("--seconds", default=3.0, show_default=True)
def main(entries: int, seconds: float) -> None:
    """Print all measurements."""
    print(heading("real fsync on this machine's disk"))
    with tempfile.TemporaryDirectory(dir=".") as name:
        for group in (1, 8, 64, 256):
            commits(Path(name), group, seconds)
        recovery(Path(name), entries)


if __name__ == "__main__":
    main()
