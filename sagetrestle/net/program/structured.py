"""Structured logging with structlog, for the command line and for scorers that log in JSON."""

from __future__ import annotations

import re
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

from sagetrestle.net.program.log import redact

SECRET_FIELD_PATTERN = re.compile(r"token|passphrase|private|authorization|secret", re.IGNORECASE)


def hide_secrets(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Redact each field whose name or value looks like a secret (a structlog processor)."""
    for name, value in event.items():
        if name != "event" and SECRET_FIELD_PATTERN.search(name):
            event[name] = "[hidden]"
        elif isinstance(value, str):
            event[name] = redact(value)
    return event


def set_up(log_format: str) -> None:
    """Configure structlog to write to standard error, as JSON (``json``) or as plain text."""
    console_renderer = structlog.dev.ConsoleRenderer(colors=False)
    renderer = structlog.processors.JSONRenderer() if log_format == "json" else console_renderer
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            hide_secrets,
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def logger(**fields: Any) -> Any:
    """Return a logger that adds these fields to each line."""
    return structlog.get_logger(**fields)
