"""The program with a clock of its own: ``python -m sagetrestle.lab.clocked RATE`` runs ``RATE`` seconds in one.

The clock seam is replaced before the program is loaded; the time of day stays the machine's.
"""

from __future__ import annotations

import sys
import time


def main() -> int:
    """Run the program by a clock that drifts."""
    rate, real = float(sys.argv.pop(1)), time.monotonic_ns
    start = real()
    time.monotonic_ns = lambda: start + int((real() - start) * rate)  # type: ignore[assignment]
    time.monotonic = lambda: time.monotonic_ns() / 1e9  # type: ignore[assignment]
    from sagetrestle.net.program.main import main as program

    return program()


if __name__ == "__main__":
    sys.exit(main())
