"""Decodes operators' files; errors name the field that is invalid."""

from __future__ import annotations

from typing import Any, Literal

import msgspec


def decode_file(data: bytes, schema: Any, file_format: Literal["toml", "json"], error: type[Exception]) -> Any:
    """Decode a file's contents into the type ``schema``.

    Raises ``error`` if the data is malformed or does not match; its text begins with the path of the field, if known.
    """
    decode = msgspec.toml.decode if file_format == "toml" else msgspec.json.decode
    try:
        return decode(data, type=schema)
    except msgspec.ValidationError as decode_error:
        text, _, path = str(decode_error).partition(" - at `$.")
        raise error(f"{path.rstrip('`')}: {text}" if path else text) from None
    except (msgspec.DecodeError, ValueError) as decode_error:
        raise error(f"can not be read: {decode_error}") from None
