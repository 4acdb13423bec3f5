r"""Conversion of values between the two sides; in both directions every value that is lost is reported.

The old side's bodies and results are lines of ``name=value`` in UTF-8, ended by a line feed; in a value a backslash,
a line feed and a carriage return are written as ``\\``, ``\\n`` and ``\\r``.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from decimal import Decimal, InvalidOperation
from typing import Any, NamedTuple

from sagetrestle.translation.mapping import ClassMapping, Field

MAX_LINES = 256
MAX_RESULT_BYTES = 4 * 1024  # octets; the old side's limit
INTEGER = re.compile(r"-?[0-9]{1,18}")
DECIMAL = re.compile(r"-?[0-9]{1,18}(\.[0-9]{1,18})?")
ESCAPED = re.compile(r"[\\\n\r]")
ESCAPES = {"\\": "\\\\", "\n": "\\n", "\r": "\\r"}
UNESCAPES = {"\\\\": "\\", "\\n": "\n", "\\r": "\r"}


class TranslationError(ValueError):
    """A value that cannot be converted; the message names the field and the reason."""


class Translation(NamedTuple):
    """The converted value, and one line for each value that was lost."""

    value: Any
    lost: tuple[str, ...]


def read_old(body: bytes) -> dict[str, str]:
    """Parse the old side's lines. Raises TranslationError."""
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError:
        raise TranslationError("body: not UTF-8") from None
    lines = text.split("\n")
    if lines[-1] == "":
        lines.pop()
    if len(lines) > MAX_LINES:
        raise TranslationError(f"body: more than {MAX_LINES} lines")
    values: dict[str, str] = {}
    for line_number, line in enumerate(lines, start=1):
        name, equals, value = line.partition("=")
        if not equals or not name:
            raise TranslationError(f"line {line_number}: not name=value")
        if name in values:
            raise TranslationError(f"{name}: duplicate line")
        values[name] = re.sub(r"\\[\\nr]", lambda match: UNESCAPES[match[0]], value)
    return values


def write_old(values: dict[str, str]) -> bytes:
    """Return values as the old side's lines."""
    return "".join(
        f"{name}={ESCAPED.sub(lambda match: ESCAPES[match[0]], value)}\n" for name, value in values.items()
    ).encode()


def to_new(mapping: ClassMapping, body: bytes) -> Translation:
    """Convert an old body to the new side's object; lines without a mapping are reported as lost.

    Raises TranslationError.
    """
    old, converted, lost = read_old(body), {}, []
    for field in mapping.request:
        text = old.pop(field.old, None)
        if text is None:
            if field.missing == "refuse":
                raise TranslationError(f"{field.old}: missing")
            if field.missing == "omit":
                continue
            text = field.default
        _set_path(converted, field.new, _parse_value(field, text))
    lost += [f"{name}: the new side has no such field" for name in old]
    return Translation(converted, tuple(lost))


def _parse_value(field: Field, text: str) -> Any:
    if len(text) > field.most:
        raise TranslationError(f"{field.old}: longer than {field.most}")
    match field.type:
        case "integer":
            if not INTEGER.fullmatch(text):
                raise TranslationError(f"{field.old}: not a whole number")
            return _check_range(field, field.old, int(text))
        case "decimal":
            if not DECIMAL.fullmatch(text):
                raise TranslationError(f"{field.old}: not a number")
            return text  # a float would round it
        case "flag":
            if text not in ("0", "1"):
                raise TranslationError(f"{field.old}: not 0 or 1")
            return text == "1"
        case "list":
            return [one for one in text.split(field.join) if one] if text else []
    new_by_old = {old: new for new, old in field.values.items()}
    return new_by_old.get(text, text)


def _set_path(target: dict[str, Any], path: str, value: Any) -> None:
    *outer, last = path.split(".")
    for name in outer:
        target = target.setdefault(name, {})
    target[last] = value


