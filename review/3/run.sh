#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the jump in traffic out.
cd "$(dirname "$0")" || exit 2
exec ../../.venv/bin/python -B case.py
