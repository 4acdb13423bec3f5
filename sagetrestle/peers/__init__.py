"""Links between the members of a fleet, free of I/O: handshakes, numbering, acknowledgements, back-pressure."""
