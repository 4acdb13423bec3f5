"""The list of tests that are known to fail: what it excuses, and what it refuses."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests import known_red

ROOT = Path(__file__).parent.parent
TESTS = """
import unittest

class RedTest(unittest.TestCase):
    def test_fails(self):
        self.fail("the fault")

    def test_fails_in_a_subtest(self):
        with self.subTest(1):
            self.fail("the fault")

    def test_passes(self):
        pass
"""
FAILS, IN_SUBTEST = "tests/test_red.py::RedTest::test_fails", "tests/test_red.py::RedTest::test_fails_in_a_subtest"
PASSES = "tests/test_red.py::RedTest::test_passes"


class RunTest(unittest.TestCase):
    """A run of pytest over a tree of its own, with the project's settings."""

    def run_with(self, listed: str, *arguments: str) -> tuple[int, str]:
        """Run the tests above with a list, and return the exit code and what was printed."""
        root = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (root / "tests").mkdir()
        (root / "tests" / "__init__.py").write_text("")
        for name in ("conftest.py", "known_red.py"):
            (root / "tests" / name).write_text((ROOT / "tests" / name).read_text())
        (root / "pyproject.toml").write_text((ROOT / "pyproject.toml").read_text())
        (root / "tests" / "test_red.py").write_text(TESTS)
        (root / "KNOWN-RED.txt").write_text(listed)
        command = [sys.executable, "-B", "-m", "pytest", *arguments]
        got = subprocess.run(command, cwd=root, capture_output=True, text=True)
        return got.returncode, got.stdout + got.stderr

    def test_listed_failures_are_printed_and_excused_and_no_others(self):
        for arguments in ((), ("-n", "2")):
            with self.subTest(arguments):
                listed = f"{FAILS} | a fault | issue 1\n{IN_SUBTEST} | another | issue 2\n"
                code, printed = self.run_with(listed, *arguments)
                self.assertEqual(0, code, printed)
                self.assertIn(f"KNOWN RED {FAILS}: xfailed; a fault (issue 1)", printed)
                self.assertIn(f"KNOWN RED {IN_SUBTEST}: ", printed)
                self.assertIn("2 xfailed", printed)
                code, printed = self.run_with(f"{FAILS} | a fault | issue 1\n", *arguments)
                self.assertEqual(1, code, printed)

    def test_a_listed_test_that_passes_is_printed_as_such(self):
        code, printed = self.run_with(f"{PASSES} | mended? | issue 1\n", "-k", "passes")
        self.assertEqual(0, code, printed)
        self.assertIn(f"KNOWN RED {PASSES}: passed", printed)

    def test_a_list_that_can_not_be_used_fails_the_run(self):
        four = "".join(f"tests/test_red.py::RedTest::test_{at} | a | b\n" for at in range(4))
        for listed, says in (
            (f"{FAILS} | only a cause\n", "not TEST"),
            (four, "4 entries, 3 at most"),
            (f"{FAILS}x | a | b\n", "no such test"),
            ("tests/gone.py::T::t | a | b\n", "no such test"),
            (f"{FAILS} | a | b\n{FAILS} | a | b\n", "twice"),
        ):
            for arguments in ((), ("-n", "2")):
                with self.subTest(says, arguments=arguments):
                    code, printed = self.run_with(listed, *arguments)
                    self.assertNotEqual(0, code, printed)
                    self.assertIn(says, printed)


class ListTest(unittest.TestCase):
    """The project's own list."""

    def test_it_can_be_read(self):
        known_red.read_known_red(known_red.KNOWN_RED_FILE.read_text())
