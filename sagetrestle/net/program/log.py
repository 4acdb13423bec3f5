"""The log: lines on standard error, bounded in number and length, with no secret in them.

Plain lines by default; ``deploy/log.toml`` may ask for JSON, one object a line, which structlog writes.
"""

from __future__ import annotations

import logging
import re
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

LONGEST = 400
LINES_A_SECOND = 50  # a peer that sends rubbish must not turn the log into the load

# Three parts of base64url with dots between them, what follows a scheme's name, and keys in PEM.
SECRETS = re.compile(
    r"\bey[\w-]{8,}\.[\w-]+\.[\w-]*|\b(?:Bearer|Basic)\s+\S+"
    r"|-----BEGIN [A-Z ]*PRIVATE KEY-----.*?(?:-----END [A-Z ]*PRIVATE KEY-----|$)",
    re.IGNORECASE | re.DOTALL,
)


def redact(text: str) -> str:
    """Return a text with everything that has the form of a credential taken out."""
    return SECRETS.sub("[hidden]", text)


def read_form(path: Path) -> str:
    """Return the form that the operators' file asks for: ``human``, the default, or ``json``.

    Raises ValueError, which names the field.
    """
    try:
        told = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return "human"
    except (OSError, ValueError) as error:
        raise ValueError(f"{path.name}: {error}") from None
    if unknown := sorted(set(told) - {"format"}):
        raise ValueError(f"{path.name}: {unknown[0]}: unknown field")
    form = told.get("format", "human")
    if form not in ("human", "json"):
        raise ValueError(f'{path.name}: format: must be "human" or "json"')
    return form


def set_up(form: str = "human", **fields: Any) -> Any:
    """Return the program's logger: the standard library's, or structlog's where JSON is asked for."""
    if form == "json":
        from sagetrestle.net.program import structured

        structured.set_up(form)
        return structured.logger(**fields)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s.%(msecs)03d %(message)s", "%H:%M:%S"))
    logger = logging.getLogger("sagetrestle")
    logger.handlers[:] = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return logger


class BoundedLog:
    """Writes lines, and counts those over the bound of their second in place of writing them."""

    def __init__(self, write: Callable[..., None], now_us: Callable[[], int], fields: bool = False) -> None:
        self._write, self._now_us, self._fields = write, now_us, fields
        self._second, self._lines, self._left_out = -1, 0, 0

    def line(self, text: str, fields: tuple[tuple[str, str], ...] = ()) -> None:
        """Write a line, on one line whatever is in it; its fields go with it where the log has them."""
        second = self._now_us() // 1_000_000
        if second != self._second:
            if self._left_out:
                self._write(f"log: {self._left_out} lines left out")
            self._second, self._lines, self._left_out = second, 0, 0
        self._lines += 1
        if self._lines > LINES_A_SECOND:
            self._left_out += 1
            return
        self._write(redact(text[:LONGEST]).replace("\n", " "), **(dict(fields) if self._fields else {}))
