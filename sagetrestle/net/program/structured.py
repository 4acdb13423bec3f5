"""Structured logging by structlog: for the commands, and for a scorer whose operators ask for it."""

from __future__ import annotations

import re
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

from sagetrestle.net.program.log import redact

SECRET_FIELD_PATTERN = re.compile(r"token|passphrase|private|authorization|secret", re.IGNORECASE)


def hide_secrets(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Take what is or looks like a secret out of every field, by its name or by its form."""
    for name, value in event.items():
        if name != "event" and SECRET_FIELD_PATTERN.search(name):
            event[name] = "[hidden]"
        elif isinstance(value, str):
            event[name] = redact(value)
    return event


def set_up(log_format: str) -> None:
    """Write log lines to standard error, for people or as JSON, one a line."""
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
    """Return a logger whose lines carry these fields."""
    return structlog.get_logger(**fields)
