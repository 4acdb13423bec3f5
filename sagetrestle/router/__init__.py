"""Routing: each request to a live member, retries of a charge to the member that may have run it.

    rendezvous  highest random weight hashing, stable as members join and leave
    router      Router: choice of a member, and the binding of a charge's key to it

Free of I/O and clock. Its input is a membership view; its callers are the translator and the load tool.
"""

from sagetrestle.router.router import (
    Attempt,
    ExecutionProof,
    NoRoute,
    NoRouteReason,
    Route,
    Router,
    RouterConfig,
    RouteRequest,
)

__all__ = ["Attempt", "ExecutionProof", "NoRoute", "Route", "Router", "RouterConfig", "RouteRequest", "NoRouteReason"]
