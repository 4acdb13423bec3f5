"""Fleet-wide flap damping (RFC 2439) of server removals. Free of I/O and clock."""
