"""The error raised by all decoders."""

from __future__ import annotations

from enum import Enum


class Fault(Enum):
    """The kind of protocol violation."""

    MALFORMED = "malformed"
    TOO_LARGE = "too large"


class ProtocolError(Exception):
    """Input violates its protocol; the connection that it came on cannot be used any further."""

    def __init__(self, detail: str, fault: Fault = Fault.MALFORMED) -> None:
        super().__init__(detail)
        self.fault = fault
