"""Tests that are known to fail for a real fault: ``KNOWN-RED.txt`` at the root, read strictly.

One line a test: its id, the cause and the issue, parted by ``|``. Such a test still runs and is printed with its
outcome; its failure does not fail the run. Anything wrong with the file does: a line of another form, a test that
does not exist, and more lines than are allowed.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_ENTRIES = 3


class KnownRedError(Exception):
    """The file can not be used; the text names the line."""


class KnownRed(NamedTuple):
    """One test that is known to fail."""

    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> dict[str, KnownRed]:
    """Return the entries of the file by test id; raise ``KnownRedError`` for what can not be used."""
    entries: dict[str, KnownRed] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != len(KnownRed._fields) or not all(fields):
            raise KnownRedError(f"KNOWN-RED.txt:{number}: not TEST | CAUSE | ISSUE")
        if fields[0] in entries:
            raise KnownRedError(f"KNOWN-RED.txt:{number}: {fields[0]} stands twice")
        entries[fields[0]] = KnownRed(*fields)
    if len(entries) > MOST_ENTRIES:
        raise KnownRedError(f"KNOWN-RED.txt: {len(entries)} entries, {MOST_ENTRIES} at most")
    return entries


def missing_tests(entries: dict[str, KnownRed], collected: set[str], root: Path) -> list[str]:
    """Return the entries whose test does not exist: those of files that were collected, and of files that are gone."""
    files = {test.partition("::")[0] for test in collected}
    return [
        test
        for test in entries
        if test not in collected
        and (test.partition("::")[0] in files or not (root / test.partition("::")[0]).is_file())
    ]
