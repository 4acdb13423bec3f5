r"""Values from one side to the other. Both ways a field goes whole, or what was lost of it is named.

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
MAX_RESULT = 4 * 1024  # octets that the old side takes
INTEGER = re.compile(r"-?[0-9]{1,18}")
DECIMAL = re.compile(r"-?[0-9]{1,18}(\.[0-9]{1,18})?")
ESCAPED = re.compile(r"[\\\n\r]")
ESCAPES = {"\\": "\\\\", "\n": "\\n", "\r": "\\r"}
BACK = {"\\\\": "\\", "\\n": "\n", "\\r": "\r"}


class TranslationError(ValueError):
    """A value that can not be carried over; the text names the field and why."""


class Translation(NamedTuple):
    """What came out, and what was lost: a line each."""

    value: Any
    lost: tuple[str, ...]


def read_old(body: bytes) -> dict[str, str]:
    """Read the old side's lines. Raises TranslationError."""
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError:
        raise TranslationError("body: not UTF-8") from None
    lines = text.split("\n")
    if lines[-1] == "":
        lines.pop()
    if len(lines) > MAX_LINES:
        raise TranslationError(f"body: more than {MAX_LINES} lines")
    found: dict[str, str] = {}
    for at, line in enumerate(lines, start=1):
        name, equals, value = line.partition("=")
        if not equals or not name:
            raise TranslationError(f"line {at}: not name=value")
        if name in found:
            raise TranslationError(f"{name}: comes twice")
        found[name] = re.sub(r"\\[\\nr]", lambda one: BACK[one[0]], value)
    return found


def write_old(values: dict[str, str]) -> bytes:
    """Write the old side's lines."""
    return "".join(
        f"{name}={ESCAPED.sub(lambda one: ESCAPES[one[0]], value)}\n" for name, value in values.items()
    ).encode()


def to_new(mapping: ClassMapping, body: bytes) -> Translation:
    """Return the new side's object for an old body. Raises TranslationError; unknown lines are named as lost."""
    old, made, lost = read_old(body), {}, []
    for field in mapping.request:
        text = old.pop(field.old, None)
        if text is None:
            if field.missing == "refuse":
                raise TranslationError(f"{field.old}: missing")
            if field.missing == "omit":
                continue
            text = field.default
        _put(made, field.new, _typed(field, text))
    lost += [f"{name}: the new side has no such field" for name in old]
    return Translation(made, tuple(lost))


def _typed(field: Field, text: str) -> Any:
    if len(text) > field.most:
        raise TranslationError(f"{field.old}: longer than {field.most}")
    match field.type:
        case "integer":
            if not INTEGER.fullmatch(text):
                raise TranslationError(f"{field.old}: not a whole number")
            return _in_range(field, field.old, int(text))
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
    back = {old: new for new, old in field.values.items()}
    return back.get(text, text)


def _put(made: dict[str, Any], path: str, value: Any) -> None:
    *outer, last = path.split(".")
    for name in outer:
        made = made.setdefault(name, {})
    made[last] = value


def to_old(mapping: ClassMapping, answer: Any) -> Translation:
    """Return the old side's result for a new answer. Raises TranslationError where it would not be faithful."""
    if not isinstance(answer, dict):
        raise TranslationError("answer: not an object")
    values, lost, used = {}, [], set()
    for field in mapping.answer:
        found, value = _find(answer, field.new)
        used.add(field.new)
        if not found or value is None:
            if field.missing == "refuse":
                raise TranslationError(f"{field.new}: missing")
            if field.missing == "default":
                values[field.old] = field.default
            continue
        text, note = _text(field, value)
        values[field.old] = text
        lost += [f"{field.new}: {note}"] if note else []
    lost += [f"{path}: the old side has no such field" for path in _paths(answer, used)]
    data = write_old(values)
    if len(data) > MAX_RESULT:
        raise TranslationError(f"answer: {len(data)} octets, the old side takes {MAX_RESULT}")
    return Translation(data, tuple(lost))


def _find(answer: Any, path: str) -> tuple[bool, Any]:
    for name in path.split("."):
        if not isinstance(answer, dict) or name not in answer:
            return False, None
        answer = answer[name]
    return True, answer


def _paths(answer: dict[str, Any], used: set[str], ahead: str = "") -> list[str]:
    """Return the paths of values that no field took."""
    found = []
    for name, value in answer.items():
        path = f"{ahead}{name}"
        if path in used:
            continue
        if isinstance(value, dict) and any(one.startswith(f"{path}.") for one in used):
            found += _paths(value, used, f"{path}.")
        else:
            found.append(path)
    return found


def _text(field: Field, value: Any) -> tuple[str, str]:
    """Return a value as the old side has it, and what was lost of it."""
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
    return str(_in_range(field, field.new, value))


def _from_decimal(field: Field, value: Any) -> str:
    if isinstance(value, bool) or not isinstance(value, (str, int)):
        raise TranslationError(f"{field.new}: not a number as text")
    try:
        number = Decimal(value)
    except InvalidOperation:
        raise TranslationError(f"{field.new}: not a number") from None
    if not number.is_finite():
        raise TranslationError(f"{field.new}: not a number")
    _in_range(field, field.new, number)
    return format(number, "f")


def _from_flag(field: Field, value: Any) -> str:
    if not isinstance(value, bool):
        raise TranslationError(f"{field.new}: not true or false")
    return "1" if value else "0"


def _from_list(field: Field, value: Any) -> str:
    """Join a list of texts; one text alone stands for a list of it."""
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


def _in_range(field: Field, name: str, value: Any) -> Any:
    low, high = field.least_value, field.most_value
    if (low is not None and value < low) or (high is not None and value > high):
        raise TranslationError(f"{name}: {value} is out of range")
    return value
