"""sagetrestle: decides inside one server which requests the server accepts, runs and rejects."""

from sagetrestle.interface import Settings
from sagetrestle.logic import Policy

__all__ = ["Policy", "Settings"]
