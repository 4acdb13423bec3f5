"""Who owns which part of all keys: partitions, epochs, leases, and the plan of who is next. Free of I/O."""
