#!/bin/sh
# Run after the deploy file's build. The stand-ins are plain Python on the standard library: there is nothing to compile,
# so this only looks whether all that the scripts start is there.
set -e
cd "$(dirname "$0")"
test -x ../.venv/bin/python
../.venv/bin/python -B -c '
import ast, pathlib, sys
import twisted, orjson
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
'
