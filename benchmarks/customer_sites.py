"""Write the sites of other customers: the platform's site with the overrides of a file in ``deploy/sites``.

Each whole site goes into a folder of its own that git ignores, beside links to the files that belong to the
platform's site::

    python benchmarks/customer_sites.py ../given/kit/sites/cairo-main.toml

prints the path of each site written, to be given to the acceptance bench.
"""

from __future__ import annotations

import sys
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import tomli_w

ROOT = Path(__file__).resolve().parent.parent
OVERRIDES = ROOT / "deploy" / "sites"
OUTPUT = ROOT / "found" / "sites"


def merge(base: Mapping[str, Any], override: Mapping[str, Any]) -> dict[str, Any]:
    """Return ``base`` with ``override`` laid over it.

    Tables are merged key by key; every other value, lists of tables included, is replaced whole. A table laid over a
    list of tables is merged into each of them.
    """
    merged = dict(base)
    for key, value in override.items():
        below = merged.get(key)
        if isinstance(value, Mapping) and isinstance(below, Mapping):
            merged[key] = merge(below, value)
        elif isinstance(value, Mapping) and isinstance(below, list):
            merged[key] = [merge(entry, value) for entry in below]
        else:
            merged[key] = value
    return merged


def write_site(platform_site: Path, override_file: Path, output: Path) -> Path:
    """Write one customer's whole site into a folder under ``output``, and return its path."""
    folder = output / override_file.stem
    folder.mkdir(parents=True, exist_ok=True)
    for companion in platform_site.parent.iterdir():
        link = folder / companion.name
        if companion.name != platform_site.name and not link.exists():
            link.symlink_to(companion.resolve())
    base = tomllib.loads(platform_site.read_text())
    override = tomllib.loads(override_file.read_text())
    site = folder / override_file.name
    site.write_text(tomli_w.dumps(merge(base, override)))
    return site


def main(arguments: list[str]) -> int:
    """Write every customer's site and print where each lies."""
    if len(arguments) != 1:
        print("usage: customer_sites.py PLATFORM_SITE.toml", file=sys.stderr)
        return 2
    for override_file in sorted(OVERRIDES.glob("*.toml")):
        print(write_site(Path(arguments[0]), override_file, OUTPUT))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
