"""Members' links: who is at the other end, what was sent and acknowledged, how much may be under way. Free of I/O."""
