"""Sends reports to the roster, each in one UDP datagram."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol

from sagetrestle.net.protocol.roster import encode_report


class Roster(DatagramProtocol):
    """Sends reports; the roster does not reply and may be down."""

    noisy = False

    def __init__(self, name: str) -> None:
        self._name = name
        self._address: tuple[str, int] | None = None

    def use(self, address: tuple[str, int]) -> None:
        """Set the address for further reports."""
        self._address = address

    def listen(self, reactor: Any, host: str) -> None:
        """Open the UDP socket to send from."""
        reactor.listenUDP(0, self, interface=host)

    def report(self, on: bool) -> None:
        """Send one report. If the socket cannot send now, the report is lost and the next one follows later."""
        if self.transport is not None and self._address is not None:
            self.transport.write(encode_report(self._name, on), self._address)
