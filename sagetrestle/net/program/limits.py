"""Derives the program's bounds on connections, requests and results from the platform's limits."""

from __future__ import annotations

from typing import NamedTuple

from sagetrestle.net.routing.values import Bounds


class Limits(NamedTuple):
    """The platform's limits on the process."""

    sockets: int  # file descriptors of any kind
    memory_mb: float


MIN_LIMITS = Limits(96, 24.0)  # with less, no sockets are left for fronts beside the reserved ones
# Standard streams 3, poll and waker 3, the reactor's spare 1, listening 2, roster 1, the kernel's link and its
# replacement 2, a configuration file being read 1; the rest is for connections that are closing.
RESERVED_SOCKETS = 32
LEDGER_CALL_SHARE = 0.15  # of the descriptors, for calls to the ledger
MAX_LEDGER_CALLS = 96
SCGI_SHARE = 0.4  # of the fronts' sockets, for both SCGI fronts
SCGI_REJECTION_SHARE = 0.1  # of the SCGI sockets, for refused connections that still get an answer
DNS_SOCKETS = 16
MANAGEMENT_SOCKETS = 16  # management callers; the listening socket is one more
REQUESTS_PER_MB = 24  # a held request takes some 6 KiB: at most a seventh of the memory
RESULT_MEMORY_SHARE = 0.1
INPUT_MEMORY_SHARE = 0.0625  # for requests that were received in part
CONNECTIONS_PER_MB = 24  # an idle connection takes some 4 KiB: at most a tenth of the memory
TLS_CONNECTIONS_PER_MB = 4  # one with TLS takes some 27 KiB


def derive_bounds(limits: Limits, scgi: bool, dns: bool, scgis: bool = False, managed: bool = False) -> Bounds:
    """Return the bounds; the fronts share the sockets left by the rest, and SCGI with TLS gets half of SCGI's."""
    calls = min(MAX_LEDGER_CALLS, int(limits.sockets * LEDGER_CALL_SHARE))
    front_sockets = (
        limits.sockets
        - RESERVED_SOCKETS
        - calls
        - (DNS_SOCKETS if dns else 0)
        - (MANAGEMENT_SOCKETS + 1 if managed else 0)
    )
    front_sockets = min(front_sockets, int(limits.memory_mb * CONNECTIONS_PER_MB))
    scgi_sockets = int(front_sockets * SCGI_SHARE) if scgi or scgis else 0
    rejection_sockets = int(scgi_sockets * SCGI_REJECTION_SHARE)
    scgi_connections = scgi_sockets - rejection_sockets
    tls_connections = (scgi_connections // 2 if scgi else scgi_connections) if scgis else 0
    tls_connections = min(tls_connections, int(limits.memory_mb * TLS_CONNECTIONS_PER_MB))
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
        int(limits.memory_mb * INPUT_MEMORY_SHARE * (1 << 20)),
    )
