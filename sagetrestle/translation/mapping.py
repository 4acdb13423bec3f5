"""Mappings as data: for each class the new side's name, and its fields both ways.

A mapping is a file of the operators' with a version, checked whole as it is loaded. Each field says what becomes of a
value that is missing, of another type, or past the old side's limits: ``refuse`` (the answer is not faithful and is
not given), ``default`` or ``cut``. What the new side has beyond the mapping is dropped and named.
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
    """A mapping that can not be used; the text names the field."""


class Field(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One field: its name on the old side, its path on the new, and the old side's limits.

    ``missing`` and ``over`` say what becomes of one that is not there, and of one past its limits. ``join`` makes one
    text of a list; ``values`` puts one word in place of another, by the new side's.
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
    """One class: what the new side calls it, and the fields of requests and answers."""

    new: str
    request: list[Field] = []
    answer: list[Field] = []


class Mapping(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All classes at one version; ``schema`` is the new interface's that it was written for."""

    version: Annotated[int, msgspec.Meta(ge=1)]
    schema: Annotated[int, msgspec.Meta(ge=1)]
    classes: dict[str, ClassMapping]


def read_mapping(data: bytes, classes: frozenset[str] | None = None) -> Mapping:
    """Read a mapping (TOML). With ``classes`` each of them must be mapped. Raises MappingError."""
    found: Mapping = decode_file(data, Mapping, "toml", MappingError)
    for name, one in found.classes.items():
        _check_class(name, one)
    for name in sorted((classes or frozenset()) - set(found.classes)):
        raise MappingError(f"classes.{name}: is not mapped")
    return found


def _check_class(name: str, one: ClassMapping) -> None:
    if not NAME.fullmatch(one.new):
        raise MappingError(f"classes.{name}.new: {one.new!r}: not a name")
    for part, fields in (("request", one.request), ("answer", one.answer)):
        for side in ("old", "new"):
            names = [getattr(field, side) for field in fields]
            twice = {each for each in names if names.count(each) > 1}
            if twice:
                raise MappingError(f"classes.{name}.{part}: {sorted(twice)[0]!r} comes twice on the {side} side")
        paths = [field.new for field in fields]
        for path in paths:
            inner = [other for other in paths if other.startswith(f"{path}.")]
            if inner:
                raise MappingError(f"classes.{name}.{part}: {path!r} is a value and holds {inner[0]!r}")
        for at, field in enumerate(fields):
            _check_field(f"classes.{name}.{part}[{at}]", field)


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
