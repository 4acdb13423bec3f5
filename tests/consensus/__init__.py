"""The council."""
