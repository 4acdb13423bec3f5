"""Where each request goes: a live member, and for a charge the one that may have run it.

    rendezvous  highest random weight hashing, stable as members come and go
    core        Router: choose, and what an attempt's end means for the next

Free of I/O and clock. It stands on a membership view; whoever sends requests calls it: the translator, the load tool.
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
