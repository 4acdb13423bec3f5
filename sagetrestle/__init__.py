"""sagetrestle: decides, inside one server, what the server takes, runs and turns away."""

from sagetrestle.interface import Settings
from sagetrestle.logic import Policy

__all__ = ["Policy", "Settings"]
