"""The one place where the platform's limits become bounds on everything the program holds."""

from __future__ import annotations

from typing import NamedTuple

from sagetrestle.net.routing.values import Bounds


class Limits(NamedTuple):
    """What the platform lets the process have."""

    sockets: int  # descriptors of any kind
    memory_mb: float


MIN_LIMITS = Limits(96, 24.0)  # under this there is no room for fronts beside what is reserved
# Standard streams 3, poll and waker 3, the reactor's spare 1, listening 2, roster 1, the kernel's link and
# the one that takes its place 2, a configuration being read 1; the rest for connections on their way out.
RESERVED_SOCKETS = 32
LEDGER_CALL_SHARE, MAX_LEDGER_CALLS = 0.15, 96  # of the descriptors, for calls to the ledger
SCGI_SHARE, SCGI_REJECTION_SHARE = 0.4, 0.1  # of what the fronts have; of SCGI's
DNS_SOCKETS = 16
MANAGEMENT_SOCKETS = 16  # callers of the second address; its listening socket is one more
REQUESTS_PER_MB, RESULT_MEMORY_SHARE = 24, 0.1  # a held request takes some 6 KiB: a seventh of the memory at most


def derive_bounds(limits: Limits, scgi: bool, dns: bool, scgis: bool = False, managed: bool = False) -> Bounds:
    """Return the bounds; those of the fronts are what the others leave, SCGI with TLS half of SCGI's."""
    calls = min(MAX_LEDGER_CALLS, int(limits.sockets * LEDGER_CALL_SHARE))
    front_sockets = (
        limits.sockets
        - RESERVED_SOCKETS
        - calls
        - (DNS_SOCKETS if dns else 0)
        - (MANAGEMENT_SOCKETS + 1 if managed else 0)
    )
    scgi_sockets = int(front_sockets * SCGI_SHARE) if scgi or scgis else 0
    rejection_sockets = int(scgi_sockets * SCGI_REJECTION_SHARE)
    scgi_connections = scgi_sockets - rejection_sockets
    tls_connections = (scgi_connections // 2 if scgi else scgi_connections) if scgis else 0
    connection_limits = {
        "thrift": front_sockets - scgi_sockets,
        "scgi": scgi_connections - tls_connections,
        "scgis": tls_connections,
    }
    reserved = RESERVED_SOCKETS + (MANAGEMENT_SOCKETS + 1 if managed else 0)
    return Bounds(
        connection_limits,
        rejection_sockets,
        DNS_SOCKETS,
        calls,
        int(limits.memory_mb * REQUESTS_PER_MB),
        int(limits.memory_mb * RESULT_MEMORY_SHARE * (1 << 20)),
        MANAGEMENT_SOCKETS,
        reserved,
    )
