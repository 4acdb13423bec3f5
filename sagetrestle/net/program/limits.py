"""The one place where the platform's limits become bounds on everything the program holds."""

from __future__ import annotations

from typing import NamedTuple

from sagetrestle.net.routing.values import Bounds


class Limits(NamedTuple):
    """What the platform lets the process have."""

    sockets: int  # descriptors of any kind
    memory_mb: float


LEAST = Limits(96, 24.0)  # under this there is no room for fronts beside what is reserved
# Standard streams 3, poll and waker 3, the reactor's spare 1, listening 2, roster 1, the kernel's link and
# the one that takes its place 2, a configuration being read 1; the rest for connections on their way out.
OWN = 32
CALLS_SHARE, CALLS_MOST = 0.15, 96  # of the descriptors, for calls to the ledger
SCGI_SHARE, TURNED_DOWN_SHARE = 0.4, 0.1  # of what the fronts have; of SCGI's
DNS = 16
MANAGEMENT = 16  # callers of the second address; its listening socket is one more
REQUESTS_PER_MB, RESULTS_SHARE = 24, 0.1  # a held request takes some 6 KiB: a seventh of the memory at most


def derive(limits: Limits, scgi: bool, dns: bool, scgis: bool = False, managed: bool = False) -> Bounds:
    """Return the bounds; those of the fronts are what the others leave, SCGI with TLS half of SCGI's."""
    calls = min(CALLS_MOST, int(limits.sockets * CALLS_SHARE))
    fronts = limits.sockets - OWN - calls - (DNS if dns else 0) - (MANAGEMENT + 1 if managed else 0)
    second = int(fronts * SCGI_SHARE) if scgi or scgis else 0
    turned_down = int(second * TURNED_DOWN_SHARE)
    room = second - turned_down
    secure = (room // 2 if scgi else room) if scgis else 0
    rooms = {"thrift": fronts - second, "scgi": room - secure, "scgis": secure}
    own = OWN + (MANAGEMENT + 1 if managed else 0)
    return Bounds(
        rooms,
        turned_down,
        DNS,
        calls,
        int(limits.memory_mb * REQUESTS_PER_MB),
        int(limits.memory_mb * RESULTS_SHARE * (1 << 20)),
        MANAGEMENT,
        own,
    )
