"""pinecove: decides, inside one server, what the server takes, runs and turns away."""
from pinecove.interface import Settings
from pinecove.logic import Policy

__all__ = ["Policy", "Settings"]
