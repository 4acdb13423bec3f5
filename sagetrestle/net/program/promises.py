"""Reads ``deploy/promises.toml``: the regions of servers, and the service level objectives of tenants.

Imported only where the file exists, beside a ``fleet.toml`` with ``[overload]`` (docs/fleet.md, "Promises").
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from sagetrestle.file_decoding import decode_file
from sagetrestle.objectives.values import ANY, ObjectiveConfig, Objective, Region

MS = 1_000
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,63}$")]


class PromisesFileError(ValueError):
    """An invalid file; the message names the file and the field."""


class RegionRow(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One region, with its servers by their names in ``translate.toml``."""

    name: Name
    servers: Annotated[list[str], msgspec.Meta(min_length=1, max_length=4_000)]
    cost: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 1.0
    residency: str = ""


class PromiseRow(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One objective. ``class`` may be ``*``; ``residency`` excludes the regions that keep data elsewhere."""

    tenant: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    cls: Annotated[str, msgspec.Meta(min_length=1, max_length=64)] = msgspec.field(name="class")
    share: Annotated[float, msgspec.Meta(gt=0, lt=1)]
    target_ms: Annotated[int, msgspec.Meta(ge=1, le=120_000)]
    window_s: Annotated[int, msgspec.Meta(ge=10, le=2_678_400)]
    regions: Annotated[list[Name], msgspec.Meta(min_length=1, max_length=64)]
    residency: list[str] = []
    otherwise: Literal["best", "refuse"] = "best"
    worth: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1.0


class PromisesFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The file, which must be the same at all members."""

    regions: Annotated[list[RegionRow], msgspec.Meta(min_length=1, max_length=64)]
    promises: Annotated[list[PromiseRow], msgspec.Meta(max_length=100_000)] = []


def load_promises(path: Path, servers: Iterable[str], classes: Iterable[str]) -> ObjectiveConfig:
    """Read and check the file for these servers and classes. Raises PromisesFileError."""
    try:
        file: PromisesFile = decode_file(path.read_bytes(), PromisesFile, "toml", PromisesFileError)
        return _build_config(file, list(servers), set(classes))
    except (OSError, PromisesFileError) as error:
        raise PromisesFileError(f"{path.name}: {error}") from None


def _build_config(file: PromisesFile, servers: list[str], classes: set[str]) -> ObjectiveConfig:
    region_of: dict[str, str] = {}
    names = {region_row.name for region_row in file.regions}
    if len(names) < len(file.regions):
        raise PromisesFileError("regions: a name occurs twice")
    for region in file.regions:
        for name in region.servers:
            if name in region_of:
                raise PromisesFileError(f"regions: {region.name}: server {name!r} is in {region_of[name]} as well")
            if name not in servers:
                raise PromisesFileError(f"regions: {region.name}: server {name!r} is not in translate.toml")
            region_of[name] = region.name
    if unassigned := [name for name in servers if name not in region_of]:
        raise PromisesFileError(f"regions: server {unassigned[0]!r} is in no region")
    residency_of = {region_row.name: region_row.residency for region_row in file.regions}
    promises: dict[tuple[str, str], Objective] = {}
    for index, row in enumerate(file.promises):
        if unknown := [name for name in row.regions if name not in names]:
            raise PromisesFileError(f"promises[{index}].regions: {unknown[0]!r} is not a region")
        if row.cls != ANY and row.cls not in classes:
            raise PromisesFileError(f"promises[{index}].class: {row.cls!r} is not a class of translate.toml")
        if (row.tenant, row.cls) in promises:
            raise PromisesFileError(f"promises[{index}]: tenant {row.tenant} has two promises for class {row.cls}")
        regions = tuple(
            dict.fromkeys(name for name in row.regions if not row.residency or residency_of[name] in row.residency)
        )
        if not regions:
            raise PromisesFileError(f"promises[{index}].residency: excludes all of its regions")
        promises[(row.tenant, row.cls)] = Objective(
            row.tenant,
            row.cls,
            row.share,
            row.target_ms * MS,
            row.window_s * 1_000_000,
            regions,
            row.otherwise == "refuse",
            row.worth,
        )
    return ObjectiveConfig(
        tuple(
            Region(region_row.name, tuple(region_row.servers), region_row.cost, region_row.residency)
            for region_row in file.regions
        ),
        promises,
    )
