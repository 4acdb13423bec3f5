"""Settings for all tests: Hypothesis gives the same verdict every time, and event loops are as the program has them.

``IsolatedAsyncioTestCase`` sets its loop to debug mode, which keeps a traceback for each handle. The relays and
stand-ins of the rig share that loop: it took a third of the processor time of a test of processes, and held up what
they relay.
"""

import asyncio
import gc
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings

from tests.known_red import KNOWN_RED_FILE, KnownRed, KnownRedError, missing_tests, read_known_red

settings.register_profile("steady", derandomize=True, deadline=None, database=None, max_examples=60)
settings.load_profile("steady")


class PlainLoops(asyncio.DefaultEventLoopPolicy):
    """Event loops that stay out of debug mode."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Return a loop on which debug mode can not be set."""
        loop = super().new_event_loop()
        loop.set_debug = lambda enabled: None  # type: ignore[method-assign]
        return loop


asyncio.set_event_loop_policy(PlainLoops())

KNOWN_RED = pytest.StashKey[dict[str, KnownRed]]()
EXCUSED = "known_red"  # the property of a report whose failure does not fail the run


def pytest_configure(config: pytest.Config) -> None:
    """Read the list of tests that are known to fail; one that can not be used ends the run."""
    try:
        text = KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else ""
        config.stash[KNOWN_RED] = read_known_red(text)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None


class MissingTest(pytest.Item):
    """Fails in place of a listed test that does not exist; so the run fails whichever process collects."""

    def runtest(self) -> None:
        """Name the test."""
        raise KnownRedError(f"KNOWN-RED.txt: no such test: {self.name}")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(session: pytest.Session, config: pytest.Config, items: list[pytest.Item]) -> None:
    """Refuse a list that names a test which does not exist, unless single tests were asked for."""
    if not any("::" in argument for argument in config.args):
        collected = {item.nodeid for item in items}
        missing = missing_tests(config.stash[KNOWN_RED], collected, Path(str(config.rootpath)))
        items.extend(MissingTest.from_parent(session, name=test) for test in missing)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Iterator[Any]:
    """Have the failure of a listed test read as an expected one.

    The collector rests meanwhile: an object whose end raises an error while pytest parses a source for the report makes
    Python 3.11 raise a SystemError there, which ended the process and hid the failure.
    """
    gc.disable()
    try:
        report = yield
    finally:
        gc.enable()
    entry = item.config.stash[KNOWN_RED].get(item.nodeid)
    if entry is not None and report.failed:
        report.outcome, report.wasxfail = "skipped", f"{entry.cause} ({entry.issue})"
    return report


def pytest_terminal_summary(terminalreporter: Any, config: pytest.Config) -> None:
    """Print each listed test with what became of it."""
    for test, entry in config.stash[KNOWN_RED].items():
        outcomes = [
            outcome
            for outcome, reports in terminalreporter.stats.items()
            if outcome
            and any(
                getattr(report, "nodeid", "") == test and getattr(report, "when", "") == "call" for report in reports
            )
        ]
        terminalreporter.write_line(
            f"KNOWN RED {test}: {', '.join(outcomes) or 'not run'}; {entry.cause} ({entry.issue})"
        )
