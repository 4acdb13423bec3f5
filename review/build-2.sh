#!/bin/sh
# Builds what the cases 6 to 10 start besides the deploy file's build: an environment with the optional parts' packages,
# in which translators and members of a fleet run, and the new servers' stand-in.
set -e
cd "$(dirname "$0")/.."
test -f review/.venv/ready || {
    python3 -m venv --clear review/.venv
    review/.venv/bin/pip -q install -r requirements-full.txt
    touch review/.venv/ready
}
review/.venv/bin/python -m compileall -q sagetrestle
