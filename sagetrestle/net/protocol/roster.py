"""The protocol of the roster: each report is a datagram of three words."""

from __future__ import annotations

from sagetrestle.net.protocol.errors import ProtocolError


def encode_report(name: str, on: bool) -> bytes:
    """Encode a report."""
    return f"HERE {name} {'on' if on else 'off'}".encode()


def decode_report(data: bytes) -> tuple[str, bool]:
    """Decode a report. Raises ProtocolError."""
    words = data.decode("ascii", "replace").split(" ")
    if len(words) != 3 or words[0] != "HERE" or words[2] not in ("on", "off"):
        raise ProtocolError(f"not a report: {data[:60]!r}")
    return words[1], words[2] == "on"
