"""The mapping file: for each request class its name on the new side, and its fields in both directions.

Operators write the file; it has a version and is checked as a whole when it is loaded. Each field defines what happens
to a value that is missing or exceeds the old side's limits: ``refuse`` (the answer would not be faithful and is not
returned), ``default`` or ``cut``. Fields of the new side that the mapping does not have are dropped and reported.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec

from sagetrestle.file_decoding import decode_file

NAME = re.compile(r"[a-z][a-z0-9_-]{0,63}")
PATH = re.compile(r"[A-Za-z_][A-Za-z0-9_]{0,63}(\.[A-Za-z_][A-Za-z0-9_]{0,63}){0,7}")
Type = Literal["text", "integer", "decimal", "flag", "list"]


class MappingError(ValueError):
    """A mapping that cannot be used; the message names the field."""


class Field(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One field: its name on the old side, its path on the new side, and the old side's limits.

    ``missing`` and ``over`` define what happens to a missing value and to one longer than ``most``. ``join`` separates
    the items of a list on the old side; ``values`` maps words of the new side to words of the old side.
    """

    old: str
    new: str
    type: Type = "text"
    missing: Literal["refuse", "default", "omit"] = "refuse"
    default: str = ""
    over: Literal["refuse", "cut"] = "refuse"
    most: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 256
    least_value: int | None = None
    most_value: int | None = None
    join: str = ", "
    values: dict[str, str] = {}


class ClassMapping(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One class: its name on the new side, and the fields of requests and answers."""

    new: str
    request: list[Field] = []
    answer: list[Field] = []


class Mapping(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All classes; ``schema`` is the version of the new interface that the mapping was written for."""

    version: Annotated[int, msgspec.Meta(ge=1)]
    schema: Annotated[int, msgspec.Meta(ge=1)]
    classes: dict[str, ClassMapping]


def read_mapping(data: bytes, classes: frozenset[str] | None = None) -> Mapping:
    """Read a mapping (TOML); each of ``classes`` must be mapped. Raises MappingError."""
    mapping: Mapping = decode_file(data, Mapping, "toml", MappingError)
    for name, class_mapping in mapping.classes.items():
        _check_class(name, class_mapping)
    for name in sorted((classes or frozenset()) - set(mapping.classes)):
        raise MappingError(f"classes.{name}: not mapped")
    return mapping


def _check_class(name: str, class_mapping: ClassMapping) -> None:
    if not NAME.fullmatch(class_mapping.new):
        raise MappingError(f"classes.{name}.new: {class_mapping.new!r}: not a name")
    for part, fields in (("request", class_mapping.request), ("answer", class_mapping.answer)):
        for side in ("old", "new"):
            names = [getattr(field, side) for field in fields]
            duplicates = {each for each in names if names.count(each) > 1}
            if duplicates:
                raise MappingError(
                    f"classes.{name}.{part}: duplicate name {sorted(duplicates)[0]!r} on the {side} side"
                )
        paths = [field.new for field in fields]
        for path in paths:
            nested = [other for other in paths if other.startswith(f"{path}.")]
            if nested:
                raise MappingError(f"classes.{name}.{part}: {path!r} is a value and cannot contain {nested[0]!r}")
        for index, field in enumerate(fields):
            _check_field(f"classes.{name}.{part}[{index}]", field)


def _check_field(where: str, field: Field) -> None:
    if not NAME.fullmatch(field.old):
        raise MappingError(f"{where}.old: {field.old!r}: not a name")
    if not PATH.fullmatch(field.new):
        raise MappingError(f"{where}.new: {field.new!r}: not a path")
    if field.over == "cut" and field.type not in ("text", "list"):
        raise MappingError(f"{where}.over: only text can be cut")
    if len(field.default) > field.most:
        raise MappingError(f"{where}.default: longer than most")
    low, high = field.least_value, field.most_value
    if low is not None and high is not None and low > high:
        raise MappingError(f"{where}.least_value: above most_value")
