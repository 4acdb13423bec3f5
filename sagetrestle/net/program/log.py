"""Logging to standard error, bounded in lines a second and in line length, with secrets redacted.

Lines are plain text by default; ``deploy/log.toml`` can select JSON, one object a line, written by structlog.
"""

from __future__ import annotations

import logging
import re
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

MAX_LINE_CHARS = 400
MAX_LINES_PER_S = 50  # a peer that sends malformed data must not make logging the main load

# Matches signed tokens (three dotted parts in base64url), credentials after Bearer or Basic, and private keys in PEM.
SECRET_PATTERN = re.compile(
    r"\bey[\w-]{8,}\.[\w-]+\.[\w-]*|\b(?:Bearer|Basic)\s+\S+"
    r"|-----BEGIN [A-Z ]*PRIVATE KEY-----.*?(?:-----END [A-Z ]*PRIVATE KEY-----|$)",
    re.IGNORECASE | re.DOTALL,
)


def redact(text: str) -> str:
    """Return the text with everything that looks like a credential replaced by ``[hidden]``."""
    return SECRET_PATTERN.sub("[hidden]", text)


def read_log_format(path: Path) -> str:
    """Return the log format set in the operators' file: ``human`` (the default) or ``json``.

    Raises ValueError, whose message names the field.
    """
    try:
        document = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return "human"
    except (OSError, ValueError) as error:
        raise ValueError(f"{path.name}: {error}") from None
    if unknown := sorted(set(document) - {"format"}):
        raise ValueError(f"{path.name}: {unknown[0]}: unknown field")
    log_format = document.get("format", "human")
    if log_format not in ("human", "json"):
        raise ValueError(f'{path.name}: format: must be "human" or "json"')
    return log_format


def set_up(log_format: str = "human", **fields: Any) -> Any:
    """Configure and return the program's logger: the standard library's, or structlog's for JSON."""
    if log_format == "json":
        from sagetrestle.net.program import structured

        structured.set_up(log_format)
        return structured.logger(**fields)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s.%(msecs)03d %(message)s", "%H:%M:%S"))
    logger = logging.getLogger("sagetrestle")
    logger.handlers[:] = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return logger


class RateLimitedLog:
    """Writes at most ``MAX_LINES_PER_S`` log lines a second and counts the rest, whose number is logged afterwards."""

    def __init__(self, write: Callable[..., None], now_us: Callable[[], int], fields: bool = False) -> None:
        self._write, self._now_us, self._fields = write, now_us, fields
        self._second, self._lines, self._dropped_lines = -1, 0, 0

    def line(self, text: str, fields: tuple[tuple[str, str], ...] = ()) -> None:
        """Write a text as one redacted line; ``fields`` are added if the logger takes structured fields."""
        second = self._now_us() // 1_000_000
        if second != self._second:
            if self._dropped_lines:
                self._write(f"log: {self._dropped_lines} lines left out")
            self._second, self._lines, self._dropped_lines = second, 0, 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            self._dropped_lines += 1
            return
        self._write(redact(text[:MAX_LINE_CHARS]).replace("\n", " "), **(dict(fields) if self._fields else {}))