def to_old(mapping: ClassMapping, answer: Any) -> Translation:
    """Convert a new answer to the old side's result. Raises TranslationError where it would not be faithful."""
    if not isinstance(answer, dict):
        raise TranslationError("answer: not an object")
    values, lost, mapped_paths = {}, [], set()
    for field in mapping.answer:
        found, value = _get_path(answer, field.new)
        mapped_paths.add(field.new)
        if not found or value is None:
            if field.missing == "refuse":
                raise TranslationError(f"{field.new}: missing")
            if field.missing == "default":
                values[field.old] = field.default
            continue
        text, loss = _format_value(field, value)
        values[field.old] = text
        lost += [f"{field.new}: {loss}"] if loss else []
    lost += [f"{path}: the old side has no such field" for path in _unmapped_paths(answer, mapped_paths)]
    data = write_old(values)
    if len(data) > MAX_RESULT_BYTES:
        raise TranslationError(f"answer: {len(data)} octets, the old side accepts at most {MAX_RESULT_BYTES}")
    return Translation(data, tuple(lost))


def _get_path(answer: Any, path: str) -> tuple[bool, Any]:
    for name in path.split("."):
        if not isinstance(answer, dict) or name not in answer:
            return False, None
        answer = answer[name]
    return True, answer


def _unmapped_paths(answer: dict[str, Any], mapped_paths: set[str], prefix: str = "") -> list[str]:
    """Return the paths of values that no field of the mapping covers."""
    unmapped = []
    for name, value in answer.items():
        path = f"{prefix}{name}"
        if path in mapped_paths:
            continue
        if isinstance(value, dict) and any(one.startswith(f"{path}.") for one in mapped_paths):
            unmapped += _unmapped_paths(value, mapped_paths, f"{path}.")
        else:
            unmapped.append(path)
    return unmapped


def _format_value(field: Field, value: Any) -> tuple[str, str]:
    """Return a value as the old side's text, and what was lost of it."""
    text = CONVERSIONS[field.type](field, value)
    text = field.values.get(text, text)
    if len(text) <= field.most:
        return text, ""
    if field.over == "refuse":
        raise TranslationError(f"{field.new}: longer than {field.most}")
    return text[: field.most], f"cut from {len(text)} to {field.most}"


def _from_text(field: Field, value: Any) -> str:
    if not isinstance(value, str):
        raise TranslationError(f"{field.new}: not text")
    return value


def _from_integer(field: Field, value: Any) -> str:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TranslationError(f"{field.new}: not a whole number")
    return str(_check_range(field, field.new, value))


def _from_decimal(field: Field, value: Any) -> str:
    if isinstance(value, bool) or not isinstance(value, (str, int)):
        raise TranslationError(f"{field.new}: not a number as text")
    try:
        number = Decimal(value)
    except InvalidOperation:
        raise TranslationError(f"{field.new}: not a number") from None
    if not number.is_finite():
        raise TranslationError(f"{field.new}: not a number")
    _check_range(field, field.new, number)
    return format(number, "f")


def _from_flag(field: Field, value: Any) -> str:
    if not isinstance(value, bool):
        raise TranslationError(f"{field.new}: not true or false")
    return "1" if value else "0"


def _from_list(field: Field, value: Any) -> str:
    """Join a list of texts; a single text counts as a list of one."""
    values = [value] if isinstance(value, str) else value
    if not isinstance(values, list) or not all(isinstance(one, str) for one in values):
        raise TranslationError(f"{field.new}: not a list of texts")
    return field.join.join(values)


CONVERSIONS: dict[str, Callable[[Field, Any], str]] = {
    "text": _from_text,
    "integer": _from_integer,
    "decimal": _from_decimal,
    "flag": _from_flag,
    "list": _from_list,
}


def _check_range(field: Field, name: str, value: Any) -> Any:
    low, high = field.least_value, field.most_value
    if (low is not None and value < low) or (high is not None and value > high):
        raise TranslationError(f"{name}: {value} is out of range")
    return value
