"""What every measurement says of itself: machine, revision, Python."""

from __future__ import annotations

import platform
import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent


def heading(size: str) -> str:
    """Return the line that stands over a measurement."""
    revision = subprocess.run(["git", "describe", "--always", "--dirty"], cwd=ROOT, capture_output=True, text=True)
    model = next(
        (
            line.partition(":")[2].strip()
            for line in Path("/proc/cpuinfo").read_text().splitlines()
            if line.startswith("model name")
        ),
        platform.machine(),
    )
    return (
        f"{model}, {platform.python_implementation()} {platform.python_version()}, revision "
        f"{revision.stdout.strip()}; {size}"
    )


def spread(values: list[float]) -> str:
    """Return median, least and most."""
    ordered = sorted(values)
    return f"{ordered[len(ordered) // 2]:.1f} ({ordered[0]:.1f} to {ordered[-1]:.1f})"
