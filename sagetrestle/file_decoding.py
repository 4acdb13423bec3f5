"""Decoding the operators' files into their forms, with what is wrong named by its field."""

from __future__ import annotations

from typing import Any, Literal

import msgspec


def decode_file(data: bytes, schema: Any, file_format: Literal["toml", "json"], error: type[Exception]) -> Any:
    """Return what a file says, in its form.

    Raises ``error``, whose text begins with the path of the field where there is one.
    """
    decode = msgspec.toml.decode if file_format == "toml" else msgspec.json.decode
    try:
        return decode(data, type=schema)
    except msgspec.ValidationError as fault:
        text, _, path = str(fault).partition(" - at `$.")
        raise error(f"{path.rstrip('`')}: {text}" if path else text) from None
    except (msgspec.DecodeError, ValueError) as fault:
        raise error(f"can not be read: {fault}") from None
