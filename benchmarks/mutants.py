"""Named mutants of the program and the tests that must turn red: python -m benchmarks.mutants [NAME ...].

Each mutant is one change of one file, made in a copy of the tree; it is caught where the named tests fail there. The
tests pass on the tree as it is, or nothing is proven: that is looked at first. A mutant whose text is no longer found
is an error, so the list can not go stale unseen.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import click

from benchmarks.machine import heading

ROOT = Path(__file__).parent.parent


class Mutant(NamedTuple):
    """One change: ``old`` becomes ``new`` in ``file``; ``tests`` are what catches it, as pytest takes them."""

    name: str
    file: str
    old: str
    new: str
    tests: tuple[str, ...]


COUNCIL = ("tests/consensus",)
JOURNAL = ("tests/store/test_journal.py", "tests/recovery/test_effects.py")
MUTANTS = (
    Mutant("a spoilt key freed", "sagetrestle/store/journal.py", "entries.append(Entry(Kind.LOST, key, now_us))",
           "pass", JOURNAL),
    Mutant("entries behind one that can not be decoded dropped", "sagetrestle/store/journal.py",
           "                    lose(key.decode(errors=\"replace\"))\n",
           "                    lose(key.decode(errors=\"replace\"))\n                    break\n", JOURNAL),
    Mutant("a gap in the numbers not looked at", "sagetrestle/store/journal.py", "if seq != last + 1:", "if False:",
           JOURNAL),
    Mutant("a spoilt key believed", "sagetrestle/store/journal.py", "if key_sum == _signed(key) else", "if key else",
           JOURNAL),
    Mutant("a loss forgotten in the snapshot", "sagetrestle/recovery/effects.py",
           'entries.append(Entry(Kind.LOST, "", self.lost_us))', "pass", JOURNAL),
    Mutant("a lost intent settled by the server of the one before", "sagetrestle/recovery/effects.py",
           "old if ended and old is not None else Effect(", "old if old is not None else Effect(", JOURNAL),
    Mutant("keys in doubt kept with their server through a loss", "sagetrestle/recovery/effects.py",
           "if one.standing in SETTLED}", "if one.standing is not Standing.FREE}", JOURNAL),
    Mutant("a vote not written before it is cast", "sagetrestle/consensus/core.py",
           "before = [*before, _stamp(state)]", "pass", COUNCIL),
    Mutant("a vote after amnesia", "sagetrestle/consensus/core.py",
           "if term > state.term or term == state.term and index > state.last[0]:", "if False:", COUNCIL),
    Mutant("a leader's lease counted from the answer", "sagetrestle/consensus/core.py",
           "state.rounds.get(answer.round, known.acked_us)", "now", COUNCIL),
    Mutant("a vote while a leader is heard", "sagetrestle/consensus/core.py",
           "sticky = state.role is Role.LEADER or now < least", "sticky = False", COUNCIL),
    Mutant("an entry of an earlier term committed by counting", "sagetrestle/consensus/core.py",
           "if index <= state.commit or state.at(index) != state.term:", "if index <= state.commit:", COUNCIL),
    Mutant("an acknowledgement before its write", "sagetrestle/consensus/core.py",
           "return state, [*before, *writes, Send(sender, Appended(state.term, True, index, message.round)), *applied]",
           "return state, [Send(sender, Appended(state.term, True, index, message.round)), *before, *writes, *applied]",
           COUNCIL),
    Mutant("two voters changed at once", "sagetrestle/consensus/core.py",
           "len(old ^ set(config.voters)) > 1", "False", COUNCIL),
    Mutant("a spoilt store used", "sagetrestle/store/votes.py",
           'if total != signed_sum(name.encode() + b"\\0" + data):', "if False:", ("tests/store/test_votes.py",)),
)


def failed(root: Path, tests: tuple[str, ...]) -> str:
    """Return the first test that fails there, or nothing."""
    got = subprocess.run([sys.executable, "-B", "-m", "pytest", "-x", *tests], cwd=root, capture_output=True, text=True)
    lines = [line for line in got.stdout.splitlines() if line.startswith(("FAILED", "SUBFAILED", "ERROR"))]
    return lines[0].partition("::")[2] if lines else "" if got.returncode == 0 else f"exit {got.returncode}"


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Print which mutants are caught, and by which test; exit code 1 if one is not."""
    chosen = [one for one in MUTANTS if not names or any(name in one.name for name in names)]
    print(heading(f"{len(chosen)} mutants"))
    for tests in sorted({one.tests for one in chosen}):
        if found := failed(ROOT, tests):
            raise click.ClickException(f"{found} fails without a mutant")
    caught = 0
    for one in chosen:
        with tempfile.TemporaryDirectory() as name:
            root = Path(name) / "tree"
            shutil.copytree(ROOT, root, ignore=shutil.ignore_patterns(".git", ".venv*", "journal", "__pycache__"))
            text = (root / one.file).read_text()
            if text.count(one.old) != 1:
                raise click.ClickException(f"{one.name}: {one.file} has its text {text.count(one.old)} times")
            (root / one.file).write_text(text.replace(one.old, one.new))
            found = failed(root, one.tests)
        caught += bool(found)
        print(f"  {'caught' if found else 'NOT CAUGHT'}: {one.name}{': ' + found if found else ''}", flush=True)
    print(f"  {caught} of {len(chosen)} caught")
    sys.exit(caught < len(chosen))


if __name__ == "__main__":
    main()
