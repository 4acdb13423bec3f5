"""The consensus group: a log that a majority of a few members agrees on, free of I/O (docs/design/fleet.md)."""
