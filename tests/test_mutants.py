"""The list of named mutants applies to the tree as it is."""

from __future__ import annotations

import ast
import unittest

from benchmarks.mutants import MUTANTS, ROOT


class ListOfMutants(unittest.TestCase):
    """Each mutant replaces text that its file has exactly once, and leaves a file that Python can parse."""

    def test_each_mutant_applies(self) -> None:
        for mutant in MUTANTS:
            with self.subTest(mutant.name):
                text = (ROOT / mutant.file).read_text()
                self.assertEqual(1, text.count(mutant.old), mutant.file)
                ast.parse(text.replace(mutant.old, mutant.new))


if __name__ == "__main__":
    unittest.main()
