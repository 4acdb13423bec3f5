"""The one way of a request through what the fleet decided: its place at the door, and what is sent. Free of I/O."""
