"""The one error that all decoders raise."""

from __future__ import annotations

from enum import Enum


class Fault(Enum):
    """What is wrong with the bytes."""

    MALFORMED = "malformed"
    TOO_LARGE = "too large"


class ProtocolError(Exception):
    """What came in does not follow its wire; the connection it came on can not go on."""

    def __init__(self, detail: str, fault: Fault = Fault.MALFORMED) -> None:
        super().__init__(detail)
        self.fault = fault
